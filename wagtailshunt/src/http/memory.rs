//! The memory budget of a process as its connections and messages use it: reservations, waiting for
//! room and eviction. The decisions are in `core::memory`.

use std::{
    collections, future, mem, ops,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task, time,
};

use bytes::Bytes;
use wagtailshunt_core::memory::{Budget, Decision, HolderId, Kind, Waiting};

use crate::clock;

/// Interval at which a message that waits for room asks again, since others stall meanwhile.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Tasks that are notified when memory is freed. Many may wait for room, and most would find none.
const NOTIFIED_TASKS: usize = 16;

/// Memory of an open connection of a caller with its buffers and tasks: 600 idle ones took 18 KiB
/// each, and one that has carried a request keeps a somewhat larger buffer.
const CONNECTION_BYTES: u64 = 24 * 1024;

/// The memory budget of a process. Clones share it.
#[derive(Clone)]
pub struct Memory {
    shared: Arc<Mutex<Shared>>,
    clock: clock::Clock,
}

struct Shared {
    budget: Budget,
    /// Tasks that wait for room.
    awaiting_room: collections::BTreeMap<HolderId, task::Waker>,
    /// Tasks that end when their holder is evicted.
    awaiting_eviction: collections::BTreeMap<HolderId, task::Waker>,
    /// The last of the tasks that were notified of room.
    notified: HolderId,
    counters: Counters,
}

/// What the budget has refused since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages that got no room in time.
    pub refused: u64,
    /// Messages and connections that lost their memory to others.
    pub evicted: u64,
    /// Connections closed for new ones at the limit of connections.
    pub replaced: u64,
}

