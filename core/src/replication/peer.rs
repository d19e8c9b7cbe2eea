//! What a leader knows about one follower.

use std::collections;

use crate::{storage, time, types};

/// How entries are sent to a follower.
#[derive(Debug)]
pub(super) enum Mode {
    /// The last agreeing index is unknown; one message at a time.
    Probe {
        /// Whether a message was sent that is not answered yet.
        sent: bool,
    },
    /// Entries are sent as they come.
    Replicate,
    /// The follower lacks compacted entries and gets a snapshot.
    Snapshot(Transfer),
}

/// Progress of a snapshot transfer.
#[derive(Debug)]
pub(super) struct Transfer {
    pub(super) snapshot: storage::Snapshot,
    /// Bytes that the follower has confirmed.
    pub(super) offset: u64,
    /// When the chunk at `offset` was sent.
    pub(super) sent: Option<time::Instant>,
}

/// One follower as seen by the leader.
#[derive(Debug)]
pub(super) struct Peer {
    /// Last index that the follower has synced.
    pub(super) match_index: types::LogIndex,
    /// Next index to send.
    pub(super) next: types::LogIndex,
    pub(super) mode: Mode,
    /// Latest round that the follower has answered.
    pub(super) round: u64,
    /// When the follower was last heard.
    pub(super) last_contact: Option<time::Instant>,
    in_flight: collections::VecDeque<(types::LogIndex, usize)>,
    in_flight_bytes: usize,
}

impl Peer {
    pub(super) fn new(next: types::LogIndex) -> Peer {
        Peer {
            match_index: types::LogIndex(0),
            next,
            mode: Mode::Probe { sent: false },
            round: 0,
            last_contact: None,
            in_flight: collections::VecDeque::new(),
            in_flight_bytes: 0,
        }
    }

    /// Returns whether entries may be sent now.
    pub(super) fn may_send(&self, max_in_flight_bytes: usize) -> bool {
        match self.mode {
            Mode::Probe { sent } => !sent,
            Mode::Replicate => self.in_flight_bytes < max_in_flight_bytes,
            Mode::Snapshot(_) => false,
        }
    }

    /// Records that `entries` were sent.
    pub(super) fn sent(&mut self, entries: &[storage::Entry]) {
        match &mut self.mode {
            Mode::Probe { sent } => *sent = true,
            Mode::Replicate => {
                let Some(last) = entries.last() else {
                    return;
                };
                let bytes = entries.iter().map(storage::Entry::size).sum();
                self.next = types::LogIndex(last.index.0 + 1);
                self.in_flight.push_back((last.index, bytes));
                self.in_flight_bytes += bytes;
            }
            Mode::Snapshot(_) => {}
        }
    }

    /// Records that the log agrees up to `verified`.
    pub(super) fn verified(&mut self, verified: types::LogIndex) {
        while let Some((last, bytes)) = self.in_flight.front().copied() {
            if last > verified {
                break;
            }
            self.in_flight_bytes -= bytes;
            self.in_flight.pop_front();
        }
        if matches!(self.mode, Mode::Probe { .. }) && verified.0 + 1 >= self.next.0 {
            self.mode = Mode::Replicate;
        }
        self.next = self.next.max(types::LogIndex(verified.0 + 1));
    }

    /// Goes back to probing from `next`.
    pub(super) fn probe(&mut self, next: types::LogIndex) {
        self.next = next.max(types::LogIndex(self.match_index.0 + 1));
        self.mode = Mode::Probe { sent: false };
        self.in_flight.clear();
        self.in_flight_bytes = 0;
    }

    /// Begins to send `snapshot`.
    pub(super) fn begin_snapshot(&mut self, snapshot: storage::Snapshot) {
        self.in_flight.clear();
        self.in_flight_bytes = 0;
        self.mode = Mode::Snapshot(Transfer {
            snapshot,
            offset: 0,
            sent: None,
        });
    }
}
