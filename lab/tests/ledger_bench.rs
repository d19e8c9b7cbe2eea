//! Tests of the ledger measurement. The full sizes are run by name, each in its own process:
//! `cargo test --release -p wagtailshunt-lab --test ledger_bench -- --ignored --nocapture --exact keys_1000000`.

use wagtailshunt_lab::ledger_bench;

/// Guards against a measurement that no longer applies the commands that it times.
#[test]
fn measurement_fills_the_ledger() {
    let figures = ledger_bench::measure(1_000, 1);
    assert_eq!(figures.keys, 1_000);
    assert!(figures.charged_bytes > ledger_bench::BODY_BYTES as u64);
    assert!(figures.snapshot_bytes > 1_000 * ledger_bench::BODY_BYTES);
}

/// Prints the results at 10,000 keys.
#[test]
#[ignore = "a measurement without a verdict"]
fn keys_10000() {
    println!("{}", ledger_bench::measure(10_000, 1));
}

/// Prints the results at 100,000 keys.
#[test]
#[ignore = "a measurement without a verdict"]
fn keys_100000() {
    println!("{}", ledger_bench::measure(100_000, 1));
}

/// Prints the results at 1,000,000 keys.
#[test]
#[ignore = "a measurement without a verdict"]
fn keys_1000000() {
    println!("{}", ledger_bench::measure(1_000_000, 1));
}
