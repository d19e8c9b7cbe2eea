//! Leader side of replication: sends entries and heartbeats, commits what a majority has synced,
//! steps down without contact to a quorum, and computes the leader lease. Inputs are proposals, the
//! replies of followers, ticks and completed writes.

use std::collections;

use super::node::{Node, State};
use super::peer::{Mode, Peer};
use super::read::PendingReads;
use super::transfer::LeadershipTransfer;
use super::{Append, AppendReply, Message};
use crate::{storage, time, types};

/// State of a leader.
#[derive(Debug)]
pub(super) struct Leader {
    /// Replication state of the other members.
    pub(super) peers: collections::BTreeMap<types::VmId, Peer>,
    /// First index of the leader's term. Once it is committed, so are all entries before it.
    pub(super) term_start: types::LogIndex,
    /// Latest round. Replies to a round from a quorum prove that this node still led when the round
    /// began.
    pub(super) round: u64,
    /// Start times of the rounds to which a quorum has not replied yet.
    unconfirmed_rounds: collections::VecDeque<(u64, time::Instant)>,
    /// Start of the latest round to which a quorum has replied.
    quorum_contact: Option<time::Instant>,
    elected_at: time::Instant,
    /// Time before the election in which no leader held a lease.
    leaderless: std::time::Duration,
    /// When the next heartbeat is due.
    heartbeat_at: time::Instant,
    pub(super) reads: PendingReads,
    pub(super) leadership_transfer: Option<LeadershipTransfer>,
    /// Whether the leader has released its lease for the rest of the term.
    pub(super) lease_released: bool,
    /// Size in bytes of the uncommitted entries that this leader appended.
    pub(super) uncommitted_bytes: usize,
    /// Whether entries were appended that [`Node::replicate_pending`] has not sent yet.
    pub(super) has_unsent_entries: bool,
}

impl Leader {
    pub(super) fn next_deadline(&self) -> time::Instant {
        match &self.leadership_transfer {
            Some(leadership_transfer) => self.heartbeat_at.min(leadership_transfer.deadline),
            None => self.heartbeat_at,
        }
    }

    /// Starts a round and returns its number.
    pub(super) fn begin_round(&mut self, now: time::Instant) -> u64 {
        self.round += 1;
        self.unconfirmed_rounds.push_back((self.round, now));
        self.round
    }
}

/// Returns the highest value that a majority of `values` has reached.
fn quorum_value<T: Ord + Copy>(mut values: Vec<T>) -> Option<T> {
    values.sort_unstable();
    let reached = values.len().checked_sub(values.len() / 2 + 1)?;
    values.get(reached).copied()
}

impl Node {
    /// Starts to lead. `idle` is the shortest time since one of the voters that elected this node
    /// supported an earlier leader.
    pub(super) fn become_leader(&mut self, now: time::Instant, idle: std::time::Duration) {
        // These voters include one that acknowledged the round on which the last lease of an
        // earlier leader rested. Its clock may have run faster.
        let margin = self.cfg.clock_margin_permille.min(1000);
        let leaderless = (idle - idle * margin / 1000).saturating_sub(self.cfg.election_min);
        let term_start = types::LogIndex(self.log.last_index().0 + 1);
        self.state = State::Leader(Box::new(Leader {
            peers: collections::BTreeMap::new(),
            term_start,
            round: 0,
            unconfirmed_rounds: collections::VecDeque::new(),
            quorum_contact: None,
            elected_at: now,
            leaderless,
            heartbeat_at: now + self.cfg.heartbeat,
            reads: PendingReads::default(),
            leadership_transfer: None,
            lease_released: false,
            uncommitted_bytes: 0,
            has_unsent_entries: false,
        }));
        self.leader = Some(self.cfg.id);
        self.incoming_snapshot = None;
        self.append_as_leader(storage::Payload::Noop);
        self.refresh_peers(now);
        self.broadcast(now);
    }

    /// Appends an entry of the current term to the log and returns its index.
    pub(super) fn append_as_leader(&mut self, payload: storage::Payload) -> types::LogIndex {
        let entry = storage::Entry {
            index: types::LogIndex(self.log.last_index().0 + 1),
            term: self.hard_state.term,
            payload,
        };
        let index = entry.index;
        if let State::Leader(leader) = &mut self.state {
            leader.uncommitted_bytes += entry.size();
            leader.has_unsent_entries = true;
        }
        self.log.append(entry.clone());
        let entries = vec![entry];
        self.outbox.write(storage::Op::Append { entries });
        index
    }

