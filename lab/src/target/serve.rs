//! Accepts the connections of a target, and provides the handle that controls it.

use std::{cell, io, net, rc, time};

use compio::net::{TcpListener, TcpSocket, TcpStream};
use futures_channel::oneshot;
use futures_util::FutureExt;
use hyper::{server::conn::http1, service};
use wagtailshunt_core::types;

use super::respond::{self, Outcome};
use super::{Config, Counters, Faults, Ledger, State, announce, faulty_stream, state};

const MAX_BIND_ATTEMPTS: u32 = 200;
const BIND_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(5);
const BACKLOG: i32 = 1024;

/// Signals all tasks of an incarnation to end.
#[derive(Clone, Default)]
struct EndSignal {
    ended: rc::Rc<cell::Cell<bool>>,
    waiters: rc::Rc<cell::RefCell<Vec<oneshot::Sender<()>>>>,
}

impl EndSignal {
    fn end(&self) {
        self.ended.set(true);
        // Dropping the senders wakes all waiting tasks.
        self.waiters.borrow_mut().clear();
    }

    async fn wait_for_end(&self) {
        if let Some(rx) = self.register() {
            let _ = rx.await;
        }
    }

    /// Returns a receiver that resolves when the incarnation ends, or `None` if it has ended.
    fn register(&self) -> Option<oneshot::Receiver<()>> {
        if self.ended.get() {
            return None;
        }
        let (tx, rx) = oneshot::channel();
        let mut waiters = self.waiters.borrow_mut();
        waiters.retain(|tx| !tx.is_canceled());
        waiters.push(tx);
        Some(rx)
    }
}

/// Controls a running target. Dropping the handle ends the target.
pub struct Handle {
    shared: state::SharedRef,
    address: net::SocketAddr,
    end_signal: EndSignal,
}

/// Starts a target on the current compio runtime.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn start(config: Config) -> io::Result<Handle> {
    let listener = TcpListener::bind(config.listen).await?;
    let address = listener.local_addr()?;
    let handle = Handle {
        shared: state::Shared::new(config),
        address,
        end_signal: EndSignal::default(),
    };
    handle.spawn_tasks(listener);
    Ok(handle)
}

impl Handle {
    /// Returns the address for calls.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns the current incarnation.
    pub fn incarnation(&self) -> types::Incarnation {
        self.shared.incarnation.get()
    }

    /// Returns the state that the target announces.
    pub fn state(&self) -> State {
        self.shared.state()
    }

    /// Returns the counters.
    pub fn counters(&self) -> Counters {
        self.shared.counters.get()
    }

    /// Returns a copy of the ledger of runs.
    pub fn ledger(&self) -> Ledger {
        self.shared.ledger.borrow().clone()
    }

    /// Changes the faults for subsequent calls.
    pub fn faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.faults.borrow_mut());
    }

    /// Freezes all open connections: they stay open but send no more responses. New connections are
    /// not affected.
    pub fn freeze_connections(&self) {
        self.shared
            .last_frozen_connection
            .set(self.shared.counters.get().connections);
    }

    /// Starts to drain and announces it at once. Calls are still served.
    pub async fn drain(&self) {
        self.shared.draining.set(true);
        if let Some(settings) = &self.shared.config.announce {
            announce::announce(&self.shared, self.address, settings).await;
        }
    }

    /// Closes the listener and all connections without a response.
    pub fn crash(&self) {
        crash(&self.shared, &self.end_signal);
    }

    /// Returns whether the target is running.
    pub fn is_running(&self) -> bool {
        !self.end_signal.ended.get()
    }

    /// Starts the next incarnation on the same address. The ledger is kept.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound again.
    pub async fn restart(&mut self) -> io::Result<()> {
        self.end_signal.end();
        let listener = rebind(self.address).await?;
        self.end_signal = EndSignal::default();
        let next = types::Incarnation(self.shared.incarnation.get().0 + 1);
        self.shared.incarnation.set(next);
        self.shared.draining.set(false);
        self.shared.started_at.set(time::Instant::now());
        self.spawn_tasks(listener);
        Ok(())
    }

    fn spawn_tasks(&self, listener: TcpListener) {
        let (shared, end_signal) = (self.shared.clone(), self.end_signal.clone());
        let accepting = accept(listener, shared.clone(), end_signal.clone());
        spawn_until_end(end_signal.clone(), accepting);
        if let Some(settings) = shared.config.announce.clone() {
            spawn_until_end(end_signal, announce::run(shared, self.address, settings));
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.end_signal.end();
    }
}

/// Spawns a task that runs until it completes or the incarnation ends.
fn spawn_until_end(end_signal: EndSignal, task: impl Future<Output = ()> + 'static) {
    compio::runtime::spawn(async move {
        let ended = end_signal.wait_for_end().boxed_local();
        let task = task.boxed_local();
        futures_util::future::select(ended, task).await;
    })
    .detach();
}

/// Binds the address of an incarnation that has just ended.
///
/// The old listener is closed only when its task runs next, so the first attempts may fail.
async fn rebind(address: net::SocketAddr) -> io::Result<TcpListener> {
    let mut attempts = 0;
    loop {
        attempts += 1;
        match bind(address).await {
            Err(_) if attempts < MAX_BIND_ATTEMPTS => {
                compio::time::sleep(BIND_RETRY_INTERVAL).await;
            }
            result => return result,
        }
    }
}

async fn bind(address: net::SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        net::SocketAddr::V4(_) => TcpSocket::new_v4().await?,
        net::SocketAddr::V6(_) => TcpSocket::new_v6().await?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address).await?;
    socket.listen(BACKLOG).await
}

fn crash(shared: &state::SharedRef, end_signal: &EndSignal) {
    if !end_signal.ended.get() {
        shared.update_counters(|counters| counters.crashes += 1);
        end_signal.end();
    }
}

async fn accept(listener: TcpListener, shared: state::SharedRef, end_signal: EndSignal) {
    while let Ok((stream, _)) = listener.accept().await {
        shared.update_counters(|counters| counters.connections += 1);
        let number = shared.counters.get().connections;
        let connection = connection(stream, number, shared.clone(), end_signal.clone());
        spawn_until_end(end_signal.clone(), connection);
    }
}

async fn connection(
    stream: TcpStream,
    number: u64,
    shared: state::SharedRef,
    end_signal: EndSignal,
) {
    // With Nagle's algorithm, a small response would wait for the previous segment to be
    // acknowledged.
    let _ = stream.set_nodelay(true);
    let stream = faulty_stream::FaultyStream::new(stream, shared.clone());
    let service = service::service_fn(move |request| {
        let (shared, end_signal) = (shared.clone(), end_signal.clone());
        async move {
            match respond::respond(shared.clone(), number, request).await {
                Outcome::Response(response) => Ok(response),
                Outcome::Crash => {
                    crash(&shared, &end_signal);
                    Err(io::Error::other("crash"))
                }
            }
        }
    });
    let serving = http1::Builder::new().serve_connection(stream, service);
    // The caller detects connection errors itself.
    let _: Result<(), hyper::Error> = serving.await;
}
