//! What a run measures.

use hdrhistogram::Histogram;
use wagtailshunt_core::measure;
use wagtailshunt_core::time::Instant;

use super::cluster::Cluster;

/// Longest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Counters of a run.
#[derive(Clone, Debug)]
pub struct Stats {
    /// When counting began.
    pub since: Instant,
    /// Calls that arrived.
    pub offered: u64,
    /// Calls answered in time.
    pub ok: u64,
    /// Calls refused before any attempt; they have not run.
    pub refused: u64,
    /// Calls that failed after an attempt.
    pub failed: u64,
    /// Calls without an answer at their deadline.
    pub timeouts: u64,
    /// Attempts sent to targets.
    pub attempts: u64,
    /// Retries among them.
    pub retries: u64,
    /// Hedges among them.
    pub hedges: u64,
    /// Attempts cancelled because another one answered.
    pub cancelled: u64,
    /// Attempts that a target ran to the end after their call was answered.
    pub wasted: u64,
    /// Attempts that were sent to a target that was leaving.
    pub sent_to_draining: u64,
    /// Calls passed on to the owner.
    pub handed: u64,
    /// Answers that carried a load report.
    pub reports: u64,
    /// Latencies of answered calls in microseconds.
    pub latencies: Histogram<u64>,
    pub(super) measured_before: (u64, measure::Spent),
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
            handed: 0,
            reports: 0,
            latencies: Histogram::new_with_max(MAX_LATENCY_US, 3).expect("constant bounds"),
            measured_before: (0, measure::Spent::default()),
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

/// Figures of a run that scenarios check.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// 99th percentile of the latency in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile of the latency in milliseconds.
    pub p999_ms: f64,
    /// Calls answered in time per second.
    pub goodput: f64,
    /// Calls that failed or missed their deadline, in percent.
    pub errors_pct: f64,
    /// Calls refused as not run, in percent.
    pub refused_pct: f64,
    /// Attempts for each call.
    pub attempts: f64,
    /// Hedges in percent of the calls.
    pub hedges_pct: f64,
    /// Wasted attempts in percent of the calls.
    pub wasted_pct: f64,
    /// Probe messages for each call.
    pub messages: f64,
    /// Target time spent on probes for each call, in microseconds.
    pub probe_us: f64,
}

impl Cluster {
    /// Returns what was measured since the last reset.
    pub fn figures(&self, now: Instant) -> Figures {
        let stats = &self.stats;
        let (_, spent) = self.measuring_totals();
        let (_, before) = stats.measured_before;
        let per_call = |value: u64| value as f64 / stats.offered.max(1) as f64;
        let seconds = now.since(stats.since).as_secs_f64().max(1e-6);
        Figures {
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

    /// Returns how many attempts each target was given.
    pub fn received(&self) -> Vec<u64> {
        self.targets.iter().map(|target| target.received).collect()
    }
}
