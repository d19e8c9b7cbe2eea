//! Settings of an entry VM: addresses, identity, header names, timeouts and budgets.
//!
//! The adapter of the platform decodes them from its settings file when the process starts.

use std::{net, path, time};

use hyper::header::{HeaderName, HeaderValue};
pub use wagtailshunt_core::allowance::Bound as AllowanceBound;
use wagtailshunt_core::{formation, placement, types};

/// Settings of an entry VM, independent of the platform's file format.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the VM, for logs.
    pub vm_name: String,
    /// Failure domain of the VM.
    pub failure_domain: types::FailureDomain,
    /// Address of the listener for calls.
    pub caller_address: net::SocketAddr,
    /// Address of the listener for the platform's readiness checks.
    pub readiness_address: net::SocketAddr,
    /// Address of the listener for operators and targets.
    pub operator_address: net::SocketAddr,
    /// Address of the listener for other processes of the system.
    pub peer_address: net::SocketAddr,
    /// Address of the listener for calls of other VMs that have lost their path to the targets;
    /// `None` to relay none.
    pub relay_address: Option<net::SocketAddr>,
    /// Address of the listener for metrics; `None` to serve none.
    pub metrics_address: Option<net::SocketAddr>,
    /// Peer addresses of the VMs to which a starting process connects first.
    pub seed_addresses: Vec<net::SocketAddr>,
    /// Whether this VM counts towards the number of VMs whose loss the deployment tolerates.
    pub counted: bool,
    /// Whether the whole system starts for the first time, so that its group has to be
    /// bootstrapped.
    pub bootstrap: bool,
    /// Folder for durable state; `None` on a VM without a disk.
    pub data_folder: Option<path::PathBuf>,
    /// Header names and load format of callers and targets.
    pub protocol: Protocol,
    /// Settings for ranking targets.
    pub placement: placement::Config,
    /// Settings of the search for a target with capacity.
    pub search: placement::SearchConfig,
    /// Timeouts, intervals and budgets.
    pub limits: Limits,
}

impl Settings {
    /// Returns the description of this VM that is sent to its peers.
    pub fn vm(&self, id: types::VmId, incarnation: types::Incarnation) -> formation::Vm {
        formation::Vm {
            id,
            peer_address: self.peer_address,
            operator_address: self.operator_address,
            relay_address: self.relay_address,
            failure_domain: self.failure_domain.clone(),
            has_disk: self.data_folder.is_some(),
            counted: self.counted,
            incarnation,
        }
    }
}

/// Probes per second and target at which calls get the full probe budget; a higher limit has no
/// further effect.
const FULL_PROBE_RATE: f64 = 60.0;

/// Share of the probes that are sent at regular intervals; the others are sent on behalf of calls.
const REGULAR_PROBE_SHARE: f64 = 1.0 / 6.0;

/// Probes that 1,000 calls add to the budget: three per call, since the best two targets are probed
/// first and one in three calls probes further ones.
const PROBES_PER_1000_CALLS: f64 = 3000.0;

