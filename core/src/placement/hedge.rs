//! Decides when a call gets a hedged attempt beside the one in flight.
//!
//! A call that waited in the queue is close to its latency objective even when its target works at
//! the usual speed, and a hedge would only lengthen the queue. So a call is hedged only when its
//! attempt takes longer than was expected of the target. The expectation comes from the estimate
//! with which the target was chosen.

use std::time;

use crate::time as core_time;

/// Margin on the mean service time: a hedge that takes this much longer still meets the objective.
const HEDGE_WORK_MARGIN: f64 = 1.25;

/// Multiple of the expected latency after which the target counts as slowed down. Service times
/// vary by about a third.
const OVERDUE_FACTOR: f64 = 1.3;

/// Multiple of the expected latency after which the response counts as lost, or the target as slow
/// for longer than neighbours on its hardware cause.
const LOST_FACTOR: f64 = 4.0;

/// An attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InFlight {
    /// Time at which it was sent.
    pub sent: core_time::Instant,
    /// Latency that was expected when it was sent.
    pub expected_latency: time::Duration,
}

impl InFlight {
    /// Returns the time from which on a target of usual speed would have responded to a call with
    /// service time `work`.
    pub fn overdue_from(&self, work: time::Duration) -> core_time::Instant {
        self.sent + work.mul_f64(OVERDUE_FACTOR)
    }

    fn overdue_at(&self, factor: f64) -> core_time::Instant {
        self.sent + self.expected_latency.mul_f64(factor)
    }
}

/// Whether a call gets a hedged attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hedge {
    /// Select a target for a hedged attempt now.
    Now,
    /// Decide again at this time.
    Later(core_time::Instant),
}

/// Decides at `now` whether a call with latency objective `objective` and service time `work` gets
/// a hedged attempt. `in_flight` is `None` while the call waits for a target.
///
/// The hedge is sent at the latest time at which it is expected to meet the objective, provided
/// that the attempt in flight is overdue by then; otherwise once that attempt is long overdue.
pub fn hedge(
    now: core_time::Instant,
    objective: core_time::Instant,
    work: time::Duration,
    in_flight: Option<InFlight>,
) -> Hedge {
    let latest_start = objective.saturating_sub(work.mul_f64(HEDGE_WORK_MARGIN));
    if now < latest_start {
        return Hedge::Later(latest_start);
    }
    let Some(in_flight) = in_flight else {
        return Hedge::Later(objective.max(now + work));
    };
    if now < objective && in_flight.overdue_at(OVERDUE_FACTOR) <= now {
        return Hedge::Now;
    }
    let lost_at = in_flight.overdue_at(LOST_FACTOR).max(objective);
    match lost_at <= now {
        true => Hedge::Now,
        false => Hedge::Later(lost_at),
    }
}
