//! Events of the simulated gateways: admission, target selection, retries, hedges and slot leases.
//!
//! The decisions are those of `wagtailshunt-core`; this module applies them to the model.

use wagtailshunt_core::admission::{CallId, Decision, Output as AdmissionOutput, Priority};
use wagtailshunt_core::balance::{CallResult, Outcome, Output, PickConstraints};
use wagtailshunt_core::deadline::Deadline;
use wagtailshunt_core::time::Instant;
use wagtailshunt_core::types::ServiceName;
use wagtailshunt_core::{admission, retry};

use std::time;

use super::cluster::{Attempt, Call, Cluster, Event, SERVICE};
use super::setup::Selection;
use super::workload::CallSpec;

impl Cluster {
    /// Creates a call at a gateway that is alive, as the external load balancer selects it.
    pub(super) fn handle_arrival(&mut self, call_spec: CallSpec) {
        self.stats.offered += 1;
        let alive: Vec<usize> = (0..self.gateways.len())
            .filter(|&number| self.gateways[number].alive)
            .collect();
        let entry_gateway = match call_spec.hot_gateway_override {
            Some(hot_gateway) => alive[hot_gateway as usize % alive.len()],
            None => alive[(call_spec.gateway_fraction * alive.len() as f64) as usize],
        };
        let is_forwarded = self.setup.selection == Selection::Owner && entry_gateway != 0;
        let gateway = if is_forwarded { 0 } else { entry_gateway };
        let deadline = Deadline(self.now + self.setup.timeout);
        let call = self.calls.len();
        self.calls.push(Call {
            arrived: self.now,
            entry_gateway,
            gateway,
            call_spec,
            deadline,
            attempts_made: 0,
            tried_targets: Vec::new(),
            outstanding: Vec::new(),
            done: false,
            admitted: false,
        });
        self.schedule(deadline.0, Event::Deadline(call));
        if is_forwarded {
            self.stats.forwarded += 1;
            self.schedule_in(self.setup.cross_domain_delay, Event::Forwarded(call));
        } else {
            self.offer_call(call);
        }
    }

