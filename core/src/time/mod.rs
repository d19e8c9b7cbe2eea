//! Time types. The core reads no clock; callers pass in the current time as an argument.

use std::ops;
pub use std::time::Duration;

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Time of a monotonic clock, in microseconds since an arbitrary origin that differs per process.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash, From, Into,
)]
#[display("{_0}us")]
pub struct Instant(pub u64);

impl Instant {
    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Instant) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time `duration` before this one, or the origin if that would be before the
    /// origin.
    pub fn saturating_sub(self, duration: Duration) -> Instant {
        Instant(self.0.saturating_sub(micros(duration)))
    }
}

impl ops::Add<Duration> for Instant {
    type Output = Instant;

    fn add(self, duration: Duration) -> Instant {
        Instant(self.0.saturating_add(micros(duration)))
    }
}

/// Time of a clock that also runs while the machine is suspended, in microseconds since the start of
/// the machine. Not comparable with an [`Instant`], whose clock stops meanwhile.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, From, Into)]
pub struct BootInstant(pub u64);

impl BootInstant {
    /// Returns the time elapsed since `earlier`, or `None` if `earlier` is later. A clock that has
    /// gone back, as after a restored image of a machine, measures nothing.
    pub fn checked_since(self, earlier: BootInstant) -> Option<Duration> {
        let elapsed = self.0.checked_sub(earlier.0)?;
        Some(Duration::from_micros(elapsed))
    }
}

/// Wall-clock time in milliseconds since the Unix epoch.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    From,
    Into,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct UnixMillis(pub u64);

/// Converts a duration to whole microseconds, saturating at `u64::MAX`.
pub fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
