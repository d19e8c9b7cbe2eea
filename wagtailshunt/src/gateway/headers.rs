//! Names of the header fields that the gateway exchanges with callers and targets.

use hyper::header::HeaderName;

pub use crate::http::{check_head, header_text, strip_connection_fields};

/// Id of a call, unique across gateways; a target may echo it in its response.
pub const CALL: HeaderName = HeaderName::from_static("wagtailshunt-call");
/// Marks the response of a target that did not run the call.
pub const NOT_RUN: HeaderName = HeaderName::from_static("wagtailshunt-not-run");
/// Load of a target, reported in its responses.
pub const LOAD: HeaderName = HeaderName::from_static("wagtailshunt-load");
/// Time until the deadline of a call in milliseconds.
pub const TIMEOUT_MS: HeaderName = HeaderName::from_static("wagtailshunt-timeout-ms");
/// Number of the attempt, starting at 1.
pub const ATTEMPT: HeaderName = HeaderName::from_static("wagtailshunt-attempt");
/// Marks the response to a call that was retried.
pub const RETRIED: HeaderName = HeaderName::from_static("wagtailshunt-retried");
/// Idempotency key of a call whose method is not idempotent.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
