//! Decides what happens to a call whose connection may be silent.
//!
//! The inputs are the progress of the call on its connection and the latency estimate of the
//! target.

use super::latency;
use crate::time;

/// Maximum number of times a call is sent again on a new connection. The second one covers a path
/// that fails twice; more would multiply the load of a target that is merely slow.
pub const MAX_RECONNECTS: u32 = 2;

/// Progress of a call in flight.
#[derive(Clone, Copy, Debug)]
pub struct CallProgress {
    /// Whether the call may be sent twice.
    pub idempotent: bool,
    /// Time of the last byte on the connection, or of the check-out.
    pub last_progress: time::Instant,
    /// Deadline of the call.
    pub deadline: time::Instant,
    /// Whether a part of the response was passed to the caller.
    pub response_started: bool,
    /// Number of times the call was already sent again on a new connection.
    pub reconnects: u32,
}

/// Action for the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Keep waiting and check again at this time.
    Wait(time::Instant),
    /// Close the connection and send the call again on a new one.
    Reconnect,
    /// Keep waiting until the deadline, because the call must not be sent again. The connection is
    /// reported as silent and is not returned to the pool.
    WaitForDeadline(time::Instant),
    /// The deadline has passed. The outcome is unknown.
    Unknown,
    /// The deadline has passed after a part of the response was passed on. The connection to the
    /// caller is aborted.
    Abort,
}

/// Returns the action for a call at `now`, based on the latency measured at its target.
pub fn check_silence(
    now: time::Instant,
    call: &CallProgress,
    latency: &latency::LatencyTracker,
) -> Decision {
    if now >= call.deadline {
        return match call.response_started {
            true => Decision::Abort,
            false => Decision::Unknown,
        };
    }
    let silent_at = latency.silent_at(call.last_progress, call.deadline);
    if now < silent_at {
        return Decision::Wait(silent_at);
    }
    let may_reconnect =
        call.idempotent && !call.response_started && call.reconnects < MAX_RECONNECTS;
    match may_reconnect {
        true => Decision::Reconnect,
        false => Decision::WaitForDeadline(call.deadline),
    }
}
