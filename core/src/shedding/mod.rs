//! Load shedding: which calls of a service wait, are sent, sent again or refused when capacity is
//! short.
//!
//! Load pattern: bursts of 1.5 to 2.2 times the usual load for seconds, targets that refuse half of
//! their calls while the retry budget covers a fifth of them, and the first seconds after a loss of
//! power, when all waiting callers arrive together and there are no load reports. In each of them
//! some calls are lost whatever is done. They are to be those that cost callers least.
//!
//! One [`Shedder`] decides for the calls of a service on a VM. [`Queue`] orders the waiting calls
//! and displaces those that can't be served in time, [`TokenGate`] divides a short retry budget,
//! [`Returns`] sets the order in which refused callers come back, [`Shares`] counts how often each
//! kind of call and each workspace is served, and [`UsualTime`] recognises callers that come back.
//!
//! Source of the plan of the queue: Moore, "An n job, one machine sequencing algorithm for
//! minimizing the number of late jobs", Management Science 1968.

mod queue;
mod returns;
mod share;
mod shortage;
mod tokens;
mod usual_time;

use std::{collections, time};

use derive_more::Display;

pub use self::queue::{Queue, Ticket, Verdict};
pub use self::returns::{Returns, Room};
pub use self::share::Shares;
use self::shortage::Shortage;
pub use self::shortage::{Change, Resource};
pub use self::tokens::{Class, TokenGate};
pub use self::usual_time::UsualTime;
use crate::time as core_time;

/// Why a call was refused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The queue can't serve all its calls in time, and this one costs least.
    #[display("displaced")]
    Displaced,
    /// The call can no longer be answered before its deadline.
    #[display("too-late")]
    TooLate,
    /// The call has waited for as long as it may.
    #[display("waited")]
    Waited,
    /// The retry budget is short, and its tokens are kept for calls of higher value.
    #[display("retry-budget")]
    RetryBudget,
}

/// A call as far as the decision depends on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// Kind of call: the route.
    pub kind: String,
    /// Workspace of the caller, if there are workspaces.
    pub workspace: Option<String>,
    /// Priority of the call; 0 is the highest.
    pub priority: u32,
    /// Whether the caller was refused before and comes back.
    pub returning: bool,
    /// Expected service time on a target of usual speed.
    pub work: time::Duration,
}

/// Times of a waiting call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// Latest start at which the call meets its latency objective; not later than `wait_until`.
    pub in_time: core_time::Instant,
    /// Latest start at which it is answered before its deadline.
    pub last_start: core_time::Instant,
    /// Time until which it may wait.
    pub wait_until: core_time::Instant,
}

/// Multiple of the expected work that a call needs: service times vary by about a third.
pub const WORK_MARGIN: f64 = 1.3;

/// Share of the time of a first-time caller that the expected work of its call may take.
const MAX_WORK_SHARE: f64 = 0.25;

impl Times {
    /// Returns the times of a call that arrives at `now` and may wait for `wait_share` of its time.
    pub fn new(
        now: core_time::Instant,
        objective: core_time::Instant,
        deadline: core_time::Instant,
        work: time::Duration,
        wait_share: f64,
    ) -> Times {
        let run = work.mul_f64(WORK_MARGIN);
        let wait_until = now + deadline.since(now).mul_f64(wait_share);
        Times {
            in_time: objective.min(deadline).saturating_sub(run).min(wait_until),
            last_start: deadline.saturating_sub(run),
            wait_until,
        }
    }
}

/// The decision for the calls of one service on one VM.
#[derive(Clone, Debug, Default)]
pub struct Shedder {
    queue: Queue,
    shares: Shares,
    tokens: TokenGate,
    returns: Returns,
    shortage: Shortage,
    /// Remaining time with which callers of each kind come first.
    usual_times: collections::BTreeMap<String, UsualTime>,
}

impl Shedder {
    /// Records the remaining time with which a call arrives; returns whether its caller comes back
    /// after a refusal, or has waited elsewhere.
    pub fn arrived(&mut self, kind: &str, time_left: time::Duration) -> bool {
        match self.usual_times.get_mut(kind) {
            Some(usual) => usual.record(time_left),
            None => {
                let mut usual = UsualTime::default();
                usual.record(time_left);
                self.usual_times.insert(kind.to_owned(), usual);
                false
            }
        }
    }

