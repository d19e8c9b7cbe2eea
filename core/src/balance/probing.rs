//! Pool of probe responses, and the selection from it by hot and cold targets: of cold targets the
//! one with the lowest latency, otherwise the one with the lowest occupancy.
//!
//! Source: Wydrowski, Kleinberg, Rumble and Archer, "Load is not what you should balance:
//! Introducing Prequal", NSDI 2024.

use std::time;

use serde::{Deserialize, Serialize};

use super::{LoadReport, TargetKey};
use crate::time::Instant;

/// Parameters of the probing policy.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Probing {
    /// Maximum number of responses in the pool.
    pub pool: u32,
    /// Number of calls that may use one response.
    pub reuse: u32,
    /// Age in microseconds at which a response is dropped.
    pub max_age_us: u64,
    /// Quantile of the occupancies in the pool, in thousandths, above which a target is hot.
    pub hot_permille: u32,
}

impl Default for Probing {
    fn default() -> Self {
        Probing {
            pool: 16,
            reuse: 3,
            max_age_us: 1_000_000,
            hot_permille: 840,
        }
    }
}

/// Response to one probe.
#[derive(Clone, Copy, Debug)]
struct Entry {
    key: TargetKey,
    /// Calls that run or wait on the target, increased with each use of the response.
    occupancy: u32,
    latency: time::Duration,
    at: Instant,
    uses: u32,
}

/// Recent probe responses, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct Pool {
    entries: Vec<Entry>,
}

impl Pool {
    /// Adds a response; the oldest is removed from a full pool.
    pub fn add(&mut self, now: Instant, params: &Probing, key: TargetKey, report: &LoadReport) {
        if self.entries.len() >= params.pool.max(1) as usize {
            self.entries.remove(0);
        }
        self.entries.push(Entry {
            key,
            occupancy: report.occupancy(),
            latency: report.latency,
            at: now,
            uses: 0,
        });
    }

    /// Selects the target with the lowest latency among cold targets, or else the one with the
    /// lowest occupancy. The call that follows is added to the occupancy of the used response.
    pub fn choose(
        &mut self,
        now: Instant,
        params: &Probing,
        mut eligible: impl FnMut(TargetKey) -> bool,
    ) -> Option<TargetKey> {
        let max_age = time::Duration::from_micros(params.max_age_us);
        self.entries.retain(|entry| now.since(entry.at) <= max_age);
        // A single response gives nothing to compare.
        if self.entries.len() < 2 {
            return None;
        }
        let hot_threshold = self.hot_threshold(params.hot_permille);
        let rank = |entry: &Entry| {
            let hot = entry.occupancy > hot_threshold;
            let cost = if hot {
                u128::from(entry.occupancy)
            } else {
                entry.latency.as_micros()
            };
            (hot, cost)
        };
        let index = (0..self.entries.len())
            .filter(|&index| eligible(self.entries[index].key))
            .min_by_key(|&index| rank(&self.entries[index]))?;
        let entry = &mut self.entries[index];
        entry.occupancy += 1;
        entry.uses += 1;
        let key = entry.key;
        if entry.uses >= params.reuse.max(1) {
            self.entries.remove(index);
        }
        Some(key)
    }

    /// Removes all responses of a target.
    pub fn remove_target(&mut self, key: TargetKey) {
        self.entries.retain(|entry| entry.key != key);
    }

    fn hot_threshold(&self, permille: u32) -> u32 {
        let mut sorted: Vec<u32> = self.entries.iter().map(|entry| entry.occupancy).collect();
        sorted.sort_unstable();
        let index = (sorted.len() - 1) * permille as usize / 1000;
        sorted[index]
    }
}
