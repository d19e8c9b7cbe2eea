//! Explains where a call would go now and why, for operators. Serves no load: it reads what the parts
//! that decide know, and changes nothing.

use std::{fmt, time};

use serde::{Deserialize, Serialize};

use crate::{
    placement::{Choice, Demand, Exclusion, Obstacle, Placement, Search, Step},
    time as core_time, types,
};

/// What a VM would do with a call.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Checks in their order, each with its result.
    pub checks: Vec<(String, String)>,
    /// Each service that the call may be assigned to; none if a check refuses it.
    pub services: Vec<Service>,
}

/// What a VM would do with a call that is assigned to a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: types::ServiceName,
    /// Calls that wait for a target.
    pub waiting: usize,
    /// Targets in the order in which they are considered; those that are no candidates come last.
    pub candidates: Vec<Candidate>,
    /// What the call would do first.
    pub next: String,
}

/// A target of the service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// The target.
    pub target: types::TargetId,
    /// Its failure domain.
    pub failure_domain: String,
    /// Its estimated state.
    pub estimate: Option<Estimate>,
    /// Why the call would not be sent to it by the estimate.
    pub excluded: Option<String>,
}

/// Estimated state of a target.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    /// Expected time until the response.
    pub expected_ms: u64,
    /// Number of calls that run or wait there.
    pub occupancy: f64,
    /// Number of calls that it runs at the same time.
    pub slots: u32,
    /// Factor on the service time.
    pub slowness: f64,
    /// Age of the load report; `None` without a report.
    pub report_age_ms: Option<u64>,
    /// Whether it is cold.
    pub cold: bool,
}

/// State of the queue and the budget of a service.
#[derive(Clone, Copy, Debug)]
pub struct Queue {
    /// Calls that wait for a target.
    pub waiting: usize,
    /// Whether the budget allows probes.
    pub may_probe: bool,
    /// Whether the first candidate is taken without a probe, because no target has reported its load.
    pub takes_unreported: bool,
}

/// A call that is assigned to a service.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// What decides its target.
    pub demand: Demand<'a>,
    /// The search that it would start.
    pub search: &'a Search,
    /// Its deadline.
    pub deadline: core_time::Instant,
    /// Whether it is preferred for cold targets that are due for a call.
    pub feeds_cold: bool,
}

/// Explains what a call would do that is assigned to a service and arrives now.
pub fn explain(
    now: core_time::Instant,
    placement: &Placement,
    call: &Call<'_>,
    queue: Queue,
) -> Service {
    let demand = &call.demand;
    let (choices, excluded) = placement.survey(now, demand);
    let domain = |target: &types::TargetId| {
        let domain = placement.failure_domain(target);
        domain.map_or_else(String::new, ToString::to_string)
    };
    let mut candidates: Vec<Candidate> = choices
        .iter()
        .map(|choice| Candidate {
            target: choice.target.clone(),
            failure_domain: domain(&choice.target),
            estimate: estimate_of(now, placement, &choice.target, demand.work),
            excluded: call
                .search
                .obstacle(now, placement, demand, choice)
                .map(|obstacle| obstacle_text(obstacle).to_owned()),
        })
        .collect();
    candidates.extend(excluded.into_iter().map(|(target, exclusion)| Candidate {
        failure_domain: domain(&target),
        estimate: estimate_of(now, placement, &target, demand.work),
        excluded: Some(exclusion_text(now, placement, &target, exclusion).to_owned()),
        target,
    }));
    Service {
        name: demand.service.clone(),
        waiting: queue.waiting,
        candidates,
        next: next_text(now, placement, call, queue, choices),
    }
}

