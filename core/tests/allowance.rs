//! Allowances of workspaces over all VMs, in a model without a network.

mod allowance_world;

use std::time::Duration;

use allowance_world::{Callers, Off, World};
use wagtailshunt_core::{
    allowance::{
        Ask, Bound, Decision, Deputy, Grantor, Holder, Lenders, LoanRequest, Numbers, WorkspaceId,
    },
    routing::Allowance,
    time::Instant,
    types::VmId,
};

const SECOND: Duration = Duration::from_secs(1);

fn allowance(calls_per_second: f64, burst: f64) -> Allowance {
    Allowance {
        calls_per_second,
        burst,
    }
}

/// Workspaces of all sizes whose callers send ten times their rate.
fn greedy() -> Vec<Callers> {
    let allowances = [(0.5, 0.0), (2.0, 3.0), (20.0, 40.0), (200.0, 200.0)];
    let callers = |(rate, burst)| Callers {
        allowance: allowance(rate, burst),
        calls_per_second: rate * 10.0,
    };
    allowances.into_iter().map(callers).collect()
}

/// The expected load: 840 calls a second of 72 workspaces with a skew of 1.2, each at 0.6 of its rate.
fn usual() -> Vec<Callers> {
    let weights: Vec<f64> = (1..=72).map(|i| f64::from(i).powf(-1.2)).collect();
    let total: f64 = weights.iter().sum();
    let callers = |weight: f64| {
        let calls_per_second = 840.0 * weight / total;
        let rate = calls_per_second / 0.6;
        Callers {
            allowance: allowance(rate, (rate / 2.0).max(2.0)),
            calls_per_second,
        }
    };
    weights.into_iter().map(callers).collect()
}

type Scenario = fn(Off) -> World;

fn greedy_world(vms: usize, off: Off, seed: u64) -> World {
    let mut world = World::new(vms, greedy(), true, off, seed);
    // The buckets fill up, and the leader lends tokens.
    world.run(10 * SECOND);
    world
}

fn after_random_faults(vms: usize, off: Off, seed: u64) -> World {
    let mut world = greedy_world(vms, off, seed);
    world.start_calls(1.0, 30 * SECOND);
    for _ in 0..60 {
        world.fault();
        world.run(SECOND / 2);
    }
    world
}

fn after_elections(off: Off) -> World {
    let mut world = greedy_world(44, off, 2);
    world.start_calls(1.0, 5 * SECOND);
    for _ in 0..6 {
        world.run(SECOND / 2);
        world.elect();
    }
    world.run(2 * SECOND);
    world
}

fn after_silence(off: Off) -> World {
    let mut world = greedy_world(44, off, 3);
    world.run(20 * SECOND);
    world.start_calls(1.0, 10 * SECOND);
    world.run(SECOND);
    world.kill_leader(4 * SECOND);
    world.run(6 * SECOND);
    world
}

/// Guards against more calls than the bound allows in any window, when callers send ten times their
/// rate to few VMs, and VMs are cut off, killed and restarted, leaders change, deposed leaders go on being
/// asked, deputies are killed, suspended and replaced, and some VMs, leaders and voters are of the preceding
/// build. Each mechanism is needed: without it a scenario exceeds the bound.
#[test]
fn bound_holds_in_every_window() {
    for (vms, seed) in [(11, 1), (44, 2), (44, 3), (149, 4), (300, 5)] {
        let worst = after_random_faults(vms, Off::default(), seed).worst_window();
        assert!(worst <= 1.0, "{vms} VMs, seed {seed}: {worst}");
    }
    let none = Off::default();
    let scenarios: [(&str, Scenario, Off); 4] = [
        (
            "elections, old leader",
            after_elections,
            Off {
                lease: true,
                ..none
            },
        ),
        (
            "elections, new leader",
            after_elections,
            Off {
                empty_start: true,
                ..none
            },
        ),
        (
            "elections, time of the old leader's lease",
            after_elections,
            Off {
                credit_after_lease: true,
                ..none
            },
        ),
        (
            "silent leader",
            after_silence,
            Off {
                report: true,
                ..none
            },
        ),
    ];
    for (name, scenario, off) in scenarios {
        let worst = scenario(none).worst_window();
        assert!(worst <= 1.0, "{name}: {worst}");
        let without = scenario(off).worst_window();
        assert!(without > 1.0, "{name}: {without} without the mechanism");
    }
}

