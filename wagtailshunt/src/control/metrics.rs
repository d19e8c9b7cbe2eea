//! Metrics of the control daemon.

use prometheus::{IntCounter, IntGauge, Registry};

use crate::metrics;

/// Counters and gauges, all with the prefix `wagtailshunt_control_`.
pub struct Metrics {
    registry: Registry,
    /// Records accepted by this VM as leader.
    pub accepted: IntCounter,
    /// Renewals that were granted.
    pub granted: IntCounter,
    /// Renewals that were refused.
    pub refused: IntCounter,
    /// Requests of gateways to the ledger.
    pub ledger_requests: IntCounter,
    /// 1 while this VM leads group 0.
    pub leading: IntGauge,
    /// Targets in the directory of the leader.
    pub targets: IntGauge,
}

impl Metrics {
    /// Creates the metrics of one process.
    pub fn new() -> Self {
        let registry =
            Registry::new_custom(Some("wagtailshunt_control".to_owned()), None).unwrap_or_default();
        Metrics {
            accepted: metrics::counter(&registry, "accepted_total", "Records accepted as leader."),
            granted: metrics::counter(&registry, "granted_total", "Renewals that were granted."),
            refused: metrics::counter(&registry, "refused_total", "Renewals that were refused."),
            ledger_requests: metrics::counter(
                &registry,
                "ledger_requests_total",
                "Requests of gateways to the ledger.",
            ),
            leading: metrics::gauge(&registry, "leading", "1 while this VM leads group 0."),
            targets: metrics::gauge(&registry, "targets", "Targets in the leader's directory."),
            registry,
        }
    }

    /// Returns the text exposition format.
    pub fn text(&self) -> Vec<u8> {
        metrics::encode(&self.registry)
    }
}