    /// Returns the largest expected work to count with for a call of this kind, which arrives with
    /// `time_left`. The first estimate comes from the latency objective, which operators set to any
    /// value: with work longer than callers wait, no call would ever be sent and measured.
    pub fn max_work(&self, kind: &str, time_left: time::Duration) -> time::Duration {
        let usual = self.usual_times.get(kind).and_then(UsualTime::usual);
        usual.unwrap_or(time_left).mul_f64(MAX_WORK_SHARE)
    }

    /// Adds a call to the queue.
    pub fn push(&mut self, now: core_time::Instant, caller: Caller, times: Times) -> Ticket {
        self.queue.push(now, caller, times)
    }

    /// Returns what a waiting call does now.
    pub fn verdict(&mut self, now: core_time::Instant, ticket: Ticket) -> Verdict {
        self.queue.verdict(now, ticket, &self.shares)
    }

    /// Removes a call that is sent to a target.
    pub fn dispatched(&mut self, now: core_time::Instant, ticket: Ticket) {
        self.queue.dispatched(now, ticket);
    }

    /// Removes a call that was not sent; ignored if it is not in the queue.
    pub fn remove(&mut self, ticket: Ticket) {
        self.queue.remove(ticket);
    }

    /// Records the end of a call: whether it got a response of a target.
    pub fn finished(&mut self, now: core_time::Instant, caller: &Caller, served: bool) {
        self.shares.finished(now, caller, served);
    }

    /// Records that a call has added `tokens` to the retry budget.
    pub fn earned(&mut self, now: core_time::Instant, tokens: f64) {
        self.tokens.earned(now, tokens);
    }

    /// Returns whether a call that failed at a target may take one of the `tokens` of the retry
    /// budget. The token is kept for it until [`Shedder::settle_retry`].
    pub fn may_retry(&mut self, now: core_time::Instant, class: Class, tokens: u64) -> bool {
        self.tokens.ask(now, class, tokens)
    }

    /// Records that the token of a call is taken from the budget now, or not needed.
    pub fn settle_retry(&mut self) {
        self.tokens.settle();
    }

    /// Returns whether a slow call may get a hedged attempt: no call waits for a slot, and failed
    /// calls need less than the retry budget earns.
    pub fn may_hedge(&mut self, now: core_time::Instant) -> bool {
        self.queue.is_empty() && !self.tokens.is_short(now)
    }

    /// Returns the delay after which a refused caller has a chance. `by_target` is whether a target
    /// refused it; `time_left` is the time that the caller has left; `random` in 0..1 spreads callers
    /// that are refused together.
    pub fn retry_after(
        &mut self,
        now: core_time::Instant,
        caller: &Caller,
        by_target: bool,
        time_left: time::Duration,
        random: f64,
    ) -> time::Duration {
        let room = match by_target && self.queue.is_empty() {
            true if self.tokens.is_return_worthwhile(now) => Room::Free,
            true => Room::Unknown,
            false => self.queue.room(now, caller.priority),
        };
        self.returns.delay(now, caller, time_left, room, random)
    }

    /// Returns the next change of the shortages of slots and of the retry budget, for the log.
    pub fn poll_change(&mut self, now: core_time::Instant) -> Option<Change> {
        let slots = self.queue.is_growing(now);
        let tokens = self.tokens.is_short(now);
        self.shortage.poll_change(now, slots, tokens)
    }

    /// Returns the number of waiting calls.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }
}

/// A sum whose parts lose two thirds of their weight within a given time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FadingSum {
    value: f64,
    at: core_time::Instant,
}

impl FadingSum {
    fn get(&self, now: core_time::Instant, fade: time::Duration) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.value * (-age / fade.as_secs_f64()).exp()
    }

    fn add(&mut self, now: core_time::Instant, fade: time::Duration, amount: f64) {
        self.value = self.get(now, fade) + amount;
        self.at = self.at.max(now);
    }
}
