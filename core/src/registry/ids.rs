//! Request ids with the replies to them, by which resent requests are recognised.

use std::collections;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::registry::command::{Reason, Reply};
use crate::{time, types};

/// Time for which a request id is stored, in milliseconds.
pub(crate) const RETENTION_MS: u64 = 24 * 60 * 60 * 1000;

/// Maximum time by which an operator's clock may be ahead of the leader's, in milliseconds.
const MAX_CLOCK_AHEAD_MS: u64 = 5 * 60 * 1000;

/// Maximum number of stored request ids.
pub(crate) const MAX_IDS: usize = 65_536;

/// Maximum size of all stored lists of validation errors, in bytes. Other replies have a fixed
/// size.
const MAX_ERROR_BYTES: usize = 4 * 1024 * 1024;

/// Request id as a number. UUIDv7 numbers are ordered by creation time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestUuid(pub u128);

impl RequestUuid {
    /// Returns the creation time that the id contains.
    pub fn created(self) -> time::UnixMillis {
        time::UnixMillis((self.0 >> 80) as u64)
    }

    /// Returns the canonical text form.
    pub fn text(self) -> types::RequestId {
        let hex = format!("{:032x}", self.0);
        let parts = [
            &hex[..8],
            &hex[8..12],
            &hex[12..16],
            &hex[16..20],
            &hex[20..],
        ];
        types::RequestId(parts.join("-"))
    }
}

/// Reason why a text is not a request id.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum RequestIdError {
    /// The text is not a UUID in the format of RFC 9562.
    #[display("request id is not a UUID")]
    Malformed,
    /// The text is a UUID of another version, which may contain no creation time.
    #[display("request id is not a UUIDv7")]
    WrongVersion,
}

/// Parses a UUIDv7 (RFC 9562, section 5.7).
///
/// # Errors
///
/// Returns the reason if the text is not a request id.
pub fn parse_request_id(id: &types::RequestId) -> Result<RequestUuid, RequestIdError> {
    let text = id.as_str().as_bytes();
    let dashes = [8, 13, 18, 23];
    let well_formed = text.len() == 36
        && text
            .iter()
            .enumerate()
            .all(|(at, b)| match dashes.contains(&at) {
                true => *b == b'-',
                false => b.is_ascii_hexdigit(),
            });
    if !well_formed {
        return Err(RequestIdError::Malformed);
    }
    let hex = id.as_str().replace('-', "");
    let number = u128::from_str_radix(&hex, 16).map_err(|_| RequestIdError::Malformed)?;
    let version = (number >> 76) & 0xf;
    let variant = (number >> 62) & 0x3;
    if version != 7 || variant != 2 {
        return Err(RequestIdError::WrongVersion);
    }
    Ok(RequestUuid(number))
}

/// Reply to a request from when it was first applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StoredReply {
    /// CRC-32 of the command, by which the reuse of an id for another command is recognised.
    pub digest: u32,
    pub reply: Reply,
}

/// Stored request ids with the replies to them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RequestIds {
    replies: collections::BTreeMap<RequestUuid, StoredReply>,
    error_bytes: usize,
}

impl RequestIds {
    pub fn len(&self) -> usize {
        self.replies.len()
    }

    pub fn iter(&self) -> impl Iterator<Item = (RequestUuid, &StoredReply)> {
        self.replies.iter().map(|(id, stored)| (*id, stored))
    }

    /// Removes the ids that are older than the retention time.
    pub fn expire(&mut self, now: time::UnixMillis) {
        let oldest_ms = now.0.saturating_sub(RETENTION_MS);
        while let Some(entry) = self.replies.first_entry() {
            if entry.key().created().0 >= oldest_ms {
                break;
            }
            self.error_bytes -= error_bytes(&entry.remove().reply);
        }
    }

    /// Returns the stored reply of an id, or a refusal if the id belongs to another command.
    pub fn find(&self, id: RequestUuid, digest: u32) -> Option<Result<&Reply, Reason>> {
        let stored = self.replies.get(&id)?;
        Some(if stored.digest == digest {
            Ok(&stored.reply)
        } else {
            Err(Reason::IdReused)
        })
    }

    /// Checks that a new id can be stored for the retention time.
    ///
    /// # Errors
    ///
    /// Returns the reason if it cannot.
    pub fn admit(&self, id: RequestUuid, now: time::UnixMillis) -> Result<(), Reason> {
        let created = id.created().0;
        if created < now.0.saturating_sub(RETENTION_MS) {
            return Err(Reason::IdTooOld);
        }
        if created > now.0.saturating_add(MAX_CLOCK_AHEAD_MS) {
            return Err(Reason::IdInFuture);
        }
        if self.replies.len() >= MAX_IDS || self.error_bytes >= MAX_ERROR_BYTES {
            return Err(Reason::TooManyIds);
        }
        Ok(())
    }

    pub fn insert(&mut self, id: RequestUuid, digest: u32, reply: &Reply) {
        self.error_bytes += error_bytes(reply);
        self.replies.insert(
            id,
            StoredReply {
                digest,
                reply: reply.clone(),
            },
        );
    }
}

fn error_bytes(reply: &Reply) -> usize {
    match reply {
        Reply::Invalid { faults } => faults
            .iter()
            .map(|error| error.path.len() + error.message.len())
            .sum(),
        _ => 0,
    }
}
