//! Queue of the calls of one service that wait for a target with capacity.
//!
//! Only the call that is next to be served sends probes, so that the number of probes does not grow
//! with the number of waiting calls. Calls that can still meet their latency objective are served
//! before late ones; within each of the two groups, calls of the more urgent route come first, then
//! those that arrived earlier. In overload, when the queue is too long for its calls to meet their
//! objectives, the newest call is served before older ones. In order of arrival, every call would
//! start with no time left and be late.
//!
//! Source of the order in overload: Maurer, "Fail at Scale", ACM Queue 2015 (adaptive LIFO).

use std::{collections, time};

use crate::time as core_time;

/// Identifies a waiting call. Tickets rise in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// Sort key of a waiting call; the smallest is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct OrderKey {
    /// Whether the call can no longer meet its latency objective.
    late: bool,
    /// Priority of the route; a smaller value is more urgent.
    priority: u32,
    ticket: Ticket,
}

/// Share of its slack after which the wait of the oldest call shows that the queue is overloaded.
const OVERLOAD_SHARE: f64 = 0.5;

/// A waiting call.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    key: OrderKey,
    queued_at: core_time::Instant,
    /// Time for which it can wait from `queued_at` on and still meet its latency objective.
    slack: time::Duration,
}

/// Age up to which an interval between two dispatched calls counts for the expected wait.
const INTERVAL_MAX_AGE: time::Duration = time::Duration::from_millis(1000);

/// Number of intervals below which no wait is predicted: a queue that has just formed gives no
/// reliable rate.
const MIN_INTERVALS: usize = 4;

/// Time between two dispatched calls during which at least one call waited.
#[derive(Clone, Copy, Debug)]
struct Interval {
    ended_at: core_time::Instant,
    length: time::Duration,
}

/// Calls of one service that wait for a target.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    order: collections::BTreeSet<OrderKey>,
    waiting: collections::BTreeMap<Ticket, Waiting>,
    next: u64,
    /// When the last call was dispatched, if other calls have been waiting ever since.
    last_dispatch: Option<core_time::Instant>,
    intervals: collections::VecDeque<Interval>,
}

impl Queue {
    /// Adds a call that can wait for `slack` and still meet its latency objective.
    pub fn push(
        &mut self,
        now: core_time::Instant,
        priority: u32,
        slack: time::Duration,
    ) -> Ticket {
        self.next += 1;
        let ticket = Ticket(self.next);
        let key = OrderKey {
            late: false,
            priority,
            ticket,
        };
        self.insert(Waiting {
            key,
            queued_at: now,
            slack,
        });
        ticket
    }

    fn insert(&mut self, waiting: Waiting) {
        self.order.insert(waiting.key);
        self.waiting.insert(waiting.key.ticket, waiting);
    }

    fn take(&mut self, ticket: Ticket) -> Option<Waiting> {
        let waiting = self.waiting.remove(&ticket)?;
        self.order.remove(&waiting.key);
        Some(waiting)
    }

    /// Moves a call behind all calls that can still meet their latency objective.
    pub fn set_late(&mut self, ticket: Ticket) {
        if let Some(waiting) = self.take(ticket) {
            let key = OrderKey {
                late: true,
                ..waiting.key
            };
            self.insert(Waiting { key, ..waiting });
        }
    }

    /// Removes a call that was not dispatched; ignored if the call is not in the queue.
    pub fn remove(&mut self, ticket: Ticket) {
        self.take(ticket);
        if self.is_empty() {
            self.last_dispatch = None;
        }
    }

    /// Removes a call that is sent to a target, and updates the rate for the expected wait.
    pub fn dispatched(&mut self, now: core_time::Instant, ticket: Ticket) {
        self.take(ticket);
        // While no call waits, the time between two dispatched calls reflects the rate of arrivals
        // and not the capacity of the targets.
        if let Some(since) = self.last_dispatch.take() {
            self.intervals.push_back(Interval {
                ended_at: now,
                length: now.since(since),
            });
        }
        self.last_dispatch = (!self.is_empty()).then_some(now);
        self.drop_old_intervals(now);
    }

    fn drop_old_intervals(&mut self, now: core_time::Instant) {
        while let Some(first) = self.intervals.front()
            && now.since(first.ended_at) > INTERVAL_MAX_AGE
        {
            self.intervals.pop_front();
        }
    }

    /// Returns whether a call is the next to be served.
    pub fn is_next(&self, now: core_time::Instant, ticket: Ticket) -> bool {
        let Some(head) = self.order.first() else {
            return false;
        };
        if !self.is_overloaded(now, head) {
            return head.ticket == ticket;
        }
        let same_rank = |key: &&OrderKey| key.late == head.late && key.priority == head.priority;
        let newest = self.order.iter().take_while(same_rank).last();
        newest.is_some_and(|key| key.ticket == ticket)
    }

    fn is_overloaded(&self, now: core_time::Instant, head: &OrderKey) -> bool {
        let oldest = self.waiting.get(&head.ticket);
        oldest.is_some_and(|call| now.since(call.queued_at) > call.slack.mul_f64(OVERLOAD_SHARE))
    }

    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns the expected wait of a call that is added now; `None` when too few calls were
    /// dispatched recently for a prediction.
    pub fn expected_wait(
        &mut self,
        now: core_time::Instant,
        priority: u32,
    ) -> Option<time::Duration> {
        self.drop_old_intervals(now);
        if self.intervals.len() < MIN_INTERVALS {
            return None;
        }
        let served_earlier = |key: &&OrderKey| !key.late && key.priority <= priority;
        let ahead = self.order.iter().filter(served_earlier).count();
        let total: time::Duration = self.intervals.iter().map(|i| i.length).sum();
        let mean = total / u32::try_from(self.intervals.len()).unwrap_or(u32::MAX);
        Some(mean * u32::try_from(ahead).unwrap_or(u32::MAX))
    }
}
