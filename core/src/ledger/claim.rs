//! Life cycle of one keyed call on its gateway.
//!
//! ```text
//! Requested -> Granted -> Dispatched -> Completing -> committed
//!     |           |           |-> released (with a proof of not-run)
//!     |           |           '-> failed (outcome unknown)
//!     |           '-> released
//!     '-> abandoned; a late grant is released by LateGrants
//! ```
//!
//! Each transition consumes the claim. A call can therefore not be dispatched before its grant or
//! after the claim was abandoned, and a dispatched claim cannot be released without a proof. The
//! inputs are the replies of the shard's leader and the results of the call's attempts.

use std::{collections, time::Duration};

use super::{digest, key, machine, request, stored_response};
use crate::{outcome, time};

/// Time after its deadline for which an abandoned or released claim is kept, so that a late grant
/// can be released. It covers an election and the leader's grace period for lost gateways.
const LATE_GRANT_WINDOW: Duration = Duration::from_secs(10);

/// A claim in the life-cycle state `S`.
#[derive(Debug)]
#[must_use = "a claim that is dropped leaves its key running until it expires"]
pub struct Claim<S> {
    key: key::Key,
    digest: digest::Digest,
    holder: machine::Holder,
    deadline: time::Instant,
    state: S,
}

/// The claim was requested and not yet granted.
#[derive(Debug)]
pub struct Requested(());

/// The claim is committed. No byte of the call was sent.
#[derive(Debug)]
pub struct Granted(());

/// The call was sent or is being sent to a target.
#[derive(Debug)]
pub struct Dispatched(());

/// The response is complete and not yet committed.
#[derive(Debug)]
pub struct Completing(stored_response::StoredResponse);

/// Action for a requested claim after a reply of the leader.
#[derive(Debug)]
pub enum ClaimDecision {
    /// The call may be dispatched.
    Granted(Claim<Granted>),
    /// Another claim runs the call. The leader sends its outcome later.
    Waiting(Claim<Requested>),
    /// The call ran. Its stored response is passed to the caller.
    Replay(stored_response::StoredResponse),
    /// The call is not dispatched.
    Refused(outcome::Reason, outcome::Outcome),
}

/// Result of committing the response of a call.
#[derive(Debug, PartialEq, Eq)]
pub enum CommitResult {
    /// The response is committed and may be passed to the caller.
    Response(stored_response::StoredResponse),
    /// The ledger no longer holds the claim. The caller receives an unknown outcome.
    Unknown,
}

impl<S> Claim<S> {
    /// Returns the key of the call.
    pub fn key(&self) -> key::Key {
        self.key
    }

    /// Returns the identity of the claim.
    pub fn holder(&self) -> machine::Holder {
        self.holder
    }

    /// Returns the deadline of the call.
    pub fn deadline(&self) -> time::Instant {
        self.deadline
    }

    fn with_state<T>(self, state: T) -> Claim<T> {
        Claim {
            key: self.key,
            digest: self.digest,
            holder: self.holder,
            deadline: self.deadline,
            state,
        }
    }

    fn release_request(self, late: &mut LateGrants) -> request::Request {
        late.insert(&self);
        request::Request::Release {
            key: self.key,
            holder: self.holder,
        }
    }
}

impl Claim<Requested> {
    /// Creates a claim. `holder` must not have been used for another claim.
    pub fn new(
        key: key::Key,
        digest: digest::Digest,
        holder: machine::Holder,
        deadline: time::Instant,
    ) -> Self {
        Claim {
            key,
            digest,
            holder,
            deadline,
            state: Requested(()),
        }
    }

    /// Returns the request for the leader of the shard. After each change of leader it is sent
    /// again, with only the remaining time changed.
    pub fn request(&self, now: time::Instant) -> request::Request {
        request::Request::Claim {
            key: self.key,
            digest: self.digest,
            holder: self.holder,
            remaining: self.deadline.since(now),
        }
    }

