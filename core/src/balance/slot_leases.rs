//! Leases of target slots to gateways.
//!
//! One gateway is the broker of a service and records which gateway holds which slot. A gateway
//! starts a call only on a slot that it holds, so no target is ever sent more calls than it has
//! slots.

use std::collections::{BTreeMap, VecDeque};

use super::TargetKey;
use crate::types::VmId;

/// A slot that is leased to a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotGrant {
    /// The gateway that may use the slot.
    pub to: VmId,
    /// The target the slot belongs to.
    pub key: TargetKey,
}

/// Numbers of messages that the leases have cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseMessageCounts {
    /// Requests for a slot.
    pub requests: u64,
    /// Slots granted.
    pub grants: u64,
    /// Slots returned.
    pub returns: u64,
}

impl LeaseMessageCounts {
    /// Returns the number of all messages.
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
    requests: VecDeque<VmId>,
    outgoing_grants: VecDeque<SlotGrant>,
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
        self.grant_free_slots();
    }

    /// Removes a target; slots of it that are in use are not leased again once they are returned.
    pub fn remove(&mut self, key: TargetKey) {
        self.slots.remove(&key);
        self.free.remove(&key);
        self.held.retain(|(_, held), _| *held != key);
    }

    /// Records that a gateway requests one slot of any target.
    pub fn request(&mut self, from: VmId) {
        self.counts.requests += 1;
        self.requests.push_back(from);
        self.grant_free_slots();
    }

    /// Records that a gateway returns a slot; ignored if the gateway does not hold it.
    pub fn return_slot(&mut self, from: VmId, key: TargetKey) {
        self.counts.returns += 1;
        if self.release(from, key) {
            self.grant_free_slots();
        }
    }

    /// Removes a lost gateway: cancels its requests and frees the slots that it holds.
    pub fn remove_gateway(&mut self, vm: VmId) {
        self.requests.retain(|requester| *requester != vm);
        let keys: Vec<TargetKey> = self
            .held
            .keys()
            .filter(|(holder, _)| *holder == vm)
            .map(|(_, key)| *key)
            .collect();
        for key in keys {
            while self.release(vm, key) {}
        }
        self.grant_free_slots();
    }

    /// Returns the next grant to send.
    pub fn poll_grant(&mut self) -> Option<SlotGrant> {
        self.outgoing_grants.pop_front()
    }

    /// Returns the numbers of messages so far.
    pub fn counts(&self) -> LeaseMessageCounts {
        self.counts
    }

    /// Returns the numbers of free and of held slots.
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

    fn grant_free_slots(&mut self) {
        while !self.requests.is_empty() {
            // On the target with the most free slots, the call shares the machine with the fewest
            // others.
            let Some(key) = self
                .free
                .iter()
                .filter(|(_, free)| **free > 0)
                .max_by_key(|(_, free)| **free)
                .map(|(key, _)| *key)
            else {
                return;
            };
            let Some(to) = self.requests.pop_front() else {
                return;
            };
            *self.free.entry(key).or_default() -= 1;
            *self.held.entry((to, key)).or_default() += 1;
            self.counts.grants += 1;
            self.outgoing_grants.push_back(SlotGrant { to, key });
        }
    }
}
