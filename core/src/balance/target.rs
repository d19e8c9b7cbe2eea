//! State of one target in a balancer, learned from the results of this gateway's calls and from
//! load reports. Gives the cost by which targets are compared.

use std::time;

use super::{
    Availability, CallResult, Config, Limiter, LoadReport, Outcome, Piggyback, TargetInfo,
};
use crate::time::{Instant, micros};
use crate::types::{FailureDomain, Incarnation, TargetId};

/// Weight of a new sample in a target's mean latency.
const LATENCY_WEIGHT: f64 = 0.1;
/// Cap on a latency sample, as a multiple of the service's mean latency. Service times have a heavy
/// tail, and a single long call does not mean that the target is slow.
const LATENCY_CLAMP: f64 = 8.0;
/// Cost that one failed call adds, in mean latencies.
const ERROR_COST: f64 = 4.0;
/// Cost that one shed call adds, in mean latencies.
const SHED_COST: f64 = 4.0;
/// Maximum cost of failed and shed calls together, in mean latencies.
const MAX_PENALTY: f64 = 40.0;
/// Time in microseconds after which the cost of failed and shed calls has halved.
const PENALTY_HALF_LIFE_US: f64 = 500_000.0;
/// Time in microseconds without samples after which the deviation of a target's latency from the
/// mean has halved.
const SLOWNESS_HALF_LIFE_US: f64 = 1_000_000.0;
/// Number of contradicted reports after which a target's reports are ignored for [`DISTRUST_US`].
const MAX_CONTRADICTIONS: u32 = 3;
/// Time in microseconds for which the reports of a target are ignored.
const DISTRUST_US: u64 = 10_000_000;
/// Time in microseconds after the start of a call in which it may not have reached the target yet.
const MAX_TRANSIT_US: u64 = 5_000;
/// Share of calls that a target gets at the start of its ramp.
const RAMP_START: f64 = 0.05;

/// Averages over all targets of a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceMeans {
    /// Mean latency in microseconds.
    pub latency_us: f64,
    /// Mean number of calls of other gateways on a target.
    pub others: f64,
}

impl Default for ServiceMeans {
    fn default() -> Self {
        ServiceMeans {
            latency_us: 5_000.0,
            others: 0.0,
        }
    }
}

impl ServiceMeans {
    fn learn(mean: &mut f64, sample: f64, weight: f64) {
        *mean += (sample - *mean) * weight;
    }
}

/// The last load report of a target.
#[derive(Clone, Copy, Debug)]
struct TimedReport {
    report: LoadReport,
    /// Calls of other gateways: the reported ones without this gateway's own.
    others: f64,
    at: Instant,
}

/// State of one target.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub id: TargetId,
    pub incarnation: Incarnation,
    pub failure_domain: FailureDomain,
    pub slots: u32,
    pub availability: Availability,
    /// This gateway's calls in flight on the target.
    pub own_calls: u32,
    /// Slots that are leased to this gateway; used by slot leases only.
    pub leased: u32,
    pub ejected_until: Option<Instant>,
    pub limiter: Limiter,
    last_report: Option<TimedReport>,
    /// Mean latency in microseconds; `None` without samples.
    latency_us: Option<f64>,
    latency_at: Instant,
    /// Cost of failed and shed calls at `penalty_at`, in mean latencies.
    penalty: f64,
    penalty_at: Instant,
    consecutive_failures: u32,
    ejections: u32,
    contradictions: u32,
    distrusted_until: Instant,
    ramp_started: Option<Instant>,
    last_call_started: Instant,
}

impl Target {
    pub fn new(now: Instant, cfg: &Config, info: &TargetInfo<'_>, is_cold: bool) -> Self {
        Target {
            id: info.id.clone(),
            incarnation: info.incarnation,
            failure_domain: info.failure_domain.clone(),
            slots: info.slots.max(1),
            availability: info.availability,
            own_calls: 0,
            leased: 0,
            ejected_until: None,
            limiter: Limiter::new(cfg.limiter, info.slots),
            last_report: None,
            latency_us: None,
            latency_at: now,
            penalty: 0.0,
            penalty_at: now,
            consecutive_failures: 0,
            ejections: 0,
            contradictions: 0,
            distrusted_until: Instant(0),
            ramp_started: is_cold.then_some(now),
            last_call_started: Instant(0),
        }
    }

