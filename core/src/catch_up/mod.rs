//! Catching up with the replicated state on a VM that is not a member of the group.
//!
//! Such a VM applies the commands that the leader sends. If it misses one, it requests what it
//! lacks: the commands, or the whole state in parts, so that no message grows with the state. The
//! parts are requested one after the other, each when the previous one has arrived, which bounds what
//! waits on a slow link. Commands that arrive meanwhile are kept and applied after the state.

mod encoded;

use std::{collections, time};

use bytes::{BufMut, Bytes, BytesMut};

pub use self::encoded::{EncodedState, EncodedStates};
use crate::{time as core_time, types};

/// Time after which a request without a reply is repeated at another VM.
pub const REPLY_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// The same between two parts. Many VMs that start at once share the link of the sender.
pub const PART_TIMEOUT: time::Duration = time::Duration::from_millis(1500);

/// Size in bytes of a part; takes about 100 ms on a link of 5 Mbit/s.
pub const PART_BYTES: usize = 64 * 1024;

/// Largest total size in bytes of the commands that a VM gets in place of the state.
pub const MAX_COMMANDS_BYTES: usize = 256 * 1024;

/// Largest state in bytes that a VM receives.
pub const MAX_STATE_BYTES: u64 = 64 * 1024 * 1024;

/// Largest total size in bytes of the commands that are kept while the state arrives.
const MAX_KEPT_BYTES: usize = 2 * 1024 * 1024;

/// Identifies the bytes of an encoded state. VMs may encode the same state differently.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateId {
    /// Index of the log up to which the state contains all commands.
    pub index: types::LogIndex,
    /// Length in bytes.
    pub total: u64,
    /// CRC-32 of all bytes.
    pub checksum: u32,
}

/// A part of an encoded state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// The state that the part belongs to.
    pub state: StateId,
    /// Position of the first byte.
    pub offset: u64,
    /// The bytes.
    pub data: Bytes,
}

/// Effect of a part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The part was not expected.
    Ignored,
    /// The next part is due from the same VM.
    Next,
    /// The state is complete.
    Complete(types::LogIndex, Bytes),
    /// The state is too large, or its bytes are damaged.
    Rejected(&'static str),
}

/// A command of the log that arrived before the ones that it follows.
#[derive(Clone, Debug)]
struct Command {
    previous: types::LogIndex,
    index: types::LogIndex,
    bytes: Bytes,
}

/// A request without a complete reply yet.
#[derive(Clone, Copy, Debug)]
struct Request {
    to: types::VmId,
    due: core_time::Instant,
}

#[derive(Debug)]
struct Incoming {
    state: StateId,
    data: BytesMut,
}

/// State that a VM is receiving, and commands that follow it.
#[derive(Debug, Default)]
pub struct CatchUp {
    request: Option<Request>,
    incoming: Option<Incoming>,
    commands: collections::VecDeque<Command>,
}

impl CatchUp {
    /// Returns whether a request may be sent: none is in progress, or its reply is overdue.
    pub fn may_request(&self, now: core_time::Instant) -> bool {
        self.request.is_none_or(|request| now >= request.due)
    }

    /// Returns whether the reply to a request is overdue.
    pub fn is_overdue(&self, now: core_time::Instant) -> bool {
        self.request.is_some_and(|request| now >= request.due)
    }

    /// Returns whether commands wait for the ones that they follow.
    pub fn has_gap(&self) -> bool {
        !self.commands.is_empty()
    }

    /// Records a request to a VM. Returns the state of which parts have arrived already, with the
    /// number of bytes.
    pub fn requested(
        &mut self,
        now: core_time::Instant,
        to: types::VmId,
    ) -> Option<(types::LogIndex, u64)> {
        let incoming = self.incoming.as_ref();
        let timeout = match incoming {
            Some(_) => PART_TIMEOUT,
            None => REPLY_TIMEOUT,
        };
        let due = now + timeout;
        self.request = Some(Request { to, due });
        incoming.map(|incoming| (incoming.state.index, incoming.data.len() as u64))
    }

