//! A gateway's copy of the directory.

use std::collections;

use crate::directory::{Delta, Digest, Key, State, Target, TargetUpdate, Version};
use crate::types;

/// Change that a gateway must act on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetChange {
    /// The target is new or changed; its state takes account of drains by record.
    Upsert(Target),
    /// The target is gone.
    Remove(Key),
}

/// Result of comparing the copy with a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViewComparison {
    /// The copy equals the directory.
    Same,
    /// The copy differs: the next renewal asks for the full list and is due at once.
    Differs,
    /// Nothing can be said: changes are under way, the grant is late, or the leader rebuilds.
    Unknown,
}

/// Targets as this gateway knows them.
#[derive(Clone, Debug, Default)]
pub struct View {
    version: Version,
    /// Highest version seen. A full list below it comes late and would undo later changes.
    newest: Version,
    targets: collections::BTreeMap<Key, Target>,
    drained: collections::BTreeMap<types::ServiceName, collections::BTreeSet<types::TargetId>>,
    digest: Digest,
}

impl View {
    /// Returns the version that a renewal carries; zero asks for the full list.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the digest of all targets as they announced themselves.
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

    /// Applies changes. Those that leave a gap or come late do nothing; the next renewal's version
    /// makes the leader send what is missing.
    pub fn apply(&mut self, delta: &Delta) -> Vec<TargetChange> {
        if !self.continues(delta) {
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

    fn continues(&self, delta: &Delta) -> bool {
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

    /// Compares the copy with version and digest of a grant.
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
        let listed: collections::BTreeSet<&Key> = delta.updates.iter().filter_map(listed).collect();
        let gone = self.targets.keys().filter(|key| !listed.contains(key));
        for key in gone.cloned().collect::<Vec<_>>() {
            self.remove(&key, changes);
        }
    }

    fn set(&mut self, target: &Target, authoritative: bool, changes: &mut Vec<TargetChange>) {
        let known = self.targets.get(&target.key);
        if known == Some(target) {
            return;
        }
        if let Some(known) = known {
            if !authoritative && !target.supersedes(known) {
                return;
            }
            self.digest.remove(known.digest());
        }
        self.digest.add(target.digest());
        self.targets.insert(target.key.clone(), target.clone());
        changes.push(TargetChange::Upsert(self.effective(target)));
    }

    fn remove(&mut self, key: &Key, changes: &mut Vec<TargetChange>) {
        if let Some(target) = self.targets.remove(key) {
            self.digest.remove(target.digest());
            changes.push(TargetChange::Remove(key.clone()));
        }
    }

    /// Sets which targets of a service its record drains.
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
            .map(|target| TargetChange::Upsert(self.effective(target)))
            .collect()
    }

    /// Returns the targets of a service; their states take account of drains by record.
    pub fn targets(&self, service: &types::ServiceName) -> impl Iterator<Item = Target> {
        let first = Key {
            service: service.clone(),
            id: types::TargetId::default(),
        };
        let range = self.targets.range(first..);
        let range = range.take_while(move |(key, _)| key.service == *service);
        range.map(|(_, target)| self.effective(target))
    }

    fn effective(&self, target: &Target) -> Target {
        let drained = self.drained.get(&target.key.service);
        let mut target = target.clone();
        if drained.is_some_and(|ids| ids.contains(&target.key.id)) {
            target.state = State::Draining;
        }
        target
    }
}

fn listed(update: &TargetUpdate) -> Option<&Key> {
    match update {
        TargetUpdate::Set(target) => Some(&target.key),
        TargetUpdate::Gone { .. } => None,
    }
}
