//! One call, from its matched route to its response: attempts, retries, hedging and the deadline.
//!
//! The route supplies the timeout, the latency objective and the attempt limit; the settings supply
//! the retry and probe budgets. A first attempt always runs when a target is found. A retry follows
//! when all attempts have failed; a hedged attempt runs beside one that is slow.

use std::{cell, rc, time};

use futures_util::{FutureExt, StreamExt, future, pin_mut, select_biased, stream};
use hyper::Response;
use rand::Rng;
use wagtailshunt_core::{event, placement, routing, time as core_time, types};

use crate::{
    entry::{
        calls::{
            attempt::{self, AttemptOutcome, CallRequest, Destination, TargetResponse},
            budget, crash,
            failure::Failure,
            record::SentAttempt,
            relay::{self, RelayOutcome, RelayedCall},
            shed::CallShedding,
            target_search,
            work::ServiceTime,
        },
        state,
    },
    http,
};

/// Multiple of the mean service time that must be left to run a call through another VM.
const RUN_MARGIN: f64 = 1.3;

/// `Retry-After` of a call that is refused because this VM stops: another one can serve it now.
const STOPPING_RETRY_AFTER: time::Duration = time::Duration::from_millis(10);

/// `Retry-After` of a refused call as a share of the longest delay that callers honour. It is drawn
/// at random, so that callers refused together do not return together.
const RETRY_AFTER_SHARE: std::ops::Range<f64> = 0.4..1.0;

/// Longest `Retry-After` that callers honour, as a share of the time that they have left.
const MAX_RETRY_AFTER_SHARE: f64 = 1.0 / 3.0;

/// A call with its matched route.
pub struct Call {
    pub state: rc::Rc<state::State>,
    pub route_name: String,
    pub route: routing::Route,
    /// Priority of the workspace, or of the route without one; 0 is the highest.
    pub priority: u32,
    /// Service that the call was assigned to by the weights of the route.
    pub service: types::ServiceName,
    pub request: CallRequest,
    pub arrival: core_time::Instant,
    /// Set if another VM relays the call to this one.
    relayed: Option<RelayedCall>,
    /// Set if load is shed by value.
    pub(super) shedding: Option<CallShedding>,
    /// Whether the call was sent to a relay that may run it, with all attempts that were left.
    is_at_relay: cell::Cell<bool>,
    /// Targets that the call was sent to.
    pub(super) tried: cell::RefCell<Vec<types::TargetId>>,
    /// Each chosen target with its estimate at that time, and the time from the arrival to the
    /// choice.
    choices: cell::RefCell<Vec<(placement::Choice, time::Duration)>>,
    /// Latest attempt that was sent.
    pub(super) in_flight: cell::Cell<Option<placement::InFlight>>,
}

/// Why an attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    First,
    /// All earlier attempts ended without a response that can be forwarded.
    Retry,
    /// An earlier attempt is slow and still in flight.
    Hedge,
    /// The earlier attempts have reached no target, perhaps since this VM has lost its path.
    Reroute,
    /// An attempt was stopped before it was sent; this one takes its place and its token.
    Replace,
}

/// Result of an attempt.
enum AttemptResult {
    /// No target was chosen, or the retry budget is spent.
    NotSent(Failure),
    /// The call was sent to a target.
    Sent(Box<(SentAttempt, AttemptOutcome)>),
    /// The call was sent to another VM.
    Relayed(RelayOutcome),
}

type Attempts = stream::FuturesUnordered<future::LocalBoxFuture<'static, AttemptResult>>;

/// Result of a call.
pub enum CallOutcome {
    /// The response of a target.
    Response(TargetResponse),
    /// The entry VM generates the response.
    Failed(Failure),
}

/// Consequence of an attempt's result for its call.
enum Evaluation {
    /// The response is forwarded to the caller.
    Final(TargetResponse),
    /// A 5xx response to a repeatable call; another target may succeed.
    ServerError(TargetResponse),
    NotSent(Failure),
    /// No byte of the call reached the target.
    NotReached,
    /// The attempt was stopped before it was sent.
    Withdrawn,
    /// The target did not run the call.
    NotRun,
    /// A target may have run the call, and there is no response, for this reason.
    Unknown(Failure),
}

