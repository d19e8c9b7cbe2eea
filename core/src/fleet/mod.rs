//! Directory of the targets that a VM may send calls to, built from their announcements.
//!
//! Announcements come from targets and from other VMs, and may be late, duplicated or reordered. A
//! target's incarnation is identified by its id and start time; announcements of one incarnation
//! are ordered by their sequence number. A deregistration ends an incarnation for good. If two
//! incarnations announce the same address, the one that started later keeps it.

mod departures;
mod digest;

use std::{collections, net, time};

pub use self::departures::UnreportedDepartures;
pub use self::digest::{BUCKETS, Digests, SetDigest, bucket};

use serde::{Deserialize, Serialize};

use crate::{time as core_time, types};

/// Number of deregistered incarnations that are kept, so that a late announcement does not register
/// one of them again.
const MAX_DEREGISTERED: usize = 4096;

/// Longest time between two checks for silent targets. After a longer one the process was suspended,
/// and the announcements of that time were not read yet.
const MAX_CHECK_GAP: time::Duration = time::Duration::from_secs(3);

/// Announcement of a target that is ready for calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Id of the target.
    pub target: types::TargetId,
    /// Service that the target runs.
    pub service: types::ServiceName,
    /// Address for calls.
    pub address: net::SocketAddr,
    /// Failure domain of the target.
    pub failure_domain: types::FailureDomain,
    /// Number of calls that the target runs at the same time.
    pub slots: u32,
    /// Start time of this incarnation; 0 if the target does not report it.
    pub born: core_time::UnixMillis,
    /// Number of the announcement, which increases within an incarnation.
    pub sequence: u64,
    /// Remaining time for which the target is slow after its start.
    pub warmup_left: time::Duration,
}

/// Identifies one incarnation of a target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TargetIncarnation {
    /// Id of the target.
    pub target: types::TargetId,
    /// Start time of the incarnation.
    pub born: core_time::UnixMillis,
}

/// Effect of an announcement on the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationResult {
    /// The target is new, was restarted or changed its address.
    Joined,
    /// The target was registered before and stays registered.
    Renewed,
    /// The announcement was ignored: a later announcement or incarnation is registered, a later
    /// incarnation holds the address, or this incarnation is deregistered.
    Stale,
}

/// A registered target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetEntry {
    /// Latest announcement of the target.
    pub announcement: Announcement,
    /// When the latest announcement arrived.
    pub last_seen: core_time::Instant,
    /// When this incarnation was registered on this VM.
    pub joined_at: core_time::Instant,
    /// Bucket and digest of the target, by which directories are compared.
    summary: digest::Summary,
}

/// Registered targets, and the incarnations that were deregistered lately.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    targets: collections::BTreeMap<types::TargetId, TargetEntry>,
    /// Digests of `targets`, kept up to date with each change: VMs compare them every second, and all
    /// VMs request them from a new leader at the same time.
    digests: Digests,
    /// The target at each address of `targets`.
    by_address: collections::BTreeMap<net::SocketAddr, types::TargetId>,
    deregistered: collections::VecDeque<TargetIncarnation>,
    /// Latest start of the deregistered incarnations of each target in `deregistered`.
    latest_deregistered: collections::BTreeMap<types::TargetId, core_time::UnixMillis>,
    /// When silent targets were last looked for.
    checked_at: Option<core_time::Instant>,
}

