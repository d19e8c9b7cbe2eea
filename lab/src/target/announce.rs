//! Announcements of a target to gateways.

use std::{net, time};

use bytes::Bytes;
use hyper::{Method, Request, header};
use serde::Serialize;
use wagtailshunt_core::types;

use super::{Announce, State, state};
use crate::load;

/// Load in an announcement.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Load {
    /// Calls running.
    pub in_flight: u32,
    /// Calls waiting.
    pub queue: u32,
    /// Recent latency in microseconds.
    pub latency_us: u64,
}

/// Body of `POST /v1/announce`.
#[derive(Clone, Debug, Serialize)]
pub struct Announcement<'a> {
    /// Service of the target.
    pub service: &'a types::ServiceName,
    /// Id of the target within the service.
    pub target: &'a types::TargetId,
    /// Incarnation, increasing with each start.
    pub incarnation: types::Incarnation,
    /// Address for calls.
    pub address: net::SocketAddr,
    /// Failure domain.
    pub failure_domain: &'a types::FailureDomain,
    /// Calls that it runs at the same time.
    pub slots: u32,
    /// Its own load.
    pub load: Load,
    /// Its state.
    pub state: State,
}

/// Announces the target until the task is dropped.
pub(super) async fn run(shared: state::Ref, address: net::SocketAddr, settings: Announce) {
    loop {
        let started = time::Instant::now();
        announce(&shared, address, &settings).await;
        let wait = settings.interval.saturating_sub(started.elapsed());
        compio::time::sleep(wait).await;
    }
}

/// Sends one announcement to the first gateway that accepts it.
///
/// The search starts at the gateway that accepted the last one, so that a target changes its
/// vouching gateway only when it must. The seed spreads targets over gateways.
pub(super) async fn announce(
    shared: &state::Ref,
    address: net::SocketAddr,
    settings: &Announce,
) -> bool {
    let body = body(shared, address);
    let first = shared.gateway.get();
    let count = settings.gateways.len();
    for offset in 0..count {
        let position = first.wrapping_add(offset) % count;
        let attempt = post(settings.gateways[position], &settings.key, body.clone());
        if compio::time::timeout(settings.timeout, attempt).await == Ok(true) {
            shared.gateway.set(position);
            shared.count(|counters| counters.announced += 1);
            return true;
        }
    }
    shared.count(|counters| counters.unannounced += 1);
    false
}

fn body(shared: &state::Ref, address: net::SocketAddr) -> Bytes {
    let report = shared.report();
    let announcement = Announcement {
        service: &shared.config.service,
        target: &shared.config.id,
        incarnation: shared.incarnation.get(),
        address,
        failure_domain: &shared.config.failure_domain,
        slots: shared.config.slots,
        load: Load {
            in_flight: report.in_flight,
            queue: report.queue,
            latency_us: report.latency.as_micros() as u64,
        },
        state: shared.state(),
    };
    serde_json::to_vec(&announcement).unwrap_or_default().into()
}

async fn post(gateway: net::SocketAddr, key: &str, body: Bytes) -> bool {
    let request = Request::builder()
        .method(Method::POST)
        .uri("/v1/announce")
        .header(header::HOST, gateway.to_string())
        .header(header::AUTHORIZATION, format!("Bearer {key}"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(load::client::body(body));
    let Ok(request) = request else {
        return false;
    };
    let Ok(mut connection) = load::client::Connection::open(gateway).await else {
        return false;
    };
    connection
        .call(request)
        .await
        .is_ok_and(|answer| answer.status().is_success())
}
