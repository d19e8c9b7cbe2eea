//! Finds a target for an attempt: executes the steps that `placement::Search` decides.
//!
//! A step sends the call, probes targets, or waits in the queue of the service. The results of
//! probes reach the search as load reports in the shared state.

use futures_util::{StreamExt, stream};
use wagtailshunt_core::{placement, types};

use crate::entry::calls::{call::Call, failure::Failure, probe};

/// An entry in the queue of a service; dropping it removes the call from the queue.
struct QueueEntry<'a> {
    call: &'a Call,
    ticket: placement::Ticket,
    late: bool,
}

impl<'a> QueueEntry<'a> {
    fn join(call: &'a Call, search: &placement::Search) -> QueueEntry<'a> {
        let now = call.state.clock.now();
        let slack = search.slack(now, call.service_time());
        let priority = call.route.priority;
        let ticket = call.with_queue(|queue| queue.push(now, priority, slack));
        QueueEntry {
            call,
            ticket,
            late: false,
        }
    }

    fn set_late(&mut self, late: bool) {
        if late && !self.late {
            self.late = true;
            self.call.with_queue(|queue| queue.set_late(self.ticket));
        }
    }
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        self.call.with_queue(|queue| queue.remove(self.ticket));
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
    call.check_queue_wait()?;
    let mut queue_entry = QueueEntry::join(call, &search);
    let choice = loop {
        if call.state.is_path_lost() {
            return Err(Failure::Unreachable);
        }
        let now = call.state.clock.now();
        let is_head = call.with_queue(|queue| queue.is_next(now, queue_entry.ticket));
        match call.step(&mut search, is_head) {
            placement::Step::Send(choice) => break choice,
            placement::Step::Overloaded => return Err(Failure::Overloaded),
            placement::Step::NoTarget => return Err(Failure::NoTarget),
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
    call.with_queue(|queue| queue.dispatched(now, queue_entry.ticket));
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
        if let Some(choice) = call.immediate_target(search) {
            return Some(choice);
        }
    }
    None
}
