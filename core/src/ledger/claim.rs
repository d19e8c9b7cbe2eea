//! Life cycle of one keyed call on its gateway.
//!
//! ```text
//! Requested -> Granted -> Dispatched -> Completing -> Committed
//!     |           |           |-> released (with a proof of not-run)
//!     |           |           '-> unknown
//!     |           '-> released
//!     '-> given up; a late grant is released by LateGrants
//! ```
//!
//! Each step consumes the claim, so that a call cannot be dispatched before its grant or after
//! giving up, and a dispatched claim cannot be released without a proof.

use std::{collections, time::Duration};

use super::{answer, digest, key, machine, request};
use crate::{outcome, time};

/// Time for which a claim that ended is remembered after its deadline, to release it when its grant
/// arrives late. It covers an election and the leader's grace for lost gateways.
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

/// The grant was asked for.
#[derive(Debug)]
pub struct Requested(());

/// The claim is committed; no byte of the call was sent.
#[derive(Debug)]
pub struct Granted(());

/// The call was or is being sent to a target.
#[derive(Debug)]
pub struct Dispatched(());

/// The call was answered; the answer is not committed yet.
#[derive(Debug)]
pub struct Completing(answer::Answer);

/// What a reply means for a requested claim.
#[derive(Debug)]
pub enum Answered {
    /// The call may be dispatched.
    Granted(Claim<Granted>),
    /// Another claim runs the call; its outcome will be sent.
    Waiting(Claim<Requested>),
    /// The call ran; its stored answer is passed to the caller.
    Replay(answer::Answer),
    /// The call is not dispatched.
    Refused(outcome::Reason, outcome::Outcome),
}

/// The answer of a call whose outcome is committed.
#[derive(Debug, PartialEq, Eq)]
pub enum Committed {
    /// The answer may be passed to the caller.
    Answer(answer::Answer),
    /// The ledger no longer knows the claim; the caller is told that the outcome is unknown.
    Unknown,
}

impl<S> Claim<S> {
    /// Key of the call.
    pub fn key(&self) -> key::Key {
        self.key
    }

    /// Identity of the claim.
    pub fn holder(&self) -> machine::Holder {
        self.holder
    }

    /// Deadline of the call.
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

    fn released(self, late: &mut LateGrants) -> request::Request {
        late.insert(&self);
        request::Request::Release {
            key: self.key,
            holder: self.holder,
        }
    }
}

impl Claim<Requested> {
    /// Starts the life cycle. `holder` must not have been used for another claim.
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

    /// Request for the leader of the shard. It is sent again, unchanged but for the remaining time,
    /// after each change of leader.
    pub fn request(&self, now: time::Instant) -> request::Request {
        request::Request::Claim {
            key: self.key,
            digest: self.digest,
            holder: self.holder,
            remaining: self.deadline.since(now),
        }
    }

    /// Takes the leader's reply.
    pub fn reply(self, reply: &machine::Reply) -> Answered {
        if let Some((reason, outcome)) = outcome::Reason::of_reply(reply) {
            return Answered::Refused(reason, outcome);
        }
        match reply {
            machine::Reply::Granted => Answered::Granted(self.with_state(Granted(()))),
            machine::Reply::Completed(answer) => Answered::Replay(answer.clone()),
            _ => Answered::Waiting(self),
        }
    }

    /// Gives up, because the deadline is near or no quorum can be reached. The returned release is
    /// sent as far as possible; a grant that arrives later is released through `late`.
    pub fn give_up(self, late: &mut LateGrants) -> request::Request {
        self.released(late)
    }
}

impl Claim<Granted> {
    /// Allows the call to be sent. After the deadline the claim is handed back to be released.
    pub fn dispatch(self, now: time::Instant) -> Result<Claim<Dispatched>, Self> {
        if now >= self.deadline {
            return Err(self);
        }
        Ok(self.with_state(Dispatched(())))
    }

    /// Ends the claim; no byte of the call was sent.
    pub fn release(self, late: &mut LateGrants) -> request::Request {
        self.released(late)
    }
}

impl Claim<Dispatched> {
    /// The call was answered completely. The answer is passed on only after [`Claim::reply`] of the
    /// returned claim.
    pub fn completed(self, answer: answer::Answer) -> Claim<Completing> {
        self.with_state(Completing(answer))
    }

    /// Ends the claim of a call that was proved not to have run.
    pub fn not_run(self, _proof: outcome::NotRunProof, late: &mut LateGrants) -> request::Request {
        self.released(late)
    }

    /// Returns to the granted state, to try another target.
    pub fn retry(self, _proof: outcome::NotRunProof) -> Claim<Granted> {
        self.with_state(Granted(()))
    }

    /// Ends the claim of a call whose outcome is not known.
    pub fn unknown(self) -> request::Request {
        request::Request::Fail {
            key: self.key,
            holder: self.holder,
        }
    }
}

impl Claim<Completing> {
    /// Request for the leader of the shard; sent again after each change of leader.
    pub fn request(&self) -> request::Request {
        request::Request::Complete {
            key: self.key,
            holder: self.holder,
            answer: self.state.0.clone().bounded(),
        }
    }

    /// Takes the leader's reply and hands out the whole answer, also when it was too large to be
    /// stored.
    pub fn reply(self, reply: &machine::Reply) -> Committed {
        match reply {
            machine::Reply::Done => Committed::Answer(self.state.0),
            _ => Committed::Unknown,
        }
    }
}

/// Claims of this gateway that ended without a run. A grant that arrives for one of them is
/// released. Grants of other claims are left alone, because a claim that ran must not be released.
#[derive(Clone, Debug, Default)]
pub struct LateGrants {
    ended: collections::BTreeMap<machine::Holder, (key::Key, time::Instant)>,
}

impl LateGrants {
    fn insert<S>(&mut self, claim: &Claim<S>) {
        let until = claim.deadline + LATE_GRANT_WINDOW;
        self.ended.insert(claim.holder, (claim.key, until));
    }

    /// Takes a reply for a claim that is no longer tracked; returns the release of a late grant.
    pub fn reply(
        &self,
        holder: machine::Holder,
        reply: &machine::Reply,
    ) -> Option<request::Request> {
        if *reply != machine::Reply::Granted {
            return None;
        }
        let (key, _) = self.ended.get(&holder)?;
        Some(request::Request::Release { key: *key, holder })
    }

    /// Forgets claims whose window has passed. Called about once a second.
    pub fn expire(&mut self, now: time::Instant) {
        self.ended.retain(|_, (_, until)| *until > now);
    }

    /// Number of remembered claims.
    pub fn len(&self) -> usize {
        self.ended.len()
    }

    /// Whether no claim is remembered.
    pub fn is_empty(&self) -> bool {
        self.ended.is_empty()
    }
}
