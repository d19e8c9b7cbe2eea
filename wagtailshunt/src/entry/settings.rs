//! Settings of an entry VM.

use std::{net, path, time};

use hyper::header::HeaderName;
use wagtailshunt_core::{formation, placement, types};

/// Settings of an entry VM, decoded from whatever format the platform has.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the VM, for logs.
    pub vm_name: String,
    /// Failure domain of the VM.
    pub failure_domain: types::FailureDomain,
    /// Where callers connect.
    pub callers: net::SocketAddr,
    /// Where the platform asks whether this process wants connections.
    pub readiness: net::SocketAddr,
    /// Where operators and targets call.
    pub operators: net::SocketAddr,
    /// Where other processes of the system connect.
    pub peers: net::SocketAddr,
    /// Where metrics are served; `None` to serve none.
    pub metrics: Option<net::SocketAddr>,
    /// Peer addresses of VMs that may know the others.
    pub seeds: Vec<net::SocketAddr>,
    /// The loss of this VM is among those that the deployment is laid out to bear.
    pub counted: bool,
    /// The whole system starts for the first time.
    pub first_start: bool,
    /// Folder for the durable state; `None` on a VM without a disk.
    pub data_folder: Option<path::PathBuf>,
    /// How the protocol of callers and targets names its fields.
    pub dialect: Dialect,
    /// Choice of targets.
    pub placement: placement::Config,
    /// Search for a target before a call is sent.
    pub search: placement::SearchConfig,
    /// Times and budgets.
    pub limits: Limits,
}

impl Settings {
    /// Describes this VM for the others.
    pub fn vm(&self, id: types::VmId, incarnation: types::Incarnation) -> formation::Vm {
        formation::Vm {
            id,
            peer_address: self.peers,
            operator_address: self.operators,
            failure_domain: self.failure_domain.clone(),
            has_disk: self.data_folder.is_some(),
            counted: self.counted,
            incarnation,
        }
    }
}

/// Questions a second at which calls may ask as much as pays for them.
const USUAL_QUESTIONS: f64 = 60.0;

/// Part of the questions that are asked regularly; the others are for calls.
const REGULAR_SHARE: f64 = 1.0 / 6.0;

/// Questions that 1,000 calls earn: three each, since the best two targets are asked first and one in
/// three calls goes on to others.
const QUESTIONS_PER_1000_CALLS: f64 = 3000.0;

/// Times and budgets of an entry VM.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Interval at which targets announce themselves.
    pub announce_interval: time::Duration,
    /// From SIGTERM to the closing of the listener: the platform takes a VM out of rotation after two
    /// misses a second apart, and a question may just have been answered.
    pub listen_after_stop: time::Duration,
    /// From SIGTERM to the end of the process at the latest.
    pub stop_limit: time::Duration,
    /// Repeats that each 1,000 calls of a service earn.
    pub repeats_per_1000_calls: u32,
    /// Repeats that all VMs together can save up for each service.
    pub repeat_slack: u32,
    /// Time within which an order must be decided before its sender tries elsewhere.
    pub order_limit: time::Duration,
    /// Questions for its load that a target may get a second, from all VMs together; 0 for none.
    pub questions_per_second: f64,
}

impl Limits {
    /// Returns the interval between regular probes of a target by all VMs of its failure domain.
    pub fn probe_interval(&self) -> Option<time::Duration> {
        let rate = self.questions_per_second.min(USUAL_QUESTIONS) * REGULAR_SHARE;
        (rate > 0.0).then(|| time::Duration::from_secs_f64(1.0 / rate))
    }

    /// Returns the questions that each 1,000 calls earn.
    pub fn questions_per_1000_calls(&self) -> u32 {
        let part = (self.questions_per_second / USUAL_QUESTIONS).min(1.0);
        (QUESTIONS_PER_1000_CALLS * part) as u32
    }
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            announce_interval: time::Duration::from_millis(1500),
            listen_after_stop: time::Duration::from_millis(3200),
            stop_limit: time::Duration::from_millis(5700),
            repeats_per_1000_calls: 150,
            repeat_slack: 50,
            order_limit: time::Duration::from_millis(900),
            questions_per_second: USUAL_QUESTIONS,
        }
    }
}

/// Names of fields between callers, this system and targets.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Id of a call; targets echo it.
    pub request_id: HeaderName,
    /// Time that the caller will still wait, in milliseconds.
    pub time_left_ms: HeaderName,
    /// Marks an answer of a target that did not run the call.
    pub not_run: HeaderName,
    /// Load of a target.
    pub load: HeaderName,
    /// Names the target that a call is meant for; another one refuses it with 421.
    pub expected_target: HeaderName,
    /// Name of the target in an answer of its health endpoint.
    pub target: HeaderName,
    /// Present on each answer that a target made, with a digest of the body.
    pub digest: Option<HeaderName>,
    /// Reads the load of a target.
    pub parse_load: fn(&str) -> Option<placement::LoadReport>,
}
