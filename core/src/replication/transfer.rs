//! Leadership transfer. Source: Ongaro's thesis, section 3.10.

use super::Message;
use super::node::{Node, State};
use crate::{time, types};

/// A leadership transfer in progress.
#[derive(Debug)]
pub(super) struct Handover {
    pub(super) to: types::VmId,
    pub(super) deadline: time::Instant,
    /// Whether the other node was asked to run.
    pub(super) asked: bool,
}

impl Node {
    /// Hands leadership to `to`, or to the voter with the longest log. Proposals are refused as
    /// busy until the transfer ends. Without a suitable voter nothing happens.
    ///
    /// Before the other node is asked to run, this leader gives up its lease for the rest of the
    /// term, since that request may arrive late.
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
        if leader.handover.is_some() {
            return;
        }
        let asked = false;
        leader.handover = Some(Handover {
            to,
            deadline,
            asked,
        });
        self.replicate(to);
        self.advance_handover(now);
    }

    /// Returns the voter with the longest synced log among those heard recently.
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

    /// Asks the other node to run once its log is complete.
    pub(super) fn advance_handover(&mut self, _now: time::Instant) {
        let last = self.log.last_index();
        let term = self.hard_state.term;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(handover) = &mut leader.handover else {
            return;
        };
        let complete = leader
            .peers
            .get(&handover.to)
            .is_some_and(|peer| peer.match_index >= last);
        if handover.asked || !complete {
            return;
        }
        handover.asked = true;
        leader.lease_forfeited = true;
        self.outbox.send(handover.to, Message::TimeoutNow { term });
    }

    /// Ends a transfer that took too long. A leader that has given up its lease steps down.
    pub(super) fn tick_handover(&mut self, now: time::Instant) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(handover) = &leader.handover else {
            return;
        };
        if now < handover.deadline {
            return;
        }
        let asked = handover.asked;
        leader.handover = None;
        if asked {
            self.become_follower(now, self.hard_state.term, None);
        }
    }

    /// Steps down at once, after asking the best successor to run.
    pub(super) fn resign(&mut self, now: time::Instant) {
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

    /// Runs for leader at the leader's request, without pre-vote.
    pub(super) fn on_timeout_now(
        &mut self,
        now: time::Instant,
        from: types::VmId,
        term: types::Term,
    ) {
        let asked = term == self.hard_state.term && self.leader == Some(from);
        let voter = self.log.membership().voters.contains(&self.cfg.id);
        if asked && voter && !self.disk_full && matches!(self.state, State::Follower) {
            self.campaign(now, true);
        }
    }
}
