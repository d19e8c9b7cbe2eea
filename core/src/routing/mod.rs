//! Routing configuration: routes, services, workspaces and limits under one version that operators change.
//!
//! [`Table`] decides whether a [`Change`] from the replicated log is accepted. It is a
//! deterministic state machine with compare-and-set on the version: a change must name the current
//! version as its base, so that only one of several concurrent changes succeeds. The digests of
//! accepted changes identify resent ones. [`Index`] finds the route of a call by host and path
//! prefix, and its workspace by API key.

mod change;
mod index;
mod table;
mod validate;
mod workspace;

use std::time;

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

pub use self::change::{Change, ChangeKind, ChangeResult, ConfigItems};
pub use self::index::{Index, NamedWorkspace};
pub use self::table::Table;
pub use self::validate::ValidationError;
pub use self::workspace::{Allowance, ApiKey, Workspace};
use crate::types;

/// Version of a configuration, chosen by the operator; 0 means that there is no configuration yet.
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

/// One service of a route whose calls are split by weight.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// Service that receives this share of the calls.
    pub service: types::ServiceName,
    /// Weight relative to the other shares of the route.
    pub weight: f64,
}

/// Maps calls to one host and path prefix to services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Host name of the calls, without a port.
    pub host: String,
    /// Path prefix of the calls; starts and ends with a slash.
    pub path_prefix: String,
    /// Whether calls are idempotent, so that a target may run one more than once.
    pub repeatable: bool,
    /// Time limit of a call from its arrival, including all attempts.
    pub timeout: time::Duration,
    /// Latency objective of a call.
    pub objective: time::Duration,
    /// Priority of the calls; 0 is the highest.
    pub priority: u32,
    /// Maximum number of attempts per call, each at another target.
    pub max_attempts: u32,
    /// Whether calls need no API key although the configuration has workspaces.
    #[serde(default)]
    pub public: bool,
    /// Services and the weights by which calls are split between them.
    pub shares: Vec<Share>,
    /// The item's text as submitted, returned to operators unchanged.
    pub document: String,
}

/// A service that routes refer to by name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Path of the health endpoint of the service's targets.
    pub health_path: String,
    /// Maximum number of connections that a target accepts from all VMs together.
    pub max_connections: u32,
    /// Limit on the calls of targets that are cold; `None` if cold targets take any load.
    #[serde(default)]
    pub warmup: Option<Warmup>,
    /// The item's text as submitted, returned to operators unchanged.
    pub document: String,
}

/// What the targets of a service tolerate while they are cold.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Warmup {
    /// Time for which a target is cold after its start. Targets themselves tell how long they stay
    /// cold; decisions go by that.
    pub duration: time::Duration,
    /// Calls per second that a cold target tolerates, from all VMs together.
    pub calls_per_second: f64,
}

/// Limits on callers' connections and requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: u64,
    /// Time within which a request head must be received completely.
    pub header_timeout: time::Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: time::Duration,
    /// The item's text as submitted, returned to operators unchanged.
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
