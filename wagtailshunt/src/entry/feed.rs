//! What the leader passes on: applied commands, announcements of targets, losses.
//!
//! A VM without a member of the log applies commands as the leader sends them, by index and only
//! upwards; a gap makes it ask for the whole state.

use std::{rc, time};

use bytes::Bytes;
use futures_channel::oneshot;
use wagtailshunt_core::{
    event, fleet as core_fleet, machine, placement, replication, routing, time as core_time, types,
};
use wagtailshunt_wire::{
    self as wire,
    generated::fleet::{self, fleet_message::Body as Fleet},
};

use crate::entry::{peers, replica, state};

/// Announcements that a target may miss before the leader takes it for lost, and the time that one
/// may be late.
const SILENT_ANNOUNCEMENTS: u32 = 3;
const ANNOUNCEMENT_DELAY: time::Duration = time::Duration::from_millis(2500);

/// Tells a new connection what it needs to follow this leader.
pub fn connected(state: &rc::Rc<state::State>, to: types::VmId) {
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
            inner.directory.hear_all(now);
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
            pass_own_reports(state, leader);
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

/// Sends the leader the targets that announce themselves here.
fn pass_own_reports(state: &rc::Rc<state::State>, leader: types::VmId) {
    let now = state.clock.now();
    let limit = silence_limit(state);
    let reports: Vec<core_fleet::Report> = state.with(|inner| {
        inner
            .heard_here
            .retain(|_, heard| now.since(*heard) < limit);
        let here = inner.heard_here.keys();
        let known = here.filter_map(|target| inner.directory.get(target));
        known.map(|known| known.report.clone()).collect()
    });
    for report in reports {
        let report = wire::fleet::encode_report(&report);
        state.peers.tell(leader, Fleet::Report(report));
    }
}

/// A VM wants the state of this leader.
pub fn subscribed(state: &rc::Rc<state::State>, from: types::VmId, applied: u64) {
    let answer = state.with(|inner| {
        let leads = inner
            .replica
            .as_ref()
            .is_some_and(replica::Replica::is_leading);
        if !leads {
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
        let reports = known.map(|known| wire::fleet::encode_report(&known.report));
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

/// Takes over the state of the leader.
pub fn state_received(
    state: &rc::Rc<state::State>,
    from: types::VmId,
    received: fleet::State,
) -> Result<(), wire::fleet::Error> {
    let leader = state.with(|inner| inner.leader);
    if leader.is_none_or(|(_, leader)| leader != from) {
        return Ok(());
    }
    let newer = state.with(|inner| received.applied > inner.applied.0);
    if newer {
        restore(state, types::LogIndex(received.applied), &received.snapshot);
    }
    for report in received.reports {
        observe(state, wire::fleet::decode_report(report)?);
    }
    Ok(())
}

/// Replaces the state by a snapshot.
pub fn restore(state: &rc::Rc<state::State>, index: types::LogIndex, data: &Bytes) {
    let machine = match machine::Machine::restore(data) {
        Ok(machine) => machine,
        Err(err) => {
            let fields: [(&'static str, &dyn std::fmt::Display); 2] =
                [("group", &replica::GROUP), ("reason", &err)];
            state.events.emit(event::Id::StorageFailed, &fields);
            state.fail();
            return;
        }
    };
    let version = machine.table.version();
    state.with(|inner| {
        for departure in machine.departures() {
            inner.directory.depart(departure);
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

/// Applies a command of the log and, as leader, passes it on.
pub fn apply(
    state: &rc::Rc<state::State>,
    index: types::LogIndex,
    bytes: &Bytes,
) -> Option<machine::Reply> {
    let command = match machine::Command::decode(bytes) {
        Ok(command) => command,
        Err(err) => {
            log::error!("command {index} cannot be applied: {err}; stopping");
            state.fail();
            return None;
        }
    };
    let (previous, reply) = state.with(|inner| {
        let reply = inner.machine.apply(&command);
        let previous = inner.applied;
        inner.applied = index;
        (previous, reply)
    });
    pass_command_on(state, previous, index, bytes);
    match (&command, &reply) {
        (machine::Command::Change(change), machine::Reply::Change(routing::Verdict::Accepted)) => {
            state.with(|inner| {
                inner.routes = rc::Rc::new(routing::Index::new(inner.machine.table.items()));
            });
            applied_configuration(state, index, change.version);
        }
        (machine::Command::Depart(departure), _) => departed(state, departure),
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
        let leads = inner
            .replica
            .as_ref()
            .is_some_and(replica::Replica::is_leading);
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

fn departed(state: &rc::Rc<state::State>, departure: &core_fleet::Departure) {
    let news = state.with(|inner| {
        let same = inner.directory.get(&departure.target);
        if same.is_none_or(|known| known.report.born <= departure.born) {
            inner.placement.remove(&departure.target);
        }
        inner.directory.depart(departure)
    });
    if news {
        state.targets_due.set(true);
        state.events.emit(
            event::Id::TargetDeparted,
            &[("target", &departure.target), ("born", &departure.born)],
        );
    }
}

/// Takes an announcement into the directory and the placement.
fn observe(state: &rc::Rc<state::State>, report: core_fleet::Report) -> core_fleet::Observed {
    let now = state.clock.now();
    let target = report.target.clone();
    let (observed, replaced) = state.with(|inner| {
        let before: Vec<types::TargetId> = inner
            .directory
            .targets()
            .filter(|known| known.report.address == report.address)
            .map(|known| known.report.target.clone())
            .collect();
        let observed = inner.directory.observe(now, report);
        let gone = before
            .into_iter()
            .filter(|id| inner.directory.get(id).is_none());
        let replaced: Vec<types::TargetId> = gone.collect();
        for id in &replaced {
            inner.placement.remove(id);
        }
        if observed != core_fleet::Observed::Stale
            && let Some(known) = inner.directory.get(&target)
        {
            inner.placement.add(now, &known.report);
        }
        (observed, replaced)
    });
    for id in replaced {
        let id: &dyn std::fmt::Display = &id;
        let reason: &dyn std::fmt::Display = &"address taken over";
        let fields = [("target", id), ("reason", reason)];
        state.events.emit(event::Id::TargetLeft, &fields);
    }
    if observed == core_fleet::Observed::Joined {
        let id: &dyn std::fmt::Display = &target;
        state
            .events
            .emit(event::Id::TargetJoined, &[("target", id)]);
        state.targets_due.set(true);
        state.changed();
    }
    observed
}

/// Takes over a target that was known before the restart.
pub fn recalled(state: &rc::Rc<state::State>, report: core_fleet::Report) {
    observe(state, report);
}

/// A target announced itself at this VM.
pub fn announced(state: &rc::Rc<state::State>, report: core_fleet::Report) {
    state.metrics.announcements.inc();
    let now = state.clock.now();
    let observed = observe(state, report.clone());
    if observed == core_fleet::Observed::Stale {
        return;
    }
    let leader = state.with(|inner| {
        inner.heard_here.insert(report.target.clone(), now);
        inner.leader
    });
    match leader {
        Some((_, leader)) if leader == state.vm => match observed {
            core_fleet::Observed::Joined => pass_report_on(state, &report, None),
            core_fleet::Observed::Renewed | core_fleet::Observed::Stale => {}
        },
        Some((_, leader)) => {
            let report = wire::fleet::encode_report(&report);
            state.peers.tell(leader, Fleet::Report(report));
        }
        None => {}
    }
}

/// Another VM passed an announcement on: to the leader from any VM, or from the leader to all.
pub fn report_received(
    state: &rc::Rc<state::State>,
    from: types::VmId,
    report: core_fleet::Report,
) {
    let observed = observe(state, report.clone());
    let leads = state.with(|inner| inner.leading_since.is_some());
    if leads && observed == core_fleet::Observed::Joined {
        pass_report_on(state, &report, Some(from));
    }
}

fn pass_report_on(state: &state::State, report: &core_fleet::Report, except: Option<types::VmId>) {
    let report = Fleet::Report(wire::fleet::encode_report(report));
    state.peers.tell_all(&report, except);
}

fn silence_limit(state: &state::State) -> time::Duration {
    state.cfg.limits.announce_interval * SILENT_ANNOUNCEMENTS + ANNOUNCEMENT_DELAY
}

/// As leader, removes targets that have gone silent everywhere.
pub fn expire(state: &rc::Rc<state::State>) {
    let now = state.clock.now();
    let limit = silence_limit(state);
    let silent = state.with(|inner| match inner.leading_since {
        Some(_) => inner.directory.silent(now, limit),
        None => Vec::new(),
    });
    for life in silent {
        gone_received(state, &life);
        let gone = Fleet::Gone(wire::fleet::encode_life(&life));
        state.peers.tell_all(&gone, None);
    }
}

/// A target has gone silent.
pub fn gone_received(state: &rc::Rc<state::State>, life: &core_fleet::Departure) {
    let removed = state.with(|inner| {
        let removed = inner.directory.remove(life);
        if removed {
            inner.placement.remove(&life.target);
        }
        removed
    });
    if removed {
        state.targets_due.set(true);
        let id: &dyn std::fmt::Display = &life.target;
        let reason: &dyn std::fmt::Display = &"no announcement";
        let fields = [("target", id), ("reason", reason)];
        state.events.emit(event::Id::TargetLeft, &fields);
    }
}

/// Returns the start of the life of a target that is known here; 0 when none is.
pub fn known_life(state: &state::State, target: &types::TargetId) -> core_time::UnixMillis {
    state.with(|inner| {
        let known = inner.directory.get(target);
        known.map_or(core_time::UnixMillis(0), |known| known.report.born)
    })
}

/// Ends a life of a target everywhere; returns whether that is certain.
pub async fn depart(state: &rc::Rc<state::State>, life: core_fleet::Departure) -> bool {
    departed(state, &life);
    let known = state.with(|inner| inner.machine.departures().any(|known| *known == life));
    if known {
        return true;
    }
    let leader = state.with(|inner| inner.leader.map(|(_, leader)| leader));
    match leader {
        None => false,
        Some(leader) if leader == state.vm => {
            let command = machine::Command::Depart(life);
            replica::propose(state, &command).await.is_ok()
        }
        Some(leader) => {
            let (tx, rx) = oneshot::channel();
            let request = state.expect_answer(tx);
            let body = peers::message(Fleet::Depart(wire::fleet::encode_life(&life)));
            if !state.peers.send(leader, request, body) {
                state.answered(request);
                return false;
            }
            let answer = compio::time::timeout(state.cfg.limits.order_limit, rx).await;
            let sure = matches!(answer, Ok(Ok(())));
            state.forget(request);
            sure
        }
    }
}

/// Another VM asks this leader to end a life of a target.
pub fn depart_requested(
    state: &rc::Rc<state::State>,
    from: types::VmId,
    request: u64,
    life: core_fleet::Departure,
) {
    let state = state.clone();
    compio::runtime::spawn(async move {
        let known = state.with(|inner| inner.machine.departures().any(|known| *known == life));
        let command = machine::Command::Depart(life);
        let sure = known || replica::propose(&state, &command).await.is_ok();
        if sure {
            let body = peers::message(Fleet::Departed(fleet::Departed {}));
            state.peers.send(from, request, body);
        }
    })
    .detach();
}

/// A VM of the same failure domain shared what it saw of targets.
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

/// Notes the load that a target reported to this VM, for itself and the others of its domain.
pub fn load_seen(
    state: &rc::Rc<state::State>,
    target: &types::TargetId,
    load: placement::LoadReport,
) {
    let now = state.clock.now();
    state.with(|inner| {
        inner.placement.reported(now, target, &load);
        inner.seen_loads.insert(target.clone(), (now, load));
    });
}

/// Sends the loads seen since the last time to the VMs of the same failure domain.
pub fn share_loads(state: &rc::Rc<state::State>) {
    let now = state.clock.now();
    let (loads, mates) = state.with(|inner| {
        let seen = std::mem::take(&mut inner.seen_loads);
        let loads: Vec<fleet::Load> = seen
            .iter()
            .map(|(target, (at, load))| wire::fleet::encode_load(target, load, now.since(*at)))
            .collect();
        (loads, inner.mates(&state.cfg.failure_domain))
    });
    if loads.is_empty() {
        return;
    }
    for vm in mates {
        let loads = fleet::Loads {
            loads: loads.clone(),
        };
        state.peers.tell(vm, Fleet::Loads(loads));
    }
}
