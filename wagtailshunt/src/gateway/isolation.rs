//! Containment of requests that crash targets.
//!
//! Reports broken connections to the leader of the control VMs, which attributes crashes of targets
//! to requests. Equal requests are then run in isolation, with a permit of the leader, or blocked.

use std::{cell, collections, rc};

use futures_channel::oneshot;
use hyper::{Method, Uri};
use wagtailshunt_core::{balance, containment, ledger, outcome, time as core_time, types};
use wagtailshunt_wire as wire;

use crate::gateway::{call, control_link, refusal::Refusal, service, state};

/// Containment state of a gateway and the calls that wait for a permit.
#[derive(Default)]
pub struct Isolation {
    gateway: cell::RefCell<Option<containment::Gateway>>,
    pending_permits: cell::RefCell<collections::BTreeMap<u64, PendingPermit>>,
}

/// A call that waits for the decision of the leader.
struct PendingPermit {
    tx: oneshot::Sender<containment::PermitDecision>,
    suspect: containment::Suspect,
    deadline: core_time::Instant,
}

/// How a call may run.
pub enum RunMode {
    /// On any target.
    Normal,
    /// Without other calls on this target, on a separate connection.
    Isolated(balance::TargetKey, rc::Rc<service::Target>),
}

impl Isolation {
    /// Runs `f` on the containment state.
    pub fn with<R>(&self, f: impl FnOnce(&mut containment::Gateway) -> R) -> R {
        let mut gateway = self.gateway.borrow_mut();
        let new = || containment::Gateway::new(containment::GatewayConfig::default());
        f(gateway.get_or_insert_with(new))
    }
}

/// Returns the fingerprint of a call. A streamed body is not part of it, so all such calls with the
/// same method and path share a fingerprint.
pub fn fingerprint(
    service: &str,
    method: &str,
    path: &str,
    identity: Option<containment::Identity>,
) -> containment::Fingerprint {
    let empty = || containment::Identity::Body(ledger::Digest(0));
    containment::Fingerprint::new(service, method, path, identity.unwrap_or_else(empty))
}

/// Returns the fingerprint of a call with its label.
pub fn suspect(call: &call::Call) -> containment::Suspect {
    containment::Suspect {
        fingerprint: call.fingerprint,
        label: request_label(&call.service.name, &call.method, &call.uri),
    }
}

/// Returns a description of a request for operators. It omits the query, which may hold personal
/// data.
pub fn request_label(service: &types::ServiceName, method: &Method, uri: &Uri) -> String {
    format!("{service} {method} {}", uri.path())
}

/// Decides how a call may run. A call that is suspected of crashing targets waits for a permit.
pub async fn admit(state: &rc::Rc<state::State>, call: &call::Call) -> Result<RunMode, Refusal> {
    let now = state.now();
    match state
        .isolation
        .with(|gateway| gateway.decide(now, call.fingerprint))
    {
        containment::Decision::Run => Ok(RunMode::Normal),
        containment::Decision::Refuse(left) => Err(blocked_refusal(left)),
        containment::Decision::Isolate => request_permit(state, call).await,
    }
}

fn blocked_refusal(left: core_time::Duration) -> Refusal {
    Refusal::not_run(outcome::Reason::Blocked).with_detail(format!(
        "the block ends in {} s unless it is lifted",
        left.as_secs()
    ))
}

async fn request_permit(
    state: &rc::Rc<state::State>,
    call: &call::Call,
) -> Result<RunMode, Refusal> {
    let now = state.now();
    let suspect = suspect(call);
    let remaining = call.deadline.remaining(now);
    let (tx, rx) = oneshot::channel();
    let waiting = PendingPermit {
        tx,
        suspect: suspect.clone(),
        deadline: call.deadline.0,
    };
    state
        .isolation
        .pending_permits
        .borrow_mut()
        .insert(call.id, waiting);
    state
        .isolation
        .with(|gateway| gateway.request_permit(now, call.id, suspect, remaining));
    send_outputs(state);
    let decision = compio::time::timeout(remaining, rx).await;
    state
        .isolation
        .pending_permits
        .borrow_mut()
        .remove(&call.id);
    match decision {
        Ok(Ok(containment::PermitDecision::Run)) => Ok(RunMode::Normal),
        Ok(Ok(containment::PermitDecision::Refuse(left))) => Err(blocked_refusal(left)),
        Ok(Ok(containment::PermitDecision::Isolated)) => run_isolated(state, call),
        _ => {
            return_permit(state, call);
            Err(Refusal::not_run(outcome::Reason::Isolated))
        }
    }
}

/// Returns the permit of a call that does not run, or cancels its request.
pub fn return_permit(state: &state::State, call: &call::Call) {
    state.isolation.with(|gateway| gateway.cancel(call.id));
    send_outputs(state);
}

fn run_isolated(state: &state::State, call: &call::Call) -> Result<RunMode, Refusal> {
    let serving = call.service.serving_targets();
    let chosen = state.isolation.with(|gateway| {
        let candidates = serving.iter().map(|(_, target)| &target.identity);
        gateway.isolated_target(call.id, candidates).cloned()
    });
    let found = chosen.and_then(|chosen| {
        serving
            .into_iter()
            .find(|(_, target)| target.identity == chosen)
    });
    match found {
        Some((key, target)) => Ok(RunMode::Isolated(key, target)),
        None => {
            return_permit(state, call);
            Err(Refusal::not_run(outcome::Reason::Isolated).with_detail("no target is free"))
        }
    }
}

