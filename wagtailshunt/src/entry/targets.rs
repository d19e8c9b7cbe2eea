//! Targets known to this VM: announcements, deregistrations, expiry and reported loads.
//!
//! A VM forwards the announcements that it receives to the leader. The leader sends new targets to
//! all other VMs and removes targets that have stopped announcing themselves. Deregistrations are
//! replicated. Loads are sent only to the VMs of the same group.

use std::{collections, rc, time};

use futures_channel::oneshot;
use wagtailshunt_core::{
    event, fleet as core_fleet, placement, state_machine, time as core_time, types,
};
use wagtailshunt_wire::{
    self as wire,
    generated::fleet::{self, fleet_message::Body as Fleet},
};

use crate::entry::{cold_targets, peers, replica, state};

/// Announcement intervals without an announcement after which the leader removes a target.
const MISSED_ANNOUNCEMENTS: u32 = 3;

/// Delay of an announcement on its way to the leader that is tolerated in addition.
const MAX_ANNOUNCEMENT_DELAY: time::Duration = time::Duration::from_millis(2500);

/// Time for which targets that join are collected before the leader sends them to the other VMs.
/// While many targets start, a message for each of them and each VM would fill the send queues and
/// the processor of the leader: 300 VMs with 3,000 targets served nothing.
const TARGET_FORWARD_DELAY: time::Duration = time::Duration::from_millis(20);

/// Targets in one message to the other VMs, so that it fits in a frame.
const MAX_FORWARDED_TARGETS: usize = 1000;

/// Reports that the leader sends by itself for one list, summed over all VMs: about 1 MB, a tenth of
/// a second on a link of 100 Mbit/s. Behind more, its heartbeats could be later than an election timeout.
const MAX_DIRECT_REPORTS: usize = 10_000;

/// Time for which reported loads are collected before they are sent to the group.
const LOAD_SEND_DELAY: time::Duration = time::Duration::from_millis(20);

/// Sends the leader the targets that announce themselves at this VM.
pub fn send_own_announcements(state: &rc::Rc<state::State>, leader: types::VmId) {
    let now = state.clock.now();
    let limit = silence_timeout(state);
    let announcements: Vec<fleet::TargetReport> = state.with(|inner| {
        inner
            .announced_here
            .retain(|_, last_announced| now.since(*last_announced) < limit);
        let targets = inner.announced_here.keys();
        let known = targets.filter_map(|target| inner.directory.get(target));
        known
            .map(|known| cold_targets::encode_known(inner, now, known))
            .collect()
    });
    for announcement in announcements {
        state.peers.send_fleet(leader, Fleet::Report(announcement));
    }
}

/// Removes a target incarnation that has deregistered.
pub fn apply_deregistration(
    state: &rc::Rc<state::State>,
    deregistered: &core_fleet::TargetIncarnation,
) {
    let is_new = state.with(|inner| {
        let known = inner.directory.get(&deregistered.target);
        if known.is_none_or(|known| known.announcement.born <= deregistered.born) {
            inner.placement.remove(&deregistered.target);
        }
        inner.directory.deregister(deregistered)
    });
    let connections = (deregistered.target.clone(), deregistered.born);
    state.pool.remove(&connections);
    if is_new {
        state.unsaved.targets.set(true);
        state.events.emit(
            event::Id::TargetDeparted,
            &[
                ("target", &deregistered.target),
                ("born", &deregistered.born),
            ],
        );
    }
}

/// Adds or renews a target in the directory and the placement; removes the target whose address it
/// takes over. Logs a target that joins.
fn register(
    state: &rc::Rc<state::State>,
    announcement: core_fleet::Announcement,
) -> core_fleet::RegistrationResult {
    let target = announcement.target.clone();
    let result = register_quietly(state, announcement);
    if result == core_fleet::RegistrationResult::Joined {
        let id: &dyn std::fmt::Display = &target;
        state
            .events
            .emit(event::Id::TargetJoined, &[("target", id)]);
        state.update_readiness();
    }
    result
}

fn register_quietly(
    state: &rc::Rc<state::State>,
    announcement: core_fleet::Announcement,
) -> core_fleet::RegistrationResult {
    let now = state.clock.now();
    let target = announcement.target.clone();
    let (result, replaced) = state.with(|inner| {
        let holder = inner.directory.at_address(&announcement.address);
        let holder = holder.map(|known| known.announcement.target.clone());
        let result = inner.directory.register(now, announcement);
        let replaced = holder.filter(|id| inner.directory.get(id).is_none());
        if let Some(id) = &replaced {
            inner.placement.remove(id);
        }
        if result != core_fleet::RegistrationResult::Stale
            && let Some(known) = inner.directory.get(&target)
        {
            inner.placement.add(now, &known.announcement);
        }
        (result, replaced)
    });
    if let Some(id) = replaced {
        let id: &dyn std::fmt::Display = &id;
        let reason: &dyn std::fmt::Display = &"address taken over";
        let fields = [("target", id), ("reason", reason)];
        state.events.emit(event::Id::TargetLeft, &fields);
    }
    if result == core_fleet::RegistrationResult::Joined {
        state.unsaved.targets.set(true);
    }
    result
}

