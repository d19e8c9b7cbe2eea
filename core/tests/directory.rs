//! Directory: late announcements, drains, digests, changes of leader and bounds.

use quickcheck::{Gen, QuickCheck};
use wagtailshunt_core::directory::{
    Announcement, Change, Config, Directory, Key, Refusal, RegisteredTargets, State, Target,
    TargetChange, Version, View, ViewComparison,
};
use wagtailshunt_core::time::Instant;
use wagtailshunt_core::types::{FailureDomain, Incarnation, ServiceName, TargetId, Term, VmId};

const A: VmId = VmId(1);
const B: VmId = VmId(2);
const ONE: Incarnation = Incarnation(1);

fn ms(at: u64) -> Instant {
    Instant(at * 1000)
}

fn target(id: u32, incarnation: u64, state: State) -> Target {
    Target {
        key: Key {
            service: ServiceName::from("s"),
            id: TargetId(format!("t{id}")),
        },
        incarnation: Incarnation(incarnation),
        address: format!("10.0.0.{}:80", incarnation % 250)
            .parse()
            .expect("address"),
        failure_domain: FailureDomain::from("a"),
        slots: 3,
        state,
    }
}

fn announce(
    registered: &mut RegisteredTargets,
    at: u64,
    target: Target,
) -> Result<Option<Change>, Refusal> {
    registered.announce(ms(at), &Announcement { target, load: None })
}

fn joined(registered: &mut RegisteredTargets, at: u64, target: Target) -> Change {
    announce(registered, at, target)
        .expect("taken")
        .expect("change")
}

/// A directory that knows of no gateway to wait for.
fn directory(term: u64) -> Directory {
    Directory::new(Config::default(), Term(term), ms(0), [])
}

fn states(view: &View) -> Vec<(u64, State)> {
    let service = ServiceName::from("s");
    let targets = view.targets(&service);
    targets
        .map(|target| (target.incarnation.0, target.state))
        .collect()
}

/// Guards against a target that returns to service by a late announcement (I5).
#[test]
fn late_announcements_change_nothing() {
    let mut registered = RegisteredTargets::new(Config::default());
    joined(&mut registered, 0, target(1, 5, State::Serving));
    assert_eq!(
        announce(&mut registered, 100, target(1, 5, State::Serving)),
        Ok(None)
    );
    joined(&mut registered, 200, target(1, 5, State::Draining));
    let behind = Err(Refusal::StateBehind);
    assert_eq!(
        announce(&mut registered, 2000, target(1, 5, State::Serving)),
        behind
    );
    let outdated = Err(Refusal::Outdated {
        latest: Incarnation(5),
    });
    assert_eq!(
        announce(&mut registered, 2000, target(1, 4, State::Serving)),
        outdated
    );
    // Neither prolonged the target's time, and both are recognised after it has left.
    assert_eq!(registered.expire(ms(3199)).len(), 0);
    assert_eq!(registered.expire(ms(3200)).len(), 1);
    assert_eq!(
        announce(&mut registered, 3300, target(1, 5, State::Serving)),
        behind
    );
    assert_eq!(
        announce(&mut registered, 3300, target(1, 4, State::Serving)),
        outdated
    );
    joined(&mut registered, 3400, target(1, 6, State::Starting));
}

/// Guards against an older incarnation that another gateway still vouches for.
#[test]
fn an_older_incarnation_never_overrides_a_newer_one() {
    let (mut a, mut b) = (
        RegisteredTargets::new(Config::default()),
        RegisteredTargets::new(Config::default()),
    );
    let mut directory = directory(1);
    let old = joined(&mut a, 0, target(1, 5, State::Serving));
    let new = joined(&mut b, 0, target(1, 6, State::Serving));
    directory.apply_change(ms(0), B, ONE, &new);
    directory.apply_change(ms(1), A, ONE, &old);
    directory.apply_change(ms(2), A, ONE, &old);
    let mut view = View::default();
    view.apply(&directory.changes_since(Version::default()).expect("full"));
    assert_eq!(states(&view), [(6, State::Serving)]);
    // The gateway that heard the old incarnation is not asked for its list again and again.
    assert!(!directory.check_digest(ms(3), A, ONE, a.digest(), 1));
    directory.check_digest(ms(1500), B, ONE, b.digest(), 1);
    directory.expire(ms(3100));
    directory.apply_change(ms(3100), B, ONE, &b.expire(ms(3100))[0]);
    assert!(directory.is_empty());
    directory.apply_change(ms(3200), A, Incarnation(2), &old);
    assert!(directory.is_empty());
}

