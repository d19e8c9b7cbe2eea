//! Histogram of recent latencies with logarithmic buckets, for streaming quantiles.

use std::time;

use crate::time::micros;

/// Buckets per doubling of the value; the relative error of a quantile is about 9%.
const BUCKETS_PER_DOUBLING: u32 = 8;
const DOUBLINGS: u32 = 32;
const BUCKETS: usize = (BUCKETS_PER_DOUBLING * DOUBLINGS) as usize;
/// Number of samples at which all buckets are halved, so that old samples lose weight.
const MAX_SAMPLES: u32 = 2_000;

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
        self.counts[bucket_index(micros(duration))] += 1;
        self.total += 1;
        if self.total >= MAX_SAMPLES {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
    }

    /// Returns the number of samples, reduced by the halvings.
    pub fn samples(&self) -> u32 {
        self.total
    }

    /// Returns the quantile, given in thousandths, as the upper edge of its bucket; `None` without
    /// samples.
    pub fn quantile(&self, permille: u32) -> Option<time::Duration> {
        if self.total == 0 {
            return None;
        }
        let rank = (u64::from(self.total) * u64::from(permille))
            .div_ceil(1000)
            .max(1);
        let mut cumulative = 0;
        for (index, count) in self.counts.iter().enumerate() {
            cumulative += u64::from(*count);
            if cumulative >= rank {
                return Some(time::Duration::from_micros(upper_edge_us(index)));
            }
        }
        None
    }
}

fn bucket_index(us: u64) -> usize {
    let us = us.max(1);
    let doubling = us.ilog2().min(DOUBLINGS - 1);
    let base = 1u64 << doubling;
    let step = ((us - base) * u64::from(BUCKETS_PER_DOUBLING) / base)
        .min(u64::from(BUCKETS_PER_DOUBLING) - 1);
    doubling as usize * BUCKETS_PER_DOUBLING as usize + step as usize
}

fn upper_edge_us(index: usize) -> u64 {
    let base = 1u64 << (index as u32 / BUCKETS_PER_DOUBLING);
    let step = u64::from(index as u32 % BUCKETS_PER_DOUBLING) + 1;
    base + (base * step).div_ceil(u64::from(BUCKETS_PER_DOUBLING))
}
