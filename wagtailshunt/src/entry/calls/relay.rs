//! Sends a call to another VM, which forwards it to a target, while this VM has lost its path to the
//! targets.
//!
//! VMs relay over HTTP/1.1 on their own port. A relayed request is the caller's with the remaining
//! time and the headers below; the response is that of a target, or a failure of the relay with its
//! name in a header. A relay never sends a call on to a further VM.

use std::{rc, time};

use hyper::{
    HeaderMap, Request, Response,
    body::Incoming,
    header::{HeaderName, HeaderValue},
};
use wagtailshunt_core::{event, fleet, relay, routing, time as core_time, types};

use crate::{
    entry::{
        calls::{
            attempt::{self, CallRequest, SendError, TargetResponse},
            call::Call,
            failure::Failure,
            key_check,
            response::OwnResponse,
        },
        departures, state,
    },
    http,
};

/// Number of attempts that the relay may make.
const ATTEMPTS_HEADER: HeaderName = HeaderName::from_static("wagtailshunt-relay-attempts");

/// Version of the sender's configuration. A relay with an older one declines the call, since a VM
/// must not fall back to an older version.
const VERSION_HEADER: HeaderName = HeaderName::from_static("wagtailshunt-relay-version");

/// In the response of a relay without a response of a target: the failure.
const FAILURE_HEADER: HeaderName = HeaderName::from_static("wagtailshunt-relay-failure");

/// In a response that states that its target leaves: the start of the incarnation and the id of the
/// target. An earlier build does not set it, and passes it on to the caller.
const DEPARTED_HEADER: HeaderName = HeaderName::from_static("wagtailshunt-relay-departed");

/// Timeout for opening a connection to a relay. VMs accept within a round trip between failure
/// domains.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(150);

/// VMs that a call is sent to before it fails, as long as all of them decline. One that declines
/// takes a round trip.
const MAX_RELAYS: usize = 12;

/// VMs that a call is sent to before it fails, as long as none can be connected to.
const MAX_FAILED_RELAYS: usize = 2;

/// Longest time for which a relay waits for the version of the sender's configuration. Changes reach
/// all VMs within some milliseconds of each other.
pub const VERSION_WAIT: time::Duration = time::Duration::from_millis(200);

/// Longest idle time of a connection to a relay for a call that is not repeatable.
const MAX_IDLE_NOT_REPEATABLE: time::Duration = time::Duration::from_millis(1500);

/// Result of relaying a call.
pub enum RelayOutcome {
    /// A target answered the relay.
    Answered(TargetResponse),
    /// The call failed at the relay, or no VM could relay it.
    Failed(Failure),
    /// The call may have run, but there is no valid response; with the reason for the log.
    Lost(String),
}

/// What the sender of a relayed call states about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayedCall {
    /// Number of attempts that may be made.
    pub attempts: u32,
    /// Version of the sender's configuration.
    pub version: routing::Version,
}

impl RelayedCall {
    /// Takes the headers of a relayed call; `None` if one of them is missing or invalid.
    pub fn take_from(headers: &mut HeaderMap) -> Option<RelayedCall> {
        let attempts = headers.remove(ATTEMPTS_HEADER)?.to_str().ok()?.parse();
        let version = headers.remove(VERSION_HEADER)?.to_str().ok()?.parse();
        Some(RelayedCall {
            attempts: attempts.ok()?,
            version: routing::Version(version.ok()?),
        })
    }
}

/// Marks a response to a relayed call as a failure of this VM.
pub fn mark_failure(response: &mut Response<http::Body>, failure: Failure) {
    if let Ok(value) = HeaderValue::from_str(&failure.to_string()) {
        response.headers_mut().insert(FAILURE_HEADER, value);
    }
}

/// Removes the mark of a failure from a response of a target.
pub fn clear_failure(response: &mut Response<http::Body>) {
    response.headers_mut().remove(FAILURE_HEADER);
}

/// Names the target in its response if it leaves; removes what a target has set itself.
pub fn set_departed(
    response: &mut Response<http::Body>,
    departed: Option<&fleet::TargetIncarnation>,
) {
    let headers = response.headers_mut();
    headers.remove(DEPARTED_HEADER);
    let Some(departed) = departed else {
        return;
    };
    match HeaderValue::from_str(&format!("{} {}", departed.born.0, departed.target)) {
        Ok(value) => {
            headers.insert(DEPARTED_HEADER, value);
        }
        Err(err) => log::warn!(
            "id of target {} is not a valid header value: {err}; its departure is not relayed",
            departed.target
        ),
    }
}

