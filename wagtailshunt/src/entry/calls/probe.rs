//! Probes: requests to the health endpoint of targets, whose response headers report their load.
//!
//! The VMs of a group divide its targets among themselves and send each other the reported loads, so
//! that the number of probes does not grow with the number of VMs. The rate comes from the settings,
//! the health path from the configured service.

use std::{rc, time};

use futures_channel::oneshot;
use hyper::{Request, header};
use wagtailshunt_core::{fleet, reach, types};

use crate::{
    entry::{
        calls::attempt::{self, Destination},
        cold_targets, departures, path, state,
    },
    http,
};

/// Timeout of a probe. A slow target answers within some tens of milliseconds.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Largest body of a probe response that is read.
const MAX_BODY_BYTES: usize = 4096;

/// Runs the regular probes until the process ends.
pub async fn run(state: rc::Rc<state::State>) {
    let Some(interval) = state.cfg.limits.probe_interval() else {
        return;
    };
    while !state.stopped() {
        let assigned = match state.is_path_lost() {
            // The checks of the path take the place of probes.
            true => Vec::new(),
            false => assigned_targets(&state),
        };
        let count = assigned.len();
        if count == 0 {
            compio::time::sleep(interval).await;
        }
        for target_to_probe in assigned {
            compio::runtime::spawn(send_probe(state.clone(), target_to_probe)).detach();
            let now = state.clock.now();
            let pause = state.with(|inner| inner.probe_rate.pause(now, count, interval));
            compio::time::sleep(pause).await;
        }
    }
}

/// Longest time that a call waits for a probe: a few round trips between failure domains plus the
/// time that a target takes to answer a probe.
const CALL_PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(20);

/// Destination and health path of a probe.
struct ProbeTarget {
    destination: Destination,
    path: String,
}

impl ProbeTarget {
    fn new(known: &fleet::TargetEntry, health_path: &str) -> ProbeTarget {
        ProbeTarget {
            destination: Destination::from(known),
            path: health_path.to_owned(),
        }
    }
}

/// Returns the targets of the own group that this VM probes regularly. Connected VMs of the group
/// take every n-th target by their rank.
fn assigned_targets(state: &rc::Rc<state::State>) -> Vec<ProbeTarget> {
    state.with(|inner| {
        let mut vms: Vec<types::VmId> = inner.group.clone();
        vms.retain(|vm| *vm == state.vm || state.peers.is_connected(*vm));
        vms.sort_unstable();
        let rank = vms.iter().position(|vm| *vm == state.vm).unwrap_or(0);
        let count = vms.len().max(1);
        let services = &inner.machine.table.items().services;
        let own_targets = inner.placement.group_targets();
        own_targets
            .enumerate()
            .filter(|(i, _)| i % count == rank)
            .filter_map(|(_, target)| {
                let known = inner.directory.get(target)?;
                let service = services.get(known.announcement.service.as_str())?;
                Some(ProbeTarget::new(known, &service.health_path))
            })
            .collect()
    })
}

/// Probes a target on behalf of a call and records the reported load. Returns after
/// [`CALL_PROBE_TIMEOUT`] at the latest; the target then counts as not answering.
pub async fn probe_for_call(state: &rc::Rc<state::State>, target: &types::TargetId) {
    let target_to_probe = state.with(|inner| {
        let known = inner.directory.get(target)?;
        let services = &inner.machine.table.items().services;
        let service = services.get(known.announcement.service.as_str())?;
        Some(ProbeTarget::new(known, &service.health_path))
    });
    let Some(target_to_probe) = target_to_probe else {
        return;
    };
    let (tx, rx) = oneshot::channel();
    let task_state = state.clone();
    // The probe runs as its own task and continues after the time-out, so that its connection can
    // be reused.
    compio::runtime::spawn(async move {
        send_probe(task_state, target_to_probe).await;
        // The call may have chosen another target in the meantime.
        let _ = tx.send(());
    })
    .detach();
    if compio::time::timeout(CALL_PROBE_TIMEOUT, rx).await.is_err() {
        let now = state.clock.now();
        state.with(|inner| inner.placement.probe_unanswered(now, target));
    }
}

/// Sends a probe; marks the target as not answering when the probe times out.
async fn send_probe(state: rc::Rc<state::State>, target_to_probe: ProbeTarget) {
    let probe = probe_and_record(&state, &target_to_probe);
    if compio::time::timeout(PROBE_TIMEOUT, probe).await.is_err() {
        let target = &target_to_probe.destination.target;
        log::debug!("probe of target {target} timed out after {PROBE_TIMEOUT:?}");
        let now = state.clock.now();
        state.with(|inner| inner.placement.probe_unanswered(now, target));
        path::record(&state, target, reach::Evidence::NotAnswered);
    }
}

/// Sends a probe; marks the target as not answering when the probe fails.
async fn probe_and_record(state: &rc::Rc<state::State>, target_to_probe: &ProbeTarget) {
    let target = &target_to_probe.destination.target;
    if let Err(err) = exchange(state, target_to_probe).await {
        log::debug!("probe of target {target} failed: {err}");
        let now = state.clock.now();
        state.with(|inner| inner.placement.probe_unanswered(now, target));
    }
}

/// Sends a probe on a pooled or new connection and records the load of the response.
async fn exchange(
    state: &rc::Rc<state::State>,
    target_to_probe: &ProbeTarget,
) -> Result<(), Box<dyn std::error::Error>> {
    let destination = &target_to_probe.destination;
    let key = (destination.target.clone(), destination.born);
    let now = state.clock.now();
    let pooled = state.pool.take(now, &key, time::Duration::MAX);
    let mut client = match pooled {
        Some(client) => client,
        None => attempt::connect(state, destination).await?,
    };
    attempt::check_destination(state, destination)?;
    let mut req = Request::new(http::empty());
    *req.uri_mut() = target_to_probe.path.parse()?;
    let host = header::HeaderValue::from_str(&destination.address.to_string())?;
    req.headers_mut().insert(header::HOST, host);
    state.metrics.probes.inc();
    let response = client.send(req).await.map_err(|(err, _)| err)?;
    path::record(state, &destination.target, reach::Evidence::Answered);
    let (head, body) = response.into_parts();
    let protocol = &state.cfg.protocol;
    if head.headers.contains_key(&protocol.request_id) {
        // The response to the probe is still to come, and would be taken for that of the next call.
        return Err("late response to a call instead of the response to the probe".into());
    }
    let header_target_id = http::header_text(&head.headers, &protocol.target_id);
    if header_target_id.is_none_or(|id| id == destination.target.as_str()) {
        match attempt::record_load_header(state, &destination.target, &head.headers) {
            true => {}
            false => state.with(|inner| inner.placement.answered_without_load(&destination.target)),
        }
        let source = departures::Source::Probe;
        let target = destination.incarnation();
        departures::response_received(state, &target, &head.headers, source);
        let left = http::header_text(&head.headers, &protocol.warmup_left_ms);
        if let Some(left) = left.and_then(|text| text.trim().parse().ok()) {
            let left = time::Duration::from_millis(left);
            cold_targets::health_received(state, &destination.target, left);
        }
    }
    if attempt::closes_connection(&head.headers) {
        return Ok(());
    }
    http::drain(body, MAX_BODY_BYTES).await?;
    let keep_alive = attempt::keep_alive_timeout(&head.headers);
    if client.ready().await {
        attempt::pool_unless_left(state, key, client, keep_alive);
    }
    Ok(())
}