/// Guards against lost, doubled and reordered messages between gateway and leader.
#[test]
fn digests_find_what_was_lost() {
    let mut registered = RegisteredTargets::new(Config::default());
    let mut directory = directory(1);
    let first = joined(&mut registered, 0, target(1, 1, State::Serving));
    let second = joined(&mut registered, 0, target(2, 1, State::Serving));
    let overtaken = registered.list();
    let drain = joined(&mut registered, 10, target(1, 1, State::Draining));
    directory.apply_change(ms(20), A, ONE, &drain);
    directory.apply_change(ms(20), A, ONE, &first);
    directory.apply_change(ms(20), A, ONE, &second);
    directory.apply_list(ms(20), A, ONE, &overtaken);
    assert_eq!(directory.len(), 1);
    assert!(directory.check_digest(ms(30), A, ONE, registered.digest(), 2));
    directory.apply_list(ms(40), A, ONE, &registered.list());
    assert!(!directory.check_digest(ms(50), A, ONE, registered.digest(), 2));
    assert_eq!(directory.len(), 2);
    directory.expire(ms(3049));
    assert_eq!(directory.len(), 2);
    directory.expire(ms(3050));
    assert!(directory.is_empty());
}

/// Guards against deltas that leave a gap or come late.
#[test]
fn views_take_deltas_in_order_only() {
    let mut registered = RegisteredTargets::new(Config::default());
    let mut directory = directory(1);
    let mut view = View::default();
    view.apply(&directory.changes_since(Version::default()).expect("full"));
    let mut deltas = Vec::new();
    for (at, state) in [State::Starting, State::Serving, State::Draining]
        .into_iter()
        .enumerate()
    {
        let from = directory.version();
        directory.apply_change(
            ms(0),
            A,
            ONE,
            &joined(&mut registered, at as u64, target(1, 1, state)),
        );
        deltas.push(directory.changes_since(from).expect("change"));
    }
    assert!(view.apply(&deltas[1]).is_empty());
    for delta in [&deltas[0], &deltas[1], &deltas[2], &deltas[1], &deltas[0]] {
        view.apply(delta);
    }
    assert_eq!(states(&view), [(1, State::Draining)]);
    assert_eq!(
        view.compare(directory.version(), directory.digest()),
        ViewComparison::Same
    );
    let stray = registered.digest().0 ^ 1;
    let stray = Some(wagtailshunt_core::directory::Digest(stray));
    assert_eq!(
        view.compare(directory.version(), stray),
        ViewComparison::Differs
    );
    assert_eq!(view.version(), Version::default());
    let mut late = directory.changes_since(Version::default()).expect("full");
    late.to.sequence -= 1;
    assert!(view.apply(&late).is_empty() && view.version() == Version::default());
}

