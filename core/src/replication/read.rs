//! Linearizable reads by read index: the leader confirms its leadership with a quorum before a read
//! of the caller is served. Source: Ongaro's thesis, section 6.4.

use std::collections;

use super::leader::Leader;
use super::node::{Node, Output, ProposeError, State};
use crate::{time, types};

/// Reads of a leader that have no result yet.
#[derive(Debug, Default)]
pub(super) struct PendingReads {
    /// Token and commit index at arrival of each read that waits for the next round.
    waiting: Vec<(u64, types::LogIndex)>,
    /// The same of each read that waits for the next heartbeat.
    at_heartbeat: Vec<(u64, types::LogIndex)>,
    /// Latest round that was started for reads.
    begun_round: u64,
    /// Round that a quorum must reply to, token and read index of each read whose round has
    /// started.
    sent: collections::VecDeque<(u64, u64, types::LogIndex)>,
    /// Latest round to which a quorum has replied.
    confirmed_round: u64,
}

impl PendingReads {
    pub(super) fn confirm(&mut self, round: u64) {
        self.confirmed_round = self.confirmed_round.max(round);
    }

    fn is_round_pending(&self) -> bool {
        self.begun_round > self.confirmed_round
    }

    /// Makes a round that is about to start confirm the reads that wait for a heartbeat.
    pub(super) fn join_round(&mut self, round: u64, term_start: types::LogIndex) {
        for (token, index) in self.at_heartbeat.drain(..) {
            self.sent.push_back((round, token, index.max(term_start)));
        }
    }
}

impl Node {
    /// Requests a read that observes every write accepted before this call.
    ///
    /// The result is [`Output::ReadReady`] once a quorum has confirmed the leadership in a round
    /// that began after the call, or [`Output::ReadFailed`]. Reads that arrive during a round share
    /// the next one.
    ///
    /// # Errors
    ///
    /// Returns [`ProposeError::NotLeader`] when this node does not lead.
    pub fn read_index(&mut self, now: time::Instant, token: u64) -> Result<(), ProposeError> {
        let commit = self.commit;
        let State::Leader(leader) = &mut self.state else {
            return Err(self.not_leader());
        };
        leader.reads.waiting.push((token, commit));
        self.begin_reads(now);
        Ok(())
    }

    /// Requests a read like [`Node::read_index`], but starts no round for it: the next heartbeat
    /// confirms it, at most one heartbeat interval later. It costs no message.
    ///
    /// # Errors
    ///
    /// Returns [`ProposeError::NotLeader`] when this node does not lead.
    pub fn read_index_with_heartbeat(&mut self, token: u64) -> Result<(), ProposeError> {
        let commit = self.commit;
        let State::Leader(leader) = &mut self.state else {
            return Err(self.not_leader());
        };
        leader.reads.at_heartbeat.push((token, commit));
        Ok(())
    }

    /// Starts a round for the waiting reads unless a round for earlier reads is in progress.
    fn begin_reads(&mut self, now: time::Instant) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        // Before the first commit of its term, a leader's commit index may be behind that of
        // earlier leaders.
        let current = self.commit >= leader.term_start;
        if !current || leader.reads.waiting.is_empty() || leader.reads.is_round_pending() {
            return;
        }
        let round = leader.round + 1;
        leader.reads.begun_round = round;
        for (token, index) in leader.reads.waiting.drain(..) {
            let index = index.max(leader.term_start);
            leader.reads.sent.push_back((round, token, index));
        }
        self.broadcast(now);
    }

    /// Reports the reads whose round a quorum has confirmed as ready.
    pub(super) fn finish_reads(&mut self, now: time::Instant) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let reads = &mut leader.reads;
        while let Some((round, token, index)) = reads.sent.front().copied() {
            if round > reads.confirmed_round {
                break;
            }
            reads.sent.pop_front();
            self.outbox.push(Output::ReadReady { token, index });
        }
        self.begin_reads(now);
    }

    /// Fails all reads of a node that no longer leads.
    pub(super) fn fail_reads(&mut self, leader: Leader) {
        let waiting = leader.reads.waiting.into_iter();
        let waiting = waiting.chain(leader.reads.at_heartbeat);
        let waiting = waiting.map(|(token, _)| token);
        let sent = leader.reads.sent.into_iter().map(|(_, token, _)| token);
        for token in sent.chain(waiting) {
            self.outbox.push(Output::ReadFailed { token });
        }
    }
}
