//! Client of the operator API of the control VMs, which finds the leader by retries and redirects.

use std::{net, time};

use bytes::Bytes;
use hyper::{Method, Request, StatusCode, header};
use rand::{Rng, SeedableRng, rngs};
use wagtailshunt_core::{ledger, time as core_time};

use crate::load::client;

/// Maximum time of a request over all control VMs.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Time before the request is sent to the next control VM.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Errors of a request.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// No control VM responded in time.
    #[error("no control VM responded within 10 s; last error: {0}")]
    Unreachable(String),
    /// The response is not valid JSON.
    #[error("invalid JSON in the response of a control VM: {0}")]
    InvalidResponse(#[from] serde_json::Error),
}

/// Sends requests to the control VMs, one after the other, until one responds.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    controls: Vec<net::SocketAddr>,
    key: String,
}

/// Returns a new request id, which is a UUIDv7.
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

impl OperatorClient {
    /// Creates a client for the control VMs with these admin addresses.
    pub fn new(controls: Vec<net::SocketAddr>, key: &str) -> OperatorClient {
        OperatorClient {
            controls,
            key: key.to_owned(),
        }
    }

    /// Submits a record and waits until it is in force.
    ///
    /// # Errors
    ///
    /// Same as [`OperatorClient::send`].
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
    ///
    /// # Errors
    ///
    /// Same as [`OperatorClient::send`].
    pub async fn get(&self, path: &str) -> Result<(StatusCode, serde_json::Value), OperatorError> {
        self.send(Method::GET, path, "", "").await
    }

    /// Sends a request until a control VM responds. All attempts have the same request id.
    ///
    /// # Errors
    ///
    /// Returns an error if no control VM responds in time or the response is not valid JSON.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        request_id: &str,
        body: &str,
    ) -> Result<(StatusCode, serde_json::Value), OperatorError> {
        let deadline = time::Instant::now() + REQUEST_TIMEOUT;
        let mut last_error = String::from("no address");
        let mut address = self.controls.first().copied();
        let mut next_control = 0;
        while time::Instant::now() < deadline {
            let Some(target) = address else {
                break;
            };
            match self.attempt(target, &method, path, request_id, body).await {
                Ok(Attempt::Response(status, body)) => {
                    return Ok((status, serde_json::from_slice(&body)?));
                }
                Ok(Attempt::Redirect(leader)) => {
                    address = Some(leader);
                    continue;
                }
                Ok(Attempt::NoLeader) => last_error = "no leader".to_owned(),
                Err(err) => last_error = err.to_string(),
            }
            next_control += 1;
            address = self
                .controls
                .get(next_control % self.controls.len().max(1))
                .copied();
            compio::time::sleep(RETRY_INTERVAL).await;
        }
        Err(OperatorError::Unreachable(last_error))
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
        let response = conn.call(req).await?;
        let status = response.status();
        if status == StatusCode::TEMPORARY_REDIRECT {
            let location = response.headers().get(header::LOCATION);
            let leader = location
                .and_then(|value| value.to_str().ok())
                .and_then(redirect_address);
            return Ok(leader.map_or(Attempt::NoLeader, Attempt::Redirect));
        }
        if status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::GATEWAY_TIMEOUT {
            return Ok(Attempt::NoLeader);
        }
        Ok(Attempt::Response(status, response.into_body()))
    }
}

enum Attempt {
    Response(StatusCode, Bytes),
    Redirect(net::SocketAddr),
    NoLeader,
}

fn redirect_address(location: &str) -> Option<net::SocketAddr> {
    location
        .strip_prefix("http://")?
        .split('/')
        .next()?
        .parse()
        .ok()
}
