//! Snapshot format of the registry: one JSON object per line.
//!
//! The first line is a header. Lines and fields that this version does not know are stored and
//! written again, so that an older daemon does not drop data of a newer one. A daemon refuses a
//! snapshot for its version only if the header requires a newer reader.

use std::{collections, sync};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::records::Key;
use crate::registry::{Registry, Reply, Version, Vm, ids, record};
use crate::{time, types};

/// Format version that this version writes.
const FORMAT: u32 = 1;

type Extra = serde_json::Map<String, serde_json::Value>;

/// Data that a newer daemon wrote and this version does not know.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct UnknownData {
    lines: Vec<String>,
    header: Extra,
    vms: collections::BTreeMap<types::VmId, Extra>,
    versions: collections::BTreeMap<(Key, types::Revision), Extra>,
    ids: collections::BTreeMap<ids::RequestUuid, Extra>,
}

/// Reason why a snapshot cannot be restored.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// A line cannot be parsed.
    #[error("line {line} of the snapshot cannot be parsed: {cause}")]
    Damaged {
        /// Number of the line, starting at 1.
        line: usize,
        /// Error of the parser.
        cause: String,
    },
    /// The snapshot requires a newer version.
    #[error("snapshot requires a reader of format {needed}; this version reads up to {FORMAT}")]
    TooNew {
        /// Format version that the reader must support.
        needed: u32,
    },
}

#[derive(Serialize, Deserialize)]
struct Header {
    format: u32,
    /// Minimum format version that a reader of the snapshot must support.
    reader: u32,
    revision: types::Revision,
    floor: types::Revision,
    time: time::UnixMillis,
    #[serde(flatten)]
    extra: Extra,
}

#[derive(Serialize, Deserialize)]
struct VersionLine {
    key: Key,
    revision: types::Revision,
    schema: u32,
    request: types::RequestId,
    actor: String,
    at: time::UnixMillis,
    text: Option<String>,
    #[serde(flatten)]
    extra: Extra,
}

#[derive(Serialize, Deserialize)]
struct IdLine {
    id: types::RequestId,
    digest: u32,
    reply: Reply,
    #[serde(flatten)]
    extra: Extra,
}

#[derive(Serialize, Deserialize)]
struct VmLine {
    #[serde(flatten)]
    vm: Vm,
    #[serde(flatten)]
    extra: Extra,
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Line {
    Version(VersionLine),
    Id(IdLine),
    Vm(VmLine),
}

/// Names of the kinds of lines that this version knows.
const KNOWN_LINES: [&str; 3] = ["version", "id", "vm"];

impl Registry {
    /// Returns a snapshot of the state. Equal states have equal snapshots.
    pub fn snapshot(&self) -> Bytes {
        let mut out = Vec::new();
        write_line(&mut out, &self.header());
        for (key, entry) in &self.entries {
            for version in &entry.versions {
                write_line(&mut out, &Line::Version(self.version_line(key, version)));
            }
        }
        for (id, first) in self.ids.iter() {
            let extra = self.unknown.ids.get(&id).cloned().unwrap_or_default();
            let (digest, reply) = (first.digest, first.reply.clone());
            write_line(
                &mut out,
                &Line::Id(IdLine {
                    id: id.text(),
                    digest,
                    reply,
                    extra,
                }),
            );
        }
        for vm in self.vms.values() {
            let extra = self.unknown.vms.get(&vm.id).cloned().unwrap_or_default();
            write_line(
                &mut out,
                &Line::Vm(VmLine {
                    vm: vm.clone(),
                    extra,
                }),
            );
        }
        for line in &self.unknown.lines {
            out.extend_from_slice(line.as_bytes());
            out.push(b'\n');
        }
        Bytes::from(out)
    }

    fn header(&self) -> Header {
        Header {
            format: FORMAT,
            reader: FORMAT,
            revision: self.revision,
            floor: self.compact_revision,
            time: self.time,
            extra: self.unknown.header.clone(),
        }
    }

