//! What grantor and holder tell each other.

use std::time;

use derive_more::Display;

use crate::{directory, types};

/// A gateway's request for a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Renewal {
    /// The gateway.
    pub vm: types::VmId,
    /// Its incarnation.
    pub incarnation: types::Incarnation,
    /// Number of this renewal within the incarnation, from 1.
    pub sequence: u64,
    /// Registry revision that the gateway has applied.
    pub revision: types::Revision,
    /// Directory version that it has applied; zero asks for the full list.
    pub directory: directory::Version,
    /// Digest of the targets that it vouches for.
    pub vouched: directory::Digest,
    /// Number of targets that it vouches for.
    pub vouched_count: u32,
    /// Whether the gateway gives up its lease because it is being stopped.
    pub release: bool,
}

/// State of the leader that a grant tells the gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaderStatus {
    /// Registry revision.
    pub revision: types::Revision,
    /// Directory version.
    pub directory: directory::Version,
    /// Digest of the directory; `None` while it is being rebuilt after a change of leader.
    pub digest: Option<directory::Digest>,
    /// Whether the gateway must send the list of the targets that it vouches for.
    pub list_wanted: bool,
}

/// A lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Sequence of the renewal that is answered.
    pub sequence: u64,
    /// Length, counted by the holder from the moment it sent the renewal.
    pub length: time::Duration,
    /// How often the VM's lease has passed to another incarnation or been taken up again after it
    /// had ended.
    pub transitions: u32,
    /// State of the leader.
    pub current: LeaderStatus,
}

/// Why a lease was not granted.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Refusal {
    /// The answering VM has no valid leader lease; the gateway looks for the leader.
    #[display("not the leader of group 0")]
    NotLeader,
    /// The VM is not registered, or is being removed.
    #[display("VM is not registered")]
    NotRegistered,
    /// A later incarnation of the VM has renewed; a new process needs a larger incarnation.
    #[display("superseded by incarnation {incarnation}")]
    Superseded {
        /// That incarnation.
        incarnation: types::Incarnation,
    },
    /// The renewal is a duplicate or was overtaken by a later one.
    #[display("renewal was overtaken")]
    Stale,
    /// The gateway must apply the changes up to this revision first.
    #[display("revision {revision} must be applied first")]
    Behind {
        /// That revision.
        revision: types::Revision,
    },
}
