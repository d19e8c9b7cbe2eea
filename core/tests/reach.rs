//! Tests of the check whether a VM reaches targets.

use std::time;

use wagtailshunt_core::{
    reach::{self, Evidence, PathChange},
    time as core_time, types,
};

fn at(ms: u64) -> core_time::Instant {
    core_time::Instant(ms * 1000)
}

fn target(number: usize) -> types::TargetId {
    types::TargetId::from(format!("i-{number}").as_str())
}

fn lost_path() -> reach::Path {
    let mut path = reach::Path::default();
    path.record(&target(1), Evidence::NotConnected);
    path.record(&target(2), Evidence::NotConnected);
    assert!(path.start_check(at(0)));
    assert_eq!(path.finish_check(at(10), 0, 8), Some(PathChange::Lost));
    path
}

/// Guards against a crashed target, or several of many, that are taken for a lost path.
#[test]
fn path_is_lost_only_if_a_check_reaches_no_target() {
    let mut path = reach::Path::default();
    for _ in 0..5 {
        path.record(&target(1), Evidence::NotConnected);
    }
    assert!(!path.start_check(at(0)));
    path.record(&target(2), Evidence::NotConnected);
    assert!(path.start_check(at(0)));
    assert!(!path.start_check(at(0)));
    assert!(!path.is_lost());
    assert_eq!(path.finish_check(at(5), 1, 8), None);
    assert!(!path.is_lost());
    let pause = reach::Config::default().check_pause;
    path.record(&target(1), Evidence::NotConnected);
    path.record(&target(2), Evidence::NotConnected);
    assert!(!path.start_check(at(5) + pause.mul_f64(0.9)));
    assert!(path.start_check(at(5) + pause));
    assert_eq!(path.finish_check(at(900), 0, 8), Some(PathChange::Lost));
    assert!(path.is_lost());
}

/// Guards against open connections that live on and hide that new ones are refused, and the
/// reverse: new connections that hide that open ones are silent.
#[test]
fn new_and_open_connections_are_judged_apart() {
    let mut path = reach::Path::default();
    path.record(&target(1), Evidence::NotConnected);
    path.record(&target(3), Evidence::Answered);
    path.record(&target(2), Evidence::NotConnected);
    assert!(path.is_suspect());
    let mut path = reach::Path::default();
    path.record(&target(1), Evidence::NotAnswered);
    path.record(&target(3), Evidence::Connected);
    path.record(&target(2), Evidence::NotAnswered);
    assert!(path.is_suspect());
    path.record(&target(3), Evidence::Answered);
    assert!(!path.is_suspect());
}

/// Guards against a VM that goes on sending its calls through others after its path is back.
#[test]
fn lost_path_is_checked_until_a_target_is_reached() {
    let mut path = lost_path();
    let mut now = at(10);
    let mut checks = 0;
    for _ in 0..20 {
        now = now + time::Duration::from_millis(100);
        if path.start_check(now) {
            checks += 1;
            assert_eq!(path.finish_check(now, 0, 8), None);
            assert!(path.is_lost());
        }
    }
    assert_eq!(checks, 5);
    now = now + reach::Config::default().check_pause;
    assert!(path.start_check(now));
    assert_eq!(path.finish_check(now, 1, 2), Some(PathChange::Regained));
    assert!(!path.is_suspect());
}

/// Guards against a path that counts as lost because no target is known yet, and against one that
/// counts as regained because none is known any more.
#[test]
fn check_without_targets_changes_nothing() {
    let mut path = reach::Path::default();
    path.record(&target(1), Evidence::NotConnected);
    path.record(&target(2), Evidence::NotConnected);
    assert!(path.start_check(at(0)));
    assert_eq!(path.finish_check(at(0), 0, 0), None);
    assert!(!path.is_lost());
    let mut path = lost_path();
    assert!(path.start_check(at(1_000)));
    assert_eq!(path.finish_check(at(1_000), 0, 0), None);
    assert!(path.is_lost());
}
