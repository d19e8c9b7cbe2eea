//! Targets that announce themselves, and which of them may get calls.
//!
//! Announcements arrive late, twice and out of order. A target's life is identified by its id and
//! the time of its start; within a life the sequence of its announcements orders them. A departure
//! ends a life for good. Of two lives at one address the later one holds it.

use std::{collections, net, time};

use serde::{Deserialize, Serialize};

use crate::{time as core_time, types};

/// Departed lives that are remembered, so that a late announcement doesn't bring one back.
const KEPT_DEPARTURES: usize = 4096;

/// What a target says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Target.
    pub target: types::TargetId,
    /// Service that it runs.
    pub service: types::ServiceName,
    /// Where it takes calls.
    pub address: net::SocketAddr,
    /// Failure domain that it is in.
    pub failure_domain: types::FailureDomain,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Start of this life; 0 when the target doesn't tell.
    pub born: core_time::UnixMillis,
    /// Rises with each announcement of a life.
    pub sequence: u64,
    /// How much longer it stays slow after its start.
    pub warmup_left: time::Duration,
}

/// A life of a target that ended or is about to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Departure {
    /// Target.
    pub target: types::TargetId,
    /// Start of the life that ends.
    pub born: core_time::UnixMillis,
}

/// What an announcement changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observed {
    /// The target is new, began a new life or moved.
    Joined,
    /// It is known and goes on.
    Renewed,
    /// A later announcement or life is known, or this life has departed.
    Stale,
}

/// A target that may get calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Known {
    /// Its latest announcement.
    pub report: Report,
    /// When it was last heard of.
    pub heard: core_time::Instant,
    /// When it joined as seen here.
    pub joined: core_time::Instant,
}

/// Targets that may get calls, and departures.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    targets: collections::BTreeMap<types::TargetId, Known>,
    departed: collections::VecDeque<Departure>,
}

impl Directory {
    /// Takes an announcement of a target that is ready.
    pub fn observe(&mut self, now: core_time::Instant, report: Report) -> Observed {
        if self.has_departed(&report.target, report.born) {
            return Observed::Stale;
        }
        let mut joined = now;
        if let Some(known) = self.targets.get_mut(&report.target) {
            let old = &known.report;
            let earlier = (report.born, report.sequence) < (old.born, old.sequence);
            if earlier {
                return Observed::Stale;
            }
            if report.born == old.born && report.address == old.address {
                known.heard = now;
                known.report = report;
                return Observed::Renewed;
            }
            if report.born == old.born {
                joined = known.joined;
            }
        }
        if !self.take_address(&report) {
            return Observed::Stale;
        }
        let target = report.target.clone();
        let known = Known {
            report,
            heard: now,
            joined,
        };
        self.targets.insert(target, known);
        Observed::Joined
    }

    /// Removes an earlier holder of the address; returns whether the address is free for `report`.
    fn take_address(&mut self, report: &Report) -> bool {
        let holder = self.targets.values().find(|known| {
            known.report.address == report.address && known.report.target != report.target
        });
        let Some(holder) = holder.map(|known| known.report.clone()) else {
            return true;
        };
        if holder.born > report.born {
            return false;
        }
        self.targets.remove(&holder.target);
        true
    }

    /// Ends a life; the target gets no more calls until a later life announces itself.
    ///
    /// Returns whether this was news.
    pub fn depart(&mut self, departure: &Departure) -> bool {
        let known = self.targets.get(&departure.target);
        if known.is_some_and(|known| known.report.born <= departure.born) {
            self.targets.remove(&departure.target);
        }
        if self.has_departed(&departure.target, departure.born) {
            return false;
        }
        if self.departed.len() == KEPT_DEPARTURES {
            self.departed.pop_front();
        }
        self.departed.push_back(departure.clone());
        true
    }

    /// Returns whether a life has departed.
    pub fn has_departed(&self, target: &types::TargetId, born: core_time::UnixMillis) -> bool {
        let ended = |departure: &&Departure| departure.target == *target && born <= departure.born;
        self.departed
            .iter()
            .rev()
            .any(|departure| ended(&departure))
    }

    /// Removes a life that has not been heard of; it may come back.
    pub fn remove(&mut self, gone: &Departure) -> bool {
        let known = self.targets.get(&gone.target);
        let same = known.is_some_and(|known| known.report.born == gone.born);
        if same {
            self.targets.remove(&gone.target);
        }
        same
    }

    /// Returns the lives that were not heard of for `limit`.
    pub fn silent(&self, now: core_time::Instant, limit: time::Duration) -> Vec<Departure> {
        let silent = self
            .targets
            .values()
            .filter(|k| now.since(k.heard) >= limit);
        silent.map(|known| life(&known.report)).collect()
    }

    /// Restarts the silence of all targets, when a new observer takes over.
    pub fn hear_all(&mut self, now: core_time::Instant) {
        for known in self.targets.values_mut() {
            known.heard = now;
        }
    }

    /// Returns a target.
    pub fn get(&self, target: &types::TargetId) -> Option<&Known> {
        self.targets.get(target)
    }

    /// Returns all targets in the order of their ids.
    pub fn targets(&self) -> impl Iterator<Item = &Known> {
        self.targets.values()
    }

    /// Returns the departures, oldest first.
    pub fn departures(&self) -> impl Iterator<Item = &Departure> {
        self.departed.iter()
    }
}

/// Returns the life that a report belongs to.
pub fn life(report: &Report) -> Departure {
    Departure {
        target: report.target.clone(),
        born: report.born,
    }
}
