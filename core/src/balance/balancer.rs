//! The balancer of one service on one gateway: target table, policies, ejection and probes.

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

/// Maximum number of targets drawn for one call, unless the policy compares more. If none of them
/// is eligible, any serving target is selected.
const MAX_DRAWS: usize = 8;
/// Time after the first target within which added targets count as warm: a gateway that has just
/// started learns all targets at once.
const INITIAL_LISTING: time::Duration = time::Duration::from_secs(1);
/// Number of serving targets for each target that may be ejected: at most a third is ejected.
const SERVING_PER_EJECTION: usize = 3;

/// Reusable entry of the target table; the generation rises with each removal.
#[derive(Clone, Debug, Default)]
struct Entry {
    generation: u32,
    target: Option<Target>,
}

/// Selects targets of one service.
#[derive(Clone, Debug)]
pub struct Balancer {
    cfg: Config,
    rng: SmallRng,
    entries: Vec<Entry>,
    by_id: BTreeMap<TargetId, TargetKey>,
    /// Indexes of serving targets; each draw reorders them.
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
            entries: Vec::new(),
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

    /// Adds a target or updates a known one.
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

    /// Removes a target and invalidates its handle.
    pub fn remove(&mut self, _now: Instant, id: &TargetId) -> Option<TargetKey> {
        let key = self.by_id.remove(id)?;
        let entry = &mut self.entries[key.index as usize];
        entry.target = None;
        entry.generation += 1;
        self.ejected.retain(|ejected| *ejected != key);
        self.pool.remove_target(key);
        self.refresh_serving();
        Some(key)
    }

    /// Selects a target; `None` when no target may take the call.
    pub fn pick(&mut self, now: Instant, pick: &PickConstraints<'_>) -> Option<TargetKey> {
        self.restore_expired(now);
        let chosen = self.choose(now, pick);
        if pick.probe_allowed {
            self.maybe_probe(now);
        }
        chosen.or_else(|| self.any_serving(now, pick))
    }

    /// Records that a call was sent to a target.
    pub fn started(&mut self, now: Instant, key: TargetKey) {
        self.budget.count_call();
        if let Some(target) = self.target_mut(key) {
            target.started(now);
        }
    }

    /// Records the result of a call; ignored if the target was removed.
    pub fn finished(&mut self, now: Instant, key: TargetKey, result: &CallResult) {
        let cfg = self.cfg;
        let mut means = self.means;
        let Some(target) = self.target_mut(key) else {
            return;
        };
        let eject = target.finished(now, &cfg, result, &mut means);
        self.means = means;
        if eject && (self.ejected.len() + 1) * SERVING_PER_EJECTION <= self.serving.len() {
            if let Some(target) = self.target_mut(key) {
                target.eject(now, &cfg);
            }
            self.ejected.push(key);
            self.pool.remove_target(key);
            self.outputs.push_back(Output::Ejected { key });
        }
    }

    /// Records the response to a probe.
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

    /// Returns the next action or event for the gateway.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Returns the budget for probes.
    pub fn budget(&self) -> &measure::Budget {
        &self.budget
    }

    /// Returns the number of calls of this service that the gateway should run at the same time:
    /// the sum of the adaptive limits of serving targets that are not ejected, and at least 1 while
    /// a target is serving.
    pub fn capacity(&self, now: Instant) -> u32 {
        let limits = self
            .serving
            .iter()
            .filter_map(|&index| self.entries[index as usize].target.as_ref())
            .filter(|target| !target.is_ejected(now))
            .map(|target| target.limiter.limit() * target.ramp(now, &self.cfg));
        let sum: f64 = limits.sum();
        let least = u32::from(!self.serving.is_empty());
        (sum as u32).max(least)
    }

    /// Sets the number of a target's slots that are leased to this gateway; used by
    /// [`Policy::SlotLeases`] only.
    pub fn set_leased_slots(&mut self, key: TargetKey, leased: u32) {
        if let Some(target) = self.target_mut(key) {
            target.leased = leased;
        }
    }

    /// Returns this gateway's calls in flight on a target.
    pub fn in_flight(&self, key: TargetKey) -> u32 {
        self.target(key).map_or(0, |target| target.own_calls)
    }

    /// Returns the identity of a target.
    pub fn id(&self, key: TargetKey) -> Option<&TargetId> {
        self.target(key).map(|target| &target.id)
    }

    /// Returns the handle of a target.
    pub fn key(&self, id: &TargetId) -> Option<TargetKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the number of serving targets, ejected ones included.
    pub fn serving(&self) -> usize {
        self.serving.len()
    }

    fn insert(&mut self, now: Instant, info: &TargetInfo<'_>) -> TargetKey {
        let first = *self.first_upsert.get_or_insert(now);
        let is_cold = now.since(first) > INITIAL_LISTING;
        let free = self.entries.iter().position(|entry| entry.target.is_none());
        let index = free.unwrap_or_else(|| {
            self.entries.push(Entry::default());
            self.entries.len() - 1
        });
        let entry = &mut self.entries[index];
        entry.target = Some(Target::new(now, &self.cfg, info, is_cold));
        let key = TargetKey {
            index: index as u32,
            generation: entry.generation,
        };
        self.by_id.insert(info.id.clone(), key);
        key
    }

