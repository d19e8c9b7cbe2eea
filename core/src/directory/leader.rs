//! The directory of all targets, held by the leader of group 0.
//!
//! It is built from the changes, lists and digests that gateways send, is kept in memory only and
//! is rebuilt by each new leader.

use std::collections;

use crate::directory::{
    Change, Config, Delta, Digest, Key, List, State, Target, TargetUpdate, Version, tombstones,
};
use crate::time::Instant;
use crate::types;

/// Maximum number of removed targets whose removal can be sent as a change. A gateway that has
/// missed older removals gets the full list.
const MAX_REMOVED: usize = 4096;

/// VM and incarnation of a gateway process.
type GatewayProcess = (types::VmId, types::Incarnation);

#[derive(Clone, Debug)]
struct Entry {
    target: Target,
    /// Sequence of the target's last change.
    sequence: u64,
    /// Gateways at which this incarnation of the target is registered.
    gateways: collections::BTreeSet<GatewayProcess>,
}

/// Registered targets of one gateway process, as received by the leader.
#[derive(Clone, Debug)]
struct GatewayTargets {
    last_renewal: Instant,
    /// Sequence of the last change or list applied.
    sequence: u64,
    targets: collections::BTreeMap<Key, Target>,
    digest: Digest,
}

/// Merges the registered targets of all gateways.
///
/// It is empty when a VM becomes leader, and complete when the targets of all gateways have been
/// received.
#[derive(Clone, Debug)]
pub struct Directory {
    cfg: Config,
    version: Version,
    rebuild_deadline: Instant,
    /// Gateways whose targets have not been received completely. Empty once the directory is
    /// rebuilt.
    pending_gateways: collections::BTreeSet<types::VmId>,
    entries: collections::BTreeMap<Key, Entry>,
    /// Incarnation and sequence of the removal of each target that was removed.
    removed: collections::BTreeMap<Key, (types::Incarnation, u64)>,
    /// Key of the changed target by sequence. Each key appears only once, with its last change.
    log: collections::BTreeMap<u64, Key>,
    /// Changes up to this sequence are compacted: gateways behind it get the full list.
    compact_sequence: u64,
    gateways: collections::BTreeMap<GatewayProcess, GatewayTargets>,
    tombstones: tombstones::Tombstones,
    digest: Digest,
}

impl Directory {
    /// Creates an empty directory for a VM that has become leader.
    ///
    /// Nothing is removed from the gateways' views until the targets of all `gateways` have been
    /// received or the rebuild timeout has passed.
    pub fn new(
        cfg: Config,
        term: types::Term,
        now: Instant,
        gateways: impl IntoIterator<Item = types::VmId>,
    ) -> Directory {
        let rebuild_deadline = now + cfg.rebuild_timeout;
        Directory {
            cfg,
            version: Version { term, sequence: 0 },
            rebuild_deadline,
            pending_gateways: gateways.into_iter().collect(),
            entries: collections::BTreeMap::new(),
            removed: collections::BTreeMap::new(),
            log: collections::BTreeMap::new(),
            compact_sequence: 0,
            gateways: collections::BTreeMap::new(),
            tombstones: tombstones::Tombstones::default(),
            digest: Digest::default(),
        }
    }

    /// Returns the version of the last change.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the digest of all targets, or `None` while the directory is being rebuilt.
    pub fn digest(&self) -> Option<Digest> {
        self.pending_gateways.is_empty().then_some(self.digest)
    }

    /// Returns the number of targets.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no targets.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns a target.
    pub fn get(&self, key: &Key) -> Option<&Target> {
        self.entries.get(key).map(|entry| &entry.target)
    }

    /// Returns all targets, each with the VMs of the gateways at which it is registered.
    pub fn targets(&self) -> impl Iterator<Item = (&Target, Vec<types::VmId>)> {
        let vms = |entry: &Entry| entry.gateways.iter().map(|(vm, _)| *vm).collect();
        self.entries
            .values()
            .map(move |entry| (&entry.target, vms(entry)))
    }

    /// Compares the digest and the number of targets in a gateway's lease renewal with the targets
    /// received from it, and extends their TTL.
    ///
    /// Returns whether the gateway must send its list, because changes were lost or this leader is
    /// new.
    pub fn check_digest(
        &mut self,
        now: Instant,
        vm: types::VmId,
        incarnation: types::Incarnation,
        digest: Digest,
        count: u32,
    ) -> bool {
        let Some(reported) = self.gateway_targets(now, (vm, incarnation)) else {
            return false;
        };
        reported.last_renewal = now;
        let same = reported.digest == digest && reported.targets.len() == count as usize;
        if same {
            self.pending_gateways.remove(&vm);
        }
        !same
    }

