//! Announces a target to the gateways at a fixed interval, with its state and load.

use std::{net, time};

use bytes::Bytes;
use hyper::{Method, Request, header};
use serde::Serialize;
use wagtailshunt_core::types;

use super::{AnnounceConfig, State, state};
use crate::load;

/// Load report in an announcement.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Load {
    /// Number of running calls.
    pub in_flight: u32,
    /// Number of queued calls.
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
    /// Incarnation, increased at each start.
    pub incarnation: types::Incarnation,
    /// Address for calls.
    pub address: net::SocketAddr,
    /// Failure domain.
    pub failure_domain: &'a types::FailureDomain,
    /// Number of calls that the target runs at the same time.
    pub slots: u32,
    /// Current load.
    pub load: Load,
    /// Current state.
    pub state: State,
}

/// Announces the target until the task is dropped.
pub(super) async fn run(
    shared: state::SharedRef,
    address: net::SocketAddr,
    settings: AnnounceConfig,
) {
    loop {
        let started = time::Instant::now();
        announce(&shared, address, &settings).await;
        let wait = settings.interval.saturating_sub(started.elapsed());
        compio::time::sleep(wait).await;
    }
}

/// Sends one announcement to the first gateway that accepts it, and returns whether one did.
///
/// The gateway that accepted the last announcement is tried first, so that a target stays
/// registered at the same gateway while that is possible. The seed spreads targets over gateways.
pub(super) async fn announce(
    shared: &state::SharedRef,
    address: net::SocketAddr,
    settings: &AnnounceConfig,
) -> bool {
    let body = body(shared, address);
    let first = shared.gateway.get();
    let count = settings.gateways.len();
    for offset in 0..count {
        let position = first.wrapping_add(offset) % count;
        let attempt = post(settings.gateways[position], &settings.key, body.clone());
        if compio::time::timeout(settings.timeout, attempt).await == Ok(true) {
            shared.gateway.set(position);
            shared.update_counters(|counters| counters.announced += 1);
            return true;
        }
    }
    shared.update_counters(|counters| counters.unannounced += 1);
    false
}

fn body(shared: &state::SharedRef, address: net::SocketAddr) -> Bytes {
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
        .is_ok_and(|response| response.status().is_success())
}
