//! Handles one call of a caller: checks, routes and admits the request, then sends it to targets
//! with retries and hedging until one responds or the call is refused.

use std::{net, rc, time};

use bytes::Bytes;
use futures_util::future;
use hyper::{HeaderMap, Method, Request, Response, Uri, body::Body as _, body::Incoming};
use wagtailshunt_core::{
    admission, balance, connection, containment, deadline, event, outcome, records, retry, types,
};

use crate::{
    gateway::{attempt, headers, isolation, keyed, refusal::Refusal, response, service, state},
    http,
};

/// Part of the time until the caller's deadline that is reserved for returning the response.
pub const RESPONSE_RESERVE: time::Duration = time::Duration::from_millis(1);

/// Maximum number of attempts that found no usable connection. They cause no load on targets, so
/// they do not count as retries.
const MAX_UNSENT_ATTEMPTS: u32 = 3;

/// Request body of a call. The variant decides whether the body can be sent again.
pub enum CallBody {
    /// No body.
    Empty,
    /// A body that is buffered completely and can be sent any number of times.
    Bytes(Bytes),
    /// A stream that can be sent once; `None` after it was taken.
    Stream(Option<Incoming>),
}

/// A call that has been routed to a service.
pub struct Call {
    pub id: u64,
    pub service: rc::Rc<service::Service>,
    pub spec: rc::Rc<records::ServiceSpec>,
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub deadline: deadline::Deadline,
    /// Number of the first attempt that the gateway makes.
    pub attempt: retry::AttemptNumber,
    /// Attempt number that the caller sent, if any.
    pub declared_attempt: Option<u32>,
    pub idempotent: bool,
    /// Whether the call carries an idempotency key and its method is not idempotent.
    pub keyed: bool,
    pub caller: net::IpAddr,
    /// Identifies equal requests, to recognise one that crashes targets.
    pub fingerprint: containment::Fingerprint,
}

/// Ends the admission of a call when dropped, or removes the call from the queue.
pub struct AdmissionGuard {
    state: rc::Rc<state::State>,
    id: admission::CallId,
    pub succeeded: bool,
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        self.state.release_admission(self.id, self.succeeded);
    }
}

/// Handles a request of a caller and returns the response or a problem document.
pub async fn handle(
    state: rc::Rc<state::State>,
    req: Request<Incoming>,
    peer: net::SocketAddr,
) -> Response<http::Body> {
    state.metrics.calls.inc();
    match run(&state, req, peer).await {
        Ok(response) => response,
        Err(refusal) => {
            record_refusal(&state, &refusal);
            refusal.to_response()
        }
    }
}

fn record_refusal(state: &state::State, refusal: &Refusal) {
    let outcome = refusal.outcome;
    state
        .metrics
        .refused
        .with_label_values(&[outcome.to_string().as_str()])
        .inc();
    let id = match outcome {
        outcome::Outcome::NotRun => event::Id::CallRefused,
        outcome::Outcome::Unknown => event::Id::CallUnknown,
        outcome::Outcome::Completed => event::Id::CallReplayed,
    };
    // Under overload, thousands of calls are refused; the metric counts them instead.
    if outcome != outcome::Outcome::NotRun || log::log_enabled!(log::Level::Debug) {
        state.events.emit(
            id,
            &[
                ("reason", &refusal.reason.title()),
                ("detail", &refusal.detail),
            ],
        );
    }
}

async fn run(
    state: &rc::Rc<state::State>,
    req: Request<Incoming>,
    peer: net::SocketAddr,
) -> Result<Response<http::Body>, Refusal> {
    if let Err(err) = headers::check_head(&req) {
        state.events.emit(
            event::Id::RequestRejected,
            &[("caller", &peer), ("reason", &err)],
        );
        return Err(Refusal::not_run(outcome::Reason::BadRequest).with_detail(err.to_string()));
    }
    let (call, body) = route(state, req, peer)?;
    let earlier = outcome::EarlierAttempts::from_headers(call.keyed, call.declared_attempt);
    if state.may_outlast_stop(call.deadline) {
        return Err(Refusal::not_run(outcome::Reason::Stopping).with_earlier(earlier));
    }
    let admission = admit(state, &call)
        .await
        .map_err(|refusal| refusal.with_earlier(earlier))?;
    if call.keyed {
        return keyed::run(state, call, body, admission).await;
    }
    let body = request_body(body);
    forward(state, &call, body, admission)
        .await
        .map_err(|refusal| refusal.with_earlier(earlier))
}

