//! Events of the simulated targets: running, refusing and losing attempts and probes.

use std::time;

use wagtailshunt_core::balance;

use super::cluster::{Attempt, Cluster, Event};
use super::fake_target::{EnterResult, Job};

/// Time in microseconds that a target takes to shed a call or to fail fast.
const REFUSAL_US: u64 = 100;
/// Time after which a connection attempt to an unreachable target fails.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(20);
/// Time after which attempts in flight on an unreachable target fail.
const SILENCE_TIMEOUT: time::Duration = time::Duration::from_millis(50);

impl Cluster {
    /// Handles an attempt that arrives at its target.
    pub(super) fn deliver_attempt(&mut self, number: usize) {
        let attempt = &mut self.attempts[number];
        if !attempt.open {
            return;
        }
        attempt.arrived_at_target = self.now;
        let (target, gateway) = (attempt.target, attempt.gateway);
        let back = self.delay(gateway, target);
        let fake = &mut self.targets[target];
        if fake.unreachable {
            // The connection is not established, so the call has not run.
            self.attempts[number].not_run = true;
            self.attempts[number].outcome = balance::Outcome::Error;
            self.schedule_in(CONNECT_TIMEOUT, Event::Response(number));
            return;
        }
        fake.received += 1;
        if fake.fails_fast {
            self.refuse(number, balance::Outcome::Error, false, back);
        } else if fake.draining {
            self.stats.sent_to_draining += 1;
            self.refuse(number, balance::Outcome::Shed, true, back);
        } else {
            match fake.admit(Job::Attempt(number)) {
                EnterResult::Running => self.run_job(target, Job::Attempt(number)),
                EnterResult::Queued => {}
                EnterResult::Shed => self.refuse(number, balance::Outcome::Shed, true, back),
            }
        }
    }

    fn refuse(
        &mut self,
        number: usize,
        outcome: balance::Outcome,
        not_run: bool,
        back: time::Duration,
    ) {
        let period = self.setup.report_period;
        let attempt = &mut self.attempts[number];
        attempt.outcome = outcome;
        attempt.not_run = not_run;
        attempt.report = Some(self.targets[attempt.target].report(self.now, period));
        let refusal = time::Duration::from_micros(REFUSAL_US);
        self.schedule_in(refusal + back, Event::Response(number));
    }

    fn run_job(&mut self, target: usize, job: Job) {
        let (base_us, event) = match job {
            Job::Attempt(attempt) => {
                let Attempt { call, number, .. } = self.attempts[attempt];
                let service_us = self.calls[call].call_spec.service_us;
                let base = service_us[usize::from(number > 1)];
                (base, Event::Done { attempt, target })
            }
            Job::Probe { gateway, serial } => {
                let cost = self.setup.balance.probe_cost.target_time;
                (
                    cost.as_micros() as f64,
                    Event::ProbeDone {
                        serial,
                        gateway,
                        target,
                    },
                )
            }
        };
        let us = match job {
            Job::Attempt(_) => self.targets[target].service_us(base_us),
            Job::Probe { .. } => base_us,
        };
        self.schedule_in(time::Duration::from_micros(us as u64), event);
    }

    pub(super) fn job_done(&mut self, target: usize, job: Job) {
        if !self.targets[target].is_running(job) {
            return;
        }
        let next = self.targets[target].remove(job);
        let period = self.setup.report_period;
        match job {
            Job::Attempt(number) => {
                let arrived = self.attempts[number].arrived_at_target;
                self.stats.wasted += u64::from(self.calls[self.attempts[number].call].done);
                let fake = &mut self.targets[target];
                fake.record_latency(self.now.0 - arrived.0);
                let attempt = &mut self.attempts[number];
                attempt.outcome = balance::Outcome::Ok;
                attempt.report = Some(fake.report(self.now, period));
                let back = self.delay(self.attempts[number].gateway, target);
                self.schedule_in(back, Event::Response(number));
            }
            Job::Probe { gateway, .. } => {
                let report = self.targets[target].report(self.now, period);
                let event = Event::ProbeResponse {
                    gateway,
                    target,
                    occupancy: report.occupancy(),
                    latency_us: report.latency.as_micros() as u32,
                };
                self.schedule_in(self.delay(gateway, target), event);
            }
        }
        if let Some(next) = next {
            self.run_job(target, next);
        }
    }

    pub(super) fn cancel_on_target(&mut self, number: usize) {
        let target = self.attempts[number].target;
        if let Some(next) = self.targets[target].remove(Job::Attempt(number)) {
            self.run_job(target, next);
        }
    }

    pub(super) fn deliver_probe(&mut self, gateway: usize, target: usize) {
        if self.targets[target].unreachable || self.targets[target].draining {
            return;
        }
        // A shed probe gets no response, but its cost has been counted.
        let serial = self.next_serial();
        let job = Job::Probe { gateway, serial };
        if self.targets[target].admit(job) == EnterResult::Running {
            self.run_job(target, job);
        }
    }

    /// Makes a target unreachable; attempts in flight there fail after a timeout.
    pub(super) fn disconnect_target(&mut self, target: usize) {
        self.targets[target].unreachable = true;
        for job in self.targets[target].clear() {
            if let Job::Attempt(number) = job {
                self.attempts[number].outcome = balance::Outcome::Error;
                self.schedule_in(SILENCE_TIMEOUT, Event::Response(number));
            }
        }
    }
}
