//! Body of requests and responses: buffered bytes or a forwarded stream.

use std::{pin, task, time, vec};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming, SizeHint};

use crate::http;

/// Errors that occur while a body is forwarded.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The stream of the peer failed or ended early.
    #[error("body failed: {0}")]
    Stream(#[from] hyper::Error),
    /// The deadline of the call passed before the body was complete.
    #[error("deadline passed before the body was complete")]
    Deadline,
    /// The body was shorter than its declared length.
    #[error("body ended early")]
    Truncated,
}

/// A boxed body stream, such as a forwarded response whose end is observed.
pub type Stream = pin::Pin<Box<dyn hyper::body::Body<Data = Bytes, Error = BodyError>>>;

/// A request or response body.
pub enum Body {
    /// A buffered body; `None` if it is empty or its bytes were taken.
    Full(Option<Bytes>),
    /// A buffered body in several parts.
    Blocks {
        /// The parts that are still to be sent.
        parts: vec::IntoIter<Bytes>,
        /// Their total length in bytes.
        left: u64,
    },
    /// A body that is received from a peer and forwarded as it arrives.
    Incoming(Incoming),
    /// A boxed stream.
    Stream(Stream),
}

/// Returns an empty body.
pub fn empty() -> Body {
    Body::Full(None)
}

/// Returns a buffered body.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Body::Full(Some(bytes.into()).filter(|bytes| !bytes.is_empty()))
}

/// Passes the data of a body of at most `limit` bytes to `take`. A frame is not kept, since it would
/// keep the whole read buffer in which it arrived.
async fn read_data<B>(
    mut body: B,
    limit: usize,
    mut take: impl FnMut(&[u8]),
) -> Result<(), http::ReadError>
where
    B: hyper::body::Body<Data = Bytes> + Unpin,
{
    let mut len = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| http::ReadError::BrokenOff)?;
        let data = frame.data_ref().map_or(&[][..], |data| &data[..]);
        len += data.len();
        if len > limit {
            return Err(http::ReadError::TooLong);
        }
        take(data);
    }
    Ok(())
}

/// Reads a body of at most `limit` bytes to its end without keeping it.
///
/// # Errors
///
/// [`http::ReadError::BrokenOff`] or [`http::ReadError::TooLong`].
pub async fn drain(body: Incoming, limit: usize) -> Result<(), http::ReadError> {
    read_data(body, limit, |_| {}).await
}

/// Reads a body of at most `limit` bytes into one buffer.
///
/// # Errors
///
/// [`http::ReadError::BrokenOff`] or [`http::ReadError::TooLong`].
pub async fn read_whole<B>(body: B, limit: usize) -> Result<Bytes, http::ReadError>
where
    B: hyper::body::Body<Data = Bytes> + Unpin,
{
    let mut buf = Vec::new();
    read_data(body, limit, |data| buf.extend_from_slice(data)).await?;
    Ok(buf.into())
}

impl Body {
    /// Returns whether the whole body is in memory.
    pub fn is_buffered(&self) -> bool {
        matches!(self, Body::Full(_) | Body::Blocks { .. })
    }

    /// Makes a body that is still being received fail when it waits for its peer for
    /// 100 ms after `expired`. What has arrived is forwarded, also to a caller that reads slowly.
    pub fn with_deadline(self, expired: impl Future<Output = ()> + 'static) -> Body {
        match self.is_buffered() {
            true => self,
            false => Body::Stream(Box::pin(TimedBody {
                body: self,
                expired: Some(Box::pin(expired)),
                stalled: None,
            })),
        }
    }
}

/// Time without a frame after which a body past its deadline fails. The library reads a frame at a
/// time, so that a body which has arrived whole waits for a moment between its frames as well.
const STALL_TIMEOUT: time::Duration = time::Duration::from_millis(100);

type Timer = pin::Pin<Box<dyn Future<Output = ()>>>;

/// A body with a deadline.
struct TimedBody {
    body: Body,
    /// The deadline; `None` once it has passed.
    expired: Option<Timer>,
    /// The end of the current wait for a frame after the deadline.
    stalled: Option<Timer>,
}

impl hyper::body::Body for TimedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = self.get_mut();
        let frame = pin::Pin::new(&mut this.body).poll_frame(cx);
        if frame.is_ready() {
            this.stalled = None;
            return frame;
        }
        if let Some(expired) = &mut this.expired {
            task::ready!(expired.as_mut().poll(cx));
            this.expired = None;
        }
        let timer = || -> Timer { Box::pin(compio::time::sleep(STALL_TIMEOUT)) };
        task::ready!(this.stalled.get_or_insert_with(timer).as_mut().poll(cx));
        task::Poll::Ready(Some(Err(BodyError::Deadline)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
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
            Body::Blocks { parts, left } => {
                let part = parts.next();
                *left -= part.as_ref().map_or(0, Bytes::len) as u64;
                task::Poll::Ready(part.map(|part| Ok(Frame::data(part))))
            }
            Body::Incoming(incoming) => pin::Pin::new(incoming)
                .poll_frame(cx)
                .map(|frame| frame.map(|frame| frame.map_err(BodyError::from))),
            Body::Stream(stream) => stream.as_mut().poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Body::Full(bytes) => bytes.is_none(),
            Body::Blocks { parts, .. } => parts.len() == 0,
            Body::Incoming(incoming) => incoming.is_end_stream(),
            Body::Stream(stream) => stream.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Body::Blocks { left, .. } => SizeHint::with_exact(*left),
            Body::Incoming(incoming) => incoming.size_hint(),
            Body::Stream(stream) => stream.size_hint(),
        }
    }
}
