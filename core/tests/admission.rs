//! Admission control: deadlines, bounds, priorities and fair sharing.

use std::collections::BTreeMap;
use std::time::Duration;

use quickcheck::quickcheck;
use wagtailshunt_core::admission::{
    Admission, Call, CallId, Config, Decision, Output, Priority, Reason, ServiceConfig,
};
use wagtailshunt_core::deadline::Deadline;
use wagtailshunt_core::time::Instant;
use wagtailshunt_core::types::ServiceName;

const MS: u64 = 1_000;

struct Fixture {
    admission: Admission,
    last_id: u64,
}

impl Fixture {
    fn new(max_in_flight: u32, services: &[(&str, ServiceConfig)]) -> Self {
        let mut admission = Admission::new(Config {
            max_in_flight,
            ..Config::default()
        });
        for (name, cfg) in services {
            admission.set_service(Instant(0), &ServiceName::from(*name), *cfg);
        }
        Fixture {
            admission,
            last_id: 0,
        }
    }

    fn offer(
        &mut self,
        now: u64,
        service: &str,
        caller: &str,
        priority: u8,
        timeout_us: u64,
    ) -> Decision {
        self.last_id += 1;
        let call = Call {
            service: &ServiceName::from(service),
            priority: Priority(priority),
            caller,
            deadline: Deadline(Instant(now + timeout_us)),
        };
        self.admission
            .offer(Instant(now), CallId(self.last_id), &call)
    }

    fn outputs(&mut self) -> Vec<Output> {
        std::iter::from_fn(|| self.admission.poll_output()).collect()
    }
}

fn service(max_in_flight: u32, queue_limit: u32) -> ServiceConfig {
    ServiceConfig {
        max_in_flight,
        queue_limit,
        ..ServiceConfig::default()
    }
}

/// Guards against calls that are queued although they cannot meet their deadline.
#[test]
fn call_that_cannot_meet_its_deadline_is_refused() {
    let mut fixture = Fixture::new(100, &[("s", service(1, 10))]);
    assert_eq!(
        fixture.offer(0, "s", "a", 0, 4 * MS),
        Decision::Refuse(Reason::Deadline)
    );
    assert_eq!(fixture.offer(0, "s", "a", 0, 20 * MS), Decision::Run);
    assert_eq!(fixture.offer(0, "s", "a", 0, 20 * MS), Decision::Queued);
    // Two calls of 5 ms each are ahead, so this call cannot be answered within 12 ms.
    assert_eq!(
        fixture.offer(0, "s", "a", 0, 12 * MS),
        Decision::Refuse(Reason::Deadline)
    );
    assert_eq!(fixture.admission.next_deadline(), Some(Instant(15 * MS)));
    fixture.admission.tick(Instant(15 * MS + 1));
    assert_eq!(
        fixture.outputs(),
        [Output::Refuse(CallId(3), Reason::Deadline)]
    );
}

/// Guards against calls that are shed before others of lower priority, and against an unbounded
/// queue.
#[test]
fn lowest_priority_is_shed_first() {
    let mut fixture = Fixture::new(100, &[("s", service(1, 2))]);
    fixture.offer(0, "s", "a", 5, 900 * MS);
    assert_eq!(fixture.offer(0, "s", "a", 1, 900 * MS), Decision::Queued);
    assert_eq!(fixture.offer(0, "s", "a", 3, 900 * MS), Decision::Queued);
    assert_eq!(
        fixture.offer(0, "s", "a", 1, 900 * MS),
        Decision::Refuse(Reason::QueueFull)
    );
    assert_eq!(fixture.offer(0, "s", "a", 5, 900 * MS), Decision::Queued);
    assert_eq!(
        fixture.outputs(),
        [Output::Refuse(CallId(2), Reason::Displaced)]
    );
    fixture.admission.finished(Instant(MS), CallId(1), true);
    assert_eq!(fixture.outputs(), [Output::Run(CallId(5))]);
}

/// Guards against one caller that takes the whole queue of a service.
#[test]
fn callers_share_the_queue_evenly() {
    let mut fixture = Fixture::new(100, &[("s", service(1, 10))]);
    for _ in 0..11 {
        fixture.offer(0, "s", "greedy", 0, 900 * MS);
    }
    for _ in 0..5 {
        assert_eq!(
            fixture.offer(0, "s", "modest", 0, 900 * MS),
            Decision::Queued
        );
    }
    assert_eq!(
        fixture.offer(0, "s", "greedy", 0, 900 * MS),
        Decision::Refuse(Reason::QueueFull)
    );
    fixture.outputs();
    let mut order = Vec::new();
    let mut running = CallId(1);
    for at in 1..=4 {
        fixture.admission.finished(Instant(at * MS), running, true);
        for output in fixture.outputs() {
            let Output::Run(id) = output else {
                panic!("a queued call was refused before its deadline")
            };
            running = id;
            order.push(if id.0 > 11 { "modest" } else { "greedy" });
        }
    }
    assert_eq!(order, ["greedy", "modest", "greedy", "modest"]);
}

