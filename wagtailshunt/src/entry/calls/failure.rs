//! Responses that an entry VM generates itself when no target's response can be forwarded.

use std::time;

use hyper::{Response, StatusCode, header};

use crate::http;

/// Why a call gets a response from the entry VM instead of a target; displayed as the outcome in
/// logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Failure {
    /// The request head is invalid and cannot be forwarded.
    #[display("malformed")]
    Malformed,
    /// No route matches the call.
    #[display("no-route")]
    NoRoute,
    /// This process has no configuration yet.
    #[display("no-configuration")]
    NoConfiguration,
    /// The route needs a key, and the call has none or one that no workspace holds.
    #[display("unknown-key")]
    UnknownKey,
    /// This VM cannot be sure that its keys are still in force.
    #[display("keys-unconfirmed")]
    KeysUnconfirmed,
    /// The workspace has used up its allowance.
    #[display("over-allowance")]
    OverAllowance,
    /// This VM cannot learn in time whether the workspace has allowance left.
    #[display("allowance-unknown")]
    AllowanceUnknown,
    /// There is no memory for the body or the response of the call.
    #[display("no-memory")]
    NoMemory,
    /// The body exceeds the configured limit.
    #[display("body-too-large")]
    BodyTooLarge,
    /// The body did not arrive completely before the deadline.
    #[display("body-incomplete")]
    BodyIncomplete,
    /// No target is expected to answer before the deadline.
    #[display("overloaded")]
    Overloaded,
    /// Earlier runs of the same request crashed targets.
    #[display("crashes-targets")]
    CrashesTargets,
    /// The service has no target to which the call was not sent already.
    #[display("no-target")]
    NoTarget,
    /// This VM is being stopped, and the call may not have its response before the end.
    #[display("stopping")]
    Stopping,
    /// This VM has lost its path to the targets, and no other VM could relay the call.
    #[display("unreachable")]
    Unreachable,
    /// Every attempt was refused by its target before it ran, or the retry budget is spent.
    #[display("refused-by-targets")]
    RefusedByTargets,
    /// The call may have run, and its response is lost.
    #[display("lost")]
    Lost,
    /// The deadline expired after the call was sent to a target.
    #[display("timeout")]
    Timeout,
}

impl Failure {
    const ALL: [Failure; 18] = [
        Failure::Malformed,
        Failure::NoRoute,
        Failure::NoConfiguration,
        Failure::UnknownKey,
        Failure::KeysUnconfirmed,
        Failure::OverAllowance,
        Failure::AllowanceUnknown,
        Failure::NoMemory,
        Failure::BodyTooLarge,
        Failure::BodyIncomplete,
        Failure::Overloaded,
        Failure::CrashesTargets,
        Failure::NoTarget,
        Failure::Stopping,
        Failure::Unreachable,
        Failure::RefusedByTargets,
        Failure::Lost,
        Failure::Timeout,
    ];

    /// Returns the failure with the given display text.
    pub fn from_text(text: &str) -> Option<Failure> {
        let mut all = Failure::ALL.into_iter();
        all.find(|failure| failure.to_string() == text)
    }

    /// Returns the status. The statuses 408, 421, 429 and 503 guarantee that the call never runs.
    pub fn status(self) -> StatusCode {
        match self {
            Failure::Malformed => StatusCode::BAD_REQUEST,
            Failure::NoRoute => StatusCode::NOT_FOUND,
            Failure::UnknownKey => StatusCode::UNAUTHORIZED,
            Failure::OverAllowance => StatusCode::TOO_MANY_REQUESTS,
            Failure::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Failure::BodyIncomplete => StatusCode::REQUEST_TIMEOUT,
            Failure::NoConfiguration
            | Failure::KeysUnconfirmed
            | Failure::AllowanceUnknown
            | Failure::NoMemory
            | Failure::Overloaded
            | Failure::NoTarget
            | Failure::Stopping
            | Failure::Unreachable
            | Failure::CrashesTargets
            | Failure::RefusedByTargets => StatusCode::SERVICE_UNAVAILABLE,
            Failure::Lost => StatusCode::BAD_GATEWAY,
            Failure::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Builds the response; `retry_after` becomes its `Retry-After` header, in seconds with
    /// milliseconds.
    pub fn response(self, retry_after: Option<time::Duration>) -> Response<http::Body> {
        let mut response = http::plain(self.status(), self.to_string());
        if let Some(after) = retry_after {
            let text = format!("{:.3}", after.as_secs_f64());
            if let Ok(value) = header::HeaderValue::from_str(&text) {
                response.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}
