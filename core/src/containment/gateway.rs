//! Gateway side of containment: attributes lost targets to requests and decides how suspects may
//! run.
//!
//! The gateway reports the start and end of its connections and calls. From these this module
//! decides whether a target crashed, reports the requests in flight to the leader of group 0, and
//! admits, isolates or refuses later calls according to the records that the leader publishes.

use std::{collections, time::Duration};

use super::{fingerprint, instance, message};
use crate::time;

/// Maximum number of loss reports kept until a leader has published them.
const MAX_UNCONFIRMED_REPORTS: usize = 64;

/// Settings of [`Gateway`].
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// Time after a call's connection ended without a response within which the target's other
    /// connections or its incarnation must end for the target to count as lost. It covers the TTL
    /// of an announcement (3 s) and its propagation.
    pub attribution_window: Duration,
    /// Time for which a request reported by this gateway is treated as a suspect while the leader
    /// has neither published nor cleared it.
    pub report_lifetime: Duration,
}

impl Default for GatewayConfig {
    fn default() -> Self {
        GatewayConfig {
            attribution_window: Duration::from_secs(5),
            report_lifetime: Duration::from_secs(60),
        }
    }
}

/// Action for a call before it is dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Run the call without restriction.
    Run,
    /// Request a permit with [`Gateway::request_permit`] and run the call isolated.
    Isolate,
    /// Refuse the call as not run. The block lasts for the given remaining time.
    Refuse(Duration),
}

/// Action for a call after the leader's reply to its permit request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitDecision {
    /// Run the call on its own connection to a target from [`Gateway::isolated_target`].
    Isolated,
    /// Run the call without restriction.
    Run,
    /// Refuse the call as not run because its request is blocked for the given remaining time.
    Refuse(Duration),
    /// Refuse the call as not run because no permit was granted before its deadline.
    NotGranted,
    /// No action: the call no longer waits for the reply.
    Ignored,
}

/// A call whose end is reported.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// Id of the call, unique within the gateway.
    pub id: u64,
    /// Fingerprint of the call's request.
    pub fingerprint: fingerprint::Fingerprint,
    /// Target to which the call was sent.
    pub target: &'a message::Target,
    /// Time at which the call's connection was opened.
    pub opened: time::Instant,
    /// Time at which the call was sent.
    pub started: time::Instant,
}

/// Message to the leader of group 0.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// The connection of a call ended without a response. It is not yet certain that the target was
    /// lost, but other gateways must already isolate the request if it is sent again.
    PossibleLoss(message::CrashReport),
    /// A target reported with [`Output::PossibleLoss`] was not lost.
    LossRuledOut(message::CrashReport),
    /// A target was lost.
    LossConfirmed(message::CrashReport),
    /// Requests a permit to run a suspect.
    RequestPermit(message::PermitRequest),
    /// Returns a permit, or reports a complete response to a suspect.
    RunEnded(message::PermitDone),
}

/// A suspect found by this gateway. Its calls run isolated until `until`.
#[derive(Clone, Copy, Debug)]
struct LocalSuspect {
    until: time::Instant,
    // Whether a target loss was confirmed; `false` if only a connection has ended.
    reported: bool,
}

#[derive(Clone, Debug)]
struct PublishedRecord {
    record: message::Record,
    blocked_until: Option<time::Instant>,
}

/// A permit that was requested for a call, and granted if `granted` is set.
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

/// Containment state of a gateway.
#[derive(Debug)]
pub struct Gateway {
    cfg: GatewayConfig,
    published: collections::BTreeMap<fingerprint::Fingerprint, PublishedRecord>,
    // Suspects found by this gateway that the leader has neither published nor cleared.
    local_suspects: collections::BTreeMap<fingerprint::Fingerprint, LocalSuspect>,
    targets: collections::BTreeMap<message::Target, instance::Instance>,
    permits: collections::BTreeMap<u64, Permit>,
    // Loss reports that no leader has published yet.
    unconfirmed: Vec<message::CrashReport>,
    outputs: collections::VecDeque<Output>,
}

impl Gateway {
    /// Creates the state of a gateway without suspects.
    pub fn new(cfg: GatewayConfig) -> Self {
        Gateway {
            cfg,
            published: collections::BTreeMap::new(),
            local_suspects: collections::BTreeMap::new(),
            targets: collections::BTreeMap::new(),
            permits: collections::BTreeMap::new(),
            unconfirmed: Vec::new(),
            outputs: collections::VecDeque::new(),
        }
    }

