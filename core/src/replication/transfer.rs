//! Leadership transfer to another voter, at the caller's request or because the disk is full.
//! Source: Ongaro's thesis, section 3.10.

use super::Message;
use super::node::{Node, State};
use crate::{time, types};

/// A leadership transfer in progress.
#[derive(Debug)]
pub(super) struct LeadershipTransfer {
    /// Voter that is to become leader.
    pub(super) to: types::VmId,
    /// When the transfer has failed.
    pub(super) deadline: time::Instant,
    /// Whether [`Message::TimeoutNow`] was sent, which makes the other node campaign.
    pub(super) timeout_now_sent: bool,
}

impl Node {
    /// Transfers leadership to `to`, or without it to the voter with the longest log. Proposals are
    /// refused with [`super::ProposeError::Busy`] until the transfer ends. Without a suitable voter
    /// the call has no effect.
    ///
    /// When it requests the election, this leader releases its lease for the rest of the term,
    /// because the request may arrive late.
    pub fn transfer_leadership(&mut self, now: time::Instant, to: Option<types::VmId>) {
        let to = to.or_else(|| self.best_successor(now));
        let deadline = now + self.cfg.election_max;
        let voters = &self.log.membership().voters;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(to) = to.filter(|vm| leader.peers.contains_key(vm) && voters.contains(vm)) else {
            return;
        };
        if leader.leadership_transfer.is_some() {
            return;
        }
        let timeout_now_sent = false;
        leader.leadership_transfer = Some(LeadershipTransfer {
            to,
            deadline,
            timeout_now_sent,
        });
        self.replicate(to);
        self.advance_leadership_transfer(now);
    }

    /// Returns the voter with the longest synced log among those that replied within the minimum
    /// election timeout.
    fn best_successor(&self, now: time::Instant) -> Option<types::VmId> {
        let voters = &self.log.membership().voters;
        let State::Leader(leader) = &self.state else {
            return None;
        };
        let recent = now.saturating_sub(self.cfg.election_min);
        let candidates = leader.peers.iter().filter(|(vm, peer)| {
            voters.contains(vm)
                && peer
                    .last_contact
                    .is_some_and(|last_contact| last_contact >= recent)
        });
        let best = candidates.max_by_key(|(_, peer)| peer.match_index);
        best.map(|(vm, _)| *vm)
    }

    /// Requests an election by the other node once its log is complete.
    pub(super) fn advance_leadership_transfer(&mut self, _now: time::Instant) {
        let last = self.log.last_index();
        let term = self.hard_state.term;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(leadership_transfer) = &mut leader.leadership_transfer else {
            return;
        };
        let complete = leader
            .peers
            .get(&leadership_transfer.to)
            .is_some_and(|peer| peer.match_index >= last);
        if leadership_transfer.timeout_now_sent || !complete {
            return;
        }
        leadership_transfer.timeout_now_sent = true;
        leader.lease_released = true;
        self.outbox
            .send(leadership_transfer.to, Message::TimeoutNow { term });
    }

    /// Ends a transfer whose deadline has passed. A leader that has released its lease steps down.
    pub(super) fn expire_leadership_transfer(&mut self, now: time::Instant) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(leadership_transfer) = &leader.leadership_transfer else {
            return;
        };
        if now < leadership_transfer.deadline {
            return;
        }
        let timeout_now_sent = leadership_transfer.timeout_now_sent;
        leader.leadership_transfer = None;
        if timeout_now_sent {
            self.become_follower(now, self.hard_state.term, None);
        }
    }

    /// Requests an election by the best successor and steps down without waiting for it.
    pub(super) fn step_down(&mut self, now: time::Instant) {
        let term = self.hard_state.term;
        if matches!(self.state, State::Leader(_))
            && let Some(to) = self.best_successor(now)
        {
            self.outbox.send(to, Message::TimeoutNow { term });
        }
        if !matches!(self.state, State::Follower) {
            self.become_follower(now, term, None);
        }
    }

    /// Campaigns without pre-vote at the request of the current leader.
    pub(super) fn on_timeout_now(
        &mut self,
        now: time::Instant,
        from: types::VmId,
        term: types::Term,
    ) {
        let from_leader = term == self.hard_state.term && self.leader == Some(from);
        let voter = self.log.membership().voters.contains(&self.cfg.id);
        if from_leader && voter && !self.disk_full && matches!(self.state, State::Follower) {
            self.campaign(now, true);
        }
    }
}
