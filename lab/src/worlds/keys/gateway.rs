//! Fake gateways around the claim life cycle, containment and connections of the core.

use std::{collections, rc, time::Duration};

use rand::Rng;
use wagtailshunt_core::{connection, containment, ledger, outcome, time, types};

use super::{
    checker,
    sim::{Channel, Event, Sim, ToGateway, ToNode},
};

/// Time without a reply after which a gateway asks another control VM.
pub(super) const CONTROL_TIMEOUT: Duration = Duration::from_millis(300);

/// Time before the deadline at which a gateway gives up on a claim.
pub(super) const GIVE_UP_MARGIN: Duration = Duration::from_millis(10);

/// Most targets that one call is sent to.
pub(super) const MAX_TRIES: u32 = 4;

/// Claim of a call, in whichever state it is.
#[derive(Debug, Default)]
pub(super) enum Claim {
    #[default]
    None,
    Requested(ledger::claim::Claim<ledger::claim::Requested>),
    Granted(ledger::claim::Claim<ledger::claim::Granted>),
    Dispatched(ledger::claim::Claim<ledger::claim::Dispatched>),
    Completing(ledger::claim::Claim<ledger::claim::Completing>),
}

/// A call in flight on a gateway.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) request: rc::Rc<checker::Request>,
    pub(super) number: u32,
    pub(super) deadline: time::Instant,
    pub(super) holder: ledger::Holder,
    pub(super) claim: Claim,
    /// Another claim runs the key.
    pub(super) runs_elsewhere: bool,
    pub(super) asked: time::Instant,
    pub(super) permitted: bool,
    pub(super) waits_for_permit: bool,
    pub(super) opening: Option<connection::Connecting>,
    pub(super) busy: Option<connection::Busy<u64>>,
    pub(super) target: Option<containment::Target>,
    pub(super) target_number: usize,
    pub(super) moves: u32,
    pub(super) tries: u32,
    /// A try ended without proof that it did not run.
    pub(super) may_have_run: bool,
    pub(super) avoid: Vec<usize>,
}

/// One gateway.
#[derive(Debug)]
pub(super) struct Gateway {
    pub(super) number: usize,
    pub(super) incarnation: u64,
    pub(super) up: bool,
    pub(super) next_claim: u64,
    pub(super) node: usize,
    pub(super) guard: containment::Gateway,
    pub(super) late: ledger::claim::LateGrants,
    pub(super) calls: collections::BTreeMap<u64, Call>,
    pub(super) by_claim: collections::BTreeMap<(ledger::Key, u64), u64>,
    pub(super) pools: collections::BTreeMap<usize, connection::Pool<u64>>,
    pub(super) health: collections::BTreeMap<usize, connection::LatencyTracker>,
    /// Ends of claims that no leader has acknowledged.
    pub(super) ending: collections::BTreeMap<ledger::Holder, (ledger::Request, time::Instant)>,
    /// Calls that gave up, for the setting `grant_fence off`.
    pub(super) gave_up: collections::BTreeMap<ledger::Holder, u64>,
}

impl Gateway {
    pub(super) fn new(number: usize) -> Self {
        Gateway {
            number,
            incarnation: 1,
            up: true,
            next_claim: 0,
            node: 0,
            guard: containment::Gateway::new(containment::GatewayConfig::default()),
            late: ledger::claim::LateGrants::default(),
            calls: collections::BTreeMap::new(),
            by_claim: collections::BTreeMap::new(),
            pools: collections::BTreeMap::new(),
            health: collections::BTreeMap::new(),
            ending: collections::BTreeMap::new(),
            gave_up: collections::BTreeMap::new(),
        }
    }

    fn holder(&mut self, numbered: bool) -> ledger::Holder {
        self.next_claim += u64::from(numbered);
        ledger::Holder {
            vm: types::VmId(self.number as u32 + 1),
            incarnation: types::Incarnation(self.incarnation),
            claim: self.next_claim,
        }
    }
}

