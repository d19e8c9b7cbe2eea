//! One attempt of a call at one target: connection, request, response and its classification.
//!
//! The call and the chosen target come from `call`. The outcome states whether the target ran the
//! call, which decides whether another attempt is allowed.

use std::{cell, net, rc, time};

use hyper::{
    HeaderMap, Method, Request, StatusCode, Uri,
    body::Incoming,
    header::{self, HeaderValue},
    http::response,
};
use wagtailshunt_core::{fleet, placement, reach, routing, time as core_time, types};

use crate::{
    entry::{
        calls::{failure::Failure, key_check, response::OwnResponse},
        departures, path, state, targets,
    },
    http,
};

/// Timeout for opening a connection. A target accepts within about 1 ms; a lost first packet is
/// sent again only after a second, so that another target is the better choice.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// Responses up to this size are read completely before they are forwarded, so that a truncated
/// response can be replaced by that of another target.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Largest body of a refusal that is read so that its connection can be used again.
const MAX_DRAINED_BYTES: usize = 16 * 1024;

/// Timeout for reading the body of a refusal, which usually arrives together with the head.
const DRAIN_TIMEOUT: time::Duration = time::Duration::from_millis(100);

/// Longest idle time of a pooled connection for a call that is not repeatable. The target may close
/// an idle connection while the request is on its way, and such a call cannot be sent again.
const MAX_IDLE_NOT_REPEATABLE: time::Duration = time::Duration::from_millis(1500);

/// The caller's request, as sent in every attempt of the call.
pub struct CallRequest {
    pub request_id: HeaderValue,
    pub method: Method,
    pub uri: Uri,
    /// Headers that are forwarded; without those that identify the workspace.
    pub headers: HeaderMap,
    /// Workspace of the caller, if the configuration has workspaces and the route is not public.
    pub workspace: Option<CallWorkspace>,
    pub body: http::Blocks,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// The caller's deadline or the end of the route's timeout, whichever is earlier.
    pub deadline: core_time::Instant,
    /// The caller's own deadline.
    pub caller_deadline: core_time::Instant,
    /// Number of sendings of the call that are not proved not to have run.
    pub unproved: cell::Cell<u32>,
}

/// The workspace of a call.
#[derive(Clone)]
pub struct CallWorkspace {
    pub workspace: routing::NamedWorkspace,
    /// Key of the caller; sent to a relay, never to a target.
    pub key: HeaderValue,
}

impl CallRequest {
    /// Records that the call is about to be sent to a target.
    fn record_sent(&self) {
        self.unproved.set(self.unproved.get() + 1);
    }

    /// Records the proof that a sending did not run.
    fn record_not_run(&self) {
        self.unproved.set(self.unproved.get() - 1);
    }
}

/// A target as the destination of an attempt.
#[derive(Clone, Debug)]
pub struct Destination {
    /// Id of the target.
    pub target: types::TargetId,
    /// Start of the target's incarnation.
    pub born: core_time::UnixMillis,
    /// Address of the target.
    pub address: net::SocketAddr,
    /// Failure domain of the target.
    pub failure_domain: types::FailureDomain,
}

impl Destination {
    /// Returns the incarnation of the target.
    pub fn incarnation(&self) -> fleet::TargetIncarnation {
        fleet::TargetIncarnation {
            target: self.target.clone(),
            born: self.born,
        }
    }
}

impl From<&fleet::TargetEntry> for Destination {
    fn from(known: &fleet::TargetEntry) -> Self {
        Destination {
            target: known.announcement.target.clone(),
            born: known.announcement.born,
            address: known.announcement.address,
            failure_domain: known.announcement.failure_domain.clone(),
        }
    }
}

/// A response of a target; the body is buffered or still being received.
pub struct TargetResponse {
    pub head: response::Parts,
    pub body: http::Body,
    /// The target, if it states that it leaves.
    pub departed: Option<fleet::TargetIncarnation>,
}

