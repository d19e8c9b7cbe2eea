//! Answers of a target.

use std::{future, pin, task, time};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming, SizeHint};
use hyper::{HeaderMap, Request, Response, StatusCode};
use serde::Serialize;
use wagtailshunt::http;
use wagtailshunt_core::balance;

use super::{CRASH_HEADER, state};

const NOT_RUN_HEADER: &str = "wagtailshunt-not-run";
const TIMEOUT_HEADER: &str = "wagtailshunt-timeout-ms";
const KEY_HEADER: &str = "idempotency-key";

/// Body of an answer; it repeats enough of the request to recognise a foreign answer.
#[derive(Serialize)]
struct Answer<'a> {
    target: &'a str,
    incarnation: u64,
    method: &'a str,
    path: &'a str,
    key: Option<&'a str>,
    body_bytes: usize,
    body_crc32: u32,
    #[serde(skip_serializing_if = "str::is_empty")]
    padding: &'a str,
}

/// What becomes of a request.
pub(super) enum Outcome {
    Answer(Response<http::Body>),
    /// The target crashes.
    Crash,
}

/// Runs a call that arrived on connection number `connection`.
pub(super) async fn respond(
    shared: state::Ref,
    connection: u64,
    request: Request<Incoming>,
) -> Outcome {
    if shared.draining.get() {
        shared.count(|counters| counters.after_drain += 1);
    }
    hold_if_frozen(&shared, connection).await;
    if shared.faults.borrow().fail_fast {
        shared.count(|counters| counters.failed += 1);
        return Outcome::Answer(plain(&shared, StatusCode::INTERNAL_SERVER_ERROR, "failed"));
    }
    let outcome = run(&shared, request).await;
    hold_if_frozen(&shared, connection).await;
    outcome
}

/// Never returns on a frozen connection, which stays open.
async fn hold_if_frozen(shared: &state::Ref, connection: u64) {
    if connection <= shared.frozen_through.get() {
        shared.count(|counters| counters.frozen += 1);
        future::pending::<()>().await;
    }
}

async fn run(shared: &state::Ref, request: Request<Incoming>) -> Outcome {
    let arrived = time::Instant::now();
    let (head, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return Outcome::Answer(plain(shared, StatusCode::BAD_REQUEST, "body ended early"));
    };
    let body = body.to_bytes();
    let Some(_slot) = take_slot(shared, &head.headers).await else {
        shared.count(|counters| counters.shed += 1);
        return Outcome::Answer(not_run(shared));
    };
    let key = text(&head.headers, KEY_HEADER);
    let run = Run::start(shared, key);
    if head.headers.contains_key(CRASH_HEADER) && shared.faults.borrow().crash_on_mark {
        return Outcome::Crash;
    }
    compio::time::sleep(shared.service_time()).await;
    run.finish();
    shared.observe_latency(arrived.elapsed());
    let padding = "x".repeat(shared.config.answer_bytes);
    let answer = Answer {
        target: shared.config.id.as_str(),
        incarnation: shared.incarnation.get().0,
        method: head.method.as_str(),
        path: head.uri.path_and_query().map_or("/", |path| path.as_str()),
        key,
        body_bytes: body.len(),
        body_crc32: crc32fast::hash(&body),
        padding: &padding,
    };
    let json = serde_json::to_vec(&answer).unwrap_or_default();
    Outcome::Answer(finish(
        shared,
        StatusCode::OK,
        "application/json",
        json.into(),
    ))
}

/// Takes a slot within the time that the request allows.
async fn take_slot(shared: &state::Ref, headers: &HeaderMap) -> Option<super::slots::Slot> {
    let limit = text(headers, TIMEOUT_HEADER).and_then(|text| text.parse().ok());
    let Some(limit) = limit else {
        return shared.slots.take().await;
    };
    let limit = time::Duration::from_millis(limit);
    compio::time::timeout(limit, shared.slots.take())
        .await
        .ok()
        .flatten()
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// A run that counts as cancelled when it is dropped before its end.
struct Run {
    shared: state::Ref,
    key: Option<String>,
    finished: bool,
}

impl Run {
    fn start(shared: &state::Ref, key: Option<&str>) -> Run {
        shared.count(|counters| counters.started += 1);
        if let Some(key) = key {
            shared.ledger.borrow_mut().entry(key).started += 1;
        }
        Run {
            shared: shared.clone(),
            key: key.map(str::to_owned),
            finished: false,
        }
    }

    fn finish(mut self) {
        self.finished = true;
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let finished = self.finished;
        self.shared.count(|counters| match finished {
            true => counters.finished += 1,
            false => counters.cancelled += 1,
        });
        if let Some(key) = &self.key {
            let mut ledger = self.shared.ledger.borrow_mut();
            let runs = ledger.entry(key);
            match finished {
                true => runs.finished += 1,
                false => runs.cancelled += 1,
            }
        }
    }
}

fn plain(shared: &state::Ref, status: StatusCode, text: &'static str) -> Response<http::Body> {
    finish(
        shared,
        status,
        "text/plain",
        Bytes::from_static(text.as_bytes()),
    )
}

fn not_run(shared: &state::Ref) -> Response<http::Body> {
    let mut response = plain(shared, StatusCode::SERVICE_UNAVAILABLE, "not run");
    let marker = hyper::header::HeaderValue::from_static("1");
    response.headers_mut().insert(NOT_RUN_HEADER, marker);
    response
}

fn finish(
    shared: &state::Ref,
    status: StatusCode,
    content_type: &'static str,
    body: Bytes,
) -> Response<http::Body> {
    let truncate = shared.faults.borrow().truncate;
    let body = if truncate {
        Truncated::body(body)
    } else {
        http::full(body)
    };
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let headers = response.headers_mut();
    let content_type = hyper::header::HeaderValue::from_static(content_type);
    headers.insert(hyper::header::CONTENT_TYPE, content_type);
    if let Ok(report) = shared.report().to_string().parse() {
        headers.insert(balance::LoadReport::HEADER, report);
    }
    response
}

/// A body that declares its whole length, sends half of it and fails.
struct Truncated {
    half: Option<Bytes>,
    declared: u64,
}

impl Truncated {
    fn body(bytes: Bytes) -> http::Body {
        let declared = bytes.len() as u64;
        let half = Some(bytes.slice(..bytes.len() / 2));
        http::Body::Stream(Box::pin(Truncated { half, declared }))
    }
}

impl hyper::body::Body for Truncated {
    type Data = Bytes;
    type Error = http::BodyError;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        _cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Bytes>, http::BodyError>>> {
        let frame = self.get_mut().half.take().map(Frame::data);
        task::Poll::Ready(Some(frame.ok_or(http::BodyError::Truncated)))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.declared)
    }
}
