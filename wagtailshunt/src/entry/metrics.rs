//! Prometheus metrics of an entry VM.

use prometheus::{HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Registry};

use crate::metrics;

/// Counters, gauges and histograms, all with the prefix `wagtailshunt_entry_`.
pub struct Metrics {
    registry: Registry,
    /// Calls by outcome.
    pub calls: IntCounterVec,
    /// Calls refused to shed load, by reason and priority.
    pub shed: IntCounterVec,
    /// Attempts at targets by result.
    pub attempts: IntCounterVec,
    /// Time of calls from the request head to the response, by outcome, in seconds.
    pub latency: HistogramVec,
    /// Calls that other VMs relayed, by result.
    pub relayed: IntCounterVec,
    /// 1 while this VM has lost its path to the targets.
    pub path_lost: IntGauge,
    /// Connections opened to targets.
    pub connections: IntCounter,
    /// Probes sent to targets.
    pub probes: IntCounter,
    /// Calls in progress.
    pub in_progress: IntGauge,
    /// Announcements of targets received by this VM.
    pub announcements: IntCounter,
    /// Bytes that the files of this VM take on its disk.
    pub disk_used_bytes: IntGauge,
    /// Bytes that they may take; 0 if not known.
    pub disk_limit_bytes: IntGauge,
    /// 1 while the disk refuses writes because it is full.
    pub disk_full: IntGauge,
}

/// Bucket bounds of the latency histogram in seconds, from below the shortest service time to the
/// longest timeout.
const LATENCY_BOUNDS: [f64; 10] = [0.01, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0];

impl Metrics {
    /// Creates the metrics of one process.
    pub fn new() -> Self {
        let registry =
            Registry::new_custom(Some("wagtailshunt_entry".to_owned()), None).unwrap_or_default();
        let opts = HistogramOpts::new("call_seconds", "Time of calls from head to answer.");
        let latency = HistogramVec::new(opts.buckets(LATENCY_BOUNDS.to_vec()), &["outcome"])
            .expect("constant name is valid");
        if let Err(err) = registry.register(Box::new(latency.clone())) {
            log::warn!("metric cannot be registered: {err}");
        }
        Metrics {
            calls: metrics::counter_vec(&registry, "calls_total", "Calls by outcome.", "outcome"),
            shed: metrics::counter_vec2(
                &registry,
                "shed_total",
                "Calls refused to shed load, by reason and priority.",
                ["reason", "priority"],
            ),
            attempts: metrics::counter_vec(
                &registry,
                "attempts_total",
                "Attempts by result.",
                "result",
            ),
            latency,
            relayed: metrics::counter_vec(
                &registry,
                "relayed_total",
                "Calls relayed by other VMs, by result.",
                "result",
            ),
            path_lost: metrics::gauge(&registry, "path_lost", "1 while no target is reached."),
            connections: metrics::counter(
                &registry,
                "connections_total",
                "Connections opened to targets.",
            ),
            probes: metrics::counter(&registry, "probes_total", "Probes sent to targets."),
            in_progress: metrics::gauge(&registry, "calls_in_progress", "Calls in progress."),
            announcements: metrics::counter(
                &registry,
                "announcements_total",
                "Announcements of targets taken here.",
            ),
            disk_used_bytes: metrics::gauge(&registry, "disk_used_bytes", "Size of the files."),
            disk_limit_bytes: metrics::gauge(&registry, "disk_limit_bytes", "Size of the disk."),
            disk_full: metrics::gauge(&registry, "disk_full", "1 while the disk is full."),
            registry,
        }
    }

    /// Returns the metrics in the Prometheus text format.
    pub fn text(&self) -> Vec<u8> {
        metrics::encode(&self.registry)
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics::new()
    }
}