fn lost_share(world: &World) -> f64 {
    let tallies = || world.tallies.iter();
    let lost: usize = tallies().map(|tally| tally.refused + tally.unknown).sum();
    let ran: usize = tallies().map(|tally| tally.sent.len()).sum();
    lost as f64 / (lost + ran) as f64
}

fn usual_world(vms: usize, answering: bool) -> World {
    let mut world = World::new(vms, usual(), false, Off::default(), 5);
    world.run(10 * SECOND);
    if !answering {
        world.cut_all(60 * SECOND);
    }
    for _ in 0..4 {
        world.start_calls(1.0, 15 * SECOND);
        world.run(7 * SECOND);
        world.start_bursts();
        world.run(8 * SECOND);
    }
    world.run(SECOND);
    world
}

/// Guards against refusals of callers that stay within their allowance, also in their bursts and if
/// they send less than one call a second to each VM.
#[test]
fn usual_callers_are_not_refused() {
    let world = usual_world(44, true);
    let lost = lost_share(&world);
    assert!(lost < 0.001, "{lost}");
    let lost = lost_share(&usual_world(44, false));
    assert!(lost > 0.001, "{lost} without a leader");
}

/// Returns the shares of the usual calls that are lost in `gap` without a leader and in the second after
/// the next one starts.
fn lost_at_leader_change(vms: usize, gap: Duration, off: Off) -> [f64; 2] {
    let mut world = World::new(vms, usual(), false, off, 7);
    world.run(10 * SECOND);
    world.start_calls(1.0, 20 * SECOND);
    world.run(10 * SECOND);
    let lost = |world: &World| -> usize {
        let tallies = world.tallies.iter();
        tallies.map(|tally| tally.refused + tally.unknown).sum()
    };
    world.kill_leader(gap);
    [gap, SECOND].map(|length| {
        let before = lost(&world);
        world.run(length);
        (lost(&world) - before) as f64 / (840.0 * length.as_secs_f64())
    })
}

/// Returns which part of their rate workspaces can use, and the questions for each call that runs.
fn use_of_rate(vms: usize, factor: f64) -> String {
    let mut callers = usual();
    let factor = factor / 0.6;
    callers
        .iter_mut()
        .for_each(|callers| callers.calls_per_second *= factor);
    let mut world = World::new(vms, callers, false, Off::default(), 8);
    world.start_calls(1.0, 30 * SECOND);
    world.run(10 * SECOND);
    let ran = |world: &World, i: usize| world.tallies[i].sent.len() as f64;
    let (before, questions) = ([ran(&world, 0), ran(&world, 71)], world.questions);
    world.run(20 * SECOND);
    let part = |i: usize, before: f64| {
        (ran(&world, i) - before) / 20.0 / usual()[i].allowance.calls_per_second
    };
    let parts = (part(0, before[0]), part(71, before[1]));
    let rate = (world.questions - questions) as f64 / 20.0;
    format!(
        "{:.3} of the largest, {:.3} of the smallest, {rate:.0} questions/s",
        parts.0, parts.1
    )
}

/// Prints the figures of docs/design/allowances.md.
#[test]
#[ignore = "prints figures"]
fn figures() {
    for vms in [11, 44, 149, 300] {
        let world = usual_world(vms, true);
        let ran: usize = world.tallies.iter().map(|tally| tally.sent.len()).sum();
        let faults = after_random_faults(vms, Off::default(), 6);
        for gap in [700, 2500].map(Duration::from_millis) {
            let empty = Off {
                loans: true,
                ..Off::default()
            };
            println!(
                "{vms} VMs: {gap:?} without a leader: lost then and in the second after {:.3?}, without loans {:.3?}",
                lost_at_leader_change(vms, gap, Off::default()),
                lost_at_leader_change(vms, gap, empty),
            );
        }
        for factor in [1.2, 2.0, 10.0] {
            println!(
                "{vms} VMs: {factor} times the rate: {}",
                use_of_rate(vms, factor)
            );
        }
        println!(
            "{vms} VMs: lost {:.5}, questions per call {:.3}, unused tokens {:.4}; worst window with faults {:.3}",
            lost_share(&world),
            world.questions as f64 / ran as f64,
            1.0 - ran as f64 / world.granted as f64,
            faults.worst_window(),
        );
    }
}

