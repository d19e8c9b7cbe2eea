//! When a second attempt beside one in flight is of use.
//!
//! Answers to calls that waited in line: they are close to their objective although their target does
//! its work at the usual speed, and a second attempt would only make the line longer. So only an
//! attempt that takes longer than was expected of its target gets a second one beside it.

use std::time;

use crate::time as core_time;

/// The work of a second attempt may take this much longer than the mean and still be in time.
const SECOND_MARGIN: f64 = 1.25;

/// An attempt that takes this many times what was expected is at a target that has turned slow; work
/// varies by about a third.
const OVERDUE: f64 = 1.3;

/// An attempt that takes this many times what was expected has lost its answer, or its target stays
/// slow for longer than neighbours do.
const LONG_OVERDUE: f64 = 4.0;

/// An attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InFlight {
    /// When it was sent.
    pub sent: core_time::Instant,
    /// Time that it was expected to take.
    pub expected_latency: time::Duration,
}

impl InFlight {
    fn overdue_at(&self, times: f64) -> core_time::Instant {
        self.sent + self.expected_latency.mul_f64(times)
    }
}

/// What to do about a second attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hedge {
    /// Look for a target for it now.
    Now,
    /// Decide again at this time.
    Later(core_time::Instant),
}

/// Decides at `now` about a second attempt of a call that should be answered by `objective` and whose
/// work takes `work`. `in_flight` is `None` while the call waits for a target.
///
/// It is sent at the last moment at which it is expected to meet the objective, if the one in
/// flight is overdue by then, or else once that one is long overdue.
pub fn hedge(
    now: core_time::Instant,
    objective: core_time::Instant,
    work: time::Duration,
    in_flight: Option<InFlight>,
) -> Hedge {
    let last_moment = objective.saturating_sub(work.mul_f64(SECOND_MARGIN));
    if now < last_moment {
        return Hedge::Later(last_moment);
    }
    let Some(in_flight) = in_flight else {
        return Hedge::Later(objective.max(now + work));
    };
    if now < objective && in_flight.overdue_at(OVERDUE) <= now {
        return Hedge::Now;
    }
    let long_overdue = in_flight.overdue_at(LONG_OVERDUE).max(objective);
    match long_overdue <= now {
        true => Hedge::Now,
        false => Hedge::Later(long_overdue),
    }
}
