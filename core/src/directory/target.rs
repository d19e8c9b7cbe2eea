//! A target as it announces itself.

use std::net;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::directory::digest;
use crate::types;

/// Identifies a target.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{service}/{id}")]
pub struct Key {
    /// Its service.
    pub service: types::ServiceName,
    /// Its id within the service.
    pub id: types::TargetId,
}

/// State of a target. Within an incarnation it only moves forward in this order, so that late
/// and reordered announcements change nothing.
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
    /// Not ready for calls.
    #[default]
    #[display("starting")]
    Starting,
    /// Ready for calls.
    #[display("serving")]
    Serving,
    /// Finishes its calls and takes no new ones.
    #[display("draining")]
    Draining,
}

/// A target. All fields but the state are fixed for an incarnation; the first announcement counts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Service and id.
    pub key: Key,
    /// Incarnation, increasing with each start.
    pub incarnation: types::Incarnation,
    /// Address for calls.
    pub address: net::SocketAddr,
    /// Its failure domain.
    pub failure_domain: types::FailureDomain,
    /// Calls that it runs at the same time.
    pub slots: u32,
    /// Its state.
    pub state: State,
}

impl Target {
    /// Returns whether `self` is a later word than `known` about the same target.
    pub(crate) fn supersedes(&self, known: &Target) -> bool {
        (self.incarnation, self.state) > (known.incarnation, known.state)
    }

    /// Takes over a later word; within an incarnation only the state changes.
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

/// Load that a target reports about itself. It stays on the gateway that received it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Calls in flight.
    pub in_flight: u32,
    /// Calls that wait.
    pub queue: u32,
    /// Recent latency in microseconds.
    pub latency_us: u64,
}

/// Announcement of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// The target.
    pub target: Target,
    /// Its load, if it reports one.
    pub load: Option<Load>,
}
