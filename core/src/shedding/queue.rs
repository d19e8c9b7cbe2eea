//! Queue of the calls of one service that wait for a target with capacity.
//!
//! Waiting calls are served by their latest start, so that each is sent as late as it can bear. When
//! the rate at which calls are sent shows that not all can start in time, the queue displaces the
//! calls that cost least: the least urgent first, callers that come for the first time before those
//! that come back, then the longest work. A displaced call is refused at once if calls arrive faster
//! than they are sent; otherwise it is served late, when no other call waits.

use std::{collections, time};

use super::{Caller, FadingSum, Reason, Room, Shares, Times};
use crate::time as core_time;

/// Identifies a waiting call. Tickets rise in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// What a waiting call does now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is the next to be sent.
    Next,
    /// It waits.
    Wait,
    /// It is refused.
    Refuse(Reason),
}

/// Time for which a plan holds if no call comes or goes.
const PLAN_AGE: time::Duration = time::Duration::from_millis(5);

/// Age up to which an interval between two sent calls counts for the rate.
const INTERVAL_MAX_AGE: time::Duration = time::Duration::from_millis(1000);

/// Number of intervals below which the rate is unknown.
const MIN_INTERVALS: usize = 4;

/// Time in which past arrivals lose two thirds of their weight.
const ARRIVALS_FADE: time::Duration = time::Duration::from_millis(500);

/// Factor by which the arriving work must exceed the rate to count as more than can be served; both
/// are measured over less than a second.
const GROWTH_MARGIN: f64 = 1.1;

#[derive(Clone, Debug)]
struct Waiting {
    caller: Caller,
    times: Times,
    queued_at: core_time::Instant,
}

/// Time between two sent calls during which at least one call waited.
#[derive(Clone, Copy, Debug)]
struct Interval {
    ended_at: core_time::Instant,
    length: time::Duration,
    /// Work of the call that ended the interval.
    work: time::Duration,
}

/// Order of the waiting calls at one moment.
#[derive(Clone, Debug, Default)]
struct Plan {
    made_at: core_time::Instant,
    next: Option<Ticket>,
    refused: collections::BTreeMap<Ticket, Reason>,
}

/// Calls of one service that wait for a target.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: collections::BTreeMap<Ticket, Waiting>,
    last_ticket: u64,
    /// When the last call was sent, if other calls have been waiting ever since.
    last_dispatch: Option<core_time::Instant>,
    intervals: collections::VecDeque<Interval>,
    /// Work of recent arrivals in seconds.
    arrived: FadingSum,
    /// Whether the rate was known at some time.
    rate_was_known: bool,
    /// The current plan; `None` after a call came or went.
    plan: Option<Plan>,
}

/// A call in the plan, with what decides whether another one is displaced for it.
struct Planned<'a> {
    ticket: Ticket,
    waiting: &'a Waiting,
    owed: bool,
}

impl Planned<'_> {
    /// Sort key for displacement; the smallest is displaced first.
    fn cost_of_loss(&self) -> impl Ord + use<> {
        let caller = &self.waiting.caller;
        (
            self.owed,
            std::cmp::Reverse(caller.priority),
            caller.returning,
            std::cmp::Reverse(caller.work),
            std::cmp::Reverse(self.ticket),
        )
    }

    /// Sort key for serving.
    fn due(&self) -> (core_time::Instant, Ticket) {
        (self.waiting.times.in_time, self.ticket)
    }
}

