//! One established connection: reads and writes frames, sends heartbeats and detects a lost peer.

use std::{cell, io, rc, time};

use bytes::BytesMut;
use compio::{
    BufResult,
    io::{AsyncRead, AsyncWriteExt},
    net::TcpStream,
};
use futures_channel::mpsc;
use futures_util::{FutureExt, StreamExt, pin_mut, select_biased};
use wagtailshunt_core::event;
use wagtailshunt_wire::{
    codec,
    generated::{envelope, envelope::envelope::Body},
};

use crate::transport::{Identity, Peer};

/// Time without a frame to send after which a heartbeat is sent.
pub const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Time without received data after which a connection is closed: three missed heartbeats.
pub const RECEIVE_TIMEOUT: time::Duration = time::Duration::from_millis(1500);

/// Maximum number of frames that wait for a slow peer; further ones are dropped.
const MAX_QUEUED_FRAMES: usize = 4096;

/// Size at which a write gets no further queued frames.
const WRITE_BATCH_BYTES: usize = 256 * 1024;

/// Size of one read. Most frames have some hundred bytes; a larger one takes several reads.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Errors that end a connection.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The socket failed.
    #[error("socket failed: {0}")]
    Socket(#[from] io::Error),
    /// A frame could not be decoded or encoded.
    #[error(transparent)]
    Codec(#[from] codec::Error),
    /// The first frame of the peer was not accepted.
    #[error("peer refused: {0}")]
    Refused(&'static str),
    /// The peer closed the connection.
    #[error("peer closed the connection")]
    Closed,
    /// The peer did not accept the connection or send data in time.
    #[error("peer did not respond in time")]
    TimedOut,
    /// All handles of this side were dropped.
    #[error("connection closed by this side")]
    Dropped,
}

/// Body of a frame to send.
#[derive(Clone, Debug, derive_more::From)]
pub enum Payload {
    /// Encoded when it is sent.
    Body(Body),
    /// Encoded before, for many connections.
    Encoded(codec::EncodedBody),
}

/// Request id and body of a frame to send.
pub type Outgoing = (u64, Payload);

/// Sends frames on a connection, which ends when all clones of the handle are dropped.
#[derive(Clone, Debug)]
pub struct Handle {
    tx: mpsc::UnboundedSender<Outgoing>,
    queued: rc::Rc<cell::Cell<usize>>,
}

/// Receiving end of the frames that [`Handle::send`] queues.
#[derive(Debug)]
pub struct SendQueue {
    rx: mpsc::UnboundedReceiver<Outgoing>,
    queued: rc::Rc<cell::Cell<usize>>,
}

/// Creates a handle and the queue that it fills.
pub fn send_queue() -> (Handle, SendQueue) {
    let (tx, rx) = mpsc::unbounded();
    let queued = rc::Rc::new(cell::Cell::new(0));
    (
        Handle {
            tx,
            queued: queued.clone(),
        },
        SendQueue { rx, queued },
    )
}

impl Handle {
    /// Queues a frame; returns false if the queue is full or the connection has ended.
    pub fn send(&self, request: u64, body: impl Into<Payload>) -> bool {
        if self.queued.get() >= MAX_QUEUED_FRAMES {
            return false;
        }
        let sent = self.tx.unbounded_send((request, body.into())).is_ok();
        if sent {
            self.queued.set(self.queued.get() + 1);
        }
        sent
    }

    /// Ends the connection after the queued frames, for all clones of the handle.
    pub fn close(&self) {
        self.tx.close_channel();
    }

    /// Returns whether the connection is still running.
    pub fn is_open(&self) -> bool {
        !self.tx.is_closed()
    }
}

/// Reads envelopes from a stream.
pub struct Reader<'a> {
    stream: &'a TcpStream,
    codec: codec::EnvelopeCodec,
    buf: BytesMut,
    chunk: Vec<u8>,
}

impl<'a> Reader<'a> {
    /// Creates a reader with empty buffers.
    pub fn new(stream: &'a TcpStream) -> Self {
        Reader {
            stream,
            codec: codec::EnvelopeCodec::default(),
            buf: BytesMut::new(),
            chunk: Vec::with_capacity(READ_BUFFER_BYTES),
        }
    }

    /// Reads the next envelope.
    ///
    /// # Errors
    ///
    /// [`Error::TimedOut`] after [`RECEIVE_TIMEOUT`] without data, or an error of the socket or the
    /// codec.
    pub async fn next(&mut self) -> Result<envelope::Envelope, Error> {
        loop {
            if let Some(envelope) = self.codec.decode(&mut self.buf)? {
                return Ok(envelope);
            }
            let chunk = std::mem::take(&mut self.chunk);
            let mut stream = self.stream;
            let read = compio::time::timeout(RECEIVE_TIMEOUT, stream.read(chunk));
            let BufResult(result, mut chunk) = read.await.map_err(|_| Error::TimedOut)?;
            if result? == 0 {
                return Err(Error::Closed);
            }
            self.buf.extend_from_slice(&chunk);
            chunk.clear();
            self.chunk = chunk;
        }
    }
}

/// Writes one envelope.
pub async fn write_envelope(
    stream: &TcpStream,
    envelope: &envelope::Envelope,
) -> Result<(), Error> {
    let mut codec = codec::EnvelopeCodec::default();
    let mut buf = BytesMut::new();
    codec.encode(envelope, &mut buf)?;
    let mut stream = stream;
    let BufResult(result, _) = stream.write_all(buf.freeze()).await;
    Ok(result?)
}

/// Runs a connection with an accepted peer until it ends; returns the reason.
pub async fn run(
    identity: &Identity,
    stream: &TcpStream,
    peer: &Peer,
    mut reader: Reader<'_>,
    queue: SendQueue,
    on_frame: &dyn Fn(&Peer, envelope::Envelope),
) -> Error {
    let read = async {
        loop {
            match reader.next().await {
                Ok(envelope) => deliver(identity, peer, envelope, on_frame),
                Err(err) => return err,
            }
        }
    }
    .fuse();
    let write = write_queue(identity, stream, queue).fuse();
    pin_mut!(read, write);
    select_biased! {
        err = read => err,
        err = write => err,
    }
}

/// Passes a frame to `on_frame`, except heartbeats and frames of another incarnation of the peer.
fn deliver(
    identity: &Identity,
    peer: &Peer,
    envelope: envelope::Envelope,
    on_frame: &dyn Fn(&Peer, envelope::Envelope),
) {
    if envelope.vm != peer.vm.0 || envelope.incarnation != peer.incarnation.0 {
        return;
    }
    identity.events.observe(event::Stamp(envelope.clock));
    if !matches!(envelope.body, Some(Body::Heartbeat(_)) | None) {
        on_frame(peer, envelope);
    }
}

async fn write_queue(identity: &Identity, stream: &TcpStream, mut queue: SendQueue) -> Error {
    let mut codec = codec::EnvelopeCodec::default();
    let mut buf = BytesMut::new();
    loop {
        let first = match compio::time::timeout(HEARTBEAT_INTERVAL, queue.rx.next()).await {
            Ok(Some(outgoing)) => Some(outgoing),
            Ok(None) => return Error::Dropped,
            Err(_) => None,
        };
        match first {
            Some(first) => encode_batch(identity, &mut codec, &mut buf, first, &mut queue),
            None => {
                let heartbeat = Body::Heartbeat(envelope::Heartbeat {});
                encode(identity, &mut codec, &mut buf, (0, heartbeat.into()));
            }
        }
        let mut stream = stream;
        let BufResult(result, mut written) = stream.write_all(std::mem::take(&mut buf)).await;
        if let Err(err) = result {
            return err.into();
        }
        written.clear();
        buf = written;
    }
}

/// Encodes `first` and further queued frames, up to [`WRITE_BATCH_BYTES`].
fn encode_batch(
    identity: &Identity,
    codec: &mut codec::EnvelopeCodec,
    buf: &mut BytesMut,
    first: Outgoing,
    queue: &mut SendQueue,
) {
    let mut next = Some(first);
    while let Some(outgoing) = next.take() {
        queue.queued.set(queue.queued.get() - 1);
        encode(identity, codec, buf, outgoing);
        if buf.len() < WRITE_BATCH_BYTES {
            next = queue.rx.try_recv().ok();
        }
    }
}

/// Encodes a frame. One that is too long is dropped, since the same message on a new connection
/// would end that one as well.
fn encode(
    identity: &Identity,
    codec: &mut codec::EnvelopeCodec,
    buf: &mut BytesMut,
    (request, payload): Outgoing,
) {
    let encoded = match payload {
        Payload::Body(body) => codec.encode(&identity.envelope(request, Some(body)), buf),
        Payload::Encoded(body) => {
            codec.encode_with_body(&identity.envelope(request, None), &body, buf)
        }
    };
    if let Err(err) = encoded {
        log::error!("frame to a peer dropped: {err}");
    }
}
