//! Orders of operators: changes of the configuration and reads of it.

use std::{net, rc};

use wagtailshunt_core::{event, routing, state_machine};

use crate::entry::{replica, state};

/// What became of an order.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome<T> {
    /// It was decided.
    Decided(T),
    /// The leader has to be asked.
    Redirect(net::SocketAddr),
    /// It can't be decided here and now; a change may or may not be applied later.
    Undecided(&'static str),
}

/// The configuration in place.
#[derive(Clone, Debug, PartialEq)]
pub struct Current {
    /// Its version; 0 when there is none yet.
    pub version: routing::Version,
    /// Its items.
    pub items: routing::ConfigItems,
}

fn redirect<T>(state: &state::State) -> Outcome<T> {
    let Some(leader) = state.reachable_leader() else {
        return Outcome::Undecided("no leader is known");
    };
    if leader == state.vm {
        return Outcome::Undecided("leadership is being taken up or given up");
    }
    let vm = state.with(|inner| inner.roster.get(leader).cloned());
    match vm {
        Some(vm) => Outcome::Redirect(vm.operator_address),
        None => Outcome::Undecided("the leader's address is not known"),
    }
}

/// Decides a change by the replicated log.
pub async fn submit(
    state: &rc::Rc<state::State>,
    change: routing::Change,
) -> Outcome<routing::ChangeResult> {
    if !state.is_leading() {
        return redirect(state);
    }
    let (base, version) = (change.base, change.version);
    let command = state_machine::Command::Change(Box::new(change));
    let outcome = match replica::propose(state, &command).await {
        Ok(state_machine::Reply::Change(verdict)) => Outcome::Decided(verdict),
        Ok(state_machine::Reply::Deregistered) => Outcome::Undecided("unexpected result"),
        Err(replica::CommandError::Encode) => {
            Outcome::Decided(routing::ChangeResult::Invalid(Vec::new()))
        }
        Err(replica::CommandError::Refused(_)) => redirect(state),
        Err(replica::CommandError::Unknown) => Outcome::Undecided("not committed in time"),
    };
    state.events.emit(
        event::Id::OrderDecided,
        &[
            ("base", &base),
            ("version", &version),
            ("outcome", &format!("{outcome:?}")),
        ],
    );
    outcome
}

/// Reads the configuration so that no acknowledged change is missed.
pub async fn read(state: &rc::Rc<state::State>) -> Outcome<Current> {
    if !state.is_leading() {
        return redirect(state);
    }
    match replica::read(state).await {
        Ok(()) => Outcome::Decided(state.with(|inner| Current {
            version: inner.machine.table.version(),
            items: inner.machine.table.items().clone(),
        })),
        Err(replica::CommandError::Refused(_)) => redirect(state),
        Err(_) => Outcome::Undecided("leadership not confirmed in time"),
    }
}
