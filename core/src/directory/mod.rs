//! Targets: announcements, vouching and spread of changes.
//!
//! A target announces itself to one gateway, which vouches for it to the leader of group 0. The
//! leader merges what the gateways vouch for into the directory and spreads its changes. Only
//! changes travel; digests find what was lost on the way.

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
    /// How long a target or a gateway's word for it counts without being renewed.
    pub ttl: time::Duration,
    /// Longest time in which a new leader collects what the gateways vouch for.
    pub rebuild_timeout: time::Duration,
    /// How long the incarnation of a target that left is remembered, so that a late announcement
    /// of an earlier incarnation is recognised.
    pub tombstone_ttl: time::Duration,
    /// Targets that one gateway or the directory accepts.
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

/// Version of the directory; the sequence starts anew with each leader. The term orders before
/// the sequence.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{term}.{sequence}")]
pub struct Version {
    /// Term of the leader.
    pub term: types::Term,
    /// Number of the change within the term.
    pub sequence: u64,
}

/// Change of what a gateway vouches for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Number of the change within the gateway's incarnation, from 1.
    pub sequence: u64,
    /// What changed.
    pub update: TargetUpdate,
}

/// News of one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetUpdate {
    /// The target joined or changed its state.
    Set(Target),
    /// The target left.
    Gone {
        /// The target.
        key: Key,
        /// Its incarnation.
        incarnation: types::Incarnation,
    },
}

/// All targets that a gateway vouches for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct List {
    /// Last change that the list contains.
    pub sequence: u64,
    /// The targets.
    pub targets: Vec<Target>,
}

/// Changes of the directory for one gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delta {
    /// Version that the changes start from.
    pub from: Version,
    /// Version that they lead to.
    pub to: Version,
    /// Whether these are all targets.
    pub full: bool,
    /// What changed, one item for each target.
    pub updates: Vec<TargetUpdate>,
}
