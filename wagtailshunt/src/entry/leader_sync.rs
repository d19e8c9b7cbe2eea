//! Distribution of the replicated state from the leader to VMs that are not members of the group.
//!
//! Such a VM applies the commands that the leader sends, in the order of their index. When one is
//! missing, it requests what it lacks, see `catch_up`. Members apply the same commands from their own
//! log.
//!
//! The leader decides who is a member. A VM that was removed while it was away still finds itself in
//! the members of its own log, so every VM accepts what the leader sends: it is committed.
//!
//! Targets that join or end are sent to all VMs once. A VM that was not connected then finds the
//! difference by the digest in the leader's regular message, and requests the buckets of the
//! directory that differ.

use std::{collections, rc, time};

use bytes::Bytes;
use rand::Rng;
use wagtailshunt_core::{
    catch_up, event, fleet as core_fleet, replication, routing, state_machine, types,
};
use wagtailshunt_wire::{
    self as wire, codec,
    generated::fleet::{self, fleet_message::Body as Fleet},
};

use crate::entry::{replica, state, targets};

/// Largest state that is sent in one message, with the targets; leaves room for the envelope.
const MAX_WHOLE_STATE_BYTES: usize = codec::MAX_FRAME_BYTES - 1024;

/// Time after its election from which a leader knows all targets. Each announces itself at some VM
/// within its interval, and the VMs forward this to the leader every second.
const DIRECTORY_COMPLETE_AFTER: time::Duration = time::Duration::from_secs(6);

/// Starts the exchange of state with a newly connected VM. A leader announces itself. A VM without
/// a configuration requests the state of any VM, so that it can serve before there is a leader.
pub fn peer_connected(state: &rc::Rc<state::State>, to: types::VmId) {
    request_first_state(state, to);
    if let Some(leading) = leading_message(state) {
        state.peers.send_fleet(to, leading);
    }
}

/// Requests the state from a VM if this VM has none, and if no other request is in progress.
fn request_first_state(state: &rc::Rc<state::State>, from: types::VmId) {
    let now = state.clock.now();
    if state.with(|inner| inner.applied.0 == 0 && inner.catch_up.may_request(now)) {
        request_state(state, from);
    }
}

/// Returns whether this VM knows that it lacks commands and does not get them by replication.
fn lacks_state(state: &state::State, inner: &state::Inner) -> bool {
    let is_behind = inner.applied < inner.announced_applied || inner.catch_up.has_gap();
    inner.applied.0 == 0 || is_behind && !inner.is_member(state.vm)
}

/// Repeats a request whose reply is overdue at another connected VM, if this VM still lacks
/// something.
pub fn repeat_overdue_request(state: &rc::Rc<state::State>) {
    let now = state.clock.now();
    let is_due = state.with(|inner| {
        inner.encoded_states.expire(now);
        inner.catch_up.is_overdue(now) && lacks_state(state, inner)
    });
    let connected = state.peers.connected();
    if is_due && !connected.is_empty() {
        let index = state.rng.borrow_mut().random_range(0..connected.len());
        request_state(state, connected[index]);
    }
}

