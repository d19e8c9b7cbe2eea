//! Memory budget of a process that forwards calls.
//!
//! Load pattern: clients send many large bodies at once, stop just short of their end and stay
//! connected; others keep connections without a request, send heads without end or don't read
//! their responses. What they hold must not exceed the memory of the VM, and callers with ordinary
//! requests must still find room.
//!
//! Each connection and each message is a holder of bytes. A holder that waits for its client for
//! longer than [`STALL`] loses its bytes to others once the budget is exhausted. Large messages that
//! wait for room get it in the order of their arrival, so that the oldest one is always completed.

mod descriptors;
mod shortage;

use std::{collections, time};

pub use self::descriptors::{caller_connections, operator_connections};

pub use self::shortage::Shortage;
use crate::time as core_time;

/// Time without progress after which a client counts as stalled. A packet that is lost twice arrives
/// within it.
pub const STALL: time::Duration = time::Duration::from_millis(500);

/// Bytes that a client must send or take to count as making progress. At one such part in each
/// [`STALL`], it uses a tenth of the slowest link (2.3 Mbit/s).
pub const PROGRESS_BYTES: u64 = 16 * 1024;

/// Messages up to this size may use the whole budget, larger ones leave an eighth of it.
/// Ordinary requests and responses are smaller.
pub const SMALL_MESSAGE_BYTES: u64 = 64 * 1024;

/// One part in this many of the budget is kept for small messages and connections.
const SMALL_SHARE: u64 = 8;

/// One part in this many of the budget may be used before pipelined requests are no longer read
/// ahead.
const READ_AHEAD_SHARE: u64 = 2;

/// Time for which the oldest waiting message leaves the memory of younger ones that wait as well:
/// calls in progress end within it and free theirs.
pub const YIELD_AFTER: time::Duration = time::Duration::from_millis(400);

/// Age from which an idle connection may be closed for another one. The first request of a new
/// connection arrives within it, also when a packet is lost.
pub const MIN_IDLE: time::Duration = time::Duration::from_millis(250);

/// Interval at which the holders are searched for stalled ones again after a search without result.
const SEARCH_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Memory assumed when the platform states no limit: twice that of the smallest VM, less than that of
/// most.
pub const DEFAULT_LIMIT_BYTES: u64 = 256 * 1024 * 1024;

/// Least memory kept for the rest of the process: code, replicated state, targets, connections to
/// other VMs and targets, and what the allocator can't return.
const MIN_RESERVE_BYTES: u64 = 40 * 1024 * 1024;

/// One part in this many of the memory is kept for the rest of the process at least, since the
/// allocator's loss grows with what passes through it.
const RESERVE_SHARE: u64 = 4;

/// Smallest budget, on a VM with less memory than the documented ones.
const MIN_CAPACITY_BYTES: u64 = 8 * 1024 * 1024;

/// Returns the budget of a process that ends at `limit` bytes of memory.
pub fn capacity(limit: Option<u64>) -> u64 {
    let limit = limit.unwrap_or(DEFAULT_LIMIT_BYTES);
    let reserve = MIN_RESERVE_BYTES.max(limit / RESERVE_SHARE);
    limit.saturating_sub(reserve).max(MIN_CAPACITY_BYTES)
}

/// Identifies a holder; increases with each one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderId(u64);

/// What a holder's bytes belong to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Buffers of a connection of a caller.
    Connection,
    /// The body of a request or response.
    Message,
}

/// What a holder waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Waiting {
    /// Not for its client; it can't be evicted.
    No,
    /// For the next request of its client.
    Idle,
    /// For the rest of a message, or for the client to read a response.
    Partial,
}

/// Decision on a request for memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The holder has the memory.
    Granted,
    /// There is no room yet; these holders must end, which makes some.
    Evict(Vec<HolderId>),
    /// There is no room yet.
    Wait,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    kind: Kind,
    bytes: u64,
    waiting: Waiting,
    /// Time of the last change of `waiting` or of the last progress.
    since: core_time::Instant,
    /// Bytes moved since then.
    moved: u64,
    is_evicted: bool,
}

