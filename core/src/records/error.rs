//! Validation errors and unknown fields of a record.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// One error in a record.
///
/// Replicas store errors in replies, so the messages must be the same in all versions.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{path}: {message}")]
pub struct ValidationError {
    /// JSON path (RFC 9535) of the invalid value.
    pub path: String,
    /// Requirement that the value does not meet.
    pub message: String,
}

impl ValidationError {
    /// Creates an error for the value at `path`.
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
    /// Value of the field, byte for byte.
    pub value: String,
}
