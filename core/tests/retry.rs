//! Rules for retries and hedges.

use std::time::Duration;

use quickcheck::quickcheck;
use wagtailshunt_core::deadline::Deadline;
use wagtailshunt_core::retry::{
    Attempt, AttemptNumber, Budget, Config, Decision, Failure, HedgeConfig, Hedger,
    LatencyHistogram, Reason, decide,
};
use wagtailshunt_core::time::Instant;

const NOT_RUN: Failure = Failure {
    not_run: true,
    retried_below: false,
};
const MAY_HAVE_RUN: Failure = Failure {
    not_run: false,
    retried_below: false,
};

fn attempt(idempotent: bool) -> Attempt {
    Attempt {
        caller_attempt: AttemptNumber::FIRST,
        attempts_made: 1,
        idempotent,
        deadline: Deadline(Instant(1_000_000)),
        expected: Duration::from_millis(5),
    }
}

fn full_budget() -> Budget {
    let mut budget = Budget::new(Config::default());
    (0..100).for_each(|_| budget.count_call());
    budget
}

fn decide_now(attempt: &Attempt, failure: &Failure) -> Decision {
    decide(Instant(0), attempt, failure, &mut full_budget())
}

/// Guards against retries of calls that must not run twice (I4), and against retries that another
/// layer makes, that exceed a limit, or that come too late.
#[test]
fn when_to_retry() {
    use Decision::{Fail, Retry};
    let call = attempt(false);
    assert_eq!(decide_now(&call, &NOT_RUN), Retry);
    assert_eq!(decide_now(&call, &MAY_HAVE_RUN), Fail(Reason::MayHaveRun));
    assert_eq!(decide_now(&attempt(true), &MAY_HAVE_RUN), Retry);
    let again = Attempt {
        caller_attempt: AttemptNumber(2),
        ..call
    };
    assert_eq!(decide_now(&again, &NOT_RUN), Fail(Reason::RetriedAbove));
    let below = Failure {
        retried_below: true,
        ..NOT_RUN
    };
    assert_eq!(decide_now(&call, &below), Fail(Reason::RetriedBelow));
    assert_eq!(
        decide_now(
            &Attempt {
                attempts_made: 2,
                ..call
            },
            &NOT_RUN
        ),
        Fail(Reason::Attempts)
    );
    let late = Attempt {
        deadline: Deadline(Instant(4_999)),
        ..call
    };
    assert_eq!(decide_now(&late, &NOT_RUN), Fail(Reason::Deadline));
    let mut empty = Budget::new(Config::default());
    assert_eq!(
        decide(Instant(0), &call, &NOT_RUN, &mut empty),
        Fail(Reason::Budget)
    );
}

/// Guards against hedges of calls that must not run twice or that are retries, and against hedges
/// before the latency quantile is known.
#[test]
fn when_to_hedge() {
    let mut hedger = Hedger::new(HedgeConfig::default());
    assert_eq!(hedger.delay(), None);
    for ms in 1..=100 {
        hedger.count_call();
        hedger.record(Duration::from_millis(ms));
    }
    let delay = hedger.delay().expect("enough samples");
    assert!(
        (Duration::from_millis(95)..Duration::from_millis(106)).contains(&delay),
        "{delay:?}"
    );
    assert!(!hedger.try_hedge(Instant(0), &attempt(false)));
    let again = Attempt {
        caller_attempt: AttemptNumber(2),
        ..attempt(true)
    };
    assert!(!hedger.try_hedge(Instant(0), &again));
    assert!(hedger.try_hedge(Instant(0), &attempt(true)));
}

/// Guards against a share of a budget that keeps its size when the number of shares rises.
#[test]
fn smaller_burst_removes_excess_tokens() {
    let mut budget = Budget::new(Config::default());
    for _ in 0..100 {
        budget.count_call();
    }
    budget.set_burst(2);
    assert!(budget.try_spend());
    assert!(budget.try_spend());
    assert!(!budget.try_spend());
}

quickcheck! {
    /// Guards against retries above 10% and hedges above 5% of calls, in any order of events.
    fn budgets_bound_retries_and_hedges(failures: Vec<bool>) -> bool {
        let mut budget = Budget::new(Config::default());
        let mut hedger = Hedger::new(HedgeConfig::default());
        failures.iter().all(|failed| {
            budget.count_call();
            hedger.count_call();
            if *failed {
                decide(Instant(0), &attempt(true), &NOT_RUN, &mut budget);
                hedger.try_hedge(Instant(0), &attempt(true));
            }
            let (calls, retries) = budget.totals();
            let (_, hedges) = hedger.totals();
            retries * 10 <= calls && hedges * 20 <= calls
        })
    }

    /// Guards against a quantile that differs from the exact one by more than a bucket.
    fn quantile_is_within_a_bucket(samples: Vec<u32>) -> bool {
        let mut histogram = LatencyHistogram::default();
        let mut sorted: Vec<u64> = samples.iter().map(|us| u64::from(*us).max(1)).collect();
        sorted.sort_unstable();
        for us in &sorted {
            histogram.record(Duration::from_micros(*us));
        }
        let Some(value) = histogram.quantile(950) else { return sorted.is_empty() };
        let rank = (sorted.len() * 95).div_ceil(100).max(1);
        let exact = sorted[rank - 1] as f64;
        let value = value.as_micros() as f64;
        value >= exact && value <= exact * 1.13 + 1.0
    }
}