    /// Updates the tracked followers to match the membership at the end of the log.
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
        self.advance_quorum_round(now);
    }

    /// Starts a round and sends a heartbeat to every follower.
    pub(super) fn broadcast(&mut self, now: time::Instant) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let round = leader.begin_round(now);
        // Before the first commit of its term, a leader's commit index may be behind that of
        // earlier leaders.
        if self.commit >= leader.term_start {
            leader.reads.join_round(round, leader.term_start);
        }
        let peers: Vec<_> = leader.peers.keys().copied().collect();
        for vm in peers {
            self.heartbeat(now, vm);
        }
        self.advance_quorum_round(now);
    }

    pub(super) fn tick_leader(&mut self, now: time::Instant) {
        self.expire_leadership_transfer(now);
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        if now < leader.heartbeat_at {
            return;
        }
        leader.heartbeat_at = now + self.cfg.heartbeat;
        let quorum_contact = leader.quorum_contact.unwrap_or(leader.elected_at);
        if now.since(quorum_contact) >= self.cfg.election_max && !self.is_sole_voter() {
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
    /// Until then no other node can be elected, except at this leader's own request, before which
    /// the leader releases the lease. A lease is held only once the entries of all earlier terms
    /// are committed and queued to be applied.
    pub fn lease_valid_until(&self, now: time::Instant) -> Option<time::Instant> {
        Some(self.lease_begin(now)? + self.cfg.lease())
    }

    /// Returns when the round began to which a quorum has replied and on which the leader's lease
    /// rests, or `None` when this node holds none.
    pub fn lease_begin(&self, now: time::Instant) -> Option<time::Instant> {
        let State::Leader(leader) = &self.state else {
            return None;
        };
        if leader.lease_released || self.commit < leader.term_start {
            return None;
        }
        let begin = if self.is_sole_voter() {
            now
        } else {
            leader.quorum_contact?
        };
        (begin + self.cfg.lease() > now).then_some(begin)
    }

    /// Returns the time before this leader's election in which no earlier leader held a lease.
    pub fn leaderless(&self) -> Option<std::time::Duration> {
        match &self.state {
            State::Leader(leader) => Some(leader.leaderless),
            _ => None,
        }
    }

    /// Sends a heartbeat to `to` and repeats a snapshot chunk that had no reply for the longest
    /// election timeout.
    fn heartbeat(&mut self, now: time::Instant, to: types::VmId) {
        let resend_after = self.cfg.election_max;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(peer) = leader.peers.get_mut(&to) else {
            return;
        };
        let mut prev = types::LogIndex(peer.next_index.0.saturating_sub(1));
        if let Mode::Snapshot(transfer) = &mut peer.mode {
            prev = types::LogIndex(0);
            if transfer
                .chunk_sent_at
                .is_some_and(|sent_at| now.since(sent_at) >= resend_after)
            {
                transfer.chunk_sent_at = None;
            }
        }
        self.send_entries(to, prev, Vec::new());
        self.send_chunk(now, to);
    }

    /// Sends the entries after `prev`, or starts a snapshot transfer when `prev` is compacted.
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

    /// Sends new entries to all followers. It runs when outputs are polled, so that proposals made
    /// together share a message.
    pub(super) fn replicate_pending(&mut self) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        if !std::mem::take(&mut leader.has_unsent_entries) {
            return;
        }
        let peers: Vec<_> = leader.peers.keys().copied().collect();
        for vm in peers {
            self.replicate(vm);
        }
    }

    /// Sends entries to a follower as far as its mode and the limit on bytes in flight allow.
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
            let next_index = peer.next_index;
            if next_index <= self.log.base_index() {
                self.begin_snapshot(to);
                return;
            }
            let entries = self.log.batch(next_index, self.cfg.max_batch_bytes);
            if entries.is_empty() {
                return;
            }
            peer.record_sent(&entries);
            self.send_entries(to, types::LogIndex(next_index.0 - 1), entries);
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
                peer.start_probing(types::LogIndex(reply.verified.0 + 1));
            } else if reply.verified >= transfer.snapshot.index {
                // The log was compacted beyond that snapshot while it was being sent.
                self.begin_snapshot(from);
            }
        } else if let Some(conflict) = reply.conflict {
            if conflict.refused > peer.match_index && conflict.refused.0 < peer.next_index.0 {
                match self.log.agreement(conflict.hint_index, conflict.hint_term) {
                    Some((index, _)) => peer.start_probing(types::LogIndex(index.0 + 1)),
                    None => self.begin_snapshot(from),
                }
            }
        } else {
            peer.record_verified(reply.verified);
        }
        self.replicate(from);
        self.send_chunk(now, from);
        self.advance_quorum_round(now);
        self.advance_commit(now);
        self.advance_leadership_transfer(now);
    }

    /// Updates the quorum contact and the pending reads to the latest round to which a quorum has
    /// replied.
    pub(super) fn advance_quorum_round(&mut self, now: time::Instant) {
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
        while let Some((number, begin)) = leader.unconfirmed_rounds.front().copied() {
            if number > round {
                break;
            }
            leader.quorum_contact = Some(begin);
            leader.unconfirmed_rounds.pop_front();
        }
        leader.reads.confirm(round);
        self.finish_reads(now);
    }

    /// Commits the entries that a majority has synced. Only an entry of the leader's own term is
    /// committed by counting replicas; it also commits all entries before it.
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
            // The change that removed this leader is committed. Followers learn the commit index
            // before it steps down.
            self.broadcast(now);
            self.become_follower(now, self.hard_state.term, None);
        }
    }
}
