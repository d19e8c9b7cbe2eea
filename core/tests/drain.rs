//! Tests of the admission of calls during a planned stop.

use std::time;

use wagtailshunt_core::{
    drain::{RESPONSE_RESERVE, Stop},
    time as core_time,
};

fn at(ms: u64) -> core_time::Instant {
    core_time::Instant::default() + time::Duration::from_millis(ms)
}

/// Guards against a call that is accepted late in a stop and cut off at its end.
#[test]
fn late_calls_need_a_deadline_within_the_stop() {
    let stop = Stop::new(at(2750), at(5700));
    let last = at(5700).saturating_sub(RESPONSE_RESERVE);
    assert!(stop.accepts(at(3000), last, at(3100)));
    assert!(!stop.accepts(at(3000), at(5600), at(3100)));
    assert!(!stop.accepts(at(2750), at(60_000), at(2800)));
}

/// Guards against calls with a long timeout that are refused while the process is in rotation.
#[test]
fn early_calls_need_an_expected_end_within_the_stop() {
    let stop = Stop::new(at(2750), at(5700));
    assert!(stop.accepts(at(100), at(10_000), at(2000)));
    assert!(!stop.accepts(at(100), at(10_000), at(5600)));
}
