//! Attribution of losses and treatment of suspects on a gateway.

use std::{collections, time::Duration};

use super::{fingerprint, instance, message};
use crate::time;

/// Most reports that are kept for a new leader.
const MAX_UNCONFIRMED: usize = 64;

/// Settings of [`Gateway`].
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// Time after the end of a call's connection within which the target's other connections or its
    /// incarnation must end for a loss. It covers the TTL of an announcement (3 s) and its spread.
    pub window: Duration,
    /// Time for which a reported suspect is treated as such without word from the leader.
    pub report_lifetime: Duration,
}

impl Default for GatewayConfig {
    fn default() -> Self {
        GatewayConfig {
            window: Duration::from_secs(5),
            report_lifetime: Duration::from_secs(60),
        }
    }
}

/// What to do with a call before it is dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Run it as usual.
    Run,
    /// Ask for a permit with [`Gateway::ask`].
    Isolate,
    /// Refuse it as not run; the block lasts this much longer.
    Refuse(Duration),
}

/// What to do with a call after the leader's reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Run it on a connection of its own, on a target from [`Gateway::isolated_target`].
    Isolated,
    /// Run it as usual.
    Run,
    /// Refuse it as not run because it is blocked.
    Refuse(Duration),
    /// Refuse it as not run because its turn did not come.
    NoTurn,
    /// The call no longer waits; nothing to do.
    Ignored,
}

/// A call in flight, as its end is reported.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// Id of the call, unique within the gateway.
    pub id: u64,
    /// Request of the call.
    pub fingerprint: fingerprint::Fingerprint,
    /// Target that ran it.
    pub target: &'a message::Target,
    /// Time at which its connection was opened.
    pub opened: time::Instant,
    /// Time at which it was sent.
    pub started: time::Instant,
}

/// Messages to the leader of group 0.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Calls' connections ended without an answer. It is not clear yet whether the target was lost,
    /// and a resend at another gateway must already be isolated.
    Suspect(message::CrashReport),
    /// A target that was suspected to be lost was not.
    Acquit(message::CrashReport),
    /// A target was lost.
    Report(message::CrashReport),
    /// A suspect wants to run.
    Ask(message::PermitRequest),
    /// A permit is returned, or a suspect was answered.
    Done(message::PermitDone),
}

#[derive(Clone, Copy, Debug)]
struct Local {
    until: time::Instant,
    // Whether a loss was reported; otherwise only a connection ended.
    reported: bool,
}

#[derive(Clone, Debug)]
struct Known {
    record: message::Record,
    blocked_until: Option<time::Instant>,
}

#[derive(Clone, Debug)]
struct Permit {
    request: message::PermitRequest,
    deadline: time::Instant,
    granted: bool,
    target: Option<message::Target>,
}

impl Permit {
    fn request_at(&self, now: time::Instant) -> message::PermitRequest {
        message::PermitRequest {
            remaining: self.deadline.since(now),
            ..self.request.clone()
        }
    }
}

/// Containment on a gateway.
#[derive(Debug)]
pub struct Gateway {
    cfg: GatewayConfig,
    known: collections::BTreeMap<fingerprint::Fingerprint, Known>,
    // Suspects of this gateway that the leader has not confirmed or cleared.
    local: collections::BTreeMap<fingerprint::Fingerprint, Local>,
    targets: collections::BTreeMap<message::Target, instance::Instance>,
    permits: collections::BTreeMap<u64, Permit>,
    // Reports that no leader has published yet.
    unconfirmed: Vec<message::CrashReport>,
    outputs: collections::VecDeque<Output>,
}

impl Gateway {
    /// Creates the state of a gateway that knows no suspects.
    pub fn new(cfg: GatewayConfig) -> Self {
        Gateway {
            cfg,
            known: collections::BTreeMap::new(),
            local: collections::BTreeMap::new(),
            targets: collections::BTreeMap::new(),
            permits: collections::BTreeMap::new(),
            unconfirmed: Vec::new(),
            outputs: collections::VecDeque::new(),
        }
    }

