//! An operator's client of the control VMs.

use std::{net, time};

use bytes::Bytes;
use hyper::{Method, Request, StatusCode, header};
use rand::{Rng, SeedableRng, rngs};
use wagtailshunt_core::{ledger, time as core_time};

use crate::load::client;

/// Longest time for a request over all control VMs.
const LIMIT: time::Duration = time::Duration::from_secs(10);

/// Pause before the next control VM is asked.
const PAUSE: time::Duration = time::Duration::from_millis(20);

/// Errors of a request.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// No control VM answered in time.
    #[error("no control VM answered: {0}")]
    Unreachable(String),
    /// The answer is not JSON.
    #[error("answer cannot be read: {0}")]
    Answer(#[from] serde_json::Error),
}

/// Asks control VMs in turn until one answers.
#[derive(Clone, Debug)]
pub struct Operator {
    controls: Vec<net::SocketAddr>,
    key: String,
}

/// Returns a new request id: a UUIDv7.
pub fn request_id() -> String {
    let elapsed = time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .unwrap_or_default();
    let millis = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
    ledger::Key::new(
        core_time::UnixMillis(millis),
        rngs::SmallRng::from_os_rng().random(),
    )
    .to_string()
}

impl Operator {
    /// Creates a client for control VMs with these admin addresses.
    pub fn new(controls: Vec<net::SocketAddr>, key: &str) -> Operator {
        Operator {
            controls,
            key: key.to_owned(),
        }
    }

    /// Submits a record and waits until it is in force.
    pub async fn put(
        &self,
        key: &str,
        expect: u64,
        text: &str,
    ) -> Result<(StatusCode, serde_json::Value), OperatorError> {
        let path = format!("/v1/records/{key}?expect={expect}");
        self.send(Method::PUT, &path, &request_id(), text).await
    }

    /// Reads a resource.
    pub async fn get(&self, path: &str) -> Result<(StatusCode, serde_json::Value), OperatorError> {
        self.send(Method::GET, path, "", "").await
    }

    /// Sends a request until a control VM answers it; the request id stays the same.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        request_id: &str,
        body: &str,
    ) -> Result<(StatusCode, serde_json::Value), OperatorError> {
        let limit = time::Instant::now() + LIMIT;
        let mut last = String::from("no address");
        let mut address = self.controls.first().copied();
        let mut turn = 0;
        while time::Instant::now() < limit {
            let Some(target) = address else {
                break;
            };
            match self.attempt(target, &method, path, request_id, body).await {
                Ok(Attempt::Answer(status, body)) => {
                    return Ok((status, serde_json::from_slice(&body)?));
                }
                Ok(Attempt::Redirect(leader)) => {
                    address = Some(leader);
                    continue;
                }
                Ok(Attempt::NoLeader) => last = "no leader".to_owned(),
                Err(err) => last = err.to_string(),
            }
            turn += 1;
            address = self
                .controls
                .get(turn % self.controls.len().max(1))
                .copied();
            compio::time::sleep(PAUSE).await;
        }
        Err(OperatorError::Unreachable(last))
    }

    async fn attempt(
        &self,
        address: net::SocketAddr,
        method: &Method,
        path: &str,
        request_id: &str,
        body: &str,
    ) -> Result<Attempt, client::Error> {
        let mut conn = client::Connection::open(address).await?;
        let mut req = Request::new(client::body(Bytes::copy_from_slice(body.as_bytes())));
        *req.method_mut() = method.clone();
        *req.uri_mut() = path.parse().unwrap_or_default();
        let headers = req.headers_mut();
        for (name, value) in [
            (header::HOST, address.to_string()),
            (header::AUTHORIZATION, format!("Bearer {}", self.key)),
            (
                header::HeaderName::from_static("request-id"),
                request_id.to_owned(),
            ),
        ] {
            if let Ok(value) = header::HeaderValue::from_str(&value) {
                headers.insert(name, value);
            }
        }
        let answer = conn.call(req).await?;
        let status = answer.status();
        if status == StatusCode::TEMPORARY_REDIRECT {
            let location = answer.headers().get(header::LOCATION);
            let leader = location
                .and_then(|value| value.to_str().ok())
                .and_then(authority);
            return Ok(leader.map_or(Attempt::NoLeader, Attempt::Redirect));
        }
        if status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::GATEWAY_TIMEOUT {
            return Ok(Attempt::NoLeader);
        }
        Ok(Attempt::Answer(status, answer.into_body()))
    }
}

enum Attempt {
    Answer(StatusCode, Bytes),
    Redirect(net::SocketAddr),
    NoLeader,
}

fn authority(location: &str) -> Option<net::SocketAddr> {
    location
        .strip_prefix("http://")?
        .split('/')
        .next()?
        .parse()
        .ok()
}
