//! Encoded states that a VM sends to others in parts.

use std::time;

use bytes::Bytes;

use super::{PART_BYTES, Part, StateId};
use crate::{time as core_time, types};

/// Time after its last use for which an encoded state is kept.
const KEPT_FOR: time::Duration = time::Duration::from_secs(3);

/// Largest number of encoded states that are kept. While all of them are in use, further VMs get the
/// latest of them and the commands after it.
const MAX_KEPT: usize = 3;

/// An encoded state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedState {
    /// Identifies the bytes.
    pub id: StateId,
    /// The bytes.
    pub data: Bytes,
}

impl EncodedState {
    /// Wraps the encoded state up to `index`.
    pub fn new(index: types::LogIndex, data: Bytes) -> EncodedState {
        let id = StateId {
            index,
            total: data.len() as u64,
            checksum: crc32fast::hash(&data),
        };
        EncodedState { id, data }
    }

    /// Returns the part that begins at `offset`.
    pub fn part(&self, offset: u64) -> Part {
        let begin = usize::try_from(offset).unwrap_or(usize::MAX);
        let begin = begin.min(self.data.len());
        let end = (begin + PART_BYTES).min(self.data.len());
        Part {
            state: self.id,
            offset: begin as u64,
            data: self.data.slice(begin..end),
        }
    }
}

/// Encoded states in use by transfers, the latest last. A state is encoded once for all VMs that
/// request it, and a transfer is not disturbed by further changes.
#[derive(Debug, Default)]
pub struct EncodedStates {
    kept: Vec<(EncodedState, core_time::Instant)>,
}

impl EncodedStates {
    /// Returns the kept state up to `index`.
    pub fn get(&mut self, now: core_time::Instant, index: types::LogIndex) -> Option<EncodedState> {
        let found = self
            .kept
            .iter_mut()
            .find(|(state, _)| state.id.index == index);
        let (state, last_used) = found?;
        *last_used = now;
        Some(state.clone())
    }

    /// Returns the latest kept state if no further one may be kept now.
    pub fn latest_if_full(&mut self, now: core_time::Instant) -> Option<EncodedState> {
        self.expire(now);
        if self.kept.len() < MAX_KEPT {
            return None;
        }
        let (state, last_used) = self.kept.last_mut()?;
        *last_used = now;
        Some(state.clone())
    }

    /// Keeps a state.
    pub fn insert(&mut self, now: core_time::Instant, state: EncodedState) {
        self.expire(now);
        if self.kept.len() == MAX_KEPT {
            self.kept.remove(0);
        }
        self.kept.push((state, now));
    }

    /// Drops states that are no longer in use.
    pub fn expire(&mut self, now: core_time::Instant) {
        self.kept
            .retain(|(_, last_used)| now.since(*last_used) < KEPT_FOR);
    }
}
