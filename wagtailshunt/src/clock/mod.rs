//! Monotonic, boot and wall-clock time, and sleeping.
//!
//! The clock of compio cannot be paused, so the core takes the time as an argument. Only this module
//! reads the clock for it.

use std::time;

use wagtailshunt_core::time as core_time;

/// Reads monotonic, boot and wall-clock time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: time::Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Clock {
            origin: time::Instant::now(),
        }
    }
}

impl Clock {
    /// Returns the monotonic time since the clock was created.
    pub fn now(&self) -> core_time::Instant {
        core_time::Instant(core_time::micros(self.origin.elapsed()))
    }

    /// Returns the time since the start of the machine, including time spent suspended.
    ///
    /// Leases that must end on time are measured by it: the monotonic clock stops during a
    /// suspension.
    pub fn boot(&self) -> core_time::BootInstant {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let micros = u64::try_from(time.tv_nsec / 1000).unwrap_or_default();
        core_time::BootInstant(seconds.saturating_mul(1_000_000).saturating_add(micros))
    }

    /// Returns the wall-clock time; zero if the system clock is before 1970.
    pub fn wall(&self) -> core_time::UnixMillis {
        let elapsed = time::SystemTime::now()
            .duration_since(time::UNIX_EPOCH)
            .unwrap_or_default();
        core_time::UnixMillis(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }

    /// Waits until `deadline`; returns immediately if it has passed.
    pub async fn sleep_until(&self, deadline: core_time::Instant) {
        let wait = deadline.since(self.now());
        if !wait.is_zero() {
            compio::time::sleep(wait).await;
        }
    }
}

/// Waits for the given duration.
pub async fn sleep(wait: time::Duration) {
    compio::time::sleep(wait).await;
}
