//! Replicated state machine that stores the records, the registered VMs and recent request ids.
//!
//! Every replica applies the committed commands of group 0's log in the same order and reaches the
//! same state. A write is accepted if it passes validation and names the current revision of its
//! record (compare-and-set). The only source of time is the time in the commands.

mod changes;
mod command;
mod ids;
mod record;
mod snapshot;
mod vms;

use std::{collections, sync};

use crate::records::{self, Key};
use crate::{time, types};

pub use changes::{Change, Changes};
pub use command::{Command, Reason, Reply};
pub use ids::{RequestIdError, RequestUuid, parse_request_id};
pub use record::{Entry, Version};
pub use snapshot::SnapshotError;
pub use vms::Vm;

/// Maximum number of records; 160 services and 50 VMs are expected.
pub const MAX_RECORDS: usize = 1024;

/// Maximum number of deleted records whose history is kept.
pub const MAX_DELETED: usize = 256;

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Registry {
    revision: types::Revision,
    /// Changes up to this revision cannot be listed individually, because deleted records were
    /// pruned.
    compact_revision: types::Revision,
    time: time::UnixMillis,
    entries: collections::BTreeMap<Key, Entry>,
    ids: ids::RequestIds,
    vms: collections::BTreeMap<types::VmId, Vm>,
    /// Lines and fields of the snapshot that this version does not know.
    unknown: snapshot::UnknownData,
    routes: RouteCache,
}

/// Routes of the current records. They are derived from the records, so comparison ignores them.
#[derive(Clone, Debug, Default)]
struct RouteCache(records::Routes);

impl PartialEq for RouteCache {
    fn eq(&self, _: &RouteCache) -> bool {
        true
    }
}

impl Registry {
    /// Returns the revision of the last accepted change.
    pub fn revision(&self) -> types::Revision {
        self.revision
    }

    /// Returns the replicated time, which is the latest time of all applied commands.
    pub fn time(&self) -> time::UnixMillis {
        self.time
    }

    /// Returns the current version of a record.
    pub fn get(&self, key: &Key) -> Option<&Version> {
        self.entries.get(key).and_then(Entry::current)
    }

    /// Returns all current records in the order of their keys.
    pub fn list(&self) -> impl Iterator<Item = (&Key, &Version)> {
        self.entries
            .iter()
            .filter_map(|(key, entry)| Some((key, entry.current()?)))
    }

    /// Returns the stored versions of a record, oldest first. A deletion is a version without text.
    pub fn history(&self, key: &Key) -> impl Iterator<Item = &Version> {
        self.entries
            .get(key)
            .into_iter()
            .flat_map(|entry| entry.versions.iter())
    }

    /// Returns the registered VMs.
    pub fn vms(&self) -> impl Iterator<Item = &Vm> {
        self.vms.values()
    }

    /// Returns the number of stored request ids.
    pub fn id_count(&self) -> usize {
        self.ids.len()
    }

    /// Returns the changes after `revision`, or all records if these changes cannot be listed.
    pub fn changes_since(&self, revision: types::Revision) -> Changes {
        changes::changes_since(self, revision)
    }

    /// Applies a committed command. An accepted change gets its log index as revision.
    pub fn apply(&mut self, index: types::LogIndex, command: &Command) -> Reply {
        self.advance_time(command.now());
        match command {
            Command::Put {
                request_id,
                expect,
                actor,
                text,
                ..
            } => {
                let digest = crc32fast::hash(text.as_bytes());
                let write = WriteRequest {
                    index,
                    request_id,
                    digest,
                    actor,
                    expect: *expect,
                };
                self.apply_once(&write, |registry, id| registry.put(&write, id, text))
            }
            Command::Delete {
                request_id,
                key,
                expect,
                actor,
                ..
            } => {
                let digest = crc32fast::hash(format!("delete {key}").as_bytes());
                let write = WriteRequest {
                    index,
                    request_id,
                    digest,
                    actor,
                    expect: Some(*expect),
                };
                self.apply_once(&write, |registry, id| registry.delete(&write, id, key))
            }
            Command::RegisterVm {
                vm,
                role,
                failure_domain,
                schemas,
                ..
            } => self.register(Vm {
                id: *vm,
                role: *role,
                failure_domain: failure_domain.clone(),
                schemas: schemas.clone(),
            }),
            Command::RemoveVm { vm, .. } => {
                self.vms.remove(vm);
                Reply::Done
            }
        }
    }

    /// Advances the replicated time. It never goes back, even if a new leader's clock is behind.
    fn advance_time(&mut self, now: time::UnixMillis) {
        self.time = self.time.max(now);
        self.ids.expire(self.time);
    }