    /// Returns the targets of a gateway process, or `None` if a later incarnation has sent a
    /// message.
    fn gateway_targets(
        &mut self,
        now: Instant,
        gateway: GatewayProcess,
    ) -> Option<&mut GatewayTargets> {
        let (vm, incarnation) = gateway;
        let last = (vm, types::Incarnation(u64::MAX));
        let latest = self
            .gateways
            .range((vm, types::Incarnation(0))..=last)
            .next_back();
        if latest.is_some_and(|((_, latest), _)| *latest > incarnation) {
            return None;
        }
        Some(
            self.gateways
                .entry(gateway)
                .or_insert_with(|| GatewayTargets {
                    last_renewal: now,
                    sequence: 0,
                    targets: collections::BTreeMap::new(),
                    digest: Digest::default(),
                }),
        )
    }

    /// Applies a change of a gateway's registered targets, unless a later change or list was
    /// applied.
    pub fn apply_change(
        &mut self,
        now: Instant,
        vm: types::VmId,
        incarnation: types::Incarnation,
        change: &Change,
    ) {
        let gateway = (vm, incarnation);
        let Some(reported) = self.gateway_targets(now, gateway) else {
            return;
        };
        if change.sequence <= reported.sequence {
            return;
        }
        reported.sequence = change.sequence;
        match &change.update {
            TargetUpdate::Set(target) => self.set(gateway, target),
            TargetUpdate::Gone { key, incarnation } => self.unset(now, gateway, key, *incarnation),
        }
    }

    /// Applies the list of a gateway's registered targets, unless it lacks a change that was
    /// applied.
    pub fn apply_list(
        &mut self,
        now: Instant,
        vm: types::VmId,
        incarnation: types::Incarnation,
        list: &List,
    ) {
        let gateway = (vm, incarnation);
        let Some(reported) = self.gateway_targets(now, gateway) else {
            return;
        };
        if list.sequence < reported.sequence {
            return;
        }
        reported.sequence = list.sequence;
        let listed: collections::BTreeSet<&Key> = list.targets.iter().map(|t| &t.key).collect();
        let missing = reported
            .targets
            .values()
            .filter(|target| !listed.contains(&target.key));
        let missing: Vec<(Key, types::Incarnation)> = missing
            .map(|target| (target.key.clone(), target.incarnation))
            .collect();
        for (key, incarnation) in missing {
            self.unset(now, gateway, &key, incarnation);
        }
        for target in &list.targets {
            self.set(gateway, target);
        }
    }

    /// Removes the targets of gateways that have not renewed within the TTL, and ends the rebuild
    /// when its timeout has passed.
    pub fn expire(&mut self, now: Instant) {
        self.tombstones.expire(now, self.cfg.tombstone_ttl);
        if now >= self.rebuild_deadline {
            self.pending_gateways.clear();
        }
        let expired = self
            .gateways
            .iter()
            .filter(|(_, v)| v.last_renewal + self.cfg.ttl <= now);
        let expired: Vec<GatewayProcess> = expired.map(|(gateway, _)| *gateway).collect();
        for gateway in expired {
            let Some(reported) = self.gateways.remove(&gateway) else {
                continue;
            };
            for target in reported.targets.values() {
                self.withdraw(now, gateway, &target.key, target.incarnation);
            }
        }
    }

    /// Returns when `expire` must be called.
    pub fn next_deadline(&self) -> Option<Instant> {
        let rebuild_end = (!self.pending_gateways.is_empty()).then_some(self.rebuild_deadline);
        let expiries = self
            .gateways
            .values()
            .map(|reported| reported.last_renewal + self.cfg.ttl);
        rebuild_end.into_iter().chain(expiries).min()
    }

    fn set(&mut self, gateway: GatewayProcess, target: &Target) {
        let Some(reported) = self.gateways.get_mut(&gateway) else {
            return;
        };
        let current = reported.targets.get(&target.key);
        if current.is_none() && reported.targets.len() >= self.cfg.max_targets {
            return;
        }
        if let Some(current) = current {
            reported.digest.remove(current.digest());
        }
        reported.digest.add(target.digest());
        reported.targets.insert(target.key.clone(), target.clone());
        self.merge(gateway, target);
    }

    fn merge(&mut self, gateway: GatewayProcess, target: &Target) {
        let Some(entry) = self.entries.get_mut(&target.key) else {
            self.insert_new(gateway, target);
            return;
        };
        if target.incarnation < entry.target.incarnation {
            return;
        }
        if target.incarnation > entry.target.incarnation {
            entry.gateways.clear();
        }
        entry.gateways.insert(gateway);
        if target.supersedes(&entry.target) {
            self.digest.remove(entry.target.digest());
            entry.target.update(target);
            self.digest.add(entry.target.digest());
            self.log_change(&target.key);
        }
    }

