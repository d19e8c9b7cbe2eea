//! On-disk format of a replicated group: frames, log segments, snapshots and recovery.
//!
//! This module works on byte slices and performs no I/O. [`Writer`] turns a batch of [`Op`]s, which
//! [`crate::replication::Node`] returns, into file operations ([`FileOp`]). [`recover`] rebuilds
//! the state of a group from the contents of its folder. The I/O layer, or a fake disk in tests,
//! carries out the file operations.

mod codec;
mod entry;
mod frame;
mod recovery;
mod space;
mod writer;

pub use entry::{Entry, HardState, Membership, Op, Payload, Recovered, Snapshot};
pub use frame::{FRAME_HEADER_BYTES, MAX_FRAME_BYTES};
pub use recovery::{Opened, recover};
pub use space::{SpaceWarning, SpaceWatch};
pub use writer::{DEFAULT_SEGMENT_BYTES, FileOp, Writer};

use crate::types;

/// Suffix of the name of a snapshot that is still being written.
const TEMPORARY_SUFFIX: &str = ".tmp";

/// Errors of recovery.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A file contains bytes that are invalid although they were written and synced.
    #[error("{file}: damaged at offset {offset}: {reason}")]
    Damaged {
        /// Name of the file within the folder of the group.
        file: String,
        /// Offset in bytes of the first frame that cannot be used.
        offset: u64,
        /// Reason why the frame cannot be used.
        reason: String,
    },
    /// Entries between the snapshot and the log, or within the log, are missing.
    #[error("{file}: entries {from} to {to} are missing before offset {offset}")]
    Missing {
        /// Name of the file that contains the frame after the gap.
        file: String,
        /// Offset in bytes of the frame after the gap.
        offset: u64,
        /// First missing index.
        from: types::LogIndex,
        /// Last missing index.
        to: types::LogIndex,
    },
}

/// Returns the name of the segment whose first entry has index `first`.
fn segment_name(first: types::LogIndex) -> String {
    format!("log-{:020}.wal", first.0)
}

/// Returns the name of the snapshot up to `index`.
fn snapshot_name(index: types::LogIndex) -> String {
    format!("snapshot-{:020}.snap", index.0)
}

/// Returns the first index of the segment named `name`, or `None` for any other file.
fn parse_segment_name(name: &str) -> Option<types::LogIndex> {
    let digits = name.strip_prefix("log-")?.strip_suffix(".wal")?;
    digits.parse().ok().map(types::LogIndex)
}

/// Returns the index of the snapshot named `name`, or `None` for any other file.
fn parse_snapshot_name(name: &str) -> Option<types::LogIndex> {
    let digits = name.strip_prefix("snapshot-")?.strip_suffix(".snap")?;
    digits.parse().ok().map(types::LogIndex)
}
