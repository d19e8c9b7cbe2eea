//! Duties of a leader: replication, commit, check-quorum and lease.

use std::collections;

use super::node::{Node, State};
use super::peer::{Mode, Peer};
use super::read::Reads;
use super::transfer::Handover;
use super::{Append, AppendReply, Message};
use crate::{storage, time, types};

/// State of a leader.
#[derive(Debug)]
pub(super) struct Leader {
    pub(super) peers: collections::BTreeMap<types::VmId, Peer>,
    /// First index of the leader's term; when it is committed, so is everything before it.
    pub(super) first: types::LogIndex,
    /// Latest round. A round is a moment after which a quorum's answers prove leadership.
    pub(super) round: u64,
    /// When the rounds that are not yet answered by a quorum began.
    rounds: collections::VecDeque<(u64, time::Instant)>,
    /// Begin of the latest round that a quorum answered.
    contact: Option<time::Instant>,
    since: time::Instant,
    heartbeat_at: time::Instant,
    pub(super) reads: Reads,
    pub(super) handover: Option<Handover>,
    /// The lease is given up for the rest of the term.
    pub(super) lease_forfeited: bool,
    pub(super) uncommitted_bytes: usize,
    /// Whether entries were appended that have not been offered to all followers.
    pub(super) pending: bool,
}

impl Leader {
    pub(super) fn next_deadline(&self) -> time::Instant {
        match &self.handover {
            Some(handover) => self.heartbeat_at.min(handover.deadline),
            None => self.heartbeat_at,
        }
    }

    /// Begins a round and returns its number.
    pub(super) fn begin_round(&mut self, now: time::Instant) -> u64 {
        self.round += 1;
        self.rounds.push_back((self.round, now));
        self.round
    }
}

/// Returns the highest value that a majority of `values` reaches.
fn quorum_value<T: Ord + Copy>(mut values: Vec<T>) -> Option<T> {
    values.sort_unstable();
    let reached = values.len().checked_sub(values.len() / 2 + 1)?;
    values.get(reached).copied()
}

impl Node {
    pub(super) fn become_leader(&mut self, now: time::Instant) {
        let first = types::LogIndex(self.log.last_index().0 + 1);
        self.state = State::Leader(Box::new(Leader {
            peers: collections::BTreeMap::new(),
            first,
            round: 0,
            rounds: collections::VecDeque::new(),
            contact: None,
            since: now,
            heartbeat_at: now + self.cfg.heartbeat,
            reads: Reads::default(),
            handover: None,
            lease_forfeited: false,
            uncommitted_bytes: 0,
            pending: false,
        }));
        self.leader = Some(self.cfg.id);
        self.incoming = None;
        self.append_own(storage::Payload::Noop);
        self.refresh_peers(now);
        self.broadcast(now);
    }

    /// Appends an entry of this leader to the log.
    pub(super) fn append_own(&mut self, payload: storage::Payload) -> types::LogIndex {
        let entry = storage::Entry {
            index: types::LogIndex(self.log.last_index().0 + 1),
            term: self.hard_state.term,
            payload,
        };
        let index = entry.index;
        if let State::Leader(leader) = &mut self.state {
            leader.uncommitted_bytes += entry.size();
            leader.pending = true;
        }
        self.log.append(entry.clone());
        let entries = vec![entry];
        self.outbox.write(storage::Op::Append { entries });
        index
    }

    /// Matches the followers to the membership at the end of the log.
    pub(super) fn refresh_peers(&mut self, now: time::Instant) {
        let members = self.log.membership();
        let last = self.log.last_index();
        let own = self.cfg.id;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        leader.peers.retain(|vm, _| members.contains(*vm));
        for vm in members.iter().filter(|vm| *vm != own) {
            let peer = leader.peers.entry(vm);
            peer.or_insert_with(|| Peer::new(last));
        }
        self.quorum_answered(now);
    }

