//! Messages between the holder of a lease (a gateway) and the grantor (the leader of group 0).

use std::time;

use derive_more::Display;

use crate::{directory, types};

/// Request of a gateway for a lease, or for its extension.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Renewal {
    /// VM of the gateway.
    pub vm: types::VmId,
    /// Incarnation of the gateway process.
    pub incarnation: types::Incarnation,
    /// Number of this renewal within the incarnation, from 1.
    pub sequence: u64,
    /// Registry revision that the gateway has applied.
    pub revision: types::Revision,
    /// Directory version that the gateway has applied; zero requests the full list.
    pub directory: directory::Version,
    /// Digest of the targets that are registered at the gateway.
    pub registered_targets_digest: directory::Digest,
    /// Number of targets that are registered at the gateway.
    pub registered_targets_count: u32,
    /// Whether the gateway releases its lease because it is being stopped.
    pub release: bool,
}

/// State of the leader that a grant reports to the gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaderStatus {
    /// Current registry revision.
    pub revision: types::Revision,
    /// Current directory version.
    pub directory: directory::Version,
    /// Digest of the directory; `None` while it is being rebuilt after a change of leader.
    pub digest: Option<directory::Digest>,
    /// Whether the gateway must send the list of its registered targets.
    pub list_wanted: bool,
}

/// Grant of a lease, the reply to a [`Renewal`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Sequence of the granted renewal.
    pub sequence: u64,
    /// Length of the lease, measured by the holder from when it sent the renewal.
    pub length: time::Duration,
    /// Number of times that the VM's lease passed to another incarnation or was granted again after
    /// its end.
    pub transitions: u32,
    /// State of the leader at the time of the grant.
    pub current: LeaderStatus,
}

/// Reason why a lease was not granted.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Refusal {
    /// The replying VM has no valid leader lease. The gateway looks for the leader.
    #[display("the VM is not the leader of group 0")]
    NotLeader,
    /// The VM is not registered, or is being removed.
    #[display("the VM is not registered or is being removed")]
    NotRegistered,
    /// A later incarnation of the VM has sent a renewal. A new process needs a higher incarnation.
    #[display("superseded by incarnation {incarnation}")]
    Superseded {
        /// The later incarnation.
        incarnation: types::Incarnation,
    },
    /// The renewal is a duplicate or arrived after a later one.
    #[display("a later renewal has already arrived")]
    Stale,
    /// The gateway must first apply the changes up to this revision.
    #[display("revision {revision} must be applied first")]
    Behind {
        /// Lowest revision with which a renewal is granted.
        revision: types::Revision,
    },
}
