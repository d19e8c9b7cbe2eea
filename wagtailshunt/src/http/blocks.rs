//! Bodies that are held in memory: read piece by piece into blocks within the memory budget.

use std::{pin, rc, task, time};

use bytes::Bytes;
use futures_util::{FutureExt, pin_mut, select_biased};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use wagtailshunt_core::memory::Waiting;

use crate::http::{self, Holder, Memory};

/// Size of a full block. A body of the largest permitted size is a thousand of them, and freed ones are
/// used again by other bodies without loss.
const BLOCK_BYTES: u64 = 64 * 1024;

/// Size of the first block of a body of unknown length; further ones double it up to
/// [`BLOCK_BYTES`].
const FIRST_BLOCK_BYTES: usize = 4 * 1024;

/// Bytes of a body after which its progress is recorded.
const PROGRESS_STEP_BYTES: usize = 4 * 1024;

/// Longest wait of a response for room. Without room, its target is made to wait, which costs more
/// the longer it lasts.
const RESPONSE_WAIT: time::Duration = time::Duration::from_millis(100);

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// The body is longer than permitted.
    #[error("body is too long")]
    TooLong,
    /// There is no memory for the body, or it made no progress while others needed the memory.
    #[error("no memory for the body")]
    NoMemory,
    /// The body broke off.
    #[error("body broke off")]
    BrokenOff,
    /// The body was not complete in time.
    #[error("body was not complete in time")]
    TimedOut,
}

/// A body in memory, for any number of sendings.
#[derive(Clone)]
pub struct Blocks {
    parts: rc::Rc<[Bytes]>,
    len: u64,
    /// Keeps the reservation of the call itself.
    _holder: Option<Holder>,
}

impl Blocks {
    /// Returns the body for one sending. Its bytes are not copied.
    pub fn body(&self) -> http::Body {
        match &*self.parts {
            [] => http::empty(),
            [only] => http::full(only.clone()),
            parts => http::Body::Blocks {
                parts: Vec::from(parts).into_iter(),
                left: self.len,
            },
        }
    }

    /// Returns the parts of the body in their order.
    pub fn parts(&self) -> &[Bytes] {
        &self.parts
    }

    /// Returns the length in bytes.
    pub fn len_bytes(&self) -> u64 {
        self.len
    }
}

/// Reads a body while its memory is reserved.
pub struct BlockReader {
    holder: Holder,
    /// Longest wait for room for one block.
    wait: time::Duration,
    limit: u64,
    /// Length of a body that is read whether there is room or not.
    always_read: u64,
    parts: Vec<Bytes>,
    /// The block that is being filled.
    block: Vec<u8>,
    len: u64,
    /// Bytes that arrived since the progress was last recorded.
    unrecorded: usize,
}

impl BlockReader {
    /// Creates a reader of one body of at most `limit` bytes.
    pub fn new(memory: &Memory, limit: u64, wait: time::Duration) -> BlockReader {
        BlockReader {
            holder: memory.open_message(),
            wait,
            limit,
            always_read: 0,
            parts: Vec::new(),
            block: Vec::new(),
            len: 0,
            unrecorded: 0,
        }
    }

    /// Makes the reader read bodies up to this length whether there is room or not. They are charged
    /// like others.
    pub fn always_read(self, bytes: u64) -> BlockReader {
        BlockReader {
            always_read: bytes,
            ..self
        }
    }

    /// Reserves memory that is kept as long as the body, in addition to it.
    ///
    /// # Errors
    ///
    /// [`ReadError::NoMemory`] if there is no room in time.
    pub async fn reserve(&self, bytes: u64) -> Result<(), ReadError> {
        match self.holder.reserve(bytes, self.wait).await {
            true => Ok(()),
            false => Err(ReadError::NoMemory),
        }
    }

    /// Reads the body of a request to its end. It loses its memory if it makes no progress while
    /// others need it.
    ///
    /// # Errors
    ///
    /// Returns why the body was not read. One whose announced length is over the limit is not
    /// read at all.
    pub async fn read_request(&mut self, mut body: http::Body) -> Result<(), ReadError> {
        if body.size_hint().lower() > self.limit {
            return Err(ReadError::TooLong);
        }
        let mut has_waited = false;
        while !body.is_end_stream() {
            // Most bodies have arrived whole, so that their holders never wait for the client.
            let frame = match body.frame().now_or_never() {
                Some(frame) => frame,
                None => {
                    has_waited = true;
                    self.holder.set_waiting(Waiting::Partial);
                    let frame = body.frame().fuse();
                    let evicted = self.holder.evicted().fuse();
                    pin_mut!(frame, evicted);
                    select_biased! {
                        frame = frame => frame,
                        () = evicted => return Err(ReadError::NoMemory),
                    }
                }
            };
            let Some(data) = next_data(frame)? else {
                break;
            };
            self.record_progress(data.len());
            self.len += data.len() as u64;
            if self.len > self.limit {
                return Err(ReadError::TooLong);
            }
            let mut data = &data[..];
            while !self.fill_block(&mut data) {
                let bytes = self.next_block_bytes(data.len(), body.size_hint().exact());
                match self.parts.is_empty() && bytes as u64 <= self.always_read {
                    true => self.holder.reserve_beyond(bytes as u64),
                    false => self.reserve(bytes as u64).await?,
                }
                self.block = Vec::with_capacity(bytes);
            }
        }
        if has_waited {
            self.holder.set_waiting(Waiting::No);
        }
        Ok(())
    }

