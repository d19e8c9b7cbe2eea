//! Evidence of one gateway on whether one incarnation of a target crashed.
//!
//! The inputs are the ends of the gateway's own connections and calls. A loss is certain once all
//! connections that were open when a call's connection ended without a response have ended as well,
//! and either a second connection ended or a new one was refused, or once the incarnation has
//! ended.

use std::time::Duration;

use super::message;
use crate::time;

/// Period before a call's connection ended without a response within which the ends of other
/// connections count as evidence. The event loop can read the ends of a crashed process's
/// connections in any order.
const RECENT_END_WINDOW: Duration = Duration::from_secs(1);

/// How a connection ended.
#[derive(Clone, Debug)]
pub enum ConnectionEnd {
    /// The target closed it while no call was in flight, or after a complete response.
    Idle,
    /// The target closed it before the response to this call was complete.
    Unanswered {
        /// Id of the call.
        call: u64,
        /// Request of the call.
        suspect: message::Suspect,
    },
    /// This gateway closed it, which is no evidence about the target.
    ClosedLocally,
}

/// A possible loss of the target: calls whose connections ended without a complete response.
#[derive(Clone, Debug)]
pub(super) struct PossibleLoss {
    pub(super) since: time::Instant,
    // Connections opened before `since` that are still open.
    remaining_connections: usize,
    // Connections that the target closed, including those of the calls.
    ended_connections: usize,
    connect_refused: bool,
    pub(super) suspects: Vec<message::Suspect>,
}

/// Connections and calls of this gateway on one incarnation of a target.
#[derive(Clone, Debug, Default)]
pub(super) struct Instance {
    pub(super) open_connections: usize,
    pub(super) calls_in_flight: usize,
    pub(super) reserved_by: Option<u64>,
    pub(super) lost: bool,
    pub(super) possible_loss: Option<PossibleLoss>,
    recent_ends: usize,
    last_end: time::Instant,
}

impl Instance {
    /// Records the end of a connection that was opened at `opened`.
    pub(super) fn connection_ended(
        &mut self,
        now: time::Instant,
        opened: time::Instant,
        end: ConnectionEnd,
    ) {
        self.open_connections = self.open_connections.saturating_sub(1);
        let closed_locally = matches!(end, ConnectionEnd::ClosedLocally);
        if let Some(possible_loss) = &mut self.possible_loss {
            possible_loss.ended_connections += usize::from(!closed_locally);
            if opened <= possible_loss.since {
                possible_loss.remaining_connections =
                    possible_loss.remaining_connections.saturating_sub(1);
            }
        }
        if let ConnectionEnd::Unanswered { suspect, .. } = end {
            let possible_loss = self.possible_loss.get_or_insert_with(|| PossibleLoss {
                since: now,
                remaining_connections: self.open_connections,
                ended_connections: 1 + if now.since(self.last_end) <= RECENT_END_WINDOW {
                    self.recent_ends
                } else {
                    0
                },
                connect_refused: false,
                suspects: Vec::new(),
            });
            possible_loss.suspects.push(suspect);
        }
        if closed_locally {
            return;
        }
        if now.since(self.last_end) > RECENT_END_WINDOW {
            self.recent_ends = 0;
        }
        self.recent_ends += 1;
        self.last_end = now;
    }

    /// Records that the target refused a new connection.
    pub(super) fn connect_failed(&mut self) {
        if let Some(possible_loss) = &mut self.possible_loss {
            possible_loss.connect_refused = true;
        }
    }

    /// Records a complete response and returns the possible loss that it rules out. Only a call
    /// sent after the possible loss, on a connection opened before it, proves that the incarnation
    /// still runs: the response to an earlier call may have been sent before a crash, and a newer
    /// connection may lead to the target's next incarnation.
    pub(super) fn response_received(
        &mut self,
        opened: time::Instant,
        started: time::Instant,
    ) -> Option<PossibleLoss> {
        let proves = |loss: &PossibleLoss| opened < loss.since && started > loss.since;
        self.possible_loss
            .take_if(|possible_loss| proves(possible_loss))
    }

    /// Returns the requests that were in flight once the loss is certain.
    pub(super) fn take_confirmed_loss(&mut self) -> Option<PossibleLoss> {
        let possible_loss = self.possible_loss.as_ref()?;
        let all_ended = possible_loss.remaining_connections == 0
            && (possible_loss.ended_connections >= 2 || possible_loss.connect_refused);
        if !all_ended && !self.lost {
            return None;
        }
        self.lost = true;
        self.possible_loss.take()
    }

    /// Returns `true` if the entry holds no state and can be dropped.
    pub(super) fn is_unused(&self) -> bool {
        self.open_connections == 0
            && self.calls_in_flight == 0
            && self.possible_loss.is_none()
            && self.reserved_by.is_none()
    }
}
