//! Sets the times at which refused callers come back, so that they find room and the more urgent
//! ones come first.

use std::{collections, time};

use super::{Caller, WORK_MARGIN};
use crate::time as core_time;

/// Longest delay that callers honour, as a share of the time that they have left.
const MAX_DELAY_SHARE: f64 = 1.0 / 3.0;

/// Part of the longest delay from which a delay is drawn when no time is known at which there will
/// be room. The longest delays leave the fewest callers for the second that is short.
const DRAWN: std::ops::Range<f64> = 0.4..1.0;

/// Time for which a refused class of calls counts when the delays of the others are drawn.
const CLASS_AGE: time::Duration = time::Duration::from_secs(2);

/// When a refused caller finds room.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Room {
    /// Calls wait for slots.
    Behind {
        /// Work of the waiting calls that go first.
        work: time::Duration,
        /// Work that is done in each second: the number of slots that this VM gets.
        rate: f64,
    },
    /// Slots are free, and targets refuse a part of the calls for other reasons.
    Free,
    /// Not known.
    Unknown,
}

/// A refused class of calls.
#[derive(Clone, Copy, Debug)]
struct Class {
    /// Time from which there is room for the next caller of this class.
    room_from: core_time::Instant,
    last_refusal: core_time::Instant,
}

/// Times promised to refused callers, by priority.
#[derive(Clone, Debug, Default)]
pub struct Returns {
    classes: collections::BTreeMap<u32, Class>,
}

impl Returns {
    /// Returns the delay for a refused caller and keeps room for its return.
    pub fn delay(
        &mut self,
        now: core_time::Instant,
        caller: &Caller,
        time_left: time::Duration,
        room: Room,
        random: f64,
    ) -> time::Duration {
        self.classes
            .retain(|_, class| now.since(class.last_refusal) <= CLASS_AGE);
        let own = self.classes.entry(caller.priority);
        own.or_insert(Class {
            room_from: now,
            last_refusal: now,
        })
        .last_refusal = now;
        let longest = self.longest_delay(caller, time_left);
        let position = self.position(caller.priority, random);
        let drawn = longest.mul_f64(DRAWN.start + (DRAWN.end - DRAWN.start) * position);
        let (work, rate) = match room {
            Room::Behind { work, rate } => (work, rate),
            // A target may take the call now as well as later, and now it may still be in time.
            // Callers refused together come back within the time of one call.
            Room::Free => return longest.min(caller.work.mul_f64(position)),
            Room::Unknown => return drawn,
        };
        let seconds = |work: time::Duration| work.div_f64(rate.max(0.01));
        // Callers of more urgent classes were promised the room before.
        let promised = self.classes.range(..=caller.priority);
        let promised = promised.map(|(_, class)| class.room_from).max();
        let start = (now + seconds(work)).max(promised.unwrap_or(now));
        let delay = start.since(now);
        if delay > longest {
            // There is no room while the caller still waits. It comes as late as it may.
            return drawn;
        }
        if let Some(class) = self.classes.get_mut(&caller.priority) {
            class.room_from = start + seconds(caller.work);
        }
        delay
    }

    /// Returns the longest delay after which there is still time to run the call.
    fn longest_delay(&self, caller: &Caller, time_left: time::Duration) -> time::Duration {
        let run = caller.work.mul_f64(WORK_MARGIN);
        let honoured = time_left.mul_f64(MAX_DELAY_SHARE);
        match time_left.checked_sub(run) {
            Some(spare) => honoured.min(spare),
            None => honoured,
        }
    }

    /// Returns a position in a range of delays, from 0 to 1: the range is divided among the classes
    /// that are refused at this time, the most urgent first.
    fn position(&self, priority: u32, random: f64) -> f64 {
        let count = self.classes.len().max(1) as f64;
        let rank = self.classes.range(..priority).count() as f64;
        (rank + random.clamp(0.0, 1.0)) / count
    }
}
