//! Command line and settings errors of the daemon programs.

use std::{fs, path, process};

const DAEMONS: [&str; 2] = [
    env!("CARGO_BIN_EXE_wagtailshunt-gateway"),
    env!("CARGO_BIN_EXE_wagtailshunt-control"),
];

/// Runs a daemon; returns its exit code and standard error.
fn run(daemon: &str, args: &[&str]) -> (Option<i32>, String) {
    let output = process::Command::new(daemon).args(args).output();
    let output = output.expect("daemon runs");
    let stderr = String::from_utf8(output.stderr).expect("text");
    (output.status.code(), stderr)
}

/// Guards against a daemon that starts with invalid settings, prints more than one error line, or
/// exits with a code other than 2, which the platform expects.
#[test]
fn invalid_settings_give_one_error_and_exit_code_2() {
    let folder = path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let invalid = folder.join("invalid.jsonc");
    fs::write(&invalid, "{\n  // comment\n  \"vms\": 1\n}\n").expect("writable");
    let invalid = invalid.to_str().expect("text");
    let cases: [(&[&str], &str); 4] = [
        (&[], "--config"),
        (&["--confg", "x"], "confg"),
        (
            &["--config", "/nonexistent/x.jsonc"],
            "/nonexistent/x.jsonc",
        ),
        (&["--config", invalid], "line 3: key `vms`: unknown field"),
    ];
    for daemon in DAEMONS {
        for (args, message) in cases {
            let (code, stderr) = run(daemon, args);
            assert_eq!(code, Some(2), "{daemon} {args:?}: {stderr}");
            assert!(stderr.contains(message), "{daemon} {args:?}: {stderr}");
            assert_eq!(stderr.lines().count(), 1, "{daemon} {args:?}: {stderr}");
        }
    }
}

/// Guards against example settings that the daemon programs do not accept.
#[test]
fn daemons_accept_example_settings() {
    let examples = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/examples");
    for (daemon, example) in DAEMONS.iter().zip(["gateway-1.jsonc", "control-1.jsonc"]) {
        for user in ["association", "krittlinje"] {
            let file = examples.join(user).join(example);
            let file = file.to_str().expect("text");
            let (code, stderr) = run(daemon, &["--config", file, "--check"]);
            assert_eq!(code, Some(0), "{file}: {stderr}");
        }
    }
}
