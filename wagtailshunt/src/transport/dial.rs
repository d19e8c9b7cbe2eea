//! Outgoing connections, reopened with a backoff when they end.

use std::{cell, io, net, rc, time};

use compio::net::TcpStream;
use futures_util::{FutureExt, StreamExt, pin_mut, select_biased, stream};
use wagtailshunt_core::event;
use wagtailshunt_wire::generated::envelope;

use crate::transport::{Error, Handle, Identity, Peer, connection};

/// Time limit for establishing a connection; longer than a round trip between regions.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Interval between connection requests of one attempt. A VM that is still starting does not answer
/// the first SYN packet, and TCP repeats it only after a second.
const CONNECT_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Time limit for receiving the first frame of the peer.
const HELLO_TIMEOUT: time::Duration = time::Duration::from_millis(1000);

/// Wait after the first failed attempt; doubled after each further one up to [`MAX_BACKOFF`].
const MIN_BACKOFF: time::Duration = time::Duration::from_millis(50);

/// Longest wait between two attempts. A connection that lasted longer than this resets the backoff.
const MAX_BACKOFF: time::Duration = time::Duration::from_millis(500);

/// Controls a task that keeps one connection to a peer open.
#[derive(Clone, Debug)]
pub struct Dialer {
    handle: rc::Rc<cell::RefCell<Option<Handle>>>,
    stopped: rc::Rc<cell::Cell<bool>>,
}

impl Dialer {
    /// Returns the handle of the connection, if it is open.
    pub fn handle(&self) -> Option<Handle> {
        self.handle
            .borrow()
            .as_ref()
            .filter(|handle| handle.is_open())
            .cloned()
    }

    /// Closes the connection and stops reopening it.
    pub fn stop(&self) {
        self.stopped.set(true);
        if let Some(handle) = self.handle.borrow_mut().take() {
            handle.close();
        }
    }
}

/// Starts a task that connects to `addr` and reconnects until the dialer is stopped.
///
/// `on_open` is called for each new connection, before any of its frames.
pub fn dial(
    identity: rc::Rc<Identity>,
    addr: net::SocketAddr,
    on_open: impl Fn(&Peer, Handle) + 'static,
    on_frame: impl Fn(&Peer, envelope::Envelope) + 'static,
) -> Dialer {
    let dialer = Dialer {
        handle: rc::Rc::default(),
        stopped: rc::Rc::default(),
    };
    let task = dialer.clone();
    compio::runtime::spawn(async move {
        let mut backoff = MIN_BACKOFF;
        while !task.stopped.get() {
            let started = time::Instant::now();
            let err = run_connection(&identity, addr, &task, &on_open, &on_frame).await;
            task.handle.borrow_mut().take();
            if task.stopped.get() {
                break;
            }
            if started.elapsed() > MAX_BACKOFF {
                backoff = MIN_BACKOFF;
            }
            if matches!(err, Error::Refused(_)) {
                identity.events.emit(
                    event::Id::PeerRefused,
                    &[("address", &addr), ("reason", &err)],
                );
            }
            compio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    })
    .detach();
    dialer
}

async fn run_connection(
    identity: &Identity,
    addr: net::SocketAddr,
    dialer: &Dialer,
    on_open: &dyn Fn(&Peer, Handle),
    on_frame: &dyn Fn(&Peer, envelope::Envelope),
) -> Error {
    let stream = match connect(identity, addr).await {
        Ok(stream) => stream,
        Err(err) => return err,
    };
    let mut reader = connection::Reader::new(&stream);
    let first = match compio::time::timeout(HELLO_TIMEOUT, reader.next()).await {
        Ok(Ok(first)) => first,
        Ok(Err(err)) => return err,
        Err(_) => return Error::TimedOut,
    };
    let peer = match identity.admit(&first) {
        Ok(peer) => peer,
        Err(err) => return err,
    };
    let (handle, queue) = connection::send_queue();
    *dialer.handle.borrow_mut() = Some(handle.clone());
    identity.events.emit(
        event::Id::PeerConnected,
        &[("peer", &peer.vm), ("address", &addr)],
    );
    on_open(&peer, handle);
    let err = connection::run(identity, &stream, &peer, reader, queue, on_frame).await;
    identity
        .events
        .emit(event::Id::PeerLost, &[("peer", &peer.vm), ("reason", &err)]);
    err
}

async fn connect(identity: &Identity, addr: net::SocketAddr) -> Result<TcpStream, Error> {
    let connect = compio::time::timeout(CONNECT_TIMEOUT, connect_with_retries(addr));
    let stream = connect.await.map_err(|_| Error::TimedOut)??;
    // Nagle's algorithm would delay small frames until the previous segment is acknowledged.
    stream.set_nodelay(true)?;
    connection::write_envelope(&stream, &identity.hello()).await?;
    Ok(stream)
}

/// Starts connection requests at intervals until one of them succeeds or fails.
async fn connect_with_retries(addr: net::SocketAddr) -> io::Result<TcpStream> {
    let mut requests = stream::FuturesUnordered::new();
    loop {
        requests.push(TcpStream::connect(addr));
        let retry = compio::time::sleep(CONNECT_RETRY_INTERVAL).fuse();
        pin_mut!(retry);
        select_biased! {
            result = requests.select_next_some() => return result,
            () = retry => {}
        }
    }
}
