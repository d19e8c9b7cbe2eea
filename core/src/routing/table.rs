//! The current configuration and the compare-and-set rule by which changes are applied to it.

use std::collections;

use super::{Change, ChangeKind, ChangeResult, ConfigItems, ValidationError, Version, validate};
use crate::ledger::Digest;

/// Number of accepted changes whose digests are kept to recognise a resend. Hundreds of changes a
/// day are expected. A resend of a change older than that is refused with a conflict.
const MAX_KEPT_DIGESTS: usize = 4096;

/// The current configuration. Replicas that apply the same changes in the same order are equal.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    version: Version,
    items: ConfigItems,
    accepted: collections::VecDeque<Digest>,
}

impl Table {
    /// Returns the current version; 0 before the first configuration.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the current items.
    pub fn items(&self) -> &ConfigItems {
        &self.items
    }

    /// Returns the digests of the latest accepted changes, oldest first.
    pub fn accepted(&self) -> impl Iterator<Item = Digest> {
        self.accepted.iter().copied()
    }

    /// Creates a table from the parts that a snapshot stores.
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

    /// Returns the result that `apply` would have now, without applying the change.
    pub fn check(&self, change: &Change) -> ChangeResult {
        match self.evaluate(change) {
            Ok(_) => ChangeResult::Accepted,
            Err(refused) => refused,
        }
    }

    /// Applies a change if it is valid and based on the current version.
    pub fn apply(&mut self, change: &Change) -> ChangeResult {
        let items = match self.evaluate(change) {
            Ok(items) => items,
            Err(refused) => return refused,
        };
        self.items = items;
        self.version = change.version;
        if self.accepted.len() == MAX_KEPT_DIGESTS {
            self.accepted.pop_front();
        }
        self.accepted.push_back(change.digest);
        ChangeResult::Accepted
    }

    fn evaluate(&self, change: &Change) -> Result<ConfigItems, ChangeResult> {
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
        let items = self.items_after(&change.kind);
        let errors = validate::validation_errors(&items);
        if errors.is_empty() {
            Ok(items)
        } else {
            Err(ChangeResult::Invalid(errors))
        }
    }

    fn items_after(&self, kind: &ChangeKind) -> ConfigItems {
        match kind {
            ChangeKind::Replace(items) => items.clone(),
            ChangeKind::Amend {
                upsert,
                delete_routes,
                delete_services,
                delete_workspaces,
            } => {
                let mut items = self.items.clone();
                items.routes.retain(|name, _| !delete_routes.contains(name));
                items
                    .services
                    .retain(|name, _| !delete_services.contains(name));
                items
                    .workspaces
                    .retain(|name, _| !delete_workspaces.contains(name));
                items.routes.extend(upsert.routes.clone());
                items.services.extend(upsert.services.clone());
                items.workspaces.extend(upsert.workspaces.clone());
                items.limits = upsert.limits.clone().or(items.limits);
                items
            }
        }
    }
}
