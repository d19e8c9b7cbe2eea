//! Fake targets and operators.

use std::collections;

use wagtailshunt_core::{directory, types};

/// A target.
#[derive(Debug)]
pub struct Target {
    pub target: directory::Target,
    pub up: bool,
    pub epoch: u64,
    /// Gateway that it announces itself to.
    pub gateway: u32,
    /// Whether the last announcement has had no answer.
    pub unanswered: bool,
    /// Earlier announcements, for late repeats.
    pub past_announcements: Vec<directory::Announcement>,
}

/// Past announcements that are kept for late repeats.
const MAX_PAST_ANNOUNCEMENTS: usize = 16;

impl Target {
    /// Returns the announcement of the present state.
    pub fn announcement(&mut self) -> directory::Announcement {
        let announcement = directory::Announcement {
            target: self.target.clone(),
            load: None,
        };
        if self.past_announcements.last() != Some(&announcement) {
            self.past_announcements.push(announcement.clone());
        }
        if self.past_announcements.len() > MAX_PAST_ANNOUNCEMENTS {
            self.past_announcements.remove(0);
        }
        announcement
    }
}

/// A change that an operator wants to make.
#[derive(Clone, Debug, Default)]
pub struct PlannedChange {
    /// Number of the service.
    pub service: u32,
    /// Schema of the record.
    pub schema: u32,
    /// Targets to drain.
    pub drain: Vec<String>,
    /// Whether the operator tries again when another one won.
    pub retry_on_conflict: bool,
}

/// A change that is under way.
#[derive(Clone, Debug)]
pub struct PendingChange {
    pub planned: PlannedChange,
    /// Number of the logical change.
    pub marker: u64,
    pub request_id: types::RequestId,
    /// Revision that is amended, once the operator has read it.
    pub base: Option<Option<types::Revision>>,
}

/// An operator, who makes one change after the other and resends until each is answered.
#[derive(Debug, Default)]
pub struct Operator {
    pub planned_changes: collections::VecDeque<PlannedChange>,
    pub pending: Option<PendingChange>,
    pub epoch: u64,
}
