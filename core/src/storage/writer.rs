//! Turns batches of storage ops into file operations.

use std::mem;

use super::{HardState, Op, Snapshot, codec, frame, segment_name, snapshot_name};
use crate::types;

/// Size in bytes after which a segment is closed and the next one begun.
pub const DEFAULT_SEGMENT_BYTES: u64 = 4 * 1024 * 1024;

/// One file operation within the folder of a group. Steps are carried out in order.
///
/// Every step can be repeated after it failed, so a full disk can be retried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FileOp {
    /// Writes `data` at `offset`, creating the file when it is missing.
    Write {
        /// File name.
        file: String,
        /// Offset in bytes.
        offset: u64,
        /// Bytes to write.
        data: Vec<u8>,
    },
    /// Makes the content and length of a file durable.
    Sync {
        /// File name.
        file: String,
    },
    /// Cuts a file to `len` bytes.
    SetLen {
        /// File name.
        file: String,
        /// New length in bytes.
        len: u64,
    },
    /// Replaces `to` by `from` atomically.
    Rename {
        /// Old name.
        from: String,
        /// New name.
        to: String,
    },
    /// Deletes a file; a missing file is no error.
    Remove {
        /// File name.
        file: String,
    },
    /// Makes created, renamed and removed names durable.
    SyncFolder,
}

/// One segment of the log, as the writer knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Segment {
    /// Index in the name of the file.
    pub(super) first: types::LogIndex,
    /// Highest index ever written to it.
    pub(super) last: types::LogIndex,
    /// Length in bytes.
    pub(super) len: u64,
}

/// Plans the file operations of a group.
#[derive(Clone, Debug)]
pub struct Writer {
    pub(super) hard_state: HardState,
    pub(super) next: types::LogIndex,
    pub(super) segments: Vec<Segment>,
    pub(super) snapshots: Vec<types::LogIndex>,
    pub(super) segment_bytes: u64,
}

impl Writer {
    /// Sets the size in bytes after which a segment is closed.
    pub fn set_segment_bytes(&mut self, bytes: u64) {
        self.segment_bytes = bytes;
    }

    /// Returns the steps that make `ops` durable, in order.
    ///
    /// Each run of log records becomes one frame that is synced before anything else is written.
    pub fn plan(&mut self, ops: &[Op]) -> Vec<FileOp> {
        let mut steps = Vec::new();
        let mut records = Records::default();
        for op in ops {
            match op {
                Op::HardState(state) => {
                    self.hard_state = *state;
                    codec::put_hard_state(&mut records.buf, state);
                }
                Op::Append { entries } => {
                    for entry in entries {
                        records.start(entry.index);
                        records.last = records.last.max(entry.index);
                        codec::put_entry(&mut records.buf, entry);
                        self.next = types::LogIndex(entry.index.0 + 1);
                    }
                }
                Op::Truncate { from } => {
                    records.start(*from);
                    codec::put_truncate(&mut records.buf, *from);
                    self.next = self.next.min(*from);
                }
                Op::Snapshot(snapshot) => {
                    self.flush(&mut records, &mut steps);
                    self.store_snapshot(snapshot, &mut steps);
                }
                Op::Compact { through } => {
                    self.flush(&mut records, &mut steps);
                    self.compact(*through, &mut steps);
                }
            }
        }
        self.flush(&mut records, &mut steps);
        steps
    }

    fn flush(&mut self, records: &mut Records, steps: &mut Vec<FileOp>) {
        let records = mem::take(records);
        if records.buf.is_empty() {
            return;
        }
        let first = records.first.unwrap_or(self.next);
        let created = self.roll(first);
        let mut data = frame::begin(records.buf.len() + 64);
        if created {
            codec::put_segment(&mut data, first);
            codec::put_hard_state(&mut data, &self.hard_state);
        }
        data.extend_from_slice(&records.buf);
        let data = frame::finish(data);
        let Some(segment) = self.segments.last_mut() else {
            return;
        };
        let file = segment_name(segment.first);
        let offset = segment.len;
        segment.len += data.len() as u64;
        segment.last = segment.last.max(records.last);
        steps.push(FileOp::Write {
            file: file.clone(),
            offset,
            data,
        });
        steps.push(FileOp::Sync { file });
        if created {
            steps.push(FileOp::SyncFolder);
        }
    }

    /// Begins a new segment when there is none or the last one is full.
    ///
    /// A name must be higher than all earlier ones, since recovery reads segments in the order of
    /// their names; after a truncation the full segment is therefore used a little longer.
    fn roll(&mut self, first: types::LogIndex) -> bool {
        if let Some(active) = self.segments.last()
            && (active.len < self.segment_bytes || first <= active.first)
        {
            return false;
        }
        self.segments.push(Segment {
            first,
            last: types::LogIndex(first.0.saturating_sub(1)),
            len: 0,
        });
        true
    }

    fn store_snapshot(&mut self, snapshot: &Snapshot, steps: &mut Vec<FileOp>) {
        let file = snapshot_name(snapshot.index);
        let temporary = format!("{file}{}", super::TEMPORARY_SUFFIX);
        steps.push(FileOp::Remove {
            file: temporary.clone(),
        });
        steps.push(FileOp::Write {
            file: temporary.clone(),
            offset: 0,
            data: codec::snapshot_file(snapshot),
        });
        steps.push(FileOp::Sync {
            file: temporary.clone(),
        });
        steps.push(FileOp::Rename {
            from: temporary,
            to: file,
        });
        steps.push(FileOp::SyncFolder);
        self.snapshots.push(snapshot.index);
        let after = types::LogIndex(snapshot.index.0 + 1);
        self.next = self.next.max(after);
    }

    /// Removes superseded snapshots and the segments before the one that holds `through`.
    ///
    /// Removals need no sync: a file that comes back is covered by the newest snapshot.
    fn compact(&mut self, through: types::LogIndex, steps: &mut Vec<FileOp>) {
        let Some(newest) = self.snapshots.iter().copied().max() else {
            return;
        };
        let through = through.min(newest);
        for index in mem::take(&mut self.snapshots) {
            if index == newest {
                self.snapshots.push(index);
            } else {
                let file = snapshot_name(index);
                steps.push(FileOp::Remove { file });
            }
        }
        let closed = self.segments.len().saturating_sub(1);
        let unneeded = self.segments[..closed]
            .iter()
            .take_while(|segment| segment.last <= through)
            .count();
        for segment in self.segments.drain(..unneeded) {
            let file = segment_name(segment.first);
            steps.push(FileOp::Remove { file });
        }
    }
}

/// Log records that are not yet in a frame.
#[derive(Debug, Default)]
struct Records {
    buf: Vec<u8>,
    first: Option<types::LogIndex>,
    last: types::LogIndex,
}

impl Records {
    fn start(&mut self, index: types::LogIndex) {
        self.first.get_or_insert(index);
    }
}