    /// Reads the body of a response to its end, or until there is no room for the rest. Returns
    /// whether it was read to its end.
    ///
    /// # Errors
    ///
    /// Returns why the body was not read.
    pub async fn read_response(&mut self, body: &mut Incoming) -> Result<bool, ReadError> {
        while !body.is_end_stream() {
            let Some(data) = next_data(body.frame().await)? else {
                break;
            };
            self.len += data.len() as u64;
            if self.len > self.limit {
                return Err(ReadError::TooLong);
            }
            let mut has_room = true;
            let mut data = &data[..];
            while !self.fill_block(&mut data) {
                let bytes = self.next_block_bytes(data.len(), body.size_hint().exact());
                // The bytes that have arrived are kept in any case.
                if !self.holder.reserve(bytes as u64, self.wait).await {
                    self.holder.reserve_beyond(bytes as u64);
                    has_room = false;
                }
                self.block = Vec::with_capacity(bytes);
            }
            if !has_room {
                return Ok(body.is_end_stream());
            }
        }
        Ok(true)
    }

    fn record_progress(&mut self, bytes: usize) {
        self.unrecorded += bytes;
        if self.unrecorded >= PROGRESS_STEP_BYTES {
            self.holder.moved(std::mem::take(&mut self.unrecorded));
        }
    }

    /// Appends bytes to the current block. Returns `false` if a further one is needed.
    fn fill_block(&mut self, data: &mut &[u8]) -> bool {
        let room = self.block.capacity() - self.block.len();
        let (now, later) = data.split_at(room.min(data.len()));
        self.block.extend_from_slice(now);
        *data = later;
        if self.block.len() == self.block.capacity() {
            self.finish_block();
        }
        data.is_empty()
    }

    /// Returns the size of the next block: the rest of the body if it is known, otherwise twice the
    /// previous one.
    fn next_block_bytes(&self, arrived: usize, announced: Option<u64>) -> usize {
        let bytes = match (announced, self.parts.last()) {
            (Some(announced), _) => arrived as u64 + announced,
            (None, Some(last)) => 2 * last.len() as u64,
            (None, None) => arrived.max(FIRST_BLOCK_BYTES) as u64,
        };
        bytes.min(BLOCK_BYTES) as usize
    }

    fn finish_block(&mut self) {
        let block = std::mem::take(&mut self.block);
        if block.capacity() > 0 {
            let reserved = block.capacity() as u64;
            self.parts.push(self.holder.share(block, reserved));
        }
    }

    /// Returns what was read.
    pub fn finish(mut self) -> Blocks {
        self.finish_block();
        Blocks {
            parts: self.parts.into(),
            len: self.len,
            _holder: Some(self.holder),
        }
    }
}

impl BlockReader {
    /// Returns what was read in one piece, which is a copy if there are several blocks.
    ///
    /// # Errors
    ///
    /// [`ReadError::NoMemory`] if there is no room for the copy in time.
    pub async fn finish_contiguous(mut self) -> Result<Bytes, ReadError> {
        self.finish_block();
        if self.parts.len() <= 1 {
            return Ok(self.parts.pop().unwrap_or_default());
        }
        self.reserve(self.len).await?;
        Ok(self.holder.share(self.parts.concat(), self.len))
    }
}

/// Returns the data of a frame; `None` at the end of the body. Trailers are not forwarded.
fn next_data<E>(frame: Option<Result<Frame<Bytes>, E>>) -> Result<Option<Bytes>, ReadError> {
    match frame {
        None => Ok(None),
        Some(Ok(frame)) => Ok(Some(frame.into_data().unwrap_or_default())),
        Some(Err(_)) => Err(ReadError::BrokenOff),
    }
}

/// Reads a response body of at most `limit` bytes. If there is no room for all of it, the rest is
/// forwarded as it arrives.
///
/// # Errors
///
/// Returns why the body was not read.
pub async fn buffer_response(
    memory: &Memory,
    mut body: Incoming,
    limit: u64,
) -> Result<http::Body, ReadError> {
    let mut reader = BlockReader::new(memory, limit, RESPONSE_WAIT);
    let is_whole = reader.read_response(&mut body).await?;
    let start = reader.finish().body();
    Ok(match is_whole {
        true => start,
        false => http::Body::Stream(Box::pin(Continued { start, rest: body })),
    })
}

/// A body of which the start was read before.
struct Continued {
    start: http::Body,
    rest: Incoming,
}

impl Body for Continued {
    type Data = Bytes;
    type Error = http::BodyError;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Bytes>, http::BodyError>>> {
        let this = self.get_mut();
        match this.start.is_end_stream() {
            false => pin::Pin::new(&mut this.start).poll_frame(cx),
            true => pin::Pin::new(&mut this.rest)
                .poll_frame(cx)
                .map_err(http::BodyError::from),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.start.is_end_stream() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let start = self.start.size_hint().lower();
        match self.rest.size_hint().exact() {
            Some(rest) => SizeHint::with_exact(start + rest),
            None => SizeHint::new(),
        }
    }
}
