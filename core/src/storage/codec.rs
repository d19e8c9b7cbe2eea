//! Encoding of log records and snapshots within frames. All numbers are little-endian.

use bytes::{Buf, BufMut, Bytes};

use super::{Entry, HardState, Membership, Payload, Snapshot, frame};
use crate::types;

/// Version of the format. A reader refuses any other version.
const FORMAT_VERSION: u16 = 1;

const TAG_SEGMENT: u8 = 1;
const TAG_HARD_STATE: u8 = 2;
const TAG_ENTRY: u8 = 3;
const TAG_TRUNCATE: u8 = 4;
const TAG_SNAPSHOT: u8 = 5;

const KIND_NOOP: u8 = 0;
const KIND_COMMAND: u8 = 1;
const KIND_MEMBERSHIP: u8 = 2;

/// Record of a log segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Record {
    /// Header, the first record of each segment.
    Segment { first: types::LogIndex },
    /// Term and vote.
    HardState(HardState),
    /// One log entry.
    Entry(Entry),
    /// Removes the entries from the given index on.
    Truncate { from: types::LogIndex },
}

/// Reason why the payload of a frame with a valid checksum cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum MalformedRecord {
    #[error("record is truncated")]
    Short,
    #[error("unknown record tag or entry kind {0}")]
    Tag(u8),
    #[error("format version {0} is not supported")]
    Version(u16),
}

pub(super) fn put_segment(buf: &mut Vec<u8>, first: types::LogIndex) {
    buf.put_u8(TAG_SEGMENT);
    buf.put_u16_le(FORMAT_VERSION);
    buf.put_u64_le(first.0);
}

pub(super) fn put_hard_state(buf: &mut Vec<u8>, state: &HardState) {
    buf.put_u8(TAG_HARD_STATE);
    buf.put_u64_le(state.term.0);
    buf.put_u8(u8::from(state.voted_for.is_some()));
    buf.put_u32_le(state.voted_for.unwrap_or_default().0);
}

pub(super) fn put_truncate(buf: &mut Vec<u8>, from: types::LogIndex) {
    buf.put_u8(TAG_TRUNCATE);
    buf.put_u64_le(from.0);
}

pub(super) fn put_entry(buf: &mut Vec<u8>, entry: &Entry) {
    buf.put_u8(TAG_ENTRY);
    buf.put_u64_le(entry.index.0);
    buf.put_u64_le(entry.term.0);
    match &entry.payload {
        Payload::Noop => buf.put_u8(KIND_NOOP),
        Payload::Command(command) => {
            buf.put_u8(KIND_COMMAND);
            buf.put_u32_le(command.len() as u32);
            buf.put_slice(command);
        }
        Payload::Membership(members) => {
            buf.put_u8(KIND_MEMBERSHIP);
            put_membership(buf, members);
        }
    }
}

fn put_membership(buf: &mut Vec<u8>, members: &Membership) {
    for set in [&members.voters, &members.learners] {
        buf.put_u32_le(set.len() as u32);
        for vm in set {
            buf.put_u32_le(vm.0);
        }
    }
}

/// Returns the content of a snapshot file, which is one frame.
pub(super) fn snapshot_file(snapshot: &Snapshot) -> Vec<u8> {
    let mut buf = frame::begin(128 + snapshot.data.len());
    buf.put_u8(TAG_SNAPSHOT);
    buf.put_u16_le(FORMAT_VERSION);
    buf.put_u64_le(snapshot.index.0);
    buf.put_u64_le(snapshot.term.0);
    put_membership(&mut buf, &snapshot.membership);
    buf.put_slice(&snapshot.data);
    frame::finish(buf)
}

fn get_version(buf: &mut &[u8]) -> Result<(), MalformedRecord> {
    let version = buf.try_get_u16_le().map_err(|_| MalformedRecord::Short)?;
    if version != FORMAT_VERSION {
        return Err(MalformedRecord::Version(version));
    }
    Ok(())
}

fn get_u64(buf: &mut &[u8]) -> Result<u64, MalformedRecord> {
    buf.try_get_u64_le().map_err(|_| MalformedRecord::Short)
}

fn get_u32(buf: &mut &[u8]) -> Result<u32, MalformedRecord> {
    buf.try_get_u32_le().map_err(|_| MalformedRecord::Short)
}

fn get_u8(buf: &mut &[u8]) -> Result<u8, MalformedRecord> {
    buf.try_get_u8().map_err(|_| MalformedRecord::Short)
}

fn get_bytes(buf: &mut &[u8]) -> Result<Bytes, MalformedRecord> {
    let len = get_u32(buf)? as usize;
    let Some((head, rest)) = buf.split_at_checked(len) else {
        return Err(MalformedRecord::Short);
    };
    *buf = rest;
    Ok(Bytes::copy_from_slice(head))
}

fn get_membership(buf: &mut &[u8]) -> Result<Membership, MalformedRecord> {
    let mut members = Membership::default();
    for set in [&mut members.voters, &mut members.learners] {
        for _ in 0..get_u32(buf)? {
            set.insert(types::VmId(get_u32(buf)?));
        }
    }
    Ok(members)
}

fn get_entry(buf: &mut &[u8]) -> Result<Entry, MalformedRecord> {
    let index = types::LogIndex(get_u64(buf)?);
    let term = types::Term(get_u64(buf)?);
    let payload = match get_u8(buf)? {
        KIND_NOOP => Payload::Noop,
        KIND_COMMAND => Payload::Command(get_bytes(buf)?),
        KIND_MEMBERSHIP => Payload::Membership(get_membership(buf)?),
        kind => return Err(MalformedRecord::Tag(kind)),
    };
    Ok(Entry {
        index,
        term,
        payload,
    })
}

fn get_hard_state(buf: &mut &[u8]) -> Result<HardState, MalformedRecord> {
    let term = types::Term(get_u64(buf)?);
    let voted = get_u8(buf)? != 0;
    let vm = types::VmId(get_u32(buf)?);
    Ok(HardState {
        term,
        voted_for: voted.then_some(vm),
    })
}

/// Returns all records of a frame of a log segment.
pub(super) fn records(payload: &[u8]) -> Result<Vec<Record>, MalformedRecord> {
    let mut buf = payload;
    let mut records = Vec::new();
    while buf.has_remaining() {
        let record = match get_u8(&mut buf)? {
            TAG_SEGMENT => {
                get_version(&mut buf)?;
                let first = types::LogIndex(get_u64(&mut buf)?);
                Record::Segment { first }
            }
            TAG_HARD_STATE => Record::HardState(get_hard_state(&mut buf)?),
            TAG_ENTRY => Record::Entry(get_entry(&mut buf)?),
            TAG_TRUNCATE => {
                let from = types::LogIndex(get_u64(&mut buf)?);
                Record::Truncate { from }
            }
            tag => return Err(MalformedRecord::Tag(tag)),
        };
        records.push(record);
    }
    Ok(records)
}

/// Returns the snapshot in the payload of a snapshot file.
pub(super) fn snapshot(payload: &[u8]) -> Result<Snapshot, MalformedRecord> {
    let mut buf = payload;
    let tag = get_u8(&mut buf)?;
    if tag != TAG_SNAPSHOT {
        return Err(MalformedRecord::Tag(tag));
    }
    get_version(&mut buf)?;
    let index = types::LogIndex(get_u64(&mut buf)?);
    let term = types::Term(get_u64(&mut buf)?);
    let membership = get_membership(&mut buf)?;
    Ok(Snapshot {
        index,
        term,
        membership,
        data: Bytes::copy_from_slice(buf),
    })
}
