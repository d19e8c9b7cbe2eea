//! Budget for probes, which measure the load of targets.
//!
//! Probes cost messages, bytes and target time. Two token buckets limit each of these resources:
//! one is filled by calls and bounds the cost per call, the other is filled by time and bounds the
//! rate, so that the cost does not rise with a burst of calls.

use std::time;

use serde::{Deserialize, Serialize};

use crate::time::{self as core_time, Instant};

/// Number of bucket units for each token; tokens are counted in millionths so that slow refills are
/// not lost to rounding.
const UNITS_PER_TOKEN: u64 = 1_000_000;

/// Limit of one resource.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limit {
    /// Tokens added for each 1,000 calls.
    pub per_1000_calls: u64,
    /// Tokens added per second, regardless of the number of calls.
    pub per_second: u64,
    /// Maximum number of tokens in a bucket.
    pub burst: u64,
}

/// Limits of all resources that probes consume.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Probe messages, requests and responses counted separately.
    pub messages: Limit,
    /// Bytes of probe messages.
    pub bytes: Limit,
    /// Target time spent on answering probes, in microseconds.
    pub target_time_us: Limit,
}

impl Limits {
    /// Returns limits that allow `per_1000_calls` probes for each 1,000 calls, `per_second` probes
    /// per second and bursts of `burst` probes, for probes of the given cost.
    pub fn for_probes(cost: &Cost, per_1000_calls: u64, per_second: u64, burst: u64) -> Limits {
        let limit = |cost_per_probe: u64| Limit {
            per_1000_calls: per_1000_calls * cost_per_probe,
            per_second: per_second * cost_per_probe,
            burst: burst * cost_per_probe,
        };
        Limits {
            messages: limit(u64::from(cost.messages)),
            bytes: limit(u64::from(cost.bytes)),
            target_time_us: limit(core_time::micros(cost.target_time)),
        }
    }
}

/// Cost of one probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Cost {
    /// Messages, request and response counted separately.
    pub messages: u32,
    /// Bytes of all messages.
    pub bytes: u32,
    /// Time the target spends on it.
    pub target_time: time::Duration,
}

impl Default for Cost {
    /// Returns the cost of one HTTP request and response on an open connection, with 5 ms of target
    /// time (the value for Krittlinje).
    fn default() -> Self {
        Cost {
            messages: 2,
            bytes: 300,
            target_time: time::Duration::from_millis(5),
        }
    }
}

/// Consumption since the creation of the budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Spent {
    /// Calls counted.
    pub calls: u64,
    /// Probe messages.
    pub messages: u64,
    /// Bytes of probe messages.
    pub bytes: u64,
    /// Target time in microseconds.
    pub target_time_us: u64,
    /// Probes that were not sent for lack of tokens.
    pub refused: u64,
}

/// The two token buckets of one resource, with [`UNITS_PER_TOKEN`] units for each token.
#[derive(Clone, Copy, Debug)]
struct BucketPair {
    limit: Limit,
    call_filled: u64,
    time_filled: u64,
}

impl BucketPair {
    fn new(limit: Limit) -> Self {
        BucketPair {
            limit,
            call_filled: 0,
            time_filled: 0,
        }
    }

    fn capacity(&self) -> u64 {
        self.limit.burst.saturating_mul(UNITS_PER_TOKEN)
    }

    fn count_call(&mut self) {
        let filled = self
            .call_filled
            .saturating_add(self.limit.per_1000_calls * (UNITS_PER_TOKEN / 1000));
        self.call_filled = filled.min(self.capacity());
    }

    fn advance(&mut self, elapsed_us: u64) {
        let gained = self.limit.per_second.saturating_mul(elapsed_us);
        self.time_filled = self.time_filled.saturating_add(gained).min(self.capacity());
    }

    fn covers(&self, tokens: u64) -> bool {
        let cost_units = tokens.saturating_mul(UNITS_PER_TOKEN);
        self.call_filled >= cost_units && self.time_filled >= cost_units
    }

    fn take(&mut self, tokens: u64) {
        let cost_units = tokens.saturating_mul(UNITS_PER_TOKEN);
        self.call_filled -= cost_units;
        self.time_filled -= cost_units;
    }
}

/// Token budget over messages, bytes and target time.
///
/// The cost of a probe is taken from the budget before it is sent, so the consumption never exceeds
/// `calls * per_1000_calls / 1000` nor `elapsed seconds * per_second`.
#[derive(Clone, Debug)]
pub struct Budget {
    messages: BucketPair,
    bytes: BucketPair,
    target_time: BucketPair,
    last_refill: Instant,
    spent: Spent,
}

impl Budget {
    /// Creates an empty budget that starts to fill at `now`.
    pub fn new(limits: &Limits, now: Instant) -> Self {
        Budget {
            messages: BucketPair::new(limits.messages),
            bytes: BucketPair::new(limits.bytes),
            target_time: BucketPair::new(limits.target_time_us),
            last_refill: now,
            spent: Spent::default(),
        }
    }

    /// Counts a call, which fills the per-call buckets.
    pub fn count_call(&mut self) {
        self.spent.calls += 1;
        self.messages.count_call();
        self.bytes.count_call();
        self.target_time.count_call();
    }

    /// Takes the cost of a probe from the budget; returns false and takes nothing for lack of
    /// tokens.
    pub fn try_spend(&mut self, now: Instant, cost: &Cost) -> bool {
        self.advance(now);
        let messages = u64::from(cost.messages);
        let bytes = u64::from(cost.bytes);
        let target_time = core_time::micros(cost.target_time);
        let covered = self.messages.covers(messages)
            && self.bytes.covers(bytes)
            && self.target_time.covers(target_time);
        if !covered {
            self.spent.refused += 1;
            return false;
        }
        self.messages.take(messages);
        self.bytes.take(bytes);
        self.target_time.take(target_time);
        self.spent.messages += messages;
        self.spent.bytes += bytes;
        self.spent.target_time_us += target_time;
        true
    }

    /// Returns the consumption so far.
    pub fn spent(&self) -> &Spent {
        &self.spent
    }

    fn advance(&mut self, now: Instant) {
        let elapsed = core_time::micros(now.since(self.last_refill));
        self.last_refill = self.last_refill.max(now);
        self.messages.advance(elapsed);
        self.bytes.advance(elapsed);
        self.target_time.advance(elapsed);
    }
}
