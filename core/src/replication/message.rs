//! Messages between the nodes of one group.

use bytes::Bytes;

use crate::{storage, types};

/// Request for a vote, or for the promise of one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoteRequest {
    /// Term that the candidate runs for.
    pub term: types::Term,
    /// Last index of the candidate's log.
    pub last_index: types::LogIndex,
    /// Term of the entry at `last_index`.
    pub last_term: types::Term,
    /// Whether the leader itself asked for the election; it has given up its lease.
    pub transfer: bool,
}

/// Entries from the leader; without entries it is a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Append {
    /// Term of the leader.
    pub term: types::Term,
    /// Latest round of the leader; the answer repeats it.
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

/// Where the follower's log differs from the leader's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// `prev_index` of the refused message.
    pub refused: types::LogIndex,
    /// Highest index of the follower at which the logs may agree.
    pub hint_index: types::LogIndex,
    /// Term of the follower's entry at `hint_index`.
    pub hint_term: types::Term,
}

/// Answer to [`Append`], also sent when more entries have been synced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppendReply {
    /// Term of the follower.
    pub term: types::Term,
    /// Latest round of the leader that the follower has seen in this term.
    pub round: u64,
    /// Last index up to which the log is known to agree with the leader's.
    pub verified: types::LogIndex,
    /// Last index up to which the log agrees and is synced.
    pub durable: types::LogIndex,
    /// Set when the message was refused.
    pub conflict: Option<Conflict>,
}

/// Piece of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotChunk {
    /// Term of the leader.
    pub term: types::Term,
    /// Latest round of the leader; the answer repeats it.
    pub round: u64,
    /// Last index that the snapshot covers.
    pub index: types::LogIndex,
    /// Term of the entry at `index`.
    pub index_term: types::Term,
    /// Membership at `index`.
    pub membership: storage::Membership,
    /// Offset of `data` in bytes.
    pub offset: u64,
    /// Size of the whole snapshot in bytes.
    pub total: u64,
    /// Bytes of this piece.
    pub data: Bytes,
}

/// Answer to [`SnapshotChunk`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotReply {
    /// Term of the follower.
    pub term: types::Term,
    /// Round of the chunk.
    pub round: u64,
    /// Index of the snapshot.
    pub index: types::LogIndex,
    /// Bytes received without a gap; the next chunk begins there.
    pub received: u64,
}

/// Message between two nodes of one group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Asks whether a vote would be given; changes no state at the receiver.
    PreVote(VoteRequest),
    /// Answer to [`Message::PreVote`].
    PreVoteReply {
        /// Term asked for when granted, otherwise the term of the receiver.
        term: types::Term,
        /// Whether a vote would be given.
        granted: bool,
    },
    /// Asks for a vote.
    Vote(VoteRequest),
    /// Answer to [`Message::Vote`].
    VoteReply {
        /// Term of the voter.
        term: types::Term,
        /// Whether the vote was given.
        granted: bool,
    },
    /// Entries or a heartbeat from the leader.
    Append(Append),
    /// Answer to [`Message::Append`].
    AppendReply(AppendReply),
    /// Piece of a snapshot from the leader.
    SnapshotChunk(SnapshotChunk),
    /// Answer to [`Message::SnapshotChunk`].
    SnapshotReply(SnapshotReply),
    /// The leader asks the receiver to hold an election at once.
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