/// Guards against a service that takes more than its weighted share of the gateway's capacity.
#[test]
fn services_share_by_weight() {
    let heavy = ServiceConfig {
        weight: 3,
        ..service(100, 500)
    };
    let light = ServiceConfig {
        weight: 1,
        ..service(100, 500)
    };
    let mut fixture = Fixture::new(4, &[("heavy", heavy), ("light", light)]);
    let mut names = BTreeMap::new();
    for _ in 0..200 {
        for name in ["heavy", "light"] {
            fixture.offer(0, name, "a", 0, 3_600_000 * MS);
            names.insert(CallId(fixture.last_id), name);
        }
    }
    let mut running: Vec<CallId> = (1..=4).map(CallId).collect();
    let mut served: BTreeMap<&str, u32> = BTreeMap::new();
    for at in 0..160 {
        fixture
            .admission
            .finished(Instant(at * MS), running.remove(0), true);
        for output in fixture.outputs() {
            let Output::Run(id) = output else {
                panic!("a queued call was refused before its deadline")
            };
            running.push(id);
            *served.entry(names[&id]).or_default() += 1;
        }
    }
    // Start-time fair queueing deviates by at most one call of each service.
    assert!((119..=121).contains(&served["heavy"]), "{served:?}");
}

/// Guards against a cancelled call that runs later, and against capacity that is lost with it.
#[test]
fn cancelled_call_does_not_run() {
    let mut fixture = Fixture::new(100, &[("s", service(1, 10))]);
    fixture.offer(0, "s", "a", 0, 900 * MS);
    fixture.offer(0, "s", "a", 0, 900 * MS);
    assert!(fixture.admission.cancel(CallId(2)));
    assert!(!fixture.admission.cancel(CallId(2)));
    fixture.admission.finished(Instant(MS), CallId(1), true);
    assert_eq!(fixture.outputs(), []);
    assert_eq!(fixture.offer(MS, "s", "a", 0, 900 * MS), Decision::Run);
}

quickcheck! {
    /// Guards against calls that are lost, decided twice, or run beyond the limits.
    fn every_call_ends_once(steps: Vec<(u8, u8, u16)>) -> bool {
        let mut fixture = Fixture::new(3, &[("s", service(2, 4)), ("t", service(2, 4))]);
        let mut running: Vec<CallId> = Vec::new();
        let (mut queued, mut ended, mut offered) = (Vec::new(), 0u64, 0u64);
        let mut now = 0;
        for (kind, value, wait_us) in steps {
            now += u64::from(wait_us);
            match kind % 4 {
                0 if !running.is_empty() => {
                    let id = running.remove(usize::from(value) % running.len());
                    fixture.admission.finished(Instant(now), id, value % 2 == 0);
                    ended += 1;
                }
                1 => fixture.admission.tick(Instant(now)),
                _ => {
                    let name = if value % 2 == 0 { "s" } else { "t" };
                    let caller = ["a", "b", "c"][usize::from(value) % 3];
                    offered += 1;
                    match fixture.offer(now, name, caller, value % 5, u64::from(value) * MS) {
                        Decision::Run => running.push(CallId(fixture.last_id)),
                        Decision::Queued => queued.push(CallId(fixture.last_id)),
                        Decision::Refuse(_) => ended += 1,
                    }
                }
            }
            for output in fixture.outputs() {
                let (Output::Run(id) | Output::Refuse(id, _)) = output;
                let Some(at) = queued.iter().position(|queued| *queued == id) else { return false };
                queued.remove(at);
                match output {
                    Output::Run(_) => running.push(id),
                    Output::Refuse(..) => ended += 1,
                }
            }
            if running.len() > 3 || queued.len() > 8 {
                return false;
            }
        }
        offered == ended + running.len() as u64 + queued.len() as u64
            && fixture.admission.next_deadline().is_some() != queued.is_empty()
    }
}

/// Guards against an overflow of the expected wait with a deadline far in the future.
#[test]
fn farthest_deadline_does_not_overflow() {
    let mut fixture = Fixture::new(1, &[("s", service(1, 1))]);
    fixture.offer(0, "s", "a", 0, MS * 1_000);
    assert_eq!(fixture.offer(0, "s", "a", 0, u64::MAX), Decision::Queued);
    assert!(Deadline(Instant(u64::MAX)).allows(Instant(5), Duration::from_secs(1)));
}
