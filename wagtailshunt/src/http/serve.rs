//! HTTP/1.1 listeners with connection limits and graceful shutdown.

use std::{cell, io, net, rc, time};

use compio::{
    BufResult,
    io::AsyncRead,
    net::{TcpListener, TcpStream},
};
use cyper_core::CompioTimer;
use futures_channel::oneshot;
use futures_util::{FutureExt, future as future_util, pin_mut, select_biased};
use hyper::{Request, Response, body::Incoming, server::conn::http1, service};

use crate::http::{
    Body, Memory,
    io::Io,
    occupancy::Occupancy,
    pipeline::{self, RequestGuard},
};

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest request head in bytes.
    pub header_bytes: usize,
    /// Largest number of header fields of a request.
    pub header_count: usize,
    /// Time within which a request head must be complete.
    pub header_timeout: time::Duration,
    /// Maximum number of open connections; further ones wait in the kernel's backlog.
    pub connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            header_bytes: 32 * 1024,
            header_count: 100,
            header_timeout: time::Duration::from_secs(10),
            connections: 4096,
        }
    }
}

#[derive(Default)]
struct ShutdownInner {
    is_started: cell::Cell<bool>,
    is_immediate: cell::Cell<bool>,
    open_connections: cell::Cell<usize>,
    start_waiters: cell::RefCell<Vec<oneshot::Sender<()>>>,
    drain_waiters: cell::RefCell<Vec<oneshot::Sender<()>>>,
}

/// Graceful shutdown of listeners: they accept no new connections, finish calls in flight and close
/// idle connections.
#[derive(Clone, Default)]
pub struct Shutdown {
    inner: rc::Rc<ShutdownInner>,
}

impl Shutdown {
    /// Starts the shutdown. Further calls have no effect.
    pub fn start(&self) {
        self.inner.is_started.set(true);
        for tx in self.inner.start_waiters.borrow_mut().drain(..) {
            // The receiver is gone if its connection has already ended.
            let _ = tx.send(());
        }
        self.notify_drained();
    }

    /// Starts the shutdown and closes the listener at once, as a crash would: connections that the
    /// kernel has accepted are reset.
    pub fn start_immediately(&self) {
        self.inner.is_immediate.set(true);
        self.start();
    }

    /// Returns whether the shutdown has started.
    pub fn is_started(&self) -> bool {
        self.inner.is_started.get()
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.inner.open_connections.get()
    }

    /// Waits until the shutdown starts.
    pub async fn wait(&self) {
        if self.is_started() {
            return;
        }
        let (tx, rx) = oneshot::channel();
        self.inner.start_waiters.borrow_mut().push(tx);
        let _ = rx.await;
    }

    /// Waits until the shutdown has started and no connection is open.
    pub async fn drained(&self) {
        self.wait().await;
        while self.open_connections() > 0 {
            let (tx, rx) = oneshot::channel();
            self.inner.drain_waiters.borrow_mut().push(tx);
            let _ = rx.await;
        }
    }

    fn track_connection(&self) -> ConnectionGuard {
        self.inner
            .open_connections
            .set(self.inner.open_connections.get() + 1);
        ConnectionGuard {
            shutdown: self.clone(),
        }
    }

    fn notify_drained(&self) {
        if self.open_connections() == 0 {
            for tx in self.inner.drain_waiters.borrow_mut().drain(..) {
                let _ = tx.send(());
            }
        }
    }

    /// Removes the waiters of connections that have ended.
    fn prune_start_waiters(&self) {
        let mut start_waiters = self.inner.start_waiters.borrow_mut();
        if start_waiters.len() > 2 * self.open_connections() + 16 {
            start_waiters.retain(|tx| !tx.is_canceled());
        }
    }
}

/// Counts an open connection until it is dropped.
struct ConnectionGuard {
    shutdown: Shutdown,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let open = &self.shutdown.inner.open_connections;
        open.set(open.get() - 1);
        self.shutdown.notify_drained();
    }
}

/// Accepts connections until the shutdown starts and passes each request to `handler`.
///
/// # Errors
///
/// Returns an error if the listener fails.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: Limits,
    shutdown: Shutdown,
    handler: H,
) -> io::Result<()>
where
    H: Fn(Request<Incoming>, net::SocketAddr) -> F + Clone + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let stopping = shutdown.clone();
    let admit = |_is_full: bool| Some(());
    accept(
        listener,
        limits,
        shutdown,
        admit,
        move |stream, peer, ()| {
            let handler = handler.clone();
            let respond = move |req| handler(req, peer);
            let evicted = future_util::pending();
            let socket = stream.clone();
            let io = Io::new(stream);
            let stopping = stopping.clone();
            serve_connection(io, socket, limits, stopping, || true, evicted, respond)
        },
    )
    .await
}

