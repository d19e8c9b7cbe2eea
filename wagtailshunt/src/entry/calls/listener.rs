//! From a request on a caller's connection to the answer that goes back.

use std::{net, rc};

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{
    Request, Response,
    header::{self, HeaderValue},
};
use rand::Rng;
use wagtailshunt_core::{event, routing, time as core_time, types};

use crate::{
    entry::{
        calls::{
            answer::Reason,
            attempt::Parts,
            call::{self, Call, Done},
        },
        state,
    },
    http,
};

/// A starting process usually knows the configuration after this time: an election and a round trip.
const CONFIGURATION_WAIT: std::time::Duration = std::time::Duration::from_millis(500);

/// A call that arrives before the configuration waits for it at most this long: a process that has just
/// started learns it from the first VM that it reaches, and a refusal would cost the caller a retry.
const CONFIGURATION_HOLD: std::time::Duration = std::time::Duration::from_millis(400);

/// Share of its time for which such a call waits at most, so that enough is left to run it.
const HOLD_SHARE: f64 = 0.25;

/// Time that a caller waits who doesn't say how long: longer than any route allows.
const UNBOUNDED: std::time::Duration = std::time::Duration::from_secs(3600);

/// Answers a request of a caller.
pub async fn handle(
    state: rc::Rc<state::State>,
    req: Request<http::Body>,
    _peer: net::SocketAddr,
) -> Response<http::Body> {
    state.metrics.in_progress.inc();
    let _guard = InProgress(state.clone());
    let arrival = state.clock.now();
    let request = req.headers().get(&state.cfg.dialect.request_id).cloned();
    let mut answer = match answer(&state, req, arrival).await {
        Ok(answer) => answer,
        Err(reason) => {
            let id = request.as_ref().map_or(&b"-"[..], HeaderValue::as_bytes);
            finished(
                &state,
                arrival,
                reason.status().as_u16(),
                &[
                    ("request", &String::from_utf8_lossy(id)),
                    ("outcome", &reason),
                ],
            );
            let after = (reason == Reason::NoConfiguration).then_some(CONFIGURATION_WAIT);
            reason.answer(after)
        }
    };
    if let Some(id) = request {
        let headers = answer.headers_mut();
        headers.entry(&state.cfg.dialect.request_id).or_insert(id);
    }
    if state.stopping() {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer
}

/// Returns whether a pipelined request may run before its turn: when it may run again, since a
/// connection that closes first makes the caller send it again.
pub fn may_start_early(state: &state::State, req: &Request<http::Body>) -> bool {
    route(state, req).is_ok_and(|named| named.1.repeatable)
}

struct InProgress(rc::Rc<state::State>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.metrics.in_progress.dec();
    }
}

