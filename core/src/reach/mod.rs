//! Decides whether this VM has lost its network path to the targets.
//!
//! A failed connection alone does not tell a failed target from a failed path. When connections to
//! several targets fail and none succeeds in between, the VM checks its path: it connects to a
//! random sample of all targets. If it reaches none of them, its path is lost, and its calls go
//! through other VMs (`relay`). The check is repeated until the path is back.
//!
//! New connections and responses are counted apart, since open connections can live on while new
//! ones are refused.

use std::{collections, time};

use crate::{time as core_time, types};

/// Settings of the path check.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Number of targets that must fail in a row to start a check.
    pub suspect_after: usize,
    /// Targets that a check connects to first.
    pub first_sample: usize,
    /// Targets that a check connects to in total before it finds the path lost. Large enough that
    /// the failure of half of all targets is hardly ever taken for a lost path.
    pub full_sample: usize,
    /// Shortest time between the end of a check and the start of the next one.
    pub check_pause: time::Duration,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            suspect_after: 2,
            first_sample: 2,
            full_sample: 8,
            check_pause: time::Duration::from_millis(400),
        }
    }
}

/// What a connection tells about the path to its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// The target accepted a new connection.
    Connected,
    /// A new connection was refused or not accepted in time.
    NotConnected,
    /// The target answered on an open connection.
    Answered,
    /// An open connection broke or stayed silent.
    NotAnswered,
}

/// Change of the path found by a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathChange {
    /// No target is reached any more.
    Lost,
    /// Targets are reached again.
    Regained,
}

/// Whether this VM reaches targets.
#[derive(Debug, Default)]
pub struct Path {
    cfg: Config,
    lost: bool,
    checking: bool,
    /// Targets without a new connection since the last one that was accepted.
    not_connected: collections::BTreeSet<types::TargetId>,
    /// Targets without an answer since the last answer of any target.
    not_answered: collections::BTreeSet<types::TargetId>,
    next_check_at: core_time::Instant,
}

impl Path {
    /// Creates a path that is not lost.
    pub fn new(cfg: Config) -> Path {
        Path {
            cfg,
            ..Path::default()
        }
    }

    /// Returns whether the path is lost.
    pub fn is_lost(&self) -> bool {
        self.lost
    }

    /// Returns whether a check is running.
    pub fn is_checking(&self) -> bool {
        self.checking
    }

    /// Records what a connection to a target has shown.
    pub fn record(&mut self, target: &types::TargetId, evidence: Evidence) {
        match evidence {
            Evidence::Connected => self.not_connected.clear(),
            Evidence::Answered => self.not_answered.clear(),
            Evidence::NotConnected => {
                self.not_connected.insert(target.clone());
            }
            Evidence::NotAnswered => {
                self.not_answered.insert(target.clone());
            }
        }
    }

    /// Returns whether several targets have failed in a row.
    pub fn is_suspect(&self) -> bool {
        let failed = self.not_connected.len().max(self.not_answered.len());
        failed >= self.cfg.suspect_after
    }

    /// Starts a check if one is due; [`Path::finish_check`] must follow.
    pub fn start_check(&mut self, now: core_time::Instant) -> bool {
        let is_due = (self.lost || self.is_suspect()) && now >= self.next_check_at;
        let starts = is_due && !self.checking;
        self.checking |= starts;
        starts
    }

    /// Returns how many targets the check connects to first, and how many more if none of these is
    /// reached.
    pub fn sample_sizes(&self) -> (usize, usize) {
        let first = self.cfg.first_sample;
        (first, self.cfg.full_sample.saturating_sub(first))
    }

    /// Ends a check that reached `reached` of `tried` targets. One that is reached proves the path.
    pub fn finish_check(
        &mut self,
        now: core_time::Instant,
        reached: usize,
        tried: usize,
    ) -> Option<PathChange> {
        self.checking = false;
        self.next_check_at = now + self.cfg.check_pause;
        let was_lost = self.lost;
        self.lost = reached == 0 && (was_lost || tried > 0);
        if reached > 0 {
            self.not_connected.clear();
            self.not_answered.clear();
        }
        match (was_lost, self.lost) {
            (false, true) => Some(PathChange::Lost),
            (true, false) => Some(PathChange::Regained),
            _ => None,
        }
    }
}