/// Guards against refusals of other workspaces, or a question for each refused call, while one
/// workspace sends ten times its rate.
#[test]
fn excess_of_one_workspace_costs_the_others_nothing() {
    let mut callers = usual();
    callers[5].calls_per_second *= 17.0;
    let mut world = World::new(44, callers, false, Off::default(), 6);
    world.run(10 * SECOND);
    world.start_calls(1.0, 20 * SECOND);
    let before = world.questions;
    world.run(21 * SECOND);
    let refused = world.tallies[5].refused;
    assert!(refused > 5000, "{refused}");
    world.tallies.remove(5);
    assert!(lost_share(&world) < 0.001, "{}", lost_share(&world));
    let questions = world.questions - before;
    assert!(questions < 840 * 20 * 3 / 2, "{questions}");
}

/// Guards against tokens that are used after their validity, a suspension of the VM or a lower allowance,
/// and calls of a workspace that overtake each other.
#[test]
fn tokens_expire_and_calls_wait_in_order() {
    let (id, leader) = (WorkspaceId::of("a"), VmId(1));
    let limit = allowance(100.0, 10.0);
    let mut holder = Holder::new(Bound::default(), 0);
    holder.configure([("a", &limit)].into_iter());
    holder.set_leader(Some(leader));
    let tickets: Vec<Decision> = (0..3).map(|_| holder.take(Instant(0), id)).collect();
    let (_, question) = holder.poll_question(Instant(0)).unwrap();
    assert_eq!(question.asks[0].needed, 3);
    let granted = |granted| wagtailshunt_core::allowance::Answer {
        granted,
        ..Default::default()
    };
    holder.answered(Instant(9000), leader, question.number, &[granted(4)]);
    for ticket in tickets {
        let (decided, decision) = holder.poll_decision().unwrap();
        assert_eq!(
            (Decision::Wait(decided), decision),
            (ticket, Decision::Granted)
        );
    }
    let validity = Numbers::new(&Bound::default(), &limit).validity;
    let late = Instant(1) + validity;
    let mut expired = holder.clone();
    assert!(matches!(expired.take(late, id), Decision::Wait(_)));
    let mut suspended = holder.clone();
    suspended.give_up_tokens();
    assert!(matches!(
        suspended.take(Instant(9000), id),
        Decision::Wait(_)
    ));
    let mut lowered = holder.clone();
    lowered.configure([("a", &allowance(1.0, 1.0))].into_iter());
    assert!(matches!(lowered.take(Instant(9000), id), Decision::Wait(_)));
    assert_eq!(holder.take(Instant(9000), id), Decision::Granted);
}

/// Guards against more tokens in existence than the capacity, which VMs could use at once: tokens that
/// are refilled while granted ones are still valid, also those of an earlier leader.
#[test]
fn granted_tokens_take_up_the_capacity() {
    let limit = allowance(100.0, 100.0);
    let numbers = Numbers::new(&Bound::default(), &limit);
    let ask = Ask {
        workspace: WorkspaceId::of("a"),
        needed: 1000,
        ahead: 0,
    };
    let mut grantor = Grantor::new(Bound::default());
    grantor.configure(Instant(0), [("a", &limit)].into_iter());
    let mut granted = |ms: u64, leaderless: Option<u64>| {
        let now = Instant(ms * 1000);
        if let Some(ms) = leaderless {
            grantor.start(now, Duration::from_millis(ms));
        }
        grantor.grant(now, &ask).granted
    };
    let most = (numbers.capacity - numbers.held_back) as u32;
    assert_eq!(granted(0, Some(9000)), most);
    assert_eq!(granted(399, None), 0);
    let refilled = granted(600, None);
    assert!((1..=45).contains(&refilled), "{refilled}");
    // A leader that knows nothing of these tokens.
    let next = granted(700, Some(0)) + granted(1000, None);
    assert!(f64::from(most + next) <= numbers.capacity, "{next}");
    let earned = f64::from(granted(2000, Some(1000)));
    assert!(
        (60.0..=60.0 + numbers.held_back).contains(&earned),
        "{earned}"
    );
}

