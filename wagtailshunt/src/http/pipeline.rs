//! Reading ahead on a caller's connection, so that pipelined requests run side by side.
//!
//! hyper answers the requests of a connection one after the other. This module hands it one message
//! at a time; while a request is being answered it looks at the requests behind it and starts those
//! that may be repeated. Their answers wait until it is their turn, so the order stays.

use std::{cell, collections, net, pin, rc, task};

use bytes::{Buf, BytesMut};
use compio::runtime;
use hyper::{Method, Request, Response, Uri, header, rt};

use crate::http::{self, Body};

/// Bytes read ahead of the request that is being answered.
const MAX_READ_AHEAD_BYTES: usize = 32 * 1024;

/// Requests of a connection that run beside the one whose turn it is.
const MAX_EARLY_REQUESTS: usize = 8;

/// Bytes taken from the socket at once.
const READ_CHUNK_BYTES: usize = 8 * 1024;

type Task = runtime::JoinHandle<Response<Body>>;

/// Starts a request before its turn; `None` when it must wait for its turn.
pub type StartEarly = rc::Rc<dyn Fn(Request<Body>, net::SocketAddr) -> Option<Task>>;

struct EarlyRequest {
    method: Method,
    uri: Uri,
    task: Task,
}

/// What the reading and the answering side of a connection share.
pub struct PipelineState {
    peer: net::SocketAddr,
    start: StartEarly,
    max_header_count: usize,
    ahead: cell::RefCell<ReadAhead>,
    early_requests: cell::RefCell<collections::VecDeque<EarlyRequest>>,
    /// A request was handed to hyper and has no answer yet.
    response_pending: cell::Cell<bool>,
}

#[derive(Default)]
struct ReadAhead {
    buf: BytesMut,
    /// Bytes of the current message that hyper has not taken yet.
    current_left: usize,
    /// The current message was started before its turn.
    current_is_early: bool,
    /// Bytes after the current message whose requests were started.
    started_bytes: usize,
    /// The next request can't start early, or its end isn't known.
    blocked: bool,
    /// Message borders are lost; everything is handed on as it comes.
    pass_through: bool,
    eof: bool,
}

/// A complete head at the beginning of some bytes.
struct Head {
    len: usize,
    /// Bytes of the body; `None` when they can't be told from the head.
    body: Option<usize>,
    req: Option<Request<Body>>,
}

impl PipelineState {
    /// Creates the shared part of a connection.
    pub fn new(
        peer: net::SocketAddr,
        max_header_count: usize,
        start: StartEarly,
    ) -> rc::Rc<PipelineState> {
        rc::Rc::new(PipelineState {
            peer,
            start,
            max_header_count,
            ahead: cell::RefCell::default(),
            early_requests: cell::RefCell::default(),
            response_pending: cell::Cell::new(false),
        })
    }

    /// Takes the answer of a request that was started early.
    pub async fn take_early(&self, method: &Method, uri: &Uri) -> Option<Response<Body>> {
        if !self.ahead.borrow().current_is_early {
            return None;
        }
        let early = self.early_requests.borrow_mut().pop_front()?;
        if early.method != *method || early.uri != *uri {
            log::error!("pipelined request {uri} doesn't match the one started early");
            return None;
        }
        early.task.await.ok()
    }

    /// Notes that the request whose turn it was has its answer.
    pub fn response_ready(&self) {
        self.response_pending.set(false);
    }

    /// Starts requests behind the current one.
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

    /// Returns how many bytes hyper may take now.
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
            // hyper refuses a head that is too long or ends early.
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

/// Reads a head; `None` while it is incomplete.
///
/// A head that can't be read has no length of a body, so that hyper gets to refuse it.
fn parse_head(bytes: &[u8], max_header_count: usize) -> Option<Head> {
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

/// A connection that hands hyper one message at a time.
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
    /// Reads what has arrived, up to the bound.
    fn fill(&mut self, cx: &mut task::Context<'_>) -> std::io::Result<()> {
        loop {
            let mut ahead = self.state.ahead.borrow_mut();
            if ahead.eof || ahead.buf.len() >= MAX_READ_AHEAD_BYTES {
                return Ok(());
            }
            let mut chunk = [0; READ_CHUNK_BYTES];
            let mut read = rt::ReadBuf::new(&mut chunk);
            match pin::Pin::new(&mut self.inner).poll_read(cx, read.unfilled()) {
                task::Poll::Pending => return Ok(()),
                task::Poll::Ready(result) => result?,
            }
            ahead.eof = read.filled().is_empty();
            ahead.buf.extend_from_slice(read.filled());
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
            return match ahead.eof {
                // Nothing more can come: the caller has closed, which cancels its requests.
                true => task::Poll::Ready(Ok(())),
                false => task::Poll::Pending,
            };
        }
        let taken = ready.min(out.remaining());
        out.put_slice(&ahead.buf[..taken]);
        ahead.buf.advance(taken);
        ahead.current_left = ahead.current_left.saturating_sub(taken);
        task::Poll::Ready(Ok(()))
    }
}

impl<S: rt::Write + Unpin> rt::Write for PipelinedIo<S> {
    fn poll_write(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<std::io::Result<usize>> {
        pin::Pin::new(&mut self.get_mut().inner).poll_write(cx, buf)
    }

    fn poll_flush(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<std::io::Result<()>> {
        pin::Pin::new(&mut self.get_mut().inner).poll_flush(cx)
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
        pin::Pin::new(&mut self.get_mut().inner).poll_write_vectored(cx, bufs)
    }
}
