//! Exit codes of the program, and the errors that lead to them.

use std::{io, path};

/// Exit code of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// The command succeeded.
    Ok = 0,
    /// The command was refused or failed.
    Failed = 1,
    /// Invalid options or arguments, or a file that cannot be read.
    Usage = 2,
    /// No control daemon could be reached, or none knows a leader.
    Unreachable = 3,
    /// The record is at another revision than expected.
    Conflict = 4,
}

/// Errors that end a command.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Invalid options or arguments.
    #[error("{0}")]
    Usage(String),
    /// A file could not be read.
    #[error("cannot read {}: {source}", path.display())]
    Read {
        /// Path of the file.
        path: path::PathBuf,
        /// Cause of the failure.
        source: io::Error,
    },
    /// The asynchronous runtime did not start.
    #[error("cannot start the asynchronous runtime: {0}")]
    Runtime(io::Error),
    /// The command failed or was refused.
    #[error("{0}")]
    Failed(String),
    /// No control daemon completed the request in time.
    #[error("no control daemon completed the request in time: {0}")]
    Unreachable(String),
    /// A VM gave no answer in time.
    #[error("no answer in time: {0}")]
    NoAnswer(String),
    /// The record is at another revision than expected.
    #[error("{0}")]
    Conflict(String),
}

impl Error {
    /// Returns the exit code of the error.
    pub fn code(&self) -> Code {
        match self {
            Error::Usage(_) | Error::Read { .. } => Code::Usage,
            Error::Runtime(_) | Error::Failed(_) => Code::Failed,
            Error::Unreachable(_) | Error::NoAnswer(_) => Code::Unreachable,
            Error::Conflict(_) => Code::Conflict,
        }
    }
}
