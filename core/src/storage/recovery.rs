//! Rebuilds the state of a group from the contents of its folder.

use std::collections;

use super::codec::{Malformed, Record};
use super::writer::Segment;
use super::{
    DEFAULT_SEGMENT_BYTES, Entry, Error, FileOp, HardState, Op, Recovered, Snapshot, Writer, codec,
    frame, parse_segment_name, parse_snapshot_name, segment_name,
};
use crate::types;

/// Result of opening the folder of a group.
#[derive(Debug)]
pub struct Opened {
    /// State for [`crate::replication::Node::new`].
    pub recovered: Recovered,
    /// Planner for all later batches.
    pub writer: Writer,
    /// Steps that must succeed before the first batch: cuts a torn tail, removes leftovers.
    pub repair: Vec<FileOp>,
    /// Bytes cut from the end of the last segment.
    pub torn_bytes: u64,
}

/// Reads the files of a group's folder, given by name and content in any order.
///
/// An unreadable frame at the end of the last segment is a torn write and is cut, as it was never
/// reported as synced. Any other unreadable frame is an error.
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
        let valid = replay.segment(*first, content, last == Some(*first))?;
        torn_bytes += content.len() as u64 - valid;
        // A segment without any frame must go even if it has no bytes, lest it end up in the middle.
        if valid == 0 || valid < content.len() as u64 {
            repair.extend(cut(*first, valid));
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
        // The process ended between storing a leader's snapshot and truncating its own log.
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
    Ok(Opened {
        recovered,
        writer,
        repair,
        torn_bytes,
    })
}

/// Returns the steps that cut a segment to its valid length, or remove it when nothing is left.
fn cut(first: types::LogIndex, valid: u64) -> Vec<FileOp> {
    let file = segment_name(first);
    if valid == 0 {
        return vec![FileOp::Remove { file }, FileOp::SyncFolder];
    }
    let len = valid;
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

/// Reads a snapshot file. It was renamed only after a sync, so it is never torn.
fn read_snapshot(name: &str, index: types::LogIndex, content: &[u8]) -> Result<Snapshot, Error> {
    let payload = frame::decode(content).map_err(|invalid| damaged(name, 0, invalid.reason()))?;
    let snapshot =
        codec::snapshot(payload).map_err(|malformed| damaged(name, 0, &malformed.to_string()))?;
    if snapshot.index != index {
        return Err(damaged(name, 0, "index differs from the file name"));
    }
    if content.len() != payload.len() + frame::FRAME_HEADER_BYTES {
        return Err(damaged(
            name,
            payload.len() + frame::FRAME_HEADER_BYTES,
            "surplus bytes after the snapshot",
        ));
    }
    Ok(snapshot)
}

/// State while the segments are read in order.
struct Replay {
    covered: types::LogIndex,
    hard_state: HardState,
    entries: Vec<Entry>,
    segments: Vec<Segment>,
}

impl Replay {
    fn new(covered: types::LogIndex) -> Replay {
        Replay {
            covered,
            hard_state: HardState::default(),
            entries: Vec::new(),
            segments: Vec::new(),
        }
    }

    /// Replays one segment and returns the length of its valid part.
    fn segment(
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
                .map_err(|malformed: Malformed| damaged(&name, offset, &malformed.to_string()))?;
            let begins =
                matches!(records.first(), Some(Record::Segment { first: f }) if *f == first);
            if offset == 0 && !begins {
                return Err(damaged(&name, 0, "segment does not begin with its header"));
            }
            for record in records {
                self.record(record, &name, offset, &mut segment)?;
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

    fn record(
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
                self.entry(entry, name, offset)?;
            }
        }
        Ok(())
    }

    /// Appends an entry. A gap is allowed only where the snapshot covers it.
    fn entry(&mut self, entry: Entry, name: &str, offset: usize) -> Result<(), Error> {
        let before = types::LogIndex(entry.index.0.saturating_sub(1));
        let end = self.entries.last().map_or(self.covered, |last| last.index);
        if self.entries.last().is_some_and(|last| last.index > before) {
            return Err(damaged(name, offset, "entry index does not increase"));
        }
        let contiguous = self.entries.last().is_some_and(|last| last.index == before);
        if !contiguous && before > self.covered {
            return Err(Error::Missing {
                file: name.to_owned(),
                offset: offset as u64,
                from: types::LogIndex(end.0.max(self.covered.0) + 1),
                to: before,
            });
        }
        if !contiguous {
            self.entries.clear();
        }
        self.entries.push(entry);
        Ok(())
    }
}