/// Guards against more loans than the leader may lend: by replies that are used late, requests that arrive
/// late, tokens that a deputy doesn't report, loans that outlive the leader's record of them, and VMs that
/// use a reserve beside them.
#[test]
fn loans_are_recorded_until_they_end() {
    let limit = allowance(100.0, 100.0);
    assert_eq!(Numbers::new(&Bound::default(), &limit).lendable, 15.0);
    let at = |ms: u64| Instant(ms * 1000);
    let mut grantor = Grantor::new(Bound::default());
    grantor.configure(at(0), [("a", &limit)].into_iter());
    grantor.start(at(0), 9 * SECOND);
    let mut lend = |ms, vm, request: &LoanRequest, deputies| {
        let lenders = Lenders {
            deputies,
            known: 10,
            preceding: 0,
        };
        grantor.lend(at(ms), VmId(vm), request, &lenders)
    };
    let mut deputies = [0; 3].map(|_| {
        let mut deputy = Deputy::new(at(0), Bound::default(), 0);
        deputy.configure([("a", &limit)].into_iter());
        deputy
    });
    let [first, second, third] = &mut deputies;
    let ask = |needed| {
        let workspace = WorkspaceId::of("a");
        let ahead = 0;
        let ask = Ask {
            workspace,
            needed,
            ahead,
        };
        [ask].into_iter()
    };
    let early = first.poll_request(at(400), true);
    assert_eq!(early, None, "tokens of the process before may be in use");
    let request = first.poll_request(at(1000), true).unwrap();
    let lent = lend(1000, 1, &request, 2);
    assert_eq!(lent, [0], "loans of the leader before may be in use");
    let old = first.poll_request(at(4000), true).unwrap();
    assert_eq!(lend(4000, 1, &old, 2), [7]);
    let request = first.poll_request(at(5000), true).unwrap();
    assert_eq!(lend(5000, 1, &request, 2), [7]);
    first.lent(old.number, &[7]);
    assert!(first.answer(at(5100), ask(1)).is_empty(), "a late reply");
    first.lent(request.number, &[7]);
    assert!(lend(5100, 1, &old, 2).is_empty(), "a late request");
    let request = second.poll_request(at(6000), true).unwrap();
    assert_eq!(lend(6000, 2, &request, 2), [7]);
    second.lent(request.number, &[7]);
    assert_eq!(first.answer(at(6800), ask(5))[0].granted, 5);
    let request = first.poll_request(at(6900), true).unwrap();
    assert_eq!(request.held[0].1, 7, "granted tokens may be in use");
    assert_eq!(lend(6900, 1, &request, 2), [0]);
    first.lent(request.number, &[0]);
    first.configure([("a", &allowance(1.0, 1.0))].into_iter());
    assert!(first.answer(at(7000), ask(1)).is_empty(), "lowered");
    let request = first.poll_request(at(8000), true).unwrap();
    assert_eq!(lend(8000, 1, &request, 0), [0]);
    let request = third.poll_request(at(8999), true).unwrap();
    assert_eq!(lend(8999, 3, &request, 1), [8], "the second may have 7");
    assert!(second.answer(at(8601), ask(1)).is_empty(), "the loan ended");
    let request = third.poll_request(at(12_000), true).unwrap();
    let lenders = Lenders {
        deputies: 1,
        known: 10,
        preceding: 2,
    };
    let lent = grantor.lend(at(12_000), VmId(3), &request, &lenders);
    assert_eq!(lent, [10], "VMs of the preceding build may use 5");
}

/// Guards against tokens that survive the removal of a workspace or a lower rate.
#[test]
fn buckets_follow_the_configuration() {
    let (high, low) = (allowance(100.0, 1000.0), allowance(1.0, 2.0));
    let mut grantor = Grantor::new(Bound::default());
    let mut configure = |seconds: u64, limit: &[(&'static str, &Allowance)], needed| {
        let now = Instant(seconds * 1_000_000);
        grantor.configure(now, limit.iter().copied());
        if seconds == 0 {
            grantor.start(now, Duration::ZERO);
        }
        let workspace = WorkspaceId::of("a");
        let ask = Ask {
            workspace,
            needed,
            ahead: 0,
        };
        grantor.grant(now, &ask).granted
    };
    assert_eq!(configure(0, &[("a", &high)], 1), 0);
    assert_eq!(configure(9, &[("a", &high)], 1), 1);
    let low_burst = configure(9, &[("a", &low)], 1000);
    assert!((2..=20).contains(&low_burst), "{low_burst}");
    assert_eq!(configure(20, &[("a", &high)], 5), 5);
    assert_eq!(configure(25, &[], 1), 0);
    assert_eq!(configure(25, &[("a", &high)], 1), 0);
}