impl checker::Request {
    pub(super) fn fingerprint(&self) -> containment::Fingerprint {
        let identity = match self.key {
            Some(key) => containment::Identity::Key(key),
            None => containment::Identity::Body(self.digest()),
        };
        containment::Fingerprint::new("shop", "POST", &self.name, identity)
    }

    pub(super) fn suspect(&self) -> containment::Suspect {
        containment::Suspect {
            fingerprint: self.fingerprint(),
            label: format!("shop POST /{}", self.name),
        }
    }

    fn digest(&self) -> ledger::Digest {
        ledger::Digest::of_request("shop", "POST", &self.name, self.body.as_bytes())
    }
}

impl Sim {
    /// A caller sends a request.
    pub(super) fn send(
        &mut self,
        request: rc::Rc<checker::Request>,
        number: u32,
        gateway: Option<usize>,
    ) {
        let gateway = gateway.unwrap_or_else(|| self.any_gateway());
        self.next_call += 1;
        let call = self.next_call;
        let deadline = self.now + request.timeout;
        self.checker.sent(call, request.clone(), number, deadline);
        if !self.gateways[gateway].up {
            return self.tell(None, call, checker::Told::Nothing);
        }
        let numbered = self.settings.claim_numbers;
        let holder = self.gateways[gateway].holder(numbered);
        let state = Call {
            request: request.clone(),
            number,
            deadline,
            holder,
            claim: Claim::None,
            runs_elsewhere: false,
            asked: self.now,
            permitted: false,
            waits_for_permit: false,
            opening: None,
            busy: None,
            target: None,
            target_number: 0,
            moves: 0,
            tries: 0,
            may_have_run: false,
            avoid: Vec::new(),
        };
        self.gateways[gateway].calls.insert(call, state);
        let deadline = request.timeout - GIVE_UP_MARGIN;
        self.after(deadline, Event::CallTimer { gateway, call });
        self.after(request.timeout, Event::CallTimer { gateway, call });
        let Some(key) = request.key.filter(|_| self.settings.claims) else {
            return self.proceed(gateway, call);
        };
        let digest = match self.settings.digests {
            true => request.digest(),
            false => ledger::Digest(0),
        };
        let claim = ledger::claim::Claim::new(key, digest, holder, self.now + request.timeout);
        let state = &mut self.gateways[gateway];
        state.by_claim.insert((key, holder.claim), call);
        if let Some(call) = state.calls.get_mut(&call) {
            call.claim = Claim::Requested(claim);
        }
        self.ask_control(gateway, call);
    }

    fn any_gateway(&mut self) -> usize {
        self.rng.random_range(0..self.gateways.len())
    }

    /// Sends what the call's claim waits for, and asks again until there is a reply.
    pub(super) fn ask_control(&mut self, gateway: usize, call: u64) {
        let now = self.now;
        let Some(state) = self.gateways[gateway].calls.get_mut(&call) else {
            return;
        };
        state.asked = now;
        let request = match &state.claim {
            Claim::Requested(claim) => claim.request(now),
            Claim::Completing(claim) => claim.request(),
            _ => return,
        };
        self.send_to_ledger(gateway, request);
        self.after(CONTROL_TIMEOUT, Event::CallTimer { gateway, call });
    }

    fn send_to_ledger(&mut self, gateway: usize, request: ledger::Request) {
        let delayed = match request {
            ledger::Request::Claim { .. } => self.claim_delay.take(),
            _ => None,
        };
        let state = &self.gateways[gateway];
        let message = ToNode::Ledger {
            gateway,
            incarnation: state.incarnation,
            request,
        };
        let node = state.node;
        let event = Event::ToNode { node, message };
        match delayed {
            Some(delay) => self.after(delay, event),
            None => self.unreliable(event),
        }
    }

    /// Sends the end of a claim until a leader acknowledges it.
    pub(super) fn end_claim(&mut self, gateway: usize, request: ledger::Request) {
        let until = self.now + Duration::from_secs(20);
        let entry = (request.clone(), until);
        let state = &mut self.gateways[gateway];
        state.ending.insert(request.holder(), entry);
        self.send_to_ledger(gateway, request);
    }

