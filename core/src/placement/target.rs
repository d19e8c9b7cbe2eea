//! What this VM knows about one target.

use std::time;

use super::{Config, Estimate, LoadReport, Outcome, Service};
use crate::{fleet, time as core_time, types};

#[derive(Clone, Copy, Debug)]
struct Observed {
    load: LoadReport,
    at: core_time::Instant,
    /// Own calls in flight when the report arrived.
    own: u32,
}

#[derive(Debug)]
pub(super) struct Target {
    pub service: types::ServiceName,
    pub born: core_time::UnixMillis,
    pub same_domain: bool,
    pub in_flight: u32,
    pub reports_load: bool,
    pub doubted_until: Option<core_time::Instant>,
    slots: u32,
    warm_at: core_time::Instant,
    observed: Option<Observed>,
    failures: u32,
    ejected_until: Option<core_time::Instant>,
}

impl Target {
    pub fn new(now: core_time::Instant, report: &fleet::Announcement, same_domain: bool) -> Target {
        Target {
            service: report.service.clone(),
            born: report.born,
            same_domain,
            in_flight: 0,
            reports_load: true,
            doubted_until: None,
            slots: report.slots,
            warm_at: now + report.warmup_left,
            observed: None,
            failures: 0,
            ejected_until: None,
        }
    }

    pub fn renew(&mut self, now: core_time::Instant, report: &fleet::Announcement) {
        self.slots = report.slots;
        self.warm_at = now + report.warmup_left;
    }

    /// Returns whether the report is newer than the one at hand.
    pub fn reported(&mut self, at: core_time::Instant, load: &LoadReport) -> bool {
        if self.observed.is_some_and(|observed| observed.at > at) {
            return false;
        }
        self.reports_load = true;
        self.doubted_until = None;
        let own = self.in_flight;
        let load = *load;
        self.observed = Some(Observed { load, at, own });
        true
    }

    pub fn last_slowness(&self) -> f64 {
        let percent = self.observed.and_then(|o| o.load.slowness_percent);
        percent.map_or(1.0, |percent| f64::from(percent) / 100.0)
    }

    pub fn finished(&mut self, now: core_time::Instant, outcome: Outcome, cfg: &Config) -> bool {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Answered | Outcome::Shed => {
                self.failures = 0;
                self.ejected_until = None;
                false
            }
            Outcome::Cancelled => false,
            Outcome::Failed => self.failed(now, cfg),
        }
    }

    fn failed(&mut self, now: core_time::Instant, cfg: &Config) -> bool {
        self.failures += 1;
        if self.failures < cfg.eject_after {
            return false;
        }
        let doublings = (self.failures - cfg.eject_after).min(8);
        let pause = cfg.eject_for * (1 << doublings);
        self.ejected_until = Some(now + pause.min(cfg.eject_max));
        true
    }

    pub fn ejected(&self, now: core_time::Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    pub fn estimate(&self, now: core_time::Instant, service: &Service, cfg: &Config) -> Estimate {
        let own = f64::from(self.in_flight);
        let mut estimate = Estimate {
            occupancy: own.max(service.occupancy),
            slots: self.slots,
            best_concurrency: service.contention.best_concurrency(self.slots),
            slowness: service.slowness,
            contention: 1.0,
            age: None,
        };
        if let Some(observed) = self.observed {
            let age = now.since(observed.at);
            let seen = f64::from(observed.load.running + observed.load.waiting);
            let others = (seen - f64::from(observed.own)).max(0.0);
            let usual = service.occupancy.min(others.max(1.0));
            estimate.occupancy = own + fade(others, usual, age, cfg.occupancy_fade);
            estimate.slowness = match observed.load.slowness_percent {
                Some(_) => fade(
                    self.last_slowness(),
                    service.slowness,
                    age,
                    cfg.slowness_fade,
                ),
                None => 1.0,
            };
            estimate.age = Some(age);
        }
        estimate.contention = service
            .contention
            .slowdown(estimate.running_with_one_more());
        self.handicap(now, cfg, &mut estimate);
        estimate
    }

    fn handicap(&self, now: core_time::Instant, cfg: &Config, estimate: &mut Estimate) {
        if now < self.warm_at {
            estimate.slowness *= cfg.warmup_slowness;
        }
        if self.doubted_until.is_some_and(|until| now < until) {
            estimate.slowness *= cfg.doubt_slowness;
        }
    }
}

/// Moves `value` towards `mean` as its age grows.
fn fade(value: f64, mean: f64, age: time::Duration, scale: time::Duration) -> f64 {
    let weight = (-age.as_secs_f64() / scale.as_secs_f64().max(0.001)).exp();
    mean + (value - mean) * weight
}
