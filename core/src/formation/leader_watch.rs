//! Detects that a VM has known no leader for a while, for its event log.

use std::{mem, time};

use crate::time as core_time;

/// Time without a leader after which its loss is reported. Most elections end earlier, and the
/// leader announces itself every second.
pub const LEADER_LOST_AFTER: time::Duration = time::Duration::from_secs(2);

/// Whether a VM knows a leader. The loss and the return of a leader are reported once each.
#[derive(Clone, Debug, Default)]
pub struct LeaderWatch {
    missing_since: Option<core_time::Instant>,
    reported: bool,
}

impl LeaderWatch {
    /// Records that a leader is known; returns whether this ends a reported loss.
    pub fn leader_known(&mut self) -> bool {
        self.missing_since = None;
        mem::take(&mut self.reported)
    }

    /// Records that a leader announced itself, on a VM that has no other knowledge of it; returns
    /// whether this ends a reported loss.
    pub fn leader_announced(&mut self, now: core_time::Instant) -> bool {
        self.missing_since = Some(now);
        mem::take(&mut self.reported)
    }

    /// Records that no leader is known or that none has announced itself since; returns whether the
    /// loss must be reported now.
    pub fn leader_missing(&mut self, now: core_time::Instant) -> bool {
        let since = *self.missing_since.get_or_insert(now);
        let is_due = !self.reported && now.since(since) > LEADER_LOST_AFTER;
        self.reported |= is_due;
        is_due
    }
}
