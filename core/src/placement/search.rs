//! Search for a target that can start a call at once.
//!
//! Neighbours on the same hardware make a target several times slower from one moment to the next,
//! so a load report is often out of date. The best candidates are therefore probed right before a
//! call is sent, a few at a time, until one reports a free slot and its usual speed. If there is
//! none, the call waits in the queue of its service. A call that can no longer meet its latency
//! objective is sent to any target with a free slot that is expected to answer before the deadline.
//! It is not sent into the queue of a target, where it would be served before calls that can still
//! meet theirs.
//!
//! The search decides on the estimates of [`Placement`]; the caller sends the probes and the call.
//!
//! Source of probes before each call: Wydrowski et al., "Load is not what you should balance:
//! Introducing Prequal", NSDI 2024 (its synchronous mode).

use std::{collections, time};

use serde::{Deserialize, Serialize};

use super::{Choice, Demand, Placement, RoomRule};
use crate::{time as core_time, types};

/// Settings of a search.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SearchConfig {
    /// Age up to which a report counts as the current state of the target: one round trip within a
    /// failure domain.
    pub fresh: time::Duration,
    /// Number of targets probed at the same time.
    pub ask: usize,
    /// Time after which the same call may probe a target again.
    pub ask_again: time::Duration,
    /// Time after which a call that found no target with capacity searches again.
    pub pause: time::Duration,
    /// Slowness up to which a target counts as having its usual speed.
    pub good_slowness: f64,
    /// Multiple of the mean service time that must be left until the latency objective; with less,
    /// a call is late.
    pub work_margin: f64,
    /// Share of the time until its deadline for which a call may wait.
    pub wait_share: f64,
}

impl Default for SearchConfig {
    fn default() -> Self {
        SearchConfig {
            fresh: time::Duration::from_millis(4),
            ask: 2,
            ask_again: time::Duration::from_millis(25),
            pause: time::Duration::from_millis(5),
            good_slowness: 1.5,
            work_margin: 1.3,
            wait_share: 0.25,
        }
    }
}

/// Next step for a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Send the call to this target.
    Send(Choice),
    /// Probe these targets for their load, then call [`Search::step`] again.
    Probe(Vec<types::TargetId>),
    /// Wait in the queue, then call [`Search::step`] again.
    Wait {
        /// Time until the next step.
        pause: time::Duration,
        /// Whether the call can no longer meet its latency objective.
        late: bool,
    },
    /// No target is expected to answer in time.
    Overloaded,
    /// The call was already sent to all targets of the service, or the service has none.
    NoTarget,
}

/// Why a candidate gets no call by its estimate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obstacle {
    /// It has failed several times in a row.
    Ejected,
    /// All its slots are taken.
    Full,
    /// Its free slots are left to other VMs.
    Shared,
    /// It is not expected to answer before the deadline.
    Slow,
    /// It has stopped to report its load, or has not reported it and this VM uses its part of the slots.
    Unknown,
}

/// The search for one call.
#[derive(Clone, Debug)]
pub struct Search {
    cfg: SearchConfig,
    objective: core_time::Instant,
    deadline: core_time::Instant,
    /// Time until which the call may wait.
    wait_until: core_time::Instant,
    /// Whether a target gets at most one call for each of its reports.
    shares_slots: bool,
    /// Set if targets whose load is not known well get no more calls than they have room for.
    room: Option<RoomRule>,
    /// Whether cold targets are chosen only if no warm one has capacity.
    avoids_cold: bool,
    /// When this call last probed each target.
    probed_at: collections::BTreeMap<types::TargetId, core_time::Instant>,
}

impl Search {
    /// Starts the search for a call with the given latency objective and deadline.
    pub fn new(
        cfg: SearchConfig,
        now: core_time::Instant,
        objective: core_time::Instant,
        deadline: core_time::Instant,
    ) -> Search {
        let wait_until = now + deadline.since(now).mul_f64(cfg.wait_share);
        Search {
            cfg,
            objective,
            deadline,
            wait_until,
            shares_slots: false,
            room: None,
            avoids_cold: false,
            probed_at: collections::BTreeMap::new(),
        }
    }

