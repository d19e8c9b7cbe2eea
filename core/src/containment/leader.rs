//! Counting of losses, permits and blocks on the leader of group 0.

use std::{collections, time::Duration};

use super::{fingerprint, message};
use crate::{time, types};

/// Lost targets after which a request is blocked.
pub const LOSSES_TO_BLOCK: usize = 2;

/// Lost targets after which a request is blocked even if another suspect was in flight at all of
/// the losses. The isolated run that follows an ambiguous second loss decides between the two.
pub const MAX_LOSSES: usize = 3;

/// Most suspects and blocks.
pub const MAX_ENTRIES: usize = 1024;

const MAX_WAITING: usize = 256;

/// Settings of [`Leader`].
#[derive(Clone, Debug)]
pub struct LeaderConfig {
    /// Duration of a block.
    pub block: Duration,
    /// Time after which a suspect that was not sent again is forgotten.
    pub suspect_lifetime: Duration,
    /// The same for a suspect to which no target was lost.
    pub unproved_lifetime: Duration,
    /// Time that a permit outlives its call's deadline: the window of attribution on the gateway and
    /// a margin for the report.
    pub permit_grace: Duration,
    /// Time after a change of leader in which no permit is granted, so that gateways can report
    /// the permits they hold. It is the length of a serving lease.
    pub rebuild: Duration,
}

impl Default for LeaderConfig {
    fn default() -> Self {
        LeaderConfig {
            block: Duration::from_secs(600),
            suspect_lifetime: Duration::from_secs(600),
            unproved_lifetime: Duration::from_secs(30),
            permit_grace: Duration::from_secs(7),
            rebuild: Duration::from_millis(2_200),
        }
    }
}

/// What the I/O layer must send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaderOutput {
    /// Send to all gateways.
    Publish(message::Notice),
    /// Answer a permit request.
    Reply {
        /// Gateway that asked.
        vm: types::VmId,
        /// Call that asked.
        call: u64,
        /// Request of the call.
        fingerprint: fingerprint::Fingerprint,
        /// Answer.
        reply: message::PermitReply,
    },
}

#[derive(Clone, Copy, Debug)]
struct Turn {
    vm: types::VmId,
    call: u64,
    until: time::Instant,
}

#[derive(Clone, Debug)]
struct Entry {
    label: String,
    losses: collections::BTreeSet<message::Target>,
    // Targets that may be lost, until the gateway knows.
    pending: collections::BTreeMap<message::Target, time::Instant>,
    blocked_until: Option<time::Instant>,
    touched: time::Instant,
    changed: bool,
    permit: Option<Turn>,
    waiting: collections::VecDeque<Turn>,
}

/// Containment on the leader of group 0.
#[derive(Debug)]
pub struct Leader {
    cfg: LeaderConfig,
    ready: time::Instant,
    entries: collections::BTreeMap<fingerprint::Fingerprint, Entry>,
    outputs: collections::VecDeque<LeaderOutput>,
}

impl Leader {
    /// Creates the state of a VM that became leader at `now`.
    pub fn new(cfg: LeaderConfig, now: time::Instant) -> Self {
        let ready = now + cfg.rebuild;
        Leader {
            cfg,
            ready,
            entries: collections::BTreeMap::new(),
            outputs: collections::VecDeque::new(),
        }
    }

    /// Takes a gateway's suspicion about requests whose target may be lost.
    pub fn suspect(&mut self, now: time::Instant, doubt: &message::CrashReport) {
        let until = now + self.cfg.permit_grace;
        for suspect in &doubt.suspects {
            let entry = self.published(now, suspect);
            entry.pending.insert(doubt.target.clone(), until);
        }
    }

    /// The target of a suspicion was not lost.
    pub fn acquit(&mut self, now: time::Instant, doubt: &message::CrashReport) {
        for suspect in &doubt.suspects {
            if let Some(entry) = self.entries.get_mut(&suspect.fingerprint) {
                entry.pending.remove(&doubt.target);
            }
            self.forget_unused(suspect.fingerprint);
        }
        self.serve_waiting(now);
    }