    pub(super) fn gateways_tick(&mut self) {
        let now = self.now;
        for gateway in 0..self.gateways.len() {
            let state = &mut self.gateways[gateway];
            state.late.expire(now);
            state.guard.tick(now);
            state.ending.retain(|_, (_, until)| *until > now);
            let open = state.ending.values().map(|(request, _)| request.clone());
            for request in open.collect::<Vec<_>>() {
                self.send_to_ledger(gateway, request);
            }
            let pools: Vec<usize> = self.gateways[gateway].pools.keys().copied().collect();
            for target in pools {
                if let Some(pool) = self.gateways[gateway].pools.get_mut(&target) {
                    pool.expire(now);
                }
                self.close_pooled(gateway, target);
            }
            self.drain_guard(gateway);
        }
    }

    pub(super) fn gateway_receives(&mut self, gateway: usize, message: ToGateway) {
        let now = self.now;
        match message {
            ToGateway::Reply {
                node,
                key,
                holder,
                reply,
            } => self.ledger_replied(gateway, node, key, holder, reply),
            ToGateway::Permit {
                call,
                fingerprint,
                reply,
            } => {
                let guard = &mut self.gateways[gateway].guard;
                let verdict = guard.permit_reply(call, fingerprint, reply);
                self.drain_guard(gateway);
                self.permit_replied(gateway, call, verdict);
            }
            ToGateway::Notice(notice) => self.gateways[gateway].guard.apply_notice(now, &notice),
            ToGateway::Records(records) => {
                self.gateways[gateway].guard.replace_records(now, &records)
            }
        }
    }

    fn ledger_replied(
        &mut self,
        gateway: usize,
        node: usize,
        key: ledger::Key,
        holder: ledger::Holder,
        reply: ledger::ServiceReply,
    ) {
        let state = &mut self.gateways[gateway];
        let call = state.by_claim.get(&(key, holder.claim)).copied();
        let reply = match reply {
            ledger::ServiceReply::Reply(reply) => reply,
            ledger::ServiceReply::NotLeader | ledger::ServiceReply::Busy => {
                if state.node == node {
                    state.node = (node + 1) % 3;
                }
                if let Some(call) = call {
                    if reply == ledger::ServiceReply::Busy && !self.settings.waiting {
                        let reason = outcome::Reason::KeyRunning;
                        return self.problem(gateway, call, reason, outcome::Outcome::Unknown);
                    }
                    // Retries at once, which shows a resend that must wait for the new leader.
                    let pause = Duration::from_millis(20);
                    self.after(pause, Event::CallTimer { gateway, call });
                }
                return;
            }
        };
        match call {
            Some(call) => self.claim_replied(gateway, call, &reply),
            None => self.stray_reply(gateway, holder, &reply),
        }
    }

    /// A reply for a claim whose call has ended.
    fn stray_reply(&mut self, gateway: usize, holder: ledger::Holder, reply: &ledger::Reply) {
        let state = &mut self.gateways[gateway];
        if matches!(reply, ledger::Reply::Done | ledger::Reply::NotHolder) {
            state.ending.remove(&holder);
        }
        let granted = *reply == ledger::Reply::Granted;
        if granted && !self.settings.grant_fence {
            let gave_up = state.gave_up.remove(&holder);
            return gave_up.into_iter().for_each(|call| self.checker.ran(call));
        }
        if !self.settings.late_release {
            return;
        }
        if let Some(release) = self.gateways[gateway].late.handle_reply(holder, reply) {
            self.end_claim(gateway, release);
        }
    }