    /// Lets a target get at most one call for each of its reports, and while slots are scarce only from
    /// some of the VMs that learn of a free one at the same time.
    pub fn with_shared_slots(self) -> Search {
        Search {
            shares_slots: true,
            ..self
        }
    }

    /// Leaves room at targets whose load this VM does not know well, and sends calls to targets that
    /// report no load in the order of the queue.
    pub fn with_room(self, rule: RoomRule) -> Search {
        Search {
            room: Some(rule),
            ..self
        }
    }

    /// Chooses a cold target only if no warm one has capacity: cold targets are slower, and a call that
    /// may run only once can't be hedged there.
    pub fn avoiding_cold_targets(self) -> Search {
        Search {
            avoids_cold: true,
            ..self
        }
    }

    /// Removes the cold targets from the candidates and returns them, if they are avoided and a warm
    /// one has capacity.
    fn remove_cold(
        &self,
        now: core_time::Instant,
        placement: &Placement,
        candidates: &mut Vec<Choice>,
    ) -> Vec<Choice> {
        let is_cold = |choice: &Choice| placement.cold.is_cold(now, &choice.target);
        let has_capacity = |choice: &Choice| {
            !choice.ejected && self.meets_deadline(now, choice) && !is_cold(choice)
        };
        match self.avoids_cold && candidates.iter().any(has_capacity) {
            true => candidates
                .extract_if(.., |choice| is_cold(choice))
                .collect(),
            false => Vec::new(),
        }
    }

    /// Returns why a candidate would not get a call that is sent by its estimate now; `None` if it may.
    pub fn obstacle(
        &self,
        now: core_time::Instant,
        placement: &Placement,
        demand: &Demand<'_>,
        choice: &Choice,
    ) -> Option<Obstacle> {
        match () {
            () if choice.ejected => Some(Obstacle::Ejected),
            () if !choice.estimate.has_capacity() => Some(Obstacle::Full),
            () if !self.may_send(choice) => Some(Obstacle::Shared),
            () if !self.meets_deadline(now, choice) => Some(Obstacle::Slow),
            () if !self.has_room(now, placement, demand, choice) => Some(Obstacle::Unknown),
            () => None,
        }
    }

    fn has_room(
        &self,
        now: core_time::Instant,
        placement: &Placement,
        demand: &Demand<'_>,
        choice: &Choice,
    ) -> bool {
        let has_room = |rule| placement.has_room(now, demand.service, choice, rule);
        self.room.is_none_or(has_room)
    }

    fn may_send(&self, choice: &Choice) -> bool {
        let estimate = &choice.estimate;
        let is_shared = !self.shares_slots || estimate.takes_one_more;
        is_shared && estimate.has_capacity()
    }

    /// Returns whether a call with service time `work` that starts now misses its latency
    /// objective.
    pub fn is_late(&self, now: core_time::Instant, work: time::Duration) -> bool {
        now + work.mul_f64(self.cfg.work_margin) >= self.objective
    }

    /// Returns how long a call with service time `work` can wait from now on and still meet its
    /// latency objective.
    pub fn slack(&self, now: core_time::Instant, work: time::Duration) -> time::Duration {
        self.objective
            .saturating_sub(work.mul_f64(self.cfg.work_margin))
            .since(now)
    }

    /// Decides the next step from the current estimates. `is_next` is whether the call is the next
    /// in the queue; `may_probe` is whether the budget allows probes.
    pub fn step(
        &mut self,
        now: core_time::Instant,
        placement: &mut Placement,
        demand: &Demand<'_>,
        is_next: bool,
        may_probe: bool,
    ) -> Step {
        let candidates = placement.ranked(now, demand);
        let step = self.decide(now, placement, candidates, demand, is_next, may_probe);
        if let Step::Probe(targets) = &step {
            for target in targets {
                self.probed_at.insert(target.clone(), now);
            }
        }
        step
    }