/// Accepts connections as [`serve`] does and runs pipelined requests concurrently if
/// `may_start_early` allows it. Responses are sent in the order of the requests.
///
/// Connections are charged to `memory`. At the limit of connections, one that waits for its caller
/// is closed for a new one.
///
/// # Errors
///
/// Returns an error if the listener fails.
pub async fn serve_pipelined<H, F>(
    listener: TcpListener,
    limits: Limits,
    shutdown: Shutdown,
    memory: Memory,
    may_start_early: impl Fn(&Request<Body>) -> bool + 'static,
    handler: H,
) -> io::Result<()>
where
    H: Fn(Request<Body>, net::SocketAddr) -> F + Clone + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let stopping = shutdown.clone();
    let early = handler.clone();
    let start: pipeline::StartEarly = rc::Rc::new(move |req, peer| {
        may_start_early(&req).then(|| compio::runtime::spawn(early(req, peer)))
    });
    let admit = move |is_full| match is_full {
        true => {
            memory.replace_connection();
            None
        }
        false => memory.open_connection(),
    };
    accept(
        listener,
        limits,
        shutdown,
        admit,
        move |stream, peer, holder| {
            let occupancy = Occupancy::new(holder);
            let pipeline_state =
                pipeline::PipelineState::new(peer, limits.header_count, start.clone(), occupancy);
            let socket = stream.clone();
            let io = pipeline::PipelinedIo::new(Io::new(stream), pipeline_state.clone());
            let connection = pipeline_state.clone();
            let evicted = async move { connection.occupancy.evicted().await };
            let handler = handler.clone();
            let pipeline = pipeline_state.clone();
            let may_close = move || !pipeline.has_early_requests();
            let respond = move |req: Request<Incoming>| {
                let (pipeline_state, handler) = (pipeline_state.clone(), handler.clone());
                async move {
                    let guard = RequestGuard::new(&pipeline_state);
                    let early = pipeline_state.take_early(req.method(), req.uri()).await;
                    let mut response = match early {
                        Some(response) => response,
                        None => handler(req.map(Body::Incoming), peer).await,
                    };
                    if pipeline_state.has_early_requests() {
                        response.headers_mut().remove(hyper::header::CONNECTION);
                    }
                    pipeline_state.response_ready();
                    guard.attach(response)
                }
            };
            let stopping = stopping.clone();
            serve_connection(io, socket, limits, stopping, may_close, evicted, respond)
        },
    )
    .await
}

/// Accepts connections. `admit` returns what a connection needs, or `None` while there is no room
/// for one; it is told whether the limit of connections is reached.
async fn accept<T, C>(
    listener: TcpListener,
    limits: Limits,
    shutdown: Shutdown,
    admit: impl Fn(bool) -> Option<T>,
    serve_connection: impl Fn(TcpStream, net::SocketAddr, T) -> C,
) -> io::Result<()>
where
    C: Future<Output = ()> + 'static,
{
    // Counts as an open connection, so that the shutdown waits for connections accepted last.
    let _listening = shutdown.track_connection();
    let mut closing_since: Option<time::Instant> = None;
    loop {
        let is_full = shutdown.open_connections() >= limits.connections;
        let admitted = admit(is_full).filter(|_| !is_full);
        let Some(admitted) = admitted else {
            compio::time::sleep(time::Duration::from_millis(1)).await;
            if shutdown.is_started() {
                return Ok(());
            }
            continue;
        };
        let accepted = if let Some(since) = closing_since {
            if since.elapsed() >= LAST_ACCEPT_LIMIT {
                return Ok(());
            }
            match compio::time::timeout(LAST_ACCEPT_TIMEOUT, listener.accept()).await {
                Ok(accepted) => accepted,
                Err(_) => return Ok(()),
            }
        } else {
            let stop = shutdown.wait().fuse();
            let accept = listener.accept().fuse();
            pin_mut!(stop, accept);
            select_biased! {
                () = stop => {
                    if shutdown.inner.is_immediate.get() {
                        return Ok(());
                    }
                    closing_since = Some(time::Instant::now());
                    continue;
                }
                accepted = accept => accepted,
            }
        };
        match accepted {
            Ok((stream, peer)) => {
                // With Nagle's algorithm, a small response waits for the acknowledgement of the
                // previous segment.
                let _ = stream.set_nodelay(true);
                let guard = shutdown.track_connection();
                shutdown.prune_start_waiters();
                // Boxed, because a future that awaits another one by value takes its size twice.
                let task = Box::pin(serve_connection(stream, peer, admitted));
                compio::runtime::spawn(async move {
                    let _guard = guard;
                    task.await;
                })
                .detach();
            }
            Err(err) if is_transient(&err) => {
                compio::time::sleep(time::Duration::from_millis(5)).await;
            }
            Err(err) => return Err(err),
        }
    }
}

/// Returns whether an accept error concerns a single connection or a temporary lack of file
/// descriptors.
fn is_transient(err: &io::Error) -> bool {
    const EMFILE: i32 = 24;
    const ENFILE: i32 = 23;
    matches!(
        err.kind(),
        io::ErrorKind::ConnectionAborted | io::ErrorKind::ConnectionReset
    ) || matches!(err.raw_os_error(), Some(EMFILE | ENFILE))
}

