//! Tests of the command `explain`.

use crate::stub::{file, run};

fn line(stamp: u64, vm: u32, event: u16, text: &str, fields: serde_json::Value) -> String {
    let mut line = serde_json::json!({
        "ms_unix": stamp >> 16, "level": "info", "text": text, "event": event, "stamp": stamp, "vm": vm,
    });
    let all = line.as_object_mut().expect("an object");
    all.extend(fields.as_object().expect("an object").clone());
    // Log shippers insert a time and the name of the VM before a line.
    format!("  32.1 edge-{vm} {line}\n")
}

/// Guards against output that lacks the lines of the call, an event of its target in the log of
/// another VM, or the explanation of its outcome, or that is not in causal order.
#[test]
fn lines_of_a_call_are_found_in_all_logs() {
    let at = |ms: u64| (1_700_000_000_000 + ms) << 16;
    let own = file(
        "explain-a.log",
        &[
            line(
                at(900),
                7,
                110,
                "call finished",
                serde_json::json!({
                    "request": "c1", "outcome": "lost", "choices": "i-9:120:1.00:1.0:0:0",
                }),
            ),
            line(
                at(100),
                7,
                121,
                "configuration applied",
                serde_json::json!({"version": "5"}),
            ),
            line(
                at(890),
                7,
                111,
                "attempt failed",
                serde_json::json!({
                    "request": "c1", "target": "i-9", "result": "lost",
                }),
            ),
            line(
                at(895),
                7,
                110,
                "call finished",
                serde_json::json!({
                    "request": "c2", "outcome": "answered", "choices": "",
                }),
            ),
            "process says something else\n".to_owned(),
        ]
        .concat(),
    );
    let other = file(
        "explain-b.log",
        &[
            line(
                at(500),
                8,
                126,
                "target left",
                serde_json::json!({"target": "i-9"}),
            ),
            line(
                at(600),
                8,
                126,
                "target left",
                serde_json::json!({"target": "i-3"}),
            ),
            line(
                at(700),
                8,
                121,
                "configuration applied",
                serde_json::json!({"version": "5"}),
            ),
        ]
        .concat(),
    );
    let done = run(&["explain", "c1", &own, &other]);
    assert_eq!(done.code, 0, "{done:?}");
    let shown: Vec<&str> = done.stdout.lines().collect();
    let events: Vec<&str> = shown
        .iter()
        .filter_map(|line| line.split_once('[')?.1.split(']').next())
        .collect();
    assert_eq!(events, ["121", "126", "111", "110"], "{shown:#?}");
    assert!(shown[1].contains("vm8") && shown[1].contains("target=i-9"));
    assert!(shown[2].starts_with('*') && shown[3].starts_with('*'));
    assert_eq!(
        shown[4],
        "outcome: it may have run: it was sent, but no complete response was received"
    );
    assert!(done.stderr.contains("skipped 1 lines without an event"));
    assert_eq!(run(&["explain", "c9", &own]).code, 1);
    assert_eq!(run(&["explain", "c1"]).code, 2);
}
