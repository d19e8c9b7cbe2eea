//! Admin interface of the gateway: health, metrics, status, events and announcements.

use std::{net, rc};

use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::Serialize;
use wagtailshunt_core::types;

use crate::{
    admin,
    gateway::{announce, state},
    http,
};

/// Body of the response to `GET /v1/status`.
#[derive(Debug, Serialize)]
struct Status {
    vm: types::VmId,
    incarnation: types::Incarnation,
    failure_domain: types::FailureDomain,
    serving: bool,
    draining: bool,
    revision: types::Revision,
    directory_version: String,
    leader: Option<types::VmId>,
    vouched: usize,
    services: Vec<ServiceStatus>,
}

#[derive(Debug, Serialize)]
struct ServiceStatus {
    name: types::ServiceName,
    targets: usize,
    capacity: u32,
    in_flight: u32,
    queued: usize,
    probes: u64,
    probe_bytes: u64,
    probe_target_us: u64,
}

/// Handles a request on the admin address.
pub async fn handle(
    state: rc::Rc<state::State>,
    req: Request<Incoming>,
    _peer: net::SocketAddr,
) -> Response<http::Body> {
    match (req.method(), req.uri().path()) {
        (&Method::GET, "/healthz") => http::plain(StatusCode::OK, "ok\n"),
        (&Method::GET, "/readyz") => admin::readiness(state.is_ready()),
        (&Method::GET, "/metrics") => admin::metrics(state.metrics.text()),
        (&Method::POST, "/v1/announce") => announce::handle(state, req).await,
        (&Method::GET, "/v1/status") => admin::authorized(&req, &state.cfg.keys.operator, || {
            http::json(StatusCode::OK, &status(&state))
        }),
        (&Method::GET, "/v1/events") => admin::authorized(&req, &state.cfg.keys.operator, || {
            http::plain(StatusCode::OK, state.events.json_lines())
        }),
        _ => admin::not_found(),
    }
}

fn status(state: &state::State) -> Status {
    let now = state.now();
    let leader = state.links.leader();
    state.with(|inner| Status {
        vm: state.cfg.vm,
        incarnation: state.incarnation,
        failure_domain: state.cfg.failure_domain.clone(),
        serving: inner.holder.serving(now),
        draining: inner.is_draining(state.cfg.vm),
        revision: inner.table.revision(),
        directory_version: inner.view.version().to_string(),
        leader,
        vouched: inner.registered_targets.len(),
        services: inner
            .services
            .values()
            .map(|service| {
                let (in_flight, queued) = inner.admission.load(&service.name);
                let balancer = service.balancer.borrow();
                let spent = *balancer.budget().spent();
                ServiceStatus {
                    name: service.name.clone(),
                    targets: service.target_count(),
                    capacity: balancer.capacity(now),
                    in_flight,
                    queued,
                    probes: spent.messages / 2,
                    probe_bytes: spent.bytes,
                    probe_target_us: spent.target_time_us,
                }
            })
            .collect(),
    })
}