    /// Records that a VM has replied with all that this VM lacked.
    pub fn replied(&mut self, from: types::VmId) {
        let is_pending = |request: &Request| request.to == from;
        if self.incoming.is_none() && self.request.as_ref().is_some_and(is_pending) {
            self.request = None;
        }
    }

    /// Adds a part of a state. A part that does not continue the state in progress starts over if it
    /// is from the VM that was asked last; a late reply of another one only counts while none is in
    /// progress.
    pub fn part_received(
        &mut self,
        now: core_time::Instant,
        applied: types::LogIndex,
        from: types::VmId,
        part: Part,
    ) -> Progress {
        let Some(request) = self.request else {
            return Progress::Ignored;
        };
        let continues = |incoming: &Incoming| incoming.state == part.state;
        let is_wanted = request.to == from || self.incoming.as_ref().is_none_or(continues);
        if !is_wanted || part.state.index <= applied {
            return Progress::Ignored;
        }
        if part.state.total > MAX_STATE_BYTES {
            self.reject(now, from);
            return Progress::Rejected("state is too large");
        }
        if self
            .incoming
            .as_ref()
            .is_none_or(|incoming| incoming.state != part.state)
        {
            self.incoming = Some(Incoming {
                state: part.state,
                data: BytesMut::new(),
            });
        }
        let Some(incoming) = &mut self.incoming else {
            return Progress::Ignored;
        };
        let received = incoming.data.len() as u64;
        let fits = received + part.data.len() as u64 <= part.state.total;
        if part.offset == received && fits {
            incoming.data.put_slice(&part.data);
        }
        if (incoming.data.len() as u64) < part.state.total {
            let due = now + PART_TIMEOUT;
            self.request = Some(Request { to: from, due });
            return Progress::Next;
        }
        let data = std::mem::take(&mut incoming.data).freeze();
        if crc32fast::hash(&data) != part.state.checksum {
            self.reject(now, from);
            return Progress::Rejected("state is damaged");
        }
        self.end_transfer();
        Progress::Complete(part.state.index, data)
    }

    /// Drops what has arrived; the request is overdue at once.
    fn reject(&mut self, now: core_time::Instant, from: types::VmId) {
        self.incoming = None;
        self.request = Some(Request { to: from, due: now });
    }

    fn end_transfer(&mut self) {
        self.request = None;
        self.incoming = None;
    }

    /// Drops what an applied state makes superfluous.
    pub fn applied(&mut self, applied: types::LogIndex) {
        self.commands.retain(|command| command.index > applied);
        let is_old = |incoming: &Incoming| incoming.state.index <= applied;
        if self.incoming.as_ref().is_some_and(is_old) {
            self.end_transfer();
        }
    }

    /// Keeps a command until the ones that it follows are applied. When too much is kept, all of
    /// it is dropped and has to be requested.
    pub fn keep_command(
        &mut self,
        previous: types::LogIndex,
        index: types::LogIndex,
        bytes: Bytes,
    ) {
        let follows = |last: &Command| last.index == previous;
        if !self.commands.back().is_none_or(follows) {
            self.commands.clear();
        }
        let kept: usize = self
            .commands
            .iter()
            .map(|command| command.bytes.len())
            .sum();
        if kept + bytes.len() > MAX_KEPT_BYTES {
            self.commands.clear();
            return;
        }
        self.commands.push_back(Command {
            previous,
            index,
            bytes,
        });
    }

    /// Removes the kept command that follows the one at `applied`.
    pub fn take_command(&mut self, applied: types::LogIndex) -> Option<(types::LogIndex, Bytes)> {
        let follows = |command: &Command| command.previous == applied;
        if !self.commands.front().is_some_and(follows) {
            return None;
        }
        let command = self.commands.pop_front()?;
        Some((command.index, command.bytes))
    }
}