fn finished(
    state: &state::State,
    arrival: core_time::Instant,
    status: u16,
    fields: &[(&'static str, &dyn std::fmt::Display)],
) {
    let taken = state.clock.now().since(arrival);
    let mut all: Vec<(&'static str, &dyn std::fmt::Display)> = fields.to_vec();
    let ms = taken.as_millis();
    all.push(("status", &status));
    all.push(("ms", &ms));
    state.events.emit(event::Id::CallFinished, &all);
    let outcome = all.iter().find(|(name, _)| *name == "outcome");
    let outcome = outcome.map_or_else(String::new, |(_, value)| value.to_string());
    state
        .metrics
        .calls
        .with_label_values(&[outcome.as_str()])
        .inc();
    let latency = state.metrics.latency.with_label_values(&[outcome.as_str()]);
    latency.observe(taken.as_secs_f64());
}

async fn answer(
    state: &rc::Rc<state::State>,
    req: Request<http::Body>,
    arrival: core_time::Instant,
) -> Result<Response<http::Body>, Reason> {
    http::check_head(&req).map_err(|_| Reason::Malformed)?;
    let named = match route(state, &req) {
        Err(Reason::NoConfiguration) => {
            let hold = CONFIGURATION_HOLD.min(time_left(state, &req).mul_f64(HOLD_SHARE));
            state.configured_within(hold).await;
            route(state, &req)?
        }
        named => named?,
    };
    let limits = state.with(|inner| inner.machine.table.items().limits.clone());
    let limits = limits.unwrap_or_default();
    let caller_deadline = arrival + time_left(state, &req);
    let deadline = caller_deadline.min(arrival + named.1.timeout);
    let (head, body) = req.into_parts();
    let body = read_body(state, body, limits.body_bytes, deadline).await?;
    let mut headers = head.headers;
    http::strip_connection_fields(&mut headers);
    headers.remove(header::EXPECT);
    let request = headers.get(&state.cfg.dialect.request_id).cloned();
    let parts = Parts {
        request: request.unwrap_or_else(|| HeaderValue::from_static("")),
        method: head.method,
        uri: origin_form(&head.uri),
        headers,
        body,
        repeatable: named.1.repeatable,
        deadline,
        caller_deadline,
    };
    let service = pick_service(state, &named);
    let call = Call::new(state.clone(), &named, service, parts, arrival);
    let done = call.run().await;
    Ok(conclude(state, &call, done))
}

fn conclude(state: &state::State, call: &Call, done: Done) -> Response<http::Body> {
    let (answer, outcome) = match done {
        Done::Answer(answer) => (call::respond(answer), "answered".to_owned()),
        Done::Own(reason) => {
            let not_run = reason.status() == hyper::StatusCode::SERVICE_UNAVAILABLE;
            let welcome = not_run && reason != Reason::CrashesTargets;
            let after = welcome.then(|| call.retry_after());
            (reason.answer(after), reason.to_string())
        }
    };
    let version = state.with(|inner| inner.machine.table.version());
    finished(
        state,
        call.arrival,
        answer.status().as_u16(),
        &[
            ("request", &call.show_id()),
            ("outcome", &outcome),
            ("route", &call.route_name),
            ("service", &call.service),
            ("choices", &call.show_choices()),
            ("version", &version),
        ],
    );
    answer
}

fn route(
    state: &state::State,
    req: &Request<http::Body>,
) -> Result<rc::Rc<(String, routing::Route)>, Reason> {
    let (routes, version) =
        state.with(|inner| (inner.routes.clone(), inner.machine.table.version()));
    if version.0 == 0 {
        return Err(Reason::NoConfiguration);
    }
    let host = http::text(req.headers(), &header::HOST).ok_or(Reason::Malformed)?;
    let found = routes.find(host, req.uri().path());
    found.cloned().ok_or(Reason::NoRoute)
}

/// Returns how long the caller will still wait; without a word of it, as long as the route allows.
fn time_left(state: &state::State, req: &Request<http::Body>) -> std::time::Duration {
    let text = http::text(req.headers(), &state.cfg.dialect.time_left_ms);
    let ms = text.and_then(|text| text.trim().parse::<u64>().ok());
    ms.map_or(UNBOUNDED, std::time::Duration::from_millis)
}

async fn read_body(
    state: &state::State,
    body: http::Body,
    limit: u64,
    deadline: core_time::Instant,
) -> Result<Bytes, Reason> {
    if hyper::body::Body::is_end_stream(&body) {
        return Ok(Bytes::new());
    }
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    let left = deadline.since(state.clock.now());
    match compio::time::timeout(left, Limited::new(body, limit).collect()).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(err)) if err.is::<LengthLimitError>() => Err(Reason::BodyTooLarge),
        Ok(Err(_)) | Err(_) => Err(Reason::BodyIncomplete),
    }
}

/// Returns the form of a target that servers expect, whatever the caller sent.
fn origin_form(uri: &hyper::Uri) -> hyper::Uri {
    let path = uri.path_and_query().map(|path| path.as_str().to_owned());
    path.and_then(|path| path.parse().ok()).unwrap_or_default()
}

/// Returns the service that a call goes to. Of a split route, the part that is furthest behind its
/// weight gets the next call.
fn pick_service(state: &state::State, named: &(String, routing::Route)) -> types::ServiceName {
    let (name, route) = named;
    if let [share] = route.shares.as_slice() {
        return share.service.clone();
    }
    let total: f64 = route.shares.iter().map(|share| share.weight).sum();
    state.with(|inner| {
        let credits = inner.splits.entry(name.clone()).or_default();
        credits.retain(|service, _| route.shares.iter().any(|share| share.service == *service));
        for share in &route.shares {
            // Starts at a random point, so that VMs with few calls don't all favour one part.
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
