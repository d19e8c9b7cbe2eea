//! Slots of a target and the queue in front of them.

use std::{cell, collections, rc};

use futures_channel::oneshot;

#[derive(Debug)]
struct Inner {
    free: u32,
    in_flight: u32,
    queue_limit: usize,
    waiting: collections::VecDeque<oneshot::Sender<Slot>>,
}

/// The slots, shared by the connections of a target.
#[derive(Clone, Debug)]
pub(super) struct Slots {
    inner: rc::Rc<cell::RefCell<Inner>>,
}

/// A taken slot; dropping it hands it to the next waiting call.
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
            waiting: collections::VecDeque::new(),
        };
        Slots {
            inner: rc::Rc::new(cell::RefCell::new(inner)),
        }
    }

    /// Takes a slot, in order of arrival; returns `None` when the queue is full.
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
            inner.waiting.retain(|tx| !tx.is_canceled());
            if inner.waiting.len() >= inner.queue_limit {
                return None;
            }
            let (tx, rx) = oneshot::channel();
            inner.waiting.push_back(tx);
            rx
        };
        rx.await.ok()
    }

    pub fn in_flight(&self) -> u32 {
        self.inner.borrow().in_flight
    }

    pub fn waiting(&self) -> usize {
        let inner = self.inner.borrow();
        inner.waiting.iter().filter(|tx| !tx.is_canceled()).count()
    }

    fn next_waiting(&self) -> Option<oneshot::Sender<Slot>> {
        let mut inner = self.inner.borrow_mut();
        inner.in_flight -= 1;
        while let Some(tx) = inner.waiting.pop_front() {
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
        if let Some(tx) = self.slots.next_waiting() {
            // A receiver that is gone returns the slot, and its drop serves the next call.
            let _ = tx.send(Slot {
                slots: self.slots.clone(),
            });
        }
    }
}
