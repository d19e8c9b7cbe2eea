//! Changes of the records between two revisions, as sent to gateways.

use std::sync;

use crate::records::Key;
use crate::registry::Registry;
use crate::types;

/// Latest state of one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Key of the record.
    pub key: Key,
    /// Revision of the record's last change.
    pub revision: types::Revision,
    /// Text of the record, or `None` if it was deleted.
    pub text: Option<sync::Arc<str>>,
}

/// Changes of the records from one revision to another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Revision that the changes are based on.
    pub from: types::Revision,
    /// Revision after the changes.
    pub through: types::Revision,
    /// Whether the changes list all records; records that are not listed do not exist then.
    pub full: bool,
    /// One change for each record that differs, in the order of revisions.
    pub changes: Vec<Change>,
}

pub(super) fn changes_since(registry: &Registry, from: types::Revision) -> Changes {
    let full = from < registry.compact_revision || from > registry.revision;
    let wanted = |revision, deleted: bool| if full { !deleted } else { revision > from };
    let mut changes: Vec<Change> = registry
        .entries
        .iter()
        .filter(|(_, entry)| wanted(entry.revision(), entry.current().is_none()))
        .map(|(key, entry)| Change {
            key: key.clone(),
            revision: entry.revision(),
            text: entry.current().and_then(|version| version.text.clone()),
        })
        .collect();
    changes.sort_by_key(|change| change.revision);
    Changes {
        from,
        through: registry.revision,
        full,
        changes,
    }
}
