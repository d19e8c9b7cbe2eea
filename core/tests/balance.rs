//! Selection of targets: handling of failing, cold and draining targets, and the probe budget.

use std::collections::BTreeMap;
use std::time::Duration;

use quickcheck::quickcheck;
use wagtailshunt_core::balance::{
    Availability, Balancer, CallResult, Config, LoadReport, Outcome, Output, PickConstraints,
    Piggyback, Policy, Probing, TargetInfo, TargetKey,
};
use wagtailshunt_core::measure::{Budget, Cost, Limits};
use wagtailshunt_core::time::Instant;
use wagtailshunt_core::types::{FailureDomain, Incarnation, TargetId};

const MS: u64 = 1_000;
const WARM: u64 = 10_000 * MS;

fn policies() -> Vec<Policy> {
    vec![
        Policy::Random,
        Policy::RoundRobin,
        Policy::TwoChoices,
        Policy::LeastReported,
        Policy::Piggyback(Piggyback::default()),
        Policy::Probing(Probing::default()),
    ]
}

fn upsert(balancer: &mut Balancer, now: u64, number: u32, availability: Availability) -> TargetKey {
    upsert_incarnation(balancer, now, number, availability, 1)
}

fn upsert_incarnation(
    balancer: &mut Balancer,
    now: u64,
    number: u32,
    availability: Availability,
    incarnation: u64,
) -> TargetKey {
    let info = TargetInfo {
        id: &TargetId(format!("t{number:02}")),
        incarnation: Incarnation(incarnation),
        failure_domain: &FailureDomain(format!("fd{}", number % 3)),
        slots: 3,
        availability,
    };
    balancer.upsert(Instant(now), &info)
}

fn balancer(policy: Policy, targets: u32) -> (Balancer, Vec<TargetKey>) {
    let mut balancer = Balancer::new(
        Config {
            policy,
            ..Config::default()
        },
        1,
    );
    let keys = (0..targets)
        .map(|i| upsert(&mut balancer, 0, i, Availability::Serving))
        .collect();
    (balancer, keys)
}

fn result(us: u64, outcome: Outcome) -> CallResult {
    CallResult {
        latency: Duration::from_micros(us),
        outcome,
        report: None,
    }
}

/// Runs `calls` calls one after the other, 1 ms apart, and counts them by target.
fn run(
    balancer: &mut Balancer,
    from: u64,
    calls: u64,
    mut response: impl FnMut(TargetKey) -> CallResult,
) -> BTreeMap<TargetKey, u64> {
    let mut counts = BTreeMap::new();
    for call in 0..calls {
        let now = Instant(from + call * MS);
        let key = balancer
            .pick(now, &PickConstraints::default())
            .expect("a target is available");
        balancer.started(now, key);
        let result = response(key);
        balancer.finished(now + result.latency, key, &result);
        *counts.entry(key).or_default() += 1;
    }
    counts
}

/// Guards against a target that answers with errors quickly and so attracts calls (F1), under every
/// policy.
#[test]
fn fast_errors_attract_no_calls() {
    for policy in policies() {
        let (mut balancer, keys) = balancer(policy, 9);
        let counts = run(&mut balancer, WARM, 1_000, |key| {
            if key == keys[0] {
                result(100, Outcome::Error)
            } else {
                result(5_000, Outcome::Ok)
            }
        });
        let failing = counts.get(&keys[0]).copied().unwrap_or(0);
        assert!(
            failing <= 20,
            "{policy:?} sent {failing} of 1000 calls to the failing target"
        );
    }
}

/// Guards against ejecting so many targets that the remaining ones are overloaded.
#[test]
fn at_most_a_third_is_ejected() {
    let (mut balancer, _) = balancer(Policy::TwoChoices, 10);
    run(&mut balancer, WARM, 500, |_| result(100, Outcome::Error));
    let mut ejected = 0i32;
    let mut most = 0;
    while let Some(output) = balancer.poll_output() {
        match output {
            Output::Ejected { .. } => ejected += 1,
            Output::Restored { .. } => ejected -= 1,
            Output::Probe { .. } => {}
        }
        most = most.max(ejected);
    }
    assert_eq!(most, 3);
}

/// Guards against an ejection that never ends.
#[test]
fn ejected_target_is_restored() {
    let (mut balancer, keys) = balancer(Policy::Random, 3);
    run(&mut balancer, WARM, 100, |key| {
        if key == keys[0] {
            result(100, Outcome::Error)
        } else {
            result(5_000, Outcome::Ok)
        }
    });
    let counts = run(&mut balancer, 2 * WARM, 3_000, |_| {
        result(5_000, Outcome::Ok)
    });
    assert!(counts.get(&keys[0]).copied().unwrap_or(0) > 500);
}

/// Guards against calls to a draining target (I5), also when a late announcement reports it as
/// serving. A new incarnation gets calls again.
#[test]
fn draining_target_gets_no_calls() {
    for policy in policies() {
        let (mut balancer, keys) = balancer(policy, 3);
        upsert(&mut balancer, WARM, 0, Availability::Draining);
        upsert(&mut balancer, WARM, 0, Availability::Serving);
        let counts = run(&mut balancer, WARM, 300, |_| result(5_000, Outcome::Ok));
        assert_eq!(counts.get(&keys[0]), None, "{policy:?}");
        upsert_incarnation(&mut balancer, 2 * WARM, 0, Availability::Serving, 2);
        let counts = run(&mut balancer, 3 * WARM, 300, |_| result(5_000, Outcome::Ok));
        assert!(counts.contains_key(&keys[0]), "{policy:?}");
    }
}

