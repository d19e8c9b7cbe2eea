//! Operator interface: HTTP with JSON bodies.
//!
//! Reads and changes the records, changes the voters of the groups, removes VMs, and serves status,
//! events, health and metrics. Requests for the leader are redirected to it.

use std::{net, rc, time};

use http_body_util::{BodyExt, Limited};
use hyper::{Method, Request, Response, StatusCode, body::Incoming, header};
use serde::{Deserialize, Serialize};
use wagtailshunt_core::{records, registry, replication, types};

use crate::{
    admin,
    control::{group, leader, reports, state},
    http,
};

/// Maximum size of a request body. The core limits the size of a record separately.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Longest time that a change request waits for the change to be in force.
const MAX_IN_FORCE_WAIT: time::Duration = time::Duration::from_secs(30);

/// Time that a change request waits for the change to be in force unless `timeout_ms` is given.
const DEFAULT_IN_FORCE_WAIT: time::Duration = time::Duration::from_secs(5);

/// Reasons for which a request of an operator fails.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("the request carries no valid key")]
    Unauthorized,
    #[error("there is no such resource or method")]
    NotFound,
    #[error("{0}")]
    BadRequest(String),
    #[error("another VM leads")]
    NotLeader(Option<types::VmId>),
    #[error(transparent)]
    Command(#[from] group::CommandError),
}

/// Query parameters of a change request.
#[derive(Debug, Default)]
struct Query {
    expect: Option<u64>,
    wait: bool,
    timeout: time::Duration,
    actor: String,
}

/// Response to a change request.
#[derive(Debug, Serialize)]
struct ChangeResponse<'a> {
    reply: &'a registry::Reply,
    /// Whether every VM has applied the change or can no longer serve an older revision.
    in_force: bool,
    /// VMs that may still serve an older revision.
    holding_back: Vec<types::VmId>,
    /// Time between acceptance of the change and its being in force.
    in_force_ms: Option<u64>,
}

/// Handles a request to the admin address.
pub async fn handle_request(
    state: rc::Rc<state::State>,
    req: Request<Incoming>,
    _peer: net::SocketAddr,
) -> Response<http::Body> {
    match (req.method(), req.uri().path()) {
        (&Method::GET, "/healthz") => return http::plain(StatusCode::OK, "ok\n"),
        (&Method::GET, "/readyz") => return admin::readiness(is_ready(&state)),
        (&Method::GET, "/metrics") => return admin::metrics(state.metrics.text()),
        _ => {}
    }
    let path = req
        .uri()
        .path_and_query()
        .map(ToString::to_string)
        .unwrap_or_default();
    match route(&state, req).await {
        Ok(response) => response,
        Err(err) => error_response(&state, &err, &path),
    }
}

/// Returns whether this VM knows a leader of every group.
fn is_ready(state: &state::State) -> bool {
    state.with(|inner| {
        inner
            .groups
            .values()
            .all(|group| group.node.leader().is_some())
    })
}

async fn route(
    state: &rc::Rc<state::State>,
    req: Request<Incoming>,
) -> Result<Response<http::Body>, Error> {
    if !http::bearer_matches(req.headers(), &state.cfg.keys.operator) {
        return Err(Error::Unauthorized);
    }
    let method = req.method().clone();
    let path = req.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (&method, parts.as_slice()) {
        (&Method::GET, ["v1", "events"]) => {
            Ok(http::plain(StatusCode::OK, state.events.json_lines()))
        }
        (&Method::GET, ["v1", "local"]) => Ok(http::json(StatusCode::OK, &reports::local(state))),
        (&Method::GET, ["v1", "status"]) => {
            require_leader(state)?;
            Ok(http::json(StatusCode::OK, &reports::status(state)))
        }
        (&Method::GET, ["v1", "targets"]) => {
            require_leader(state)?;
            Ok(http::json(StatusCode::OK, &reports::targets(state)))
        }
        (&Method::GET, ["v1", "records"]) => {
            read_barrier(state).await?;
            Ok(http::json(StatusCode::OK, &reports::list(state)))
        }
        (&Method::GET, ["v1", "records", kind, name]) => {
            read_barrier(state).await?;
            let record = reports::record(state, &parse_key(kind, name)?);
            record
                .map(|record| http::json(StatusCode::OK, &record))
                .ok_or(Error::NotFound)
        }
        (&Method::GET, ["v1", "history", kind, name]) => {
            read_barrier(state).await?;
            Ok(http::json(
                StatusCode::OK,
                &reports::history(state, &parse_key(kind, name)?),
            ))
        }
        (&Method::PUT, ["v1", "records", kind, name]) => {
            let key = parse_key(kind, name)?;
            put(state, req, &key).await
        }
        (&Method::DELETE, ["v1", "records", kind, name]) => {
            let key = parse_key(kind, name)?;
            delete(state, &req, key).await
        }
        (&Method::POST, ["v1", "voters", vm]) => change_voter(state, vm, true),
        (&Method::DELETE, ["v1", "voters", vm]) => change_voter(state, vm, false),
        (&Method::DELETE, ["v1", "vms", vm]) => remove_vm(state, vm).await,
        _ => Err(Error::NotFound),
    }
}

