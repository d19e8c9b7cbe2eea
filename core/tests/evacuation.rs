//! Evacuated failure domains: the command in the log, the replicated state, and the targets that calls
//! may go to.

use std::time;

use bytes::Bytes;
use rand::{SeedableRng, rngs};
use serde::Deserialize;
use wagtailshunt_core::{
    evacuation::{Action, Evacuations, Order},
    fleet, ledger, placement, routing,
    state_machine::{Command, StateMachine},
    time as core_time, types,
};

fn order(domain: &str, action: Action) -> Order {
    Order {
        failure_domain: types::FailureDomain::from(domain),
        action,
    }
}

fn encoded(order: &Order) -> Bytes {
    Command::Evacuate(order.clone()).encode().unwrap()
}

/// The commands of 9cc22dc.
#[derive(Debug, Deserialize)]
enum EarlierCommand {
    Change(Box<routing::Change>),
    #[allow(dead_code, reason = "not part of the test")]
    Depart(fleet::TargetIncarnation),
}

/// Guards against a process of 9cc22dc that ends, or changes its state, when it applies an
/// evacuation; at any version, including the one that the command names.
#[test]
fn process_of_9cc22dc_refuses_the_command() {
    let bytes = encoded(&order("there", Action::Start));
    let EarlierCommand::Change(change) = serde_json::from_slice(&bytes).unwrap() else {
        panic!("not a change");
    };
    for version in [0, 1, u64::MAX] {
        let version = routing::Version(version);
        let digests = [ledger::Digest(1)];
        let mut table = routing::Table::from_parts(version, Default::default(), digests);
        let before = table.clone();
        let result = table.apply(&change);
        let conflict = routing::ChangeResult::Conflict { current: version };
        let old = routing::ChangeResult::Invalid(vec![routing::ValidationError::OldVersion]);
        assert!(result == conflict || version.0 == u64::MAX && result == old);
        assert_eq!(table, before);
    }
}

/// Guards against an order that changes on its way through the log, and against a change of the same
/// base that is taken for an order.
#[test]
fn orders_and_changes_are_told_apart() {
    for action in [Action::Start, Action::End] {
        let command = Command::Evacuate(order("there", action));
        assert_eq!(
            Command::decode(&command.encode().unwrap()).unwrap(),
            command
        );
    }
    let change = Command::Change(Box::new(routing::Change {
        base: routing::Version(u64::MAX),
        version: routing::Version(u64::MAX),
        digest: ledger::Digest(7),
        kind: routing::ChangeKind::Replace(routing::ConfigItems::default()),
    }));
    assert_eq!(Command::decode(&change.encode().unwrap()).unwrap(), change);
}

/// Guards against an evacuation that a snapshot loses, a snapshot of 9cc22dc that cannot be read, and
/// a resent order that has a second effect.
#[test]
fn snapshot_holds_the_evacuated_domains() {
    let mut machine = StateMachine::default();
    let without = machine.snapshot().unwrap();
    assert!(!String::from_utf8_lossy(&without).contains("evacuated"));
    assert_eq!(
        StateMachine::restore(&without).unwrap().evacuated,
        machine.evacuated
    );
    for each in [
        order("a", Action::Start),
        order("b", Action::Start),
        order("b", Action::Start),
        order("a", Action::End),
        order("a", Action::End),
    ] {
        machine.apply(&Command::decode(&encoded(&each)).unwrap());
        assert!(machine.evacuated.is_applied(&each));
    }
    let restored = StateMachine::restore(&machine.snapshot().unwrap()).unwrap();
    let expected: Evacuations = [types::FailureDomain::from("b")].into_iter().collect();
    assert_eq!(restored.evacuated, expected);
    let orders = restored.evacuated.orders_since(&Evacuations::default());
    assert_eq!(orders, [order("b", Action::Start)]);
}

/// Guards against calls and regular probes that go to targets of an evacuated domain, and against
/// targets that get none after its end.
#[test]
fn targets_of_an_evacuated_domain_are_no_candidates() {
    let now = core_time::Instant(0);
    let own = types::FailureDomain::from("here");
    let rng = rngs::SmallRng::seed_from_u64(1);
    let mut placement = placement::Placement::new(Default::default(), own.clone(), rng);
    let service = types::ServiceName::from("board");
    for (i, domain) in ["here", "here", "there"].into_iter().enumerate() {
        let announcement = fleet::Announcement {
            target: types::TargetId(format!("t{i}")),
            service: service.clone(),
            address: ([10, 0, 0, 1], 1000 + i as u16).into(),
            failure_domain: types::FailureDomain::from(domain),
            slots: 3,
            born: core_time::UnixMillis(1),
            sequence: 1,
            warmup_left: time::Duration::ZERO,
        };
        placement.add(now, &announcement);
    }
    let demand = placement::Demand {
        service: &service,
        work: time::Duration::from_millis(100),
        tried: &[],
    };
    placement.set_evacuations(&[own].into_iter().collect());
    let ranked = placement.ranked(now, &demand);
    let ids: Vec<&str> = ranked.iter().map(|choice| choice.target.as_str()).collect();
    assert_eq!(ids, ["t2"]);
    assert_eq!(placement.group_targets().count(), 0);
    placement.set_evacuations(&Evacuations::default());
    assert_eq!(placement.ranked(now, &demand).len(), 3);
    assert_eq!(placement.group_targets().count(), 2);
}
