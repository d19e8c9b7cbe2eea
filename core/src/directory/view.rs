//! A gateway's copy of the directory, kept up to date by deltas and compared with the leader's
//! digest.

use std::collections;

use crate::directory::{Delta, Digest, Key, State, Target, TargetUpdate, Version};
use crate::types;

/// Change of a target, to be applied to the balancer of its service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetChange {
    /// The target is new or changed. Its state is draining if a record drains it.
    Upsert(Target),
    /// The target was removed.
    Remove(Key),
}

/// Result of comparing the view with the version and digest in a lease grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViewComparison {
    /// The view equals the directory.
    Same,
    /// The view differs. The next renewal is due immediately and requests the full list.
    Differs,
    /// No comparison is possible: changes are still to arrive, the grant is older than one seen
    /// before, or the leader is rebuilding the directory.
    Unknown,
}

/// Targets of all services as far as this gateway has received them.
#[derive(Clone, Debug, Default)]
pub struct View {
    version: Version,
    /// Highest version received. A full list with a lower version is late and would undo changes.
    newest: Version,
    targets: collections::BTreeMap<Key, Target>,
    drained: collections::BTreeMap<types::ServiceName, collections::BTreeSet<types::TargetId>>,
    digest: Digest,
}

impl View {
    /// Returns the version that a renewal carries; version 0.0 requests the full list.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the digest of all targets in their announced states, without drains by record.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the number of targets.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns whether there are no targets.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Applies a delta and returns the resulting changes.
    ///
    /// A late delta, or one that does not follow the current version, is ignored. The version in
    /// the next renewal makes the leader send what is missing.
    pub fn apply(&mut self, delta: &Delta) -> Vec<TargetChange> {
        if !self.is_applicable(delta) {
            return Vec::new();
        }
        let mut changes = Vec::new();
        if delta.full {
            self.remove_missing(delta, &mut changes);
        }
        for update in &delta.updates {
            match update {
                TargetUpdate::Set(target) => self.set(target, delta.full, &mut changes),
                TargetUpdate::Gone { key, .. } => self.remove(key, &mut changes),
            }
        }
        self.version = delta.to;
        self.newest = self.newest.max(delta.to);
        changes
    }

    fn is_applicable(&self, delta: &Delta) -> bool {
        if delta.full {
            return delta.to >= self.newest;
        }
        let (version, from, to) = (self.version, delta.from, delta.to);
        version != Version::default()
            && from.term == version.term
            && to.term == version.term
            && from <= version
            && to >= version
    }

    /// Compares the view with the version and digest of a lease grant.
    pub fn compare(&mut self, version: Version, digest: Option<Digest>) -> ViewComparison {
        let Some(digest) = digest.filter(|_| version >= self.newest) else {
            return ViewComparison::Unknown;
        };
        self.newest = self.newest.max(version);
        let same_term = version.term == self.version.term;
        if same_term && version.sequence > self.version.sequence {
            return ViewComparison::Unknown;
        }
        if digest == self.digest {
            self.version = version;
            return ViewComparison::Same;
        }
        self.version = Version::default();
        ViewComparison::Differs
    }

    fn remove_missing(&mut self, delta: &Delta, changes: &mut Vec<TargetChange>) {
        let listed: collections::BTreeSet<&Key> =
            delta.updates.iter().filter_map(set_key).collect();
        let missing = self.targets.keys().filter(|key| !listed.contains(key));
        for key in missing.cloned().collect::<Vec<_>>() {
            self.remove(&key, changes);
        }
    }

    fn set(&mut self, target: &Target, authoritative: bool, changes: &mut Vec<TargetChange>) {
        let current = self.targets.get(&target.key);
        if current == Some(target) {
            return;
        }
        if let Some(current) = current {
            if !authoritative && !target.supersedes(current) {
                return;
            }
            self.digest.remove(current.digest());
        }
        self.digest.add(target.digest());
        self.targets.insert(target.key.clone(), target.clone());
        changes.push(TargetChange::Upsert(self.with_drain(target)));
    }

    fn remove(&mut self, key: &Key, changes: &mut Vec<TargetChange>) {
        if let Some(target) = self.targets.remove(key) {
            self.digest.remove(target.digest());
            changes.push(TargetChange::Remove(key.clone()));
        }
    }

    /// Sets the targets that the record of a service drains, and returns the resulting changes.
    pub fn drain_by_record(
        &mut self,
        service: &types::ServiceName,
        ids: &[types::TargetId],
    ) -> Vec<TargetChange> {
        let drained: collections::BTreeSet<types::TargetId> = ids.iter().cloned().collect();
        let before = match drained.is_empty() {
            true => self.drained.remove(service),
            false => self.drained.insert(service.clone(), drained.clone()),
        };
        let before = before.unwrap_or_default();
        let differing = before.symmetric_difference(&drained);
        let keys = differing.map(|id| Key {
            service: service.clone(),
            id: id.clone(),
        });
        let targets = keys.filter_map(|key| self.targets.get(&key));
        targets
            .map(|target| TargetChange::Upsert(self.with_drain(target)))
            .collect()
    }

    /// Returns the targets of a service. Those that a record drains have the state draining.
    pub fn targets(&self, service: &types::ServiceName) -> impl Iterator<Item = Target> {
        let first = Key {
            service: service.clone(),
            id: types::TargetId::default(),
        };
        let range = self.targets.range(first..);
        let range = range.take_while(move |(key, _)| key.service == *service);
        range.map(|(_, target)| self.with_drain(target))
    }

    fn with_drain(&self, target: &Target) -> Target {
        let drained = self.drained.get(&target.key.service);
        let mut target = target.clone();
        if drained.is_some_and(|ids| ids.contains(&target.key.id)) {
            target.state = State::Draining;
        }
        target
    }
}

fn set_key(update: &TargetUpdate) -> Option<&Key> {
    match update {
        TargetUpdate::Set(target) => Some(&target.key),
        TargetUpdate::Gone { .. } => None,
    }
}
