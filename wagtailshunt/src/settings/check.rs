//! Settings trait, validation errors, and checks that the settings of both daemons use.

use std::{fmt, net, path};

use serde::de;

/// An error in a settings text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ValidationError {
    /// Key as a path such as `peers.3.admin`; empty if the error concerns the whole text.
    pub key: String,
    /// Line number, from 1; 0 if it is not determined yet.
    pub line: usize,
    /// Description of the error.
    pub message: String,
}

impl ValidationError {
    /// Creates an error of `key` without a line number.
    pub fn new(key: impl Into<String>, message: impl Into<String>) -> ValidationError {
        ValidationError {
            key: key.into(),
            line: 0,
            message: message.into(),
        }
    }
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: ", self.line)?;
        if !self.key.is_empty() {
            write!(f, "key `{}`: ", self.key)?;
        }
        f.write_str(&self.message)
    }
}

impl std::error::Error for ValidationError {}

/// Settings of one daemon.
pub trait Settings: de::DeserializeOwned {
    /// Paths of the keys that must be present.
    const REQUIRED: &'static [&'static str];

    /// Reads the files that the settings refer to. Relative paths start at `folder`.
    ///
    /// # Errors
    ///
    /// The first file that cannot be used.
    fn resolve(&mut self, folder: &path::Path) -> Result<(), ValidationError>;

    /// Checks the ranges and the consistency of the values.
    ///
    /// # Errors
    ///
    /// The first value that is not accepted.
    fn check(&self) -> Result<(), ValidationError>;
}

/// Returns an error for an empty text.
pub(super) fn not_empty(key: &str, value: &str) -> Result<(), ValidationError> {
    if value.is_empty() {
        return Err(ValidationError::new(key, "must not be empty"));
    }
    Ok(())
}

/// Returns an error for a number outside `min..=max`.
pub(super) fn in_range(key: &str, value: u64, min: u64, max: u64) -> Result<(), ValidationError> {
    if !(min..=max).contains(&value) {
        let message = format!("{value} is not between {min} and {max}");
        return Err(ValidationError::new(key, message));
    }
    Ok(())
}

/// Returns an error for an address that other processes cannot connect to.
pub(super) fn reachable(key: &str, address: net::SocketAddr) -> Result<(), ValidationError> {
    if address.port() == 0 || address.ip().is_unspecified() {
        let message = format!("{address} is not an address that others can connect to");
        return Err(ValidationError::new(key, message));
    }
    Ok(())
}

/// Returns an error if two listeners have the same address. Port 0 stands for any free port.
pub(super) fn distinct(addresses: &[(String, net::SocketAddr)]) -> Result<(), ValidationError> {
    for (i, (key, address)) in addresses.iter().enumerate() {
        let clash = addresses[..i]
            .iter()
            .find(|(_, other)| clashes(*address, *other));
        if let Some((other, _)) = clash {
            let message = format!("address {address} clashes with key `{other}`");
            return Err(ValidationError::new(key, message));
        }
    }
    Ok(())
}

fn clashes(a: net::SocketAddr, b: net::SocketAddr) -> bool {
    let same_ip = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() != 0 && a.port() == b.port() && same_ip
}
