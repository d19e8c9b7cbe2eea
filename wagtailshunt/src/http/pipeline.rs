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
const AHEAD_BYTES: usize = 32 * 1024;

/// Requests of a connection that run beside the one whose turn it is.
const EARLY_REQUESTS: usize = 8;

/// Bytes taken from the socket at once.
const READ_BYTES: usize = 8 * 1024;

type Task = runtime::JoinHandle<Response<Body>>;

/// Starts a request before its turn; `None` when it must wait for its turn.
pub type StartEarly = rc::Rc<dyn Fn(Request<Body>, net::SocketAddr) -> Option<Task>>;

struct Early {
    method: Method,
    uri: Uri,
    task: Task,
}

/// What the reading and the answering side of a connection share.
pub struct Shared {
    peer: net::SocketAddr,
    start: StartEarly,
    max_headers: usize,
    ahead: cell::RefCell<Ahead>,
    early: cell::RefCell<collections::VecDeque<Early>>,
    /// A request was handed to hyper and has no answer yet.
    answering: cell::Cell<bool>,
}

#[derive(Default)]
struct Ahead {
    buf: BytesMut,
    /// Bytes of the current message that hyper has not taken yet.
    current: usize,
    /// The current message was started before its turn.
    current_is_early: bool,
    /// Bytes after the current message whose requests were started.
    seen: usize,
    /// The next request can't start early, or its end isn't known.
    blocked: bool,
    /// Message borders are lost; everything is handed on as it comes.
    pass_through: bool,
    ended: bool,
}

/// A complete head at the beginning of some bytes.
struct Head {
    len: usize,
    /// Bytes of the body; `None` when they can't be told from the head.
    body: Option<usize>,
    req: Option<Request<Body>>,
}

impl Shared {
    /// Creates the shared part of a connection.
    pub fn new(peer: net::SocketAddr, max_headers: usize, start: StartEarly) -> rc::Rc<Shared> {
        rc::Rc::new(Shared {
            peer,
            start,
            max_headers,
            ahead: cell::RefCell::default(),
            early: cell::RefCell::default(),
            answering: cell::Cell::new(false),
        })
    }

    /// Takes the answer of a request that was started early.
    pub async fn take_early(&self, method: &Method, uri: &Uri) -> Option<Response<Body>> {
        if !self.ahead.borrow().current_is_early {
            return None;
        }
        let early = self.early.borrow_mut().pop_front()?;
        if early.method != *method || early.uri != *uri {
            log::error!("pipelined request {uri} doesn't match the one started early");
            return None;
        }
        early.task.await.ok()
    }

    /// Notes that the request whose turn it was has its answer.
    pub fn answered(&self) {
        self.answering.set(false);
    }

    /// Starts requests behind the current one.
    fn look_ahead(&self) {
        let mut ahead = self.ahead.borrow_mut();
        let busy = self.answering.get() && ahead.current == 0 && !ahead.pass_through;
        while busy && !ahead.blocked && self.early.borrow().len() < EARLY_REQUESTS {
            let seen = ahead.seen;
            let Some(head) = parse(&ahead.buf[seen..], self.max_headers) else {
                return;
            };
            ahead.blocked = !self.start(head.req, head.body);
            if !ahead.blocked {
                ahead.seen += head.len;
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
        let early = Early { method, uri, task };
        self.early.borrow_mut().push_back(early);
        true
    }

    /// Returns how many bytes hyper may take now.
    fn deliverable(&self) -> usize {
        let mut ahead = self.ahead.borrow_mut();
        if ahead.pass_through {
            return ahead.buf.len();
        }
        if ahead.current == 0 && !self.answering.get() {
            self.begin_message(&mut ahead);
        }
        match ahead.pass_through {
            true => ahead.buf.len(),
            false => ahead.current.min(ahead.buf.len()),
        }
    }

    fn begin_message(&self, ahead: &mut Ahead) {
        let Some(head) = parse(&ahead.buf, self.max_headers) else {
            // hyper refuses a head that is too long or ends early.
            ahead.pass_through = ahead.buf.len() >= AHEAD_BYTES || ahead.ended;
            ahead.current_is_early = false;
            return;
        };
        let Some(body) = head.body else {
            ahead.pass_through = true;
            ahead.current_is_early = false;
            return;
        };
        ahead.current = head.len + body;
        ahead.current_is_early = ahead.seen >= ahead.current;
        ahead.seen = ahead.seen.saturating_sub(ahead.current);
        ahead.blocked = false;
        self.answering.set(true);
    }
}

/// Reads a head; `None` while it is incomplete.
///
/// A head that can't be read has no length of a body, so that hyper gets to refuse it.
fn parse(bytes: &[u8], max_headers: usize) -> Option<Head> {
    let unreadable = || Head {
        len: bytes.len(),
        body: None,
        req: None,
    };
    let mut fields = vec![httparse::EMPTY_HEADER; max_headers];
    let mut parsed = httparse::Request::new(&mut fields);
    let len = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) => return None,
        Err(_) => return Some(unreadable()),
    };
    let Some(req) = request(&parsed) else {
        return Some(unreadable());
    };
    let body = body_length(&req);
    Some(Head {
        len,
        body,
        req: Some(req),
    })
}

fn request(parsed: &httparse::Request<'_, '_>) -> Option<Request<Body>> {
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
    shared: rc::Rc<Shared>,
}

impl<S> PipelinedIo<S> {
    /// Wraps a connection.
    pub fn new(inner: S, shared: rc::Rc<Shared>) -> PipelinedIo<S> {
        PipelinedIo { inner, shared }
    }
}

impl<S: rt::Read + Unpin> PipelinedIo<S> {
    /// Reads what has arrived, up to the bound.
    fn fill(&mut self, cx: &mut task::Context<'_>) -> std::io::Result<()> {
        loop {
            let mut ahead = self.shared.ahead.borrow_mut();
            if ahead.ended || ahead.buf.len() >= AHEAD_BYTES {
                return Ok(());
            }
            let mut chunk = [0; READ_BYTES];
            let mut read = rt::ReadBuf::new(&mut chunk);
            match pin::Pin::new(&mut self.inner).poll_read(cx, read.unfilled()) {
                task::Poll::Pending => return Ok(()),
                task::Poll::Ready(result) => result?,
            }
            ahead.ended = read.filled().is_empty();
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
        this.shared.look_ahead();
        let ready = this.shared.deliverable();
        let mut ahead = this.shared.ahead.borrow_mut();
        if ready == 0 {
            return match ahead.ended {
                // Nothing more can come: the caller has closed, which cancels its requests.
                true => task::Poll::Ready(Ok(())),
                false => task::Poll::Pending,
            };
        }
        let taken = ready.min(out.remaining());
        out.put_slice(&ahead.buf[..taken]);
        ahead.buf.advance(taken);
        ahead.current = ahead.current.saturating_sub(taken);
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
