//! Handles the requests to a target: waits for a slot, runs the call and builds the response.

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
const CALL_HEADER: &str = "wagtailshunt-call";

/// Body of a response. It describes the request, so that a test can detect a response to another
/// request.
#[derive(Serialize)]
struct ResponseBody<'a> {
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

/// Result of a request.
pub(super) enum Outcome {
    Response(Response<http::Body>),
    /// The target crashes without a response.
    Crash,
}

/// Handles a call that arrived on connection number `connection`.
pub(super) async fn respond(
    shared: state::SharedRef,
    connection: u64,
    request: Request<Incoming>,
) -> Outcome {
    if shared.draining.get() {
        shared.update_counters(|counters| counters.after_drain += 1);
    }
    block_if_frozen(&shared, connection).await;
    if shared.faults.borrow().fail_fast {
        shared.update_counters(|counters| counters.failed += 1);
        return Outcome::Response(plain_response(
            &shared,
            StatusCode::INTERNAL_SERVER_ERROR,
            "failed",
        ));
    }
    let call = request.headers().get(CALL_HEADER).cloned();
    let mut outcome = run(&shared, request).await;
    block_if_frozen(&shared, connection).await;
    if let Outcome::Response(response) = &mut outcome
        && let Some(call) = call.filter(|_| shared.config.returns_call_id)
    {
        response.headers_mut().insert(CALL_HEADER, call);
    }
    outcome
}

/// Does not return if the connection is frozen, so that it stays open without a response.
async fn block_if_frozen(shared: &state::SharedRef, connection: u64) {
    if connection <= shared.last_frozen_connection.get() {
        shared.update_counters(|counters| counters.frozen += 1);
        future::pending::<()>().await;
    }
}

async fn run(shared: &state::SharedRef, request: Request<Incoming>) -> Outcome {
    let arrived = time::Instant::now();
    let (head, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return Outcome::Response(plain_response(
            shared,
            StatusCode::BAD_REQUEST,
            "body ended early",
        ));
    };
    let body = body.to_bytes();
    if shared.take_refusal() {
        shared.update_counters(|counters| counters.shed += 1);
        return Outcome::Response(not_run_response(shared));
    }
    let Some(_slot) = take_slot(shared, &head.headers).await else {
        shared.update_counters(|counters| counters.shed += 1);
        return Outcome::Response(not_run_response(shared));
    };
    let key = header_text(&head.headers, KEY_HEADER);
    let run = Run::start(shared, key);
    if head.headers.contains_key(CRASH_HEADER) && shared.faults.borrow().crash_on_header {
        return Outcome::Crash;
    }
    compio::time::sleep(shared.service_time()).await;
    run.finish();
    shared.record_latency(arrived.elapsed());
    let padding = "x".repeat(shared.config.padding_bytes);
    let response = ResponseBody {
        target: shared.config.id.as_str(),
        incarnation: shared.incarnation.get().0,
        method: head.method.as_str(),
        path: head.uri.path_and_query().map_or("/", |path| path.as_str()),
        key,
        body_bytes: body.len(),
        body_crc32: crc32fast::hash(&body),
        padding: &padding,
    };
    let json = serde_json::to_vec(&response).unwrap_or_default();
    Outcome::Response(build_response(
        shared,
        StatusCode::OK,
        "application/json",
        json.into(),
    ))
}

/// Takes a slot. Returns `None` if the queue is full or the timeout of the request has passed.
async fn take_slot(shared: &state::SharedRef, headers: &HeaderMap) -> Option<super::slots::Slot> {
    let limit = header_text(headers, TIMEOUT_HEADER).and_then(|text| text.parse().ok());
    let Some(limit) = limit else {
        return shared.slots.take().await;
    };
    let limit = time::Duration::from_millis(limit);
    compio::time::timeout(limit, shared.slots.take())
        .await
        .ok()
        .flatten()
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// A running call. It counts as cancelled if it is dropped before [`Run::finish`].
struct Run {
    shared: state::SharedRef,
    key: Option<String>,
    finished: bool,
}

impl Run {
    fn start(shared: &state::SharedRef, key: Option<&str>) -> Run {
        shared.update_counters(|counters| counters.started += 1);
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
        self.shared.update_counters(|counters| match finished {
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

fn plain_response(
    shared: &state::SharedRef,
    status: StatusCode,
    text: &'static str,
) -> Response<http::Body> {
    build_response(
        shared,
        status,
        "text/plain",
        Bytes::from_static(text.as_bytes()),
    )
}

fn not_run_response(shared: &state::SharedRef) -> Response<http::Body> {
    let mut response = plain_response(shared, StatusCode::SERVICE_UNAVAILABLE, "not run");
    let marker = hyper::header::HeaderValue::from_static("1");
    response.headers_mut().insert(NOT_RUN_HEADER, marker);
    response
}

fn build_response(
    shared: &state::SharedRef,
    status: StatusCode,
    content_type: &'static str,
    body: Bytes,
) -> Response<http::Body> {
    let truncate = shared.faults.borrow().truncate;
    let body = if truncate {
        TruncatedBody::body(body)
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

/// A body that declares its full length, sends half of it and fails.
struct TruncatedBody {
    half: Option<Bytes>,
    declared: u64,
}

impl TruncatedBody {
    fn body(bytes: Bytes) -> http::Body {
        let declared = bytes.len() as u64;
        let half = Some(bytes.slice(..bytes.len() / 2));
        http::Body::Stream(Box::pin(TruncatedBody { half, declared }))
    }
}

impl hyper::body::Body for TruncatedBody {
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
