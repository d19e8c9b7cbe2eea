//! A call from its route to its answer: attempts, hedging, deadline.

use std::{rc, time};

use futures_util::{FutureExt, StreamExt, future, pin_mut, select_biased, stream};
use hyper::Response;
use rand::Rng;
use wagtailshunt_core::{event, placement, retry, routing, time as core_time, types};

use crate::{
    entry::{
        calls::{
            answer::Reason,
            attempt::{self, Answer, Destination, End, Parts},
            work::WorkTime,
        },
        state,
    },
    http,
};

/// The work of a second attempt may take this much longer than the mean and still be in time.
const HEDGE_MARGIN: f64 = 1.25;

/// Callers that are refused come back between these times, spread so that they don't meet again.
const RETRY_AFTER: std::ops::Range<f64> = 0.08..0.3;

/// A call whose route is known.
pub struct Call {
    pub state: rc::Rc<state::State>,
    pub route_name: String,
    pub route: routing::Route,
    pub service: types::ServiceName,
    pub parts: rc::Rc<Parts>,
    pub arrival: core_time::Instant,
    tried: Vec<types::TargetId>,
    /// What was known of each target when it was chosen.
    choices: Vec<placement::Choice>,
}

type Attempts =
    stream::FuturesUnordered<future::LocalBoxFuture<'static, (Tried, End)>>;

/// An attempt and what was expected of it.
struct Tried {
    target: types::TargetId,
    factor: f64,
    started: core_time::Instant,
}

/// What a call ended with.
pub enum Done {
    /// A target's answer.
    Answer(Answer),
    /// An answer of the system's own.
    Own(Reason),
}

impl Call {
    /// Creates a call.
    pub fn new(
        state: rc::Rc<state::State>,
        named: &(String, routing::Route),
        service: types::ServiceName,
        parts: Parts,
        arrival: core_time::Instant,
    ) -> Call {
        Call {
            state,
            route_name: named.0.clone(),
            route: named.1.clone(),
            service,
            parts: rc::Rc::new(parts),
            arrival,
            tried: Vec::new(),
            choices: Vec::new(),
        }
    }

    /// Returns what decided the choice of each target: `target:expected ms:slowness:occupancy:age ms`.
    pub fn show_choices(&self) -> String {
        let show = |choice: &placement::Choice| {
            let age = choice.estimate.age;
            let age = age.map_or_else(|| "-".to_owned(), |age| age.as_millis().to_string());
            format!(
                "{}:{}:{:.2}:{:.1}:{age}",
                choice.target,
                choice.expected.as_millis(),
                choice.estimate.slowness,
                choice.estimate.occupancy,
            )
        };
        let shown: Vec<String> = self.choices.iter().map(show).collect();
        shown.join(" ")
    }

    /// Runs the call until there is an answer or its time is over.
    pub async fn run(&mut self) -> Done {
        let mut attempts = Attempts::new();
        if let Err(reason) = self.start_first(&attempts) {
            return Done::Own(reason);
        }
        let clock = self.state.clock;
        let deadline = clock.sleep_until(self.parts.deadline).fuse();
        let hedge = self.hedge_timer().fuse();
        pin_mut!(deadline, hedge);
        let mut fallback = None;
        let mut may_have_run = false;
        loop {
            select_biased! {
                ended = attempts.next() => {
                    let Some((tried, end)) = ended else {
                        return self.give_up(fallback, may_have_run);
                    };
                    match self.settle(&tried, end) {
                        Settled::Final(answer) => return Done::Answer(answer),
                        Settled::Failure(answer) => {
                            may_have_run = true;
                            fallback = Some(answer);
                        }
                        Settled::NotRun => {}
                        Settled::Lost => may_have_run = true,
                    }
                    let again = self.parts.repeatable || !may_have_run;
                    if attempts.is_empty() && !(again && self.start_another(&attempts)) {
                        return self.give_up(fallback, may_have_run);
                    }
                }
                () = hedge => {
                    if self.start_hedge(&attempts) {
                        may_have_run = true;
                    }
                }
                () = deadline => return match fallback {
                    Some(answer) => Done::Answer(answer),
                    None => Done::Own(Reason::Timeout),
                },
            }
        }
    }

    fn give_up(&self, fallback: Option<Answer>, may_have_run: bool) -> Done {
        match fallback {
            Some(answer) => Done::Answer(answer),
            None if may_have_run => Done::Own(Reason::Lost),
            None => Done::Own(Reason::RefusedByTargets),
        }
    }

    fn settle(&self, tried: &Tried, end: End) -> Settled {
        let now = self.state.clock.now();
        let taken = now.since(tried.started);
        let (result, reason) = match &end {
            End::Answered(answer) if answer.head.status.is_server_error() => {
                ("error", answer.head.status.to_string())
            }
            End::Answered(_) => ("answered", String::new()),
            End::NotRun(reason) => ("not-run", reason.clone()),
            End::Lost(reason) => ("lost", reason.clone()),
        };
        self.state.metrics.attempts.with_label_values(&[result]).inc();
        if result != "answered" {
            self.state.events.emit(
                event::Id::AttemptFailed,
                &[
                    ("request", &show(&self.parts)),
                    ("target", &tried.target),
                    ("result", &result),
                    ("reason", &reason),
                    ("ms", &taken.as_millis()),
                ],
            );
        }
        match end {
            End::Answered(answer) if answer.head.status.is_server_error() => {
                match self.parts.repeatable {
                    true => Settled::Failure(answer),
                    false => Settled::Final(answer),
                }
            }
            End::Answered(answer) => {
                self.learn_work(taken, tried.factor);
                Settled::Final(answer)
            }
            End::NotRun(_) => Settled::NotRun,
            End::Lost(_) => Settled::Lost,
        }
    }

