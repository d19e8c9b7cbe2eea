//! How long the work of a route takes on a target that isn't slowed.

use std::time;

/// Weight of a new sample.
const WEIGHT: f64 = 0.05;

/// Share of the objective that is taken for the work before there is a sample.
const FIRST_GUESS: f64 = 0.4;

/// Running mean of the time of answers, each divided by what slowed it.
#[derive(Clone, Copy, Debug)]
pub struct WorkTime {
    seconds: f64,
}

impl WorkTime {
    /// Starts with a guess from the latency objective of the route.
    pub fn guess(objective: time::Duration) -> WorkTime {
        WorkTime {
            seconds: objective.as_secs_f64() * FIRST_GUESS,
        }
    }

    /// Adds the time of an answer from a target that was believed to be slower by `factor`.
    pub fn sample(&mut self, taken: time::Duration, factor: f64) {
        let normal = taken.as_secs_f64() / factor.max(1.0);
        // A neighbour that no report showed yet must not make the work look longer for good.
        let bounded = normal.min(self.seconds * 3.0);
        self.seconds += (bounded - self.seconds) * WEIGHT;
    }

    /// Returns the mean.
    pub fn mean(&self) -> time::Duration {
        time::Duration::from_secs_f64(self.seconds)
    }
}