    fn refresh_serving(&mut self) {
        let is_serving = |index: &u32| {
            let target = &self.entries[*index as usize].target;
            target
                .as_ref()
                .is_some_and(|target| target.availability == Availability::Serving)
        };
        let mut indexes: Vec<u32> = (0..self.entries.len() as u32).filter(is_serving).collect();
        std::mem::swap(&mut self.serving, &mut indexes);
    }

    fn restore_expired(&mut self, now: Instant) {
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
            Policy::RoundRobin => self.next_round_robin(now, pick),
            Policy::TwoChoices => self.best_of(now, pick, 2, |_, target| {
                f64::from(target.own_calls) + target.penalty(now)
            }),
            Policy::LeastReported => {
                let all = self.serving.len();
                self.best_of(now, pick, all, |_, target| {
                    f64::from(target.reported_occupancy()) + target.penalty(now)
                })
            }
            Policy::Piggyback(params) => self.least_cost(now, pick, &params),
            Policy::Probing(params) => self.choose_from_pool(now, pick, &params),
            Policy::SlotLeases => self.least_used_leased(now, pick),
        }
    }

    fn least_cost(
        &mut self,
        now: Instant,
        pick: &PickConstraints<'_>,
        params: &Piggyback,
    ) -> Option<TargetKey> {
        let means = self.means;
        self.best_of(now, pick, params.choices as usize, |is_local, target| {
            target.expected_cost(now, params, &means, is_local)
        })
    }

    fn choose_from_pool(
        &mut self,
        now: Instant,
        pick: &PickConstraints<'_>,
        params: &super::Probing,
    ) -> Option<TargetKey> {
        let mut pool = std::mem::take(&mut self.pool);
        let chosen = pool.choose(now, params, |key| self.is_eligible(now, pick, key));
        self.pool = pool;
        chosen.or_else(|| {
            self.best_of(now, pick, 2, |_, target| {
                f64::from(target.own_calls) + target.penalty(now)
            })
        })
    }

    /// Returns the target with a free leased slot that has the smallest share of its slots in use.
    /// Ejected targets come last but are still selected, because the broker has no other slot to
    /// lease.
    fn least_used_leased(&self, now: Instant, pick: &PickConstraints<'_>) -> Option<TargetKey> {
        let keys = self.serving.iter().map(|&index| self.key_at(index));
        let known = keys.filter_map(|key| self.target(key).map(|target| (key, target)));
        known
            .filter(|(key, target)| target.own_calls < target.leased && !pick.avoid.contains(key))
            .min_by_key(|(_, t)| (t.is_ejected(now), t.own_calls * 1_000 / t.slots))
            .map(|(key, _)| key)
    }

    fn next_round_robin(&mut self, now: Instant, pick: &PickConstraints<'_>) -> Option<TargetKey> {
        for _ in 0..self.serving.len() {
            self.cursor = (self.cursor + 1) % self.serving.len();
            let key = self.key_at(self.serving[self.cursor]);
            if self.is_eligible(now, pick, key) && self.ramp_admits(now, key) {
                return Some(key);
            }
        }
        None
    }

    /// Draws up to `choices` eligible targets and returns the one with the lowest cost; of equal
    /// costs the first one drawn.
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
            if !self.is_eligible(now, pick, key) || !self.ramp_admits(now, key) {
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

    /// Returns the target of draw number `drawn`; no target is drawn twice for one call.
    fn draw(&mut self, drawn: usize) -> TargetKey {
        let other = self.rng.random_range(drawn..self.serving.len());
        self.serving.swap(drawn, other);
        self.key_at(self.serving[drawn])
    }

    /// Returns any serving target that is not to be avoided, ejected and cold ones included; used
    /// when the policy finds no target.
    fn any_serving(&mut self, now: Instant, pick: &PickConstraints<'_>) -> Option<TargetKey> {
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

    fn is_eligible(&self, now: Instant, pick: &PickConstraints<'_>, key: TargetKey) -> bool {
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

    /// Probes, of two targets drawn at random, the one with the older report, if the budget allows
    /// it.
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
            generation: self.entries[index as usize].generation,
        }
    }

    fn target(&self, key: TargetKey) -> Option<&Target> {
        let entry = self.entries.get(key.index as usize)?;
        entry
            .target
            .as_ref()
            .filter(|_| entry.generation == key.generation)
    }

    fn target_mut(&mut self, key: TargetKey) -> Option<&mut Target> {
        let entry = self.entries.get_mut(key.index as usize)?;
        entry
            .target
            .as_mut()
            .filter(|_| entry.generation == key.generation)
    }
}

fn is_local(local_domain: Option<&FailureDomain>, target: &Target) -> bool {
    local_domain.is_none_or(|local_domain| *local_domain == target.failure_domain)
}