    /// Updates the target from its directory entry; a newer incarnation starts cold.
    pub fn update(&mut self, now: Instant, cfg: &Config, info: &TargetInfo<'_>) {
        if info.incarnation > self.incarnation {
            let own_calls = self.own_calls;
            *self = Target {
                own_calls,
                ..Target::new(now, cfg, info, true)
            };
            return;
        }
        let ready = self.availability == Availability::Starting
            && info.availability == Availability::Serving;
        if ready {
            self.ramp_started = Some(now);
        }
        // An incarnation that drains never serves again.
        if self.availability != Availability::Draining {
            self.availability = info.availability;
        }
        self.slots = info.slots.max(1);
        self.limiter.set_slots(info.slots);
    }

    pub fn started(&mut self, now: Instant) {
        self.own_calls += 1;
        self.last_call_started = now;
    }

    /// Records the result of a call; returns whether the target is to be ejected.
    pub fn finished(
        &mut self,
        now: Instant,
        cfg: &Config,
        result: &CallResult,
        means: &mut ServiceMeans,
    ) -> bool {
        self.own_calls = self.own_calls.saturating_sub(1);
        self.limiter.observe(now, result);
        if let Some(report) = &result.report {
            self.reported(now, cfg, report, means);
        }
        match result.outcome {
            Outcome::Ok => {
                self.consecutive_failures = 0;
                self.learn_latency(now, result.latency, means);
            }
            // The time until the cancellation is a lower bound of the latency; one below the mean
            // is ignored.
            Outcome::Cancelled => self.learn_lower_bound(now, result.latency, means),
            Outcome::Shed if !self.has_capacity(result) => self.penalize(now, cfg, SHED_COST),
            // A target that sheds a call although it has free slots is about to stop or is faulty.
            Outcome::Shed | Outcome::Error | Outcome::Timeout => {
                self.penalize(now, cfg, ERROR_COST);
                self.learn_lower_bound(now, result.latency, means);
                self.consecutive_failures += 1;
                let limit = cfg.ejection.consecutive;
                return limit > 0 && self.consecutive_failures >= limit && !self.is_ejected(now);
            }
        }
        false
    }

    /// Records a load report from a response to a call or to a probe.
    pub fn reported(
        &mut self,
        now: Instant,
        cfg: &Config,
        report: &LoadReport,
        means: &mut ServiceMeans,
    ) {
        let occupancy = report.occupancy();
        let calls_arrived =
            now.since(self.last_call_started) > time::Duration::from_micros(MAX_TRANSIT_US);
        if cfg.distrust && calls_arrived && occupancy < self.own_calls {
            self.contradictions += 1;
            if self.contradictions >= MAX_CONTRADICTIONS {
                self.distrusted_until = now + time::Duration::from_micros(DISTRUST_US);
                self.contradictions = 0;
            }
        }
        if now < self.distrusted_until {
            self.last_report = None;
            return;
        }
        let others = f64::from(occupancy.saturating_sub(self.own_calls));
        ServiceMeans::learn(&mut means.others, others, 0.02);
        self.last_report = Some(TimedReport {
            report: *report,
            others,
            at: now,
        });
    }

    /// Ejects the target. The duration doubles with each ejection.
    pub fn eject(&mut self, now: Instant, cfg: &Config) {
        let factor = 1u64 << self.ejections.min(10);
        let ms = cfg
            .ejection
            .base_ms
            .saturating_mul(factor)
            .min(cfg.ejection.max_ms);
        self.ejections += 1;
        self.consecutive_failures = 0;
        self.ejected_until = Some(now + time::Duration::from_millis(ms));
    }

