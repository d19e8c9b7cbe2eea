//! Reused connections of the open loop.

use std::{cell, collections, net, rc};

use futures_channel::oneshot;

use super::client::{Connection, Error};

struct Inner {
    addresses: Vec<net::SocketAddr>,
    next_address: usize,
    idle: Vec<Connection>,
    open: usize,
    limit: usize,
    waiting: collections::VecDeque<oneshot::Sender<()>>,
}

/// Connections to a set of addresses, used in turn.
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
            waiting: collections::VecDeque::new(),
        };
        Pool {
            inner: rc::Rc::new(cell::RefCell::new(inner)),
        }
    }

    /// Returns a connection, after a wait if the limit is reached.
    pub async fn take(&self) -> Result<Lease, Error> {
        loop {
            match self.try_take() {
                Taken::Idle(connection) => {
                    return Ok(Lease {
                        connection: Some(connection),
                        pool: self.clone(),
                    });
                }
                Taken::Permit(address) => {
                    // Holds the permit while the connection opens.
                    let mut lease = Lease {
                        connection: None,
                        pool: self.clone(),
                    };
                    lease.connection = Some(Connection::open(address).await?);
                    return Ok(lease);
                }
                Taken::Wait(rx) => {
                    let _ = rx.await;
                }
            }
        }
    }

    fn try_take(&self) -> Taken {
        let mut inner = self.inner.borrow_mut();
        while let Some(connection) = inner.idle.pop() {
            if connection.is_usable() {
                inner.open += 1;
                return Taken::Idle(connection);
            }
        }
        if inner.open < inner.limit {
            inner.open += 1;
            let address = inner.addresses[inner.next_address % inner.addresses.len()];
            inner.next_address += 1;
            return Taken::Permit(address);
        }
        let (tx, rx) = oneshot::channel();
        inner.waiting.push_back(tx);
        Taken::Wait(rx)
    }
}

enum Taken {
    Idle(Connection),
    Permit(net::SocketAddr),
    Wait(oneshot::Receiver<()>),
}

/// A connection in use; it returns to the pool only after [`Lease::give_back`].
pub(super) struct Lease {
    pub connection: Option<Connection>,
    pool: Pool,
}

impl Lease {
    /// Returns the connection after a complete answer.
    pub fn give_back(mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.inner.borrow_mut().idle.push(connection);
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let mut inner = self.pool.inner.borrow_mut();
        inner.open -= 1;
        while let Some(tx) = inner.waiting.pop_front() {
            if tx.send(()).is_ok() {
                break;
            }
        }
    }
}