/// Outcome of an attempt.
pub enum AttemptOutcome {
    /// The target sent a valid response.
    Answered(TargetResponse),
    /// No byte of the call reached the target; with the reason for the log.
    NotSent(String),
    /// The call was not sent, and must not be sent to another target either.
    Refused(Failure),
    /// The attempt was stopped before its first byte was sent.
    Withdrawn(Withdrawal),
    /// The target did not run the call; with the reason for the log.
    NotRun(String),
    /// The target may have run the call, but there is no valid response; with the reason for the
    /// log.
    Lost(String),
}

/// Why a destination gets no bytes although it was chosen before.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub enum Withdrawal {
    /// Its failure domain is evacuated.
    #[display("failure domain is evacuated")]
    Evacuated,
    /// This incarnation of the target leaves or has left.
    #[display("target has left")]
    Left,
}

/// Why there is no response to a request on a connection.
#[derive(Debug, derive_more::From)]
pub enum SendError {
    /// The connection failed.
    Client(http::ClientError),
    /// The call must not be sent.
    Refused(Failure),
}

impl SendError {
    fn proves_not_sent_on_this_connection(&self) -> bool {
        matches!(self, SendError::Client(err) if err.proves_not_run())
    }
}

/// Counts an attempt as in flight at its target until it finishes or the guard is dropped.
struct InFlightGuard {
    state: rc::Rc<state::State>,
    target: types::TargetId,
    finished: bool,
}

impl InFlightGuard {
    fn start(state: &rc::Rc<state::State>, target: &types::TargetId) -> InFlightGuard {
        state.with(|inner| inner.placement.started(target));
        InFlightGuard {
            state: state.clone(),
            target: target.clone(),
            finished: false,
        }
    }

    fn finish(&mut self, outcome: placement::Outcome) {
        if std::mem::replace(&mut self.finished, true) {
            return;
        }
        let now = self.state.clock.now();
        let target = &self.target;
        let ejected = self
            .state
            .with(|inner| inner.placement.finished(now, target, outcome));
        if ejected {
            let id = wagtailshunt_core::event::Id::TargetEjected;
            self.state.events.emit(id, &[("target", target)]);
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.finish(placement::Outcome::Cancelled);
    }
}

/// Sends the call to a target and reads the response.
///
/// Dropping the future closes the connection, which cancels the call at the target.
pub async fn run(
    state: &rc::Rc<state::State>,
    call_request: &CallRequest,
    destination: Destination,
) -> AttemptOutcome {
    let mut flight = InFlightGuard::start(state, &destination.target);
    let (client, response) = match exchange(state, call_request, &destination).await {
        Ok(exchanged) => exchanged,
        Err(SendError::Refused(reason)) => {
            flight.finish(placement::Outcome::Cancelled);
            return AttemptOutcome::Refused(reason);
        }
        Err(SendError::Client(err)) => {
            let not_run = err.proves_not_run();
            if let Some(reason) = state.withdrawal(&destination).filter(|_| not_run) {
                return AttemptOutcome::Withdrawn(reason);
            }
            flight.finish(placement::Outcome::Failed);
            return match not_run {
                true => AttemptOutcome::NotSent(err.to_string()),
                false => {
                    let target = &destination.target;
                    path::record(state, target, reach::Evidence::NotAnswered);
                    AttemptOutcome::Lost(err.to_string())
                }
            };
        }
    };
    path::record(state, &destination.target, reach::Evidence::Answered);
    let protocol = &state.cfg.protocol;
    let response = match OwnResponse::attribute(protocol, call_request, response) {
        Ok(response) => response,
        Err(reason) => {
            flight.finish(placement::Outcome::Failed);
            return AttemptOutcome::Lost(reason.to_owned());
        }
    };
    record_load_header(state, &destination.target, &response.head.headers);
    let leaves = record_departure(state, &destination, &response.head);
    if response.head.status == StatusCode::MISDIRECTED_REQUEST {
        call_request.record_not_run();
        flight.finish(placement::Outcome::Failed);
        remove_misdirected(state, &destination);
        return AttemptOutcome::NotRun(
            "another target answers at its address (status 421)".to_owned(),
        );
    }
    if response.proves_not_run(protocol) {
        call_request.record_not_run();
        flight.finish(placement::Outcome::Shed);
        let status = response.head.status.as_u16();
        drain_and_pool(state, destination, client, response);
        return AttemptOutcome::NotRun(format!("target refused with status {status}"));
    }
    if let Err(reason) = response.check_digest(protocol) {
        flight.finish(placement::Outcome::Failed);
        return AttemptOutcome::Lost(reason.to_owned());
    }
    let OwnResponse { mut head, body } = response;
    let keep_alive = keep_alive_timeout(&head.headers);
    let closes = closes_connection(&head.headers);
    let body = match buffer_body(state, call_request, ("target", &destination.target), body).await {
        Ok(body) => body,
        Err(reason) => {
            flight.finish(placement::Outcome::Failed);
            return AttemptOutcome::Lost(reason);
        }
    };
    flight.finish(outcome_of_status(head.status));
    if body.is_buffered() && !closes {
        return_to_pool(state, &destination, client, keep_alive);
    }
    http::strip_connection_fields(&mut head.headers);
    let departed = leaves.then(|| destination.incarnation());
    AttemptOutcome::Answered(TargetResponse {
        head,
        body,
        departed,
    })
}

/// Records the statement in a response that its target leaves; returns whether there is one.
fn record_departure(
    state: &rc::Rc<state::State>,
    destination: &Destination,
    head: &response::Parts,
) -> bool {
    // Another target answers at the address, and speaks for itself only.
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return false;
    }
    let source = departures::Source::Call;
    departures::response_received(state, &destination.incarnation(), &head.headers, source)
}

