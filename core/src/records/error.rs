//! What validation reports.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// One fault of a record.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{path}: {message}")]
pub struct ValidationError {
    /// JSON path (RFC 9535) of the value at fault.
    pub path: String,
    /// What is wrong with it.
    pub message: String,
}

impl ValidationError {
    /// Returns a fault at `path`.
    pub fn new(path: impl Into<String>, message: impl Into<String>) -> ValidationError {
        ValidationError {
            path: path.into(),
            message: message.into(),
        }
    }
}

/// A field that this version does not know.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{path}")]
pub struct UnknownField {
    /// JSON path (RFC 9535) of the field.
    pub path: String,
    /// Its value, byte for byte.
    pub value: String,
}
