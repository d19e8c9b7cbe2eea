//! Settings of a fake target.

use std::{net, time};

use rand::Rng;
use wagtailshunt_core::types;

/// Distribution of the time that a call occupies a slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServiceTime {
    /// Always the same.
    Fixed(time::Duration),
    /// Uniform between two bounds.
    Uniform {
        /// Lower bound.
        min: time::Duration,
        /// Upper bound.
        max: time::Duration,
    },
    /// Exponential with this mean.
    Exponential {
        /// The mean.
        mean: time::Duration,
    },
    /// Two values, for calls of two kinds.
    Bimodal {
        /// The usual value.
        short: time::Duration,
        /// The rare value.
        long: time::Duration,
        /// Calls in 1000 that take the rare value.
        long_permille: u32,
    },
}

impl ServiceTime {
    /// Draws a service time.
    pub fn sample(&self, rng: &mut impl Rng) -> time::Duration {
        match *self {
            ServiceTime::Fixed(value) => value,
            ServiceTime::Uniform { min, max } => {
                min + max.saturating_sub(min).mul_f64(rng.random())
            }
            ServiceTime::Exponential { mean } => {
                // 1 - u lies in (0, 1], so the logarithm is finite.
                let u: f64 = rng.random();
                mean.mul_f64(-(1.0 - u).ln())
            }
            ServiceTime::Bimodal {
                short,
                long,
                long_permille,
            } => {
                if rng.random_range(0..1000) < long_permille {
                    long
                } else {
                    short
                }
            }
        }
    }
}

/// Where and how a target announces itself.
#[derive(Clone, Debug)]
pub struct Announce {
    /// Admin addresses of gateways. The one that accepted last is tried first, then the others.
    pub gateways: Vec<net::SocketAddr>,
    /// Target key.
    pub key: String,
    /// Time between announcements.
    pub interval: time::Duration,
    /// Time after which an announcement goes to the next gateway.
    pub timeout: time::Duration,
}

impl Default for Announce {
    fn default() -> Self {
        Announce {
            gateways: Vec::new(),
            key: String::new(),
            interval: time::Duration::from_secs(1),
            timeout: time::Duration::from_millis(500),
        }
    }
}

/// Settings of a fake target.
#[derive(Clone, Debug)]
pub struct Config {
    /// Service that it belongs to.
    pub service: types::ServiceName,
    /// Its id within the service.
    pub id: types::TargetId,
    /// Incarnation of the first start; each restart adds one.
    pub incarnation: types::Incarnation,
    /// Address to listen on; port 0 takes a free one.
    pub listen: net::SocketAddr,
    /// Its failure domain.
    pub failure_domain: types::FailureDomain,
    /// Calls that run at the same time.
    pub slots: u32,
    /// Calls that may wait for a slot; further ones are shed with the not-run marker.
    pub queue_limit: usize,
    /// Time that a call occupies its slot.
    pub service_time: ServiceTime,
    /// Seed of the service times and of the gateway that is tried first.
    pub seed: u64,
    /// Time in which it announces `starting` after a start.
    pub starting: time::Duration,
    /// Time over which its speed rises to the normal one after `starting`.
    pub warm_up: time::Duration,
    /// Factor on service times at the beginning of the warm-up.
    pub warm_up_factor: f64,
    /// Bytes of padding in each answer.
    pub answer_bytes: usize,
    /// Announcements; without them it must be made known in another way.
    pub announce: Option<Announce>,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            service: types::ServiceName::from("service"),
            id: types::TargetId::from("target"),
            incarnation: types::Incarnation(1),
            listen: net::SocketAddr::from(([127, 0, 0, 1], 0)),
            failure_domain: types::FailureDomain::from("fd0"),
            slots: 3,
            queue_limit: 16,
            service_time: ServiceTime::Fixed(time::Duration::from_millis(1)),
            seed: 0,
            starting: time::Duration::ZERO,
            warm_up: time::Duration::ZERO,
            warm_up_factor: 1.0,
            answer_bytes: 0,
            announce: None,
        }
    }
}
