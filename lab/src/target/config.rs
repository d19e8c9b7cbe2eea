//! Settings of a fake target, given by the test or benchmark that starts it.

use std::{net, time};

use rand::Rng;
use wagtailshunt_core::types;

/// Distribution of the time that a call occupies a slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServiceTime {
    /// A constant.
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
    /// A short and a long value.
    Bimodal {
        /// The common value.
        short: time::Duration,
        /// The rare value.
        long: time::Duration,
        /// Share of calls with the rare value, in thousandths.
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

/// Settings of the announcements of a target.
#[derive(Clone, Debug)]
pub struct AnnounceConfig {
    /// Admin addresses of gateways. The one that accepted the last announcement is tried first.
    pub gateways: Vec<net::SocketAddr>,
    /// API key of targets.
    pub key: String,
    /// Time between announcements.
    pub interval: time::Duration,
    /// Time-out of an announcement, after which the next gateway is tried.
    pub timeout: time::Duration,
}

impl Default for AnnounceConfig {
    fn default() -> Self {
        AnnounceConfig {
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
    /// Service of the target.
    pub service: types::ServiceName,
    /// Id of the target within the service.
    pub id: types::TargetId,
    /// Incarnation of the first start; each restart adds 1.
    pub incarnation: types::Incarnation,
    /// Address to listen on; port 0 selects a free port.
    pub listen: net::SocketAddr,
    /// Failure domain of the target.
    pub failure_domain: types::FailureDomain,
    /// Number of calls that run at the same time.
    pub slots: u32,
    /// Maximum number of queued calls; further ones are shed with the not-run marker.
    pub queue_limit: usize,
    /// Time that a call occupies its slot.
    pub service_time: ServiceTime,
    /// Seed of the service times; it also selects the gateway that is tried first.
    pub seed: u64,
    /// Time after a start during which the target announces `starting`.
    pub starting: time::Duration,
    /// Time after `starting` in which service times fall to normal.
    pub warm_up: time::Duration,
    /// Factor on service times at the start of the warm-up.
    pub warm_up_factor: f64,
    /// Bytes of padding in each response.
    pub padding_bytes: usize,
    /// Whether responses carry the id of their call.
    pub returns_call_id: bool,
    /// Announcements to gateways; with `None` the target does not register itself.
    pub announce: Option<AnnounceConfig>,
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
            padding_bytes: 0,
            returns_call_id: true,
            announce: None,
        }
    }
}
