//! Choosing a target when its load must be estimated.
//!
//! Answers to: targets with a few slots, neighbours on the same hardware that make a target several
//! times slower for half a second, and many VMs that each see only a part of the load. A report in an
//! answer or probe is exact when it is made and fades: what others have running goes towards the
//! mean of the service, and so does the slowness. Own calls are known at any time.

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

/// Settings of the choice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Age at which a reported slowness has lost two thirds of its weight. Neighbours change within
    /// about half a second.
    pub slowness_fade: time::Duration,
    /// The same for the calls of other VMs that a report showed.
    pub occupancy_fade: time::Duration,
    /// What an answer from another failure domain must save to be worth its way.
    pub domain_penalty: time::Duration,
    /// Failures in a row after which a target is left out.
    pub eject_after: u32,
    /// How long it is left out the first time; doubled for each further failure.
    pub eject_for: time::Duration,
    /// Longest time that a target is left out.
    pub eject_max: time::Duration,
    /// How long a target that didn't answer a question for its load is avoided.
    pub doubt_for: time::Duration,
    /// Factor by which a target in doubt is taken to be slower.
    pub doubt_slowness: f64,
    /// Factor by which a target that warms up is taken to be slower.
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

/// How a call at a target ended, as far as it tells about the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered.
    Answered,
    /// The target refused for lack of room; it is sound.
    Shed,
    /// The target failed, broke off or could not be reached.
    Failed,
    /// The caller left or the time ran out; it says nothing about the target.
    Cancelled,
}

/// What a call needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand<'a> {
    /// Service of the call.
    pub service: &'a types::ServiceName,
    /// Time that the work takes on a target that isn't slowed.
    pub work: time::Duration,
    /// Targets that the call was sent to before.
    pub tried: &'a [types::TargetId],
}

/// A chosen target.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The target.
    pub target: types::TargetId,
    /// What was known about it.
    pub estimate: Estimate,
    /// When the answer is expected, counted from now.
    pub expected_latency: time::Duration,
    /// It failed lately and is used only when there is no other.
    pub ejected: bool,
}

/// Load of all targets as this VM sees it.
#[derive(Debug)]
pub struct Placement {
    cfg: Config,
    own_domain: types::FailureDomain,
    targets: collections::BTreeMap<types::TargetId, Target>,
    services: collections::BTreeMap<types::ServiceName, Service>,
    near: Position,
    all: Position,
    rng: rngs::SmallRng,
}

/// Place of this VM among VMs that choose from the same targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// Number of VMs before this one.
    pub rank: usize,
    /// Number of VMs; 0 while they are not known.
    pub count: usize,
}

impl Position {
    /// Returns how far the `index`th of `len` targets is from the first that this VM prefers. VMs
    /// prefer targets that lie apart, so that they meet as late as possible.
    fn distance(self, index: usize, len: usize) -> usize {
        let start = self.rank * len / self.count.max(1);
        (index + len - start.min(len)) % len.max(1)
    }
}

/// What is known of the targets of a service together.
#[derive(Debug)]
pub(super) struct Service {
    members: collections::BTreeSet<types::TargetId>,
    slowness: f64,
    occupancy: f64,
    contention: Contention,
}

/// Share of the work by which an own call makes a target of unknown load look busier.
const UNKNOWN_LOAD_SPREAD: f64 = 0.5;

/// Share of the work by which each further target in this VM's order of preference is put back; above
/// the jitter, below an own call.
const UNKNOWN_LOAD_ORDER: f64 = 0.04;

/// Weight of a new report in the means of a service: about the last thirty reports count.
const MEAN_WEIGHT: f64 = 1.0 / 30.0;

impl Placement {
    /// Creates a placement without targets.
    pub fn new(cfg: Config, own_domain: types::FailureDomain, rng: rngs::SmallRng) -> Placement {
        Placement {
            cfg,
            own_domain,
            targets: collections::BTreeMap::new(),
            services: collections::BTreeMap::new(),
            near: Position::default(),
            all: Position::default(),
            rng,
        }
    }

    /// Sets the place of this VM among those of its failure domain and among all.
    pub fn set_position(&mut self, near: Position, all: Position) {
        self.near = near;
        self.all = all;
    }

    /// Takes over a target that may get calls. A later life begins without history.
    pub fn add(&mut self, now: core_time::Instant, report: &fleet::Announcement) {
        let same_domain = report.failure_domain == self.own_domain;
        let known = self.targets.get_mut(&report.target);
        if let Some(target) = known
            && target.born == report.born
            && target.service == report.service
        {
            target.renew(now, report);
            return;
        }
        self.remove(&report.target);
        let target = Target::new(now, report, same_domain);
        self.targets.insert(report.target.clone(), target);
        let service = self.services.entry(report.service.clone());
        let service = service.or_insert_with(|| Service {
            members: collections::BTreeSet::new(),
            slowness: 1.0,
            occupancy: 0.0,
            contention: Contention::default(),
        });
        service.members.insert(report.target.clone());
    }

