//! Hybrid logical clock (Kulkarni et al., "Logical Physical Clocks", OPODIS 2014).

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

use crate::time;

const COUNTER_BITS: u32 = 16;

/// A timestamp: wall-clock milliseconds in the upper 48 bits, a counter in the lower 16.
///
/// If an event happened before another, its stamp is smaller.
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
#[display("{}.{}", self.wall(), self.counter())]
#[serde(transparent)]
pub struct Stamp(pub u64);

impl Stamp {
    /// Returns the wall-clock time.
    pub fn wall(self) -> time::UnixMillis {
        time::UnixMillis(self.0 >> COUNTER_BITS)
    }

    /// Returns the counter, which orders stamps of the same millisecond.
    pub fn counter(self) -> u16 {
        self.0 as u16
    }
}

/// Hybrid logical clock of one process.
#[derive(Clone, Debug, Default)]
pub struct Clock {
    last: Stamp,
}

impl Clock {
    /// Advances the clock and returns the stamp of a local event or of a frame to be sent.
    pub fn tick(&mut self, wall: time::UnixMillis) -> Stamp {
        let physical = wall.0 << COUNTER_BITS;
        self.last = Stamp(physical.max(self.last.0 + 1));
        self.last
    }

    /// Advances the clock past the stamp of a received frame and returns the stamp of its receipt.
    pub fn observe(&mut self, wall: time::UnixMillis, received: Stamp) -> Stamp {
        self.last = self.last.max(received);
        self.tick(wall)
    }
}
