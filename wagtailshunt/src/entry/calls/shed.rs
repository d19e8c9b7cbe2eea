//! Sheds load by what the loss of a call costs its caller, where the configuration has workspaces or
//! a setting says so: executes what `shedding::Shedder` decides for the service of a call.

use std::{cell, rc, time};

use rand::Rng;
use wagtailshunt_core::{event, placement, shedding, time as core_time, types};

use crate::entry::{
    calls::{attempt::CallRequest, budget, call::Call, failure::Failure, relay::RelayedCall},
    state,
};

/// Largest priority with a label of its own in metrics; operators set any.
const MAX_PRIORITY_LABEL: u32 = 9;

/// What the decision needs to know of a call, and what it decided.
pub struct CallShedding {
    /// Whether the caller was refused before and comes back.
    returning: bool,
    /// Largest expected work to count with.
    max_work: time::Duration,
    /// Why the call was refused.
    refused: cell::Cell<Option<shedding::Reason>>,
}

impl CallShedding {
    /// Records the arrival of a call; `None` if load is not shed by value.
    pub fn new(
        state: &state::State,
        route_name: &str,
        service: &types::ServiceName,
        call_request: &CallRequest,
        arrival: core_time::Instant,
        relayed: Option<RelayedCall>,
    ) -> Option<CallShedding> {
        let (returning, max_work) = state.with(|inner| {
            if !state.cfg.limits.shed_by_value && !inner.routes.has_workspaces() {
                return None;
            }
            inner.placement.share_slots();
            let time_left = call_request.caller_deadline.since(arrival);
            let shedder = inner.shedders.entry(service.clone()).or_default();
            // A relayed call has spent time at the VM that sent it.
            let returning = relayed.is_none() && shedder.arrived(route_name, time_left);
            Some((returning, shedder.max_work(route_name, time_left)))
        })?;
        Some(CallShedding {
            returning,
            max_work,
            refused: cell::Cell::new(None),
        })
    }
}

/// A token of the retry budget that is kept for a call until this is dropped. It stays in the budget,
/// so that the budget never exceeds its limit by tokens of calls that wait.
pub struct RetryGrant {
    state: rc::Rc<state::State>,
    service: types::ServiceName,
}

impl Drop for RetryGrant {
    fn drop(&mut self) {
        self.state.with(|inner| {
            if let Some(shedder) = inner.shedders.get_mut(&self.service) {
                shedder.settle_retry();
            }
        });
    }
}

impl Call {
    pub(super) fn with_shedder<R>(&self, f: impl FnOnce(&mut shedding::Shedder) -> R) -> R {
        self.state
            .with(|inner| f(inner.shedders.entry(self.service.clone()).or_default()))
    }

    fn caller(&self, own: &CallShedding) -> shedding::Caller {
        let workspace = self.request.workspace.as_ref();
        shedding::Caller {
            kind: self.route_name.clone(),
            workspace: workspace.map(|call| call.workspace.0.clone()),
            priority: self.priority,
            returning: own.returning,
            work: self.service_time().min(own.max_work),
        }
    }

    /// Refuses the call for this reason.
    pub(super) fn shed(&self, reason: shedding::Reason) -> Failure {
        if let Some(own) = &self.shedding {
            own.refused.set(Some(reason));
        }
        match reason {
            shedding::Reason::RetryBudget => Failure::RefusedByTargets,
            _ => Failure::Overloaded,
        }
    }

    /// Joins the queue of the shedder; `None` if load is not shed by value.
    pub(super) fn join_shedder(&self, now: core_time::Instant) -> Option<shedding::Ticket> {
        let own = self.shedding.as_ref()?;
        let objective = self.arrival + self.route.objective;
        let caller = self.caller(own);
        let wait_share = self.state.cfg.search.wait_share;
        let deadline = self.request.deadline;
        let times = shedding::Times::new(now, objective, deadline, caller.work, wait_share);
        Some(self.with_shedder(|shedder| shedder.push(now, caller, times)))
    }

    /// Returns whether the call is the next to be sent.
    ///
    /// # Errors
    ///
    /// The failure of a call that is refused to shed load.
    pub(super) fn is_next(
        &self,
        now: core_time::Instant,
        ticket: shedding::Ticket,
    ) -> Result<bool, Failure> {
        match self.with_shedder(|shedder| shedder.verdict(now, ticket)) {
            shedding::Verdict::Next => Ok(true),
            shedding::Verdict::Wait => Ok(false),
            shedding::Verdict::Refuse(reason) => Err(self.shed(reason)),
        }
    }

    pub(super) fn shedder_dispatched(&self, now: core_time::Instant, ticket: shedding::Ticket) {
        self.with_shedder(|shedder| shedder.dispatched(now, ticket));
    }

    pub(super) fn leave_shedder(&self, ticket: shedding::Ticket) {
        self.with_shedder(|shedder| shedder.remove(ticket));
    }

