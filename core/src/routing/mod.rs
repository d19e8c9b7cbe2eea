//! Routes as one versioned configuration that operators replace or amend.
//!
//! [`Table`] is a deterministic state machine: a [`Change`] is accepted only on top of the version
//! that it names, so that of racing operators one wins. Digests of accepted changes answer resends.

mod change;
mod index;
mod table;
mod validate;

use std::time;

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

pub use self::change::{Change, ChangeKind, ChangeResult, ConfigItems};
pub use self::index::Index;
pub use self::table::Table;
pub use self::validate::ValidationError;
use crate::types;

/// Version of a configuration, chosen by the operator; 0 before the first one.
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
    From,
    Into,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

/// One part of a split route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// Service that receives the part.
    pub service: types::ServiceName,
    /// Size of the part relative to the others.
    pub weight: f64,
}

/// How callers reach a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the host that callers ask for.
    pub host: String,
    /// Beginning of the paths of this route; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether a call may run more than once.
    pub repeatable: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout: time::Duration,
    /// Time within which an answer is of full use.
    pub objective: time::Duration,
    /// Rank of the route; 0 is the most urgent.
    pub priority: u32,
    /// Largest number of targets that one call may be sent to.
    pub max_attempts: u32,
    /// Services and their parts of the calls.
    pub shares: Vec<Share>,
    /// The operator's text of this item, returned as it came.
    pub document: String,
}

/// A service that routes refer to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Path of the targets' health endpoint.
    pub health_path: String,
    /// Connections that a target accepts from all VMs together.
    pub max_connections: u32,
    /// The operator's text of this item, returned as it came.
    pub document: String,
}

/// Bounds on what callers send.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest head of a request in bytes.
    pub header_bytes: usize,
    /// Largest body of a request in bytes.
    pub body_bytes: u64,
    /// Time within which the head must be complete.
    pub header_timeout: time::Duration,
    /// Time that a connection may stay idle.
    pub idle_timeout: time::Duration,
    /// The operator's text of this item, returned as it came.
    pub document: String,
}

impl Default for CallerLimits {
    fn default() -> Self {
        CallerLimits {
            header_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            header_timeout: time::Duration::from_secs(3),
            idle_timeout: time::Duration::from_secs(15),
            document: String::new(),
        }
    }
}
