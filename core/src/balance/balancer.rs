//! The balancer of one service on one gateway.

use std::collections::{BTreeMap, VecDeque};
use std::time;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::probing::Pool;
use super::target::{ServiceMeans, Target};
use super::{
    Availability, CallResult, Config, LoadReport, Output, PickConstraints, Piggyback, Policy,
    TargetInfo, TargetKey,
};
use crate::measure;
use crate::time::Instant;
use crate::types::{FailureDomain, TargetId};

/// Draws for one call before all targets are examined.
const MAX_DRAWS: usize = 8;
/// Time after the first target within which others are taken as running for long.
const FIRST_LISTING: time::Duration = time::Duration::from_secs(1);
/// At most one in this many serving targets is ejected.
const EJECTED_SHARE: usize = 3;

#[derive(Clone, Debug, Default)]
struct Slot {
    generation: u32,
    target: Option<Target>,
}

/// Chooses targets of one service.
#[derive(Clone, Debug)]
pub struct Balancer {
    cfg: Config,
    rng: SmallRng,
    slots: Vec<Slot>,
    by_id: BTreeMap<TargetId, TargetKey>,
    /// Indexes of serving targets, in an order that draws change.
    serving: Vec<u32>,
    ejected: Vec<TargetKey>,
    cursor: usize,
    first_upsert: Option<Instant>,
    means: ServiceMeans,
    pool: Pool,
    budget: measure::Budget,
    outputs: VecDeque<Output>,
}

impl Balancer {
    /// Creates a balancer without targets.
    pub fn new(cfg: Config, seed: u64) -> Self {
        Balancer {
            cfg,
            rng: SmallRng::seed_from_u64(seed),
            slots: Vec::new(),
            by_id: BTreeMap::new(),
            serving: Vec::new(),
            ejected: Vec::new(),
            cursor: 0,
            first_upsert: None,
            means: ServiceMeans::default(),
            pool: Pool::default(),
            budget: measure::Budget::new(&cfg.measure, Instant(0)),
            outputs: VecDeque::new(),
        }
    }

    /// Adds a target or takes over a change of it.
    pub fn upsert(&mut self, now: Instant, info: &TargetInfo<'_>) -> TargetKey {
        let key = match self.by_id.get(info.id) {
            Some(&key) => key,
            None => self.insert(now, info),
        };
        let cfg = self.cfg;
        if let Some(target) = self.target_mut(key) {
            target.update(now, &cfg, info);
        }
        self.refresh_serving();
        key
    }

    /// Removes a target; its handle becomes invalid.
    pub fn remove(&mut self, _now: Instant, id: &TargetId) -> Option<TargetKey> {
        let key = self.by_id.remove(id)?;
        let slot = &mut self.slots[key.index as usize];
        slot.target = None;
        slot.generation += 1;
        self.ejected.retain(|ejected| *ejected != key);
        self.pool.forget(key);
        self.refresh_serving();
        Some(key)
    }

    /// Chooses a target; `None` when no target may take the call.
    pub fn pick(&mut self, now: Instant, pick: &PickConstraints<'_>) -> Option<TargetKey> {
        self.restore_due(now);
        let chosen = self.choose(now, pick);
        if pick.probe_allowed {
            self.maybe_probe(now);
        }
        chosen.or_else(|| self.any(now, pick))
    }

    /// Counts a call that was sent to a target.
    pub fn started(&mut self, now: Instant, key: TargetKey) {
        self.budget.count_call();
        if let Some(target) = self.target_mut(key) {
            target.started(now);
        }
    }

    /// Learns from the end of a call. The end of a call to a removed target is ignored.
    pub fn finished(&mut self, now: Instant, key: TargetKey, finish: &CallResult) {
        let cfg = self.cfg;
        let mut means = self.means;
        let Some(target) = self.target_mut(key) else {
            return;
        };
        let eject = target.finished(now, &cfg, finish, &mut means);
        self.means = means;
        if eject && (self.ejected.len() + 1) * EJECTED_SHARE <= self.serving.len() {
            if let Some(target) = self.target_mut(key) {
                target.eject(now, &cfg);
            }
            self.ejected.push(key);
            self.pool.forget(key);
            self.outputs.push_back(Output::Ejected { key });
        }
    }

    /// Takes over the answer to a probe.
    pub fn probe_answered(&mut self, now: Instant, key: TargetKey, report: &LoadReport) {
        let cfg = self.cfg;
        let mut means = self.means;
        let Some(target) = self.target_mut(key) else {
            return;
        };
        target.reported(now, &cfg, report, &mut means);
        self.means = means;
        if let Policy::Probing(params) = self.cfg.policy {
            self.pool.add(now, &params, key, report);
        }
    }

    /// Returns what the gateway is to do next.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Returns the measuring budget.
    pub fn budget(&self) -> &measure::Budget {
        &self.budget
    }

