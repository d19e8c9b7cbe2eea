//! Checks the invariants of the world: revisions in force, accepted changes and picked targets.
//!
//! The simulation reports writes, replies, revisions and picks; violations are collected.

use std::{collections, time};

use wagtailshunt_core::records::Key;
use wagtailshunt_core::registry::Reply;
use wagtailshunt_core::time::Instant;
use wagtailshunt_core::{directory, types};

/// State of one logical change of an operator over all its resends.
#[derive(Clone, Debug, Default)]
struct Change {
    accepted_count: u32,
    reply: Option<Reply>,
}

/// Collects violations and the longest delays.
#[derive(Debug, Default)]
pub struct Checker {
    /// Violations in the order in which they were found, at most 100.
    pub violations: Vec<String>,
    /// Highest revision that a leader reported in force.
    pub max_in_force: types::Revision,
    /// Acceptance time of each revision that is not yet reported in force.
    accepted_at: collections::BTreeMap<types::Revision, Instant>,
    /// Longest time from acceptance of a revision to the report that it is in force.
    pub max_completed_delay: time::Duration,
    /// Number of accepted changes.
    pub accepted: u64,
    /// Last accepted revision of each record.
    last_revisions: collections::BTreeMap<Key, types::Revision>,
    changes: collections::BTreeMap<u64, Change>,
    /// Time at which each incarnation of a target began to drain or stopped.
    retired_at: collections::BTreeMap<(directory::Key, types::Incarnation), Instant>,
    /// Time at which a record began to drain each target.
    drained_at: collections::BTreeMap<directory::Key, Instant>,
    /// Longest time from the drain or stop of a target to a pick of it.
    pub max_pick_delay: time::Duration,
}

impl Checker {
    pub fn violation(&mut self, now: Instant, text: String) {
        if self.violations.len() < 100 {
            self.violations.push(format!("{}ms: {text}", now.0 / 1000));
        }
    }

    /// Records the result of a write. An accepted write must be based on the last accepted revision
    /// of its record, and each logical change may be accepted only once.
    pub fn record_write(&mut self, now: Instant, key: &Key, marker: u64, base: u64, reply: &Reply) {
        let Reply::Accepted { revision } = reply else {
            return;
        };
        self.accepted += 1;
        let last = self
            .last_revisions
            .insert(key.clone(), *revision)
            .unwrap_or_default();
        if last.0 != base {
            let text = format!("{key}: write based on revision {base} replaced revision {last}");
            self.violation(now, text);
        }
        self.accepted_at.insert(*revision, now);
        let change = self.changes.entry(marker).or_default();
        change.accepted_count += 1;
        if change.accepted_count > 1 {
            self.violation(now, format!("change {marker} was accepted twice"));
        }
    }

    /// Records the final reply to an operator, which must match whether the change was accepted.
    pub fn record_reply(&mut self, now: Instant, marker: u64, reply: &Reply) {
        let reply = match reply {
            Reply::Repeated(first) => first.as_ref(),
            reply => reply,
        };
        let change = self.changes.entry(marker).or_default();
        change.reply = Some(reply.clone());
        let accepted = change.accepted_count > 0;
        if accepted != matches!(reply, Reply::Accepted { .. }) {
            let text =
                format!("change {marker}: accepted is {accepted}, operator got reply {reply:?}");
            self.violation(now, text);
        }
    }

    /// Records the revision that the leader reports in force.
    pub fn record_in_force(&mut self, now: Instant, revision: types::Revision) {
        self.max_in_force = self.max_in_force.max(revision);
        while let Some(entry) = self
            .accepted_at
            .first_entry()
            .filter(|entry| *entry.key() <= revision)
        {
            self.max_completed_delay = self.max_completed_delay.max(now.since(entry.remove()));
        }
    }

    /// Returns the longest time from acceptance to force, including changes not yet in force.
    pub fn max_in_force_delay(&self, now: Instant) -> time::Duration {
        let waiting = self.accepted_at.values().map(|at| now.since(*at)).max();
        self.max_completed_delay.max(waiting.unwrap_or_default())
    }

    /// Checks that a gateway serves no revision below one that was reported in force.
    pub fn check_revision(&mut self, now: Instant, vm: types::VmId, revision: types::Revision) {
        if revision < self.max_in_force {
            let reported = self.max_in_force;
            let text = format!("g{vm} serves revision {revision} after {reported} was in force");
            self.violation(now, text);
        }
    }

    /// Records that an incarnation of a target drains or has stopped.
    pub fn record_retirement(
        &mut self,
        now: Instant,
        key: &directory::Key,
        incarnation: types::Incarnation,
    ) {
        self.retired_at
            .entry((key.clone(), incarnation))
            .or_insert(now);
    }

    /// Records whether the current record of a service drains a target.
    pub fn set_drained(&mut self, now: Instant, key: directory::Key, drained: bool) {
        if drained {
            self.drained_at.entry(key).or_insert(now);
        } else {
            self.drained_at.remove(&key);
        }
    }

    /// Records a pick and how long after a drain or stop of the target it came.
    pub fn record_pick(&mut self, now: Instant, target: &directory::Target) {
        let retired = self
            .retired_at
            .get(&(target.key.clone(), target.incarnation));
        let since = retired
            .into_iter()
            .chain(self.drained_at.get(&target.key))
            .min();
        if let Some(since) = since {
            self.max_pick_delay = self.max_pick_delay.max(now.since(*since));
        }
    }
}
