//! Tests of the wire form of replication messages: each is unchanged after encoding and decoding,
//! the largest fits into a frame, and a malformed one is an error.

use bytes::{Bytes, BytesMut};
use wagtailshunt_core::replication::{
    Append, AppendReply, Config, Conflict, Message, SnapshotChunk, SnapshotReply, VoteRequest,
};
use wagtailshunt_core::storage::{Entry, Membership, Payload};
use wagtailshunt_core::types::{GroupId, LogIndex, Term, VmId};
use wagtailshunt_wire::generated::{envelope, replication as wire};
use wagtailshunt_wire::{codec, replication};

fn entry(index: u64, payload: Payload) -> Entry {
    Entry {
        index: LogIndex(index),
        term: Term(4),
        payload,
    }
}

fn append(entries: Vec<Entry>) -> Message {
    Message::Append(Append {
        term: Term(5),
        round: 6,
        prev_index: LogIndex(7),
        prev_term: Term(4),
        commit: LogIndex(3),
        entries,
    })
}

fn messages() -> Vec<Message> {
    let vote = VoteRequest {
        term: Term(1),
        last_index: LogIndex(2),
        last_term: Term(3),
        transfer: true,
    };
    let mut membership = Membership::of_voters([VmId(1), VmId(2)]);
    membership.learners.insert(VmId(3));
    let entries = vec![
        entry(8, Payload::Noop),
        entry(9, Payload::Command(Bytes::new())),
        entry(10, Payload::Command(Bytes::from_static(b"command"))),
        entry(11, Payload::Membership(membership.clone())),
    ];
    let reply = |conflict| {
        Message::AppendReply(AppendReply {
            term: Term(1),
            round: 2,
            verified: LogIndex(3),
            durable: LogIndex(4),
            conflict,
        })
    };
    vec![
        Message::PreVote(vote.clone()),
        Message::Vote(vote),
        Message::PreVoteReply {
            term: Term(1),
            granted: true,
        },
        Message::VoteReply {
            term: Term(2),
            granted: false,
            idle: std::time::Duration::from_millis(1234),
        },
        append(entries),
        reply(None),
        reply(Some(Conflict {
            refused: LogIndex(5),
            hint_index: LogIndex(6),
            hint_term: Term(7),
        })),
        Message::SnapshotChunk(SnapshotChunk {
            term: Term(1),
            round: 2,
            index: LogIndex(3),
            index_term: Term(4),
            membership,
            offset: 5,
            total: 9,
            data: Bytes::from_static(b"data"),
        }),
        Message::SnapshotReply(SnapshotReply {
            term: Term(1),
            round: 2,
            index: LogIndex(3),
            received: 4,
        }),
        Message::TimeoutNow { term: Term(8) },
    ]
}

/// Encodes a message as a frame and returns the decoded message.
fn round_trip(msg: Message) -> (GroupId, Message) {
    let body = replication::encode(GroupId(9), msg);
    let sent = envelope::Envelope {
        vm: 1,
        body: Some(envelope::envelope::Body::Replication(body)),
        ..envelope::Envelope::default()
    };
    let mut buf = BytesMut::new();
    codec::EnvelopeCodec::default()
        .encode(&sent, &mut buf)
        .unwrap();
    let received = codec::EnvelopeCodec::default().decode(&mut buf).unwrap();
    match received.unwrap().body {
        Some(envelope::envelope::Body::Replication(body)) => replication::decode(body).unwrap(),
        other => panic!("{other:?}"),
    }
}

/// Guards against a field that is lost or altered in the wire form.
#[test]
fn every_message_round_trips_through_a_frame() {
    for msg in messages() {
        assert_eq!(round_trip(msg.clone()), (GroupId(9), msg));
    }
}

/// Guards against a frame with a body that was encoded once for many connections and that a receiver
/// reads differently.
#[test]
fn body_that_was_encoded_before_gives_the_same_frame() {
    let header = envelope::Envelope {
        vm: 1,
        incarnation: 2,
        clock: 3,
        request: 4,
        body: None,
    };
    for msg in messages() {
        let body = envelope::envelope::Body::Replication(replication::encode(GroupId(9), msg));
        let whole = envelope::Envelope {
            body: Some(body.clone()),
            ..header.clone()
        };
        let (mut expected, mut frame) = (BytesMut::new(), BytesMut::new());
        let mut codec = codec::EnvelopeCodec::default();
        codec.encode(&whole, &mut expected).unwrap();
        let body = codec::EncodedBody::new(body);
        codec.encode_with_body(&header, &body, &mut frame).unwrap();
        assert_eq!(frame, expected);
    }
}

/// Guards against size limits of the core that exceed the frame limit, so that a connection closes.
#[test]
fn the_largest_message_fits_into_a_frame() {
    let cfg = Config::default();
    let largest = Bytes::from(vec![7; cfg.max_command_bytes]);
    round_trip(append(vec![entry(8, Payload::Command(largest))]));
    let smallest = Entry::size(&entry(8, Payload::Noop));
    let count = (cfg.max_batch_bytes / smallest) as u64;
    round_trip(append(
        (8..8 + count).map(|i| entry(i, Payload::Noop)).collect(),
    ));
}

/// Guards against a panic or a silent default on a message of a newer version.
#[test]
fn a_message_without_body_or_payload_is_an_error() {
    let empty = wire::ReplicationMessage::default();
    assert_eq!(replication::decode(empty), Err(replication::Error::NoBody));
    let append = wire::Append {
        entries: vec![wire::Entry::default()],
        ..wire::Append::default()
    };
    let msg = wire::ReplicationMessage {
        group: 0,
        body: Some(wire::replication_message::Body::Append(append)),
    };
    assert_eq!(replication::decode(msg), Err(replication::Error::NoPayload));
}
