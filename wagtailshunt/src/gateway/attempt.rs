//! Runs one attempt of a call at one target: checks out a connection, sends the request, and checks
//! that the response belongs to the call. Also sends the load probes that the balancer requests.

use std::{rc, time};

use futures_util::future;
use hyper::{Method, Request, Response, Uri, Version, body::Incoming, header, http::response};
use wagtailshunt_core::{
    balance, connection, containment, deadline, event, outcome, time as core_time,
};

use crate::{
    gateway::{call, headers, isolation, service, state, upstream},
    http,
};

/// Longest time to open a connection; targets take about 1 ms.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Response of a target whose body has not been read yet.
pub struct TargetResponse {
    pub head: response::Parts,
    pub body: Incoming,
    pub in_flight: InFlight,
    /// Whether the target marked the call as not run.
    pub not_run: bool,
    /// Whether a proxy or target behind this gateway has already retried the call.
    pub retried_below: bool,
}

/// An attempt that failed without a response.
pub struct AttemptError {
    pub reason: outcome::Reason,
    /// Whether the failure proves that the target did not run the call.
    pub proves_not_run: bool,
    /// Whether nothing was sent because no connection was free or the target had just closed the
    /// pooled one.
    pub unsent: bool,
    /// Whether the connection became unresponsive and the call may use another one.
    pub silent: bool,
    pub detail: String,
}

/// An attempt in flight. Holds its connection and its entry in the balancer; dropping it before
/// [`InFlight::finish`] cancels the attempt.
pub struct InFlight {
    pub service: rc::Rc<service::Service>,
    pub target: rc::Rc<service::Target>,
    pub key: balance::TargetKey,
    pub busy: Option<connection::Busy<upstream::Upstream>>,
    started: core_time::Instant,
    clock: crate::clock::Clock,
    pub report: Option<balance::LoadReport>,
    finished: bool,
    /// Observer of the connection and time of sending, once the call was sent.
    dispatched: Option<(rc::Rc<isolation::ConnectionObserver>, core_time::Instant)>,
    call: u64,
    fingerprint: containment::Fingerprint,
    method: Method,
    uri: Uri,
}

impl InFlight {
    fn start(
        state: &state::State,
        call: &call::Call,
        key: balance::TargetKey,
        target: rc::Rc<service::Target>,
    ) -> Self {
        let now = state.now();
        call.service.balancer.borrow_mut().started(now, key);
        InFlight {
            service: call.service.clone(),
            target,
            key,
            busy: None,
            started: now,
            clock: state.clock,
            report: None,
            finished: false,
            dispatched: None,
            call: call.id,
            fingerprint: call.fingerprint,
            method: call.method.clone(),
            uri: call.uri.clone(),
        }
    }

    /// Records that the target closed the connection before the response was complete.
    pub fn record_broken_connection(&self) {
        if let Some((observer, _)) = &self.dispatched {
            let label = isolation::request_label(&self.service.name, &self.method, &self.uri);
            let suspect = containment::Suspect {
                fingerprint: self.fingerprint,
                label,
            };
            observer.closed_before_response(self.call, suspect);
        }
    }

    /// Reports the result of the attempt to the balancer and returns the connection to its pool.
    pub fn finish(&mut self, outcome: balance::Outcome) {
        if std::mem::replace(&mut self.finished, true) {
            return;
        }
        let now = self.clock.now();
        let latency = now.since(self.started);
        let call_result = balance::CallResult {
            latency,
            outcome,
            report: self.report,
        };
        self.service
            .balancer
            .borrow_mut()
            .finished(now, self.key, &call_result);
        if outcome == balance::Outcome::Ok {
            self.service.hedger.borrow_mut().record(latency);
        }
        let busy = self.busy.take();
        let complete = busy
            .as_ref()
            .is_some_and(|busy| busy.exchange().is_complete());
        if let Some((observer, started)) = self.dispatched.take() {
            observer.call_finished(self.call, self.fingerprint, started, complete);
        }
        let Some(busy) = busy else {
            return;
        };
        let mut pool = self.target.pool.borrow_mut();
        // A connection that the pool does not keep is closed by dropping it.
        drop(pool.check_in(now, busy));
        while pool.poll_closed().is_some() {}
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if !self.finished {
            self.busy.take();
            self.finish(balance::Outcome::Cancelled);
        }
    }
}

