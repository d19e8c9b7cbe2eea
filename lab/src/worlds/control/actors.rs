//! State of the fake targets and operators.

use std::collections;

use wagtailshunt_core::{directory, types};

/// A fake target, which announces itself to one gateway at a time.
#[derive(Debug)]
pub struct Target {
    pub target: directory::Target,
    pub up: bool,
    /// Number of the current timer chain; timers with another number are ignored.
    pub epoch: u64,
    /// VM number of the gateway that it announces itself to.
    pub gateway: u32,
    /// Whether the last announcement has not been accepted; the next one goes to a random gateway.
    pub unanswered: bool,
    /// Recent announcements, oldest first, for `repeat`.
    pub past_announcements: Vec<directory::Announcement>,
}

/// Number of announcements that are kept for `repeat`.
const MAX_PAST_ANNOUNCEMENTS: usize = 16;

impl Target {
    /// Returns the announcement of the current state and keeps it in `past_announcements`.
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

/// A change of a record that an operator is to make.
#[derive(Clone, Debug, Default)]
pub struct PlannedChange {
    /// Number of the service whose record is changed.
    pub service: u32,
    /// Schema of the record.
    pub schema: u32,
    /// Identifiers of the targets that the record drains.
    pub drain: Vec<String>,
    /// Whether the operator repeats the change after a conflict with another write.
    pub retry_on_conflict: bool,
}

/// A change that has been started and has no reply yet.
#[derive(Clone, Debug)]
pub struct PendingChange {
    pub planned: PlannedChange,
    /// Number of the logical change, the same in all resends; it is stored in the record.
    pub marker: u64,
    pub request_id: types::RequestId,
    /// Revision that the change replaces (`None` inside for a new record); `None` until it is read.
    pub base: Option<Option<types::Revision>>,
}

/// An operator, which makes one change after the other and resends each until it gets a reply.
#[derive(Debug, Default)]
pub struct Operator {
    pub planned_changes: collections::VecDeque<PlannedChange>,
    pub pending: Option<PendingChange>,
    pub epoch: u64,
}
