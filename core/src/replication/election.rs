//! Leader elections with pre-vote: decides when a node campaigns and which votes it grants. Inputs
//! are the election timer and the vote messages of other nodes.

use std::collections;

use super::node::{Node, State};
use super::{Message, VoteRequest};
use crate::{storage, time, types};

impl Node {
    /// Returns whether this node may become leader: it is a voter and its disk is not full.
    fn may_campaign(&self) -> bool {
        !self.disk_full && self.log.membership().voters.contains(&self.cfg.id)
    }

    /// Returns whether this node leads or has received a leader's message within the minimum
    /// election timeout. The lease of that leader relies on this node granting no vote for so long.
    fn has_recent_leader(&self, now: time::Instant) -> bool {
        matches!(self.state, State::Leader(_)) || now < self.leader_contact + self.cfg.election_min
    }

    /// Returns whether the candidate's log is at least as up to date as the log of this node.
    fn is_up_to_date(&self, vote: &VoteRequest) -> bool {
        (vote.last_term, vote.last_index) >= (self.log.last_term(), self.log.last_index())
    }

    fn vote_request(&self, term: types::Term, transfer: bool) -> VoteRequest {
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

    /// Becomes a follower in `term`, which is the current term or a later one.
    pub(super) fn become_follower(
        &mut self,
        now: time::Instant,
        term: types::Term,
        leader: Option<types::VmId>,
    ) {
        if term > self.hard_state.term {
            let voted_for = None;
            self.write_hard_state(storage::HardState { term, voted_for });
            self.incoming_snapshot = None;
        }
        if let State::Leader(state) = std::mem::replace(&mut self.state, State::Follower) {
            self.led_until = now;
            self.fail_reads(*state);
        }
        self.leader = leader;
        // Committed entries agree with the log of every later leader.
        self.verified = self.commit;
        self.round = 0;
        self.ack_due = false;
        self.reset_election(now);
    }

    /// Starts a pre-vote, because no message of a leader arrived within the election timeout. A
    /// sole voter campaigns directly.
    pub(super) fn election_timeout(&mut self, now: time::Instant) {
        self.reset_election(now);
        self.leader = None;
        if !self.may_campaign() {
            self.state = State::Follower;
            return;
        }
        let votes = collections::BTreeSet::from([self.cfg.id]);
        if self.is_majority(&votes) {
            self.campaign(now, false);
            return;
        }
        self.state = State::PreCandidate { votes };
        let request = self.vote_request(types::Term(self.hard_state.term.0 + 1), false);
        for vm in self.other_voters() {
            self.outbox.send(vm, Message::PreVote(request.clone()));
        }
    }

    /// Campaigns to become leader in the next term. This node's own vote counts once it is synced.
    pub(super) fn campaign(&mut self, now: time::Instant, transfer: bool) {
        let term = types::Term(self.hard_state.term.0 + 1);
        self.become_follower(now, term, None);
        self.write_hard_state(storage::HardState {
            term,
            voted_for: Some(self.cfg.id),
        });
        let votes = collections::BTreeSet::new();
        let idle = std::time::Duration::MAX;
        self.state = State::Candidate { votes, idle };
        let request = self.vote_request(term, transfer);
        for vm in self.other_voters() {
            self.send_after_hard_state(vm, Message::Vote(request.clone()));
        }
    }

    /// Counts this node's vote for itself once the vote is durable.
    pub(super) fn count_own_vote(&mut self, now: time::Instant) {
        if self.outbox.is_synced(self.hard_state_ticket) {
            let (own, term) = (self.cfg.id, self.hard_state.term);
            self.on_vote_reply(now, own, term, true, self.idle(now));
        }
    }

    /// Returns the time since this node last acknowledged a leader's round, led or started.
    fn idle(&self, now: time::Instant) -> std::time::Duration {
        now.since(self.leader_contact.max(self.led_until))
    }

    /// Replies whether this node would grant a vote. It sends no reply while it has a recent
    /// leader, so that a VM that was disconnected cannot depose that leader.
    pub(super) fn on_pre_vote(
        &mut self,
        now: time::Instant,
        from: types::VmId,
        vote: &VoteRequest,
    ) {
        if self.has_recent_leader(now) {
            return;
        }
        let current = self.hard_state.term;
        let granted = vote.term > current && self.is_up_to_date(vote);
        let term = if granted { vote.term } else { current };
        self.send_after_hard_state(from, Message::PreVoteReply { term, granted });
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

    /// Grants at most one vote per term. It ignores the request while it has a recent leader,
    /// unless that leader itself requested the election.
    pub(super) fn on_vote(&mut self, now: time::Instant, from: types::VmId, vote: &VoteRequest) {
        if !vote.transfer && self.has_recent_leader(now) {
            return;
        }
        if vote.term > self.hard_state.term {
            let was_leader = matches!(self.state, State::Leader(_));
            let election_at = self.election_at;
            self.become_follower(now, vote.term, None);
            if !was_leader {
                // Only a granted vote postpones this node's own election.
                self.election_at = election_at;
            }
        }
        let term = self.hard_state.term;
        let vote_available = self.hard_state.voted_for.is_none_or(|vm| vm == from);
        let granted = vote.term == term && vote_available && self.is_up_to_date(vote);
        if granted {
            if self.hard_state.voted_for.is_none() {
                self.write_hard_state(storage::HardState {
                    term,
                    voted_for: Some(from),
                });
            }
            self.reset_election(now);
        }
        let idle = self.idle(now);
        let reply = Message::VoteReply {
            term,
            granted,
            idle,
        };
        self.send_after_hard_state(from, reply);
    }

    pub(super) fn on_vote_reply(
        &mut self,
        now: time::Instant,
        from: types::VmId,
        term: types::Term,
        granted: bool,
        idle: std::time::Duration,
    ) {
        if term > self.hard_state.term {
            self.become_follower(now, term, None);
            return;
        }
        let State::Candidate {
            votes,
            idle: shortest,
        } = &mut self.state
        else {
            return;
        };
        if !granted || term != self.hard_state.term {
            return;
        }
        votes.insert(from);
        *shortest = idle.min(*shortest);
        let (votes, idle) = (votes.clone(), *shortest);
        // The majority must include this node's own vote, which counts only once it is durable.
        if votes.contains(&self.cfg.id) && self.is_majority(&votes) {
            self.become_leader(now, idle);
        }
    }
}