/// Returns how the status of a response counts for the health of its target.
fn outcome_of_status(status: StatusCode) -> placement::Outcome {
    match status {
        // The call took longer than the caller's remaining time; the target itself is healthy.
        StatusCode::GATEWAY_TIMEOUT => placement::Outcome::Cancelled,
        status if status.is_server_error() => placement::Outcome::Failed,
        _ => placement::Outcome::Answered,
    }
}

/// Sends the request on a pooled connection, or on a new one when there is none that works.
async fn exchange(
    state: &rc::Rc<state::State>,
    call_request: &CallRequest,
    destination: &Destination,
) -> Result<(http::Client, hyper::Response<Incoming>), SendError> {
    let key = (destination.target.clone(), destination.born);
    let max_idle = match call_request.repeatable {
        true => time::Duration::MAX,
        false => MAX_IDLE_NOT_REPEATABLE,
    };
    if let Some(client) = state.pool.take(state.clock.now(), &key, max_idle) {
        match send(state, call_request, destination, client).await {
            // The target has closed the idle connection; no byte of the request was written.
            Err(err) if err.proves_not_sent_on_this_connection() => {}
            exchanged => return exchanged,
        }
    }
    check_destination(state, destination)?;
    let client = connect(state, destination).await?;
    send(state, call_request, destination, client).await
}

/// Checks right before bytes go to a target that it may still get them.
pub fn check_destination(
    state: &state::State,
    destination: &Destination,
) -> Result<(), http::ClientError> {
    match state.withdrawal(destination) {
        Some(_) => Err(http::ClientError::NotSent),
        None => Ok(()),
    }
}

/// Sends the request on a connection and waits for the head of the response.
async fn send(
    state: &state::State,
    call_request: &CallRequest,
    destination: &Destination,
    mut client: http::Client,
) -> Result<(http::Client, hyper::Response<Incoming>), SendError> {
    key_check::check_before_send(state, call_request)?;
    check_destination(state, destination)?;
    call_request.record_sent();
    let req = build_target_request(state, call_request, destination);
    match client.send(req).await {
        Ok(response) => Ok((client, response)),
        Err((err, _)) => {
            if err.proves_not_run() {
                call_request.record_not_run();
            }
            Err(err.into())
        }
    }
}