/// Adds targets from a list: stored before a restart, or received from another VM. Logs one line for
/// all of them, since a line for each would take longer than the rest of a start with many targets.
pub fn register_all(
    state: &rc::Rc<state::State>,
    announcements: Vec<core_fleet::Announcement>,
    source: &'static str,
) {
    let total = announcements.len();
    let mut joined = 0;
    for announcement in announcements {
        let result = register_quietly(state, announcement);
        joined += usize::from(result == core_fleet::RegistrationResult::Joined);
    }
    if joined > 0 {
        state.events.emit(
            event::Id::TargetsLearned,
            &[("joined", &joined), ("listed", &total), ("source", &source)],
        );
        state.update_readiness();
    }
}

/// Handles an announcement that a target sent to this VM.
pub fn announced(state: &rc::Rc<state::State>, announcement: core_fleet::Announcement) {
    state.metrics.announcements.inc();
    let now = state.clock.now();
    let result = register(state, announcement.clone());
    if result == core_fleet::RegistrationResult::Stale {
        return;
    }
    let leader = state.with(|inner| {
        inner
            .announced_here
            .insert(announcement.target.clone(), now);
        inner.leader
    });
    match leader {
        Some((_, leader)) if leader == state.vm => match result {
            core_fleet::RegistrationResult::Joined => forward_to_all(state, &announcement),
            core_fleet::RegistrationResult::Renewed | core_fleet::RegistrationResult::Stale => {}
        },
        Some((_, leader)) if result == core_fleet::RegistrationResult::Joined => {
            let encoded = wire::fleet::encode_announcement(&announcement);
            state.peers.send_fleet(leader, Fleet::Report(encoded));
        }
        Some(_) => state.with(|inner| {
            inner.unsent_renewals.insert(announcement.target.clone());
        }),
        None => {}
    }
    // After the announcement of a target that joins, so that the leader knows it.
    cold_targets::announced(state, &announcement);
}

/// Sends the leader the announcements that were renewed at this VM since the last call. The leader
/// needs them only to notice targets that have stopped announcing themselves.
pub fn send_renewals(state: &rc::Rc<state::State>) {
    let now = state.clock.now();
    let (leader, announcements) = state.with(|inner| {
        let renewed = std::mem::take(&mut inner.unsent_renewals);
        let known = renewed.iter().filter_map(|id| inner.directory.get(id));
        let announcements = known.map(|known| cold_targets::encode_known(inner, now, known));
        (inner.leader, announcements.collect::<Vec<_>>())
    });
    if let Some((_, leader)) = leader.filter(|(_, leader)| *leader != state.vm) {
        for announcement in announcements {
            state.peers.send_fleet(leader, Fleet::Report(announcement));
        }
    }
}

/// Handles an announcement forwarded by another VM: to the leader by any VM, or to all VMs by the
/// leader.
pub fn announcement_received(state: &rc::Rc<state::State>, announcement: core_fleet::Announcement) {
    if state.with(|inner| inner.leading_since.is_none()) {
        register(state, announcement);
        return;
    }
    // The VM that the target announces itself to has logged it.
    let result = register_quietly(state, announcement.clone());
    if result == core_fleet::RegistrationResult::Joined {
        forward_to_all(state, &announcement);
    }
}

/// Sends all VMs a target that has joined: at once, or with the others that join within
/// [`TARGET_FORWARD_DELAY`] after one that was sent at once.
fn forward_to_all(state: &rc::Rc<state::State>, announcement: &core_fleet::Announcement) {
    let report = wire::fleet::encode_announcement(announcement);
    let is_first = state.with(|inner| match &mut inner.unforwarded_targets {
        Some(collected) => {
            collected.push(report.clone());
            false
        }
        None => {
            inner.unforwarded_targets = Some(Vec::new());
            true
        }
    });
    if !is_first {
        return;
    }
    state.peers.broadcast(Fleet::Report(report), None);
    let state = state.clone();
    compio::runtime::spawn(async move {
        loop {
            compio::time::sleep(TARGET_FORWARD_DELAY).await;
            if !send_collected(&state) {
                state.with(|inner| inner.unforwarded_targets = None);
                return;
            }
        }
    })
    .detach();
}

