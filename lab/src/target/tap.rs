//! A stream that adds surplus bytes behind an answer.

use std::{io, pin, task};

use compio::net::TcpStream;
use cyper_core::HyperStream;
use hyper::rt;

use super::state;

/// Stream of a connection to a target.
///
/// hyper writes a small answer with one call, so bytes added to a call follow the answer.
pub(super) struct Tap {
    inner: HyperStream<TcpStream>,
    shared: state::Ref,
}

impl Tap {
    pub fn new(stream: TcpStream, shared: state::Ref) -> Tap {
        Tap {
            inner: HyperStream::new_plain(stream),
            shared,
        }
    }
}

impl rt::Read for Tap {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: rt::ReadBufCursor<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl rt::Write for Tap {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let surplus = self.shared.faults.borrow().surplus.clone();
        if surplus.is_empty() {
            return pin::Pin::new(&mut self.inner).poll_write(cx, buf);
        }
        let joined = [buf, &surplus].concat();
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
