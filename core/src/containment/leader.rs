//! Leader side of containment: counts target losses by request, grants isolated runs and blocks
//! requests.
//!
//! Runs on the leader of group 0. The inputs are the gateways' reports of possible and confirmed
//! losses, their permit requests and results, and the ends of target incarnations from the
//! directory.

use std::{collections, time::Duration};

use super::{fingerprint, message};
use crate::{time, types};

/// Number of lost targets at which a request is blocked.
pub const LOSSES_TO_BLOCK: usize = 2;

/// Number of lost targets at which a request is blocked even if another suspect was in flight at
/// all of the losses. After an ambiguous second loss, the next isolated run distinguishes the two
/// suspects.
pub const LOSSES_TO_BLOCK_AMBIGUOUS: usize = 3;

/// Maximum number of suspects and blocks.
pub const MAX_ENTRIES: usize = 1024;

/// Maximum number of calls that wait for a permit of one request.
const MAX_WAITING_CALLS: usize = 256;

/// Settings of [`Leader`].
#[derive(Clone, Debug)]
pub struct LeaderConfig {
    /// Duration of a block.
    pub block_duration: Duration,
    /// Time after which a suspect that was not sent again is dropped.
    pub suspect_lifetime: Duration,
    /// Time after which a suspect without a confirmed loss is dropped if it was not sent again.
    pub unconfirmed_lifetime: Duration,
    /// Time for which a permit remains valid after its call's deadline. It covers the attribution
    /// window of the gateway and the delivery of its report.
    pub permit_grace: Duration,
    /// Time after a change of leader during which no permit is granted, so that gateways can report
    /// the permits they hold. It equals the duration of a serving lease.
    pub rebuild_period: Duration,
}

impl Default for LeaderConfig {
    fn default() -> Self {
        LeaderConfig {
            block_duration: Duration::from_secs(600),
            suspect_lifetime: Duration::from_secs(600),
            unconfirmed_lifetime: Duration::from_secs(30),
            permit_grace: Duration::from_secs(7),
            rebuild_period: Duration::from_millis(2_200),
        }
    }
}

/// Message that the I/O layer must send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaderOutput {
    /// Send the change to all gateways.
    Publish(message::Notice),
    /// Reply to a permit request.
    Reply {
        /// Gateway that sent the request.
        vm: types::VmId,
        /// Call for which the permit was requested.
        call: u64,
        /// Fingerprint of the call's request.
        fingerprint: fingerprint::Fingerprint,
        /// Reply to send.
        reply: message::PermitReply,
    },
}

/// A call that waits for a permit or holds one.
#[derive(Clone, Copy, Debug)]
struct Requester {
    vm: types::VmId,
    call: u64,
    // Deadline of the call while it waits; expiry of its permit afterwards.
    until: time::Instant,
}

#[derive(Clone, Debug)]
struct Entry {
    label: String,
    losses: collections::BTreeSet<message::Target>,
    // Targets that may have been lost, with the time at which the uncertainty expires.
    possible_losses: collections::BTreeMap<message::Target, time::Instant>,
    blocked_until: Option<time::Instant>,
    last_activity: time::Instant,
    losses_changed: bool,
    permit: Option<Requester>,
    waiting: collections::VecDeque<Requester>,
}

/// Containment state of the leader of group 0.
#[derive(Debug)]
pub struct Leader {
    cfg: LeaderConfig,
    rebuild_until: time::Instant,
    entries: collections::BTreeMap<fingerprint::Fingerprint, Entry>,
    outputs: collections::VecDeque<LeaderOutput>,
}

impl Leader {
    /// Creates the state of a VM that became leader at `now`.
    pub fn new(cfg: LeaderConfig, now: time::Instant) -> Self {
        let rebuild_until = now + cfg.rebuild_period;
        Leader {
            cfg,
            rebuild_until,
            entries: collections::BTreeMap::new(),
            outputs: collections::VecDeque::new(),
        }
    }

