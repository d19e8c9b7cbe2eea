//! Settings of a node.

use std::time;

use crate::types;

/// Settings of a node. All nodes of a group use the same timing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// VM of this node.
    pub id: types::VmId,
    /// Group that the node belongs to.
    pub group: types::GroupId,
    /// Interval between heartbeats of a leader.
    pub heartbeat: time::Duration,
    /// Shortest election timeout. For this long after hearing from a leader no vote is given.
    pub election_min: time::Duration,
    /// Longest election timeout. A leader without a quorum for this long steps down.
    pub election_max: time::Duration,
    /// Largest difference in rate between two VMs' clocks, in thousandths.
    pub clock_margin_permille: u32,
    /// Entries in one message stay below this size unless a single entry exceeds it.
    pub max_batch_bytes: usize,
    /// Entries sent to one follower and not yet accepted stay below this size.
    pub max_in_flight_bytes: usize,
    /// Proposals are refused as busy above this size of entries that are not yet committed.
    pub max_uncommitted_bytes: usize,
    /// Largest command in bytes. A message with one command must fit into a frame.
    pub max_command_bytes: usize,
    /// Size of one piece of a snapshot in bytes.
    pub snapshot_chunk_bytes: usize,
    /// Entries before a snapshot that are kept in memory for slow followers.
    pub retained_entries: u64,
    /// Size in bytes that these entries may have.
    pub retained_bytes: usize,
    /// A learner may become a voter when it lacks at most this many entries.
    pub promotion_lag: u64,
    /// Seed of the election timeouts.
    pub seed: u64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            id: types::VmId(0),
            group: types::GroupId(0),
            heartbeat: time::Duration::from_millis(200),
            election_min: time::Duration::from_millis(500),
            election_max: time::Duration::from_millis(1000),
            clock_margin_permille: 10,
            max_batch_bytes: 256 * 1024,
            max_in_flight_bytes: 2 * 1024 * 1024,
            max_uncommitted_bytes: 8 * 1024 * 1024,
            max_command_bytes: 768 * 1024,
            snapshot_chunk_bytes: 256 * 1024,
            retained_entries: 1024,
            retained_bytes: 1024 * 1024,
            promotion_lag: 64,
            seed: 0,
        }
    }
}

impl Config {
    /// Returns how long a leader's lease lasts after the start of a round that a quorum answered.
    ///
    /// Followers refuse votes for `election_min` by their own clocks, which may run faster.
    pub(super) fn lease(&self) -> time::Duration {
        let margin = self.clock_margin_permille.min(1000);
        self.election_min * (1000 - margin) / 1000
    }
}
