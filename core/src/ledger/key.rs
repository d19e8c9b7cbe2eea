//! Idempotency keys: parsing, creation time and assignment to ledger shards.

use std::fmt;

use derive_more::{Display, Error};

use crate::time;

/// An idempotency key: a UUIDv7 (RFC 9562, section 5.7). Keys are ordered by their timestamp.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(u128);

/// Reason why a header value is not a valid key.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum KeyError {
    /// The value is not a UUID in the usual text form.
    #[display("not a UUID")]
    Format,
    /// The UUID has another version or variant, so it contains no creation time.
    #[display("not a UUID of version 7")]
    Version,
}

const TEXT_LEN: usize = 36;
const HYPHENS: [usize; 4] = [8, 13, 18, 23];

impl Key {
    /// Parses the value of the header `Idempotency-Key`, with or without the quotes of a structured
    /// field string.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a UUID of version 7.
    pub fn parse(value: &str) -> Result<Key, KeyError> {
        let value = value.trim();
        let unquoted = value.strip_prefix('"').and_then(|v| v.strip_suffix('"'));
        let text = unquoted.unwrap_or(value).as_bytes();
        if text.len() != TEXT_LEN {
            return Err(KeyError::Format);
        }
        let mut bits = 0_u128;
        for (index, byte) in text.iter().enumerate() {
            if HYPHENS.contains(&index) {
                if *byte != b'-' {
                    return Err(KeyError::Format);
                }
                continue;
            }
            let digit = char::from(*byte).to_digit(16).ok_or(KeyError::Format)?;
            bits = bits << 4 | u128::from(digit);
        }
        Key::from_bits(bits)
    }

    /// Converts a number to a key.
    ///
    /// # Errors
    ///
    /// Returns an error if the UUID has another version or variant.
    pub fn from_bits(bits: u128) -> Result<Key, KeyError> {
        let version = (bits >> 76) & 0xf;
        let variant = (bits >> 62) & 0x3;
        match (version, variant) {
            (7, 2) => Ok(Key(bits)),
            _ => Err(KeyError::Version),
        }
    }

    /// Creates a key from its timestamp and 74 random bits.
    pub fn new(created: time::UnixMillis, random: u128) -> Key {
        let time_bits = u128::from(created.0 & 0xffff_ffff_ffff) << 80;
        let rand_a = (random >> 62) & 0xfff;
        let rand_b = random & 0x3fff_ffff_ffff_ffff;
        Key(time_bits | 7 << 76 | rand_a << 64 | 2 << 62 | rand_b)
    }

    /// Returns the UUID as a number.
    pub fn bits(self) -> u128 {
        self.0
    }

    /// Returns the time at which the caller created the key.
    pub fn created(self) -> time::UnixMillis {
        time::UnixMillis((self.0 >> 80) as u64)
    }

    /// Returns the lowest value of a key created at `time`.
    pub(super) fn lowest(time: time::UnixMillis) -> Key {
        Key(u128::from(time.0 & 0xffff_ffff_ffff) << 80)
    }

    /// Returns the ledger shard of the key, from 0 to `shards - 1`.
    pub fn shard(self, shards: u32) -> u32 {
        // The low 62 bits are random.
        let random = (self.0 & 0x3fff_ffff_ffff_ffff) as u64;
        (random % u64::from(shards.max(1))) as u32
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let bits = self.0;
        write!(
            f,
            "{:08x}-{:04x}-{:04x}-{:04x}-{:012x}",
            bits >> 96,
            (bits >> 80) & 0xffff,
            (bits >> 64) & 0xffff,
            (bits >> 48) & 0xffff,
            bits & 0xffff_ffff_ffff
        )
    }
}
