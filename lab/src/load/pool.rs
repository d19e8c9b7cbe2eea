//! Connection pool of the open loop, with a limit on open connections.

use std::{cell, collections, net, rc};

use futures_channel::oneshot;

use super::client::{Connection, Error};

struct Inner {
    addresses: Vec<net::SocketAddr>,
    next_address: usize,
    idle: Vec<Connection>,
    open: usize,
    limit: usize,
    waiters: collections::VecDeque<oneshot::Sender<()>>,
}

/// A pool of connections to a set of addresses, which are used in rotation.
#[derive(Clone)]
pub(super) struct Pool {
    inner: rc::Rc<cell::RefCell<Inner>>,
}

impl Pool {
    pub fn new(addresses: &[net::SocketAddr], limit: usize) -> Pool {
        let inner = Inner {
            addresses: addresses.to_vec(),
            next_address: 0,
            idle: Vec::new(),
            open: 0,
            limit: limit.max(1),
            waiters: collections::VecDeque::new(),
        };
        Pool {
            inner: rc::Rc::new(cell::RefCell::new(inner)),
        }
    }

    /// Returns a connection, and waits for one to be released if the limit is reached.
    pub async fn take(&self) -> Result<PooledConnection, Error> {
        loop {
            match self.try_take() {
                TakeResult::Idle(connection) => {
                    return Ok(PooledConnection {
                        connection: Some(connection),
                        pool: self.clone(),
                    });
                }
                TakeResult::OpenNew(address) => {
                    // The connection counts towards the limit while it opens.
                    let mut pooled = PooledConnection {
                        connection: None,
                        pool: self.clone(),
                    };
                    pooled.connection = Some(Connection::open(address).await?);
                    return Ok(pooled);
                }
                TakeResult::Wait(rx) => {
                    let _ = rx.await;
                }
            }
        }
    }

    fn try_take(&self) -> TakeResult {
        let mut inner = self.inner.borrow_mut();
        while let Some(connection) = inner.idle.pop() {
            if connection.is_usable() {
                inner.open += 1;
                return TakeResult::Idle(connection);
            }
        }
        if inner.open < inner.limit {
            inner.open += 1;
            let address = inner.addresses[inner.next_address % inner.addresses.len()];
            inner.next_address += 1;
            return TakeResult::OpenNew(address);
        }
        let (tx, rx) = oneshot::channel();
        inner.waiters.push_back(tx);
        TakeResult::Wait(rx)
    }
}

enum TakeResult {
    Idle(Connection),
    OpenNew(net::SocketAddr),
    Wait(oneshot::Receiver<()>),
}

/// A connection in use. It is closed when dropped, unless [`PooledConnection::release`] returns it
/// to the pool.
pub(super) struct PooledConnection {
    pub connection: Option<Connection>,
    pool: Pool,
}

impl PooledConnection {
    /// Returns the connection to the pool after a complete response.
    pub fn release(mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.inner.borrow_mut().idle.push(connection);
        }
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        let mut inner = self.pool.inner.borrow_mut();
        inner.open -= 1;
        while let Some(tx) = inner.waiters.pop_front() {
            if tx.send(()).is_ok() {
                break;
            }
        }
    }
}