/// Guards against a full share of calls for a target that has just started.
#[test]
fn cold_target_ramps_up() {
    for policy in policies() {
        let (mut balancer, _) = balancer(policy, 5);
        run(&mut balancer, WARM, 200, |_| result(5_000, Outcome::Ok));
        let cold = upsert(&mut balancer, 2 * WARM, 9, Availability::Serving);
        let early = run(&mut balancer, 2 * WARM, 100, |_| result(5_000, Outcome::Ok));
        let early = early.get(&cold).copied().unwrap_or(0);
        assert!(
            early <= 8,
            "{policy:?} gave a cold target {early} of 100 calls"
        );
        let late = run(&mut balancer, 3 * WARM, 600, |_| result(5_000, Outcome::Ok));
        assert!(
            late.contains_key(&cold),
            "{policy:?} never used the new target"
        );
    }
}

/// Guards against a handle that refers to another target after a removal.
#[test]
fn handles_are_not_reused() {
    let (mut balancer, keys) = balancer(Policy::TwoChoices, 2);
    balancer.remove(Instant(WARM), &TargetId("t00".to_owned()));
    let new = upsert(&mut balancer, WARM, 5, Availability::Serving);
    assert_ne!(new, keys[0]);
    balancer.finished(Instant(WARM), keys[0], &result(1, Outcome::Error));
    assert_eq!(balancer.id(keys[0]), None);
    assert_eq!(
        balancer.pick(
            Instant(WARM),
            &PickConstraints {
                avoid: &[keys[1], new],
                ..PickConstraints::default()
            }
        ),
        None
    );
}

/// Returns how many of 600 calls a target gets that reports no load while four of this gateway's
/// own calls run on it. Of the two other targets, whose reports are correct, one has one call of
/// other gateways and the other has five.
fn calls_to_target_with_false_reports(distrust: bool) -> u64 {
    let cfg = Config {
        policy: Policy::Piggyback(Piggyback {
            choices: 3,
            ..Piggyback::default()
        }),
        distrust,
        ..Config::default()
    };
    let mut balancer = Balancer::new(cfg, 1);
    let keys: Vec<TargetKey> = (0..3)
        .map(|i| upsert(&mut balancer, 0, i, Availability::Serving))
        .collect();
    for key in keys.iter().cycle().take(12) {
        balancer.started(Instant(WARM), *key);
    }
    let response = |key: TargetKey| CallResult {
        report: Some(LoadReport {
            in_flight: [0, 6, 10][keys.iter().position(|known| *known == key).unwrap_or(0)],
            ..LoadReport::default()
        }),
        ..result(10_000, Outcome::Ok)
    };
    // The balancer learns the mean load of the service from the correct reports.
    for round in 0..400 {
        let now = Instant(WARM + MS * 20 * (round + 1));
        for key in &keys {
            balancer.started(now, *key);
            balancer.finished(now + Duration::from_millis(10), *key, &response(*key));
        }
    }
    let counts = run(&mut balancer, WARM + 10_000 * MS, 600, response);
    counts.get(&keys[0]).copied().unwrap_or(0)
}

/// Guards against a target that reports no load while this gateway's own calls queue up on it. The
/// second check shows that the first one can fail.
#[test]
fn lying_report_is_disregarded() {
    let distrusted = calls_to_target_with_false_reports(true);
    let trusted = calls_to_target_with_false_reports(false);
    assert!(
        distrusted < 400,
        "the target with false reports got {distrusted} of 600 calls"
    );
    assert!(
        trusted > 400,
        "without distrust it got only {trusted} of 600 calls"
    );
}

quickcheck! {
    /// Guards against probes that exceed their budget, per call as well as per second (I1).
    fn budget_holds(calls: Vec<(u16, bool)>, per_1000: u8, per_second: u8, burst: u8) -> bool {
        let cost = Cost::default();
        let limits =
            Limits::for_probes(&cost, u64::from(per_1000), u64::from(per_second), u64::from(burst));
        let mut budget = Budget::new(&limits, Instant(0));
        let mut now = 0;
        for (wait_us, probe) in calls {
            now += u64::from(wait_us);
            budget.count_call();
            if probe {
                budget.try_spend(Instant(now), &cost);
            }
        }
        let spent = budget.spent();
        let probes = spent.messages / u64::from(cost.messages);
        probes * 1_000 <= spent.calls * u64::from(per_1000)
            && probes * 1_000_000 <= now * u64::from(per_second)
            && spent.bytes == probes * u64::from(cost.bytes)
            && spent.target_time_us == probes * 5_000
    }

    /// Guards against a selection that depends on anything but the seed and the inputs.
    fn same_seed_same_choices(seed: u64) -> bool {
        policies().into_iter().all(|policy| {
            let choices = || {
                let mut balancer = Balancer::new(Config { policy, ..Config::default() }, seed);
                for number in 0..7 {
                    upsert(&mut balancer, 0, number, Availability::Serving);
                }
                let mut chosen = Vec::new();
                run(&mut balancer, WARM, 50, |key| {
                    chosen.push(key);
                    result(5_000, Outcome::Ok)
                });
                chosen
            };
            choices() == choices()
        })
    }
}
