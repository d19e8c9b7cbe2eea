//! Settings files: the examples load, and each error names its key and line.

use std::{collections, fs, path};

use wagtailshunt::settings;

const GATEWAY: &str = r#"{
    "vm": 101, // comment
    "failure_domain": "north",
    "listen": "0.0.0.0:8080",
    "admin": "192.0.2.1:8081",
    "control": {
        "1": "192.0.2.1:7400",
        "2": "192.0.2.2:7400"
    },
    "keys": { "cluster": "c-key", "target": "t-key", "operator": "o-key" }
}"#;

const CONTROL: &str = r#"{
    "vm": 1,
    "failure_domain": "north",
    "listen": "192.0.2.1:7400",
    "admin": "192.0.2.1:7401",
    "data": "state",
    "peers": {
        "1": { "peer": "192.0.2.1:7400", "admin": "192.0.2.1:7401" },
        "2": { "peer": "192.0.2.2:7400", "admin": "192.0.2.2:7401" }
    },
    "bootstrap": [1, 2],
    "keys": { "cluster": "c-key", "target": "t-key", "operator": "o-key" },
    "timing": { "lease_ms": 1900 }
}"#;

fn examples() -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/examples")
}

/// Parses `text` with `from` replaced by `to`, and returns the text of the error.
fn error_text<T: settings::Settings>(text: &str, from: &str, to: &str) -> String {
    assert!(text.contains(from), "{from} is not part of the text");
    let text = text.replacen(from, to, 1);
    let parsed = settings::parse::<T>(&text, &examples().join("association"));
    let error = parsed
        .err()
        .unwrap_or_else(|| panic!("settings are accepted with {to}"));
    error.to_string()
}

fn assert_errors<T: settings::Settings>(text: &str, cases: &[(&str, &str, &str, &str)]) {
    for (from, to, prefix, part) in cases {
        let shown = error_text::<T>(text, from, to);
        assert!(shown.starts_with(prefix), "{to}: {shown}");
        assert!(shown.contains(part), "{to}: {shown}");
    }
}

/// Guards against example settings that the code does not accept, or whose control VMs and failure
/// domains do not fit together.
#[test]
fn example_settings_load() {
    for (user, gateways, voters) in [("association", 7, 5), ("krittlinje", 7, 3)] {
        let folder = examples().join(user);
        let mut domains = collections::BTreeMap::new();
        let (mut gateway_count, mut control_count) = (0, 0);
        for entry in fs::read_dir(&folder).expect("examples") {
            let file = entry.expect("entry").path();
            let name = file
                .file_name()
                .and_then(|name| name.to_str())
                .unwrap_or_default();
            if name.starts_with("gateway") {
                let gateway: settings::Gateway = settings::load(&file).expect(name);
                assert_eq!(gateway.control.len(), voters, "{name}");
                gateway_count += 1;
            } else if name.starts_with("control") {
                let control: settings::Control = settings::load(&file).expect(name);
                assert_eq!(control.bootstrap.len(), voters, "{name}");
                assert_eq!(control.peers[&control.vm].admin, control.admin, "{name}");
                *domains.entry(control.failure_domain).or_insert(0) += 1;
                control_count += 1;
            }
        }
        assert_eq!((gateway_count, control_count), (gateways, voters), "{user}");
        assert!(
            domains.values().all(|count| *count <= 2),
            "{user}: {domains:?}"
        );
    }
}

