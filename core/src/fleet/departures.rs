//! Departures of targets that a VM has learned from their responses and reports to the other VMs.
//!
//! Load pattern: all targets of a service leave at once and state it in every response, so that each
//! VM learns of each departure within a moment. Usually the targets have announced it as well, and
//! nothing is to be reported. Where the announcements were lost, the reports are spread, so that
//! the first one reaches the other VMs before they send theirs.

use std::{collections, ops, time};

use rand::Rng;

use super::TargetIncarnation;
use crate::time as core_time;

/// Time from a departure to its first report, drawn at random. The announcement of the target takes
/// some milliseconds.
const REPORT_DELAY: ops::Range<time::Duration> =
    time::Duration::from_millis(300)..time::Duration::from_millis(1300);

/// Time from a report to the next one if the departure is still unknown to the other VMs.
const REPORT_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Time from a departure after which it is reported no more. The target has ended by then, and the
/// leader has removed it for lack of announcements.
const REPORT_FOR: time::Duration = time::Duration::from_secs(30);

/// When a departure is reported.
#[derive(Clone, Copy, Debug)]
struct Schedule {
    next: core_time::Instant,
    end: core_time::Instant,
}

/// Departures that are not known to be replicated.
#[derive(Clone, Debug, Default)]
pub struct UnreportedDepartures {
    schedules: collections::BTreeMap<TargetIncarnation, Schedule>,
}

impl UnreportedDepartures {
    /// Adds a departure that this VM has just learned of.
    pub fn add(
        &mut self,
        now: core_time::Instant,
        departed: TargetIncarnation,
        rng: &mut impl Rng,
    ) {
        let schedule = Schedule {
            next: now + rng.random_range(REPORT_DELAY),
            end: now + REPORT_FOR,
        };
        self.schedules.entry(departed).or_insert(schedule);
    }

    /// Returns the departures to report now, and schedules their next reports.
    pub fn take_due(&mut self, now: core_time::Instant) -> Vec<TargetIncarnation> {
        self.schedules.retain(|_, schedule| now < schedule.end);
        let due = self
            .schedules
            .iter_mut()
            .filter(|(_, schedule)| schedule.next <= now);
        due.map(|(departed, schedule)| {
            schedule.next = now + REPORT_INTERVAL;
            departed.clone()
        })
        .collect()
    }

    /// Removes a departure that is known to all VMs.
    pub fn remove(&mut self, departed: &TargetIncarnation) {
        self.schedules.remove(departed);
    }

    /// Returns whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.schedules.is_empty()
    }
}