    /// Adds what the call earns for the retry budget to the decision.
    pub(super) fn record_earned(&self, inner: &mut state::Inner) {
        if self.shedding.is_none() {
            return;
        }
        let tokens = f64::from(self.state.cfg.limits.retries_per_1000_calls) / 1000.0;
        let shedder = inner.shedders.entry(self.service.clone()).or_default();
        shedder.earned(self.arrival, tokens);
    }

    /// Keeps a token of the retry budget before a target is searched for a retry, so that a call that
    /// gets none is refused at once. Returns `None` for other attempts, and if load is not shed by
    /// value.
    ///
    /// # Errors
    ///
    /// The failure of a call that gets no token.
    pub(super) fn reserve_retry(&self, is_retry: bool) -> Result<Option<RetryGrant>, Failure> {
        let Some(own) = self.shedding.as_ref().filter(|_| is_retry) else {
            return Ok(None);
        };
        let now = self.state.clock.now();
        let class = shedding::Class {
            priority: self.priority,
            first_time: !own.returning,
            late: now + self.service_time() > self.arrival + self.route.objective,
        };
        let granted = self.state.with(|inner| {
            let limits = &self.state.cfg.limits;
            let tokens = budget::retries(limits, inner, &self.service).available();
            let shedder = inner.shedders.entry(self.service.clone()).or_default();
            shedder.may_retry(now, class, tokens)
        });
        match granted {
            true => Ok(Some(RetryGrant {
                state: self.state.clone(),
                service: self.service.clone(),
            })),
            false => Err(self.shed(shedding::Reason::RetryBudget)),
        }
    }

    /// Returns the delay after which the caller of the refused call has a chance; `None` if load is
    /// not shed by value.
    pub(super) fn planned_return(
        &self,
        reason: Failure,
        time_left: time::Duration,
    ) -> Option<time::Duration> {
        let by_target = reason == Failure::RefusedByTargets;
        let own = self.shedding.as_ref()?;
        let now = self.state.clock.now();
        let caller = self.caller(own);
        let random = self.state.rng.borrow_mut().random_range(0.0..1.0);
        Some(self.with_shedder(|shedder| {
            shedder.retry_after(now, &caller, by_target, time_left, random)
        }))
    }

    /// Logs and counts a call that was refused to shed load.
    pub fn record_shed(&self, retry_after: Option<time::Duration>) {
        let refused = self.shedding.as_ref().and_then(|own| own.refused.get());
        let Some(reason) = refused else {
            return;
        };
        let priority = self.priority.min(MAX_PRIORITY_LABEL).to_string();
        let labels = [&reason.to_string(), priority.as_str()];
        self.state.metrics.shed.with_label_values(&labels).inc();
        self.state.events.emit(
            event::Id::CallShed,
            &[
                ("request", &self.request_id_text()),
                ("service", &self.service),
                ("reason", &reason),
                ("priority", &self.priority),
                (
                    "retry_after_ms",
                    &retry_after.unwrap_or_default().as_millis(),
                ),
            ],
        );
    }

    /// Returns why the call was refused, for the log; `None` if load is not shed by value.
    pub fn shed_text(&self) -> Option<String> {
        let own = self.shedding.as_ref()?;
        let refused = own.refused.get();
        Some(refused.map_or_else(|| "-".to_owned(), |reason| reason.to_string()))
    }

    /// Records whether the call got a response of a target, and logs the start and the end of a
    /// shortage.
    pub fn record_served(&self, served: bool) {
        let Some(own) = &self.shedding else {
            return;
        };
        let now = self.state.clock.now();
        let caller = self.caller(own);
        let change = self.with_shedder(|shedder| {
            shedder.finished(now, &caller, served);
            shedder.poll_change(now)
        });
        if let Some(change) = change {
            let id = match change.resource {
                shedding::Resource::Slots => event::Id::CapacityShort,
                shedding::Resource::Retries => event::Id::RetriesShort,
            };
            let waiting = self.with_shedder(|shedder| shedder.waiting());
            self.state.events.emit(
                id,
                &[
                    ("service", &self.service),
                    ("short", &change.short),
                    ("waiting", &waiting),
                ],
            );
        }
    }

    /// Returns a target for a call of the queue while no target of the service has reported
    /// its load, as long as this VM uses less than its part of the slots. Right after a start, the
    /// first calls would otherwise wait for probes one after the other.
    pub(super) fn choose_unreported(
        &self,
        inner: &mut state::Inner,
        now: core_time::Instant,
        demand: &placement::Demand<'_>,
        is_next: bool,
    ) -> Option<placement::Choice> {
        self.shedding.as_ref()?;
        let unreported = inner.placement.unreported(now, &self.service);
        let room = unreported.room(inner.roster.vms().count());
        let shedder = inner.shedders.get(&self.service);
        // With room for all waiting calls, none waits for its turn.
        let all_fit = shedder.is_some_and(|shedder| shedder.waiting() <= room);
        if unreported.others_reported || room == 0 || !is_next && !all_fit {
            return None;
        }
        let ranked = inner.placement.ranked(now, demand);
        let deadline = self.request.deadline;
        inner.placement.first_unreported(now, ranked, deadline)
    }
}