/// Returns whether this VM leads and has heard of all targets since it was elected.
fn knows_all_targets(state: &state::State, inner: &state::Inner) -> bool {
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
pub fn announce_leadership(state: &rc::Rc<state::State>) {
    if let Some(leading) = leading_message(state) {
        state.peers.broadcast(&leading, None);
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
        request_state(state, leader);
        targets::send_own_announcements(state, leader);
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
    let is_behind = state.with(|inner| {
        // A member may get the last commands a moment after the announcement.
        let due = match inner.is_member(state.vm) {
            true => inner.announced_applied,
            false => types::LogIndex(leading.applied),
        };
        inner.announced_applied = types::LogIndex(leading.applied);
        let lacks_commands = inner.applied < due;
        let digest = leading.directory_digest;
        lacks_commands || digest != 0 && digest != inner.directory.digests().total()
    });
    if is_behind {
        request_state_unless_pending(state, from);
    }
}

/// Requests what this VM lacks, with the index up to which it has applied commands and the digests
/// of the targets that it knows.
fn request_state(state: &rc::Rc<state::State>, from: types::VmId) {
    let digests = state.with(|inner| inner.directory.digests().as_slice().to_vec());
    send_request(state, from, digests);
}

/// Requests the next part of the state that is being received from a VM.
fn request_next_part(state: &rc::Rc<state::State>, from: types::VmId) {
    send_request(state, from, Vec::new());
}

fn send_request(state: &rc::Rc<state::State>, to: types::VmId, bucket_digests: Vec<u64>) {
    let now = state.clock.now();
    let subscribe = state.with(|inner| {
        let in_progress = inner.catch_up.requested(now, to);
        let (part_of, part_offset) = in_progress.unwrap_or_default();
        fleet::Subscribe {
            applied: inner.applied.0,
            bucket_digests,
            accepts_parts: true,
            part_of: part_of.0,
            part_offset,
        }
    });
    state.peers.send_fleet(to, Fleet::Subscribe(subscribe));
}

/// Requests what this VM lacks unless a reply may still come.
fn request_state_unless_pending(state: &rc::Rc<state::State>, from: types::VmId) {
    let now = state.clock.now();
    if state.with(|inner| inner.catch_up.may_request(now)) {
        request_state(state, from);
    }
}

/// What a VM gets in reply to its request, besides targets.
enum Missing {
    Nothing,
    /// The commands after the ones that it has applied.
    Commands(Vec<(types::LogIndex, Bytes)>),
    State(catch_up::EncodedState),
}

/// Handles a request for the state. A VM that does not lead sends no targets to VMs that have a
/// state.
pub fn state_requested(
    state: &rc::Rc<state::State>,
    from: types::VmId,
    subscribe: &fleet::Subscribe,
) {
    let applied = types::LogIndex(subscribe.applied);
    let (leads, has_newer) = state.with(|inner| (inner.is_leading(), inner.applied > applied));
    let may_help = has_newer && (applied.0 == 0 || subscribe.accepts_parts);
    if !leads && !may_help {
        return;
    }
    let missing = match missing_state(state, from, subscribe) {
        Ok(missing) => missing,
        Err(err) => {
            log::error!("cannot encode the state for VM {from}: {err}; request not answered");
            return;
        }
    };
    let wants_targets = subscribe.part_of == 0 || !subscribe.bucket_digests.is_empty();
    if wants_targets && (leads || applied.0 == 0) {
        send_targets(state, from, subscribe, &missing);
    }
    match missing {
        Missing::Nothing => {}
        Missing::Commands(commands) => send_commands(state, from, applied, commands),
        Missing::State(encoded) if subscribe.accepts_parts => {
            let continues = encoded.id.index.0 == subscribe.part_of;
            let offset = if continues { subscribe.part_offset } else { 0 };
            if offset == 0 {
                report_sent(
                    state,
                    from,
                    applied,
                    encoded.id.index,
                    encoded.data.len(),
                    "state",
                );
            }
            let part = wire::fleet::encode_state_part(encoded.part(offset));
            state.peers.send_fleet(from, Fleet::StatePart(part));
        }
        // The whole state was sent with the targets.
        Missing::State(_) => {}
    }
}

/// Returns what a VM lacks. Members get it by replication.
fn missing_state(
    state: &state::State,
    from: types::VmId,
    subscribe: &fleet::Subscribe,
) -> Result<Missing, state_machine::CodecError> {
    let now = state.clock.now();
    let applied = types::LogIndex(subscribe.applied);
    state.with(|inner| {
        if applied >= inner.applied || inner.is_member(from) {
            return Ok(Missing::Nothing);
        }
        if let Some(encoded) = inner
            .encoded_states
            .get(now, types::LogIndex(subscribe.part_of))
        {
            return Ok(Missing::State(encoded));
        }
        if inner.is_leading() && applied.0 > 0 {
            let node = inner.replica.as_ref().map(|replica| &replica.node);
            let limit = catch_up::MAX_COMMANDS_BYTES;
            let commands =
                node.and_then(|node| node.commands_between(applied, inner.applied, limit));
            if let Some(commands) = commands {
                return Ok(Missing::Commands(commands));
            }
        }
        let index = inner.applied;
        let kept = inner.encoded_states.get(now, index);
        let kept = kept.or_else(|| {
            let latest = inner.encoded_states.latest_if_full(now);
            latest.filter(|latest| latest.id.index > applied)
        });
        if let Some(encoded) = kept {
            return Ok(Missing::State(encoded));
        }
        let encoded = catch_up::EncodedState::new(index, inner.machine.snapshot()?);
        inner.encoded_states.insert(now, encoded.clone());
        Ok(Missing::State(encoded))
    })
}

/// Sends the targets that differ, and the whole state to a VM that does not accept it in parts.
fn send_targets(
    state: &state::State,
    to: types::VmId,
    subscribe: &fleet::Subscribe,
    missing: &Missing,
) {
    let (reports, complete_buckets) = state.with(|inner| {
        let differing = match core_fleet::Digests::from_slice(&subscribe.bucket_digests) {
            Some(digests) => inner.directory.digests().differing(&digests),
            None => (0..core_fleet::BUCKETS).collect(),
        };
        let known = differing.iter().flat_map(|i| inner.directory.in_bucket(*i));
        let reports = known.map(|known| wire::fleet::encode_announcement(&known.announcement));
        let reports: Vec<fleet::TargetReport> = reports.collect();
        let complete_buckets = match knows_all_targets(state, inner) {
            true => differing.iter().map(|i| *i as u32).collect(),
            false => Vec::new(),
        };
        (reports, complete_buckets)
    });
    let mut response = fleet::State {
        applied: 0,
        snapshot: Bytes::new(),
        reports,
        complete_buckets,
    };
    if let Missing::State(encoded) = missing
        && !subscribe.accepts_parts
    {
        let size = encoded.data.len() + prost::Message::encoded_len(&response);
        if size <= MAX_WHOLE_STATE_BYTES {
            response.applied = encoded.id.index.0;
            response.snapshot = encoded.data.clone();
            let applied = types::LogIndex(subscribe.applied);
            report_sent(
                state,
                to,
                applied,
                encoded.id.index,
                encoded.data.len(),
                "whole state",
            );
        } else {
            log::warn!(
                "state of {size} bytes does not fit into a message; VM {to} does not get it"
            );
        }
    }
    state.peers.send_fleet(to, Fleet::State(response));
}

fn send_commands(
    state: &state::State,
    to: types::VmId,
    applied: types::LogIndex,
    commands: Vec<(types::LogIndex, Bytes)>,
) {
    let bytes = commands.iter().map(|(_, command)| command.len()).sum();
    let last = commands.last().map_or(applied, |(index, _)| *index);
    report_sent(state, to, applied, last, bytes, "commands");
    let mut previous = applied;
    for (index, command) in commands {
        let command = fleet::Command {
            previous: previous.0,
            index: index.0,
            command,
        };
        previous = index;
        state.peers.send_fleet(to, Fleet::Command(command));
    }
}

fn report_sent(
    state: &state::State,
    to: types::VmId,
    after: types::LogIndex,
    index: types::LogIndex,
    bytes: usize,
    form: &'static str,
) {
    state.events.emit(
        event::Id::StateSent,
        &[
            ("to", &to),
            ("form", &form),
            ("after", &after),
            ("index", &index),
            ("bytes", &bytes),
        ],
    );
}

/// Handles a received state: installs it and its targets if it is from the leader or if this VM has
/// none. A target that cannot be decoded is skipped.
pub fn state_received(state: &rc::Rc<state::State>, from: types::VmId, received: fleet::State) {
    let (leader, has_none) = state.with(|inner| (inner.leader, inner.applied.0 == 0));
    if leader.is_none_or(|(_, leader)| leader != from) && !has_none {
        return;
    }
    let index = types::LogIndex(received.applied);
    if state.with(|inner| index > inner.applied) {
        install_received(state, from, index, &received.snapshot);
    }
    state.with(|inner| {
        if !lacks_state(state, inner) {
            inner.catch_up.replied(from);
        }
    });
    let mut listed = collections::BTreeSet::new();
    let mut announcements = Vec::new();
    for report in received.reports {
        match wire::fleet::decode_announcement(report) {
            Ok(announcement) => {
                listed.insert(core_fleet::incarnation_of(&announcement));
                announcements.push(announcement);
            }
            Err(err) => log::warn!("target in the state of VM {from} skipped: {err}"),
        }
    }
    targets::register_all(state, announcements, "received");
    targets::remove_unlisted(state, &received.complete_buckets, &listed);
}

/// Handles a part of a state: requests the next one, or installs the state. It contains only
/// committed commands, so it need not come from the leader.
pub fn state_part_received(state: &rc::Rc<state::State>, from: types::VmId, part: catch_up::Part) {
    let now = state.clock.now();
    let progress = state.with(|inner| {
        let applied = inner.applied;
        inner.catch_up.part_received(now, applied, from, part)
    });
    match progress {
        catch_up::Progress::Ignored => {}
        catch_up::Progress::Next => request_next_part(state, from),
        catch_up::Progress::Complete(index, data) => install_received(state, from, index, &data),
        catch_up::Progress::Rejected(reason) => {
            log::error!("state of VM {from} is not used: {reason}; it is requested again");
        }
    }
}

fn install_received(
    state: &rc::Rc<state::State>,
    from: types::VmId,
    index: types::LogIndex,
    snapshot: &Bytes,
) {
    state.events.emit(
        event::Id::StateReceived,
        &[
            ("from", &from),
            ("index", &index),
            ("bytes", &snapshot.len()),
        ],
    );
    restore_snapshot(state, index, snapshot);
    apply_kept_commands(state);
}

/// Applies the commands that have arrived before the ones that they follow.
fn apply_kept_commands(state: &rc::Rc<state::State>) {
    loop {
        let next = state.with(|inner| {
            let applied = inner.applied;
            inner.catch_up.applied(applied);
            inner.catch_up.take_command(applied)
        });
        let Some((index, bytes)) = next else {
            return;
        };
        apply_command(state, index, &bytes);
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
    state.with(|inner| {
        for deregistered in machine.deregistrations() {
            inner.directory.deregister(deregistered);
            // A later incarnation of the target may be registered.
            if inner.directory.get(&deregistered.target).is_none() {
                inner.placement.remove(&deregistered.target);
            }
        }
        inner.machine = machine;
        inner.applied = index;
        inner.routes = rc::Rc::new(routing::Index::new(inner.machine.table.items()));
    });
    configuration_applied(state, index, version);
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
    state.unsaved.configuration.set(true);
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
        request_state_unless_pending(state, from);
        return;
    }
    apply_command(state, index, &command.command);
    state.with(|inner| inner.catch_up.replied(from));
    apply_kept_commands(state);
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
        _ => {}
    }
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
    for vm in receivers {
        let command = fleet::Command {
            previous: previous.0,
            index: index.0,
            command: bytes.clone(),
        };
        state.peers.send_fleet(vm, Fleet::Command(command));
    }
}
