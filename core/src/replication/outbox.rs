//! Queue of outputs until the I/O layer polls them, and of messages until the writes that they
//! depend on are synced.

use std::{collections, mem};

use super::{Message, Output};
use crate::{storage, types};

/// Output queue with group commit: operations that arrive during a sync form the next batch.
#[derive(Debug)]
pub(super) struct Outbox {
    outputs: collections::VecDeque<Output>,
    /// Operations of the next batch.
    ops: Vec<storage::Op>,
    /// Size in bytes of the entries in `ops`.
    pending_bytes: usize,
    /// Ticket of the next batch.
    next_ticket: u64,
    /// Ticket of the batch that is being synced.
    in_flight: Option<u64>,
    /// Ticket of the last synced batch.
    synced: u64,
    /// Messages with the ticket of the batch that must be synced before they are sent.
    deferred: collections::VecDeque<(u64, types::VmId, Message)>,
}

impl Outbox {
    pub(super) fn new() -> Outbox {
        Outbox {
            outputs: collections::VecDeque::new(),
            ops: Vec::new(),
            pending_bytes: 0,
            next_ticket: 1,
            in_flight: None,
            synced: 0,
            deferred: collections::VecDeque::new(),
        }
    }

    pub(super) fn push(&mut self, output: Output) {
        self.outputs.push_back(output);
    }

    pub(super) fn send(&mut self, to: types::VmId, msg: Message) {
        self.push(Output::Send { to, msg });
    }

    /// Sends `msg` once the batch with `ticket` is synced.
    pub(super) fn send_after(&mut self, ticket: u64, to: types::VmId, msg: Message) {
        if ticket <= self.synced {
            self.send(to, msg);
        } else {
            self.deferred.push_back((ticket, to, msg));
        }
    }

    /// Adds an operation to the next batch and returns the ticket of that batch.
    pub(super) fn write(&mut self, op: storage::Op) -> u64 {
        if let storage::Op::Append { entries } = &op {
            self.pending_bytes += entries.iter().map(storage::Entry::size).sum::<usize>();
        }
        match (self.ops.last_mut(), op) {
            (Some(storage::Op::Append { entries }), storage::Op::Append { entries: mut more }) => {
                entries.append(&mut more)
            }
            (Some(storage::Op::HardState(state)), storage::Op::HardState(newer)) => *state = newer,
            (_, op) => self.ops.push(op),
        }
        self.next_ticket
    }

    /// Returns the size in bytes of the entries in the next batch.
    pub(super) fn pending_bytes(&self) -> usize {
        self.pending_bytes
    }

    pub(super) fn is_synced(&self, ticket: u64) -> bool {
        ticket <= self.synced
    }

    pub(super) fn poll(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Starts the next batch unless one is being synced, and returns its ticket and operations.
    pub(super) fn begin_batch(&mut self) -> Option<(u64, Vec<storage::Op>)> {
        if self.in_flight.is_some() || self.ops.is_empty() {
            return None;
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.in_flight = Some(ticket);
        self.pending_bytes = 0;
        Some((ticket, mem::take(&mut self.ops)))
    }

    /// Records that the batch with `ticket` is synced and sends the messages that waited for it.
    /// Returns false when that batch is not in flight.
    pub(super) fn persisted(&mut self, ticket: u64) -> bool {
        if self.in_flight != Some(ticket) {
            return false;
        }
        self.in_flight = None;
        self.synced = ticket;
        while let Some((needed, _, _)) = self.deferred.front() {
            if *needed > ticket {
                break;
            }
            if let Some((_, to, msg)) = self.deferred.pop_front() {
                self.send(to, msg);
            }
        }
        true
    }
}
