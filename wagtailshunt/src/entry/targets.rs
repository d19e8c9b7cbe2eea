//! What VMs tell each other of targets: announcements, losses, departures, loads.
//!
//! A VM passes announcements on to the leader, which tells all others what is new and which targets have
//! gone silent everywhere. Loads are shared within a failure domain only.

use std::{rc, time};

use futures_channel::oneshot;
use wagtailshunt_core::{
    event, fleet as core_fleet, placement, state_machine, time as core_time, types,
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

/// Sends the leader the targets that announce themselves here.
pub fn pass_own_reports(state: &rc::Rc<state::State>, leader: types::VmId) {
    let now = state.clock.now();
    let limit = silence_limit(state);
    let reports: Vec<core_fleet::Announcement> = state.with(|inner| {
        inner
            .heard_here
            .retain(|_, heard| now.since(*heard) < limit);
        let here = inner.heard_here.keys();
        let known = here.filter_map(|target| inner.directory.get(target));
        known.map(|known| known.announcement.clone()).collect()
    });
    for report in reports {
        let report = wire::fleet::encode_report(&report);
        state.peers.tell(leader, Fleet::Report(report));
    }
}

/// Applies a departure to what this VM believes.
pub fn departed(state: &rc::Rc<state::State>, departure: &core_fleet::TargetIncarnation) {
    let news = state.with(|inner| {
        let same = inner.directory.get(&departure.target);
        if same.is_none_or(|known| known.announcement.born <= departure.born) {
            inner.placement.remove(&departure.target);
        }
        inner.directory.deregister(departure)
    });
    if news {
        state.due.targets.set(true);
        state.events.emit(
            event::Id::TargetDeparted,
            &[("target", &departure.target), ("born", &departure.born)],
        );
    }
}

/// Takes an announcement into the directory and the placement.
pub fn observe(
    state: &rc::Rc<state::State>,
    report: core_fleet::Announcement,
) -> core_fleet::RegistrationResult {
    let now = state.clock.now();
    let target = report.target.clone();
    let (observed, replaced) = state.with(|inner| {
        let before: Vec<types::TargetId> = inner
            .directory
            .targets()
            .filter(|known| known.announcement.address == report.address)
            .map(|known| known.announcement.target.clone())
            .collect();
        let observed = inner.directory.register(now, report);
        let gone = before
            .into_iter()
            .filter(|id| inner.directory.get(id).is_none());
        let replaced: Vec<types::TargetId> = gone.collect();
        for id in &replaced {
            inner.placement.remove(id);
        }
        if observed != core_fleet::RegistrationResult::Stale
            && let Some(known) = inner.directory.get(&target)
        {
            inner.placement.add(now, &known.announcement);
        }
        (observed, replaced)
    });
    for id in replaced {
        let id: &dyn std::fmt::Display = &id;
        let reason: &dyn std::fmt::Display = &"address taken over";
        let fields = [("target", id), ("reason", reason)];
        state.events.emit(event::Id::TargetLeft, &fields);
    }
    if observed == core_fleet::RegistrationResult::Joined {
        let id: &dyn std::fmt::Display = &target;
        state
            .events
            .emit(event::Id::TargetJoined, &[("target", id)]);
        state.due.targets.set(true);
        state.changed();
    }
    observed
}

/// Takes over a target that was known before the restart.
pub fn recalled(state: &rc::Rc<state::State>, report: core_fleet::Announcement) {
    observe(state, report);
}

/// A target announced itself at this VM.
pub fn announced(state: &rc::Rc<state::State>, report: core_fleet::Announcement) {
    state.metrics.announcements.inc();
    let now = state.clock.now();
    let observed = observe(state, report.clone());
    if observed == core_fleet::RegistrationResult::Stale {
        return;
    }
    let leader = state.with(|inner| {
        inner.heard_here.insert(report.target.clone(), now);
        inner.leader
    });
    match leader {
        Some((_, leader)) if leader == state.vm => match observed {
            core_fleet::RegistrationResult::Joined => pass_report_on(state, &report, None),
            core_fleet::RegistrationResult::Renewed | core_fleet::RegistrationResult::Stale => {}
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
    report: core_fleet::Announcement,
) {
    let observed = observe(state, report.clone());
    let leads = state.with(|inner| inner.leading_since.is_some());
    if leads && observed == core_fleet::RegistrationResult::Joined {
        pass_report_on(state, &report, Some(from));
    }
}

fn pass_report_on(
    state: &state::State,
    report: &core_fleet::Announcement,
    except: Option<types::VmId>,
) {
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
pub fn gone_received(state: &rc::Rc<state::State>, life: &core_fleet::TargetIncarnation) {
    let removed = state.with(|inner| {
        let removed = inner.directory.remove(life);
        if removed {
            inner.placement.remove(&life.target);
        }
        removed
    });
    if removed {
        state.due.targets.set(true);
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
        known.map_or(core_time::UnixMillis(0), |known| known.announcement.born)
    })
}

/// Ends a life of a target everywhere; returns whether that is certain.
pub async fn depart(state: &rc::Rc<state::State>, life: core_fleet::TargetIncarnation) -> bool {
    departed(state, &life);
    let known = state.with(|inner| inner.machine.deregistrations().any(|known| *known == life));
    if known {
        return true;
    }
    let leader = state.with(|inner| inner.leader.map(|(_, leader)| leader));
    match leader {
        None => false,
        Some(leader) if leader == state.vm => {
            let command = state_machine::Command::Depart(life);
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
    life: core_fleet::TargetIncarnation,
) {
    let state = state.clone();
    compio::runtime::spawn(async move {
        let known = state.with(|inner| inner.machine.deregistrations().any(|known| *known == life));
        let command = state_machine::Command::Depart(life);
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
