//! Reports of departures that a VM has learned from responses.

use std::time;

use rand::{SeedableRng, rngs};
use wagtailshunt_core::{fleet, time as core_time, types};

const SECOND: time::Duration = time::Duration::from_secs(1);

fn departed(i: usize) -> fleet::TargetIncarnation {
    fleet::TargetIncarnation {
        target: types::TargetId::from(format!("i-{i}").as_str()),
        born: core_time::UnixMillis(1),
    }
}

fn rng(seed: u64) -> rngs::SmallRng {
    rngs::SmallRng::seed_from_u64(seed)
}

/// Guards against a departure that is reported only once, and lost with the leader of that time; and
/// against one that is reported for ever.
#[test]
fn departure_is_reported_until_it_is_known() {
    let mut reports = fleet::UnreportedDepartures::default();
    let start = core_time::Instant(0);
    reports.add(start, departed(0), &mut rng(1));
    reports.add(start, departed(1), &mut rng(2));
    let mut counts = [0, 0];
    for tick in 0..600 {
        let now = start + SECOND / 10 * tick;
        for due in reports.take_due(now) {
            counts[usize::from(due == departed(1))] += 1;
            if due == departed(1) {
                reports.remove(&due);
            }
        }
    }
    assert!((25..=31).contains(&counts[0]), "{counts:?}");
    assert_eq!(counts[1], 1);
    assert!(reports.is_empty());
}

/// Guards against a report that goes out although the announcement of the target is on its way, and
/// against one that is late. When all targets of a service leave at once and their announcements are
/// lost, the VMs must not all report them at the same time.
#[test]
fn reports_of_all_vms_are_spread() {
    const VMS: usize = 150;
    const TARGETS: usize = 160;
    let start = core_time::Instant(0);
    let mut vms: Vec<fleet::UnreportedDepartures> = Vec::new();
    for vm in 0..VMS {
        let mut reports = fleet::UnreportedDepartures::default();
        let mut rng = rng(vm as u64);
        (0..TARGETS).for_each(|i| reports.add(start, departed(i), &mut rng));
        vms.push(reports);
    }
    let mut sent = 0;
    for tick in 0..20 {
        let now = start + SECOND / 10 * tick;
        let due: Vec<fleet::TargetIncarnation> =
            vms.iter_mut().flat_map(|vm| vm.take_due(now)).collect();
        assert!(tick >= 3 || due.is_empty(), "reported after {tick} ticks");
        sent += due.len();
        // What is reported is known to all VMs before the next tick.
        for departed in &due {
            vms.iter_mut().for_each(|vm| vm.remove(departed));
        }
    }
    assert!(vms.iter().all(fleet::UnreportedDepartures::is_empty));
    assert!(sent < TARGETS * VMS / 8, "{sent} reports");
}
