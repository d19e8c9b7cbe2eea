//! Tests of the control traffic measurement, with bounds on the traffic.

use wagtailshunt_lab::control_bench;

/// Guards against renewals, grants or idle traffic above the budget of 5 KB/s, and against results
/// that depend on anything but size and seed.
#[test]
fn idle_traffic_stays_small() {
    let size = control_bench::SIZES[0];
    let traffic = control_bench::traffic(size, 1);
    assert!(traffic.renewal < 40 && traffic.grant < 40, "{traffic}");
    assert!(
        traffic.leader_restarts < 2500.0 && traffic.gateway_restarts < 250.0,
        "{traffic}"
    );
    assert_eq!(control_bench::traffic(size, 1), traffic);
}
