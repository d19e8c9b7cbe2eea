//! Names of header fields of the gateway's protocol.

use hyper::header::HeaderName;

pub use crate::http::{check_head, header_text, strip_connection_fields};

/// Id of a call, unique across gateways; a target may echo it in its answer.
pub const CALL: HeaderName = HeaderName::from_static("wagtailshunt-call");
/// Marker of a target that did not run the call.
pub const NOT_RUN: HeaderName = HeaderName::from_static("wagtailshunt-not-run");
/// Load of a target, carried in its answers.
pub const LOAD: HeaderName = HeaderName::from_static("wagtailshunt-load");
/// Remaining time of a call in milliseconds.
pub const TIMEOUT_MS: HeaderName = HeaderName::from_static("wagtailshunt-timeout-ms");
/// Number of the attempt, from 1.
pub const ATTEMPT: HeaderName = HeaderName::from_static("wagtailshunt-attempt");
/// Marks an answer whose call was already retried.
pub const RETRIED: HeaderName = HeaderName::from_static("wagtailshunt-retried");
/// Key of a non-idempotent call.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