fn estimate_of(
    now: core_time::Instant,
    placement: &Placement,
    target: &types::TargetId,
    work: time::Duration,
) -> Option<Estimate> {
    let estimate = placement.estimate(now, target)?;
    Some(Estimate {
        expected_ms: whole_ms(estimate.expected_latency(work)),
        occupancy: estimate.occupancy,
        slots: estimate.slots,
        slowness: estimate.slowness,
        report_age_ms: estimate.age.map(whole_ms),
        cold: placement.cold.is_cold(now, target),
    })
}

fn whole_ms(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn obstacle_text(obstacle: Obstacle) -> &'static str {
    match obstacle {
        Obstacle::Ejected => "ejected after failures",
        Obstacle::Full => "full",
        Obstacle::Shared => "its free slots are left to other VMs",
        Obstacle::Slow => "would answer after the deadline",
        Obstacle::Unknown => "no recent load report",
    }
}

fn exclusion_text(
    now: core_time::Instant,
    placement: &Placement,
    target: &types::TargetId,
    exclusion: Exclusion,
) -> &'static str {
    match exclusion {
        Exclusion::Tried => "the call was sent to it",
        Exclusion::Evacuated => "its failure domain is evacuated",
        Exclusion::Cold if placement.cold.is_holder(now, target) => "cold, no token left",
        Exclusion::Cold => "cold, announces itself to another VM",
    }
}

fn next_text(
    now: core_time::Instant,
    placement: &Placement,
    call: &Call<'_>,
    queue: Queue,
    choices: Vec<Choice>,
) -> String {
    let demand = &call.demand;
    if let Some(choice) = placement.starved_choice(now, demand, call.deadline, call.feeds_cold) {
        return format!(
            "is sent to {}, which is cold and due for a call",
            choice.target
        );
    }
    if queue.takes_unreported
        && let Some(choice) = placement.first_unreported(now, choices.clone(), call.deadline)
    {
        let target = choice.target;
        return format!("is sent to {target} without a probe: no target has reported its load");
    }
    let is_next = queue.waiting == 0;
    let step = call
        .search
        .decide(now, placement, choices, demand, is_next, queue.may_probe);
    match step {
        Step::Send(choice) => format!("is sent to {}", choice.target),
        Step::Probe(targets) => {
            let targets: Vec<String> = targets.iter().map(ToString::to_string).collect();
            let targets = targets.join(", ");
            format!("probes {targets} and goes to one that reports a free slot")
        }
        Step::Wait { .. } if !is_next => {
            format!("waits in the queue with {} other calls", queue.waiting)
        }
        Step::Wait { .. } => "waits for a free slot".to_owned(),
        Step::Overloaded => "is refused with 503 (overloaded)".to_owned(),
        Step::NoTarget if placement.cold.has_cold(now, demand.service) => {
            "asks another VM for a token of a cold target; without one, is refused with 503 \
             (overloaded)"
                .to_owned()
        }
        Step::NoTarget => "is refused with 503 (no-target)".to_owned(),
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (check, result) in &self.checks {
            writeln!(f, "{check}: {result}")?;
        }
        for service in &self.services {
            write!(f, "{service}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Service {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "service {}: {} calls wait", self.name, self.waiting)?;
        for candidate in &self.candidates {
            writeln!(f, "  {candidate}")?;
        }
        writeln!(f, "  the call {}", self.next)
    }
}

impl fmt::Display for Candidate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} in {}", self.target, self.failure_domain)?;
        if let Some(estimate) = &self.estimate {
            write!(f, ": {estimate}")?;
        }
        match &self.excluded {
            Some(reason) => write!(f, "; excluded: {reason}"),
            None => Ok(()),
        }
    }
}

impl fmt::Display for Estimate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} ms expected, {:.1} of {} slots taken, slowness {:.1}, ",
            self.expected_ms, self.occupancy, self.slots, self.slowness
        )?;
        match self.report_age_ms {
            Some(age) => write!(f, "report {age} ms old")?,
            None => write!(f, "no report")?,
        }
        match self.cold {
            true => write!(f, ", cold"),
            false => Ok(()),
        }
    }
}
