//! Crash counts and blocks of requests on VMs that have no containment leader.

use wagtailshunt_core::{containment, fleet, time as core_time, types};

const BAD: containment::Fingerprint = containment::Fingerprint(1);
const GOOD: containment::Fingerprint = containment::Fingerprint(2);

fn at(seconds: u64) -> core_time::Instant {
    core_time::Instant(seconds * 1_000_000)
}

fn incarnation(target: &str, born: u64) -> fleet::TargetIncarnation {
    fleet::TargetIncarnation {
        target: types::TargetId::from(target),
        born: core_time::UnixMillis(born),
    }
}

/// Guards against a request that keeps crashing targets, and against a crash that is counted again
/// for each VM that reports it.
#[test]
fn request_is_blocked_after_three_lost_incarnations() {
    let mut counter = containment::CrashCounter::default();
    let first = counter.record_crash(at(0), BAD, &incarnation("a", 1));
    assert_eq!(first, containment::RecordResult::Counted);
    let again = counter.record_crash(at(0), BAD, &incarnation("a", 1));
    assert_eq!(again, containment::RecordResult::Duplicate);
    counter.record_crash(at(1), BAD, &incarnation("a", 2));
    assert!(!counter.is_blocked(at(1), BAD));
    let third = counter.record_crash(at(2), BAD, &incarnation("b", 1));
    assert_eq!(third, containment::RecordResult::Blocked);
    assert!(counter.is_blocked(at(61), BAD));
    // After the block the request may run once more; a further crash doubles the block.
    assert!(!counter.is_blocked(at(62), BAD));
    counter.record_crash(at(63), BAD, &incarnation("c", 1));
    assert!(counter.is_blocked(at(63 + 119), BAD));
}

/// Guards against blocking a harmless request that was in flight when targets were lost.
#[test]
fn answered_request_is_not_blocked() {
    let mut counter = containment::CrashCounter::default();
    for target in ["a", "b"] {
        counter.record_crash(at(0), GOOD, &incarnation(target, 1));
        counter.record_crash(at(0), BAD, &incarnation(target, 1));
    }
    counter.record_response(GOOD);
    counter.record_crash(at(1), GOOD, &incarnation("c", 1));
    counter.record_crash(at(1), BAD, &incarnation("c", 1));
    assert!(!counter.is_blocked(at(1), GOOD));
    assert!(counter.is_blocked(at(1), BAD));
}

/// Guards against counts that grow without bound or never expire.
#[test]
fn counts_are_bounded_and_expire() {
    let mut counter = containment::CrashCounter::default();
    for i in 0..3000 {
        counter.record_crash(at(0), containment::Fingerprint(i), &incarnation("a", 1));
    }
    assert!(counter.incarnations() <= 1024);
    counter.record_crash(at(500), BAD, &incarnation("a", 1));
    assert_eq!(counter.incarnations(), 1);
}