/// Sends the call to a target and waits for the head of its response.
pub async fn run(
    state: &rc::Rc<state::State>,
    call: &call::Call,
    body: &mut call::CallBody,
    key: balance::TargetKey,
    target: rc::Rc<service::Target>,
    number: u32,
    isolated: bool,
) -> Result<TargetResponse, AttemptError> {
    let mut in_flight = InFlight::start(state, call, key, target);
    let result = exchange(state, call, body, number, &mut in_flight, isolated).await;
    match result {
        Ok(response) => Ok(accept_response(state, call, response, in_flight)?),
        Err((failed, outcome)) => {
            in_flight.busy.take();
            in_flight.finish(outcome);
            process_balancer_outputs(state, &call.service);
            Err(failed)
        }
    }
}

type ErrorWithOutcome = (AttemptError, balance::Outcome);

async fn exchange(
    state: &rc::Rc<state::State>,
    call: &call::Call,
    body: &mut call::CallBody,
    number: u32,
    in_flight: &mut InFlight,
    isolated: bool,
) -> Result<Response<Incoming>, ErrorWithOutcome> {
    let Some(timeout) = call
        .deadline
        .forwarded_timeout(state.now(), call::RESPONSE_RESERVE)
    else {
        return Err(not_sent(outcome::Reason::DeadlineUnreachable, ""));
    };
    in_flight.busy = Some(check_out(state, call, &in_flight.target, isolated).await?);
    let req = build_request(state, call, body.take(), number, timeout);
    let Some(busy) = in_flight.busy.as_mut() else {
        return Err(not_sent(outcome::Reason::ConnectFailed, ""));
    };
    busy.exchange_mut().request_started();
    let sent = state.now();
    in_flight.dispatched = Some((busy.conn_mut().observer.clone(), sent));
    if let Some((observer, _)) = &in_flight.dispatched {
        observer.call_started();
    }
    let progress = connection::CallProgress {
        idempotent: call.idempotent,
        last_progress: sent,
        deadline: call.deadline.0,
        response_started: false,
        reconnects: 0,
    };
    let mut send = std::pin::pin!(busy.conn_mut().send(req));
    loop {
        let decision =
            connection::check_silence(state.now(), &progress, &in_flight.target.health.borrow());
        let wait_until = match decision {
            connection::Decision::Wait(at) | connection::Decision::WaitForDeadline(at) => at,
            connection::Decision::Reconnect => {
                in_flight.target.health.borrow_mut().record_silence();
                in_flight
                    .target
                    .pool
                    .borrow_mut()
                    .close_unconfirmed_since(sent);
                state.events.emit(
                    event::Id::ConnectionSilent,
                    &[("target", &in_flight.target.id), ("call", &call.id)],
                );
                return Err((
                    AttemptError {
                        silent: true,
                        ..timed_out()
                    },
                    balance::Outcome::Timeout,
                ));
            }
            connection::Decision::Unknown | connection::Decision::Abort => {
                return Err((timed_out(), balance::Outcome::Timeout));
            }
        };
        let timer = std::pin::pin!(state.clock.sleep_until(wait_until));
        match future::select(send.as_mut(), timer).await {
            future::Either::Left((Ok(response), _)) => return Ok(response),
            future::Either::Left((Err((err, unsent)), _)) => {
                if let Some(unsent) = unsent {
                    body.restore(unsent);
                }
                if let (upstream::Error::Broken(_), Some((observer, _))) =
                    (&err, &in_flight.dispatched)
                {
                    observer.closed_before_response(call.id, isolation::suspect(call));
                }
                return Err(send_error(&err));
            }
            future::Either::Right(_) => {}
        }
    }
}

fn not_sent(reason: outcome::Reason, detail: impl Into<String>) -> ErrorWithOutcome {
    let failed = AttemptError {
        reason,
        proves_not_run: true,
        silent: false,
        unsent: false,
        detail: detail.into(),
    };
    (failed, balance::Outcome::Cancelled)
}

fn timed_out() -> AttemptError {
    AttemptError {
        reason: outcome::Reason::TimedOut,
        proves_not_run: false,
        silent: false,
        unsent: false,
        detail: String::new(),
    }
}

fn send_error(err: &upstream::Error) -> ErrorWithOutcome {
    let proves_not_run = err.proves_not_run();
    let reason = match proves_not_run {
        true => outcome::Reason::ConnectFailed,
        false => outcome::Reason::ConnectionBroken,
    };
    let failed = AttemptError {
        reason,
        proves_not_run,
        silent: false,
        unsent: matches!(err, upstream::Error::NotSent),
        detail: err.to_string(),
    };
    // A target may close an idle pooled connection at any time, so this is not counted as an error
    // of the target.
    let outcome = match err {
        upstream::Error::NotSent => balance::Outcome::Cancelled,
        _ => balance::Outcome::Error,
    };
    (failed, outcome)
}

