//! What the fakes really did, compared with what callers were told.

use std::{collections, rc, time::Duration};

use wagtailshunt_core::{ledger, outcome, time};

/// How a target or the network treats the answer of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    Lost,
    Late,
    Doubled,
    Crossed,
    Truncated,
    Reset,
    Refused,
    Bare,
}

/// A caller's request; resends share it.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) name: String,
    pub(super) key: Option<ledger::Key>,
    pub(super) body: String,
    pub(super) idempotent: bool,
    pub(super) poison: bool,
    pub(super) fault: Option<Fault>,
    pub(super) timeout: Duration,
    pub(super) service_time: Option<Duration>,
    pub(super) resends: u32,
}

impl Request {
    /// The answer of a complete run.
    pub(super) fn expected(&self) -> String {
        format!("{}/{}", self.name, self.body)
    }
}

/// What a caller was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Told {
    /// The target's answer, first-hand or replayed.
    Answer {
        status: u16,
        body: String,
        replayed: bool,
    },
    /// An answer of the system itself.
    Problem(outcome::Reason, outcome::Outcome),
    /// The connection to the gateway ended.
    Nothing,
}

#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) request: rc::Rc<Request>,
    pub(super) number: u32,
    pub(super) deadline: time::Instant,
    pub(super) told: Option<(time::Instant, Told)>,
    pub(super) runs: u32,
    denied: bool,
}

/// Runs, answers and violations.
#[derive(Debug, Default)]
pub(super) struct Checker {
    pub(super) attempts: collections::BTreeMap<u64, Attempt>,
    pub(super) key_runs: collections::BTreeMap<ledger::Key, u32>,
    by_key: collections::BTreeMap<ledger::Key, Vec<u64>>,
    /// Targets lost to each request.
    pub(super) crashes: collections::BTreeMap<String, u32>,
    pub(super) double_runs: Vec<String>,
    pub(super) false_not_runs: Vec<String>,
    pub(super) mixed_answers: Vec<String>,
    pub(super) late_answers: Vec<String>,
}

impl Checker {
    /// A caller sent a request to a gateway.
    pub(super) fn sent(
        &mut self,
        call: u64,
        request: rc::Rc<Request>,
        number: u32,
        deadline: time::Instant,
    ) {
        if let Some(key) = request.key {
            self.by_key.entry(key).or_default().push(call);
        }
        let attempt = Attempt {
            request,
            number,
            deadline,
            told: None,
            runs: 0,
            denied: false,
        };
        self.attempts.insert(call, attempt);
    }

    /// A target ran the call.
    pub(super) fn ran(&mut self, call: u64) {
        let Some(attempt) = self.attempts.get_mut(&call) else {
            return;
        };
        attempt.runs += 1;
        let name = &attempt.request.name;
        if attempt.denied {
            let text = format!("{name}: call {call} ran after it was called not run");
            self.false_not_runs.push(text);
        }
        let repeatable = attempt.request.idempotent || attempt.request.key.is_some();
        if attempt.runs > 1 && !repeatable {
            self.double_runs
                .push(format!("{name}: call {call} ran twice"));
        }
        let Some(key) = attempt.request.key else {
            return;
        };
        let runs = self.key_runs.entry(key).or_default();
        *runs += 1;
        if *runs > 1 {
            self.double_runs
                .push(format!("{name}: key {key} ran {runs} times"));
        }
    }

    /// A caller was told something.
    pub(super) fn told(&mut self, now: time::Instant, call: u64, told: &Told) {
        let Some(attempt) = self.attempts.get_mut(&call) else {
            return;
        };
        attempt.told = Some((now, told.clone()));
        let name = attempt.request.name.clone();
        if now > attempt.deadline {
            self.late_answers.push(format!("{name}: call {call}"));
        }
        match told {
            Told::Answer { status, body, .. } => {
                let own = *body == attempt.request.expected();
                if *status == 200 && !own {
                    let text = format!("{name}: call {call} got {body:?}");
                    self.mixed_answers.push(text);
                }
            }
            Told::Problem(_, outcome::Outcome::NotRun) => self.deny(call),
            Told::Problem(..) | Told::Nothing => {}
        }
    }

    /// The caller was told that neither this attempt nor an earlier one ran.
    fn deny(&mut self, call: u64) {
        let Some(attempt) = self.attempts.get(&call) else {
            return;
        };
        let number = attempt.number;
        let body = attempt.request.body.clone();
        let calls = match attempt.request.key.and_then(|key| self.by_key.get(&key)) {
            Some(calls) => calls.clone(),
            None => vec![call],
        };
        for call in calls {
            let Some(attempt) = self.attempts.get_mut(&call) else {
                continue;
            };
            if attempt.number > number || attempt.request.body != body {
                continue;
            }
            attempt.denied = true;
            if attempt.runs > 0 {
                let name = &attempt.request.name;
                let text = format!("{name}: call {call} ran before it was called not run");
                self.false_not_runs.push(text);
            }
        }
    }
}
