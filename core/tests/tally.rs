//! Requests that crash targets, counted without a leader.

use wagtailshunt_core::{containment, fleet, time as core_time, types};

const BAD: containment::Fingerprint = containment::Fingerprint(1);
const GOOD: containment::Fingerprint = containment::Fingerprint(2);

fn at(seconds: u64) -> core_time::Instant {
    core_time::Instant(seconds * 1_000_000)
}

fn life(target: &str, born: u64) -> fleet::TargetIncarnation {
    fleet::TargetIncarnation {
        target: types::TargetId::from(target),
        born: core_time::UnixMillis(born),
    }
}

/// Guards against a request that goes on to crash targets, and against a crash that is counted again
/// each time another VM tells of it.
#[test]
fn third_life_blocks() {
    let mut tally = containment::Tally::default();
    let first = tally.crashed(at(0), BAD, &life("a", 1));
    assert_eq!(first, containment::Counted::News);
    let again = tally.crashed(at(0), BAD, &life("a", 1));
    assert_eq!(again, containment::Counted::Known);
    tally.crashed(at(1), BAD, &life("a", 2));
    assert!(!tally.is_blocked(at(1), BAD));
    let third = tally.crashed(at(2), BAD, &life("b", 1));
    assert_eq!(third, containment::Counted::Blocked);
    assert!(tally.is_blocked(at(61), BAD));
    // One more try after a while; when it crashes a target again, the block is twice as long.
    assert!(!tally.is_blocked(at(62), BAD));
    tally.crashed(at(63), BAD, &life("c", 1));
    assert!(tally.is_blocked(at(63 + 119), BAD));
}

/// Guards against requests that are refused because they were in flight when targets were lost.
#[test]
fn answered_request_is_innocent() {
    let mut tally = containment::Tally::default();
    for target in ["a", "b"] {
        tally.crashed(at(0), GOOD, &life(target, 1));
        tally.crashed(at(0), BAD, &life(target, 1));
    }
    tally.answered(GOOD);
    tally.crashed(at(1), GOOD, &life("c", 1));
    tally.crashed(at(1), BAD, &life("c", 1));
    assert!(!tally.is_blocked(at(1), GOOD));
    assert!(tally.is_blocked(at(1), BAD));
}

/// Guards against counts that grow without bound or are kept for good.
#[test]
fn counts_are_bounded_and_forgotten() {
    let mut tally = containment::Tally::default();
    for i in 0..3000 {
        tally.crashed(at(0), containment::Fingerprint(i), &life("a", 1));
    }
    assert!(tally.lives() <= 1024);
    tally.crashed(at(500), BAD, &life("a", 1));
    assert_eq!(tally.lives(), 1);
}
