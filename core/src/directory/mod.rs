//! Directory of targets: registration at gateways, merging on the leader, distribution to gateways.
//!
//! A target registers by announcing itself to one gateway ([`RegisteredTargets`]). Each gateway
//! reports the changes of its registered targets to the leader of group 0, which merges them into
//! the [`Directory`] and sends its changes to all gateways, where they are applied to a [`View`].
//! Normally only changes are sent; digests detect lost changes, and then a full list is sent.

mod digest;
mod leader;
mod registered;
mod target;
mod tombstones;
mod view;

use std::time;

use derive_more::Display;

use crate::types;

pub use digest::Digest;
pub use leader::Directory;
pub use registered::{Refusal, RegisteredTargets};
pub use target::{Announcement, Key, Load, State, Target};
pub use view::{TargetChange, View, ViewComparison};

/// Settings of the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Time after which a target is removed from its gateway if it sends no announcement, and the
    /// targets of a gateway from the directory if the gateway does not renew its lease.
    pub ttl: time::Duration,
    /// Maximum time for which a new leader waits for the gateways' registered targets.
    pub rebuild_timeout: time::Duration,
    /// Time for which the incarnation and state of a removed target are kept, so that late
    /// announcements are recognised.
    pub tombstone_ttl: time::Duration,
    /// Maximum number of targets of one gateway, and of the directory.
    pub max_targets: usize,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            ttl: time::Duration::from_secs(3),
            rebuild_timeout: time::Duration::from_secs(3),
            tombstone_ttl: time::Duration::from_secs(60),
            max_targets: 4096,
        }
    }
}

/// Version of the directory, ordered by term first. The sequence restarts with each leader.
///
/// The default version, 0.0, requests the full list.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{term}.{sequence}")]
pub struct Version {
    /// Term of the leader.
    pub term: types::Term,
    /// Number of the change within the term.
    pub sequence: u64,
}

/// Change of a gateway's registered targets, sent to the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Number of the change within the gateway's incarnation, starting at 1.
    pub sequence: u64,
    /// Update of the target that changed.
    pub update: TargetUpdate,
}

/// Update of one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetUpdate {
    /// The target is new or its state changed.
    Set(Target),
    /// The target was removed.
    Gone {
        /// Key of the target.
        key: Key,
        /// Incarnation that was removed.
        incarnation: types::Incarnation,
    },
}

/// All registered targets of a gateway, sent to the leader when the digests differ.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct List {
    /// Sequence of the last change that the list includes.
    pub sequence: u64,
    /// The targets.
    pub targets: Vec<Target>,
}

/// Changes of the directory, sent to one gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delta {
    /// Version that the changes are based on.
    pub from: Version,
    /// Version after the changes.
    pub to: Version,
    /// Whether the updates list all targets; targets that are not listed are removed then.
    pub full: bool,
    /// Updates, at most one for each target.
    pub updates: Vec<TargetUpdate>,
}
