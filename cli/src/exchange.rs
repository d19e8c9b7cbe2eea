//! One HTTP exchange with a daemon, on a connection of its own.

use std::{net, time};

use hyper::{Request, StatusCode, header};
use wagtailshunt::http;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Largest body of a response.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Why there is no response. The daemon may have processed the request.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection failed, or the head of the response is invalid.
    #[error(transparent)]
    Client(#[from] http::ClientError),
    /// The body ends with the connection, so that a part of it could look complete.
    #[error("response does not say where its body ends")]
    UnmarkedEnd,
    /// The body is too long or broke off.
    #[error("response: {0}")]
    Body(#[from] http::ReadError),
    /// The body is not text.
    #[error("response is not UTF-8")]
    NotText,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: StatusCode,
    /// Value of the `Location` field.
    pub location: Option<String>,
    pub text: String,
}

/// Sends a request and reads the whole response.
///
/// # Errors
///
/// Returns why there is no complete response.
pub async fn send(
    address: net::SocketAddr,
    mut req: Request<http::Body>,
) -> Result<Response, Error> {
    if let Ok(host) = header::HeaderValue::from_str(&address.to_string()) {
        req.headers_mut().insert(header::HOST, host);
    }
    let mut client = http::Client::connect(address, CONNECT_TIMEOUT, || {}).await?;
    if !client.ready().await {
        return Err(http::ClientError::NotSent.into());
    }
    let response = client.send(req).await.map_err(|(err, _)| err)?;
    let (head, body) = response.into_parts();
    if !http::marks_body_end(&head) {
        return Err(Error::UnmarkedEnd);
    }
    let body = http::read_whole(body, MAX_BODY_BYTES).await?;
    Ok(Response {
        status: head.status,
        location: http::header_text(&head.headers, &header::LOCATION).map(str::to_owned),
        text: String::from_utf8(body.into()).map_err(|_| Error::NotText)?,
    })
}
