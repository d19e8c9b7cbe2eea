//! Selects the target of a call from estimates of each target's load.
//!
//! Targets have few slots, neighbours on the same hardware make a target several times slower for
//! about half a second, and each of many VMs sees only a part of the load. Every VM estimates the
//! state of a target from two inputs: its own calls in flight, which are exact at any time, and
//! load reports that arrive in responses to calls, in responses to probes, or from other VMs. A
//! report is exact only when it is made. As it ages, its slowness and the calls of other VMs in it
//! move towards the mean of the service.

mod contention;
mod estimate;
mod hedge;
mod queue;
mod search;
mod target;

use std::{collections, time};

use rand::{Rng, rngs};
use serde::{Deserialize, Serialize};

pub use self::contention::Contention;
pub use self::estimate::{Estimate, LoadReport};
pub use self::hedge::{Hedge, InFlight, hedge};
pub use self::queue::{Queue, Ticket};
pub use self::search::{Search, SearchConfig, Step};
use self::target::Target;
use crate::{fleet, time as core_time, types};

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
    targets: collections::BTreeMap<types::TargetId, Target>,
    services: collections::BTreeMap<types::ServiceName, Service>,
    domain_position: Position,
    system_position: Position,
    rng: rngs::SmallRng,
}

/// Position of this VM in the ordered list of VMs that select from the same targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// Number of VMs that precede this one.
    pub rank: usize,
    /// Number of VMs; 0 while it is not known.
    pub count: usize,
}

impl Position {
    /// Returns how far the `index`th of `len` targets is from the one that this VM prefers most.
    /// The preferred targets of the VMs are spread evenly over the list, so that two VMs use the
    /// same target as late as possible.
    fn distance(self, index: usize, len: usize) -> usize {
        let start = self.rank * len / self.count.max(1);
        (index + len - start.min(len)) % len.max(1)
    }
}

