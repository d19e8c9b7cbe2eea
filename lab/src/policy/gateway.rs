//! The gateways' part of the model: admission, choice, retries, hedges and slots.

use wagtailshunt_core::admission::{CallId, Decision, Output as AdmissionOutput, Priority};
use wagtailshunt_core::balance::{CallResult, Outcome, Output, PickConstraints};
use wagtailshunt_core::deadline::Deadline;
use wagtailshunt_core::time::Instant;
use wagtailshunt_core::types::ServiceName;
use wagtailshunt_core::{admission, retry};

use std::time;

use super::cluster::{Attempt, Call, Cluster, Event, SERVICE};
use super::setup::Selection;
use super::workload::Work;

impl Cluster {
    /// A call arrives at a gateway that the platform's balancer considers alive.
    pub(super) fn arrive(&mut self, work: Work) {
        self.stats.offered += 1;
        let alive: Vec<usize> = (0..self.gateways.len())
            .filter(|&number| self.gateways[number].alive)
            .collect();
        let entry = match work.hot_entry {
            Some(hot) => alive[hot as usize % alive.len()],
            None => alive[(work.entry * alive.len() as f64) as usize],
        };
        let is_handed = self.setup.selection == Selection::Owner && entry != 0;
        let gateway = if is_handed { 0 } else { entry };
        let deadline = Deadline(self.now + self.setup.timeout);
        let call = self.calls.len();
        self.calls.push(Call {
            arrived: self.now,
            entry,
            gateway,
            work,
            deadline,
            made: 0,
            tried: Vec::new(),
            outstanding: Vec::new(),
            done: false,
            running: false,
        });
        self.schedule(deadline.0, Event::Deadline(call));
        if is_handed {
            self.stats.handed += 1;
            self.schedule_in(self.setup.far, Event::Handed(call));
        } else {
            self.offer(call);
        }
    }

    /// Offers a call to the admission of its gateway.
    pub(super) fn offer(&mut self, call: usize) {
        let number = self.calls[call].gateway;
        self.update_capacity(number);
        let service = ServiceName::from(SERVICE);
        let offered = admission::Call {
            service: &service,
            priority: Priority(1),
            caller: "caller",
            deadline: self.calls[call].deadline,
        };
        let gateway = &mut self.gateways[number];
        match gateway
            .admission
            .offer(self.now, CallId(call as u64), &offered)
        {
            Decision::Run => self.begin(call),
            Decision::Queued => self.plan_tick(number),
            Decision::Refuse(_) => self.refuse_call(call),
        }
        self.pull_admission(number);
    }

    pub(super) fn admission_tick(&mut self, number: usize) {
        self.gateways[number].tick_at = None;
        self.gateways[number].admission.tick(self.now);
        self.pull_admission(number);
        self.plan_tick(number);
    }

    fn update_capacity(&mut self, number: usize) {
        if !self.setup.adaptive || self.setup.selection != Selection::Local {
            return;
        }
        let gateway = &mut self.gateways[number];
        let capacity = gateway.balancer.capacity(self.now);
        gateway
            .admission
            .set_capacity(self.now, &ServiceName::from(SERVICE), capacity);
    }

    fn plan_tick(&mut self, number: usize) {
        let gateway = &mut self.gateways[number];
        let Some(at) = gateway.admission.next_deadline() else {
            return;
        };
        // A tick at the very time finds the call still just in time.
        let at = Instant(at.0.max(self.now.0) + 1);
        if gateway.tick_at.is_none_or(|planned| at < planned) {
            gateway.tick_at = Some(at);
            self.schedule(at, Event::AdmissionTick(number));
        }
    }

    fn pull_admission(&mut self, number: usize) {
        while let Some(output) = self.gateways[number].admission.poll_output() {
            match output {
                AdmissionOutput::Run(CallId(call)) => self.begin(call as usize),
                AdmissionOutput::Refuse(CallId(call), _) => self.refuse_call(call as usize),
            }
        }
    }

    fn refuse_call(&mut self, call: usize) {
        if !self.calls[call].done {
            self.calls[call].done = true;
            self.stats.refused += 1;
        }
    }

    /// Makes the first attempt of an admitted call.
    fn begin(&mut self, call: usize) {
        self.calls[call].running = true;
        let gateway = &mut self.gateways[self.calls[call].gateway];
        gateway.retries.count_call();
        gateway.hedger.count_call();
        self.dispatch(call);
    }