    /// Runs a write and stores its reply, unless the request id is already stored or refused.
    fn apply_once(
        &mut self,
        write: &WriteRequest<'_>,
        run: impl FnOnce(&mut Registry, RequestUuid) -> Reply,
    ) -> Reply {
        let id = match parse_request_id(write.request_id) {
            Ok(id) => id,
            Err(err) => {
                return Reply::Refused {
                    reason: Reason::Id(err),
                };
            }
        };
        match self.ids.find(id, write.digest) {
            Some(Ok(first)) => return Reply::Repeated(Box::new(first.clone())),
            Some(Err(reason)) => return Reply::Refused { reason },
            None => {}
        }
        if let Err(reason) = self.ids.admit(id, self.time) {
            return Reply::Refused { reason };
        }
        let reply = run(self, id);
        self.ids.insert(id, write.digest, &reply);
        reply
    }

    fn put(&mut self, write: &WriteRequest<'_>, id: RequestUuid, text: &str) -> Reply {
        // The schema is checked before the spec is validated, because a replica that does not know
        // the schema must reach the same result as one that does.
        let header = match records::parse_header(text) {
            Ok(header) => header,
            Err(_) => {
                return Reply::Invalid {
                    faults: records::parse(text).err().unwrap_or_default(),
                };
            }
        };
        let unable = self.vms_lacking_schema(header.schema);
        if !unable.is_empty() {
            return Reply::Unsupported { vms: unable };
        }
        let record = match records::parse(text) {
            Ok(record) => record,
            Err(faults) => return Reply::Invalid { faults },
        };
        let faults = self.route_conflicts(&record);
        if !faults.is_empty() {
            return Reply::Invalid { faults };
        }
        if let Some(conflict) = self.revision_conflict(&record.key, write.expect) {
            return conflict;
        }
        let live = self
            .entries
            .values()
            .filter(|entry| entry.current().is_some())
            .count();
        if self.get(&record.key).is_none() && live >= MAX_RECORDS {
            return Reply::Refused {
                reason: Reason::TooManyRecords,
            };
        }
        if let Some(spec) = record.service() {
            let name = types::ServiceName(record.key.name.clone());
            self.routes.0.insert(&name, spec);
        }
        let text = sync::Arc::from(text);
        self.accept(write, id, record.key, record.schema, Some(text))
    }

    fn delete(&mut self, write: &WriteRequest<'_>, id: RequestUuid, key: &Key) -> Reply {
        if let Some(conflict) = self.revision_conflict(key, write.expect) {
            return conflict;
        }
        let schema = self.get(key).map_or(0, |version| version.schema);
        if key.kind == records::Kind::Service {
            self.routes.0.remove(&types::ServiceName(key.name.clone()));
        }
        let reply = self.accept(write, id, key.clone(), schema, None);
        self.prune_deleted();
        reply
    }

    fn route_conflicts(&self, record: &records::Record) -> Vec<records::ValidationError> {
        let name = types::ServiceName(record.key.name.clone());
        record
            .service()
            .map_or(Vec::new(), |spec| self.routes.0.conflicts(&name, spec))
    }

    fn revision_conflict(&self, key: &Key, expect: Option<types::Revision>) -> Option<Reply> {
        let current = self.get(key).map(|version| version.revision);
        // Revisions start at 1, so that 0 also means that the record does not exist.
        let expect = expect.filter(|revision| revision.0 > 0);
        if current == expect {
            return None;
        }
        let last = self
            .entries
            .get(key)
            .and_then(|entry| entry.versions.back());
        Some(Reply::Conflict {
            current: current.unwrap_or_default(),
            by_request: last.map(|version| version.request_id()),
        })
    }

    fn accept(
        &mut self,
        write: &WriteRequest<'_>,
        id: RequestUuid,
        key: Key,
        schema: u32,
        text: Option<sync::Arc<str>>,
    ) -> Reply {
        let revision = types::Revision(write.index.0);
        self.revision = revision;
        let version = Version {
            revision,
            schema,
            request: id,
            actor: write.actor.to_owned(),
            at: self.time,
            text,
        };
        self.entries.entry(key).or_default().push(version);
        Reply::Accepted { revision }
    }

    /// Removes the records that were deleted first, beyond the limit.
    fn prune_deleted(&mut self) {
        let deleted = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.current().is_none());
        let mut deleted: Vec<(types::Revision, Key)> = deleted
            .map(|(key, entry)| (entry.revision(), key.clone()))
            .collect();
        if deleted.len() <= MAX_DELETED {
            return;
        }
        deleted.sort();
        let surplus = deleted.len() - MAX_DELETED;
        for (revision, key) in deleted.into_iter().take(surplus) {
            self.entries.remove(&key);
            self.compact_revision = self.compact_revision.max(revision);
        }
    }

    fn rebuild_routes(&mut self) {
        let mut routes = records::Routes::default();
        for (key, version) in self.list() {
            let record = version
                .text
                .as_deref()
                .and_then(|text| records::parse(text).ok());
            if let Some(spec) = record.as_ref().and_then(records::Record::service) {
                routes.insert(&types::ServiceName(key.name.clone()), spec);
            }
        }
        self.routes = RouteCache(routes);
    }
}

/// Parameters that puts and deletions have in common.
struct WriteRequest<'a> {
    index: types::LogIndex,
    request_id: &'a types::RequestId,
    digest: u32,
    actor: &'a str,
    expect: Option<types::Revision>,
}
