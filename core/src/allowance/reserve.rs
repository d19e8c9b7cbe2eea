//! The part of the reserve that one VM may use when the leader doesn't answer.

use std::{collections, time};

use super::WorkspaceId;
use crate::{placement::Position, time as core_time};

/// Time for which the list of VMs must be unchanged after a start, and by which VMs may learn of a
/// change at different times.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(2);

/// The rank of this VM among all known VMs, now and in the recent past.
///
/// A VM uses the smallest of its shares by the ranks of the last window and [`SETTLE_TIME`]. Otherwise
/// two VMs could use the same share in one window when a VM joins and the ranks shift.
#[derive(Clone, Debug)]
pub struct Ranks {
    hold: time::Duration,
    started: core_time::Instant,
    current: Position,
    changed: core_time::Instant,
    /// Earlier positions with the time at which each ended.
    earlier: Vec<(core_time::Instant, Position)>,
    /// Whether a leader was known since the start. A VM that never met one may know no other VMs.
    met_leader: bool,
    settled: bool,
}

impl Ranks {
    /// Creates the ranks of a VM that has just started and has no share. It gets one after a window, as
    /// the process before a restart may have used the same one.
    pub fn new(now: core_time::Instant, window: time::Duration) -> Ranks {
        Ranks {
            hold: window + SETTLE_TIME,
            started: now,
            current: Position::default(),
            changed: now,
            earlier: Vec::new(),
            met_leader: false,
            settled: false,
        }
    }

    /// Records that a leader is known.
    pub fn leader_known(&mut self, now: core_time::Instant) {
        if !self.met_leader {
            self.met_leader = true;
            self.changed = now;
        }
    }

    /// Updates the rank of this VM among all known VMs.
    pub fn set(&mut self, now: core_time::Instant, position: Position) {
        if position != self.current {
            self.earlier.push((now, self.current));
            self.current = position;
            self.changed = now;
        }
        let hold = self.hold;
        self.earlier.retain(|(ended, _)| now.since(*ended) < hold);
        let is_quiet = self.met_leader && now.since(self.changed) >= SETTLE_TIME;
        if !self.settled && is_quiet && now.since(self.started) >= hold {
            self.settled = true;
            self.earlier.clear();
        }
    }

    /// Returns the part of `total` that this VM may use in any window.
    pub fn share(&self, workspace: WorkspaceId, total: u64) -> u64 {
        if !self.settled {
            return 0;
        }
        let now = part(workspace, total, self.current);
        let earlier = self.earlier.iter();
        let earlier = earlier.map(|(_, position)| part(workspace, total, *position));
        earlier.fold(now, u64::min)
    }
}

/// Returns the whole part of `total` that a VM gets by its rank. The parts of all ranks add up to
/// `total`; workspaces begin at different ranks, so that small reserves don't lie on the same VMs.
fn part(workspace: WorkspaceId, total: u64, position: Position) -> u64 {
    let count = position.count as u64;
    if count == 0 || position.rank >= position.count {
        return 0;
    }
    let offset = (u128::from(workspace.0) * u128::from(count)) >> 64;
    let rank = (position.rank as u64 + offset as u64) % count;
    let up_to = |rank: u64| u128::from(total) * u128::from(rank) / u128::from(count);
    (up_to(rank + 1) - up_to(rank)) as u64
}

/// Calls of one workspace that used the reserve.
#[derive(Clone, Debug, Default)]
pub struct ReserveUse {
    used: collections::VecDeque<core_time::Instant>,
}

impl ReserveUse {
    /// Uses one call of the reserve; returns false when `share` calls used it within the last `window`.
    pub fn take(&mut self, now: core_time::Instant, window: time::Duration, share: u64) -> bool {
        let is_past = |used: &core_time::Instant| now.since(*used) > window;
        while self.used.front().is_some_and(is_past) {
            self.used.pop_front();
        }
        let free = (self.used.len() as u64) < share;
        if free {
            self.used.push_back(now);
        }
        free
    }
}