    /// Sends an attempt to a target that the call has not tried yet.
    pub(super) fn dispatch(&mut self, call: usize) -> bool {
        let number = self.calls[call].gateway;
        let gateway = &mut self.gateways[number];
        // A gateway that holds slots takes the one it is given, tried before or not.
        let is_local = self.setup.selection == Selection::Local;
        let pick = PickConstraints {
            avoid: if is_local {
                &self.calls[call].tried
            } else {
                &[]
            },
            local_domain: Some(&gateway.domain),
            probe_allowed: true,
        };
        let Some(key) = gateway.balancer.pick(self.now, &pick) else {
            return self.wait_for_slot(call);
        };
        gateway.balancer.started(self.now, key);
        let target = gateway
            .keys
            .iter()
            .position(|known| *known == key)
            .expect("a known target");
        let state = &mut self.calls[call];
        state.made += 1;
        state.tried.push(key);
        let attempt = self.attempts.len();
        state.outstanding.push(attempt);
        self.attempts.push(Attempt {
            call,
            gateway: number,
            target,
            key,
            number: state.made,
            started: self.now,
            reached: self.now,
            open: true,
            outcome: Outcome::Ok,
            not_run: false,
            report: None,
        });
        self.stats.attempts += 1;
        self.schedule_in(self.delay(number, target), Event::Reach(attempt));
        self.plan_hedge(call);
        self.pull_balancer(number);
        true
    }

    fn plan_hedge(&mut self, call: usize) {
        let state = &self.calls[call];
        if state.made != 1 || !state.work.idempotent {
            return;
        }
        if let Some(delay) = self.gateways[state.gateway].hedger.delay() {
            self.schedule_in(delay, Event::Hedge(call));
        }
    }

    pub(super) fn hedge(&mut self, call: usize) {
        let state = &self.calls[call];
        if state.done || state.outstanding.len() != 1 {
            return;
        }
        let attempt = self.attempt_of(call);
        let gateway = &mut self.gateways[state.gateway];
        if gateway.hedger.try_hedge(self.now, &attempt) && self.dispatch(call) {
            self.stats.hedges += 1;
        }
    }

    fn attempt_of(&self, call: usize) -> retry::Attempt {
        let state = &self.calls[call];
        retry::Attempt {
            caller_attempt: retry::AttemptNumber::FIRST,
            attempts_made: state.made,
            idempotent: state.work.idempotent,
            deadline: state.deadline,
            expected: self.gateways[state.gateway].hedger.median_latency(),
        }
    }

    fn pull_balancer(&mut self, number: usize) {
        while let Some(output) = self.gateways[number].balancer.poll_output() {
            if let Output::Probe { key } = output {
                let known = self.gateways[number]
                    .keys
                    .iter()
                    .position(|known| *known == key);
                if let Some(target) = known {
                    let event = Event::ProbeReach {
                        gateway: number,
                        target,
                    };
                    self.schedule_in(self.delay(number, target), event);
                }
            }
        }
    }

    /// An attempt's answer reaches the gateway.
    pub(super) fn answered(&mut self, number: usize) {
        if !self.attempts[number].open {
            return;
        }
        let outcome = self.attempts[number].outcome;
        self.close(number, outcome);
        let Attempt {
            call,
            gateway,
            not_run,
            started,
            ..
        } = self.attempts[number];
        if outcome == Outcome::Ok {
            self.gateways[gateway]
                .hedger
                .record(self.now.since(started));
            self.succeed(call);
            return;
        }
        if !self.calls[call].outstanding.is_empty() {
            return;
        }
        let attempt = self.attempt_of(call);
        let failure = retry::Failure {
            not_run,
            retried_below: false,
        };
        let budget = &mut self.gateways[gateway].retries;
        let decision = retry::decide(self.now, &attempt, &failure, budget);
        if decision == retry::Decision::Retry && self.dispatch(call) {
            self.stats.retries += 1;
        } else if !self.gateways[gateway].waiting.contains(&call) {
            self.fail(call);
        }
    }

    /// Ends an attempt for the balancer and frees its slot.
    fn close(&mut self, number: usize, outcome: Outcome) {
        let attempt = &mut self.attempts[number];
        attempt.open = false;
        let Attempt {
            call,
            gateway,
            target,
            key,
            started,
            ..
        } = *attempt;
        let finish = CallResult {
            latency: self.now.since(started),
            outcome,
            report: attempt.report,
        };
        self.stats.reports += u64::from(finish.report.is_some());
        self.gateways[gateway]
            .balancer
            .finished(self.now, key, &finish);
        self.calls[call].outstanding.retain(|open| *open != number);
        self.slot_freed(gateway, target);
    }

    fn succeed(&mut self, call: usize) {
        if self.calls[call].done {
            return;
        }
        self.calls[call].done = true;
        if self.setup.cancel_losers {
            self.cancel_outstanding(call, Outcome::Cancelled);
        }
        self.end_call(call, true);
        if self.calls[call].entry == self.calls[call].gateway {
            self.record_ok(call);
        } else {
            self.schedule_in(self.setup.far, Event::HandedBack(call));
        }
    }

    pub(super) fn record_ok(&mut self, call: usize) {
        if self.calls[call].deadline.expired(self.now) {
            self.stats.timeouts += 1;
            return;
        }
        self.stats.ok += 1;
        let latency = self.now.since(self.calls[call].arrived);
        self.stats.record_latency(latency.as_micros() as u64);
    }

