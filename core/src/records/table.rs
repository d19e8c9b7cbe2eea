//! A gateway's copy of the records, updated by the changes that the leader sends.

use std::collections;

use crate::records::{self, Key, Record, Routes, ServiceSpec};
use crate::{registry, types};

/// Records that one set of changes affected.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AppliedChanges {
    /// Records that were created or updated.
    pub changed: Vec<Key>,
    /// Records that were removed.
    pub removed: Vec<Key>,
}

/// Reason why changes were not applied. The table is unchanged in this case.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// The changes start after the revision of this table or end before it. Applying them could
    /// skip a change or replace a newer record.
    #[error("changes from revision {from} to {through} do not follow revision {revision}")]
    OutOfOrder {
        /// Revision of this table.
        revision: types::Revision,
        /// Revision that the changes are based on.
        from: types::Revision,
        /// Revision after the changes.
        through: types::Revision,
    },
    /// A record cannot be parsed by this version, so this VM must not report that it enforces it.
    #[error("record {key} cannot be parsed by this version")]
    Unreadable {
        /// Key of the record.
        key: Key,
    },
}

/// Records in force on one gateway.
#[derive(Clone, Debug, Default)]
pub struct Table {
    revision: types::Revision,
    records: collections::BTreeMap<Key, (types::Revision, Record)>,
    routes: Routes,
}

impl Table {
    /// Returns the revision up to which all changes have been applied.
    pub fn revision(&self) -> types::Revision {
        self.revision
    }

    /// Applies changes that follow the revision of this table.
    ///
    /// # Errors
    ///
    /// Returns the reason if the changes were not applied.
    pub fn apply(&mut self, changes: &registry::Changes) -> Result<AppliedChanges, ApplyError> {
        let gap = !changes.full && changes.from > self.revision;
        if gap || changes.through < self.revision {
            return Err(ApplyError::OutOfOrder {
                revision: self.revision,
                from: changes.from,
                through: changes.through,
            });
        }
        let parsed = self.parse_changed(changes)?;
        let mut applied = AppliedChanges::default();
        if changes.full {
            self.remove_missing(changes, &mut applied);
        }
        // Removals are applied first, so that a route can move from one service to another.
        for change in changes
            .changes
            .iter()
            .filter(|change| change.text.is_none())
        {
            self.remove(&change.key, &mut applied);
        }
        for (revision, record) in parsed {
            self.insert(revision, record, &mut applied);
        }
        self.revision = changes.through;
        Ok(applied)
    }

    fn parse_changed(
        &self,
        changes: &registry::Changes,
    ) -> Result<Vec<(types::Revision, Record)>, ApplyError> {
        let mut parsed = Vec::new();
        for change in &changes.changes {
            let current = self.records.get(&change.key).map(|(revision, _)| *revision);
            let Some(text) = change
                .text
                .as_deref()
                .filter(|_| current < Some(change.revision))
            else {
                continue;
            };
            let Ok(record) = records::parse(text) else {
                return Err(ApplyError::Unreadable {
                    key: change.key.clone(),
                });
            };
            parsed.push((change.revision, record));
        }
        Ok(parsed)
    }

    fn remove_missing(&mut self, changes: &registry::Changes, applied: &mut AppliedChanges) {
        let listed: collections::BTreeSet<&Key> =
            changes.changes.iter().map(|change| &change.key).collect();
        let missing = self.records.keys().filter(|key| !listed.contains(key));
        for key in missing.cloned().collect::<Vec<_>>() {
            self.remove(&key, applied);
        }
    }

    fn insert(&mut self, revision: types::Revision, record: Record, applied: &mut AppliedChanges) {
        if let Some(spec) = record.service() {
            self.routes.insert(&service_name(&record.key), spec);
        }
        applied.changed.push(record.key.clone());
        self.records.insert(record.key.clone(), (revision, record));
    }

    fn remove(&mut self, key: &Key, applied: &mut AppliedChanges) {
        if self.records.remove(key).is_none() {
            return;
        }
        if key.kind == records::Kind::Service {
            self.routes.remove(&service_name(key));
        }
        applied.removed.push(key.clone());
    }

    /// Returns a record and its revision.
    pub fn get(&self, key: &Key) -> Option<(types::Revision, &Record)> {
        self.records
            .get(key)
            .map(|(revision, record)| (*revision, record))
    }

    /// Returns all records in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.records.values().map(|(_, record)| record)
    }

    /// Returns the spec of a service.
    pub fn service(&self, name: &types::ServiceName) -> Option<&ServiceSpec> {
        let key = Key::new(records::Kind::Service, name.as_str());
        self.records
            .get(&key)
            .and_then(|(_, record)| record.service())
    }

    /// Returns the service of a call. See [`Routes::lookup`].
    pub fn lookup(&self, host: &str, path: &str) -> Option<&types::ServiceName> {
        self.routes.lookup(host, path)
    }

    /// Returns whether the record of a VM drains it.
    pub fn drains_vm(&self, vm: types::VmId) -> bool {
        let key = Key::new(records::Kind::Vm, vm.to_string());
        let record = self.records.get(&key).map(|(_, record)| record);
        record
            .and_then(Record::vm)
            .is_some_and(|(_, spec)| spec.drain)
    }
}

fn service_name(key: &Key) -> types::ServiceName {
    types::ServiceName(key.name.clone())
}
