//! Adapter from a TCP stream to the I/O traits of hyper, with small buffers.
//!
//! An entry VM keeps some hundred connections open, few of which carry a request at the same time.
//! Their buffers are most of its memory.

use std::{cell, io, pin, rc, task};

use compio::{io::compat, net::TcpStream};
use futures_util::{AsyncRead, AsyncWrite};
use hyper::rt;

/// Initial size of the buffer in each direction and largest single read. A head with the usual
/// fields fits; longer messages take several reads or writes.
const INITIAL_BUFFER_BYTES: usize = 2 * 1024;

/// Size to which a buffer may grow while the peer reads slowly.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// Number of bytes that may still be read from a connection; `None` without a limit.
pub type ReadLimit = rc::Rc<cell::Cell<Option<usize>>>;

/// A TCP connection with small buffers.
pub struct Io {
    stream: pin::Pin<Box<compat::AsyncStream<TcpStream>>>,
    read_limit: ReadLimit,
    /// Whether the stream must not end before all written bytes are sent.
    ends_after_sent: bool,
    written: Written,
}

/// What has become of the bytes that were written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Written {
    /// The kernel has taken them.
    Sent,
    /// Some of them are still buffered.
    Buffered,
    /// Writing has failed.
    Failed,
}

impl Io {
    /// Wraps a connection of a server.
    pub fn new(stream: TcpStream) -> Io {
        let stream =
            compat::AsyncStream::with_limits(INITIAL_BUFFER_BYTES, MAX_BUFFER_BYTES, stream);
        Io {
            stream: Box::pin(stream),
            read_limit: ReadLimit::default(),
            ends_after_sent: false,
            written: Written::Sent,
        }
    }

    /// Wraps a connection of a client. It fails once more bytes arrive than `read_limit` allows.
    ///
    /// It also fails if the stream ends before the request is sent. The end of the connection may mark
    /// the end of the body of a response, but does not prove then that the body is complete.
    pub fn client(stream: TcpStream, read_limit: ReadLimit) -> Io {
        Io {
            read_limit,
            ends_after_sent: true,
            ..Io::new(stream)
        }
    }

    /// Records the result of passing bytes on to the kernel.
    fn record_written<T>(&mut self, result: &task::Poll<io::Result<T>>, sent: Written) {
        self.written = match (self.written, result) {
            (Written::Failed, _) | (_, task::Poll::Ready(Err(_))) => Written::Failed,
            (_, task::Poll::Ready(Ok(_))) => sent,
            (_, task::Poll::Pending) => Written::Buffered,
        };
    }
}

impl rt::Read for Io {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        mut buf: rt::ReadBufCursor<'_>,
    ) -> task::Poll<io::Result<()>> {
        let mut chunk = [0; INITIAL_BUFFER_BYTES];
        let capacity = buf.remaining().min(INITIAL_BUFFER_BYTES);
        let read = self.stream.as_mut().poll_read(cx, &mut chunk[..capacity]);
        let n = match read {
            task::Poll::Ready(Ok(n)) => n,
            task::Poll::Ready(Err(err)) => return task::Poll::Ready(Err(err)),
            task::Poll::Pending => return task::Poll::Pending,
        };
        // The kernel reports a reset once. If a write gets it, the next read sees an ordinary end. hyper
        // flushes what it has before it reads on, so that an unsent request is buffered here.
        if n == 0 && self.ends_after_sent && self.written != Written::Sent {
            return task::Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        if let Some(left) = self.read_limit.get() {
            let Some(left) = left.checked_sub(n) else {
                return task::Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
            };
            self.read_limit.set(Some(left));
        }
        buf.put_slice(&chunk[..n]);
        task::Poll::Ready(Ok(()))
    }
}

impl rt::Write for Io {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let result = self.stream.as_mut().poll_write(cx, buf);
        self.record_written(&result, Written::Buffered);
        result
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        let result = self.stream.as_mut().poll_flush(cx);
        self.record_written(&result, Written::Sent);
        result
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        self.stream.as_mut().poll_close(cx)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let result = self.stream.as_mut().poll_write_vectored(cx, bufs);
        self.record_written(&result, Written::Buffered);
        result
    }
}
