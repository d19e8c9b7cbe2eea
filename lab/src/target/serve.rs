//! Listener of a target and the handle that controls it.

use std::{cell, io, net, rc, time};

use compio::net::{TcpListener, TcpSocket, TcpStream};
use futures_channel::oneshot;
use futures_util::FutureExt;
use hyper::{server::conn::http1, service};
use wagtailshunt_core::types;

use super::respond::{self, Outcome};
use super::{Config, Counters, Faults, Ledger, State, announce, state, tap};

const MAX_BIND_ATTEMPTS: u32 = 200;
const BIND_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(5);
const BACKLOG: i32 = 1024;

/// Ends everything that belongs to one incarnation.
#[derive(Clone, Default)]
struct Life {
    ended: rc::Rc<cell::Cell<bool>>,
    waiters: rc::Rc<cell::RefCell<Vec<oneshot::Sender<()>>>>,
}

impl Life {
    fn end(&self) {
        self.ended.set(true);
        // Dropping the senders wakes all waiters.
        self.waiters.borrow_mut().clear();
    }

    async fn ended(&self) {
        if let Some(rx) = self.register() {
            let _ = rx.await;
        }
    }

    /// Returns a receiver that resolves at the end, or `None` when it has come.
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

/// Controls a running target. Dropping it ends the target.
pub struct Handle {
    shared: state::Ref,
    address: net::SocketAddr,
    life: Life,
}

/// Starts a target on the current compio runtime.
pub async fn start(config: Config) -> io::Result<Handle> {
    let listener = TcpListener::bind(config.listen).await?;
    let address = listener.local_addr()?;
    let handle = Handle {
        shared: state::Shared::new(config),
        address,
        life: Life::default(),
    };
    handle.run(listener);
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

    /// Changes the faults; they apply to calls from now on.
    pub fn faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.faults.borrow_mut());
    }

    /// Freezes all open connections: they stay open and never answer again. New ones work.
    pub fn freeze_connections(&self) {
        self.shared
            .frozen_through
            .set(self.shared.counters.get().connections);
    }

    /// Begins the drain and announces it at once. Calls are still served.
    pub async fn drain(&self) {
        self.shared.draining.set(true);
        if let Some(settings) = &self.shared.config.announce {
            announce::announce(&self.shared, self.address, settings).await;
        }
    }

    /// Ends the listener and all connections without an answer.
    pub fn crash(&self) {
        crash(&self.shared, &self.life);
    }

    /// Returns whether the target runs.
    pub fn is_running(&self) -> bool {
        !self.life.ended.get()
    }

    /// Starts the next incarnation on the same address. The ledger is kept.
    pub async fn restart(&mut self) -> io::Result<()> {
        self.life.end();
        let listener = rebind(self.address).await?;
        self.life = Life::default();
        let next = types::Incarnation(self.shared.incarnation.get().0 + 1);
        self.shared.incarnation.set(next);
        self.shared.draining.set(false);
        self.shared.started_at.set(time::Instant::now());
        self.run(listener);
        Ok(())
    }

    fn run(&self, listener: TcpListener) {
        let (shared, life) = (self.shared.clone(), self.life.clone());
        let accepting = accept(listener, shared.clone(), life.clone());
        spawn_within(life.clone(), accepting);
        if let Some(settings) = shared.config.announce.clone() {
            spawn_within(life, announce::run(shared, self.address, settings));
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.life.end();
    }
}

/// Runs a task until it or the incarnation ends.
fn spawn_within(life: Life, task: impl Future<Output = ()> + 'static) {
    compio::runtime::spawn(async move {
        let ended = life.ended().boxed_local();
        let task = task.boxed_local();
        futures_util::future::select(ended, task).await;
    })
    .detach();
}

/// Binds the address of an incarnation that has just ended.
///
/// Its listener closes when its task runs next, so the first attempts may find it still bound.
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

fn crash(shared: &state::Ref, life: &Life) {
    if !life.ended.get() {
        shared.count(|counters| counters.crashes += 1);
        life.end();
    }
}

async fn accept(listener: TcpListener, shared: state::Ref, life: Life) {
    while let Ok((stream, _)) = listener.accept().await {
        shared.count(|counters| counters.connections += 1);
        let number = shared.counters.get().connections;
        let connection = connection(stream, number, shared.clone(), life.clone());
        spawn_within(life.clone(), connection);
    }
}

async fn connection(stream: TcpStream, number: u64, shared: state::Ref, life: Life) {
    // Without it a small answer waits for the acknowledgement of the previous segment.
    let _ = stream.set_nodelay(true);
    let tap = tap::Tap::new(stream, shared.clone());
    let service = service::service_fn(move |request| {
        let (shared, life) = (shared.clone(), life.clone());
        async move {
            match respond::respond(shared.clone(), number, request).await {
                Outcome::Answer(answer) => Ok(answer),
                Outcome::Crash => {
                    crash(&shared, &life);
                    Err(io::Error::other("crash"))
                }
            }
        }
    });
    let serving = http1::Builder::new().serve_connection(tap, service);
    // The caller sees errors of the connection itself.
    let _: Result<(), hyper::Error> = serving.await;
}
