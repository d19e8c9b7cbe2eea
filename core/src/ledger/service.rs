//! Leader side of a ledger shard.
//!
//! Turns the requests of the gateways into proposals for the shard's log and the applied results
//! into replies. Resends of a running call wait here until its outcome is applied. The inputs are
//! the requests, the results of proposals and the applied state of the [`machine::Ledger`].

use std::{collections, time::Duration};

use super::request::{Output, Request, ServiceReply};
use super::{digest, key, machine};
use crate::{time, types};

/// Settings of [`Service`].
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    /// Time for which a claim remains valid after its call's deadline. It covers the commit of the
    /// outcome during an election of 1 s.
    pub claim_grace: Duration,
    /// Step by which the retention floor is raised. A larger step needs fewer log entries and keeps
    /// keys longer by at most one step.
    pub retention_floor_step: Duration,
    /// Maximum number of resends that wait for an outcome.
    pub max_waiting: usize,
    /// Capacity limits to apply if they differ from those of the replicated state.
    pub limits: machine::Limits,
}

impl Default for ServiceConfig {
    fn default() -> Self {
        ServiceConfig {
            claim_grace: Duration::from_secs(2),
            retention_floor_step: Duration::from_secs(60),
            max_waiting: 10_000,
            limits: machine::Limits::default(),
        }
    }
}

/// A claim request that has not been replied to.
#[derive(Clone, Debug)]
struct Waiter {
    token: u64,
    digest: digest::Digest,
    holder: machine::Holder,
    deadline: time::Instant,
}

/// Origin of a proposed command, which determines who receives the result.
#[derive(Clone, Debug)]
enum Proposal {
    Claim(key::Key, Waiter),
    // A completion, release or failure reported by a gateway.
    Outcome { token: u64 },
    // A command of the leader itself.
    Internal,
}

/// Replicated time as computed by the leader. It is never behind the ledger's clock, and advances
/// with the monotonic clock if this VM's wall clock is behind that of an earlier leader.
#[derive(Clone, Copy, Debug, Default)]
struct ReplicatedClock {
    base: time::UnixMillis,
    since: time::Instant,
}

impl ReplicatedClock {
    fn read(&self, now: time::Instant, wall: time::UnixMillis) -> time::UnixMillis {
        wall.max(machine::add_duration(self.base, now.since(self.since)))
    }
}

/// Turns requests of gateways into proposals, and their results into replies.
#[derive(Debug)]
pub struct Service {
    cfg: ServiceConfig,
    leading: bool,
    clock: ReplicatedClock,
    next_ticket: u64,
    tickets: collections::BTreeMap<u64, Proposal>,
    proposals: collections::BTreeMap<types::LogIndex, u64>,
    waiting_claims: collections::BTreeMap<key::Key, collections::VecDeque<Waiter>>,
    // Expiry times of the claims that resends wait for, and deadlines of the waiting resends.
    waiting_claim_expiries: collections::BTreeSet<(time::UnixMillis, key::Key)>,
    waiting_deadlines: collections::BTreeSet<(time::Instant, u64)>,
    waiting_tokens: collections::BTreeMap<u64, (key::Key, time::Instant)>,
    advance_ticket: Option<u64>,
    outputs: collections::VecDeque<Output>,
}

impl Service {
    /// Creates the service of a VM that does not lead the shard.
    pub fn new(cfg: ServiceConfig) -> Self {
        Service {
            cfg,
            leading: false,
            clock: ReplicatedClock::default(),
            next_ticket: 0,
            tickets: collections::BTreeMap::new(),
            proposals: collections::BTreeMap::new(),
            waiting_claims: collections::BTreeMap::new(),
            waiting_claim_expiries: collections::BTreeSet::new(),
            waiting_deadlines: collections::BTreeSet::new(),
            waiting_tokens: collections::BTreeMap::new(),
            advance_ticket: None,
            outputs: collections::VecDeque::new(),
        }
    }

    /// Starts to serve requests after this VM became leader of the shard.
    pub fn become_leader(
        &mut self,
        now: time::Instant,
        wall: time::UnixMillis,
        ledger: &machine::Ledger,
    ) {
        self.leading = true;
        let base = wall.max(ledger.clock());
        self.clock = ReplicatedClock { base, since: now };
        if ledger.limits() != self.cfg.limits {
            let limits = self.cfg.limits;
            self.propose(Proposal::Internal, machine::Command::Configure { limits });
        }
    }

    /// Stops serving requests after this VM lost leadership. All waiting requests receive
    /// [`ServiceReply::NotLeader`], and the gateways send them to the new leader.
    pub fn step_down(&mut self) {
        self.leading = false;
        self.advance_ticket = None;
        self.proposals.clear();
        for proposal in std::mem::take(&mut self.tickets).into_values() {
            self.reply_proposal(&proposal, ServiceReply::NotLeader);
        }
        self.waiting_claim_expiries.clear();
        self.waiting_deadlines.clear();
        self.waiting_tokens.clear();
        for waiter in std::mem::take(&mut self.waiting_claims)
            .into_values()
            .flatten()
        {
            self.reply(waiter.token, ServiceReply::NotLeader);
        }
    }

