//! Latency estimate of a target and the bound after which a connection is suspected.

use std::time::Duration;

use crate::time;

/// Settings of [`Health`].
#[derive(Clone, Debug)]
pub struct HealthConfig {
    /// Multiple of the 99th percentile of latency after which silence is suspected. Calls that are
    /// merely slow are rarely three times slower than the 99th percentile.
    pub factor: u32,
    /// Lower limit of the bound; keeps short pauses of a noisy neighbour from moving calls.
    pub min_bound: Duration,
    /// Upper limit of the bound, also used until enough answers were measured.
    pub max_bound: Duration,
    /// Number of answers from which the estimate is used.
    pub min_samples: u64,
}

impl Default for HealthConfig {
    fn default() -> Self {
        HealthConfig {
            factor: 3,
            min_bound: Duration::from_millis(50),
            max_bound: Duration::from_secs(2),
            min_samples: 20,
        }
    }
}

// Four buckets per power of two, so that a reading is at most 25% above the true value.
const STEPS: usize = 4;
const BUCKETS: usize = 40 * STEPS;
// The counts are halved at this total, so that the estimate follows a changed target within a few
// hundred answers.
const DECAY_AT: u64 = 512;

/// Latency and silence of the connections to one target.
#[derive(Clone, Debug)]
pub struct Health {
    cfg: HealthConfig,
    counts: Vec<u16>,
    total: u64,
    last_answer: Option<time::Instant>,
    silent: u64,
}

impl Health {
    /// Creates an estimate without measurements.
    pub fn new(cfg: HealthConfig) -> Self {
        Health {
            cfg,
            counts: vec![0; BUCKETS],
            total: 0,
            last_answer: None,
            silent: 0,
        }
    }

    /// The first byte of an answer arrived `latency` after the request was sent.
    pub fn answered(&mut self, now: time::Instant, latency: Duration) {
        self.counts[bucket(time::micros(latency))] += 1;
        self.total += 1;
        self.last_answer = Some(now);
        if self.total >= DECAY_AT {
            self.decay();
        }
    }

    /// A connection was found silent.
    pub fn silent(&mut self) {
        self.silent += 1;
    }

    /// Number of connections found silent.
    pub fn silent_count(&self) -> u64 {
        self.silent
    }

    /// Time of the last answer on any connection to the target.
    pub fn last_answer(&self) -> Option<time::Instant> {
        self.last_answer
    }

    /// Latency that `permille` of 1000 recent answers did not exceed, or `None` while too few were
    /// measured.
    pub fn quantile(&self, permille: u64) -> Option<Duration> {
        if self.total < self.cfg.min_samples {
            return None;
        }
        let rank = (self.total * permille).div_ceil(1000).max(1);
        let mut seen = 0;
        for (index, count) in self.counts.iter().enumerate() {
            seen += u64::from(*count);
            if seen >= rank {
                return Some(Duration::from_micros(upper_edge(index)));
            }
        }
        None
    }

    /// Time without a byte after which a connection is suspected of being silent.
    pub fn bound(&self) -> Duration {
        let Some(p99) = self.quantile(990) else {
            return self.cfg.max_bound;
        };
        let bound = p99.saturating_mul(self.cfg.factor);
        bound.clamp(self.cfg.min_bound, self.cfg.max_bound)
    }

    /// Time at which a call without a byte since `last_byte` is suspected. At least half of the
    /// remaining time is left for the move to a new connection.
    pub fn suspect_at(&self, last_byte: time::Instant, deadline: time::Instant) -> time::Instant {
        let half = deadline.since(last_byte) / 2;
        last_byte + self.bound().min(half)
    }

    fn decay(&mut self) {
        self.total = 0;
        for count in &mut self.counts {
            *count /= 2;
            self.total += u64::from(*count);
        }
    }
}

fn bucket(micros: u64) -> usize {
    let value = micros.max(1);
    let power = value.ilog2() as usize;
    let step = ((value - (1 << power)) * STEPS as u64) >> power;
    (power * STEPS + step as usize).min(BUCKETS - 1)
}

fn upper_edge(index: usize) -> u64 {
    let base = 1_u64 << (index / STEPS);
    base + (base * (index % STEPS + 1) as u64).div_ceil(STEPS as u64)
}
