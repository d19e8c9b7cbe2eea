//! Linearizable reads by read index. Source: Ongaro's thesis, section 6.4.

use std::collections;

use super::leader::Leader;
use super::node::{Node, Output, ProposeError, State};
use crate::{time, types};

/// Reads of a leader that are not yet answered.
#[derive(Debug, Default)]
pub(super) struct Reads {
    /// Reads that wait for the next round, with the commit index at their arrival.
    waiting: Vec<(u64, types::LogIndex)>,
    /// Reads by the round that a quorum must answer.
    sent: collections::VecDeque<(u64, u64, types::LogIndex)>,
    /// Latest round that a quorum answered.
    confirmed: u64,
}

impl Reads {
    pub(super) fn confirmed(&mut self, round: u64) {
        self.confirmed = self.confirmed.max(round);
    }

    fn is_round_open(&self) -> bool {
        let last = self.sent.back();
        last.is_some_and(|(round, _, _)| *round > self.confirmed)
    }
}

impl Node {
    /// Asks for a read that sees every write accepted before this call.
    ///
    /// The answer is [`Output::ReadReady`] after a quorum has confirmed the leadership in a round
    /// that began after the call, or [`Output::ReadFailed`]. Reads that arrive during a round share
    /// the next one.
    ///
    /// # Errors
    ///
    /// `NotLeader` when this node does not lead.
    pub fn read_index(&mut self, now: time::Instant, token: u64) -> Result<(), ProposeError> {
        let commit = self.commit;
        let State::Leader(leader) = &mut self.state else {
            return Err(self.not_leader());
        };
        leader.reads.waiting.push((token, commit));
        self.begin_reads(now);
        Ok(())
    }

    /// Begins a round for the waiting reads when none is open.
    fn begin_reads(&mut self, now: time::Instant) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        // Before the first commit of the term the commit index may lag behind earlier leaders'.
        let current = self.commit >= leader.first;
        if !current || leader.reads.waiting.is_empty() || leader.reads.is_round_open() {
            return;
        }
        let round = leader.round + 1;
        for (token, index) in leader.reads.waiting.drain(..) {
            let index = index.max(leader.first);
            leader.reads.sent.push_back((round, token, index));
        }
        self.broadcast(now);
    }

    /// Answers the reads whose round is confirmed.
    pub(super) fn finish_reads(&mut self, now: time::Instant) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let reads = &mut leader.reads;
        while let Some((round, token, index)) = reads.sent.front().copied() {
            if round > reads.confirmed {
                break;
            }
            reads.sent.pop_front();
            self.outbox.push(Output::ReadReady { token, index });
        }
        self.begin_reads(now);
    }

    /// Fails all reads when leadership ends.
    pub(super) fn fail_reads(&mut self, leader: Leader) {
        let waiting = leader.reads.waiting.into_iter().map(|(token, _)| token);
        let sent = leader.reads.sent.into_iter().map(|(_, token, _)| token);
        for token in sent.chain(waiting) {
            self.outbox.push(Output::ReadFailed { token });
        }
    }
}