/// Opens a connection to a target.
///
/// # Errors
///
/// Returns an error when the target does not accept within [`CONNECT_TIMEOUT`].
pub async fn connect(
    state: &rc::Rc<state::State>,
    destination: &Destination,
) -> Result<http::Client, http::ClientError> {
    let connected = http::Client::connect(destination.address, CONNECT_TIMEOUT, || {}).await;
    let evidence = match &connected {
        Ok(_) => reach::Evidence::Connected,
        Err(_) => reach::Evidence::NotConnected,
    };
    path::record(state, &destination.target, evidence);
    let mut client = connected?;
    state.metrics.connections.inc();
    match client.ready().await {
        true => Ok(client),
        false => Err(http::ClientError::NotSent),
    }
}

/// Returns whether a target accepts a connection, which is closed again.
pub async fn accepts_connection(state: &rc::Rc<state::State>, destination: &Destination) -> bool {
    let connected = connect(state, destination).await;
    // A target that closes a connection at once has accepted it: it has too many.
    matches!(connected, Ok(_) | Err(http::ClientError::NotSent))
}

/// Builds the request of a call with the time that is left.
pub fn build_request(state: &state::State, call_request: &CallRequest) -> Request<http::Body> {
    let time_left = call_request.deadline.since(state.clock.now());
    let mut req = Request::new(call_request.body.body());
    *req.method_mut() = call_request.method.clone();
    *req.uri_mut() = call_request.uri.clone();
    *req.headers_mut() = call_request.headers.clone();
    let time_left_ms = u64::try_from(time_left.as_millis())
        .unwrap_or(u64::MAX)
        .max(1);
    req.headers_mut().insert(
        state.cfg.protocol.time_left_ms.clone(),
        HeaderValue::from(time_left_ms),
    );
    req
}

fn build_target_request(
    state: &state::State,
    call_request: &CallRequest,
    destination: &Destination,
) -> Request<http::Body> {
    let mut req = build_request(state, call_request);
    match HeaderValue::from_str(destination.target.as_str()) {
        Ok(target) => {
            let name = state.cfg.protocol.expected_target.clone();
            req.headers_mut().insert(name, target);
        }
        Err(err) => log::warn!(
            "id of target {} is not a valid header value: {err}; sending the call without it",
            destination.target
        ),
    }
    if let Some(CallWorkspace { workspace, .. }) = &call_request.workspace {
        match HeaderValue::from_str(&workspace.0) {
            Ok(name) => {
                let header = state.cfg.protocol.workspace.clone();
                req.headers_mut().insert(header, name);
            }
            Err(err) => log::warn!(
                "name of workspace {} is not a valid header value: {err}; sending the call without it",
                workspace.0
            ),
        }
    }
    req
}