fn request_body(body: Incoming) -> CallBody {
    match body.is_end_stream() {
        true => CallBody::Empty,
        false => CallBody::Stream(Some(body)),
    }
}

/// Finds the service of a request and parses its protocol headers.
fn route(
    state: &rc::Rc<state::State>,
    req: Request<Incoming>,
    peer: net::SocketAddr,
) -> Result<(Call, Incoming), Refusal> {
    let now = state.now();
    let host = headers::header_text(req.headers(), &hyper::header::HOST).unwrap_or_default();
    let service = state.with(|inner| {
        if !inner.holder.serving(now) {
            return Err(Refusal::not_run(outcome::Reason::NoLease));
        }
        let name = inner.table.lookup(host, req.uri().path());
        let service = name.and_then(|name| inner.services.get(name));
        service
            .cloned()
            .ok_or(Refusal::not_run(outcome::Reason::NoService))
    })?;
    let spec = service.spec();
    let (parts, body) = req.into_parts();
    let timeout = parse_header(
        &parts.headers,
        &headers::TIMEOUT_MS,
        deadline::TimeoutMs::parse,
    )?;
    let declared_attempt = parse_header(
        &parts.headers,
        &headers::ATTEMPT,
        retry::AttemptNumber::parse,
    )?;
    let has_method = |methods: &[String]| methods.iter().any(|m| m == parts.method.as_str());
    let idempotent = has_method(&spec.idempotent_methods);
    let keyed = !idempotent && parts.headers.contains_key(&headers::IDEMPOTENCY_KEY);
    if !keyed && has_method(&spec.key_required_methods) {
        return Err(Refusal::not_run(outcome::Reason::KeyRequired));
    }
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let fingerprint =
        isolation::fingerprint(service.name.as_str(), parts.method.as_str(), path, None);
    let call = Call {
        fingerprint,
        id: state.next_call_id(),
        deadline: deadline::Deadline::at_arrival(now, timeout, spec.timeout),
        attempt: declared_attempt.unwrap_or(retry::AttemptNumber::FIRST),
        declared_attempt: declared_attempt.map(|number| number.0),
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        caller: peer.ip(),
        service,
        spec,
        idempotent,
        keyed,
    };
    Ok((call, body))
}

fn parse_header<T>(
    map: &HeaderMap,
    name: &hyper::header::HeaderName,
    parse: impl Fn(&str) -> Result<T, deadline::HeaderError>,
) -> Result<Option<T>, Refusal> {
    let Some(value) = map.get(name) else {
        return Ok(None);
    };
    let parsed = value
        .to_str()
        .map_err(|_| deadline::HeaderError::NotANumber)
        .and_then(parse);
    parsed.map(Some).map_err(|err| {
        Refusal::not_run(outcome::Reason::BadRequest).with_detail(format!("{name}: {err}"))
    })
}

/// Admits a call, waiting in the queue if admission control requires it.
async fn admit(state: &rc::Rc<state::State>, call: &Call) -> Result<AdmissionGuard, Refusal> {
    let id = admission::CallId(call.id);
    let now = state.now();
    let caller = call.caller.to_string();
    let decision = state.with(|inner| {
        let offered = admission::Call {
            service: &call.service.name,
            priority: admission::Priority(u8::try_from(call.spec.priority).unwrap_or(u8::MAX)),
            caller: &caller,
            deadline: call.deadline,
        };
        inner.admission.offer(now, id, &offered)
    });
    let admission = AdmissionGuard {
        state: state.clone(),
        id,
        succeeded: false,
    };
    match decision {
        admission::Decision::Run => Ok(admission),
        admission::Decision::Refuse(reason) => Err(reason.into()),
        admission::Decision::Queued => {
            let waiting = state.wait_for_admission(id);
            state.process_admission();
            match waiting.await {
                Ok(Ok(())) => Ok(admission),
                Ok(Err(reason)) => Err(reason.into()),
                Err(_) => Err(Refusal::not_run(outcome::Reason::Stopping)),
            }
        }
    }
}

/// Attempts of a call so far.
#[derive(Default)]
struct Progress {
    tried: Vec<balance::TargetKey>,
    attempts_made: u32,
    reconnects: u32,
    unsent_attempts: u32,
    may_have_run: bool,
}

