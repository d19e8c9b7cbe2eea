//! Replicated log: leader election, quorum commit, snapshots, membership (Raft).
//!
//! [`Node`] is one member of one group. It does no input or output: messages and timers are
//! inputs, and [`Node::poll_output`] gives what the I/O layer has to do. Nothing that depends on a
//! write leaves the node before [`Node::persisted`] has reported that write as synced.
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
