//! Settings of a load run.

use std::{fmt, time};

use serde::Serialize;

/// Distribution of the start times of calls in the open loop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Arrivals {
    /// Poisson process: exponentially distributed gaps.
    #[default]
    Poisson,
    /// Equal gaps.
    Uniform,
}

/// How calls are started.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Open loop: calls start at a given rate, independently of the responses.
    Open {
        /// Calls per second.
        rate_per_s: f64,
        /// Distribution of the start times.
        arrivals: Arrivals,
    },
    /// Closed loop: each caller starts its next call when the previous one has ended.
    Closed {
        /// Number of callers.
        callers: usize,
    },
}

impl fmt::Display for Mode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Mode::Open { rate_per_s, .. } => write!(f, "open {rate_per_s}/s"),
            Mode::Closed { callers } => write!(f, "closed {callers}"),
        }
    }
}

/// Request that every call sends.
#[derive(Clone, Debug, Serialize)]
pub struct RequestSpec {
    /// Method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// `Host` header, by which a gateway selects the service.
    pub host: String,
    /// Size of the body in bytes.
    pub body_bytes: usize,
    /// Whether each call carries a unique `Idempotency-Key`.
    pub keyed: bool,
}

impl Default for RequestSpec {
    fn default() -> Self {
        RequestSpec {
            method: "GET".to_owned(),
            path: "/".to_owned(),
            host: "service".to_owned(),
            body_bytes: 0,
            keyed: false,
        }
    }
}

/// Settings of a load run.
#[derive(Clone, Debug, Serialize)]
pub struct Config {
    /// Seed of the start times and keys; each repetition adds its number.
    pub seed: u64,
    /// Modes, run one after the other.
    pub modes: Vec<Mode>,
    /// Measured duration of each repetition.
    pub duration: time::Duration,
    /// Time before the measured duration; calls that start in it are not counted.
    pub warm_up: time::Duration,
    /// Repetitions of each mode.
    pub repetitions: usize,
    /// Maximum number of open connections in the open loop; further calls wait, and their wait
    /// counts as latency.
    pub connections: usize,
    /// Time after which a call counts as timed out.
    pub timeout: time::Duration,
    /// Request of all calls.
    pub request: RequestSpec,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            seed: 1,
            modes: vec![
                Mode::Closed { callers: 1 },
                Mode::Closed { callers: 32 },
                Mode::Closed { callers: 256 },
            ],
            duration: time::Duration::from_secs(2),
            warm_up: time::Duration::from_millis(500),
            repetitions: 3,
            connections: 512,
            timeout: time::Duration::from_secs(5),
            request: RequestSpec::default(),
        }
    }
}
