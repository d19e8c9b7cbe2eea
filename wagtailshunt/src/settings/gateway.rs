//! Settings of the gateway daemon, their defaults and their validation.

use std::{collections, net, path};

use serde::Deserialize;
use wagtailshunt_core::types;

use super::{Settings, ValidationError, check, source};
use crate::settings;

/// Maximum time limit of a planned stop: one hour.
pub(super) const MAX_DRAIN_LIMIT_MS: u64 = 3_600_000;

/// Maximum number of ledger shards. Each is a replicated group on every control VM.
pub(super) const MAX_LEDGER_SHARDS: u64 = 64;

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
    /// Addresses of the control VMs for connections from other processes of the cluster.
    #[serde(deserialize_with = "source::by_vm")]
    pub control: collections::BTreeMap<types::VmId, net::SocketAddr>,
    /// Keys of the cluster.
    pub keys: settings::Keys,
    /// Time limit of a planned stop in milliseconds; calls still in flight then are aborted.
    pub drain_limit_ms: u64,
    /// Time in milliseconds between failing the readiness check and refusing connections in a
    /// planned stop. The platform's load balancer needs it to stop sending connections.
    pub readiness_lead_ms: u64,
    /// Maximum number of open connections from callers.
    pub max_connections: usize,
    /// Maximum size of the header section of a request in bytes.
    pub max_header_bytes: usize,
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
            readiness_lead_ms: 2_000,
            max_connections: 4096,
            max_header_bytes: 16 * 1024,
            ledger_shards: 1,
        }
    }
}

impl Settings for Gateway {
    const REQUIRED: &'static [&'static str] =
        &["vm", "failure_domain", "listen", "admin", "control", "keys"];

    fn resolve(&mut self, folder: &path::Path) -> Result<(), ValidationError> {
        self.keys.resolve(folder)
    }

    fn check(&self) -> Result<(), ValidationError> {
        check::not_empty("cluster", &self.cluster)?;
        check::not_empty("failure_domain", self.failure_domain.as_str())?;
        self.check_addresses()?;
        check::in_range("drain_limit_ms", self.drain_limit_ms, 1, MAX_DRAIN_LIMIT_MS)?;
        let lead = self.readiness_lead_ms;
        check::in_range("readiness_lead_ms", lead, 0, MAX_DRAIN_LIMIT_MS)?;
        check::in_range("max_connections", self.max_connections as u64, 1, 1 << 20)?;
        // hyper needs a read buffer of at least 8 KiB.
        check::in_range(
            "max_header_bytes",
            self.max_header_bytes as u64,
            8 << 10,
            1 << 20,
        )?;
        check::in_range(
            "ledger_shards",
            self.ledger_shards.into(),
            1,
            MAX_LEDGER_SHARDS,
        )?;
        self.keys.check()
    }
}

impl Gateway {
    fn check_addresses(&self) -> Result<(), ValidationError> {
        if self.control.is_empty() {
            return Err(ValidationError::new("control", "contains no control VM"));
        }
        let mut addresses = vec![
            ("listen".to_owned(), self.listen),
            ("admin".to_owned(), self.admin),
        ];
        for (vm, address) in &self.control {
            let key = format!("control.{vm}");
            check::reachable(&key, *address)?;
            addresses.push((key, *address));
        }
        // A control VM may use the same port as a listener of this VM at a different IP address, so
        // the two groups of addresses are checked separately.
        check::distinct(&addresses[..2])?;
        check::distinct(&addresses[2..])
    }
}