    /// Passes a call to the admission control of its gateway.
    pub(super) fn offer_call(&mut self, call: usize) {
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
            Decision::Run => self.start_call(call),
            Decision::Queued => self.schedule_admission_tick(number),
            Decision::Refuse(_) => self.refuse_call(call),
        }
        self.process_admission_outputs(number);
    }

    pub(super) fn admission_tick(&mut self, number: usize) {
        self.gateways[number].tick_at = None;
        self.gateways[number].admission.tick(self.now);
        self.process_admission_outputs(number);
        self.schedule_admission_tick(number);
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

    fn schedule_admission_tick(&mut self, number: usize) {
        let gateway = &mut self.gateways[number];
        let Some(at) = gateway.admission.next_deadline() else {
            return;
        };
        // At exactly the deadline the call still counts as in time, so the tick comes 1 us later.
        let at = Instant(at.0.max(self.now.0) + 1);
        if gateway.tick_at.is_none_or(|planned| at < planned) {
            gateway.tick_at = Some(at);
            self.schedule(at, Event::AdmissionTick(number));
        }
    }

    fn process_admission_outputs(&mut self, number: usize) {
        while let Some(output) = self.gateways[number].admission.poll_output() {
            match output {
                AdmissionOutput::Run(CallId(call)) => self.start_call(call as usize),
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

    /// Sends the first attempt of an admitted call.
    fn start_call(&mut self, call: usize) {
        self.calls[call].admitted = true;
        let gateway = &mut self.gateways[self.calls[call].gateway];
        gateway.retries.count_call();
        gateway.hedger.count_call();
        self.dispatch(call);
    }

    /// Sends an attempt to a target that the call has not tried yet, and returns whether one was
    /// sent.
    pub(super) fn dispatch(&mut self, call: usize) -> bool {
        let number = self.calls[call].gateway;
        let gateway = &mut self.gateways[number];
        // A gateway with leased slots uses the slot it was granted, even on a target tried before.
        let is_local = self.setup.selection == Selection::Local;
        let pick = PickConstraints {
            avoid: if is_local {
                &self.calls[call].tried_targets
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
        state.attempts_made += 1;
        state.tried_targets.push(key);
        let attempt = self.attempts.len();
        state.outstanding.push(attempt);
        self.attempts.push(Attempt {
            call,
            gateway: number,
            target,
            key,
            number: state.attempts_made,
            started: self.now,
            arrived_at_target: self.now,
            open: true,
            outcome: Outcome::Ok,
            not_run: false,
            report: None,
        });
        self.stats.attempts += 1;
        self.schedule_in(self.delay(number, target), Event::AttemptArrived(attempt));
        self.schedule_hedge(call);
        self.process_balancer_outputs(number);
        true
    }

    fn schedule_hedge(&mut self, call: usize) {
        let state = &self.calls[call];
        if state.attempts_made != 1 || !state.call_spec.idempotent {
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
            attempts_made: state.attempts_made,
            idempotent: state.call_spec.idempotent,
            deadline: state.deadline,
            expected: self.gateways[state.gateway].hedger.median_latency(),
        }
    }

    fn process_balancer_outputs(&mut self, number: usize) {
        while let Some(output) = self.gateways[number].balancer.poll_output() {
            if let Output::Probe { key } = output {
                let known = self.gateways[number]
                    .keys
                    .iter()
                    .position(|known| *known == key);
                if let Some(target) = known {
                    let event = Event::ProbeArrived {
                        gateway: number,
                        target,
                    };
                    self.schedule_in(self.delay(number, target), event);
                }
            }
        }
    }

    /// Handles the response of an attempt: completes, retries or fails its call.
    pub(super) fn handle_response(&mut self, number: usize) {
        if !self.attempts[number].open {
            return;
        }
        let outcome = self.attempts[number].outcome;
        self.finish_attempt(number, outcome);
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
            self.complete_call(call);
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
            self.fail_call(call);
        }
    }

    /// Reports the result of an attempt to the balancer and frees its slot.
    fn finish_attempt(&mut self, number: usize, outcome: Outcome) {
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

    fn complete_call(&mut self, call: usize) {
        if self.calls[call].done {
            return;
        }
        self.calls[call].done = true;
        if self.setup.cancel_losers {
            self.cancel_outstanding(call, Outcome::Cancelled);
        }
        self.finish_call(call, true);
        if self.calls[call].entry_gateway == self.calls[call].gateway {
            self.record_ok(call);
        } else {
            self.schedule_in(
                self.setup.cross_domain_delay,
                Event::ForwardedResponse(call),
            );
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

    fn fail_call(&mut self, call: usize) {
        if !self.calls[call].done {
            self.calls[call].done = true;
            self.stats.failed += 1;
            self.finish_call(call, false);
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
        if self.calls[call].admitted {
            self.finish_call(call, false);
        }
    }

    fn finish_call(&mut self, call: usize, ok: bool) {
        let number = self.calls[call].gateway;
        self.update_capacity(number);
        self.gateways[number]
            .admission
            .finished(self.now, CallId(call as u64), ok);
        self.process_admission_outputs(number);
    }

    fn cancel_outstanding(&mut self, call: usize, outcome: Outcome) {
        for attempt in std::mem::take(&mut self.calls[call].outstanding) {
            self.finish_attempt(attempt, outcome);
            self.stats.cancelled += u64::from(outcome == Outcome::Cancelled);
            let Attempt {
                gateway, target, ..
            } = self.attempts[attempt];
            self.schedule_in(self.delay(gateway, target), Event::Cancel(attempt));
        }
    }

    /// Queues a call until a slot is granted. Without slot leases the call fails.
    fn wait_for_slot(&mut self, call: usize) -> bool {
        if self.setup.selection == Selection::Local {
            if self.calls[call].outstanding.is_empty() {
                self.fail_call(call);
            }
            return false;
        }
        // A hedge is not queued: the first attempt may succeed before a slot is free.
        if !self.calls[call].outstanding.is_empty() {
            return false;
        }
        let number = self.calls[call].gateway;
        self.gateways[number].waiting.push_back(call);
        self.request_slots(number);
        false
    }

    /// Keeps one slot request open for each queued call.
    fn request_slots(&mut self, number: usize) {
        if !matches!(self.setup.selection, Selection::SlotLeases { .. }) {
            return;
        }
        while self.gateways[number].requested_slots < self.gateways[number].waiting.len() {
            self.gateways[number].requested_slots += 1;
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
        gateway.requested_slots = gateway.requested_slots.saturating_sub(1);
        self.change_held_slots(number, target, 1);
        self.slot_freed(number, target);
    }

    /// Gives a free leased slot to the first queued call, and schedules the return of the slot in
    /// case it stays idle.
    fn slot_freed(&mut self, number: usize, target: usize) {
        if self.setup.selection == Selection::Local {
            return;
        }
        let expected = self.gateways[number].hedger.median_latency();
        while let Some(call) = self.gateways[number].waiting.pop_front() {
            if self.calls[call].done {
                continue;
            }
            // A call that cannot finish by its deadline would take the slot from one that can.
            if !self.calls[call].deadline.allows(self.now, expected) {
                self.refuse_call(call);
                self.finish_call(call, false);
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
        let in_flight = gateway.balancer.in_flight(gateway.keys[target]);
        if gateway.held_slots[target] > in_flight {
            self.change_held_slots(number, target, -1);
            let event = Event::SlotReturn {
                gateway: number,
                target,
            };
            self.schedule_in(self.broker_delay(number), event);
        }
    }

    fn change_held_slots(&mut self, number: usize, target: usize, change: i32) {
        let gateway = &mut self.gateways[number];
        gateway.held_slots[target] = gateway.held_slots[target].saturating_add_signed(change);
        gateway
            .balancer
            .set_leased_slots(gateway.keys[target], gateway.held_slots[target]);
    }

    fn broker_delay(&self, number: usize) -> time::Duration {
        if number == 0 {
            time::Duration::ZERO
        } else {
            self.setup.cross_domain_delay
        }
    }
}
