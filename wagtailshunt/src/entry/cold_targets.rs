//! Cold targets: reports to all VMs through the leader, and tokens that VMs lend each other.
//!
//! `core::warmup` decides who may send calls to them. Without a service that limits calls to its cold
//! targets, nothing is sent.

use std::{rc, time};

use futures_channel::oneshot;
use rand::seq::IteratorRandom;
use wagtailshunt_core::{event, fleet as core_fleet, time as core_time, types, warmup};
use wagtailshunt_wire::{
    self as wire,
    generated::fleet::{self, fleet_message::Body as Fleet},
};

use crate::entry::{peers, state, targets};

/// Longest time that a call waits for a token of another VM: two round trips between failure domains
/// and the time to handle the messages.
const TOKEN_TIMEOUT: time::Duration = time::Duration::from_millis(30);

// A token that arrives in time is still valid.
const _: () = assert!(TOKEN_TIMEOUT.as_millis() < warmup::LENT_TOKEN_VALIDITY.as_millis());

/// Takes over the limits from the configuration.
pub fn configuration_changed(state: &state::State) {
    let limits = &state.cfg.limits;
    state.with(|inner| {
        let services = &inner.machine.table.items().services;
        let rates = services.iter().filter_map(|(name, service)| {
            let limit = service.warmup.as_ref()?;
            let rate = warmup::Rate::new(limit, limits.warmup_overage, limits.warmup_slack);
            Some((types::ServiceName(name.clone()), rate))
        });
        inner.placement.cold.set_rates(rates.collect());
    });
}

/// Handles an announcement that a target sent to this VM.
pub fn announced(state: &rc::Rc<state::State>, announcement: &core_fleet::Announcement) {
    let now = state.clock.now();
    let report = state.with(|inner| inner.placement.cold.announced(now, announcement));
    report_all(state, report);
}

/// Handles the remaining time that a target states in a health response.
pub fn health_received(
    state: &rc::Rc<state::State>,
    target: &types::TargetId,
    left: time::Duration,
) {
    let now = state.clock.now();
    let report = state.with(|inner| inner.placement.cold.health(now, target, left));
    report_all(state, report);
}

/// Handles the end of the evacuation of a failure domain: its targets may have become cold.
pub fn evacuation_ended(state: &state::State, domain: &types::FailureDomain) {
    let now = state.clock.now();
    let assumed = state.with(|inner| inner.placement.cold.assume_cold(now, domain));
    if assumed > 0 {
        state.events.emit(
            event::Id::ColdTargetsAssumed,
            &[("domain", domain), ("targets", &assumed)],
        );
    }
}

/// Tells all VMs that a target is cold, through the leader.
fn report_all(state: &rc::Rc<state::State>, report: Option<warmup::Report>) {
    let Some(report) = report else {
        return;
    };
    state.events.emit(
        event::Id::ColdTargetReported,
        &[
            ("target", &report.incarnation.target),
            ("left_ms", &report.left.as_millis()),
            ("here", &(report.holder == Some(state.vm))),
        ],
    );
    let message = Fleet::ColdTargets(wire::fleet::encode_cold_targets(&[report]));
    match state.with(|inner| inner.leader) {
        Some((_, leader)) if leader == state.vm => {
            targets::send_collected(state);
            state.peers.broadcast(message, None);
        }
        Some((_, leader)) => {
            state.peers.send_fleet(leader, message);
        }
        None => {}
    }
}

/// Handles reports of cold targets: to the leader by any VM, or to all VMs by the leader, which
/// passes on what is new to it.
pub fn reports_received(
    state: &rc::Rc<state::State>,
    from: types::VmId,
    reports: Vec<warmup::Report>,
) {
    let now = state.clock.now();
    let (news, leads) = state.with(|inner| {
        let cold = &mut inner.placement.cold;
        let news: Vec<warmup::Report> = reports
            .into_iter()
            .filter(|report| cold.reported(now, report))
            .collect();
        (news, inner.is_leading())
    });
    if leads && !news.is_empty() {
        let message = Fleet::ColdTargets(wire::fleet::encode_cold_targets(&news));
        targets::send_collected(state);
        state.peers.broadcast(message, Some(from));
    }
}

/// Sends a VM that has just connected what it may have missed: as leader all cold targets, to the
/// leader those that announce themselves here.
pub fn peer_connected(state: &state::State, to: types::VmId) {
    let now = state.clock.now();
    let (reports, leader) = state.with(|inner| {
        let cold = &inner.placement.cold;
        let reports = match inner.is_leading() {
            true => cold.reports(now),
            false => Vec::new(),
        };
        (reports, inner.leader.map(|(_, leader)| leader))
    });
    send(state, to, &reports);
    if leader == Some(to) {
        send_held(state, to);
    }
}

