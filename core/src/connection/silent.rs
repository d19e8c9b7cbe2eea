//! What becomes of a call whose connection may be silent.

use super::health;
use crate::time;

/// Most moves of one call to a new connection. A second move covers a path that fails twice; more
/// would multiply the load of a target that is merely slow.
pub const MAX_MOVES: u32 = 2;

/// A call in flight, as far as silence matters.
#[derive(Clone, Copy, Debug)]
pub struct CallView {
    /// Whether the call may be sent twice.
    pub idempotent: bool,
    /// Time of the last byte on the connection, or of the check-out.
    pub last_byte: time::Instant,
    /// Deadline of the caller.
    pub deadline: time::Instant,
    /// Whether a part of the answer was passed to the caller.
    pub answer_started: bool,
    /// Earlier moves of this call.
    pub moves: u32,
}

/// What to do with the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Keep waiting and ask again at this time.
    Wait(time::Instant),
    /// Close the connection and send the call again on a new one.
    Move,
    /// Keep waiting until the deadline, since the call must not be sent again. The connection is
    /// reported as silent and never pooled.
    Hold(time::Instant),
    /// The deadline has passed; the outcome is not known.
    Unknown,
    /// The deadline has passed after a part of the answer was passed on; the connection to the
    /// caller is aborted.
    Abort,
}

/// Decides about a call at `now`, from the latency measured at its target.
pub fn decide(now: time::Instant, call: &CallView, health: &health::Health) -> Decision {
    if now >= call.deadline {
        return match call.answer_started {
            true => Decision::Abort,
            false => Decision::Unknown,
        };
    }
    let suspect_at = health.suspect_at(call.last_byte, call.deadline);
    if now < suspect_at {
        return Decision::Wait(suspect_at);
    }
    let movable = call.idempotent && !call.answer_started && call.moves < MAX_MOVES;
    match movable {
        true => Decision::Move,
        false => Decision::Hold(call.deadline),
    }
}
