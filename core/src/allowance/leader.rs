//! Leader side: one token bucket for each workspace with an allowance.

use std::{collections, time};

use super::deputy::{LOAN_TIME, LoanRequest};
use super::numbers::MAX_VALIDITY;
use super::{Bound, Numbers, WorkspaceId};
use crate::{routing, time as core_time, types};

/// Longest time for which the leader asks a VM not to come back although the next token may be there
/// earlier. Refused VMs get successive times, so that they don't all ask for the same token.
const MAX_SPACING: time::Duration = time::Duration::from_millis(500);

/// Shortest such time. It bounds the questions about a workspace far over its rate to 20 a second and
/// VM.
const MIN_SPACING: time::Duration = time::Duration::from_millis(50);

/// Share of a full bucket that is kept for calls that wait.
const SHARE_FOR_NEED: f64 = 0.5;

/// What a VM asks for one workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Calls that wait for a token.
    pub needed: u32,
    /// Tokens for calls that are expected within their validity.
    pub ahead: u32,
}

/// What the leader grants for one workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// Number of tokens granted.
    pub granted: u32,
    /// Time until the VM should ask again, if it got fewer tokens than calls wait; `None` if it got
    /// enough or the leader doesn't know the workspace.
    pub wait: Option<time::Duration>,
}

/// Number of slices of time by which granted tokens are counted. A token counts in the slice in which it
/// is granted and for the whole slices after it; fewer and longer ones would hold up the refill.
const SLICES: usize = 9;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    numbers: Numbers,
    level: f64,
    /// Tokens granted in the current slice and the ones before it, which may still be used.
    granted: [u32; SLICES],
    /// Sum of `granted`.
    outstanding: f64,
    /// Length of a slice.
    slice: time::Duration,
    slice_end: core_time::Instant,
    updated: core_time::Instant,
    /// When the next VM that is refused should ask again.
    next_slot: core_time::Instant,
}

impl Bucket {
    /// Creates a bucket that contains what it has earned since no token of an earlier one can exist.
    /// `ungranted` is the time since the last of these was granted at the latest.
    fn new(numbers: Numbers, now: core_time::Instant, ungranted: time::Duration) -> Bucket {
        let head_start = duration(numbers.held_back / numbers.rate.max(f64::MIN_POSITIVE));
        let valid = lifetime(MAX_VALIDITY).saturating_sub(head_start);
        let mut bucket = Bucket {
            numbers,
            level: 0.0,
            granted: [0; SLICES],
            outstanding: 0.0,
            slice: time::Duration::ZERO,
            slice_end: now,
            // Beside all tokens that VMs may still have, there is only room for those held back.
            updated: now + valid.saturating_sub(ungranted),
            next_slot: now,
        };
        bucket.add(ungranted.saturating_sub(valid));
        bucket
    }

    fn refill(&mut self, now: core_time::Instant) {
        while self.slice_end <= now {
            if self.outstanding > 0.0 {
                self.refill_until(self.slice_end);
                self.outstanding -= f64::from(self.granted[SLICES - 1]);
                self.granted.rotate_right(1);
                self.granted[0] = 0;
            } else {
                self.slice = slice(&self.numbers);
                self.slice_end = now;
            }
            self.slice_end = self.slice_end + self.slice;
        }
        self.refill_until(now);
    }

    /// Adds the tokens until `at`. No token expires before.
    fn refill_until(&mut self, at: core_time::Instant) {
        self.add(at.since(self.updated));
        self.updated = self.updated.max(at);
    }

    /// Adds the tokens of a time of this length.
    fn add(&mut self, time: time::Duration) {
        let added = self.numbers.rate * time.as_secs_f64();
        let room = (self.numbers.capacity - self.outstanding).max(0.0);
        self.level = (self.level + added).min(room);
    }

