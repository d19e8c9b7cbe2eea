//! What a VM reports about its lease.

use std::time;

use crate::time::BootInstant;

/// Time without a lease after which a VM reports that it refuses calls, and counts as not ready if
/// all its routes need keys. Elections and starts take less.
const REPORT_AFTER: time::Duration = time::Duration::from_secs(1);

/// A change that is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The lease was acquired, after this time without one.
    Gained(time::Duration),
    /// The lease has expired.
    Lost,
    /// The VM has had no lease for longer than an election takes.
    Refusing,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Status {
    /// The VM needs no lease.
    #[default]
    NotNeeded,
    Held,
    Missing {
        since: BootInstant,
        is_reported: bool,
    },
}

/// Reports each change once.
#[derive(Debug, Default)]
pub struct Watch {
    status: Status,
}

impl Watch {
    /// Returns whether the VM has reported that it refuses calls with keys.
    pub fn is_refusing(&self) -> bool {
        matches!(self.status, Status::Missing { is_reported, .. } if is_reported)
    }

    /// Returns what has to be reported. `is_held` is `None` if the VM needs no lease.
    pub fn update(&mut self, now: BootInstant, is_held: Option<bool>) -> Option<Change> {
        let missing = Status::Missing {
            since: now,
            is_reported: false,
        };
        let (status, change) = match (self.status, is_held) {
            (_, None) => (Status::NotNeeded, None),
            (Status::Held, Some(true)) => (Status::Held, None),
            (Status::Held, Some(false)) => (missing, Some(Change::Lost)),
            (Status::NotNeeded, Some(false)) => (missing, None),
            (Status::NotNeeded, Some(true)) => {
                (Status::Held, Some(Change::Gained(time::Duration::ZERO)))
            }
            (Status::Missing { since, .. }, Some(true)) => {
                let missed = now.checked_since(since).unwrap_or_default();
                (Status::Held, Some(Change::Gained(missed)))
            }
            (Status::Missing { since, is_reported }, Some(false)) => {
                let missed = now.checked_since(since).unwrap_or_default();
                let report = !is_reported && missed >= REPORT_AFTER;
                let status = Status::Missing {
                    since,
                    is_reported: is_reported || report,
                };
                (status, report.then_some(Change::Refusing))
            }
        };
        self.status = status;
        change
    }
}
