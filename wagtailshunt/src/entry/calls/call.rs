//! A call from its route to its answer: attempts, hedging, deadline.

use std::{cell, rc, time};

use futures_util::{FutureExt, StreamExt, future, pin_mut, select_biased, stream};
use hyper::Response;
use rand::Rng;
use wagtailshunt_core::{event, placement, routing, time as core_time, types};

use crate::{
    entry::{
        calls::{
            allowance,
            answer::Reason,
            attempt::{self, Answer, Destination, End, Parts},
            crash, find,
            work::WorkTime,
        },
        state,
    },
    http,
};

/// Slowness up to which a target counts as running at its usual speed.
const USUAL_SLOWNESS: f64 = 1.2;

/// Share of the time that callers honour after which a refused one may come back; spread so that
/// they don't meet again.
const RETRY_AFTER: std::ops::Range<f64> = 0.4..1.0;

/// Callers come back within this share of the time that they have left, or not at all.
const HONOURED_SHARE: f64 = 1.0 / 3.0;

/// A call whose route is known.
pub struct Call {
    pub state: rc::Rc<state::State>,
    pub route_name: String,
    pub route: routing::Route,
    pub service: types::ServiceName,
    pub parts: Parts,
    pub arrival: core_time::Instant,
    tried: cell::RefCell<Vec<types::TargetId>>,
    /// What was known of each target when it was chosen, and the time since the arrival.
    choices: cell::RefCell<Vec<(placement::Choice, time::Duration)>>,
    /// The latest attempt in flight.
    in_flight: cell::Cell<Option<placement::InFlight>>,
}

/// What an attempt is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    First,
    /// The attempts before it ended without an answer that can be passed on.
    Again,
    /// An earlier attempt is slow.
    Hedge,
}

/// A target that a call was sent to and what was expected of it.
struct Sent {
    to: Destination,
    /// What was known of the target.
    estimate: placement::Estimate,
    expected: time::Duration,
    started: core_time::Instant,
}

/// How a try ended.
enum Tried {
    /// The call was not sent.
    Unplaced(Reason),
    /// The call was sent to a target.
    Sent(Box<(Sent, End)>),
}

type Tries = stream::FuturesUnordered<future::LocalBoxFuture<'static, Tried>>;

/// What a call ended with.
pub enum Done {
    /// A target's answer.
    Answer(Answer),
    /// An answer of the system's own.
    Own(Reason),
}

/// What the end of a try means for its call.
enum Settled {
    /// The answer goes to the caller.
    Final(Answer),
    /// A failure that another target might not have.
    Failure(Answer),
    Unplaced(Reason),
    NotRun,
    Lost,
}

impl Call {
    /// Creates a call.
    pub fn new(
        state: rc::Rc<state::State>,
        named: &(String, routing::Route),
        service: types::ServiceName,
        parts: Parts,
        arrival: core_time::Instant,
    ) -> rc::Rc<Call> {
        rc::Rc::new(Call {
            state,
            route_name: named.0.clone(),
            route: named.1.clone(),
            service,
            parts,
            arrival,
            tried: cell::RefCell::default(),
            choices: cell::RefCell::default(),
            in_flight: cell::Cell::new(None),
        })
    }

