//! Replicated log: leader election, quorum commit, snapshots and membership changes (Raft).
//!
//! [`Node`] is one member of one group. It performs no I/O: its inputs are the messages of other
//! nodes, timer ticks, proposals and the results of writes, and [`Node::poll_output`] returns the
//! actions that the I/O layer carries out. A message that depends on a write is returned only after
//! [`Node::persisted`] has reported that write as synced.
//!
//! Source: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014;
//! Ongaro, "Consensus: Bridging Theory and Practice", 2014 (chapters 4, 6 and 9).

mod config;
mod election;
mod follower;
mod leader;
mod log;
mod membership;
mod message;
mod node;
mod outbox;
mod peer;
mod propose;
mod read;
mod snapshot;
mod transfer;

pub use crate::storage::{Entry, Membership, Payload};
pub use config::Config;
pub use membership::{MembershipChange, PeerStatus};
pub use message::{
    Append, AppendReply, Conflict, Message, SnapshotChunk, SnapshotReply, VoteRequest,
};
pub use node::{Node, Output, ProposeError, Role};
