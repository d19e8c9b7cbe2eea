//! Framing of a byte stream between two processes: length-delimited frames with one envelope each.

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{self, Decoder, Encoder};

use crate::generated::envelope;

/// Maximum payload size of a frame. A longer frame closes the connection.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024;

/// Errors of the framing layer. Each of them closes the connection.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The length prefix exceeds [`MAX_FRAME_BYTES`], or the stream is corrupt.
    #[error("frame rejected: {0}")]
    Frame(#[from] std::io::Error),
    /// The payload is not a valid envelope.
    #[error("envelope rejected: {0}")]
    Envelope(#[from] prost::DecodeError),
}

/// Body of an envelope that is encoded once and sent on many connections.
#[derive(Clone, Debug)]
pub struct EncodedBody(Bytes);

impl EncodedBody {
    /// Encodes a body.
    pub fn new(body: envelope::envelope::Body) -> EncodedBody {
        let envelope = envelope::Envelope {
            body: Some(body),
            ..envelope::Envelope::default()
        };
        // Fields with default values are not encoded, so that this is the body alone.
        EncodedBody(envelope.encode_to_vec().into())
    }
}

/// Encodes and decodes envelopes in a byte stream.
#[derive(Debug)]
pub struct EnvelopeCodec {
    frames: codec::LengthDelimitedCodec,
}

impl Default for EnvelopeCodec {
    fn default() -> Self {
        let frames = codec::LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        EnvelopeCodec { frames }
    }
}

impl EnvelopeCodec {
    /// Appends `envelope` to `buf` as one frame.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Frame`] if the envelope is longer than [`MAX_FRAME_BYTES`].
    pub fn encode(
        &mut self,
        envelope: &envelope::Envelope,
        buf: &mut BytesMut,
    ) -> Result<(), Error> {
        let payload = Bytes::from(envelope.encode_to_vec());
        self.frames.encode(payload, buf)?;
        Ok(())
    }

    /// Appends an envelope with the fields of `header` and the given body to `buf` as one frame.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Frame`] if the envelope is longer than [`MAX_FRAME_BYTES`].
    pub fn encode_with_body(
        &mut self,
        header: &envelope::Envelope,
        body: &EncodedBody,
        buf: &mut BytesMut,
    ) -> Result<(), Error> {
        // The encoding of a message is the concatenation of its fields.
        let mut payload = header.encode_to_vec();
        payload.extend_from_slice(&body.0);
        self.frames.encode(Bytes::from(payload), buf)?;
        Ok(())
    }

    /// Removes the next complete envelope from `buf`. Returns `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame is too long or its payload is not a valid envelope.
    pub fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<envelope::Envelope>, Error> {
        let Some(frame) = self.frames.decode(buf)? else {
            return Ok(None);
        };
        let envelope = envelope::Envelope::decode(frame.freeze())?;
        Ok(Some(envelope))
    }
}