/// Guards against a gateway that accepts invalid settings, or an error without its key and line.
#[test]
fn gateway_errors_name_key_and_line() {
    settings::parse::<settings::Gateway>(GATEWAY, &examples()).expect("the base text is valid");
    assert_errors::<settings::Gateway>(
        GATEWAY,
        &[
            ("\"vm\": 101,", "", "line 1: key `vm`", "missing"),
            ("\"vm\": 101", "\"vm\": \"one\"", "line 2: key `vm`", "u32"),
            (
                "\"listen\"",
                "\"lisen\"",
                "line 4: key `lisen`",
                "unknown field",
            ),
            (
                "0.0.0.0:8080",
                "0.0.0.0",
                "line 4: key `listen`",
                "socket address",
            ),
            (
                "192.0.2.1:8081",
                "192.0.2.1:8080",
                "line 5: key `admin`",
                "clashes with key `listen`",
            ),
            (
                "192.0.2.2:7400",
                "192.0.2.2:0",
                "line 8: key `control.2`",
                "connect",
            ),
            (
                "192.0.2.2:7400",
                "192.0.2.1:7400",
                "line 8: key `control.2`",
                "`control.1`",
            ),
            (
                "\"2\":",
                "\"two\":",
                "line 6: key `control`",
                "`two` is not a VM id",
            ),
            ("\"t-key\"", "\"\"", "line 10: key `keys.target`", "missing"),
            (
                "\"t-key\"",
                "\"o-key\"",
                "line 10: key `keys.operator`",
                "`keys.target`",
            ),
            (
                "\"target\": \"t-key\"",
                "\"target_file\": \"keys/none.key\"",
                "line 10: key `keys.target_file`",
                "none.key",
            ),
            (
                "\"t-key\"",
                "\"t-key\", \"target_file\": \"keys/target.key\"",
                "line 10: key `keys.target_file`",
                "clashes",
            ),
            (
                "\"vm\"",
                "\"max_header_bytes\": 1, \"vm\"",
                "line 2: key `max_header_bytes`",
                "8192",
            ),
            (
                "\"vm\"",
                "\"drain_limit\": 1, \"vm\"",
                "line 2: key `drain_limit`",
                "drain_limit_ms",
            ),
            ("101,", "101", "line 2", "comma"),
        ],
    );
}

/// Guards against a control daemon that accepts unusable peer addresses or inconsistent times.
#[test]
fn control_errors_name_key_and_line() {
    settings::parse::<settings::Control>(CONTROL, &examples()).expect("the base text is valid");
    assert_errors::<settings::Control>(
        CONTROL,
        &[
            (
                ", \"admin\": \"192.0.2.2:7401\"",
                "",
                "line 9: key `peers.2.admin`",
                "missing field",
            ),
            (
                "\"192.0.2.2:7401\"",
                "\"192.0.2.2:7400\"",
                "line 9: key `peers.2.admin`",
                "clashes",
            ),
            (
                "\"vm\": 1",
                "\"vm\": 3",
                "line 7: key `peers`",
                "no entry for this VM",
            ),
            ("[1, 2]", "[1, 3]", "line 11: key `bootstrap`", "VM 3"),
            ("1900", "3000", "line 13: key `timing.lease_ms`", "2900"),
            ("1900", "\"2s\"", "line 13: key `timing.lease_ms`", "u64"),
            (
                "\"lease_ms\"",
                "\"lease_s\"",
                "line 13: key `timing.lease_s`",
                "lease_ms",
            ),
            (
                "\"lease_ms\": 1900",
                "\"election_min_ms\": 1000",
                "line 13: key `timing.election_max_ms`",
                "between 1001",
            ),
        ],
    );
}

/// Guards against an error for a missing file that does not name the file.
#[test]
fn missing_file_error_names_the_file() {
    let path = examples().join("none.jsonc");
    let err = settings::load::<settings::Gateway>(&path).expect_err("missing");
    assert!(err.to_string().contains("none.jsonc"), "{err}");
}

/// Guards against secret keys in debug output, which can reach the logs.
#[test]
fn debug_output_hides_keys() {
    let gateway: settings::Gateway =
        settings::parse(GATEWAY, &examples()).expect("the base text is valid");
    let shown = format!("{gateway:?}");
    assert!(
        !shown.contains("t-key") && !shown.contains("o-key"),
        "{shown}"
    );
}
