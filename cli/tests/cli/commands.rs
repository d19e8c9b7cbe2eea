//! Tests of the commands against stub control daemons.

use crate::stub::{Reply, Stub, file, run, run_with, unused_address};

const RECORD: &str = r#"{"schema": 1, "kind": "service", "name": "bookings", "spec": {"hosts": ["bookings.example"]}}"#;

const IN_FORCE: &str = r#"{"reply": {"accepted": {"revision": 7}}, "in_force": true, "holding_back": [], "in_force_ms": 12}"#;

/// Guards against a wrong exit code on invalid usage, or a help text that lacks a command.
#[test]
fn usage_errors_and_help() {
    for args in [&["put"][..], &["fly"], &[], &["get", "bookings"], &["list"]] {
        assert_eq!(run(args).code, 2, "{args:?}");
    }
    let key = file("empty.key", "\n");
    let empty_key = run(&["list", "--control", "127.0.0.1:1", "--key-file", &key]);
    assert_eq!(empty_key.code, 2, "{empty_key:?}");
    let commands = [
        "check", "put", "get", "list", "history", "drain", "status", "timeline", "bench", "demo",
        "scenario",
    ];
    let help = run(&["--help"]);
    assert_eq!(help.code, 0);
    for command in commands {
        assert!(help.stdout.contains(command), "{command}: {}", help.stdout);
        let help = run(&[command, "--help"]);
        assert_eq!(help.code, 0, "{command}: {}", help.stderr);
        assert!(help.stdout.contains("Exit codes"), "{command}");
    }
}

