//! Tests of the policy comparison and of the attempts in a call chain.

use std::time::Duration;

use wagtailshunt_core::retry::Config;
use wagtailshunt_lab::policy::{self, Deployment, Options, Situation, Tree, call_tree};

fn small_options(situations: &[Situation], contenders: &[&str]) -> Options {
    Options {
        deployments: vec![Deployment::Krittlinje],
        situations: situations.to_vec(),
        contenders: contenders.iter().map(|name| (*name).to_owned()).collect(),
        seeds: vec![1, 2],
        length: Duration::from_secs(3),
        ..Options::default()
    }
}

fn row<'a>(comparison: &'a policy::Comparison, name: &str) -> &'a policy::Row {
    comparison
        .rows
        .iter()
        .find(|row| row.contender == name)
        .expect("a row of this name")
}

/// Guards against results that differ between runs or with the number of threads.
#[test]
fn same_seed_same_bytes() {
    let options = small_options(
        &[Situation::Calm, Situation::SlowTarget],
        &["krittlinje", "slot_leases"],
    );
    let first = policy::compare(&options);
    let second = policy::compare(&Options {
        threads: 1,
        ..options
    });
    assert_eq!(first.to_string(), second.to_string());
    let json = |comparison| serde_json::to_string(comparison).expect("plain data");
    assert_eq!(json(&first), json(&second));
}

/// Guards against probes above the budget of the shipped profiles when the load rises at once (I1).
#[test]
fn measuring_budget_holds_at_the_rush() {
    let comparison = policy::compare(&small_options(
        &[Situation::Rush],
        &["association", "krittlinje"],
    ));
    assert_eq!(row(&comparison, "association").messages.max, 0.0);
    assert_eq!(row(&comparison, "association").target_us.max, 0.0);
    // The budget is one probe, of 2 messages and 5 ms, per 1,000 calls. In addition, each of the 9
    // gateways may spend up to 2 probes in the measured interval that it saved before.
    let krittlinje = row(&comparison, "krittlinje");
    assert!(krittlinje.messages.max <= 0.005, "{krittlinje:?}");
    assert!(krittlinje.target_us.max <= 12.5, "{krittlinje:?}");
}

/// Guards against a policy that keeps sending calls to a slow target.
#[test]
fn slow_target_costs_less_than_with_two_choices() {
    let comparison = policy::compare(&small_options(&[Situation::SlowTarget], &["association"]));
    let association = row(&comparison, "association");
    assert!(association.p999_ratio.max < 0.9, "{association:?}");
}

/// Guards against retries that multiply over the layers of a call chain.
#[test]
fn call_tree_adds_attempts() {
    let tree = Tree {
        depth: 13,
        failure_permille: 300,
        calls: 2_000,
        retry: Config::default(),
        budget_enforced: true,
    };
    let with_limits = call_tree(&tree, 1);
    assert!(with_limits.lowest_per_call <= 2.0, "{with_limits:?}");
    assert!(
        with_limits.attempts_per_call <= 2.0 * 13.0,
        "{with_limits:?}"
    );
    let retry = Config {
        one_layer: false,
        ..Config::default()
    };
    let without_limits = call_tree(
        &Tree {
            retry,
            budget_enforced: false,
            calls: 20,
            ..tree
        },
        1,
    );
    assert!(without_limits.lowest_per_call > 30.0, "{without_limits:?}");
}
