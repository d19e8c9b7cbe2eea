//! The configuration in place and the digests of accepted changes.

use std::collections;

use super::{Change, ChangeKind, ChangeResult, ConfigItems, ValidationError, Version, validate};
use crate::ledger::Digest;

/// Accepted changes whose resend is recognised. Hundreds of changes a day are expected; a change that
/// is older than this many gets a conflict.
const MAX_KEPT_DIGESTS: usize = 4096;

/// The configuration in place.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    version: Version,
    items: ConfigItems,
    accepted: collections::VecDeque<Digest>,
}

impl Table {
    /// Returns the version in place; 0 before the first configuration.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the items in place.
    pub fn items(&self) -> &ConfigItems {
        &self.items
    }

    /// Returns the digests of accepted changes, oldest first.
    pub fn accepted(&self) -> impl Iterator<Item = Digest> {
        self.accepted.iter().copied()
    }

    /// Builds a table from its parts, as a snapshot holds them.
    pub fn from_parts(
        version: Version,
        items: ConfigItems,
        accepted: impl IntoIterator<Item = Digest>,
    ) -> Table {
        Table {
            version,
            items,
            accepted: accepted.into_iter().collect(),
        }
    }

    /// Tells what would become of a change now, without applying it.
    pub fn check(&self, change: &Change) -> ChangeResult {
        match self.result(change) {
            Ok(_) => ChangeResult::Accepted,
            Err(verdict) => verdict,
        }
    }

    /// Applies a change when it is valid and builds on the version in place.
    pub fn apply(&mut self, change: &Change) -> ChangeResult {
        let items = match self.result(change) {
            Ok(items) => items,
            Err(verdict) => return verdict,
        };
        self.items = items;
        self.version = change.version;
        if self.accepted.len() == MAX_KEPT_DIGESTS {
            self.accepted.pop_front();
        }
        self.accepted.push_back(change.digest);
        ChangeResult::Accepted
    }

    fn result(&self, change: &Change) -> Result<ConfigItems, ChangeResult> {
        if self.accepted.contains(&change.digest) {
            return Err(ChangeResult::Repeated);
        }
        if change.base != self.version {
            return Err(ChangeResult::Conflict {
                current: self.version,
            });
        }
        if change.version <= self.version {
            return Err(ChangeResult::Invalid(vec![ValidationError::OldVersion]));
        }
        let items = self.changed(&change.kind);
        let errors = validate::errors(&items);
        if errors.is_empty() {
            Ok(items)
        } else {
            Err(ChangeResult::Invalid(errors))
        }
    }

    fn changed(&self, kind: &ChangeKind) -> ConfigItems {
        match kind {
            ChangeKind::Replace(items) => items.clone(),
            ChangeKind::Amend {
                upsert,
                delete_routes,
                delete_services,
            } => {
                let mut items = self.items.clone();
                items.routes.retain(|name, _| !delete_routes.contains(name));
                items
                    .services
                    .retain(|name, _| !delete_services.contains(name));
                items.routes.extend(upsert.routes.clone());
                items.services.extend(upsert.services.clone());
                items.limits = upsert.limits.clone().or(items.limits);
                items
            }
        }
    }
}
