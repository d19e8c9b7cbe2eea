//! Selects the target of a call from estimates of each target's load.
//!
//! Targets have few slots, neighbours on the same hardware make a target several times slower for
//! about half a second, and each of many VMs sees only a part of the load. Every VM estimates the
//! state of a target from two inputs: its own calls in flight, which are exact at any time, and
//! load reports that arrive in responses to calls, in responses to probes, or from other VMs. A
//! report is exact only when it is made. As it ages, its slowness and the calls of other VMs in it
//! move towards the mean of the service.

mod cold;
mod contention;
mod estimate;
mod group;
mod hedge;
mod probe_rate;
mod queue;
mod room;
mod search;
mod target;

use std::{collections, time};

use rand::{Rng, rngs};
use serde::{Deserialize, Serialize};

pub use self::contention::Contention;
pub use self::estimate::{Estimate, LoadReport};
pub use self::group::{Group, MAX_GROUP_VMS, Position};
pub use self::hedge::{Hedge, InFlight, hedge};
pub use self::probe_rate::ProbeRate;
pub use self::queue::{Queue, Ticket};
pub use self::room::{RoomRule, Unreported};
pub use self::search::{Obstacle, Search, SearchConfig, Step};
use self::target::Target;
use crate::{evacuation, fleet, time as core_time, types, warmup};

/// Settings of the estimates and of target ejection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Age at which a reported slowness has lost two thirds of its weight. The load of neighbours
    /// on the same hardware changes within about half a second.
    pub slowness_fade: time::Duration,
    /// Age at which the calls of other VMs in a report have lost two thirds of their weight.
    pub occupancy_fade: time::Duration,
    /// Latency that a target in another failure domain must save to be preferred.
    pub domain_penalty: time::Duration,
    /// The same as a share of the service time; the larger of both counts.
    pub domain_penalty_share: f64,
    /// Share of the service time that a target of the own failure domain must save to be preferred
    /// although another group of VMs prefers it; less than that of another failure domain.
    pub group_penalty: f64,
    /// Number of consecutive failures that eject a target.
    pub eject_after: u32,
    /// Duration of the first ejection; doubled with each further failure.
    pub eject_for: time::Duration,
    /// Longest ejection.
    pub eject_max: time::Duration,
    /// Time for which a target that did not answer a probe counts as slower.
    pub doubt_for: time::Duration,
    /// Factor on the service time of a target that did not answer a probe.
    pub doubt_slowness: f64,
    /// Factor on the service time of a target that is warming up.
    pub warmup_slowness: f64,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            slowness_fade: time::Duration::from_millis(400),
            occupancy_fade: time::Duration::from_millis(200),
            domain_penalty: time::Duration::from_millis(60),
            domain_penalty_share: 0.5,
            group_penalty: 0.3,
            eject_after: 2,
            eject_for: time::Duration::from_millis(500),
            eject_max: time::Duration::from_secs(4),
            doubt_for: time::Duration::from_millis(500),
            doubt_slowness: 5.0,
            warmup_slowness: 2.0,
        }
    }
}

/// Result of a call at a target, as evidence about the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered.
    Answered,
    /// The target refused the call for lack of capacity, which is not a failure.
    Shed,
    /// The target failed, closed the connection early or could not be reached.
    Failed,
    /// The caller disconnected or the deadline passed; this is no evidence about the target.
    Cancelled,
}

/// Properties of a call that decide its target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand<'a> {
    /// Service of the call.
    pub service: &'a types::ServiceName,
    /// Expected service time on a target that is not slowed down.
    pub work: time::Duration,
    /// Targets that the call was already sent to; they are not selected again.
    pub tried: &'a [types::TargetId],
}

/// A candidate target for a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The target.
    pub target: types::TargetId,
    /// Estimated state of the target.
    pub estimate: Estimate,
    /// Expected time until the response.
    pub expected_latency: time::Duration,
    /// Whether the target is ejected after failures; it is used only when there is no other.
    pub ejected: bool,
}

/// Estimated load of all targets, kept by one VM from its own calls and from load reports.
#[derive(Debug)]
pub struct Placement {
    cfg: Config,
    own_domain: types::FailureDomain,
    /// Service of each target.
    services_by_target: collections::BTreeMap<types::TargetId, types::ServiceName>,
    services: collections::BTreeMap<types::ServiceName, Service>,
    domain_position: Position,
    system_position: Position,
    evacuated: evacuation::Evacuations,
    /// Cold targets, and the calls that this VM may send to them.
    pub cold: warmup::ColdTargets,
    /// Whether free slots are shared with other VMs that learn of them at the same time.
    shares_slots: bool,
    /// Time of the latest ranking, after which calls are sent.
    ranked_at: core_time::Instant,
    rng: rngs::SmallRng,
}

