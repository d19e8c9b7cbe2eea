//! Handles requests of callers: matches the route, reads the body, runs the call and returns its
//! response.
//!
//! Routes, services and body limits come from the replicated configuration, the caller's deadline
//! from a request header.

use std::{borrow, cell, net, rc};

use futures_util::FutureExt;
use hyper::{
    Request, Response,
    header::{self, HeaderValue},
};
use rand::Rng;
use wagtailshunt_core::{event, routing, time as core_time, types};

use crate::{
    entry::{
        allowance,
        calls::{
            attempt::CallRequest,
            call::{self, Call, CallOutcome},
            failure::Failure,
            key_check,
            relay::{self, RelayedCall},
        },
        state,
    },
    http,
};

/// `Retry-After` of calls refused for lack of a configuration: after an election and a round trip,
/// a starting process usually has one.
const CONFIGURATION_RETRY_AFTER: std::time::Duration = std::time::Duration::from_millis(500);

/// Longest time that a call waits for the first configuration, or for a lease on its keys. A process
/// that has just started receives them from the first VM that it connects to and from the leader,
/// and a refusal would cost the caller a retry.
const MAX_CONFIGURATION_WAIT: std::time::Duration = std::time::Duration::from_millis(400);

/// Largest share of its remaining time that such a call waits, so that enough is left to run it.
const CONFIGURATION_WAIT_SHARE: f64 = 0.25;

/// Longest time that a call waits for memory for its body; calls in progress end within it.
const MAX_MEMORY_WAIT: std::time::Duration = std::time::Duration::from_secs(2);

/// Largest share of its remaining time that a call waits for memory: a refusal is of use only while
/// the caller can try another VM.
const MEMORY_WAIT_SHARE: f64 = 0.25;

/// `Retry-After` of calls refused for lack of memory: calls in progress end within it. Multiplied by a
/// random number between 0.5 and 1.5, so that callers refused together do not return together.
const MEMORY_RETRY_AFTER: std::time::Duration = std::time::Duration::from_millis(400);

/// Memory of a call in progress beside its head and its body: 4 KiB in a trial with 2,400 calls, and a
/// connection to a target, which takes as much as one of a caller.
const CALL_BYTES: u64 = 24 * 1024;

/// Interval at which a relayed call checks for the version of the sender's configuration.
const VERSION_CHECK_INTERVAL: std::time::Duration = std::time::Duration::from_millis(10);

/// Remaining time assumed for calls that do not state it: longer than the timeout of any route.
const DEFAULT_TIME_LEFT: std::time::Duration = std::time::Duration::from_secs(3600);

/// Longest host or path in a log line, in characters.
pub const MAX_LOGGED_TEXT_CHARS: usize = 256;

/// Handles a request of a caller and returns the response.
pub async fn handle(
    state: rc::Rc<state::State>,
    req: Request<http::Body>,
    _peer: net::SocketAddr,
) -> Response<http::Body> {
    respond(&state, req, None).await
}

/// Handles a call that another VM relays to this one, and returns the response of a target or a
/// marked failure.
pub async fn handle_relayed(
    state: rc::Rc<state::State>,
    mut req: Request<http::Body>,
    _peer: net::SocketAddr,
) -> Response<http::Body> {
    let Some(relayed) = RelayedCall::take_from(req.headers_mut()) else {
        log::warn!("relayed call without valid headers of the relay; refused");
        return failed_response(Failure::Malformed, None, true);
    };
    respond(&state, req, Some(relayed)).await
}

/// Builds the response of a failed call, which is marked if the call is relayed.
fn failed_response(
    reason: Failure,
    retry_after: Option<std::time::Duration>,
    is_relayed: bool,
) -> Response<http::Body> {
    let mut response = reason.response(retry_after);
    if is_relayed {
        relay::mark_failure(&mut response, reason);
    }
    response
}

