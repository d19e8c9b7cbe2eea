//! Finds a target for an attempt: executes the steps that `placement::Search` decides.
//!
//! A step sends the call, probes targets, or waits in the queue of the service. The results of
//! probes reach the search as load reports in the shared state.

use std::time;

use futures_util::{StreamExt, stream};
use wagtailshunt_core::{placement, shedding, time as core_time, types};

use crate::entry::{
    calls::{budget, call::Call, failure::Failure, probe},
    state,
};

/// Pause of a call whose cold target got another call in the meantime.
const TOKEN_PAUSE: time::Duration = time::Duration::from_millis(5);

/// Place of a call in the queue of its service.
#[derive(Clone, Copy)]
enum Ticket {
    /// In the queue by arrival.
    Plain(placement::Ticket),
    /// In the queue of the shedder, where load is shed by value.
    Shedder(shedding::Ticket),
}

/// An entry in the queue of a service; dropping it removes the call from the queue.
struct QueueEntry<'a> {
    call: &'a Call,
    ticket: Ticket,
    late: bool,
}

impl<'a> QueueEntry<'a> {
    fn join(call: &'a Call, search: &placement::Search) -> QueueEntry<'a> {
        let now = call.state.clock.now();
        let ticket = match call.join_shedder(now) {
            Some(ticket) => Ticket::Shedder(ticket),
            None => {
                let slack = search.slack(now, call.service_time());
                let priority = call.priority;
                let ticket = call.with_queue(|queue| queue.push(now, priority, slack));
                Ticket::Plain(ticket)
            }
        };
        QueueEntry {
            call,
            ticket,
            late: false,
        }
    }

    fn set_late(&mut self, late: bool) {
        if late
            && !self.late
            && let Ticket::Plain(ticket) = self.ticket
        {
            self.late = true;
            self.call.with_queue(|queue| queue.set_late(ticket));
        }
    }

    /// Returns whether the call is the next to be served.
    fn is_next(&self, now: core_time::Instant) -> Result<bool, Failure> {
        match self.ticket {
            Ticket::Plain(ticket) => Ok(self.call.with_queue(|queue| queue.is_next(now, ticket))),
            Ticket::Shedder(ticket) => self.call.is_next(now, ticket),
        }
    }

    /// Removes the call, which is sent to a target.
    fn dispatched(&self, now: core_time::Instant) {
        match self.ticket {
            Ticket::Plain(ticket) => self.call.with_queue(|queue| queue.dispatched(now, ticket)),
            Ticket::Shedder(ticket) => self.call.shedder_dispatched(now, ticket),
        }
    }
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        match self.ticket {
            Ticket::Plain(ticket) => self.call.with_queue(|queue| queue.remove(ticket)),
            Ticket::Shedder(ticket) => self.call.leave_shedder(ticket),
        }
    }
}

/// Returns the target for an attempt of a call.
///
/// # Errors
///
/// Returns [`Failure::Overloaded`] when no target is expected to answer in time,
/// [`Failure::NoTarget`] when the service has no further target, and [`Failure::Unreachable`] when
/// this VM has lost its path to the targets.
pub async fn find_target(
    call: &Call,
    mut search: placement::Search,
) -> Result<placement::Choice, Failure> {
    if call.state.is_path_lost() {
        return Err(Failure::Unreachable);
    }
    if let Some(choice) = call.due_cold_target().await {
        return Ok(choice);
    }
    if call.shedding.is_none() {
        call.check_queue_wait()?;
    }
    let mut queue_entry = QueueEntry::join(call, &search);
    let choice = loop {
        if call.state.is_path_lost() {
            return Err(Failure::Unreachable);
        }
        let now = call.state.clock.now();
        let is_head = queue_entry.is_next(now)?;
        match call.step(&mut search, is_head) {
            placement::Step::Send(choice) if call.take_token(&choice) => break choice,
            placement::Step::Send(_) => compio::time::sleep(TOKEN_PAUSE).await,
            placement::Step::Overloaded => return Err(call.shed(shedding::Reason::Waited)),
            placement::Step::NoTarget => match Box::pin(call.borrowed_cold_target(true)).await {
                Some(choice) => break choice,
                None => return Err(call.no_target_failure()),
            },
            placement::Step::Wait { pause, late } => {
                queue_entry.set_late(late);
                compio::time::sleep(pause).await;
            }
            placement::Step::Probe(targets) => {
                if let Some(choice) = probe_targets(call, &search, targets).await {
                    break choice;
                }
            }
        }
    };
    let now = call.state.clock.now();
    queue_entry.dispatched(now);
    Ok(choice)
}

