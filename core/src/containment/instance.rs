//! Evidence about one incarnation of a target on one gateway.

use std::time::Duration;

use super::message;
use crate::time;

/// Ends of other connections count as evidence if they were seen this long before the first end of
/// a call's connection, because one loop reads the ends of a process in any order.
const RECENT: Duration = Duration::from_secs(1);

/// How a connection ended.
#[derive(Clone, Debug)]
pub enum End {
    /// The target ended it while it carried no call, or after a complete answer.
    Idle,
    /// The target ended it before a complete answer of this call.
    Unanswered {
        /// Id of the call.
        call: u64,
        /// Request of the call.
        suspect: message::Suspect,
    },
    /// This gateway closed it, which says nothing about the target.
    Own,
}

/// Calls whose connections ended without an answer, until it is clear whether the target was lost.
#[derive(Clone, Debug)]
pub(super) struct Break {
    pub(super) since: time::Instant,
    // Connections from before the break that are still open.
    remaining: usize,
    // Connections that the target ended, including those of the calls.
    ended: usize,
    refused: bool,
    pub(super) calls: Vec<message::Suspect>,
}

/// Connections and calls of this gateway on one incarnation.
#[derive(Clone, Debug, Default)]
pub(super) struct Instance {
    pub(super) open: usize,
    pub(super) in_flight: usize,
    pub(super) reserved_by: Option<u64>,
    pub(super) lost: bool,
    pub(super) broken: Option<Break>,
    recent_ends: usize,
    last_end: time::Instant,
}

impl Instance {
    /// A connection that was opened at `opened` ended.
    pub(super) fn connection_ended(&mut self, now: time::Instant, opened: time::Instant, end: End) {
        self.open = self.open.saturating_sub(1);
        let own = matches!(end, End::Own);
        if let Some(broken) = &mut self.broken {
            broken.ended += usize::from(!own);
            if opened <= broken.since {
                broken.remaining = broken.remaining.saturating_sub(1);
            }
        }
        if let End::Unanswered { suspect, .. } = end {
            let broken = self.broken.get_or_insert_with(|| Break {
                since: now,
                remaining: self.open,
                ended: 1 + if now.since(self.last_end) <= RECENT {
                    self.recent_ends
                } else {
                    0
                },
                refused: false,
                calls: Vec::new(),
            });
            broken.calls.push(suspect);
        }
        if own {
            return;
        }
        if now.since(self.last_end) > RECENT {
            self.recent_ends = 0;
        }
        self.recent_ends += 1;
        self.last_end = now;
    }

    /// The target refused a new connection.
    pub(super) fn connect_failed(&mut self) {
        if let Some(broken) = &mut self.broken {
            broken.refused = true;
        }
    }

    /// A complete answer arrived. It proves that the incarnation lives if its call was sent after
    /// the break on a connection from before it: an earlier call may have been answered before the
    /// loss, and a newer connection may lead to the target's successor.
    pub(super) fn answered(
        &mut self,
        opened: time::Instant,
        started: time::Instant,
    ) -> Option<Break> {
        let proves = |b: &Break| opened < b.since && started > b.since;
        self.broken.take_if(|broken| proves(broken))
    }

    /// Returns the calls in flight at the loss, once the loss is certain.
    pub(super) fn take_loss(&mut self) -> Option<Break> {
        let broken = self.broken.as_ref()?;
        let all_ended = broken.remaining == 0 && (broken.ended >= 2 || broken.refused);
        if !all_ended && !self.lost {
            return None;
        }
        self.lost = true;
        self.broken.take()
    }

    /// Whether nothing is left to remember.
    pub(super) fn is_unused(&self) -> bool {
        self.open == 0 && self.in_flight == 0 && self.broken.is_none() && self.reserved_by.is_none()
    }
}