    fn learn_work(&self, taken: time::Duration, factor: f64) {
        self.state.with(|inner| {
            if let Some(work) = inner.work.get_mut(&self.route_name) {
                work.sample(taken, factor);
            }
        });
    }

    fn work(&self) -> time::Duration {
        let objective = self.route.objective;
        self.state.with(|inner| {
            let work = inner.work.entry(self.route_name.clone());
            work.or_insert_with(|| WorkTime::guess(objective)).mean()
        })
    }

    /// Chooses a target; `None` when there is none that the call wasn't sent to.
    fn choose(&self) -> Option<placement::Choice> {
        let now = self.state.clock.now();
        let demand = placement::Demand {
            service: &self.service,
            work: self.work(),
            tried: &self.tried,
        };
        self.state.with(|inner| inner.placement.choose(now, &demand))
    }

    fn start_first(&mut self, attempts: &Attempts) -> Result<(), Reason> {
        self.state.with(|inner| self.budget(inner).call());
        let choice = self.choose().ok_or(Reason::NoTarget)?;
        let left = self.parts.deadline.since(self.state.clock.now());
        if choice.expected > left {
            return Err(Reason::Overloaded);
        }
        match self.start(attempts, &choice) {
            true => Ok(()),
            false => Err(Reason::NoTarget),
        }
    }

    fn budget<'a>(&self, inner: &'a mut state::Inner) -> &'a mut retry::Budget {
        let limits = &self.state.cfg.limits;
        let budget = inner.budgets.entry(self.service.clone());
        budget.or_insert_with(|| {
            retry::Budget::new(retry::Config {
                per_1000_calls: limits.repeats_per_1000_calls,
                burst: limits.repeat_burst,
                ..retry::Config::default()
            })
        })
    }

    fn attempts_left(&self) -> bool {
        let made = u32::try_from(self.tried.len()).unwrap_or(u32::MAX);
        made < self.route.max_attempts
    }

    /// Sends the call again after a failed attempt, when the limits allow it.
    fn start_another(&mut self, attempts: &Attempts) -> bool {
        let left = self.parts.deadline.since(self.state.clock.now());
        if !self.attempts_left() {
            return false;
        }
        let Some(choice) = self.choose() else {
            return false;
        };
        if choice.expected > left || !self.state.with(|inner| self.budget(inner).try_spend()) {
            return false;
        }
        self.start(attempts, &choice)
    }

    /// Sends a slow call to a second target as well, when that can still be in time.
    fn start_hedge(&mut self, attempts: &Attempts) -> bool {
        let now = self.state.clock.now();
        let in_time = (self.arrival + self.route.objective).since(now);
        if !self.attempts_left() {
            return false;
        }
        let Some(choice) = self.choose() else {
            return false;
        };
        if choice.expected > in_time || !self.state.with(|inner| self.budget(inner).try_spend()) {
            return false;
        }
        self.state.events.emit(
            event::Id::CallHedged,
            &[
                ("request", &show(&self.parts)),
                ("target", &choice.target),
                ("waited_ms", &now.since(self.arrival).as_millis()),
            ],
        );
        self.start(attempts, &choice)
    }

    /// Ends at the last moment at which a second attempt is expected to meet the objective.
    fn hedge_timer(&self) -> impl Future<Output = ()> + use<> {
        let second = self.work().mul_f64(HEDGE_MARGIN);
        let wait = self.route.objective.saturating_sub(second);
        let at = self.arrival + wait;
        let hedged = self.parts.repeatable && self.route.max_attempts > 1;
        let clock = self.state.clock;
        async move {
            if hedged {
                clock.sleep_until(at).await;
            } else {
                future::pending::<()>().await;
            }
        }
    }

    fn start(&mut self, attempts: &Attempts, choice: &placement::Choice) -> bool {
        let known = self.state.with(|inner| {
            let known = inner.directory.get(&choice.target)?;
            Some(Destination {
                target: choice.target.clone(),
                born: known.report.born,
                address: known.report.address,
            })
        });
        let Some(destination) = known else {
            return false;
        };
        self.tried.push(choice.target.clone());
        self.choices.push(choice.clone());
        let work = self.work().as_secs_f64().max(0.001);
        let tried = Tried {
            target: choice.target.clone(),
            factor: choice.expected.as_secs_f64() / work,
            started: self.state.clock.now(),
        };
        let run = attempt::run(self.state.clone(), self.parts.clone(), destination);
        attempts.push(run.map(move |end| (tried, end)).boxed_local());
        true
    }

    /// Returns when a refused caller may come back.
    pub fn retry_after(&self) -> time::Duration {
        let seconds = self.state.rng.borrow_mut().random_range(RETRY_AFTER);
        time::Duration::from_secs_f64(seconds)
    }
}

/// What the end of an attempt means for its call.
enum Settled {
    /// The answer goes to the caller.
    Final(Answer),
    /// A failure that another target might not have.
    Failure(Answer),
    NotRun,
    Lost,
}

/// Returns the id of a call for logs.
pub fn show(parts: &Parts) -> String {
    String::from_utf8_lossy(parts.request.as_bytes()).into_owned()
}

/// Builds the answer to the caller.
pub fn respond(answer: Answer) -> Response<http::Body> {
    Response::from_parts(answer.head, answer.body)
}