    /// Decides the next step from the candidates in their order. Changes nothing.
    pub fn decide(
        &self,
        now: core_time::Instant,
        placement: &Placement,
        mut candidates: Vec<Choice>,
        demand: &Demand<'_>,
        is_next: bool,
        may_probe: bool,
    ) -> Step {
        let avoided = self.remove_cold(now, placement, &mut candidates);
        let late = self.is_late(now, demand.work);
        let Some(best) = candidates.first() else {
            // A cold target of this VM takes a call when there is a token again.
            return match placement.awaits_token(now, demand, self.wait_until) {
                true => self.wait(now, late),
                false => Step::NoTarget,
            };
        };
        let has_room = |choice: &Choice| self.has_room(now, placement, demand, choice);
        if !placement.reports_load(&best.target) {
            if now + best.expected_latency > self.deadline {
                return Step::Overloaded;
            }
            if self.room.is_none() {
                return Step::Send(best.clone());
            }
            if !is_next {
                return self.wait(now, late);
            }
            let reports_load = |choice: &Choice| placement.reports_load(&choice.target);
            let is_usable = |choice: &&Choice| {
                let in_time = now + choice.expected_latency <= self.deadline;
                reports_load(choice) || in_time && has_room(choice)
            };
            let usable = candidates.iter().find(is_usable);
            if let Some(choice) = usable.filter(|choice| !reports_load(choice)) {
                return Step::Send(choice.clone());
            }
        }
        if !is_next {
            return self.wait(now, late);
        }
        if let Some(ready) = candidates.iter().find(|choice| self.is_ready(choice)) {
            return Step::Send(ready.clone());
        }
        let targets = match may_probe {
            true => self.probe_targets(now, placement, &candidates),
            false => Vec::new(),
        };
        if !targets.is_empty() {
            return Step::Probe(targets);
        }
        // The warm targets that seemed to have capacity may have stopped to report their load.
        let mut all = candidates.iter().chain(&avoided);
        if late
            && let Some(choice) =
                all.find(|choice| self.meets_deadline(now, choice) && has_room(choice))
        {
            return Step::Send(choice.clone());
        }
        self.wait(now, late)
    }

    fn wait(&self, now: core_time::Instant, late: bool) -> Step {
        if now >= self.wait_until {
            return Step::Overloaded;
        }
        let pause = self.cfg.pause;
        Step::Wait { pause, late }
    }

    /// Returns the targets to probe now: the best candidates without a fresh report.
    fn probe_targets(
        &self,
        now: core_time::Instant,
        placement: &Placement,
        ranked: &[Choice],
    ) -> Vec<types::TargetId> {
        let is_due = |choice: &&Choice| {
            let last_probe = self.probed_at.get(&choice.target);
            let may_repeat = last_probe.is_none_or(|at| now.since(*at) >= self.cfg.ask_again);
            let age = choice.estimate.age;
            let stale = age.is_none_or(|age| age > self.cfg.fresh);
            may_repeat && stale && placement.reports_load(&choice.target)
        };
        let due = ranked.iter().filter(is_due).take(self.cfg.ask);
        due.map(|choice| choice.target.clone()).collect()
    }

    /// Returns the best target that can start the call at once according to a fresh report.
    pub fn ready_target(
        &self,
        now: core_time::Instant,
        placement: &mut Placement,
        demand: &Demand<'_>,
    ) -> Option<Choice> {
        let mut candidates = placement.ranked(now, demand);
        self.remove_cold(now, placement, &mut candidates);
        candidates.into_iter().find(|choice| self.is_ready(choice))
    }

    /// Returns whether a fresh report shows a free slot and the usual speed.
    fn is_ready(&self, choice: &Choice) -> bool {
        let estimate = &choice.estimate;
        let fresh = estimate.age.is_some_and(|age| age <= self.cfg.fresh);
        let usual_speed = estimate.slowness <= self.cfg.good_slowness;
        fresh && usual_speed && self.may_send(choice) && !choice.ejected
    }

    /// Returns whether a late call can be sent to a target: it has capacity and is expected to
    /// respond before the deadline.
    fn meets_deadline(&self, now: core_time::Instant, choice: &Choice) -> bool {
        self.may_send(choice) && now + choice.expected_latency <= self.deadline
    }
}
