//! Simulated gateways: they accept calls, claim their keys, apply the containment decision,
//! and answer callers.
//!
//! Claims, containment and connection pools are those of the core. Requests come from the script,
//! replies from the simulated control VMs.

use std::{collections, rc, time::Duration};

use rand::Rng;
use wagtailshunt_core::{connection, containment, ledger, outcome, time, types};

use super::{
    checker,
    sim::{Channel, Event, Sim, ToGateway, ToNode},
};

/// Time without a reply after which a gateway sends its request to another control VM.
pub(super) const CONTROL_TIMEOUT: Duration = Duration::from_millis(300);

/// Time before the deadline at which a gateway abandons a claim without a reply.
pub(super) const CLAIM_ABANDON_MARGIN: Duration = Duration::from_millis(10);

/// Maximum number of times that a call is sent to a target.
pub(super) const MAX_DISPATCHES: u32 = 4;

/// State of a call's claim.
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
    /// Number of the attempt, as declared by the caller.
    pub(super) number: u32,
    pub(super) deadline: time::Instant,
    pub(super) holder: ledger::Holder,
    pub(super) claim: Claim,
    /// The key is running under another claim, and this call waits for its result.
    pub(super) runs_elsewhere: bool,
    /// Time of the last request to the ledger.
    pub(super) requested_at: time::Instant,
    /// The call has a permit to run in isolation.
    pub(super) permitted: bool,
    pub(super) waits_for_permit: bool,
    pub(super) opening: Option<connection::Connecting>,
    pub(super) busy: Option<connection::Busy<u64>>,
    pub(super) target: Option<containment::Target>,
    pub(super) target_number: usize,
    /// Number of silent connections that the call has left.
    pub(super) reconnects: u32,
    /// Number of times that the call was sent to a target.
    pub(super) dispatches: u32,
    /// A dispatch ended without proof that the call did not run.
    pub(super) may_have_run: bool,
    /// Targets that the call skips, until no other target is left.
    pub(super) avoid: Vec<usize>,
}

/// One gateway.
#[derive(Debug)]
pub(super) struct Gateway {
    pub(super) number: usize,
    pub(super) incarnation: u64,
    pub(super) up: bool,
    pub(super) next_claim: u64,
    /// Control VM that ledger requests are sent to.
    pub(super) node: usize,
    pub(super) local_containment: containment::Gateway,
    pub(super) late_grants: ledger::claim::LateGrants,
    pub(super) calls: collections::BTreeMap<u64, Call>,
    /// Calls by key and claim number.
    pub(super) by_claim: collections::BTreeMap<(ledger::Key, u64), u64>,
    pub(super) pools: collections::BTreeMap<usize, connection::Pool<u64>>,
    pub(super) health: collections::BTreeMap<usize, connection::LatencyTracker>,
    /// Requests that end a claim and that no leader has acknowledged, with the time of the last
    /// resend.
    pub(super) unacknowledged_ends:
        collections::BTreeMap<ledger::Holder, (ledger::Request, time::Instant)>,
    /// Calls whose claim was abandoned, for the setting `grant_fence off`.
    pub(super) abandoned: collections::BTreeMap<ledger::Holder, u64>,
}