    /// Returns how many tokens may be granted.
    fn available(&self) -> f64 {
        let most = self.numbers.capacity - self.numbers.held_back;
        self.level.min(most - self.outstanding).max(0.0)
    }

    /// Grants tokens that the bucket contains.
    fn grant(&mut self, count: u32) {
        self.level -= f64::from(count);
        self.outstanding += f64::from(count);
        self.granted[0] += count;
    }

    /// Returns when a VM that lacks a token should ask again.
    fn refuse(&mut self, now: core_time::Instant, filling: bool) -> time::Duration {
        let until_next = duration((1.0 - self.level) / self.numbers.rate);
        // While the bucket fills, the calls may well be within the allowance.
        let spacing = if filling {
            time::Duration::ZERO
        } else {
            MIN_SPACING
        };
        let slot = self.next_slot.max(now + spacing).min(now + MAX_SPACING);
        let slot = slot.max(now + until_next);
        self.next_slot = slot + duration(1.0 / self.numbers.rate);
        slot.since(now)
    }
}

/// Returns how long tokens of this validity may be used by the leader's clock, which may run faster than
/// that of the VM that asked.
fn lifetime(validity: time::Duration) -> time::Duration {
    validity + validity / 50
}

fn slice(numbers: &Numbers) -> time::Duration {
    lifetime(numbers.validity) / (SLICES as u32 - 1)
}

/// Converts seconds, which may be infinite, to a duration of at most an hour.
fn duration(seconds: f64) -> time::Duration {
    time::Duration::from_secs_f64(seconds.clamp(0.0, 3600.0))
}

/// The VMs by which it is decided what is lent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lenders {
    /// Number of deputies; 0 for a VM that is none.
    pub deputies: usize,
    /// Number of known VMs.
    pub known: usize,
    /// Number of these that may be of the preceding build. Each of them may use its part of a reserve,
    /// which is at most as large as what may be lent and divided in whole calls.
    pub preceding: usize,
}

impl Lenders {
    fn lendable(&self, numbers: &Numbers) -> f64 {
        let part = numbers.lendable / self.known.max(1) as f64 + 1.0;
        (numbers.lendable - part * self.preceding as f64).max(0.0)
    }
}

/// Grants tokens while its VM leads.
#[derive(Debug)]
pub struct Grantor {
    bound: Bound,
    buckets: collections::HashMap<WorkspaceId, Bucket>,
    /// When this VM began to lead.
    started: Option<core_time::Instant>,
    /// What each deputy has at most.
    lent: collections::HashMap<types::VmId, Lent>,
}

#[derive(Debug, Default)]
struct Lent {
    /// Number of the latest request.
    number: u64,
    end: core_time::Instant,
    tokens: collections::HashMap<WorkspaceId, u32>,
}

impl Grantor {
    /// Creates a grantor that doesn't lead and knows no workspace.
    pub fn new(bound: Bound) -> Grantor {
        Grantor {
            bound,
            buckets: collections::HashMap::new(),
            started: None,
            lent: collections::HashMap::new(),
        }
    }

