//! Evacuation of failure domains: orders of operators, which the leader of the replicated group
//! decides, and the consequences of an applied one on this VM.
//!
//! An order is a command of the log. Every VM gets it as it gets configuration changes, and stores it
//! with its configuration.

use std::rc;

use wagtailshunt_core::{evacuation, event, state_machine, types};

use crate::entry::{
    cold_targets,
    operators::{self, Outcome},
    replica, state,
};

/// Decides an order. One that is applied already is acknowledged without a further entry of the log,
/// once a quorum has confirmed that this VM still leads: a later leader may have applied a contrary
/// one.
pub async fn submit(state: &rc::Rc<state::State>, order: evacuation::Order) -> Outcome<()> {
    if !state.is_leading() {
        return operators::redirect(state);
    }
    match decide(state, order).await {
        Ok(()) => Outcome::Decided(()),
        Err(replica::CommandError::Refused(_)) => operators::redirect(state),
        Err(_) => Outcome::Undecided("not committed in time"),
    }
}

async fn decide(
    state: &rc::Rc<state::State>,
    order: evacuation::Order,
) -> Result<(), replica::CommandError> {
    let is_applied = || state.with(|inner| inner.machine.evacuated.is_applied(&order));
    if is_applied() {
        replica::read(state).await?;
        // A contrary order may have been applied meanwhile.
        if is_applied() {
            return Ok(());
        }
    }
    replica::propose(state, &state_machine::Command::Evacuate(order)).await?;
    Ok(())
}

/// Handles a change of the evacuated failure domains, which were `previous`, by the command or state
/// at a log index.
pub fn applied(
    state: &rc::Rc<state::State>,
    index: types::LogIndex,
    previous: &evacuation::Evacuations,
) {
    let orders = state.with(|inner| {
        let evacuated = &inner.machine.evacuated;
        inner.placement.set_evacuations(evacuated);
        let count = evacuated.iter().count();
        state
            .metrics
            .evacuated_domains
            .set(i64::try_from(count).unwrap_or(i64::MAX));
        evacuated.orders_since(previous)
    });
    for order in orders {
        if order.action == evacuation::Action::End {
            cold_targets::evacuation_ended(state, &order.failure_domain);
        }
        state.events.emit(
            event::Id::EvacuationChanged,
            &[
                ("domain", &order.failure_domain),
                ("action", &format!("{:?}", order.action)),
                ("index", &index),
            ],
        );
    }
}