impl Queue {
    /// Adds a call.
    pub fn push(&mut self, now: core_time::Instant, caller: Caller, times: Times) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        self.arrived
            .add(now, ARRIVALS_FADE, caller.work.as_secs_f64());
        let queued_at = now;
        self.waiting.insert(
            ticket,
            Waiting {
                caller,
                times,
                queued_at,
            },
        );
        self.plan = None;
        ticket
    }

    /// Removes a call that was not sent; ignored if it is not in the queue.
    pub fn remove(&mut self, ticket: Ticket) {
        if self.waiting.remove(&ticket).is_some() {
            self.plan = None;
        }
        if self.waiting.is_empty() {
            self.last_dispatch = None;
        }
    }

    /// Removes a call that is sent to a target, and updates the rate.
    pub fn dispatched(&mut self, now: core_time::Instant, ticket: Ticket) {
        let Some(sent) = self.waiting.remove(&ticket) else {
            return;
        };
        self.plan = None;
        // While no call waits, the time between two sent calls reflects the rate of arrivals and not
        // the capacity of the targets.
        if let Some(since) = self.last_dispatch.take() {
            self.intervals.push_back(Interval {
                ended_at: now,
                length: now.since(since),
                work: sent.caller.work,
            });
        }
        self.last_dispatch = (!self.waiting.is_empty()).then_some(now);
    }

    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the work that is started in each second while calls wait, which is the number of
    /// slots that this VM gets; `None` when too few calls were sent recently.
    fn rate(&mut self, now: core_time::Instant) -> Option<f64> {
        while let Some(first) = self.intervals.front()
            && now.since(first.ended_at) > INTERVAL_MAX_AGE
        {
            self.intervals.pop_front();
        }
        if self.intervals.len() < MIN_INTERVALS {
            return None;
        }
        self.rate_was_known = true;
        let work: time::Duration = self.intervals.iter().map(|i| i.work).sum();
        let length: time::Duration = self.intervals.iter().map(|i| i.length).sum();
        // When targets stop, no interval ends any more.
        let open = self.last_dispatch.map_or(time::Duration::ZERO, |since| {
            let mean = length.div_f64(self.intervals.len() as f64);
            now.since(since).saturating_sub(mean)
        });
        let length = (length + open).as_secs_f64().max(0.001);
        Some(work.as_secs_f64() / length)
    }

    /// Returns whether calls arrive faster than they are sent while some wait.
    pub fn is_growing(&mut self, now: core_time::Instant) -> bool {
        let arriving = self.arrived.get(now, ARRIVALS_FADE) / ARRIVALS_FADE.as_secs_f64();
        let rate = self.rate(now);
        !self.is_empty() && rate.is_some_and(|rate| arriving > rate * GROWTH_MARGIN)
    }

    /// Returns when a call of this priority finds room: behind the waiting calls that are at least as
    /// urgent.
    pub fn room(&mut self, now: core_time::Instant, priority: u32) -> Room {
        let Some(rate) = self.rate(now).filter(|_| !self.is_empty()) else {
            return Room::Unknown;
        };
        let before = self.waiting.values().map(|waiting| &waiting.caller);
        let before = before.filter(|caller| caller.priority <= priority);
        let work = before.map(|caller| caller.work).sum();
        Room::Behind { work, rate }
    }

    /// Returns what a call does now. A call that is not in the queue waits.
    pub fn verdict(&mut self, now: core_time::Instant, ticket: Ticket, shares: &Shares) -> Verdict {
        let current = self.plan.take();
        let current = current.filter(|plan| now.since(plan.made_at) < PLAN_AGE);
        let plan = current.unwrap_or_else(|| self.make_plan(now, shares));
        let verdict = match plan.refused.get(&ticket) {
            Some(reason) => Verdict::Refuse(*reason),
            None if plan.next == Some(ticket) => Verdict::Next,
            None => Verdict::Wait,
        };
        self.plan = Some(plan);
        verdict
    }

    fn make_plan(&mut self, now: core_time::Instant, shares: &Shares) -> Plan {
        let rate = self.rate(now);
        let growing = self.is_growing(now);
        let mut waiting: Vec<(&Ticket, &Waiting)> = self.waiting.iter().collect();
        waiting.sort_by_key(|(_, waiting)| (!waiting.caller.returning, waiting.times.in_time));
        let owed = shares.owed(now, waiting.iter().map(|(_, waiting)| &waiting.caller));
        let mut plan = Plan {
            made_at: now,
            ..Plan::default()
        };
        let (mut in_time, mut late) = (Vec::new(), Vec::new());
        for ((ticket, waiting), owed) in waiting.into_iter().zip(owed) {
            let (ticket, times) = (*ticket, &waiting.times);
            if now > times.last_start {
                plan.refused.insert(ticket, Reason::TooLate);
                continue;
            }
            if now >= times.wait_until {
                plan.refused.insert(ticket, Reason::Waited);
                continue;
            }
            let planned = Planned {
                ticket,
                waiting,
                owed,
            };
            match now <= times.in_time {
                true => in_time.push(planned),
                false => late.push(planned),
            }
        }
        match self.rate_was_known {
            true => in_time.sort_by_key(Planned::due),
            false => sort_by_age(&mut in_time),
        }
        put_returning_first(&mut in_time);
        let (kept, displaced) = match rate {
            Some(rate) => displace(now, rate, in_time),
            None => (in_time, Vec::new()),
        };
        for planned in displaced {
            match growing {
                true => {
                    let reason = Reason::Displaced;
                    plan.refused.insert(planned.ticket, reason);
                }
                false => late.push(planned),
            }
        }
        // Of the late calls the most urgent go first, and those nearest their deadline.
        late.sort_by_key(|planned| {
            let caller = &planned.waiting.caller;
            let last_start = planned.waiting.times.last_start;
            (
                !planned.owed,
                caller.priority,
                !caller.returning,
                last_start,
                planned.ticket,
            )
        });
        // Without more arrivals than can be sent, the late calls get slots soon.
        if let Some(rate) = rate.filter(|_| growing) {
            let before: time::Duration = kept.iter().map(|p| p.waiting.caller.work).sum();
            refuse_without_chance(now, rate, before, &late, &mut plan.refused);
        }
        let next_late = late
            .iter()
            .find(|planned| !plan.refused.contains_key(&planned.ticket));
        plan.next = kept.first().or(next_late).map(|planned| planned.ticket);
        plan
    }
}

