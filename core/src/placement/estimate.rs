//! Load reports of targets, and the estimates of load and latency that are made from them.

use std::time;

/// Tolerance in calls: the number of calls from other VMs is an estimate, and less than half a call
/// does not occupy a slot.
const OCCUPANCY_TOLERANCE: f64 = 0.5;

/// Largest number of calls or slots of a target that are told apart. Targets report any number.
const MAX_CALLS: u32 = 1024;

/// Largest slowness of a target that is told apart, in percent.
const MAX_SLOWNESS_PERCENT: u32 = 100_000;

/// Returns the number of slots to calculate with for a target that announces `slots`.
pub(super) fn bounded_slots(slots: u32) -> u32 {
    slots.min(MAX_CALLS)
}

/// Load that a target reports of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of running calls.
    pub running: u32,
    /// Number of calls that wait for a slot.
    pub waiting: u32,
    /// Number of calls that the target runs at the same time.
    pub slots: u32,
    /// Current service time in percent of the usual one; `None` when the target does not report it.
    pub slowness_percent: Option<u32>,
}

impl LoadReport {
    /// Returns the report with numbers that are safe to calculate with.
    pub(super) fn bounded(self) -> LoadReport {
        LoadReport {
            running: self.running.min(MAX_CALLS),
            waiting: self.waiting.min(MAX_CALLS),
            slots: bounded_slots(self.slots),
            slowness_percent: self
                .slowness_percent
                .map(|percent| percent.min(MAX_SLOWNESS_PERCENT)),
        }
    }
}

/// Estimated state of a target at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Number of calls that run or wait on the target.
    pub occupancy: f64,
    /// Number of calls that the target runs at the same time.
    pub slots: u32,
    /// Concurrency at which the target has its highest throughput; at most `slots`.
    pub best_concurrency: u32,
    /// Factor on the service time, from the target's reports, its warm-up and failed probes.
    pub slowness: f64,
    /// Further factor on the service time, from the calls that already run on the target.
    pub contention: f64,
    /// Whether this VM may take one more of the slots that the last load report has shown as free,
    /// which other VMs see as well.
    pub takes_one_more: bool,
    /// Age of the target's last load report; `None` without a report.
    pub age: Option<time::Duration>,
}

impl Estimate {
    /// Returns the expected time until the response to a call with a service time of `work` on an
    /// idle target of usual speed.
    pub fn expected_latency(&self, work: time::Duration) -> time::Duration {
        let slots = f64::from(self.slots.max(1));
        let ahead = (self.occupancy - slots + 1.0).max(0.0) / slots;
        work.mul_f64(self.slowness.max(0.1) * self.contention * (1.0 + ahead))
    }

    /// Returns whether a call would start at once without lowering the target's throughput.
    pub fn has_capacity(&self) -> bool {
        self.occupancy + 1.0 <= f64::from(self.best_concurrency.max(1)) + OCCUPANCY_TOLERANCE
    }

    /// Returns the number of calls that the target would run with one more call.
    pub fn running_with_one_more(&self) -> u32 {
        self.occupancy.round() as u32 + 1
    }
}
