//! Slots of targets leased to gateways and lent between them.
//!
//! One gateway is the broker of a service: it knows exactly which gateway holds which slot. A
//! gateway starts a call only on a slot it holds, so no target is ever given more calls than slots.

use std::collections::{BTreeMap, VecDeque};

use super::TargetKey;
use crate::types::VmId;

/// A slot handed to a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotGrant {
    /// The gateway that may use the slot.
    pub to: VmId,
    /// The target the slot belongs to.
    pub key: TargetKey,
}

/// Messages that lending has cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseMessageCounts {
    /// Requests for a slot.
    pub requests: u64,
    /// Slots handed out.
    pub grants: u64,
    /// Slots given back.
    pub returns: u64,
}

impl LeaseMessageCounts {
    /// Returns all messages.
    pub fn messages(&self) -> u64 {
        self.requests + self.grants + self.returns
    }
}

/// The broker of one service's slots.
#[derive(Clone, Debug, Default)]
pub struct SlotBroker {
    free: BTreeMap<TargetKey, u32>,
    slots: BTreeMap<TargetKey, u32>,
    held: BTreeMap<(VmId, TargetKey), u32>,
    waiting: VecDeque<VmId>,
    granted: VecDeque<SlotGrant>,
    counts: LeaseMessageCounts,
}

impl SlotBroker {
    /// Creates a broker without targets.
    pub fn new() -> Self {
        SlotBroker::default()
    }

    /// Adds the slots of a target.
    pub fn add(&mut self, key: TargetKey, slots: u32) {
        self.slots.insert(key, slots);
        self.free.insert(key, slots);
        self.hand_out();
    }

    /// Removes a target; slots that are in use are not lent again when they come back.
    pub fn remove(&mut self, key: TargetKey) {
        self.slots.remove(&key);
        self.free.remove(&key);
        self.held.retain(|(_, held), _| *held != key);
    }

    /// A gateway asks for one slot of any target.
    pub fn request(&mut self, from: VmId) {
        self.counts.requests += 1;
        self.waiting.push_back(from);
        self.hand_out();
    }

    /// A gateway gives a slot back. A slot it does not hold is ignored.
    pub fn return_slot(&mut self, from: VmId, key: TargetKey) {
        self.counts.returns += 1;
        if self.release(from, key) {
            self.hand_out();
        }
    }

    /// Takes back everything a lost gateway holds.
    pub fn remove_gateway(&mut self, vm: VmId) {
        self.waiting.retain(|waiting| *waiting != vm);
        let keys: Vec<TargetKey> = self
            .held
            .keys()
            .filter(|(holder, _)| *holder == vm)
            .map(|(_, key)| *key)
            .collect();
        for key in keys {
            while self.release(vm, key) {}
        }
        self.hand_out();
    }

    /// Returns the next grant to send.
    pub fn poll_grant(&mut self) -> Option<SlotGrant> {
        self.granted.pop_front()
    }

    /// Returns the messages so far.
    pub fn counts(&self) -> LeaseMessageCounts {
        self.counts
    }

    /// Returns slots that are free and slots that are held.
    pub fn totals(&self) -> (u32, u32) {
        (self.free.values().sum(), self.held.values().sum())
    }

    fn release(&mut self, from: VmId, key: TargetKey) -> bool {
        let Some(held) = self.held.get_mut(&(from, key)) else {
            return false;
        };
        *held -= 1;
        if *held == 0 {
            self.held.remove(&(from, key));
        }
        *self.free.entry(key).or_default() += 1;
        true
    }

    fn hand_out(&mut self) {
        while !self.waiting.is_empty() {
            // The target with the most free slots shares its machine with the fewest calls.
            let Some(key) = self
                .free
                .iter()
                .filter(|(_, free)| **free > 0)
                .max_by_key(|(_, free)| **free)
                .map(|(key, _)| *key)
            else {
                return;
            };
            let Some(to) = self.waiting.pop_front() else {
                return;
            };
            *self.free.entry(key).or_default() -= 1;
            *self.held.entry((to, key)).or_default() += 1;
            self.counts.grants += 1;
            self.granted.push_back(SlotGrant { to, key });
        }
    }
}