    /// Decides about a call before each dispatch, also before a retry.
    pub fn decide(&self, now: time::Instant, fingerprint: fingerprint::Fingerprint) -> Decision {
        if let Some(known) = self.known.get(&fingerprint) {
            return match known.blocked_until {
                Some(until) if until > now => Decision::Refuse(until.since(now)),
                Some(_) => Decision::Run,
                None => Decision::Isolate,
            };
        }
        match self.local.get(&fingerprint) {
            Some(local) if local.until > now => Decision::Isolate,
            _ => Decision::Run,
        }
    }

    /// Asks the leader for a permit.
    pub fn ask(
        &mut self,
        now: time::Instant,
        call: u64,
        suspect: message::Suspect,
        remaining: Duration,
    ) {
        let request = message::PermitRequest {
            call,
            suspect,
            remaining,
        };
        let permit = Permit {
            request: request.clone(),
            deadline: now + remaining,
            granted: false,
            target: None,
        };
        self.permits.insert(call, permit);
        self.outputs.push_back(Output::Ask(request));
    }

    /// Permit requests without a reply, to be sent to a new leader after [`Gateway::rebuild`].
    pub fn open_requests(&self, now: time::Instant) -> Vec<message::PermitRequest> {
        let open = self.permits.values().filter(|permit| !permit.granted);
        open.map(|permit| permit.request_at(now)).collect()
    }

    /// Takes the leader's reply to [`Gateway::ask`].
    pub fn permit_reply(
        &mut self,
        call: u64,
        fingerprint: fingerprint::Fingerprint,
        reply: message::PermitReply,
    ) -> Verdict {
        let Some(permit) = self.permits.get_mut(&call) else {
            if reply == message::PermitReply::Granted {
                self.done(call, fingerprint, message::RunResult::Inconclusive);
            }
            return Verdict::Ignored;
        };
        if permit.granted {
            return Verdict::Ignored;
        }
        match reply {
            message::PermitReply::Granted => {
                permit.granted = true;
                return Verdict::Isolated;
            }
            message::PermitReply::Cleared
            | message::PermitReply::Blocked(_)
            | message::PermitReply::NoTurn => {
                self.permits.remove(&call);
            }
        }
        match reply {
            message::PermitReply::Blocked(left) => Verdict::Refuse(left),
            message::PermitReply::NoTurn => Verdict::NoTurn,
            message::PermitReply::Granted | message::PermitReply::Cleared => Verdict::Run,
        }
    }

    /// The call is not run, or its isolated run ended without evidence. Returns its permit.
    pub fn give_up(&mut self, call: u64) {
        if let Some(permit) = self.release(call) {
            let fingerprint = permit.request.suspect.fingerprint;
            self.done(call, fingerprint, message::RunResult::Inconclusive);
        }
    }