/// Sends the pending containment messages to the leader.
pub fn send_outputs(state: &state::State) {
    while let Some(output) = state.isolation.with(containment::Gateway::poll_output) {
        let message = match output {
            containment::Output::PossibleLoss(loss) => {
                wire::containment::Message::PossibleLoss(loss)
            }
            containment::Output::LossRuledOut(loss) => {
                wire::containment::Message::LossRuledOut(loss)
            }
            containment::Output::LossConfirmed(loss) => {
                wire::containment::Message::LossConfirmed(loss)
            }
            containment::Output::RequestPermit(request) => {
                wire::containment::Message::RequestPermit(request)
            }
            containment::Output::RunEnded(run_ended) => {
                wire::containment::Message::RunEnded(run_ended)
            }
        };
        control_link::send_containment(state, &message);
    }
}

/// Handles a containment message of the leader.
pub fn handle_message(state: &state::State, message: &wire::containment::Message) {
    let now = state.now();
    match message {
        wire::containment::Message::Notice(notice) => {
            state
                .isolation
                .with(|gateway| gateway.apply_notice(now, notice));
        }
        wire::containment::Message::Records(records) => {
            state
                .isolation
                .with(|gateway| gateway.replace_records(now, records));
        }
        wire::containment::Message::Permit(permit) => {
            let decision = state.isolation.with(|gateway| {
                gateway.permit_reply(permit.call, permit.fingerprint, permit.reply)
            });
            let waiting = state
                .isolation
                .pending_permits
                .borrow_mut()
                .remove(&permit.call);
            if let Some(waiting) = waiting {
                // If the call has reached its deadline, it returns the permit itself.
                let _ = waiting.tx.send(decision);
            }
        }
        _ => {}
    }
    send_outputs(state);
}

/// Sends the containment state to a new leader and repeats the pending permit requests.
pub fn leader_changed(state: &state::State) {
    let now = state.now();
    let rebuild = state.isolation.with(|gateway| gateway.rebuild(now));
    control_link::send_containment(state, &wire::containment::Message::Rebuild(rebuild));
    let waiting: Vec<(u64, containment::Suspect, core_time::Instant)> = state
        .isolation
        .pending_permits
        .borrow()
        .iter()
        .map(|(call, waiting)| (*call, waiting.suspect.clone(), waiting.deadline))
        .collect();
    for (call, suspect, deadline) in waiting {
        state
            .isolation
            .with(|gateway| gateway.request_permit(now, call, suspect, deadline.since(now)));
    }
    send_outputs(state);
}

/// Reports the events of one connection to a target; its end is reported exactly once.
pub struct ConnectionObserver {
    state: rc::Weak<state::State>,
    target: containment::Target,
    pub opened_at: core_time::Instant,
    call_in_flight: cell::Cell<bool>,
    reported: cell::Cell<bool>,
}

impl ConnectionObserver {
    /// Reports that a connection was opened and returns its observer.
    pub fn opened(
        state: &rc::Rc<state::State>,
        target: &containment::Target,
    ) -> rc::Rc<ConnectionObserver> {
        state
            .isolation
            .with(|gateway| gateway.connection_opened(target));
        rc::Rc::new(ConnectionObserver {
            state: rc::Rc::downgrade(state),
            target: target.clone(),
            opened_at: state.now(),
            call_in_flight: cell::Cell::new(false),
            reported: cell::Cell::new(false),
        })
    }

    /// Reports that a call is about to be sent.
    pub fn call_started(&self) {
        self.call_in_flight.set(true);
        if let Some(state) = self.state.upgrade() {
            state
                .isolation
                .with(|gateway| gateway.call_started(&self.target));
        }
    }

    /// Reports that the call ended; `response_complete` states whether its response is complete.
    pub fn call_finished(
        &self,
        call: u64,
        fingerprint: containment::Fingerprint,
        started: core_time::Instant,
        response_complete: bool,
    ) {
        self.call_in_flight.set(false);
        let Some(state) = self.state.upgrade() else {
            return;
        };
        let finished_call = containment::Call {
            id: call,
            fingerprint,
            target: &self.target,
            opened: self.opened_at,
            started,
        };
        state
            .isolation
            .with(|gateway| gateway.call_finished(&finished_call, response_complete));
        send_outputs(&state);
    }

    /// Reports that the target closed the connection before the response was complete.
    pub fn closed_before_response(&self, call: u64, suspect: containment::Suspect) {
        self.report_end(containment::ConnectionEnd::Unanswered { call, suspect });
    }

    /// Reports that the target closed an idle connection. A call in flight reports the end itself.
    pub fn closed_by_target(&self) {
        if !self.call_in_flight.get() {
            self.report_end(containment::ConnectionEnd::Idle);
        }
    }

    fn report_end(&self, end: containment::ConnectionEnd) {
        if self.reported.replace(true) {
            return;
        }
        if let Some(state) = self.state.upgrade() {
            let now = state.now();
            state.isolation.with(|gateway| {
                gateway.connection_ended(now, &self.target, self.opened_at, end);
            });
            send_outputs(&state);
        }
    }
}

impl Drop for ConnectionObserver {
    fn drop(&mut self) {
        self.report_end(containment::ConnectionEnd::ClosedLocally);
    }
}
