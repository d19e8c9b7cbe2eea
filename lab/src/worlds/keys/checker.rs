//! Compares the runs on the simulated targets with the results that callers received.
//!
//! Targets report runs and gateways report results; violations are collected by kind.

use std::{collections, rc, time::Duration};

use wagtailshunt_core::{ledger, outcome, time};

/// Fault of a target or the network that affects one call and its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// A middlebox drops the connection's state after the run.
    Lost,
    /// The response arrives after the deadline.
    Late,
    /// The response arrives twice.
    Doubled,
    /// The response belongs to another call.
    Crossed,
    /// The response ends before its stated length.
    Truncated,
    /// The connection is closed after the run, without a response.
    Reset,
    /// The target refuses the call with the marker that it did not run it.
    Refused,
    /// The target returns a 503 without that marker; half of these calls ran.
    Bare,
}

/// A caller's request. All its attempts share it.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) name: String,
    pub(super) key: Option<ledger::Key>,
    pub(super) body: String,
    pub(super) idempotent: bool,
    /// The request crashes each target that runs it.
    pub(super) poison: bool,
    pub(super) fault: Option<Fault>,
    pub(super) timeout: Duration,
    pub(super) service_time: Option<Duration>,
    /// Number of times that the caller sends the request again.
    pub(super) resends: u32,
}

impl Request {
    /// Returns the response body of a complete run.
    pub(super) fn expected_body(&self) -> String {
        format!("{}/{}", self.name, self.body)
    }
}

/// Result that a caller received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum CallerResult {
    /// The target's response, forwarded or replayed from the ledger.
    Answer {
        status: u16,
        body: String,
        replayed: bool,
    },
    /// An error response of the gateway.
    Problem(outcome::Reason, outcome::Outcome),
    /// The connection to the gateway ended.
    Nothing,
}

/// One attempt of a request.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) request: rc::Rc<Request>,
    /// Number of the attempt, from 1.
    pub(super) number: u32,
    pub(super) deadline: time::Instant,
    /// Result that the caller received, with its time.
    pub(super) result: Option<(time::Instant, CallerResult)>,
    pub(super) runs: u32,
    /// A caller received the outcome "not run" for this attempt or a later one.
    reported_not_run: bool,
}

/// Runs, results and violations.
#[derive(Debug, Default)]
pub(super) struct Checker {
    /// Attempts by call number.
    pub(super) attempts: collections::BTreeMap<u64, Attempt>,
    pub(super) key_runs: collections::BTreeMap<ledger::Key, u32>,
    /// Call numbers of the attempts with each key.
    by_key: collections::BTreeMap<ledger::Key, Vec<u64>>,
    /// Number of targets that each request crashed, by request name.
    pub(super) lost_targets: collections::BTreeMap<String, u32>,
    pub(super) double_runs: Vec<String>,
    pub(super) false_not_runs: Vec<String>,
    pub(super) wrong_answers: Vec<String>,
    pub(super) late_answers: Vec<String>,
}

impl Checker {
    /// Records an attempt that a caller sent to a gateway.
    pub(super) fn record_sent(
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
            result: None,
            runs: 0,
            reported_not_run: false,
        };
        self.attempts.insert(call, attempt);
    }

    /// Records that a target ran the call, and reports duplicate runs and runs after "not run".
    pub(super) fn record_run(&mut self, call: u64) {
        let Some(attempt) = self.attempts.get_mut(&call) else {
            return;
        };
        attempt.runs += 1;
        let name = &attempt.request.name;
        if attempt.reported_not_run {
            let text = format!("{name}: call {call} ran after its outcome not-run was sent");
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

    /// Records the result that a caller received, and checks it.
    pub(super) fn record_result(&mut self, now: time::Instant, call: u64, result: &CallerResult) {
        let Some(attempt) = self.attempts.get_mut(&call) else {
            return;
        };
        attempt.result = Some((now, result.clone()));
        let name = attempt.request.name.clone();
        if now > attempt.deadline {
            self.late_answers.push(format!(
                "{name}: call {call} was answered after its deadline"
            ));
        }
        match result {
            CallerResult::Answer { status, body, .. } => {
                let own = *body == attempt.request.expected_body();
                if *status == 200 && !own {
                    let text = format!("{name}: call {call} got the body {body:?}");
                    self.wrong_answers.push(text);
                }
            }
            CallerResult::Problem(_, outcome::Outcome::NotRun) => self.mark_not_run(call),
            CallerResult::Problem(..) | CallerResult::Nothing => {}
        }
    }

    /// Records that the caller received "not run", which covers this attempt and the earlier ones.
    fn mark_not_run(&mut self, call: u64) {
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
            attempt.reported_not_run = true;
            if attempt.runs > 0 {
                let name = &attempt.request.name;
                let text = format!("{name}: call {call} ran before its outcome not-run was sent");
                self.false_not_runs.push(text);
            }
        }
    }
}