impl Call {
    /// Creates a call.
    pub fn new(
        state: rc::Rc<state::State>,
        named_route: &(String, routing::Route),
        service: types::ServiceName,
        request: CallRequest,
        relayed: Option<RelayedCall>,
        arrival: core_time::Instant,
    ) -> rc::Rc<Call> {
        let workspace = request.workspace.as_ref();
        let workspace_priority = workspace.and_then(|call| call.workspace.1.priority);
        let shedding =
            CallShedding::new(&state, &named_route.0, &service, &request, arrival, relayed);
        rc::Rc::new(Call {
            state,
            priority: workspace_priority.unwrap_or(named_route.1.priority),
            route_name: named_route.0.clone(),
            route: named_route.1.clone(),
            service,
            request,
            arrival,
            relayed,
            shedding,
            is_at_relay: cell::Cell::new(false),
            tried: cell::RefCell::default(),
            choices: cell::RefCell::default(),
            in_flight: cell::Cell::new(None),
        })
    }

    /// Returns one field per chosen target for the log, as `target:expected
    /// ms:slowness:occupancy:age ms:waited ms`; `age` is the age of the load report.
    pub fn format_choices(&self) -> String {
        let format_choice = |(choice, waited): &(placement::Choice, time::Duration)| {
            let age = choice.estimate.age;
            let age = age.map_or_else(|| "-".to_owned(), |age| age.as_millis().to_string());
            format!(
                "{}:{}:{:.2}:{:.1}:{age}:{}",
                choice.target,
                choice.expected_latency.as_millis(),
                choice.estimate.slowness,
                choice.estimate.occupancy,
                waited.as_millis(),
            )
        };
        let choices: Vec<String> = self.choices.borrow().iter().map(format_choice).collect();
        choices.join(" ")
    }

    /// Returns the request id as text for logs.
    pub fn request_id_text(&self) -> String {
        String::from_utf8_lossy(self.request.request_id.as_bytes()).into_owned()
    }

    /// Runs the call until it has a response, its deadline expires or a planned stop of this VM ends.
    pub async fn run(self: &rc::Rc<Self>) -> CallOutcome {
        self.count_call();
        if self.is_blocked() {
            return CallOutcome::Failed(Failure::CrashesTargets);
        }
        if self.may_outlast_stop() {
            return self.stopping_outcome();
        }
        let attempts = Attempts::new();
        let mut attempts_started = 1;
        let left = self.attempts_left(Purpose::First, 0);
        attempts.push(self.clone().run_attempt(Purpose::First, left).boxed_local());
        let end = self.wait_for_end().fuse();
        let hedge = self.wait_for_hedge().fuse();
        pin_mut!(attempts, end, hedge);
        let mut fallback = None;
        // Set if a target may have run the call.
        let mut unknown = None;
        loop {
            select_biased! {
                result = attempts.next() => {
                    let Some(result) = result else {
                        return final_outcome(fallback, unknown, Failure::RefusedByTargets);
                    };
                    let mut reason = Failure::RefusedByTargets;
                    let mut purpose = Purpose::Retry;
                    match self.evaluate(result) {
                        Evaluation::Final(response) => return CallOutcome::Response(response),
                        Evaluation::ServerError(response) => {
                            unknown = Some(Failure::Lost);
                            fallback = Some(response);
                        }
                        Evaluation::NotReached => purpose = Purpose::Reroute,
                        Evaluation::Withdrawn => {
                            purpose = Purpose::Replace;
                            attempts_started -= 1;
                        }
                        Evaluation::NotRun => {}
                        Evaluation::Unknown(failure) => unknown = Some(failure),
                        Evaluation::NotSent(not_sent) => {
                            if attempts.is_empty() {
                                return final_outcome(fallback, unknown, not_sent);
                            }
                            reason = not_sent;
                        }
                    }
                    let may_retry = (self.request.repeatable || unknown.is_none()) && !self.is_blocked();
                    if attempts.is_empty() {
                        let left = self.attempts_left(purpose, attempts_started);
                        if !may_retry || left == 0 {
                            return final_outcome(fallback, unknown, reason);
                        }
                        attempts_started += 1;
                        attempts.push(self.clone().run_attempt(purpose, left).boxed_local());
                    }
                }
                () = hedge => {
                    let left = self.attempts_left(Purpose::Hedge, attempts_started);
                    if left > 0 {
                        attempts_started += 1;
                        attempts.push(self.clone().run_attempt(Purpose::Hedge, left).boxed_local());
                    }
                }
                () = end => return self.outcome_at_end(fallback),
            }
        }
    }