/// Timeouts, intervals and budgets of an entry VM.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Interval between announcements of a target.
    pub announce_interval: time::Duration,
    /// Time from SIGTERM until the listener for callers closes. The platform takes a VM out of
    /// rotation after two failed readiness checks a second apart, and one may just have succeeded.
    pub listen_after_stop: time::Duration,
    /// Time from SIGTERM for which calls are accepted that may outlast the stop, if they are expected
    /// to end in time. Later ones are refused unless their deadline is within the stop.
    pub uncertain_calls_after_stop: time::Duration,
    /// Longest time from SIGTERM to the end of the process.
    pub stop_timeout: time::Duration,
    /// Retries that 1,000 calls of a service add to its retry budget.
    pub retries_per_1000_calls: u32,
    /// Retries that the budgets of a service may hold over all VMs together.
    pub retry_burst: u32,
    /// Time within which a configuration change, read or deregistration must complete before its
    /// sender tries another VM.
    pub change_timeout: time::Duration,
    /// Probes per second that a target may get from all VMs together; 0 for none.
    pub probes_per_second: f64,
    /// Bytes that the files of this VM may take on its disk, if known.
    pub disk_bytes: Option<u64>,
    /// VMs with disks whose loss at the same time the deployment tolerates.
    pub tolerated_losses: usize,
    /// Memory at which the platform ends the process, if known.
    pub memory_bytes: Option<u64>,
    /// File descriptors that the process may open, if known.
    pub max_open_files: Option<u64>,
    /// Longest time for which a VM may accept a key after its removal was acknowledged; `None` if a
    /// VM that is cut off may go on with the keys that it knows.
    pub key_revocation: Option<time::Duration>,
    /// Bound on the calls of workspaces over all VMs.
    pub allowance: AllowanceBound,
    /// Whether calls are shed by what their loss costs callers although the configuration has no
    /// workspaces; with workspaces they always are.
    pub shed_by_value: bool,
    /// Factor on the configured rate of calls to a cold target up to which the bound still holds.
    pub warmup_overage: f64,
    /// Calls to a cold target in any second that the bound allows beyond the rate.
    pub warmup_slack: f64,
}

impl Limits {
    /// Returns the interval between regular probes of a target, counted over all VMs of its failure
    /// domain; `None` without regular probes.
    pub fn probe_interval(&self) -> Option<time::Duration> {
        let rate = self.probes_per_second.min(FULL_PROBE_RATE) * REGULAR_PROBE_SHARE;
        (rate > 0.0).then(|| time::Duration::from_secs_f64(1.0 / rate))
    }

    /// Returns the probes that 1,000 calls add to the probe budget.
    pub fn probes_per_1000_calls(&self) -> u32 {
        let part = (self.probes_per_second / FULL_PROBE_RATE).min(1.0);
        (PROBES_PER_1000_CALLS * part) as u32
    }
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            announce_interval: time::Duration::from_millis(1500),
            listen_after_stop: time::Duration::from_millis(3200),
            uncertain_calls_after_stop: time::Duration::from_millis(2750),
            stop_timeout: time::Duration::from_millis(5700),
            retries_per_1000_calls: 150,
            retry_burst: 50,
            change_timeout: time::Duration::from_millis(900),
            probes_per_second: FULL_PROBE_RATE,
            disk_bytes: None,
            tolerated_losses: 1,
            memory_bytes: None,
            max_open_files: None,
            key_revocation: None,
            allowance: AllowanceBound::default(),
            shed_by_value: false,
            warmup_overage: 1.5,
            warmup_slack: 8.0,
        }
    }
}

/// Header names and load format used between callers, this system and targets.
#[derive(Clone, Debug)]
pub struct Protocol {
    /// Id of a call; targets return it in the response.
    pub request_id: HeaderName,
    /// Remaining time of the caller, in milliseconds.
    pub time_left_ms: HeaderName,
    /// Present in a response of a target that did not run the call.
    pub not_run: HeaderName,
    /// Load of a target.
    pub load: HeaderName,
    /// Statement of a target that it leaves.
    pub leaving: HeaderName,
    /// Id of the target that a call is sent to; any other target refuses the call with 421.
    pub expected_target: HeaderName,
    /// Id of the target in a response of its health endpoint.
    pub target_id: HeaderName,
    /// Remaining time for which a target is cold, in milliseconds, in a response of its health
    /// endpoint.
    pub warmup_left_ms: HeaderName,
    /// API key of the caller.
    pub key: HeaderName,
    /// Name of the caller's workspace, for the target.
    pub workspace: HeaderName,
    /// Present in each response of a target, with a digest of the body; `None` when targets send
    /// none.
    pub digest: Option<HeaderName>,
    /// Returns whether a value of the header `leaving` states that the target leaves.
    pub states_leaving: fn(&HeaderValue) -> bool,
    /// Parses the value of the load header.
    pub parse_load: fn(&str) -> Option<placement::LoadReport>,
}
