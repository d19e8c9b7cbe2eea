//! Distribution of the replicated state from the leader to VMs that are not members of the group.
//!
//! Such a VM applies the commands that the leader sends, in the order of their index. When one is
//! missing, it requests what it lacks (`state_transfer`). Members apply the same commands from their
//! own log.
//!
//! The leader decides who is a member. A VM that was removed while it was away still finds itself in
//! the members of its own log, so every VM accepts what the leader sends: it is committed.
//!
//! Targets that join or end are sent to all VMs once. A VM that was not connected then finds the
//! difference by the digest in the leader's regular message, and requests the buckets of the
//! directory that differ.

use std::{rc, time};

use bytes::Bytes;
use wagtailshunt_core::{event, replication, routing, state_machine, types};
use wagtailshunt_wire::generated::fleet::{self, fleet_message::Body as Fleet};

use crate::entry::{
    allowance, cold_targets, evacuation, key_lease, replica, state, state_transfer, targets,
};

/// Time after its election from which a leader knows all targets. Each announces itself at some VM
/// within its interval, and the VMs forward this to the leader every second.
const DIRECTORY_COMPLETE_AFTER: time::Duration = time::Duration::from_secs(6);

/// Starts the exchange of state with a newly connected VM. A leader announces itself. A VM without
/// a configuration requests the state of any VM, so that it can serve before there is a leader.
pub fn peer_connected(state: &rc::Rc<state::State>, to: types::VmId) {
    state_transfer::request_first_state(state, to);
    if state.reachable_leader() == Some(to) {
        key_lease::leader_changed(state);
    }
    if let Some(leading) = leading_message(state) {
        state.peers.send_fleet(to, leading);
    }
    cold_targets::peer_connected(state, to);
}

/// Returns whether this VM leads and has heard of all targets since it was elected.
pub fn knows_all_targets(state: &state::State, inner: &state::Inner) -> bool {
    let now = state.clock.now();
    let led_since = inner.leading_since.filter(|_| inner.is_leading());
    led_since.is_some_and(|since| now.since(since) >= DIRECTORY_COMPLETE_AFTER)
}

fn leading_message(state: &state::State) -> Option<Fleet> {
    state.with(|inner| {
        let directory_digest = match knows_all_targets(state, inner) {
            true => inner.directory.digests().total(),
            false => 0,
        };
        let replica = inner
            .replica
            .as_ref()
            .filter(|replica| replica.is_leading())?;
        Some(Fleet::Leading(fleet::Leading {
            term: replica.node.term().0,
            applied: inner.applied.0,
            directory_digest,
        }))
    })
}

/// Sends all VMs the term and applied index of this leader, so that they notice missing commands.
/// Targets that were collected go first, since the digest includes them.
pub fn announce_leadership(state: &rc::Rc<state::State>) {
    targets::send_collected(state);
    if let Some(leading) = leading_message(state) {
        state.peers.broadcast(leading, None);
    }
}

/// Handles a change of this VM's role in the group.
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
    allowance::role_changed(state, role == replication::Role::Leader);
    state.events.emit(
        event::Id::RoleChanged,
        &[("group", &replica::GROUP), ("role", &role), ("term", &term)],
    );
    if let Some(leader) = leader {
        accept_leader(state, leader, term);
    }
    if role == replication::Role::Leader {
        announce_leadership(state);
    }
}

/// Records the leader unless one of a later term is known; returns whether it is recorded.
fn accept_leader(state: &rc::Rc<state::State>, leader: types::VmId, term: types::Term) -> bool {
    let now = state.clock.now();
    let accepted = state.with(|inner| {
        if inner.leader.is_some_and(|(known, _)| known > term) {
            return None;
        }
        let is_new = inner.leader != Some((term, leader));
        inner.leader = Some((term, leader));
        let ends_loss = match inner.voting_node(state.vm).map(replication::Node::leader) {
            Some(Some(_)) => inner.leader_watch.leader_known(),
            // A voter follows a leader only once its node does.
            Some(None) => false,
            None => inner.leader_watch.leader_announced(now),
        };
        Some((is_new, ends_loss))
    });
    let Some((is_new, ends_loss)) = accepted else {
        return false;
    };
    if is_new || ends_loss {
        report_leader(state, leader, term);
    }
    if is_new && leader != state.vm {
        state_transfer::request_from_new_leader(state, leader);
        targets::send_own_announcements(state, leader);
        allowance::ask(state);
        cold_targets::send_held(state, leader);
    }
    if is_new {
        key_lease::leader_changed(state);
    }
    true
}

