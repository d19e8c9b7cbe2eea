//! Recovery of a group's state from the contents of its folder, which the I/O layer reads at the
//! start.

use std::collections;

use super::codec::{MalformedRecord, Record};
use super::writer::Segment;
use super::{
    DEFAULT_SEGMENT_BYTES, Entry, Error, FileOp, HardState, Op, Recovered, Snapshot, Writer, codec,
    frame, parse_segment_name, parse_snapshot_name, segment_name,
};
use crate::types;

/// Result of [`recover`].
#[derive(Debug)]
pub struct Opened {
    /// State for [`crate::replication::Node::new`].
    pub recovered: Recovered,
    /// Writer for all later batches.
    pub writer: Writer,
    /// File operations that make durable what was recovered. They must succeed before any of it is
    /// acknowledged: a process that is killed between a write and its sync leaves bytes that a loss
    /// of power would still take away. Earlier segments were synced before the last one was begun.
    pub unsynced: Vec<FileOp>,
    /// File operations that must succeed before the first batch. They truncate a torn tail and
    /// remove unfinished files.
    pub repair: Vec<FileOp>,
    /// Number of bytes to truncate from the end of the last segment.
    pub torn_bytes: u64,
}

/// Reads the files of a group's folder, given by name and content in any order.
///
/// An invalid frame at the end of the last segment is a torn write. It was never reported as
/// synced, so it is truncated. Any other invalid frame is an error.
///
/// # Errors
///
/// Returns [`Error::Damaged`] for a file with invalid content, and [`Error::Missing`] when entries
/// are missing between the snapshot and the log or within the log.
pub fn recover(files: &[(String, &[u8])]) -> Result<Opened, Error> {
    let mut repair = Vec::new();
    let mut segments = collections::BTreeMap::new();
    let mut snapshots = collections::BTreeMap::new();
    for (name, content) in files {
        if let Some(first) = parse_segment_name(name) {
            segments.insert(first, *content);
        } else if let Some(index) = parse_snapshot_name(name) {
            snapshots.insert(index, (name, *content));
        } else if name.ends_with(super::TEMPORARY_SUFFIX) {
            let file = name.clone();
            repair.push(FileOp::Remove { file });
        }
    }
    let snapshot = match snapshots.last_key_value() {
        Some((index, (name, content))) => read_snapshot(name, *index, content)?,
        None => Snapshot::default(),
    };
    let mut replay = Replay::new(snapshot.index);
    let last = segments.last_key_value().map(|(first, _)| *first);
    let mut torn_bytes = 0;
    for (first, content) in &segments {
        let valid_len = replay.replay_segment(*first, content, last == Some(*first))?;
        torn_bytes += content.len() as u64 - valid_len;
        // A last segment without a complete frame is removed even if it is empty: once later
        // segments exist, an empty one would be an error.
        if valid_len == 0 || valid_len < content.len() as u64 {
            repair.extend(truncate_segment(*first, valid_len));
        }
    }
    let mut writer = Writer {
        hard_state: replay.hard_state,
        next: types::LogIndex(1),
        segments: replay.segments,
        snapshots: snapshots.into_keys().collect(),
        segment_bytes: DEFAULT_SEGMENT_BYTES,
    };
    let conflict = replay
        .entries
        .iter()
        .any(|entry| entry.index == snapshot.index && entry.term != snapshot.term);
    let mut entries = replay.entries;
    if conflict {
        // The process stopped after storing a snapshot of the leader and before truncating its own
        // log, so the whole log is discarded.
        let from = entries[0].index;
        repair.extend(writer.plan(&[Op::Truncate { from }]));
        entries.clear();
    }
    entries.retain(|entry| entry.index > snapshot.index);
    let end = entries.last().map_or(snapshot.index, |entry| entry.index);
    writer.next = types::LogIndex(end.0 + 1);
    let recovered = Recovered {
        hard_state: replay.hard_state,
        snapshot,
        entries,
    };
    let last = segments.last_key_value();
    let last = last.map(|(first, _)| FileOp::Sync {
        file: segment_name(*first),
    });
    let folder = (!files.is_empty()).then_some(FileOp::SyncFolder);
    Ok(Opened {
        recovered,
        writer,
        unsynced: last.into_iter().chain(folder).collect(),
        repair,
        torn_bytes,
    })
}

/// Returns the file operations that truncate a segment to its valid length, or remove it when that
/// is zero.
fn truncate_segment(first: types::LogIndex, valid_len: u64) -> Vec<FileOp> {
    let file = segment_name(first);
    if valid_len == 0 {
        return vec![FileOp::Remove { file }, FileOp::SyncFolder];
    }
    let len = valid_len;
    vec![
        FileOp::SetLen {
            file: file.clone(),
            len,
        },
        FileOp::Sync { file },
    ]
}