    /// Returns how many calls of this service the gateway should run at the same time: the sum of
    /// the adaptive limits of targets that take calls, at least 1 while there is such a target.
    pub fn capacity(&self, now: Instant) -> u32 {
        let limits = self
            .serving
            .iter()
            .filter_map(|&index| self.slots[index as usize].target.as_ref())
            .filter(|target| !target.is_ejected(now))
            .map(|target| target.limiter.limit() * target.ramp(now, &self.cfg));
        let sum: f64 = limits.sum();
        let least = u32::from(!self.serving.is_empty());
        (sum as u32).max(least)
    }

    /// Sets the slots of a target that this gateway holds; used by slot leases only.
    pub fn set_leased_slots(&mut self, key: TargetKey, held: u32) {
        if let Some(target) = self.target_mut(key) {
            target.held = held;
        }
    }

    /// Returns this gateway's calls in flight on a target.
    pub fn in_flight(&self, key: TargetKey) -> u32 {
        self.target(key).map_or(0, |target| target.own)
    }

    /// Returns the identity of a target.
    pub fn id(&self, key: TargetKey) -> Option<&TargetId> {
        self.target(key).map(|target| &target.id)
    }

    /// Returns the handle of a target.
    pub fn key(&self, id: &TargetId) -> Option<TargetKey> {
        self.by_id.get(id).copied()
    }

    /// Returns how many targets take calls, ejected ones included.
    pub fn serving(&self) -> usize {
        self.serving.len()
    }

    fn insert(&mut self, now: Instant, info: &TargetInfo<'_>) -> TargetKey {
        // A gateway that has just started learns all targets at once; they are not cold.
        let first = *self.first_upsert.get_or_insert(now);
        let is_cold = now.since(first) > FIRST_LISTING;
        let free = self.slots.iter().position(|slot| slot.target.is_none());
        let index = free.unwrap_or_else(|| {
            self.slots.push(Slot::default());
            self.slots.len() - 1
        });
        let slot = &mut self.slots[index];
        slot.target = Some(Target::new(now, &self.cfg, info, is_cold));
        let key = TargetKey {
            index: index as u32,
            generation: slot.generation,
        };
        self.by_id.insert(info.id.clone(), key);
        key
    }

    fn refresh_serving(&mut self) {
        let serving = |index: &u32| {
            let target = &self.slots[*index as usize].target;
            target
                .as_ref()
                .is_some_and(|target| target.availability == Availability::Serving)
        };
        let mut indexes: Vec<u32> = (0..self.slots.len() as u32).filter(serving).collect();
        std::mem::swap(&mut self.serving, &mut indexes);
    }

    fn restore_due(&mut self, now: Instant) {
        let mut at = 0;
        while at < self.ejected.len() {
            let key = self.ejected[at];
            if self
                .target(key)
                .is_some_and(|target| target.is_ejected(now))
            {
                at += 1;
                continue;
            }
            self.ejected.swap_remove(at);
            if let Some(target) = self.target_mut(key) {
                target.restore(now);
                self.outputs.push_back(Output::Restored { key });
            }
        }
    }

    fn choose(&mut self, now: Instant, pick: &PickConstraints<'_>) -> Option<TargetKey> {
        match self.cfg.policy {
            Policy::Random => self.best_of(now, pick, 1, |_, _| 0.0),
            Policy::RoundRobin => self.next_in_turn(now, pick),
            Policy::TwoChoices => self.best_of(now, pick, 2, |_, target| {
                f64::from(target.own) + target.penalty(now)
            }),
            Policy::LeastReported => {
                let all = self.serving.len();
                self.best_of(now, pick, all, |_, target| {
                    f64::from(target.reported_occupancy()) + target.penalty(now)
                })
            }
            Policy::Piggyback(params) => self.least_cost(now, pick, &params),
            Policy::Probing(params) => self.choose_probed(now, pick, &params),
            Policy::SlotLeases => self.held_slot(now, pick),
        }
    }

    fn least_cost(
        &mut self,
        now: Instant,
        pick: &PickConstraints<'_>,
        params: &Piggyback,
    ) -> Option<TargetKey> {
        let means = self.means;
        self.best_of(now, pick, params.choices as usize, |local, target| {
            target.expected_cost(now, params, &means, local)
        })
    }

    fn choose_probed(
        &mut self,
        now: Instant,
        pick: &PickConstraints<'_>,
        params: &super::Probing,
    ) -> Option<TargetKey> {
        let mut pool = std::mem::take(&mut self.pool);
        let chosen = pool.choose(now, params, |key| self.eligible(now, pick, key));
        self.pool = pool;
        chosen.or_else(|| {
            self.best_of(now, pick, 2, |_, target| {
                f64::from(target.own) + target.penalty(now)
            })
        })
    }