/// Sorts calls by their latest start, earlier by the time that their callers seem to have waited
/// elsewhere: compared with the one of the same kind that has most time. Right after a start callers
/// of any age arrive together, and their objective counts from the arrival here.
fn sort_by_age(in_time: &mut [Planned<'_>]) {
    let time_left = |planned: &Planned<'_>| {
        let waiting = planned.waiting;
        waiting.times.last_start.since(waiting.queued_at)
    };
    let mut longest: collections::BTreeMap<&str, time::Duration> = collections::BTreeMap::new();
    for planned in in_time.iter() {
        let kind = longest.entry(&planned.waiting.caller.kind).or_default();
        *kind = (*kind).max(time_left(planned));
    }
    in_time.sort_by_key(|planned| {
        let longest = longest.get(planned.waiting.caller.kind.as_str());
        let age = longest.map(|longest| longest.saturating_sub(time_left(planned)));
        let due = planned.waiting.times.in_time;
        (due.saturating_sub(age.unwrap_or_default()), planned.ticket)
    });
}

/// Lets callers that come back take the places of those of the same kind that come first.
fn put_returning_first(in_time: &mut Vec<Planned<'_>>) {
    let mut places: collections::BTreeMap<&str, Vec<usize>> = collections::BTreeMap::new();
    for (i, planned) in in_time.iter().enumerate() {
        places
            .entry(&planned.waiting.caller.kind)
            .or_default()
            .push(i);
    }
    let mut order: Vec<usize> = (0..in_time.len()).collect();
    for own in places.into_values() {
        let mut by_return = own.clone();
        by_return.sort_by_key(|i| !in_time[*i].waiting.caller.returning);
        for (place, i) in own.into_iter().zip(by_return) {
            order[place] = i;
        }
    }
    let mut unordered: Vec<Option<Planned<'_>>> = in_time.drain(..).map(Some).collect();
    in_time.extend(order.into_iter().filter_map(|i| unordered[i].take()));
}

/// Splits calls, ordered by their latest start, into those that can be served in time at the rate
/// and those that are displaced for them.
fn displace<'a>(
    now: core_time::Instant,
    rate: f64,
    in_time: Vec<Planned<'a>>,
) -> (Vec<Planned<'a>>, Vec<Planned<'a>>) {
    let mut start = now;
    // Positions by rising cost of loss.
    let mut losses = collections::BTreeMap::new();
    let mut is_displaced = vec![false; in_time.len()];
    let mut before = 0.0;
    for (i, planned) in in_time.iter().enumerate() {
        losses.insert(planned.cost_of_loss(), i);
        let own = planned.waiting.caller.work.as_secs_f64() / rate.max(0.01);
        while start > planned.waiting.times.in_time {
            let Some((_, loss)) = losses.pop_first() else {
                break;
            };
            is_displaced[loss] = true;
            if loss == i {
                break;
            }
            before -= in_time[loss].waiting.caller.work.as_secs_f64() / rate.max(0.01);
            start = now + time::Duration::from_secs_f64(f64::max(before, 0.0));
        }
        if !is_displaced[i] {
            before += own;
            start = now + time::Duration::from_secs_f64(f64::max(before, 0.0));
        }
    }
    let mut kept = Vec::new();
    let mut displaced = Vec::new();
    for (planned, is_displaced) in in_time.into_iter().zip(is_displaced) {
        match is_displaced {
            true => displaced.push(planned),
            false => kept.push(planned),
        }
    }
    (kept, displaced)
}

/// Refuses late calls that can't be answered before their deadline behind `before` and the late
/// calls that go first.
fn refuse_without_chance(
    now: core_time::Instant,
    rate: f64,
    before: time::Duration,
    late: &[Planned<'_>],
    refused: &mut collections::BTreeMap<Ticket, Reason>,
) {
    let mut before = before.as_secs_f64();
    for planned in late {
        let times = &planned.waiting.times;
        let start = now + time::Duration::from_secs_f64(before / rate.max(0.01));
        if start > times.last_start {
            refused.insert(planned.ticket, Reason::TooLate);
        } else if start > times.wait_until {
            refused.insert(planned.ticket, Reason::Waited);
        } else {
            before += planned.waiting.caller.work.as_secs_f64();
        }
    }
}
