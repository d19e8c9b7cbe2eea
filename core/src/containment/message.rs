//! What gateways and the leader tell each other.

use std::time::Duration;

use super::fingerprint;
use crate::types;

/// One incarnation of a target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Target {
    /// Service of the target.
    pub service: types::ServiceName,
    /// Target within the service.
    pub id: types::TargetId,
    /// Start counter of the target.
    pub incarnation: types::Incarnation,
}

/// A request that was in flight on a lost target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// Fingerprint of the request.
    pub fingerprint: fingerprint::Fingerprint,
    /// Service, method and path, for operators.
    pub label: String,
}

/// A target was lost while requests were in flight on it. Reports of several gateways about the
/// same incarnation count as one loss.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// Lost target.
    pub target: Target,
    /// Requests in flight from the reporting gateway.
    pub suspects: Vec<Suspect>,
}

/// Asks to run a suspect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitRequest {
    /// Call that wants to run; unique within the gateway.
    pub call: u64,
    /// Request of the call.
    pub suspect: Suspect,
    /// Time left until the call's deadline.
    pub remaining: Duration,
}

/// Answer to a [`PermitRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitReply {
    /// The call runs isolated. The permit is held until [`PermitDone`].
    Granted,
    /// The request was cleared in the meantime; the call runs as usual.
    Cleared,
    /// The request is blocked for this time.
    Blocked(Duration),
    /// There was no turn before the deadline, or too many calls wait.
    NoTurn,
}

/// How an isolated run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunResult {
    /// The target answered completely.
    Answered,
    /// The target was lost; a [`CrashReport`] was sent before.
    Lost,
    /// The call did not run, or its end proves nothing about the target.
    Inconclusive,
}

/// Returns a permit. Also sent, with [`RunResult::Answered`] and no permit held, when a suspect
/// that was already running was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitDone {
    /// Call that held the permit.
    pub call: u64,
    /// Request of the call.
    pub fingerprint: fingerprint::Fingerprint,
    /// How the run ended.
    pub result: RunResult,
}

/// What is known about a suspect or blocked request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Request and its description.
    pub suspect: Suspect,
    /// Lost targets.
    pub losses: Vec<Target>,
    /// Remaining time of the block; `None` for a suspect.
    pub blocked_for: Option<Duration>,
}

/// Change that the leader sends to all gateways.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// A request became a suspect, lost another target or was blocked.
    Update(Record),
    /// A request is no longer a suspect or blocked.
    Cleared(fingerprint::Fingerprint),
}

/// What a gateway tells a new leader.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rebuild {
    /// Suspects and blocks known to the gateway.
    pub records: Vec<Record>,
    /// Targets that may be lost, with the calls that were in flight.
    pub doubts: Vec<CrashReport>,
    /// Isolated runs that hold a permit of an earlier leader: call, request and remaining time.
    pub permits: Vec<PermitRequest>,
}
