//! Workspaces: customers of a deployment whose calls carry an API key.

use std::fmt;

use derive_more::{From, Into};
use serde::{Deserialize, Serialize};

/// A secret API key of a workspace. Its debug output does not show the key.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, From, Into, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ApiKey(String);

impl ApiKey {
    /// Returns the key as it appears in a request.
    pub fn secret(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

/// Limit on the calls of a workspace, over all VMs together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Allowance {
    /// Calls per second.
    pub calls_per_second: f64,
    /// Calls that a workspace may send at once beyond the rate.
    pub burst: f64,
}

/// A customer of the deployment. Its debug output shows neither the keys nor the text with them.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Keys that identify its calls.
    pub keys: Vec<ApiKey>,
    /// Priority of its calls, which replaces that of the route; 0 is the highest.
    pub priority: Option<u32>,
    /// Limit on its calls; `None` for no limit.
    pub allowance: Option<Allowance>,
    /// The item's text as submitted, returned to operators unchanged.
    pub document: String,
}

impl fmt::Debug for Workspace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Workspace")
            .field("keys", &self.keys.len())
            .field("priority", &self.priority)
            .field("allowance", &self.allowance)
            .finish_non_exhaustive()
    }
}
