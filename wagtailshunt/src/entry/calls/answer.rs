//! Answers that the system makes itself.

use std::time;

use hyper::{Response, StatusCode, header};

use crate::http;

/// Why a call got an answer of the system's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Reason {
    /// The head cannot be passed on.
    #[display("malformed")]
    Malformed,
    /// No route takes the call.
    #[display("no-route")]
    NoRoute,
    /// This process knows no configuration yet.
    #[display("no-configuration")]
    NoConfiguration,
    /// The body is larger than the limits allow.
    #[display("body-too-large")]
    BodyTooLarge,
    /// The body did not arrive.
    #[display("body-incomplete")]
    BodyIncomplete,
    /// No target could answer in time.
    #[display("overloaded")]
    Overloaded,
    /// The call has crashed targets at every try.
    #[display("crashes-targets")]
    CrashesTargets,
    /// The service has no target.
    #[display("no-target")]
    NoTarget,
    /// Every attempt was refused by its target before it ran.
    #[display("refused-by-targets")]
    RefusedByTargets,
    /// The call may have run, and its answer is lost.
    #[display("lost")]
    Lost,
    /// The time of the route or of the caller ran out while a target was at work.
    #[display("timeout")]
    Timeout,
}

impl Reason {
    /// Returns the status. 408, 421, 429 and 503 promise that the call never runs.
    pub fn status(self) -> StatusCode {
        match self {
            Reason::Malformed => StatusCode::BAD_REQUEST,
            Reason::NoRoute => StatusCode::NOT_FOUND,
            Reason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Reason::BodyIncomplete => StatusCode::REQUEST_TIMEOUT,
            Reason::NoConfiguration
            | Reason::Overloaded
            | Reason::NoTarget
            | Reason::CrashesTargets
            | Reason::RefusedByTargets => StatusCode::SERVICE_UNAVAILABLE,
            Reason::Lost => StatusCode::BAD_GATEWAY,
            Reason::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Builds the answer; `retry_after` says when the caller may come back.
    pub fn answer(self, retry_after: Option<time::Duration>) -> Response<http::Body> {
        let mut answer = http::plain(self.status(), self.to_string());
        if let Some(after) = retry_after {
            let text = format!("{:.3}", after.as_secs_f64());
            if let Ok(value) = header::HeaderValue::from_str(&text) {
                answer.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        answer
    }
}
