//! Snapshot format of a ledger, version 1.
//!
//! Integers are little endian. Header: version u8, applied u64, clock u64, retention floor u64,
//! limit of keys u64, limit of bytes u64, number of keys u64. Each key: bits u128, digest u128, tag
//! u8 and the fields of the state. The last four bytes are the CRC-32 of everything before them.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use derive_more::{Display, Error};

use super::{digest, key, machine};
use crate::{time, types};

const VERSION: u8 = 1;
const HEADER_BYTES: usize = 49;
const CRC_BYTES: usize = 4;
const MAX_STATE_BYTES: usize = 64;

const RUNNING: u8 = 0;
const COMPLETED: u8 = 1;
const EXPIRED: u8 = 2;
const REPORTED: u8 = 3;

/// Reason why a snapshot cannot be restored.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum RestoreError {
    /// The format is not supported by this program.
    #[display("ledger snapshot of unsupported version {version}")]
    Version {
        /// Version of the snapshot.
        version: u8,
    },
    /// The content does not match its checksum.
    #[display("ledger snapshot damaged: checksum mismatch")]
    Checksum,
    /// The content is truncated, or a field is out of range.
    #[display("ledger snapshot malformed: truncated or a field out of range")]
    Malformed,
}

impl machine::Ledger {
    /// Encodes the whole state.
    pub fn snapshot(&self) -> Bytes {
        let stored = self.bytes as usize - self.entries.len() * machine::BYTES_PER_KEY as usize;
        let per_key = 32 + MAX_STATE_BYTES;
        let capacity = HEADER_BYTES + CRC_BYTES + stored + self.entries.len() * per_key;
        let mut buf = BytesMut::with_capacity(capacity);
        buf.put_u8(VERSION);
        buf.put_u64_le(self.applied.0);
        buf.put_u64_le(self.clock.0);
        buf.put_u64_le(self.retention_floor.0);
        buf.put_u64_le(self.limits.keys);
        buf.put_u64_le(self.limits.bytes);
        buf.put_u64_le(self.entries.len() as u64);
        for (key, entry) in &self.entries {
            buf.put_u128_le(key.bits());
            buf.put_u128_le(entry.digest.0);
            put_state(&mut buf, &entry.state);
        }
        let crc = crc32fast::hash(&buf);
        buf.put_u32_le(crc);
        buf.freeze()
    }

    /// Decodes a snapshot encoded by [`machine::Ledger::snapshot`].
    ///
    /// # Errors
    ///
    /// Returns an error if the version is not supported or the data is damaged or malformed.
    pub fn restore(data: &[u8]) -> Result<Self, RestoreError> {
        let version = *data.first().ok_or(RestoreError::Malformed)?;
        if version != VERSION {
            return Err(RestoreError::Version { version });
        }
        let split = data.len().checked_sub(CRC_BYTES);
        let split = split.ok_or(RestoreError::Malformed)?;
        let (content, mut crc) = data.split_at(split);
        if crc32fast::hash(content) != crc.get_u32_le() {
            return Err(RestoreError::Checksum);
        }
        decode(&content[1..]).ok_or(RestoreError::Malformed)
    }
}

fn decode(mut buf: &[u8]) -> Option<machine::Ledger> {
    let mut ledger = machine::Ledger {
        applied: types::LogIndex(buf.try_get_u64_le().ok()?),
        clock: time::UnixMillis(buf.try_get_u64_le().ok()?),
        retention_floor: time::UnixMillis(buf.try_get_u64_le().ok()?),
        limits: machine::Limits {
            keys: buf.try_get_u64_le().ok()?,
            bytes: buf.try_get_u64_le().ok()?,
        },
        ..Default::default()
    };
    let count = buf.try_get_u64_le().ok()?;
    for _ in 0..count {
        let key = key::Key::from_bits(buf.try_get_u128_le().ok()?).ok()?;
        let digest = digest::Digest(buf.try_get_u128_le().ok()?);
        let state = get_state(&mut buf)?;
        if let machine::State::Running { expires, .. } = state {
            ledger.expiries.insert((expires, key));
        }
        let entry = machine::Entry { digest, state };
        ledger.bytes += machine::charged_bytes(&entry);
        ledger.entries.insert(key, entry);
    }
    buf.is_empty().then_some(ledger)
}

fn put_state(buf: &mut BytesMut, state: &machine::State) {
    match state {
        machine::State::Running { holder, expires } => {
            buf.put_u8(RUNNING);
            put_holder(buf, holder);
            buf.put_u64_le(expires.0);
        }
        machine::State::Completed(stored) => {
            buf.put_u8(COMPLETED);
            buf.put_u32_le(stored.len() as u32);
            buf.put_slice(stored);
        }
        machine::State::Unknown { holder, reported } => {
            buf.put_u8(if *reported { REPORTED } else { EXPIRED });
            put_holder(buf, holder);
        }
    }
}

fn get_state(buf: &mut &[u8]) -> Option<machine::State> {
    match buf.try_get_u8().ok()? {
        RUNNING => Some(machine::State::Running {
            holder: get_holder(buf)?,
            expires: time::UnixMillis(buf.try_get_u64_le().ok()?),
        }),
        COMPLETED => {
            let len = buf.try_get_u32_le().ok()? as usize;
            let (stored, rest) = buf.split_at_checked(len)?;
            *buf = rest;
            Some(machine::State::Completed(stored.into()))
        }
        tag @ (EXPIRED | REPORTED) => Some(machine::State::Unknown {
            holder: get_holder(buf)?,
            reported: tag == REPORTED,
        }),
        _ => None,
    }
}

fn put_holder(buf: &mut BytesMut, holder: &machine::Holder) {
    buf.put_u32_le(holder.vm.0);
    buf.put_u64_le(holder.incarnation.0);
    buf.put_u64_le(holder.claim);
}

fn get_holder(buf: &mut &[u8]) -> Option<machine::Holder> {
    Some(machine::Holder {
        vm: types::VmId(buf.try_get_u32_le().ok()?),
        incarnation: types::Incarnation(buf.try_get_u64_le().ok()?),
        claim: buf.try_get_u64_le().ok()?,
    })
}
