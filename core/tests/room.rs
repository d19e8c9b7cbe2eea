//! Capacity at targets that are cold, evacuated, silent or report no load, and calls that choose among
//! them.

use std::time;

use rand::{SeedableRng, rngs};
use wagtailshunt_core::{fleet, placement, routing, time as core_time, types, warmup};

const WORK: time::Duration = time::Duration::from_millis(50);
const SLOTS: u32 = 4;
const VMS: usize = 44;

fn at(ms: u64) -> core_time::Instant {
    core_time::Instant(ms * 1000)
}

fn id(i: u16) -> types::TargetId {
    types::TargetId(format!("t{i}"))
}

fn service() -> types::ServiceName {
    types::ServiceName::from("s")
}

fn announcement(i: u16, domain: &str, left: u64) -> fleet::Announcement {
    fleet::Announcement {
        target: id(i),
        service: service(),
        address: ([10, 0, 0, 1], i).into(),
        failure_domain: types::FailureDomain::from(domain),
        slots: SLOTS,
        born: core_time::UnixMillis(1),
        sequence: 1,
        warmup_left: time::Duration::from_millis(left),
    }
}

/// A VM with warm targets in failure domain `d`. The others are added by the tests.
fn placement(warm: u16, calls_per_cold_second: f64, slack: f64) -> placement::Placement {
    let rng = rngs::SmallRng::seed_from_u64(1);
    let own = types::FailureDomain::from("d");
    let mut placement = placement::Placement::new(Default::default(), own, rng);
    let interval = time::Duration::from_millis(1500);
    placement.cold = warmup::ColdTargets::new(types::VmId(1), interval);
    let limit = routing::Warmup {
        duration: time::Duration::from_secs(10),
        calls_per_second: calls_per_cold_second,
    };
    let rate = warmup::Rate::new(&limit, 1.5, slack);
    placement
        .cold
        .set_rates([(service(), rate)].into_iter().collect());
    (0..warm).for_each(|i| placement.add(at(0), &announcement(i, "d", 0)));
    placement
}

/// Adds a target that is cold for 20 s and announces itself here.
fn add_cold(placement: &mut placement::Placement, i: u16) {
    let announcement = announcement(i, "d", 20_000);
    placement.add(at(0), &announcement);
    placement.cold.announced(at(0), &announcement);
}

fn demand<'a>(service: &'a types::ServiceName) -> placement::Demand<'a> {
    placement::Demand {
        service,
        work: WORK,
        tried: &[],
    }
}

fn load(running: u32) -> placement::LoadReport {
    placement::LoadReport {
        running,
        waiting: 0,
        slots: SLOTS,
        slowness_percent: None,
    }
}

fn search(now: u64) -> placement::Search {
    let (objective, deadline) = (at(now + 100), at(now + 1000));
    placement::Search::new(Default::default(), at(now), objective, deadline)
}

fn shared_search(now: u64) -> placement::Search {
    let rule = placement::RoomRule {
        vms: VMS,
        has_probes: true,
    };
    search(now).with_room(rule)
}

fn sent_to(step: &placement::Step) -> Option<&types::TargetId> {
    match step {
        placement::Step::Send(choice) => Some(&choice.target),
        _ => None,
    }
}

/// Guards against a call that may run only once and goes to a cold target although a warm one, here in
/// another failure domain, has capacity; and against one that finds no target when the warm one is full.
#[test]
fn call_that_may_run_once_goes_to_a_warm_target_with_capacity() {
    let service = service();
    for (running, chosen) in [(0, id(0)), (SLOTS, id(1))] {
        let mut vm = placement(0, 4.0, 8.0);
        vm.add(at(0), &announcement(0, "other", 0));
        add_cold(&mut vm, 1);
        vm.reported(at(70), &id(0), &load(running));
        vm.reported(at(70), &id(1), &load(0));
        // Late, so that it needs no target of usual speed.
        let mut search = search(10).avoiding_cold_targets();
        let step = search.step(at(80), &mut vm, &demand(&service), true, false);
        assert_eq!(sent_to(&step), Some(&chosen), "{step:?}");
    }
}

/// Guards against a cold target without work in a service whose calls may all run only once.
#[test]
fn neglected_cold_target_gets_a_call_that_may_run_once() {
    let service = service();
    let mut vm = placement(1, 4.0, 8.0);
    add_cold(&mut vm, 1);
    let mut due = |now, repeatable| {
        let demand = demand(&service);
        let choice = vm.starved_choice(at(now), &demand, at(now + 1000), repeatable);
        choice.is_some_and(|choice| vm.cold.take(at(now), &choice.target))
    };
    assert!(!due(1500, false));
    assert!(due(2100, false));
    assert!(!due(2200, false) && !due(2200, true));
}

