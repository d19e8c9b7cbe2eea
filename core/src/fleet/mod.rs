//! Targets that announce themselves, and which of them may get calls.
//!
//! Announcements arrive late, twice and out of order. A target's life is identified by its id and
//! the time of its start; within a life the sequence of its announcements orders them. A departure
//! ends a life for good. Of two lives at one address the later one holds it.

use std::{collections, net, time};

use serde::{Deserialize, Serialize};

use crate::{time as core_time, types};

/// Departed lives that are remembered, so that a late announcement doesn't bring one back.
const MAX_DEREGISTERED: usize = 4096;

/// What a target says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Target.
    pub target: types::TargetId,
    /// Service that it runs.
    pub service: types::ServiceName,
    /// Where it takes calls.
    pub address: net::SocketAddr,
    /// Failure domain that it is in.
    pub failure_domain: types::FailureDomain,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Start of this life; 0 when the target doesn't tell.
    pub born: core_time::UnixMillis,
    /// Rises with each announcement of a life.
    pub sequence: u64,
    /// How much longer it stays slow after its start.
    pub warmup_left: time::Duration,
}

/// A life of a target that ended or is about to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TargetIncarnation {
    /// Target.
    pub target: types::TargetId,
    /// Start of the life that ends.
    pub born: core_time::UnixMillis,
}

/// What an announcement changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationResult {
    /// The target is new, began a new life or moved.
    Joined,
    /// It is known and goes on.
    Renewed,
    /// A later announcement or life is known, or this life has departed.
    Stale,
}

/// A target that may get calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetEntry {
    /// Its latest announcement.
    pub announcement: Announcement,
    /// When it was last heard of.
    pub last_seen: core_time::Instant,
    /// When it joined as seen here.
    pub joined_at: core_time::Instant,
}

/// Targets that may get calls, and departures.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    targets: collections::BTreeMap<types::TargetId, TargetEntry>,
    deregistered: collections::VecDeque<TargetIncarnation>,
}

impl Directory {
    /// Takes an announcement of a target that is ready.
    pub fn register(
        &mut self,
        now: core_time::Instant,
        announcement: Announcement,
    ) -> RegistrationResult {
        if self.is_deregistered(&announcement.target, announcement.born) {
            return RegistrationResult::Stale;
        }
        let mut joined_at = now;
        if let Some(entry) = self.targets.get_mut(&announcement.target) {
            let old = &entry.announcement;
            let earlier = (announcement.born, announcement.sequence) < (old.born, old.sequence);
            if earlier {
                return RegistrationResult::Stale;
            }
            if announcement.born == old.born && announcement.address == old.address {
                entry.last_seen = now;
                entry.announcement = announcement;
                return RegistrationResult::Renewed;
            }
            if announcement.born == old.born {
                joined_at = entry.joined_at;
            }
        }
        if !self.claim_address(&announcement) {
            return RegistrationResult::Stale;
        }
        let target = announcement.target.clone();
        let entry = TargetEntry {
            announcement,
            last_seen: now,
            joined_at,
        };
        self.targets.insert(target, entry);
        RegistrationResult::Joined
    }

    /// Removes an earlier holder of the address; returns whether the address is free for `announcement`.
    fn claim_address(&mut self, announcement: &Announcement) -> bool {
        let holder = self.targets.values().find(|entry| {
            entry.announcement.address == announcement.address
                && entry.announcement.target != announcement.target
        });
        let Some(holder) = holder.map(|entry| entry.announcement.clone()) else {
            return true;
        };
        if holder.born > announcement.born {
            return false;
        }
        self.targets.remove(&holder.target);
        true
    }

    /// Ends a life; the target gets no more calls until a later life announces itself.
    ///
    /// Returns whether this was news.
    pub fn deregister(&mut self, departure: &TargetIncarnation) -> bool {
        let entry = self.targets.get(&departure.target);
        if entry.is_some_and(|entry| entry.announcement.born <= departure.born) {
            self.targets.remove(&departure.target);
        }
        if self.is_deregistered(&departure.target, departure.born) {
            return false;
        }
        if self.deregistered.len() == MAX_DEREGISTERED {
            self.deregistered.pop_front();
        }
        self.deregistered.push_back(departure.clone());
        true
    }

    /// Returns whether a life has departed.
    pub fn is_deregistered(&self, target: &types::TargetId, born: core_time::UnixMillis) -> bool {
        let ended =
            |departure: &&TargetIncarnation| departure.target == *target && born <= departure.born;
        self.deregistered
            .iter()
            .rev()
            .any(|departure| ended(&departure))
    }

    /// Removes a life that has not been heard of; it may come back.
    pub fn remove(&mut self, gone: &TargetIncarnation) -> bool {
        let entry = self.targets.get(&gone.target);
        let same = entry.is_some_and(|entry| entry.announcement.born == gone.born);
        if same {
            self.targets.remove(&gone.target);
        }
        same
    }

    /// Returns the lives that were not heard of for `limit`.
    pub fn silent(&self, now: core_time::Instant, limit: time::Duration) -> Vec<TargetIncarnation> {
        let silent = self
            .targets
            .values()
            .filter(|k| now.since(k.last_seen) >= limit);
        silent
            .map(|entry| incarnation_of(&entry.announcement))
            .collect()
    }

    /// Restarts the silence of all targets, when a new observer takes over.
    pub fn reset_last_seen(&mut self, now: core_time::Instant) {
        for entry in self.targets.values_mut() {
            entry.last_seen = now;
        }
    }

    /// Returns a target.
    pub fn get(&self, target: &types::TargetId) -> Option<&TargetEntry> {
        self.targets.get(target)
    }

    /// Returns all targets in the order of their ids.
    pub fn targets(&self) -> impl Iterator<Item = &TargetEntry> {
        self.targets.values()
    }

    /// Returns the departures, oldest first.
    pub fn deregistrations(&self) -> impl Iterator<Item = &TargetIncarnation> {
        self.deregistered.iter()
    }
}

/// Returns the life that a report belongs to.
pub fn incarnation_of(announcement: &Announcement) -> TargetIncarnation {
    TargetIncarnation {
        target: announcement.target.clone(),
        born: announcement.born,
    }
}
