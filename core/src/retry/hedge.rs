//! Hedging: a second attempt of an idempotent call that is slower than a latency quantile, within a
//! budget. The quantile comes from the latencies of successful responses of the same service.
//!
//! Source: Dean and Barroso, "The Tail at Scale", CACM 2013.

use std::time;

use serde::{Deserialize, Serialize};

use super::{Attempt, Budget, Config, LatencyHistogram};
use crate::time::Instant;

/// Settings of hedging.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HedgeConfig {
    /// Whether calls are hedged at all.
    pub enabled: bool,
    /// Latency quantile, in thousandths, after which a call is hedged.
    pub quantile_permille: u32,
    /// Number of hedges allowed for each 1,000 calls.
    pub per_1000_calls: u32,
    /// Maximum number of tokens in the budget.
    pub burst: u32,
    /// Number of samples below which calls are not hedged.
    pub min_samples: u32,
}

impl Default for HedgeConfig {
    fn default() -> Self {
        HedgeConfig {
            enabled: true,
            quantile_permille: 950,
            per_1000_calls: 50,
            burst: 5,
            min_samples: 50,
        }
    }
}

/// Decides when calls of one service are hedged.
#[derive(Clone, Debug)]
pub struct Hedger {
    cfg: HedgeConfig,
    latencies: LatencyHistogram,
    budget: Budget,
}

impl Hedger {
    /// Creates a hedger without samples.
    pub fn new(cfg: HedgeConfig) -> Self {
        let budget = Config {
            per_1000_calls: cfg.per_1000_calls,
            burst: cfg.burst,
            ..Config::default()
        };
        Hedger {
            cfg,
            latencies: LatencyHistogram::default(),
            budget: Budget::new(budget),
        }
    }

    /// Counts the first attempt of a call.
    pub fn count_call(&mut self) {
        self.budget.count_call();
    }

    /// Records the latency of a successful response.
    pub fn record(&mut self, latency: time::Duration) {
        self.latencies.record(latency);
    }

    /// Returns the delay after which a call is hedged; `None` with too few samples or with hedging
    /// disabled.
    pub fn delay(&self) -> Option<time::Duration> {
        if !self.cfg.enabled || self.latencies.samples() < self.cfg.min_samples {
            return None;
        }
        self.latencies.quantile(self.cfg.quantile_permille)
    }

    /// Returns the median latency of an attempt; zero without samples.
    pub fn median_latency(&self) -> time::Duration {
        self.latencies.quantile(500).unwrap_or_default()
    }

    /// Decides at the end of the delay whether to hedge a call; a hedge takes a token.
    pub fn try_hedge(&mut self, now: Instant, attempt: &Attempt) -> bool {
        self.cfg.enabled
            && attempt.idempotent
            && attempt.attempts_made == 1
            && !attempt.caller_attempt.is_retry()
            && attempt.deadline.allows(now, attempt.expected)
            && self.budget.try_spend()
    }

    /// Returns the numbers of calls counted and of hedges sent.
    pub fn totals(&self) -> (u64, u64) {
        self.budget.totals()
    }
}
