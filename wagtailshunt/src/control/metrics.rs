//! Metrics of the control daemon.

use prometheus::{IntCounter, IntGauge, Registry};

use crate::metrics;

/// Counters and gauges; all names start with `wagtailshunt_control_`.
pub struct Metrics {
    registry: Registry,
    /// Record changes accepted by this VM as leader.
    pub accepted: IntCounter,
    /// Lease renewals that were granted.
    pub granted: IntCounter,
    /// Lease renewals that were refused.
    pub refused: IntCounter,
    /// Ledger requests from gateways.
    pub ledger_requests: IntCounter,
    /// 1 while this VM leads group 0.
    pub leading: IntGauge,
    /// Number of targets in the leader's directory.
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

    /// Returns the metrics in the Prometheus text format.
    pub fn text(&self) -> Vec<u8> {
        metrics::encode(&self.registry)
    }
}
