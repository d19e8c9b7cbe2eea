//! Durable state of a replicated group: log entries, term and vote, snapshots, and the operations
//! that change them.

use std::collections;

use bytes::Bytes;

use crate::types;

/// Voters and learners of a replicated group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Membership {
    /// VMs that vote and count towards a quorum.
    pub voters: collections::BTreeSet<types::VmId>,
    /// VMs that receive the log but have no vote.
    pub learners: collections::BTreeSet<types::VmId>,
}

impl Membership {
    /// Returns a membership with the given voters and no learner.
    pub fn of_voters(voters: impl IntoIterator<Item = types::VmId>) -> Membership {
        Membership {
            voters: voters.into_iter().collect(),
            learners: collections::BTreeSet::new(),
        }
    }

    /// Returns the number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether `vm` is a voter or a learner.
    pub fn contains(&self, vm: types::VmId) -> bool {
        self.voters.contains(&vm) || self.learners.contains(&vm)
    }

    /// Returns an iterator over the voters and then the learners, each in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = types::VmId> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Payload {
    /// First entry of a leader's term. Committing it commits the entries of earlier terms.
    Noop,
    /// Command for the state machine.
    Command(Bytes),
    /// Membership that takes effect with this entry.
    Membership(Membership),
}

/// One entry of a replicated log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Position in the log.
    pub index: types::LogIndex,
    /// Term of the leader that created the entry.
    pub term: types::Term,
    /// Content.
    pub payload: Payload,
}

/// Approximate size in bytes of an entry without its command, in memory and on the wire.
const ENTRY_OVERHEAD_BYTES: usize = 32;

impl Entry {
    /// Returns the approximate encoded size in bytes, by which batches are limited.
    pub fn size(&self) -> usize {
        let payload = match &self.payload {
            Payload::Noop => 0,
            Payload::Command(command) => command.len(),
            Payload::Membership(members) => 8 * members.iter().count(),
        };
        ENTRY_OVERHEAD_BYTES + payload
    }
}

/// Term and vote, which must be durable across restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// Latest term seen.
    pub term: types::Term,
    /// Candidate to which this node granted its vote in `term`.
    pub voted_for: Option<types::VmId>,
}

/// Snapshot of the state machine with the log position that it covers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Last index that the snapshot covers.
    pub index: types::LogIndex,
    /// Term of the entry at `index`.
    pub term: types::Term,
    /// Membership in effect at `index`.
    pub membership: Membership,
    /// Encoded state machine.
    pub data: Bytes,
}

/// Change of the durable state. The operations of a batch are carried out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Replaces the term and the vote.
    HardState(HardState),
    /// Appends entries. The first one follows the last entry of the log or of the snapshot.
    Append {
        /// Entries with consecutive indices.
        entries: Vec<Entry>,
    },
    /// Removes the entries from `from` on.
    Truncate {
        /// First index to remove.
        from: types::LogIndex,
    },
    /// Stores a snapshot. Entries up to its index are no longer needed for recovery.
    Snapshot(Snapshot),
    /// Allows the deletion of files that contain only entries up to `through`.
    Compact {
        /// Last index that is no longer needed.
        through: types::LogIndex,
    },
}

/// Durable state of a group as read at start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// Term and vote.
    pub hard_state: HardState,
    /// Newest snapshot. At index 0 it contains the initial membership and no state.
    pub snapshot: Snapshot,
    /// Entries after the snapshot, with consecutive indices.
    pub entries: Vec<Entry>,
}

impl Recovered {
    /// Returns the initial state of a new group with the given membership.
    pub fn bootstrap(membership: Membership) -> Recovered {
        Recovered {
            snapshot: Snapshot {
                membership,
                ..Snapshot::default()
            },
            ..Recovered::default()
        }
    }
}
