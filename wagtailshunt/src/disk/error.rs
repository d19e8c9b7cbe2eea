//! Errors of the disk layer.

use std::{io, path};

use wagtailshunt_core::storage;

/// Errors of file operations. All except [`Error::Full`] must stop the process.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Another process holds the lock of the data folder.
    #[error("{}: in use by another process", path.display())]
    Locked {
        /// The data folder.
        path: path::PathBuf,
    },
    /// The disk is full. The batch stays pending and can be retried.
    #[error("{}: disk is full", path.display())]
    Full {
        /// The file or folder that could not be written.
        path: path::PathBuf,
    },
    /// A sync failed. Data written since the last sync may be lost even if a later sync succeeds,
    /// so the sync is not retried.
    #[error("{}: sync failed: {source}", path.display())]
    Sync {
        /// The file or folder that could not be synced.
        path: path::PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// Any other file operation failed.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file or folder of the operation.
        path: path::PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The stored state is damaged.
    #[error("{}: {source}", folder.display())]
    Storage {
        /// Folder of the group.
        folder: path::PathBuf,
        /// File, offset and reason.
        source: storage::Error,
    },
    /// An earlier operation failed, so the state of the files is unknown and writes are refused.
    #[error("{}: not written, because an earlier file operation failed", path.display())]
    Stopped {
        /// Folder of the group.
        path: path::PathBuf,
    },
    /// The thread that executed a batch panicked.
    #[error("the disk thread panicked")]
    Thread,
}

impl Error {
    /// Returns whether the disk is full; any other error must stop the process.
    pub fn is_full(&self) -> bool {
        matches!(self, Error::Full { .. })
    }

    /// Converts an I/O error of any operation other than a sync.
    pub(super) fn io(path: path::PathBuf, source: io::Error) -> Error {
        match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Error::Full { path },
            _ => Error::Io { path, source },
        }
    }
}