    /// Decides how a call with this fingerprint may run. Must be called before every dispatch,
    /// including retries.
    pub fn decide(&self, now: time::Instant, fingerprint: fingerprint::Fingerprint) -> Decision {
        if let Some(published) = self.published.get(&fingerprint) {
            return match published.blocked_until {
                Some(until) if until > now => Decision::Refuse(until.since(now)),
                Some(_) => Decision::Run,
                None => Decision::Isolate,
            };
        }
        match self.local_suspects.get(&fingerprint) {
            Some(local) if local.until > now => Decision::Isolate,
            _ => Decision::Run,
        }
    }

    /// Queues a permit request for the leader.
    pub fn request_permit(
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
        self.outputs.push_back(Output::RequestPermit(request));
    }

    /// Returns the permit requests without a reply, which must be sent to a new leader after
    /// [`Gateway::rebuild`].
    pub fn pending_requests(&self, now: time::Instant) -> Vec<message::PermitRequest> {
        let open = self.permits.values().filter(|permit| !permit.granted);
        open.map(|permit| permit.request_at(now)).collect()
    }

    /// Applies the leader's reply to [`Gateway::request_permit`] and returns the action for the
    /// call.
    pub fn permit_reply(
        &mut self,
        call: u64,
        fingerprint: fingerprint::Fingerprint,
        reply: message::PermitReply,
    ) -> PermitDecision {
        let Some(permit) = self.permits.get_mut(&call) else {
            if reply == message::PermitReply::Granted {
                self.push_run_ended(call, fingerprint, message::RunResult::Inconclusive);
            }
            return PermitDecision::Ignored;
        };
        if permit.granted {
            return PermitDecision::Ignored;
        }
        match reply {
            message::PermitReply::Granted => {
                permit.granted = true;
                return PermitDecision::Isolated;
            }
            message::PermitReply::Cleared
            | message::PermitReply::Blocked(_)
            | message::PermitReply::NotGranted => {
                self.permits.remove(&call);
            }
        }
        match reply {
            message::PermitReply::Blocked(left) => PermitDecision::Refuse(left),
            message::PermitReply::NotGranted => PermitDecision::NotGranted,
            message::PermitReply::Granted | message::PermitReply::Cleared => PermitDecision::Run,
        }
    }

    /// Returns the permit of a call that does not run, or whose isolated run ended without a
    /// result.
    pub fn cancel(&mut self, call: u64) {
        if let Some(permit) = self.release_permit(call) {
            let fingerprint = permit.request.suspect.fingerprint;
            self.push_run_ended(call, fingerprint, message::RunResult::Inconclusive);
        }
    }