/// Interval at which a connection that must not close yet is checked during a shutdown.
const CLOSE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Age up to which a connection without a request stays open during a shutdown: its first request
/// may be on the way, and closing the connection would cut it off.
const FIRST_REQUEST_GRACE: time::Duration = time::Duration::from_millis(500);

/// Time without a new connection after which a listener that shuts down is closed. Connections that
/// the kernel has accepted would be reset with it.
const LAST_ACCEPT_TIMEOUT: time::Duration = time::Duration::from_millis(5);

/// Time after which the listener is closed although callers still connect.
const LAST_ACCEPT_LIMIT: time::Duration = time::Duration::from_millis(100);

/// Longest time for which a connection stays half open after its last response. It covers the time
/// that the response takes on a slow link.
const MAX_LINGER: time::Duration = time::Duration::from_secs(1);

/// Largest number of bytes that are read from a caller after the last response.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;

/// Largest single read of them.
const DISCARD_CHUNK_BYTES: usize = 2 * 1024;

/// Serves a connection until it ends or, after the start of the shutdown, until `may_close` and the
/// request in progress has its response. It is closed at once when `evicted` returns. `socket` is
/// that of `io`.
async fn serve_connection<S, H, F>(
    io: S,
    socket: TcpStream,
    limits: Limits,
    shutdown: Shutdown,
    may_close: impl Fn() -> bool + Clone + 'static,
    evicted: impl Future<Output = ()>,
    handler: H,
) where
    S: hyper::rt::Read + hyper::rt::Write + Unpin + 'static,
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let stopping = shutdown.clone();
    let close_allowed = may_close.clone();
    let has_request = rc::Rc::new(cell::Cell::new(false));
    let request_arrived = has_request.clone();
    let is_http_1_0 = rc::Rc::new(cell::Cell::new(false));
    let http_1_0 = is_http_1_0.clone();
    let service = service::service_fn(move |req: Request<Incoming>| {
        request_arrived.set(true);
        http_1_0.set(req.version() == hyper::Version::HTTP_10);
        let response = handler(req);
        let (stopping, close_allowed) = (stopping.clone(), close_allowed.clone());
        // Boxed, because hyper reserves memory for the future on idle connections as well.
        Box::pin(async move {
            let mut response = response.await;
            if stopping.is_started() && close_allowed() {
                let close = hyper::header::HeaderValue::from_static("close");
                response
                    .headers_mut()
                    .insert(hyper::header::CONNECTION, close);
            }
            Ok::<_, std::convert::Infallible>(response)
        })
    });
    let conn = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.header_bytes.max(8192))
        .max_headers(limits.header_count)
        .serve_connection(io, service);
    let mut conn = Box::pin(conn);
    let opened = time::Instant::now();
    let stop = async {
        shutdown.wait().await;
        let is_new = || !has_request.get() && opened.elapsed() < FIRST_REQUEST_GRACE;
        while is_new() || !may_close() {
            compio::time::sleep(CLOSE_CHECK_INTERVAL).await;
        }
    };
    pin_mut!(stop, evicted);
    let stop = future_util::select(stop, evicted.as_mut());
    let mut was_idle = false;
    let ended = match future_util::select(conn.as_mut(), stop).await {
        future_util::Either::Left((ended, _)) => ended,
        future_util::Either::Right((future_util::Either::Right(_), _)) => return,
        future_util::Either::Right((future_util::Either::Left(_), _)) => {
            conn.as_mut().graceful_shutdown();
            match conn.as_mut().now_or_never() {
                Some(ended) => {
                    was_idle = true;
                    ended
                }
                None => match future_util::select(conn.as_mut(), evicted).await {
                    future_util::Either::Left((ended, _)) => ended,
                    future_util::Either::Right(_) => return,
                },
            }
        }
    };
    // A response to HTTP/1.0 may end with its connection. Without a reset, the part of it that was
    // sent would look complete.
    if is_http_1_0.get() && ended.as_ref().is_err_and(hyper::Error::is_user) {
        let _ = socket.set_zero_linger();
    }
    drop(conn);
    // An idle connection has no response on its way, and a request that crosses its end must stay
    // unread, so that its caller may send it again.
    if ended.is_ok() && !was_idle {
        // The response is complete whatever becomes of this.
        let _ = compio::time::timeout(MAX_LINGER, discard_until_closed(&socket)).await;
    }
}

/// Reads and drops what a caller sends behind the last response, until it closes the connection. Bytes
/// that arrive at a closed socket would reset the connection, and the caller would lose the part of
/// the response that is still on its way (RFC 9112, section 9.6).
async fn discard_until_closed(mut socket: &TcpStream) {
    let mut buf = Vec::with_capacity(DISCARD_CHUNK_BYTES);
    let mut discarded = 0;
    while discarded < MAX_DISCARDED_BYTES {
        buf.clear();
        let BufResult(read, returned) = socket.read(buf).await;
        buf = returned;
        match read {
            Ok(n) if n > 0 => discarded += n,
            _ => return,
        }
    }
}
