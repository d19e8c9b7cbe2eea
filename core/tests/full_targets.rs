//! Many VMs that all have a call waiting, and targets of which some stop to finish their calls: what
//! the VMs send to one target stays below its slots and queue.

use std::{collections, time};

use rand::{Rng, SeedableRng, rngs};
use wagtailshunt_core::{fleet, placement, time as core_time, types};

const SLOTS: u32 = 4;
const QUEUE: u32 = 16;
const TARGETS: usize = 156;
const WORK_MS: u64 = 160;
/// Shortest and longest time of a call at a target.
const RUN_MS: std::ops::Range<u64> = 110..210;
/// Time from a VM to a target.
const ONE_WAY_MS: u64 = 2;
const HANG: std::ops::Range<u64> = 250..650;
const END: u64 = 800;

fn at(ms: u64) -> core_time::Instant {
    core_time::Instant(ms * 1000)
}

fn id(i: usize) -> types::TargetId {
    types::TargetId(format!("t{i:03}"))
}

/// What happens at a time, with the numbers of the VM and of the target.
#[derive(Clone, Copy)]
enum Event {
    /// A call (true) or a probe arrives at a target.
    Arrives(usize, usize, bool),
    /// A target ends a call.
    Ends(usize, usize),
    /// The response to a call (true) or a probe arrives, with the running and waiting calls.
    Answered(usize, usize, bool, (u32, u32)),
    /// The head of a VM's queue decides.
    Steps(usize),
}

#[derive(Clone, Default)]
struct Target {
    running: u32,
    waiting: collections::VecDeque<usize>,
    most: u32,
    lost: u32,
}

struct Vm {
    placement: placement::Placement,
    search: placement::Search,
}

fn new_search(now: u64) -> placement::Search {
    let ms = time::Duration::from_millis;
    let cfg = placement::SearchConfig::default();
    let search = placement::Search::new(cfg, at(now), at(now) + ms(500), at(now) + ms(1500));
    search.with_shared_slots()
}

fn new_vm(i: usize, vms: usize) -> Vm {
    let domain = |i: usize| types::FailureDomain(format!("d{}", i % 3));
    let rng = rngs::SmallRng::seed_from_u64(i as u64);
    let cfg = placement::Config::default();
    let mut placement = placement::Placement::new(cfg, domain(i), rng);
    for target in 0..TARGETS {
        let announcement = fleet::Announcement {
            target: id(target),
            service: types::ServiceName::from("s"),
            address: ([10, 0, 0, 1], target as u16).into(),
            failure_domain: domain(target),
            slots: SLOTS,
            born: core_time::UnixMillis(1),
            sequence: 1,
            warmup_left: time::Duration::ZERO,
        };
        placement.add(at(0), &announcement);
    }
    let position = |rank, count| placement::Position { rank, count };
    placement.share_slots();
    placement.set_position(position(i / 3, vms / 3), position(i, vms));
    Vm {
        placement,
        search: new_search(0),
    }
}

/// Guards against a target that gets more calls than it can run and queue, and that never answers the
/// others: every VM has a call to send at any time, and every tenth target hangs for 400 ms.
#[test]
fn no_target_gets_more_than_it_can_queue() {
    for vms in [44, 149] {
        let mut rng = rngs::SmallRng::seed_from_u64(7);
        let mut all: Vec<Vm> = (0..vms).map(|i| new_vm(i, vms)).collect();
        let mut targets = vec![Target::default(); TARGETS];
        let steps = (0..vms).map(|vm| (rng.random_range(0..5), Event::Steps(vm)));
        let mut events: collections::BTreeMap<u64, Vec<Event>> = collections::BTreeMap::new();
        steps.for_each(|(time, event)| events.entry(time).or_default().push(event));
        while let Some((now, due)) = events.pop_first().filter(|(now, _)| *now < END) {
            let mut later = Vec::new();
            for event in due {
                handle(now, event, &mut all, &mut targets, &mut later);
            }
            for (delay, event) in later {
                // An event at the same time would be lost.
                events
                    .entry(now + u64::max(delay, 1))
                    .or_default()
                    .push(event);
            }
        }
        let most = targets.iter().map(|target| target.most).max().unwrap_or(0);
        let lost: u32 = targets.iter().map(|target| target.lost).sum();
        println!("{vms} VMs: at most {most} calls at a target, {lost} lost");
        assert!(most >= SLOTS, "no load");
        assert!(
            most < SLOTS + QUEUE && lost == 0,
            "{vms} VMs: {most}, {lost}"
        );
    }
}

