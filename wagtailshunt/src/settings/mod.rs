//! Settings files of the daemons: JSON with comments, validated before a daemon starts.
//!
//! Errors name the key and the line of the file.

mod check;
mod control;
mod gateway;
mod keys;
mod source;

pub use check::{Settings, ValidationError};
pub use control::{Control, ControlPeer, Timing};
pub use gateway::Gateway;
pub use keys::Keys;

use std::{fs, io, net, path};

/// Errors of a settings file. A daemon does not start after one.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file could not be read.
    #[error("cannot read settings file {}: {source}", path.display())]
    Read {
        /// File named on the command line.
        path: path::PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The text is not valid JSON, or a key or value is not accepted.
    #[error("settings file {}, {error}", path.display())]
    Invalid {
        /// File named on the command line.
        path: path::PathBuf,
        /// Key, line and cause.
        error: ValidationError,
    },
}

/// Reads and validates a settings file and the key files that it refers to.
///
/// Paths in the file are relative to its folder.
///
/// # Errors
///
/// [`Error`] if the file cannot be read or is not valid.
pub fn load<T: Settings>(path: &path::Path) -> Result<T, Error> {
    let text = fs::read_to_string(path).map_err(|source| Error::Read {
        path: path.to_owned(),
        source,
    })?;
    let folder = path.parent().unwrap_or(path::Path::new("."));
    parse(&text, folder).map_err(|error| Error::Invalid {
        path: path.to_owned(),
        error,
    })
}

/// Parses and validates settings text. Paths in it are relative to `folder`.
///
/// # Errors
///
/// The first error found, with its key and line.
pub fn parse<T: Settings>(text: &str, folder: &path::Path) -> Result<T, ValidationError> {
    let source = source::Source::new(text)?;
    let mut settings: T = source.deserialize()?;
    source.require(T::REQUIRED)?;
    settings
        .resolve(folder)
        .and_then(|()| settings.check())
        .map_err(|error| source.locate(error))?;
    Ok(settings)
}

/// Returns the default of an address setting, which stands for an address that is not set.
pub(crate) fn unset_address() -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], 0))
}
