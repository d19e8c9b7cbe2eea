//! Generates the load: open-loop arrivals with bursts, and heavy-tailed service times.
//!
//! All values are drawn from a seeded generator, independently of how calls are served.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Mean length of a burst in microseconds; the load changes within milliseconds.
const BURST_US: f64 = 4_000.0;
/// Mean time between bursts in microseconds.
const BETWEEN_BURSTS_US: f64 = 12_000.0;
/// Rate within a burst relative to the mean rate.
const BURST_FACTOR: f64 = 2.2;
/// Share of the calls of a burst that arrive at the same gateway.
const BURST_SKEW_SHARE: f64 = 0.4;
/// Share of calls that are long on any target.
const LONG_CALL_SHARE: f64 = 0.01;
/// Share of attempts that are long because of their target, for example a garbage collection
/// pause.
const LONG_ATTEMPT_SHARE: f64 = 0.015;
/// Bounds in microseconds and shape of the bounded Pareto distribution of long service times.
const LONG_MIN_US: f64 = 10_000.0;
const LONG_MAX_US: f64 = 120_000.0;
const LONG_SHAPE: f64 = 1.3;
/// Shortest service time of an ordinary call and mean of the exponential part added to it, in
/// microseconds.
const SERVICE_MIN_US: f64 = 1_500.0;
const SERVICE_EXTRA_US: f64 = 2_000.0;
/// Share of calls that are idempotent (lookups).
const IDEMPOTENT_SHARE: f64 = 0.7;

/// Returns the mean service time in microseconds, computed from the distributions.
pub fn mean_service_us() -> f64 {
    let shape = LONG_SHAPE;
    let (low, high) = (LONG_MIN_US, LONG_MAX_US);
    let norm = 1.0 - (low / high).powf(shape);
    let long = low.powf(shape) / norm * shape / (shape - 1.0)
        * (low.powf(1.0 - shape) - high.powf(1.0 - shape));
    SERVICE_MIN_US + SERVICE_EXTRA_US + (LONG_CALL_SHARE + LONG_ATTEMPT_SHARE) * long
}

/// Properties of a generated call.
#[derive(Clone, Copy, Debug)]
pub struct CallSpec {
    /// Service time of the first and of later attempts, in microseconds.
    pub service_us: [f64; 2],
    /// Whether the call is idempotent, so that it may be hedged.
    pub idempotent: bool,
    /// Number between 0 and 1 that selects the gateway in proportion.
    pub gateway_fraction: f64,
    /// Gateway number, modulo the gateways alive, that replaces `gateway_fraction` in a burst.
    pub hot_gateway_override: Option<u32>,
}

/// Arrivals of one run. They depend on the seed only, so all policies receive the same calls.
#[derive(Clone, Debug)]
pub struct Arrivals {
    rng: SmallRng,
    rate_per_us: f64,
    /// Factor on the mean rate, changed by [`Fault::Rate`](super::Fault::Rate).
    pub rate_factor: f64,
    now_us: f64,
    in_burst: bool,
    phase_end_us: f64,
    hot_gateway: u32,
}

impl Arrivals {
    /// Creates arrivals with a mean rate in calls per second.
    pub fn new(seed: u64, rate: f64) -> Self {
        Arrivals {
            rng: SmallRng::seed_from_u64(seed),
            rate_per_us: rate / 1e6,
            rate_factor: 1.0,
            now_us: 0.0,
            in_burst: false,
            phase_end_us: BETWEEN_BURSTS_US,
            hot_gateway: 0,
        }
    }

    /// Returns the time of the next arrival in microseconds and its call.
    pub fn next(&mut self) -> (u64, CallSpec) {
        loop {
            let gap = self.exponential(1.0 / self.rate());
            if self.now_us + gap < self.phase_end_us {
                self.now_us += gap;
                return (self.now_us as u64, self.call_spec());
            }
            self.now_us = self.phase_end_us;
            self.in_burst = !self.in_burst;
            let length = if self.in_burst {
                BURST_US
            } else {
                BETWEEN_BURSTS_US
            };
            self.phase_end_us += self.exponential(length);
            self.hot_gateway = self.rng.random_range(0..1_000);
        }
    }

    /// Moves the clock forward to `us` without generating arrivals.
    pub fn skip_to(&mut self, us: u64) {
        self.now_us = self.now_us.max(us as f64);
        self.phase_end_us = self.phase_end_us.max(self.now_us);
    }

    fn rate(&self) -> f64 {
        let share = BURST_US / (BURST_US + BETWEEN_BURSTS_US);
        let calm = (1.0 - share * BURST_FACTOR) / (1.0 - share);
        let shape = if self.in_burst { BURST_FACTOR } else { calm };
        self.rate_per_us * self.rate_factor * shape
    }

    fn call_spec(&mut self) -> CallSpec {
        let ordinary = SERVICE_MIN_US + self.exponential(SERVICE_EXTRA_US);
        let inherent = self.long(LONG_CALL_SHARE);
        let first = self.long(LONG_ATTEMPT_SHARE);
        let later = self.long(LONG_ATTEMPT_SHARE);
        let service_us = [ordinary + inherent + first, ordinary + inherent + later];
        let skewed = self.rng.random_bool(BURST_SKEW_SHARE);
        CallSpec {
            service_us,
            idempotent: self.rng.random_bool(IDEMPOTENT_SHARE),
            gateway_fraction: self.rng.random(),
            hot_gateway_override: (self.in_burst && skewed).then_some(self.hot_gateway),
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
