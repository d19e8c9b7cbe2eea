//! One established connection: reading, writing and silence.

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

/// A side with nothing to send sends a heartbeat this often.
pub const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// A connection on which nothing arrived for this long is closed: three missed heartbeats.
pub const RECEIVE_TIMEOUT: time::Duration = time::Duration::from_millis(1500);

/// Frames waiting for a slow peer; further ones are dropped, as on a lossy network.
const MAX_QUEUED_FRAMES: usize = 4096;

/// Bytes gathered into one write.
const WRITE_BATCH_BYTES: usize = 256 * 1024;

/// Most frames are some hundred bytes; a larger one is read in several rounds.
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
    /// The peer is not one that this process talks to.
    #[error("peer refused: {0}")]
    Refused(&'static str),
    /// The peer closed the connection.
    #[error("peer closed the connection")]
    Closed,
    /// Nothing arrived within [`RECEIVE_TIMEOUT`].
    #[error("connection is silent")]
    TimedOut,
    /// This side dropped the connection.
    #[error("connection dropped")]
    Dropped,
}

/// A frame to be sent: request id and body.
pub type Outgoing = (u64, Body);

/// Sends frames on a connection; clones share it. The connection ends when all are dropped.
#[derive(Clone, Debug)]
pub struct Handle {
    tx: mpsc::UnboundedSender<Outgoing>,
    queued: rc::Rc<cell::Cell<usize>>,
}

/// The sending side's queue, read by the connection.
#[derive(Debug)]
pub struct SendQueue {
    rx: mpsc::UnboundedReceiver<Outgoing>,
    queued: rc::Rc<cell::Cell<usize>>,
}

/// Creates a handle and its queue.
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
    /// Queues a frame; returns whether the connection took it.
    pub fn send(&self, request: u64, body: Body) -> bool {
        if self.queued.get() >= MAX_QUEUED_FRAMES {
            return false;
        }
        let sent = self.tx.unbounded_send((request, body)).is_ok();
        if sent {
            self.queued.set(self.queued.get() + 1);
        }
        sent
    }

    /// Returns whether the connection still reads the queue.
    pub fn is_open(&self) -> bool {
        !self.tx.is_closed()
    }
}

/// Reads envelopes of a stream.
pub struct Reader<'a> {
    stream: &'a TcpStream,
    codec: codec::EnvelopeCodec,
    buf: BytesMut,
    chunk: Vec<u8>,
}

impl<'a> Reader<'a> {
    /// Creates a reader.
    pub fn new(stream: &'a TcpStream) -> Self {
        Reader {
            stream,
            codec: codec::EnvelopeCodec::default(),
            buf: BytesMut::new(),
            chunk: Vec::with_capacity(READ_BUFFER_BYTES),
        }
    }

    /// Reads the next envelope; an error after [`RECEIVE_TIMEOUT`] without a byte.
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

/// Runs an admitted connection until it ends; returns why.
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

/// Passes a frame on unless it was sent by an earlier start of the peer.
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
        let result = match first {
            Some(first) => encode_batch(identity, &mut codec, &mut buf, first, &mut queue),
            None => {
                let heartbeat = Body::Heartbeat(envelope::Heartbeat {});
                codec.encode(&identity.envelope(0, heartbeat), &mut buf)
            }
        };
        if let Err(err) = result {
            return err.into();
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

/// Encodes `first` and whatever else waits, up to one batch.
fn encode_batch(
    identity: &Identity,
    codec: &mut codec::EnvelopeCodec,
    buf: &mut BytesMut,
    first: Outgoing,
    queue: &mut SendQueue,
) -> Result<(), codec::Error> {
    let mut next = Some(first);
    while let Some((request, body)) = next.take() {
        queue.queued.set(queue.queued.get() - 1);
        codec.encode(&identity.envelope(request, body), buf)?;
        if buf.len() < WRITE_BATCH_BYTES {
            next = queue.rx.try_recv().ok();
        }
    }
    Ok(())
}