/// The bytes of a process and their holders.
#[derive(Debug)]
pub struct Budget {
    capacity: u64,
    used: u64,
    last_id: u64,
    holders: collections::BTreeMap<HolderId, Holder>,
    /// Large messages that wait for room, with the start of the wait.
    queue: collections::BTreeMap<HolderId, core_time::Instant>,
    /// Bytes of evicted holders that still have them.
    being_freed: u64,
    /// Evicted connections that are still open.
    closing_connections: usize,
    search_from: core_time::Instant,
}

impl Budget {
    /// Creates an empty budget of `capacity` bytes.
    pub fn new(capacity: u64) -> Budget {
        Budget {
            capacity,
            used: 0,
            last_id: 0,
            holders: collections::BTreeMap::new(),
            queue: collections::BTreeMap::new(),
            being_freed: 0,
            closing_connections: 0,
            search_from: core_time::Instant::default(),
        }
    }

    /// Returns the size of the budget in bytes.
    pub fn capacity(&self) -> u64 {
        self.capacity
    }

    /// Returns the bytes that are held.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Returns whether there is room to read pipelined requests ahead.
    pub fn may_read_ahead(&self) -> bool {
        self.used <= self.capacity / READ_AHEAD_SHARE
    }

    /// Adds a holder without bytes.
    pub fn open(&mut self, now: core_time::Instant, kind: Kind) -> HolderId {
        self.last_id += 1;
        let id = HolderId(self.last_id);
        let holder = Holder {
            kind,
            bytes: 0,
            waiting: Waiting::No,
            since: now,
            moved: 0,
            is_evicted: false,
        };
        self.holders.insert(id, holder);
        id
    }

    /// Removes a holder and frees its bytes; returns whether it had any.
    pub fn close(&mut self, id: HolderId) -> bool {
        let used = self.used;
        self.release(id, u64::MAX);
        self.queue.remove(&id);
        if let Some(holder) = self.holders.remove(&id)
            && holder.is_evicted
            && holder.kind == Kind::Connection
        {
            self.closing_connections -= 1;
        }
        self.used < used
    }

