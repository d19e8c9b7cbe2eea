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
}

impl Io {
    /// Wraps a connection.
    pub fn new(stream: TcpStream) -> Io {
        Io::with_read_limit(stream, ReadLimit::default())
    }

    /// Wraps a connection that fails once more bytes arrive than `read_limit` allows.
    pub fn with_read_limit(stream: TcpStream, read_limit: ReadLimit) -> Io {
        let stream =
            compat::AsyncStream::with_limits(INITIAL_BUFFER_BYTES, MAX_BUFFER_BYTES, stream);
        Io {
            stream: Box::pin(stream),
            read_limit,
        }
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
        self.stream.as_mut().poll_write(cx, buf)
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        self.stream.as_mut().poll_flush(cx)
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
        self.stream.as_mut().poll_write_vectored(cx, bufs)
    }
}
