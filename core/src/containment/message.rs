//! Messages between the gateways and the leader of group 0 about requests that crash targets.

use std::time::Duration;

use super::fingerprint;
use crate::types;

/// One incarnation of a target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Target {
    /// Service of the target.
    pub service: types::ServiceName,
    /// Id of the target within the service.
    pub id: types::TargetId,
    /// Incarnation of the target's process.
    pub incarnation: types::Incarnation,
}

/// A request that was in flight on a lost target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// Fingerprint of the request.
    pub fingerprint: fingerprint::Fingerprint,
    /// Service, method and path of the request, shown to operators.
    pub label: String,
}

/// A target was lost, or may have been lost, while requests were in flight on it. Reports of
/// several gateways about the same incarnation count as one loss.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// Lost target.
    pub target: Target,
    /// Requests that the reporting gateway had in flight on the target.
    pub suspects: Vec<Suspect>,
}

/// Request for a permit to run a suspect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitRequest {
    /// Id of the call, unique within the gateway.
    pub call: u64,
    /// Request of the call.
    pub suspect: Suspect,
    /// Time remaining until the call's deadline.
    pub remaining: Duration,
}

/// Reply to a [`PermitRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitReply {
    /// The call runs isolated. It holds the permit until [`PermitDone`].
    Granted,
    /// The request is no longer a suspect; the call runs without restriction.
    Cleared,
    /// The request is blocked for this time.
    Blocked(Duration),
    /// No permit became available before the deadline, or too many calls wait for one.
    NotGranted,
}

/// Result of an isolated run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunResult {
    /// The target returned a complete response.
    Answered,
    /// The target was lost; a [`CrashReport`] was sent before.
    Lost,
    /// The call did not run, or its result is no evidence about the target.
    Inconclusive,
}

/// Returns a permit. It is also sent without a permit, with [`RunResult::Answered`], when a suspect
/// that was already running received a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitDone {
    /// Call that held the permit.
    pub call: u64,
    /// Fingerprint of the call's request.
    pub fingerprint: fingerprint::Fingerprint,
    /// Result of the run.
    pub result: RunResult,
}

/// State of a suspect or blocked request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Fingerprint and label of the request.
    pub suspect: Suspect,
    /// Targets lost with the request.
    pub losses: Vec<Target>,
    /// Remaining duration of the block; `None` for a suspect.
    pub blocked_for: Option<Duration>,
}

/// Change that the leader sends to all gateways.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The request became a suspect, lost another target or was blocked.
    Update(Record),
    /// The request is no longer a suspect or blocked.
    Cleared(fingerprint::Fingerprint),
}

/// State that a gateway reports to a new leader.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rebuild {
    /// Suspects and blocks held by the gateway.
    pub records: Vec<Record>,
    /// Targets that may have been lost, with the requests that were in flight.
    pub possible_losses: Vec<CrashReport>,
    /// Isolated runs with a permit of an earlier leader: call, request and remaining time.
    pub permits: Vec<PermitRequest>,
}
