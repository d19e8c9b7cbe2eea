//! Runs pipelined HTTP/1.1 requests of one connection concurrently.
//!
//! hyper handles the requests of a connection one after the other. This module reads ahead and
//! passes one message at a time to hyper. While a request is being handled, it parses the requests
//! behind it and starts those that are safe to repeat. Their responses are held back until hyper
//! reaches the request, so they are sent in order.

use std::{cell, collections, mem, net, pin, rc, task};

use bytes::{Buf, Bytes, BytesMut};
use compio::runtime;
use hyper::{Method, Request, Response, Uri, body, header, rt};

use crate::http::{self, Body, occupancy::Occupancy};

/// Maximum number of bytes that are read ahead of the request in progress.
const MAX_READ_AHEAD_BYTES: usize = 32 * 1024;

/// Maximum number of requests of a connection that run in addition to the one in hyper.
const MAX_EARLY_REQUESTS: usize = 8;

/// Largest single read from the socket, and largest number of bytes of the message in progress that
/// are read before hyper takes them.
const READ_CHUNK_BYTES: usize = 8 * 1024;

/// Bytes for which memory is reserved before a read; more than a connection returns at once.
const FIRST_READ_BYTES: usize = 4 * 1024;

type Task = runtime::JoinHandle<Response<Body>>;

/// Starts a request before hyper reaches it; returns `None` if the request must not start early.
pub type StartEarly = rc::Rc<dyn Fn(Request<Body>, net::SocketAddr) -> Option<Task>>;

/// A request that was started before hyper reached it.
struct EarlyRequest {
    method: Method,
    uri: Uri,
    task: Task,
}

/// State that the reader and the request handler of a connection share.
pub struct PipelineState {
    peer: net::SocketAddr,
    start: StartEarly,
    max_header_count: usize,
    /// Memory of the connection.
    pub occupancy: Occupancy,
    ahead: cell::RefCell<ReadAhead>,
    early_requests: cell::RefCell<collections::VecDeque<EarlyRequest>>,
    /// Whether a request was passed to hyper and has no response yet.
    response_pending: cell::Cell<bool>,
}

/// Bytes that were read from the socket but not yet passed to hyper.
#[derive(Default)]
struct ReadAhead {
    buf: BytesMut,
    /// Size of the allocation of `buf`, whose capacity shrinks while bytes are taken from it.
    allocated: usize,
    /// Number of bytes of the current message that hyper has not read yet.
    current_left: usize,
    /// Whether the current request was started early.
    current_is_early: bool,
    /// Number of bytes after the current message that belong to requests started early.
    started_bytes: usize,
    /// Whether the next request must not start early or its length is unknown.
    blocked: bool,
    /// Whether message boundaries are unknown, so that all bytes are passed on as they arrive.
    pass_through: bool,
    eof: bool,
}

impl ReadAhead {
    /// Appends bytes. The buffer grows in small steps, as its memory is charged.
    fn append(&mut self, bytes: &[u8]) {
        let len = self.buf.len() + bytes.len();
        if self.buf.capacity() < len {
            self.allocated = len.next_multiple_of(FIRST_READ_BYTES);
            let mut grown = BytesMut::with_capacity(self.allocated);
            grown.extend_from_slice(&self.buf);
            self.buf = grown;
        }
        self.buf.extend_from_slice(bytes);
    }
}

/// A complete request head at the start of the buffer.
struct Head {
    /// Length of the head in bytes.
    len: usize,
    /// Length of the body in bytes; `None` if the head does not determine it.
    body: Option<usize>,
    req: Option<Request<Body>>,
}

impl PipelineState {
    /// Creates the state of a new connection.
    pub fn new(
        peer: net::SocketAddr,
        max_header_count: usize,
        start: StartEarly,
        occupancy: Occupancy,
    ) -> rc::Rc<PipelineState> {
        rc::Rc::new(PipelineState {
            peer,
            start,
            max_header_count,
            occupancy,
            ahead: cell::RefCell::default(),
            early_requests: cell::RefCell::default(),
            response_pending: cell::Cell::new(false),
        })
    }

    /// Returns the response of the current request if it was started early.
    pub async fn take_early(&self, method: &Method, uri: &Uri) -> Option<Response<Body>> {
        if !self.ahead.borrow().current_is_early {
            return None;
        }
        let early = self.early_requests.borrow_mut().pop_front()?;
        if early.method != *method || early.uri != *uri {
            log::error!(
                "pipelined request {uri} does not match the one started early; handling it again"
            );
            return None;
        }
        early.task.await.ok()
    }

    /// Returns whether requests behind the current one were started. They must be answered before
    /// the connection closes.
    pub fn has_early_requests(&self) -> bool {
        !self.early_requests.borrow().is_empty()
    }

    /// Records that the current request has its response.
    pub fn response_ready(&self) {
        self.response_pending.set(false);
    }