/// Targets of a service.
#[derive(Debug, Default)]
struct Service {
    targets: collections::BTreeMap<types::TargetId, Target>,
    means: ServiceMeans,
}

/// Means over the reports of the targets of a service.
#[derive(Debug)]
pub(super) struct ServiceMeans {
    slowness: f64,
    occupancy: f64,
    contention: Contention,
}

impl Default for ServiceMeans {
    fn default() -> Self {
        ServiceMeans {
            slowness: 1.0,
            occupancy: 0.0,
            contention: Contention::default(),
        }
    }
}

/// Largest number of candidates that a ranking returns. A call probes and tries only the first few.
pub const MAX_CANDIDATES: usize = 32;

/// A candidate while the targets of a service are ranked.
struct Ranked<'a> {
    id: &'a types::TargetId,
    cost: f64,
    estimate: Estimate,
    expected_latency: time::Duration,
    ejected: bool,
}

impl Ranked<'_> {
    fn into_choice(self) -> Choice {
        Choice {
            target: self.id.clone(),
            estimate: self.estimate,
            expected_latency: self.expected_latency,
            ejected: self.ejected,
        }
    }
}

/// Why a target is no candidate for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exclusion {
    /// The call was already sent to it.
    Tried,
    /// Its failure domain is evacuated.
    Evacuated,
    /// It is cold, and this VM may send no call to it now.
    Cold,
}

fn sorted_choices(mut ranked: Vec<Ranked<'_>>) -> Vec<Choice> {
    ranked.sort_by(|a, b| a.ejected.cmp(&b.ejected).then(a.cost.total_cmp(&b.cost)));
    ranked.truncate(MAX_CANDIDATES);
    ranked.into_iter().map(Ranked::into_choice).collect()
}

/// Share of the service time that each own call in flight adds to the cost of a target of unknown
/// load.
const UNKNOWN_LOAD_OWN_CALL_COST: f64 = 0.5;

/// Share of the service time that each step in this VM's order of preference adds to the cost of a
/// target of unknown load; more than the jitter, less than an own call.
const UNKNOWN_LOAD_ORDER_COST: f64 = 0.04;

/// Weight of a new report in the means of a service, which cover about the last thirty reports.
const SERVICE_MEAN_WEIGHT: f64 = 1.0 / 30.0;

impl Placement {
    /// Creates a placement without targets.
    pub fn new(cfg: Config, own_domain: types::FailureDomain, rng: rngs::SmallRng) -> Placement {
        Placement {
            cfg,
            own_domain,
            services_by_target: collections::BTreeMap::new(),
            services: collections::BTreeMap::new(),
            domain_position: Position::default(),
            system_position: Position::default(),
            evacuated: evacuation::Evacuations::default(),
            cold: warmup::ColdTargets::default(),
            shares_slots: false,
            ranked_at: core_time::Instant(0),
            rng,
        }
    }

    /// Sets the position of this VM in its failure domain and among all VMs.
    pub fn set_position(&mut self, domain_position: Position, system_position: Position) {
        self.domain_position = domain_position;
        self.system_position = system_position;
    }

    /// Sets the failure domains whose targets get no calls and no probes.
    pub fn set_evacuations(&mut self, evacuated: &evacuation::Evacuations) {
        self.evacuated = evacuated.clone();
    }

    /// Returns the targets of the own failure domain that the group of this VM prefers, none while
    /// the domain is evacuated.
    pub fn group_targets(&self) -> impl Iterator<Item = &types::TargetId> {
        let group = self.domain_position.group();
        let evacuated = self.evacuated.contains(&self.own_domain);
        self.services.values().flat_map(move |service| {
            let in_domain = service
                .targets
                .iter()
                .filter(|(_, target)| target.same_domain && !evacuated);
            let ids: Vec<&types::TargetId> = in_domain.map(|(id, _)| id).collect();
            let own_part = group.range(ids.len());
            ids.into_iter().skip(own_part.start).take(own_part.len())
        })
    }

    /// Adds a target that may get calls, or updates it. A new incarnation starts without history.
    pub fn add(&mut self, now: core_time::Instant, announcement: &fleet::Announcement) {
        self.cold.learned(now, announcement);
        let same_domain = announcement.failure_domain == self.own_domain;
        if let Some(target) = self.target_mut(&announcement.target)
            && target.born == announcement.born
            && target.service == announcement.service
        {
            target.update(now, announcement);
            return;
        }
        self.remove_estimates(&announcement.target);
        let target = Target::new(now, announcement, same_domain);
        let id = &announcement.target;
        self.services_by_target
            .insert(id.clone(), announcement.service.clone());
        let service = self.services.entry(announcement.service.clone());
        service.or_default().targets.insert(id.clone(), target);
    }