    /// Handles a gateway's request. `token` identifies it in the reply and must be unique.
    pub fn request(
        &mut self,
        now: time::Instant,
        wall: time::UnixMillis,
        token: u64,
        request: Request,
        ledger: &machine::Ledger,
    ) {
        if !self.leading {
            return self.reply(token, ServiceReply::NotLeader);
        }
        let command = match request {
            Request::Claim {
                key,
                digest,
                holder,
                remaining,
            } => {
                let waiter = Waiter {
                    token,
                    digest,
                    holder,
                    deadline: now + remaining,
                };
                return self.claim(now, wall, key, waiter, ledger);
            }
            Request::Complete {
                key,
                holder,
                response,
            } => machine::Command::Complete {
                key,
                holder,
                response,
            },
            Request::Release { key, holder } => machine::Command::Release { key, holder },
            Request::Fail { key, holder } => machine::Command::Fail { key, holder },
        };
        self.propose(Proposal::Outcome { token }, command);
    }

    /// Records the log index of the proposal with this ticket.
    pub fn proposed(&mut self, ticket: u64, index: types::LogIndex) {
        if self.tickets.contains_key(&ticket) {
            self.proposals.insert(index, ticket);
        }
    }

    /// Records that the proposal with this ticket was not accepted.
    pub fn rejected(&mut self, ticket: u64) {
        if self.advance_ticket == Some(ticket) {
            self.advance_ticket = None;
        }
        if let Some(proposal) = self.tickets.remove(&ticket) {
            self.reply_proposal(&proposal, ServiceReply::NotLeader);
        }
    }

    /// Records that the entry at this index was replaced by an entry of another leader.
    pub fn replaced(&mut self, index: types::LogIndex) {
        if let Some(ticket) = self.proposals.remove(&index) {
            self.rejected(ticket);
        }
    }

    /// Records that the state machine applied `command` at `index` with the result `reply`.
    /// `ledger` is the resulting state.
    pub fn applied(
        &mut self,
        now: time::Instant,
        wall: time::UnixMillis,
        index: types::LogIndex,
        command: &machine::Command,
        reply: machine::Reply,
        ledger: &machine::Ledger,
    ) {
        if let Some(ticket) = self.proposals.remove(&index) {
            if self.advance_ticket == Some(ticket) {
                self.advance_ticket = None;
            }
            if let Some(proposal) = self.tickets.remove(&ticket) {
                self.proposal_applied(proposal, reply);
            }
        }
        if let Some(key) = command.key() {
            self.reply_waiting(now, wall, key, ledger);
        }
        while let Some((expires, key)) = self.waiting_claim_expiries.first().copied() {
            if expires > ledger.clock() {
                break;
            }
            self.waiting_claim_expiries.remove(&(expires, key));
            self.reply_waiting(now, wall, key, ledger);
        }
    }

    /// Proposes `Advance` when a claim has expired or the retention floor can rise by a step, and
    /// replies to resends whose deadline has passed.
    pub fn tick(&mut self, now: time::Instant, wall: time::UnixMillis, ledger: &machine::Ledger) {
        while let Some((deadline, token)) = self.waiting_deadlines.first().copied() {
            if deadline > now {
                break;
            }
            let Some(key) = self.cancel_waiting(token) else {
                break;
            };
            let expires = match ledger.state(key) {
                machine::KeyState::Running { expires } => expires,
                _ => ledger.clock(),
            };
            let reply = machine::Reply::Running { expires };
            self.reply(token, ServiceReply::Reply(reply));
        }
        let time = self.clock.read(now, wall);
        if self.leading && self.advance_ticket.is_none() && self.is_advance_due(time, ledger) {
            let command = machine::Command::Advance { now: time };
            self.advance_ticket = Some(self.propose(Proposal::Internal, command));
        }
    }

    /// Returns the time at which [`Service::tick`] must be called. The event loop also calls it
    /// after each applied command and at least once a second, because the wall clock may be
    /// adjusted.
    pub fn next_deadline(
        &self,
        now: time::Instant,
        wall: time::UnixMillis,
        ledger: &machine::Ledger,
    ) -> Option<time::Instant> {
        let waiter = self
            .waiting_deadlines
            .first()
            .map(|(deadline, _)| *deadline);
        if !self.leading || self.advance_ticket.is_some() {
            return waiter;
        }
        let time = self.clock.read(now, wall);
        let expiry = ledger.next_expiry().map(|expires| {
            let left = expires.0.saturating_sub(time.0);
            now + Duration::from_millis(left)
        });
        [waiter, expiry].into_iter().flatten().min()
    }

    /// Removes a waiting request whose connection ended. Returns the key that it waited for.
    pub fn cancel_waiting(&mut self, token: u64) -> Option<key::Key> {
        let (key, deadline) = self.waiting_tokens.remove(&token)?;
        self.waiting_deadlines.remove(&(deadline, token));
        if let Some(waiters) = self.waiting_claims.get_mut(&key) {
            waiters.retain(|waiter| waiter.token != token);
            if waiters.is_empty() {
                self.waiting_claims.remove(&key);
            }
        }
        Some(key)
    }

