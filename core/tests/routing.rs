//! The routing table: one of racing changes wins, resends are answered, invalid ones change nothing.

use std::time;

use wagtailshunt_core::{ledger, routing, state_machine, types};

fn route(service: &str, prefix: &str) -> routing::Route {
    routing::Route {
        host: "jobs.example".to_owned(),
        path_prefix: prefix.to_owned(),
        repeatable: true,
        timeout: time::Duration::from_millis(800),
        objective: time::Duration::from_millis(300),
        priority: 2,
        max_attempts: 2,
        shares: vec![routing::Share {
            service: types::ServiceName::from(service),
            weight: 1.0,
        }],
        document: String::new(),
    }
}

fn items(routes: &[(&str, routing::Route)]) -> routing::ConfigItems {
    let mut items = routing::ConfigItems::default();
    let service = routing::Service {
        health_path: "/healthz".to_owned(),
        max_connections: 300,
        document: String::new(),
    };
    items.services.insert("board".to_owned(), service);
    for (name, route) in routes {
        items.routes.insert((*name).to_owned(), route.clone());
    }
    items
}

fn replace(base: u64, version: u64, digest: u128, items: routing::ConfigItems) -> routing::Change {
    routing::Change {
        base: routing::Version(base),
        version: routing::Version(version),
        digest: ledger::Digest(digest),
        kind: routing::ChangeKind::Replace(items),
    }
}

fn first() -> routing::Table {
    let mut table = routing::Table::default();
    let change = replace(0, 5, 1, items(&[("a", route("board", "/a/"))]));
    assert_eq!(table.apply(&change), routing::ChangeResult::Accepted);
    table
}

/// Guards against two changes on the same version that are both acknowledged.
#[test]
fn one_of_two_racing_changes_wins() {
    let mut table = first();
    let one = replace(5, 7, 2, items(&[("a", route("board", "/b/"))]));
    let other = replace(5, 7, 3, items(&[("a", route("board", "/c/"))]));
    assert_eq!(table.apply(&one), routing::ChangeResult::Accepted);
    let current = routing::Version(7);
    assert_eq!(
        table.apply(&other),
        routing::ChangeResult::Conflict { current }
    );
    assert_eq!(table.items().routes["a"].path_prefix, "/b/");
}

/// Guards against the refusal of an order whose acknowledgement was lost, also after a snapshot.
#[test]
fn resent_change_is_answered_as_before() {
    let mut machine = state_machine::StateMachine::default();
    let change = replace(0, 5, 1, items(&[("a", route("board", "/a/"))]));
    let command = state_machine::Command::Change(Box::new(change));
    let decoded = state_machine::Command::decode(&command.encode().unwrap()).unwrap();
    assert_eq!(decoded, command);
    let accepted = state_machine::Reply::Change(routing::ChangeResult::Accepted);
    assert_eq!(machine.apply(&command), accepted);
    let mut restored = state_machine::StateMachine::restore(&machine.snapshot().unwrap()).unwrap();
    assert_eq!(restored.table, machine.table);
    let repeated = state_machine::Reply::Change(routing::ChangeResult::Repeated);
    assert_eq!(restored.apply(&command), repeated);
}

/// Guards against an invalid configuration in force; each fault is named.
#[test]
fn invalid_changes_are_refused() {
    type Spoil = fn(&mut routing::Route);
    let spoils: [Spoil; 6] = [
        |route| route.shares[0].service = types::ServiceName::from("unknown"),
        |route| route.shares[0].weight = 0.0,
        |route| route.shares[0].weight = -1.0,
        |route| route.timeout = time::Duration::ZERO,
        |route| route.max_attempts = 0,
        |route| route.path_prefix = "/a".to_owned(),
    ];
    for (i, spoil) in spoils.iter().enumerate() {
        let mut table = first();
        let before = table.clone();
        let mut spoiled = route("board", "/a/");
        spoil(&mut spoiled);
        let change = replace(5, 6, 2, items(&[("a", spoiled)]));
        let verdict = table.apply(&change);
        assert!(
            matches!(&verdict, routing::ChangeResult::Invalid(errors) if !errors.is_empty()),
            "{i}: {verdict:?}"
        );
        assert_eq!(table, before, "{i}");
    }
    let old = replace(5, 5, 2, items(&[]));
    let old = first().apply(&old);
    assert_eq!(
        old,
        routing::ChangeResult::Invalid(vec![routing::ValidationError::OldVersion])
    );
    let same = items(&[("a", route("board", "/a/")), ("b", route("board", "/a/"))]);
    let same = first().apply(&replace(5, 6, 2, same));
    assert!(matches!(same, routing::ChangeResult::Invalid(_)));
}

/// Guards against amendments that lose what they don't name.
#[test]
fn amendment_changes_only_what_it_names() {
    let mut table = first();
    let amend = routing::Change {
        base: routing::Version(5),
        version: routing::Version(9),
        digest: ledger::Digest(2),
        kind: routing::ChangeKind::Amend {
            upsert: routing::ConfigItems {
                routes: [("b".to_owned(), route("board", "/a/b/"))].into(),
                ..routing::ConfigItems::default()
            },
            delete_routes: ["gone".to_owned()].into(),
            delete_services: Default::default(),
        },
    };
    assert_eq!(table.apply(&amend), routing::ChangeResult::Accepted);
    let names: Vec<&String> = table.items().routes.keys().collect();
    assert_eq!(names, ["a", "b"]);
    assert!(table.items().services.contains_key("board"));
}

/// Guards against a call that goes by a shorter prefix than another route has.
#[test]
fn longest_prefix_of_the_host_wins() {
    let items = items(&[("a", route("board", "/a/")), ("b", route("board", "/a/b/"))]);
    let index = routing::Index::new(&items);
    let found = |host: &str, path: &str| index.find(host, path).map(|named| named.0.clone());
    assert_eq!(found("jobs.example", "/a/b/1").as_deref(), Some("b"));
    assert_eq!(found("JOBS.example:80", "/a/bc").as_deref(), Some("a"));
    assert_eq!(found("jobs.example", "/b/"), None);
    assert_eq!(found("other.example", "/a/"), None);
}
