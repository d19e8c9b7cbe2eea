//! Messages that the nodes of one group exchange. The wire crate encodes them.

use std::time;

use bytes::Bytes;

use crate::{storage, types};

/// Request for a vote, or in the pre-vote for whether a vote would be granted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoteRequest {
    /// Term in which the candidate wants to lead.
    pub term: types::Term,
    /// Last index of the candidate's log.
    pub last_index: types::LogIndex,
    /// Term of the entry at `last_index`.
    pub last_term: types::Term,
    /// Whether the leader itself requested the election; it has released its lease.
    pub transfer: bool,
}

/// Entries from the leader, or a heartbeat when there are none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Append {
    /// Term of the leader.
    pub term: types::Term,
    /// Latest round of the leader. The reply repeats it.
    pub round: u64,
    /// Index before the first entry.
    pub prev_index: types::LogIndex,
    /// Term of the entry at `prev_index`.
    pub prev_term: types::Term,
    /// Commit index of the leader.
    pub commit: types::LogIndex,
    /// Entries with consecutive indices from `prev_index + 1`.
    pub entries: Vec<storage::Entry>,
}

/// Where the log of a follower may differ from that of the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// `prev_index` of the refused message.
    pub refused: types::LogIndex,
    /// Highest index of the follower at which the logs may agree.
    pub hint_index: types::LogIndex,
    /// Term of the follower's entry at `hint_index`.
    pub hint_term: types::Term,
}

/// Reply to [`Append`], also sent when more entries have been synced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppendReply {
    /// Term of the follower.
    pub term: types::Term,
    /// Latest round of the leader that the follower has received in this term.
    pub round: u64,
    /// Last index up to which the follower's log is known to agree with the leader's.
    pub verified: types::LogIndex,
    /// Last index up to which the follower's log agrees and is synced.
    pub durable: types::LogIndex,
    /// Set when the follower refused the entries because the logs differ before them.
    pub conflict: Option<Conflict>,
}

/// Chunk of a snapshot from the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotChunk {
    /// Term of the leader.
    pub term: types::Term,
    /// Latest round of the leader. The reply repeats it.
    pub round: u64,
    /// Last index that the snapshot covers.
    pub index: types::LogIndex,
    /// Term of the entry at `index`.
    pub index_term: types::Term,
    /// Membership at `index`.
    pub membership: storage::Membership,
    /// Offset in bytes of `data` within the snapshot.
    pub offset: u64,
    /// Size of the whole snapshot in bytes.
    pub total: u64,
    /// Content of this chunk.
    pub data: Bytes,
}

/// Reply to [`SnapshotChunk`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotReply {
    /// Term of the follower.
    pub term: types::Term,
    /// Round of the chunk.
    pub round: u64,
    /// Index of the snapshot.
    pub index: types::LogIndex,
    /// Number of bytes received without a gap; the next chunk starts at this offset.
    pub received: u64,
}

/// Message between two nodes of one group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Queries whether the receiver would grant a vote, without changing its term or vote.
    PreVote(VoteRequest),
    /// Reply to [`Message::PreVote`].
    PreVoteReply {
        /// Requested term when granted, otherwise the current term of the sender of this reply.
        term: types::Term,
        /// Whether a vote would be granted.
        granted: bool,
    },
    /// Requests a vote.
    Vote(VoteRequest),
    /// Reply to [`Message::Vote`].
    VoteReply {
        /// Term of the voter.
        term: types::Term,
        /// Whether the vote was granted.
        granted: bool,
        /// Time since the voter last acknowledged a leader's round, led or started; zero if unknown.
        idle: time::Duration,
    },
    /// Entries or a heartbeat from the leader.
    Append(Append),
    /// Reply to [`Message::Append`].
    AppendReply(AppendReply),
    /// Chunk of a snapshot from the leader.
    SnapshotChunk(SnapshotChunk),
    /// Reply to [`Message::SnapshotChunk`].
    SnapshotReply(SnapshotReply),
    /// Makes the receiver campaign immediately, at the leader's request.
    TimeoutNow {
        /// Term of the leader.
        term: types::Term,
    },
}

impl Message {
    /// Returns the term that the message carries.
    pub fn term(&self) -> types::Term {
        match self {
            Message::PreVote(vote) | Message::Vote(vote) => vote.term,
            Message::PreVoteReply { term, .. }
            | Message::VoteReply { term, .. }
            | Message::TimeoutNow { term } => *term,
            Message::Append(append) => append.term,
            Message::AppendReply(reply) => reply.term,
            Message::SnapshotChunk(chunk) => chunk.term,
            Message::SnapshotReply(reply) => reply.term,
        }
    }
}
