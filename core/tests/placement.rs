//! Selection of targets: fresh reports, the queue, contention and hedges. Each test replays the
//! load under which its rule matters.

use std::time;

use rand::{Rng, SeedableRng, rngs};
use wagtailshunt_core::{fleet, placement, time as core_time, types};

const WORK: time::Duration = time::Duration::from_millis(120);
const OBJECTIVE: time::Duration = time::Duration::from_millis(300);
const DEADLINE: time::Duration = time::Duration::from_millis(1000);

fn at(ms: u64) -> core_time::Instant {
    core_time::Instant(ms * 1000)
}

fn service() -> types::ServiceName {
    types::ServiceName::from("board")
}

fn id(i: usize) -> types::TargetId {
    types::TargetId(format!("t{i}"))
}

fn report(i: usize, domain: &str) -> fleet::Announcement {
    fleet::Announcement {
        target: id(i),
        service: service(),
        address: ([10, 0, 0, 1], 1000 + i as u16).into(),
        failure_domain: types::FailureDomain::from(domain),
        slots: 3,
        born: core_time::UnixMillis(1),
        sequence: 1,
        warmup_left: time::Duration::ZERO,
    }
}

fn placement(targets: usize, seed: u64) -> placement::Placement {
    let rng = rngs::SmallRng::seed_from_u64(seed);
    let own = types::FailureDomain::from("ba");
    let mut placement = placement::Placement::new(placement::Config::default(), own, rng);
    for i in 0..targets {
        placement.add(at(0), &report(i, "ba"));
    }
    placement
}

fn load(running: u32, slowness_percent: u32) -> placement::LoadReport {
    placement::LoadReport {
        running,
        waiting: 0,
        slots: 3,
        slowness_percent: Some(slowness_percent),
    }
}

fn search(now: core_time::Instant) -> placement::Search {
    let cfg = placement::SearchConfig::default();
    placement::Search::new(cfg, now, now + OBJECTIVE, now + DEADLINE)
}

/// Simulates neighbours on the same hardware that make a quarter of the targets seven times slower,
/// for half a second each.
struct NoisyNeighbours {
    rng: rngs::SmallRng,
    slow: Vec<bool>,
    until: Vec<u64>,
}

impl NoisyNeighbours {
    fn new(targets: usize, seed: u64) -> NoisyNeighbours {
        let mut rng = rngs::SmallRng::seed_from_u64(seed);
        let until = (0..targets).map(|_| rng.random_range(0..500)).collect();
        NoisyNeighbours {
            rng,
            slow: vec![false; targets],
            until,
        }
    }

    fn advance(&mut self, ms: u64) {
        for i in 0..self.slow.len() {
            while self.until[i] <= ms {
                self.until[i] += 500;
                self.slow[i] = self.rng.random_bool(0.25);
            }
        }
    }

    fn percent(&self, i: usize) -> u32 {
        if self.slow[i] { 700 } else { 100 }
    }
}

/// Returns the share of calls that went to a slowed target. Reports are 60 ms old unless targets
/// are probed right before the call.
fn slowed_share(probe: bool) -> f64 {
    const TARGETS: usize = 8;
    const CALLS: u64 = 2000;
    let mut neighbours = NoisyNeighbours::new(TARGETS, 7);
    let mut placement = placement(TARGETS, 1);
    let mut slowed = 0;
    for call in 0..CALLS {
        let ms = call * 60;
        neighbours.advance(ms);
        for i in 0..TARGETS {
            placement.reported(at(ms), &id(i), &load(0, neighbours.percent(i)));
        }
        neighbours.advance(ms + 60);
        let now = at(ms + 60);
        let service = service();
        let demand = placement::Demand {
            service: &service,
            work: WORK,
            tried: &[],
        };
        let mut search = search(now);
        let chosen = loop {
            match search.step(now, &mut placement, &demand, true, probe) {
                placement::Step::Send(choice) => break choice.target,
                placement::Step::Probe(targets) => {
                    for target in targets {
                        let i = (0..TARGETS).find(|i| id(*i) == target).unwrap();
                        placement.reported(now, &target, &load(0, neighbours.percent(i)));
                    }
                }
                _ => break placement.choose(now, &demand).unwrap().target,
            }
        };
        let i = (0..TARGETS).find(|i| id(*i) == chosen).unwrap();
        slowed += u64::from(neighbours.slow[i]);
    }
    slowed as f64 / CALLS as f64
}

