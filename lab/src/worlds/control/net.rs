//! Fake network and event queue in virtual time.
//!
//! Messages are delayed, lost, duplicated and reordered at random from the seed. A cut drops
//! messages without an error at the sender.

use std::{collections, time};

use rand::Rng;
use rand::rngs::SmallRng;
use wagtailshunt_core::time::Instant;
use wagtailshunt_core::{directory, registry, types};

/// A sender or receiver of messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Node {
    /// The current leader of group 0.
    Control,
    /// The gateway on this VM.
    Gateway(u32),
    /// A target.
    Target(u32),
    /// An operator.
    Operator(u32),
}

/// A message.
#[derive(Clone, Debug)]
pub enum Message {
    /// Encoded frame between two of the system's processes.
    Frame(bytes::Bytes),
    /// A target announces itself.
    Announce(directory::Announcement),
    /// A gateway's reply to an announcement: whether it was accepted.
    AnnounceReply(bool),
    /// An operator reads the revision of the record of this service.
    Read(u32),
    /// Reply to `Read`: the revision, if the record exists.
    Revision(Option<types::Revision>),
    /// An operator submits a change.
    Submit(registry::Command),
    /// Reply to `Submit`, with the marker of the change.
    Reply(u64, registry::Reply),
}

/// A scheduled event.
#[derive(Clone, Debug)]
pub enum Event {
    /// A message arrives.
    Deliver {
        /// Sender.
        from: Node,
        /// Receiver.
        to: Node,
        /// Content.
        message: Message,
    },
    /// Timer of a node. A timer whose epoch is not the current one of the node is ignored.
    Tick(Node, u64),
    /// A change reaches a quorum, or fails to because its leader was cut off or replaced.
    Commit {
        /// Term of the leader that proposed it.
        term: u64,
        /// Operator that waits for the reply.
        operator: Option<u32>,
        /// The change.
        command: registry::Command,
    },
    /// A new leader is elected.
    Elected,
}

/// Network and event queue of the world.
#[derive(Debug)]
pub struct Net {
    /// Delay of a message without jitter.
    pub delay: time::Duration,
    /// Largest random delay added to `delay`; it reorders messages.
    pub jitter: time::Duration,
    /// Probability that a message is lost, in thousandths.
    pub loss_permille: u32,
    /// Probability that a message arrives twice, in thousandths.
    pub duplicate_permille: u32,
    /// Bytes of the frames that each node sent or was sent, by node.
    pub bytes: collections::BTreeMap<Node, u64>,
    rng: SmallRng,
    /// Partition number of each node, 0 if absent. Nodes reach each other only within a partition.
    partitions: collections::BTreeMap<Node, u32>,
    queue: collections::BTreeMap<(Instant, u64), Event>,
    sequence: u64,
}

impl Net {
    /// Returns a network without faults.
    pub fn new(rng: SmallRng) -> Net {
        Net {
            delay: time::Duration::from_millis(1),
            jitter: time::Duration::ZERO,
            loss_permille: 0,
            duplicate_permille: 0,
            bytes: collections::BTreeMap::new(),
            rng,
            partitions: collections::BTreeMap::new(),
            queue: collections::BTreeMap::new(),
            sequence: 0,
        }
    }

    /// Returns the random number generator of the world.
    pub fn rng(&mut self) -> &mut SmallRng {
        &mut self.rng
    }

    /// Moves a node to a partition.
    pub fn set_partition(&mut self, node: Node, partition: u32) {
        self.partitions.insert(node, partition);
    }

    /// Returns whether two nodes are in the same partition.
    pub fn connected(&self, a: Node, b: Node) -> bool {
        let part = |node| self.partitions.get(&node).copied().unwrap_or_default();
        part(a) == part(b)
    }

    /// Schedules an event.
    pub fn schedule(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), event);
    }

    /// Sends a message; it may be lost or arrive twice.
    pub fn send(&mut self, now: Instant, from: Node, to: Node, message: Message) {
        if let Message::Frame(frame) = &message {
            for node in [from, to] {
                *self.bytes.entry(node).or_default() += frame.len() as u64;
            }
        }
        let lost = self.rng.random_range(0..1000) < self.loss_permille;
        if lost || !self.connected(from, to) {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_range(0..1000) < self.duplicate_permille);
        for _ in 0..copies {
            let jitter = self.rng.random_range(0..=self.jitter.as_micros() as u64);
            let at = now + self.delay + time::Duration::from_micros(jitter);
            let message = message.clone();
            self.schedule(at, Event::Deliver { from, to, message });
        }
    }

    /// Returns the time of the next event.
    pub fn next_event_at(&self) -> Option<Instant> {
        self.queue.first_key_value().map(|((at, _), _)| *at)
    }

    /// Removes and returns the next event that is due. A message between nodes that were cut apart
    /// after it was sent is lost.
    pub fn pop_due(&mut self, now: Instant) -> Option<Event> {
        loop {
            let entry = self
                .queue
                .first_entry()
                .filter(|entry| entry.key().0 <= now)?;
            match entry.remove() {
                Event::Deliver { from, to, .. } if !self.connected(from, to) => {}
                event => return Some(event),
            }
        }
    }
}
