//! Records of removed targets, by which late announcements are recognised.

use std::{collections, time};

use crate::directory::{Key, State, Target};
use crate::time::Instant;
use crate::types;

/// Maximum number of tombstones; beyond that the oldest is removed.
const MAX_TOMBSTONES: usize = 4096;

/// Incarnation and state of a target, ordered by incarnation first. It only increases over time.
pub(crate) type TargetStage = (types::Incarnation, State);

/// Incarnation and state in which each target was removed. The gateways and the leader use them to
/// reject announcements that are older than the removal.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tombstones {
    stages: collections::BTreeMap<Key, (TargetStage, Instant)>,
    order: collections::VecDeque<(Instant, Key)>,
}

impl Tombstones {
    pub fn insert(&mut self, now: Instant, target: &Target) {
        let stage = (target.incarnation, target.state);
        let previous = self.stages.get(&target.key).map(|(previous, _)| *previous);
        let latest = previous.map_or(stage, |previous| previous.max(stage));
        self.stages.insert(target.key.clone(), (latest, now));
        self.order.push_back((now, target.key.clone()));
        if self.order.len() > MAX_TOMBSTONES {
            self.remove_oldest();
        }
    }

    /// Returns the stage in which the target was removed, if that is later than the stage of
    /// `target`.
    pub fn later_stage(&self, target: &Target) -> Option<TargetStage> {
        let (latest, _) = self.stages.get(&target.key)?;
        Some(*latest).filter(|latest| (target.incarnation, target.state) < *latest)
    }

    pub fn expire(&mut self, now: Instant, ttl: time::Duration) {
        while self.order.front().is_some_and(|(at, _)| *at + ttl <= now) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let Some((at, key)) = self.order.pop_front() else {
            return;
        };
        if self
            .stages
            .get(&key)
            .is_some_and(|(_, removed_at)| *removed_at == at)
        {
            self.stages.remove(&key);
        }
    }
}
