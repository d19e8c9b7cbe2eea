//! Responses that a daemon generates itself, with problem documents for errors (RFC 9457).

use hyper::{Response, StatusCode, header};
use serde::Serialize;

use crate::http::{Body, full};

/// Media type of a problem document.
pub const CONTENT_TYPE_PROBLEM: &str = "application/problem+json";

/// A problem document.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Problem<'a> {
    /// URI that identifies the type of problem.
    #[serde(rename = "type")]
    pub kind: &'a str,
    /// Short summary, the same for every problem of this type.
    pub title: &'a str,
    /// HTTP status code.
    pub status: u16,
    /// Explanation of this occurrence of the problem.
    #[serde(skip_serializing_if = "str::is_empty")]
    pub detail: &'a str,
}

impl Problem<'_> {
    /// Builds the response; `outcome` becomes the value of the `Wagtailshunt-Outcome` header.
    pub fn to_response(&self, outcome: Option<&'static str>) -> Response<Body> {
        let text = serde_json::to_vec(self).unwrap_or_default();
        let mut response = Response::new(full(text));
        *response.status_mut() =
            StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            header::HeaderValue::from_static(CONTENT_TYPE_PROBLEM),
        );
        if let Some(outcome) = outcome {
            headers.insert(
                "wagtailshunt-outcome",
                header::HeaderValue::from_static(outcome),
            );
        }
        response
    }
}

/// Returns a JSON response.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    response_with_type(status, "application/json", text)
}

/// Returns a plain text response.
pub fn plain(status: StatusCode, text: impl Into<bytes::Bytes>) -> Response<Body> {
    response_with_type(status, "text/plain; charset=utf-8", text)
}

fn response_with_type(
    status: StatusCode,
    media_type: &'static str,
    text: impl Into<bytes::Bytes>,
) -> Response<Body> {
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static(media_type),
    );
    response
}
