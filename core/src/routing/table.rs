//! The configuration in place and the digests of accepted changes.

use std::collections;

use super::{Change, ChangeKind, Fault, Items, Verdict, Version, validate};
use crate::ledger::Digest;

/// Accepted changes whose resend is recognised. Hundreds of changes a day are expected; a change that
/// is older than this many gets a conflict.
const KEPT_DIGESTS: usize = 4096;

/// The configuration in place.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    version: Version,
    items: Items,
    accepted: collections::VecDeque<Digest>,
}

impl Table {
    /// Returns the version in place; 0 before the first configuration.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the items in place.
    pub fn items(&self) -> &Items {
        &self.items
    }

    /// Returns the digests of accepted changes, oldest first.
    pub fn accepted(&self) -> impl Iterator<Item = Digest> {
        self.accepted.iter().copied()
    }

    /// Builds a table from its parts, as a snapshot holds them.
    pub fn from_parts(
        version: Version,
        items: Items,
        accepted: impl IntoIterator<Item = Digest>,
    ) -> Table {
        Table {
            version,
            items,
            accepted: accepted.into_iter().collect(),
        }
    }

    /// Tells what would become of a change now, without applying it.
    pub fn check(&self, change: &Change) -> Verdict {
        match self.result(change) {
            Ok(_) => Verdict::Accepted,
            Err(verdict) => verdict,
        }
    }

    /// Applies a change when it is valid and builds on the version in place.
    pub fn apply(&mut self, change: &Change) -> Verdict {
        let items = match self.result(change) {
            Ok(items) => items,
            Err(verdict) => return verdict,
        };
        self.items = items;
        self.version = change.version;
        if self.accepted.len() == KEPT_DIGESTS {
            self.accepted.pop_front();
        }
        self.accepted.push_back(change.digest);
        Verdict::Accepted
    }

    fn result(&self, change: &Change) -> Result<Items, Verdict> {
        if self.accepted.contains(&change.digest) {
            return Err(Verdict::Repeated);
        }
        if change.base != self.version {
            return Err(Verdict::Conflict {
                current: self.version,
            });
        }
        if change.version <= self.version {
            return Err(Verdict::Invalid(vec![Fault::OldVersion]));
        }
        let items = self.changed(&change.kind);
        let faults = validate::faults(&items);
        if faults.is_empty() {
            Ok(items)
        } else {
            Err(Verdict::Invalid(faults))
        }
    }

    fn changed(&self, kind: &ChangeKind) -> Items {
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
