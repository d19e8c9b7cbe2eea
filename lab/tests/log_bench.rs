//! Tests of the measurements of the replicated log.

use std::{path, time};

use wagtailshunt_lab::log_bench;

/// Guards against a measurement that does not complete or does not count its samples.
#[test]
fn every_measurement_runs() {
    let folder = path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let elections = log_bench::elections(3, 1).unwrap();
    assert_eq!(elections.count(), 3);
    let commits = log_bench::commits(folder, 4, time::Duration::from_millis(100)).unwrap();
    assert!(commits.latency.count() > 0 && commits.batches > 0);
    let restart = log_bench::restart(folder, 500).unwrap();
    assert_eq!(restart.entries, 500);
}

/// Prints the results:
/// `cargo test --release -p wagtailshunt-lab --test log_bench -- --ignored --nocapture`.
#[test]
#[ignore = "takes half a minute and prints figures for reading"]
fn print_figures() {
    let folder = path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    println!("election: {}", log_bench::elections(2000, 1).unwrap());
    for proposers in [1, 16, 64] {
        let length = time::Duration::from_secs(5);
        println!("{}", log_bench::commits(folder, proposers, length).unwrap());
    }
    for entries in [1_000, 10_000, 100_000] {
        println!("restart: {}", log_bench::restart(folder, entries).unwrap());
    }
}
