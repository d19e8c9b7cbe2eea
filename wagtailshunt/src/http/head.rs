//! Checks and rewrites the heads of requests and responses that a proxy forwards (RFC 9110, RFC
//! 9112).

use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Version,
    header::{self, HeaderName, HeaderValue},
    http::response,
};

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Fields that describe one connection and are never forwarded.
const HOP_BY_HOP_FIELDS: [HeaderName; 9] = [
    header::CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Largest valid status (RFC 9110, section 15).
const MAX_STATUS: u16 = 599;

const VIA: HeaderValue = HeaderValue::from_static("1.1 wagtailshunt");

/// Reasons to reject the head of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// No `Host` field, or more than one.
    #[error("exactly one Host header is required")]
    Host,
    /// Both `Transfer-Encoding` and `Content-Length`, or one of them repeated.
    #[error("ambiguous body length")]
    AmbiguousLength,
    /// A transfer coding other than `chunked`.
    #[error("unsupported transfer coding")]
    TransferCoding,
    /// A `CONNECT` request or a protocol upgrade.
    #[error("CONNECT and protocol upgrades are not forwarded")]
    Upgrade,
    /// An HTTP version other than 1.1 and 1.0.
    #[error("unsupported HTTP version")]
    Version,
}

/// Rejects heads that this proxy does not forward or that another parser could interpret
/// differently, as in request smuggling.
///
/// # Errors
///
/// Returns the reason for the rejection.
pub fn check_head<B>(req: &Request<B>) -> Result<(), HeadError> {
    let headers = req.headers();
    if !matches!(req.version(), Version::HTTP_11 | Version::HTTP_10) {
        return Err(HeadError::Version);
    }
    if req.method() == Method::CONNECT || headers.contains_key(header::UPGRADE) {
        return Err(HeadError::Upgrade);
    }
    if headers.get_all(header::HOST).iter().count() != 1 {
        return Err(HeadError::Host);
    }
    let lengths = headers.get_all(header::CONTENT_LENGTH).iter().count();
    let codings = headers.get_all(header::TRANSFER_ENCODING).iter().count();
    if lengths > 1 || codings > 1 || (lengths == 1 && codings == 1) {
        return Err(HeadError::AmbiguousLength);
    }
    match headers.get(header::TRANSFER_ENCODING) {
        Some(coding) if !coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
            Err(HeadError::TransferCoding)
        }
        _ => Ok(()),
    }
}

/// Reasons to reject the head of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ResponseHeadError {
    /// A status above 599, or a change of the protocol that the request did not ask for.
    #[error("status {0} answers no request")]
    Status(StatusCode),
    /// `Content-Length` repeated, or not a single number.
    #[error("ambiguous body length")]
    AmbiguousLength,
    /// A transfer coding other than `chunked` alone.
    #[error("unsupported transfer coding")]
    TransferCoding,
}

/// Rejects heads of responses that hyper accepts although this proxy can't forward them: those that
/// answer no request, and those whose body would arrive in another form than it was sent.
///
/// # Errors
///
/// Returns the reason for the rejection.
pub fn check_response_head<B>(response: &Response<B>) -> Result<(), ResponseHeadError> {
    let status = response.status();
    if status == StatusCode::SWITCHING_PROTOCOLS || status.as_u16() > MAX_STATUS {
        return Err(ResponseHeadError::Status(status));
    }
    let mut lengths = response.headers().get_all(header::CONTENT_LENGTH).iter();
    if let Some(length) = lengths.next()
        && (lengths.next().is_some() || !length.as_bytes().iter().all(u8::is_ascii_digit))
    {
        return Err(ResponseHeadError::AmbiguousLength);
    }
    let mut codings = response.headers().get_all(header::TRANSFER_ENCODING).iter();
    match (codings.next(), codings.next()) {
        (None, _) => Ok(()),
        (Some(coding), None) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => Ok(()),
        _ => Err(ResponseHeadError::TransferCoding),
    }
}

/// Returns whether a response says where its body ends. Otherwise the body ends with the connection,
/// which does not prove that it is complete.
pub fn marks_body_end(head: &response::Parts) -> bool {
    let has_no_body = matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    let fields = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING];
    has_no_body || fields.iter().any(|name| head.headers.contains_key(name))
}

/// Removes the fields that apply only to the connection of the sender, and adds `Via`.
pub fn strip_connection_fields(headers: &mut HeaderMap) {
    if headers.contains_key(header::CONNECTION) {
        remove_listed_fields(headers);
    }
    for name in &HOP_BY_HOP_FIELDS {
        headers.remove(name);
    }
    headers.append(header::VIA, VIA);
}

/// Removes the fields that the `Connection` field lists.
fn remove_listed_fields(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed {
        headers.remove(name);
    }
}

/// Returns the first value of a header field if it is visible ASCII text.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
