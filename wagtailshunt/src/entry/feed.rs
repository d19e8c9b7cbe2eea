//! What the leader passes on: applied commands and its whole state.
//!
//! A VM without a member of the log applies commands as the leader sends them, by index and only
//! upwards; a gap makes it ask for the whole state.

use std::rc;

use bytes::Bytes;
use wagtailshunt_core::{event, replication, routing, state_machine, types};
use wagtailshunt_wire::{
    self as wire,
    generated::fleet::{self, fleet_message::Body as Fleet},
};

use crate::entry::{replica, state, targets};

/// Tells a new connection what it needs to follow this leader. A VM that knows no configuration asks
/// whoever it meets, so that it can serve before there is a leader.
pub fn connected(state: &rc::Rc<state::State>, to: types::VmId) {
    if state.with(|inner| inner.applied.0 == 0) {
        subscribe(state, to);
    }
    if let Some(leading) = leading_message(state) {
        state.peers.tell(to, leading);
    }
}

fn leading_message(state: &state::State) -> Option<Fleet> {
    state.with(|inner| {
        let replica = inner
            .replica
            .as_ref()
            .filter(|replica| replica.is_leading())?;
        Some(Fleet::Leading(fleet::Leading {
            term: replica.node.term().0,
            applied: inner.applied.0,
        }))
    })
}

/// Repeats that this VM leads, so that a lost command is noticed.
pub fn repeat_leading(state: &rc::Rc<state::State>) {
    if let Some(leading) = leading_message(state) {
        state.peers.tell_all(&leading, None);
    }
}

/// Takes over a change of this VM's role.
pub fn role_changed(state: &rc::Rc<state::State>, role: replication::Role, term: types::Term) {
    let now = state.clock.now();
    let leader = state.with(|inner| {
        let leader = inner.replica.as_ref()?.node.leader();
        if role == replication::Role::Leader {
            inner.directory.reset_last_seen(now);
            inner.leading_since = Some(now);
        } else {
            inner.leading_since = None;
        }
        leader
    });
    state.events.emit(
        event::Id::RoleChanged,
        &[("group", &replica::GROUP), ("role", &role), ("term", &term)],
    );
    if let Some(leader) = leader {
        follow(state, leader, term);
    }
    if role == replication::Role::Leader {
        repeat_leading(state);
    }
}

/// Notes the leader; one of an earlier term is ignored. Returns whether it is followed.
fn follow(state: &rc::Rc<state::State>, leader: types::VmId, term: types::Term) -> bool {
    let news = state.with(|inner| {
        if inner.leader.is_some_and(|(known, _)| known > term) {
            return None;
        }
        let news = inner.leader != Some((term, leader));
        inner.leader = Some((term, leader));
        Some(news)
    });
    let Some(news) = news else {
        return false;
    };
    if news {
        let id = event::Id::LeaderKnown;
        state
            .events
            .emit(id, &[("leader", &leader), ("term", &term)]);
        if leader != state.vm {
            subscribe(state, leader);
            targets::pass_own_reports(state, leader);
        }
    }
    true
}

/// The sender says that it leads.
pub fn leading(state: &rc::Rc<state::State>, from: types::VmId, leading: &fleet::Leading) {
    if !follow(state, from, types::Term(leading.term)) {
        return;
    }
    let behind =
        state.with(|inner| !inner.is_member(state.vm) && inner.applied.0 < leading.applied);
    if behind {
        subscribe(state, from);
    }
}

fn subscribe(state: &rc::Rc<state::State>, leader: types::VmId) {
    let applied = state.with(|inner| inner.applied.0);
    let subscribe = fleet::Subscribe { applied };
    state.peers.tell(leader, Fleet::Subscribe(subscribe));
}

/// A VM wants the state of this leader, or any state when it has none.
pub fn subscribed(state: &rc::Rc<state::State>, from: types::VmId, applied: u64) {
    let answer = state.with(|inner| {
        let leads = inner.is_leading();
        if !leads && (applied > 0 || inner.applied.0 == 0) {
            return None;
        }
        let voter = inner.is_member(from);
        let snapshot = match inner.machine.snapshot() {
            Ok(snapshot) if applied < inner.applied.0 && !voter => snapshot,
            Ok(_) => Bytes::new(),
            Err(err) => {
                log::error!("snapshot failed: {err}");
                return None;
            }
        };
        let known = inner.directory.targets();
        let reports = known.map(|known| wire::fleet::encode_report(&known.announcement));
        Some(fleet::State {
            applied: if snapshot.is_empty() {
                0
            } else {
                inner.applied.0
            },
            snapshot,
            reports: reports.collect(),
        })
    });
    if let Some(answer) = answer {
        state.peers.tell(from, Fleet::State(answer));
    }
}

