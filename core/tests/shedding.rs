//! Load shedding: ways of deciding which calls are lost, compared on a model of one service, and the
//! terms that the chosen one must keep. The table of `docs/design/load-shedding.md` is printed by
//! `cargo test -p wagtailshunt-core --test shedding -- --nocapture terms`.

#[path = "support/load_model.rs"]
mod load_model;

use std::time;

use load_model::{Load, Result, Way};
use wagtailshunt_core::{shedding, time as core_time};

const SEEDS: [u64; 5] = [11, 12, 13, 14, 15];

fn at(ms: u64) -> core_time::Instant {
    core_time::Instant(ms * 1000)
}

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

fn caller(kind: &str, priority: u32, returning: bool) -> shedding::Caller {
    shedding::Caller {
        kind: kind.to_owned(),
        workspace: None,
        priority,
        returning,
        work: ms(200),
    }
}

fn times(now: core_time::Instant) -> shedding::Times {
    shedding::Times::new(now, now + ms(500), now + ms(2000), ms(200), 0.25)
}

/// Guards against a kind that is served less often than a less urgent one, against kinds or
/// workspaces that are starved for the sake of others, and against refusals that come too late for
/// the caller's own retry. Prints the table of the ways.
#[test]
fn terms_hold_under_each_load() {
    println!("load, way | in time | answered | worst second | kinds | worst tenth");
    for load in Load::all() {
        for way in Way::ALL {
            let results = SEEDS.map(|seed| load_model::run(&load, way, seed));
            print_row(&load, way, &results);
            if way == Way::Chosen {
                for (result, seed) in results.iter().zip(SEEDS) {
                    check_terms(result, &format!("load {}, seed {seed}", load.name));
                }
            }
        }
    }
}

fn print_row(load: &Load, way: Way, results: &[Result]) {
    let mean = |f: &dyn Fn(&Result) -> f64| {
        let sum: f64 = results.iter().map(f).sum();
        sum / results.len() as f64
    };
    let kinds = 0..results[0].kinds().len();
    let kinds: Vec<f64> = kinds.map(|i| mean(&|result| result.kinds()[i])).collect();
    println!(
        "{}, {way:?} | {:.3} | {:.3} | {:.3} | {kinds:.2?} | {:.3}",
        load.name,
        mean(&Result::in_time),
        mean(&Result::answered),
        mean(&Result::worst_second),
        // A tenth of the twenty workspaces.
        mean(&|result| result.workspaces()[..2].iter().sum::<f64>() / 2.0),
    );
}

fn check_terms(result: &Result, run: &str) {
    let kinds = result.kinds();
    for pair in kinds.windows(2) {
        assert!(pair[0] >= pair[1] - 0.05, "{run}: {kinds:?}");
    }
    let least = kinds.iter().fold(result.workspaces()[0], |a, b| a.min(*b));
    let mean = result.answered();
    assert!(least >= mean / 4.0, "{run}: {least}, mean {mean}");
    assert_eq!(result.refused_without_retry, 0, "{run}");
}

/// Fills a queue whose calls are sent at the rate of one slot, so that it serves one call in 200 ms.
fn queue_with_rate() -> (shedding::Queue, shedding::Shares) {
    let mut queue = shedding::Queue::default();
    for i in 0..6 {
        let now = at(i * 200);
        let first = queue.push(now, caller("a", 1, false), times(now));
        let second = queue.push(now, caller("a", 1, false), times(now));
        queue.dispatched(now, first);
        queue.dispatched(at((i + 1) * 200), second);
    }
    (queue, shedding::Shares::default())
}

/// Guards against a caller that was refused, comes back and is refused or delayed for one that comes
/// for the first time.
#[test]
fn returning_caller_goes_before_new_ones() {
    let (mut queue, mut shares) = queue_with_rate();
    let now = at(1200);
    let new: Vec<_> = (0..4)
        .map(|_| queue.push(now, caller("a", 1, false), times(now)))
        .collect();
    let returning = queue.push(now, caller("a", 1, true), times(now));
    let verdict = queue.verdict(now, returning, &mut shares);
    assert_eq!(verdict, shedding::Verdict::Next);
    let last = queue.verdict(now, new[3], &mut shares);
    let displaced = shedding::Verdict::Refuse(shedding::Reason::Displaced);
    assert_eq!(last, displaced, "refused at once");
}

/// Guards against the loss of a more urgent call while a less urgent one is kept.
#[test]
fn least_urgent_call_is_displaced() {
    let (mut queue, mut shares) = queue_with_rate();
    let now = at(1200);
    let calls: Vec<_> = [2, 2, 2, 0]
        .iter()
        .map(|priority| queue.push(now, caller("a", *priority, false), times(now)))
        .collect();
    let verdicts: Vec<_> = calls
        .iter()
        .map(|ticket| queue.verdict(now, *ticket, &mut shares))
        .collect();
    let displaced = shedding::Verdict::Refuse(shedding::Reason::Displaced);
    assert!(verdicts.contains(&displaced), "{verdicts:?}");
    assert_ne!(verdicts[3], displaced);
}

/// Guards against callers that are taken for returning ones because deadlines differ, and against
/// returning ones that are not recognised.
#[test]
fn callers_that_come_back_have_less_time_than_usual() {
    let mut alike = shedding::UsualTime::default();
    for i in 0..32 {
        assert!(!alike.record(ms(2000 - i % 5)));
    }
    assert!(alike.record(ms(1500)));
    let mut different = shedding::UsualTime::default();
    let recognised = (0..200).filter(|i| different.record(ms(500 + i * 619 % 1500)));
    assert!(recognised.count() < 20);
}

/// Guards against less urgent callers that come back before more urgent ones refused at that time.
#[test]
fn more_urgent_callers_return_first() {
    let mut returns = shedding::Returns::default();
    let mut delay = |priority, random| {
        returns.delay(at(0), &caller("a", priority, false), ms(1500), None, random)
    };
    delay(0, 0.0);
    assert!(delay(2, 0.0) > delay(0, 0.99));
    assert!(delay(2, 0.99) <= ms(500), "honoured");
}
