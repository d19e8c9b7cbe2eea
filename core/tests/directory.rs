//! Directory of targets: late announcements, drains, lost messages, change of leader, memory
//! bounds.

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

fn announce_change(registered: &mut RegisteredTargets, at: u64, target: Target) -> Change {
    announce(registered, at, target)
        .expect("taken")
        .expect("change")
}

/// Returns a directory that waits for no gateway, so that it is not in rebuild.
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

/// Guards against a late announcement that makes a draining or removed target serve again (I5).
#[test]
fn late_announcements_are_refused() {
    let mut registered = RegisteredTargets::new(Config::default());
    announce_change(&mut registered, 0, target(1, 5, State::Serving));
    assert_eq!(
        announce(&mut registered, 100, target(1, 5, State::Serving)),
        Ok(None)
    );
    announce_change(&mut registered, 200, target(1, 5, State::Draining));
    let state_behind = Err(Refusal::StateBehind);
    assert_eq!(
        announce(&mut registered, 2000, target(1, 5, State::Serving)),
        state_behind
    );
    let outdated = Err(Refusal::Outdated {
        latest: Incarnation(5),
    });
    assert_eq!(
        announce(&mut registered, 2000, target(1, 4, State::Serving)),
        outdated
    );
    // Neither renewed the registration, and both are still refused after the target was removed.
    assert_eq!(registered.expire(ms(3199)).len(), 0);
    assert_eq!(registered.expire(ms(3200)).len(), 1);
    assert_eq!(
        announce(&mut registered, 3300, target(1, 5, State::Serving)),
        state_behind
    );
    assert_eq!(
        announce(&mut registered, 3300, target(1, 4, State::Serving)),
        outdated
    );
    announce_change(&mut registered, 3400, target(1, 6, State::Starting));
}

/// Guards against an older incarnation, still registered at another gateway, that replaces a newer
/// one.
#[test]
fn an_older_incarnation_never_overrides_a_newer_one() {
    let (mut a, mut b) = (
        RegisteredTargets::new(Config::default()),
        RegisteredTargets::new(Config::default()),
    );
    let mut directory = directory(1);
    let old = announce_change(&mut a, 0, target(1, 5, State::Serving));
    let new = announce_change(&mut b, 0, target(1, 6, State::Serving));
    directory.apply_change(ms(0), B, ONE, &new);
    directory.apply_change(ms(1), A, ONE, &old);
    directory.apply_change(ms(2), A, ONE, &old);
    let mut view = View::default();
    view.apply(&directory.changes_since(Version::default()).expect("full"));
    assert_eq!(states(&view), [(6, State::Serving)]);
    // The digest of the gateway with the old incarnation matches, so that its list is not requested
    // with each renewal.
    assert!(!directory.check_digest(ms(3), A, ONE, a.digest(), 1));
    directory.check_digest(ms(1500), B, ONE, b.digest(), 1);
    directory.expire(ms(3100));
    directory.apply_change(ms(3100), B, ONE, &b.expire(ms(3100))[0]);
    assert!(directory.is_empty());
    directory.apply_change(ms(3200), A, Incarnation(2), &old);
    assert!(directory.is_empty());
}

/// Guards against a directory that stays wrong after lost, duplicated or reordered messages of a
/// gateway.
#[test]
fn digest_detects_lost_changes() {
    let mut registered = RegisteredTargets::new(Config::default());
    let mut directory = directory(1);
    let first = announce_change(&mut registered, 0, target(1, 1, State::Serving));
    let second = announce_change(&mut registered, 0, target(2, 1, State::Serving));
    let outdated_list = registered.list();
    let drain = announce_change(&mut registered, 10, target(1, 1, State::Draining));
    directory.apply_change(ms(20), A, ONE, &drain);
    directory.apply_change(ms(20), A, ONE, &first);
    directory.apply_change(ms(20), A, ONE, &second);
    directory.apply_list(ms(20), A, ONE, &outdated_list);
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

/// Guards against applying a delta that is late or does not follow the view's version.
#[test]
fn view_applies_deltas_in_order_only() {
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
            &announce_change(&mut registered, at as u64, target(1, 1, state)),
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
    let wrong_digest = registered.digest().0 ^ 1;
    let wrong_digest = Some(wagtailshunt_core::directory::Digest(wrong_digest));
    assert_eq!(
        view.compare(directory.version(), wrong_digest),
        ViewComparison::Differs
    );
    assert_eq!(view.version(), Version::default());
    let mut late = directory.changes_since(Version::default()).expect("full");
    late.to.sequence -= 1;
    assert!(view.apply(&late).is_empty() && view.version() == Version::default());
}

/// Guards against a new leader that removes targets from all views, or delays a drain, while it
/// rebuilds the directory.
#[test]
fn views_survive_a_change_of_leader() {
    let (mut a, mut b) = (
        RegisteredTargets::new(Config::default()),
        RegisteredTargets::new(Config::default()),
    );
    let mut old = directory(1);
    old.apply_change(
        ms(0),
        A,
        ONE,
        &announce_change(&mut a, 0, target(1, 1, State::Serving)),
    );
    old.apply_change(
        ms(0),
        B,
        ONE,
        &announce_change(&mut b, 0, target(2, 1, State::Serving)),
    );
    let mut view = View::default();
    view.apply(&old.changes_since(Version::default()).expect("full"));
    let mut new = Directory::new(Config::default(), Term(2), ms(100), [A, B]);
    announce_change(&mut a, 110, target(1, 1, State::Draining));
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
    // No full list is requested if the digests are equal.
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

/// Guards against a drain by record that outlasts the record, or that changes the view's digest.
#[test]
fn drains_by_record_end_with_the_record() {
    let mut registered = RegisteredTargets::new(Config::default());
    let mut directory = directory(1);
    directory.apply_change(
        ms(0),
        A,
        ONE,
        &announce_change(&mut registered, 0, target(1, 1, State::Serving)),
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

/// Guards against unbounded memory when targets announce ever new ids.
#[test]
fn number_of_targets_is_bounded() {
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
        let change = announce_change(&mut large, 0, target(id, 1, State::Serving));
        directory.apply_change(ms(0), A, ONE, &change);
    }
    assert_eq!((small.len(), directory.len()), (10, 10));
}

/// Builds the same set in two orders, once with an additional target that expires. Equal sets must
/// have equal digests, and different sets different ones.
fn digest_depends_on_the_set_only(ids: Vec<(u8, u8)>) -> bool {
    let (mut a, mut b) = (
        RegisteredTargets::new(Config::default()),
        RegisteredTargets::new(Config::default()),
    );
    let additional = target(999, 1, State::Serving);
    announce_change(&mut b, 0, additional);
    for (id, state) in &ids {
        let state = [State::Starting, State::Serving, State::Draining][usize::from(state % 3)];
        let _ = announce(&mut a, 5000, target(u32::from(*id), 1, state));
    }
    for target in a.list().targets.into_iter().rev() {
        announce_change(&mut b, 5000, target);
    }
    let differs = a.digest() != b.digest();
    b.expire(ms(5000));
    differs && a.digest() == b.digest() && a.list().targets == b.list().targets
}

/// Guards against a digest that depends on the order or history of changes: full lists would be
/// sent again and again.
#[test]
fn digest_depends_on_nothing_but_the_set() {
    let property: fn(Vec<(u8, u8)>) -> bool = digest_depends_on_the_set_only;
    QuickCheck::new()
        .rng(Gen::new(100))
        .tests(200)
        .quickcheck(property);
}