/// Guards against an update that is lost if a follower redirects it, or resent with another id.
#[test]
fn put_follows_the_leader_and_keeps_its_request_id() {
    let leader = Stub::start(vec![
        Reply::new(503, r#"{"title": "No leader is known at the moment"}"#),
        Reply::new(504, r#"{"title": "The result is not known; resend"}"#),
        Reply::new(200, IN_FORCE),
    ]);
    let follower = Stub::start(vec![Reply {
        status: 307,
        location: Some(format!(
            "http://{}/v1/records/service/bookings?wait=true",
            leader.address
        )),
        ..Reply::default()
    }]);
    let record = file("followed.json", RECORD);
    let controls = [unused_address(), follower.address];
    let output = run_with(&controls, &["put", &record, "--actor", "mere"]);
    assert_eq!(output.code, 0, "{output:?}");
    assert!(
        output.stdout.contains("in force at revision 7"),
        "{output:?}"
    );
    let received = leader.received();
    assert_eq!(received.len(), 3);
    let id = received[0].request_id.as_ref().expect("request id");
    assert_eq!((id.len(), &id[14..15]), (36, "7"), "{id}");
    for request in &received {
        assert_eq!(request.method, "PUT");
        assert_eq!(request.request_id.as_ref(), Some(id));
        assert_eq!(request.key.as_deref(), Some("Bearer operator-key"));
        assert_eq!(request.body, RECORD);
    }
    let first = &follower.received()[0].path;
    assert_eq!(first, "/v1/records/service/bookings?wait=true&actor=mere");
}

/// Guards against a refusal that exits with success, or a conflict with the exit code of other
/// refusals.
#[test]
fn refusals_have_their_exit_codes() {
    let conflict =
        r#"{"reply": {"conflict": {"current": 9, "by_request": "other"}}, "in_force": false}"#;
    let invalid = r#"{"reply": {"invalid": {"faults": [{"path": "$.spec.hosts", "message": "is empty"}]}}, "in_force": false}"#;
    let unsupported = r#"{"reply": {"unsupported": {"vms": [3]}}, "in_force": false}"#;
    let not_in_force =
        r#"{"reply": {"accepted": {"revision": 8}}, "in_force": false, "holding_back": [2]}"#;
    let repeated = format!(
        r#"{{"reply": {{"repeated": {{"conflict": {{"current": 9}}}}}}, "in_force": false, "x": {IN_FORCE}}}"#
    );
    let cases = [
        (409, conflict, 4, "revision 9 by request other"),
        (409, repeated.as_str(), 4, "revision 9"),
        (422, invalid, 1, "$.spec.hosts: is empty"),
        (412, unsupported, 1, "[3]"),
        (202, not_in_force, 1, "waiting for VMs [2]"),
        (401, r#"{"title": "no valid key"}"#, 1, "401: no valid key"),
    ];
    let record = file("refused.json", RECORD);
    for (status, body, code, message) in cases {
        let control = Stub::start(vec![Reply::new(status, body)]);
        let output = run_with(&[control.address], &["put", &record, "--expect", "6"]);
        assert_eq!(output.code, code, "{output:?}");
        assert!(output.stderr.contains(message), "{output:?}");
    }
    let control = Stub::start(vec![Reply::new(202, not_in_force)]);
    let output = run_with(&[control.address], &["put", &record, "--no-wait"]);
    assert_eq!(output.code, 0, "{output:?}");
}

/// Guards against a program that waits without limit, or does not print the id of a failed request.
#[test]
fn unreachable_control_has_its_exit_code() {
    let record = file("unreachable.json", RECORD);
    let args = ["put", &record, "--timeout-ms", "300"];
    let output = run_with(&[unused_address()], &args);
    assert_eq!(output.code, 3, "{output:?}");
    assert!(output.stderr.contains("request id"), "{output:?}");
}

/// Guards against a drain that drops record fields that are unknown to this version.
#[test]
fn draining_a_target_keeps_all_other_bytes() {
    let text = r#"{"schema": 1, "kind": "service", "name": "bookings", "spec": {"drain": ["a"], "later":  [1] }}"#;
    let version = serde_json::json!({
        "key": "service/bookings", "revision": 5, "schema": 1, "actor": "x", "request_id": "y",
        "at_unix_ms": 1, "text": text,
    });
    let replies = vec![
        Reply::new(200, &version.to_string()),
        Reply::new(200, IN_FORCE),
    ];
    let control = Stub::start(replies);
    let output = run_with(&[control.address], &["drain", "target", "bookings", "b"]);
    assert_eq!(output.code, 0, "{output:?}");
    let updated = &control.received()[1];
    assert!(updated.path.ends_with("expect=5"), "{}", updated.path);
    assert_eq!(updated.body, text.replace(r#"["a"]"#, r#"["a","b"]"#));
}

/// Guards against a drain of a VM that updates the wrong record.
#[test]
fn draining_a_vm_creates_its_record() {
    let control = Stub::start(vec![Reply::new(404, "{}"), Reply::new(200, IN_FORCE)]);
    let output = run_with(&[control.address], &["drain", "vm", "103"]);
    assert_eq!(output.code, 0, "{output:?}");
    let request = &control.received()[1];
    assert_eq!(request.path, "/v1/records/vm/103?wait=true");
    let record: serde_json::Value = serde_json::from_str(&request.body).expect("json");
    assert_eq!(record["name"], "103");
    assert_eq!(record["spec"]["drain"], true);
    let checked = run(&["check", &file("vm.json", &request.body)]);
    assert_eq!(checked.code, 0, "{checked:?}");
}

/// Guards against invalid records and settings that only a daemon would reject.
#[test]
fn check_lists_all_faults() {
    let good = file("good.json", RECORD);
    let output = run(&["check", &good]);
    assert_eq!(output.code, 0, "{output:?}");
    let bad = file(
        "bad.json",
        r#"{"schema": 1, "kind": "service", "name": "", "spec": {"hosts": [7]}}"#,
    );
    let output = run(&["check", "--json", &good, &bad]);
    assert_eq!(output.code, 1, "{output:?}");
    let checked: serde_json::Value = serde_json::from_str(&output.stdout).expect("json");
    assert!(
        checked[1]["faults"]
            .as_array()
            .is_some_and(|faults| faults.len() >= 2),
        "{checked}"
    );
    let settings = file("settings.jsonc", "{\n  \"vm\": 1,\n  \"lease\": 2\n}");
    let output = run(&["check", "--settings", "gateway", &settings]);
    assert_eq!(output.code, 2, "{output:?}");
    assert!(output.stderr.contains("line 3: key `lease`"), "{output:?}");
    assert_eq!(run(&["check", "/nonexistent/record.json"]).code, 2);
}

/// Guards against an invalid script that exits with success, or a seed option that is ignored.
#[test]
fn scenario_reports_faults_of_the_script() {
    let faulty = file("faulty.scn", "world keys\nat 5x go\n");
    let output = run(&["scenario", &faulty]);
    assert_eq!(output.code, 2, "{output:?}");
    assert!(output.stderr.contains("line 2, column 4"), "{output:?}");
    let empty = file("empty.scn", "world keys\nseed 3\nduration 1s\n");
    let output = run(&["scenario", &empty, "--seed", "9", "--json"]);
    assert_eq!(output.code, 0, "{output:?}");
    let report: serde_json::Value = serde_json::from_str(&output.stdout).expect("json");
    assert_eq!(
        (&report["seed"], &report["passed"]),
        (&9.into(), &true.into())
    );
}

/// Guards against unknown names that are ignored, and results that depend on the number of threads.
#[test]
fn bench_policy_runs_what_it_names() {
    for args in [
        ["--situation", "none"],
        ["--deployment", "none"],
        ["--contender", "none"],
    ] {
        let output = run(&[&["bench", "policy"][..], &args].concat());
        assert_eq!(output.code, 2, "{output:?}");
        assert!(output.stderr.contains("expected one of"), "{output:?}");
    }
    let small = [
        "bench",
        "policy",
        "--json",
        "--deployment",
        "association",
        "--situation",
        "calm",
        "--seeds",
        "1",
        "--length-ms",
        "100",
        "--threads",
    ];
    let one = run(&[&small[..], &["1"]].concat());
    let two = run(&[&small[..], &["2"]].concat());
    assert_eq!(one.code, 0, "{one:?}");
    assert_eq!(one.stdout, two.stdout);
    let result: serde_json::Value = serde_json::from_str(&one.stdout).expect("json");
    assert_eq!(result["measurement"], "policy");
    assert!(
        result["rows"].as_array().is_some_and(|rows| rows.len() > 1),
        "{result}"
    );
}
