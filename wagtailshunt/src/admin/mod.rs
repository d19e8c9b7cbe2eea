//! Health, metrics, status and events over HTTP, the same on all daemons.

use hyper::{Request, Response, StatusCode};

use crate::http;

/// Answers a readiness check of the platform's balancer.
pub fn readiness(ready: bool) -> Response<http::Body> {
    match ready {
        true => http::plain(StatusCode::OK, "ready\n"),
        false => http::plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    }
}

/// Answers a scrape of the metrics.
pub fn metrics(text: Vec<u8>) -> Response<http::Body> {
    http::plain(StatusCode::OK, text)
}

/// Runs `answer` when the request carries the operator's key.
pub fn authorized<B>(
    req: &Request<B>,
    key: &http::Key,
    answer: impl FnOnce() -> Response<http::Body>,
) -> Response<http::Body> {
    match http::bearer_matches(req.headers(), key) {
        true => answer(),
        false => unauthorized(),
    }
}

/// Refuses a request without the right key.
pub fn unauthorized() -> Response<http::Body> {
    let problem = http::Problem {
        kind: "urn:wagtailshunt:problem:unauthorized",
        title: "The request carries no valid key",
        status: 401,
        detail: "",
    };
    problem.to_response(None)
}

/// Refuses an unknown path or method.
pub fn not_found() -> Response<http::Body> {
    let problem = http::Problem {
        kind: "urn:wagtailshunt:problem:no-such-resource",
        title: "There is no such resource or method",
        status: 404,
        detail: "",
    };
    problem.to_response(None)
}
