//! Membership changes that the caller proposes on the leader, one VM at a time, and the replication
//! progress of each member.

use super::node::{Node, ProposeError, State};
use crate::{storage, time, types};

/// Membership change of one VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Adds a VM that receives the log but has no vote.
    AddLearner(types::VmId),
    /// Makes a learner that has caught up a voter.
    Promote(types::VmId),
    /// Removes a voter or learner.
    Remove(types::VmId),
}

/// Replication progress of one member, as tracked by the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// Last index that the member has synced.
    pub match_index: types::LogIndex,
    /// Whether the member lacks at most [`super::Config::promotion_lag`] entries, so that a learner
    /// can be promoted.
    pub caught_up: bool,
    /// When the leader last received a reply of its term from the member.
    pub last_contact: Option<time::Instant>,
}

impl Node {
    /// Proposes a membership change, which takes effect as soon as its entry is in the log.
    ///
    /// Only one change may be uncommitted at a time, so that the majorities before and after it
    /// overlap. Source: Ongaro's thesis, chapter 4.
    ///
    /// # Errors
    ///
    /// Returns [`ProposeError::NotLeader`] when this node does not lead, [`ProposeError::Busy`]
    /// while another change is uncommitted or proposals are refused, [`ProposeError::NotCaughtUp`]
    /// for a learner that lacks too many entries, and [`ProposeError::InvalidChange`] when the VM
    /// is not in the state that the change requires or is the last voter.
    pub fn propose_membership(
        &mut self,
        now: time::Instant,
        change: MembershipChange,
    ) -> Result<types::LogIndex, ProposeError> {
        self.check_proposal(0)?;
        let State::Leader(leader) = &self.state else {
            return Err(self.not_leader());
        };
        // Before the first commit of this term, a change of an earlier term may still be
        // uncommitted, and the majorities of the two changes need not overlap.
        let settled =
            self.commit >= leader.term_start && self.log.membership_index() <= self.commit;
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
        let index = self.append_as_leader(storage::Payload::Membership(members));
        self.refresh_peers(now);
        Ok(index)
    }

    /// Returns the progress of another member, or `None` when this node does not lead or `vm` is
    /// not such a member.
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
