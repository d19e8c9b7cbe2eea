//! State of one target as this VM knows it: the last load report, own calls in flight, and recent
//! failures. Gives the estimate that targets are compared by.

use std::{collections, time};

use super::{Config, Estimate, LoadReport, Outcome, ServiceMeans, estimate};
use crate::{fleet, time as core_time, types};

/// Longest time from the sending of a call to the arrival of a report that may have been made before
/// the call arrived: a round trip between failure domains, of up to 5.4 ms each way.
const REPORT_DELAY: time::Duration = time::Duration::from_millis(11);

/// The last load report of a target.
#[derive(Clone, Copy, Debug)]
struct TimedReport {
    load: LoadReport,
    at: core_time::Instant,
    /// This VM's calls in flight when the report arrived.
    own_in_flight: u32,
}

#[derive(Debug)]
pub(super) struct Target {
    pub service: types::ServiceName,
    pub born: core_time::UnixMillis,
    pub failure_domain: types::FailureDomain,
    pub same_domain: bool,
    /// This VM's calls in flight.
    pub in_flight: u32,
    pub reports_load: bool,
    /// End of the time for which the target counts as slower because it did not answer a probe.
    pub slow_until: Option<core_time::Instant>,
    slots: u32,
    warmup_ends_at: core_time::Instant,
    last_report: Option<TimedReport>,
    /// When the latest calls were sent.
    recent_calls: collections::VecDeque<core_time::Instant>,
    /// Whether this VM may take one of the slots that the last report has shown as free.
    takes_one_more: bool,
    /// Since when each report has shown fewer calls than this VM has at the target.
    unexplained_since: Option<core_time::Instant>,
    consecutive_failures: u32,
    ejected_until: Option<core_time::Instant>,
}

impl Target {
    pub fn new(
        now: core_time::Instant,
        announcement: &fleet::Announcement,
        same_domain: bool,
    ) -> Target {
        Target {
            service: announcement.service.clone(),
            born: announcement.born,
            failure_domain: announcement.failure_domain.clone(),
            same_domain,
            in_flight: 0,
            reports_load: true,
            slow_until: None,
            slots: estimate::bounded_slots(announcement.slots),
            warmup_ends_at: now + announcement.warmup_left,
            last_report: None,
            recent_calls: collections::VecDeque::new(),
            takes_one_more: true,
            unexplained_since: None,
            consecutive_failures: 0,
            ejected_until: None,
        }
    }

    pub fn update(&mut self, now: core_time::Instant, announcement: &fleet::Announcement) {
        self.slots = estimate::bounded_slots(announcement.slots);
        self.warmup_ends_at = now + announcement.warmup_left;
    }

    /// Records a load report; returns false and ignores it when a newer one is known.
    ///
    /// With `shares_slots`, calls sent less than a round trip before count as missing in it.
    pub fn reported(
        &mut self,
        at: core_time::Instant,
        load: &LoadReport,
        shares_slots: bool,
        takes_one_more: bool,
    ) -> bool {
        if self
            .last_report
            .is_some_and(|last_report| last_report.at > at)
        {
            return false;
        }
        self.reports_load = true;
        self.slow_until = None;
        let mut own_in_flight = self.in_flight;
        if shares_slots {
            let is_recent = |sent: &&core_time::Instant| at.since(**sent) < REPORT_DELAY;
            let recent = self.recent_calls.iter().filter(is_recent).count();
            own_in_flight = own_in_flight.saturating_sub(u32::try_from(recent).unwrap_or(u32::MAX));
        }
        self.takes_one_more = takes_one_more;
        let load = *load;
        // Calls that were sent since the previous report may be on their way.
        let earlier_own = self.last_report.map_or(0, |report| report.own_in_flight);
        self.unexplained_since = match load.running + load.waiting < earlier_own.min(own_in_flight)
        {
            true => self.unexplained_since.or(Some(at)),
            false => None,
        };
        self.last_report = Some(TimedReport {
            load,
            at,
            own_in_flight,
        });
        true
    }

    pub fn started(&mut self, now: core_time::Instant) {
        self.in_flight += 1;
        self.takes_one_more = false;
        let is_old = |at: &core_time::Instant| now.since(*at) >= REPORT_DELAY;
        while self.recent_calls.pop_front_if(|at| is_old(at)).is_some() {}
        self.recent_calls.push_back(now);
    }

    pub fn has_report(&self) -> bool {
        self.last_report.is_some()
    }

    pub fn unexplained_since(&self) -> Option<core_time::Instant> {
        self.unexplained_since
    }

    pub fn slots(&self) -> u32 {
        self.slots
    }

    pub fn last_slowness(&self) -> f64 {
        let percent = self
            .last_report
            .and_then(|report| report.load.slowness_percent);
        percent.map_or(1.0, |percent| f64::from(percent) / 100.0)
    }

    pub fn finished(&mut self, now: core_time::Instant, outcome: Outcome, cfg: &Config) -> bool {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Answered | Outcome::Shed => {
                // The slot that this VM has used is free for its next call.
                self.takes_one_more |= outcome == Outcome::Answered;
                self.consecutive_failures = 0;
                self.ejected_until = None;
                false
            }
            Outcome::Cancelled => false,
            Outcome::Failed => self.failed(now, cfg),
        }
    }

    fn failed(&mut self, now: core_time::Instant, cfg: &Config) -> bool {
        self.consecutive_failures += 1;
        if self.consecutive_failures < cfg.eject_after {
            return false;
        }
        let doublings = (self.consecutive_failures - cfg.eject_after).min(8);
        let duration = cfg.eject_for * (1 << doublings);
        self.ejected_until = Some(now + duration.min(cfg.eject_max));
        true
    }

    pub fn is_ejected(&self, now: core_time::Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    pub fn estimate(
        &self,
        now: core_time::Instant,
        service: &ServiceMeans,
        cfg: &Config,
    ) -> Estimate {
        let own_in_flight = f64::from(self.in_flight);
        let mut estimate = Estimate {
            occupancy: own_in_flight.max(service.occupancy),
            slots: self.slots,
            best_concurrency: service.contention.best_concurrency(self.slots),
            slowness: service.slowness,
            contention: 1.0,
            takes_one_more: self.takes_one_more,
            age: None,
        };
        if let Some(last_report) = self.last_report {
            let age = now.since(last_report.at);
            let occupancy = f64::from(last_report.load.running + last_report.load.waiting);
            let others = (occupancy - f64::from(last_report.own_in_flight)).max(0.0);
            let usual_others = service.occupancy.min(others.max(1.0));
            estimate.occupancy =
                own_in_flight + decay_towards(others, usual_others, age, cfg.occupancy_fade);
            estimate.slowness = match last_report.load.slowness_percent {
                Some(_) => decay_towards(
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
        self.apply_penalties(now, cfg, &mut estimate);
        estimate
    }

    fn apply_penalties(&self, now: core_time::Instant, cfg: &Config, estimate: &mut Estimate) {
        if now < self.warmup_ends_at {
            estimate.slowness *= cfg.warmup_slowness;
        }
        if self.slow_until.is_some_and(|until| now < until) {
            estimate.slowness *= cfg.doubt_slowness;
        }
    }
}

/// Returns `value` moved towards `mean`, the further the larger its age is relative to `scale`.
fn decay_towards(value: f64, mean: f64, age: time::Duration, scale: time::Duration) -> f64 {
    let weight = (-age.as_secs_f64() / scale.as_secs_f64().max(0.001)).exp();
    mean + (value - mean) * weight
}