    /// Records a gateway's report that a target may have been lost with these requests.
    pub fn possible_loss(&mut self, now: time::Instant, report: &message::CrashReport) {
        let until = now + self.cfg.permit_grace;
        for suspect in &report.suspects {
            let entry = self.find_or_publish(now, suspect);
            entry.possible_losses.insert(report.target.clone(), until);
        }
    }

    /// Records a gateway's report that a possibly lost target was not lost.
    pub fn loss_ruled_out(&mut self, now: time::Instant, report: &message::CrashReport) {
        for suspect in &report.suspects {
            if let Some(entry) = self.entries.get_mut(&suspect.fingerprint) {
                entry.possible_losses.remove(&report.target);
            }
            self.remove_unused(suspect.fingerprint);
        }
        self.grant_waiting(now);
    }

    /// Records a gateway's report that a target was lost.
    pub fn loss_confirmed(&mut self, now: time::Instant, report: &message::CrashReport) {
        for suspect in &report.suspects {
            let entry = self.entry(now, suspect);
            entry.possible_losses.remove(&report.target);
            entry.losses_changed |= entry.losses.insert(report.target.clone());
        }
        // A further gateway's report of the same loss can make an earlier decision ambiguous.
        let shares = |(_, entry): &(&fingerprint::Fingerprint, &Entry)| {
            entry.losses.contains(&report.target)
        };
        let affected: Vec<fingerprint::Fingerprint> = self
            .entries
            .iter()
            .filter(shares)
            .map(|(fingerprint, _)| *fingerprint)
            .collect();
        for fingerprint in affected {
            self.update_block(now, fingerprint);
        }
        self.grant_waiting(now);
    }

    /// Records that an incarnation of a target ended without a planned stop, according to the
    /// directory. This confirms possible losses whose reporting gateway was lost itself.
    pub fn incarnation_ended(&mut self, now: time::Instant, target: &message::Target) {
        let possibly_lost = |(_, entry): &(&fingerprint::Fingerprint, &Entry)| {
            entry.blocked_until.is_none() && entry.possible_losses.contains_key(target)
        };
        let suspect =
            |(fingerprint, entry): (&fingerprint::Fingerprint, &Entry)| message::Suspect {
                fingerprint: *fingerprint,
                label: entry.label.clone(),
            };
        let suspects = self
            .entries
            .iter()
            .filter(possibly_lost)
            .map(suspect)
            .collect();
        self.loss_confirmed(
            now,
            &message::CrashReport {
                target: target.clone(),
                suspects,
            },
        );
    }

    /// Merges the state that a gateway holds from an earlier leader.
    pub fn rebuild(&mut self, now: time::Instant, vm: types::VmId, state: &message::Rebuild) {
        for record in &state.records {
            let entry = self.entry(now, &record.suspect);
            entry.losses.extend(record.losses.iter().cloned());
            let until = record.blocked_for.map(|left| now + left);
            entry.blocked_until = entry.blocked_until.max(until);
        }
        for record in &state.records {
            let fingerprint = record.suspect.fingerprint;
            if self.must_block(fingerprint) {
                self.block(now, fingerprint);
            }
            self.publish(now, fingerprint);
        }
        for report in &state.possible_losses {
            self.possible_loss(now, report);
        }
        for request in &state.permits {
            let until = now + request.remaining + self.cfg.permit_grace;
            let entry = self.entry(now, &request.suspect);
            entry.permit = Some(Requester {
                vm,
                call: request.call,
                until,
            });
        }
    }