/// Guards against a cold target that gets calls although it is full or has stopped to answer.
#[test]
fn cold_target_without_capacity_gets_no_call() {
    let service = service();
    let mut vm = placement(0, 4.0, 8.0);
    add_cold(&mut vm, 0);
    let is_chosen = |vm: &placement::Placement, now| {
        let demand = demand(&service);
        let choice = vm.starved_choice(at(now), &demand, at(now + 1000), true);
        choice.is_some()
    };
    vm.reported(at(10), &id(0), &load(SLOTS));
    assert!(!is_chosen(&vm, 20));
    vm.reported(at(30), &id(0), &load(0));
    vm.started(&id(0));
    assert!(is_chosen(&vm, 40));
    assert!(!is_chosen(&vm, 500), "silent since 30 ms");
    vm.finished(at(510), &id(0), placement::Outcome::Answered);
    assert!(is_chosen(&vm, 520));
}

/// Guards against slots of evacuated and cold targets that a VM takes for free ones right after a start.
#[test]
fn evacuated_and_cold_targets_have_no_free_slots() {
    let mut vm = placement(0, 4.0, 8.0);
    for i in 0..20 {
        vm.add(at(0), &announcement(i, "away", 0));
    }
    let service = service();
    assert!(vm.unreported(at(10), &service).room(3) > 0);
    vm.set_evacuations(&[types::FailureDomain::from("away")].into_iter().collect());
    assert_eq!(vm.unreported(at(10), &service).room(3), 0);
    add_cold(&mut vm, 20);
    assert_eq!(vm.unreported(at(10), &service).room(3), 0);
    // Its token lets the cold target take a call all the same.
    let mut search = shared_search(10);
    let step = search.step(at(80), &mut vm, &demand(&service), true, false);
    assert_eq!(sent_to(&step), Some(&id(20)), "{step:?}");
}

/// Guards against a call that waits for tokens of a cold target where the bound allows none, or no
/// further one.
#[test]
fn call_does_not_wait_for_tokens_that_never_come() {
    let service = service();
    for (rate, slack, waits) in [(4.0, 8.0, true), (1.0, 1.0, false), (1.0, 1.5, false)] {
        let mut vm = placement(0, rate, slack);
        add_cold(&mut vm, 0);
        while vm.cold.take(at(0), &id(0)) {}
        let step = search(0).step(at(0), &mut vm, &demand(&service), true, true);
        let is_waiting = matches!(step, placement::Step::Wait { .. });
        assert_eq!(is_waiting, waits, "{rate}, {slack}: {step:?}");
    }
}

/// Guards against a late call that waits for the one target that seems to answer in time but has stopped
/// to report its load, although another one has room.
#[test]
fn late_call_goes_to_the_target_that_has_room() {
    let service = service();
    let mut vm = placement(2, 4.0, 8.0);
    vm.reported(at(0), &id(0), &load(0));
    vm.reported(at(600), &id(1), &load(2));
    let mut search = shared_search(580);
    // Makes the silent target the best one.
    let slow = placement::LoadReport {
        slowness_percent: Some(300),
        ..load(2)
    };
    vm.reported(at(600), &id(1), &slow);
    assert_eq!(vm.choose(at(650), &demand(&service)).unwrap().target, id(0));
    let step = search.step(at(650), &mut vm, &demand(&service), true, false);
    assert_eq!(sent_to(&step), Some(&id(1)), "{step:?}");
}

/// Guards against calls that overtake the head of the queue at targets that report no load, and against
/// a head that waits for a full one of them while another one has a slot.
#[test]
fn targets_that_report_no_load_are_chosen_in_the_order_of_the_queue() {
    let service = service();
    let mut vm = placement(2, 4.0, 8.0);
    (0..2).for_each(|i| vm.answered_without_load(&id(i)));
    let step = |vm: &mut placement::Placement, is_next| {
        shared_search(0).step(at(0), vm, &demand(&service), is_next, true)
    };
    assert_eq!(sent_to(&step(&mut vm, false)), None);
    for _ in 0..2 * SLOTS {
        let choice = step(&mut vm, true);
        vm.started(sent_to(&choice).unwrap());
    }
    assert_eq!(sent_to(&step(&mut vm, true)), None);
}