    /// Adds the call to the budgets. Of a relayed call, only the relay spends from them.
    fn count_call(&self) {
        let relays = self.uses_relay();
        self.state.with(|inner| {
            let limits = &self.state.cfg.limits;
            inner.probe_rate.count_call(self.arrival);
            if !relays {
                budget::retries(limits, inner, &self.service).count_call();
            }
            budget::probes(limits, inner, &self.service).count_call();
            self.record_earned(inner);
        });
    }

    /// Returns whether another VM has sent the call here.
    pub fn is_relayed(&self) -> bool {
        self.relayed.is_some()
    }

    /// Records whether a relay may run the call.
    pub fn set_at_relay(&self, is_at_relay: bool) {
        self.is_at_relay.set(is_at_relay);
    }

    /// Returns how many targets the call may still be sent to after `started` attempts. One that
    /// reached no target does not count if the path to the targets is lost or being checked.
    fn attempts_left(&self, purpose: Purpose, started: u32) -> u32 {
        if self.is_at_relay.get() {
            return 0;
        }
        let limit = self.relayed.map_or(u32::MAX, |relayed| relayed.attempts);
        let left = self.route.max_attempts.min(limit).saturating_sub(started);
        let in_doubt = |inner: &mut state::Inner| inner.path.is_lost() || inner.path.is_checking();
        match purpose == Purpose::Reroute && self.state.with(in_doubt) {
            true => left.max(1),
            false => left,
        }
    }

    /// Returns whether attempts of the call go to another VM: this one has lost its path to the
    /// targets, and no other VM has sent the call here.
    fn uses_relay(&self) -> bool {
        self.relayed.is_none() && self.state.is_path_lost()
    }

    /// Returns whether a target may have run the call, as far as is known now.
    fn may_have_run(&self) -> bool {
        self.request.unproved.get() > 0 || self.is_at_relay.get()
    }

    /// Returns the result of a call whose deadline has expired, or which this VM has no more time for.
    fn outcome_at_end(&self, fallback: Option<TargetResponse>) -> CallOutcome {
        match fallback {
            Some(response) => CallOutcome::Response(response),
            None if self.may_have_run() => CallOutcome::Failed(Failure::Timeout),
            None if self.state.clock.now() < self.request.deadline => self.stopping_outcome(),
            None => CallOutcome::Failed(Failure::Overloaded),
        }
    }

    /// Chooses a target and sends the call to it, or to another VM if this one has lost its path to
    /// the targets. `attempts_left` counts this attempt.
    async fn run_attempt(
        self: rc::Rc<Self>,
        purpose: Purpose,
        attempts_left: u32,
    ) -> AttemptResult {
        if purpose == Purpose::Reroute {
            self.wait_for_path_check().await;
        }
        let grant = match self.reserve_retry(purpose == Purpose::Retry && !self.uses_relay()) {
            Ok(grant) => grant,
            Err(reason) => return AttemptResult::NotSent(reason),
        };
        let choice = match target_search::find_target(&self, self.search()).await {
            Ok(choice) => choice,
            Err(_) if self.uses_relay() => {
                drop(grant);
                return self.run_relayed(purpose, attempts_left).await;
            }
            Err(reason) => return AttemptResult::NotSent(reason),
        };
        let to = &choice.target;
        drop(grant);
        if let Some(reason) = self.check_extra_attempt(purpose, choice.expected_latency, to) {
            return AttemptResult::NotSent(reason);
        }
        let destination = self.state.with(|inner| {
            let known = inner.directory.get(&choice.target);
            known.map(Destination::from)
        });
        let Some(destination) = destination else {
            return AttemptResult::NotSent(Failure::NoTarget);
        };
        self.tried.borrow_mut().push(choice.target.clone());
        let waited = self.state.clock.now().since(self.arrival);
        self.choices.borrow_mut().push((choice.clone(), waited));
        let sent = SentAttempt {
            to: destination.clone(),
            estimate: choice.estimate,
            expected: choice.expected_latency,
            started: self.state.clock.now(),
        };
        self.in_flight.set(Some(placement::InFlight {
            sent: sent.started,
            expected_latency: sent.expected,
        }));
        let outcome = attempt::run(&self.state, &self.request, destination).await;
        AttemptResult::Sent(Box::new((sent, outcome)))
    }

