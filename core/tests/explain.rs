//! What operators are shown of a call and its candidates.

use std::time;

use rand::{SeedableRng, rngs};
use wagtailshunt_core::{explain, fleet, placement, routing, time as core_time, types, warmup};

fn at(ms: u64) -> core_time::Instant {
    core_time::Instant(ms * 1000)
}

fn announcement(id: &str, domain: &str, left: u64) -> fleet::Announcement {
    fleet::Announcement {
        target: types::TargetId(id.to_owned()),
        service: types::ServiceName::from("s"),
        address: ([10, 0, 0, 1], 1000).into(),
        failure_domain: types::FailureDomain::from(domain),
        slots: 4,
        born: core_time::UnixMillis(1),
        sequence: 1,
        warmup_left: time::Duration::from_millis(left),
    }
}

/// Guards against an explanation that leaves out targets, gives a wrong reason for one that gets no
/// call, or changes what it explains.
#[test]
fn each_target_is_shown_with_the_reason_for_which_it_gets_no_call() {
    let rng = rngs::SmallRng::seed_from_u64(1);
    let domain = types::FailureDomain::from("d");
    let mut vm = placement::Placement::new(Default::default(), domain, rng);
    let service = types::ServiceName::from("s");
    let limit = routing::Warmup {
        duration: time::Duration::from_secs(10),
        calls_per_second: 4.0,
    };
    let rate = warmup::Rate::new(&limit, 1.5, 8.0);
    vm.cold = warmup::ColdTargets::new(types::VmId(1), time::Duration::from_secs(1));
    vm.cold
        .set_rates([(service.clone(), rate)].into_iter().collect());
    let targets = [
        ("away", "e", 0),
        ("cold", "d", 9000),
        ("full", "d", 0),
        ("idle", "d", 0),
    ];
    for (id, domain, left) in targets {
        vm.add(at(0), &announcement(id, domain, left));
    }
    vm.set_evacuations(&[types::FailureDomain::from("e")].into_iter().collect());
    for (id, running) in [("full", 4), ("idle", 1)] {
        let load = placement::LoadReport {
            running,
            waiting: 0,
            slots: 4,
            slowness_percent: Some(100),
        };
        vm.reported(at(100), &types::TargetId(id.to_owned()), &load);
    }
    let search = placement::Search::new(Default::default(), at(100), at(400), at(1100));
    let call = explain::Call {
        demand: placement::Demand {
            service: &service,
            work: time::Duration::from_millis(100),
            tried: &[],
        },
        search: &search,
        deadline: at(1100),
        feeds_cold: true,
    };
    let queue = explain::Queue {
        waiting: 0,
        may_probe: true,
        takes_unreported: false,
    };
    let explained = explain::Explanation {
        checks: vec![("route".to_owned(), "r".to_owned())],
        services: vec![explain::explain(at(100), &vm, &call, queue)],
    };
    let expected = "\
route: r
service s: 0 calls wait
  idle in d: 100 ms expected, 1.0 of 4 slots taken, slowness 1.0, report 0 ms old
  full in d: 125 ms expected, 4.0 of 4 slots taken, slowness 1.0, report 0 ms old; excluded: full
  away in e: 100 ms expected, 0.2 of 4 slots taken, slowness 1.0, no report; excluded: its failure domain is evacuated
  cold in d: 200 ms expected, 0.2 of 4 slots taken, slowness 2.0, no report, cold; excluded: cold, announces itself to another VM
  the call is sent to idle
";
    assert_eq!(explained.to_string(), expected);
    let text = serde_json::to_string(&explained).unwrap();
    let decoded: explain::Explanation = serde_json::from_str(&text).unwrap();
    assert_eq!(decoded, explained);
}
