//! Targets by life and sequence: late announcements, departures, addresses that are used again.

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
        .map(|entry| {
            (
                entry.announcement.target.to_string(),
                entry.announcement.born.0,
            )
        })
        .collect()
}

/// Guards against work for a target that has said that it leaves.
#[test]
fn departed_life_stays_away() {
    let mut directory = fleet::Directory::default();
    assert_eq!(
        directory.register(NOW, announcement("a", 1, 100, 1)),
        fleet::RegistrationResult::Joined
    );
    let life = fleet::incarnation_of(&announcement("a", 1, 100, 1));
    assert!(directory.deregister(&life));
    assert!(!directory.deregister(&life));
    let late = directory.register(NOW, announcement("a", 1, 100, 9));
    assert_eq!(late, fleet::RegistrationResult::Stale);
    let next_life = directory.register(NOW, announcement("a", 1, 200, 1));
    assert_eq!(next_life, fleet::RegistrationResult::Joined);
}

/// Guards against a delayed announcement that hides the life that holds the address now.
#[test]
fn later_life_holds_the_address() {
    let mut directory = fleet::Directory::default();
    directory.register(NOW, announcement("old", 1, 100, 7));
    let joined = directory.register(NOW, announcement("new", 1, 200, 1));
    assert_eq!(joined, fleet::RegistrationResult::Joined);
    assert_eq!(registered(&directory), [("new".to_owned(), 200)]);
    let delayed = directory.register(NOW, announcement("old", 1, 100, 8));
    assert_eq!(delayed, fleet::RegistrationResult::Stale);
    assert_eq!(registered(&directory), [("new".to_owned(), 200)]);
}

/// Guards against counts of an earlier life that make a new one look late.
#[test]
fn sequence_begins_anew_with_a_life() {
    let mut directory = fleet::Directory::default();
    directory.register(NOW, announcement("a", 1, 100, 50));
    let late = directory.register(NOW, announcement("a", 1, 100, 49));
    assert_eq!(late, fleet::RegistrationResult::Stale);
    let reborn = directory.register(NOW, announcement("a", 1, 300, 1));
    assert_eq!(reborn, fleet::RegistrationResult::Joined);
    let before = directory.register(NOW, announcement("a", 1, 100, 51));
    assert_eq!(before, fleet::RegistrationResult::Stale);
}

/// Guards against calls to a target that crashed without a word, and against a new leader that
/// takes all targets for silent.
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
    let other_life = fleet::incarnation_of(&announcement("a", 1, 99, 1));
    assert!(!directory.remove(&other_life));
    assert!(directory.remove(&fleet::incarnation_of(&announcement("a", 1, 100, 1))));
}
