//! Estimates the latency of a target and derives the time after which a connection counts as
//! silent.
//!
//! The input is the time to the first byte of each response. A connection is silent if no byte
//! arrives on it for longer than slow calls explain, for example because a middlebox dropped its
//! state.

use std::time::Duration;

use crate::time;

/// Settings of [`LatencyTracker`].
#[derive(Clone, Debug)]
pub struct LatencyConfig {
    /// Multiple of the 99th percentile of latency after which a connection counts as silent. Calls
    /// that are merely slow are rarely three times slower than the 99th percentile.
    pub p99_factor: u32,
    /// Lower limit of the silence timeout. It prevents reconnects during short pauses that a noisy
    /// neighbour causes.
    pub min_timeout: Duration,
    /// Upper limit of the silence timeout, also used until there are enough samples.
    pub max_timeout: Duration,
    /// Number of responses from which the estimate is used.
    pub min_samples: u64,
}

impl Default for LatencyConfig {
    fn default() -> Self {
        LatencyConfig {
            p99_factor: 3,
            min_timeout: Duration::from_millis(50),
            max_timeout: Duration::from_secs(2),
            min_samples: 20,
        }
    }
}

// Four buckets per power of two, so that a quantile is at most 25% above the true value.
const BUCKETS_PER_DOUBLING: usize = 4;
const BUCKETS: usize = 40 * BUCKETS_PER_DOUBLING;
// The counts are halved at this total, so that the estimate follows a change of the target's
// latency within a few hundred responses.
const DECAY_THRESHOLD: u64 = 512;

/// Latency histogram and number of silent connections of one target.
#[derive(Clone, Debug)]
pub struct LatencyTracker {
    cfg: LatencyConfig,
    counts: Vec<u16>,
    total: u64,
    last_response: Option<time::Instant>,
    silent_connections: u64,
}

impl LatencyTracker {
    /// Creates an estimate without samples.
    pub fn new(cfg: LatencyConfig) -> Self {
        LatencyTracker {
            cfg,
            counts: vec![0; BUCKETS],
            total: 0,
            last_response: None,
            silent_connections: 0,
        }
    }

    /// Records a response whose first byte arrived `latency` after the request was sent.
    pub fn record_latency(&mut self, now: time::Instant, latency: Duration) {
        self.counts[bucket_index(time::micros(latency))] += 1;
        self.total += 1;
        self.last_response = Some(now);
        if self.total >= DECAY_THRESHOLD {
            self.decay();
        }
    }

    /// Records that a connection was found silent.
    pub fn record_silence(&mut self) {
        self.silent_connections += 1;
    }

    /// Returns the number of connections found silent.
    pub fn silent_count(&self) -> u64 {
        self.silent_connections
    }

    /// Returns the time of the last response on any connection to the target.
    pub fn last_response(&self) -> Option<time::Instant> {
        self.last_response
    }

    /// Returns the latency that `permille` of 1000 recent responses did not exceed, or `None` if
    /// there are too few samples.
    pub fn quantile(&self, permille: u64) -> Option<Duration> {
        if self.total < self.cfg.min_samples {
            return None;
        }
        let rank = (self.total * permille).div_ceil(1000).max(1);
        let mut seen = 0;
        for (index, count) in self.counts.iter().enumerate() {
            seen += u64::from(*count);
            if seen >= rank {
                return Some(Duration::from_micros(bucket_upper_us(index)));
            }
        }
        None
    }

    /// Returns the time without a byte after which a connection counts as silent.
    pub fn silence_timeout(&self) -> Duration {
        let Some(p99) = self.quantile(990) else {
            return self.cfg.max_timeout;
        };
        let timeout = p99.saturating_mul(self.cfg.p99_factor);
        timeout.clamp(self.cfg.min_timeout, self.cfg.max_timeout)
    }

    /// Returns the time at which the connection of a call without a byte since `last_progress`
    /// counts as silent. At least half of the time to the deadline is left for a second attempt on
    /// a new connection.
    pub fn silent_at(
        &self,
        last_progress: time::Instant,
        deadline: time::Instant,
    ) -> time::Instant {
        let half = deadline.since(last_progress) / 2;
        last_progress + self.silence_timeout().min(half)
    }

    fn decay(&mut self) {
        self.total = 0;
        for count in &mut self.counts {
            *count /= 2;
            self.total += u64::from(*count);
        }
    }
}

fn bucket_index(latency_us: u64) -> usize {
    let value = latency_us.max(1);
    let power = value.ilog2() as usize;
    let step = ((value - (1 << power)) * BUCKETS_PER_DOUBLING as u64) >> power;
    (power * BUCKETS_PER_DOUBLING + step as usize).min(BUCKETS - 1)
}

fn bucket_upper_us(index: usize) -> u64 {
    let base = 1_u64 << (index / BUCKETS_PER_DOUBLING);
    base + (base * (index % BUCKETS_PER_DOUBLING + 1) as u64).div_ceil(BUCKETS_PER_DOUBLING as u64)
}
