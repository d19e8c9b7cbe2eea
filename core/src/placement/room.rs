//! What this VM knows of targets beside their load: the room at targets without a report, and calls
//! that a target has lost.

use std::time;

use super::{Choice, Placement};
use crate::{time as core_time, types};

/// Time for which the reports of a target must show fewer calls than this VM has there before one of
/// them counts as lost: several reports and round trips, in which a response may be on its way.
const LOST_AFTER: time::Duration = time::Duration::from_millis(100);

/// Age up to which a load report shows that its target still answers: the time-out of a regular
/// probe.
pub(super) const MAX_REPORT_AGE: time::Duration = time::Duration::from_millis(400);

/// Slots of the targets of a service that have reported no load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Unreported {
    /// Slots that these targets announce.
    pub slots: u32,
    /// This VM's calls in flight at them.
    pub in_flight: u32,
    /// Whether another target of the service has reported its load.
    pub others_reported: bool,
}

impl Unreported {
    /// Returns how many more calls this VM, one of `vms`, may send to these targets. Without a report
    /// it knows nothing of the calls of the other VMs, so that it keeps to its part of the slots, or
    /// to one call where there are fewer slots than VMs.
    pub fn room(&self, vms: usize) -> usize {
        if self.slots == 0 {
            return 0;
        }
        let part = (self.slots as usize / vms.max(1)).max(1);
        part.saturating_sub(self.in_flight as usize)
    }
}

/// Which calls this VM may send to targets whose load it does not know well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoomRule {
    /// Number of VMs that share the slots of targets without a report.
    pub vms: usize,
    /// Whether targets are probed regularly. Without that, an old report tells nothing.
    pub has_probes: bool,
}

/// Share of the slots that are taken on average from which on slots are scarce: many VMs then wait for
/// the same ones.
const SCARCE: f64 = 0.75;

/// Number of VMs that may take each free slot while slots are scarce, if all of them learn of it at
/// the same time. The shortest queues of targets are four times their slots, so that three calls
/// for each slot leave room. The VM whose call has left the slot may take it in any case.
const VMS_FOR_EACH_SLOT: f64 = 3.0;

impl super::ServiceMeans {
    /// Returns the probability with which this VM, one of `vms`, takes one of the slots that a report
    /// shows as free.
    pub(super) fn part_of_free_slots(&self, load: &super::LoadReport, vms: usize) -> f64 {
        let slots = f64::from(self.contention.best_concurrency(load.slots));
        if self.occupancy < slots * SCARCE {
            return 1.0;
        }
        let free = slots - f64::from(load.running + load.waiting);
        (free.max(0.0) * VMS_FOR_EACH_SLOT / vms.max(1) as f64).min(1.0)
    }
}

impl Placement {
    /// Shares the free slots of a target with the other VMs that learn of them at the same time.
    ///
    /// Calls that were sent right before a report count as missing in it: reports that are made
    /// before the calls arrive would otherwise show the same free slot again and again. While slots
    /// are scarce, this VM takes only a part of those that reports show. Searches have to ask for it
    /// by [`super::Search::with_shared_slots`].
    pub fn share_slots(&mut self) {
        self.shares_slots = true;
    }

    /// Returns whether a target has lost calls of this VM: for some time its reports have shown fewer
    /// calls than this VM has there. Some targets never answer a call that finds their queue full.
    pub fn has_lost_calls(&self, now: core_time::Instant, target: &types::TargetId) -> bool {
        let since = self
            .target(target)
            .and_then(|target| target.unexplained_since());
        since.is_some_and(|since| now.since(since) >= LOST_AFTER)
    }

    /// Returns whether a call may go to a target. One that has not reported its load gets no more
    /// than this VM's part of the slots, one that reports none no more than its slots, and one that
    /// has stopped to report nothing: it may hang, and its queue be full. Cold targets without a
    /// report are limited by their tokens.
    pub fn has_room(
        &self,
        now: core_time::Instant,
        service: &types::ServiceName,
        choice: &Choice,
        rule: RoomRule,
    ) -> bool {
        if !self.reports_load(&choice.target) {
            return choice.estimate.has_capacity();
        }
        if let Some(age) = choice.estimate.age {
            return !rule.has_probes || age <= MAX_REPORT_AGE;
        }
        self.cold.is_cold(now, &choice.target) || self.unreported(now, service).room(rule.vms) > 0
    }

    /// Returns the first of the candidates that a call may go to while no target of its service has
    /// reported its load: a warm one with capacity that is expected to answer before `deadline`.
    pub fn first_unreported(
        &self,
        now: core_time::Instant,
        candidates: Vec<Choice>,
        deadline: core_time::Instant,
    ) -> Option<Choice> {
        let usable = |choice: &Choice| {
            let in_time = now + choice.expected_latency <= deadline;
            let is_cold = self.cold.is_cold(now, &choice.target);
            !is_cold && in_time && choice.estimate.has_capacity() && !choice.ejected
        };
        candidates.into_iter().find(usable)
    }

    /// Returns what is known of the targets of a service that have reported no load. Those of
    /// evacuated failure domains and cold ones don't count: they take no calls, or few.
    pub fn unreported(&self, now: core_time::Instant, service: &types::ServiceName) -> Unreported {
        let mut unreported = Unreported::default();
        let targets = self.services.get(service).map(|service| &service.targets);
        for (id, target) in targets.into_iter().flatten() {
            if self.evacuated.contains(&target.failure_domain) || self.cold.is_cold(now, id) {
                continue;
            }
            if target.has_report() || !target.reports_load {
                unreported.others_reported = true;
                continue;
            }
            unreported.slots += target.slots();
            unreported.in_flight += target.in_flight;
        }
        unreported
    }
}
