//! Request ids and their first results.

use std::collections;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::registry::command::{Reason, Reply};
use crate::{time, types};

/// Time for which a request id is kept, in milliseconds.
pub(crate) const RETENTION_MS: u64 = 24 * 60 * 60 * 1000;

/// Clock difference between operator and leader that is accepted, in milliseconds.
const MAX_AHEAD_MS: u64 = 5 * 60 * 1000;

/// Request ids that can be kept at the same time.
pub(crate) const MAX_IDS: usize = 65_536;

/// Bytes of fault lists that can be kept at the same time; other results have a fixed size.
const MAX_FAULT_BYTES: usize = 4 * 1024 * 1024;

/// A request id as a number. The order of UUIDv7 numbers is the order of their creation times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestUuid(pub u128);

impl RequestUuid {
    /// Returns the creation time.
    pub fn created(self) -> time::UnixMillis {
        time::UnixMillis((self.0 >> 80) as u64)
    }

    /// Returns the canonical text.
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

/// Why a text is no request id.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum RequestIdError {
    /// It is no UUID in the form of RFC 9562.
    #[display("request id is not a UUID")]
    Malformed,
    /// It is a UUID of another version, so it carries no creation time.
    #[display("request id is not a UUIDv7")]
    WrongVersion,
}

/// Parses a UUIDv7 (RFC 9562, section 5.7).
///
/// # Errors
///
/// Returns why the text is no request id.
pub fn parse_request_id(id: &types::RequestId) -> Result<RequestUuid, RequestIdError> {
    let text = id.as_str().as_bytes();
    let dashes = [8, 13, 18, 23];
    let shaped = text.len() == 36
        && text
            .iter()
            .enumerate()
            .all(|(at, b)| match dashes.contains(&at) {
                true => *b == b'-',
                false => b.is_ascii_hexdigit(),
            });
    if !shaped {
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

/// First result of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct FirstReply {
    /// CRC-32 of the command, to recognise an id that is used twice.
    pub digest: u32,
    pub reply: Reply,
}

/// The kept ids.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RequestIds {
    kept: collections::BTreeMap<RequestUuid, FirstReply>,
    fault_bytes: usize,
}

impl RequestIds {
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    pub fn iter(&self) -> impl Iterator<Item = (RequestUuid, &FirstReply)> {
        self.kept.iter().map(|(id, first)| (*id, first))
    }

    /// Drops the ids that are older than the window.
    pub fn expire(&mut self, now: time::UnixMillis) {
        let floor = now.0.saturating_sub(RETENTION_MS);
        while let Some(entry) = self.kept.first_entry() {
            if entry.key().created().0 >= floor {
                break;
            }
            self.fault_bytes -= fault_bytes(&entry.remove().reply);
        }
    }

    /// Returns the first result of an id, or a refusal when it belonged to another command.
    pub fn find(&self, id: RequestUuid, digest: u32) -> Option<Result<&Reply, Reason>> {
        let first = self.kept.get(&id)?;
        Some(if first.digest == digest {
            Ok(&first.reply)
        } else {
            Err(Reason::IdReused)
        })
    }

    /// Returns whether a new id can be kept for the whole window.
    pub fn admit(&self, id: RequestUuid, now: time::UnixMillis) -> Result<(), Reason> {
        let created = id.created().0;
        if created < now.0.saturating_sub(RETENTION_MS) {
            return Err(Reason::IdTooOld);
        }
        if created > now.0.saturating_add(MAX_AHEAD_MS) {
            return Err(Reason::IdInFuture);
        }
        if self.kept.len() >= MAX_IDS || self.fault_bytes >= MAX_FAULT_BYTES {
            return Err(Reason::TooManyIds);
        }
        Ok(())
    }

    pub fn insert(&mut self, id: RequestUuid, digest: u32, reply: &Reply) {
        self.fault_bytes += fault_bytes(reply);
        self.kept.insert(
            id,
            FirstReply {
                digest,
                reply: reply.clone(),
            },
        );
    }
}

fn fault_bytes(reply: &Reply) -> usize {
    match reply {
        Reply::Invalid { faults } => faults
            .iter()
            .map(|fault| fault.path.len() + fault.message.len())
            .sum(),
        _ => 0,
    }
}