async fn respond(
    state: &rc::Rc<state::State>,
    req: Request<http::Body>,
    relayed: Option<RelayedCall>,
) -> Response<http::Body> {
    state.metrics.in_progress.inc();
    let _guard = InProgressGuard(state.clone());
    let arrival = state.clock.now();
    let request_id = req.headers().get(&state.cfg.protocol.request_id).cloned();
    let host = req.headers().get(header::HOST).cloned();
    let uri = req.uri().clone();
    let time_left = caller_time_left(state, &req);
    let caller_deadline = arrival + time_left;
    let retry_after = cell::Cell::new(None);
    let served = serve_call(state, req, relayed, arrival, time_left, &retry_after).await;
    let mut response = match served {
        Ok(response) => response,
        // These may be many and are counted only; events 143 to 145 tell when they begin and end.
        Err(reason @ Failure::OverAllowance) => {
            state.metrics.allowances.refused_outcome.inc();
            failed_response(reason, retry_after.get(), false)
        }
        Err(reason @ Failure::AllowanceUnknown) => {
            state.metrics.allowances.unknown_outcome.inc();
            failed_response(reason, retry_after.get(), false)
        }
        Err(reason) => {
            let version = state.with(|inner| inner.machine.table.version());
            record_finished(
                state,
                arrival,
                reason.status().as_u16(),
                &[
                    ("request", &header_log_text(request_id.as_ref())),
                    ("outcome", &reason),
                    ("host", &shorten(&header_log_text(host.as_ref()))),
                    ("path", &shorten(uri.path())),
                    ("version", &version),
                ],
            );
            let retry_after = match reason {
                Failure::NoConfiguration => Some(CONFIGURATION_RETRY_AFTER),
                Failure::KeysUnconfirmed => {
                    let time_left = caller_deadline.since(state.clock.now());
                    Some(key_check::retry_after(state, time_left))
                }
                Failure::NoMemory => {
                    let factor = state.rng.borrow_mut().random_range(0.5..1.5);
                    Some(MEMORY_RETRY_AFTER.mul_f64(factor))
                }
                _ => None,
            };
            failed_response(reason, retry_after, relayed.is_some())
        }
    };
    if let Some(id) = request_id {
        let headers = response.headers_mut();
        headers.entry(&state.cfg.protocol.request_id).or_insert(id);
    }
    if state.stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Returns the value of a header for a log line, or `-` when it is missing.
fn header_log_text(value: Option<&HeaderValue>) -> borrow::Cow<'_, str> {
    String::from_utf8_lossy(value.map_or(&b"-"[..], HeaderValue::as_bytes))
}

fn shorten(text: &str) -> String {
    text.chars().take(MAX_LOGGED_TEXT_CHARS).collect()
}

/// Returns whether a pipelined request may start before the earlier ones are answered. Only
/// repeatable calls may, since the caller sends them again when the connection closes first. During
/// a planned stop none is started, as the next response closes the connection.
pub fn may_start_early(state: &state::State, req: &Request<http::Body>) -> bool {
    !state.stopping()
        && state.memory.may_read_ahead()
        && route(state, req).is_ok_and(|named_route| named_route.1.repeatable)
}

/// Counts a call as in progress until it is dropped.
struct InProgressGuard(rc::Rc<state::State>);

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.metrics.in_progress.dec();
    }
}