/// Sends the leader the cold targets that announce themselves here; a report to an earlier leader may
/// be lost.
pub fn send_held(state: &state::State, leader: types::VmId) {
    let now = state.clock.now();
    let reports = state.with(|inner| inner.placement.cold.held_reports(now));
    send(state, leader, &reports);
}

fn send(state: &state::State, to: types::VmId, reports: &[warmup::Report]) {
    if !reports.is_empty() {
        let message = wire::fleet::encode_cold_targets(reports);
        state.peers.send_fleet(to, Fleet::ColdTargets(message));
    }
}

/// Encodes the last announcement of a known target with the time for which it is still cold.
pub fn encode_known(
    inner: &state::Inner,
    now: core_time::Instant,
    known: &core_fleet::TargetEntry,
) -> fleet::TargetReport {
    let announcement = &known.announcement;
    let mut encoded = wire::fleet::encode_announcement(announcement);
    let cold = &inner.placement.cold;
    if cold.limits(&announcement.service) {
        let left = cold.left(now, &announcement.target);
        encoded.warmup_left_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
    }
    encoded
}

/// Requests a token for a call to a cold target from the VM that holds it, through a VM with a disk if
/// there is no connection to it; returns whether it came in time. Builds before this one do not
/// answer.
pub async fn request_token(
    state: &rc::Rc<state::State>,
    holder: types::VmId,
    target: &types::TargetId,
) -> bool {
    let via = match state.peers.is_connected(holder) {
        true => Some(holder),
        false => random_vm_with_disk(state),
    };
    let Some(via) = via else {
        return false;
    };
    let passed_on_to = if via == holder { 0 } else { holder.0 };
    let requested_at = state.clock.now();
    let (tx, rx) = oneshot::channel();
    let request = state.register_request(tx);
    let message = fleet::CallToken {
        target: target.0.clone(),
        is_reply: false,
        granted: false,
        holder: passed_on_to,
    };
    let body = peers::fleet_body(Fleet::CallToken(message));
    let granted = state.peers.send(via, request, body)
        && matches!(compio::time::timeout(TOKEN_TIMEOUT, rx).await, Ok(Ok(())));
    state.cancel_request(request);
    // After a pause of this process, the reply may have waited longer than the timer.
    granted && state.clock.now().since(requested_at) < warmup::LENT_TOKEN_VALIDITY
}

/// Returns one of the connected VMs with disks, which are connected to all others.
fn random_vm_with_disk(state: &state::State) -> Option<types::VmId> {
    let eligible = state.with(|inner| {
        let eligible = inner.roster.eligible().into_iter();
        eligible.map(|vm| vm.id).collect::<Vec<_>>()
    });
    let connected = eligible
        .into_iter()
        .filter(|vm| state.peers.is_connected(*vm));
    connected.choose(&mut *state.rng.borrow_mut())
}

/// Handles a request for a token, or the reply to one.
pub fn token_received(
    state: &rc::Rc<state::State>,
    from: types::VmId,
    request: u64,
    token: fleet::CallToken,
) {
    if token.is_reply {
        match token.granted {
            true => state.complete_request(request),
            false => state.cancel_request(request),
        }
        return;
    }
    let target = types::TargetId(token.target);
    let holder = types::VmId(token.holder);
    if holder.0 == 0 || holder == state.vm {
        let now = state.clock.now();
        let granted = state.with(|inner| inner.placement.cold.lend(now, &target));
        reply(state, from, request, target, granted);
    } else if state.peers.is_connected(holder) {
        let state = state.clone();
        compio::runtime::spawn(async move {
            let granted = request_token(&state, holder, &target).await;
            reply(&state, from, request, target, granted);
        })
        .detach();
    } else {
        reply(state, from, request, target, false);
    }
}

fn reply(
    state: &state::State,
    to: types::VmId,
    request: u64,
    target: types::TargetId,
    granted: bool,
) {
    let reply = fleet::CallToken {
        target: target.0,
        is_reply: true,
        granted,
        holder: 0,
    };
    let body = peers::fleet_body(Fleet::CallToken(reply));
    state.peers.send(to, request, body);
}

/// Updates the metrics and logs how many cold targets this VM holds.
pub fn update_metrics(state: &state::State) {
    let (known, held) = state.cold_targets();
    let metrics = &state.metrics;
    let count = |number: usize| i64::try_from(number).unwrap_or(i64::MAX);
    metrics.cold_targets.set(count(known));
    if metrics.cold_targets_held.get() != count(held) {
        metrics.cold_targets_held.set(count(held));
        state.events.emit(
            event::Id::ColdTargetsHeld,
            &[("held", &held), ("known", &known)],
        );
    }
}
