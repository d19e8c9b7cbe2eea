//! Registry: compare-and-set, resent requests, schemas, route conflicts, changes and snapshots.

use std::collections;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use wagtailshunt_core::records::{Key, Kind, Table};
use wagtailshunt_core::registry::{Command, Reason, Registry, Reply};
use wagtailshunt_core::time::UnixMillis;
use wagtailshunt_core::types::{FailureDomain, LogIndex, RequestId, Revision, Role, VmId};

const START: u64 = 1_800_000_000_000;
const DAY: u64 = 24 * 60 * 60 * 1000;

fn id(at: u64, random: u64) -> RequestId {
    let hex = format!("{at:012x}7000{:016x}", random | 1 << 63);
    let parts = [
        &hex[..8],
        &hex[8..12],
        &hex[12..16],
        &hex[16..20],
        &hex[20..],
    ];
    RequestId(parts.join("-"))
}

fn text(name: &str, schema: u32, note: u64) -> String {
    format!(
        r#"{{"schema":{schema},"kind":"service","name":"{name}","spec":{{"hosts":["{name}.example"],"note":{note}}}}}"#
    )
}

fn put(id: RequestId, expect: u64, text: String, now: u64) -> Command {
    let expect = Some(Revision(expect));
    Command::Put {
        request_id: id,
        expect,
        actor: "op".to_owned(),
        text,
        now: UnixMillis(now),
    }
}

fn register(vm: u32, schemas: &[u32]) -> Command {
    Command::RegisterVm {
        vm: VmId(vm),
        role: Role::Gateway,
        failure_domain: FailureDomain::from("a"),
        schemas: schemas.to_vec(),
        now: UnixMillis(START),
    }
}

fn key(name: &str) -> Key {
    Key::new(Kind::Service, name)
}

/// Guards against applying a resent request twice, also on a replica restored from a snapshot.
#[test]
fn request_ids_are_stored_for_a_day_and_in_snapshots() {
    let mut registry = Registry::default();
    let first = put(id(START, 1), 0, text("a", 1, 1), START);
    let accepted = Reply::Accepted {
        revision: Revision(1),
    };
    assert_eq!(registry.apply(LogIndex(1), &first), accepted);
    let mut restored = Registry::restore(&registry.snapshot()).expect("snapshot");
    let repeated = Reply::Repeated(Box::new(accepted));
    assert_eq!(restored.apply(LogIndex(2), &first), repeated);
    assert_eq!(registry.apply(LogIndex(2), &first), repeated);
    assert_eq!(registry.revision(), Revision(1));
    let refused = |reason| Reply::Refused { reason };
    let other = put(id(START, 1), 1, text("a", 1, 2), START);
    assert_eq!(
        registry.apply(LogIndex(3), &other),
        refused(Reason::IdReused)
    );
    let ahead = put(id(START + 400_000, 2), 1, text("a", 1, 2), START);
    assert_eq!(
        registry.apply(LogIndex(4), &ahead),
        refused(Reason::IdInFuture)
    );
    let later = put(id(START, 1), 0, text("a", 1, 1), START + DAY + 1);
    assert_eq!(
        registry.apply(LogIndex(5), &later),
        refused(Reason::IdTooOld)
    );
    assert_eq!(registry.id_count(), 0);
    // A leader whose clock is behind does not make an expired id valid again.
    assert_eq!(
        registry.apply(LogIndex(6), &first),
        refused(Reason::IdTooOld)
    );
}

/// Guards against unbounded memory, and against accepting a change that could not be recognised
/// when resent.
#[test]
fn surplus_request_ids_are_refused() {
    let mut registry = Registry::default();
    for number in 0..65_536 {
        let conflict = put(id(START, number), 9, text("a", 1, 0), START);
        assert!(matches!(
            registry.apply(LogIndex(1), &conflict),
            Reply::Conflict { .. }
        ));
    }
    let refused = Reply::Refused {
        reason: Reason::TooManyIds,
    };
    let surplus = put(id(START, 65_536), 0, text("a", 1, 0), START);
    assert_eq!(registry.apply(LogIndex(2), &surplus), refused);
    let next_day = put(id(START + DAY, 1), 0, text("a", 1, 0), START + DAY + 1);
    assert_eq!(
        registry.apply(LogIndex(3), &next_day),
        Reply::Accepted {
            revision: Revision(3)
        }
    );
}

/// Guards against accepting a record that a registered VM ignores because it cannot enforce it.
#[test]
fn schemas_that_a_vm_cannot_enforce_are_refused() {
    let mut registry = Registry::default();
    registry.apply(LogIndex(1), &register(7, &[1]));
    registry.apply(LogIndex(2), &register(8, &[1, 2]));
    let unsupported = |vm| Reply::Unsupported {
        vms: vec![VmId(vm)],
    };
    let second = |number| put(id(START, number), 0, text("a", 2, 0), START);
    assert_eq!(registry.apply(LogIndex(3), &second(1)), unsupported(7));
    registry.apply(LogIndex(4), &register(7, &[1, 2]));
    assert!(matches!(
        registry.apply(LogIndex(5), &second(2)),
        Reply::Accepted { .. }
    ));
    assert_eq!(
        registry.apply(LogIndex(6), &register(9, &[1])),
        unsupported(9)
    );
    // The schema is checked before the spec. Otherwise replicas of two versions would disagree.
    let third = put(
        id(START, 3),
        0,
        r#"{"schema":3,"kind":"vm","name":"1"}"#.into(),
        START,
    );
    let all = Reply::Unsupported {
        vms: vec![VmId(7), VmId(8)],
    };
    assert_eq!(registry.apply(LogIndex(7), &third), all);
}

