//! Versions of one record, with the limits on its history.

use std::{collections, sync};

use crate::registry::ids;
use crate::{time, types};

/// Maximum number of versions stored for one record.
const MAX_VERSIONS: usize = 64;

/// Maximum size of the texts stored for one record, in bytes, without the current version. With 64
/// versions of the maximum size each, the histories of 160 services would exceed a daemon's memory.
const MAX_HISTORY_BYTES: usize = 32 * 1024;

/// One version of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version {
    /// Revision of the change that created the version.
    pub revision: types::Revision,
    /// Schema version of the record.
    pub schema: u32,
    /// Id of the request that created the version.
    pub request: ids::RequestUuid,
    /// Operator who created the version.
    pub actor: String,
    /// Replicated time of the change.
    pub at: time::UnixMillis,
    /// Text as submitted, or `None` for a deletion.
    pub text: Option<sync::Arc<str>>,
}

impl Version {
    /// Returns the id of the request that created this version, as text.
    pub fn request_id(&self) -> types::RequestId {
        self.request.text()
    }
}

/// Stored versions of a record, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Entry {
    /// The versions. A deletion is a version without text.
    pub versions: collections::VecDeque<Version>,
}

impl Entry {
    /// Returns the current version, or `None` if the record was deleted.
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
