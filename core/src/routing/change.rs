//! Changes of the configuration and what becomes of them.

use std::collections;

use serde::{Deserialize, Serialize};

use super::{CallerLimits, Route, Service, ValidationError, Version};
use crate::ledger::Digest;

/// Named items of a configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigItems {
    /// Routes by name.
    pub routes: collections::BTreeMap<String, Route>,
    /// Services by name.
    pub services: collections::BTreeMap<String, Service>,
    /// Limits for callers; one that is missing leaves them as they are.
    pub limits: Option<CallerLimits>,
}

/// What a change does to the items in place.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ChangeKind {
    /// Takes the place of all items.
    Replace(ConfigItems),
    /// Adds or replaces items by name and removes others.
    Amend {
        /// Items to add or replace.
        upsert: ConfigItems,
        /// Names of routes to remove; a name that doesn't exist is no error.
        delete_routes: collections::BTreeSet<String>,
        /// Names of services to remove.
        delete_services: collections::BTreeSet<String>,
    },
}

/// A change that an operator asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Version that the change builds on.
    pub base: Version,
    /// Version that it creates.
    pub version: Version,
    /// Digest of the whole order, by which a resend is recognised.
    #[serde(with = "digest_text")]
    pub digest: Digest,
    /// What it does.
    pub kind: ChangeKind,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeResult {
    /// It is in place.
    Accepted,
    /// The same order was accepted before.
    Repeated,
    /// It builds on a version that is not the current one.
    Conflict {
        /// Version in place.
        current: Version,
    },
    /// The configuration that it would create is invalid.
    Invalid(Vec<ValidationError>),
}

/// JSON numbers don't hold 128 bits in every parser, so a digest is written as text.
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