    fn insert_new(&mut self, gateway: GatewayProcess, target: &Target) {
        let full = self.entries.len() >= self.cfg.max_targets;
        if full || self.tombstones.later_stage(target).is_some() {
            return;
        }
        self.digest.add(target.digest());
        let entry = Entry {
            target: target.clone(),
            sequence: 0,
            gateways: collections::BTreeSet::from([gateway]),
        };
        self.entries.insert(target.key.clone(), entry);
        self.log_change(&target.key);
    }

    fn unset(
        &mut self,
        now: Instant,
        gateway: GatewayProcess,
        key: &Key,
        incarnation: types::Incarnation,
    ) {
        if let Some(reported) = self.gateways.get_mut(&gateway)
            && let Some(current) = reported.targets.remove(key)
        {
            reported.digest.remove(current.digest());
        }
        self.withdraw(now, gateway, key, incarnation);
    }

    /// Removes a gateway from a target, and the target if it is registered at no other gateway.
    fn withdraw(
        &mut self,
        now: Instant,
        gateway: GatewayProcess,
        key: &Key,
        incarnation: types::Incarnation,
    ) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if entry.target.incarnation != incarnation {
            return;
        }
        entry.gateways.remove(&gateway);
        if !entry.gateways.is_empty() {
            return;
        }
        self.tombstones.insert(now, &entry.target);
        self.digest.remove(entry.target.digest());
        self.log_change(key);
        if let Some(entry) = self.entries.remove(key) {
            self.removed
                .insert(key.clone(), (incarnation, entry.sequence));
        }
        self.compact_removed();
    }

    /// Adds a change of a target to the log and removes the target's previous change.
    fn log_change(&mut self, key: &Key) {
        self.version.sequence += 1;
        let sequence = self.version.sequence;
        if let Some((_, old)) = self.removed.remove(key) {
            self.log.remove(&old);
        }
        if let Some(entry) = self.entries.get_mut(key) {
            self.log.remove(&entry.sequence);
            entry.sequence = sequence;
        }
        self.log.insert(sequence, key.clone());
    }

    fn compact_removed(&mut self) {
        if self.removed.len() <= MAX_REMOVED {
            return;
        }
        let oldest = self
            .removed
            .iter()
            .min_by_key(|(_, (_, sequence))| *sequence);
        if let Some((key, sequence)) = oldest.map(|(key, (_, sequence))| (key.clone(), *sequence)) {
            self.removed.remove(&key);
            self.log.remove(&sequence);
            self.compact_sequence = sequence;
        }
    }

    /// Returns the changes after `version` for a gateway, or `None` if there are none to send now.
    ///
    /// A gateway whose version is of an earlier term keeps its view: by the digest in the next
    /// grant it finds out whether it needs the full list, which it requests with version 0.0. While
    /// the directory is being rebuilt, it gets only the draining targets, because drains must not
    /// be delayed.
    pub fn changes_since(&self, version: Version) -> Option<Delta> {
        let rebuilding = !self.pending_gateways.is_empty();
        if version.term != self.version.term && version != Version::default() {
            return self.drains(version).filter(|_| rebuilding);
        }
        if version == Version::default() {
            return (!rebuilding).then(|| self.full());
        }
        if version == self.version {
            return None;
        }
        if version.sequence < self.compact_sequence || version > self.version {
            return (!rebuilding).then(|| self.full());
        }
        let updates = self
            .log
            .range(version.sequence + 1..)
            .filter_map(|(_, key)| self.update_of(key));
        Some(Delta {
            from: version,
            to: self.version,
            full: false,
            updates: updates.collect(),
        })
    }

    fn update_of(&self, key: &Key) -> Option<TargetUpdate> {
        if let Some(entry) = self.entries.get(key) {
            return Some(TargetUpdate::Set(entry.target.clone()));
        }
        let (incarnation, _) = self.removed.get(key)?;
        Some(TargetUpdate::Gone {
            key: key.clone(),
            incarnation: *incarnation,
        })
    }

    fn full(&self) -> Delta {
        let updates = self
            .entries
            .values()
            .map(|entry| TargetUpdate::Set(entry.target.clone()));
        Delta {
            from: Version::default(),
            to: self.version,
            full: true,
            updates: updates.collect(),
        }
    }

    /// Returns the draining targets as a delta that does not change the gateway's version.
    fn drains(&self, version: Version) -> Option<Delta> {
        let draining = self
            .entries
            .values()
            .filter(|entry| entry.target.state == State::Draining);
        let updates: Vec<TargetUpdate> = draining
            .map(|entry| TargetUpdate::Set(entry.target.clone()))
            .collect();
        (!updates.is_empty()).then_some(Delta {
            from: version,
            to: version,
            full: false,
            updates,
        })
    }
}
