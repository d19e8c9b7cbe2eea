//! Pool of the connections of one gateway to one target.
//!
//! Decides for each call whether an idle connection is reused, a new one is opened, or the call is
//! rejected because the connection limit is reached, and which connections are closed.

use std::{cell, collections, rc, time::Duration};

use super::lifecycle;
use crate::time;

/// Limits of a pool.
#[derive(Clone, Debug)]
pub struct PoolConfig {
    /// Maximum number of connections to the target, in any state. 11 gateways with 22 each stay
    /// below the 250 connections that a target accepts.
    pub max_connections: usize,
    /// Maximum number of idle connections. A value below `max_connections` would close connections
    /// and open new ones with each burst.
    pub max_idle: usize,
    /// Maximum idle time. It is below the keep-alive timeouts of common servers, so that the target
    /// rarely closes a connection while a call is being written to it.
    pub max_idle_time: Duration,
    /// Maximum age at which a connection is reused.
    pub max_age: Duration,
    /// Time after a connection last worked for which it may carry a call that must not be sent
    /// twice.
    pub liveness_window: Duration,
}

impl Default for PoolConfig {
    fn default() -> Self {
        PoolConfig {
            max_connections: 22,
            max_idle: 22,
            max_idle_time: Duration::from_secs(4),
            max_age: Duration::from_secs(300),
            liveness_window: Duration::from_millis(500),
        }
    }
}

/// Kind of call for which a connection is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// An idempotent call, which can be sent again if the connection turns out to be silent.
    Idempotent,
    /// A call that must not be sent twice. It needs a connection that worked within
    /// [`PoolConfig::liveness_window`].
    NotIdempotent,
    /// A request suspected of crashing targets. It runs on a connection of its own.
    Isolated,
}

/// Result of [`Pool::check_out`].
#[derive(Debug)]
pub enum CheckOut<C> {
    /// An idle connection of the pool is reused.
    Busy(lifecycle::Busy<C>),
    /// The caller opens a connection and passes it to [`lifecycle::Connecting::opened`].
    Open(lifecycle::Connecting),
    /// The connection limit is reached; no byte was sent.
    Full,
}

/// Result of [`Pool::check_in`].
#[derive(Debug)]
pub enum CheckIn<C> {
    /// The connection is kept for reuse.
    Pooled,
    /// The connection must be closed.
    Destroyed(lifecycle::Closed<C>),
}

/// Connections to one target. Their number is limited, so that a stalled target cannot exhaust the
/// connections of the gateway.
#[derive(Debug)]
pub struct Pool<C> {
    cfg: PoolConfig,
    connection_count: rc::Rc<cell::Cell<usize>>,
    // In the order of check-in; the most recently used connection is at the back.
    idle: collections::VecDeque<lifecycle::Idle<C>>,
    closed: Vec<lifecycle::Closed<C>>,
    draining: bool,
}

impl<C> Pool<C> {
    /// Creates an empty pool.
    pub fn new(cfg: PoolConfig) -> Self {
        Pool {
            cfg,
            connection_count: rc::Rc::default(),
            idle: collections::VecDeque::new(),
            closed: Vec::new(),
            draining: false,
        }
    }

    /// Takes a connection for the call with the id `call`. `usable` returns `false` if the target
    /// has closed the idle connection.
    pub fn check_out(
        &mut self,
        now: time::Instant,
        purpose: Purpose,
        call: u64,
        mut usable: impl FnMut(&mut C) -> bool,
    ) -> CheckOut<C> {
        self.expire(now);
        while let Some(mut idle) = self.idle.pop_back() {
            if !usable(idle.conn_mut()) {
                self.closed.push(idle.close());
                continue;
            }
            if self.is_acceptable(now, purpose, &idle) {
                return CheckOut::Busy(idle.check_out(now, call));
            }
            self.idle.push_back(idle);
            break;
        }
        self.open(purpose == Purpose::Isolated)
    }

    /// Reserves capacity for a new connection, closing the oldest idle one if the limit is reached.
    pub fn open(&mut self, isolated: bool) -> CheckOut<C> {
        if self.connection_count.get() >= self.cfg.max_connections {
            let Some(oldest) = self.idle.pop_front() else {
                return CheckOut::Full;
            };
            self.closed.push(oldest.close());
        }
        CheckOut::Open(lifecycle::Connecting {
            slot: lifecycle::Slot::acquire(&self.connection_count),
            isolated,
        })
    }

    /// Returns a connection to the pool after its call. It is kept only after a complete response.
    pub fn check_in(&mut self, now: time::Instant, busy: lifecycle::Busy<C>) -> CheckIn<C> {
        match busy.finish(now) {
            Ok(idle) => self.add_idle(now, idle),
            Err(closed) => CheckIn::Destroyed(closed),
        }
    }

    /// Adds an idle connection, such as one opened without a call.
    pub fn add_idle(&mut self, now: time::Instant, idle: lifecycle::Idle<C>) -> CheckIn<C> {
        let aged = now.since(idle.opened()) >= self.cfg.max_age;
        if self.draining || aged || self.idle.len() >= self.cfg.max_idle {
            return CheckIn::Destroyed(idle.close());
        }
        self.idle.push_back(idle);
        CheckIn::Pooled
    }

    /// Closes the idle connections that have not worked since `started`, the check-out time of a
    /// connection found silent. A middlebox that loses its state drops all of its connections at
    /// once.
    pub fn close_unconfirmed_since(&mut self, started: time::Instant) {
        self.close_where(|idle| idle.last_alive() <= started);
    }

    /// Closes all idle connections and keeps none from now on, because the target is deregistering.
    pub fn drain(&mut self) {
        self.draining = true;
        self.close_where(|_| true);
    }

    /// Closes idle connections that exceed the maximum age or idle time.
    pub fn expire(&mut self, now: time::Instant) {
        let cfg = self.cfg.clone();
        self.close_where(|idle| {
            now.since(idle.idle_since()) >= cfg.max_idle_time
                || now.since(idle.opened()) >= cfg.max_age
        });
    }

    /// Returns the time at which [`Pool::expire`] next closes a connection.
    pub fn next_deadline(&self) -> Option<time::Instant> {
        let due = |idle: &lifecycle::Idle<C>| {
            let by_idle_time = idle.idle_since() + self.cfg.max_idle_time;
            by_idle_time.min(idle.opened() + self.cfg.max_age)
        };
        self.idle.iter().map(due).min()
    }

    /// Returns the next connection that the I/O layer must close.
    pub fn poll_closed(&mut self) -> Option<lifecycle::Closed<C>> {
        self.closed.pop()
    }

    /// Returns the number of connections in any state.
    pub fn connections(&self) -> usize {
        self.connection_count.get()
    }

    /// Returns the number of idle connections.
    pub fn idle(&self) -> usize {
        self.idle.len()
    }

    fn is_acceptable(
        &self,
        now: time::Instant,
        purpose: Purpose,
        idle: &lifecycle::Idle<C>,
    ) -> bool {
        match purpose {
            Purpose::Idempotent => true,
            Purpose::NotIdempotent => now.since(idle.last_alive()) <= self.cfg.liveness_window,
            Purpose::Isolated => false,
        }
    }

    fn close_where(&mut self, mut close: impl FnMut(&lifecycle::Idle<C>) -> bool) {
        for idle in std::mem::take(&mut self.idle) {
            if close(&idle) {
                self.closed.push(idle.close());
            } else {
                self.idle.push_back(idle);
            }
        }
    }
}
