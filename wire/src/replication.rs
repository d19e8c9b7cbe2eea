//! Conversions between the Raft messages of the core and their wire form (`replication.proto`).

use std::time;

use wagtailshunt_core::{replication, storage, types};

use crate::generated::replication as wire;
use wire::entry;
use wire::replication_message::Body;

/// Errors in a received message. The receiver drops the message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The message has no body, or a body of a newer version.
    #[error("message without a known body")]
    NoBody,
    /// An entry has no payload, or a payload of a newer version.
    #[error("entry without a known payload")]
    NoPayload,
    /// A snapshot has no membership.
    #[error("snapshot without a membership")]
    NoMembership,
    /// The index of an entry exceeds the range of `u64`.
    #[error("index out of range")]
    IndexRange,
}

/// Converts a message of the core to its wire form for the replicated group `group`.
pub fn encode(group: types::GroupId, msg: replication::Message) -> wire::ReplicationMessage {
    use replication::Message;
    let body = match msg {
        Message::PreVote(vote) => Body::PreVote(encode_vote_request(&vote)),
        Message::PreVoteReply { term, granted } => {
            Body::PreVoteReply(encode_vote_reply(term, granted, time::Duration::ZERO))
        }
        Message::Vote(vote) => Body::Vote(encode_vote_request(&vote)),
        Message::VoteReply {
            term,
            granted,
            idle,
        } => Body::VoteReply(encode_vote_reply(term, granted, idle)),
        Message::Append(append) => Body::Append(encode_append(append)),
        Message::AppendReply(reply) => Body::AppendReply(wire::AppendReply {
            term: reply.term.0,
            round: reply.round,
            verified: reply.verified.0,
            durable: reply.durable.0,
            conflict: reply.conflict.map(|conflict| wire::Conflict {
                refused: conflict.refused.0,
                hint_index: conflict.hint_index.0,
                hint_term: conflict.hint_term.0,
            }),
        }),
        Message::SnapshotChunk(chunk) => Body::SnapshotChunk(wire::SnapshotChunk {
            term: chunk.term.0,
            round: chunk.round,
            index: chunk.index.0,
            index_term: chunk.index_term.0,
            membership: Some(encode_membership(&chunk.membership)),
            offset: chunk.offset,
            total: chunk.total,
            data: chunk.data,
        }),
        Message::SnapshotReply(reply) => Body::SnapshotReply(wire::SnapshotReply {
            term: reply.term.0,
            round: reply.round,
            index: reply.index.0,
            received: reply.received,
        }),
        Message::TimeoutNow { term } => Body::TimeoutNow(wire::TimeoutNow { term: term.0 }),
    };
    wire::ReplicationMessage {
        group: group.0,
        body: Some(body),
    }
}

/// Converts a received message to its replicated group and the message of the core.
///
/// # Errors
///
/// Returns an error if a required part is missing or an index is out of range; see [`Error`].
pub fn decode(
    msg: wire::ReplicationMessage,
) -> Result<(types::GroupId, replication::Message), Error> {
    use replication::Message;
    let body = match msg.body.ok_or(Error::NoBody)? {
        Body::PreVote(vote) => Message::PreVote(decode_vote_request(&vote)),
        Body::PreVoteReply(reply) => Message::PreVoteReply {
            term: types::Term(reply.term),
            granted: reply.granted,
        },
        Body::Vote(vote) => Message::Vote(decode_vote_request(&vote)),
        Body::VoteReply(reply) => Message::VoteReply {
            term: types::Term(reply.term),
            granted: reply.granted,
            idle: time::Duration::from_millis(u64::from(reply.idle_ms)),
        },
        Body::Append(append) => Message::Append(decode_append(append)?),
        Body::AppendReply(reply) => Message::AppendReply(replication::AppendReply {
            term: types::Term(reply.term),
            round: reply.round,
            verified: types::LogIndex(reply.verified),
            durable: types::LogIndex(reply.durable),
            conflict: reply.conflict.map(|conflict| replication::Conflict {
                refused: types::LogIndex(conflict.refused),
                hint_index: types::LogIndex(conflict.hint_index),
                hint_term: types::Term(conflict.hint_term),
            }),
        }),
        Body::SnapshotChunk(chunk) => Message::SnapshotChunk(replication::SnapshotChunk {
            term: types::Term(chunk.term),
            round: chunk.round,
            index: types::LogIndex(chunk.index),
            index_term: types::Term(chunk.index_term),
            membership: decode_membership(&chunk.membership.ok_or(Error::NoMembership)?),
            offset: chunk.offset,
            total: chunk.total,
            data: chunk.data,
        }),
        Body::SnapshotReply(reply) => Message::SnapshotReply(replication::SnapshotReply {
            term: types::Term(reply.term),
            round: reply.round,
            index: types::LogIndex(reply.index),
            received: reply.received,
        }),
        Body::TimeoutNow(timeout_now) => Message::TimeoutNow {
            term: types::Term(timeout_now.term),
        },
    };
    Ok((types::GroupId(msg.group), body))
}

