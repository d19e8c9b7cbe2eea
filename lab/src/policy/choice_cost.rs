//! Measures the time that the balancer takes to select a target.
//!
//! Unlike the model it runs in real time, so the result depends on the machine.

use std::{fmt, hint, time};

use serde::Serialize;
use wagtailshunt_core::balance::{
    Availability, Balancer, CallResult, Config, LoadReport, Outcome, PickConstraints, TargetInfo,
};
use wagtailshunt_core::time::Instant;
use wagtailshunt_core::types::{FailureDomain, Incarnation, TargetId};

/// Measured sizes: number of services, and total number of targets.
const SIZES: [(usize, usize); 3] = [(1, 10), (3, 30), (160, 1_200)];
/// Number of selections per measurement.
const CHOICES: u32 = 200_000;

/// Cost of selecting a target, including the updates at the start and end of the call.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ChoiceCost {
    /// Name of the configuration.
    pub name: &'static str,
    /// Number of services.
    pub services: usize,
    /// Total number of targets over all services.
    pub targets: usize,
    /// Nanoseconds of wall-clock time per selection.
    pub ns: f64,
}

impl fmt::Display for ChoiceCost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ChoiceCost {
            name,
            services,
            targets,
            ns,
        } = self;
        write!(
            f,
            "{name:<14} {services:>4} services {targets:>5} targets {ns:>7.0} ns"
        )
    }
}

/// Measures the cost of a selection for each profile and size. The result depends on the machine.
pub fn choice_cost() -> Vec<ChoiceCost> {
    let configs = [
        ("two_choices", Config::default()),
        ("association", Config::association()),
        ("krittlinje", Config::krittlinje()),
    ];
    let mut costs = Vec::new();
    for (services, targets) in SIZES {
        for (name, cfg) in configs {
            let ns = measure(cfg, services, targets);
            costs.push(ChoiceCost {
                name,
                services,
                targets,
                ns,
            });
        }
    }
    costs
}

fn measure(cfg: Config, services: usize, targets: usize) -> f64 {
    let mut balancers: Vec<Balancer> = (0..services)
        .map(|service| balancer_with_targets(cfg, service as u64, targets / services))
        .collect();
    let report = LoadReport {
        in_flight: 1,
        ..LoadReport::default()
    };
    let finish = CallResult {
        latency: time::Duration::from_millis(4),
        outcome: Outcome::Ok,
        report: Some(report),
    };
    let pick = PickConstraints {
        probe_allowed: true,
        ..PickConstraints::default()
    };
    let begin = time::Instant::now();
    for call in 0..CHOICES {
        let balancer = &mut balancers[call as usize % services];
        let now = Instant(u64::from(call) * 8);
        if let Some(key) = hint::black_box(balancer.pick(now, &pick)) {
            balancer.started(now, key);
            balancer.finished(now + finish.latency, key, &finish);
        }
        while balancer.poll_output().is_some() {}
    }
    begin.elapsed().as_nanos() as f64 / f64::from(CHOICES)
}

fn balancer_with_targets(cfg: Config, seed: u64, targets: usize) -> Balancer {
    let mut balancer = Balancer::new(cfg, seed);
    for number in 0..targets {
        let info = TargetInfo {
            id: &TargetId(format!("t{number}")),
            incarnation: Incarnation(1),
            failure_domain: &FailureDomain(format!("fd{}", number % 3)),
            slots: 3,
            availability: Availability::Serving,
        };
        balancer.upsert(Instant(0), &info);
    }
    balancer
}
