//! Load shedding: ways of deciding which calls are lost, compared on a model of one service, and the
//! terms that the chosen one must keep. The table of `docs/design/load-shedding.md` is printed by
//! `cargo test -p wagtailshunt-core --test shedding -- --nocapture terms`.

#[path = "support/load_model.rs"]
mod load_model;
#[path = "support/loads.rs"]
mod loads;

use std::time;

use load_model::{Result, Way};
use loads::Load;
use rand::{SeedableRng, rngs};
use wagtailshunt_core::{fleet, placement, shedding, time as core_time, types};

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

fn print_row(load: &Load, way: Way, results: &[Result<'_>]) {
    let mean = |f: &dyn Fn(&Result<'_>) -> f64| {
        let sum: f64 = results.iter().map(f).sum();
        sum / results.len() as f64
    };
    let kinds = 0..results[0].kinds().len();
    let kinds: Vec<f64> = kinds.map(|i| mean(&|result| result.kinds()[i])).collect();
    println!(
        "{}, {way:?} | {:.3} | {:.3} | {:.3} | {kinds:.2?} | {:.3}",
        load.name,
        mean(&|result| result.in_time()),
        mean(&|result| result.answered()),
        mean(&|result| result.worst_second()),
        // A tenth of the twenty workspaces.
        mean(&|result| result.workspaces()[..2].iter().sum::<f64>() / 2.0),
    );
}

fn check_terms(result: &Result<'_>, run: &str) {
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
    let (mut queue, shares) = queue_with_rate();
    let now = at(1200);
    let new: Vec<_> = (0..4)
        .map(|_| queue.push(now, caller("a", 1, false), times(now)))
        .collect();
    let returning = queue.push(now, caller("a", 1, true), times(now));
    let verdict = queue.verdict(now, returning, &shares);
    assert_eq!(verdict, shedding::Verdict::Next);
    let last = queue.verdict(now, new[3], &shares);
    let displaced = shedding::Verdict::Refuse(shedding::Reason::Displaced);
    assert_eq!(last, displaced, "refused at once");
}

/// Guards against the loss of a more urgent call while a less urgent one is kept.
#[test]
fn least_urgent_call_is_displaced() {
    let (mut queue, shares) = queue_with_rate();
    let now = at(1200);
    let calls: Vec<_> = [2, 2, 2, 0]
        .iter()
        .map(|priority| queue.push(now, caller("a", *priority, false), times(now)))
        .collect();
    let verdicts: Vec<_> = calls
        .iter()
        .map(|ticket| queue.verdict(now, *ticket, &shares))
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
        returns.delay(
            at(0),
            &caller("a", priority, false),
            ms(1500),
            shedding::Room::Unknown,
            random,
        )
    };
    delay(0, 0.0);
    assert!(delay(2, 0.0) > delay(0, 0.99));
    assert!(delay(2, 0.99) <= ms(500), "honoured");
}

fn placement_with(targets: u16) -> placement::Placement {
    let domain = types::FailureDomain::from("d");
    let rng = rngs::SmallRng::seed_from_u64(1);
    let mut placement =
        placement::Placement::new(placement::Config::default(), domain.clone(), rng);
    for i in 0..targets {
        let announcement = fleet::Announcement {
            target: types::TargetId(format!("t{i}")),
            service: types::ServiceName::from("s"),
            address: ([10, 0, 0, 1], i).into(),
            failure_domain: domain.clone(),
            slots: 6,
            born: core_time::UnixMillis(1),
            sequence: 1,
            warmup_left: time::Duration::ZERO,
        };
        placement.add(at(0), &announcement);
    }
    placement
}

/// Guards against VMs that together send more calls than there are slots right after a start, when
/// none of them has a load report.
#[test]
fn without_reports_a_vm_keeps_to_its_part_of_the_slots() {
    let service = types::ServiceName::from("s");
    for (vms, targets) in [(44_usize, 155_u16), (149, 156), (3, 13)] {
        let mut sent = 0;
        let mut placement = placement_with(targets);
        while placement.unreported(at(0), &service).room(vms) > 0 {
            let demand = placement::Demand {
                service: &service,
                work: ms(200),
                tried: &[],
            };
            let choice = placement.choose(at(0), &demand).unwrap();
            placement.started(&choice.target);
            sent += 1;
        }
        assert!(sent > 0 && sent * vms <= usize::from(targets) * 6);
    }
}

/// Guards against a call that waits until its deadline at a target that never answers it, although
/// the reports of the target show that it doesn't have the call.
#[test]
fn reports_show_that_a_target_has_lost_a_call() {
    let target = types::TargetId("t0".to_owned());
    let mut placement = placement_with(1);
    let report = |placement: &mut placement::Placement, now, running| {
        let load = placement::LoadReport {
            running,
            waiting: 0,
            slots: 6,
            slowness_percent: None,
        };
        placement.reported(at(now), &target, &load);
        placement.has_lost_calls(at(now), &target)
    };
    placement.started(&target);
    assert!(!report(&mut placement, 0, 0), "perhaps on its way");
    assert!(!report(&mut placement, 20, 0));
    assert!(!report(&mut placement, 60, 1), "arrived");
    assert!(!report(&mut placement, 200, 0), "answered by now");
    assert!(report(&mut placement, 320, 0));
}
