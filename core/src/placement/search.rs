//! Looking for a target that can begin a call at once.
//!
//! Answers to neighbours that make a target several times slower from one moment to the next: what is
//! known of a target is often older than its state. So the best targets are asked right before a
//! call is sent, a few at a time, until one has a free slot and its usual speed. When none has, the
//! call waits in line. A call that can't meet its objective any more takes any free slot that still
//! answers in time; it isn't put into the queue of a target, where it would go before calls that
//! could meet theirs.
//!
//! Source of asking before each call: Wydrowski et al., "Load is not what you should balance:
//! Introducing Prequal", NSDI 2024 (its synchronous mode).

use std::{collections, time};

use serde::{Deserialize, Serialize};

use super::{Choice, Demand, Placement};
use crate::{time as core_time, types};

/// Settings of the search.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SearchConfig {
    /// Age up to which a report counts as the state of the target: a target's way to answer and
    /// back within a failure domain.
    pub fresh: time::Duration,
    /// Targets asked at a time.
    pub ask: usize,
    /// Time after which a target may be asked again by the same call.
    pub ask_again: time::Duration,
    /// Pause of a call that found no target with room.
    pub pause: time::Duration,
    /// Slowness above which a target isn't taken at once.
    pub good_slowness: f64,
    /// Factor on the mean work that a call which has waited must still have before its objective.
    pub work_margin: f64,
    /// Share of the time until its deadline that a call may wait.
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

/// What to do next for a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Send the call to this target.
    Send(Choice),
    /// Ask these targets for their load, then go on.
    Probe(Vec<types::TargetId>),
    /// Wait in line and go on after this time.
    Wait {
        /// Time until the next step.
        pause: time::Duration,
        /// The call can't meet its objective any more.
        late: bool,
    },
    /// No target is expected to answer in time.
    Overloaded,
    /// The service has no target that the call wasn't sent to.
    NoTarget,
}

/// The search for one call.
#[derive(Clone, Debug)]
pub struct Search {
    cfg: SearchConfig,
    objective: core_time::Instant,
    deadline: core_time::Instant,
    give_up: core_time::Instant,
    asked: collections::BTreeMap<types::TargetId, core_time::Instant>,
}

impl Search {
    /// Begins a search for a call that should be answered by `objective` and is of no use after
    /// `deadline`.
    pub fn new(
        cfg: SearchConfig,
        now: core_time::Instant,
        objective: core_time::Instant,
        deadline: core_time::Instant,
    ) -> Search {
        let give_up = now + deadline.since(now).mul_f64(cfg.wait_share);
        Search {
            cfg,
            objective,
            deadline,
            give_up,
            asked: collections::BTreeMap::new(),
        }
    }

    /// Returns whether a call with this work can't meet its objective when it begins now.
    pub fn is_late(&self, now: core_time::Instant, work: time::Duration) -> bool {
        now + work.mul_f64(self.cfg.work_margin) >= self.objective
    }

    /// Returns how long a call with this work can wait from now on and still meet its objective.
    pub fn slack(&self, now: core_time::Instant, work: time::Duration) -> time::Duration {
        self.objective
            .saturating_sub(work.mul_f64(self.cfg.work_margin))
            .since(now)
    }

    /// Decides what to do with what is known now, for a call whose turn it is if `turn` says so.
    /// `may_ask` is false while there is no budget for questions.
    pub fn step(
        &mut self,
        now: core_time::Instant,
        placement: &mut Placement,
        demand: &Demand<'_>,
        turn: bool,
        may_ask: bool,
    ) -> Step {
        let ranked = placement.ranked(now, demand);
        let Some(best) = ranked.first() else {
            return Step::NoTarget;
        };
        if !placement.reports_load(&best.target) {
            return match now + best.expected_latency <= self.deadline {
                true => Step::Send(best.clone()),
                false => Step::Overloaded,
            };
        }
        let late = self.is_late(now, demand.work);
        if !turn {
            return self.wait(now, late);
        }
        if let Some(ready_target) = ranked.iter().find(|choice| self.is_good(choice)) {
            return Step::Send(ready_target.clone());
        }
        let ask = match may_ask {
            true => self.due(now, placement, &ranked),
            false => Vec::new(),
        };
        if !ask.is_empty() {
            for target in &ask {
                self.asked.insert(target.clone(), now);
            }
            return Step::Probe(ask);
        }
        if late
            && let Some(choice) = ranked
                .iter()
                .find(|choice| self.is_last_resort(now, choice))
        {
            return Step::Send(choice.clone());
        }
        self.wait(now, late)
    }

    fn wait(&self, now: core_time::Instant, late: bool) -> Step {
        if now >= self.give_up {
            return Step::Overloaded;
        }
        let pause = self.cfg.pause;
        Step::Wait { pause, late }
    }

    /// Returns the targets to ask now.
    fn due(
        &self,
        now: core_time::Instant,
        placement: &Placement,
        ranked: &[Choice],
    ) -> Vec<types::TargetId> {
        let due = |choice: &&Choice| {
            let asked = self.asked.get(&choice.target);
            let again = asked.is_none_or(|at| now.since(*at) >= self.cfg.ask_again);
            let age = choice.estimate.age;
            let stale = age.is_none_or(|age| age > self.cfg.fresh);
            again && stale && placement.reports_load(&choice.target)
        };
        let due = ranked.iter().filter(due).take(self.cfg.ask);
        due.map(|choice| choice.target.clone()).collect()
    }

    /// Returns the best target that is known to begin the call at once, if there is one.
    pub fn ready_target(
        &self,
        now: core_time::Instant,
        placement: &mut Placement,
        demand: &Demand<'_>,
    ) -> Option<Choice> {
        let ranked = placement.ranked(now, demand);
        ranked.into_iter().find(|choice| self.is_good(choice))
    }

    /// Returns whether a target is known to begin a call at once and at its usual speed.
    fn is_good(&self, choice: &Choice) -> bool {
        let estimate = &choice.estimate;
        let fresh = estimate.age.is_some_and(|age| age <= self.cfg.fresh);
        let usual = estimate.slowness <= self.cfg.good_slowness;
        fresh && usual && estimate.has_capacity() && !choice.ejected
    }

    /// Returns whether a target is good enough for a call that is late anyway.
    fn is_last_resort(&self, now: core_time::Instant, choice: &Choice) -> bool {
        choice.estimate.has_capacity() && now + choice.expected_latency <= self.deadline
    }
}
