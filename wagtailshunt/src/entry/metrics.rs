//! Prometheus metrics of an entry VM.

use prometheus::{HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Registry};

use crate::{entry::calls::Failure, metrics};

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
    /// 1 while this VM holds a lease on the keys; 0 where none is needed.
    pub key_lease_held: IntGauge,
    /// Calls refused for lack of a lease on the keys.
    pub keys_unconfirmed: IntCounter,
    /// Connections opened to targets.
    pub connections: IntCounter,
    /// Probes sent to targets.
    pub probes: IntCounter,
    /// Targets that have stated in a response that they leave, by the kind of response; also invalid
    /// statements.
    pub departures: IntCounterVec,
    /// Failure domains that are evacuated.
    pub evacuated_domains: IntGauge,
    /// Targets that are cold and whose calls are limited.
    pub cold_targets: IntGauge,
    /// Those of them that this VM may send calls to.
    pub cold_targets_held: IntGauge,
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
    /// Calls of workspaces with an allowance, by decision.
    pub allowances: AllowanceCounters,
    /// Size of the memory budget.
    pub memory_budget_bytes: IntGauge,
    /// Bytes of it that are held.
    pub memory_used_bytes: IntGauge,
    /// Connections and messages that the memory budget ended or refused, by reason.
    pub memory_refused: IntCounterVec,
}

/// Calls of workspaces with an allowance. Not by workspace, of which there may be any number.
pub struct AllowanceCounters {
    pub granted: IntCounter,
    /// Calls that ran on tokens of a deputy, without an answer of the leader.
    pub deputy: IntCounter,
    pub refused: IntCounter,
    pub unknown: IntCounter,
    /// Calls that were refused over the allowance, among all calls by outcome.
    pub refused_outcome: IntCounter,
    /// Calls that were refused because the allowance is unknown, among all calls by outcome.
    pub unknown_outcome: IntCounter,
}

impl AllowanceCounters {
    fn new(registry: &Registry, calls: &IntCounterVec) -> AllowanceCounters {
        let help = "Calls of workspaces with an allowance, by decision.";
        let decisions = metrics::counter_vec(registry, "allowance_calls_total", help, "decision");
        let outcome = |failure: Failure| calls.with_label_values(&[failure.to_string()]);
        AllowanceCounters {
            granted: decisions.with_label_values(&["granted"]),
            deputy: decisions.with_label_values(&["deputy"]),
            refused: decisions.with_label_values(&["refused"]),
            unknown: decisions.with_label_values(&["unknown"]),
            refused_outcome: outcome(Failure::OverAllowance),
            unknown_outcome: outcome(Failure::AllowanceUnknown),
        }
    }
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
        let calls = metrics::counter_vec(&registry, "calls_total", "Calls by outcome.", "outcome");
        Metrics {
            allowances: AllowanceCounters::new(&registry, &calls),
            calls,
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
            key_lease_held: metrics::gauge(
                &registry,
                "key_lease_held",
                "1 while a lease on the keys is held; 0 where none is needed.",
            ),
            keys_unconfirmed: metrics::counter(
                &registry,
                "keys_unconfirmed_total",
                "Calls refused for lack of a lease on the keys.",
            ),
            connections: metrics::counter(
                &registry,
                "connections_total",
                "Connections opened to targets.",
            ),
            probes: metrics::counter(&registry, "probes_total", "Probes sent to targets."),
            departures: metrics::counter_vec(
                &registry,
                "stated_departures_total",
                "Targets that state in a response that they leave, by its kind; invalid statements.",
                "source",
            ),
            evacuated_domains: metrics::gauge(
                &registry,
                "evacuated_domains",
                "Failure domains that are evacuated.",
            ),
            cold_targets: metrics::gauge(&registry, "cold_targets", "Cold targets known here."),
            cold_targets_held: metrics::gauge(
                &registry,
                "cold_targets_held",
                "Cold targets that announce themselves here.",
            ),
            in_progress: metrics::gauge(&registry, "calls_in_progress", "Calls in progress."),
            announcements: metrics::counter(
                &registry,
                "announcements_total",
                "Announcements of targets taken here.",
            ),
            disk_used_bytes: metrics::gauge(&registry, "disk_used_bytes", "Size of the files."),
            disk_limit_bytes: metrics::gauge(&registry, "disk_limit_bytes", "Size of the disk."),
            memory_budget_bytes: metrics::gauge(
                &registry,
                "memory_budget_bytes",
                "Memory for connections and messages of callers.",
            ),
            memory_used_bytes: metrics::gauge(
                &registry,
                "memory_used_bytes",
                "Memory that connections and messages of callers hold.",
            ),
            memory_refused: metrics::counter_vec(
                &registry,
                "memory_refused_total",
                "Connections and messages ended for lack of memory or descriptors, by reason.",
                "reason",
            ),
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
