//! Generated load: open-loop arrivals with bursts, and service times with a heavy tail.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Mean length of a burst in microseconds; load shifts within milliseconds.
const BURST_US: f64 = 4_000.0;
/// Mean time between bursts in microseconds.
const CALM_US: f64 = 12_000.0;
/// Rate within a burst relative to the mean rate.
const BURST_FACTOR: f64 = 2.2;
/// Share of the calls of a burst that arrive at one gateway.
const BURST_SKEW: f64 = 0.4;
/// Share of calls that are long whatever target runs them.
const LONG_CALLS: f64 = 0.01;
/// Share of attempts that are long because of their target, for example a pause of its runtime.
const LONG_ATTEMPTS: f64 = 0.015;
/// Bounded Pareto distribution of the long part, in microseconds.
const LONG_MIN_US: f64 = 10_000.0;
const LONG_MAX_US: f64 = 120_000.0;
const LONG_SHAPE: f64 = 1.3;
/// Shortest and mean additional service time of ordinary calls, in microseconds.
const SERVICE_MIN_US: f64 = 1_500.0;
const SERVICE_EXTRA_US: f64 = 2_000.0;
/// Share of calls that may run twice (lookups).
const IDEMPOTENT: f64 = 0.7;

/// Mean service time in microseconds, from the constants above.
pub fn mean_service_us() -> f64 {
    let shape = LONG_SHAPE;
    let (low, high) = (LONG_MIN_US, LONG_MAX_US);
    let norm = 1.0 - (low / high).powf(shape);
    let long = low.powf(shape) / norm * shape / (shape - 1.0)
        * (low.powf(1.0 - shape) - high.powf(1.0 - shape));
    SERVICE_MIN_US + SERVICE_EXTRA_US + (LONG_CALLS + LONG_ATTEMPTS) * long
}

/// What a call brings along.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Service time of the first and of later attempts, in microseconds.
    pub service_us: [f64; 2],
    /// Whether it may run twice.
    pub idempotent: bool,
    /// Number between 0 and 1 that selects the gateway.
    pub entry: f64,
    /// Gateway number that overrides `entry` within a burst.
    pub hot_entry: Option<u32>,
}

/// Arrivals of one run. They depend on the seed only, so every policy meets the same calls.
#[derive(Clone, Debug)]
pub struct Arrivals {
    rng: SmallRng,
    rate_per_us: f64,
    /// Factor on the rate, set by the scenario.
    pub factor: f64,
    clock_us: f64,
    burst: bool,
    switch_us: f64,
    hot: u32,
}

impl Arrivals {
    /// Creates arrivals of a mean rate in calls per second.
    pub fn new(seed: u64, rate: f64) -> Self {
        Arrivals {
            rng: SmallRng::seed_from_u64(seed),
            rate_per_us: rate / 1e6,
            factor: 1.0,
            clock_us: 0.0,
            burst: false,
            switch_us: CALM_US,
            hot: 0,
        }
    }

    /// Returns the time of the next arrival in microseconds and its work.
    pub fn next(&mut self) -> (u64, Work) {
        loop {
            let gap = self.exponential(1.0 / self.rate());
            if self.clock_us + gap < self.switch_us {
                self.clock_us += gap;
                return (self.clock_us as u64, self.work());
            }
            self.clock_us = self.switch_us;
            self.burst = !self.burst;
            let length = if self.burst { BURST_US } else { CALM_US };
            self.switch_us += self.exponential(length);
            self.hot = self.rng.random_range(0..1_000);
        }
    }

    /// Moves the clock forward without arrivals.
    pub fn skip_to(&mut self, us: u64) {
        self.clock_us = self.clock_us.max(us as f64);
        self.switch_us = self.switch_us.max(self.clock_us);
    }

    fn rate(&self) -> f64 {
        let share = BURST_US / (BURST_US + CALM_US);
        let calm = (1.0 - share * BURST_FACTOR) / (1.0 - share);
        let shape = if self.burst { BURST_FACTOR } else { calm };
        self.rate_per_us * self.factor * shape
    }

    fn work(&mut self) -> Work {
        let ordinary = SERVICE_MIN_US + self.exponential(SERVICE_EXTRA_US);
        let inherent = self.long(LONG_CALLS);
        let first = self.long(LONG_ATTEMPTS);
        let later = self.long(LONG_ATTEMPTS);
        let service_us = [ordinary + inherent + first, ordinary + inherent + later];
        let skewed = self.rng.random_bool(BURST_SKEW);
        Work {
            service_us,
            idempotent: self.rng.random_bool(IDEMPOTENT),
            entry: self.rng.random(),
            hot_entry: (self.burst && skewed).then_some(self.hot),
        }
    }

    fn long(&mut self, share: f64) -> f64 {
        let long = self.rng.random_bool(share);
        let u: f64 = self.rng.random();
        if !long {
            return 0.0;
        }
        let tail = 1.0 - (LONG_MIN_US / LONG_MAX_US).powf(LONG_SHAPE);
        LONG_MIN_US / (1.0 - u * tail).powf(1.0 / LONG_SHAPE)
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        let u: f64 = self.rng.random();
        -mean * (1.0 - u).ln()
    }
}