    /// Starts the requests behind the current one that may start early.
    fn start_early_requests(&self) {
        let mut ahead = self.ahead.borrow_mut();
        let may_start =
            self.response_pending.get() && ahead.current_left == 0 && !ahead.pass_through;
        while may_start && !ahead.blocked && self.early_requests.borrow().len() < MAX_EARLY_REQUESTS
        {
            let started_bytes = ahead.started_bytes;
            let Some(head) = parse_head(&ahead.buf[started_bytes..], self.max_header_count) else {
                return;
            };
            ahead.blocked = !self.start(head.req, head.body);
            if !ahead.blocked {
                ahead.started_bytes += head.len;
            }
        }
    }

    /// Returns up to how many bytes are read ahead now. A head must fit; other bytes wait in the
    /// kernel's buffer, where they cost this process nothing.
    fn read_ahead_limit(&self, ahead: &ReadAhead) -> usize {
        let is_in_message = ahead.pass_through || ahead.current_left > 0;
        if is_in_message || ahead.buf.len() < READ_CHUNK_BYTES {
            return READ_CHUNK_BYTES;
        }
        let may_read = match self.response_pending.get() {
            true => self.occupancy.may_read_ahead(),
            false => parse_head(&ahead.buf, self.max_header_count).is_none(),
        };
        match may_read {
            true => MAX_READ_AHEAD_BYTES,
            false => READ_CHUNK_BYTES,
        }
    }

    /// Records whether a part of the next message was read, and frees an empty buffer.
    fn update_occupancy(&self) {
        let mut ahead = self.ahead.borrow_mut();
        let is_empty = ahead.buf.is_empty();
        self.occupancy.set_partial_message(!is_empty);
        if is_empty && ahead.current_left == 0 && !ahead.pass_through {
            if ahead.allocated > FIRST_READ_BYTES {
                ahead.buf = BytesMut::new();
                ahead.allocated = 0;
            }
            self.occupancy.release_ahead();
        }
    }

    fn start(&self, req: Option<Request<Body>>, body: Option<usize>) -> bool {
        let Some(req) = req.filter(|_| body == Some(0)) else {
            return false;
        };
        let (method, uri) = (req.method().clone(), req.uri().clone());
        let Some(task) = (self.start)(req, self.peer) else {
            return false;
        };
        let early = EarlyRequest { method, uri, task };
        self.early_requests.borrow_mut().push_back(early);
        true
    }

    /// Returns the number of bytes that hyper may read now.
    fn deliverable_bytes(&self) -> usize {
        let mut ahead = self.ahead.borrow_mut();
        if ahead.pass_through {
            return ahead.buf.len();
        }
        if ahead.current_left == 0 && !self.response_pending.get() {
            self.begin_message(&mut ahead);
        }
        match ahead.pass_through {
            true => ahead.buf.len(),
            false => ahead.current_left.min(ahead.buf.len()),
        }
    }

    fn begin_message(&self, ahead: &mut ReadAhead) {
        let Some(head) = parse_head(&ahead.buf, self.max_header_count) else {
            // A head that is too long or incomplete is passed on, so that hyper rejects it.
            ahead.pass_through = ahead.buf.len() >= MAX_READ_AHEAD_BYTES || ahead.eof;
            ahead.current_is_early = false;
            return;
        };
        let Some(body) = head.body else {
            ahead.pass_through = true;
            ahead.current_is_early = false;
            return;
        };
        ahead.current_left = head.len + body;
        ahead.current_is_early = ahead.started_bytes >= ahead.current_left;
        ahead.started_bytes = ahead.started_bytes.saturating_sub(ahead.current_left);
        ahead.blocked = false;
        self.response_pending.set(true);
    }
}

/// Parses a request head; returns `None` while it is incomplete.
///
/// An invalid head is returned without a body length, so that it is passed on and hyper rejects it.
fn parse_head(bytes: &[u8], max_header_count: usize) -> Option<Head> {
    // The usual case: each poll of a connection looks for a further request.
    if bytes.is_empty() {
        return None;
    }
    let unreadable = || Head {
        len: bytes.len(),
        body: None,
        req: None,
    };
    let mut fields = vec![httparse::EMPTY_HEADER; max_header_count];
    let mut parsed = httparse::Request::new(&mut fields);
    let len = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) => return None,
        Err(_) => return Some(unreadable()),
    };
    let Some(req) = build_request(&parsed) else {
        return Some(unreadable());
    };
    let body = body_length(&req);
    Some(Head {
        len,
        body,
        req: Some(req),
    })
}

fn build_request(parsed: &httparse::Request<'_, '_>) -> Option<Request<Body>> {
    let mut req = Request::new(http::empty());
    *req.method_mut() = parsed.method?.parse().ok()?;
    *req.uri_mut() = parsed.path?.parse().ok()?;
    if parsed.version? != 1 {
        return None;
    }
    for field in parsed.headers.iter() {
        let name: header::HeaderName = field.name.parse().ok()?;
        let value = header::HeaderValue::from_bytes(field.value).ok()?;
        req.headers_mut().append(name, value);
    }
    Some(req)
}

