//! Settings of the world and the protections that a script can switch off.

use std::time;

use wagtailshunt_core::replication;

use super::network::Network;
use crate::scenario::{Arg, WorldError};

/// Protections that a script can switch off, to verify that its checks fail without them. The fake
/// network, disks or configuration then defeat the protection; the code of the nodes is unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Protections {
    /// Off: the network grants every pre-vote, without delivering the request.
    pub(super) pre_vote: bool,
    /// Off: as without `pre_vote`, and every vote request is marked as part of a leadership
    /// transfer.
    pub(super) vote_silence: bool,
    /// Off: a node starts as if its start had been long ago, so it may vote at once.
    pub(super) start_silence: bool,
    /// Off: the network replies to append requests on cut links.
    pub(super) check_quorum: bool,
    /// Off: batches are acknowledged as durable before they are written.
    pub(super) ack_after_sync: bool,
    /// Off: the disk ignores syncs of log segments.
    pub(super) log_sync: bool,
    /// Off: the disk ignores syncs of snapshots.
    pub(super) snapshot_sync: bool,
    /// Off: the disk ignores syncs of the folder.
    pub(super) folder_sync: bool,
    /// Off: a node does not start once a torn log tail was found on its disk.
    pub(super) torn_tail: bool,
    /// Off: a learner may become a voter however far its log lags.
    pub(super) catch_up: bool,
}

impl Default for Protections {
    fn default() -> Protections {
        Protections {
            pre_vote: true,
            vote_silence: true,
            start_silence: true,
            check_quorum: true,
            ack_after_sync: true,
            log_sync: true,
            snapshot_sync: true,
            folder_sync: true,
            torn_tail: true,
            catch_up: true,
        }
    }
}

/// Settings of the world.
#[derive(Clone, Debug)]
pub(super) struct Settings {
    pub(super) nodes: u32,
    pub(super) spares: u32,
    pub(super) network: Network,
    /// Time to write and sync a batch on disk.
    pub(super) batch_write_time: time::Duration,
    /// Number of log entries after which a node takes a snapshot; 0 for never.
    pub(super) snapshot_every: u64,
    pub(super) segment_bytes: u64,
    /// Difference in rate between the fastest and the slowest clock, in thousandths.
    pub(super) drift_permille: u64,
    pub(super) protections: Protections,
    pub(super) node: replication::Config,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            nodes: 5,
            spares: 0,
            network: Network::default(),
            batch_write_time: time::Duration::from_millis(2),
            snapshot_every: 0,
            segment_bytes: 4096,
            drift_permille: 0,
            protections: Protections::default(),
            node: replication::Config {
                retained_entries: 16,
                snapshot_chunk_bytes: 100,
                ..replication::Config::default()
            },
        }
    }
}

impl Settings {
    pub(super) fn set(&mut self, key: &str, value: &Arg) -> Result<(), WorldError> {
        let protections = &mut self.protections;
        match key {
            "nodes" => self.nodes = value.as_u64()? as u32,
            "spares" => self.spares = value.as_u64()? as u32,
            "latency" => self.network.latency = value.as_duration()?,
            "jitter" => self.network.jitter = value.as_duration()?,
            "loss" => self.network.loss = probability(value)?,
            "duplicate" => self.network.duplicate = probability(value)?,
            "reorder" => self.network.reorder = probability(value)?,
            "disk" => self.batch_write_time = value.as_duration()?,
            "snapshot_every" => self.snapshot_every = value.as_u64()?,
            "segment_bytes" => self.segment_bytes = value.as_u64()?,
            "retained_entries" => self.node.retained_entries = value.as_u64()?,
            "heartbeat" => self.node.heartbeat = value.as_duration()?,
            "election_min" => self.node.election_min = value.as_duration()?,
            "election_max" => self.node.election_max = value.as_duration()?,
            "drift_permille" => self.drift_permille = value.as_u64()?,
            "clock_margin_permille" => self.node.clock_margin_permille = value.as_u64()? as u32,
            "pre_vote" => protections.pre_vote = value.as_bool()?,
            "vote_silence" => protections.vote_silence = value.as_bool()?,
            "start_silence" => protections.start_silence = value.as_bool()?,
            "check_quorum" => protections.check_quorum = value.as_bool()?,
            "ack_after_sync" => protections.ack_after_sync = value.as_bool()?,
            "log_sync" => protections.log_sync = value.as_bool()?,
            "snapshot_sync" => protections.snapshot_sync = value.as_bool()?,
            "folder_sync" => protections.folder_sync = value.as_bool()?,
            "torn_tail" => protections.torn_tail = value.as_bool()?,
            "catch_up" => protections.catch_up = value.as_bool()?,
            _ => return Err(WorldError::UnknownSetting(key.to_owned())),
        }
        Ok(())
    }
}

/// Parses a probability between 0 and 1.
///
/// # Errors
///
/// Returns an error if the value is no number or out of range.
pub(super) fn probability(value: &Arg) -> Result<f64, WorldError> {
    let value = value.as_f64()?;
    if !(0.0..=1.0).contains(&value) {
        return Err(WorldError::Invalid(format!(
            "{value} is not a probability between 0 and 1"
        )));
    }
    Ok(value)
}
