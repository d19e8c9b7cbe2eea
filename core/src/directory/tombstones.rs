//! Last word about targets that left.

use std::{collections, time};

use crate::directory::{Key, State, Target};
use crate::time::Instant;
use crate::types;

/// Departed targets that are remembered; beyond that the oldest is forgotten.
const MAX_TOMBSTONES: usize = 4096;

/// Incarnation and state, in which a target only moves forward.
pub(crate) type TargetStage = (types::Incarnation, State);

/// Recognises late announcements of targets that have left.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tombstones {
    stages: collections::BTreeMap<Key, (TargetStage, Instant)>,
    order: collections::VecDeque<(Instant, Key)>,
}

impl Tombstones {
    pub fn insert(&mut self, now: Instant, target: &Target) {
        let stage = (target.incarnation, target.state);
        let known = self.stages.get(&target.key).map(|(known, _)| *known);
        let latest = known.map_or(stage, |known| known.max(stage));
        self.stages.insert(target.key.clone(), (latest, now));
        self.order.push_back((now, target.key.clone()));
        if self.order.len() > MAX_TOMBSTONES {
            self.remove_oldest();
        }
    }

    /// Returns the stage in which the target left when that is later than the one of `target`.
    pub fn later_stage(&self, target: &Target) -> Option<TargetStage> {
        let (latest, _) = self.stages.get(&target.key)?;
        Some(*latest).filter(|latest| (target.incarnation, target.state) < *latest)
    }

    pub fn expire(&mut self, now: Instant, kept: time::Duration) {
        while self.order.front().is_some_and(|(at, _)| *at + kept <= now) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let Some((at, key)) = self.order.pop_front() else {
            return;
        };
        if self.stages.get(&key).is_some_and(|(_, noted)| *noted == at) {
            self.stages.remove(&key);
        }
    }
}
