//! What a balancer knows about one target.

use std::time;

use super::{
    Availability, CallResult, Config, Limiter, LoadReport, Outcome, Piggyback, TargetInfo,
};
use crate::time::{Instant, micros};
use crate::types::{FailureDomain, Incarnation, TargetId};

/// Weight of a new latency sample.
const LATENCY_WEIGHT: f64 = 0.1;
/// A sample counts at most this many times the service's mean latency. Service times have a heavy
/// tail, and one long call does not make a target slow.
const LATENCY_CLAMP: f64 = 8.0;
/// Cost added by one failed answer, in mean latencies.
const ERROR_COST: f64 = 4.0;
/// Cost added by one shed answer, in mean latencies.
const SHED_COST: f64 = 4.0;
/// Highest cost that failures add up to.
const MAX_PENALTY: f64 = 40.0;
/// Time in microseconds after which the cost of failures has halved.
const PENALTY_HALF_LIFE_US: f64 = 500_000.0;
/// Time in microseconds without samples after which a target's latency has come half-way back to
/// the mean.
const SLOWNESS_HALF_LIFE_US: f64 = 1_000_000.0;
/// Contradicted reports after which a target's reports are disregarded.
const DISTRUST_AFTER: u32 = 3;
/// Time in microseconds for which they are disregarded.
const DISTRUST_US: u64 = 10_000_000;
/// A call started less than this many microseconds ago may not have reached the target yet.
const TRANSIT_US: u64 = 5_000;
/// Smallest share of calls given to a target at the start of its ramp.
const RAMP_START: f64 = 0.05;

/// Averages over all targets of a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceMeans {
    /// Mean latency in microseconds.
    pub latency_us: f64,
    /// Mean number of calls that other gateways have on a target.
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

#[derive(Clone, Copy, Debug)]
struct Seen {
    report: LoadReport,
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
    /// This gateway's calls in flight.
    pub own: u32,
    /// Slots leased to this gateway; used by slot leases only.
    pub held: u32,
    pub ejected_until: Option<Instant>,
    pub limiter: Limiter,
    seen: Option<Seen>,
    latency_us: Option<f64>,
    latency_at: Instant,
    penalty: f64,
    penalty_at: Instant,
    consecutive: u32,
    ejections: u32,
    contradictions: u32,
    distrusted_until: Instant,
    ramp_from: Option<Instant>,
    last_start: Instant,
}

impl Target {
    pub fn new(now: Instant, cfg: &Config, info: &TargetInfo<'_>, is_cold: bool) -> Self {
        Target {
            id: info.id.clone(),
            incarnation: info.incarnation,
            failure_domain: info.failure_domain.clone(),
            slots: info.slots.max(1),
            availability: info.availability,
            own: 0,
            held: 0,
            ejected_until: None,
            limiter: Limiter::new(cfg.limiter, info.slots),
            seen: None,
            latency_us: None,
            latency_at: now,
            penalty: 0.0,
            penalty_at: now,
            consecutive: 0,
            ejections: 0,
            contradictions: 0,
            distrusted_until: Instant(0),
            ramp_from: is_cold.then_some(now),
            last_start: Instant(0),
        }
    }

    /// Takes over what the directory says; a newer incarnation starts cold.
    pub fn update(&mut self, now: Instant, cfg: &Config, info: &TargetInfo<'_>) {
        if info.incarnation > self.incarnation {
            let own = self.own;
            *self = Target {
                own,
                ..Target::new(now, cfg, info, true)
            };
            return;
        }
        let ready = self.availability == Availability::Starting
            && info.availability == Availability::Serving;
        if ready {
            self.ramp_from = Some(now);
        }
        // Draining is final for an incarnation.
        if self.availability != Availability::Draining {
            self.availability = info.availability;
        }
        self.slots = info.slots.max(1);
        self.limiter.set_slots(info.slots);
    }

    pub fn started(&mut self, now: Instant) {
        self.own += 1;
        self.last_start = now;
    }

    /// Learns from the end of a call; returns whether the target is to be ejected.
    pub fn finished(
        &mut self,
        now: Instant,
        cfg: &Config,
        finish: &CallResult,
        means: &mut ServiceMeans,
    ) -> bool {
        self.own = self.own.saturating_sub(1);
        self.limiter.observe(now, finish);
        if let Some(report) = &finish.report {
            self.reported(now, cfg, report, means);
        }
        match finish.outcome {
            Outcome::Ok => {
                self.consecutive = 0;
                self.learn_latency(now, finish.latency, means);
            }
            // A cancelled call took at least this long; shorter ones say nothing.
            Outcome::Cancelled => self.learn_at_least(now, finish.latency, means),
            Outcome::Shed if !self.has_room(finish) => self.punish(now, cfg, SHED_COST),
            // A target that sheds with slots to spare is leaving or broken.
            Outcome::Shed | Outcome::Error | Outcome::Timeout => {
                self.punish(now, cfg, ERROR_COST);
                self.learn_at_least(now, finish.latency, means);
                self.consecutive += 1;
                let limit = cfg.ejection.consecutive;
                return limit > 0 && self.consecutive >= limit && !self.is_ejected(now);
            }
        }
        false
    }

