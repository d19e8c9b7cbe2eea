//! Shared keys that authenticate operators, targets and processes.

use std::{fmt, hint};

use hyper::header;
use serde::Deserialize;

/// A shared key. Its value never appears in logs or errors.
#[derive(Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct Key(String);

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

impl From<&str> for Key {
    fn from(text: &str) -> Self {
        Key(text.to_owned())
    }
}

impl Key {
    /// Returns whether `presented` equals the key. The time depends only on the lengths, and an
    /// empty key matches nothing.
    pub fn matches(&self, presented: &[u8]) -> bool {
        let expected = self.0.as_bytes();
        let mut difference = u8::from(expected.len() != presented.len());
        for (i, byte) in presented.iter().enumerate() {
            let expected_byte = expected.get(i).copied().unwrap_or(!*byte);
            difference |= hint::black_box(byte ^ expected_byte);
        }
        !expected.is_empty() && hint::black_box(difference) == 0
    }

    /// Returns the value of the key, for the handshake with another process.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

/// Returns whether the `Authorization: Bearer` header of a request holds `key`.
pub fn bearer_matches(headers: &hyper::HeaderMap, key: &Key) -> bool {
    let Some(value) = headers.get(header::AUTHORIZATION) else {
        return false;
    };
    match value.as_bytes().strip_prefix(b"Bearer ") {
        Some(presented) => key.matches(presented),
        None => false,
    }
}
