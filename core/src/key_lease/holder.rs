//! Holder of a lease: when to request a confirmation, what a reply grants, and until when.

use std::{collections, time};

use super::{RENEWAL_INTERVAL, REPLY_TIMEOUT, Reply, Request, Terms};
use crate::{time::BootInstant, types};

/// Unanswered requests that are kept. A reply is useful for less than ten renewals.
const MAX_OPEN_REQUESTS: usize = 16;

/// Unanswered requests in a row from which the VM also sends them to the leader by way of another
/// VM, since its own connection to the leader may be silent.
const FORWARD_AFTER: u32 = 2;

/// What a VM learns from a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyOutcome {
    /// The lease was acquired or extended.
    Granted,
    /// The lease is granted once this VM has applied the leader's commands.
    Behind,
    /// The reply belongs to no open request.
    Ignored,
}

/// The lease of a VM.
#[derive(Debug)]
pub struct Holder {
    vm: types::VmId,
    terms: Terms,
    next_number: u64,
    /// Number and time of the requests without a reply, oldest first.
    open: collections::VecDeque<(u64, BootInstant)>,
    /// Time of the latest request, unless the leader has changed since.
    last_request: Option<BootInstant>,
    /// Requests since the last reply or change of leader.
    unanswered: u32,
    /// Whether the connection to the leader may be silent.
    is_leader_silent: bool,
    /// Time of the latest request up to whose index this VM has applied the log.
    confirmed: Option<BootInstant>,
    /// Index that this VM must apply, and time of the request, of other replies.
    behind: Vec<(types::LogIndex, BootInstant)>,
}

impl Holder {
    /// Creates the holder of a process that has no lease. `first_number` is random: a reply to an
    /// earlier process of the same VM must not match a request of this one.
    pub fn new(vm: types::VmId, terms: Terms, first_number: u64) -> Holder {
        Holder {
            vm,
            terms,
            next_number: first_number,
            open: collections::VecDeque::new(),
            last_request: None,
            unanswered: 0,
            is_leader_silent: false,
            confirmed: None,
            behind: Vec::new(),
        }
    }

    /// Returns whether the VM may accept keys now.
    pub fn is_held(&self, now: BootInstant) -> bool {
        self.is_confirmed_within(now, self.terms.validity)
    }

    /// Returns whether the configuration was confirmed by a request of the last `limit`, which is at
    /// most the validity of the lease.
    pub fn is_confirmed_within(&self, now: BootInstant, limit: time::Duration) -> bool {
        let age = self.confirmed.and_then(|at| now.checked_since(at));
        age.is_some_and(|age| age < limit.min(self.terms.validity))
    }

    /// Returns whether a request is due. Without a lease, the interval grows from
    /// [`REPLY_TIMEOUT`] to [`RENEWAL_INTERVAL`], since the leader may be unable to reply.
    pub fn is_request_due(&self, now: BootInstant) -> bool {
        let interval = match self.is_held(now) {
            true => RENEWAL_INTERVAL,
            false => (REPLY_TIMEOUT * (1 << self.unanswered.saturating_sub(1).min(8)))
                .min(RENEWAL_INTERVAL),
        };
        self.is_older(now, interval)
    }

    /// Returns whether a call that needs a later confirmation must send a request: one in flight
    /// serves all such calls. Without a lease, requests are sent as [`Holder::is_request_due`] says.
    pub fn needs_request_for_call(&self, now: BootInstant) -> bool {
        match self.is_held(now) {
            true => self.unanswered == 0 || self.is_older(now, REPLY_TIMEOUT),
            false => self.is_request_due(now),
        }
    }

    fn is_older(&self, now: BootInstant, interval: time::Duration) -> bool {
        let age = self.last_request.map(|at| now.checked_since(at));
        age.is_none_or(|age| age.is_none_or(|age| age >= interval))
    }

    /// Returns whether requests should also go to the leader by way of another VM.
    pub fn needs_forwarding(&self) -> bool {
        self.is_leader_silent
    }

    /// Creates a request, which must be sent after this call. `now` must have been read before.
    pub fn request(&mut self, now: BootInstant, urgent: bool) -> Request {
        let number = self.next_number;
        self.next_number = number.wrapping_add(1);
        if self.open.len() == MAX_OPEN_REQUESTS {
            self.open.pop_front();
        }
        self.open.push_back((number, now));
        self.last_request = Some(now);
        self.is_leader_silent |= self.unanswered >= FORWARD_AFTER;
        self.unanswered = self.unanswered.saturating_add(1);
        Request {
            number,
            asker: self.vm,
            urgent,
        }
    }

    /// Makes a request due at once, as the earlier ones may be lost with their leader.
    pub fn leader_changed(&mut self) {
        self.last_request = None;
        self.unanswered = 0;
        self.is_leader_silent = false;
    }

    /// Handles that the leader has replied on its own connection to this VM.
    pub fn leader_replied(&mut self) {
        self.is_leader_silent = false;
    }

    /// Handles a reply; `applied` is the index that this VM has applied.
    pub fn reply(&mut self, reply: &Reply, applied: types::LogIndex) -> ReplyOutcome {
        let position = self.open.iter().position(|open| open.0 == reply.number);
        let Some(position) = position else {
            return ReplyOutcome::Ignored;
        };
        let (_, requested_at) = self.open[position];
        // Replies to earlier requests grant nothing that this one does not.
        self.open.drain(..=position);
        self.unanswered = 0;
        if applied < reply.applied {
            let pending = self.behind.len().saturating_sub(MAX_OPEN_REQUESTS - 1);
            self.behind.drain(..pending);
            self.behind.push((reply.applied, requested_at));
            return ReplyOutcome::Behind;
        }
        self.confirm(requested_at);
        ReplyOutcome::Granted
    }

    /// Handles that this VM has applied the log up to `index`; returns whether the lease was acquired
    /// or extended.
    pub fn applied(&mut self, index: types::LogIndex) -> bool {
        let granted = self.behind.iter().filter(|(due, _)| *due <= index);
        let Some(latest) = granted.map(|(_, at)| *at).max() else {
            return false;
        };
        self.behind.retain(|(due, _)| *due > index);
        self.confirm(latest);
        true
    }

    fn confirm(&mut self, requested_at: BootInstant) {
        self.confirmed = self.confirmed.max(Some(requested_at));
    }
}
