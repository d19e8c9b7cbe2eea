//! A stream that changes the responses of a target, as a faulty server would.

use std::{io, pin, task};

use compio::net::TcpStream;
use cyper_core::HyperStream;
use hyper::rt;

use super::state;

/// Start of a response that refuses its call.
const REFUSAL: &[u8] = b"HTTP/1.1 503 ";

/// Stream of a connection to a target.
///
/// hyper writes a small response with a single write, so each write is one response.
pub(super) struct FaultyStream {
    inner: HyperStream<TcpStream>,
    shared: state::SharedRef,
    /// Copy of a refusal, to be sent before the next response.
    late_copy: Option<Vec<u8>>,
}

impl FaultyStream {
    pub fn new(stream: TcpStream, shared: state::SharedRef) -> FaultyStream {
        FaultyStream {
            inner: HyperStream::new_plain(stream),
            shared,
            late_copy: None,
        }
    }
}

impl rt::Read for FaultyStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: rt::ReadBufCursor<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl rt::Write for FaultyStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        if let Some(copy) = self.late_copy.take() {
            match pin::Pin::new(&mut self.inner).poll_write(cx, &copy) {
                task::Poll::Ready(Ok(_)) => {
                    let counted = |counters: &mut super::Counters| counters.late_copies += 1;
                    self.shared.update_counters(counted);
                }
                task::Poll::Ready(Err(err)) => return task::Poll::Ready(Err(err)),
                task::Poll::Pending => {
                    self.late_copy = Some(copy);
                    return task::Poll::Pending;
                }
            }
        }
        if buf.starts_with(REFUSAL) && self.shared.faults.borrow().repeat_refusals {
            self.late_copy = Some(buf.to_vec());
        }
        let replacement = self.shared.faults.borrow().replacement;
        if !replacement.is_empty() {
            let written = pin::Pin::new(&mut self.inner).poll_write(cx, replacement);
            return written.map_ok(|_| buf.len());
        }
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
