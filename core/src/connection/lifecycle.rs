//! States of one connection as types: connecting, idle, busy and closed.
//!
//! Only the transitions defined here are possible, so a connection cannot be reused after an
//! incomplete response.

use std::{cell, rc};

use super::exchange;
use crate::time;

/// Slot in the connection limit of a target. Dropping it frees the slot, so that a cancelled call
/// cannot leak one.
#[derive(Debug)]
pub struct Slot {
    connection_count: rc::Rc<cell::Cell<usize>>,
}

impl Slot {
    pub(super) fn acquire(connection_count: &rc::Rc<cell::Cell<usize>>) -> Self {
        connection_count.set(connection_count.get() + 1);
        Slot {
            connection_count: connection_count.clone(),
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.connection_count
            .set(self.connection_count.get().saturating_sub(1));
    }
}

/// A connection that is being opened.
#[derive(Debug)]
pub struct Connecting {
    pub(super) slot: Slot,
    pub(super) isolated: bool,
}

impl Connecting {
    /// Records that the connection is open and assigns it to the call with the id `call`.
    pub fn opened<C>(self, now: time::Instant, conn: C, call: u64) -> Busy<C> {
        let idle = self.opened_idle(now, conn);
        idle.check_out(now, call)
    }

    /// Records that the connection is open and not yet needed by a call.
    pub fn opened_idle<C>(self, now: time::Instant, conn: C) -> Idle<C> {
        Idle {
            _slot: self.slot,
            conn,
            isolated: self.isolated,
            opened: now,
            last_alive: now,
            idle_since: now,
        }
    }

    /// Records that the connection could not be opened. No byte of the call was sent.
    pub fn failed(self) {}
}

/// An open connection without a call.
#[derive(Debug)]
pub struct Idle<C> {
    // Held only to be dropped, which frees the slot.
    _slot: Slot,
    conn: C,
    isolated: bool,
    opened: time::Instant,
    last_alive: time::Instant,
    idle_since: time::Instant,
}

impl<C> Idle<C> {
    /// Assigns the connection to the call with the id `call`.
    pub fn check_out(self, now: time::Instant, call: u64) -> Busy<C> {
        Busy {
            idle: self,
            exchange: exchange::Exchange::new(call),
            started: now,
            last_progress: now,
        }
    }

    /// Closes the connection.
    pub fn close(self) -> Closed<C> {
        Closed { conn: self.conn }
    }

    /// Returns the time at which the connection was opened.
    pub fn opened(&self) -> time::Instant {
        self.opened
    }

    /// Returns the time at which the connection last worked: when it was opened, or at the end of
    /// the last complete response.
    pub fn last_alive(&self) -> time::Instant {
        self.last_alive
    }

    /// Returns the time at which the connection became idle.
    pub fn idle_since(&self) -> time::Instant {
        self.idle_since
    }

    /// Returns the connection of the I/O layer.
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
    last_progress: time::Instant,
}

impl<C> Busy<C> {
    /// Returns the connection of the I/O layer.
    pub fn conn_mut(&mut self) -> &mut C {
        &mut self.idle.conn
    }

    /// Returns the state of the request and its response.
    pub fn exchange(&self) -> &exchange::Exchange {
        &self.exchange
    }

    /// Returns the state of the request and its response, for reporting progress.
    pub fn exchange_mut(&mut self) -> &mut exchange::Exchange {
        &mut self.exchange
    }

    /// Records that a byte was received from the target or that the socket accepted part of the
    /// request.
    pub fn record_progress(&mut self, now: time::Instant) {
        self.last_progress = now;
    }

    /// Returns the time of the last recorded progress, or of the check-out if there is none.
    pub fn last_progress(&self) -> time::Instant {
        self.last_progress
    }

    /// Returns the time of the check-out.
    pub fn started(&self) -> time::Instant {
        self.started
    }

    /// Ends the call and makes the connection idle.
    ///
    /// # Errors
    ///
    /// Returns the closed connection if the response is not complete or does not allow reuse.
    pub fn finish(mut self, now: time::Instant) -> Result<Idle<C>, Closed<C>> {
        if self.idle.isolated || !self.exchange.is_reusable() {
            return Err(self.close());
        }
        self.idle.last_alive = now;
        self.idle.idle_since = now;
        Ok(self.idle)
    }

    /// Closes the connection, which cancels the call.
    pub fn close(self) -> Closed<C> {
        self.idle.close()
    }
}

/// A connection that must not be used again. It no longer counts towards the connection limit.
#[derive(Debug)]
pub struct Closed<C> {
    /// Connection of the I/O layer, to be shut down.
    pub conn: C,
}