    fn claim_replied(&mut self, gateway: usize, call: u64, reply: &ledger::Reply) {
        let Some(state) = self.gateways[gateway].calls.get_mut(&call) else {
            return;
        };
        match std::mem::take(&mut state.claim) {
            Claim::Requested(claim) => match claim.handle_reply(reply) {
                ledger::claim::ClaimDecision::Granted(claim) => {
                    state.claim = Claim::Granted(claim);
                    self.proceed(gateway, call);
                }
                ledger::claim::ClaimDecision::Waiting(claim) => {
                    state.claim = Claim::Requested(claim);
                    state.runs_elsewhere = true;
                }
                ledger::claim::ClaimDecision::Replay(answer) => {
                    let told = told(&answer, true);
                    self.tell(Some(gateway), call, told);
                }
                ledger::claim::ClaimDecision::Refused(reason, outcome) => {
                    self.problem(gateway, call, reason, outcome);
                }
            },
            Claim::Completing(claim)
                if matches!(reply, ledger::Reply::Done | ledger::Reply::NotHolder) =>
            {
                match claim.handle_reply(reply) {
                    ledger::claim::CommitResult::Response(answer) => {
                        let told = told(&answer, false);
                        self.tell(Some(gateway), call, told);
                    }
                    ledger::claim::CommitResult::Unknown => {
                        let reason = outcome::Reason::KeyUnknown;
                        self.problem(gateway, call, reason, outcome::Outcome::Unknown);
                    }
                }
            }
            other => state.claim = other,
        }
    }

    /// The call may be dispatched as far as its key is concerned.
    pub(super) fn proceed(&mut self, gateway: usize, call: u64) {
        let now = self.now;
        let state = &mut self.gateways[gateway];
        let Some(request) = state.calls.get(&call).map(|call| call.request.clone()) else {
            return;
        };
        let decision = match self.settings.containment {
            true => state.guard.decide(now, request.fingerprint()),
            false => containment::Decision::Run,
        };
        match decision {
            containment::Decision::Run => self.dispatch(gateway, call),
            containment::Decision::Refuse(_) => {
                self.not_sent(gateway, call, outcome::Reason::Blocked);
            }
            containment::Decision::Isolate => {
                let Some(entry) = state.calls.get_mut(&call) else {
                    return;
                };
                entry.waits_for_permit = true;
                let remaining = entry.deadline.since(now);
                state
                    .guard
                    .request_permit(now, call, request.suspect(), remaining);
                self.drain_guard(gateway);
            }
        }
    }

    fn permit_replied(&mut self, gateway: usize, call: u64, verdict: containment::PermitDecision) {
        if let Some(state) = self.gateways[gateway].calls.get_mut(&call) {
            state.waits_for_permit = false;
            state.permitted = verdict == containment::PermitDecision::Isolated;
        }
        match verdict {
            containment::PermitDecision::Isolated => self.dispatch(gateway, call),
            containment::PermitDecision::Run => self.proceed(gateway, call),
            containment::PermitDecision::Refuse(_) => {
                self.not_sent(gateway, call, outcome::Reason::Blocked);
            }
            containment::PermitDecision::NotGranted => {
                self.not_sent(gateway, call, outcome::Reason::Isolated);
            }
            containment::PermitDecision::Ignored => {}
        }
    }

    /// Sends what containment has for the leader of group 0.
    pub(super) fn drain_guard(&mut self, gateway: usize) {
        while let Some(output) = self.gateways[gateway].guard.poll_output() {
            let message = ToNode::Containment { gateway, output };
            let Some(node) = self.control.elected.filter(|_| self.settings.containment) else {
                continue;
            };
            let channel = Channel::ToControl(gateway);
            self.in_order(channel, Event::ToNode { node, message });
        }
    }