/// Guards against calls to targets that have slowed down since their last report.
#[test]
fn probed_targets_are_not_slowed() {
    let stale = slowed_share(false);
    let probed = slowed_share(true);
    assert_eq!(probed, 0.0);
    assert!(stale > 0.01, "the load does not show the fault: {stale}");
}

/// Guards against probes of targets that never report their load, and against waiting for them.
#[test]
fn targets_without_reports_get_calls_at_once() {
    let mut placement = placement(2, 1);
    for i in 0..2 {
        placement.answered_without_load(&id(i));
    }
    let service = service();
    let demand = placement::Demand {
        service: &service,
        work: WORK,
        tried: &[],
    };
    let step = search(at(0)).step(at(0), &mut placement, &demand, true, true);
    assert!(matches!(step, placement::Step::Send(_)), "{step:?}");
}

/// Guards against calls that wait until their deadline although no target has capacity.
#[test]
fn call_without_capacity_is_refused_in_time() {
    let mut placement = placement(2, 1);
    let service = service();
    let demand = placement::Demand {
        service: &service,
        work: WORK,
        tried: &[],
    };
    let mut search = search(at(0));
    let mut now = at(0);
    let mut waited_late = false;
    loop {
        for i in 0..2 {
            placement.reported(now, &id(i), &load(3, 100));
        }
        match search.step(now, &mut placement, &demand, true, true) {
            placement::Step::Wait { pause, late } => {
                waited_late |= late;
                now = now + pause;
            }
            placement::Step::Probe(_) => {}
            step => {
                assert_eq!(step, placement::Step::Overloaded);
                break;
            }
        }
    }
    assert!(waited_late);
    assert!(now <= at(505), "{now}");
}

/// Guards against a call that can meet its latency objective but waits behind a late one.
#[test]
fn late_calls_are_served_last() {
    let mut queue = placement::Queue::default();
    let slack = time::Duration::from_millis(150);
    let old = queue.push(at(0), 0, slack);
    let new = queue.push(at(10), 2, slack);
    assert!(queue.is_next(at(10), old));
    queue.set_late(old);
    assert!(queue.is_next(at(10), new));
    queue.dispatched(at(20), new);
    assert!(queue.is_next(at(20), old));
    queue.remove(old);
    assert!(queue.is_empty());
}

/// Returns the share of calls that start with at least half of their slack left when twice as many
/// arrive as are served.
fn in_time_share(newest_first: bool) -> f64 {
    const SLACK: u64 = 150;
    let slack_ms = if newest_first { SLACK } else { 10_000 };
    let mut queue = placement::Queue::default();
    let mut waiting: Vec<(placement::Ticket, u64)> = Vec::new();
    let (mut served, mut early) = (0, 0);
    for ms in (0..20_000).step_by(5) {
        let now = at(ms);
        let slack = time::Duration::from_millis(slack_ms);
        waiting.push((queue.push(now, 0, slack), ms));
        waiting.retain(|(ticket, since)| {
            let within_slack = ms - since < SLACK;
            if !within_slack {
                queue.remove(*ticket);
            }
            within_slack
        });
        if ms % 10 == 0
            && let Some(i) = (0..waiting.len()).find(|i| queue.is_next(now, waiting[*i].0))
        {
            let (ticket, since) = waiting.remove(i);
            queue.dispatched(now, ticket);
            served += 1;
            early += u64::from(ms - since < SLACK / 2);
        }
    }
    early as f64 / f64::from(served)
}

/// Guards against a long queue whose calls all start with no time left.
#[test]
fn newest_call_is_served_first_in_overload() {
    let oldest_first = in_time_share(false);
    let newest_first = in_time_share(true);
    assert!(
        oldest_first < 0.2,
        "the load does not show the fault: {oldest_first}"
    );
    assert!(newest_first > 0.4, "{newest_first}");
}

/// Guards against calls that enter the queue although its expected wait is longer than they can
/// wait.
#[test]
fn expected_wait_follows_the_dispatch_rate() {
    let mut queue = placement::Queue::default();
    let slack = time::Duration::from_millis(150);
    assert_eq!(queue.expected_wait(at(0), 0), None);
    let tickets: Vec<_> = (0..15).map(|_| queue.push(at(0), 1, slack)).collect();
    for (i, ticket) in tickets.iter().take(10).enumerate() {
        queue.dispatched(at(i as u64 * 100), *ticket);
    }
    let wait = queue.expected_wait(at(1000), 1).unwrap();
    assert_eq!(wait, time::Duration::from_millis(500));
    assert_eq!(queue.expected_wait(at(1000), 0), Some(time::Duration::ZERO));
}