    /// Waits for the running check of the path as long as enough time is left to run the call.
    async fn wait_for_path_check(&self) {
        let time_left = self.request.deadline.since(self.state.clock.now());
        let limit = time_left.saturating_sub(self.service_time().mul_f64(RUN_MARGIN));
        // Without a result, the attempt goes by what is known.
        let _ = compio::time::timeout(limit, self.state.path_checked()).await;
    }

    /// Sends the call to another VM. An attempt after one that reached no target is no retry.
    async fn run_relayed(&self, purpose: Purpose, attempts_left: u32) -> AttemptResult {
        let run_time = self.service_time().mul_f64(RUN_MARGIN);
        if self.state.clock.now() + run_time > self.request.deadline {
            return AttemptResult::NotSent(Failure::Overloaded);
        }
        let is_retry = matches!(purpose, Purpose::Retry | Purpose::Hedge);
        if is_retry
            && let Some(reason) = self.check_extra_attempt(purpose, time::Duration::ZERO, &"relay")
        {
            return AttemptResult::NotSent(reason);
        }
        AttemptResult::Relayed(relay::run(self, attempts_left).await)
    }

    fn search(&self) -> placement::Search {
        let objective = self.arrival + self.route.objective;
        let cfg = self.state.cfg.search.clone();
        let now = self.state.clock.now();
        let search = placement::Search::new(cfg, now, objective, self.request.deadline);
        let rule = self.shedding.as_ref().and_then(|_| room_rule(&self.state));
        configured_search(search, self.request.repeatable, rule)
    }

    /// Returns why a retry or hedged attempt must not go to a target. Otherwise spends one token of
    /// the retry budget and returns `None`.
    fn check_extra_attempt(
        &self,
        purpose: Purpose,
        expected_latency: time::Duration,
        to: &dyn std::fmt::Display,
    ) -> Option<Failure> {
        if matches!(purpose, Purpose::First | Purpose::Replace) {
            return None;
        }
        let now = self.state.clock.now();
        let objective = self.arrival + self.route.objective;
        let limit = match now < objective {
            true => objective,
            false => self.request.deadline,
        };
        if purpose == Purpose::Hedge && now + expected_latency > limit {
            return Some(Failure::Overloaded);
        }
        let limits = &self.state.cfg.limits;
        let may_retry =
            |inner: &mut state::Inner| budget::retries(limits, inner, &self.service).try_spend();
        if !self.state.with(may_retry) {
            return Some(Failure::RefusedByTargets);
        }
        if purpose == Purpose::Hedge {
            self.state.events.emit(
                event::Id::CallHedged,
                &[
                    ("request", &self.request_id_text()),
                    ("target", to),
                    ("waited_ms", &now.since(self.arrival).as_millis()),
                ],
            );
        }
        None
    }

    /// Records the result of an attempt and returns what it means for the call.
    fn evaluate(&self, result: AttemptResult) -> Evaluation {
        let (sent, outcome) = match result {
            AttemptResult::NotSent(reason) => return Evaluation::NotSent(reason),
            AttemptResult::Sent(sent_and_outcome) => *sent_and_outcome,
            AttemptResult::Relayed(RelayOutcome::Answered(response)) => {
                return Evaluation::Final(response);
            }
            AttemptResult::Relayed(RelayOutcome::Lost(_)) => {
                return Evaluation::Unknown(Failure::Lost);
            }
            AttemptResult::Relayed(RelayOutcome::Failed(
                failure @ (Failure::Lost | Failure::Timeout),
            )) => return Evaluation::Unknown(failure),
            AttemptResult::Relayed(RelayOutcome::Failed(reason)) => {
                return Evaluation::NotSent(reason);
            }
        };
        let taken = self.state.clock.now().since(sent.started);
        self.record_attempt(&sent, &outcome, taken);
        match outcome {
            AttemptOutcome::Answered(response) if response.head.status.is_server_error() => {
                self.clear_crash_suspicion();
                match self.request.repeatable {
                    true => Evaluation::ServerError(response),
                    false => Evaluation::Final(response),
                }
            }
            AttemptOutcome::Answered(response) => {
                self.clear_crash_suspicion();
                self.update_estimates(taken, &sent);
                Evaluation::Final(response)
            }
            AttemptOutcome::NotSent(_) => Evaluation::NotReached,
            AttemptOutcome::Withdrawn(_) => Evaluation::Withdrawn,
            AttemptOutcome::NotRun(_) => Evaluation::NotRun,
            AttemptOutcome::Refused(reason) => Evaluation::NotSent(reason),
            AttemptOutcome::Lost(_) => {
                let fingerprint = crash::fingerprint(&self.service, &self.request);
                crash::check_target(&self.state, sent.to, fingerprint);
                Evaluation::Unknown(Failure::Lost)
            }
        }
    }