    /// The held slot on the target with the smallest share of its slots in use. An ejected target
    /// is the last choice, but its slot is used: the broker has no other to give.
    fn held_slot(&self, now: Instant, pick: &PickConstraints<'_>) -> Option<TargetKey> {
        let keys = self.serving.iter().map(|&index| self.key_at(index));
        let held = keys.filter_map(|key| self.target(key).map(|target| (key, target)));
        held.filter(|(key, target)| target.own < target.held && !pick.avoid.contains(key))
            .min_by_key(|(_, target)| (target.is_ejected(now), target.own * 1_000 / target.slots))
            .map(|(key, _)| key)
    }

    fn next_in_turn(&mut self, now: Instant, pick: &PickConstraints<'_>) -> Option<TargetKey> {
        for _ in 0..self.serving.len() {
            self.cursor = (self.cursor + 1) % self.serving.len();
            let key = self.key_at(self.serving[self.cursor]);
            if self.eligible(now, pick, key) && self.ramp_admits(now, key) {
                return Some(key);
            }
        }
        None
    }

    /// Draws up to `choices` eligible targets and returns the one with the lowest cost; the first
    /// drawn wins a tie.
    fn best_of(
        &mut self,
        now: Instant,
        pick: &PickConstraints<'_>,
        choices: usize,
        cost: impl Fn(bool, &Target) -> f64,
    ) -> Option<TargetKey> {
        let mut best: Option<(f64, TargetKey)> = None;
        let mut found = 0;
        let draws = self.serving.len().min(choices.max(MAX_DRAWS));
        for drawn in 0..draws {
            let key = self.draw(drawn);
            if !self.eligible(now, pick, key) || !self.ramp_admits(now, key) {
                continue;
            }
            let Some(target) = self.target(key) else {
                continue;
            };
            let cost = cost(is_local(pick.local_domain, target), target);
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, key));
            }
            found += 1;
            if found >= choices {
                break;
            }
        }
        best.map(|(_, key)| key)
    }

    /// Returns the target drawn in turn `drawn`, without repetition within one choice.
    fn draw(&mut self, drawn: usize) -> TargetKey {
        let other = self.rng.random_range(drawn..self.serving.len());
        self.serving.swap(drawn, other);
        self.key_at(self.serving[drawn])
    }

    /// Last resort: any serving target that is not to be avoided, ejected or cold ones included.
    fn any(&mut self, now: Instant, pick: &PickConstraints<'_>) -> Option<TargetKey> {
        if matches!(self.cfg.policy, Policy::SlotLeases) || self.serving.is_empty() {
            return None;
        }
        let start = self.rng.random_range(0..self.serving.len());
        let (before, after) = self.serving.split_at(start);
        let keys = after.iter().chain(before).map(|&index| self.key_at(index));
        keys.filter(|key| !pick.avoid.contains(key))
            .min_by_key(|&key| {
                self.target(key)
                    .is_some_and(|target| target.is_ejected(now))
            })
    }

    fn eligible(&self, now: Instant, pick: &PickConstraints<'_>, key: TargetKey) -> bool {
        !pick.avoid.contains(&key)
            && self.target(key).is_some_and(|target| {
                target.availability == Availability::Serving && !target.is_ejected(now)
            })
    }

    fn ramp_admits(&mut self, now: Instant, key: TargetKey) -> bool {
        let ramp = self
            .target(key)
            .map_or(0.0, |target| target.ramp(now, &self.cfg));
        ramp >= 1.0 || self.rng.random_bool(ramp)
    }

    /// Probes the target whose report is older, of two drawn at random, if the budget allows it.
    fn maybe_probe(&mut self, now: Instant) {
        if self.cfg.measure.messages.burst == 0 || self.serving.is_empty() {
            return;
        }
        if !self.budget.try_spend(now, &self.cfg.probe_cost) {
            return;
        }
        let drawn = [
            self.rng.random_range(0..self.serving.len()),
            self.rng.random_range(0..self.serving.len()),
        ];
        let age = |&at: &usize| {
            let key = self.key_at(self.serving[at]);
            self.target(key).map_or(Instant(0), Target::report_time)
        };
        if let Some(at) = drawn.iter().min_by_key(|at| age(at)) {
            let key = self.key_at(self.serving[*at]);
            self.outputs.push_back(Output::Probe { key });
        }
    }

    fn key_at(&self, index: u32) -> TargetKey {
        TargetKey {
            index,
            generation: self.slots[index as usize].generation,
        }
    }

    fn target(&self, key: TargetKey) -> Option<&Target> {
        let slot = self.slots.get(key.index as usize)?;
        slot.target
            .as_ref()
            .filter(|_| slot.generation == key.generation)
    }

    fn target_mut(&mut self, key: TargetKey) -> Option<&mut Target> {
        let slot = self.slots.get_mut(key.index as usize)?;
        slot.target
            .as_mut()
            .filter(|_| slot.generation == key.generation)
    }
}

fn is_local(local: Option<&FailureDomain>, target: &Target) -> bool {
    local.is_none_or(|local| *local == target.failure_domain)
}