/// Probes targets concurrently; returns the first target that would start the call at once.
async fn probe_targets(
    call: &Call,
    search: &placement::Search,
    targets: Vec<types::TargetId>,
) -> Option<placement::Choice> {
    let probes: stream::FuturesUnordered<_> = targets
        .iter()
        .map(|target| probe::probe_for_call(&call.state, target))
        .collect();
    futures_util::pin_mut!(probes);
    while probes.next().await.is_some() {
        if let Some(choice) = call.immediate_target(search)
            && call.take_token(&choice)
        {
            return Some(choice);
        }
    }
    None
}

impl Call {
    /// Returns the next step of the search for a target. Probes are charged to the probe budget of
    /// the service; without a token, the step contains none.
    fn step(&self, search: &mut placement::Search, is_head: bool) -> placement::Step {
        let now = self.state.clock.now();
        let tried = self.tried.borrow();
        let demand = self.demand(&tried);
        self.state.with(|inner| {
            if let Some(choice) = self.choose_unreported(inner, now, &demand, is_head) {
                return placement::Step::Send(choice);
            }
            let limits = &self.state.cfg.limits;
            let may_probe = budget::probes(limits, inner, &self.service).has_tokens();
            let step = search.step(now, &mut inner.placement, &demand, is_head, may_probe);
            if let placement::Step::Probe(targets) = &step {
                targets.iter().for_each(|_| {
                    budget::probes(limits, inner, &self.service).try_spend();
                });
            }
            step
        })
    }

    /// Returns what decides the target of the call.
    pub(super) fn demand<'a>(&'a self, tried: &'a [types::TargetId]) -> placement::Demand<'a> {
        placement::Demand {
            service: &self.service,
            work: self.service_time(),
            tried,
        }
    }

    /// Returns why the call has no target: all that it was not sent to are cold and get no further call
    /// now, or there are none.
    fn no_target_failure(&self) -> Failure {
        let now = self.state.clock.now();
        let has_cold = |inner: &mut state::Inner| inner.placement.cold.has_cold(now, &self.service);
        match self.state.with(has_cold) {
            true => Failure::Overloaded,
            false => Failure::NoTarget,
        }
    }

    /// Runs `f` on the queue of the service.
    fn with_queue<R>(&self, f: impl FnOnce(&mut placement::Queue) -> R) -> R {
        self.state
            .with(|inner| f(inner.queues.entry(self.service.clone()).or_default()))
    }

    /// Checks the expected time in the queue against the time that the call may wait.
    ///
    /// # Errors
    ///
    /// [`Failure::Overloaded`] when the expected wait is longer.
    fn check_queue_wait(&self) -> Result<(), Failure> {
        let now = self.state.clock.now();
        let time_left = self.request.deadline.since(now);
        let limit = time_left.mul_f64(self.state.cfg.search.wait_share);
        let wait = self.with_queue(|queue| queue.expected_wait(now, self.priority));
        match wait.is_some_and(|wait| wait > limit) {
            true => Err(Failure::Overloaded),
            false => Ok(()),
        }
    }

    /// Returns a target that would start the call at once according to a fresh load report.
    fn immediate_target(&self, search: &placement::Search) -> Option<placement::Choice> {
        let now = self.state.clock.now();
        let tried = self.tried.borrow();
        let demand = self.demand(&tried);
        self.state
            .with(|inner| search.ready_target(now, &mut inner.placement, &demand))
    }
}