    /// Queues a gateway's request to run a suspect. The reply follows when the permit is granted or
    /// denied.
    pub fn request_permit(
        &mut self,
        now: time::Instant,
        vm: types::VmId,
        request: &message::PermitRequest,
    ) {
        let fingerprint = request.suspect.fingerprint;
        let requester = Requester {
            vm,
            call: request.call,
            until: now + request.remaining,
        };
        let entry = self.find_or_publish(now, &request.suspect);
        let repeated = |t: &Requester| (t.vm, t.call) == (requester.vm, requester.call);
        if entry.waiting.iter().any(repeated) {
            return;
        }
        if entry.waiting.len() >= MAX_WAITING_CALLS {
            return self.reply(fingerprint, requester, message::PermitReply::NotGranted);
        }
        entry.waiting.push_back(requester);
        self.grant_next(now, fingerprint);
    }

    /// Records the result of a run: a returned permit, or a complete response to a suspect.
    pub fn run_ended(&mut self, now: time::Instant, vm: types::VmId, done: &message::PermitDone) {
        let Some(entry) = self.entries.get_mut(&done.fingerprint) else {
            return;
        };
        entry.last_activity = now;
        let held = |requester: &Requester| (requester.vm, requester.call) == (vm, done.call);
        if entry.permit.as_ref().is_some_and(held) {
            entry.permit = None;
        }
        entry.waiting.retain(|requester| !held(requester));
        if done.result == message::RunResult::Answered && entry.blocked_until.is_none() {
            self.clear(done.fingerprint);
        }
        self.remove_unused(done.fingerprint);
        self.grant_waiting(now);
    }

    /// Lifts a block on the request of an operator.
    pub fn lift(&mut self, fingerprint: fingerprint::Fingerprint) {
        if self.entries.contains_key(&fingerprint) {
            self.clear(fingerprint);
        }
    }

    /// Drops expired permits, permit requests, blocks and suspects.
    pub fn tick(&mut self, now: time::Instant) {
        let fingerprints: Vec<fingerprint::Fingerprint> = self.entries.keys().copied().collect();
        for fingerprint in fingerprints {
            self.expire(now, fingerprint);
        }
        self.grant_waiting(now);
    }

    /// Returns the time at which [`Leader::tick`] must be called.
    pub fn next_deadline(&self) -> Option<time::Instant> {
        self.entries
            .values()
            .map(|entry| self.entry_deadline(entry))
            .min()
    }

    /// Returns all suspects and blocks in the order of their fingerprints, for gateways that
    /// connect and for operators.
    pub fn list(&self, now: time::Instant) -> Vec<message::Record> {
        let record = |(fingerprint, entry): (&fingerprint::Fingerprint, &Entry)| {
            entry.record(now, *fingerprint)
        };
        self.entries.iter().map(record).collect()
    }

    /// Returns the next output.
    pub fn poll_output(&mut self) -> Option<LeaderOutput> {
        self.outputs.pop_front()
    }

    /// Blocks the request if its losses require it, lifts the block if they no longer do, and
    /// publishes any change.
    fn update_block(&mut self, now: time::Instant, fingerprint: fingerprint::Fingerprint) {
        let must_block = self.must_block(fingerprint);
        let Some(entry) = self.entries.get_mut(&fingerprint) else {
            return;
        };
        let blocked = entry.blocked_until.is_some();
        let changed = std::mem::take(&mut entry.losses_changed) || blocked != must_block;
        match must_block {
            true => self.block(now, fingerprint),
            false => entry.blocked_until = None,
        }
        if changed {
            self.publish(now, fingerprint);
        }
    }

