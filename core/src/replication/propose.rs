//! Command proposals: checks whether the leader accepts a command of the caller and appends it.

use bytes::Bytes;

use super::node::{Node, ProposeError, State};
use crate::{storage, time, types};

impl Node {
    /// Appends a command to the log and returns its index. [`super::Output::Apply`] with that index
    /// and the current term reports that the command is committed, and [`super::Output::Rejected`]
    /// that it never will be.
    ///
    /// # Errors
    ///
    /// Returns [`ProposeError`] when the command is refused; nothing is stored in that case.
    pub fn propose(
        &mut self,
        _now: time::Instant,
        command: Bytes,
    ) -> Result<types::LogIndex, ProposeError> {
        self.check_proposal(command.len())?;
        let index = self.append_as_leader(storage::Payload::Command(command));
        self.pending_proposals.insert(index, self.hard_state.term);
        Ok(index)
    }

    /// Checks whether this node currently accepts a proposal of `bytes` bytes.
    pub(super) fn check_proposal(&self, bytes: usize) -> Result<(), ProposeError> {
        let State::Leader(leader) = &self.state else {
            return Err(self.not_leader());
        };
        if bytes > self.cfg.max_command_bytes {
            return Err(ProposeError::TooLarge);
        }
        // Entries that the other voters have committed may still wait for this node's own slow
        // disk.
        let waiting = leader.uncommitted_bytes.max(self.outbox.pending_bytes());
        let full = waiting + bytes > self.cfg.max_uncommitted_bytes;
        if full || leader.leadership_transfer.is_some() || self.disk_full {
            return Err(ProposeError::Busy);
        }
        Ok(())
    }
}
