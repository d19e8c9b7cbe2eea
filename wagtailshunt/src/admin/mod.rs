//! Responses of the admin interface that all daemons share: readiness, metrics and refusals.

use hyper::{Request, Response, StatusCode};

use crate::http;

/// Returns the response to a readiness check of a load balancer.
pub fn readiness(ready: bool) -> Response<http::Body> {
    match ready {
        true => http::plain(StatusCode::OK, "ready\n"),
        false => http::plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    }
}

/// Returns the response to a scrape of the metrics.
pub fn metrics(text: Vec<u8>) -> Response<http::Body> {
    http::plain(StatusCode::OK, text)
}

/// Returns the response of `respond` if the request carries `key`, and a refusal otherwise.
pub fn authorized<B>(
    req: &Request<B>,
    key: &http::Key,
    respond: impl FnOnce() -> Response<http::Body>,
) -> Response<http::Body> {
    match http::bearer_matches(req.headers(), key) {
        true => respond(),
        false => unauthorized(),
    }
}

/// Returns the response to a request without a valid key.
pub fn unauthorized() -> Response<http::Body> {
    let problem = http::Problem {
        kind: "urn:wagtailshunt:problem:unauthorized",
        title: "The request carries no valid key",
        status: 401,
        detail: "",
    };
    problem.to_response(None)
}

/// Returns the response to a request with an unknown path or method.
pub fn not_found() -> Response<http::Body> {
    let problem = http::Problem {
        kind: "urn:wagtailshunt:problem:no-such-resource",
        title: "There is no such resource or method",
        status: 404,
        detail: "",
    };
    problem.to_response(None)
}
