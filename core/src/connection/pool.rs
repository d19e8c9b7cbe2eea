//! Connections to one target.

use std::{cell, collections, rc, time::Duration};

use super::lifecycle;
use crate::time;

/// Bounds of a pool.
#[derive(Clone, Debug)]
pub struct PoolConfig {
    /// Most connections to the target, in any state. 11 gateways with 22 each stay below the 250
    /// connections that a target accepts.
    pub max_connections: usize,
    /// Most idle connections. With fewer than `max_connections`, each burst would close connections
    /// and open new ones.
    pub max_idle: usize,
    /// Longest idle time. It stays below the keep-alive timeouts of common servers, so that the
    /// target rarely closes a connection while a call is being written to it.
    pub max_idle_time: Duration,
    /// Longest age of a connection that is reused.
    pub max_age: Duration,
    /// A connection is proved alive by an answer within this time.
    pub proof_of_life: Duration,
}

impl Default for PoolConfig {
    fn default() -> Self {
        PoolConfig {
            max_connections: 22,
            max_idle: 22,
            max_idle_time: Duration::from_secs(4),
            max_age: Duration::from_secs(300),
            proof_of_life: Duration::from_millis(500),
        }
    }
}

/// What a connection is wanted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// An idempotent call, which can move when the connection turns out to be silent.
    Idempotent,
    /// A call that must not be sent twice; it needs a connection that is proved alive.
    NotIdempotent,
    /// A request suspected of crashing targets; it runs on a connection of its own.
    Isolated,
}

/// Result of [`Pool::check_out`].
#[derive(Debug)]
pub enum CheckOut<C> {
    /// A pooled connection.
    Busy(lifecycle::Busy<C>),
    /// The caller opens a connection and passes it to [`lifecycle::Connecting::opened`].
    Open(lifecycle::Connecting),
    /// The bound is reached; no byte was sent.
    Full,
}

/// Result of [`Pool::check_in`].
#[derive(Debug)]
pub enum CheckIn<C> {
    /// The connection was kept for reuse.
    Pooled,
    /// The connection must be closed.
    Destroyed(lifecycle::Closed<C>),
}

/// Connections to one target, bounded in number, so that a stalled target holds only its own.
#[derive(Debug)]
pub struct Pool<C> {
    cfg: PoolConfig,
    used: rc::Rc<cell::Cell<usize>>,
    // Ordered by the time of check-in; the most recently proved connection is at the back.
    idle: collections::VecDeque<lifecycle::Idle<C>>,
    closed: Vec<lifecycle::Closed<C>>,
    draining: bool,
}

impl<C> Pool<C> {
    /// Creates an empty pool.
    pub fn new(cfg: PoolConfig) -> Self {
        Pool {
            cfg,
            used: rc::Rc::default(),
            idle: collections::VecDeque::new(),
            closed: Vec::new(),
            draining: false,
        }
    }

    /// Takes a connection for the call with the id `call`. `usable` asks the I/O layer whether the
    /// target has closed an idle connection in the meantime.
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

    /// Reserves a place for a new connection, closing the oldest idle one when the bound is
    /// reached.
    pub fn open(&mut self, isolated: bool) -> CheckOut<C> {
        if self.used.get() >= self.cfg.max_connections {
            let Some(oldest) = self.idle.pop_front() else {
                return CheckOut::Full;
            };
            self.closed.push(oldest.close());
        }
        CheckOut::Open(lifecycle::Connecting {
            slot: lifecycle::Slot::take(&self.used),
            isolated,
        })
    }

    /// Returns a connection after its call. It is pooled only after a complete answer.
    pub fn check_in(&mut self, now: time::Instant, busy: lifecycle::Busy<C>) -> CheckIn<C> {
        match busy.finish(now) {
            Ok(idle) => self.keep(now, idle),
            Err(closed) => CheckIn::Destroyed(closed),
        }
    }

    /// Adds a connection that was opened without a call.
    pub fn keep(&mut self, now: time::Instant, idle: lifecycle::Idle<C>) -> CheckIn<C> {
        let aged = now.since(idle.opened()) >= self.cfg.max_age;
        if self.draining || aged || self.idle.len() >= self.cfg.max_idle {
            return CheckIn::Destroyed(idle.close());
        }
        self.idle.push_back(idle);
        CheckIn::Pooled
    }

    /// A connection that carried a call since `started` was found silent. Idle connections without
    /// a later proof of life are closed, because a middlebox loses the state of all of them at once.
    pub fn silent(&mut self, started: time::Instant) {
        self.close_where(|idle| idle.proved() <= started);
    }

    /// Closes all idle connections and keeps none from now on; the target is leaving.
    pub fn drain(&mut self) {
        self.draining = true;
        self.close_where(|_| true);
    }

    /// Closes idle connections that are too old or were idle for too long.
    pub fn expire(&mut self, now: time::Instant) {
        let cfg = self.cfg.clone();
        self.close_where(|idle| {
            now.since(idle.since()) >= cfg.max_idle_time || now.since(idle.opened()) >= cfg.max_age
        });
    }

    /// Time at which [`Pool::expire`] has something to close.
    pub fn next_deadline(&self) -> Option<time::Instant> {
        let due = |idle: &lifecycle::Idle<C>| {
            let by_idle_time = idle.since() + self.cfg.max_idle_time;
            by_idle_time.min(idle.opened() + self.cfg.max_age)
        };
        self.idle.iter().map(due).min()
    }

    /// Takes the next connection that the I/O layer must close.
    pub fn poll_closed(&mut self) -> Option<lifecycle::Closed<C>> {
        self.closed.pop()
    }

    /// Number of connections in any state.
    pub fn connections(&self) -> usize {
        self.used.get()
    }

    /// Number of idle connections.
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
            Purpose::NotIdempotent => now.since(idle.proved()) <= self.cfg.proof_of_life,
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
