//! A stream that appends extra bytes to each response, as a faulty server would.

use std::{io, pin, task};

use compio::net::TcpStream;
use cyper_core::HyperStream;
use hyper::rt;

use super::state;

/// Stream of a connection to a target.
///
/// hyper writes a small response with a single write, so bytes appended to a write follow the
/// response.
pub(super) struct TrailingBytesStream {
    inner: HyperStream<TcpStream>,
    shared: state::SharedRef,
}

impl TrailingBytesStream {
    pub fn new(stream: TcpStream, shared: state::SharedRef) -> TrailingBytesStream {
        TrailingBytesStream {
            inner: HyperStream::new_plain(stream),
            shared,
        }
    }
}

impl rt::Read for TrailingBytesStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: rt::ReadBufCursor<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl rt::Write for TrailingBytesStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let trailing_bytes = self.shared.faults.borrow().trailing_bytes.clone();
        if trailing_bytes.is_empty() {
            return pin::Pin::new(&mut self.inner).poll_write(cx, buf);
        }
        let joined = [buf, &trailing_bytes].concat();
        let written = pin::Pin::new(&mut self.inner).poll_write(cx, &joined);
        written.map_ok(|count| count.min(buf.len()))
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