    /// Frees bytes of a holder.
    pub fn release(&mut self, id: HolderId, bytes: u64) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        let bytes = bytes.min(holder.bytes);
        holder.bytes -= bytes;
        self.used -= bytes;
        if holder.is_evicted {
            self.being_freed -= bytes;
        }
    }

    /// Returns whether a holder must end.
    pub fn is_evicted(&self, id: HolderId) -> bool {
        self.holders
            .get(&id)
            .is_some_and(|holder| holder.is_evicted)
    }

    /// Records what a holder waits for from now on.
    pub fn set_waiting(&mut self, now: core_time::Instant, id: HolderId, waiting: Waiting) {
        if let Some(holder) = self.holders.get_mut(&id)
            && holder.waiting != waiting
        {
            holder.waiting = waiting;
            holder.since = now;
            holder.moved = 0;
        }
    }

    /// Records that the client of a holder has sent or taken bytes.
    pub fn moved(&mut self, now: core_time::Instant, id: HolderId, bytes: u64) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.moved = holder.moved.saturating_add(bytes);
            if holder.moved >= PROGRESS_BYTES {
                holder.since = now;
                holder.moved = 0;
            }
        }
    }

    /// Requests further bytes for a holder.
    pub fn reserve(&mut self, now: core_time::Instant, id: HolderId, bytes: u64) -> Decision {
        let Some(holder) = self.holders.get(&id).filter(|holder| !holder.is_evicted) else {
            return Decision::Wait;
        };
        let is_small =
            holder.kind == Kind::Connection || holder.bytes + bytes <= SMALL_MESSAGE_BYTES;
        let limit = match is_small {
            true => self.capacity,
            false => self.capacity - self.capacity / SMALL_SHARE,
        };
        let is_first = is_small || self.queue.keys().next().is_none_or(|first| *first >= id);
        if is_first && self.used + bytes <= limit {
            self.queue.remove(&id);
            self.add(id, bytes);
            return Decision::Granted;
        }
        let waits_since = match is_small {
            true => now,
            false => *self.queue.entry(id).or_insert(now),
        };
        if !is_first || now < self.search_from {
            return Decision::Wait;
        }
        let room = limit + self.being_freed;
        let lacking = (self.used + bytes).saturating_sub(room);
        let mut evicted = self.evict_stalled(now, lacking, is_small);
        if evicted.is_empty() && lacking > 0 && now.since(waits_since) >= YIELD_AFTER {
            evicted = self.evict_youngest_waiting(id);
        }
        if evicted.is_empty() {
            self.search_from = now + SEARCH_INTERVAL;
            return Decision::Wait;
        }
        Decision::Evict(evicted)
    }

    /// Ends the wait of a holder for room.
    pub fn stop_waiting(&mut self, id: HolderId) {
        self.queue.remove(&id);
    }

    /// Chooses a connection to close for a new one: that which has waited longest for its client.
    /// Returns `None` while another one is being closed.
    pub fn evict_connection(&mut self, now: core_time::Instant) -> Option<HolderId> {
        if self.closing_connections > 0 {
            return None;
        }
        let idle = self.holders.iter().filter(|(_, holder)| {
            holder.kind == Kind::Connection
                && holder.waiting != Waiting::No
                && !holder.is_evicted
                && now.since(holder.since) >= MIN_IDLE
        });
        let (id, _) = idle.min_by_key(|(_, holder)| holder.since)?;
        let id = *id;
        self.evict(id);
        Some(id)
    }

    /// Adds bytes to a holder that has them already, whether there is room or not.
    pub fn reserve_beyond(&mut self, id: HolderId, bytes: u64) {
        self.add(id, bytes);
    }

    fn add(&mut self, id: HolderId, bytes: u64) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.bytes += bytes;
            self.used += bytes;
            self.being_freed += if holder.is_evicted { bytes } else { 0 };
        }
    }

    fn evict(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.is_evicted = true;
            self.being_freed += holder.bytes;
            self.closing_connections += usize::from(holder.kind == Kind::Connection);
        }
        self.queue.remove(&id);
    }

    /// Evicts stalled holders, those that waited longest first, until they free `lacking` bytes. Idle
    /// connections hold little and belong to ordinary callers as well; they are closed last, and
    /// only for small requests.
    fn evict_stalled(
        &mut self,
        now: core_time::Instant,
        lacking: u64,
        with_idle: bool,
    ) -> Vec<HolderId> {
        if lacking == 0 {
            return Vec::new();
        }
        let is_stalled = |holder: &Holder| {
            let waits = match holder.waiting {
                Waiting::No => false,
                Waiting::Idle => with_idle,
                Waiting::Partial => true,
            };
            waits && !holder.is_evicted && now.since(holder.since) >= STALL
        };
        let stalled = self.holders.iter().filter(|(_, holder)| is_stalled(holder));
        let mut order: Vec<_> = stalled
            .map(|(id, holder)| {
                (
                    holder.waiting == Waiting::Idle,
                    holder.since,
                    *id,
                    holder.bytes,
                )
            })
            .collect();
        order.sort_unstable();
        let mut evicted = Vec::new();
        let mut freed = 0;
        for (_, _, id, bytes) in order {
            if freed >= lacking {
                break;
            }
            freed += bytes;
            self.evict(id);
            evicted.push(id);
        }
        evicted
    }

    /// Evicts the youngest waiting message other than `oldest` that holds memory: if all wait for each
    /// other, none would be completed.
    fn evict_youngest_waiting(&mut self, oldest: HolderId) -> Vec<HolderId> {
        let holds = |id: &HolderId| self.holders.get(id).is_some_and(|holder| holder.bytes > 0);
        let mut waiting = self.queue.keys().rev().copied();
        match waiting.find(|id| *id != oldest && holds(id)) {
            Some(id) => {
                self.evict(id);
                vec![id]
            }
            None => Vec::new(),
        }
    }
}
