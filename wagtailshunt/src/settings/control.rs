//! Settings of the control daemon, their defaults and their validation.

use std::{collections, net, path};

use serde::Deserialize;
use wagtailshunt_core::types;

use super::{Settings, ValidationError, check, gateway, source};
use crate::settings;

/// Addresses of a control VM that other processes connect to.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlPeer {
    /// Address for connections from other processes of the cluster.
    pub peer: net::SocketAddr,
    /// Address of the operator interface.
    pub admin: net::SocketAddr,
}

/// Maximum length of a serving lease. With the clock margin of 1%, the lease ends after at most
/// 2.93 s, so that a change is in force within 3 s.
const MAX_LEASE_MS: u64 = 2900;

/// Times of leases and elections in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// Length of a serving lease.
    pub lease_ms: u64,
    /// Interval of the heartbeats of a leader.
    pub heartbeat_ms: u64,
    /// Shortest election timeout.
    pub election_min_ms: u64,
    /// Longest election timeout.
    pub election_max_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            lease_ms: 1900,
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
    /// Address for connections from other processes of the cluster.
    pub listen: net::SocketAddr,
    /// Address of the operator interface, health and metrics.
    pub admin: net::SocketAddr,
    /// Folder for the persistent state.
    pub data: path::PathBuf,
    /// All control VMs, including this one.
    #[serde(deserialize_with = "source::by_vm")]
    pub peers: collections::BTreeMap<types::VmId, ControlPeer>,
    /// Voters of a new cluster; ignored if the data folder already holds state. Empty on a VM that
    /// joins a running cluster.
    pub bootstrap: collections::BTreeSet<types::VmId>,
    /// Number of ledger shards; the same on every VM.
    pub ledger_shards: u32,
    /// Keys of the cluster.
    pub keys: settings::Keys,
    /// Times of leases and elections.
    pub timing: Timing,
    /// Time limit of a planned stop in milliseconds.
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

impl Settings for Control {
    const REQUIRED: &'static [&'static str] = &[
        "vm",
        "failure_domain",
        "listen",
        "admin",
        "data",
        "peers",
        "bootstrap",
        "keys",
    ];

    fn resolve(&mut self, folder: &path::Path) -> Result<(), ValidationError> {
        self.data = folder.join(&self.data);
        self.keys.resolve(folder)
    }

    fn check(&self) -> Result<(), ValidationError> {
        check::not_empty("cluster", &self.cluster)?;
        check::not_empty("failure_domain", self.failure_domain.as_str())?;
        self.check_addresses()?;
        self.check_bootstrap()?;
        let drain_limit = gateway::MAX_DRAIN_LIMIT_MS;
        check::in_range("drain_limit_ms", self.drain_limit_ms, 1, drain_limit)?;
        let shards = self.ledger_shards.into();
        check::in_range("ledger_shards", shards, 1, gateway::MAX_LEDGER_SHARDS)?;
        self.timing.check()?;
        self.keys.check()
    }
}

impl Control {
    fn check_addresses(&self) -> Result<(), ValidationError> {
        let own = [
            ("listen".to_owned(), self.listen),
            ("admin".to_owned(), self.admin),
        ];
        check::distinct(&own)?;
        let mut addresses = Vec::new();
        for (vm, peer) in &self.peers {
            addresses.push((format!("peers.{vm}.peer"), peer.peer));
            addresses.push((format!("peers.{vm}.admin"), peer.admin));
        }
        for (key, address) in &addresses {
            check::reachable(key, *address)?;
        }
        check::distinct(&addresses)
    }

    fn check_bootstrap(&self) -> Result<(), ValidationError> {
        if !self.peers.contains_key(&self.vm) {
            return Err(ValidationError::new(
                "peers",
                format!("has no entry for this VM ({})", self.vm),
            ));
        }
        let unknown = self
            .bootstrap
            .iter()
            .find(|vm| !self.peers.contains_key(vm));
        match unknown {
            Some(vm) => Err(ValidationError::new(
                "bootstrap",
                format!("VM {vm} has no entry in `peers`"),
            )),
            None => Ok(()),
        }
    }
}

impl Timing {
    fn check(&self) -> Result<(), ValidationError> {
        check::in_range("timing.lease_ms", self.lease_ms, 1, MAX_LEASE_MS)?;
        check::in_range("timing.heartbeat_ms", self.heartbeat_ms, 1, self.lease_ms)?;
        // With a shorter timeout, a single lost heartbeat would start an election.
        let shortest = self.heartbeat_ms * 2;
        check::in_range(
            "timing.election_min_ms",
            self.election_min_ms,
            shortest,
            60_000,
        )?;
        let min = self.election_min_ms + 1;
        check::in_range("timing.election_max_ms", self.election_max_ms, min, 120_000)
    }
}
