//! Membership changes, one VM at a time.

use super::node::{Node, ProposeError, State};
use crate::{storage, time, types};

/// Change of the membership by one VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Adds a VM that receives the log without a vote.
    AddLearner(types::VmId),
    /// Gives a learner that has caught up a vote.
    Promote(types::VmId),
    /// Removes a voter or learner.
    Remove(types::VmId),
}

/// Progress of one member as known to the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// Last index that the member has synced.
    pub match_index: types::LogIndex,
    /// Whether a learner has caught up far enough to be promoted.
    pub caught_up: bool,
    /// When the member was last heard.
    pub last_contact: Option<time::Instant>,
}

impl Node {
    /// Proposes a change of the membership; it is in force as soon as it is in the log.
    ///
    /// Only one change may be uncommitted at a time, so that the majorities before and after it
    /// overlap. Source: Ongaro's thesis, chapter 4.
    ///
    /// # Errors
    ///
    /// `Busy` while another change is uncommitted, `NotCaughtUp` for a learner that lacks entries,
    /// `InvalidChange` when the VM has the wrong state or is the last voter.
    pub fn propose_membership(
        &mut self,
        now: time::Instant,
        change: MembershipChange,
    ) -> Result<types::LogIndex, ProposeError> {
        self.check_proposal(0)?;
        let State::Leader(leader) = &self.state else {
            return Err(self.not_leader());
        };
        // A change before the first commit of the term could overlap with one of an earlier term.
        let settled = self.commit >= leader.first && self.log.membership_index() <= self.commit;
        if !settled {
            return Err(ProposeError::Busy);
        }
        let mut members = self.log.membership().clone();
        match change {
            MembershipChange::AddLearner(vm) => {
                if members.contains(vm) {
                    return Err(ProposeError::InvalidChange);
                }
                members.learners.insert(vm);
            }
            MembershipChange::Promote(vm) => {
                if !members.learners.remove(&vm) {
                    return Err(ProposeError::InvalidChange);
                }
                if !self.peer(vm).is_some_and(|status| status.caught_up) {
                    return Err(ProposeError::NotCaughtUp);
                }
                members.voters.insert(vm);
            }
            MembershipChange::Remove(vm) => {
                let voter = members.voters.remove(&vm);
                let learner = members.learners.remove(&vm);
                if members.voters.is_empty() || !(voter || learner) {
                    return Err(ProposeError::InvalidChange);
                }
            }
        }
        let index = self.append_own(storage::Payload::Membership(members));
        self.refresh_peers(now);
        Ok(index)
    }

    /// Returns the progress of a member, or `None` when this node does not lead or knows no such
    /// member.
    pub fn peer(&self, vm: types::VmId) -> Option<PeerStatus> {
        let State::Leader(leader) = &self.state else {
            return None;
        };
        let peer = leader.peers.get(&vm)?;
        let lag = self.log.last_index().0.saturating_sub(peer.match_index.0);
        Some(PeerStatus {
            match_index: peer.match_index,
            caught_up: peer.match_index.0 > 0 && lag <= self.cfg.promotion_lag,
            last_contact: peer.last_contact,
        })
    }
}
