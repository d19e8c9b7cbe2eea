//! Replication progress of one follower, which the leader tracks from the follower's replies.

use std::collections;

use crate::{storage, time, types};

/// How the leader sends entries to a follower.
#[derive(Debug)]
pub(super) enum Mode {
    /// The last index at which the logs agree is unknown, so one message is sent at a time.
    Probe {
        /// Whether a message with entries was sent that has no reply yet.
        awaiting_reply: bool,
    },
    /// Entries are sent without waiting for replies to earlier ones.
    Replicate,
    /// The follower lacks compacted entries and receives a snapshot.
    Snapshot(SnapshotTransfer),
}

/// Progress of a snapshot transfer.
#[derive(Debug)]
pub(super) struct SnapshotTransfer {
    pub(super) snapshot: storage::Snapshot,
    /// Size in bytes of the part that the follower has confirmed.
    pub(super) offset: u64,
    /// When the chunk at `offset` was sent; `None` when it must be sent.
    pub(super) chunk_sent_at: Option<time::Instant>,
}

/// Replication state of one follower.
#[derive(Debug)]
pub(super) struct Peer {
    /// Last index that the follower has synced.
    pub(super) match_index: types::LogIndex,
    /// Index of the next entry to send.
    pub(super) next_index: types::LogIndex,
    pub(super) mode: Mode,
    /// Latest round to which the follower has replied.
    pub(super) round: u64,
    /// When the last reply of the current term arrived.
    pub(super) last_contact: Option<time::Instant>,
    /// Last index and size in bytes of each sent batch that is not yet accepted.
    in_flight: collections::VecDeque<(types::LogIndex, usize)>,
    /// Total size in bytes of these batches.
    in_flight_bytes: usize,
}

impl Peer {
    pub(super) fn new(next_index: types::LogIndex) -> Peer {
        Peer {
            match_index: types::LogIndex(0),
            next_index,
            mode: Mode::Probe {
                awaiting_reply: false,
            },
            round: 0,
            last_contact: None,
            in_flight: collections::VecDeque::new(),
            in_flight_bytes: 0,
        }
    }

    /// Returns whether entries may be sent now.
    pub(super) fn may_send(&self, max_in_flight_bytes: usize) -> bool {
        match self.mode {
            Mode::Probe { awaiting_reply } => !awaiting_reply,
            Mode::Replicate => self.in_flight_bytes < max_in_flight_bytes,
            Mode::Snapshot(_) => false,
        }
    }

    /// Records that `entries` were sent.
    pub(super) fn record_sent(&mut self, entries: &[storage::Entry]) {
        match &mut self.mode {
            Mode::Probe { awaiting_reply } => *awaiting_reply = true,
            Mode::Replicate => {
                let Some(last) = entries.last() else {
                    return;
                };
                let bytes = entries.iter().map(storage::Entry::size).sum();
                self.next_index = types::LogIndex(last.index.0 + 1);
                self.in_flight.push_back((last.index, bytes));
                self.in_flight_bytes += bytes;
            }
            Mode::Snapshot(_) => {}
        }
    }

    /// Records that the follower's log agrees up to `verified`, which ends probing when it reaches
    /// the next index to send.
    pub(super) fn record_verified(&mut self, verified: types::LogIndex) {
        while let Some((last, bytes)) = self.in_flight.front().copied() {
            if last > verified {
                break;
            }
            self.in_flight_bytes -= bytes;
            self.in_flight.pop_front();
        }
        if matches!(self.mode, Mode::Probe { .. }) && verified.0 + 1 >= self.next_index.0 {
            self.mode = Mode::Replicate;
        }
        self.next_index = self.next_index.max(types::LogIndex(verified.0 + 1));
    }

    /// Returns to probing, starting at `next_index`.
    pub(super) fn start_probing(&mut self, next_index: types::LogIndex) {
        self.next_index = next_index.max(types::LogIndex(self.match_index.0 + 1));
        self.mode = Mode::Probe {
            awaiting_reply: false,
        };
        self.in_flight.clear();
        self.in_flight_bytes = 0;
    }

    /// Starts to send `snapshot` from its first byte.
    pub(super) fn begin_snapshot(&mut self, snapshot: storage::Snapshot) {
        self.in_flight.clear();
        self.in_flight_bytes = 0;
        self.mode = Mode::Snapshot(SnapshotTransfer {
            snapshot,
            offset: 0,
            chunk_sent_at: None,
        });
    }
}
