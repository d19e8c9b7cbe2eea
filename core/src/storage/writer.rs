//! Turns batches of storage operations into file operations.

use std::mem;

use super::{HardState, Op, Snapshot, codec, frame, segment_name, snapshot_name};
use crate::types;

/// Size in bytes from which on a segment is closed and the next one started.
pub const DEFAULT_SEGMENT_BYTES: u64 = 4 * 1024 * 1024;

/// File operation within the folder of a group. File operations are carried out in order.
///
/// Each one can be repeated after a failure, for example when the disk was full.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FileOp {
    /// Writes `data` at `offset` and creates the file when it does not exist.
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
    /// Truncates a file to `len` bytes.
    SetLen {
        /// File name.
        file: String,
        /// New length in bytes.
        len: u64,
    },
    /// Renames `from` to `to`, replacing `to` atomically.
    Rename {
        /// Old name.
        from: String,
        /// New name.
        to: String,
    },
    /// Removes a file. It is no error when the file does not exist.
    Remove {
        /// File name.
        file: String,
    },
    /// Makes the creation, renaming and removal of files durable.
    SyncFolder,
}

/// Segment of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Segment {
    /// First index, which is part of the file name.
    pub(super) first: types::LogIndex,
    /// Highest index ever written to the segment.
    pub(super) last: types::LogIndex,
    /// Length in bytes.
    pub(super) len: u64,
}

/// Plans the file operations of a group, whose files it tracks.
#[derive(Clone, Debug)]
pub struct Writer {
    /// Latest term and vote, which are repeated in each new segment.
    pub(super) hard_state: HardState,
    /// Index of the next entry.
    pub(super) next: types::LogIndex,
    /// Segments on disk, oldest first.
    pub(super) segments: Vec<Segment>,
    /// Indices of the snapshots on disk.
    pub(super) snapshots: Vec<types::LogIndex>,
    /// Size in bytes from which on a segment is closed.
    pub(super) segment_bytes: u64,
}

impl Writer {
    /// Sets the size in bytes from which on a segment is closed.
    pub fn set_segment_bytes(&mut self, bytes: u64) {
        self.segment_bytes = bytes;
    }

    /// Returns the file operations that make `ops` durable, in order.
    ///
    /// Each uninterrupted sequence of log records becomes one frame, which is synced before
    /// anything else is written.
    pub fn plan(&mut self, ops: &[Op]) -> Vec<FileOp> {
        let mut file_ops = Vec::new();
        let mut records = PendingRecords::default();
        for op in ops {
            match op {
                Op::HardState(state) => {
                    self.hard_state = *state;
                    codec::put_hard_state(&mut records.buf, state);
                }
                Op::Append { entries } => {
                    for entry in entries {
                        records.set_first_index(entry.index);
                        records.last = records.last.max(entry.index);
                        codec::put_entry(&mut records.buf, entry);
                        self.next = types::LogIndex(entry.index.0 + 1);
                    }
                }
                Op::Truncate { from } => {
                    records.set_first_index(*from);
                    codec::put_truncate(&mut records.buf, *from);
                    self.next = self.next.min(*from);
                }
                Op::Snapshot(snapshot) => {
                    self.flush(&mut records, &mut file_ops);
                    self.store_snapshot(snapshot, &mut file_ops);
                }
                Op::Compact { through } => {
                    self.flush(&mut records, &mut file_ops);
                    self.compact(*through, &mut file_ops);
                }
            }
        }
        self.flush(&mut records, &mut file_ops);
        file_ops
    }

    /// Writes the pending records as one frame to the current or a new segment.
    fn flush(&mut self, records: &mut PendingRecords, file_ops: &mut Vec<FileOp>) {
        let records = mem::take(records);
        if records.buf.is_empty() {
            return;
        }
        let first = records.first.unwrap_or(self.next);
        let created = self.roll_segment(first);
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
        file_ops.push(FileOp::Write {
            file: file.clone(),
            offset,
            data,
        });
        file_ops.push(FileOp::Sync { file });
        if created {
            file_ops.push(FileOp::SyncFolder);
        }
    }

    /// Starts a new segment when there is none or the last one is full. Returns whether it did.
    ///
    /// The index in a new name must be higher than in all earlier ones, because recovery reads the
    /// segments in the order of their names. After a truncation the full segment therefore stays in
    /// use until the index exceeds that of its name.
    fn roll_segment(&mut self, first: types::LogIndex) -> bool {
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

    fn store_snapshot(&mut self, snapshot: &Snapshot, file_ops: &mut Vec<FileOp>) {
        let file = snapshot_name(snapshot.index);
        let temporary = format!("{file}{}", super::TEMPORARY_SUFFIX);
        file_ops.push(FileOp::Remove {
            file: temporary.clone(),
        });
        file_ops.push(FileOp::Write {
            file: temporary.clone(),
            offset: 0,
            data: codec::snapshot_file(snapshot),
        });
        file_ops.push(FileOp::Sync {
            file: temporary.clone(),
        });
        file_ops.push(FileOp::Rename {
            from: temporary,
            to: file,
        });
        file_ops.push(FileOp::SyncFolder);
        self.snapshots.push(snapshot.index);
        let after = types::LogIndex(snapshot.index.0 + 1);
        self.next = self.next.max(after);
    }

    /// Removes the snapshots before the newest one and the segments with no entry after `through`.
    ///
    /// Removals need no sync: the newest snapshot covers a file that reappears after a crash.
    fn compact(&mut self, through: types::LogIndex, file_ops: &mut Vec<FileOp>) {
        let Some(newest) = self.snapshots.iter().copied().max() else {
            return;
        };
        let through = through.min(newest);
        for index in mem::take(&mut self.snapshots) {
            if index == newest {
                self.snapshots.push(index);
            } else {
                let file = snapshot_name(index);
                file_ops.push(FileOp::Remove { file });
            }
        }
        let closed = self.segments.len().saturating_sub(1);
        let obsolete = self.segments[..closed]
            .iter()
            .take_while(|segment| segment.last <= through)
            .count();
        for segment in self.segments.drain(..obsolete) {
            let file = segment_name(segment.first);
            file_ops.push(FileOp::Remove { file });
        }
    }
}

/// Log records that are not yet part of a frame.
#[derive(Debug, Default)]
struct PendingRecords {
    /// Encoded records.
    buf: Vec<u8>,
    /// Index of the first entry or truncation among them.
    first: Option<types::LogIndex>,
    /// Highest index among their entries.
    last: types::LogIndex,
}

impl PendingRecords {
    fn set_first_index(&mut self, index: types::LogIndex) {
        self.first.get_or_insert(index);
    }
}