fn body_length(req: &Request<Body>) -> Option<usize> {
    let headers = req.headers();
    if headers.contains_key(header::TRANSFER_ENCODING) || headers.contains_key(header::UPGRADE) {
        return None;
    }
    match http::header_text(headers, &header::CONTENT_LENGTH) {
        Some(length) => length.trim().parse().ok(),
        None => Some(0),
    }
}

/// Counts a request of a connection as in progress until it is dropped.
pub struct RequestGuard {
    state: rc::Rc<PipelineState>,
}

impl RequestGuard {
    /// Records the start of a request.
    pub fn new(state: &rc::Rc<PipelineState>) -> RequestGuard {
        state.occupancy.request_started();
        RequestGuard {
            state: state.clone(),
        }
    }

    /// Ends the request with its response, or at the end of a body that is still being received.
    pub fn attach(self, response: Response<Body>) -> Response<Body> {
        match response.body().is_buffered() {
            true => response,
            false => {
                response.map(|body| Body::Stream(Box::pin(GuardedBody { body, _guard: self })))
            }
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.state.occupancy.request_ended();
    }
}

/// A body that belongs to a request in progress.
struct GuardedBody {
    body: Body,
    _guard: RequestGuard,
}

impl body::Body for GuardedBody {
    type Data = Bytes;
    type Error = http::BodyError;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, http::BodyError>>> {
        pin::Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        self.body.size_hint()
    }
}

/// A connection that passes one message at a time to hyper.
pub struct PipelinedIo<S> {
    inner: S,
    state: rc::Rc<PipelineState>,
}

impl<S> PipelinedIo<S> {
    /// Wraps a connection.
    pub fn new(inner: S, state: rc::Rc<PipelineState>) -> PipelinedIo<S> {
        PipelinedIo { inner, state }
    }
}

impl<S: rt::Read + Unpin> PipelinedIo<S> {
    /// Reads the available bytes, up to the limit of what is read ahead and as far as there is memory.
    fn fill(&mut self, cx: &mut task::Context<'_>) -> std::io::Result<()> {
        loop {
            let mut ahead = self.state.ahead.borrow_mut();
            let room = self.state.read_ahead_limit(&ahead);
            let room = room.saturating_sub(ahead.buf.len()).min(READ_CHUNK_BYTES);
            let expected = ahead.buf.len() + room.min(FIRST_READ_BYTES);
            if ahead.eof || room == 0 || !self.state.occupancy.reserve_ahead(expected, cx) {
                return Ok(());
            }
            // Not zeroed: most reads find nothing, and zeroing costs more than they do.
            let mut chunk = [mem::MaybeUninit::uninit(); READ_CHUNK_BYTES];
            let mut read = rt::ReadBuf::uninit(&mut chunk[..room]);
            match pin::Pin::new(&mut self.inner).poll_read(cx, read.unfilled()) {
                task::Poll::Pending => return Ok(()),
                task::Poll::Ready(result) => result?,
            }
            ahead.eof = read.filled().is_empty();
            ahead.append(read.filled());
        }
    }
}

impl<S: rt::Read + Unpin> rt::Read for PipelinedIo<S> {
    fn poll_read(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        mut out: rt::ReadBufCursor<'_>,
    ) -> task::Poll<std::io::Result<()>> {
        let this = self.get_mut();
        this.fill(cx)?;
        this.state.start_early_requests();
        let ready = this.state.deliverable_bytes();
        let mut ahead = this.state.ahead.borrow_mut();
        if ready == 0 {
            let has_part = !ahead.buf.is_empty();
            this.state.occupancy.set_partial_message(has_part);
            return match ahead.eof {
                // The caller has closed the connection; end of file cancels its requests.
                true => task::Poll::Ready(Ok(())),
                false => task::Poll::Pending,
            };
        }
        this.state.occupancy.record_read_space(out.remaining());
        let taken = ready.min(out.remaining());
        out.put_slice(&ahead.buf[..taken]);
        ahead.buf.advance(taken);
        ahead.current_left = ahead.current_left.saturating_sub(taken);
        drop(ahead);
        this.state.update_occupancy();
        task::Poll::Ready(Ok(()))
    }
}

impl<S: rt::Write + Unpin> rt::Write for PipelinedIo<S> {
    fn poll_write(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<std::io::Result<usize>> {
        let this = self.get_mut();
        let written = pin::Pin::new(&mut this.inner).poll_write(cx, buf);
        this.state.occupancy.record_write(&written);
        written
    }

    fn poll_flush(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<std::io::Result<()>> {
        let this = self.get_mut();
        let flushed = pin::Pin::new(&mut this.inner).poll_flush(cx);
        this.state.occupancy.record_flush(&flushed);
        flushed
    }

    fn poll_shutdown(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<std::io::Result<()>> {
        pin::Pin::new(&mut self.get_mut().inner).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> task::Poll<std::io::Result<usize>> {
        let this = self.get_mut();
        let written = pin::Pin::new(&mut this.inner).poll_write_vectored(cx, bufs);
        this.state.occupancy.record_write(&written);
        written
    }
}
