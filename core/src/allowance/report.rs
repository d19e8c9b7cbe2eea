//! Reports for the log: when a workspace begins and ends to be refused, not each refusal.

use std::{mem, time};

use crate::time as core_time;

/// Time without a refusal after which a period of refusals ends. With it, a workspace causes at most
/// one pair of reports in this time.
const QUIET_TIME: time::Duration = time::Duration::from_secs(10);

/// A workspace began or ceased to be refused on this VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Report {
    /// The first call was refused.
    Began {
        /// Name of the workspace.
        workspace: String,
    },
    /// No call was refused for a while.
    Ended {
        /// Name of the workspace.
        workspace: String,
        /// Number of refused calls.
        refused: u64,
        /// Time from the first to the last refused call.
        lasted: time::Duration,
    },
}

/// What this VM did while the leader didn't answer, from the first call to the last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnansweredReport {
    /// Calls that ran on tokens of deputies.
    pub by_deputy: u64,
    /// Calls that were refused.
    pub refused: u64,
    /// Time from the first to the last of them.
    pub lasted: time::Duration,
}

/// A period in which something happened again and again.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Period {
    span: Option<(core_time::Instant, core_time::Instant)>,
    pub(super) count: u64,
}

impl Period {
    /// Counts an occurrence; returns whether a period begins with it.
    pub(super) fn record(&mut self, now: core_time::Instant) -> bool {
        self.count += 1;
        let begins = self.span.is_none();
        let (first, _) = self.span.unwrap_or((now, now));
        self.span = Some((first, now));
        begins
    }

    /// Ends the period if nothing happened for a while; returns the count and its length.
    pub(super) fn end(&mut self, now: core_time::Instant) -> Option<(u64, time::Duration)> {
        let (_, last) = self.span?;
        match now.since(last) < QUIET_TIME {
            true => None,
            false => self.finish(),
        }
    }

    /// Ends the period; returns the count and its length.
    pub(super) fn finish(&mut self) -> Option<(u64, time::Duration)> {
        let (first, last) = self.span.take()?;
        Some((mem::take(&mut self.count), last.since(first)))
    }
}