/// Takes a connection from the pool or opens one.
async fn check_out(
    state: &rc::Rc<state::State>,
    call: &call::Call,
    target: &service::Target,
    isolated: bool,
) -> Result<connection::Busy<upstream::Upstream>, ErrorWithOutcome> {
    let purpose = match (isolated, call.idempotent) {
        (true, _) => connection::Purpose::Isolated,
        (false, true) => connection::Purpose::Idempotent,
        (false, false) => connection::Purpose::NotIdempotent,
    };
    let now = state.now();
    let check_out = target
        .pool
        .borrow_mut()
        .check_out(now, purpose, call.id, |conn| conn.is_usable());
    let connecting = match check_out {
        connection::CheckOut::Busy(busy) => return Ok(busy),
        connection::CheckOut::Full => {
            let (failed, outcome) = not_sent(outcome::Reason::Overloaded, "no connection is free");
            return Err((
                AttemptError {
                    unsent: true,
                    ..failed
                },
                outcome,
            ));
        }
        connection::CheckOut::Open(connecting) => connecting,
    };
    let timeout = call.deadline.remaining(now).min(CONNECT_TIMEOUT);
    match connect(state, target, timeout).await {
        Ok(conn) => Ok(connecting.opened(state.now(), conn, call.id)),
        Err(err) => {
            connecting.failed();
            state
                .isolation
                .with(|gateway| gateway.connect_failed(now, &target.identity));
            isolation::send_outputs(state);
            let (failed, _) = send_error(&err);
            Err((failed, balance::Outcome::Error))
        }
    }
}

async fn connect(
    state: &rc::Rc<state::State>,
    target: &service::Target,
    timeout: time::Duration,
) -> Result<upstream::Upstream, upstream::Error> {
    let mut conn = upstream::Upstream::connect(state, target, timeout).await?;
    match conn.ready().await {
        true => Ok(conn),
        false => Err(upstream::Error::NotSent),
    }
}

fn build_request(
    state: &state::State,
    call: &call::Call,
    body: http::Body,
    number: u32,
    timeout: deadline::TimeoutMs,
) -> Request<http::Body> {
    let mut req = Request::new(body);
    *req.method_mut() = call.method.clone();
    *req.uri_mut() = call.uri.clone();
    let map = req.headers_mut();
    *map = call.headers.clone();
    headers::strip_connection_fields(map);
    map.insert(headers::TIMEOUT_MS, header::HeaderValue::from(timeout.0));
    map.insert(headers::ATTEMPT, header::HeaderValue::from(number));
    if let Ok(value) = header::HeaderValue::from_str(&call_id(state, call)) {
        map.insert(headers::CALL, value);
    }
    req
}

/// Returns the id of a call that is sent to targets: VM, incarnation and number.
fn call_id(state: &state::State, call: &call::Call) -> String {
    format!("{}-{}-{}", state.cfg.vm, state.incarnation, call.id)
}

/// Checks that the response belongs to the call and that its framing marks the end of the body.
fn accept_response(
    state: &state::State,
    call: &call::Call,
    response: Response<Incoming>,
    mut in_flight: InFlight,
) -> Result<TargetResponse, AttemptError> {
    let (head, body) = response.into_parts();
    in_flight.report = headers::header_text(&head.headers, &headers::LOAD)
        .and_then(|value| balance::LoadReport::parse(value).ok());
    let now = state.now();
    let latency = now.since(in_flight.started);
    in_flight
        .target
        .health
        .borrow_mut()
        .record_latency(now, latency);
    if let Err(detail) = check_response(state, call, &head, &mut in_flight) {
        state.events.emit(
            event::Id::ConnectionDestroyed,
            &[("target", &in_flight.target.id), ("reason", &detail)],
        );
        in_flight.busy.take();
        in_flight.finish(balance::Outcome::Error);
        return Err(AttemptError {
            reason: outcome::Reason::ConnectionBroken,
            proves_not_run: false,
            silent: false,
            unsent: false,
            detail: detail.to_owned(),
        });
    }
    let marker = headers::header_text(&head.headers, &headers::NOT_RUN);
    Ok(TargetResponse {
        not_run: marker.is_some_and(outcome::is_not_run_marker),
        retried_below: head.headers.contains_key(&headers::RETRIED),
        head,
        body,
        in_flight,
    })
}

