//! Configuration changes that operators request, and their results.

use std::collections;

use serde::{Deserialize, Serialize};

use super::{CallerLimits, Route, Service, ValidationError, Version, Workspace};
use crate::ledger::Digest;

/// Routes, services, workspaces and limits of a configuration, or of an update to one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigItems {
    /// Routes by name.
    pub routes: collections::BTreeMap<String, Route>,
    /// Services by name.
    pub services: collections::BTreeMap<String, Service>,
    /// Workspaces by name; without any, calls need no key.
    #[serde(default)]
    pub workspaces: collections::BTreeMap<String, Workspace>,
    /// Limits on callers; `None` in an update keeps the current limits.
    pub limits: Option<CallerLimits>,
}

/// What a change does to the current items.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ChangeKind {
    /// Replaces all items.
    Replace(ConfigItems),
    /// Adds, replaces or removes single items by name and keeps all others.
    Amend {
        /// Items to add or replace.
        upsert: ConfigItems,
        /// Names of routes to remove; names that do not exist are ignored.
        delete_routes: collections::BTreeSet<String>,
        /// Names of services to remove; names that do not exist are ignored.
        delete_services: collections::BTreeSet<String>,
        /// Names of workspaces to remove; names that do not exist are ignored.
        #[serde(default)]
        delete_workspaces: collections::BTreeSet<String>,
    },
}

/// A configuration change requested by an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Version that the change is based on; must be the current one.
    pub base: Version,
    /// Version of the resulting configuration.
    pub version: Version,
    /// Digest of the whole request; identifies a resent change.
    #[serde(with = "digest_text")]
    pub digest: Digest,
    /// Operation on the items.
    pub kind: ChangeKind,
}

/// Result of a change.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeResult {
    /// The change was applied.
    Accepted,
    /// A change with the same digest was accepted before; nothing was applied again.
    Repeated,
    /// The change is not based on the current version.
    Conflict {
        /// Current version.
        current: Version,
    },
    /// The resulting configuration would be invalid, for all the reasons listed.
    Invalid(Vec<ValidationError>),
}

/// Serializes a digest as hexadecimal text, because not every JSON parser keeps 128-bit numbers
/// exact.
mod digest_text {
    use serde::{Deserialize, Deserializer, Serializer, de};

    use crate::ledger::Digest;

    pub fn serialize<S: Serializer>(digest: &Digest, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_str(&format!("{:032x}", digest.0))
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Digest, D::Error> {
        let text = String::deserialize(d)?;
        let value = u128::from_str_radix(&text, 16).map_err(de::Error::custom)?;
        Ok(Digest(value))
    }
}
