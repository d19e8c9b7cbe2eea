//! Client of the operator interface.

use std::{fs, hash, net, path, time};

use hash::{BuildHasher, Hasher};
use hyper::{Method, StatusCode, header};
use serde_json::Value;
use wagtailshunt_lab::load;

use crate::{exit, options};

/// Redirects followed for one attempt; a leader may change while one is followed.
const MAX_REDIRECTS: usize = 4;

/// Pause before all addresses are tried again.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(200);

/// Longest wait for one answer; longer than the time that a put waits to be in force by default.
const ATTEMPT_LIMIT: time::Duration = time::Duration::from_secs(10);

/// A request to the operator interface.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: Method,
    pub path: String,
    /// Recognises a resent amendment.
    pub request_id: Option<String>,
    pub body: String,
}

impl Request {
    /// Returns a read of `path`.
    pub fn get(path: impl Into<String>) -> Request {
        Request {
            method: Method::GET,
            path: path.into(),
            request_id: None,
            body: String::new(),
        }
    }
}

/// An answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub text: String,
}

impl Answer {
    /// Returns the body as JSON, or null.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_default()
    }

    /// Returns the answer if its status is a success, else the error that it stands for.
    pub fn success(self) -> Result<Answer, exit::Error> {
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

/// Client that tries the control daemons in turn.
pub struct Client {
    http: cyper::Client,
    addresses: Vec<net::SocketAddr>,
    key: String,
    limit: time::Duration,
}

/// Result of one attempt.
enum Attempt {
    Answer(Answer),
    /// Another attempt may succeed, for this reason.
    Retry(String),
}

impl Client {
    /// Creates a client from the global options.
    pub fn new(global: &options::Program) -> Result<Client, exit::Error> {
        if global.control.is_empty() {
            let message = "--control is missing: the admin address of a control daemon";
            return Err(exit::Error::Usage(message.to_owned()));
        }
        Client::with_addresses(global, &global.control)
    }

    /// Creates a client for these addresses.
    pub fn with_addresses(
        global: &options::Program,
        addresses: &[net::SocketAddr],
    ) -> Result<Client, exit::Error> {
        let Some(key_file) = &global.key_file else {
            let message = "--key-file is missing: the file with the operator key";
            return Err(exit::Error::Usage(message.to_owned()));
        };
        // Redirects are followed here, since the client drops the key when the host changes. The
        // addresses are those of the cluster, so no proxy of the environment is used.
        let http = cyper::Client::builder()
            .redirect(cyper::redirect::Policy::none())
            .no_proxy()
            .build()
            .map_err(|err| exit::Error::Failed(err.to_string()))?;
        Ok(Client {
            http,
            addresses: addresses.to_vec(),
            key: read_key(key_file)?,
            limit: time::Duration::from_millis(global.timeout_ms),
        })
    }

    /// Sends a request until a control daemon answers it.
    ///
    /// An amendment is resent with its request id, so that it takes effect at most once.
    pub async fn send(&self, request: &Request) -> Result<Answer, exit::Error> {
        let deadline = time::Instant::now() + self.limit;
        let mut reason = String::new();
        loop {
            for address in &self.addresses {
                let left = deadline.saturating_duration_since(time::Instant::now());
                if left.is_zero() {
                    return Err(exit::Error::Unreachable(reason));
                }
                let attempt = self.attempt(*address, request);
                let limit = left.min(ATTEMPT_LIMIT);
                match compio::time::timeout(limit, attempt).await {
                    Ok(Attempt::Answer(answer)) => return Ok(answer),
                    Ok(Attempt::Retry(cause)) => reason = format!("{address}: {cause}"),
                    Err(_) => reason = format!("{address}: no answer in time"),
                }
            }
            compio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn attempt(&self, address: net::SocketAddr, request: &Request) -> Attempt {
        let mut url = format!("http://{address}{}", request.path);
        for _ in 0..=MAX_REDIRECTS {
            match self.exchange(&url, request).await {
                Err(err) => return Attempt::Retry(err.to_string()),
                Ok((answer, Some(location))) if answer.status.is_redirection() => url = location,
                // Without a leader, or with an unknown result, the request is resent.
                Ok((answer, _)) if answer.status.is_server_error() => {
                    let cause = answer.success().err().map(|err| err.to_string());
                    return Attempt::Retry(cause.unwrap_or_default());
                }
                Ok((answer, _)) => return Attempt::Answer(answer),
            }
        }
        Attempt::Retry("too many redirects".to_owned())
    }

    /// Sends one request; returns the answer and its `Location`.
    async fn exchange(
        &self,
        url: &str,
        request: &Request,
    ) -> Result<(Answer, Option<String>), cyper::Error> {
        let mut builder = self
            .http
            .request(request.method.clone(), url)?
            .bearer_auth(&self.key)?;
        if let Some(id) = &request.request_id {
            builder = builder.header("request-id", id)?;
        }
        if !request.body.is_empty() {
            builder = builder
                .header(header::CONTENT_TYPE, "application/json")?
                .body(request.body.clone());
        }
        let response = builder.send().await?;
        let status = response.status();
        let location = response.headers().get(header::LOCATION);
        let location = location
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        let text = response.text().await?;
        Ok((Answer { status, text }, location))
    }
}

/// Reads a key file.
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

/// Returns a new request id.
pub fn new_request_id() -> String {
    let now = time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .unwrap_or_default();
    load::uuid_v7(now.as_millis() as u64, random())
}

/// Returns a number from the operating system's entropy, which seeds the hash keys of the
/// standard library.
fn random() -> u128 {
    let word = || u128::from(hash::RandomState::new().build_hasher().finish());
    (word() << 64) | word()
}