    fn must_block(&self, fingerprint: fingerprint::Fingerprint) -> bool {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return false;
        };
        let losses = entry.losses.len();
        let enough = losses >= LOSSES_TO_BLOCK && !self.is_ambiguous(fingerprint, entry);
        enough || losses >= LOSSES_TO_BLOCK_AMBIGUOUS
    }

    fn block(&mut self, now: time::Instant, fingerprint: fingerprint::Fingerprint) {
        let until = now + self.cfg.block_duration;
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.blocked_until = entry.blocked_until.or(Some(until));
        }
    }

    fn publish(&mut self, now: time::Instant, fingerprint: fingerprint::Fingerprint) {
        if let Some(entry) = self.entries.get(&fingerprint) {
            let notice = message::Notice::Update(entry.record(now, fingerprint));
            self.outputs.push_back(LeaderOutput::Publish(notice));
        }
    }

    /// Returns `true` if another request that is not cleared was in flight at all losses of this
    /// one.
    fn is_ambiguous(&self, fingerprint: fingerprint::Fingerprint, entry: &Entry) -> bool {
        let explains = |(other, e): (&fingerprint::Fingerprint, &Entry)| {
            *other != fingerprint && entry.losses.is_subset(&e.losses)
        };
        self.entries.iter().any(explains)
    }

    /// Returns `true` if a suspect of the same loss is running. Suspects of one loss run one at a
    /// time, so that a further loss identifies one of them.
    fn is_related_run_active(&self, fingerprint: fingerprint::Fingerprint) -> bool {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return false;
        };
        let running = |(other, e): (&fingerprint::Fingerprint, &Entry)| {
            *other != fingerprint && e.permit.is_some() && e.shares_loss(entry)
        };
        self.entries.iter().any(running)
    }

    fn grant_waiting(&mut self, now: time::Instant) {
        let waiting = |(_, entry): &(&fingerprint::Fingerprint, &Entry)| !entry.waiting.is_empty();
        let waiting = self.entries.iter().filter(waiting);
        let waiting: Vec<fingerprint::Fingerprint> = waiting.map(|(f, _)| *f).collect();
        for fingerprint in waiting {
            self.grant_next(now, fingerprint);
        }
    }

    /// Grants a permit to the first waiting call if one is available, or denies all if the request
    /// is blocked.
    fn grant_next(&mut self, now: time::Instant, fingerprint: fingerprint::Fingerprint) {
        let rebuilt = now >= self.rebuild_until;
        let related_run_active = self.is_related_run_active(fingerprint);
        let grace = self.cfg.permit_grace;
        let Some(entry) = self.entries.get_mut(&fingerprint) else {
            return;
        };
        if let Some(until) = entry.blocked_until {
            let reply = message::PermitReply::Blocked(until.since(now));
            for requester in std::mem::take(&mut entry.waiting) {
                self.reply(fingerprint, requester, reply);
            }
            return;
        }
        if !rebuilt || entry.permit.is_some() || !entry.may_run() || related_run_active {
            return;
        }
        let Some(requester) = entry.waiting.pop_front() else {
            return;
        };
        entry.permit = Some(Requester {
            until: requester.until + grace,
            ..requester
        });
        self.reply(fingerprint, requester, message::PermitReply::Granted);
    }

    /// Drops a suspect without losses, possible losses, a permit or waiting calls.
    fn remove_unused(&mut self, fingerprint: fingerprint::Fingerprint) {
        let unused = |e: &Entry| {
            let unconfirmed = e.losses.is_empty() && e.possible_losses.is_empty();
            unconfirmed && e.permit.is_none() && e.waiting.is_empty()
        };
        if self.entries.get(&fingerprint).is_some_and(unused) {
            self.clear(fingerprint);
        }
    }

    fn clear(&mut self, fingerprint: fingerprint::Fingerprint) {
        let entry = self.entries.remove(&fingerprint);
        for requester in entry.into_iter().flat_map(|entry| entry.waiting) {
            self.reply(fingerprint, requester, message::PermitReply::Cleared);
        }
        let notice = message::Notice::Cleared(fingerprint);
        self.outputs.push_back(LeaderOutput::Publish(notice));
    }

    fn expire(&mut self, now: time::Instant, fingerprint: fingerprint::Fingerprint) {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return;
        };
        if self.expiry(entry) <= now {
            return self.clear(fingerprint);
        }
        let Some(entry) = self.entries.get_mut(&fingerprint) else {
            return;
        };
        if entry.permit.is_some_and(|permit| permit.until <= now) {
            entry.permit = None;
        }
        entry.possible_losses.retain(|_, until| *until > now);
        let waiting = std::mem::take(&mut entry.waiting);
        let (late, waiting): (Vec<Requester>, Vec<Requester>) = waiting
            .into_iter()
            .partition(|requester| requester.until <= now);
        entry.waiting = waiting.into();
        for requester in late {
            self.reply(fingerprint, requester, message::PermitReply::NotGranted);
        }
    }

    /// Returns the time at which the entry is dropped.
    fn expiry(&self, entry: &Entry) -> time::Instant {
        match entry.blocked_until {
            Some(until) => until,
            None if entry.losses.is_empty() => entry.last_activity + self.cfg.unconfirmed_lifetime,
            None => entry.last_activity + self.cfg.suspect_lifetime,
        }
    }

    fn entry_deadline(&self, entry: &Entry) -> time::Instant {
        let mut due = self.expiry(entry);
        for requester in entry.permit.iter().chain(&entry.waiting) {
            due = due.min(requester.until);
        }
        for until in entry.possible_losses.values() {
            due = due.min(*until);
        }
        // After a change of leader, waiting calls are served at the end of the rebuild period.
        if entry.permit.is_none() && entry.may_run() && !entry.waiting.is_empty() {
            due = due.min(self.rebuild_until);
        }
        due
    }

    fn reply(
        &mut self,
        fingerprint: fingerprint::Fingerprint,
        requester: Requester,
        reply: message::PermitReply,
    ) {
        self.outputs.push_back(LeaderOutput::Reply {
            vm: requester.vm,
            call: requester.call,
            fingerprint,
            reply,
        });
    }

    /// Returns the entry of a suspect, and publishes it to the gateways if it is new.
    fn find_or_publish(&mut self, now: time::Instant, suspect: &message::Suspect) -> &mut Entry {
        if !self.entries.contains_key(&suspect.fingerprint) {
            self.entry(now, suspect);
            self.publish(now, suspect.fingerprint);
        }
        self.entry(now, suspect)
    }

    /// Returns the entry of a suspect. If the table is full, a new entry replaces the one with the
    /// oldest activity, suspects before blocks.
    fn entry(&mut self, now: time::Instant, suspect: &message::Suspect) -> &mut Entry {
        let known = self.entries.contains_key(&suspect.fingerprint);
        if !known && self.entries.len() >= MAX_ENTRIES {
            let age = |entry: &Entry| (entry.blocked_until.is_some(), entry.last_activity);
            let oldest = self.entries.iter().min_by_key(|(_, entry)| age(entry));
            if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.clear(fingerprint);
            }
        }
        let new = || Entry {
            label: suspect.label.clone(),
            losses: collections::BTreeSet::new(),
            possible_losses: collections::BTreeMap::new(),
            blocked_until: None,
            last_activity: now,
            losses_changed: false,
            permit: None,
            waiting: collections::VecDeque::new(),
        };
        let entry = self.entries.entry(suspect.fingerprint).or_insert_with(new);
        entry.last_activity = now;
        entry
    }
}

impl Entry {
    /// Returns `true` if an isolated run may start. It waits while the possible losses, if
    /// confirmed, would block the request.
    fn may_run(&self) -> bool {
        self.possible_losses.is_empty()
            || self.losses.len() + self.possible_losses.len() < LOSSES_TO_BLOCK
    }

    fn shares_loss(&self, other: &Entry) -> bool {
        let touches =
            |target| other.losses.contains(target) || other.possible_losses.contains_key(target);
        self.losses
            .iter()
            .chain(self.possible_losses.keys())
            .any(touches)
    }

    fn record(&self, now: time::Instant, fingerprint: fingerprint::Fingerprint) -> message::Record {
        message::Record {
            suspect: message::Suspect {
                fingerprint,
                label: self.label.clone(),
            },
            losses: self.losses.iter().cloned().collect(),
            blocked_for: self.blocked_until.map(|until| until.since(now)),
        }
    }
}