    /// Forgets a target.
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

    /// Takes the load that a target reported in an answer or probe, or that another VM passed on.
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
            let busy = f64::from(load.running + load.waiting);
            service.slowness += (slowness - service.slowness) * MEAN_WEIGHT;
            service.occupancy += (busy - service.occupancy) * MEAN_WEIGHT;
        }
    }

    /// Counts a call that is being sent to a target.
    pub fn started(&mut self, target: &types::TargetId) {
        if let Some(target) = self.targets.get_mut(target) {
            target.in_flight += 1;
        }
    }

    /// Counts the end of a call at a target; returns whether the target was ejected by it.
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

    /// Returns what is known about a target.
    pub fn estimate(&self, now: core_time::Instant, target: &types::TargetId) -> Option<Estimate> {
        let target = self.targets.get(target)?;
        let service = self.services.get(&target.service)?;
        Some(target.estimate(now, service, &self.cfg))
    }

    /// Returns the targets that a call wasn't sent to yet, best first: the earliest expected answer,
    /// ejected targets last.
    pub fn ranked(&mut self, now: core_time::Instant, demand: &Demand<'_>) -> Vec<Choice> {
        let Some(service) = self.services.get(demand.service) else {
            return Vec::new();
        };
        let mut ranked = Vec::with_capacity(service.members.len());
        let near = |id: &&types::TargetId| self.targets.get(*id).is_some_and(|t| t.same_domain);
        let near_len = service.members.iter().filter(near).count();
        let far_len = service.members.len() - near_len;
        let (mut near_index, mut far_index) = (0, 0);
        for id in &service.members {
            let distance = match self.targets.get(id).is_some_and(|t| t.same_domain) {
                true => {
                    near_index += 1;
                    self.near.distance(near_index - 1, near_len)
                }
                false => {
                    far_index += 1;
                    self.all.distance(far_index - 1, far_len)
                }
            };
            let Some(target) = self.targets.get(id).filter(|_| !demand.tried.contains(id)) else {
                continue;
            };
            let estimate = target.estimate(now, service, &self.cfg);
            let expected_latency = estimate.expected_latency(demand.work);
            // Spreads the choices of VMs that see equal targets.
            let jitter = self.rng.random_range(0.0..0.02) * demand.work.as_secs_f64();
            let penalty = match target.same_domain {
                true => 0.0,
                false => self.cfg.domain_penalty.as_secs_f64(),
            };
            // The calls of other VMs on a target that tells no load aren't known: own calls are spread
            // over targets that other VMs prefer less.
            let unknown = match target.reports_load {
                true => 0.0,
                false => {
                    let own = f64::from(target.in_flight) * UNKNOWN_LOAD_SPREAD;
                    let order = distance as f64 * UNKNOWN_LOAD_ORDER;
                    (own + order) * demand.work.as_secs_f64()
                }
            };
            let cost = expected_latency.as_secs_f64() + penalty + jitter + unknown;
            let choice = Choice {
                target: id.clone(),
                estimate,
                expected_latency,
                ejected: target.ejected(now),
            };
            ranked.push((cost, choice));
        }
        ranked.sort_by(|(a, x), (b, y)| x.ejected.cmp(&y.ejected).then(a.total_cmp(b)));
        ranked.into_iter().map(|(_, choice)| choice).collect()
    }

    /// Chooses the best target by what is known. `None` when the service has no target that the
    /// call wasn't sent to yet.
    pub fn choose(&mut self, now: core_time::Instant, demand: &Demand<'_>) -> Option<Choice> {
        self.ranked(now, demand).into_iter().next()
    }

    /// Learns from a call that began beside `running - 1` others and took `slowdown` times the usual work.
    pub fn record_slowdown(&mut self, service: &types::ServiceName, running: u32, slowdown: f64) {
        if let Some(service) = self.services.get_mut(service) {
            service.contention.record(running, slowdown);
        }
    }

    /// Notes that a target answered without telling its load, so that asking it is of no use.
    pub fn answered_without_load(&mut self, target: &types::TargetId) {
        if let Some(target) = self.targets.get_mut(target) {
            target.reports_load = false;
        }
    }

    /// Returns whether asking a target for its load is of use.
    pub fn reports_load(&self, target: &types::TargetId) -> bool {
        self.targets
            .get(target)
            .is_some_and(|target| target.reports_load)
    }

    /// Notes that a target didn't answer when it was asked for its load.
    pub fn probe_unanswered(&mut self, now: core_time::Instant, target: &types::TargetId) {
        let doubt = self.cfg.doubt_for;
        if let Some(target) = self.targets.get_mut(target) {
            target.doubted_until = Some(now + doubt);
        }
    }
}