/// Takes over the state of the leader, or the first state that this VM gets from anyone.
pub fn state_received(
    state: &rc::Rc<state::State>,
    from: types::VmId,
    received: fleet::State,
) -> Result<(), wire::fleet::Error> {
    let (leader, first) = state.with(|inner| (inner.leader, inner.applied.0 == 0));
    if leader.is_none_or(|(_, leader)| leader != from) && !first {
        return Ok(());
    }
    let newer = state.with(|inner| received.applied > inner.applied.0);
    if newer {
        restore(state, types::LogIndex(received.applied), &received.snapshot);
    }
    for report in received.reports {
        targets::observe(state, wire::fleet::decode_report(report)?);
    }
    Ok(())
}

/// Replaces the state by a snapshot.
pub fn restore(state: &rc::Rc<state::State>, index: types::LogIndex, data: &Bytes) {
    let machine = match state_machine::StateMachine::restore(data) {
        Ok(machine) => machine,
        Err(err) => {
            let fields: [(&'static str, &dyn std::fmt::Display); 2] =
                [("group", &replica::GROUP), ("reason", &err)];
            state.events.emit(event::Id::StorageFailed, &fields);
            state.fail();
            return;
        }
    };
    take_over(state, index, machine);
}

/// Serves by a state from now on, unless a later one is in place.
pub fn take_over(
    state: &rc::Rc<state::State>,
    index: types::LogIndex,
    machine: state_machine::StateMachine,
) {
    if state.with(|inner| index <= inner.applied) {
        return;
    }
    let version = machine.table.version();
    state.with(|inner| {
        for departure in machine.deregistrations() {
            inner.directory.deregister(departure);
            inner.placement.remove(&departure.target);
        }
        inner.machine = machine;
        inner.applied = index;
        inner.routes = rc::Rc::new(routing::Index::new(inner.machine.table.items()));
    });
    applied_configuration(state, index, version);
}

fn applied_configuration(
    state: &rc::Rc<state::State>,
    index: types::LogIndex,
    version: routing::Version,
) {
    state.events.emit(
        event::Id::ConfigurationApplied,
        &[("version", &version), ("index", &index)],
    );
    state.due.configuration.set(true);
    state.changed();
}

/// The leader sent a command that it has applied.
pub fn command_received(state: &rc::Rc<state::State>, from: types::VmId, command: &fleet::Command) {
    let (applied, leader, voter) =
        state.with(|inner| (inner.applied, inner.leader, inner.is_member(state.vm)));
    let followed = leader.is_some_and(|(_, leader)| leader == from);
    if voter || !followed || command.index <= applied.0 {
        return;
    }
    if command.previous != applied.0 {
        subscribe(state, from);
        return;
    }
    apply(state, types::LogIndex(command.index), &command.command);
}

/// Applies a command of the log and, as leader, passes it on; `None` when it was applied before the
/// process was restarted.
pub fn apply(
    state: &rc::Rc<state::State>,
    index: types::LogIndex,
    bytes: &Bytes,
) -> Option<state_machine::Reply> {
    let command = match state_machine::Command::decode(bytes) {
        Ok(command) => command,
        Err(err) => {
            log::error!("command {index} cannot be applied: {err}; stopping");
            state.fail();
            return None;
        }
    };
    if state.with(|inner| index <= inner.applied) {
        return None;
    }
    let (previous, reply) = state.with(|inner| {
        let reply = inner.machine.apply(&command);
        let previous = inner.applied;
        inner.applied = index;
        (previous, reply)
    });
    pass_command_on(state, previous, index, bytes);
    match (&command, &reply) {
        (
            state_machine::Command::Change(change),
            state_machine::Reply::Change(routing::ChangeResult::Accepted),
        ) => {
            state.with(|inner| {
                inner.routes = rc::Rc::new(routing::Index::new(inner.machine.table.items()));
            });
            applied_configuration(state, index, change.version);
        }
        (state_machine::Command::Depart(departure), _) => {
            state.due.configuration.set(true);
            targets::departed(state, departure);
        }
        _ => {}
    }
    Some(reply)
}

fn pass_command_on(
    state: &state::State,
    previous: types::LogIndex,
    index: types::LogIndex,
    bytes: &Bytes,
) {
    let subscribers: Vec<types::VmId> = state.with(|inner| {
        let leads = inner.is_leading();
        let connected = if leads {
            state.peers.connected()
        } else {
            Vec::new()
        };
        let others = connected.into_iter().filter(|vm| !inner.is_member(*vm));
        others.collect()
    });
    for vm in subscribers {
        let command = fleet::Command {
            previous: previous.0,
            index: index.0,
            command: bytes.clone(),
        };
        state.peers.tell(vm, Fleet::Command(command));
    }
}