    /// Selects a target without calls from this gateway for the isolated run of `call` and reserves
    /// it.
    pub fn isolated_target<'a>(
        &mut self,
        call: u64,
        mut candidates: impl Iterator<Item = &'a message::Target>,
    ) -> Option<&'a message::Target> {
        let permit = self.permits.get_mut(&call).filter(|p| p.granted)?;
        let free = |target: &&message::Target| match self.targets.get(*target) {
            None => true,
            Some(i) => i.calls_in_flight == 0 && i.reserved_by.is_none() && !i.lost,
        };
        let target = candidates.find(free)?;
        permit.target = Some(target.clone());
        self.targets.entry(target.clone()).or_default().reserved_by = Some(call);
        Some(target)
    }

    /// Returns `true` if the target is reserved for an isolated run, so that no other call may use
    /// it.
    pub fn is_reserved(&self, target: &message::Target) -> bool {
        let instance = self.targets.get(target);
        instance.is_some_and(|instance| instance.reserved_by.is_some())
    }

    /// Records that a connection to the target was opened.
    pub fn connection_opened(&mut self, target: &message::Target) {
        self.instance(target).open_connections += 1;
    }

    /// Records that a call was sent to the target.
    pub fn call_started(&mut self, target: &message::Target) {
        self.instance(target).calls_in_flight += 1;
    }

    /// Records the end of a call. `answered` is `true` if the response is complete.
    pub fn call_finished(&mut self, call: &Call<'_>, answered: bool) {
        let instance = self.instance(call.target);
        instance.calls_in_flight = instance.calls_in_flight.saturating_sub(1);
        if !answered {
            return self.remove_unused(call.target);
        }
        let ruled_out = instance.response_received(call.opened, call.started);
        if let Some(possible_loss) = ruled_out {
            self.rule_out_loss(call.target, possible_loss);
        }
        let permit = self.release_permit(call.id);
        let suspected = permit.is_some()
            || self.local_suspects.contains_key(&call.fingerprint)
            || self.is_published_suspect(call.fingerprint);
        if suspected {
            self.local_suspects.remove(&call.fingerprint);
            self.push_run_ended(call.id, call.fingerprint, message::RunResult::Answered);
        }
        self.remove_unused(call.target);
    }

    /// Records the end of a connection that was opened at `opened`. A call on it must also be
    /// reported with [`Gateway::call_finished`].
    pub fn connection_ended(
        &mut self,
        now: time::Instant,
        target: &message::Target,
        opened: time::Instant,
        end: instance::ConnectionEnd,
    ) {
        let mut unanswered = None;
        if let instance::ConnectionEnd::Unanswered { call, suspect } = &end {
            unanswered = Some((*call, suspect.clone()));
            let until = now + self.cfg.attribution_window;
            let local = LocalSuspect {
                until,
                reported: false,
            };
            self.local_suspects
                .entry(suspect.fingerprint)
                .or_insert(local);
        }
        self.instance(target).connection_ended(now, opened, end);
        let attributed = self.attribute_loss(now, target);
        let Some((call, suspect)) = unanswered else {
            return;
        };
        let fingerprint = suspect.fingerprint;
        let mut result = message::RunResult::Lost;
        if !attributed {
            result = message::RunResult::Inconclusive;
            let target = target.clone();
            let suspects = vec![suspect];
            let report = message::CrashReport { target, suspects };
            self.outputs.push_back(Output::PossibleLoss(report));
        }
        // The leader withholds permits where this possible loss could lead to a block. The permit
        // can therefore be returned here, and a retry of the same call can request a new one.
        if self.release_permit(call).is_some() {
            self.push_run_ended(call, fingerprint, result);
        }
    }

    /// Records that the target refused a new connection.
    pub fn connect_failed(&mut self, now: time::Instant, target: &message::Target) {
        self.instance(target).connect_failed();
        self.attribute_loss(now, target);
    }

    /// Records that the incarnation ended: the target announced a newer one, or the announcement
    /// expired.
    pub fn incarnation_ended(&mut self, now: time::Instant, target: &message::Target) {
        self.instance(target).lost = true;
        self.attribute_loss(now, target);
    }

    /// Applies a change published by the leader.
    pub fn apply_notice(&mut self, now: time::Instant, notice: &message::Notice) {
        match notice {
            message::Notice::Update(record) => {
                self.confirm_published(record.suspect.fingerprint, Some(&record.losses));
                let published = PublishedRecord {
                    record: record.clone(),
                    blocked_until: record.blocked_for.map(|left| now + left),
                };
                self.local_suspects.remove(&record.suspect.fingerprint);
                self.published.insert(record.suspect.fingerprint, published);
            }
            message::Notice::Cleared(fingerprint) => {
                self.confirm_published(*fingerprint, None);
                self.local_suspects.remove(fingerprint);
                self.published.remove(fingerprint);
            }
        }
    }

    /// Replaces all records of an earlier leader by those of the current one.
    pub fn replace_records(&mut self, now: time::Instant, records: &[message::Record]) {
        self.published.clear();
        for record in records {
            self.apply_notice(now, &message::Notice::Update(record.clone()));
        }
    }

    /// Returns the state that a new leader needs from this gateway.
    pub fn rebuild(&self, now: time::Instant) -> message::Rebuild {
        let left = |until: time::Instant| until.since(now);
        let record = |published: &PublishedRecord| message::Record {
            blocked_for: published.blocked_until.map(left),
            ..published.record.clone()
        };
        let in_force =
            |published: &&PublishedRecord| published.blocked_until.is_none_or(|until| until > now);
        let held = self.permits.values().filter(|permit| permit.granted);
        let published = self.published.values().filter(in_force).map(record);
        let reported = self.unconfirmed.iter().flat_map(|report| {
            report.suspects.iter().map(|suspect| message::Record {
                suspect: suspect.clone(),
                losses: vec![report.target.clone()],
                blocked_for: None,
            })
        });
        let possible_loss = |(target, instance): (&message::Target, &instance::Instance)| {
            let suspects = &instance.possible_loss.as_ref()?.suspects;
            Some(message::CrashReport {
                target: target.clone(),
                suspects: suspects.clone(),
            })
        };
        message::Rebuild {
            possible_losses: self.targets.iter().filter_map(possible_loss).collect(),
            records: published.chain(reported).collect(),
            permits: held.map(|permit| permit.request_at(now)).collect(),
        }
    }

    /// Rules out losses whose attribution window has passed, and drops expired suspects and blocks.
    pub fn tick(&mut self, now: time::Instant) {
        let window = self.cfg.attribution_window;
        let ended = |i: &instance::Instance| match &i.possible_loss {
            Some(possible_loss) => now.since(possible_loss.since) >= window,
            None => false,
        };
        let due: Vec<message::Target> = self
            .targets
            .iter()
            .filter(|(_, instance)| ended(instance))
            .map(|(target, _)| target.clone())
            .collect();
        for target in due {
            if let Some(possible_loss) = self.instance(&target).possible_loss.take() {
                self.rule_out_loss(&target, possible_loss);
            }
            self.remove_unused(&target);
        }
        self.local_suspects.retain(|_, local| local.until > now);
        let in_force =
            |published: &PublishedRecord| published.blocked_until.is_none_or(|until| until > now);
        self.published.retain(|_, published| in_force(published));
    }

    /// Returns the time at which [`Gateway::tick`] must be called.
    pub fn next_deadline(&self) -> Option<time::Instant> {
        let possible_losses = self
            .targets
            .values()
            .filter_map(|i| i.possible_loss.as_ref());
        possible_losses
            .map(|loss| loss.since + self.cfg.attribution_window)
            .min()
    }

    /// Returns the next message to the leader.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Reports the target as lost if the loss is certain, and returns whether it is.
    fn attribute_loss(&mut self, now: time::Instant, target: &message::Target) -> bool {
        let Some(possible_loss) = self.instance(target).take_confirmed_loss() else {
            self.remove_unused(target);
            return false;
        };
        let mut suspects: Vec<message::Suspect> = Vec::new();
        for suspect in &possible_loss.suspects {
            let until = now + self.cfg.report_lifetime;
            let local = LocalSuspect {
                until,
                reported: true,
            };
            self.local_suspects.insert(suspect.fingerprint, local);
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
        if self.unconfirmed.len() >= MAX_UNCONFIRMED_REPORTS {
            self.unconfirmed.remove(0);
        }
        self.unconfirmed.push(report.clone());
        self.outputs.push_back(Output::LossConfirmed(report));
        self.remove_unused(target);
        true
    }

    /// Removes a request from the unconfirmed reports after the leader has published it with these
    /// losses, or has cleared it (`None`).
    fn confirm_published(
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

    /// Withdraws a possible loss: the target responded, or the attribution window passed without
    /// further evidence.
    fn rule_out_loss(&mut self, target: &message::Target, possible_loss: instance::PossibleLoss) {
        self.outputs
            .push_back(Output::LossRuledOut(message::CrashReport {
                target: target.clone(),
                suspects: possible_loss.suspects.clone(),
            }));
        for suspect in possible_loss.suspects {
            let reported = |local: &LocalSuspect| local.reported;
            if !self
                .local_suspects
                .get(&suspect.fingerprint)
                .is_some_and(reported)
            {
                self.local_suspects.remove(&suspect.fingerprint);
            }
        }
    }

    fn release_permit(&mut self, call: u64) -> Option<Permit> {
        let permit = self.permits.remove(&call)?;
        let target = permit.target.as_ref();
        if let Some(instance) = target.and_then(|target| self.targets.get_mut(target)) {
            instance.reserved_by = None;
        }
        Some(permit)
    }

    fn push_run_ended(
        &mut self,
        call: u64,
        fingerprint: fingerprint::Fingerprint,
        result: message::RunResult,
    ) {
        self.outputs
            .push_back(Output::RunEnded(message::PermitDone {
                call,
                fingerprint,
                result,
            }));
    }

    fn is_published_suspect(&self, fingerprint: fingerprint::Fingerprint) -> bool {
        let published = self.published.get(&fingerprint);
        published.is_some_and(|published| published.blocked_until.is_none())
    }

    fn instance(&mut self, target: &message::Target) -> &mut instance::Instance {
        if !self.targets.contains_key(target) {
            self.targets
                .insert(target.clone(), instance::Instance::default());
        }
        self.targets.entry(target.clone()).or_default()
    }

    fn remove_unused(&mut self, target: &message::Target) {
        let unused = self.targets.get(target).is_some_and(|i| i.is_unused());
        if unused {
            self.targets.remove(target);
        }
    }
}
