//! Admission of calls by a process that is being stopped.
//!
//! A process that stops serves on for a while, since callers still come to it. It must not accept a
//! call that it cannot answer before it ends: the caller would lose a call that runs. So late calls
//! need a deadline within the stop; earlier ones, which would otherwise be refused in numbers
//! while the process is still in rotation, only have to be expected to end in time.

use std::time;

use crate::time as core_time;

/// Time kept between the last deadline of a call and the end of the process, to send the response.
pub const RESPONSE_RESERVE: time::Duration = time::Duration::from_millis(200);

/// A planned stop in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    certain_from: core_time::Instant,
    end: core_time::Instant,
}

impl Stop {
    /// Begins a stop that ends at `end`. From `certain_from` on, only calls are accepted that
    /// certainly have their response by then.
    pub fn new(certain_from: core_time::Instant, end: core_time::Instant) -> Stop {
        Stop { certain_from, end }
    }

    /// Returns the time by which each call must have its response.
    pub fn last_response(&self) -> core_time::Instant {
        self.end.saturating_sub(RESPONSE_RESERVE)
    }

    /// Returns whether a call is accepted that has its response by `deadline` at the latest, and is
    /// expected to have it at `expected_end`.
    pub fn accepts(
        &self,
        now: core_time::Instant,
        deadline: core_time::Instant,
        expected_end: core_time::Instant,
    ) -> bool {
        let is_in_time = |end: core_time::Instant| end <= self.last_response();
        is_in_time(deadline) || now < self.certain_from && is_in_time(expected_end)
    }
}