/// Targets of a service and the means over their reports.
#[derive(Debug)]
pub(super) struct Service {
    members: collections::BTreeSet<types::TargetId>,
    slowness: f64,
    occupancy: f64,
    contention: Contention,
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
            targets: collections::BTreeMap::new(),
            services: collections::BTreeMap::new(),
            domain_position: Position::default(),
            system_position: Position::default(),
            rng,
        }
    }

    /// Sets the position of this VM in its failure domain and among all VMs.
    pub fn set_position(&mut self, domain_position: Position, system_position: Position) {
        self.domain_position = domain_position;
        self.system_position = system_position;
    }

    /// Adds a target that may get calls, or updates it. A new incarnation starts without history.
    pub fn add(&mut self, now: core_time::Instant, announcement: &fleet::Announcement) {
        let same_domain = announcement.failure_domain == self.own_domain;
        let known = self.targets.get_mut(&announcement.target);
        if let Some(target) = known
            && target.born == announcement.born
            && target.service == announcement.service
        {
            target.update(now, announcement);
            return;
        }
        self.remove(&announcement.target);
        let target = Target::new(now, announcement, same_domain);
        self.targets.insert(announcement.target.clone(), target);
        let service = self.services.entry(announcement.service.clone());
        let service = service.or_insert_with(|| Service {
            members: collections::BTreeSet::new(),
            slowness: 1.0,
            occupancy: 0.0,
            contention: Contention::default(),
        });
        service.members.insert(announcement.target.clone());
    }

    /// Removes a target and its estimates.
    pub fn remove(&mut self, target: &types::TargetId) {
        if let Some(old) = self.targets.remove(target)
            && let Some(service) = self.services.get_mut(&old.service)
        {
            service.members.remove(target);
        }
    }

    /// Returns the number of targets of a service.
    pub fn len(&self, service: &types::ServiceName) -> usize {
        self.services.get(service).map_or(0, |s| s.members.len())
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
        let Some(known) = self.targets.get_mut(target) else {
            return;
        };
        if !known.reported(at, load) {
            return;
        }
        if let Some(service) = self.services.get_mut(&known.service) {
            let slowness = known.last_slowness();
            let occupancy = f64::from(load.running + load.waiting);
            service.slowness += (slowness - service.slowness) * SERVICE_MEAN_WEIGHT;
            service.occupancy += (occupancy - service.occupancy) * SERVICE_MEAN_WEIGHT;
        }
    }

    /// Records that a call is sent to a target.
    pub fn started(&mut self, target: &types::TargetId) {
        if let Some(target) = self.targets.get_mut(target) {
            target.in_flight += 1;
        }
    }

    /// Records the result of a call at a target; returns whether it ejected the target.
    pub fn finished(
        &mut self,
        now: core_time::Instant,
        target: &types::TargetId,
        outcome: Outcome,
    ) -> bool {
        let cfg = &self.cfg;
        let known = self.targets.get_mut(target);
        known.is_some_and(|target| target.finished(now, outcome, cfg))
    }

    /// Returns the estimated state of a target; `None` when the target is not known.
    pub fn estimate(&self, now: core_time::Instant, target: &types::TargetId) -> Option<Estimate> {
        let target = self.targets.get(target)?;
        let service = self.services.get(&target.service)?;
        Some(target.estimate(now, service, &self.cfg))
    }

    /// Returns the candidates for a call, without the targets that it was already sent to, by
    /// rising cost. The cost is the expected latency with penalties; ejected targets are last.
    pub fn ranked(&mut self, now: core_time::Instant, demand: &Demand<'_>) -> Vec<Choice> {
        let Some(service) = self.services.get(demand.service) else {
            return Vec::new();
        };
        let mut ranked = Vec::with_capacity(service.members.len());
        let is_local = |id: &&types::TargetId| self.targets.get(*id).is_some_and(|t| t.same_domain);
        let local_len = service.members.iter().filter(is_local).count();
        let remote_len = service.members.len() - local_len;
        let (mut local_index, mut remote_index) = (0, 0);
        for id in &service.members {
            let distance = match self.targets.get(id).is_some_and(|t| t.same_domain) {
                true => {
                    local_index += 1;
                    self.domain_position.distance(local_index - 1, local_len)
                }
                false => {
                    remote_index += 1;
                    self.system_position.distance(remote_index - 1, remote_len)
                }
            };
            let Some(target) = self.targets.get(id).filter(|_| !demand.tried.contains(id)) else {
                continue;
            };
            let estimate = target.estimate(now, service, &self.cfg);
            let expected_latency = estimate.expected_latency(demand.work);
            // Spreads the choices of VMs whose estimates are equal.
            let jitter = self.rng.random_range(0.0..0.02) * demand.work.as_secs_f64();
            let penalty = match target.same_domain {
                true => 0.0,
                false => self.cfg.domain_penalty.as_secs_f64(),
            };
            // The calls of other VMs on a target without load reports are not known. Own calls are
            // spread over the targets that other VMs prefer less.
            let unknown_load_cost = match target.reports_load {
                true => 0.0,
                false => {
                    let own_cost = f64::from(target.in_flight) * UNKNOWN_LOAD_OWN_CALL_COST;
                    let order_cost = distance as f64 * UNKNOWN_LOAD_ORDER_COST;
                    (own_cost + order_cost) * demand.work.as_secs_f64()
                }
            };
            let cost = expected_latency.as_secs_f64() + penalty + jitter + unknown_load_cost;
            let choice = Choice {
                target: id.clone(),
                estimate,
                expected_latency,
                ejected: target.is_ejected(now),
            };
            ranked.push((cost, choice));
        }
        ranked.sort_by(|(a, x), (b, y)| x.ejected.cmp(&y.ejected).then(a.total_cmp(b)));
        ranked.into_iter().map(|(_, choice)| choice).collect()
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
            service.contention.record(running, slowdown);
        }
    }

    /// Records that a target answered a probe without a load report; it is not probed until it
    /// reports its load.
    pub fn answered_without_load(&mut self, target: &types::TargetId) {
        if let Some(target) = self.targets.get_mut(target) {
            target.reports_load = false;
        }
    }

    /// Returns whether a target reports its load, so that probes of it are useful.
    pub fn reports_load(&self, target: &types::TargetId) -> bool {
        self.targets
            .get(target)
            .is_some_and(|target| target.reports_load)
    }

    /// Records that a target did not answer a probe.
    pub fn probe_unanswered(&mut self, now: core_time::Instant, target: &types::TargetId) {
        let penalty_duration = self.cfg.doubt_for;
        if let Some(target) = self.targets.get_mut(target) {
            target.slow_until = Some(now + penalty_duration);
        }
    }
}