impl Directory {
    /// Registers a target or renews its registration.
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
        self.remove_entry(&target);
        self.by_address.insert(announcement.address, target.clone());
        let summary = digest::Summary::new(&announcement);
        self.digests.toggle(summary);
        let entry = TargetEntry {
            announcement,
            last_seen: now,
            joined_at,
            summary,
        };
        self.targets.insert(target, entry);
        RegistrationResult::Joined
    }

    /// Removes an earlier incarnation at the address of `announcement`, if another target holds it.
    ///
    /// Returns `false` if a later incarnation holds the address.
    fn claim_address(&mut self, announcement: &Announcement) -> bool {
        let holder = self.at_address(&announcement.address);
        let holder = holder.map(|entry| &entry.announcement);
        let Some(holder) = holder.filter(|holder| holder.target != announcement.target) else {
            return true;
        };
        if holder.born > announcement.born {
            return false;
        }
        let holder = holder.target.clone();
        self.remove_entry(&holder);
        true
    }

    fn remove_entry(&mut self, target: &types::TargetId) {
        if let Some(entry) = self.targets.remove(target) {
            self.by_address.remove(&entry.announcement.address);
            self.digests.toggle(entry.summary);
        }
    }

    /// Returns the registered target at an address.
    pub fn at_address(&self, address: &net::SocketAddr) -> Option<&TargetEntry> {
        self.targets.get(self.by_address.get(address)?)
    }

    /// Removes an incarnation for good; only a later incarnation of the target can register again.
    ///
    /// Returns whether the incarnation was not deregistered before.
    pub fn deregister(&mut self, incarnation: &TargetIncarnation) -> bool {
        let entry = self.targets.get(&incarnation.target);
        if entry.is_some_and(|entry| entry.announcement.born <= incarnation.born) {
            self.remove_entry(&incarnation.target);
        }
        if self.is_deregistered(&incarnation.target, incarnation.born) {
            return false;
        }
        if self.deregistered.len() == MAX_DEREGISTERED
            && let Some(oldest) = self.deregistered.pop_front()
            && self.latest_deregistered.get(&oldest.target) == Some(&oldest.born)
        {
            self.latest_deregistered.remove(&oldest.target);
        }
        self.deregistered.push_back(incarnation.clone());
        self.latest_deregistered
            .insert(incarnation.target.clone(), incarnation.born);
        true
    }

    /// Returns whether this or a later incarnation of the target was deregistered.
    pub fn is_deregistered(&self, target: &types::TargetId, born: core_time::UnixMillis) -> bool {
        let latest = self.latest_deregistered.get(target);
        latest.is_some_and(|latest| born <= *latest)
    }

    /// Removes an incarnation that stopped announcing itself; it may register again.
    ///
    /// Returns whether the incarnation was registered.
    pub fn remove(&mut self, incarnation: &TargetIncarnation) -> bool {
        let entry = self.targets.get(&incarnation.target);
        let same = entry.is_some_and(|entry| entry.announcement.born == incarnation.born);
        if same {
            self.remove_entry(&incarnation.target);
        }
        same
    }

    /// Returns the incarnations whose latest announcement arrived `limit` or longer ago.
    pub fn silent(&self, now: core_time::Instant, limit: time::Duration) -> Vec<TargetIncarnation> {
        let silent = self
            .targets
            .values()
            .filter(|k| now.since(k.last_seen) >= limit);
        silent
            .map(|entry| incarnation_of(&entry.announcement))
            .collect()
    }

    /// Returns the incarnations to remove because they have been silent for `limit` or longer. To be
    /// called every second; after a pause of this process, silence proves nothing, and the limit
    /// starts anew for all targets.
    pub fn check_silent(
        &mut self,
        now: core_time::Instant,
        limit: time::Duration,
    ) -> Vec<TargetIncarnation> {
        let last = self.checked_at.replace(now);
        if last.is_none_or(|last| now.since(last) > MAX_CHECK_GAP) {
            self.reset_last_seen(now);
        }
        self.silent(now, limit)
    }

    /// Counts all targets as announced at `now`. A new leader calls this, because it may not have
    /// received the announcements that went to the previous leader.
    pub fn reset_last_seen(&mut self, now: core_time::Instant) {
        for entry in self.targets.values_mut() {
            entry.last_seen = now;
        }
    }

    /// Returns a registered target.
    pub fn get(&self, target: &types::TargetId) -> Option<&TargetEntry> {
        self.targets.get(target)
    }

    /// Returns all registered targets in the order of their ids.
    pub fn targets(&self) -> impl Iterator<Item = &TargetEntry> {
        self.targets.values()
    }

    /// Returns the deregistered incarnations, oldest first.
    pub fn deregistrations(&self) -> impl Iterator<Item = &TargetIncarnation> {
        self.deregistered.iter()
    }
}

/// Returns the incarnation that made an announcement.
pub fn incarnation_of(announcement: &Announcement) -> TargetIncarnation {
    TargetIncarnation {
        target: announcement.target.clone(),
        born: announcement.born,
    }
}
