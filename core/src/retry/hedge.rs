//! Hedging: a second attempt of a slow idempotent call, within a budget.
//!
//! Source: Dean and Barroso, "The Tail at Scale", CACM 2013.

use std::time;

use serde::{Deserialize, Serialize};

use super::{Attempt, Budget, Config, LatencyHistogram};
use crate::time::Instant;

/// Limits of hedging.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HedgeConfig {
    /// Whether calls are hedged at all.
    pub enabled: bool,
    /// Latency quantile after which a call is hedged.
    pub quantile_permille: u32,
    /// Hedges allowed for each 1,000 calls.
    pub per_1000_calls: u32,
    /// Most hedges that can be saved up.
    pub burst: u32,
    /// Samples needed before the quantile is used.
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

    /// Counts a first attempt.
    pub fn count_call(&mut self) {
        self.budget.count_call();
    }

    /// Records the latency of a successful answer.
    pub fn record(&mut self, latency: time::Duration) {
        self.latencies.record(latency);
    }

    /// Returns the delay after which a call is hedged; `None` while too little is known.
    pub fn delay(&self) -> Option<time::Duration> {
        if !self.cfg.enabled || self.latencies.samples() < self.cfg.min_samples {
            return None;
        }
        self.latencies.quantile(self.cfg.quantile_permille)
    }

    /// Returns the expected latency (median) of an attempt, or zero while nothing is known.
    pub fn median_latency(&self) -> time::Duration {
        self.latencies.quantile(500).unwrap_or_default()
    }

    /// Decides at the end of the delay whether to hedge, and takes a token if so.
    pub fn try_hedge(&mut self, now: Instant, attempt: &Attempt) -> bool {
        self.cfg.enabled
            && attempt.idempotent
            && attempt.attempts_made == 1
            && !attempt.caller_attempt.is_retry()
            && attempt.deadline.allows(now, attempt.expected)
            && self.budget.try_spend()
    }

    /// Returns calls counted and hedges sent.
    pub fn totals(&self) -> (u64, u64) {
        self.budget.totals()
    }
}