    /// Takes over the workspaces of a configuration. Buckets of workspaces that were there before keep
    /// their tokens up to the new capacity; others start empty, and fill when no VM can have tokens of a
    /// workspace of that name that was removed earlier.
    pub fn configure<'a>(
        &mut self,
        now: core_time::Instant,
        allowances: impl Iterator<Item = (&'a str, &'a routing::Allowance)>,
    ) {
        let mut old = std::mem::take(&mut self.buckets);
        for (name, allowance) in allowances {
            let id = WorkspaceId::of(name);
            let numbers = Numbers::new(&self.bound, allowance);
            let bucket = old.remove(&id);
            let new = || Bucket::new(numbers, now, time::Duration::ZERO);
            let mut bucket = bucket.unwrap_or_else(new);
            // Tokens up to now come at the old rate.
            bucket.refill(now);
            bucket.numbers = numbers;
            bucket.add(time::Duration::ZERO);
            // VMs with the old configuration use their tokens for the old validity.
            bucket.slice = bucket.slice.max(slice(&numbers));
            self.buckets.insert(id, bucket);
        }
    }

    /// Starts to lead. No earlier leader can have granted tokens for `leaderless`. The buckets contain
    /// what has been earned in that time, except as long as tokens from before may be used.
    pub fn start(&mut self, now: core_time::Instant, leaderless: time::Duration) {
        self.started = Some(now);
        self.lent.clear();
        for bucket in self.buckets.values_mut() {
            *bucket = Bucket::new(bucket.numbers, now, leaderless);
        }
    }

    /// Ends the leadership.
    pub fn stop(&mut self) {
        self.started = None;
    }

    /// Grants tokens for one workspace. The caller has made sure that a quorum confirms the leadership.
    ///
    /// Tokens ahead of need are granted from the upper half of the bucket only, so that VMs which don't
    /// use them take nothing from the others when tokens are short.
    pub fn grant(&mut self, now: core_time::Instant, ask: &Ask) -> Answer {
        let (Some(started), Some(bucket)) = (self.started, self.buckets.get_mut(&ask.workspace))
        else {
            return Answer::default();
        };
        bucket.refill(now);
        let needed = (bucket.available() as u32).min(ask.needed);
        bucket.grant(needed);
        if needed < ask.needed {
            // While the bucket fills after a leader change, the calls may well be within the allowance.
            let fill_time = duration(bucket.numbers.capacity / bucket.numbers.rate);
            let filling = now.since(started) < fill_time;
            return Answer {
                granted: needed,
                wait: Some(bucket.refuse(now, filling)),
            };
        }
        let spare = bucket.available() - bucket.numbers.capacity * SHARE_FOR_NEED;
        let ahead = (spare.max(0.0) as u32).min(ask.ahead);
        bucket.grant(ahead);
        Answer {
            granted: needed + ahead,
            ..Answer::default()
        }
    }

    /// Records what a VM holds and lends it up to its part of what may be lent, if it is a deputy; returns the tokens for each workspace of the request. The caller has made sure that a
    /// quorum confirms the leadership.
    ///
    /// What an earlier leader lent may be in use until a loan ends, so that nothing is lent before.
    pub fn lend(
        &mut self,
        now: core_time::Instant,
        vm: types::VmId,
        request: &LoanRequest,
        lenders: &Lenders,
    ) -> Vec<u32> {
        let Some(started) = self.started else {
            return Vec::new();
        };
        let mut record = self.lent.remove(&vm).unwrap_or_default();
        if request.number <= record.number {
            self.lent.insert(vm, record);
            return Vec::new();
        }
        self.lent.retain(|_, lent| now <= lent.end);
        let may_lend = lenders.deputies > 0 && now.since(started) > lifetime(LOAN_TIME);
        record.number = request.number;
        record.end = now + lifetime(LOAN_TIME);
        record.tokens.clear();
        let mut tokens = Vec::with_capacity(request.held.len());
        for (workspace, held) in &request.held {
            let mut lent = 0;
            if let Some(bucket) = self.buckets.get_mut(workspace).filter(|_| may_lend) {
                bucket.refill(now);
                let others = self
                    .lent
                    .values()
                    .filter_map(|lent| lent.tokens.get(workspace));
                let others: u32 = others.sum();
                let lendable = lenders.lendable(&bucket.numbers);
                let room = lendable - f64::from(others);
                let room = room.min(lendable / lenders.deputies as f64) - f64::from(*held);
                let spare = bucket.available() - bucket.numbers.capacity * SHARE_FOR_NEED;
                lent = room.min(spare).max(0.0) as u32;
                bucket.level -= f64::from(lent);
            }
            record.tokens.insert(*workspace, held + lent);
            tokens.push(lent);
        }
        self.lent.insert(vm, record);
        tokens
    }
}