/// Reads a small body completely. A body of known larger size is forwarded as it arrives, and so is
/// what there is no memory for; it fails if it isn't complete at the deadline of the call. `sender`
/// is the target or the relay, as a field of the event for that case.
pub async fn buffer_body(
    state: &state::State,
    call_request: &CallRequest,
    sender: (&'static str, &dyn std::fmt::Display),
    body: Incoming,
) -> Result<http::Body, String> {
    let size = hyper::body::Body::size_hint(&body);
    let body = match size.lower() > MAX_BUFFERED_BYTES as u64 {
        true => http::Body::Incoming(body),
        false => {
            let limit = MAX_BUFFERED_BYTES as u64 * 16;
            let read = http::buffer_response(&state.memory, body, limit).await;
            read.map_err(|err| match err {
                http::ReadError::TooLong => {
                    "response of unknown length is too large to buffer".to_owned()
                }
                err => format!("response {err}"),
            })?
        }
    };
    if body.is_buffered() {
        return Ok(body);
    }
    let (clock, deadline) = (state.clock, call_request.deadline);
    let (events, request_id) = (state.events.clone(), call_request.request_id.clone());
    let (role, id) = (sender.0, sender.1.to_string());
    Ok(body.with_deadline(async move {
        clock.sleep_until(deadline).await;
        let request = String::from_utf8_lossy(request_id.as_bytes());
        let reason = http::BodyError::Deadline;
        let fields: [(_, &dyn std::fmt::Display); 3] =
            [("request", &request), (role, &id), ("reason", &reason)];
        events.emit(wagtailshunt_core::event::Id::CallAborted, &fields);
    }))
}

/// Reads the body of a refusal in the background and returns the connection to the pool. The
/// connection is closed if the body does not end soon.
fn drain_and_pool(
    state: &rc::Rc<state::State>,
    destination: Destination,
    client: http::Client,
    response: OwnResponse,
) {
    if closes_connection(&response.head.headers) {
        return;
    }
    let keep_alive = keep_alive_timeout(&response.head.headers);
    let state = state.clone();
    compio::runtime::spawn(async move {
        let drain = http::drain(response.body, MAX_DRAINED_BYTES);
        if let Ok(Ok(())) = compio::time::timeout(DRAIN_TIMEOUT, drain).await {
            return_to_pool(&state, &destination, client, keep_alive);
        }
    })
    .detach();
}

fn return_to_pool(
    state: &rc::Rc<state::State>,
    destination: &Destination,
    mut client: http::Client,
    keep_alive: Option<time::Duration>,
) {
    let state = state.clone();
    let key = (destination.target.clone(), destination.born);
    compio::runtime::spawn(async move {
        if client.ready().await {
            pool_unless_left(&state, key, client, keep_alive);
        }
    })
    .detach();
}

/// Adds an idle connection to the pool; closes one to a target that leaves.
pub fn pool_unless_left(
    state: &state::State,
    (target, born): (types::TargetId, core_time::UnixMillis),
    client: http::Client,
    keep_alive: Option<time::Duration>,
) {
    if state.with(|inner| inner.directory.is_deregistered(&target, born)) {
        return;
    }
    let now = state.clock.now();
    state.pool.put(now, (target, born), client, keep_alive);
}

/// Returns whether the headers announce that the connection closes after this message.
pub fn closes_connection(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    let mut texts = values.filter_map(|value| value.to_str().ok());
    texts.any(|text| text.to_ascii_lowercase().contains("close"))
}

/// Returns the `timeout` parameter of the `Keep-Alive` header.
pub fn keep_alive_timeout(headers: &HeaderMap) -> Option<time::Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    text.split(',').find_map(|part| {
        let (name, value) = part.split_once('=')?;
        let seconds = value.trim().parse().ok()?;
        (name.trim() == "timeout").then(|| time::Duration::from_secs(seconds))
    })
}

/// Records the load reported in the headers of a response; returns whether there is one.
pub fn record_load_header(
    state: &rc::Rc<state::State>,
    target: &types::TargetId,
    headers: &HeaderMap,
) -> bool {
    let protocol = &state.cfg.protocol;
    let text = http::header_text(headers, &protocol.load);
    let load = text.and_then(protocol.parse_load);
    if let Some(load) = load {
        targets::record_load(state, target, load);
    }
    load.is_some()
}

/// Removes a target whose address now belongs to another target.
fn remove_misdirected(state: &state::State, destination: &Destination) {
    let removed = destination.incarnation();
    state.with(|inner| {
        inner.directory.remove(&removed);
        inner.placement.remove(&destination.target);
    });
    let reason: &dyn std::fmt::Display = &"another target answers at its address";
    let id = wagtailshunt_core::event::Id::TargetLeft;
    let target: &dyn std::fmt::Display = &destination.target;
    state
        .events
        .emit(id, &[("target", target), ("reason", reason)]);
}
