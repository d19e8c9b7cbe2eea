//! Errors of the disk layer.

use std::{io, path};

use wagtailshunt_core::storage;

/// Errors of the disk layer. All except [`Error::Full`] must stop the process.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Another process uses the data folder.
    #[error("{}: in use by another process", path.display())]
    Locked {
        /// The data folder.
        path: path::PathBuf,
    },
    /// The disk is full. The batch stays pending and can be repeated.
    #[error("{}: disk is full", path.display())]
    Full {
        /// The file or folder that could not be written.
        path: path::PathBuf,
    },
    /// A sync failed. What was written since the last sync may be lost even if a later sync
    /// succeeds, so it is not repeated.
    #[error("{}: sync failed: {source}", path.display())]
    Sync {
        /// The file or folder that could not be synced.
        path: path::PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// Any other failed file operation.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file or folder concerned.
        path: path::PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The stored state cannot be used.
    #[error("{}: {source}", folder.display())]
    Storage {
        /// Folder of the group.
        folder: path::PathBuf,
        /// File, offset and reason.
        source: storage::Error,
    },
    /// An operation failed earlier, so the state of the files is not known.
    #[error("{}: an earlier file operation failed", path.display())]
    Stopped {
        /// Folder of the group.
        path: path::PathBuf,
    },
    /// The thread that carried out a batch panicked.
    #[error("the disk thread panicked")]
    Thread,
}

impl Error {
    /// Returns whether the disk is full; any other error must stop the process.
    pub fn is_full(&self) -> bool {
        matches!(self, Error::Full { .. })
    }

    /// Converts the error of an operation other than a sync.
    pub(super) fn io(path: path::PathBuf, source: io::Error) -> Error {
        match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Error::Full { path },
            _ => Error::Io { path, source },
        }
    }
}
