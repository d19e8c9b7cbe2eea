//! Snapshots: compaction of the log after the caller has taken one, and transfer in chunks from the
//! leader to a follower that lacks compacted entries.

use bytes::{BufMut, Bytes, BytesMut};

use super::node::{Node, Output, State};
use super::peer::Mode;
use super::{Message, SnapshotChunk, SnapshotReply};
use crate::{storage, time, types};

/// Snapshot that is being received.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    /// Last index that the snapshot covers.
    index: types::LogIndex,
    /// Term of the entry at `index`.
    index_term: types::Term,
    /// Data received so far, without a gap.
    data: BytesMut,
}

impl Node {
    /// Stores a snapshot of the state machine up to `index` and compacts the log before it.
    ///
    /// A snapshot is ignored when `index` is not committed or an earlier snapshot covers it.
    pub fn snapshot_taken(&mut self, _now: time::Instant, index: types::LogIndex, data: Bytes) {
        if index <= self.snapshot.index || index > self.commit {
            return;
        }
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        let membership = self.log.membership_at(index).clone();
        self.snapshot = storage::Snapshot {
            index,
            term,
            membership,
            data,
        };
        let op = storage::Op::Snapshot(self.snapshot.clone());
        self.outbox.write(op);
        let (entries, bytes) = (self.cfg.retained_entries, self.cfg.retained_bytes);
        let through = self.log.compaction_index(index, entries, bytes);
        self.log.compact(through);
        self.outbox.write(storage::Op::Compact { through });
    }

    /// Sends the next chunk to a follower that receives a snapshot, unless a chunk is outstanding.
    pub(super) fn send_chunk(&mut self, now: time::Instant, to: types::VmId) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let round = leader.round;
        let Some(peer) = leader.peers.get_mut(&to) else {
            return;
        };
        let Mode::Snapshot(transfer) = &mut peer.mode else {
            return;
        };
        if transfer.chunk_sent_at.is_some() {
            return;
        }
        transfer.chunk_sent_at = Some(now);
        let snapshot = &transfer.snapshot;
        let begin = (transfer.offset as usize).min(snapshot.data.len());
        let end = (begin + self.cfg.snapshot_chunk_bytes).min(snapshot.data.len());
        let chunk = SnapshotChunk {
            term: self.hard_state.term,
            round,
            index: snapshot.index,
            index_term: snapshot.term,
            membership: snapshot.membership.clone(),
            offset: begin as u64,
            total: snapshot.data.len() as u64,
            data: snapshot.data.slice(begin..end),
        };
        self.outbox.send(to, Message::SnapshotChunk(chunk));
    }

    pub(super) fn on_snapshot_reply(
        &mut self,
        now: time::Instant,
        from: types::VmId,
        reply: &SnapshotReply,
    ) {
        if reply.term > self.hard_state.term {
            self.become_follower(now, reply.term, None);
            return;
        }
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(peer) = leader.peers.get_mut(&from) else {
            return;
        };
        if reply.term < self.hard_state.term {
            return;
        }
        peer.last_contact = Some(now);
        peer.round = peer.round.max(reply.round);
        if let Mode::Snapshot(transfer) = &mut peer.mode
            && transfer.snapshot.index == reply.index
            && transfer.offset != reply.received
        {
            transfer.offset = reply.received;
            transfer.chunk_sent_at = None;
        }
        self.send_chunk(now, from);
        self.advance_quorum_round(now);
    }

    pub(super) fn on_snapshot_chunk(
        &mut self,
        now: time::Instant,
        from: types::VmId,
        chunk: SnapshotChunk,
    ) {
        let current = self.accept_leader(now, from, chunk.term, chunk.round);
        if current && chunk.index <= self.commit {
            let reply = self.append_reply(None);
            self.send_after_hard_state(from, reply);
            return;
        }
        let received = if current {
            self.receive_chunk(&chunk)
        } else {
            0
        };
        if current && received == chunk.total && chunk.offset + chunk.data.len() as u64 == received
        {
            self.install_snapshot(chunk);
            return;
        }
        let reply = SnapshotReply {
            term: self.hard_state.term,
            round: if current { self.round } else { 0 },
            index: chunk.index,
            received,
        };
        self.send_after_hard_state(from, Message::SnapshotReply(reply));
    }

    /// Appends a chunk to the snapshot being received and returns the number of bytes received so
    /// far. A chunk of a newer snapshot starts over; a chunk of an older one is ignored.
    fn receive_chunk(&mut self, chunk: &SnapshotChunk) -> u64 {
        let same = self.incoming_snapshot.as_ref().is_some_and(|incoming| {
            (incoming.index, incoming.index_term) == (chunk.index, chunk.index_term)
        });
        let older = self
            .incoming_snapshot
            .as_ref()
            .is_some_and(|incoming| incoming.index > chunk.index);
        if !same && !older {
            self.incoming_snapshot = Some(IncomingSnapshot {
                index: chunk.index,
                index_term: chunk.index_term,
                data: BytesMut::new(),
            });
        }
        match &mut self.incoming_snapshot {
            Some(incoming) if !older => {
                if incoming.data.len() as u64 == chunk.offset {
                    incoming.data.put_slice(&chunk.data);
                }
                incoming.data.len() as u64
            }
            _ => 0,
        }
    }

    /// Replaces the log and the state machine by the snapshot whose last chunk has arrived.
    fn install_snapshot(&mut self, last: SnapshotChunk) {
        let Some(incoming) = self.incoming_snapshot.take() else {
            return;
        };
        let snapshot = storage::Snapshot {
            index: incoming.index,
            term: incoming.index_term,
            membership: last.membership,
            data: incoming.data.freeze(),
        };
        let index = snapshot.index;
        self.verified = self.verified.max(index);
        self.ack_due = true;
        if self.log.term_at(index) == Some(snapshot.term) {
            // The log already contains all entries that the snapshot covers.
            self.commit_to(index);
            self.acknowledge_synced();
            return;
        }
        // The snapshot is stored before the log is truncated, so a crash between the two loses no
        // entry.
        let from = types::LogIndex(self.log.base_index().0 + 1);
        let truncated = self.log.last_index() >= from;
        self.outbox.write(storage::Op::Snapshot(snapshot.clone()));
        if truncated {
            self.outbox.write(storage::Op::Truncate { from });
        }
        self.outbox.write(storage::Op::Compact { through: index });
        let durable = self.log.durable().min(self.commit);
        self.log.reset(&snapshot, durable);
        self.commit = index;
        self.pending_proposals = self
            .pending_proposals
            .split_off(&types::LogIndex(index.0 + 1));
        let data = snapshot.data.clone();
        self.snapshot = snapshot;
        self.outbox.push(Output::Restore { index, data });
    }
}