    /// Picks a target without calls of this gateway for the isolated run of `call` and reserves it.
    pub fn isolated_target<'a>(
        &mut self,
        call: u64,
        mut candidates: impl Iterator<Item = &'a message::Target>,
    ) -> Option<&'a message::Target> {
        let permit = self.permits.get_mut(&call).filter(|p| p.granted)?;
        let free = |target: &&message::Target| match self.targets.get(*target) {
            None => true,
            Some(i) => i.in_flight == 0 && i.reserved_by.is_none() && !i.lost,
        };
        let target = candidates.find(free)?;
        permit.target = Some(target.clone());
        self.targets.entry(target.clone()).or_default().reserved_by = Some(call);
        Some(target)
    }

    /// Whether the target is reserved for an isolated run, so that no other call may go there.
    pub fn is_reserved(&self, target: &message::Target) -> bool {
        let instance = self.targets.get(target);
        instance.is_some_and(|instance| instance.reserved_by.is_some())
    }

    /// A connection to the target was opened.
    pub fn connection_opened(&mut self, target: &message::Target) {
        self.instance(target).open += 1;
    }

    /// A call was sent to the target.
    pub fn started(&mut self, target: &message::Target) {
        self.instance(target).in_flight += 1;
    }

    /// A call ended; `answered` means that its answer is complete.
    pub fn finished(&mut self, call: &Call<'_>, answered: bool) {
        let instance = self.instance(call.target);
        instance.in_flight = instance.in_flight.saturating_sub(1);
        if !answered {
            return self.forget_unused(call.target);
        }
        let disproved = instance.answered(call.opened, call.started);
        if let Some(broken) = disproved {
            self.acquit(call.target, broken);
        }
        let permit = self.release(call.id);
        let suspected = permit.is_some()
            || self.local.contains_key(&call.fingerprint)
            || self.is_known_suspect(call.fingerprint);
        if suspected {
            self.local.remove(&call.fingerprint);
            self.done(call.id, call.fingerprint, message::RunResult::Answered);
        }
        self.forget_unused(call.target);
    }

    /// A connection that was opened at `opened` ended. A call on it must also be reported with
    /// [`Gateway::finished`].
    pub fn connection_ended(
        &mut self,
        now: time::Instant,
        target: &message::Target,
        opened: time::Instant,
        end: instance::End,
    ) {
        let mut unanswered = None;
        if let instance::End::Unanswered { call, suspect } = &end {
            unanswered = Some((*call, suspect.clone()));
            let until = now + self.cfg.window;
            let local = Local {
                until,
                reported: false,
            };
            self.local.entry(suspect.fingerprint).or_insert(local);
        }
        self.instance(target).connection_ended(now, opened, end);
        let attributed = self.attribute(now, target);
        let Some((call, suspect)) = unanswered else {
            return;
        };
        let fingerprint = suspect.fingerprint;
        let mut result = message::RunResult::Lost;
        if !attributed {
            result = message::RunResult::Inconclusive;
            let target = target.clone();
            let suspects = vec![suspect];
            let doubt = message::CrashReport { target, suspects };
            self.outputs.push_back(Output::Suspect(doubt));
        }
        // The open suspicion keeps the leader from a further permit, so that a retry of the same
        // call can ask for one.
        if self.release(call).is_some() {
            self.done(call, fingerprint, result);
        }
    }

    /// A new connection to the target was refused.
    pub fn connect_failed(&mut self, now: time::Instant, target: &message::Target) {
        self.instance(target).connect_failed();
        self.attribute(now, target);
    }

    /// The incarnation ended: a newer one announced itself, or its announcement ran out.
    pub fn incarnation_ended(&mut self, now: time::Instant, target: &message::Target) {
        self.instance(target).lost = true;
        self.attribute(now, target);
    }

    /// Takes a change from the leader.
    pub fn notice(&mut self, now: time::Instant, notice: &message::Notice) {
        match notice {
            message::Notice::Update(record) => {
                self.confirm(record.suspect.fingerprint, Some(&record.losses));
                let known = Known {
                    record: record.clone(),
                    blocked_until: record.blocked_for.map(|left| now + left),
                };
                self.local.remove(&record.suspect.fingerprint);
                self.known.insert(record.suspect.fingerprint, known);
            }
            message::Notice::Cleared(fingerprint) => {
                self.confirm(*fingerprint, None);
                self.local.remove(fingerprint);
                self.known.remove(fingerprint);
            }
        }
    }

    /// Replaces everything known from an earlier leader by the list of this one.
    pub fn replace(&mut self, now: time::Instant, records: &[message::Record]) {
        self.known.clear();
        for record in records {
            self.notice(now, &message::Notice::Update(record.clone()));
        }
    }

    /// Reports to a new leader what this gateway knows.
    pub fn rebuild(&self, now: time::Instant) -> message::Rebuild {
        let left = |until: time::Instant| until.since(now);
        let record = |known: &Known| message::Record {
            blocked_for: known.blocked_until.map(left),
            ..known.record.clone()
        };
        let in_force = |known: &&Known| known.blocked_until.is_none_or(|until| until > now);
        let held = self.permits.values().filter(|permit| permit.granted);
        let known = self.known.values().filter(in_force).map(record);
        let reported = self.unconfirmed.iter().flat_map(|report| {
            report.suspects.iter().map(|suspect| message::Record {
                suspect: suspect.clone(),
                losses: vec![report.target.clone()],
                blocked_for: None,
            })
        });
        let broken = |(target, instance): (&message::Target, &instance::Instance)| {
            let calls = &instance.broken.as_ref()?.calls;
            Some(message::CrashReport {
                target: target.clone(),
                suspects: calls.clone(),
            })
        };
        message::Rebuild {
            doubts: self.targets.iter().filter_map(broken).collect(),
            records: known.chain(reported).collect(),
            permits: held.map(|permit| permit.request_at(now)).collect(),
        }
    }

    /// Ends windows of attribution and expired entries.
    pub fn tick(&mut self, now: time::Instant) {
        let window = self.cfg.window;
        let ended = |i: &instance::Instance| match &i.broken {
            Some(broken) => now.since(broken.since) >= window,
            None => false,
        };
        let due: Vec<message::Target> = self
            .targets
            .iter()
            .filter(|(_, instance)| ended(instance))
            .map(|(target, _)| target.clone())
            .collect();
        for target in due {
            if let Some(broken) = self.instance(&target).broken.take() {
                self.acquit(&target, broken);
            }
            self.forget_unused(&target);
        }
        self.local.retain(|_, local| local.until > now);
        let in_force = |known: &Known| known.blocked_until.is_none_or(|until| until > now);
        self.known.retain(|_, known| in_force(known));
    }

    /// Time at which [`Gateway::tick`] must be called.
    pub fn next_deadline(&self) -> Option<time::Instant> {
        let broken = self.targets.values().filter_map(|i| i.broken.as_ref());
        broken.map(|b| b.since + self.cfg.window).min()
    }

    /// Takes the next message to the leader.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Reports the target as lost if that is certain, and returns whether it is.
    fn attribute(&mut self, now: time::Instant, target: &message::Target) -> bool {
        let Some(broken) = self.instance(target).take_loss() else {
            self.forget_unused(target);
            return false;
        };
        let mut suspects: Vec<message::Suspect> = Vec::new();
        for suspect in &broken.calls {
            let until = now + self.cfg.report_lifetime;
            let local = Local {
                until,
                reported: true,
            };
            self.local.insert(suspect.fingerprint, local);
            if !suspects
                .iter()
                .any(|s| s.fingerprint == suspect.fingerprint)
            {
                suspects.push(suspect.clone());
            }
        }
        let report = message::CrashReport {
            target: target.clone(),
            suspects,
        };
        if self.unconfirmed.len() >= MAX_UNCONFIRMED {
            self.unconfirmed.remove(0);
        }
        self.unconfirmed.push(report.clone());
        self.outputs.push_back(Output::Report(report));
        self.forget_unused(target);
        true
    }

    /// The leader published a request with these losses, or cleared it.
    fn confirm(
        &mut self,
        fingerprint: fingerprint::Fingerprint,
        losses: Option<&[message::Target]>,
    ) {
        for report in &mut self.unconfirmed {
            if losses.is_none_or(|losses| losses.contains(&report.target)) {
                report.suspects.retain(|s| s.fingerprint != fingerprint);
            }
        }
        self.unconfirmed
            .retain(|report| !report.suspects.is_empty());
    }

    /// The target lives, or nothing showed within the window that it was lost.
    fn acquit(&mut self, target: &message::Target, broken: instance::Break) {
        self.outputs.push_back(Output::Acquit(message::CrashReport {
            target: target.clone(),
            suspects: broken.calls.clone(),
        }));
        for suspect in broken.calls {
            let reported = |local: &Local| local.reported;
            if !self.local.get(&suspect.fingerprint).is_some_and(reported) {
                self.local.remove(&suspect.fingerprint);
            }
        }
    }

    fn release(&mut self, call: u64) -> Option<Permit> {
        let permit = self.permits.remove(&call)?;
        let target = permit.target.as_ref();
        if let Some(instance) = target.and_then(|target| self.targets.get_mut(target)) {
            instance.reserved_by = None;
        }
        Some(permit)
    }

    fn done(
        &mut self,
        call: u64,
        fingerprint: fingerprint::Fingerprint,
        result: message::RunResult,
    ) {
        self.outputs.push_back(Output::Done(message::PermitDone {
            call,
            fingerprint,
            result,
        }));
    }

    fn is_known_suspect(&self, fingerprint: fingerprint::Fingerprint) -> bool {
        let known = self.known.get(&fingerprint);
        known.is_some_and(|known| known.blocked_until.is_none())
    }

    fn instance(&mut self, target: &message::Target) -> &mut instance::Instance {
        if !self.targets.contains_key(target) {
            self.targets
                .insert(target.clone(), instance::Instance::default());
        }
        self.targets.entry(target.clone()).or_default()
    }

    fn forget_unused(&mut self, target: &message::Target) {
        let unused = self.targets.get(target).is_some_and(|i| i.is_unused());
        if unused {
            self.targets.remove(target);
        }
    }
}