    /// Returns the action that follows from the leader's reply.
    pub fn handle_reply(self, reply: &machine::Reply) -> ClaimDecision {
        if let Some((reason, outcome)) = outcome::Reason::of_reply(reply) {
            return ClaimDecision::Refused(reason, outcome);
        }
        match reply {
            machine::Reply::Granted => ClaimDecision::Granted(self.with_state(Granted(()))),
            machine::Reply::Completed(response) => ClaimDecision::Replay(response.clone()),
            _ => ClaimDecision::Waiting(self),
        }
    }

    /// Abandons the claim because the deadline is near or no quorum can be reached. The returned
    /// release is sent on a best-effort basis; a grant that arrives later is released through
    /// `late`.
    pub fn abandon(self, late: &mut LateGrants) -> request::Request {
        self.release_request(late)
    }
}

impl Claim<Granted> {
    /// Permits the call to be sent.
    ///
    /// # Errors
    ///
    /// Returns the claim after its deadline, so that it can be released.
    pub fn dispatch(self, now: time::Instant) -> Result<Claim<Dispatched>, Self> {
        if now >= self.deadline {
            return Err(self);
        }
        Ok(self.with_state(Dispatched(())))
    }

    /// Releases the claim. No byte of the call was sent.
    pub fn release(self, late: &mut LateGrants) -> request::Request {
        self.release_request(late)
    }
}

impl Claim<Dispatched> {
    /// Records a complete response. It may be passed on only after [`Claim::handle_reply`] of the
    /// returned claim.
    pub fn completed(self, response: stored_response::StoredResponse) -> Claim<Completing> {
        self.with_state(Completing(response))
    }

    /// Releases the claim of a call that was proved not to have run.
    pub fn not_run(self, _proof: outcome::NotRunProof, late: &mut LateGrants) -> request::Request {
        self.release_request(late)
    }

    /// Returns to the granted state, for an attempt at another target.
    pub fn retry(self, _proof: outcome::NotRunProof) -> Claim<Granted> {
        self.with_state(Granted(()))
    }

    /// Ends the claim of a call with an unknown outcome.
    pub fn fail(self) -> request::Request {
        request::Request::Fail {
            key: self.key,
            holder: self.holder,
        }
    }
}

impl Claim<Completing> {
    /// Returns the request for the leader of the shard, which is sent again after each change of
    /// leader.
    pub fn request(&self) -> request::Request {
        request::Request::Complete {
            key: self.key,
            holder: self.holder,
            response: self.state.0.clone().bounded(),
        }
    }

    /// Applies the leader's reply and returns the whole response, even if it was too large to be
    /// stored.
    pub fn handle_reply(self, reply: &machine::Reply) -> CommitResult {
        match reply {
            machine::Reply::Done => CommitResult::Response(self.state.0),
            _ => CommitResult::Unknown,
        }
    }
}

/// Claims of this gateway that ended without a run. A grant that arrives for one of them is
/// released. Grants of other claims are ignored, because a claim whose call ran must not be
/// released.
#[derive(Clone, Debug, Default)]
pub struct LateGrants {
    abandoned: collections::BTreeMap<machine::Holder, (key::Key, time::Instant)>,
}

impl LateGrants {
    fn insert<S>(&mut self, claim: &Claim<S>) {
        let until = claim.deadline + LATE_GRANT_WINDOW;
        self.abandoned.insert(claim.holder, (claim.key, until));
    }

    /// Returns the release of a late grant, if `reply` is one for a claim that ended without a run.
    pub fn handle_reply(
        &self,
        holder: machine::Holder,
        reply: &machine::Reply,
    ) -> Option<request::Request> {
        if *reply != machine::Reply::Granted {
            return None;
        }
        let (key, _) = self.abandoned.get(&holder)?;
        Some(request::Request::Release { key: *key, holder })
    }

    /// Drops claims whose window has passed. Must be called about once a second.
    pub fn expire(&mut self, now: time::Instant) {
        self.abandoned.retain(|_, (_, until)| *until > now);
    }

    /// Returns the number of claims kept.
    pub fn len(&self) -> usize {
        self.abandoned.len()
    }

    /// Returns `true` if no claim is kept.
    pub fn is_empty(&self) -> bool {
        self.abandoned.is_empty()
    }
}
