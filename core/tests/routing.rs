//! Routing table: concurrent and resent changes, validation, updates of single items, route lookup.

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
        public: false,
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
        warmup: None,
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

fn table_at_version_5() -> routing::Table {
    let mut table = routing::Table::default();
    let change = replace(0, 5, 1, items(&[("a", route("board", "/a/"))]));
    assert_eq!(table.apply(&change), routing::ChangeResult::Accepted);
    table
}

/// Guards against acknowledging two concurrent changes that are based on the same version.
#[test]
fn one_of_two_concurrent_changes_is_accepted() {
    let mut table = table_at_version_5();
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

/// Guards against refusing a resent change whose acknowledgement was lost, also when the replica
/// was restored from a snapshot in between.
#[test]
fn resent_change_is_recognised() {
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

/// Guards against applying an invalid configuration, or refusing one without a reason.
#[test]
fn invalid_changes_are_refused() {
    type Invalidate = fn(&mut routing::Route);
    let invalidations: [Invalidate; 6] = [
        |route| route.shares[0].service = types::ServiceName::from("unknown"),
        |route| route.shares[0].weight = 0.0,
        |route| route.shares[0].weight = -1.0,
        |route| route.timeout = time::Duration::ZERO,
        |route| route.max_attempts = 0,
        |route| route.path_prefix = "/a".to_owned(),
    ];
    for (i, invalidate) in invalidations.iter().enumerate() {
        let mut table = table_at_version_5();
        let before = table.clone();
        let mut invalid = route("board", "/a/");
        invalidate(&mut invalid);
        let change = replace(5, 6, 2, items(&[("a", invalid)]));
        let result = table.apply(&change);
        assert!(
            matches!(&result, routing::ChangeResult::Invalid(errors) if !errors.is_empty()),
            "{i}: {result:?}"
        );
        assert_eq!(table, before, "{i}");
    }
    let old = replace(5, 5, 2, items(&[]));
    let old = table_at_version_5().apply(&old);
    assert_eq!(
        old,
        routing::ChangeResult::Invalid(vec![routing::ValidationError::OldVersion])
    );
    let same = items(&[("a", route("board", "/a/")), ("b", route("board", "/a/"))]);
    let same = table_at_version_5().apply(&replace(5, 6, 2, same));
    assert!(matches!(same, routing::ChangeResult::Invalid(_)));
}

/// Guards against an update that drops routes or services that it does not name.
#[test]
fn update_keeps_items_that_it_does_not_name() {
    let mut table = table_at_version_5();
    let update = routing::Change {
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
            delete_workspaces: Default::default(),
        },
    };
    assert_eq!(table.apply(&update), routing::ChangeResult::Accepted);
    let names: Vec<&String> = table.items().routes.keys().collect();
    assert_eq!(names, ["a", "b"]);
    assert!(table.items().services.contains_key("board"));
}

/// Guards against routing a call by a shorter prefix although a route with a longer one matches.
#[test]
fn longest_matching_prefix_of_the_host_is_found() {
    let items = items(&[("a", route("board", "/a/")), ("b", route("board", "/a/b/"))]);
    let index = routing::Index::new(&items);
    let found = |host: &str, path: &str| index.find(host, path).map(|named| named.0.clone());
    assert_eq!(found("jobs.example", "/a/b/1").as_deref(), Some("b"));
    assert_eq!(found("JOBS.example:80", "/a/bc").as_deref(), Some("a"));
    assert_eq!(found("jobs.example", "/b/"), None);
    assert_eq!(found("other.example", "/a/"), None);
}