    /// Returns the number of resends that wait for an outcome.
    pub fn waiting_count(&self) -> usize {
        self.waiting_deadlines.len()
    }

    /// Returns the next output.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    fn claim(
        &mut self,
        now: time::Instant,
        wall: time::UnixMillis,
        key: key::Key,
        waiter: Waiter,
        ledger: &machine::Ledger,
    ) {
        // A final state never changes, so a reply from the applied state needs no log entry.
        match ledger.peek(key, waiter.digest, waiter.holder) {
            Some(machine::Reply::Running { expires }) => self.enqueue(key, waiter, expires),
            Some(reply) => self.reply(waiter.token, ServiceReply::Reply(reply)),
            None => self.propose_claim(now, wall, key, waiter),
        }
    }

    fn propose_claim(
        &mut self,
        now: time::Instant,
        wall: time::UnixMillis,
        key: key::Key,
        waiter: Waiter,
    ) {
        let time = self.clock.read(now, wall);
        let lifetime = waiter.deadline.since(now) + self.cfg.claim_grace;
        let command = machine::Command::Claim {
            key,
            digest: waiter.digest,
            holder: waiter.holder,
            now: time,
            expires: machine::add_duration(time, lifetime),
        };
        self.propose(Proposal::Claim(key, waiter), command);
    }

    fn propose(&mut self, proposal: Proposal, command: machine::Command) -> u64 {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.tickets.insert(ticket, proposal);
        self.outputs.push_back(Output::Propose { ticket, command });
        ticket
    }

    fn proposal_applied(&mut self, proposal: Proposal, reply: machine::Reply) {
        match (proposal, reply) {
            (Proposal::Claim(key, waiter), machine::Reply::Running { expires }) => {
                self.enqueue(key, waiter, expires);
            }
            (proposal, reply) => self.reply_proposal(&proposal, ServiceReply::Reply(reply)),
        }
    }

    fn enqueue(&mut self, key: key::Key, waiter: Waiter, expires: time::UnixMillis) {
        // A repeated request of the same claim replaces the earlier one.
        let same = |w: &&Waiter| w.holder == waiter.holder;
        let earlier = self
            .waiting_claims
            .get(&key)
            .and_then(|all| all.iter().find(same));
        if let Some(token) = earlier.map(|waiter| waiter.token) {
            self.cancel_waiting(token);
        }
        if self.waiting_deadlines.len() >= self.cfg.max_waiting {
            return self.reply(waiter.token, ServiceReply::Busy);
        }
        self.waiting_claim_expiries.insert((expires, key));
        self.waiting_deadlines
            .insert((waiter.deadline, waiter.token));
        self.waiting_tokens
            .insert(waiter.token, (key, waiter.deadline));
        self.waiting_claims
            .entry(key)
            .or_default()
            .push_back(waiter);
    }

    /// Replies to the resends of a key whose outcome has been applied. After a release the first of
    /// them claims the key and the others continue to wait.
    fn reply_waiting(
        &mut self,
        now: time::Instant,
        wall: time::UnixMillis,
        key: key::Key,
        ledger: &machine::Ledger,
    ) {
        if !self.waiting_claims.contains_key(&key) {
            return;
        }
        if let machine::KeyState::Running { expires } = ledger.state(key) {
            self.waiting_claim_expiries.insert((expires, key));
            return;
        }
        let mut waiters = self.waiting_claims.remove(&key).unwrap_or_default();
        while let Some(waiter) = waiters.pop_front() {
            self.waiting_deadlines
                .remove(&(waiter.deadline, waiter.token));
            self.waiting_tokens.remove(&waiter.token);
            let Some(reply) = ledger.peek(key, waiter.digest, waiter.holder) else {
                self.propose_claim(now, wall, key, waiter);
                break;
            };
            self.reply(waiter.token, ServiceReply::Reply(reply));
        }
        if !waiters.is_empty() {
            self.waiting_claims.insert(key, waiters);
        }
    }

    fn is_advance_due(&self, time: time::UnixMillis, ledger: &machine::Ledger) -> bool {
        if ledger.next_expiry().is_some_and(|expires| expires <= time) {
            return true;
        }
        let kept_since = machine::add_duration(
            ledger.retention_floor(),
            machine::KEY_RETENTION + self.cfg.retention_floor_step,
        );
        !ledger.is_empty() && kept_since <= time
    }

    fn reply_proposal(&mut self, proposal: &Proposal, reply: ServiceReply) {
        match proposal {
            Proposal::Claim(_, waiter) => self.reply(waiter.token, reply),
            Proposal::Outcome { token } => self.reply(*token, reply),
            Proposal::Internal => {}
        }
    }

    fn reply(&mut self, token: u64, reply: ServiceReply) {
        self.outputs.push_back(Output::Reply { token, reply });
    }
}
