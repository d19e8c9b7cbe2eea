//! Runs calls with an idempotency key: claims the key in the ledger, sends the call, and returns
//! the response after the ledger has stored it. A resend of a completed call gets the stored
//! response.

use std::{rc, time};

use bytes::Bytes;
use futures_channel::oneshot;
use http_body_util::{BodyExt, Limited};
use hyper::{Response, StatusCode, body::Incoming, header, http::response};
use wagtailshunt_core::{containment, event, ledger, ledger::claim, outcome};

use crate::{
    gateway::{call, control_link, headers, isolation, refusal::Refusal, state},
    http,
};

/// Largest request body of a keyed call in bytes. The body is buffered before the claim, so that
/// its digest, which detects reuse of the key for a different request, is durable before the call
/// is sent.
const MAX_REQUEST_BYTES: usize = 64 * 1024;

/// Largest response body of a keyed call in bytes; it is buffered until it is committed.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Time after the caller's deadline in which a response is still committed; the claim of the call
/// expires at its end.
const COMMIT_GRACE: time::Duration = time::Duration::from_secs(2);

/// Time in which the release or failure of a claim is sent to the ledger. The claim expires after
/// that.
const RELEASE_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Runs a keyed call. It continues when the caller disconnects, so that a resend gets the result.
pub async fn run(
    state: &rc::Rc<state::State>,
    mut call: call::Call,
    body: Incoming,
    admission: call::AdmissionGuard,
) -> Result<Response<http::Body>, Refusal> {
    let (tx, rx) = oneshot::channel();
    let task_state = state.clone();
    compio::runtime::spawn(async move {
        let result = claim_and_run(&task_state, &mut call, body, admission).await;
        // The caller may have disconnected; the result is stored for a resend.
        let _ = tx.send(result);
    })
    .detach();
    let unknown = || Refusal::unknown(outcome::Reason::KeyUnknown);
    rx.await.unwrap_or_else(|_| Err(unknown()))
}

async fn claim_and_run(
    state: &rc::Rc<state::State>,
    call: &mut call::Call,
    body: Incoming,
    admission: call::AdmissionGuard,
) -> Result<Response<http::Body>, Refusal> {
    let earlier = outcome::EarlierAttempts::from_headers(true, call.declared_attempt);
    let key = parse_key(state, call).map_err(|refusal| refusal.with_earlier(earlier))?;
    let bytes = read_body(body)
        .await
        .map_err(|refusal| refusal.with_earlier(earlier))?;
    let path = call.uri.path_and_query().map_or("/", |path| path.as_str());
    let digest = ledger::Digest::of_request(
        call.service.name.as_str(),
        call.method.as_str(),
        path,
        &bytes,
    );
    call.fingerprint = isolation::fingerprint(
        call.service.name.as_str(),
        call.method.as_str(),
        path,
        Some(containment::Identity::Key(key)),
    );
    let call = &*call;
    let holder = ledger::Holder {
        vm: state.cfg.vm,
        incarnation: state.incarnation,
        claim: call.id,
    };
    let claim = claim::Claim::new(key, digest, holder, call.deadline.0);
    match claim_key(state, call, claim).await? {
        ClaimResult::Granted(granted) => dispatch(state, call, bytes, granted, admission).await,
        ClaimResult::Replay(stored) => {
            state.metrics.replayed.inc();
            state.events.emit(event::Id::CallReplayed, &[("key", &key)]);
            replay(stored)
        }
    }
}

fn parse_key(state: &state::State, call: &call::Call) -> Result<ledger::Key, Refusal> {
    let values = call
        .headers
        .get_all(&headers::IDEMPOTENCY_KEY)
        .iter()
        .count();
    let text =
        headers::header_text(&call.headers, &headers::IDEMPOTENCY_KEY).filter(|_| values == 1);
    let invalid =
        |detail: String| Refusal::not_run(outcome::Reason::KeyInvalid).with_detail(detail);
    let text = text.ok_or_else(|| invalid("exactly one key is required".to_owned()))?;
    let key = ledger::Key::parse(text).map_err(|err| invalid(err.to_string()))?;
    let max_skew_ms = u64::try_from(ledger::MAX_FUTURE_SKEW.as_millis()).unwrap_or(u64::MAX);
    if key.created().0 > state.clock.wall().0.saturating_add(max_skew_ms) {
        return Err(Refusal::not_run(outcome::Reason::KeyFromFuture));
    }
    Ok(key)
}