fn damaged(file: &str, offset: usize, reason: &str) -> Error {
    Error::Damaged {
        file: file.to_owned(),
        offset: offset as u64,
        reason: reason.to_owned(),
    }
}

/// Decodes a snapshot file. It gets its name only after a sync, so an invalid one is never a torn
/// write.
fn read_snapshot(name: &str, index: types::LogIndex, content: &[u8]) -> Result<Snapshot, Error> {
    let payload = frame::decode(content).map_err(|invalid| damaged(name, 0, invalid.reason()))?;
    let snapshot =
        codec::snapshot(payload).map_err(|malformed| damaged(name, 0, &malformed.to_string()))?;
    if snapshot.index != index {
        return Err(damaged(
            name,
            0,
            "snapshot index does not match the file name",
        ));
    }
    if content.len() != payload.len() + frame::FRAME_HEADER_BYTES {
        return Err(damaged(
            name,
            payload.len() + frame::FRAME_HEADER_BYTES,
            "unexpected bytes after the snapshot",
        ));
    }
    Ok(snapshot)
}

/// State of the replay of the segments, which are read in order.
struct Replay {
    /// Last index that the snapshot covers.
    snapshot_index: types::LogIndex,
    hard_state: HardState,
    entries: Vec<Entry>,
    segments: Vec<Segment>,
}

impl Replay {
    fn new(snapshot_index: types::LogIndex) -> Replay {
        Replay {
            snapshot_index,
            hard_state: HardState::default(),
            entries: Vec::new(),
            segments: Vec::new(),
        }
    }

    /// Replays one segment and returns the length in bytes of its valid part.
    fn replay_segment(
        &mut self,
        first: types::LogIndex,
        content: &[u8],
        last: bool,
    ) -> Result<u64, Error> {
        let name = segment_name(first);
        let mut segment = Segment {
            first,
            last: types::LogIndex(first.0.saturating_sub(1)),
            len: 0,
        };
        let mut offset = 0;
        while offset < content.len() {
            let payload = match frame::decode(&content[offset..]) {
                Ok(payload) => payload,
                Err(_) if last && frame::find(content, offset + 1).is_none() => break,
                Err(invalid) => return Err(damaged(&name, offset, invalid.reason())),
            };
            let records = codec::records(payload)
                .map_err(|err: MalformedRecord| damaged(&name, offset, &err.to_string()))?;
            let has_header =
                matches!(records.first(), Some(Record::Segment { first: f }) if *f == first);
            if offset == 0 && !has_header {
                return Err(damaged(&name, 0, "segment does not begin with its header"));
            }
            for record in records {
                self.replay_record(record, &name, offset, &mut segment)?;
            }
            offset += frame::FRAME_HEADER_BYTES + payload.len();
        }
        segment.len = offset as u64;
        if offset > 0 {
            self.segments.push(segment);
        } else if !last {
            return Err(damaged(&name, 0, "segment is empty"));
        }
        Ok(offset as u64)
    }

    fn replay_record(
        &mut self,
        record: Record,
        name: &str,
        offset: usize,
        segment: &mut Segment,
    ) -> Result<(), Error> {
        match record {
            Record::Segment { .. } => {}
            Record::HardState(state) => self.hard_state = state,
            Record::Truncate { from } => {
                let kept = self.entries.partition_point(|entry| entry.index < from);
                self.entries.truncate(kept);
            }
            Record::Entry(entry) => {
                segment.last = segment.last.max(entry.index);
                self.replay_entry(entry, name, offset)?;
            }
        }
        Ok(())
    }

    /// Appends an entry. A gap before it is allowed only when the snapshot covers the missing
    /// entries.
    fn replay_entry(&mut self, entry: Entry, name: &str, offset: usize) -> Result<(), Error> {
        let previous = types::LogIndex(entry.index.0.saturating_sub(1));
        let end = self
            .entries
            .last()
            .map_or(self.snapshot_index, |last| last.index);
        if self
            .entries
            .last()
            .is_some_and(|last| last.index > previous)
        {
            return Err(damaged(name, offset, "entry index does not increase"));
        }
        let contiguous = self
            .entries
            .last()
            .is_some_and(|last| last.index == previous);
        if !contiguous && previous > self.snapshot_index {
            return Err(Error::Missing {
                file: name.to_owned(),
                offset: offset as u64,
                from: types::LogIndex(end.0.max(self.snapshot_index.0) + 1),
                to: previous,
            });
        }
        if !contiguous {
            self.entries.clear();
        }
        self.entries.push(entry);
        Ok(())
    }
}
