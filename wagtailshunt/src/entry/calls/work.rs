//! Estimated service time of a route on a target at normal speed, from the times of its responses.

use std::time;

/// Weight of a new sample in the running mean.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Initial estimate as a share of the latency objective, used until there are samples.
const INITIAL_OBJECTIVE_SHARE: f64 = 0.4;

/// Longest service time of the initial estimate. Operators set any objective.
const MAX_INITIAL_SECONDS: f64 = 600.0;

/// Running mean of response times, each divided by the slowdown of its target.
#[derive(Clone, Copy, Debug)]
pub struct ServiceTime {
    seconds: f64,
}

impl ServiceTime {
    /// Creates an estimate from the latency objective of the route.
    pub fn from_objective(objective: time::Duration) -> ServiceTime {
        ServiceTime {
            seconds: (objective.as_secs_f64() * INITIAL_OBJECTIVE_SHARE).min(MAX_INITIAL_SECONDS),
        }
    }

    /// Adds the response time of a target whose expected slowdown was `factor`.
    pub fn sample(&mut self, taken: time::Duration, factor: f64) {
        let normalized = taken.as_secs_f64() / factor.max(1.0);
        // Bounds samples from targets whose slowdown no load report has shown yet.
        let bounded = normalized.min(self.seconds * 3.0);
        self.seconds += (bounded - self.seconds) * SAMPLE_WEIGHT;
    }

    /// Returns the estimated service time.
    pub fn mean(&self) -> time::Duration {
        time::Duration::from_secs_f64(self.seconds)
    }
}
