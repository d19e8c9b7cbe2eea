//! Versions of one record.

use std::{collections, sync};

use crate::registry::ids;
use crate::{time, types};

/// Versions kept for one record.
const MAX_VERSIONS: usize = 64;

/// Bytes of text kept for one record, besides the current version. With 64 versions of the
/// largest text each, the histories of 160 services would not fit into a daemon's memory.
const MAX_HISTORY_BYTES: usize = 32 * 1024;

/// One version of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version {
    /// Revision of the change that made it.
    pub revision: types::Revision,
    /// Schema of the record.
    pub schema: u32,
    /// Request that made it.
    pub request: ids::RequestUuid,
    /// Operator that made it.
    pub actor: String,
    /// Replicated time of the change.
    pub at: time::UnixMillis,
    /// Text as submitted; `None` for a deletion.
    pub text: Option<sync::Arc<str>>,
}

impl Version {
    /// Returns the id of the request that made this version.
    pub fn request_id(&self) -> types::RequestId {
        self.request.text()
    }
}

/// All kept versions of a record, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Entry {
    /// The versions; a deletion is one without text.
    pub versions: collections::VecDeque<Version>,
}

impl Entry {
    /// Returns the current version, or `None` when the record was deleted.
    pub fn current(&self) -> Option<&Version> {
        self.versions
            .back()
            .filter(|version| version.text.is_some())
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> types::Revision {
        self.versions
            .back()
            .map(|version| version.revision)
            .unwrap_or_default()
    }

    pub(crate) fn push(&mut self, version: Version) {
        self.versions.push_back(version);
        while self.versions.len() > MAX_VERSIONS || self.history_bytes() > MAX_HISTORY_BYTES {
            self.versions.pop_front();
        }
    }

    fn history_bytes(&self) -> usize {
        let past = self.versions.len().saturating_sub(1);
        let texts = self
            .versions
            .iter()
            .take(past)
            .filter_map(|version| version.text.as_deref());
        texts.map(str::len).sum()
    }
}