fn encode_vote_request(vote: &replication::VoteRequest) -> wire::Vote {
    wire::Vote {
        term: vote.term.0,
        last_index: vote.last_index.0,
        last_term: vote.last_term.0,
        transfer: vote.transfer,
    }
}

fn decode_vote_request(vote: &wire::Vote) -> replication::VoteRequest {
    replication::VoteRequest {
        term: types::Term(vote.term),
        last_index: types::LogIndex(vote.last_index),
        last_term: types::Term(vote.last_term),
        transfer: vote.transfer,
    }
}

fn encode_vote_reply(term: types::Term, granted: bool, idle: time::Duration) -> wire::VoteReply {
    wire::VoteReply {
        term: term.0,
        granted,
        idle_ms: u32::try_from(idle.as_millis()).unwrap_or(u32::MAX),
    }
}

fn encode_membership(members: &storage::Membership) -> wire::Membership {
    wire::Membership {
        voters: members.voters.iter().map(|vm| vm.0).collect(),
        learners: members.learners.iter().map(|vm| vm.0).collect(),
    }
}

fn decode_membership(members: &wire::Membership) -> storage::Membership {
    storage::Membership {
        voters: members.voters.iter().copied().map(types::VmId).collect(),
        learners: members.learners.iter().copied().map(types::VmId).collect(),
    }
}

fn encode_append(append: replication::Append) -> wire::Append {
    let entries = append.entries.into_iter().map(|entry| wire::Entry {
        term: entry.term.0,
        payload: Some(match entry.payload {
            storage::Payload::Noop => entry::Payload::Noop(wire::Noop {}),
            storage::Payload::Command(command) => entry::Payload::Command(command),
            storage::Payload::Membership(members) => {
                entry::Payload::Membership(encode_membership(&members))
            }
        }),
    });
    wire::Append {
        term: append.term.0,
        round: append.round,
        prev_index: append.prev_index.0,
        prev_term: append.prev_term.0,
        commit: append.commit.0,
        entries: entries.collect(),
    }
}

fn decode_append(append: wire::Append) -> Result<replication::Append, Error> {
    let mut index = append.prev_index;
    let mut entries = Vec::with_capacity(append.entries.len());
    for entry in append.entries {
        index = index.checked_add(1).ok_or(Error::IndexRange)?;
        let payload = match entry.payload.ok_or(Error::NoPayload)? {
            entry::Payload::Noop(_) => storage::Payload::Noop,
            entry::Payload::Command(command) => storage::Payload::Command(command),
            entry::Payload::Membership(members) => {
                storage::Payload::Membership(decode_membership(&members))
            }
        };
        entries.push(storage::Entry {
            index: types::LogIndex(index),
            term: types::Term(entry.term),
            payload,
        });
    }
    Ok(replication::Append {
        term: types::Term(append.term),
        round: append.round,
        prev_index: types::LogIndex(append.prev_index),
        prev_term: types::Term(append.prev_term),
        commit: types::LogIndex(append.commit),
        entries,
    })
}