/// Guards against a new leader that empties all views, or forgets a drain, while it rebuilds.
#[test]
fn views_outlive_a_change_of_leader() {
    let (mut a, mut b) = (
        RegisteredTargets::new(Config::default()),
        RegisteredTargets::new(Config::default()),
    );
    let mut old = directory(1);
    old.apply_change(
        ms(0),
        A,
        ONE,
        &joined(&mut a, 0, target(1, 1, State::Serving)),
    );
    old.apply_change(
        ms(0),
        B,
        ONE,
        &joined(&mut b, 0, target(2, 1, State::Serving)),
    );
    let mut view = View::default();
    view.apply(&old.changes_since(Version::default()).expect("full"));
    let mut new = Directory::new(Config::default(), Term(2), ms(100), [A, B]);
    joined(&mut a, 110, target(1, 1, State::Draining));
    assert!(new.check_digest(ms(120), A, ONE, a.digest(), 1));
    new.apply_list(ms(130), A, ONE, &a.list());
    new.check_digest(ms(140), A, ONE, a.digest(), 1);
    assert_eq!(
        (new.digest(), new.changes_since(Version::default())),
        (None, None)
    );
    view.apply(&new.changes_since(view.version()).expect("drain"));
    assert_eq!(states(&view), [(1, State::Draining), (1, State::Serving)]);
    assert_eq!(
        view.compare(new.version(), new.digest()),
        ViewComparison::Unknown
    );
    new.apply_list(ms(150), B, ONE, &b.list());
    new.check_digest(ms(160), B, ONE, b.digest(), 1);
    // No full list travels when the digests agree.
    assert_eq!(
        view.compare(new.version(), new.digest()),
        ViewComparison::Same
    );
    let mut silent = Directory::new(Config::default(), Term(3), ms(200), [A, B]);
    silent.expire(ms(3199));
    assert_eq!(silent.digest(), None);
    silent.expire(ms(3200));
    assert!(silent.digest().is_some());
}

/// Guards against a drain by record that sticks, or that a digest takes for a difference.
#[test]
fn drains_by_record_end_with_the_record() {
    let mut registered = RegisteredTargets::new(Config::default());
    let mut directory = directory(1);
    directory.apply_change(
        ms(0),
        A,
        ONE,
        &joined(&mut registered, 0, target(1, 1, State::Serving)),
    );
    let mut view = View::default();
    let (service, id) = (ServiceName::from("s"), TargetId::from("t1"));
    view.drain_by_record(&service, std::slice::from_ref(&id));
    let changes = view.apply(&directory.changes_since(Version::default()).expect("full"));
    assert_eq!(
        changes,
        [TargetChange::Upsert(target(1, 1, State::Draining))]
    );
    assert_eq!(
        view.compare(directory.version(), directory.digest()),
        ViewComparison::Same
    );
    let changes = view.drain_by_record(&service, &[]);
    assert_eq!(
        changes,
        [TargetChange::Upsert(target(1, 1, State::Serving))]
    );
}

/// Guards against unbounded memory when targets invent ids.
#[test]
fn memory_is_bounded() {
    let cfg = Config {
        max_targets: 10,
        ..Config::default()
    };
    let (mut small, mut large) = (
        RegisteredTargets::new(cfg.clone()),
        RegisteredTargets::new(Config::default()),
    );
    let mut directory = Directory::new(cfg, Term(1), ms(0), []);
    for id in 0..20 {
        let taken = announce(&mut small, 0, target(id, 1, State::Serving));
        assert_eq!(taken.is_ok(), id < 10);
        let change = joined(&mut large, 0, target(id, 1, State::Serving));
        directory.apply_change(ms(0), A, ONE, &change);
    }
    assert_eq!((small.len(), directory.len()), (10, 10));
}

/// Takes the same targets in two orders, with detours; equal sets must have equal digests and
/// different sets different ones.
fn digest_depends_on_the_set_only(ids: Vec<(u8, u8)>) -> bool {
    let (mut a, mut b) = (
        RegisteredTargets::new(Config::default()),
        RegisteredTargets::new(Config::default()),
    );
    let detour = target(999, 1, State::Serving);
    joined(&mut b, 0, detour);
    for (id, state) in &ids {
        let state = [State::Starting, State::Serving, State::Draining][usize::from(state % 3)];
        let _ = announce(&mut a, 5000, target(u32::from(*id), 1, state));
    }
    for target in a.list().targets.into_iter().rev() {
        joined(&mut b, 5000, target);
    }
    let differs = a.digest() != b.digest();
    b.expire(ms(5000));
    differs && a.digest() == b.digest() && a.list().targets == b.list().targets
}

/// Guards against digests that depend on order or history, which would cause endless full lists.
#[test]
fn digests() {
    let property: fn(Vec<(u8, u8)>) -> bool = digest_depends_on_the_set_only;
    QuickCheck::new()
        .rng(Gen::new(100))
        .tests(200)
        .quickcheck(property);
}