impl Progress {
    /// Sets the outcome of a refusal to unknown if an earlier attempt may have run.
    fn adjust_outcome(&self, refusal: Refusal) -> Refusal {
        match self.may_have_run {
            true => Refusal {
                outcome: outcome::Outcome::Unknown,
                ..refusal
            },
            false => refusal,
        }
    }

    fn refusal(&self, reason: outcome::Reason) -> Refusal {
        match self.may_have_run {
            true => Refusal::unknown(reason),
            false => Refusal::not_run(reason),
        }
    }
}

/// Sends the call to targets until one responds or no further attempt is allowed.
pub async fn forward(
    state: &rc::Rc<state::State>,
    call: &Call,
    mut body: CallBody,
    admission: AdmissionGuard,
) -> Result<Response<http::Body>, Refusal> {
    let mut progress = Progress::default();
    let mut admission = Some(admission);
    call.service.retries.borrow_mut().count_call();
    call.service.hedger.borrow_mut().count_call();
    let mut last_reason = outcome::Reason::NoTarget;
    loop {
        let mode = isolation::admit(state, call)
            .await
            .map_err(|refusal| progress.adjust_outcome(refusal))?;
        let isolated = matches!(mode, isolation::RunMode::Isolated(..));
        let chosen = match mode {
            isolation::RunMode::Isolated(key, target) => Some((key, target)),
            // If all targets were tried, one of them is tried again: the failure may have been
            // limited to its connection.
            isolation::RunMode::Normal => {
                pick_target(state, call, &progress.tried).or_else(|| pick_target(state, call, &[]))
            }
        };
        let Some((key, target)) = chosen else {
            return Err(progress.refusal(last_reason));
        };
        progress.attempts_made += 1;
        progress.tried.push(key);
        let result = run_hedged(state, call, &mut body, key, target, &mut progress, isolated).await;
        let err = match result {
            Ok(response) if !response.not_run => {
                let retried = progress.attempts_made > 1;
                return Ok(response::forward_response(
                    state,
                    call,
                    response,
                    admission.take(),
                    retried,
                ));
            }
            Ok(response) => {
                let failure = retry::Failure {
                    not_run: true,
                    retried_below: response.retried_below,
                };
                if !may_retry(state, call, &progress, &failure, &body) {
                    let retried = progress.attempts_made > 1;
                    return Ok(response::forward_response(
                        state,
                        call,
                        response,
                        admission.take(),
                        retried,
                    ));
                }
                continue;
            }
            Err(err) => err,
        };
        if isolated && (err.proves_not_run || err.reason == outcome::Reason::TimedOut) {
            isolation::return_permit(state, call);
        }
        let sendable = !matches!(body, CallBody::Stream(None));
        if err.unsent && sendable && progress.unsent_attempts < MAX_UNSENT_ATTEMPTS {
            progress.attempts_made -= 1;
            progress.unsent_attempts += 1;
            continue;
        }
        last_reason = err.reason;
        progress.may_have_run |= !err.proves_not_run;
        if err.silent && sendable && progress.reconnects < connection::MAX_RECONNECTS {
            progress.reconnects += 1;
            continue;
        }
        let failure = retry::Failure {
            not_run: err.proves_not_run,
            retried_below: false,
        };
        if !may_retry(state, call, &progress, &failure, &body) {
            return Err(progress.refusal(err.reason).with_detail(err.detail));
        }
        state.metrics.retries.inc();
    }
}

fn may_retry(
    state: &state::State,
    call: &Call,
    progress: &Progress,
    failure: &retry::Failure,
    body: &CallBody,
) -> bool {
    if matches!(body, CallBody::Stream(None)) {
        return false;
    }
    let attempt = retry::Attempt {
        caller_attempt: call.attempt,
        attempts_made: progress.attempts_made,
        idempotent: call.idempotent,
        deadline: call.deadline,
        expected: call.service.hedger.borrow().median_latency(),
    };
    let mut budget = call.service.retries.borrow_mut();
    retry::decide(state.now(), &attempt, failure, &mut budget) == retry::Decision::Retry
}