    fn target(&self, id: &types::TargetId) -> Option<&Target> {
        let service = self.services.get(self.services_by_target.get(id)?)?;
        service.targets.get(id)
    }

    fn target_mut(&mut self, id: &types::TargetId) -> Option<&mut Target> {
        let service = self.services.get_mut(self.services_by_target.get(id)?)?;
        service.targets.get_mut(id)
    }

    /// Removes a target and its estimates.
    pub fn remove(&mut self, target: &types::TargetId) {
        self.cold.remove(target);
        self.remove_estimates(target);
    }

    fn remove_estimates(&mut self, target: &types::TargetId) {
        if let Some(service) = self.services_by_target.remove(target)
            && let Some(service) = self.services.get_mut(&service)
        {
            service.targets.remove(target);
        }
    }

    /// Returns the number of targets of a service.
    pub fn len(&self, service: &types::ServiceName) -> usize {
        self.services
            .get(service)
            .map_or(0, |service| service.targets.len())
    }

    /// Returns whether a service has no target.
    pub fn is_empty(&self, service: &types::ServiceName) -> bool {
        self.len(service) == 0
    }

    /// Records a load report that arrived in the response to a call or a probe, or from another VM.
    pub fn reported(
        &mut self,
        at: core_time::Instant,
        target: &types::TargetId,
        load: &LoadReport,
    ) {
        let name = self.services_by_target.get(target);
        let Some(service) = name.and_then(|name| self.services.get_mut(name)) else {
            return;
        };
        let Some(known) = service.targets.get_mut(target) else {
            return;
        };
        let load = load.bounded();
        let part = service
            .means
            .part_of_free_slots(&load, self.system_position.count);
        let takes_one_more = !self.shares_slots || self.rng.random_bool(part);
        if !known.reported(at, &load, self.shares_slots, takes_one_more) {
            return;
        }
        let means = &mut service.means;
        let slowness = known.last_slowness();
        let occupancy = f64::from(load.running + load.waiting);
        means.slowness += (slowness - means.slowness) * SERVICE_MEAN_WEIGHT;
        means.occupancy += (occupancy - means.occupancy) * SERVICE_MEAN_WEIGHT;
    }

    /// Records that a call is sent to a target.
    pub fn started(&mut self, target: &types::TargetId) {
        let now = self.ranked_at;
        if let Some(target) = self.target_mut(target) {
            target.started(now);
        }
    }

    /// Records the result of a call at a target; returns whether it ejected the target.
    pub fn finished(
        &mut self,
        now: core_time::Instant,
        target: &types::TargetId,
        outcome: Outcome,
    ) -> bool {
        let cfg = self.cfg.clone();
        let known = self.target_mut(target);
        known.is_some_and(|target| target.finished(now, outcome, &cfg))
    }

    /// Returns the estimated state of a target; `None` when the target is not known.
    pub fn estimate(&self, now: core_time::Instant, target: &types::TargetId) -> Option<Estimate> {
        let service = self.services.get(self.services_by_target.get(target)?)?;
        let target = service.targets.get(target)?;
        Some(target.estimate(now, &service.means, &self.cfg))
    }

    /// Returns the candidates for a call by rising cost, at most [`MAX_CANDIDATES`]. Left out are the
    /// targets that it was already sent to, those of evacuated failure domains, and cold targets to
    /// which this VM may send no call now. The cost is the expected latency with penalties; ejected
    /// targets are last.
    pub fn ranked(&mut self, now: core_time::Instant, demand: &Demand<'_>) -> Vec<Choice> {
        self.ranked_at = self.ranked_at.max(now);
        let mut rng = self.rng.clone();
        let mut ranked = self.assess(now, demand, |_, _| {});
        for candidate in &mut ranked {
            // Spreads the choices of VMs whose estimates are equal.
            candidate.cost += rng.random_range(0.0..0.02) * demand.work.as_secs_f64();
        }
        let choices = sorted_choices(ranked);
        self.rng = rng;
        choices
    }