fn check_response(
    state: &state::State,
    call: &call::Call,
    head: &response::Parts,
    in_flight: &mut InFlight,
) -> Result<(), &'static str> {
    let echo = headers::header_text(&head.headers, &headers::CALL);
    let echoed = match echo {
        Some(echo) if echo == call_id(state, call) => Some(call.id),
        Some(_) => return Err("answer of another call"),
        None if in_flight.target.echoes_call_id.get() => return Err("answer without the call id"),
        None => None,
    };
    in_flight.target.echoes_call_id.set(echoed.is_some());
    let length = body_length(call, head);
    if length == connection::BodyLength::UntilClose {
        return Err("the end of the answer is not marked");
    }
    let received_head = connection::Head {
        echoed_call: echoed,
        length,
        // A late copy of a response without a call id would count as the response to the next call
        // on the connection.
        keep_alive: is_keep_alive(head) && echoed.is_some(),
    };
    let Some(busy) = in_flight.busy.as_mut() else {
        return Ok(());
    };
    // hyper makes the connection ready again only after the whole request was written, so it is not
    // reused before that.
    busy.exchange_mut().request_complete();
    busy.exchange_mut()
        .head(&received_head)
        .map_err(|_| "answer out of order")
}

fn body_length(call: &call::Call, head: &response::Parts) -> connection::BodyLength {
    let status = head.status.as_u16();
    if call.method == Method::HEAD || status == 204 || status == 304 || status < 200 {
        return connection::BodyLength::Empty;
    }
    if head.headers.contains_key(header::TRANSFER_ENCODING) {
        return connection::BodyLength::Chunked;
    }
    let length = headers::header_text(&head.headers, &header::CONTENT_LENGTH);
    match length.and_then(|length| length.parse().ok()) {
        Some(length) => connection::BodyLength::Known(length),
        None => connection::BodyLength::UntilClose,
    }
}

fn is_keep_alive(head: &response::Parts) -> bool {
    let connection = headers::header_text(&head.headers, &header::CONNECTION).unwrap_or_default();
    let has_option = |option: &str| {
        connection
            .split(',')
            .any(|n| n.trim().eq_ignore_ascii_case(option))
    };
    match head.version {
        Version::HTTP_11 => !has_option("close"),
        _ => false,
    }
}

/// Processes the outputs of the balancer: starts probes and records ejections.
pub fn process_balancer_outputs(state: &rc::Rc<state::State>, service: &rc::Rc<service::Service>) {
    loop {
        let output = service.balancer.borrow_mut().poll_output();
        match output {
            None => return,
            Some(balance::Output::Probe { key }) => start_probe(state, service, key),
            Some(balance::Output::Ejected { key }) => {
                emit_target_event(state, service, key, event::Id::TargetEjected);
            }
            Some(balance::Output::Restored { key }) => {
                emit_target_event(state, service, key, event::Id::TargetRestored);
            }
        }
    }
}

fn emit_target_event(
    state: &state::State,
    service: &service::Service,
    key: balance::TargetKey,
    id: event::Id,
) {
    if let Some(target) = service.target(key) {
        state
            .events
            .emit(id, &[("service", &service.name), ("target", &target.id)]);
    }
}

/// Starts a probe: a GET request to `/wagtailshunt/load` on a separate connection.
fn start_probe(
    state: &rc::Rc<state::State>,
    service: &rc::Rc<service::Service>,
    key: balance::TargetKey,
) {
    let Some(target) = service.target(key) else {
        return;
    };
    state.metrics.probes.inc();
    let service = service.clone();
    let state = state.clone();
    compio::runtime::spawn(async move {
        let probe = compio::time::timeout(CONNECT_TIMEOUT, probe(&state, &target));
        if let Ok(Some(report)) = probe.await {
            service
                .balancer
                .borrow_mut()
                .probe_answered(state.now(), key, &report);
        }
    })
    .detach();
}

async fn probe(
    state: &rc::Rc<state::State>,
    target: &service::Target,
) -> Option<balance::LoadReport> {
    let mut conn = connect(state, target, CONNECT_TIMEOUT).await.ok()?;
    let req = Request::builder()
        .method(Method::GET)
        .uri("/wagtailshunt/load")
        .header(header::HOST, target.address.to_string())
        .body(http::empty())
        .ok()?;
    let response = conn.send(req).await.ok()?;
    let value = headers::header_text(response.headers(), &headers::LOAD)?;
    balance::LoadReport::parse(value).ok()
}
