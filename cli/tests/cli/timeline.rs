//! Tests of the command `timeline`.

use crate::stub::{Reply, Stub, file, run, run_with, unused_address};

fn event(stamp: u64, vm: u32, role: &str, sequence: u64, text: &str) -> String {
    let event = serde_json::json!({
        "stamp": stamp, "vm": vm, "role": role, "sequence": sequence, "number": 30,
        "text": text, "fields": {"revision": "7"},
    });
    format!("{event}\n")
}

fn texts(stdout: &str) -> Vec<String> {
    let events = stdout.lines().map(|line| {
        let event: serde_json::Value = serde_json::from_str(line).expect("json");
        event["text"].as_str().expect("text").to_owned()
    });
    events.collect()
}

/// Guards against events in the order of files, arrival or wall clocks instead of causal order.
#[test]
fn events_are_ordered_by_stamp_then_process() {
    // The wall clock of the gateway is behind, but its stamp is larger than that of the frame that
    // caused the event.
    let wall = 1_700_000_000_000_u64 << 16;
    let control = file(
        "control.jsonl",
        &[
            event(wall, 1, "control", 1, "accepted"),
            event(wall + 9, 1, "control", 2, "in force"),
        ]
        .concat(),
    );
    let gateway = file(
        "gateway.jsonl",
        &[
            event(wall + 1, 101, "gateway", 1, "applied"),
            event(wall + 9, 101, "gateway", 2, "x"),
        ]
        .concat(),
    );
    let first = run(&["timeline", "--json", &gateway, &control]);
    assert_eq!(first.code, 0, "{first:?}");
    assert_eq!(
        texts(&first.stdout),
        ["accepted", "applied", "in force", "x"]
    );
    let second = run(&["timeline", "--json", &control, &gateway, &control]);
    assert_eq!(
        first.stdout, second.stdout,
        "output depends on the order or repetition of files"
    );
    let plain = run(&["timeline", &control]);
    let expected = "1700000000000.0 vm1 control [30] accepted revision=7\n";
    assert!(plain.stdout.starts_with(expected), "{plain:?}");
}

/// Guards against damaged events that are dropped without a report.
#[test]
fn damaged_files_are_reported() {
    let whole = event(1, 1, "control", 1, "a");
    let torn = file("torn.jsonl", &format!("{whole}{{\"stamp\": 2, \"vm"));
    let output = run(&["timeline", "--json", &torn]);
    assert_eq!(
        (output.code, texts(&output.stdout).len()),
        (0, 1),
        "{output:?}"
    );
    assert!(output.stderr.contains("line 2 is incomplete"), "{output:?}");
    let damaged = file("damaged.jsonl", &format!("{{\"stamp\": 2\n{whole}"));
    let output = run(&["timeline", &damaged]);
    assert_eq!(output.code, 1, "{output:?}");
    assert!(output.stderr.contains("line 1"), "{output:?}");
}

/// Guards against a partial time line that exits with success.
#[test]
fn an_unreachable_process_shows_in_the_exit_code() {
    let process = Stub::start(vec![Reply::new(200, &event(1, 1, "control", 1, "a"))]);
    let from = process.address.to_string();
    let output = run_with(&[], &["timeline", "--json", "--from", &from]);
    assert_eq!(
        (output.code, texts(&output.stdout)),
        (0, vec!["a".to_owned()]),
        "{output:?}"
    );
    let gone = unused_address().to_string();
    let args = [
        "timeline",
        "--json",
        "--from",
        &from,
        "--from",
        &gone,
        "--timeout-ms",
        "300",
    ];
    let output = run_with(&[], &args);
    assert_eq!(
        (output.code, texts(&output.stdout).len()),
        (3, 1),
        "{output:?}"
    );
}
