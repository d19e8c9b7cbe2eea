//! Proposals of commands.

use bytes::Bytes;

use super::node::{Node, ProposeError, State};
use crate::{storage, time, types};

impl Node {
    /// Appends a command to the log. [`super::Output::Apply`] with the returned index and the
    /// current term tells that it was accepted; [`super::Output::Rejected`] that it never will be.
    ///
    /// # Errors
    ///
    /// See [`ProposeError`]; nothing was stored when an error is returned.
    pub fn propose(
        &mut self,
        _now: time::Instant,
        command: Bytes,
    ) -> Result<types::LogIndex, ProposeError> {
        self.check_proposal(command.len())?;
        let index = self.append_own(storage::Payload::Command(command));
        self.proposed.insert(index, self.hard_state.term);
        Ok(index)
    }

    /// Checks whether this node takes proposals now.
    pub(super) fn check_proposal(&self, bytes: usize) -> Result<(), ProposeError> {
        let State::Leader(leader) = &self.state else {
            return Err(self.not_leader());
        };
        if bytes > self.cfg.max_command_bytes {
            return Err(ProposeError::TooLarge);
        }
        // Entries that others have committed may still wait for this node's own slow disk.
        let waiting = leader.uncommitted_bytes.max(self.outbox.pending_bytes());
        let full = waiting + bytes > self.cfg.max_uncommitted_bytes;
        if full || leader.handover.is_some() || self.disk_full {
            return Err(ProposeError::Busy);
        }
        Ok(())
    }
}
