//! Rate of the regular probes, which go on while no call chooses a target.
//!
//! Regular probes help the calls that follow: they order the candidates of the next calls. A VM with
//! few calls a second among many targets gains nothing from a report that is out of date before its
//! next call. So the rate follows the calls of the VM, between a rate at which every target is still
//! probed now and then and the rate that the settings allow.

use std::time;

use crate::time as core_time;

/// Regular probes for each call.
const PROBES_PER_CALL: f64 = 1.0;

/// Longest time between two regular probes of a target by the VMs of a group, in which a target that
/// has failed is noticed without a call.
const MAX_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Time over which the rate of calls is measured.
const RATE_WINDOW: time::Duration = time::Duration::from_millis(1000);

/// Rate of the calls of this VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProbeRate {
    /// Calls in the window, weighted by an exponential decay.
    calls: f64,
    updated_at: core_time::Instant,
}

impl ProbeRate {
    /// Counts a call.
    pub fn count_call(&mut self, now: core_time::Instant) {
        self.calls = self.calls(now) + 1.0;
        self.updated_at = now;
    }

    fn calls(&self, now: core_time::Instant) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64() / RATE_WINDOW.as_secs_f64();
        self.calls * (-age).exp()
    }

    /// Returns the pause between two regular probes of a VM that probes `targets` targets, each at
    /// intervals of `min_interval` at least.
    pub fn pause(
        &self,
        now: core_time::Instant,
        targets: usize,
        min_interval: time::Duration,
    ) -> time::Duration {
        let targets = u32::try_from(targets).unwrap_or(u32::MAX).max(1);
        let probes_per_s = self.calls(now) / RATE_WINDOW.as_secs_f64() * PROBES_PER_CALL;
        let by_calls = time::Duration::from_secs_f64(1.0 / probes_per_s.max(0.001));
        let longest = MAX_INTERVAL.max(min_interval) / targets;
        by_calls.clamp(min_interval / targets, longest)
    }
}