    /// Returns whether the call is refused because earlier runs of the same request crashed
    /// targets.
    pub fn is_blocked(&self) -> bool {
        let now = self.state.clock.now();
        self.state.with(|inner| {
            let fingerprint = || crash::fingerprint(&self.service, &self.request);
            !inner.crashes.is_empty() && inner.crashes.is_blocked(now, fingerprint())
        })
    }

    /// Records that a target ran the call without crashing.
    fn clear_crash_suspicion(&self) {
        self.state.with(|inner| {
            if !inner.crashes.is_empty() {
                let fingerprint = crash::fingerprint(&self.service, &self.request);
                inner.crashes.record_response(fingerprint);
            }
        });
    }

    /// Returns the mean service time of the route on a target at normal speed.
    pub fn service_time(&self) -> time::Duration {
        let objective = self.route.objective;
        self.state.with(|inner| {
            let mean = inner.service_times.entry(self.route_name.clone());
            mean.or_insert_with(|| ServiceTime::from_objective(objective))
                .mean()
        })
    }

    /// Returns the delay for `Retry-After` of a call that is refused for this reason.
    pub fn retry_after(&self, reason: Failure) -> time::Duration {
        if reason == Failure::Stopping {
            return STOPPING_RETRY_AFTER;
        }
        let share = self.state.rng.borrow_mut().random_range(RETRY_AFTER_SHARE);
        let time_left = self.request.caller_deadline.since(self.state.clock.now());
        if let Some(delay) = self.planned_return(reason, time_left) {
            return delay;
        }
        time_left.mul_f64(share * MAX_RETRY_AFTER_SHARE)
    }
}

/// Returns what decides the room at targets whose load is not known well; `None` if load is not shed by
/// value.
pub fn room_rule(state: &state::State) -> Option<placement::RoomRule> {
    let limits = &state.cfg.limits;
    let (vms, has_workspaces) =
        state.with(|inner| (inner.roster.vms().count(), inner.routes.has_workspaces()));
    let rule = placement::RoomRule {
        vms,
        has_probes: limits.probe_interval().is_some(),
    };
    (limits.shed_by_value || has_workspaces).then_some(rule)
}

/// Returns the search for a call that is `repeatable` or not. With a rule, load is shed by value.
pub fn configured_search(
    search: placement::Search,
    repeatable: bool,
    rule: Option<placement::RoomRule>,
) -> placement::Search {
    let search = match repeatable {
        true => search,
        false => search.avoiding_cold_targets(),
    };
    match rule {
        Some(rule) => search.with_shared_slots().with_room(rule),
        None => search,
    }
}

/// Returns the result of a call without a further attempt: a 5xx response of a target if there is
/// one.
fn final_outcome(
    fallback: Option<TargetResponse>,
    unknown: Option<Failure>,
    reason: Failure,
) -> CallOutcome {
    match (fallback, unknown) {
        (Some(response), _) => CallOutcome::Response(response),
        (None, Some(failure)) => CallOutcome::Failed(failure),
        (None, None) => CallOutcome::Failed(reason),
    }
}

/// Builds the response to the caller.
pub fn build_response(response: TargetResponse) -> Response<http::Body> {
    Response::from_parts(response.head, response.body)
}