/// Logs and counts a finished call; `fields` must contain its `outcome`.
fn record_finished(
    state: &state::State,
    arrival: core_time::Instant,
    status: u16,
    fields: &[(&'static str, &dyn std::fmt::Display)],
) {
    let taken = state.clock.now().since(arrival);
    let mut all_fields: Vec<(&'static str, &dyn std::fmt::Display)> = fields.to_vec();
    let ms = taken.as_millis();
    all_fields.push(("status", &status));
    all_fields.push(("ms", &ms));
    state.events.emit(event::Id::CallFinished, &all_fields);
    let outcome = all_fields.iter().find(|(name, _)| *name == "outcome");
    let outcome = outcome.map_or_else(String::new, |(_, value)| value.to_string());
    state
        .metrics
        .calls
        .with_label_values(&[outcome.as_str()])
        .inc();
    let latency = state.metrics.latency.with_label_values(&[outcome.as_str()]);
    latency.observe(taken.as_secs_f64());
}

async fn serve_call(
    state: &rc::Rc<state::State>,
    req: Request<http::Body>,
    relayed: Option<RelayedCall>,
    arrival: core_time::Instant,
    time_left: std::time::Duration,
    retry_after: &cell::Cell<Option<std::time::Duration>>,
) -> Result<Response<http::Body>, Failure> {
    http::check_head(&req).map_err(|_| Failure::Malformed)?;
    // Without an id, no response could be attributed to the call.
    let request_id = req.headers().get(&state.cfg.protocol.request_id).cloned();
    let request_id = request_id.ok_or(Failure::Malformed)?;
    if let Some(relayed) = relayed {
        if state.is_path_lost() {
            return Err(Failure::Unreachable);
        }
        wait_for_version(state, relayed.version).await?;
    }
    let named_route = match route(state, &req) {
        Err(Failure::NoConfiguration) => {
            state.wait_until_configured(max_wait(time_left)).await;
            route(state, &req)?
        }
        named_route => named_route?,
    };
    let lease_wait = match relayed {
        // The sender can choose another relay.
        Some(_) => max_wait(time_left).min(relay::VERSION_WAIT),
        None => max_wait(time_left),
    };
    let (workspace, has_workspaces) =
        key_check::workspace(state, &req, &named_route.1, lease_wait).await?;
    // The VM that relays a call has taken its token.
    if let Some(workspace) = workspace.as_ref().filter(|_| relayed.is_none()) {
        let time_left = time_left.min(named_route.1.timeout);
        let taken = allowance::take(state, &workspace.workspace, time_left).await;
        taken.map_err(|(reason, after)| {
            retry_after.set(Some(after));
            reason
        })?;
    }
    let limits = state.with(|inner| inner.machine.table.items().limits.clone());
    let limits = limits.unwrap_or_default();
    let caller_deadline = arrival + time_left;
    let deadline = caller_deadline.min(arrival + named_route.1.timeout);
    let (head, body) = req.into_parts();
    let body = read_body(state, &head, body, limits.body_bytes, deadline).await?;
    let mut headers = head.headers;
    http::strip_connection_fields(&mut headers);
    headers.remove(header::EXPECT);
    if has_workspaces {
        headers.remove(&state.cfg.protocol.key);
        headers.remove(&state.cfg.protocol.workspace);
    }
    let call_request = CallRequest {
        request_id,
        method: head.method,
        uri: origin_form(&head.uri),
        headers,
        workspace,
        body,
        repeatable: named_route.1.repeatable,
        deadline,
        caller_deadline,
        unproved: cell::Cell::new(0),
    };
    let service = pick_service(state, &named_route);
    let call = Call::new(
        state.clone(),
        &named_route,
        service,
        call_request,
        relayed,
        arrival,
    );
    let outcome = call.run().await;
    Ok(finish_call(state, &call, outcome))
}

/// Waits until this VM has a configuration that is not older than that of the sender.
async fn wait_for_version(state: &state::State, version: routing::Version) -> Result<(), Failure> {
    let give_up_at = state.clock.now() + relay::VERSION_WAIT;
    while state.with(|inner| inner.machine.table.version()) < version {
        if state.clock.now() >= give_up_at {
            return Err(Failure::NoConfiguration);
        }
        compio::time::sleep(VERSION_CHECK_INTERVAL).await;
    }
    Ok(())
}

/// Builds the response to a call and records its result.
fn finish_call(state: &state::State, call: &Call, outcome: CallOutcome) -> Response<http::Body> {
    let served = matches!(outcome, CallOutcome::Response(_));
    let (response, outcome) = match outcome {
        CallOutcome::Response(mut response) => {
            let departed = response.departed.take();
            let mut response = call::build_response(response);
            relay::clear_failure(&mut response);
            let departed = departed.filter(|_| call.is_relayed());
            relay::set_departed(&mut response, departed.as_ref());
            (response, "answered".to_owned())
        }
        CallOutcome::Failed(reason) => {
            let not_run = reason.status() == hyper::StatusCode::SERVICE_UNAVAILABLE;
            let may_retry = not_run && reason != Failure::CrashesTargets;
            let retry_after = may_retry.then(|| call.retry_after(reason));
            call.record_shed(retry_after);
            let response = failed_response(reason, retry_after, call.is_relayed());
            (response, reason.to_string())
        }
    };
    call.record_served(served);
    let version = state.with(|inner| inner.machine.table.version());
    let (request, relayed) = (call.request_id_text(), call.is_relayed());
    let choices = call.format_choices();
    let shed = call.shed_text();
    let mut fields: Vec<(&'static str, &dyn std::fmt::Display)> = vec![
        ("request", &request),
        ("outcome", &outcome),
        ("route", &call.route_name),
        ("service", &call.service),
        ("relayed", &relayed),
        ("choices", &choices),
        ("version", &version),
    ];
    if let Some(shed) = &shed {
        fields.push(("shed", shed));
    }
    let status = response.status().as_u16();
    record_finished(state, call.arrival, status, &fields);
    response
}

fn route(
    state: &state::State,
    req: &Request<http::Body>,
) -> Result<rc::Rc<(String, routing::Route)>, Failure> {
    let (routes, version) =
        state.with(|inner| (inner.routes.clone(), inner.machine.table.version()));
    if version.0 == 0 {
        return Err(Failure::NoConfiguration);
    }
    let host = http::header_text(req.headers(), &header::HOST).ok_or(Failure::Malformed)?;
    let found = routes.find(host, req.uri().path());
    found.cloned().ok_or(Failure::NoRoute)
}

/// Returns the caller's remaining time, or [`DEFAULT_TIME_LEFT`] when the header is missing or
/// invalid.
fn caller_time_left(state: &state::State, req: &Request<http::Body>) -> std::time::Duration {
    let text = http::header_text(req.headers(), &state.cfg.protocol.time_left_ms);
    let ms = text.and_then(|text| text.trim().parse::<u64>().ok());
    ms.map_or(DEFAULT_TIME_LEFT, std::time::Duration::from_millis)
}

/// Returns how long a call may wait for what this process lacks just after its start.
fn max_wait(time_left: std::time::Duration) -> std::time::Duration {
    MAX_CONFIGURATION_WAIT.min(time_left.mul_f64(CONFIGURATION_WAIT_SHARE))
}

/// Reads the body of a call within the memory budget.
async fn read_body(
    state: &state::State,
    head: &hyper::http::request::Parts,
    body: http::Body,
    limit: u64,
    deadline: core_time::Instant,
) -> Result<http::Blocks, Failure> {
    let time_left = deadline.since(state.clock.now());
    let wait = MAX_MEMORY_WAIT.min(time_left.mul_f64(MEMORY_WAIT_SHARE));
    let mut reader = http::BlockReader::new(&state.memory, limit, wait);
    let fields = head.headers.iter();
    let head_bytes: usize = fields
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    let result = {
        let mut read = std::pin::pin!(async {
            reader.reserve(CALL_BYTES + head_bytes as u64).await?;
            reader.read_request(body).await
        });
        // Most requests are complete already, and need no timer.
        match read.as_mut().now_or_never() {
            Some(result) => Ok(result),
            None => compio::time::timeout(time_left, read).await,
        }
    };
    match result {
        Ok(Ok(())) => Ok(reader.finish()),
        Ok(Err(http::ReadError::TooLong)) => Err(Failure::BodyTooLarge),
        Ok(Err(http::ReadError::NoMemory)) => Err(Failure::NoMemory),
        Ok(Err(http::ReadError::BrokenOff | http::ReadError::TimedOut)) | Err(_) => {
            Err(Failure::BodyIncomplete)
        }
    }
}

/// Returns the origin form of a request target (path and query), which targets expect.
fn origin_form(uri: &hyper::Uri) -> hyper::Uri {
    let path = uri.path_and_query().map(|path| path.as_str().to_owned());
    path.and_then(|path| path.parse().ok()).unwrap_or_default()
}

/// Returns the service for a call. On a route with a traffic split, it is the service that is
/// furthest behind its weight.
fn pick_service(
    state: &state::State,
    named_route: &(String, routing::Route),
) -> types::ServiceName {
    let (name, route) = named_route;
    if let [share] = route.shares.as_slice() {
        return share.service.clone();
    }
    let total: f64 = route.shares.iter().map(|share| share.weight).sum();
    state.with(|inner| {
        let credits = inner.split_credits.entry(name.clone()).or_default();
        credits.retain(|service, _| route.shares.iter().any(|share| share.service == *service));
        for share in &route.shares {
            // Starts at a random value, so that VMs with few calls do not all prefer the same
            // service.
            let credit = credits
                .entry(share.service.clone())
                .or_insert_with(|| state.rng.borrow_mut().random_range(0.0..1.0));
            *credit += share.weight / total;
        }
        let usable = route.shares.iter().filter(|share| share.weight > 0.0);
        let best = usable.max_by(|a, b| {
            let credit = |share: &routing::Share| credits.get(&share.service).copied();
            credit(a)
                .partial_cmp(&credit(b))
                .unwrap_or(std::cmp::Ordering::Equal)
        });
        let service = best.map_or_else(
            || route.shares[0].service.clone(),
            |share| share.service.clone(),
        );
        if let Some(credit) = credits.get_mut(&service) {
            *credit -= 1.0;
        }
        service
    })
}
