//! Time values that the core receives as arguments.

use std::ops;
pub use std::time::Duration;

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// A point on a monotonic clock, in microseconds since an arbitrary origin of the process.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash, From, Into,
)]
#[display("{_0}us")]
pub struct Instant(pub u64);

impl Instant {
    /// Returns the time elapsed since `earlier`, or zero when `earlier` is later.
    pub fn since(self, earlier: Instant) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns this point moved back by `duration`, stopping at the origin.
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
