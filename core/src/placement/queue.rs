//! The line of calls that wait for a target with room, one for each service.
//!
//! Answers to more calls than slots: only the first in line asks targets, so that the number of
//! questions doesn't grow with the number of waiting calls, and what can still meet its objective goes
//! before what cannot. Within each of the two the more urgent route goes first, then the older call.
//! While the line is too long for its calls to meet their objectives, the newest goes before older
//! ones: the oldest would begin with no time to spare and be late, one after the other.
//!
//! Source of the order in overload: Maurer, "Fail at Scale", ACM Queue 2015 (adaptive LIFO).

use std::{collections, time};

use crate::time as core_time;

/// Identifies a waiting call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// Place of a call in its line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    /// It can't meet its objective any more.
    late: bool,
    priority: u32,
    ticket: Ticket,
}

/// Share of its time to wait after which the oldest call shows that the line is too long.
const PATIENCE: f64 = 0.5;

/// What is known of a waiting call.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    place: Place,
    since: core_time::Instant,
    /// Time for which it can wait and still meet its objective.
    slack: time::Duration,
}

/// Age up to which the time between two departures tells how fast the line moves.
const RATE_WINDOW: time::Duration = time::Duration::from_millis(1000);

/// Times between departures below which no rate is believed: a line that has just begun says
/// nothing.
const MIN_INTERVALS: usize = 4;

/// Time between two departures with calls waiting all the while.
#[derive(Clone, Copy, Debug)]
struct Interval {
    ended: core_time::Instant,
    length: time::Duration,
}

/// Calls that wait for a target of one service.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    places: collections::BTreeSet<Place>,
    waiting: collections::BTreeMap<Ticket, Waiting>,
    next: u64,
    /// The last departure, if calls were left waiting.
    left_waiting: Option<core_time::Instant>,
    intervals: collections::VecDeque<Interval>,
}

impl Queue {
    /// Adds a call that can wait for `slack` and still meet its objective.
    pub fn push(
        &mut self,
        now: core_time::Instant,
        priority: u32,
        slack: time::Duration,
    ) -> Ticket {
        self.next += 1;
        let ticket = Ticket(self.next);
        let place = Place {
            late: false,
            priority,
            ticket,
        };
        self.put(Waiting {
            place,
            since: now,
            slack,
        });
        ticket
    }

    fn put(&mut self, waiting: Waiting) {
        self.places.insert(waiting.place);
        self.waiting.insert(waiting.place.ticket, waiting);
    }

    fn take(&mut self, ticket: Ticket) -> Option<Waiting> {
        let waiting = self.waiting.remove(&ticket)?;
        self.places.remove(&waiting.place);
        Some(waiting)
    }

    /// Moves a call behind those that can still meet their objective.
    pub fn set_late(&mut self, ticket: Ticket) {
        if let Some(waiting) = self.take(ticket) {
            let place = Place {
                late: true,
                ..waiting.place
            };
            self.put(Waiting { place, ..waiting });
        }
    }

    /// Removes a call that gave up.
    pub fn remove(&mut self, ticket: Ticket) {
        self.take(ticket);
        if self.is_empty() {
            self.left_waiting = None;
        }
    }

    /// Removes a call that got a target.
    pub fn dispatched(&mut self, now: core_time::Instant, ticket: Ticket) {
        self.take(ticket);
        // Without a call that waits, the time to the next departure tells how many calls come, not how
        // many targets take.
        if let Some(since) = self.left_waiting.take() {
            self.intervals.push_back(Interval {
                ended: now,
                length: now.since(since),
            });
        }
        self.left_waiting = (!self.is_empty()).then_some(now);
        self.forget_old(now);
    }

    fn forget_old(&mut self, now: core_time::Instant) {
        while let Some(first) = self.intervals.front()
            && now.since(first.ended) > RATE_WINDOW
        {
            self.intervals.pop_front();
        }
    }

    /// Returns whether it is the turn of a call.
    pub fn is_next(&self, now: core_time::Instant, ticket: Ticket) -> bool {
        let Some(first) = self.places.first() else {
            return false;
        };
        if !self.is_too_long(now, first) {
            return first.ticket == ticket;
        }
        let of_rank = |place: &&Place| place.late == first.late && place.priority == first.priority;
        let newest = self.places.iter().take_while(of_rank).last();
        newest.is_some_and(|place| place.ticket == ticket)
    }

    fn is_too_long(&self, now: core_time::Instant, first: &Place) -> bool {
        let oldest = self.waiting.get(&first.ticket);
        oldest.is_some_and(|waiting| now.since(waiting.since) > waiting.slack.mul_f64(PATIENCE))
    }

    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns how long a call that joins now is expected to wait; `None` when too few calls have
    /// left the line lately to tell.
    pub fn expected_wait(
        &mut self,
        now: core_time::Instant,
        priority: u32,
    ) -> Option<time::Duration> {
        self.forget_old(now);
        if self.intervals.len() < MIN_INTERVALS {
            return None;
        }
        let before = |place: &&Place| !place.late && place.priority <= priority;
        let ahead = self.places.iter().filter(before).count();
        let total: time::Duration = self.intervals.iter().map(|i| i.length).sum();
        let mean = total / u32::try_from(self.intervals.len()).unwrap_or(u32::MAX);
        Some(mean * u32::try_from(ahead).unwrap_or(u32::MAX))
    }
}