/// Guards against calls that are refused under low load: the time between two calls that did not
/// wait is no measure of capacity. It happened with pipelined lookups at four a second.
#[test]
fn low_load_predicts_no_wait() {
    let mut queue = placement::Queue::default();
    let slack = time::Duration::from_millis(150);
    for ms in (0..2000).step_by(250) {
        let ticket = queue.push(at(ms), 0, slack);
        queue.dispatched(at(ms), ticket);
    }
    for _ in 0..3 {
        queue.push(at(2000), 0, slack);
    }
    assert_eq!(queue.expected_wait(at(2000), 0), None);
}

/// Guards against the use of a slot that lowers the throughput of its target.
#[test]
fn last_slot_stays_free_where_it_slows_the_others() {
    let mut contention = placement::Contention::default();
    assert_eq!(contention.best_concurrency(3), 3);
    for _ in 0..20 {
        contention.record(1, 1.0);
        contention.record(2, 1.1);
        contention.record(3, 1.75);
    }
    assert_eq!(contention.best_concurrency(3), 2);
    let mut uniform = placement::Contention::default();
    for _ in 0..20 {
        (1..=3).for_each(|running| uniform.record(running, 1.05));
    }
    assert_eq!(uniform.best_concurrency(3), 3);
}

/// Guards against a target that fails fast and so attracts calls because it looks idle.
#[test]
fn failing_target_is_used_last() {
    let mut placement = placement(2, 1);
    let service = service();
    let demand = placement::Demand {
        service: &service,
        work: WORK,
        tried: &[],
    };
    let now = at(100);
    placement.reported(now, &id(0), &load(0, 100));
    placement.reported(now, &id(1), &load(2, 100));
    for _ in 0..2 {
        placement.started(&id(0));
        placement.finished(now, &id(0), placement::Outcome::Failed);
    }
    assert_eq!(placement.choose(now, &demand).unwrap().target, id(1));
    let later = at(2000);
    placement.reported(later, &id(0), &load(0, 100));
    placement.reported(later, &id(1), &load(3, 100));
    assert_eq!(placement.choose(later, &demand).unwrap().target, id(0));
}

/// Returns the largest number of calls on one target when three VMs that do not see each other's
/// calls send one call each to three targets that do not report their load.
fn max_calls_on_one_target(ordered: bool) -> usize {
    let service = service();
    let mut calls = [0; 3];
    for vm in 0..3 {
        let mut placement = placement(3, vm as u64);
        for i in 0..3 {
            placement.answered_without_load(&id(i));
        }
        if ordered {
            let position = placement::Position { rank: vm, count: 3 };
            placement.set_position(position, position);
        }
        let demand = placement::Demand {
            service: &service,
            work: WORK,
            tried: &[],
        };
        let chosen = placement.choose(at(0), &demand).unwrap().target;
        calls[(0..3).find(|i| id(*i) == chosen).unwrap()] += 1;
    }
    calls.into_iter().max().unwrap()
}

/// Guards against VMs that do not see each other's calls and all select the same targets.
#[test]
fn vms_prefer_different_targets_of_unknown_load() {
    assert!(
        max_calls_on_one_target(false) > 1,
        "the load does not show the fault"
    );
    assert_eq!(max_calls_on_one_target(true), 1);
}

/// Returns when a hedge is sent, in milliseconds, if the attempt in flight is never answered; 5000
/// when none is sent.
fn hedged_at_ms(in_flight: Option<placement::InFlight>) -> u64 {
    let mut now = at(0);
    loop {
        match placement::hedge(now, at(300), WORK, in_flight) {
            placement::Hedge::Now => return now.0 / 1000,
            placement::Hedge::Later(next) if next > at(5000) => return 5000,
            placement::Hedge::Later(next) => {
                assert!(next > now, "{next} is not after {now}");
                now = next;
            }
        }
    }
}

/// Guards against hedges that take slots in overload: a call that waited 80 ms in the queue has
/// only just started when a hedge would have to be sent.
#[test]
fn call_that_waited_in_queue_is_not_hedged() {
    let sent = |ms| {
        Some(placement::InFlight {
            sent: at(ms),
            expected_latency: WORK,
        })
    };
    // Overdue at the latest time at which a hedge meets the objective.
    let short = placement::InFlight {
        sent: at(0),
        expected_latency: WORK / 2,
    };
    assert_eq!(hedged_at_ms(Some(short)), 150);
    // Not overdue by then, so the call is hedged only when its response counts as lost.
    assert_eq!(hedged_at_ms(sent(0)), 480);
    assert_eq!(hedged_at_ms(sent(80)), 560);
    assert_eq!(hedged_at_ms(None), 5000);
}

