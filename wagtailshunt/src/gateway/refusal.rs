//! Responses to calls that the gateway refuses, with the reason and whether the call may have run.

use std::borrow;

use hyper::{Response, header};
use wagtailshunt_core::{admission, outcome};

use crate::http;

/// Value of `Retry-After` in seconds.
const RETRY_AFTER: header::HeaderValue = header::HeaderValue::from_static("1");

/// A refused call: the reason and whether the call may have run.
#[derive(Clone, Debug)]
pub struct Refusal {
    pub reason: outcome::Reason,
    pub outcome: outcome::Outcome,
    pub detail: borrow::Cow<'static, str>,
}

impl Refusal {
    /// Creates a refusal of a call that did not run.
    pub fn not_run(reason: outcome::Reason) -> Self {
        Refusal {
            reason,
            outcome: outcome::Outcome::NotRun,
            detail: borrow::Cow::Borrowed(""),
        }
    }

    /// Creates a refusal of a call that may have run.
    pub fn unknown(reason: outcome::Reason) -> Self {
        Refusal {
            outcome: outcome::Outcome::Unknown,
            ..Refusal::not_run(reason)
        }
    }

    /// Sets the detail of the problem document.
    pub fn with_detail(self, detail: impl Into<borrow::Cow<'static, str>>) -> Self {
        Refusal {
            detail: detail.into(),
            ..self
        }
    }

    /// Combines the outcome with that of earlier attempts of the same call.
    pub fn with_earlier(self, earlier: outcome::EarlierAttempts) -> Self {
        Refusal {
            outcome: self.outcome.with_earlier(earlier),
            ..self
        }
    }

    /// Builds the response with a problem document.
    pub fn to_response(&self) -> Response<http::Body> {
        let problem = http::Problem {
            kind: self.reason.type_uri(),
            title: self.reason.title(),
            status: self.reason.status(),
            detail: &self.detail,
        };
        let mut response = problem.to_response(Some(outcome_text(self.outcome)));
        if self.reason.status() == 503 {
            response
                .headers_mut()
                .insert(header::RETRY_AFTER, RETRY_AFTER);
        }
        response
    }
}

impl From<admission::Reason> for Refusal {
    fn from(reason: admission::Reason) -> Self {
        let mapped = match reason {
            admission::Reason::UnknownService => outcome::Reason::NoService,
            admission::Reason::Deadline => outcome::Reason::DeadlineUnreachable,
            admission::Reason::QueueFull | admission::Reason::Displaced => {
                outcome::Reason::Overloaded
            }
        };
        Refusal::not_run(mapped).with_detail(reason.to_string())
    }
}

/// Returns the value of the `Wagtailshunt-Outcome` header.
pub fn outcome_text(outcome: outcome::Outcome) -> &'static str {
    match outcome {
        outcome::Outcome::NotRun => "not-run",
        outcome::Outcome::Unknown => "unknown",
        outcome::Outcome::Completed => "completed",
    }
}
