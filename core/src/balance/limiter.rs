//! Adaptive concurrency of one target, at or under its stated slots.

use std::time;

use serde::{Deserialize, Serialize};

use super::{CallResult, Outcome};
use crate::time::Instant;

/// Settings of a [`Limiter`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimiterConfig {
    /// Whether the limit adapts; otherwise it stays at the stated slots.
    pub enabled: bool,
    /// Lowest limit. It is a fraction because several gateways share a target's slots.
    pub floor: f64,
    /// Calls waiting on the target, relative to its slots, above which it counts as crowded. Short
    /// queues form and vanish with every burst and call for no reaction.
    pub crowded_queue: f64,
    /// Added to the limit by each answer that found the target uncrowded.
    pub increase: f64,
    /// Factor on the limit when the target was crowded.
    pub decrease: f64,
    /// Shortest time between two decreases in milliseconds, so that the answers of one crowded
    /// moment count once.
    pub decrease_interval_ms: u64,
}

impl Default for LimiterConfig {
    fn default() -> Self {
        LimiterConfig {
            enabled: true,
            floor: 0.5,
            crowded_queue: 4.0,
            increase: 0.1,
            decrease: 0.9,
            decrease_interval_ms: 20,
        }
    }
}

/// Limit on this gateway's calls in flight to one target.
#[derive(Clone, Debug)]
pub struct Limiter {
    cfg: LimiterConfig,
    slots: f64,
    limit: f64,
    decreased: Option<Instant>,
}

impl Limiter {
    /// Creates a limiter at the stated slots.
    pub fn new(cfg: LimiterConfig, slots: u32) -> Self {
        let slots = f64::from(slots.max(1));
        Limiter {
            cfg,
            slots,
            limit: slots,
            decreased: None,
        }
    }

    /// Takes over a change of the stated slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = f64::from(slots.max(1));
        self.limit = self.limit.min(self.slots);
    }

    /// Returns the calls that this gateway should have in flight at most.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Learns from the end of a call.
    pub fn observe(&mut self, now: Instant, finish: &CallResult) {
        if !self.cfg.enabled {
            return;
        }
        let crowd = self.slots * self.cfg.crowded_queue;
        let waiting = finish
            .report
            .is_some_and(|report| f64::from(report.queue) > crowd);
        match finish.outcome {
            Outcome::Shed | Outcome::Timeout => self.decrease(now),
            Outcome::Ok if waiting => self.decrease(now),
            Outcome::Ok => self.limit = (self.limit + self.cfg.increase).min(self.slots),
            Outcome::Error | Outcome::Cancelled => {}
        }
    }

    fn decrease(&mut self, now: Instant) {
        let interval = time::Duration::from_millis(self.cfg.decrease_interval_ms);
        if self.decreased.is_some_and(|at| now.since(at) < interval) {
            return;
        }
        self.decreased = Some(now);
        self.limit = (self.limit * self.cfg.decrease).max(self.cfg.floor);
    }
}
