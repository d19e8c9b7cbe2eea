//! The data that a target announces: key, incarnation, address, state and load.

use std::net;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::directory::digest;
use crate::types;

/// Service and id of a target, which identify it.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{service}/{id}")]
pub struct Key {
    /// Service that the target runs.
    pub service: types::ServiceName,
    /// Id of the target, unique within the service.
    pub id: types::TargetId,
}

/// State of a target.
///
/// Within an incarnation the state only advances in the order of the variants, so that late and
/// reordered announcements have no effect.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Not ready for calls yet.
    #[default]
    #[display("starting")]
    Starting,
    /// Ready for calls.
    #[display("serving")]
    Serving,
    /// Finishes its calls in flight and accepts no new ones.
    #[display("draining")]
    Draining,
}

/// A target.
///
/// All fields except the state are fixed within an incarnation: later announcements do not change
/// them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Service and id.
    pub key: Key,
    /// Incarnation, which increases with each start of the target.
    pub incarnation: types::Incarnation,
    /// Address for calls.
    pub address: net::SocketAddr,
    /// Failure domain of the target.
    pub failure_domain: types::FailureDomain,
    /// Number of calls that the target runs at the same time.
    pub slots: u32,
    /// State of the target.
    pub state: State,
}

impl Target {
    /// Returns whether `self` has a later incarnation or state than `other`, which is the same target.
    pub(crate) fn supersedes(&self, other: &Target) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }

    /// Replaces `self` with a later incarnation, or takes over its state within one incarnation.
    pub(crate) fn update(&mut self, later: &Target) {
        if later.incarnation > self.incarnation {
            *self = later.clone();
        } else {
            self.state = later.state;
        }
    }

    pub(crate) fn digest(&self) -> u64 {
        let mut hash = digest::Hash::default();
        hash.text(self.key.service.as_str());
        hash.text(self.key.id.as_str());
        hash.number(self.incarnation.0);
        hash.text(&self.address.to_string());
        hash.text(self.failure_domain.as_str());
        hash.number(u64::from(self.slots));
        hash.number(self.state as u64);
        hash.finish()
    }
}

/// Load that a target reports with its announcement. The gateway that receives it does not forward
/// it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Calls in flight.
    pub in_flight: u32,
    /// Calls in the target's queue.
    pub queue: u32,
    /// Recent latency in microseconds.
    pub latency_us: u64,
}

/// Announcement that a target sends to a gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// The target.
    pub target: Target,
    /// Load of the target, if it reports one.
    pub load: Option<Load>,
}
