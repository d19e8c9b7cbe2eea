//! Calls to cold targets over many VMs. Checked is the number of calls in any second and the time without
//! a call.

mod world;

use std::time;

use wagtailshunt_core::{placement, types};
use world::{COLD, MAX_GAP_MS, Plan, World, at, id, make_domain_cold};

/// Guards against a failure domain of cold targets that gets more calls than it bears when all VMs find
/// it idle, and against cold targets that get none because their one VM has few calls.
#[test]
fn domain_of_cold_targets_gets_some_calls_and_not_too_many() {
    let plans = [Plan::of_44(), Plan::of_44(), Plan::of_59(), Plan::of_149()];
    for (seed, plan) in (1..).zip(plans) {
        let mut world = World::new(&plan, seed);
        let cold = make_domain_cold(&mut world);
        let most = world.worst(&cold, COLD);
        assert!(
            most <= plan.bound(),
            "{most} calls in a second, seed {seed}"
        );
        let gaps = cold.iter().map(|i| world.longest_gap(*i, COLD));
        let gap = gaps.max().unwrap();
        assert!(gap < MAX_GAP_MS, "{gap} ms without a call, seed {seed}");
        assert_eq!(world.refused, 0);
    }
}

/// Guards against cold targets that take what the full warm ones cannot.
#[test]
fn overload_of_the_warm_targets_does_not_reach_the_cold_ones() {
    for plan in [Plan::of_44(), Plan::of_59()] {
        let plan = Plan {
            warm_are_full: true,
            calls_per_second: 4000.0,
            calls_per_cold_second: 4.0,
            ..plan
        };
        let mut world = World::new(&plan, 4);
        let cold = make_domain_cold(&mut world);
        let most = world.worst(&cold, COLD);
        assert!(most <= plan.bound(), "{most} calls in a second");
        let unlimited = Plan {
            limited: false,
            ..plan
        };
        let mut world = World::new(&unlimited, 4);
        let cold = make_domain_cold(&mut world);
        let most = world.worst(&cold, COLD);
        assert!(
            most > unlimited.bound(),
            "the load of this test needs no limit: {most}"
        );
    }
}

/// Guards against VMs without contact to the leader that go on with what they knew, that the targets are
/// warm or that they hold them; and against two VMs that use the whole allowance of a target which
/// has changed from one to the other.
#[test]
fn vms_with_stale_knowledge_keep_the_bound() {
    let plans = [Plan::of_44(), Plan::of_59()];
    for (seed, (plan, roaming)) in (5..).zip(
        plans
            .into_iter()
            .flat_map(|plan| [false, true].map(|roaming| (plan.clone(), roaming))),
    ) {
        let plan = Plan {
            roaming,
            cut_off: 10..25,
            warm_are_full: true,
            calls_per_second: 4000.0,
            ..plan
        };
        let mut world = World::new(&plan, seed);
        let cold = make_domain_cold(&mut world);
        let most = world.worst(&cold, COLD);
        assert!(
            most <= plan.bound(),
            "{most} calls in a second, seed {seed}"
        );
    }
}

/// Guards against a limit on targets that are warm, at a start without calls and in services without a
/// rate, and against targets that stay cold for a VM after they have said otherwise.
#[test]
fn warm_targets_are_not_limited() {
    let plan = Plan::of_44();
    let mut world = World::new(&plan, 9);
    world.run(0..2000);
    assert_eq!(world.refused, 0);
    assert!(
        world
            .vms
            .iter()
            .all(|vm| vm.cold.counts(at(2000)) == (0, 0))
    );
    world.make_cold(0, 5000);
    world.targets[0].next_announcement = 2000;
    world.run(2000..2100);
    assert!(world.vms.iter().all(|vm| vm.cold.is_cold(at(2100), &id(0))));
    let warm = time::Duration::ZERO;
    assert_eq!(world.vms[3].cold.health(at(2100), &id(0), warm), None);
    assert!(world.vms[3].cold.may_send(at(2100), &id(0)));
}

/// Guards against the full load on the targets of a failure domain right after its evacuation, before
/// they had time to say whether they are cold.
#[test]
fn targets_count_as_cold_after_an_evacuation_until_they_say_otherwise() {
    let plan = Plan {
        warm_are_full: true,
        calls_per_second: 4000.0,
        ..Plan::of_44()
    };
    let mut world = World::new(&plan, 10);
    // Calls of this load are sent up to 250 ms after they arrive.
    world.run(0..1700);
    let domain = types::FailureDomain::from("d0");
    for vm in &mut world.vms {
        assert!(vm.cold.assume_cold(at(2000), &domain) > 0);
    }
    let in_domain = (0..plan.targets).filter(|i| world.targets[*i].domain == 0);
    let in_domain: Vec<usize> = in_domain.collect();
    for vm in &world.vms {
        assert!(in_domain.iter().all(|i| vm.cold.is_cold(at(2100), &id(*i))));
        assert!(!vm.cold.is_cold(at(2100), &id(plan.services)));
        assert!(
            in_domain
                .iter()
                .all(|i| !vm.cold.is_cold(at(4500), &id(*i)))
        );
    }
    // The first VM that hears otherwise tells all others.
    let health = world.vms[3]
        .cold
        .health(at(2100), &id(0), time::Duration::ZERO);
    assert!(world.vms[5].cold.reported(at(2130), &health.unwrap()));
    assert!(world.vms[5].cold.may_send(at(2130), &id(0)));
    assert!(!world.vms[6].cold.may_send(at(2130), &id(0)));
    // All but this first target are cold, and announce it only up to 1.5 s later.
    let cold = &in_domain[1..];
    cold.iter().for_each(|i| world.make_cold(*i, 12_000));
    world.run(2000..4500);
    assert!(world.worst(cold, 2000..4500) <= plan.bound());
}

/// Guards against calls that wait for a token of a cold target whose failure domain is evacuated.
#[test]
fn evacuated_cold_targets_take_no_waiting_calls() {
    let mut world = World::new(&Plan::of_44(), 11);
    let vm = world.targets[0].announced_to;
    world.run(0..2000);
    let service = world.targets[0].service.clone();
    let others = (1..world.targets.len()).filter(|i| world.targets[*i].service == service);
    let others: Vec<usize> = others.collect();
    let vm = &mut world.vms[vm];
    others.iter().for_each(|i| vm.remove(&id(*i)));
    vm.cold
        .health(at(2000), &id(0), time::Duration::from_secs(5));
    while vm.cold.take(at(2000), &id(0)) {}
    let demand = placement::Demand {
        service: &service,
        work: time::Duration::from_millis(100),
        tried: &[],
    };
    let (objective, deadline) = (at(2300), at(3000));
    let mut search = placement::Search::new(Default::default(), at(2000), objective, deadline);
    let step = search.step(at(2000), vm, &demand, true, true);
    assert!(matches!(step, placement::Step::Wait { .. }), "{step:?}");
    vm.set_evacuations(&[types::FailureDomain::from("d0")].into_iter().collect());
    let step = search.step(at(2000), vm, &demand, true, true);
    assert_eq!(step, placement::Step::NoTarget);
}