    /// Takes over a report from an answer or a probe.
    pub fn reported(
        &mut self,
        now: Instant,
        cfg: &Config,
        report: &LoadReport,
        means: &mut ServiceMeans,
    ) {
        let occupancy = report.occupancy();
        let settled = now.since(self.last_start) > time::Duration::from_micros(TRANSIT_US);
        if cfg.distrust && settled && occupancy < self.own {
            self.contradictions += 1;
            if self.contradictions >= DISTRUST_AFTER {
                self.distrusted_until = now + time::Duration::from_micros(DISTRUST_US);
                self.contradictions = 0;
            }
        }
        if now < self.distrusted_until {
            self.seen = None;
            return;
        }
        let others = f64::from(occupancy.saturating_sub(self.own));
        ServiceMeans::learn(&mut means.others, others, 0.02);
        self.seen = Some(Seen {
            report: *report,
            others,
            at: now,
        });
    }

    /// Ejects the target for a time that doubles with each ejection.
    pub fn eject(&mut self, now: Instant, cfg: &Config) {
        let factor = 1u64 << self.ejections.min(10);
        let ms = cfg
            .ejection
            .base_ms
            .saturating_mul(factor)
            .min(cfg.ejection.max_ms);
        self.ejections += 1;
        self.consecutive = 0;
        self.ejected_until = Some(now + time::Duration::from_millis(ms));
    }

    /// Puts an ejected target back, cold.
    pub fn restore(&mut self, now: Instant) {
        self.ejected_until = None;
        self.ramp_from = Some(now);
        self.penalty = 0.0;
        self.latency_us = None;
    }

    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns the share of calls the target gets while it warms up, from [`RAMP_START`] to 1.
    pub fn ramp(&self, now: Instant, cfg: &Config) -> f64 {
        let Some(from) = self.ramp_from else {
            return 1.0;
        };
        let ramp_us = cfg.ramp_ms.saturating_mul(1000);
        let age = micros(now.since(from));
        if age >= ramp_us {
            return 1.0;
        }
        (age as f64 / ramp_us as f64).max(RAMP_START)
    }

    /// Returns the time of the last report; the origin when there is none.
    pub fn report_time(&self) -> Instant {
        self.seen.map_or(Instant(0), |seen| seen.at)
    }

    /// Returns the last reported occupancy, whatever its age.
    pub fn reported_occupancy(&self) -> u32 {
        self.seen.map_or(0, |seen| seen.report.occupancy())
    }

    /// Returns the cost of recent failures, in mean latencies.
    pub fn penalty(&self, now: Instant) -> f64 {
        if self.penalty == 0.0 {
            return 0.0;
        }
        let age = micros(now.since(self.penalty_at)) as f64;
        self.penalty / (1.0 + age / PENALTY_HALF_LIFE_US)
    }

    /// Returns the expected time of a call in mean latencies, from own calls in flight and decayed
    /// reports.
    pub fn expected_cost(
        &self,
        now: Instant,
        params: &Piggyback,
        means: &ServiceMeans,
        is_local: bool,
    ) -> f64 {
        let others = match self.seen {
            Some(seen) => {
                let age = micros(now.since(seen.at)) as f64;
                let weight = 1.0 / (1.0 + age / params.half_life_us.max(1) as f64);
                means.others + (seen.others - means.others) * weight
            }
            None => means.others,
        };
        let occupancy = f64::from(self.own) + others + 1.0;
        let used = occupancy / f64::from(self.slots);
        let slowness = self.slowness(now, means);
        let remote = if is_local {
            0.0
        } else {
            params.cross_domain_us as f64 / means.latency_us
        };
        slowness * (1.0 + params.crowding * used * used) + remote + self.penalty(now)
    }

    /// Returns this target's latency relative to the mean of the service. It fades to 1 while there
    /// are no samples, or a target that was slow once would never be tried again.
    fn slowness(&self, now: Instant, means: &ServiceMeans) -> f64 {
        let Some(us) = self.latency_us else {
            return 1.0;
        };
        let age = micros(now.since(self.latency_at)) as f64;
        let weight = 1.0 / (1.0 + age / SLOWNESS_HALF_LIFE_US);
        1.0 + (us / means.latency_us.max(1.0) - 1.0) * weight
    }

    fn has_room(&self, finish: &CallResult) -> bool {
        finish
            .report
            .is_some_and(|report| report.queue == 0 && report.in_flight < self.slots)
    }

    fn punish(&mut self, now: Instant, cfg: &Config, cost: f64) {
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

    fn learn_at_least(&mut self, now: Instant, latency: time::Duration, means: &ServiceMeans) {
        let us = (micros(latency) as f64).min(means.latency_us * LATENCY_CLAMP);
        let mean = self.latency_us.get_or_insert(means.latency_us);
        if us > *mean {
            self.latency_at = now;
            *mean += (us - *mean) * LATENCY_WEIGHT;
        }
    }
}
