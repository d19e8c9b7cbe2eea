//! Attribution of responses to calls.
//!
//! HTTP/1.1 pairs responses with requests by their order on a connection. A target in trouble may
//! repeat a response, and the copy then takes the place of the response to the next request. So
//! nothing in a response is evidence about a call before its id has been compared: not the status,
//! not the proof that the call did not run, not the load. A call reaches each target at most once
//! from a VM, so that the id also tells the sendings of one call apart.

use hyper::{Response, body::Incoming, http::response};

use crate::entry::{calls::attempt::CallRequest, settings};

/// Reason of a response that is not attributed to the call.
pub const OTHER_CALL: &str = "response carries the id of another call";

/// A response that belongs to the call whose request it answers.
pub struct OwnResponse {
    pub head: response::Parts,
    pub body: Incoming,
}

impl OwnResponse {
    /// Attributes a response to the call; returns the reason if it does not belong to it.
    ///
    /// # Errors
    ///
    /// [`OTHER_CALL`] if the response does not carry the id of the call. The call may have run, and
    /// its own response may still arrive, so the connection must not be used again.
    pub fn attribute(
        protocol: &settings::Protocol,
        call_request: &CallRequest,
        response: Response<Incoming>,
    ) -> Result<OwnResponse, &'static str> {
        let (head, body) = response.into_parts();
        match head.headers.get(&protocol.request_id) == Some(&call_request.request_id) {
            true => Ok(OwnResponse { head, body }),
            false => Err(OTHER_CALL),
        }
    }

    /// Returns whether the target states that it did not run the call.
    pub fn proves_not_run(&self, protocol: &settings::Protocol) -> bool {
        self.head.headers.contains_key(&protocol.not_run)
    }

    /// Checks that a success has a digest; returns the reason otherwise.
    ///
    /// # Errors
    ///
    /// The reason for the log if it has none.
    pub fn check_digest(&self, protocol: &settings::Protocol) -> Result<(), &'static str> {
        let digest = protocol.digest.as_ref();
        let has_digest = digest.is_none_or(|name| self.head.headers.contains_key(name));
        match self.head.status.is_success() && !has_digest {
            true => Err("successful response without a digest"),
            false => Ok(()),
        }
    }
}
