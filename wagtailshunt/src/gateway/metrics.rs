//! Prometheus metrics of the gateway.

use prometheus::{IntCounter, IntCounterVec, IntGauge, Registry};

use crate::metrics;

/// Counters and gauges, all with the prefix `wagtailshunt_gateway_`.
pub struct Metrics {
    registry: Registry,
    /// Requests received from callers.
    pub calls: IntCounter,
    /// Calls refused by the gateway, by outcome.
    pub refused: IntCounterVec,
    /// Attempts after the first one of a call.
    pub retries: IntCounter,
    /// Hedged attempts.
    pub hedges: IntCounter,
    /// Load probes sent to targets.
    pub probes: IntCounter,
    /// Calls with an idempotency key that got the stored response of an earlier run.
    pub replayed: IntCounter,
    /// 1 while a serving lease is held.
    pub serving: IntGauge,
}

impl Metrics {
    /// Creates the metrics of one process.
    pub fn new() -> Self {
        let registry =
            Registry::new_custom(Some("wagtailshunt_gateway".to_owned()), None).unwrap_or_default();
        let refused = metrics::counter_vec(
            &registry,
            "refused_total",
            "Answers made by the gateway itself, by outcome.",
            "outcome",
        );
        Metrics {
            calls: metrics::counter(&registry, "calls_total", "Requests of callers."),
            refused,
            retries: metrics::counter(&registry, "retries_total", "Attempts after the first."),
            hedges: metrics::counter(
                &registry,
                "hedges_total",
                "Second attempts beside a slow first one.",
            ),
            probes: metrics::counter(
                &registry,
                "probes_total",
                "Probes for the load of a target.",
            ),
            replayed: metrics::counter(
                &registry,
                "replayed_total",
                "Stored answers that were replayed.",
            ),
            serving: metrics::gauge(&registry, "serving", "1 while a serving lease is held."),
            registry,
        }
    }

    /// Returns the metrics in the text exposition format.
    pub fn text(&self) -> Vec<u8> {
        metrics::encode(&self.registry)
    }
}
