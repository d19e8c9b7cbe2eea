//! HTTP client for the operator interface of the control daemons.

use std::{fs, hash, net, path, time};

use hash::{BuildHasher, Hasher};
use hyper::{Method, StatusCode, Uri, header};
use serde_json::Value;
use wagtailshunt::http;
use wagtailshunt_lab::load;

use crate::{exchange, exit, options};

/// Maximum number of redirects per attempt. More than one occurs if the leader changes meanwhile.
const MAX_REDIRECTS: usize = 4;

/// Delay before all addresses are tried again.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(200);

/// Timeout of one attempt. It exceeds the default time that a put waits until the change is in
/// force.
const ATTEMPT_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// A request to the operator interface.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: Method,
    pub path: String,
    /// Lets the control daemons recognise a resent change.
    pub request_id: Option<String>,
    pub body: String,
}

impl Request {
    /// Creates a GET request for `path`.
    pub fn get(path: impl Into<String>) -> Request {
        Request {
            method: Method::GET,
            path: path.into(),
            request_id: None,
            body: String::new(),
        }
    }
}

/// Response of a control daemon.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: StatusCode,
    pub text: String,
}

impl Response {
    /// Returns the body as JSON, or null if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_default()
    }

    /// Returns the response if its status is a success.
    ///
    /// # Errors
    ///
    /// Returns the error that corresponds to any other status.
    pub fn error_for_status(self) -> Result<Response, exit::Error> {
        if self.status.is_success() {
            return Ok(self);
        }
        let body = self.json();
        let detail = body["detail"].as_str().or(body["title"].as_str());
        let detail = detail.unwrap_or(self.text.trim());
        let message = format!("refused with status {}: {detail}", self.status.as_u16());
        Err(match self.status {
            StatusCode::CONFLICT => exit::Error::Conflict(message),
            _ => exit::Error::Failed(message),
        })
    }
}

/// Client that tries the addresses of the control daemons in order.
pub struct Client {
    addresses: Vec<net::SocketAddr>,
    key: String,
    request_timeout: time::Duration,
}

/// Result of one attempt.
enum Attempt {
    Response(Response),
    /// The attempt failed for this reason, and another one may succeed.
    Retry(String),
}

impl Client {
    /// Creates a client for the addresses in the global options.
    ///
    /// # Errors
    ///
    /// Returns a usage error if `--control` or `--key-file` is missing.
    pub fn new(global: &options::Program) -> Result<Client, exit::Error> {
        if global.control.is_empty() {
            let message = "option --control is required: the admin address of a control daemon";
            return Err(exit::Error::Usage(message.to_owned()));
        }
        Client::with_addresses(global, &global.control)
    }

    /// Creates a client for the given addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if the key file is missing or cannot be read.
    pub fn with_addresses(
        global: &options::Program,
        addresses: &[net::SocketAddr],
    ) -> Result<Client, exit::Error> {
        let Some(key_file) = &global.key_file else {
            let message = "option --key-file is required: the file with the operator key";
            return Err(exit::Error::Usage(message.to_owned()));
        };
        Ok(Client {
            addresses: addresses.to_vec(),
            key: read_key(key_file)?,
            request_timeout: time::Duration::from_millis(global.timeout_ms),
        })
    }

    /// Sends a request, with retries until a control daemon responds.
    ///
    /// A change is resent with the same request id, so that it takes effect at most once.
    ///
    /// # Errors
    ///
    /// Returns [`exit::Error::Unreachable`] if no daemon responds within the time limit, and a usage
    /// error if the request cannot be written.
    pub async fn send(&self, request: &Request) -> Result<Response, exit::Error> {
        let uri: Uri = request.path.parse().map_err(|err| {
            exit::Error::Usage(format!("{} is not a valid path: {err}", request.path))
        })?;
        let deadline = time::Instant::now() + self.request_timeout;
        let mut reason = String::new();
        loop {
            for address in &self.addresses {
                let left = deadline.saturating_duration_since(time::Instant::now());
                if left.is_zero() {
                    return Err(exit::Error::Unreachable(reason));
                }
                let attempt = self.attempt(*address, &uri, request);
                let attempt_timeout = left.min(ATTEMPT_TIMEOUT);
                match compio::time::timeout(attempt_timeout, attempt).await {
                    Ok(Attempt::Response(response)) => return Ok(response),
                    Ok(Attempt::Retry(cause)) => reason = format!("{address}: {cause}"),
                    Err(_) => reason = format!("{address}: no response in time"),
                }
            }
            compio::time::sleep(RETRY_DELAY).await;
        }
    }

    async fn attempt(&self, address: net::SocketAddr, uri: &Uri, request: &Request) -> Attempt {
        let (mut address, mut uri) = (address, uri.clone());
        for _ in 0..=MAX_REDIRECTS {
            let req = match self.build_request(uri.clone(), request) {
                Ok(req) => req,
                Err(err) => return Attempt::Retry(err.to_string()),
            };
            let response = match exchange::send(address, req).await {
                Ok(response) => response,
                Err(err) => return Attempt::Retry(err.to_string()),
            };
            let status = response.status;
            if let Some(location) = response.location.filter(|_| status.is_redirection()) {
                match parse_location(&location) {
                    Some(leader) => (address, uri) = leader,
                    None => return Attempt::Retry(format!("redirected to {location}")),
                }
                continue;
            }
            let text = response.text;
            let response = Response { status, text };
            // There is no leader or the result is unknown, so the request is resent.
            if status.is_server_error() {
                let cause = response.error_for_status().err().map(|err| err.to_string());
                return Attempt::Retry(cause.unwrap_or_default());
            }
            return Attempt::Response(response);
        }
        Attempt::Retry("too many redirects".to_owned())
    }

    fn build_request(
        &self,
        uri: Uri,
        request: &Request,
    ) -> Result<hyper::Request<http::Body>, hyper::http::Error> {
        let mut builder = hyper::Request::builder()
            .method(request.method.clone())
            .uri(uri)
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key));
        if let Some(id) = &request.request_id {
            builder = builder.header("request-id", id);
        }
        if !request.body.is_empty() {
            builder = builder.header(header::CONTENT_TYPE, "application/json");
        }
        builder.body(http::full(request.body.clone()))
    }
}

/// Returns the address and the path of a redirect. Control daemons redirect to their addresses.
fn parse_location(location: &str) -> Option<(net::SocketAddr, Uri)> {
    let location: Uri = location.parse().ok()?;
    let address = location.authority()?.as_str().parse().ok()?;
    let path = location.path_and_query()?.as_str().parse().ok()?;
    Some((address, path))
}

/// Reads the operator key from a file.
pub fn read_key(path: &path::Path) -> Result<String, exit::Error> {
    let text = fs::read_to_string(path).map_err(|source| exit::Error::Read {
        path: path.to_owned(),
        source,
    })?;
    match text.trim() {
        "" => {
            let message = format!("key file {} is empty", path.display());
            Err(exit::Error::Usage(message))
        }
        key => Ok(key.to_owned()),
    }
}

/// Returns a new request id: a UUIDv7 of the current time.
pub fn new_request_id() -> String {
    let now = time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .unwrap_or_default();
    load::uuid_v7(now.as_millis() as u64, random())
}

/// Returns a random number. The randomness is that of the hash keys of the standard library, which
/// the operating system seeds.
fn random() -> u128 {
    let random_u64 = || u128::from(hash::RandomState::new().build_hasher().finish());
    (random_u64() << 64) | random_u64()
}