impl Gateway {
    pub(super) fn new(number: usize) -> Self {
        Gateway {
            number,
            incarnation: 1,
            up: true,
            next_claim: 0,
            node: 0,
            local_containment: containment::Gateway::new(containment::GatewayConfig::default()),
            late_grants: ledger::claim::LateGrants::default(),
            calls: collections::BTreeMap::new(),
            by_claim: collections::BTreeMap::new(),
            pools: collections::BTreeMap::new(),
            health: collections::BTreeMap::new(),
            unacknowledged_ends: collections::BTreeMap::new(),
            abandoned: collections::BTreeMap::new(),
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
    /// Sends a request of a caller to a gateway, a random one if none is given.
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
        self.checker
            .record_sent(call, request.clone(), number, deadline);
        if !self.gateways[gateway].up {
            return self.respond(None, call, checker::CallerResult::Nothing);
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
            requested_at: self.now,
            permitted: false,
            waits_for_permit: false,
            opening: None,
            busy: None,
            target: None,
            target_number: 0,
            reconnects: 0,
            dispatches: 0,
            may_have_run: false,
            avoid: Vec::new(),
        };
        self.gateways[gateway].calls.insert(call, state);
        let deadline = request.timeout - CLAIM_ABANDON_MARGIN;
        self.schedule(deadline, Event::CallTimer { gateway, call });
        self.schedule(request.timeout, Event::CallTimer { gateway, call });
        let Some(key) = request.key.filter(|_| self.settings.claims) else {
            return self.check_containment(gateway, call);
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
        self.send_claim_request(gateway, call);
    }

    fn any_gateway(&mut self) -> usize {
        self.rng.random_range(0..self.gateways.len())
    }

    /// Sends the pending ledger request of the call's claim, and schedules its resend.
    pub(super) fn send_claim_request(&mut self, gateway: usize, call: u64) {
        let now = self.now;
        let Some(state) = self.gateways[gateway].calls.get_mut(&call) else {
            return;
        };
        state.requested_at = now;
        let request = match &state.claim {
            Claim::Requested(claim) => claim.request(now),
            Claim::Completing(claim) => claim.request(),
            _ => return,
        };
        self.send_to_ledger(gateway, request);
        self.schedule(CONTROL_TIMEOUT, Event::CallTimer { gateway, call });
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
            Some(delay) => self.schedule(delay, event),
            None => self.send_unreliably(event),
        }
    }

    /// Sends a request that ends a claim, and resends it until a leader acknowledges it or 20 s
    /// pass.
    pub(super) fn end_claim(&mut self, gateway: usize, request: ledger::Request) {
        let until = self.now + Duration::from_secs(20);
        let entry = (request.clone(), until);
        let state = &mut self.gateways[gateway];
        state.unacknowledged_ends.insert(request.holder(), entry);
        self.send_to_ledger(gateway, request);
    }

    pub(super) fn gateways_tick(&mut self) {
        let now = self.now;
        for gateway in 0..self.gateways.len() {
            let state = &mut self.gateways[gateway];
            state.late_grants.expire(now);
            state.local_containment.tick(now);
            state
                .unacknowledged_ends
                .retain(|_, (_, until)| *until > now);
            let open = state
                .unacknowledged_ends
                .values()
                .map(|(request, _)| request.clone());
            for request in open.collect::<Vec<_>>() {
                self.send_to_ledger(gateway, request);
            }
            let pools: Vec<usize> = self.gateways[gateway].pools.keys().copied().collect();
            for target in pools {
                if let Some(pool) = self.gateways[gateway].pools.get_mut(&target) {
                    pool.expire(now);
                }
                self.close_evicted(gateway, target);
            }
            self.send_containment_messages(gateway);
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
                let local_containment = &mut self.gateways[gateway].local_containment;
                let verdict = local_containment.permit_reply(call, fingerprint, reply);
                self.send_containment_messages(gateway);
                self.permit_replied(gateway, call, verdict);
            }
            ToGateway::Notice(notice) => self.gateways[gateway]
                .local_containment
                .apply_notice(now, &notice),
            ToGateway::Records(records) => self.gateways[gateway]
                .local_containment
                .replace_records(now, &records),
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
                        return self.respond_problem(
                            gateway,
                            call,
                            reason,
                            outcome::Outcome::Unknown,
                        );
                    }
                    // The short pause covers the case of a resend that must wait for the new
                    // leader.
                    let pause = Duration::from_millis(20);
                    self.schedule(pause, Event::CallTimer { gateway, call });
                }
                return;
            }
        };
        match call {
            Some(call) => self.claim_replied(gateway, call, &reply),
            None => self.stray_reply(gateway, holder, &reply),
        }
    }

    /// Handles a reply for a claim whose call has ended.
    fn stray_reply(&mut self, gateway: usize, holder: ledger::Holder, reply: &ledger::Reply) {
        let state = &mut self.gateways[gateway];
        if matches!(reply, ledger::Reply::Done | ledger::Reply::NotHolder) {
            state.unacknowledged_ends.remove(&holder);
        }
        let granted = *reply == ledger::Reply::Granted;
        if granted && !self.settings.grant_fence {
            let abandoned = state.abandoned.remove(&holder);
            return abandoned
                .into_iter()
                .for_each(|call| self.checker.record_run(call));
        }
        if !self.settings.late_release {
            return;
        }
        if let Some(release) = self.gateways[gateway]
            .late_grants
            .handle_reply(holder, reply)
        {
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
                    self.check_containment(gateway, call);
                }
                ledger::claim::ClaimDecision::Waiting(claim) => {
                    state.claim = Claim::Requested(claim);
                    state.runs_elsewhere = true;
                }
                ledger::claim::ClaimDecision::Replay(answer) => {
                    let result = to_caller_result(&answer, true);
                    self.respond(Some(gateway), call, result);
                }
                ledger::claim::ClaimDecision::Refused(reason, outcome) => {
                    self.respond_problem(gateway, call, reason, outcome);
                }
            },
            Claim::Completing(claim)
                if matches!(reply, ledger::Reply::Done | ledger::Reply::NotHolder) =>
            {
                match claim.handle_reply(reply) {
                    ledger::claim::CommitResult::Response(answer) => {
                        let result = to_caller_result(&answer, false);
                        self.respond(Some(gateway), call, result);
                    }
                    ledger::claim::CommitResult::Unknown => {
                        let reason = outcome::Reason::KeyUnknown;
                        self.respond_problem(gateway, call, reason, outcome::Outcome::Unknown);
                    }
                }
            }
            other => state.claim = other,
        }
    }

    /// Dispatches, isolates or refuses a call whose key is claimed or that has no key.
    pub(super) fn check_containment(&mut self, gateway: usize, call: u64) {
        let now = self.now;
        let state = &mut self.gateways[gateway];
        let Some(request) = state.calls.get(&call).map(|call| call.request.clone()) else {
            return;
        };
        let decision = match self.settings.containment {
            true => state.local_containment.decide(now, request.fingerprint()),
            false => containment::Decision::Run,
        };
        match decision {
            containment::Decision::Run => self.dispatch(gateway, call),
            containment::Decision::Refuse(_) => {
                self.fail_not_sent(gateway, call, outcome::Reason::Blocked);
            }
            containment::Decision::Isolate => {
                let Some(entry) = state.calls.get_mut(&call) else {
                    return;
                };
                entry.waits_for_permit = true;
                let remaining = entry.deadline.since(now);
                state
                    .local_containment
                    .request_permit(now, call, request.suspect(), remaining);
                self.send_containment_messages(gateway);
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
            containment::PermitDecision::Run => self.check_containment(gateway, call),
            containment::PermitDecision::Refuse(_) => {
                self.fail_not_sent(gateway, call, outcome::Reason::Blocked);
            }
            containment::PermitDecision::NotGranted => {
                self.fail_not_sent(gateway, call, outcome::Reason::Isolated);
            }
            containment::PermitDecision::Ignored => {}
        }
    }

    /// Sends the pending containment messages to the leader of group 0.
    pub(super) fn send_containment_messages(&mut self, gateway: usize) {
        while let Some(output) = self.gateways[gateway].local_containment.poll_output() {
            let message = ToNode::Containment { gateway, output };
            let Some(node) = self.control.elected.filter(|_| self.settings.containment) else {
                continue;
            };
            let channel = Channel::ToControl(gateway);
            self.send_in_order(channel, Event::ToNode { node, message });
        }
    }

    /// Ends a call that is not on a connection. The outcome is not-run unless this attempt or an
    /// earlier one may have run.
    pub(super) fn fail_not_sent(&mut self, gateway: usize, call: u64, reason: outcome::Reason) {
        let attempts = self.settings.attempts;
        let state = &mut self.gateways[gateway];
        let Some(entry) = state.calls.get_mut(&call) else {
            return;
        };
        let keyed = entry.request.key.is_some();
        let (release, earlier) = match std::mem::take(&mut entry.claim) {
            // A granted claim proves that no earlier attempt ran.
            Claim::Granted(claim) => {
                let release = claim.release(&mut state.late_grants);
                (Some(release), outcome::EarlierAttempts::NoneRan)
            }
            Claim::Requested(claim) => {
                let holder = claim.holder();
                state.abandoned.insert(holder, call);
                let release = claim.abandon(&mut state.late_grants);
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
        self.respond_problem(gateway, call, reason, tried.with_earlier(earlier));
    }

    pub(super) fn respond_problem(
        &mut self,
        gateway: usize,
        call: u64,
        reason: outcome::Reason,
        outcome: outcome::Outcome,
    ) {
        self.respond(
            Some(gateway),
            call,
            checker::CallerResult::Problem(reason, outcome),
        );
    }

    /// Sends a result to the caller, who may send the request again.
    pub(super) fn respond(
        &mut self,
        gateway: Option<usize>,
        call: u64,
        result: checker::CallerResult,
    ) {
        let now = self.now;
        if let Some(gateway) = gateway {
            let state = &mut self.gateways[gateway];
            if let Some(entry) = state.calls.remove(&call) {
                if let Some(key) = entry.request.key {
                    state.by_claim.remove(&(key, entry.holder.claim));
                }
                if entry.waits_for_permit || entry.permitted && entry.busy.is_none() {
                    state.local_containment.cancel(call);
                }
            }
            self.send_containment_messages(gateway);
        }
        self.checker.record_result(now, call, &result);
        let Some(attempt) = self.checker.attempts.get(&call) else {
            return;
        };
        let (request, number) = (attempt.request.clone(), attempt.number);
        if !request.name.starts_with("load") {
            self.add_line(format!("{} attempt {number}: {result:?}", request.name));
        }
        let answered = matches!(result, checker::CallerResult::Answer { .. });
        if answered || number > request.resends {
            return;
        }
        // 80% of the callers resend within 200 ms, the others possibly after the claim has expired.
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
        self.schedule(pause, event);
    }

    /// Ends the process of a gateway and closes the connections of its callers.
    pub(super) fn crash_gateway(&mut self, gateway: usize) {
        if !self.gateways[gateway].up {
            return;
        }
        self.add_line(format!("gateway {} crashes", gateway + 1));
        let incarnation = self.gateways[gateway].incarnation;
        let lost = std::mem::replace(&mut self.gateways[gateway], Gateway::new(gateway));
        self.gateways[gateway].incarnation = incarnation + 1;
        self.gateways[gateway].up = false;
        self.conns.retain(|_, link| link.gateway != gateway);
        for call in lost.calls.keys() {
            self.respond(None, *call, checker::CallerResult::Nothing);
        }
        let restart = Duration::from_millis(500);
        self.schedule(restart, Event::GatewayRestarts { gateway });
    }

    pub(super) fn restart_gateway(&mut self, gateway: usize) {
        self.gateways[gateway].up = true;
        self.gateway_connects(gateway);
    }
}

fn to_caller_result(answer: &ledger::StoredResponse, replayed: bool) -> checker::CallerResult {
    let body = answer.body.as_deref().unwrap_or_default();
    checker::CallerResult::Answer {
        status: answer.status,
        body: String::from_utf8_lossy(body).into_owned(),
        replayed,
    }
}