fn handle(
    now: u64,
    event: Event,
    vms: &mut [Vm],
    targets: &mut [Target],
    later: &mut Vec<(u64, Event)>,
) {
    match event {
        Event::Arrives(vm, target, call) => {
            let state = &mut targets[target];
            if !call {
                let load = (state.running, state.waiting.len() as u32);
                later.push((ONE_WAY_MS, Event::Answered(vm, target, call, load)));
            } else if state.running < SLOTS {
                state.running += 1;
                later.push((run_time(now, target), Event::Ends(vm, target)));
            } else if (state.waiting.len() as u32) < QUEUE {
                state.waiting.push_back(vm);
            } else {
                state.lost += 1;
            }
            state.most = state.most.max(state.running + state.waiting.len() as u32);
        }
        Event::Ends(_, target) if HANG.contains(&now) && target % 10 == 0 => {
            later.push((HANG.end - now, event));
        }
        Event::Ends(vm, target) => {
            let state = &mut targets[target];
            state.running -= 1;
            if let Some(next) = state.waiting.pop_front() {
                state.running += 1;
                later.push((run_time(now, target), Event::Ends(next, target)));
            }
            let load = (state.running, state.waiting.len() as u32);
            let call = true;
            later.push((ONE_WAY_MS, Event::Answered(vm, target, call, load)));
        }
        Event::Answered(vm, target, call, load) => {
            if call {
                let placement = &mut vms[vm].placement;
                placement.finished(at(now), &id(target), placement::Outcome::Answered);
            }
            let placement = &mut vms[vm].placement;
            let load = placement::LoadReport {
                running: load.0,
                waiting: load.1,
                slots: SLOTS,
                slowness_percent: Some(100),
            };
            placement.reported(at(now), &id(target), &load);
            if !call {
                step(now, vm, &mut vms[vm], later);
            }
        }
        Event::Steps(vm) => {
            step(now, vm, &mut vms[vm], later);
            later.push((5, Event::Steps(vm)));
        }
    }
}

/// Returns a time that differs between calls.
fn run_time(now: u64, target: usize) -> u64 {
    let mut rng = rngs::SmallRng::seed_from_u64(now * 1000 + target as u64);
    rng.random_range(RUN_MS)
}

/// Makes the next step of the call at the head of a VM's queue.
fn step(now: u64, i: usize, vm: &mut Vm, later: &mut Vec<(u64, Event)>) {
    let demand = placement::Demand {
        service: &types::ServiceName::from("s"),
        work: time::Duration::from_millis(WORK_MS),
        tried: &[],
    };
    let number = |target: &types::TargetId| target.as_str()[1..].parse().unwrap_or(0);
    let step = vm
        .search
        .step(at(now), &mut vm.placement, &demand, true, true);
    let mut arrives = |target: &types::TargetId, call| {
        let target = number(target);
        later.push((ONE_WAY_MS, Event::Arrives(i, target, call)));
    };
    match step {
        placement::Step::Send(choice) => {
            vm.placement.started(&choice.target);
            arrives(&choice.target, true);
            vm.search = new_search(now);
        }
        placement::Step::Probe(probed) => probed.iter().for_each(|target| arrives(target, false)),
        placement::Step::Wait { .. } => {}
        placement::Step::Overloaded | placement::Step::NoTarget => vm.search = new_search(now),
    }
}