    /// Returns the candidates for a call in the order of their targets, and calls `on_excluded` for each
    /// target that is none.
    fn assess(
        &self,
        now: core_time::Instant,
        demand: &Demand<'_>,
        mut on_excluded: impl FnMut(&types::TargetId, Exclusion),
    ) -> Vec<Ranked<'_>> {
        let Some(service) = self.services.get(demand.service) else {
            return Vec::new();
        };
        let domain_group = self.domain_position.group();
        let local_len = service.targets.values().filter(|t| t.same_domain).count();
        let remote_len = service.targets.len() - local_len;
        let own_part = domain_group.range(local_len);
        let work = demand.work.as_secs_f64();
        let domain_penalty = self.cfg.domain_penalty.as_secs_f64();
        let domain_penalty = domain_penalty.max(self.cfg.domain_penalty_share * work);
        let (mut local_index, mut remote_index) = (0, 0);
        let mut ranked = Vec::with_capacity(service.targets.len());
        for (id, target) in &service.targets {
            let (distance, penalty) = match target.same_domain {
                true => {
                    let index = local_index;
                    local_index += 1;
                    let group_penalty = match own_part.contains(&index) {
                        true => 0.0,
                        false => self.cfg.group_penalty * work,
                    };
                    let distance = self.domain_position.distance(index, local_len);
                    (distance, group_penalty)
                }
                false => {
                    remote_index += 1;
                    let distance = self.system_position.distance(remote_index - 1, remote_len);
                    (distance, domain_penalty)
                }
            };
            let exclusion = match () {
                () if demand.tried.contains(id) => Some(Exclusion::Tried),
                () if self.evacuated.contains(&target.failure_domain) => Some(Exclusion::Evacuated),
                () if !self.cold.may_send(now, id) => Some(Exclusion::Cold),
                () => None,
            };
            if let Some(exclusion) = exclusion {
                on_excluded(id, exclusion);
                continue;
            }
            let estimate = target.estimate(now, &service.means, &self.cfg);
            let expected_latency = estimate.expected_latency(demand.work);
            // The calls of other VMs on a target without load reports are not known. Own calls are
            // spread over the targets that other VMs prefer less.
            let unknown_load_cost = match target.reports_load {
                true => 0.0,
                false => {
                    let own_cost = f64::from(target.in_flight) * UNKNOWN_LOAD_OWN_CALL_COST;
                    let order_cost = distance as f64 * UNKNOWN_LOAD_ORDER_COST;
                    (own_cost + order_cost) * work
                }
            };
            ranked.push(Ranked {
                id,
                cost: expected_latency.as_secs_f64() + penalty + unknown_load_cost,
                estimate,
                expected_latency,
                ejected: target.is_ejected(now),
            });
        }
        ranked
    }

    /// Returns the candidates for a call as [`Placement::ranked`] does, without the jitter, and why the
    /// other targets are none. Changes nothing.
    pub fn survey(
        &self,
        now: core_time::Instant,
        demand: &Demand<'_>,
    ) -> (Vec<Choice>, Vec<(types::TargetId, Exclusion)>) {
        let mut excluded = Vec::new();
        let ranked = self.assess(now, demand, |id, why| excluded.push((id.clone(), why)));
        (sorted_choices(ranked), excluded)
    }

    /// Returns the failure domain of a target.
    pub fn failure_domain(&self, target: &types::TargetId) -> Option<&types::FailureDomain> {
        self.target(target).map(|target| &target.failure_domain)
    }

    /// Returns the best candidate for a call; `None` when the call was already sent to all targets
    /// of the service, or the service has none.
    pub fn choose(&mut self, now: core_time::Instant, demand: &Demand<'_>) -> Option<Choice> {
        self.ranked(now, demand).into_iter().next()
    }

    /// Records that a call took `slowdown` times the usual service time. It started on a target
    /// that already ran `running - 1` calls.
    pub fn record_slowdown(&mut self, service: &types::ServiceName, running: u32, slowdown: f64) {
        if let Some(service) = self.services.get_mut(service) {
            service.means.contention.record(running, slowdown);
        }
    }

    /// Records that a target answered a probe without a load report; it is not probed until it
    /// reports its load.
    pub fn answered_without_load(&mut self, target: &types::TargetId) {
        if let Some(target) = self.target_mut(target) {
            target.reports_load = false;
        }
    }

    /// Returns whether a target reports its load, so that probes of it are useful.
    pub fn reports_load(&self, target: &types::TargetId) -> bool {
        self.target(target)
            .is_some_and(|target| target.reports_load)
    }

    /// Records that a target did not answer a probe.
    pub fn probe_unanswered(&mut self, now: core_time::Instant, target: &types::TargetId) {
        let penalty_duration = self.cfg.doubt_for;
        if let Some(target) = self.target_mut(target) {
            target.slow_until = Some(now + penalty_duration);
        }
    }
}
