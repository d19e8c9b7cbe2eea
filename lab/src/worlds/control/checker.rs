//! Judges what the gateways and the registry do against what must hold.

use std::{collections, time};

use wagtailshunt_core::records::Key;
use wagtailshunt_core::registry::Reply;
use wagtailshunt_core::time::Instant;
use wagtailshunt_core::{directory, types};

/// One logical change of an operator, however often it was sent.
#[derive(Clone, Debug, Default)]
struct Change {
    accepted_count: u32,
    reply: Option<Reply>,
}

/// Collects what went wrong.
#[derive(Debug, Default)]
pub struct Checker {
    /// Each violation once, in the order of appearance.
    pub violations: Vec<String>,
    /// Highest revision that was reported in force.
    pub max_in_force: types::Revision,
    /// Accepted changes that are not yet reported in force.
    accepted_at: collections::BTreeMap<types::Revision, Instant>,
    /// Longest time from acceptance to report.
    pub max_completed_delay: time::Duration,
    /// Accepted changes.
    pub accepted: u64,
    /// Last accepted revision of each record.
    last_revisions: collections::BTreeMap<Key, types::Revision>,
    changes: collections::BTreeMap<u64, Change>,
    /// When incarnations of targets began to drain or stopped.
    retired_at: collections::BTreeMap<(directory::Key, types::Incarnation), Instant>,
    /// When records began to drain a target.
    drained_at: collections::BTreeMap<directory::Key, Instant>,
    /// Latest pick after a drain or stop.
    pub max_pick_delay: time::Duration,
}

impl Checker {
    pub fn violation(&mut self, now: Instant, text: String) {
        if self.violations.len() < 100 {
            self.violations.push(format!("{}ms: {text}", now.0 / 1000));
        }
    }

    /// Notes an applied write: each must follow the last one of its record, and each logical
    /// change may be accepted once.
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
            let text = format!("{key}: write based on {base} replaced {last}, which it never saw");
            self.violation(now, text);
        }
        self.accepted_at.insert(*revision, now);
        let change = self.changes.entry(marker).or_default();
        change.accepted_count += 1;
        if change.accepted_count > 1 {
            self.violation(now, format!("change {marker} was accepted twice"));
        }
    }

    /// Notes the answer that an operator took as final.
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
                format!("change {marker}: accepted is {accepted}, operator was told {reply:?}");
            self.violation(now, text);
        }
    }

    /// Notes what the leader reports in force.
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

    /// Returns the longest time that a change took or has taken so far.
    pub fn max_in_force_delay(&self, now: Instant) -> time::Duration {
        let waiting = self.accepted_at.values().map(|at| now.since(*at)).max();
        self.max_completed_delay.max(waiting.unwrap_or_default())
    }

    /// Judges the revision under which a gateway serves.
    pub fn check_revision(&mut self, now: Instant, vm: types::VmId, revision: types::Revision) {
        if revision < self.max_in_force {
            let reported = self.max_in_force;
            let text = format!("g{vm} serves revision {revision} after {reported} was in force");
            self.violation(now, text);
        }
    }

    /// Notes that an incarnation of a target drains or has stopped.
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

    /// Notes whether a record drains a target.
    pub fn set_drained(&mut self, now: Instant, key: directory::Key, drained: bool) {
        if drained {
            self.drained_at.entry(key).or_insert(now);
        } else {
            self.drained_at.remove(&key);
        }
    }

    /// Judges a pick.
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
