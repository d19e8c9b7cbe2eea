//! Transfer of commands, state and targets to VMs that lack them: requests, replies, and what a reply
//! changes.
//!
//! `catch_up` decides when a request is due and joins the parts of a state.

use std::{collections, rc, time};

use bytes::Bytes;
use rand::Rng;
use wagtailshunt_core::{catch_up, event, fleet as core_fleet, state_machine, types};
use wagtailshunt_wire::{
    self as wire, codec,
    generated::fleet::{self, fleet_message::Body as Fleet},
};

use crate::entry::{cold_targets, leader_sync, state, targets};

/// Largest state that is sent in one message, with the targets; leaves room for the envelope.
const MAX_WHOLE_STATE_BYTES: usize = codec::MAX_FRAME_BYTES - 1024;

/// Requests that a new leader gets at once. Each reply may list all targets; with 300 VMs and 3,000
/// targets, the replies held up the heartbeats of each new leader until the next election.
const MAX_REQUESTS_AT_ONCE: usize = 64;

/// Time over which each further request adds to the period in which VMs send them.
const TIME_PER_REQUEST: time::Duration = time::Duration::from_millis(20);

/// Requests the state from a VM if this VM has none, and if no other request is in progress.
pub fn request_first_state(state: &rc::Rc<state::State>, from: types::VmId) {
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

/// Requests what this VM lacks, with the index up to which it has applied commands and the digests
/// of the targets that it knows.
pub fn request_state(state: &rc::Rc<state::State>, from: types::VmId) {
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

/// Requests what this VM lacks from a leader that it did not know before. The leader's announcement
/// tells whether commands are missing, which are requested at once.
pub fn request_from_new_leader(state: &rc::Rc<state::State>, leader: types::VmId) {
    match delay_of_request(state) {
        None => request_state(state, leader),
        Some(delay) => request_later(state, delay),
    }
}

/// Requests the targets that this VM lacks or that have ended, as the leader's digest has shown.
pub fn request_targets(state: &rc::Rc<state::State>, leader: types::VmId) {
    match delay_of_request(state) {
        None => request_state_unless_pending(state, leader),
        Some(delay) => request_later(state, delay),
    }
}

/// Returns for how long this VM waits with a request that all VMs send at the same time. Where there
/// are many VMs, they distribute their requests over time.
fn delay_of_request(state: &state::State) -> Option<time::Duration> {
    let vms = state.with(|inner| inner.roster.vms().count());
    let beyond = u32::try_from(vms.saturating_sub(MAX_REQUESTS_AT_ONCE)).unwrap_or(u32::MAX);
    let share = state.rng.borrow_mut().random_range(0.0..1.0);
    (beyond > 0).then(|| (TIME_PER_REQUEST * beyond).mul_f64(share))
}

/// Requests the state from the leader of that time after a delay, unless a request is already scheduled.
fn request_later(state: &rc::Rc<state::State>, delay: time::Duration) {
    if state.with(|inner| std::mem::replace(&mut inner.request_scheduled, true)) {
        return;
    }
    let state = state.clone();
    compio::runtime::spawn(async move {
        compio::time::sleep(delay).await;
        state.with(|inner| inner.request_scheduled = false);
        let leader = state
            .reachable_leader()
            .filter(|leader| *leader != state.vm);
        if let Some(leader) = leader {
            request_state_unless_pending(&state, leader);
        }
    })
    .detach();
}

/// Requests what this VM lacks unless a reply may still come.
pub fn request_state_unless_pending(state: &rc::Rc<state::State>, from: types::VmId) {
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
    let now = state.clock.now();
    let (reports, complete_buckets) = state.with(|inner| {
        let differing = match core_fleet::Digests::from_slice(&subscribe.bucket_digests) {
            Some(digests) => inner.directory.digests().differing(&digests),
            None => (0..core_fleet::BUCKETS).collect(),
        };
        let known = differing.iter().flat_map(|i| inner.directory.in_bucket(*i));
        let reports = known.map(|known| cold_targets::encode_known(inner, now, known));
        let reports: Vec<fleet::TargetReport> = reports.collect();
        let complete_buckets = match leader_sync::knows_all_targets(state, inner) {
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
        forward_to: Vec::new(),
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
    let is_from_leader = leader.is_some_and(|(_, leader)| leader == from);
    if is_from_leader {
        targets::forward_list(state, &received);
    }
    // Targets alone may come from any VM, as single announcements do.
    let only_targets = received.applied == 0 && received.complete_buckets.is_empty();
    if !is_from_leader && !has_none && !only_targets {
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
    leader_sync::restore_snapshot(state, index, snapshot);
    apply_kept_commands(state);
}

/// Applies the commands that have arrived before the ones that they follow.
pub fn apply_kept_commands(state: &rc::Rc<state::State>) {
    loop {
        let next = state.with(|inner| {
            let applied = inner.applied;
            inner.catch_up.applied(applied);
            inner.catch_up.take_command(applied)
        });
        let Some((index, bytes)) = next else {
            return;
        };
        leader_sync::apply_command(state, index, &bytes);
    }
}
