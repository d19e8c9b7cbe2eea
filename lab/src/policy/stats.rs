//! Counters and latencies of a run, and the summary that scenarios check.

use hdrhistogram::Histogram;
use wagtailshunt_core::measure;
use wagtailshunt_core::time::Instant;

use super::cluster::Cluster;

/// Longest recorded latency in microseconds; longer ones count as this.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Counters of a run.
#[derive(Clone, Debug)]
pub struct Stats {
    /// Virtual time of the last reset.
    pub since: Instant,
    /// Calls that arrived.
    pub offered: u64,
    /// Calls with a response before their deadline.
    pub ok: u64,
    /// Calls refused before any attempt, which have not run.
    pub refused: u64,
    /// Calls that failed after an attempt.
    pub failed: u64,
    /// Calls without a response at their deadline.
    pub timeouts: u64,
    /// Attempts sent to targets.
    pub attempts: u64,
    /// Attempts that are retries.
    pub retries: u64,
    /// Attempts that are hedges.
    pub hedges: u64,
    /// Attempts cancelled because another attempt of the call succeeded.
    pub cancelled: u64,
    /// Attempts that a target finished after their call had ended.
    pub wasted: u64,
    /// Attempts that arrived at a draining target.
    pub sent_to_draining: u64,
    /// Calls forwarded to the owner.
    pub forwarded: u64,
    /// Responses with a load report.
    pub reports: u64,
    /// Latencies of successful calls in microseconds.
    pub latencies: Histogram<u64>,
    pub(super) measurement_before_reset: (u64, measure::Spent),
}

impl Default for Stats {
    fn default() -> Self {
        Stats {
            since: Instant(0),
            offered: 0,
            ok: 0,
            refused: 0,
            failed: 0,
            timeouts: 0,
            attempts: 0,
            retries: 0,
            hedges: 0,
            cancelled: 0,
            wasted: 0,
            sent_to_draining: 0,
            forwarded: 0,
            reports: 0,
            latencies: Histogram::new_with_max(MAX_LATENCY_US, 3).expect("constant bounds"),
            measurement_before_reset: (0, measure::Spent::default()),
        }
    }
}

impl Stats {
    /// Returns the latency at a quantile in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latencies.value_at_quantile(quantile) as f64 / 1000.0
    }

    pub(super) fn record_latency(&mut self, us: u64) {
        self.latencies.saturating_record(us.max(1));
    }
}

/// Results of a run that scenarios check.
#[derive(Clone, Copy, Debug)]
pub struct RunSummary {
    /// 99th percentile of the latency in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile of the latency in milliseconds.
    pub p999_ms: f64,
    /// Calls per second with a response before their deadline.
    pub goodput: f64,
    /// Calls that failed or missed their deadline, in percent.
    pub errors_pct: f64,
    /// Calls refused without a run, in percent.
    pub refused_pct: f64,
    /// Attempts per call.
    pub attempts: f64,
    /// Hedges, in percent of the calls.
    pub hedges_pct: f64,
    /// Wasted attempts, in percent of the calls.
    pub wasted_pct: f64,
    /// Probe messages per call.
    pub messages: f64,
    /// Target time spent on probes per call, in microseconds.
    pub probe_us: f64,
}

impl Cluster {
    /// Returns the results since the last reset.
    pub fn summary(&self, now: Instant) -> RunSummary {
        let stats = &self.stats;
        let (_, spent) = self.measurement_totals();
        let (_, before) = stats.measurement_before_reset;
        let per_call = |value: u64| value as f64 / stats.offered.max(1) as f64;
        let seconds = now.since(stats.since).as_secs_f64().max(1e-6);
        RunSummary {
            p99_ms: stats.latency_ms(0.99),
            p999_ms: stats.latency_ms(0.999),
            goodput: stats.ok as f64 / seconds,
            errors_pct: per_call(stats.failed + stats.timeouts) * 100.0,
            refused_pct: per_call(stats.refused) * 100.0,
            attempts: per_call(stats.attempts),
            hedges_pct: per_call(stats.hedges) * 100.0,
            wasted_pct: per_call(stats.wasted) * 100.0,
            messages: per_call(spent.messages - before.messages),
            probe_us: per_call(spent.target_time_us - before.target_time_us),
        }
    }

    /// Returns the number of attempts that each target received.
    pub fn received(&self) -> Vec<u64> {
        self.targets.iter().map(|target| target.received).collect()
    }
}
