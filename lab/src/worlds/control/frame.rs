//! Encodes and decodes frames in the format that the daemons exchange.

use bytes::{Bytes, BytesMut};
use wagtailshunt_core::{registry, types};
use wagtailshunt_wire::codec::EnvelopeCodec;
use wagtailshunt_wire::generated::envelope::{Envelope, envelope::Body};
use wagtailshunt_wire::{membership, records};

/// Decoded content of a frame.
#[derive(Clone, Debug)]
pub enum Content {
    /// Lease or directory message.
    Membership(Box<membership::Message>),
    /// Record changes.
    Records(registry::Changes),
}

/// Encodes a frame with its length prefix and envelope.
///
/// # Panics
///
/// Panics if the frame exceeds the size limit of the codec.
pub fn encode(vm: types::VmId, incarnation: types::Incarnation, content: &Content) -> Bytes {
    let body = match content {
        Content::Membership(message) => Body::Membership(message.encode()),
        Content::Records(changes) => Body::Records(records::encode_changes(changes)),
    };
    let envelope = Envelope {
        vm: vm.0,
        incarnation: incarnation.0,
        clock: 1_800_000_000_000 << 16,
        request: 0,
        body: Some(body),
    };
    let mut buf = BytesMut::new();
    EnvelopeCodec::default()
        .encode(&envelope, &mut buf)
        .expect("frame within the limit");
    buf.freeze()
}

/// Decodes a frame.
///
/// # Panics
///
/// Panics if the frame is invalid or carries neither membership nor records.
pub fn decode(frame: &Bytes) -> (types::VmId, types::Incarnation, Content) {
    let mut buf = BytesMut::from(frame.as_ref());
    let envelope = EnvelopeCodec::default()
        .decode(&mut buf)
        .expect("frame is valid");
    let envelope = envelope.expect("frame is complete");
    let (vm, incarnation) = (
        types::VmId(envelope.vm),
        types::Incarnation(envelope.incarnation),
    );
    let content = match envelope.body {
        Some(Body::Membership(message)) => {
            let message = membership::Message::decode(message, vm, incarnation);
            Content::Membership(Box::new(message.expect("message is known")))
        }
        Some(Body::Records(message)) => {
            Content::Records(records::decode_changes(message).expect("message is known"))
        }
        _ => panic!("frame carries neither membership nor records"),
    };
    (vm, incarnation, content)
}
