//! Slots of a target, and the queue of calls that wait for one.

use std::{cell, collections, rc};

use futures_channel::oneshot;

#[derive(Debug)]
struct Inner {
    free: u32,
    in_flight: u32,
    queue_limit: usize,
    queue: collections::VecDeque<oneshot::Sender<Slot>>,
}

/// Slots shared by all connections of a target.
#[derive(Clone, Debug)]
pub(super) struct Slots {
    inner: rc::Rc<cell::RefCell<Inner>>,
}

/// A slot in use. Dropping it passes the slot to the next queued call.
#[derive(Debug)]
pub(super) struct Slot {
    slots: Slots,
}

impl Slots {
    pub fn new(count: u32, queue_limit: usize) -> Slots {
        let inner = Inner {
            free: count,
            in_flight: 0,
            queue_limit,
            queue: collections::VecDeque::new(),
        };
        Slots {
            inner: rc::Rc::new(cell::RefCell::new(inner)),
        }
    }

    /// Takes a slot, in order of arrival. Returns `None` if the queue is full.
    pub async fn take(&self) -> Option<Slot> {
        let rx = {
            let mut inner = self.inner.borrow_mut();
            if inner.free > 0 {
                inner.free -= 1;
                inner.in_flight += 1;
                return Some(Slot {
                    slots: self.clone(),
                });
            }
            inner.queue.retain(|tx| !tx.is_canceled());
            if inner.queue.len() >= inner.queue_limit {
                return None;
            }
            let (tx, rx) = oneshot::channel();
            inner.queue.push_back(tx);
            rx
        };
        rx.await.ok()
    }

    pub fn in_flight(&self) -> u32 {
        self.inner.borrow().in_flight
    }

    pub fn queued(&self) -> usize {
        let inner = self.inner.borrow();
        inner.queue.iter().filter(|tx| !tx.is_canceled()).count()
    }

    fn next_queued(&self) -> Option<oneshot::Sender<Slot>> {
        let mut inner = self.inner.borrow_mut();
        inner.in_flight -= 1;
        while let Some(tx) = inner.queue.pop_front() {
            if !tx.is_canceled() {
                inner.in_flight += 1;
                return Some(tx);
            }
        }
        inner.free += 1;
        None
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(tx) = self.slots.next_queued() {
            // If the receiver is gone, the returned slot is dropped and passes to the next call.
            let _ = tx.send(Slot {
                slots: self.slots.clone(),
            });
        }
    }
}