/// Reads the whole body, so that nothing runs if the caller disconnects before its end.
async fn read_body(body: Incoming) -> Result<Bytes, Refusal> {
    match Limited::new(body, MAX_REQUEST_BYTES).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(err) if err.is::<http_body_util::LengthLimitError>() => {
            Err(Refusal::not_run(outcome::Reason::BodyTooLarge))
        }
        Err(err) => Err(Refusal::not_run(outcome::Reason::BadRequest).with_detail(err.to_string())),
    }
}

enum ClaimResult {
    Granted(claim::Claim<claim::Granted>),
    Replay(ledger::StoredResponse),
}

/// Requests the claim until it is granted, refused or already completed, or the deadline is near.
async fn claim_key(
    state: &rc::Rc<state::State>,
    call: &call::Call,
    claim: claim::Claim<claim::Requested>,
) -> Result<ClaimResult, Refusal> {
    let earlier = outcome::EarlierAttempts::from_headers(true, call.declared_attempt);
    let until = call.deadline.0.saturating_sub(call::RESPONSE_RESERVE);
    loop {
        let request = claim.request(state.now());
        match control_link::request_ledger(state, &request, until).await {
            Some(ledger::ServiceReply::Reply(reply)) => match claim.handle_reply(&reply) {
                claim::ClaimDecision::Granted(granted) => {
                    state
                        .events
                        .emit(event::Id::ClaimGranted, &[("key", &granted.key())]);
                    return Ok(ClaimResult::Granted(granted));
                }
                claim::ClaimDecision::Replay(stored) => return Ok(ClaimResult::Replay(stored)),
                claim::ClaimDecision::Refused(reason, outcome) => {
                    return Err(Refusal {
                        outcome,
                        ..Refusal::not_run(reason)
                    });
                }
                claim::ClaimDecision::Waiting(waiting) => {
                    // The ledger replies that the first run is still in progress when the deadline
                    // of the resend is reached; the first run may still complete.
                    abandon_claim(state, waiting);
                    return Err(Refusal::unknown(outcome::Reason::KeyRunning));
                }
            },
            Some(ledger::ServiceReply::Busy) => {
                abandon_claim(state, claim);
                return Err(Refusal::not_run(outcome::Reason::Overloaded).with_earlier(earlier));
            }
            Some(ledger::ServiceReply::NotLeader) => {
                // The leader has changed; the same request is sent to the next one.
                compio::time::sleep(control_link::LEDGER_RETRY_INTERVAL).await;
            }
            None => {
                abandon_claim(state, claim);
                let refusal = Refusal::not_run(outcome::Reason::LedgerUnavailable);
                return Err(refusal.with_earlier(earlier));
            }
        }
    }
}

fn abandon_claim(state: &rc::Rc<state::State>, claim: claim::Claim<claim::Requested>) {
    let request = claim.abandon(&mut state.late_grants.borrow_mut());
    notify_ledger(state, request);
}

/// Sends the release or failure of a claim to the ledger in the background.
pub fn notify_ledger(state: &rc::Rc<state::State>, request: ledger::Request) {
    let state = state.clone();
    let until = state.now() + RELEASE_TIMEOUT;
    compio::runtime::spawn(async move {
        control_link::request_ledger(&state, &request, until).await;
    })
    .detach();
}

async fn dispatch(
    state: &rc::Rc<state::State>,
    call: &call::Call,
    bytes: Bytes,
    granted: claim::Claim<claim::Granted>,
    admission: call::AdmissionGuard,
) -> Result<Response<http::Body>, Refusal> {
    let dispatched = match granted.dispatch(state.now()) {
        Ok(dispatched) => dispatched,
        Err(granted) => {
            let request = granted.release(&mut state.late_grants.borrow_mut());
            notify_ledger(state, request);
            return Err(Refusal::not_run(outcome::Reason::DeadlineUnreachable));
        }
    };
    let body = call::CallBody::Bytes(bytes);
    match call::forward(state, call, body, admission).await {
        Ok(response) if response.headers().contains_key(&headers::NOT_RUN) => {
            let attempt = outcome::AttemptResult::Answered {
                not_run_marker: true,
            };
            release_key(state, dispatched, attempt);
            Ok(response)
        }
        Ok(response) => commit(state, call, dispatched, response).await,
        Err(refusal) if refusal.outcome == outcome::Outcome::NotRun => {
            release_key(state, dispatched, outcome::AttemptResult::NotSent);
            Err(refusal)
        }
        Err(refusal) => {
            fail_claim(state, dispatched);
            Err(refusal)
        }
    }
}

