//! The line of calls that wait for a target with room, one for each service.
//!
//! Answers to more calls than slots: only the first in line asks targets, so that the number of
//! questions doesn't grow with the number of waiting calls, and what can still meet its objective goes
//! before what cannot. Within each of the two, the more urgent route and then the older call is first.

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

/// Time over which the rate of departures is counted.
const RATE_WINDOW: time::Duration = time::Duration::from_millis(1000);

/// Departures below which no rate is believed: a line that has just begun says nothing.
const MIN_DEPARTURES: usize = 4;

/// Calls that wait for a target of one service.
#[derive(Clone, Debug, Default)]
pub struct Line {
    places: collections::BTreeSet<Place>,
    by_ticket: collections::BTreeMap<Ticket, Place>,
    next: u64,
    departures: collections::VecDeque<core_time::Instant>,
}

impl Line {
    /// Adds a call.
    pub fn join(&mut self, priority: u32) -> Ticket {
        self.next += 1;
        let ticket = Ticket(self.next);
        self.put(Place {
            late: false,
            priority,
            ticket,
        });
        ticket
    }

    fn put(&mut self, place: Place) {
        self.places.insert(place);
        self.by_ticket.insert(place.ticket, place);
    }

    fn take(&mut self, ticket: Ticket) -> Option<Place> {
        let place = self.by_ticket.remove(&ticket)?;
        self.places.remove(&place);
        Some(place)
    }

    /// Moves a call behind those that can still meet their objective.
    pub fn set_late(&mut self, ticket: Ticket) {
        if let Some(place) = self.take(ticket) {
            self.put(Place {
                late: true,
                ..place
            });
        }
    }

    /// Removes a call that gave up.
    pub fn leave(&mut self, ticket: Ticket) {
        self.take(ticket);
    }

    /// Removes a call that got a target.
    pub fn served(&mut self, now: core_time::Instant, ticket: Ticket) {
        self.take(ticket);
        self.departures.push_back(now);
        self.forget_old(now);
    }

    fn forget_old(&mut self, now: core_time::Instant) {
        while let Some(first) = self.departures.front()
            && now.since(*first) > RATE_WINDOW
        {
            self.departures.pop_front();
        }
    }

    /// Returns whether a call is the first in line.
    pub fn is_first(&self, ticket: Ticket) -> bool {
        self.places.first().is_some_and(|place| place.ticket == ticket)
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
        if self.departures.len() < MIN_DEPARTURES {
            return None;
        }
        let before = |place: &&Place| !place.late && place.priority <= priority;
        let ahead = self.places.iter().filter(before).count();
        let interval = RATE_WINDOW / u32::try_from(self.departures.len()).unwrap_or(u32::MAX);
        Some(interval * u32::try_from(ahead).unwrap_or(u32::MAX))
    }
}
