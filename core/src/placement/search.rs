//! Looking for a target that can begin a call at once.
//!
//! Answers to neighbours that make a target several times slower from one moment to the next: what is
//! known of a target is often older than its state. So the best targets are asked right before a
//! call is sent, a few at a time, until one has a free slot and its usual speed. When none has, the
//! call waits as long as it can still meet its objective, and then takes what is best.
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
}

impl Default for SearchConfig {
    fn default() -> Self {
        SearchConfig {
            fresh: time::Duration::from_millis(4),
            ask: 2,
            ask_again: time::Duration::from_millis(25),
            pause: time::Duration::from_millis(8),
            good_slowness: 1.5,
            work_margin: 1.3,
        }
    }
}

/// What to do next for a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Send the call to this target.
    Take(Choice),
    /// Ask these targets for their load, then go on.
    Ask(Vec<types::TargetId>),
    /// Go on after this time.
    Wait(time::Duration),
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
    asked: collections::BTreeMap<types::TargetId, core_time::Instant>,
}

impl Search {
    /// Begins a search for a call that should be answered by `objective` and is of no use after
    /// `deadline`.
    pub fn new(
        cfg: SearchConfig,
        objective: core_time::Instant,
        deadline: core_time::Instant,
    ) -> Search {
        Search {
            cfg,
            objective,
            deadline,
            asked: collections::BTreeMap::new(),
        }
    }

    /// Decides what to do with what is known now.
    pub fn step(
        &mut self,
        now: core_time::Instant,
        placement: &mut Placement,
        demand: &Demand<'_>,
    ) -> Step {
        let ranked = placement.ranked(now, demand);
        let Some(best) = ranked.first() else {
            return Step::NoTarget;
        };
        if !placement.is_worth_asking(&best.target) {
            return self.take(now, best);
        }
        if let Some(good) = ranked.iter().find(|choice| self.is_good(choice)) {
            return Step::Take(good.clone());
        }
        let due = |choice: &&Choice| {
            let asked = self.asked.get(&choice.target);
            let again = asked.is_none_or(|at| now.since(*at) >= self.cfg.ask_again);
            again && placement.is_worth_asking(&choice.target)
        };
        let ask: Vec<types::TargetId> = ranked
            .iter()
            .filter(due)
            .take(self.cfg.ask)
            .map(|choice| choice.target.clone())
            .collect();
        let late = now + demand.work.mul_f64(self.cfg.work_margin) >= self.objective;
        let first_round = self.asked.is_empty();
        if !ask.is_empty() && (!late || first_round) {
            for target in &ask {
                self.asked.insert(target.clone(), now);
            }
            return Step::Ask(ask);
        }
        match late {
            true => self.take(now, best),
            false => Step::Wait(self.cfg.pause),
        }
    }

    /// Returns the best target that is known to begin the call at once, if there is one.
    pub fn good(
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
        fresh && usual && estimate.has_room() && !choice.ejected
    }

    fn take(&self, now: core_time::Instant, best: &Choice) -> Step {
        match now + best.expected <= self.deadline {
            true => Step::Take(best.clone()),
            false => Step::Overloaded,
        }
    }
}