/// Picks a target outside `avoid`, if there is one.
fn pick_target(
    state: &rc::Rc<state::State>,
    call: &Call,
    avoid: &[balance::TargetKey],
) -> Option<(balance::TargetKey, rc::Rc<service::Target>)> {
    let now = state.now();
    let mut balancer = call.service.balancer.borrow_mut();
    let local_domain: Option<&types::FailureDomain> = Some(&call.service.local_domain);
    let pick = balance::PickConstraints {
        avoid,
        local_domain,
        probe_allowed: true,
    };
    let mut key = balancer.pick(now, &pick)?;
    drop(balancer);
    attempt::process_balancer_outputs(state, &call.service);
    let mut target = call.service.target(key)?;
    if state
        .isolation
        .with(|gateway| gateway.is_reserved(&target.identity))
    {
        (key, target) = pick_unreserved(state, call, avoid)?;
    }
    Some((key, target))
}

/// Picks a target that is not reserved for the isolated run of a suspected request.
fn pick_unreserved(
    state: &state::State,
    call: &Call,
    avoid: &[balance::TargetKey],
) -> Option<(balance::TargetKey, rc::Rc<service::Target>)> {
    let serving = call.service.serving_targets();
    let free = serving.into_iter().filter(|(_, target)| {
        !state
            .isolation
            .with(|gateway| gateway.is_reserved(&target.identity))
    });
    let mut free: Vec<_> = free.collect();
    let untried = free
        .iter()
        .position(|(key, _)| !avoid.contains(key))
        .unwrap_or(0);
    (!free.is_empty()).then(|| free.swap_remove(untried))
}

/// Runs one attempt and hedges it when it is slow, provided that the call is idempotent, has no
/// body and is in its first attempt.
async fn run_hedged(
    state: &rc::Rc<state::State>,
    call: &Call,
    body: &mut CallBody,
    key: balance::TargetKey,
    target: rc::Rc<service::Target>,
    progress: &mut Progress,
    isolated: bool,
) -> Result<attempt::TargetResponse, attempt::AttemptError> {
    let number = call.attempt.0 + progress.attempts_made - 1;
    let may_hedge = matches!(body, CallBody::Empty)
        && call.idempotent
        && progress.attempts_made == 1
        && !isolated;
    let delay = call.service.hedger.borrow().delay().filter(|_| may_hedge);
    let first = attempt::run(state, call, body, key, target, number, isolated);
    let Some(delay) = delay else {
        return first.await;
    };
    let first = std::pin::pin!(first);
    let timer = std::pin::pin!(compio::time::sleep(delay));
    let first = match future::select(first, timer).await {
        future::Either::Left((result, _)) => return result,
        future::Either::Right(((), first)) => first,
    };
    let Some((key, target)) = pick_hedge_target(state, call, progress) else {
        return first.await;
    };
    state.metrics.hedges.inc();
    let mut empty = CallBody::Empty;
    let second = attempt::run(state, call, &mut empty, key, target, number, false);
    let second = std::pin::pin!(second);
    // The attempt that loses is dropped, which closes its connection and so cancels the call at
    // that target.
    match future::select(first, second).await {
        future::Either::Left((Ok(response), _)) => Ok(response),
        future::Either::Left((Err(_), second)) => second.await,
        future::Either::Right((Ok(response), _)) => Ok(response),
        future::Either::Right((Err(_), first)) => first.await,
    }
}

fn pick_hedge_target(
    state: &rc::Rc<state::State>,
    call: &Call,
    progress: &mut Progress,
) -> Option<(balance::TargetKey, rc::Rc<service::Target>)> {
    let mut hedger = call.service.hedger.borrow_mut();
    let attempt = retry::Attempt {
        caller_attempt: call.attempt,
        attempts_made: progress.attempts_made,
        idempotent: call.idempotent,
        deadline: call.deadline,
        expected: hedger.median_latency(),
    };
    if !hedger.try_hedge(state.now(), &attempt) {
        return None;
    }
    drop(hedger);
    let (key, target) = pick_target(state, call, &progress.tried)?;
    if progress.tried.contains(&key) {
        return None;
    }
    progress.tried.push(key);
    Some((key, target))
}

impl CallBody {
    /// Restores a body of which nothing was sent.
    pub fn restore(&mut self, body: http::Body) {
        if let (CallBody::Stream(stream), http::Body::Incoming(incoming)) = (self, body) {
            *stream = Some(incoming);
        }
    }

    /// Returns the body for the next attempt.
    pub fn take(&mut self) -> http::Body {
        match self {
            CallBody::Empty => http::empty(),
            CallBody::Bytes(bytes) => http::full(bytes.clone()),
            CallBody::Stream(stream) => stream.take().map_or(http::empty(), http::Body::Incoming),
        }
    }
}
