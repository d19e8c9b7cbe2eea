//! What a VM knows about one workspace: tokens held, calls that wait and refusals.

use std::{collections, time};

use super::holder::{Decision, Ticket};
use super::report::Period;
use super::{Ask, Numbers, Report, WorkspaceId};
use crate::time as core_time;

/// Period over which the calls of a workspace are counted to ask for tokens ahead.
const RATE_PERIOD: time::Duration = time::Duration::from_secs(1);

/// Largest number of tokens asked for ahead of need.
const MAX_AHEAD: u32 = 1000;

/// Longest time that `Retry-After` is extended by for the calls that were refused before.
const MAX_SPREAD: time::Duration = time::Duration::from_secs(1);

/// Counts calls by period.
#[derive(Clone, Debug, Default)]
pub(super) struct CallRate {
    period: u64,
    current: u32,
    last: u32,
}

impl CallRate {
    /// Counts a call.
    pub(super) fn count(&mut self, now: core_time::Instant) {
        self.advance(now);
        self.current = self.current.saturating_add(1);
    }

    fn advance(&mut self, now: core_time::Instant) {
        let period = now.0 / core_time::micros(RATE_PERIOD);
        if period != self.period {
            let is_next = period == self.period + 1;
            self.last = if is_next { self.current } else { 0 };
            (self.period, self.current) = (period, 0);
        }
    }

    /// Returns the calls per second in the last whole period. The current one is left out, since a
    /// burst of calls, which all wait for tokens themselves, tells nothing about the calls after it.
    fn per_second(&mut self, now: core_time::Instant) -> f64 {
        self.advance(now);
        f64::from(self.last) / RATE_PERIOD.as_secs_f64()
    }
}

/// The workspace as this VM sees it.
#[derive(Clone, Debug)]
pub(super) struct Account {
    pub(super) name: String,
    pub(super) numbers: Numbers,
    /// Tokens and when they expire.
    pub(super) held: collections::VecDeque<(core_time::Instant, u32)>,
    /// Calls that wait for a token, in the order of their arrival.
    pub(super) waiting: collections::VecDeque<Ticket>,
    /// Until when calls are refused without a question.
    pub(super) refused_until: core_time::Instant,
    /// Calls refused since the last token.
    pub(super) refused_in_a_row: u32,
    pub(super) rate: CallRate,
    pub(super) refusals: Period,
}

impl Account {
    pub(super) fn new(name: &str, numbers: Numbers) -> Account {
        Account {
            name: name.to_owned(),
            numbers,
            held: collections::VecDeque::new(),
            waiting: collections::VecDeque::new(),
            refused_until: core_time::Instant::default(),
            refused_in_a_row: 0,
            rate: CallRate::default(),
            refusals: Period::default(),
        }
    }

    /// Takes a valid token; returns false if there is none.
    pub(super) fn take_held(&mut self, now: core_time::Instant) -> bool {
        while self.held.front().is_some_and(|(end, _)| *end < now) {
            self.held.pop_front();
        }
        let Some((_, count)) = self.held.front_mut() else {
            return false;
        };
        *count -= 1;
        if *count == 0 {
            self.held.pop_front();
        }
        self.refused_in_a_row = 0;
        true
    }

    /// Refuses a call.
    pub(super) fn refuse(
        &mut self,
        now: core_time::Instant,
        reports: &mut Vec<Report>,
    ) -> Decision {
        self.refused_in_a_row = self.refused_in_a_row.saturating_add(1);
        if self.refusals.record(now) {
            reports.push(Report::Began {
                workspace: self.name.clone(),
            });
        }
        // The callers that were refused before come back as well and take the next tokens.
        let spread = f64::from(self.refused_in_a_row) / self.numbers.rate;
        let spread = spread.min(MAX_SPREAD.as_secs_f64());
        Decision::Refused {
            next: self.refused_until.since(now),
            spread: time::Duration::from_secs_f64(spread),
        }
    }

    /// Returns what to ask for.
    pub(super) fn ask(&mut self, now: core_time::Instant, workspace: WorkspaceId) -> Ask {
        let expected = self.rate.per_second(now) * self.numbers.validity.as_secs_f64();
        Ask {
            workspace,
            needed: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            ahead: (expected as u32).min(MAX_AHEAD),
        }
    }
}