    /// Sends a heartbeat to every follower and begins a round.
    pub(super) fn broadcast(&mut self, now: time::Instant) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        leader.begin_round(now);
        let peers: Vec<_> = leader.peers.keys().copied().collect();
        for vm in peers {
            self.heartbeat(now, vm);
        }
        self.quorum_answered(now);
    }

    pub(super) fn tick_leader(&mut self, now: time::Instant) {
        self.tick_handover(now);
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        if now < leader.heartbeat_at {
            return;
        }
        leader.heartbeat_at = now + self.cfg.heartbeat;
        let contact = leader.contact.unwrap_or(leader.since);
        if now.since(contact) >= self.cfg.election_max && !self.is_sole_voter() {
            self.become_follower(now, self.hard_state.term, None);
            return;
        }
        self.broadcast(now);
    }

    fn is_sole_voter(&self) -> bool {
        let voters = &self.log.membership().voters;
        voters.len() == 1 && voters.contains(&self.cfg.id)
    }

    /// Returns the end of the leader's lease, or `None` when this node holds none.
    ///
    /// Until then no other node can be elected, except at this leader's own request, which ends
    /// the lease first. The lease begins only when everything before this term is applied.
    pub fn lease_valid_until(&self, now: time::Instant) -> Option<time::Instant> {
        let State::Leader(leader) = &self.state else {
            return None;
        };
        if leader.lease_forfeited || self.commit < leader.first {
            return None;
        }
        let begin = if self.is_sole_voter() {
            now
        } else {
            leader.contact?
        };
        let end = begin + self.cfg.lease();
        (end > now).then_some(end)
    }

    fn heartbeat(&mut self, now: time::Instant, to: types::VmId) {
        let resend = self.cfg.election_max;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(peer) = leader.peers.get_mut(&to) else {
            return;
        };
        let mut prev = types::LogIndex(peer.next.0.saturating_sub(1));
        if let Mode::Snapshot(transfer) = &mut peer.mode {
            prev = types::LogIndex(0);
            if transfer.sent.is_some_and(|sent| now.since(sent) >= resend) {
                transfer.sent = None;
            }
        }
        self.send_entries(to, prev, Vec::new());
        self.send_chunk(now, to);
    }

    /// Sends entries after `prev`; falls back to a snapshot when `prev` is compacted.
    fn send_entries(
        &mut self,
        to: types::VmId,
        prev: types::LogIndex,
        entries: Vec<storage::Entry>,
    ) {
        let prev_term = match self.log.term_at(prev) {
            Some(term) => term,
            None if prev.0 == 0 => types::Term(0),
            None => {
                self.begin_snapshot(to);
                return;
            }
        };
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let append = Append {
            term: self.hard_state.term,
            round: leader.round,
            prev_index: prev,
            prev_term,
            commit: self.commit,
            entries,
        };
        self.outbox.send(to, Message::Append(append));
    }

    fn begin_snapshot(&mut self, to: types::VmId) {
        let snapshot = self.snapshot.clone();
        if let State::Leader(leader) = &mut self.state
            && let Some(peer) = leader.peers.get_mut(&to)
        {
            peer.begin_snapshot(snapshot);
        }
    }

    /// Offers new entries to all followers. It is called when outputs are polled, so that proposals
    /// made together share a message.
    pub(super) fn replicate_pending(&mut self) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        if !std::mem::take(&mut leader.pending) {
            return;
        }
        let peers: Vec<_> = leader.peers.keys().copied().collect();
        for vm in peers {
            self.replicate(vm);
        }
    }

    /// Sends entries to a follower as far as its state allows.
    pub(super) fn replicate(&mut self, to: types::VmId) {
        loop {
            let State::Leader(leader) = &mut self.state else {
                return;
            };
            let Some(peer) = leader.peers.get_mut(&to) else {
                return;
            };
            if !peer.may_send(self.cfg.max_in_flight_bytes) {
                return;
            }
            let next = peer.next;
            if next <= self.log.base_index() {
                self.begin_snapshot(to);
                return;
            }
            let entries = self.log.batch(next, self.cfg.max_batch_bytes);
            if entries.is_empty() {
                return;
            }
            peer.sent(&entries);
            self.send_entries(to, types::LogIndex(next.0 - 1), entries);
        }
    }

    pub(super) fn on_append_reply(
        &mut self,
        now: time::Instant,
        from: types::VmId,
        reply: &AppendReply,
    ) {
        if reply.term > self.hard_state.term {
            self.become_follower(now, reply.term, None);
            return;
        }
        let base = self.log.base_index();
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
        peer.match_index = peer.match_index.max(reply.durable);
        if let Mode::Snapshot(transfer) = &peer.mode {
            if reply.verified >= base {
                peer.probe(types::LogIndex(reply.verified.0 + 1));
            } else if reply.verified >= transfer.snapshot.index {
                // The log was compacted beyond that snapshot while it was being sent.
                self.begin_snapshot(from);
            }
        } else if let Some(conflict) = reply.conflict {
            if conflict.refused > peer.match_index && conflict.refused.0 < peer.next.0 {
                match self.log.agreement(conflict.hint_index, conflict.hint_term) {
                    Some((index, _)) => peer.probe(types::LogIndex(index.0 + 1)),
                    None => self.begin_snapshot(from),
                }
            }
        } else {
            peer.verified(reply.verified);
        }
        self.replicate(from);
        self.send_chunk(now, from);
        self.quorum_answered(now);
        self.advance_commit(now);
        self.advance_handover(now);
    }

    /// Moves contact time and reads forward to the latest round that a quorum answered.
    pub(super) fn quorum_answered(&mut self, now: time::Instant) {
        let members = self.log.membership();
        let own = self.cfg.id;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let answered = members.voters.iter().map(|vm| {
            if *vm == own {
                return leader.round;
            }
            leader.peers.get(vm).map_or(0, |peer| peer.round)
        });
        let Some(round) = quorum_value(answered.collect()) else {
            return;
        };
        while let Some((number, begin)) = leader.rounds.front().copied() {
            if number > round {
                break;
            }
            leader.contact = Some(begin);
            leader.rounds.pop_front();
        }
        leader.reads.confirmed(round);
        self.finish_reads(now);
    }

    /// Commits what a majority has synced. Only an entry of the leader's own term is committed by
    /// counting; it commits all entries before it.
    pub(super) fn advance_commit(&mut self, now: time::Instant) {
        let members = self.log.membership();
        let own = self.cfg.id;
        let State::Leader(leader) = &self.state else {
            return;
        };
        let synced = members.voters.iter().map(|vm| {
            if *vm == own {
                return self.log.durable();
            }
            let peer = leader.peers.get(vm);
            peer.map_or(types::LogIndex(0), |peer| peer.match_index)
        });
        let Some(index) = quorum_value(synced.collect()) else {
            return;
        };
        if index <= self.commit || self.log.term_at(index) != Some(self.hard_state.term) {
            return;
        }
        self.commit_to(index);
        self.finish_reads(now);
        if self.log.membership_index() <= self.commit && !self.log.membership().contains(own) {
            // This leader was removed by a change that is now committed.
            self.broadcast(now);
            self.become_follower(now, self.hard_state.term, None);
        }
    }
}
