//! Follower side of replication: compares the leader's entries with the log, appends missing ones
//! and acknowledges those that are synced. Inputs are the leader's messages and completed writes.

use super::node::{Node, State};
use super::{Append, AppendReply, Conflict, Message};
use crate::{storage, time, types};

impl Node {
    /// Accepts the sender as leader of `term` and restarts the election timer. Returns false when
    /// `term` is older than the current term.
    pub(super) fn accept_leader(
        &mut self,
        now: time::Instant,
        from: types::VmId,
        term: types::Term,
        round: u64,
    ) -> bool {
        if term < self.hard_state.term {
            return false;
        }
        let follows = matches!(self.state, State::Follower) && self.leader == Some(from);
        if term > self.hard_state.term || !follows {
            self.become_follower(now, term, Some(from));
        }
        self.leader_contact = now;
        self.round = self.round.max(round);
        self.reset_election(now);
        true
    }

    pub(super) fn append_reply(&self, conflict: Option<Conflict>) -> Message {
        Message::AppendReply(AppendReply {
            term: self.hard_state.term,
            round: self.round,
            verified: self.verified,
            durable: self.verified.min(self.log.durable()),
            conflict,
        })
    }

    pub(super) fn on_append(&mut self, now: time::Instant, from: types::VmId, append: Append) {
        if !self.accept_leader(now, from, append.term, append.round) {
            let reply = Message::AppendReply(AppendReply {
                term: self.hard_state.term,
                round: 0,
                verified: types::LogIndex(0),
                durable: types::LogIndex(0),
                conflict: None,
            });
            self.send_after_hard_state(from, reply);
            return;
        }
        // Committed entries agree with the leader's, but may already be compacted in this log.
        let agrees = append.prev_index <= self.commit
            || self.log.term_at(append.prev_index) == Some(append.prev_term);
        if !agrees {
            let agreement = self.log.agreement(append.prev_index, append.prev_term);
            let (hint_index, hint_term) = agreement.unwrap_or(self.log.base());
            let conflict = Conflict {
                refused: append.prev_index,
                hint_index,
                hint_term,
            };
            let reply = self.append_reply(Some(conflict));
            self.send_after_hard_state(from, reply);
            return;
        }
        let end = types::LogIndex(append.prev_index.0 + append.entries.len() as u64);
        let appended = self.append_missing(append.entries);
        self.verified = self.verified.max(end);
        self.commit_to(append.commit.min(self.verified));
        self.ack_due |= appended;
        if !appended {
            let reply = self.append_reply(None);
            self.send_after_hard_state(from, reply);
        }
    }

    /// Appends the entries that the log lacks, after truncating the log at the first conflicting
    /// one. Returns whether there were any.
    fn append_missing(&mut self, entries: Vec<storage::Entry>) -> bool {
        let mut missing = Vec::new();
        for entry in entries {
            let known =
                entry.index <= self.commit || self.log.term_at(entry.index) == Some(entry.term);
            if known {
                continue;
            }
            if entry.index <= self.log.last_index() {
                let from = entry.index;
                self.log.truncate(from);
                self.outbox.write(storage::Op::Truncate { from });
            }
            self.log.append(entry.clone());
            missing.push(entry);
        }
        let appended = !missing.is_empty();
        if appended {
            let entries = missing;
            self.outbox.write(storage::Op::Append { entries });
        }
        appended
    }

    /// Sends the leader the last synced index when an acknowledgement is due.
    pub(super) fn acknowledge_synced(&mut self) {
        let Some(leader) = self.leader else {
            return;
        };
        if !self.ack_due {
            return;
        }
        self.ack_due = self.log.durable() < self.verified;
        let reply = self.append_reply(None);
        self.send_after_hard_state(leader, reply);
    }
}
