//! Exit codes and errors.

use std::{io, path};

/// Exit code of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// Done.
    Ok = 0,
    /// Refused or failed.
    Failed = 1,
    /// Wrong usage, or a file that cannot be read.
    Usage = 2,
    /// No control daemon could be reached, or none knows a leader.
    Unreachable = 3,
    /// Another amendment won.
    Conflict = 4,
}

/// Errors that end a command.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Wrong options or arguments.
    #[error("{0}")]
    Usage(String),
    /// A file could not be read.
    #[error("cannot read {}: {source}", path.display())]
    Read {
        /// The file.
        path: path::PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The runtime did not start.
    #[error("the runtime did not start: {0}")]
    Runtime(io::Error),
    /// The command failed or was refused.
    #[error("{0}")]
    Failed(String),
    /// No control daemon gave an answer in time.
    #[error("no control daemon could be reached: {0}")]
    Unreachable(String),
    /// Another amendment won.
    #[error("{0}")]
    Conflict(String),
}

impl Error {
    /// Returns the exit code of the error.
    pub fn code(&self) -> Code {
        match self {
            Error::Usage(_) | Error::Read { .. } => Code::Usage,
            Error::Runtime(_) | Error::Failed(_) => Code::Failed,
            Error::Unreachable(_) => Code::Unreachable,
            Error::Conflict(_) => Code::Conflict,
        }
    }
}