    fn fail(&mut self, call: usize) {
        if !self.calls[call].done {
            self.calls[call].done = true;
            self.stats.failed += 1;
            self.end_call(call, false);
        }
    }

    pub(super) fn deadline_passed(&mut self, call: usize) {
        if self.calls[call].done {
            return;
        }
        self.calls[call].done = true;
        self.stats.timeouts += 1;
        let number = self.calls[call].gateway;
        self.gateways[number]
            .waiting
            .retain(|waiting| *waiting != call);
        self.gateways[number].admission.cancel(CallId(call as u64));
        self.cancel_outstanding(call, Outcome::Timeout);
        if self.calls[call].running {
            self.end_call(call, false);
        }
    }

    fn end_call(&mut self, call: usize, ok: bool) {
        let number = self.calls[call].gateway;
        self.update_capacity(number);
        self.gateways[number]
            .admission
            .finished(self.now, CallId(call as u64), ok);
        self.pull_admission(number);
    }

    fn cancel_outstanding(&mut self, call: usize, outcome: Outcome) {
        for attempt in std::mem::take(&mut self.calls[call].outstanding) {
            self.close(attempt, outcome);
            self.stats.cancelled += u64::from(outcome == Outcome::Cancelled);
            let Attempt {
                gateway, target, ..
            } = self.attempts[attempt];
            self.schedule_in(self.delay(gateway, target), Event::Cancel(attempt));
        }
    }

    /// Lets a call wait for a slot; without slots it fails.
    fn wait_for_slot(&mut self, call: usize) -> bool {
        if self.setup.selection == Selection::Local {
            if self.calls[call].outstanding.is_empty() {
                self.fail(call);
            }
            return false;
        }
        // A hedge does not wait: the first attempt may answer before a slot is free.
        if !self.calls[call].outstanding.is_empty() {
            return false;
        }
        let number = self.calls[call].gateway;
        self.gateways[number].waiting.push_back(call);
        self.request_slots(number);
        false
    }

    /// Keeps one request open for each waiting call.
    fn request_slots(&mut self, number: usize) {
        if !matches!(self.setup.selection, Selection::SlotLeases { .. }) {
            return;
        }
        while self.gateways[number].requested < self.gateways[number].waiting.len() {
            self.gateways[number].requested += 1;
            self.schedule_in(self.broker_delay(number), Event::SlotRequest(number));
        }
    }

    pub(super) fn send_grants(&mut self) {
        while let Some(grant) = self.broker.poll_grant() {
            let gateway = grant.to.0 as usize;
            let keys = &self.gateways[0].keys;
            let target = keys
                .iter()
                .position(|key| *key == grant.key)
                .expect("a known target");
            self.schedule_in(
                self.broker_delay(gateway),
                Event::SlotGrant { gateway, target },
            );
        }
    }

    pub(super) fn slot_granted(&mut self, number: usize, target: usize) {
        let gateway = &mut self.gateways[number];
        gateway.requested = gateway.requested.saturating_sub(1);
        self.set_held(number, target, 1);
        self.slot_freed(number, target);
    }

    /// A held slot has no call: a waiting call takes it, or it is given back after a while.
    fn slot_freed(&mut self, number: usize, target: usize) {
        if self.setup.selection == Selection::Local {
            return;
        }
        let expected = self.gateways[number].hedger.median_latency();
        while let Some(call) = self.gateways[number].waiting.pop_front() {
            if self.calls[call].done {
                continue;
            }
            // A slot spent on an answer that comes too late is lost for a call in time.
            if !self.calls[call].deadline.allows(self.now, expected) {
                self.refuse_call(call);
                self.end_call(call, false);
                continue;
            }
            let waiting = self.gateways[number].waiting.len();
            if self.dispatch(call) || self.gateways[number].waiting.len() > waiting {
                break;
            }
        }
        if let Selection::SlotLeases { linger_us } = self.setup.selection {
            let linger = time::Duration::from_micros(linger_us);
            self.schedule_in(
                linger,
                Event::SlotIdle {
                    gateway: number,
                    target,
                },
            );
        }
    }

    pub(super) fn slot_idle(&mut self, number: usize, target: usize) {
        let gateway = &self.gateways[number];
        let own = gateway.balancer.in_flight(gateway.keys[target]);
        if gateway.held[target] > own {
            self.set_held(number, target, -1);
            let event = Event::SlotReturn {
                gateway: number,
                target,
            };
            self.schedule_in(self.broker_delay(number), event);
        }
    }

    fn set_held(&mut self, number: usize, target: usize, change: i32) {
        let gateway = &mut self.gateways[number];
        gateway.held[target] = gateway.held[target].saturating_add_signed(change);
        gateway
            .balancer
            .set_leased_slots(gateway.keys[target], gateway.held[target]);
    }

    fn broker_delay(&self, number: usize) -> time::Duration {
        if number == 0 {
            time::Duration::ZERO
        } else {
            self.setup.far
        }
    }
}
