//! Memory of one connection of a caller: what it has in buffers, and whether it waits for its caller.
//!
//! A connection whose caller keeps it waiting may be closed when the memory is needed by others.

use std::{cell, io, task};

use wagtailshunt_core::memory::Waiting;

use crate::http::Holder;

/// Size of a read-ahead buffer that the fixed charge of a connection includes.
const INCLUDED_BYTES: u64 = 4 * 1024;

/// Steps in which the buffer of a connection is charged.
const STEP_BYTES: u64 = 4 * 1024;

/// Space that the HTTP library offers for a read at first, which the fixed charge includes. It offers
/// more after a read that filled it, and keeps the larger buffer while the connection idles.
const INCLUDED_READ_SPACE: usize = 8 * 1024;

/// Largest number of bytes that wait in the buffer of a connection for its caller to take them.
const MAX_UNSENT_BYTES: u64 = 64 * 1024;

/// Memory of one connection.
pub struct Occupancy {
    holder: Holder,
    /// Requests in progress; a streamed response is part of one.
    requests: cell::Cell<usize>,
    /// Whether a part of the next message was read.
    has_partial_message: cell::Cell<bool>,
    /// Whether the caller does not take what is written.
    is_blocked: cell::Cell<bool>,
    waiting: cell::Cell<Waiting>,
    /// Bytes charged for reading ahead.
    ahead: cell::Cell<u64>,
    /// Bytes charged for a larger read buffer of the HTTP library.
    read_buffer: cell::Cell<usize>,
    /// Bytes written that may still be in the buffer.
    unsent: cell::Cell<u64>,
    /// Bytes charged for them.
    unsent_charged: cell::Cell<u64>,
}

impl Occupancy {
    /// Creates the record of an idle connection.
    pub fn new(holder: Holder) -> Occupancy {
        holder.set_waiting(Waiting::Idle);
        Occupancy {
            holder,
            requests: cell::Cell::new(0),
            has_partial_message: cell::Cell::new(false),
            is_blocked: cell::Cell::new(false),
            waiting: cell::Cell::new(Waiting::Idle),
            ahead: cell::Cell::new(0),
            read_buffer: cell::Cell::new(0),
            unsent: cell::Cell::new(0),
            unsent_charged: cell::Cell::new(0),
        }
    }

    /// Waits until the connection must be closed.
    pub async fn evicted(&self) {
        self.holder.evicted().await;
    }

    /// Records the start of a request.
    pub fn request_started(&self) {
        self.requests.set(self.requests.get() + 1);
        self.update();
    }

    /// Records the end of a request.
    pub fn request_ended(&self) {
        self.requests.set(self.requests.get() - 1);
        self.update();
    }

    /// Records whether a part of the next message was read.
    pub fn set_partial_message(&self, has_part: bool) {
        self.has_partial_message.set(has_part);
        self.update();
    }

    /// Records the result of a write.
    pub fn record_write(&self, result: &task::Poll<io::Result<usize>>) {
        match result {
            task::Poll::Pending => self.set_blocked(),
            task::Poll::Ready(Ok(bytes)) => {
                self.unsent.set(self.unsent.get() + *bytes as u64);
                if self.is_blocked.get() {
                    self.holder.moved(*bytes);
                }
            }
            task::Poll::Ready(Err(_)) => {}
        }
    }

    /// Records the result of a flush.
    pub fn record_flush(&self, result: &task::Poll<io::Result<()>>) {
        match result {
            task::Poll::Pending => self.set_blocked(),
            task::Poll::Ready(_) => {
                self.unsent.set(0);
                if self.is_blocked.replace(false) {
                    self.holder.release(self.unsent_charged.take());
                    self.update();
                }
            }
        }
    }

    fn set_blocked(&self) {
        let needed = self.unsent.get().min(MAX_UNSENT_BYTES);
        let charged = self.unsent_charged.get();
        if needed > charged + STEP_BYTES {
            self.holder.reserve_beyond(needed - charged);
            self.unsent_charged.set(needed);
        }
        if !self.is_blocked.replace(true) {
            self.update();
        }
    }

    /// Reserves memory to hold `bytes` that are read ahead. Without room, the task is notified when
    /// there may be some.
    pub fn reserve_ahead(&self, bytes: usize, cx: &task::Context<'_>) -> bool {
        let needed = (bytes as u64).saturating_sub(INCLUDED_BYTES);
        let charged = self.ahead.get();
        if needed <= charged {
            return true;
        }
        let more = (needed - charged).next_multiple_of(STEP_BYTES);
        if !self.holder.try_reserve(more) {
            self.holder.notify_when_freed(cx);
            return false;
        }
        self.ahead.set(charged + more);
        true
    }

    /// Frees the memory of what was read ahead.
    pub fn release_ahead(&self) {
        let charged = self.ahead.take();
        if charged > 0 {
            self.holder.release(charged);
        }
    }

    /// Records the space that the HTTP library offers for a read. It has the memory already.
    pub fn record_read_space(&self, offered: usize) {
        let charged = self.read_buffer.get();
        if offered > INCLUDED_READ_SPACE && offered > charged {
            self.holder.reserve_beyond((offered - charged) as u64);
            self.read_buffer.set(offered);
        }
    }

    /// Returns whether there is room to read pipelined requests ahead.
    pub fn may_read_ahead(&self) -> bool {
        self.holder.may_read_ahead()
    }

    fn update(&self) {
        let waiting = match (
            self.is_blocked.get(),
            self.requests.get(),
            self.has_partial_message.get(),
        ) {
            (true, _, _) => Waiting::Partial,
            (false, 1.., _) => Waiting::No,
            (false, 0, true) => Waiting::Partial,
            (false, 0, false) => Waiting::Idle,
        };
        if self.waiting.replace(waiting) != waiting {
            self.holder.set_waiting(waiting);
        }
    }
}
