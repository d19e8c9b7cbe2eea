//! One attempt of a call at one target.

use std::{net, rc, time};

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{
    HeaderMap, Method, Request, StatusCode, Uri,
    body::Incoming,
    header::{self, HeaderValue},
    http::response,
};
use wagtailshunt_core::{placement, time as core_time, types};

use crate::{
    entry::{state, targets},
    http,
};

/// Longest time to open a connection: a target takes about 1 ms, and a lost first packet comes again
/// after a second, when another target is the better choice.
const CONNECT_LIMIT: time::Duration = time::Duration::from_millis(250);

/// Answers up to this size are read whole before they are passed on, so that one that breaks off
/// can be replaced by another target's.
const HELD_BYTES: usize = 256 * 1024;

/// A call that must not repeat goes only on connections that were in use this recently.
const FRESH: time::Duration = time::Duration::from_millis(1500);

/// What an attempt needs of its call.
pub struct Parts {
    pub request: HeaderValue,
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub repeatable: bool,
    /// When the caller or the route gives up.
    pub deadline: core_time::Instant,
    /// When the caller gives up.
    pub caller_deadline: core_time::Instant,
}

/// Where an attempt goes.
#[derive(Clone, Debug)]
pub struct Destination {
    pub target: types::TargetId,
    pub born: core_time::UnixMillis,
    pub address: net::SocketAddr,
}

/// A whole answer of a target, or its head with a body that is still arriving.
pub struct Answer {
    pub head: response::Parts,
    pub body: http::Body,
}

/// How an attempt ended.
pub enum End {
    /// The target answered.
    Answered(Answer),
    /// The target did not run the call.
    NotRun(String),
    /// The target may have run the call; there is no answer.
    Lost(String),
}

/// Counts a call at a target for as long as it lives.
struct Flight {
    state: rc::Rc<state::State>,
    target: types::TargetId,
    settled: bool,
}

impl Flight {
    fn begin(state: &rc::Rc<state::State>, target: &types::TargetId) -> Flight {
        state.with(|inner| inner.placement.started(target));
        Flight {
            state: state.clone(),
            target: target.clone(),
            settled: false,
        }
    }

    fn settle(&mut self, ended: placement::Outcome) {
        if std::mem::replace(&mut self.settled, true) {
            return;
        }
        let now = self.state.clock.now();
        let target = &self.target;
        let ejected = self
            .state
            .with(|inner| inner.placement.finished(now, target, ended));
        if ejected {
            let id = wagtailshunt_core::event::Id::TargetEjected;
            self.state.events.emit(id, &[("target", target)]);
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.settle(placement::Outcome::Cancelled);
    }
}

/// Sends the call to a target and reads its answer.
///
/// Dropping the future closes the connection, which cancels the call at the target.
pub async fn run(state: &rc::Rc<state::State>, parts: &Parts, to: Destination) -> End {
    let mut flight = Flight::begin(state, &to.target);
    let (client, answer) = match exchange(state, parts, &to).await {
        Ok(answered) => answered,
        Err(err) => {
            flight.settle(placement::Outcome::Failed);
            return match err.proves_not_run() {
                true => End::NotRun(err.to_string()),
                false => End::Lost(err.to_string()),
            };
        }
    };
    let (mut head, body) = answer.into_parts();
    note_load(state, &to.target, &head.headers);
    let dialect = &state.cfg.dialect;
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        flight.settle(placement::Outcome::Failed);
        misdirected(state, &to);
        return End::NotRun("another target has the address".to_owned());
    }
    if head.headers.contains_key(&dialect.not_run) {
        flight.settle(placement::Outcome::Shed);
        keep(state, to, client, &head.headers, body);
        return End::NotRun(format!("target refused with {}", head.status.as_u16()));
    }
    if head.headers.get(&dialect.request_id) != Some(&parts.request) {
        flight.settle(placement::Outcome::Failed);
        return End::Lost("answer belongs to another call".to_owned());
    }
    let digest = dialect.digest.as_ref();
    let signed = digest.is_none_or(|name| head.headers.contains_key(name));
    if head.status.is_success() && !signed {
        flight.settle(placement::Outcome::Failed);
        return End::Lost("success without a digest".to_owned());
    }
    let keep_alive = keep_alive(&head.headers);
    let closes = closes(&head.headers);
    let body = match hold(body).await {
        Ok(body) => body,
        Err(reason) => {
            flight.settle(placement::Outcome::Failed);
            return End::Lost(reason);
        }
    };
    flight.settle(ended(head.status));
    if let http::Body::Full(_) = body
        && !closes
    {
        put_back(state, &to, client, keep_alive);
    }
    http::strip_connection_fields(&mut head.headers);
    End::Answered(Answer { head, body })
}

fn ended(status: StatusCode) -> placement::Outcome {
    match status {
        // The work took longer than the caller had; the target is sound.
        StatusCode::GATEWAY_TIMEOUT => placement::Outcome::Cancelled,
        status if status.is_server_error() => placement::Outcome::Failed,
        _ => placement::Outcome::Answered,
    }
}

