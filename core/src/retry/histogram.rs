//! Streaming latency quantile over log-spaced buckets with decay.

use std::time;

use crate::time::micros;

/// Buckets per doubling of the value: a relative error of about 9%.
const STEPS: u32 = 8;
const DOUBLINGS: u32 = 32;
const BUCKETS: usize = (STEPS * DOUBLINGS) as usize;
/// Weight of all samples at which every bucket is halved, so old samples fade.
const HALVE_AT: u32 = 2_000;

/// Histogram of recent durations.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    counts: Vec<u32>,
    total: u32,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        LatencyHistogram {
            counts: vec![0; BUCKETS],
            total: 0,
        }
    }
}

impl LatencyHistogram {
    /// Adds a sample.
    pub fn record(&mut self, duration: time::Duration) {
        self.counts[bucket(micros(duration))] += 1;
        self.total += 1;
        if self.total >= HALVE_AT {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
    }

    /// Returns how many samples are kept, after decay.
    pub fn samples(&self) -> u32 {
        self.total
    }

    /// Returns the upper edge of the bucket that contains the quantile; `None` without samples.
    pub fn quantile(&self, permille: u32) -> Option<time::Duration> {
        if self.total == 0 {
            return None;
        }
        let rank = (u64::from(self.total) * u64::from(permille))
            .div_ceil(1000)
            .max(1);
        let mut seen = 0;
        for (index, count) in self.counts.iter().enumerate() {
            seen += u64::from(*count);
            if seen >= rank {
                return Some(time::Duration::from_micros(upper_edge(index)));
            }
        }
        None
    }
}

fn bucket(us: u64) -> usize {
    let us = us.max(1);
    let doubling = us.ilog2().min(DOUBLINGS - 1);
    let base = 1u64 << doubling;
    let step = ((us - base) * u64::from(STEPS) / base).min(u64::from(STEPS) - 1);
    doubling as usize * STEPS as usize + step as usize
}

fn upper_edge(index: usize) -> u64 {
    let base = 1u64 << (index as u32 / STEPS);
    let step = u64::from(index as u32 % STEPS) + 1;
    base + (base * step).div_ceil(u64::from(STEPS))
}
