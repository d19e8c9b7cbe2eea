//! Elections with pre-vote.

use std::collections;

use super::node::{Node, State};
use super::{Message, VoteRequest};
use crate::{storage, time, types};

impl Node {
    /// Returns whether this node may run for leader.
    fn may_lead(&self) -> bool {
        !self.disk_full && self.log.membership().voters.contains(&self.cfg.id)
    }

    /// Returns whether a leader may rely on this node not to vote for another.
    fn hears_leader(&self, now: time::Instant) -> bool {
        matches!(self.state, State::Leader(_)) || now < self.leader_contact + self.cfg.election_min
    }

    fn is_up_to_date(&self, vote: &VoteRequest) -> bool {
        (vote.last_term, vote.last_index) >= (self.log.last_term(), self.log.last_index())
    }

    fn request(&self, term: types::Term, transfer: bool) -> VoteRequest {
        VoteRequest {
            term,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            transfer,
        }
    }

    fn other_voters(&self) -> Vec<types::VmId> {
        let voters = self.log.membership().voters.iter().copied();
        voters.filter(|vm| *vm != self.cfg.id).collect()
    }

    /// Returns whether `votes` contains a majority of the voters.
    fn is_majority(&self, votes: &collections::BTreeSet<types::VmId>) -> bool {
        let members = self.log.membership();
        votes.intersection(&members.voters).count() >= members.quorum()
    }

    /// Enters `term` as a follower, or stays in the current one.
    pub(super) fn become_follower(
        &mut self,
        now: time::Instant,
        term: types::Term,
        leader: Option<types::VmId>,
    ) {
        if term > self.hard_state.term {
            let voted_for = None;
            self.write_hard_state(storage::HardState { term, voted_for });
            self.incoming = None;
        }
        if let State::Leader(state) = std::mem::replace(&mut self.state, State::Follower) {
            self.fail_reads(*state);
        }
        self.leader = leader;
        // Committed entries agree with those of every later leader.
        self.verified = self.commit;
        self.round = 0;
        self.ack_due = false;
        self.reset_election(now);
    }

    /// The leader has not been heard for the election timeout.
    pub(super) fn election_timeout(&mut self, now: time::Instant) {
        self.reset_election(now);
        self.leader = None;
        if !self.may_lead() {
            self.state = State::Follower;
            return;
        }
        let votes = collections::BTreeSet::from([self.cfg.id]);
        if self.is_majority(&votes) {
            self.campaign(now, false);
            return;
        }
        self.state = State::PreCandidate { votes };
        let request = self.request(types::Term(self.hard_state.term.0 + 1), false);
        for vm in self.other_voters() {
            self.outbox.send(vm, Message::PreVote(request.clone()));
        }
    }

    /// Runs for leader in the next term. The own vote counts once it is synced.
    pub(super) fn campaign(&mut self, now: time::Instant, transfer: bool) {
        let term = types::Term(self.hard_state.term.0 + 1);
        self.become_follower(now, term, None);
        self.write_hard_state(storage::HardState {
            term,
            voted_for: Some(self.cfg.id),
        });
        let votes = collections::BTreeSet::new();
        self.state = State::Candidate { votes };
        let request = self.request(term, transfer);
        for vm in self.other_voters() {
            self.send_after_vote(vm, Message::Vote(request.clone()));
        }
    }

    /// Counts this node's vote for itself when it is durable.
    pub(super) fn count_own_vote(&mut self, now: time::Instant) {
        if self.outbox.is_synced(self.hard_ticket) {
            let (own, term) = (self.cfg.id, self.hard_state.term);
            self.on_vote_reply(now, own, term, true);
        }
    }

    /// Answers whether a vote would be given. A node that hears a leader stays silent, so a VM that
    /// was cut off cannot depose it.
    pub(super) fn on_pre_vote(
        &mut self,
        now: time::Instant,
        from: types::VmId,
        vote: &VoteRequest,
    ) {
        if self.hears_leader(now) {
            return;
        }
        let current = self.hard_state.term;
        let granted = vote.term > current && self.is_up_to_date(vote);
        let term = if granted { vote.term } else { current };
        self.send_after_vote(from, Message::PreVoteReply { term, granted });
    }

    pub(super) fn on_pre_vote_reply(
        &mut self,
        now: time::Instant,
        from: types::VmId,
        term: types::Term,
        granted: bool,
    ) {
        if !granted && term > self.hard_state.term {
            self.become_follower(now, term, None);
            return;
        }
        let wanted = types::Term(self.hard_state.term.0 + 1);
        let State::PreCandidate { votes } = &mut self.state else {
            return;
        };
        if !granted || term != wanted {
            return;
        }
        votes.insert(from);
        let votes = votes.clone();
        if self.is_majority(&votes) {
            self.campaign(now, false);
        }
    }

    /// Gives at most one vote in a term, and none while a leader is heard unless that leader itself
    /// asked for the election.
    pub(super) fn on_vote(&mut self, now: time::Instant, from: types::VmId, vote: &VoteRequest) {
        if !vote.transfer && self.hears_leader(now) {
            return;
        }
        if vote.term > self.hard_state.term {
            let led = matches!(self.state, State::Leader(_));
            let election_at = self.election_at;
            self.become_follower(now, vote.term, None);
            if !led {
                // Only a given vote postpones the own election.
                self.election_at = election_at;
            }
        }
        let term = self.hard_state.term;
        let free = self.hard_state.voted_for.is_none_or(|vm| vm == from);
        let granted = vote.term == term && free && self.is_up_to_date(vote);
        if granted {
            if self.hard_state.voted_for.is_none() {
                self.write_hard_state(storage::HardState {
                    term,
                    voted_for: Some(from),
                });
            }
            self.reset_election(now);
        }
        self.send_after_vote(from, Message::VoteReply { term, granted });
    }

    pub(super) fn on_vote_reply(
        &mut self,
        now: time::Instant,
        from: types::VmId,
        term: types::Term,
        granted: bool,
    ) {
        if term > self.hard_state.term {
            self.become_follower(now, term, None);
            return;
        }
        let State::Candidate { votes } = &mut self.state else {
            return;
        };
        if !granted || term != self.hard_state.term {
            return;
        }
        votes.insert(from);
        let votes = votes.clone();
        // The own vote is part of the majority only once it is durable.
        if votes.contains(&self.cfg.id) && self.is_majority(&votes) {
            self.become_leader(now);
        }
    }
}
