//! What a run measures.

use hdrhistogram::Histogram;
use wagtailshunt_core::measure;
use wagtailshunt_core::time::Instant;

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