    /// Ends a call that was not sent, or whose tries were all proved not to have run.
    pub(super) fn not_sent(&mut self, gateway: usize, call: u64, reason: outcome::Reason) {
        let attempts = self.settings.attempts;
        let state = &mut self.gateways[gateway];
        let Some(entry) = state.calls.get_mut(&call) else {
            return;
        };
        let keyed = entry.request.key.is_some();
        let (release, earlier) = match std::mem::take(&mut entry.claim) {
            // A granted claim proves that no earlier attempt ran.
            Claim::Granted(claim) => {
                let release = claim.release(&mut state.late);
                (Some(release), outcome::EarlierAttempts::NoneRan)
            }
            Claim::Requested(claim) => {
                let holder = claim.holder();
                state.gave_up.insert(holder, call);
                let release = claim.abandon(&mut state.late);
                let declared = match attempts {
                    true => outcome::EarlierAttempts::from_headers(keyed, Some(entry.number)),
                    false => outcome::EarlierAttempts::NoneRan,
                };
                (Some(release), declared)
            }
            _ => {
                let declared = outcome::EarlierAttempts::from_headers(keyed, Some(entry.number));
                (None, declared)
            }
        };
        let tried = match entry.may_have_run || entry.runs_elsewhere {
            true => outcome::Outcome::Unknown,
            false => outcome::Outcome::NotRun,
        };
        if let Some(release) = release {
            self.end_claim(gateway, release);
        }
        self.problem(gateway, call, reason, tried.with_earlier(earlier));
    }

    pub(super) fn problem(
        &mut self,
        gateway: usize,
        call: u64,
        reason: outcome::Reason,
        outcome: outcome::Outcome,
    ) {
        self.tell(Some(gateway), call, checker::Told::Problem(reason, outcome));
    }

    /// Answers the caller, who may send the request again.
    pub(super) fn tell(&mut self, gateway: Option<usize>, call: u64, told: checker::Told) {
        let now = self.now;
        if let Some(gateway) = gateway {
            let state = &mut self.gateways[gateway];
            if let Some(entry) = state.calls.remove(&call) {
                if let Some(key) = entry.request.key {
                    state.by_claim.remove(&(key, entry.holder.claim));
                }
                if entry.waits_for_permit || entry.permitted && entry.busy.is_none() {
                    state.guard.cancel(call);
                }
            }
            self.drain_guard(gateway);
        }
        self.checker.told(now, call, &told);
        let Some(attempt) = self.checker.attempts.get(&call) else {
            return;
        };
        let (request, number) = (attempt.request.clone(), attempt.number);
        if !request.name.starts_with("load") {
            self.line(format!("{} attempt {number}: {told:?}", request.name));
        }
        let answered = matches!(told, checker::Told::Answer { .. });
        if answered || number > request.resends {
            return;
        }
        // Most callers resend at once; some come back after their claim has expired.
        let longest = if self.rng.random_bool(0.2) {
            6_000
        } else {
            200
        };
        let pause = Duration::from_millis(self.rng.random_range(20..longest));
        let event = Event::Send {
            request,
            number: number + 1,
            gateway: None,
        };
        self.after(pause, event);
    }

    /// The gateway's process ends. Callers see their connections end.
    pub(super) fn crash_gateway(&mut self, gateway: usize) {
        if !self.gateways[gateway].up {
            return;
        }
        self.line(format!("gateway {} crashes", gateway + 1));
        let incarnation = self.gateways[gateway].incarnation;
        let lost = std::mem::replace(&mut self.gateways[gateway], Gateway::new(gateway));
        self.gateways[gateway].incarnation = incarnation + 1;
        self.gateways[gateway].up = false;
        self.conns.retain(|_, link| link.gateway != gateway);
        for call in lost.calls.keys() {
            self.tell(None, *call, checker::Told::Nothing);
        }
        let restart = Duration::from_millis(500);
        self.after(restart, Event::GatewayRestarts { gateway });
    }

    pub(super) fn restart_gateway(&mut self, gateway: usize) {
        self.gateways[gateway].up = true;
        self.gateway_connects(gateway);
    }
}

fn told(answer: &ledger::StoredResponse, replayed: bool) -> checker::Told {
    let body = answer.body.as_deref().unwrap_or_default();
    checker::Told::Answer {
        status: answer.status,
        body: String::from_utf8_lossy(body).into_owned(),
        replayed,
    }
}