/// Placement of one of `vms` VMs of a failure domain with `targets` targets.
fn placement_in_group(targets: usize, rank: usize, vms: usize) -> placement::Placement {
    let mut placement = placement(targets, rank as u64);
    let position = placement::Position { rank, count: vms };
    placement.set_position(position, position);
    placement
}

/// Guards against probes and connections that spread over all targets of a failure domain with many
/// VMs: a target then reports to each VM too seldom to be of use.
#[test]
fn groups_of_vms_divide_the_targets() {
    const TARGETS: usize = 60;
    const VMS: usize = 22;
    let mut covered = vec![0; TARGETS];
    for rank in 0..VMS {
        let placement = placement_in_group(TARGETS, rank, VMS);
        let own: Vec<_> = placement.group_targets().cloned().collect();
        assert!((10..=20).contains(&own.len()), "{} targets", own.len());
        for (i, covered) in covered.iter_mut().enumerate() {
            *covered += usize::from(own.contains(&id(i)));
        }
        let group = placement::Position { rank, count: VMS }.group();
        assert!(group.range(VMS).contains(&rank));
        assert!(group.range(VMS).len() <= placement::MAX_GROUP_VMS);
    }
    assert!(covered.iter().all(|vms| *vms >= 4), "{covered:?}");
    // All VMs of a small failure domain share all targets.
    let small = placement_in_group(TARGETS, 2, placement::MAX_GROUP_VMS);
    assert_eq!(small.group_targets().count(), TARGETS);
}

/// Guards against a group that waits for its own targets while others have free slots: the load is
/// a group whose targets are all busy in the middle of a failure domain with free ones.
#[test]
fn calls_leave_a_group_whose_targets_are_full() {
    let mut placement = placement_in_group(60, 5, 22);
    let own: Vec<_> = placement.group_targets().cloned().collect();
    let service = service();
    let demand = placement::Demand {
        service: &service,
        work: WORK,
        tried: &[],
    };
    let first = placement.choose(at(0), &demand).unwrap();
    assert!(own.contains(&first.target), "an idle group keeps its calls");
    for target in &own {
        placement.reported(at(1), target, &load(6, 100));
    }
    let chosen = placement.choose(at(1), &demand).unwrap();
    assert!(!own.contains(&chosen.target));
}

/// Guards against regular probes that cost more than the calls they are for: the load is seven calls
/// a second on a VM that shares many targets. With more calls the probes rise to the allowed rate.
#[test]
fn regular_probes_follow_the_calls() {
    const MIN_INTERVAL: time::Duration = time::Duration::from_millis(100);
    let probes_per_s = |calls_per_s: u64, targets: usize| {
        let mut rate = placement::ProbeRate::default();
        for i in 0..5 * calls_per_s {
            rate.count_call(at(i * 1000 / calls_per_s));
        }
        1.0 / rate.pause(at(5000), targets, MIN_INTERVAL).as_secs_f64()
    };
    let few_calls = probes_per_s(7, 12);
    assert!((5.0..10.0).contains(&few_calls), "{few_calls}");
    let many_calls = probes_per_s(500, 12);
    assert!((119.0..=121.0).contains(&many_calls), "{many_calls}");
    // Without calls each target is still probed every two seconds.
    let idle = placement::ProbeRate::default().pause(at(60_000), 12, MIN_INTERVAL);
    assert_eq!(idle, time::Duration::from_secs(2) / 12);
}

/// Guards against calls that leave the failure domain although other groups of it have free targets:
/// long calls, all targets of the own group slowed.
#[test]
fn calls_go_to_another_group_before_another_domain() {
    let mut placement = placement_in_group(60, 5, 22);
    for i in 60..80 {
        placement.add(at(0), &report(i, "nadi"));
    }
    let own: Vec<_> = placement.group_targets().cloned().collect();
    let service = service();
    let demand = placement::Demand {
        service: &service,
        work: time::Duration::from_millis(1600),
        tried: &[],
    };
    for target in &own {
        placement.reported(at(1), target, &load(0, 700));
    }
    let ranked = placement.ranked(at(1), &demand);
    let local = |choice: &placement::Choice| (0..60).any(|i| id(i) == choice.target);
    let firsts = ranked.iter().take(10);
    assert!(
        firsts
            .clone()
            .all(|choice| local(choice) && !own.contains(&choice.target))
    );
}