/// Takes the target that leaves from the response of a relay.
fn take_departed(headers: &mut HeaderMap) -> Option<fleet::TargetIncarnation> {
    let value = headers.remove(DEPARTED_HEADER)?;
    let departed = value.to_str().ok().and_then(|text| {
        let (born, target) = text.split_once(' ')?;
        Some(fleet::TargetIncarnation {
            target: types::TargetId::from(target),
            born: core_time::UnixMillis(born.parse().ok()?),
        })
    });
    if departed.is_none() {
        log::warn!("relay names a target that leaves by an invalid value; ignored");
    }
    departed
}

/// A call in flight at a relay; counted until it finishes or is dropped.
struct InFlightGuard<'a> {
    state: &'a state::State,
    vm: types::VmId,
    deadline: core_time::Instant,
    outcome: relay::Outcome,
}

impl<'a> InFlightGuard<'a> {
    fn start(call: &'a Call, vm: types::VmId) -> InFlightGuard<'a> {
        call.state.with(|inner| inner.relays.started(vm));
        InFlightGuard {
            state: &call.state,
            vm,
            deadline: call.request.deadline,
            outcome: relay::Outcome::Cancelled,
        }
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        let now = self.state.clock.now();
        let vm = self.vm;
        let outcome = match self.outcome {
            // The relay is silent: it has the same deadline, and answers by then.
            relay::Outcome::Cancelled if now >= self.deadline => relay::Outcome::Failed,
            outcome => outcome,
        };
        self.state
            .with(|inner| inner.relays.finished(now, vm, outcome));
    }
}

/// Sends a call to one VM after the other until one handles it. The relay may make `attempts`
/// attempts at targets.
pub async fn run(call: &Call, attempts: u32) -> RelayOutcome {
    let state = &call.state;
    let mut tried = Vec::new();
    let mut failed = 0;
    while tried.len() < MAX_RELAYS && failed < MAX_FAILED_RELAYS {
        let Some((vm, address)) = choose(state, &tried) else {
            break;
        };
        tried.push(vm);
        let started = state.clock.now();
        let mut guard = InFlightGuard::start(call, vm);
        call.set_at_relay(true);
        let exchanged = exchange(state, &call.request, attempts, vm, address).await;
        let (outcome, result) = match exchanged {
            Ok(response) => receive(state, &call.request, vm, response).await,
            Err(SendError::Refused(reason)) => {
                call.set_at_relay(false);
                return RelayOutcome::Failed(reason);
            }
            Err(SendError::Client(err)) if err.proves_not_run() => (relay::Outcome::Failed, None),
            Err(SendError::Client(err)) => {
                let lost = RelayOutcome::Lost(err.to_string());
                (relay::Outcome::Failed, Some(lost))
            }
        };
        guard.outcome = outcome;
        drop(guard);
        record(call, vm, started, outcome, result.as_ref());
        if let Some(result) = result {
            return result;
        }
        call.set_at_relay(false);
        failed += usize::from(outcome == relay::Outcome::Failed);
    }
    RelayOutcome::Failed(Failure::Unreachable)
}

fn choose(
    state: &state::State,
    tried: &[types::VmId],
) -> Option<(types::VmId, std::net::SocketAddr)> {
    let now = state.clock.now();
    state.with(|inner| {
        let others = inner.roster.vms().filter(|vm| vm.id != state.vm);
        let domain = &state.cfg.failure_domain;
        let mut rng = state.rng.borrow_mut();
        let chosen = inner.relays.choose(now, others, domain, tried, &mut rng)?;
        Some((chosen.id, chosen.relay_address?))
    })
}

/// Sends the call on a pooled connection, or on a new one when there is none that works.
async fn exchange(
    state: &state::State,
    call_request: &CallRequest,
    attempts: u32,
    vm: types::VmId,
    address: std::net::SocketAddr,
) -> Result<(http::Client, Response<Incoming>), SendError> {
    let request = || build_request(state, call_request, attempts);
    let max_idle = match call_request.repeatable {
        true => time::Duration::MAX,
        false => MAX_IDLE_NOT_REPEATABLE,
    };
    if let Some(mut client) = state.relay_pool.take(state.clock.now(), &vm, max_idle) {
        key_check::check_before_send(state, call_request)?;
        match client.send(request()).await {
            Ok(response) => return Ok((client, response)),
            // The VM has closed the idle connection; no byte of the request was written.
            Err((err, _)) if err.proves_not_run() => {}
            Err((err, _)) => return Err(err.into()),
        }
    }
    let mut client = http::Client::connect(address, CONNECT_TIMEOUT, || {}).await?;
    if !client.ready().await {
        return Err(http::ClientError::NotSent.into());
    }
    key_check::check_before_send(state, call_request)?;
    match client.send(request()).await {
        Ok(response) => Ok((client, response)),
        Err((err, _)) => Err(err.into()),
    }
}

fn build_request(
    state: &state::State,
    call_request: &CallRequest,
    attempts: u32,
) -> Request<http::Body> {
    let mut req = attempt::build_request(state, call_request);
    let version = state.with(|inner| inner.machine.table.version());
    let headers = req.headers_mut();
    headers.insert(ATTEMPTS_HEADER, HeaderValue::from(attempts));
    headers.insert(VERSION_HEADER, HeaderValue::from(version.0));
    if let Some(workspace) = &call_request.workspace {
        headers.insert(state.cfg.protocol.key.clone(), workspace.key.clone());
    }
    req
}

/// Reads the response of a relay. Without a result, another VM may relay the call.
async fn receive(
    state: &rc::Rc<state::State>,
    call_request: &CallRequest,
    vm: types::VmId,
    (client, response): (http::Client, Response<Incoming>),
) -> (relay::Outcome, Option<RelayOutcome>) {
    let protocol = &state.cfg.protocol;
    let response = match OwnResponse::attribute(protocol, call_request, response) {
        Ok(response) => response,
        Err(reason) => return (relay::Outcome::Failed, Some(lost(reason))),
    };
    // A relay always says where the body ends, whatever its target does.
    if !http::marks_body_end(&response.head) {
        let result = lost("end of the response is not marked");
        return (relay::Outcome::Failed, Some(result));
    }
    let digest = response.check_digest(protocol);
    let OwnResponse { mut head, body } = response;
    if let Some(departed) = take_departed(&mut head.headers) {
        let source = departures::Source::Relay;
        departures::response_received(state, &departed, &head.headers, source);
    }
    let failure = http::header_text(&head.headers, &FAILURE_HEADER).map(Failure::from_text);
    let keep_alive = attempt::keep_alive_timeout(&head.headers);
    let closes = attempt::closes_connection(&head.headers);
    let body = match attempt::buffer_body(state, call_request, ("relay", &vm), body).await {
        Ok(body) => body,
        Err(reason) => return (relay::Outcome::Failed, Some(RelayOutcome::Lost(reason))),
    };
    if body.is_buffered() && !closes {
        return_to_pool(state, vm, client, keep_alive);
    }
    match failure {
        Some(Some(Failure::Unreachable)) => (relay::Outcome::Declined, None),
        // The relay has an older configuration or no lease on its keys, for a moment.
        Some(Some(Failure::NoConfiguration | Failure::KeysUnconfirmed)) => {
            (relay::Outcome::Cancelled, None)
        }
        Some(Some(failure)) => {
            let failed = RelayOutcome::Failed(failure);
            (relay::Outcome::Handled, Some(failed))
        }
        Some(None) => {
            let result = lost("relay answered with an unknown failure");
            (relay::Outcome::Handled, Some(result))
        }
        None => {
            let result = match digest {
                Ok(()) => {
                    http::strip_connection_fields(&mut head.headers);
                    let departed = None;
                    RelayOutcome::Answered(TargetResponse {
                        head,
                        body,
                        departed,
                    })
                }
                Err(reason) => lost(reason),
            };
            (relay::Outcome::Handled, Some(result))
        }
    }
}

fn lost(reason: &str) -> RelayOutcome {
    RelayOutcome::Lost(reason.to_owned())
}

fn return_to_pool(
    state: &rc::Rc<state::State>,
    vm: types::VmId,
    mut client: http::Client,
    keep_alive: Option<time::Duration>,
) {
    let state = state.clone();
    compio::runtime::spawn(async move {
        if client.ready().await {
            state
                .relay_pool
                .put(state.clock.now(), vm, client, keep_alive);
        }
    })
    .detach();
}

/// Logs and counts how a VM has handled a call.
fn record(
    call: &Call,
    vm: types::VmId,
    started: core_time::Instant,
    outcome: relay::Outcome,
    result: Option<&RelayOutcome>,
) {
    let state = &call.state;
    let result = match result {
        Some(RelayOutcome::Answered(_)) => "answered".to_owned(),
        Some(RelayOutcome::Failed(failure)) => failure.to_string(),
        Some(RelayOutcome::Lost(reason)) => format!("lost: {reason}"),
        None => "not-run".to_owned(),
    };
    let label = format!("{outcome:?}").to_lowercase();
    state
        .metrics
        .relayed
        .with_label_values(&[label.as_str()])
        .inc();
    state.events.emit(
        event::Id::CallRelayed,
        &[
            ("request", &call.request_id_text()),
            ("relay", &vm),
            ("outcome", &label),
            ("result", &result),
            ("ms", &state.clock.now().since(started).as_millis()),
        ],
    );
}