    /// Takes a gateway's report of a lost target.
    pub fn report(&mut self, now: time::Instant, report: &message::CrashReport) {
        for suspect in &report.suspects {
            let entry = self.entry(now, suspect);
            entry.pending.remove(&report.target);
            entry.changed |= entry.losses.insert(report.target.clone());
        }
        // Another gateway's report of the same loss may make an earlier judgement ambiguous.
        let shares = |(_, entry): &(&fingerprint::Fingerprint, &Entry)| {
            entry.losses.contains(&report.target)
        };
        let sharing: Vec<fingerprint::Fingerprint> = self
            .entries
            .iter()
            .filter(shares)
            .map(|(fingerprint, _)| *fingerprint)
            .collect();
        for fingerprint in sharing {
            self.judge(now, fingerprint);
        }
        self.serve_waiting(now);
    }

    /// An incarnation of a target ended without a planned stop, as the directory shows. This settles
    /// suspicions whose gateway was lost.
    pub fn incarnation_ended(&mut self, now: time::Instant, target: &message::Target) {
        let doubted = |(_, entry): &(&fingerprint::Fingerprint, &Entry)| {
            entry.blocked_until.is_none() && entry.pending.contains_key(target)
        };
        let suspect =
            |(fingerprint, entry): (&fingerprint::Fingerprint, &Entry)| message::Suspect {
                fingerprint: *fingerprint,
                label: entry.label.clone(),
            };
        let suspects = self.entries.iter().filter(doubted).map(suspect).collect();
        self.report(
            now,
            &message::CrashReport {
                target: target.clone(),
                suspects,
            },
        );
    }

    /// Takes what a gateway knows from an earlier leader.
    pub fn rebuild(&mut self, now: time::Instant, vm: types::VmId, known: &message::Rebuild) {
        for record in &known.records {
            let entry = self.entry(now, &record.suspect);
            entry.losses.extend(record.losses.iter().cloned());
            let until = record.blocked_for.map(|left| now + left);
            entry.blocked_until = entry.blocked_until.max(until);
        }
        for record in &known.records {
            let fingerprint = record.suspect.fingerprint;
            if self.is_guilty(fingerprint) {
                self.block(now, fingerprint);
            }
            self.publish(now, fingerprint);
        }
        for doubt in &known.doubts {
            self.suspect(now, doubt);
        }
        for request in &known.permits {
            let until = now + request.remaining + self.cfg.permit_grace;
            let entry = self.entry(now, &request.suspect);
            entry.permit = Some(Turn {
                vm,
                call: request.call,
                until,
            });
        }
    }

    /// A gateway asks to run a suspect. The reply comes with the call's turn.
    pub fn ask(&mut self, now: time::Instant, vm: types::VmId, request: &message::PermitRequest) {
        let fingerprint = request.suspect.fingerprint;
        let turn = Turn {
            vm,
            call: request.call,
            until: now + request.remaining,
        };
        let entry = self.published(now, &request.suspect);
        let repeated = |t: &Turn| (t.vm, t.call) == (turn.vm, turn.call);
        if entry.waiting.iter().any(repeated) {
            return;
        }
        if entry.waiting.len() >= MAX_WAITING {
            return self.reply(fingerprint, turn, message::PermitReply::NoTurn);
        }
        entry.waiting.push_back(turn);
        self.serve(now, fingerprint);
    }

    /// A gateway returns a permit or reports that a suspect was answered.
    pub fn done(&mut self, now: time::Instant, vm: types::VmId, done: &message::PermitDone) {
        let Some(entry) = self.entries.get_mut(&done.fingerprint) else {
            return;
        };
        entry.touched = now;
        let held = |turn: &Turn| (turn.vm, turn.call) == (vm, done.call);
        if entry.permit.as_ref().is_some_and(held) {
            entry.permit = None;
        }
        entry.waiting.retain(|turn| !held(turn));
        if done.result == message::RunResult::Answered && entry.blocked_until.is_none() {
            self.clear(done.fingerprint);
        }
        self.forget_unused(done.fingerprint);
        self.serve_waiting(now);
    }

    /// An operator lifts a block.
    pub fn lift(&mut self, fingerprint: fingerprint::Fingerprint) {
        if self.entries.contains_key(&fingerprint) {
            self.clear(fingerprint);
        }
    }

    /// Ends expired permits, waits, blocks and suspects.
    pub fn tick(&mut self, now: time::Instant) {
        let fingerprints: Vec<fingerprint::Fingerprint> = self.entries.keys().copied().collect();
        for fingerprint in fingerprints {
            self.expire(now, fingerprint);
        }
        self.serve_waiting(now);
    }

