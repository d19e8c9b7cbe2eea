//! Settings files: JSON with comments, checked before anything starts.

mod control;
mod gateway;

pub use control::{Control, ControlPeer, Timing};
pub use gateway::Gateway;

use std::{fs, io, net, path};

use serde::{Deserialize, de};

use crate::http;

/// Errors of a settings file; nothing is started after one.
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
    /// The text is not valid, or a key or value is wrong.
    #[error("settings file {}: {message}", path.display())]
    Invalid {
        /// File named on the command line.
        path: path::PathBuf,
        /// Key, line and cause.
        message: String,
    },
}

/// Keys shared by the processes of a cluster.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Keys {
    /// Presented by the processes of the cluster to each other.
    pub cluster: http::Key,
    /// Presented by targets that announce themselves.
    pub target: http::Key,
    /// Presented by operators.
    pub operator: http::Key,
}

/// Reads a settings file.
pub fn load<T: de::DeserializeOwned>(path: &path::Path) -> Result<T, Error> {
    let text = fs::read_to_string(path).map_err(|source| Error::Read {
        path: path.to_owned(),
        source,
    })?;
    parse(&text).map_err(|message| Error::Invalid {
        path: path.to_owned(),
        message,
    })
}

/// Parses settings text; the error names the key or position.
pub fn parse<T: de::DeserializeOwned>(text: &str) -> Result<T, String> {
    jsonc_parser::parse_to_serde_value::<T>(text, &jsonc_parser::ParseOptions::default())
        .map_err(|err| err.to_string())
}

/// Address used before settings are read: an unset one.
pub(crate) fn unset_address() -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], 0))
}