/// Sends the targets that were collected; returns whether there were any. Called before reports about
/// targets are sent, which VMs ignore for a target that they don't know.
pub fn send_collected(state: &state::State) -> bool {
    let collected = state.with(|inner| inner.unforwarded_targets.as_mut().map(std::mem::take));
    let collected = collected.unwrap_or_default();
    for reports in collected.chunks(MAX_FORWARDED_TARGETS) {
        send_list(state, reports.to_vec());
    }
    !collected.is_empty()
}

/// Sends a list of targets that have joined to all VMs. If it is long for their number, the other
/// voters send it to a part of them each.
fn send_list(state: &state::State, reports: Vec<fleet::TargetReport>) {
    let connected = state.peers.connected();
    let is_short = reports.len() * connected.len() <= MAX_DIRECT_REPORTS;
    let mut list = fleet::State {
        reports,
        ..fleet::State::default()
    };
    let (voters, others): (Vec<types::VmId>, Vec<types::VmId>) =
        state.with(|inner| connected.iter().partition(|vm| inner.is_member(**vm)));
    if is_short || voters.is_empty() {
        state.peers.send_to_all(&connected, Fleet::State(list));
        return;
    }
    let part = |rank: usize| others.iter().skip(rank).step_by(voters.len() + 1);
    for (rank, voter) in voters.iter().enumerate() {
        list.forward_to = part(rank).map(|vm| vm.0).collect();
        state.peers.send_fleet(*voter, Fleet::State(list.clone()));
    }
    list.forward_to.clear();
    let own: Vec<types::VmId> = part(voters.len()).copied().collect();
    state.peers.send_to_all(&own, Fleet::State(list));
}

/// Passes on a list of targets from the leader to the VMs that it names.
pub fn forward_list(state: &state::State, received: &fleet::State) {
    let vms: Vec<types::VmId> = received
        .forward_to
        .iter()
        .copied()
        .map(types::VmId)
        .collect();
    if !vms.is_empty() {
        let list = fleet::State {
            reports: received.reports.clone(),
            ..fleet::State::default()
        };
        state.peers.send_to_all(&vms, Fleet::State(list));
    }
}

fn silence_timeout(state: &state::State) -> time::Duration {
    state.cfg.limits.announce_interval * MISSED_ANNOUNCEMENTS + MAX_ANNOUNCEMENT_DELAY
}

/// Removes targets without a recent announcement at any VM, when this VM leads, and reports them to
/// all VMs.
pub fn expire_silent(state: &rc::Rc<state::State>) {
    let now = state.clock.now();
    let limit = silence_timeout(state);
    let silent = state.with(|inner| match inner.leading_since {
        Some(_) => inner.directory.check_silent(now, limit),
        None => Vec::new(),
    });
    for incarnation in silent {
        remove_silent(state, &incarnation);
        let gone = Fleet::Gone(wire::fleet::encode_incarnation(&incarnation));
        state.peers.broadcast(gone, None);
    }
}

/// Handles the report of a target that has stopped announcing itself. Only the current leader hears
/// of all announcements, so the report of an earlier one is ignored.
pub fn expiry_received(
    state: &rc::Rc<state::State>,
    from: types::VmId,
    incarnation: &core_fleet::TargetIncarnation,
) {
    let leader = state.with(|inner| inner.leader.map(|(_, leader)| leader));
    if leader == Some(from) {
        remove_silent(state, incarnation);
    }
}

/// Removes a target that has stopped announcing itself. Calls that run on it go on.
fn remove_silent(state: &rc::Rc<state::State>, incarnation: &core_fleet::TargetIncarnation) {
    let removed = state.with(|inner| {
        let removed = inner.directory.remove(incarnation);
        if removed {
            inner.placement.remove(&incarnation.target);
        }
        removed
    });
    if removed {
        state.unsaved.targets.set(true);
        let id: &dyn std::fmt::Display = &incarnation.target;
        let reason: &dyn std::fmt::Display = &"no announcement";
        let fields = [("target", id), ("reason", reason)];
        state.events.emit(event::Id::TargetLeft, &fields);
    }
}

