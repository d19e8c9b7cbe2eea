//! Settings of the gateway daemon.

use std::{collections, net};

use serde::Deserialize;
use wagtailshunt_core::types;

use crate::settings;

/// Settings of `wagtailshunt-gateway`.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Gateway {
    /// Name of the cluster.
    pub cluster: String,
    /// Id of the VM.
    pub vm: types::VmId,
    /// Failure domain of the VM.
    pub failure_domain: types::FailureDomain,
    /// Address for callers.
    pub listen: net::SocketAddr,
    /// Address for health, metrics, status and announcements.
    pub admin: net::SocketAddr,
    /// Process-to-process addresses of the control VMs.
    pub control: collections::BTreeMap<types::VmId, net::SocketAddr>,
    /// Keys of the cluster.
    pub keys: settings::Keys,
    /// Limit of a planned stop in milliseconds; calls still in flight then are cut off.
    pub drain_limit_ms: u64,
    /// Connections of callers open at once.
    pub max_connections: usize,
    /// Number of ledger shards; the same on every VM.
    pub ledger_shards: u32,
}

impl Default for Gateway {
    fn default() -> Self {
        Gateway {
            cluster: "wagtailshunt".to_owned(),
            vm: types::VmId(0),
            failure_domain: types::FailureDomain::default(),
            listen: settings::unset_address(),
            admin: settings::unset_address(),
            control: collections::BTreeMap::new(),
            keys: settings::Keys::default(),
            drain_limit_ms: 30_000,
            max_connections: 4096,
            ledger_shards: 1,
        }
    }
}