fn report_leader(state: &state::State, leader: types::VmId, term: types::Term) {
    state.events.emit(
        event::Id::LeaderKnown,
        &[("leader", &leader), ("term", &term)],
    );
}

/// Reports once when this VM has known no leader for [`formation::LEADER_LOST_AFTER`].
///
/// [`formation::LEADER_LOST_AFTER`]: wagtailshunt_core::formation::LEADER_LOST_AFTER
pub fn watch_leader(state: &state::State) {
    let now = state.clock.now();
    let (is_lost, found) = state.with(|inner| {
        let node = inner.voting_node(state.vm);
        let known = node.and_then(|node| Some((node.leader()?, node.term())));
        if known.is_none() {
            return (inner.leader_watch.leader_missing(now), None);
        }
        let ends_loss = inner.leader_watch.leader_known();
        (false, known.filter(|_| ends_loss))
    });
    if let Some((leader, term)) = found {
        report_leader(state, leader, term);
    }
    if is_lost {
        report_leader_lost(state);
    }
}

fn report_leader_lost(state: &state::State) {
    let voters = state.voters();
    let is_connected = |vm: &types::VmId| *vm == state.vm || state.peers.is_connected(*vm);
    let connected: Vec<types::VmId> = voters.iter().copied().filter(is_connected).collect();
    let (applied, version) = state.with(|inner| (inner.applied, inner.machine.table.version()));
    state.events.emit(
        event::Id::LeaderUnknown,
        &[
            ("voters", &format!("{voters:?}")),
            ("connected", &format!("{connected:?}")),
            ("applied", &applied),
            ("version", &version),
        ],
    );
}

/// Handles the announcement of a leader; requests its state when this VM is behind.
pub fn leadership_received(
    state: &rc::Rc<state::State>,
    from: types::VmId,
    leading: &fleet::Leading,
) {
    if !accept_leader(state, from, types::Term(leading.term)) {
        return;
    }
    let (lacks_commands, lacks_targets) = state.with(|inner| {
        // A member may get the last commands a moment after the announcement.
        let due = match inner.is_member(state.vm) {
            true => inner.announced_applied,
            false => types::LogIndex(leading.applied),
        };
        inner.announced_applied = types::LogIndex(leading.applied);
        let lacks_commands = inner.applied < due;
        let digest = leading.directory_digest;
        let differs = digest != 0 && digest != inner.directory.digests().total();
        (lacks_commands, differs)
    });
    if lacks_commands {
        state_transfer::request_state_unless_pending(state, from);
    } else if lacks_targets {
        state_transfer::request_targets(state, from);
    }
}

/// Replaces the state by a snapshot; ends the process when the snapshot cannot be decoded.
pub fn restore_snapshot(state: &rc::Rc<state::State>, index: types::LogIndex, data: &Bytes) {
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
    install_state(state, index, machine);
}

/// Replaces the state unless the current one has the same or a later index.
pub fn install_state(
    state: &rc::Rc<state::State>,
    index: types::LogIndex,
    machine: state_machine::StateMachine,
) {
    if state.with(|inner| index <= inner.applied) {
        return;
    }
    let version = machine.table.version();
    let previous = state.with(|inner| {
        for deregistered in machine.deregistrations() {
            inner.directory.deregister(deregistered);
            // A later incarnation of the target may be registered.
            if inner.directory.get(&deregistered.target).is_none() {
                inner.placement.remove(&deregistered.target);
            }
        }
        let previous = std::mem::replace(&mut inner.machine, machine);
        inner.applied = index;
        inner.routes = rc::Rc::new(routing::Index::new(inner.machine.table.items()));
        previous
    });
    evacuation::applied(state, index, &previous.evacuated);
    configuration_applied(state, index, version);
    key_lease::applied(state);
}