/// Removes the targets of some buckets of the directory that the leader does not list, unless they
/// announce themselves at this VM. They have ended while this VM was not connected to the leader.
pub fn remove_unlisted(
    state: &rc::Rc<state::State>,
    buckets: &[u32],
    listed: &collections::BTreeSet<core_fleet::TargetIncarnation>,
) {
    let now = state.clock.now();
    let limit = silence_timeout(state);
    let unlisted: Vec<core_fleet::TargetIncarnation> = state.with(|inner| {
        let known = buckets
            .iter()
            .flat_map(|i| inner.directory.in_bucket(*i as usize));
        let known = known.map(|known| core_fleet::incarnation_of(&known.announcement));
        let unlisted = known.filter(|known| !listed.contains(known));
        let announced_here = |known: &core_fleet::TargetIncarnation| {
            let last = inner.announced_here.get(&known.target);
            last.is_some_and(|last| now.since(*last) < limit)
        };
        unlisted.filter(|known| !announced_here(known)).collect()
    });
    for incarnation in &unlisted {
        remove_silent(state, incarnation);
    }
}

/// Returns the start of the known incarnation of a target; 0 when the target is not known.
pub fn known_born(state: &state::State, target: &types::TargetId) -> core_time::UnixMillis {
    state.with(|inner| {
        let known = inner.directory.get(target);
        known.map_or(core_time::UnixMillis(0), |known| known.announcement.born)
    })
}

/// Deregisters a target incarnation on all VMs; returns whether the deregistration is committed.
pub async fn deregister(
    state: &rc::Rc<state::State>,
    target: core_fleet::TargetIncarnation,
) -> bool {
    apply_deregistration(state, &target);
    let known = state.with(|inner| inner.machine.deregistrations().any(|each| *each == target));
    if known {
        return true;
    }
    let leader = state.with(|inner| inner.leader.map(|(_, leader)| leader));
    match leader {
        None => false,
        Some(leader) if leader == state.vm => {
            let command = state_machine::Command::Depart(target);
            replica::propose(state, &command).await.is_ok()
        }
        Some(leader) => {
            let (tx, rx) = oneshot::channel();
            let request = state.register_request(tx);
            let body = peers::fleet_body(Fleet::Depart(wire::fleet::encode_incarnation(&target)));
            if !state.peers.send(leader, request, body) {
                state.complete_request(request);
                return false;
            }
            let answer = compio::time::timeout(state.cfg.limits.change_timeout, rx).await;
            let is_committed = matches!(answer, Ok(Ok(())));
            state.cancel_request(request);
            is_committed
        }
    }
}

/// Handles another VM's request to deregister a target incarnation; answers once it is committed.
pub fn deregister_requested(
    state: &rc::Rc<state::State>,
    from: types::VmId,
    request: u64,
    target: core_fleet::TargetIncarnation,
) {
    let state = state.clone();
    compio::runtime::spawn(async move {
        let known = state.with(|inner| inner.machine.deregistrations().any(|each| *each == target));
        let command = state_machine::Command::Depart(target);
        let is_committed = known || replica::propose(&state, &command).await.is_ok();
        if is_committed {
            let body = peers::fleet_body(Fleet::Departed(fleet::Departed {}));
            state.peers.send(from, request, body);
        }
    })
    .detach();
}

/// Handles the loads that a VM of the same group received from targets.
pub fn loads_received(state: &rc::Rc<state::State>, loads: fleet::Loads) {
    let now = state.clock.now();
    state.with(|inner| {
        for load in loads.loads {
            let (target, load, age) = wire::fleet::decode_load(load);
            let at = core_time::Instant::saturating_sub(now, age);
            inner.placement.reported(at, &target, &load);
        }
    });
}

/// Records the load that a target reported to this VM, for its own use and for the VMs of its
/// group.
pub fn record_load(
    state: &rc::Rc<state::State>,
    target: &types::TargetId,
    load: placement::LoadReport,
) {
    let now = state.clock.now();
    let is_first = state.with(|inner| {
        inner.placement.reported(now, target, &load);
        let is_first = inner.unsent_loads.is_empty();
        inner.unsent_loads.insert(target.clone(), (now, load));
        is_first
    });
    if is_first {
        let state = state.clone();
        compio::runtime::spawn(async move {
            compio::time::sleep(LOAD_SEND_DELAY).await;
            send_loads(&state);
        })
        .detach();
    }
}

/// Sends the loads recorded since the last call to the VMs of the same group.
fn send_loads(state: &rc::Rc<state::State>) {
    let now = state.clock.now();
    let (loads, vms) = state.with(|inner| {
        let unsent = std::mem::take(&mut inner.unsent_loads);
        let loads: Vec<fleet::Load> = unsent
            .iter()
            .map(|(target, (at, load))| wire::fleet::encode_load(target, load, now.since(*at)))
            .collect();
        (loads, inner.group.clone())
    });
    for vm in vms {
        let loads = fleet::Loads {
            loads: loads.clone(),
        };
        state.peers.send_fleet(vm, Fleet::Loads(loads));
    }
}
