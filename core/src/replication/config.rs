//! Settings of a node, which the caller passes to [`super::Node::new`].

use std::time;

use crate::types;

/// Settings of a node. All nodes of a group must use the same timing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// VM of this node.
    pub id: types::VmId,
    /// Group that the node belongs to.
    pub group: types::GroupId,
    /// Interval between heartbeats of a leader.
    pub heartbeat: time::Duration,
    /// Shortest election timeout. A node grants no vote for this long after a leader's message.
    pub election_min: time::Duration,
    /// Longest election timeout. A leader without contact to a quorum for this long steps down.
    pub election_max: time::Duration,
    /// Largest difference between the rates of two VMs' clocks, in thousandths.
    pub clock_margin_permille: u32,
    /// Largest total size in bytes of the entries in one message. A single entry may exceed it.
    pub max_batch_bytes: usize,
    /// Size in bytes of the entries in flight to one follower at which no more are sent to it.
    pub max_in_flight_bytes: usize,
    /// Total size in bytes of uncommitted entries above which proposals are refused as busy.
    pub max_uncommitted_bytes: usize,
    /// Largest command in bytes. A message with one command must fit into a frame.
    pub max_command_bytes: usize,
    /// Size in bytes of one chunk of a snapshot.
    pub snapshot_chunk_bytes: usize,
    /// Number of entries before a snapshot that are kept in memory for slow followers.
    pub retained_entries: u64,
    /// Largest total size in bytes of these retained entries.
    pub retained_bytes: usize,
    /// Largest number of entries that a learner may lack when it becomes a voter.
    pub promotion_lag: u64,
    /// Seed of the random election timeouts.
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
    /// Returns how long a leader's lease lasts after the start of a round to which a quorum
    /// replied.
    ///
    /// Followers refuse votes for `election_min` by their own clocks, which may run faster, so the
    /// lease is shorter by the clock margin.
    pub(super) fn lease(&self) -> time::Duration {
        let margin = self.clock_margin_permille.min(1000);
        self.election_min * (1000 - margin) / 1000
    }
}
