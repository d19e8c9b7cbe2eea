//! Records: validation errors, unknown fields, effective spec and routes.

use std::time;

use wagtailshunt_core::{records, types::ServiceName};

const FULL: &str = r#"{"schema": 2, "kind": "service", "name": "jobs", "colour" : {"b":1,  "a":2},
  "spec": {"hosts": ["jobs.example"], "path_prefix": "/v1/", "timeout_ms": 250,
    "policy": {"name": "probing", "pool_size": 16}, "key_required_methods": ["PUT"],
    "hedge": {"enabled": false, "later": [1, 2]}, "future_field": 1.50, "priority": 7}}"#;

fn error_paths(text: &str) -> Vec<String> {
    let errors = records::parse(text).expect_err("record is invalid");
    errors.into_iter().map(|error| error.path).collect()
}

/// Guards against reporting only the first error, so that an operator needs one attempt per error.
#[test]
fn all_errors_are_listed_with_their_paths() {
    let text = r#"{"schema": 2, "kind": "service", "name": "Bad Name", "spec": {
        "hosts": ["UPPER.example", 7, ""], "path_prefix": "x", "timeout_ms": 0,
        "policy": {"name": "magic", "x-y": "z"}, "hedge": {"max_permille": 900},
        "idempotent_methods": ["GET", "POST"], "key_required_methods": ["POST"],
        "retry": 3, "queue_limit": 1, "queue_limit": 2}}"#;
    let expected = [
        "$.name",
        "$.spec.queue_limit",
        "$.spec.hosts[1]",
        "$.spec.hosts[1]",
        "$.spec.hosts[0]",
        "$.spec.hosts[1]",
        "$.spec.path_prefix",
        "$.spec.key_required_methods",
        "$.spec.timeout_ms",
        "$.spec.policy.name",
        "$.spec.policy.x-y",
        "$.spec.hedge.max_permille",
        "$.spec.retry",
    ];
    assert_eq!(error_paths(text), expected);
}

/// Guards against a panic or a missing path if the text is not a JSON object.
#[test]
fn malformed_texts_have_an_error_at_the_root() {
    for text in ["", "[]", "{", "{\"schema\": 1,}", "null", &" ".repeat(5000)] {
        assert_eq!(error_paths(text), ["$"], "{text:.20}");
    }
    assert_eq!(
        error_paths("{}"),
        ["$.schema", "$.kind", "$.name", "$.spec"]
    );
    assert_eq!(
        error_paths(r#"{"schema":3,"kind":"vm","name":"1","spec":{}}"#),
        ["$.schema"]
    );
    assert_eq!(
        error_paths(r#"{"schema":1,"kind":"vm","name":"01","spec":{}}"#),
        ["$.name"]
    );
}

/// Guards against dropping or reformatting fields that only a newer version knows.
#[test]
fn unknown_fields_are_reported_and_kept_byte_for_byte() {
    let record = records::parse(FULL).expect("valid record");
    let unknown: Vec<(&str, &str)> = record
        .unknown
        .iter()
        .map(|field| (field.path.as_str(), field.value.as_str()))
        .collect();
    let expected = [
        ("$.spec.hedge.later", "[1, 2]"),
        ("$.spec.future_field", "1.50"),
        ("$.colour", r#"{"b":1,  "a":2}"#),
    ];
    assert_eq!(unknown, expected);
    assert_eq!(record.text, FULL);
    let updated = records::set_spec_field(FULL, "timeout_ms", "300").expect("updated");
    assert_eq!(updated, FULL.replace("250", "300"));
    let updated = records::set_spec_field(FULL, "drain", r#"["t1"]"#).expect("updated");
    assert_eq!(updated, FULL.replace(r#": 7}"#, r#": 7, "drain": ["t1"]}"#));
}

/// Guards against a field that has another meaning in schema 1 than in schema 2, so that a record is
/// enforced differently after an upgrade.
#[test]
fn both_schemas_have_the_same_effective_spec() {
    let spec = |schema: u32| {
        let text = FULL.replace("\"schema\": 2", &format!("\"schema\": {schema}"));
        records::parse(&text)
            .expect("valid record")
            .service()
            .expect("service")
            .clone()
    };
    let (first, second) = (spec(1), spec(2));
    assert_eq!(first.path_prefix, "/v1");
    assert_eq!(first.timeout, time::Duration::from_millis(250));
    assert_eq!(
        first.idempotent_methods,
        ["GET", "HEAD", "OPTIONS", "DELETE"]
    );
    assert_eq!(
        (first.hedge, first.priority),
        (records::Hedge::default(), 100)
    );
    assert!(!second.hedge.enabled);
    let second = records::ServiceSpec {
        hedge: first.hedge,
        priority: 100,
        ..second
    };
    assert_eq!(first, second);
}

/// Guards against routing a call by a shorter prefix, or by a prefix that ends within a segment.
#[test]
fn longest_prefix_of_whole_segments_matches() {
    let mut routes = records::Routes::default();
    let mut insert = |name: &str, host: &str, prefix: &str| {
        let spec = records::ServiceSpec {
            hosts: vec![host.to_owned()],
            path_prefix: prefix.to_owned(),
            ..records::ServiceSpec::default()
        };
        let errors = routes.conflicts(&ServiceName::from(name), &spec);
        if errors.is_empty() {
            routes.insert(&ServiceName::from(name), &spec);
        }
        errors.len()
    };
    insert("root", "a.example", "/");
    insert("book", "a.example", "/book");
    insert("deep", "a.example", "/book/x/y");
    insert("any", "*", "/all");
    assert_eq!(insert("other", "a.example", "/book"), 1);
    assert_eq!(insert("book", "a.example", "/book"), 0);
    let cases = [
        ("A.example:8080", "/book?x=/book/x/y", Some("book")),
        ("a.example", "/bookings", Some("root")),
        ("a.example", "/book/x/y/z", Some("deep")),
        ("a.example", "/book/x/yz", Some("book")),
        ("a.example", "", Some("root")),
        ("[::1]:80", "/all/", Some("any")),
        ("b.example", "/", None),
    ];
    for (host, path, service) in cases {
        let found = routes.lookup(host, path).map(ServiceName::as_str);
        assert_eq!(found, service, "{host} {path}");
    }
}

/// Guards against example records in the docs that are invalid.
#[test]
fn example_records_are_valid() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/examples");
    let mut checked = 0;
    for user in ["association", "krittlinje"] {
        for entry in std::fs::read_dir(folder.join(user).join("records")).expect("folder") {
            let path = entry.expect("entry").path();
            let text = std::fs::read_to_string(&path).expect("readable");
            let record = records::parse(&text);
            assert!(record.is_ok(), "{}: {record:?}", path.display());
            checked += 1;
        }
    }
    assert_eq!(checked, 4);
}
