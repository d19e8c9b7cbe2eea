//! What a report says about a target, and the time that a call would take there.

use std::time;

/// What others have running is an estimate; less than half a call doesn't fill a slot.
const ROUNDING: f64 = 0.5;

/// Load of a target as it reported it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Calls that are running.
    pub running: u32,
    /// Calls that wait for a slot.
    pub waiting: u32,
    /// Calls that it runs at once.
    pub slots: u32,
    /// How long work takes now, in hundredths of the usual time; `None` when it doesn't tell.
    pub slowness_percent: Option<u32>,
}

/// What is believed about a target at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Calls that are running or waiting.
    pub occupancy: f64,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Calls at which it gets most done; at most `slots`.
    pub best_concurrency: u32,
    /// Factor on the time that work takes.
    pub slowness: f64,
    /// Further factor for a call that begins beside those that run.
    pub contention: f64,
    /// Age of the report behind it; `None` without a report.
    pub age: Option<time::Duration>,
}

impl Estimate {
    /// Returns the expected time until the answer to a call that takes `work` on an idle target of
    /// usual speed.
    pub fn expected_latency(&self, work: time::Duration) -> time::Duration {
        let slots = f64::from(self.slots.max(1));
        let ahead = (self.occupancy - slots + 1.0).max(0.0) / slots;
        work.mul_f64(self.slowness.max(0.1) * self.contention * (1.0 + ahead))
    }

    /// Returns whether a call would begin at once without making the target get less done.
    pub fn has_capacity(&self) -> bool {
        self.occupancy + 1.0 <= f64::from(self.best_concurrency.max(1)) + ROUNDING
    }

    /// Returns as how many calls, this one included, the target would run.
    pub fn running_with_one_more(&self) -> u32 {
        self.occupancy.round() as u32 + 1
    }
}
