//! Requests of gateways to the leader of a shard, and their answers.

use std::time::Duration;

use derive_more::From;

use super::{answer, digest, key, machine};

/// A request of a gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Claims a key.
    Claim {
        /// Key of the call.
        key: key::Key,
        /// Digest of the request.
        digest: digest::Digest,
        /// Claim that asks.
        holder: machine::Holder,
        /// Time left until the call's deadline; relative, so that clocks need not agree.
        remaining: Duration,
    },
    /// Stores the answer of a call.
    Complete {
        /// Key of the call.
        key: key::Key,
        /// Claim under which it ran.
        holder: machine::Holder,
        /// Answer to store.
        answer: answer::Answer,
    },
    /// Ends the claim of a call that was proved not to have run.
    Release {
        /// Key of the call.
        key: key::Key,
        /// Claim that ends.
        holder: machine::Holder,
    },
    /// Ends the claim of a call whose outcome is not known.
    Fail {
        /// Key of the call.
        key: key::Key,
        /// Claim under which it ran.
        holder: machine::Holder,
    },
}

impl Request {
    /// Key that the request is about.
    pub fn key(&self) -> key::Key {
        match self {
            Request::Claim { key, .. }
            | Request::Complete { key, .. }
            | Request::Release { key, .. }
            | Request::Fail { key, .. } => *key,
        }
    }

    /// Claim that the request is about.
    pub fn holder(&self) -> machine::Holder {
        match self {
            Request::Claim { holder, .. }
            | Request::Complete { holder, .. }
            | Request::Release { holder, .. }
            | Request::Fail { holder, .. } => *holder,
        }
    }
}

/// Answer to a gateway.
#[derive(Clone, Debug, PartialEq, Eq, From)]
pub enum ServiceReply {
    /// Result of the state machine.
    #[from]
    Reply(machine::Reply),
    /// This VM does not lead the shard, or stopped leading it before the command was known to be
    /// committed. The gateway sends the same request to the new leader.
    NotLeader,
    /// Too many requests are waiting; nothing was proposed.
    Busy,
}

/// What the I/O layer must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Propose the command, then call [`super::Service::proposed`] or
    /// [`super::Service::rejected`].
    Propose {
        /// Matches the result to this proposal.
        ticket: u64,
        /// Command to replicate.
        command: machine::Command,
    },
    /// Answer a request.
    Answer {
        /// Token that was passed with the request.
        token: u64,
        /// Answer to send.
        reply: ServiceReply,
    },
}
