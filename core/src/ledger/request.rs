//! Requests of the gateways to the leader of a ledger shard, its replies, and the outputs of the
//! leader side.

use std::time::Duration;

use derive_more::From;

use super::{digest, key, machine, stored_response};

/// Request of a gateway to the leader of a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Claims a key.
    Claim {
        /// Key of the call.
        key: key::Key,
        /// Digest of the request.
        digest: digest::Digest,
        /// Claim that requests the key.
        holder: machine::Holder,
        /// Time remaining until the deadline of the call. It is relative, so that clocks need not
        /// agree.
        remaining: Duration,
    },
    /// Stores the response of a call.
    Complete {
        /// Key of the call.
        key: key::Key,
        /// Claim under which the call ran.
        holder: machine::Holder,
        /// Response to store.
        response: stored_response::StoredResponse,
    },
    /// Ends the claim of a call that was proved not to have run.
    Release {
        /// Key of the call.
        key: key::Key,
        /// Claim to release.
        holder: machine::Holder,
    },
    /// Ends the claim of a call with an unknown outcome.
    Fail {
        /// Key of the call.
        key: key::Key,
        /// Claim under which the call ran.
        holder: machine::Holder,
    },
}

impl Request {
    /// Returns the key that the request applies to.
    pub fn key(&self) -> key::Key {
        match self {
            Request::Claim { key, .. }
            | Request::Complete { key, .. }
            | Request::Release { key, .. }
            | Request::Fail { key, .. } => *key,
        }
    }

    /// Returns the claim that the request applies to.
    pub fn holder(&self) -> machine::Holder {
        match self {
            Request::Claim { holder, .. }
            | Request::Complete { holder, .. }
            | Request::Release { holder, .. }
            | Request::Fail { holder, .. } => *holder,
        }
    }
}

/// Reply of a shard's leader to a gateway.
#[derive(Clone, Debug, PartialEq, Eq, From)]
pub enum ServiceReply {
    /// Result of the state machine.
    #[from]
    Reply(machine::Reply),
    /// This VM does not lead the shard, or it lost leadership before the command was known to be
    /// committed. The gateway sends the same request to the new leader.
    NotLeader,
    /// Too many requests are waiting. Nothing was proposed.
    Busy,
}

/// Action that the I/O layer must take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Propose the command, then call [`super::Service::proposed`] or [`super::Service::rejected`].
    Propose {
        /// Number that identifies the proposal in the result.
        ticket: u64,
        /// Command to replicate.
        command: machine::Command,
    },
    /// Reply to a request.
    Reply {
        /// Token that was passed with the request.
        token: u64,
        /// Reply to send.
        reply: ServiceReply,
    },
}
