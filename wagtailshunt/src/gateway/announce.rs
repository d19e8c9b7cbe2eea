//! Announcements of targets: `POST /v1/announce`.
//!
//! A target registers and renews itself with these requests. The gateway validates them and sends
//! each resulting change of its registered targets to the leader.

use std::{net, rc};

use http_body_util::{BodyExt, Limited};
use hyper::{Request, Response, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize};
use wagtailshunt_core::{directory, event, types};

use crate::{
    gateway::{control_link, state},
    http,
};

/// Largest body of an announcement in bytes.
const MAX_BODY_BYTES: usize = 4096;

/// Longest name of a service, target or failure domain in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Largest number of slots that a target may announce.
const MAX_SLOTS: u32 = 10_000;

/// Body of an announcement.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    service: types::ServiceName,
    target: types::TargetId,
    incarnation: types::Incarnation,
    address: net::SocketAddr,
    failure_domain: types::FailureDomain,
    slots: u32,
    state: directory::State,
    #[serde(default)]
    load: Option<directory::Load>,
}

/// Response to an accepted announcement.
#[derive(Debug, Serialize)]
struct Accepted {
    /// Time within which the target must announce itself again, in milliseconds.
    renew_within_ms: u64,
    /// Whether the target announced that it takes calls.
    serving: bool,
}

/// Handles an announcement and returns the registration or a problem document.
pub async fn handle(state: rc::Rc<state::State>, req: Request<Incoming>) -> Response<http::Body> {
    match accept(&state, req).await {
        Ok(accepted) => http::json(StatusCode::OK, &accepted),
        Err(err) => {
            state
                .events
                .emit(event::Id::AnnouncementRefused, &[("reason", &err)]);
            let status = err.status().as_u16();
            let detail = err.to_string();
            let problem = http::Problem {
                kind: "urn:wagtailshunt:problem:announcement",
                title: "The announcement was refused",
                status,
                detail: &detail,
            };
            problem.to_response(None)
        }
    }
}

/// Reasons to refuse an announcement.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("wrong target key")]
    Key,
    #[error("body cannot be read: {0}")]
    Body(String),
    #[error("{field} {fault}")]
    Field {
        field: &'static str,
        fault: &'static str,
    },
    #[error("the gateway holds no lease; announce to another one")]
    NoLease,
    #[error("{0}")]
    Refused(directory::Refusal),
}

impl Error {
    fn status(&self) -> StatusCode {
        match self {
            Error::Key => StatusCode::UNAUTHORIZED,
            Error::Body(_) | Error::Field { .. } => StatusCode::BAD_REQUEST,
            Error::NoLease | Error::Refused(directory::Refusal::Full) => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Error::Refused(_) => StatusCode::CONFLICT,
        }
    }
}

async fn accept(state: &rc::Rc<state::State>, req: Request<Incoming>) -> Result<Accepted, Error> {
    if !http::bearer_matches(req.headers(), &state.cfg.keys.target) {
        return Err(Error::Key);
    }
    let body = Limited::new(req.into_body(), MAX_BODY_BYTES)
        .collect()
        .await;
    let bytes = body.map_err(|err| Error::Body(err.to_string()))?.to_bytes();
    let body: Body = serde_json::from_slice(&bytes).map_err(|err| Error::Body(err.to_string()))?;
    validate(&body)?;
    let announcement = announcement_from(body);
    // A gateway without a lease may be partitioned from the leader, so that a target registered
    // here would stay unknown to all other gateways.
    if !state.is_serving() {
        return Err(Error::NoLease);
    }
    let now = state.now();
    let change = state.with(|inner| inner.registered_targets.announce(now, &announcement));
    let change = change.map_err(Error::Refused)?;
    if let Some(change) = change {
        let target = &announcement.target;
        state.events.emit(
            event::Id::TargetJoined,
            &[("target", &target.key), ("state", &target.state)],
        );
        control_link::send_target_change(state, &change);
    }
    let ttl = directory::Config::default().ttl;
    Ok(Accepted {
        renew_within_ms: u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX),
        serving: announcement.target.state == directory::State::Serving,
    })
}

fn validate(body: &Body) -> Result<(), Error> {
    let names = [
        ("service", body.service.as_str()),
        ("target", body.target.as_str()),
        ("failure_domain", body.failure_domain.as_str()),
    ];
    for (field, name) in names {
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return Err(Error::Field {
                field,
                fault: "must have 1 to 128 bytes",
            });
        }
        if name.chars().any(char::is_control) {
            return Err(Error::Field {
                field,
                fault: "must not contain control characters",
            });
        }
    }
    if body.slots == 0 || body.slots > MAX_SLOTS {
        return Err(Error::Field {
            field: "slots",
            fault: "must be between 1 and 10000",
        });
    }
    if body.address.port() == 0 || body.address.ip().is_unspecified() {
        return Err(Error::Field {
            field: "address",
            fault: "must name an IP address and port",
        });
    }
    Ok(())
}

fn announcement_from(body: Body) -> directory::Announcement {
    directory::Announcement {
        target: directory::Target {
            key: directory::Key {
                service: body.service,
                id: body.target,
            },
            incarnation: body.incarnation,
            address: body.address,
            failure_domain: body.failure_domain,
            slots: body.slots,
            state: body.state,
        },
        load: body.load,
    }
}