fn parse_key(kind: &str, name: &str) -> Result<records::Key, Error> {
    let kind = records::Kind::from_name(kind).ok_or(Error::NotFound)?;
    Ok(records::Key::new(kind, name))
}

fn parse_vm_id(text: &str) -> Result<types::VmId, Error> {
    let number = text
        .parse()
        .map_err(|_| Error::BadRequest(format!("{text} is no VM id")))?;
    Ok(types::VmId(number))
}

/// Returns an error unless this VM leads group 0.
fn require_leader(state: &state::State) -> Result<(), Error> {
    match state.is_leading() {
        true => Ok(()),
        false => Err(Error::NotLeader(state.leader_of(types::GroupId(0)))),
    }
}

/// Waits until a read of the registry on this VM is linearizable.
async fn read_barrier(state: &rc::Rc<state::State>) -> Result<(), Error> {
    require_leader(state)?;
    Ok(group::read_barrier(state).await?)
}

async fn put(
    state: &rc::Rc<state::State>,
    req: Request<Incoming>,
    key: &records::Key,
) -> Result<Response<http::Body>, Error> {
    require_leader(state)?;
    let query = parse_query(&req)?;
    let request_id = parse_request_id(&req)?;
    let body = Limited::new(req.into_body(), MAX_BODY_BYTES)
        .collect()
        .await;
    let bytes = body
        .map_err(|err| Error::BadRequest(err.to_string()))?
        .to_bytes();
    let text = String::from_utf8(bytes.to_vec())
        .map_err(|_| Error::BadRequest("the record is not valid UTF-8".to_owned()))?;
    if let Ok(record_header) = records::parse_header(&text)
        && record_header.key != *key
    {
        let detail = format!("the path names {key}, the record {}", record_header.key);
        return Err(Error::BadRequest(detail));
    }
    let command = registry::Command::Put {
        request_id,
        expect: query.expect.map(types::Revision),
        actor: query.actor.clone(),
        text,
        now: state.clock.wall(),
    };
    change(state, &command, &query).await
}

async fn delete(
    state: &rc::Rc<state::State>,
    req: &Request<Incoming>,
    key: records::Key,
) -> Result<Response<http::Body>, Error> {
    require_leader(state)?;
    let query = parse_query(req)?;
    let Some(expect) = query.expect else {
        return Err(Error::BadRequest(
            "a deletion must state expect=REVISION".to_owned(),
        ));
    };
    let command = registry::Command::Delete {
        request_id: parse_request_id(req)?,
        key,
        expect: types::Revision(expect),
        actor: query.actor.clone(),
        now: state.clock.wall(),
    };
    change(state, &command, &query).await
}

async fn change(
    state: &rc::Rc<state::State>,
    command: &registry::Command,
    query: &Query,
) -> Result<Response<http::Body>, Error> {
    let reply = group::propose(state, command).await?;
    let accepted = state.clock.now();
    let Some(revision) = accepted_revision(&reply) else {
        let changed = ChangeResponse {
            reply: &reply,
            in_force: false,
            holding_back: Vec::new(),
            in_force_ms: None,
        };
        return Ok(http::json(status_code(&reply), &changed));
    };
    let in_force = if query.wait {
        leader::wait_in_force(state, revision, query.timeout).await
    } else {
        leader::is_in_force(state, revision)
    };
    let elapsed = state.clock.now().since(accepted).as_millis();
    let changed = ChangeResponse {
        reply: &reply,
        in_force,
        holding_back: leader::vms_behind(state, revision),
        in_force_ms: in_force.then_some(u64::try_from(elapsed).unwrap_or(u64::MAX)),
    };
    let status = if in_force {
        StatusCode::OK
    } else {
        StatusCode::ACCEPTED
    };
    Ok(http::json(status, &changed))
}

/// Returns the revision of an accepted change, including one accepted for an earlier request with
/// the same id.
fn accepted_revision(reply: &registry::Reply) -> Option<types::Revision> {
    match reply {
        registry::Reply::Accepted { revision } => Some(*revision),
        registry::Reply::Repeated(first) => accepted_revision(first),
        _ => None,
    }
}

fn status_code(reply: &registry::Reply) -> StatusCode {
    match reply {
        registry::Reply::Accepted { .. } | registry::Reply::Done => StatusCode::OK,
        registry::Reply::Conflict { .. } => StatusCode::CONFLICT,
        registry::Reply::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        registry::Reply::Unsupported { .. } => StatusCode::PRECONDITION_FAILED,
        registry::Reply::Refused { .. } => StatusCode::BAD_REQUEST,
        registry::Reply::Repeated(first) => status_code(first),
    }
}

fn parse_request_id(req: &Request<Incoming>) -> Result<types::RequestId, Error> {
    let value = req
        .headers()
        .get("request-id")
        .and_then(|value| value.to_str().ok());
    let text = value.ok_or_else(|| Error::BadRequest("header Request-Id is missing".to_owned()))?;
    Ok(types::RequestId(text.to_owned()))
}