    /// Ends the ejection; the target starts cold.
    pub fn restore(&mut self, now: Instant) {
        self.ejected_until = None;
        self.ramp_started = Some(now);
        self.penalty = 0.0;
        self.latency_us = None;
    }

    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns the share of calls that the target gets during its ramp, from [`RAMP_START`] to 1.
    pub fn ramp(&self, now: Instant, cfg: &Config) -> f64 {
        let Some(from) = self.ramp_started else {
            return 1.0;
        };
        let ramp_us = cfg.ramp_ms.saturating_mul(1000);
        let age = micros(now.since(from));
        if age >= ramp_us {
            return 1.0;
        }
        (age as f64 / ramp_us as f64).max(RAMP_START)
    }

    /// Returns the time of the last report; zero when there is none.
    pub fn report_time(&self) -> Instant {
        self.last_report
            .map_or(Instant(0), |last_report| last_report.at)
    }

    /// Returns the last reported occupancy, regardless of its age; 0 without a report.
    pub fn reported_occupancy(&self) -> u32 {
        self.last_report
            .map_or(0, |last_report| last_report.report.occupancy())
    }

    /// Returns the cost of recent failed and shed calls, in mean latencies.
    pub fn penalty(&self, now: Instant) -> f64 {
        if self.penalty == 0.0 {
            return 0.0;
        }
        let age = micros(now.since(self.penalty_at)) as f64;
        self.penalty / (1.0 + age / PENALTY_HALF_LIFE_US)
    }

    /// Returns the expected cost of a call in mean latencies: its expected latency from own calls
    /// in flight and decayed reports, the cost of another failure domain, and the penalty.
    pub fn expected_cost(
        &self,
        now: Instant,
        params: &Piggyback,
        means: &ServiceMeans,
        is_local: bool,
    ) -> f64 {
        let others = match self.last_report {
            Some(last_report) => {
                let age = micros(now.since(last_report.at)) as f64;
                let weight = 1.0 / (1.0 + age / params.half_life_us.max(1) as f64);
                means.others + (last_report.others - means.others) * weight
            }
            None => means.others,
        };
        let occupancy = f64::from(self.own_calls) + others + 1.0;
        let used = occupancy / f64::from(self.slots);
        let slowness = self.slowness(now, means);
        let cross_domain_cost = if is_local {
            0.0
        } else {
            params.cross_domain_us as f64 / means.latency_us
        };
        slowness * (1.0 + params.crowding * used * used) + cross_domain_cost + self.penalty(now)
    }

    /// Returns this target's latency relative to the mean of the service. It decays to 1 while
    /// there are no samples; otherwise a target that was slow once would never be selected again.
    fn slowness(&self, now: Instant, means: &ServiceMeans) -> f64 {
        let Some(us) = self.latency_us else {
            return 1.0;
        };
        let age = micros(now.since(self.latency_at)) as f64;
        let weight = 1.0 / (1.0 + age / SLOWNESS_HALF_LIFE_US);
        1.0 + (us / means.latency_us.max(1.0) - 1.0) * weight
    }

    fn has_capacity(&self, result: &CallResult) -> bool {
        result
            .report
            .is_some_and(|report| report.queue == 0 && report.in_flight < self.slots)
    }

    fn penalize(&mut self, now: Instant, cfg: &Config, cost: f64) {
        if !cfg.error_cost {
            return;
        }
        self.penalty = (self.penalty(now) + cost).min(MAX_PENALTY);
        self.penalty_at = now;
    }

    fn learn_latency(&mut self, now: Instant, latency: time::Duration, means: &mut ServiceMeans) {
        let us = micros(latency) as f64;
        let clamped = us.min(means.latency_us * LATENCY_CLAMP);
        self.latency_at = now;
        let mean = self.latency_us.get_or_insert(means.latency_us);
        *mean += (clamped - *mean) * LATENCY_WEIGHT;
        ServiceMeans::learn(&mut means.latency_us, clamped.max(1.0), 0.02);
    }

    fn learn_lower_bound(&mut self, now: Instant, latency: time::Duration, means: &ServiceMeans) {
        let us = (micros(latency) as f64).min(means.latency_us * LATENCY_CLAMP);
        let mean = self.latency_us.get_or_insert(means.latency_us);
        if us > *mean {
            self.latency_at = now;
            *mean += (us - *mean) * LATENCY_WEIGHT;
        }
    }
}
