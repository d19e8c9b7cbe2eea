//! Targets that state in their responses that they leave.
//!
//! A target also announces that it leaves, but the announcement may reach no VM. From the first
//! response that states it, this VM sends the target nothing more, and treats it like one that has
//! deregistered: only a later incarnation gets calls again. The departure is then reported to the
//! other VMs as a deregistration, unless they have learned of it themselves.

use std::{rc, time};

use hyper::HeaderMap;
use wagtailshunt_core::{event, fleet, time as core_time};

use crate::entry::{state, targets};

/// Shortest time between two log lines about invalid statements.
const INVALID_LOG_INTERVAL: time::Duration = time::Duration::from_secs(10);

/// Departures that this VM has learned from responses.
#[derive(Debug, Default)]
pub struct Departures {
    unreported: fleet::UnreportedDepartures,
    /// When an invalid statement was last logged.
    invalid_logged: Option<core_time::Instant>,
}

/// Response in which a target states that it leaves.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub enum Source {
    /// The response to a call, whether or not it is passed on.
    #[display("call")]
    Call,
    /// The response to a probe.
    #[display("probe")]
    Probe,
    /// The response to a call that another VM has relayed.
    #[display("relay")]
    Relay,
}

/// Handles the statement in the headers of a response, if there is one, that `target` leaves. An
/// invalid one is logged and has no effect. Returns whether the target leaves.
pub fn response_received(
    state: &rc::Rc<state::State>,
    target: &fleet::TargetIncarnation,
    headers: &HeaderMap,
    source: Source,
) -> bool {
    let protocol = &state.cfg.protocol;
    if !headers.contains_key(&protocol.leaving) {
        return false;
    }
    let mut values = headers.get_all(&protocol.leaving).iter();
    if values.any(protocol.states_leaving) {
        learned(state, target, source);
        return true;
    }
    log_invalid(state, target);
    false
}

/// Removes a target that leaves, and schedules the report to the other VMs.
fn learned(state: &rc::Rc<state::State>, target: &fleet::TargetIncarnation, source: Source) {
    let is_known = |inner: &mut state::Inner| {
        let directory = &inner.directory;
        directory.is_deregistered(&target.target, target.born)
    };
    if state.with(is_known) {
        return;
    }
    targets::apply_deregistration(state, target);
    let now = state.clock.now();
    state.with(|inner| {
        let mut rng = state.rng.borrow_mut();
        inner
            .departures
            .unreported
            .add(now, target.clone(), &mut *rng);
    });
    let label = source.to_string();
    let departures = &state.metrics.departures;
    departures.with_label_values(&[label.as_str()]).inc();
    state.events.emit(
        event::Id::DepartureStated,
        &[
            ("target", &target.target),
            ("born", &target.born),
            ("source", &source),
        ],
    );
}

fn log_invalid(state: &state::State, target: &fleet::TargetIncarnation) {
    let departures = &state.metrics.departures;
    departures.with_label_values(&["invalid"]).inc();
    let now = state.clock.now();
    let is_due = state.with(|inner| {
        let last = &mut inner.departures.invalid_logged;
        let is_due = last.is_none_or(|last| now.since(last) >= INVALID_LOG_INTERVAL);
        if is_due {
            *last = Some(now);
        }
        is_due
    });
    if is_due {
        log::warn!(
            "target {} states with an invalid value whether it leaves; ignored",
            target.target
        );
    }
}

/// Reports departures that are due to the other VMs. Called regularly.
pub fn report(state: &rc::Rc<state::State>) {
    if state.with(|inner| inner.departures.unreported.is_empty()) {
        return;
    }
    let now = state.clock.now();
    let due = state.with(|inner| inner.departures.unreported.take_due(now));
    for departed in due {
        let state = state.clone();
        compio::runtime::spawn(async move {
            // One that the other VMs have learned of themselves ends here as well; others are repeated.
            if targets::deregister(&state, departed.clone()).await {
                state.with(|inner| inner.departures.unreported.remove(&departed));
            }
        })
        .detach();
    }
}