/// Guards against two services with the same route.
#[test]
fn conflicting_routes_are_invalid() {
    let mut registry = Registry::default();
    registry.apply(LogIndex(1), &put(id(START, 1), 0, text("a", 1, 0), START));
    let conflicting = text("b", 1, 0).replace("b.example", "a.example");
    let reply = registry.apply(
        LogIndex(2),
        &put(id(START, 2), 0, conflicting.clone(), START),
    );
    let Reply::Invalid { faults } = reply else {
        panic!("{reply:?}")
    };
    assert_eq!(faults[0].path, "$.spec.hosts[0]");
    let delete = Command::Delete {
        request_id: id(START, 3),
        key: key("a"),
        expect: Revision(1),
        actor: "op".to_owned(),
        now: UnixMillis(START),
    };
    assert_eq!(
        registry.apply(LogIndex(3), &delete),
        Reply::Accepted {
            revision: Revision(3)
        }
    );
    let reply = registry.apply(LogIndex(4), &put(id(START, 4), 0, conflicting, START));
    assert_eq!(
        reply,
        Reply::Accepted {
            revision: Revision(4)
        }
    );
    assert_eq!(registry.history(&key("a")).count(), 2);
}

/// Guards against an older daemon that drops data of a newer one when it restores a snapshot.
#[test]
fn unknown_parts_of_a_snapshot_are_kept() {
    let mut registry = Registry::default();
    registry.apply(LogIndex(1), &register(7, &[1]));
    registry.apply(LogIndex(2), &put(id(START, 1), 0, text("a", 1, 0), START));
    let snapshot = String::from_utf8(registry.snapshot().to_vec()).expect("text");
    let newer = snapshot
        .replace("\"format\":1", "\"format\":2,\"epoch\":5")
        .replace(
            "\"role\":\"gateway\"",
            "\"role\":\"gateway\",\"cores\":{\"n\":4}",
        )
        + "{\"quota\":{\"a\": 1.50}}\n";
    let kept = Registry::restore(newer.as_bytes())
        .expect("readable")
        .snapshot();
    let kept = String::from_utf8(kept.to_vec()).expect("text");
    for part in [
        "\"epoch\":5",
        "\"cores\":{\"n\":4}",
        "{\"quota\":{\"a\": 1.50}}",
    ] {
        assert!(kept.contains(part), "{part} in {kept}");
    }
    assert!(Registry::restore(newer.replace("\"reader\":1", "\"reader\":2").as_bytes()).is_err());
    assert!(Registry::restore(&newer.as_bytes()[..newer.len() / 2]).is_err());
}

/// One action of one of several operators who update the same records.
#[derive(Clone, Debug)]
struct Step {
    operator: u8,
    record: u8,
    kind: u8,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        Step {
            operator: u8::arbitrary(g) % 4,
            record: u8::arbitrary(g) % 3,
            kind: u8::arbitrary(g) % 8,
        }
    }
}

/// Operators read records, update the revision that they read, and resend requests. The accepted
/// writes of each record must form one chain, in which each write expects the revision before it.
fn accepted_writes_form_one_chain(steps: Vec<Step>) -> bool {
    let mut registry = Registry::default();
    let mut replica = Registry::default();
    let mut table = Table::default();
    let mut read = collections::BTreeMap::new();
    let mut sent: Vec<(Command, Reply)> = Vec::new();
    let mut chains: collections::BTreeMap<u8, u64> = collections::BTreeMap::new();
    for (at, step) in steps.iter().enumerate() {
        let index = LogIndex(at as u64 + 1);
        let name = format!("r{}", step.record);
        if step.kind < 3 {
            let current = registry
                .get(&key(&name))
                .map_or(0, |version| version.revision.0);
            read.insert((step.operator, step.record), current);
            continue;
        }
        let (command, first) = if step.kind == 3 && !sent.is_empty() {
            let (command, reply) = sent[at % sent.len()].clone();
            (command, Some(reply))
        } else {
            let expect = read
                .get(&(step.operator, step.record))
                .copied()
                .unwrap_or_default();
            let request = id(START, at as u64);
            (put(request, expect, text(&name, 1, at as u64), START), None)
        };
        let reply = registry.apply(index, &command);
        if reply != replica.apply(index, &command) {
            return false;
        }
        if let Some(first) = first {
            if reply != Reply::Repeated(Box::new(first)) {
                return false;
            }
            continue;
        }
        let Command::Put {
            expect: Some(expect),
            ..
        } = &command
        else {
            return false;
        };
        let last = chains.entry(step.record).or_default();
        match &reply {
            Reply::Accepted { revision } if expect.0 == *last => *last = revision.0,
            Reply::Conflict { current, .. } if current.0 == *last && expect.0 != *last => {}
            _ => return false,
        }
        sent.push((command, reply));
        if step.kind == 4 {
            replica = Registry::restore(&replica.snapshot()).expect("snapshot");
            table
                .apply(&registry.changes_since(table.revision()))
                .expect("in order");
        }
    }
    table
        .apply(&registry.changes_since(table.revision()))
        .expect("in order");
    let same = registry.list().all(|(key, version)| {
        table
            .get(key)
            .is_some_and(|(revision, _)| revision == version.revision)
    });
    registry == replica && same && table.iter().count() == registry.list().count()
}

/// Guards against lost updates, two accepted writes on the same revision, resent writes that are
/// applied twice, and replicas that diverge.
#[test]
fn concurrent_operators() {
    let property: fn(Vec<Step>) -> bool = accepted_writes_form_one_chain;
    QuickCheck::new()
        .rng(Gen::new(120))
        .tests(300)
        .quickcheck(property);
}
