//! Outputs that wait to be polled, and messages that wait for a sync.

use std::{collections, mem};

use super::{Message, Output};
use crate::{storage, types};

/// Queue of outputs with group commit: ops that arrive while a sync runs form the next batch.
#[derive(Debug)]
pub(super) struct Outbox {
    outputs: collections::VecDeque<Output>,
    ops: Vec<storage::Op>,
    /// Size of the entries in `ops`.
    pending_bytes: usize,
    /// Ticket of the next batch.
    next_ticket: u64,
    /// Ticket of the batch that is being synced.
    in_flight: Option<u64>,
    /// Ticket of the last synced batch.
    synced: u64,
    /// Messages by the ticket that must be synced before they may leave.
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

    /// Adds an op to the next batch and returns the ticket of that batch.
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

    /// Returns the size of the entries that wait for the next batch.
    pub(super) fn pending_bytes(&self) -> usize {
        self.pending_bytes
    }

    pub(super) fn is_synced(&self, ticket: u64) -> bool {
        ticket <= self.synced
    }

    pub(super) fn poll(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Begins a batch when none is being synced, and returns its ticket and ops.
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

    /// Releases the messages that waited for `ticket`; returns whether it was in flight.
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
