//! Token budget for measuring target load.
//!
//! Two buckets limit each resource: one is filled by calls and bounds the cost per call, the other
//! is filled by time and bounds the rate, so that the cost does not grow with a rush of calls.

use std::time;

use serde::{Deserialize, Serialize};

use crate::time::{self as core_time, Instant};

/// Tokens are counted in millionths so that slow refills lose nothing to rounding.
const SCALE: u64 = 1_000_000;

/// Limit of one resource.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limit {
    /// Units granted for each 1,000 calls.
    pub per_1000_calls: u64,
    /// Units granted per second, whatever the number of calls.
    pub per_second: u64,
    /// Most units that can be saved up.
    pub burst: u64,
}

/// Limits of all resources that measuring consumes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Probe messages, counting request and answer.
    pub messages: Limit,
    /// Bytes of probe messages.
    pub bytes: Limit,
    /// Target time spent on answering probes, in microseconds.
    pub target_time_us: Limit,
}

impl Limits {
    /// Returns limits for a number of probes of a given cost: `per_1000_calls` and `per_second`
    /// probes, with up to `burst` of them saved up.
    pub fn for_probes(cost: &Cost, per_1000_calls: u64, per_second: u64, burst: u64) -> Limits {
        let limit = |unit: u64| Limit {
            per_1000_calls: per_1000_calls * unit,
            per_second: per_second * unit,
            burst: burst * unit,
        };
        Limits {
            messages: limit(u64::from(cost.messages)),
            bytes: limit(u64::from(cost.bytes)),
            target_time_us: limit(core_time::micros(cost.target_time)),
        }
    }
}

/// Cost of one measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Cost {
    /// Messages, counting request and answer.
    pub messages: u32,
    /// Bytes of all messages.
    pub bytes: u32,
    /// Time the target spends on it.
    pub target_time: time::Duration,
}

impl Default for Cost {
    /// One HTTP request and answer on an open connection; 5 ms as measured by Krittlinje.
    fn default() -> Self {
        Cost {
            messages: 2,
            bytes: 300,
            target_time: time::Duration::from_millis(5),
        }
    }
}

/// What has been spent since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Spent {
    /// Calls that filled the budget.
    pub calls: u64,
    /// Probe messages.
    pub messages: u64,
    /// Bytes of probe messages.
    pub bytes: u64,
    /// Target time in microseconds.
    pub target_time_us: u64,
    /// Probes that were not sent because tokens were missing.
    pub refused: u64,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    limit: Limit,
    by_calls: u64,
    by_time: u64,
}

impl Bucket {
    fn new(limit: Limit) -> Self {
        Bucket {
            limit,
            by_calls: 0,
            by_time: 0,
        }
    }

    fn cap(&self) -> u64 {
        self.limit.burst.saturating_mul(SCALE)
    }

    fn count_call(&mut self) {
        let filled = self
            .by_calls
            .saturating_add(self.limit.per_1000_calls * (SCALE / 1000));
        self.by_calls = filled.min(self.cap());
    }

    fn advance(&mut self, elapsed_us: u64) {
        let gained = self.limit.per_second.saturating_mul(elapsed_us);
        self.by_time = self.by_time.saturating_add(gained).min(self.cap());
    }

    fn covers(&self, units: u64) -> bool {
        let need = units.saturating_mul(SCALE);
        self.by_calls >= need && self.by_time >= need
    }

    fn take(&mut self, units: u64) {
        let need = units.saturating_mul(SCALE);
        self.by_calls -= need;
        self.by_time -= need;
    }
}

/// Token budget over messages, bytes and target time.
///
/// A measurement is paid for before it is sent, so spending never exceeds
/// `calls * per_1000_calls / 1000` nor `elapsed seconds * per_second`.
#[derive(Clone, Debug)]
pub struct Budget {
    messages: Bucket,
    bytes: Bucket,
    target_time: Bucket,
    updated: Instant,
    spent: Spent,
}

impl Budget {
    /// Creates an empty budget that starts to fill at `now`.
    pub fn new(limits: &Limits, now: Instant) -> Self {
        Budget {
            messages: Bucket::new(limits.messages),
            bytes: Bucket::new(limits.bytes),
            target_time: Bucket::new(limits.target_time_us),
            updated: now,
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

    /// Pays for a measurement; returns false and takes nothing when tokens are missing.
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

    /// Returns what has been spent so far.
    pub fn spent(&self) -> &Spent {
        &self.spent
    }

    fn advance(&mut self, now: Instant) {
        let elapsed = core_time::micros(now.since(self.updated));
        self.updated = self.updated.max(now);
        self.messages.advance(elapsed);
        self.bytes.advance(elapsed);
        self.target_time.advance(elapsed);
    }
}