fn parse_query(req: &Request<Incoming>) -> Result<Query, Error> {
    let mut query = Query {
        wait: true,
        timeout: DEFAULT_IN_FORCE_WAIT,
        actor: "operator".to_owned(),
        ..Query::default()
    };
    for pair in req
        .uri()
        .query()
        .unwrap_or_default()
        .split('&')
        .filter(|pair| !pair.is_empty())
    {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        let invalid = || Error::BadRequest(format!("query parameter {name}: bad value {value}"));
        match name {
            "expect" => query.expect = Some(value.parse().map_err(|_| invalid())?),
            "wait" => query.wait = value.parse().map_err(|_| invalid())?,
            "timeout_ms" => {
                let ms = value.parse().map_err(|_| invalid())?;
                query.timeout = time::Duration::from_millis(ms).min(MAX_IN_FORCE_WAIT);
            }
            "actor" => query.actor = value.to_owned(),
            _ => return Err(Error::BadRequest(format!("unknown query parameter {name}"))),
        }
    }
    Ok(query)
}

/// State of a membership change in one group.
#[derive(Debug, Serialize, Deserialize)]
struct VoterStep {
    step: &'static str,
    index: u64,
}

/// Adds or removes a voter of all groups, one step per request.
///
/// Adding takes two requests: the first adds the VM as a learner, and a later one promotes it to a
/// voter once it has caught up. The client repeats the request until every step is `done`.
fn change_voter(
    state: &rc::Rc<state::State>,
    vm: &str,
    add: bool,
) -> Result<Response<http::Body>, Error> {
    require_leader(state)?;
    let vm = parse_vm_id(vm)?;
    let now = state.clock.now();
    let ids: Vec<types::GroupId> = state.with(|inner| inner.groups.keys().copied().collect());
    let mut steps = Vec::new();
    for id in ids {
        let step = state.with(|inner| {
            let group = inner.groups.get_mut(&id)?;
            let members = group.node.members();
            let change = match (
                add,
                members.voters.contains(&vm),
                members.learners.contains(&vm),
            ) {
                (true, true, _) | (false, false, false) => return None,
                (true, false, true) => replication::MembershipChange::Promote(vm),
                (true, false, false) => replication::MembershipChange::AddLearner(vm),
                (false, ..) => replication::MembershipChange::Remove(vm),
            };
            Some(group.node.propose_membership(now, change))
        });
        group::process_outputs(state, id);
        match step {
            None => steps.push(VoterStep {
                step: "done",
                index: 0,
            }),
            Some(Ok(index)) => steps.push(VoterStep {
                step: "proposed",
                index: index.0,
            }),
            Some(Err(replication::ProposeError::NotLeader { .. })) => {
                steps.push(VoterStep {
                    step: "led by another VM",
                    index: 0,
                });
            }
            Some(Err(replication::ProposeError::Busy | replication::ProposeError::NotCaughtUp)) => {
                steps.push(VoterStep {
                    step: "catching up",
                    index: 0,
                });
            }
            Some(Err(err)) => return Err(group::CommandError::from(err).into()),
        }
    }
    Ok(http::json(StatusCode::OK, &steps))
}

async fn remove_vm(state: &rc::Rc<state::State>, vm: &str) -> Result<Response<http::Body>, Error> {
    require_leader(state)?;
    let vm = parse_vm_id(vm)?;
    leader::end_lease(state, vm).await;
    let command = registry::Command::RemoveVm {
        vm,
        now: state.clock.wall(),
    };
    let reply = group::propose(state, &command).await?;
    Ok(http::json(StatusCode::OK, &reply))
}

fn error_response(state: &state::State, err: &Error, path: &str) -> Response<http::Body> {
    if let Error::NotLeader(Some(leader)) = err
        && let Some(peer) = state.cfg.peers.get(leader)
        && *leader != state.cfg.vm
    {
        return redirect(peer.admin, path);
    }
    let (status, kind, title) = match err {
        Error::Unauthorized => return admin::unauthorized(),
        Error::NotFound => return admin::not_found(),
        Error::BadRequest(_) => (
            400,
            "urn:wagtailshunt:problem:bad-request",
            "The request is malformed",
        ),
        Error::NotLeader(_) => (
            503,
            "urn:wagtailshunt:problem:no-leader",
            "No leader is known at the moment",
        ),
        Error::Command(group::CommandError::Refused(_)) => (
            503,
            "urn:wagtailshunt:problem:not-accepted",
            "The change was not accepted",
        ),
        Error::Command(group::CommandError::Unknown) => (
            504,
            "urn:wagtailshunt:problem:result-unknown",
            "The result is not known; resend",
        ),
    };
    let detail = err.to_string();
    http::Problem {
        kind,
        title,
        status,
        detail: &detail,
    }
    .to_response(None)
}

fn redirect(admin: net::SocketAddr, path: &str) -> Response<http::Body> {
    let mut response = http::plain(StatusCode::TEMPORARY_REDIRECT, "");
    if let Ok(value) = header::HeaderValue::from_str(&format!("http://{admin}{path}")) {
        response.headers_mut().insert(header::LOCATION, value);
    }
    response
}
