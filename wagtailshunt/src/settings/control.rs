//! Settings of the control daemon.

use std::{collections, net, path};

use serde::Deserialize;
use wagtailshunt_core::types;

use crate::settings;

/// A control VM as the others reach it.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlPeer {
    /// Process-to-process address.
    pub peer: net::SocketAddr,
    /// Address of the operator interface.
    pub admin: net::SocketAddr,
}

/// Times of leases and elections in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// Length of a serving lease.
    pub lease_ms: u64,
    /// Interval of a leader's heartbeats.
    pub heartbeat_ms: u64,
    /// Shortest time without a leader before an election.
    pub election_min_ms: u64,
    /// Longest time without a leader before an election.
    pub election_max_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            lease_ms: 2200,
            heartbeat_ms: 200,
            election_min_ms: 500,
            election_max_ms: 1000,
        }
    }
}

/// Settings of `wagtailshunt-control`.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Name of the cluster.
    pub cluster: String,
    /// Id of the VM.
    pub vm: types::VmId,
    /// Failure domain of the VM.
    pub failure_domain: types::FailureDomain,
    /// Process-to-process address.
    pub listen: net::SocketAddr,
    /// Address of the operator interface, health and metrics.
    pub admin: net::SocketAddr,
    /// Folder for the state that must survive.
    pub data: path::PathBuf,
    /// All control VMs, this one included.
    pub peers: collections::BTreeMap<types::VmId, ControlPeer>,
    /// Voters of a new cluster; ignored once the data folder holds state.
    pub bootstrap: collections::BTreeSet<types::VmId>,
    /// Number of ledger shards; the same on every VM.
    pub ledger_shards: u32,
    /// Keys of the cluster.
    pub keys: settings::Keys,
    /// Times of leases and elections.
    pub timing: Timing,
    /// Limit of a planned stop in milliseconds.
    pub drain_limit_ms: u64,
}

impl Default for Control {
    fn default() -> Self {
        Control {
            cluster: "wagtailshunt".to_owned(),
            vm: types::VmId(0),
            failure_domain: types::FailureDomain::default(),
            listen: settings::unset_address(),
            admin: settings::unset_address(),
            data: path::PathBuf::from("data"),
            peers: collections::BTreeMap::new(),
            bootstrap: collections::BTreeSet::new(),
            ledger_shards: 1,
            keys: settings::Keys::default(),
            timing: Timing::default(),
            drain_limit_ms: 10_000,
        }
    }
}