    /// Time at which [`Leader::tick`] must be called.
    pub fn next_deadline(&self) -> Option<time::Instant> {
        self.entries.values().map(|entry| self.due(entry)).min()
    }

    /// Everything known, for a gateway that connects and for operators, in the order of the
    /// fingerprints.
    pub fn list(&self, now: time::Instant) -> Vec<message::Record> {
        let record = |(fingerprint, entry): (&fingerprint::Fingerprint, &Entry)| {
            entry.record(now, *fingerprint)
        };
        self.entries.iter().map(record).collect()
    }

    /// Takes the next output.
    pub fn poll_output(&mut self) -> Option<LeaderOutput> {
        self.outputs.pop_front()
    }

    /// Blocks the request if its losses are enough, lifts the block if they no longer are, and tells
    /// the gateways of any change.
    fn judge(&mut self, now: time::Instant, fingerprint: fingerprint::Fingerprint) {
        let guilty = self.is_guilty(fingerprint);
        let Some(entry) = self.entries.get_mut(&fingerprint) else {
            return;
        };
        let blocked = entry.blocked_until.is_some();
        let changed = std::mem::take(&mut entry.changed) || blocked != guilty;
        match guilty {
            true => self.block(now, fingerprint),
            false => entry.blocked_until = None,
        }
        if changed {
            self.publish(now, fingerprint);
        }
    }

