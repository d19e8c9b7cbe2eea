//! Body of requests and answers: bytes at hand or a stream that passes through.

use std::{pin, task};

use bytes::Bytes;
use hyper::body::{Frame, Incoming, SizeHint};

/// Errors while a body is passed on.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The stream of the other side failed or ended early.
    #[error("body failed: {0}")]
    Stream(#[from] hyper::Error),
    /// The deadline of the call passed before the body was complete.
    #[error("deadline passed before the body was complete")]
    Deadline,
    /// The body was shorter than its declared length.
    #[error("body ended early")]
    Truncated,
}

/// A stream that observes the end of a passed-on answer.
pub type Stream = pin::Pin<Box<dyn hyper::body::Body<Data = Bytes, Error = BodyError>>>;

/// A request or answer body.
pub enum Body {
    /// All bytes are at hand; `None` once they were taken.
    Full(Option<Bytes>),
    /// Bytes of the other side, passed on as they come.
    Incoming(Incoming),
    /// A wrapped stream.
    Stream(Stream),
}

/// Returns a body without bytes.
pub fn empty() -> Body {
    Body::Full(None)
}

/// Returns a body of the given bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Body::Full(Some(bytes.into()).filter(|bytes| !bytes.is_empty()))
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Body::Full(bytes) => task::Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Body::Incoming(incoming) => pin::Pin::new(incoming)
                .poll_frame(cx)
                .map(|frame| frame.map(|frame| frame.map_err(BodyError::from))),
            Body::Stream(stream) => stream.as_mut().poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Body::Full(bytes) => bytes.is_none(),
            Body::Incoming(incoming) => incoming.is_end_stream(),
            Body::Stream(stream) => stream.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Body::Incoming(incoming) => incoming.size_hint(),
            Body::Stream(stream) => stream.size_hint(),
        }
    }
}
