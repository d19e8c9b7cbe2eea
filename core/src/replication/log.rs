//! Log entries in memory after the last compaction, and the memberships that they contain. The
//! entries come from the recovered storage, the leader's messages or own proposals.

use std::collections;

use crate::{storage, types};

/// The part of the log that is kept in memory.
#[derive(Debug)]
pub(super) struct Log {
    /// Index and term of the last compacted entry.
    base: (types::LogIndex, types::Term),
    entries: collections::VecDeque<storage::Entry>,
    /// Size in bytes of `entries`.
    bytes: usize,
    /// Last index that is synced.
    durable: types::LogIndex,
    /// Memberships with the index from which each is in effect. The first one is in effect at
    /// `base`.
    memberships: Vec<(types::LogIndex, storage::Membership)>,
}

impl Log {
    pub(super) fn new(
        snapshot: &storage::Snapshot,
        entries: impl IntoIterator<Item = storage::Entry>,
    ) -> Log {
        let mut log = Log {
            base: (snapshot.index, snapshot.term),
            entries: collections::VecDeque::new(),
            bytes: 0,
            durable: snapshot.index,
            memberships: vec![(snapshot.index, snapshot.membership.clone())],
        };
        for entry in entries {
            log.append(entry);
        }
        log.durable = log.last_index();
        log
    }

    pub(super) fn base_index(&self) -> types::LogIndex {
        self.base.0
    }

    pub(super) fn last_index(&self) -> types::LogIndex {
        self.entries.back().map_or(self.base.0, |entry| entry.index)
    }

    pub(super) fn last_term(&self) -> types::Term {
        self.entries.back().map_or(self.base.1, |entry| entry.term)
    }

    pub(super) fn durable(&self) -> types::LogIndex {
        self.durable
    }

    /// Returns the position in `entries` of the entry at `index`.
    fn position(&self, index: types::LogIndex) -> Option<usize> {
        let offset = index.0.checked_sub(self.base.0.0 + 1)?;
        usize::try_from(offset).ok()
    }

    pub(super) fn get(&self, index: types::LogIndex) -> Option<&storage::Entry> {
        self.entries.get(self.position(index)?)
    }

    /// Returns the term of the entry at `index`, or `None` when it is compacted or missing.
    pub(super) fn term_at(&self, index: types::LogIndex) -> Option<types::Term> {
        if index == self.base.0 {
            return Some(self.base.1);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns entries from `from` on, up to `max_bytes` in total but at least one if there is any.
    pub(super) fn batch(&self, from: types::LogIndex, max_bytes: usize) -> Vec<storage::Entry> {
        let Some(position) = self.position(from) else {
            return Vec::new();
        };
        let mut bytes = 0;
        let mut batch = Vec::new();
        for entry in self.entries.range(position.min(self.entries.len())..) {
            bytes += entry.size();
            if bytes > max_bytes && !batch.is_empty() {
                break;
            }
            batch.push(entry.clone());
        }
        batch
    }

    /// Returns the highest index up to `index` whose term is at most `term`, with its term.
    ///
    /// No later entry can agree with a log whose entry at `index` has `term`. Returns `None` when
    /// the entry is compacted.
    pub(super) fn agreement(
        &self,
        index: types::LogIndex,
        term: types::Term,
    ) -> Option<(types::LogIndex, types::Term)> {
        let mut index = index.min(self.last_index());
        while let Some(found) = self.term_at(index) {
            if found <= term {
                return Some((index, found));
            }
            index = types::LogIndex(index.0.checked_sub(1)?);
        }
        None
    }

    /// Returns the index and term of the last compacted entry.
    pub(super) fn base(&self) -> (types::LogIndex, types::Term) {
        self.base
    }

    pub(super) fn append(&mut self, entry: storage::Entry) {
        debug_assert_eq!(entry.index.0, self.last_index().0 + 1);
        if let storage::Payload::Membership(members) = &entry.payload {
            self.memberships.push((entry.index, members.clone()));
        }
        self.bytes += entry.size();
        self.entries.push_back(entry);
    }

    /// Removes the entries from `from` on, which must be after the base.
    pub(super) fn truncate(&mut self, from: types::LogIndex) {
        let Some(position) = self.position(from) else {
            return;
        };
        for entry in self.entries.drain(position.min(self.entries.len())..) {
            self.bytes -= entry.size();
        }
        self.memberships
            .retain(|(index, _)| *index < from || *index <= self.base.0);
        self.durable = self.durable.min(types::LogIndex(from.0 - 1));
    }

    /// Returns the index through which to compact the log so that it keeps at most `max_entries`
    /// entries and `max_bytes` bytes up to `index`.
    pub(super) fn compaction_index(
        &self,
        index: types::LogIndex,
        max_entries: u64,
        max_bytes: usize,
    ) -> types::LogIndex {
        let mut through = index;
        let mut bytes = 0;
        while let Some(entry) = self.get(through) {
            bytes += entry.size();
            if index.0 - through.0 >= max_entries || bytes > max_bytes {
                break;
            }
            through = types::LogIndex(through.0 - 1);
        }
        through
    }

    /// Returns the size in bytes of the entries in memory.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Removes the entries up to `through`, which become the compacted part.
    pub(super) fn compact(&mut self, through: types::LogIndex) {
        let Some(term) = self.term_at(through) else {
            return;
        };
        while self.entries.front().is_some_and(|e| e.index <= through) {
            let entry = self.entries.pop_front();
            self.bytes -= entry.map_or(0, |entry| entry.size());
        }
        self.base = (through, term);
        let superseded = self
            .memberships
            .iter()
            .filter(|(index, _)| *index <= through)
            .count();
        self.memberships.drain(..superseded.saturating_sub(1));
    }

    /// Replaces the whole log by a snapshot that is not yet synced.
    pub(super) fn reset(&mut self, snapshot: &storage::Snapshot, durable: types::LogIndex) {
        *self = Log::new(snapshot, []);
        self.durable = durable;
    }

    /// Records that everything up to `index` was synced when its entry had `term`.
    ///
    /// If that entry has since been replaced, the call has no effect: a later sync covers the
    /// replacement.
    pub(super) fn mark_synced(&mut self, index: types::LogIndex, term: types::Term) {
        if self.term_at(index) == Some(term) {
            self.durable = self.durable.max(index);
        }
    }

    /// Returns the membership in effect at the end of the log.
    pub(super) fn membership(&self) -> &storage::Membership {
        &self.memberships[self.memberships.len() - 1].1
    }

    /// Returns the index from which [`Log::membership`] is in effect.
    pub(super) fn membership_index(&self) -> types::LogIndex {
        self.memberships[self.memberships.len() - 1].0
    }

    /// Returns the membership in effect at `index`, which must not be before the base.
    pub(super) fn membership_at(&self, index: types::LogIndex) -> &storage::Membership {
        let later = self.memberships.iter().rev();
        let found = later.into_iter().find(|(from, _)| *from <= index);
        &found.unwrap_or(&self.memberships[0]).1
    }
}