/// Releases the key after proof that the call did not run.
fn release_key(
    state: &rc::Rc<state::State>,
    dispatched: claim::Claim<claim::Dispatched>,
    attempt: outcome::AttemptResult,
) {
    let request = match outcome::NotRunProof::of(attempt) {
        Some(proof) => dispatched.not_run(proof, &mut state.late_grants.borrow_mut()),
        None => dispatched.fail(),
    };
    notify_ledger(state, request);
}

fn fail_claim(state: &rc::Rc<state::State>, dispatched: claim::Claim<claim::Dispatched>) {
    state
        .events
        .emit(event::Id::ClaimUnknown, &[("key", &dispatched.key())]);
    notify_ledger(state, dispatched.fail());
}

/// Commits the response to the ledger and returns it once it is durable.
async fn commit(
    state: &rc::Rc<state::State>,
    call: &call::Call,
    dispatched: claim::Claim<claim::Dispatched>,
    response: Response<http::Body>,
) -> Result<Response<http::Body>, Refusal> {
    let (head, body) = response.into_parts();
    let body = match http::read_whole(body, MAX_RESPONSE_BYTES).await {
        Ok(body) => Some(body),
        // The call ran, but its response is too large to store.
        Err(http::ReadError::TooLong) => None,
        Err(err) => {
            fail_claim(state, dispatched);
            let refusal = Refusal::unknown(outcome::Reason::ConnectionBroken);
            return Err(refusal.with_detail(err.to_string()));
        }
    };
    let key = dispatched.key();
    let completing = dispatched.completed(stored_response(&head, body));
    let until = call.deadline.0 + COMMIT_GRACE;
    let reply = control_link::request_ledger(state, &completing.request(), until).await;
    let Some(ledger::ServiceReply::Reply(reply)) = reply else {
        state.events.emit(event::Id::ClaimUnknown, &[("key", &key)]);
        return Err(Refusal::unknown(outcome::Reason::LedgerUnavailable));
    };
    match completing.handle_reply(&reply) {
        claim::CommitResult::Response(stored) => {
            state
                .events
                .emit(event::Id::ClaimCompleted, &[("key", &key)]);
            rebuild_response(stored)
        }
        claim::CommitResult::Unknown => {
            state.events.emit(event::Id::ClaimUnknown, &[("key", &key)]);
            Err(Refusal::unknown(outcome::Reason::KeyUnknown))
        }
    }
}

fn stored_response(head: &response::Parts, body: Option<Bytes>) -> ledger::StoredResponse {
    let headers = head
        .headers
        .iter()
        .filter(|(name, _)| !is_regenerated_field(name))
        .map(|(name, value)| (name.to_string(), Bytes::copy_from_slice(value.as_bytes())))
        .collect();
    ledger::StoredResponse {
        status: head.status.as_u16(),
        headers,
        body,
    }
}

/// Returns whether a header field is generated for each response and therefore not stored.
fn is_regenerated_field(name: &header::HeaderName) -> bool {
    matches!(
        *name,
        header::CONTENT_LENGTH | header::TRANSFER_ENCODING | header::DATE
    )
}

/// Returns the stored response of the first run for a resend.
fn replay(stored: ledger::StoredResponse) -> Result<Response<http::Body>, Refusal> {
    let mut response = rebuild_response(stored)?;
    let value = header::HeaderValue::from_static("completed");
    response.headers_mut().insert("wagtailshunt-outcome", value);
    Ok(response)
}

fn rebuild_response(stored: ledger::StoredResponse) -> Result<Response<http::Body>, Refusal> {
    let Some(body) = stored.body else {
        return Err(Refusal {
            outcome: outcome::Outcome::Completed,
            ..Refusal::not_run(outcome::Reason::AnswerNotStored)
        });
    };
    let mut response = Response::new(http::full(body));
    *response.status_mut() = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    for (name, value) in stored.headers {
        let name = header::HeaderName::from_bytes(name.as_bytes());
        let value = header::HeaderValue::from_maybe_shared(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    Ok(response)
}