async fn exchange(
    state: &rc::Rc<state::State>,
    parts: &Parts,
    to: &Destination,
) -> Result<(http::Client, hyper::Response<Incoming>), http::ClientError> {
    let key = (to.target.clone(), to.born);
    let max_idle = match parts.repeatable {
        true => time::Duration::MAX,
        false => FRESH,
    };
    if let Some(mut client) = state.pool.take(state.clock.now(), &key, max_idle) {
        match client.send(request(state, parts, to)).await {
            Ok(answer) => return Ok((client, answer)),
            // The target closed the idle connection; nothing of the call was written.
            Err((err, _)) if err.proves_not_run() => {}
            Err((err, _)) => return Err(err),
        }
    }
    let mut client = connect(state, to).await?;
    match client.send(request(state, parts, to)).await {
        Ok(answer) => Ok((client, answer)),
        Err((err, _)) => Err(err),
    }
}

/// Opens a connection to a target.
pub async fn connect(
    state: &state::State,
    to: &Destination,
) -> Result<http::Client, http::ClientError> {
    let mut client = http::Client::connect(to.address, CONNECT_LIMIT, || {}).await?;
    state.metrics.connections.inc();
    match client.ready().await {
        true => Ok(client),
        false => Err(http::ClientError::NotSent),
    }
}

fn request(state: &state::State, parts: &Parts, to: &Destination) -> Request<http::Body> {
    let dialect = &state.cfg.dialect;
    let left = parts.deadline.since(state.clock.now());
    let mut req = Request::new(http::full(parts.body.clone()));
    *req.method_mut() = parts.method.clone();
    *req.uri_mut() = parts.uri.clone();
    *req.headers_mut() = parts.headers.clone();
    let headers = req.headers_mut();
    let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX).max(1);
    headers.insert(dialect.time_left_ms.clone(), HeaderValue::from(left));
    match HeaderValue::from_str(to.target.as_str()) {
        Ok(target) => {
            headers.insert(dialect.expected_target.clone(), target);
        }
        Err(err) => log::warn!("id of target {} can't be sent: {err}", to.target),
    }
    req
}

/// Reads a body whole when it is small; a larger one is passed on as it comes.
async fn hold(body: Incoming) -> Result<http::Body, String> {
    let size = hyper::body::Body::size_hint(&body);
    if size.lower() > HELD_BYTES as u64 {
        return Ok(http::Body::Incoming(body));
    }
    match Limited::new(body, HELD_BYTES * 16).collect().await {
        Ok(whole) => Ok(http::full(whole.to_bytes())),
        Err(err) if err.is::<LengthLimitError>() => {
            Err("answer of unknown length is too large".to_owned())
        }
        Err(err) => Err(format!("answer broke off: {err}")),
    }
}

/// Reads the rest of a refusal, so that the connection can be used again.
fn keep(
    state: &rc::Rc<state::State>,
    to: Destination,
    client: http::Client,
    headers: &HeaderMap,
    body: Incoming,
) {
    if closes(headers) {
        return;
    }
    let keep_alive = keep_alive(headers);
    let state = state.clone();
    compio::runtime::spawn(async move {
        if Limited::new(body, HELD_BYTES).collect().await.is_ok() {
            put_back(&state, &to, client, keep_alive);
        }
    })
    .detach();
}

fn put_back(
    state: &rc::Rc<state::State>,
    to: &Destination,
    mut client: http::Client,
    keep_alive: Option<time::Duration>,
) {
    let state = state.clone();
    let key = (to.target.clone(), to.born);
    compio::runtime::spawn(async move {
        if client.ready().await {
            state.pool.put(state.clock.now(), key, client, keep_alive);
        }
    })
    .detach();
}

/// Returns whether the sender closes the connection after this message.
pub fn closes(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    let mut texts = values.filter_map(|value| value.to_str().ok());
    texts.any(|text| text.to_ascii_lowercase().contains("close"))
}

/// Reads `timeout=N` of a `Keep-Alive` header.
pub fn keep_alive(headers: &HeaderMap) -> Option<time::Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    text.split(',').find_map(|part| {
        let (name, value) = part.split_once('=')?;
        let seconds = value.trim().parse().ok()?;
        (name.trim() == "timeout").then(|| time::Duration::from_secs(seconds))
    })
}

/// Notes the load that an answer carries; returns whether it does.
pub fn note_load(
    state: &rc::Rc<state::State>,
    target: &types::TargetId,
    headers: &HeaderMap,
) -> bool {
    let dialect = &state.cfg.dialect;
    let text = http::text(headers, &dialect.load);
    let load = text.and_then(dialect.parse_load);
    if let Some(load) = load {
        targets::load_seen(state, target, load);
    }
    load.is_some()
}

/// Forgets a target whose address another one has.
fn misdirected(state: &state::State, to: &Destination) {
    let life = wagtailshunt_core::fleet::TargetIncarnation {
        target: to.target.clone(),
        born: to.born,
    };
    state.with(|inner| {
        inner.directory.remove(&life);
        inner.placement.remove(&to.target);
    });
    let reason: &dyn std::fmt::Display = &"another target answers at its address";
    let id = wagtailshunt_core::event::Id::TargetLeft;
    let target: &dyn std::fmt::Display = &to.target;
    state
        .events
        .emit(id, &[("target", target), ("reason", reason)]);
}
