//! The targets' part of the model: running, refusing and losing calls.

use std::time;

use wagtailshunt_core::balance;

use super::cluster::{Attempt, Cluster, Event};
use super::fake::{Entry, Job};

/// Time a target takes to refuse a call or to fail fast, in microseconds.
const REFUSAL_US: u64 = 100;
/// Time after which a connection attempt to a lost target fails.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(20);
/// Time after which calls in flight on a lost target are given up.
const SILENCE_TIMEOUT: time::Duration = time::Duration::from_millis(50);
impl Cluster {
    /// An attempt reaches its target.
    pub(super) fn reach(&mut self, number: usize) {
        let attempt = &mut self.attempts[number];
        if !attempt.open {
            return;
        }
        attempt.reached = self.now;
        let (target, gateway) = (attempt.target, attempt.gateway);
        let back = self.delay(gateway, target);
        let fake = &mut self.targets[target];
        if fake.lost {
            // The connection is not established, so the call has not run.
            self.attempts[number].not_run = true;
            self.attempts[number].outcome = balance::Outcome::Error;
            self.schedule_in(CONNECT_TIMEOUT, Event::Answer(number));
            return;
        }
        fake.received += 1;
        if fake.fails_fast {
            self.refuse(number, balance::Outcome::Error, false, back);
        } else if fake.draining {
            self.stats.sent_to_draining += 1;
            self.refuse(number, balance::Outcome::Shed, true, back);
        } else {
            match fake.enter(Job::Attempt(number)) {
                Entry::Runs => self.run_job(target, Job::Attempt(number)),
                Entry::Waits => {}
                Entry::Shed => self.refuse(number, balance::Outcome::Shed, true, back),
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
        self.schedule_in(refusal + back, Event::Answer(number));
    }

    fn run_job(&mut self, target: usize, job: Job) {
        let (base_us, event) = match job {
            Job::Attempt(attempt) => {
                let Attempt { call, number, .. } = self.attempts[attempt];
                let service_us = self.calls[call].work.service_us;
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
        if !self.targets[target].holds(job) {
            return;
        }
        let next = self.targets[target].leave(job);
        let period = self.setup.report_period;
        match job {
            Job::Attempt(number) => {
                let reached = self.attempts[number].reached;
                self.stats.wasted += u64::from(self.calls[self.attempts[number].call].done);
                let fake = &mut self.targets[target];
                fake.learn(self.now.0 - reached.0);
                let attempt = &mut self.attempts[number];
                attempt.outcome = balance::Outcome::Ok;
                attempt.report = Some(fake.report(self.now, period));
                let back = self.delay(self.attempts[number].gateway, target);
                self.schedule_in(back, Event::Answer(number));
            }
            Job::Probe { gateway, .. } => {
                let report = self.targets[target].report(self.now, period);
                let event = Event::ProbeAnswer {
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
        if let Some(next) = self.targets[target].leave(Job::Attempt(number)) {
            self.run_job(target, next);
        }
    }

    pub(super) fn probe_reach(&mut self, gateway: usize, target: usize) {
        if self.targets[target].lost || self.targets[target].draining {
            return;
        }
        // A probe that is shed tells nothing; its cost has been paid.
        let serial = self.next_serial();
        let job = Job::Probe { gateway, serial };
        if self.targets[target].enter(job) == Entry::Runs {
            self.run_job(target, job);
        }
    }

    /// Loses everything on a target; calls in flight there are given up after a while.
    pub(super) fn lose_target(&mut self, target: usize) {
        self.targets[target].lost = true;
        for job in self.targets[target].clear() {
            if let Job::Attempt(number) = job {
                self.attempts[number].outcome = balance::Outcome::Error;
                self.schedule_in(SILENCE_TIMEOUT, Event::Answer(number));
            }
        }
    }
}