    fn is_guilty(&self, fingerprint: fingerprint::Fingerprint) -> bool {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return false;
        };
        let losses = entry.losses.len();
        let enough = losses >= LOSSES_TO_BLOCK && !self.is_ambiguous(fingerprint, entry);
        enough || losses >= MAX_LOSSES
    }

    fn block(&mut self, now: time::Instant, fingerprint: fingerprint::Fingerprint) {
        let until = now + self.cfg.block;
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

    /// Whether another request that is not cleared was in flight at all losses of this one.
    fn is_ambiguous(&self, fingerprint: fingerprint::Fingerprint, entry: &Entry) -> bool {
        let explains = |(other, e): (&fingerprint::Fingerprint, &Entry)| {
            *other != fingerprint && entry.losses.is_subset(&e.losses)
        };
        self.entries.iter().any(explains)
    }

    /// Whether a suspect of the same loss is running. Suspects of one loss run one after the other,
    /// so that the next loss points at one of them.
    fn is_shared_run(&self, fingerprint: fingerprint::Fingerprint) -> bool {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return false;
        };
        let running = |(other, e): (&fingerprint::Fingerprint, &Entry)| {
            *other != fingerprint && e.permit.is_some() && e.shares_loss(entry)
        };
        self.entries.iter().any(running)
    }

    fn serve_waiting(&mut self, now: time::Instant) {
        let waiting = |(_, entry): &(&fingerprint::Fingerprint, &Entry)| !entry.waiting.is_empty();
        let waiting = self.entries.iter().filter(waiting);
        let waiting: Vec<fingerprint::Fingerprint> = waiting.map(|(f, _)| *f).collect();
        for fingerprint in waiting {
            self.serve(now, fingerprint);
        }
    }

    /// Answers the waiting calls of a request as far as possible.
    fn serve(&mut self, now: time::Instant, fingerprint: fingerprint::Fingerprint) {
        let ready = now >= self.ready;
        let shared = self.is_shared_run(fingerprint);
        let grace = self.cfg.permit_grace;
        let Some(entry) = self.entries.get_mut(&fingerprint) else {
            return;
        };
        if let Some(until) = entry.blocked_until {
            let reply = message::PermitReply::Blocked(until.since(now));
            for turn in std::mem::take(&mut entry.waiting) {
                self.reply(fingerprint, turn, reply);
            }
            return;
        }
        if !ready || entry.permit.is_some() || !entry.may_run() || shared {
            return;
        }
        let Some(turn) = entry.waiting.pop_front() else {
            return;
        };
        entry.permit = Some(Turn {
            until: turn.until + grace,
            ..turn
        });
        self.reply(fingerprint, turn, message::PermitReply::Granted);
    }

    /// Forgets a suspect that nothing speaks against any more.
    fn forget_unused(&mut self, fingerprint: fingerprint::Fingerprint) {
        let unused = |e: &Entry| {
            let unproved = e.losses.is_empty() && e.pending.is_empty();
            unproved && e.permit.is_none() && e.waiting.is_empty()
        };
        if self.entries.get(&fingerprint).is_some_and(unused) {
            self.clear(fingerprint);
        }
    }

    fn clear(&mut self, fingerprint: fingerprint::Fingerprint) {
        let entry = self.entries.remove(&fingerprint);
        for turn in entry.into_iter().flat_map(|entry| entry.waiting) {
            self.reply(fingerprint, turn, message::PermitReply::Cleared);
        }
        let notice = message::Notice::Cleared(fingerprint);
        self.outputs.push_back(LeaderOutput::Publish(notice));
    }

    fn expire(&mut self, now: time::Instant, fingerprint: fingerprint::Fingerprint) {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return;
        };
        if self.end_of(entry) <= now {
            return self.clear(fingerprint);
        }
        let Some(entry) = self.entries.get_mut(&fingerprint) else {
            return;
        };
        if entry.permit.is_some_and(|permit| permit.until <= now) {
            entry.permit = None;
        }
        entry.pending.retain(|_, until| *until > now);
        let waiting = std::mem::take(&mut entry.waiting);
        let (late, waiting): (Vec<Turn>, Vec<Turn>) =
            waiting.into_iter().partition(|turn| turn.until <= now);
        entry.waiting = waiting.into();
        for turn in late {
            self.reply(fingerprint, turn, message::PermitReply::NoTurn);
        }
    }

    /// Time at which the entry is forgotten.
    fn end_of(&self, entry: &Entry) -> time::Instant {
        match entry.blocked_until {
            Some(until) => until,
            None if entry.losses.is_empty() => entry.touched + self.cfg.unproved_lifetime,
            None => entry.touched + self.cfg.suspect_lifetime,
        }
    }

    fn due(&self, entry: &Entry) -> time::Instant {
        let mut due = self.end_of(entry);
        for turn in entry.permit.iter().chain(&entry.waiting) {
            due = due.min(turn.until);
        }
        for until in entry.pending.values() {
            due = due.min(*until);
        }
        // After a change of leader the waiting calls get their turn when the rebuild is over.
        if entry.permit.is_none() && entry.may_run() && !entry.waiting.is_empty() {
            due = due.min(self.ready);
        }
        due
    }

    fn reply(
        &mut self,
        fingerprint: fingerprint::Fingerprint,
        turn: Turn,
        reply: message::PermitReply,
    ) {
        self.outputs.push_back(LeaderOutput::Reply {
            vm: turn.vm,
            call: turn.call,
            fingerprint,
            reply,
        });
    }

    /// Returns the entry of a suspect and tells the gateways if it is new.
    fn published(&mut self, now: time::Instant, suspect: &message::Suspect) -> &mut Entry {
        if !self.entries.contains_key(&suspect.fingerprint) {
            self.entry(now, suspect);
            self.publish(now, suspect.fingerprint);
        }
        self.entry(now, suspect)
    }

    /// Returns the entry of a suspect, making room for it by dropping the entry that was not
    /// touched for longest, suspects before blocks.
    fn entry(&mut self, now: time::Instant, suspect: &message::Suspect) -> &mut Entry {
        let known = self.entries.contains_key(&suspect.fingerprint);
        if !known && self.entries.len() >= MAX_ENTRIES {
            let age = |entry: &Entry| (entry.blocked_until.is_some(), entry.touched);
            let oldest = self.entries.iter().min_by_key(|(_, entry)| age(entry));
            if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.clear(fingerprint);
            }
        }
        let new = || Entry {
            label: suspect.label.clone(),
            losses: collections::BTreeSet::new(),
            pending: collections::BTreeMap::new(),
            blocked_until: None,
            touched: now,
            changed: false,
            permit: None,
            waiting: collections::VecDeque::new(),
        };
        let entry = self.entries.entry(suspect.fingerprint).or_insert_with(new);
        entry.touched = now;
        entry
    }
}

impl Entry {
    /// Whether an isolated run may start. While it is open whether enough targets were lost for a
    /// block, it waits.
    fn may_run(&self) -> bool {
        self.pending.is_empty() || self.losses.len() + self.pending.len() < LOSSES_TO_BLOCK
    }

    fn shares_loss(&self, other: &Entry) -> bool {
        let touches = |target| other.losses.contains(target) || other.pending.contains_key(target);
        self.losses.iter().chain(self.pending.keys()).any(touches)
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
