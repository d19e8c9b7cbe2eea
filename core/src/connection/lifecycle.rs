//! Typestate of one connection.

use std::{cell, rc};

use super::exchange;
use crate::time;

/// A place in the bound of a target's connections. Dropping it frees the place, so that a cancelled
/// call cannot leak one.
#[derive(Debug)]
pub struct Slot {
    used: rc::Rc<cell::Cell<usize>>,
}

impl Slot {
    pub(super) fn take(used: &rc::Rc<cell::Cell<usize>>) -> Self {
        used.set(used.get() + 1);
        Slot { used: used.clone() }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.used.set(self.used.get().saturating_sub(1));
    }
}

/// A connection that is being opened.
#[derive(Debug)]
pub struct Connecting {
    pub(super) slot: Slot,
    pub(super) isolated: bool,
}

impl Connecting {
    /// The connection is open and carries the call with the id `call`.
    pub fn opened<C>(self, now: time::Instant, conn: C, call: u64) -> Busy<C> {
        let idle = self.spare(now, conn);
        idle.check_out(now, call)
    }

    /// The connection is open and no call needs it yet.
    pub fn spare<C>(self, now: time::Instant, conn: C) -> Idle<C> {
        Idle {
            _slot: self.slot,
            conn,
            isolated: self.isolated,
            opened: now,
            proved: now,
            since: now,
        }
    }

    /// The connection could not be opened; no byte of the call was sent.
    pub fn failed(self) {}
}

/// An open connection without a call.
#[derive(Debug)]
pub struct Idle<C> {
    // Held for its drop, which frees the place.
    _slot: Slot,
    conn: C,
    isolated: bool,
    opened: time::Instant,
    proved: time::Instant,
    since: time::Instant,
}

impl<C> Idle<C> {
    /// Gives the connection to the call with the id `call`.
    pub fn check_out(self, now: time::Instant, call: u64) -> Busy<C> {
        Busy {
            idle: self,
            exchange: exchange::Exchange::new(call),
            started: now,
            last_byte: now,
        }
    }

    /// Closes the connection.
    pub fn close(self) -> Closed<C> {
        Closed { conn: self.conn }
    }

    /// Time of the connection's opening.
    pub fn opened(&self) -> time::Instant {
        self.opened
    }

    /// Time of the last proof of life: the opening or the end of the last complete answer.
    pub fn proved(&self) -> time::Instant {
        self.proved
    }

    /// Time at which the connection became idle.
    pub fn since(&self) -> time::Instant {
        self.since
    }

    /// Returns the I/O layer's connection.
    pub fn conn_mut(&mut self) -> &mut C {
        &mut self.conn
    }
}

/// A connection that carries a call.
#[derive(Debug)]
pub struct Busy<C> {
    idle: Idle<C>,
    exchange: exchange::Exchange,
    started: time::Instant,
    last_byte: time::Instant,
}

impl<C> Busy<C> {
    /// Returns the I/O layer's connection.
    pub fn conn_mut(&mut self) -> &mut C {
        &mut self.idle.conn
    }

    /// Returns the state of the request and its answer.
    pub fn exchange(&self) -> &exchange::Exchange {
        &self.exchange
    }

    /// Returns the state of the request and its answer, to report progress.
    pub fn exchange_mut(&mut self) -> &mut exchange::Exchange {
        &mut self.exchange
    }

    /// A byte was received from the target, or a part of the request was accepted by the socket.
    pub fn byte(&mut self, now: time::Instant) {
        self.last_byte = now;
    }

    /// Time of the last byte, or of the check-out.
    pub fn last_byte(&self) -> time::Instant {
        self.last_byte
    }

    /// Time of the check-out.
    pub fn started(&self) -> time::Instant {
        self.started
    }

    /// Ends the call. The connection becomes idle only after a complete answer that allows reuse.
    pub fn finish(mut self, now: time::Instant) -> Result<Idle<C>, Closed<C>> {
        if self.idle.isolated || !self.exchange.is_reusable() {
            return Err(self.close());
        }
        self.idle.proved = now;
        self.idle.since = now;
        Ok(self.idle)
    }

    /// Closes the connection without reuse, which cancels the call.
    pub fn close(self) -> Closed<C> {
        self.idle.close()
    }
}

/// A connection that must not be used again. Its place in the bound is already free.
#[derive(Debug)]
pub struct Closed<C> {
    /// The I/O layer's connection, to be shut down.
    pub conn: C,
}
