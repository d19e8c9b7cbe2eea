//! Adaptive limit on a gateway's calls in flight to one target, at most the target's stated slots.
//!
//! The limit rises by a constant with each good response, and falls by a factor when a call is shed
//! or times out or the target reports a long queue (additive increase, multiplicative decrease).

use std::time;

use serde::{Deserialize, Serialize};

use super::{CallResult, Outcome};
use crate::time::Instant;

/// Settings of a [`Limiter`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimiterConfig {
    /// Whether the limit adapts; otherwise it stays at the stated number of slots.
    pub enabled: bool,
    /// Lowest limit. It is a fraction because several gateways share a target's slots.
    pub floor: f64,
    /// Length of the target's queue, relative to its slots, above which it counts as overloaded.
    /// Short queues form and vanish with every burst and need no reaction.
    pub crowded_queue: f64,
    /// Increase of the limit for each response from a target that is not overloaded.
    pub increase: f64,
    /// Factor on the limit when the target is overloaded.
    pub decrease: f64,
    /// Shortest time between two decreases in milliseconds, so that several responses during one
    /// overload count once.
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
    last_decrease: Option<Instant>,
}

impl Limiter {
    /// Creates a limiter that starts at the stated number of slots.
    pub fn new(cfg: LimiterConfig, slots: u32) -> Self {
        let slots = f64::from(slots.max(1));
        Limiter {
            cfg,
            slots,
            limit: slots,
            last_decrease: None,
        }
    }

    /// Changes the stated number of slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = f64::from(slots.max(1));
        self.limit = self.limit.min(self.slots);
    }

    /// Returns the maximum number of calls that this gateway should have in flight.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Adapts the limit to the result of a call.
    pub fn observe(&mut self, now: Instant, result: &CallResult) {
        if !self.cfg.enabled {
            return;
        }
        let overload_queue = self.slots * self.cfg.crowded_queue;
        let is_overloaded = result
            .report
            .is_some_and(|report| f64::from(report.queue) > overload_queue);
        match result.outcome {
            Outcome::Shed | Outcome::Timeout => self.decrease(now),
            Outcome::Ok if is_overloaded => self.decrease(now),
            Outcome::Ok => self.limit = (self.limit + self.cfg.increase).min(self.slots),
            Outcome::Error | Outcome::Cancelled => {}
        }
    }

    fn decrease(&mut self, now: Instant) {
        let interval = time::Duration::from_millis(self.cfg.decrease_interval_ms);
        if self
            .last_decrease
            .is_some_and(|at| now.since(at) < interval)
        {
            return;
        }
        self.last_decrease = Some(now);
        self.limit = (self.limit * self.cfg.decrease).max(self.cfg.floor);
    }
}