impl Memory {
    /// Creates an empty budget of `capacity` bytes.
    pub fn new(capacity: u64, clock: clock::Clock) -> Memory {
        let shared = Shared {
            budget: Budget::new(capacity),
            awaiting_room: collections::BTreeMap::new(),
            awaiting_eviction: collections::BTreeMap::new(),
            notified: HolderId::default(),
            counters: Counters::default(),
        };
        Memory {
            shared: Arc::new(Mutex::new(shared)),
            clock,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the size of the budget and the bytes that are held.
    pub fn capacity_and_used(&self) -> (u64, u64) {
        let shared = self.lock();
        (shared.budget.capacity(), shared.budget.used())
    }

    /// Returns what the budget has refused so far.
    pub fn counters(&self) -> Counters {
        self.lock().counters
    }

    /// Returns whether there is room to read and start pipelined requests ahead.
    pub fn may_read_ahead(&self) -> bool {
        self.lock().budget.may_read_ahead()
    }

    /// Adds a message without bytes.
    pub fn open_message(&self) -> Holder {
        self.open(Kind::Message)
    }

    /// Adds a connection; `None` if there is no room for it yet.
    pub fn open_connection(&self) -> Option<Holder> {
        let holder = self.open(Kind::Connection);
        holder.try_reserve(CONNECTION_BYTES).then_some(holder)
    }

    fn open(&self, kind: Kind) -> Holder {
        let id = self.lock().budget.open(self.clock.now(), kind);
        Holder {
            inner: Arc::new(HolderInner {
                memory: self.clone(),
                id,
            }),
        }
    }

    /// Closes the connection that has waited longest for its client, so that another one can be
    /// accepted.
    pub fn replace_connection(&self) {
        let now = self.clock.now();
        let mut shared = self.lock();
        let Some(id) = shared.budget.evict_connection(now) else {
            return;
        };
        shared.counters.replaced += 1;
        let waker = shared.awaiting_eviction.remove(&id);
        drop(shared);
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    /// Wakes all tasks that wait for room.
    pub fn notify_all(&self) {
        Memory::notify_room(self.lock(), usize::MAX);
    }

    /// Wakes some of the tasks that wait for room, by turns.
    fn notify_room(mut shared: MutexGuard<'_, Shared>, count: usize) {
        if shared.awaiting_room.is_empty() {
            return;
        }
        let from = shared.notified;
        let waiting = &shared.awaiting_room;
        let later = waiting.range((ops::Bound::Excluded(from), ops::Bound::Unbounded));
        let in_turn = later.chain(waiting.range(..=from)).map(|(id, _)| *id);
        let ids: Vec<HolderId> = in_turn.take(count).collect();
        let wakers = ids.iter().filter_map(|id| shared.awaiting_room.remove(id));
        let wakers: Vec<task::Waker> = wakers.collect();
        shared.notified = ids.last().copied().unwrap_or(from);
        drop(shared);
        for waker in wakers {
            waker.wake();
        }
    }
}

/// Holder of bytes; ends when its last clone and its last reserved bytes are dropped.
#[derive(Clone)]
pub struct Holder {
    inner: Arc<HolderInner>,
}

struct HolderInner {
    memory: Memory,
    id: HolderId,
}

impl Drop for HolderInner {
    fn drop(&mut self) {
        let mut shared = self.memory.lock();
        let has_freed = shared.budget.close(self.id);
        let room = shared.awaiting_room.remove(&self.id);
        let eviction = shared.awaiting_eviction.remove(&self.id);
        match has_freed {
            true => Memory::notify_room(shared, NOTIFIED_TASKS),
            false => drop(shared),
        }
        drop((room, eviction));
    }
}

impl Holder {
    /// Reserves bytes if there is room. Otherwise others that are stalled may be evicted, so that
    /// there is room later.
    pub fn try_reserve(&self, bytes: u64) -> bool {
        let HolderInner { memory, id } = &*self.inner;
        let now = memory.clock.now();
        let mut shared = memory.lock();
        match shared.budget.reserve(now, *id, bytes) {
            Decision::Granted => {
                // There may be room for the next one as well.
                Memory::notify_room(shared, 1);
                true
            }
            Decision::Wait => false,
            Decision::Evict(evicted) => {
                shared.counters.evicted += evicted.len() as u64;
                let wakers = evicted
                    .iter()
                    .filter_map(|id| shared.awaiting_eviction.remove(id));
                let wakers: Vec<task::Waker> = wakers.collect();
                drop(shared);
                for waker in wakers {
                    waker.wake();
                }
                false
            }
        }
    }

    /// Reserves bytes, waiting for room for at most `wait`. Returns whether there was room.
    pub async fn reserve(&self, bytes: u64, wait: time::Duration) -> bool {
        if self.try_reserve(bytes) {
            return true;
        }
        let clock = self.inner.memory.clock;
        let give_up_at = clock.now() + wait;
        // Time in which nothing is read from the client doesn't count as a stall.
        self.set_waiting(Waiting::No);
        loop {
            let left = give_up_at.since(clock.now());
            if left.is_zero() || self.is_evicted() {
                let mut shared = self.inner.memory.lock();
                shared.budget.stop_waiting(self.inner.id);
                shared.counters.refused += 1;
                return false;
            }
            // A timeout is as good as a notification.
            let _ = compio::time::timeout(left.min(RETRY_INTERVAL), self.room_freed()).await;
            if self.try_reserve(bytes) {
                return true;
            }
        }
    }

    /// Reserves bytes that are already in memory, whether there is room or not.
    pub fn reserve_beyond(&self, bytes: u64) {
        let mut shared = self.inner.memory.lock();
        shared.budget.reserve_beyond(self.inner.id, bytes);
    }

    /// Frees bytes.
    pub fn release(&self, bytes: u64) {
        let mut shared = self.inner.memory.lock();
        shared.budget.release(self.inner.id, bytes);
        Memory::notify_room(shared, NOTIFIED_TASKS);
    }

    /// Waits until others free memory.
    async fn room_freed(&self) {
        let mut is_registered = false;
        future::poll_fn(|cx| {
            if mem::replace(&mut is_registered, true) {
                return task::Poll::Ready(());
            }
            self.notify_when_freed(cx);
            task::Poll::Pending
        })
        .await;
    }

    /// Wakes the task once others free memory.
    pub fn notify_when_freed(&self, cx: &task::Context<'_>) {
        let mut shared = self.inner.memory.lock();
        let earlier = shared
            .awaiting_room
            .insert(self.inner.id, cx.waker().clone());
        // A waker may own what uses the budget, so it is dropped without the lock.
        drop(shared);
        drop(earlier);
    }

    /// Records what the holder waits for.
    pub fn set_waiting(&self, waiting: Waiting) {
        let HolderInner { memory, id } = &*self.inner;
        let now = memory.clock.now();
        memory.lock().budget.set_waiting(now, *id, waiting);
    }

    /// Records that the client has sent or taken bytes.
    pub fn moved(&self, bytes: usize) {
        let HolderInner { memory, id } = &*self.inner;
        let now = memory.clock.now();
        memory.lock().budget.moved(now, *id, bytes as u64);
    }

    fn is_evicted(&self) -> bool {
        let memory = &self.inner.memory;
        memory.lock().budget.is_evicted(self.inner.id)
    }

    /// Waits until the holder must end.
    pub async fn evicted(&self) {
        let HolderInner { memory, id } = &*self.inner;
        future::poll_fn(|cx| {
            let mut shared = memory.lock();
            if shared.budget.is_evicted(*id) {
                return task::Poll::Ready(());
            }
            // A connection checks this at each of its polls, with the same waker.
            let registered = shared.awaiting_eviction.get(id);
            if registered.is_some_and(|waker| waker.will_wake(cx.waker())) {
                return task::Poll::Pending;
            }
            let earlier = shared.awaiting_eviction.insert(*id, cx.waker().clone());
            drop(shared);
            drop(earlier);
            task::Poll::Pending
        })
        .await;
    }

    /// Returns whether there is room to read pipelined requests ahead.
    pub fn may_read_ahead(&self) -> bool {
        self.inner.memory.may_read_ahead()
    }

    /// Turns bytes into shared ones that free `reserved` bytes when the last reference is dropped.
    pub fn share(&self, bytes: Vec<u8>, reserved: u64) -> Bytes {
        Bytes::from_owner(Reserved {
            bytes,
            holder: self.clone(),
            reserved,
        })
    }
}

/// Bytes with their reservation.
struct Reserved {
    bytes: Vec<u8>,
    holder: Holder,
    reserved: u64,
}

impl AsRef<[u8]> for Reserved {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        // The memory is free before the budget counts it so.
        self.bytes = Vec::new();
        self.holder.release(self.reserved);
    }
}