    /// Returns what decided the choice of each target:
    /// `target:expected ms:slowness:occupancy:age ms:waited ms`.
    pub fn show_choices(&self) -> String {
        let show = |(choice, waited): &(placement::Choice, time::Duration)| {
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
        let shown: Vec<String> = self.choices.borrow().iter().map(show).collect();
        shown.join(" ")
    }

    /// Returns the id of the call for logs.
    pub fn show_id(&self) -> String {
        String::from_utf8_lossy(self.parts.request.as_bytes()).into_owned()
    }

    /// Runs the call until there is an answer or its time is over.
    pub async fn run(self: &rc::Rc<Self>) -> Done {
        self.state.with(|inner| {
            allowance::repeats(&self.state.cfg.limits, inner, &self.service).count_call();
            allowance::questions(&self.state.cfg.limits, inner, &self.service).count_call();
        });
        if self.is_contained() {
            return Done::Own(Reason::CrashesTargets);
        }
        let tries = Tries::new();
        let mut started = 1;
        tries.push(self.clone().try_once(Purpose::First).boxed_local());
        let clock = self.state.clock;
        let deadline = clock.sleep_until(self.parts.deadline).fuse();
        let hedge = self.hedge_due().fuse();
        pin_mut!(tries, deadline, hedge);
        let mut fallback = None;
        let mut may_have_run = false;
        loop {
            select_biased! {
                tried = tries.next() => {
                    let Some(tried) = tried else {
                        return give_up(fallback, may_have_run, Reason::RefusedByTargets);
                    };
                    let mut reason = Reason::RefusedByTargets;
                    match self.settle(tried) {
                        Settled::Final(answer) => return Done::Answer(answer),
                        Settled::Failure(answer) => {
                            may_have_run = true;
                            fallback = Some(answer);
                        }
                        Settled::NotRun => {}
                        Settled::Lost => may_have_run = true,
                        Settled::Unplaced(why) => {
                            if tries.is_empty() {
                                return give_up(fallback, may_have_run, why);
                            }
                            reason = why;
                        }
                    }
                    let again = (self.parts.repeatable || !may_have_run) && !self.is_contained();
                    if tries.is_empty() {
                        if !again || started >= self.route.max_attempts {
                            return give_up(fallback, may_have_run, reason);
                        }
                        started += 1;
                        tries.push(self.clone().try_once(Purpose::Again).boxed_local());
                    }
                }
                () = hedge => {
                    if started < self.route.max_attempts {
                        started += 1;
                        tries.push(self.clone().try_once(Purpose::Hedge).boxed_local());
                    }
                }
                () = deadline => return self.time_over(fallback),
            }
        }
    }

    fn time_over(&self, fallback: Option<Answer>) -> Done {
        match fallback {
            Some(answer) => Done::Answer(answer),
            None if self.tried.borrow().is_empty() => Done::Own(Reason::Overloaded),
            None => Done::Own(Reason::Timeout),
        }
    }

    /// Looks for a target and sends the call there.
    async fn try_once(self: rc::Rc<Self>, purpose: Purpose) -> Tried {
        let choice = match find::target(&self, self.search()).await {
            Ok(choice) => choice,
            Err(reason) => return Tried::Unplaced(reason),
        };
        if let Some(reason) = self.forbids(purpose, &choice) {
            return Tried::Unplaced(reason);
        }
        let known = self.state.with(|inner| {
            let known = inner.directory.get(&choice.target)?;
            Some(Destination {
                target: choice.target.clone(),
                born: known.announcement.born,
                address: known.announcement.address,
            })
        });
        let Some(destination) = known else {
            return Tried::Unplaced(Reason::NoTarget);
        };
        self.tried.borrow_mut().push(choice.target.clone());
        let waited = self.state.clock.now().since(self.arrival);
        self.choices.borrow_mut().push((choice.clone(), waited));
        let sent = Sent {
            to: destination.clone(),
            estimate: choice.estimate,
            expected: choice.expected_latency,
            started: self.state.clock.now(),
        };
        self.in_flight.set(Some(placement::InFlight {
            sent: sent.started,
            expected_latency: sent.expected,
        }));
        let end = attempt::run(&self.state, &self.parts, destination).await;
        Tried::Sent(Box::new((sent, end)))
    }

    fn search(&self) -> placement::Search {
        let objective = self.arrival + self.route.objective;
        let cfg = self.state.cfg.search.clone();
        let now = self.state.clock.now();
        placement::Search::new(cfg, now, objective, self.parts.deadline)
    }

    /// Returns why a further attempt must not go to a target; takes a token of the budget if it may.
    fn forbids(&self, purpose: Purpose, choice: &placement::Choice) -> Option<Reason> {
        if purpose == Purpose::First {
            return None;
        }
        let now = self.state.clock.now();
        let objective = self.arrival + self.route.objective;
        let limit = match now < objective {
            true => objective,
            false => self.parts.deadline,
        };
        if purpose == Purpose::Hedge && now + choice.expected_latency > limit {
            return Some(Reason::Overloaded);
        }
        let limits = &self.state.cfg.limits;
        let may_repeat =
            |inner: &mut state::Inner| allowance::repeats(limits, inner, &self.service).try_spend();
        if !self.state.with(may_repeat) {
            return Some(Reason::RefusedByTargets);
        }
        if purpose == Purpose::Hedge {
            self.state.events.emit(
                event::Id::CallHedged,
                &[
                    ("request", &self.show_id()),
                    ("target", &choice.target),
                    ("waited_ms", &now.since(self.arrival).as_millis()),
                ],
            );
        }
        None
    }

    fn settle(&self, tried: Tried) -> Settled {
        let (sent, end) = match tried {
            Tried::Unplaced(reason) => return Settled::Unplaced(reason),
            Tried::Sent(sent_and_end) => *sent_and_end,
        };
        let taken = self.state.clock.now().since(sent.started);
        self.note_attempt(&sent, &end, taken);
        match end {
            End::Answered(answer) if answer.head.status.is_server_error() => {
                self.clear_suspicion();
                match self.parts.repeatable {
                    true => Settled::Failure(answer),
                    false => Settled::Final(answer),
                }
            }
            End::Answered(answer) => {
                self.clear_suspicion();
                self.learn(taken, &sent);
                Settled::Final(answer)
            }
            End::NotRun(_) => Settled::NotRun,
            End::Lost(_) => {
                let request = crash::fingerprint(&self.service, &self.parts);
                crash::watch(&self.state, sent.to, request);
                Settled::Lost
            }
        }
    }

    /// Returns whether the call is refused because it has crashed targets at every try.
    pub fn is_contained(&self) -> bool {
        let now = self.state.clock.now();
        self.state.with(|inner| {
            let request = || crash::fingerprint(&self.service, &self.parts);
            !inner.crashes.is_empty() && inner.crashes.is_blocked(now, request())
        })
    }

    /// Notes that a target survived the call.
    fn clear_suspicion(&self) {
        self.state.with(|inner| {
            if !inner.crashes.is_empty() {
                let request = crash::fingerprint(&self.service, &self.parts);
                inner.crashes.record_response(request);
            }
        });
    }

    fn note_attempt(&self, sent: &Sent, end: &End, taken: time::Duration) {
        let (result, reason) = match end {
            End::Answered(answer) if answer.head.status.is_server_error() => {
                ("error", answer.head.status.to_string())
            }
            End::Answered(_) => ("answered", String::new()),
            End::NotRun(reason) => ("not-run", reason.clone()),
            End::Lost(reason) => ("lost", reason.clone()),
        };
        let attempts = self.state.metrics.attempts.with_label_values(&[result]);
        attempts.inc();
        if result == "answered" {
            return;
        }
        self.state.events.emit(
            event::Id::AttemptFailed,
            &[
                ("request", &self.show_id()),
                ("target", &sent.to.target),
                ("result", &result),
                ("reason", &reason),
                ("ms", &taken.as_millis()),
            ],
        );
    }

    /// Learns how long the work of the route takes and how targets slow down as they fill up.
    fn learn(&self, taken: time::Duration, sent: &Sent) {
        let work = self.work().as_secs_f64().max(0.001);
        let expected = sent.expected.as_secs_f64() / work;
        self.state.with(|inner| {
            if let Some(work) = inner.work.get_mut(&self.route_name) {
                work.sample(taken, expected);
            }
            let estimate = &sent.estimate;
            let fresh = estimate
                .age
                .is_some_and(|age| age <= self.state.cfg.search.fresh);
            let running = estimate.running_with_one_more();
            // A slowed target or one with a queue says nothing about the slots.
            if fresh && estimate.slowness <= USUAL_SLOWNESS && running <= estimate.slots {
                let ratio = taken.as_secs_f64() / work;
                inner
                    .placement
                    .record_slowdown(&self.service, running, ratio);
            }
        });
    }

    /// Returns how long the work of the route takes on a target that isn't slowed.
    pub fn work(&self) -> time::Duration {
        let objective = self.route.objective;
        self.state.with(|inner| {
            let work = inner.work.entry(self.route_name.clone());
            work.or_insert_with(|| WorkTime::guess(objective)).mean()
        })
    }

    /// Decides the next step of a search. Questions are asked within the budget.
    pub fn step(&self, search: &mut placement::Search, turn: bool) -> placement::Step {
        let now = self.state.clock.now();
        let tried = self.tried.borrow();
        let demand = placement::Demand {
            service: &self.service,
            work: self.work(),
            tried: &tried,
        };
        self.state.with(|inner| {
            let limits = &self.state.cfg.limits;
            let may_ask = allowance::questions(limits, inner, &self.service).has_tokens();
            let step = search.step(now, &mut inner.placement, &demand, turn, may_ask);
            if let placement::Step::Probe(targets) = &step {
                targets.iter().for_each(|_| {
                    allowance::questions(limits, inner, &self.service).try_spend();
                });
            }
            step
        })
    }

    /// Runs `f` on the line of the service.
    pub fn line<R>(&self, f: impl FnOnce(&mut placement::Queue) -> R) -> R {
        self.state
            .with(|inner| f(inner.lines.entry(self.service.clone()).or_default()))
    }

    /// Refuses a call at once when the line is longer than the call could wait.
    ///
    /// # Errors
    ///
    /// [`Reason::Overloaded`].
    pub fn refuse_hopeless(&self) -> Result<(), Reason> {
        let now = self.state.clock.now();
        let left = self.parts.deadline.since(now);
        let limit = left.mul_f64(self.state.cfg.search.wait_share);
        let wait = self.line(|line| line.expected_wait(now, self.route.priority));
        match wait.is_some_and(|wait| wait > limit) {
            true => Err(Reason::Overloaded),
            false => Ok(()),
        }
    }

    /// Returns a target that is known to begin the call at once.
    pub fn good(&self, search: &placement::Search) -> Option<placement::Choice> {
        let now = self.state.clock.now();
        let tried = self.tried.borrow();
        let demand = placement::Demand {
            service: &self.service,
            work: self.work(),
            tried: &tried,
        };
        self.state
            .with(|inner| search.ready_target(now, &mut inner.placement, &demand))
    }

    /// Ends when a second attempt beside the one in flight is of use.
    async fn hedge_due(self: &rc::Rc<Self>) {
        if !self.parts.repeatable || self.route.max_attempts <= 1 {
            return future::pending().await;
        }
        let clock = self.state.clock;
        let objective = self.arrival + self.route.objective;
        loop {
            let now = clock.now();
            match placement::hedge(now, objective, self.work(), self.in_flight.get()) {
                placement::Hedge::Now => return,
                placement::Hedge::Later(at) => clock.sleep_until(at).await,
            }
        }
    }

    /// Returns when a refused caller may come back.
    pub fn retry_after(&self) -> time::Duration {
        let share = self.state.rng.borrow_mut().random_range(RETRY_AFTER);
        let left = self.parts.caller_deadline.since(self.state.clock.now());
        left.mul_f64(share * HONOURED_SHARE)
    }
}

fn give_up(fallback: Option<Answer>, may_have_run: bool, reason: Reason) -> Done {
    match fallback {
        Some(answer) => Done::Answer(answer),
        None if may_have_run => Done::Own(Reason::Lost),
        None => Done::Own(reason),
    }
}

/// Builds the answer to the caller.
pub fn respond(answer: Answer) -> Response<http::Body> {
    Response::from_parts(answer.head, answer.body)
}