/// Reports an applied configuration and schedules it to be stored.
fn configuration_applied(
    state: &rc::Rc<state::State>,
    index: types::LogIndex,
    version: routing::Version,
) {
    state.events.emit(
        event::Id::ConfigurationApplied,
        &[("version", &version), ("index", &index)],
    );
    cold_targets::configuration_changed(state);
    state.unsaved.configuration.set(true);
    allowance::configured(state);
    state.update_readiness();
}

/// Handles a command that the leader has applied. The leader sends none to members.
pub fn command_received(state: &rc::Rc<state::State>, from: types::VmId, command: &fleet::Command) {
    let (applied, leader) = state.with(|inner| (inner.applied, inner.leader));
    let is_from_leader = leader.is_some_and(|(_, leader)| leader == from);
    if !is_from_leader || command.index <= applied.0 {
        return;
    }
    let (previous, index) = (
        types::LogIndex(command.previous),
        types::LogIndex(command.index),
    );
    if previous != applied {
        let bytes = command.command.clone();
        state.with(|inner| inner.catch_up.keep_command(previous, index, bytes));
        state_transfer::request_state_unless_pending(state, from);
        return;
    }
    apply_command(state, index, &command.command);
    state.with(|inner| inner.catch_up.replied(from));
    state_transfer::apply_kept_commands(state);
}

/// Applies a command of the log and, on the leader, forwards it to VMs that are not members.
/// Returns `None` when the command was applied before or cannot be decoded.
pub fn apply_command(
    state: &rc::Rc<state::State>,
    index: types::LogIndex,
    bytes: &Bytes,
) -> Option<state_machine::Reply> {
    let command = match state_machine::Command::decode(bytes) {
        Ok(command) => command,
        Err(err) => {
            log::error!("cannot decode command {index} of the log: {err}; ending the process");
            state.fail();
            return None;
        }
    };
    if state.with(|inner| index <= inner.applied) {
        return None;
    }
    let evacuated = state.with(|inner| inner.machine.evacuated.clone());
    let (previous, reply) = state.with(|inner| {
        let reply = inner.machine.apply(&command);
        let previous = inner.applied;
        inner.applied = index;
        (previous, reply)
    });
    forward_command(state, previous, index, bytes);
    match (&command, &reply) {
        (
            state_machine::Command::Change(change),
            state_machine::Reply::Change(routing::ChangeResult::Accepted),
        ) => {
            state.with(|inner| {
                inner.routes = rc::Rc::new(routing::Index::new(inner.machine.table.items()));
            });
            configuration_applied(state, index, change.version);
        }
        (state_machine::Command::Depart(deregistered), _) => {
            state.unsaved.configuration.set(true);
            targets::apply_deregistration(state, deregistered);
        }
        (state_machine::Command::Evacuate(_), _) => {
            state.unsaved.configuration.set(true);
            evacuation::applied(state, index, &evacuated);
        }
        _ => {}
    }
    key_lease::applied(state);
    Some(reply)
}

fn forward_command(
    state: &state::State,
    previous: types::LogIndex,
    index: types::LogIndex,
    bytes: &Bytes,
) {
    let receivers: Vec<types::VmId> = state.with(|inner| {
        let leads = inner.is_leading();
        let connected = if leads {
            state.peers.connected()
        } else {
            Vec::new()
        };
        let not_members = connected.into_iter().filter(|vm| !inner.is_member(*vm));
        not_members.collect()
    });
    let command = fleet::Command {
        previous: previous.0,
        index: index.0,
        command: bytes.clone(),
    };
    state.peers.send_to_all(&receivers, Fleet::Command(command));
}