    fn version_line(&self, key: &Key, version: &Version) -> VersionLine {
        let unknown = self.unknown.versions.get(&(key.clone(), version.revision));
        VersionLine {
            key: key.clone(),
            revision: version.revision,
            schema: version.schema,
            request: version.request.text(),
            actor: version.actor.clone(),
            at: version.at,
            text: version.text.as_deref().map(str::to_owned),
            extra: unknown.cloned().unwrap_or_default(),
        }
    }

    /// Restores the state from a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if a line cannot be parsed or the snapshot requires a newer version.
    pub fn restore(snapshot: &[u8]) -> Result<Registry, SnapshotError> {
        let text = str::from_utf8(snapshot).map_err(|err| parse_error(1, err))?;
        let mut lines = text.lines().enumerate().map(|(at, line)| (at + 1, line));
        let (_, first) = lines.next().ok_or_else(|| parse_error(1, "it is empty"))?;
        let mut registry = restore_header(first)?;
        for (number, line) in lines {
            registry.restore_line(number, line)?;
        }
        registry.rebuild_routes();
        Ok(registry)
    }

    fn restore_line(&mut self, number: usize, text: &str) -> Result<(), SnapshotError> {
        let fields: collections::BTreeMap<&str, &serde_json::value::RawValue> =
            serde_json::from_str(text).map_err(|err| parse_error(number, err))?;
        if !fields.keys().any(|name| KNOWN_LINES.contains(name)) {
            self.unknown.lines.push(text.to_owned());
            return Ok(());
        }
        match serde_json::from_str(text).map_err(|err| parse_error(number, err))? {
            Line::Version(line) => self.restore_version(number, line),
            Line::Id(line) => self.restore_id(number, line),
            Line::Vm(line) => {
                insert_if_any(&mut self.unknown.vms, line.vm.id, line.extra);
                self.vms.insert(line.vm.id, line.vm);
                Ok(())
            }
        }
    }

    fn restore_version(&mut self, number: usize, line: VersionLine) -> Result<(), SnapshotError> {
        let request =
            ids::parse_request_id(&line.request).map_err(|err| parse_error(number, err))?;
        insert_if_any(
            &mut self.unknown.versions,
            (line.key.clone(), line.revision),
            line.extra,
        );
        let entry: &mut record::Entry = self.entries.entry(line.key).or_default();
        entry.versions.push_back(Version {
            revision: line.revision,
            schema: line.schema,
            request,
            actor: line.actor,
            at: line.at,
            text: line.text.map(sync::Arc::from),
        });
        Ok(())
    }

    fn restore_id(&mut self, number: usize, line: IdLine) -> Result<(), SnapshotError> {
        let id = ids::parse_request_id(&line.id).map_err(|err| parse_error(number, err))?;
        insert_if_any(&mut self.unknown.ids, id, line.extra);
        self.ids.insert(id, line.digest, &line.reply);
        Ok(())
    }
}

fn restore_header(line: &str) -> Result<Registry, SnapshotError> {
    let header: Header = serde_json::from_str(line).map_err(|err| parse_error(1, err))?;
    if header.reader > FORMAT {
        return Err(SnapshotError::TooNew {
            needed: header.reader,
        });
    }
    let unknown = UnknownData {
        header: header.extra,
        ..UnknownData::default()
    };
    Ok(Registry {
        revision: header.revision,
        compact_revision: header.floor,
        time: header.time,
        unknown,
        ..Registry::default()
    })
}

fn write_line(out: &mut Vec<u8>, line: &impl Serialize) {
    // Lines consist of strings and numbers with string keys, which can always be written as JSON.
    serde_json::to_writer(&mut *out, line).expect("snapshot line can be written as JSON");
    out.push(b'\n');
}

fn insert_if_any<K: Ord>(map: &mut collections::BTreeMap<K, Extra>, key: K, extra: Extra) {
    if !extra.is_empty() {
        map.insert(key, extra);
    }
}

fn parse_error(line: usize, cause: impl ToString) -> SnapshotError {
    SnapshotError::Damaged {
        line,
        cause: cause.to_string(),
    }
}
