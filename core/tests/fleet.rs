//! Target directory: late announcements, deregistration, reused addresses and silent targets.

use std::time;

use wagtailshunt_core::{fleet, time as core_time, types};

const NOW: core_time::Instant = core_time::Instant(0);

fn announcement(target: &str, port: u16, born: u64, sequence: u64) -> fleet::Announcement {
    fleet::Announcement {
        target: types::TargetId::from(target),
        service: types::ServiceName::from("board"),
        address: ([10, 0, 0, 1], port).into(),
        failure_domain: types::FailureDomain::from("ba"),
        slots: 3,
        born: core_time::UnixMillis(born),
        sequence,
        warmup_left: time::Duration::ZERO,
    }
}

fn registered(directory: &fleet::Directory) -> Vec<(String, u64)> {
    let targets = directory.targets();
    targets
        .map(|t| (t.announcement.target.to_string(), t.announcement.born.0))
        .collect()
}

/// Guards against calls to a deregistered target that a late announcement registers again.
#[test]
fn deregistered_incarnation_stays_deregistered() {
    let mut directory = fleet::Directory::default();
    assert_eq!(
        directory.register(NOW, announcement("a", 1, 100, 1)),
        fleet::RegistrationResult::Joined
    );
    let incarnation = fleet::incarnation_of(&announcement("a", 1, 100, 1));
    assert!(directory.deregister(&incarnation));
    assert!(!directory.deregister(&incarnation));
    let late = directory.register(NOW, announcement("a", 1, 100, 9));
    assert_eq!(late, fleet::RegistrationResult::Stale);
    let next_incarnation = directory.register(NOW, announcement("a", 1, 200, 1));
    assert_eq!(next_incarnation, fleet::RegistrationResult::Joined);
}

/// Guards against a delayed announcement that replaces a later incarnation at the same address.
#[test]
fn later_incarnation_keeps_the_address() {
    let mut directory = fleet::Directory::default();
    directory.register(NOW, announcement("old", 1, 100, 7));
    let joined = directory.register(NOW, announcement("new", 1, 200, 1));
    assert_eq!(joined, fleet::RegistrationResult::Joined);
    assert_eq!(registered(&directory), [("new".to_owned(), 200)]);
    let delayed = directory.register(NOW, announcement("old", 1, 100, 8));
    assert_eq!(delayed, fleet::RegistrationResult::Stale);
    assert_eq!(registered(&directory), [("new".to_owned(), 200)]);
}

/// Guards against ignoring the announcements of a restarted target because the sequence numbers of
/// its previous incarnation were higher.
#[test]
fn sequence_restarts_with_each_incarnation() {
    let mut directory = fleet::Directory::default();
    directory.register(NOW, announcement("a", 1, 100, 50));
    let late = directory.register(NOW, announcement("a", 1, 100, 49));
    assert_eq!(late, fleet::RegistrationResult::Stale);
    let restarted = directory.register(NOW, announcement("a", 1, 300, 1));
    assert_eq!(restarted, fleet::RegistrationResult::Joined);
    let before = directory.register(NOW, announcement("a", 1, 100, 51));
    assert_eq!(before, fleet::RegistrationResult::Stale);
}

/// Guards against calls to a target that crashed without deregistering, and against a new leader
/// that removes all targets as silent.
#[test]
fn silent_targets_are_found() {
    let mut directory = fleet::Directory::default();
    let limit = time::Duration::from_secs(7);
    directory.register(NOW, announcement("a", 1, 100, 1));
    let later = NOW + limit;
    directory.register(later, announcement("b", 2, 100, 1));
    assert_eq!(
        directory.silent(later, limit),
        [fleet::incarnation_of(&announcement("a", 1, 100, 1))]
    );
    directory.reset_last_seen(later);
    assert!(directory.silent(later, limit).is_empty());
    let other_incarnation = fleet::incarnation_of(&announcement("a", 1, 99, 1));
    assert!(!directory.remove(&other_incarnation));
    assert!(directory.remove(&fleet::incarnation_of(&announcement("a", 1, 100, 1))));
}

/// Guards against the exchange of the whole list of targets for a few that differ, and against
/// differences that the digests do not show.
#[test]
fn digests_show_the_buckets_that_differ() {
    let mut here = fleet::Directory::default();
    let mut there = fleet::Directory::default();
    for i in 0..700 {
        let name = format!("t{i}");
        here.register(NOW, announcement(&name, i, 100, 1));
        // Another order and later announcements of the same incarnations make no difference.
        let name = format!("t{}", 699 - i);
        there.register(NOW, announcement(&name, 699 - i, 100, 2));
    }
    assert_eq!(here.digests(), there.digests());
    assert_eq!(here.digests().total(), there.digests().total());
    there.remove(&fleet::incarnation_of(&announcement("t3", 3, 100, 1)));
    here.register(NOW, announcement("t9", 9, 200, 1));
    let differing = here.digests().differing(&there.digests());
    let mut expected = [fleet::bucket(&"t3".into()), fleet::bucket(&"t9".into())];
    expected.sort_unstable();
    assert_eq!(differing, expected);
    let sent = differing.iter().flat_map(|i| here.in_bucket(*i)).count();
    assert!(sent < 100, "{sent} of 700 targets are sent");
    assert_ne!(here.digests().total(), there.digests().total());
    // The digests follow restarts, removals and addresses that another target takes over.
    there.register(NOW, announcement("t9", 9, 200, 1));
    there.register(NOW, announcement("t3", 3, 100, 1));
    assert_eq!(here.digests(), there.digests());
    here.register(NOW, announcement("t5", 7, 300, 1));
    assert_ne!(here.digests(), there.digests());
    there.remove(&fleet::incarnation_of(&announcement("t7", 7, 100, 1)));
    there.register(NOW, announcement("t5", 7, 300, 1));
    assert_eq!(here.digests(), there.digests());
}

/// Guards against a leader that was suspended and, when it wakes, takes the silence of all targets
/// during that time for their end.
#[test]
fn targets_are_not_silent_while_the_vm_was_suspended() {
    let limit = time::Duration::from_secs(7);
    let at = |ms: u64| core_time::Instant(ms * 1000);
    let mut directory = fleet::Directory::default();
    directory.register(at(0), announcement("a", 1, 100, 1));
    for second in 1..=3 {
        assert!(directory.check_silent(at(second * 1000), limit).is_empty());
    }
    assert!(directory.check_silent(at(12_000), limit).is_empty());
    for second in 13..19 {
        assert!(directory.check_silent(at(second * 1000), limit).is_empty());
    }
    assert_eq!(directory.check_silent(at(19_000), limit).len(), 1);
}
