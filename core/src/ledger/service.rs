//! Leader side of a ledger shard.

use std::{collections, time::Duration};

use super::request::{Output, Request, ServiceReply};
use super::{digest, key, machine};
use crate::{time, types};

/// Settings of [`Service`].
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    /// Time that a claim outlives its call's deadline. It covers the commit of the outcome during an
    /// election of 1 s.
    pub grace: Duration,
    /// Step by which the floor is raised. A larger step costs fewer log entries and keeps keys
    /// longer by at most one step.
    pub floor_step: Duration,
    /// Most resends that wait for an outcome.
    pub max_waiting: usize,
    /// Bounds to put in force, if they differ from those of the replicated state.
    pub limits: machine::Limits,
}

impl Default for ServiceConfig {
    fn default() -> Self {
        ServiceConfig {
            grace: Duration::from_secs(2),
            floor_step: Duration::from_secs(60),
            max_waiting: 10_000,
            limits: machine::Limits::default(),
        }
    }
}

#[derive(Clone, Debug)]
struct Waiter {
    token: u64,
    digest: digest::Digest,
    holder: machine::Holder,
    deadline: time::Instant,
}

#[derive(Clone, Debug)]
enum Pending {
    Claim(key::Key, Waiter),
    End { token: u64 },
    Own,
}

/// Replicated time as the leader counts it. It never runs behind the ledger's clock, and goes on
/// with the monotonic clock when this VM's wall clock is behind that of an earlier leader.
#[derive(Clone, Copy, Debug, Default)]
struct Timekeeper {
    base: time::UnixMillis,
    since: time::Instant,
}

impl Timekeeper {
    fn read(&self, now: time::Instant, wall: time::UnixMillis) -> time::UnixMillis {
        wall.max(machine::plus(self.base, now.since(self.since)))
    }
}

/// Turns requests of gateways into proposals and their results into answers.
#[derive(Debug)]
pub struct Service {
    cfg: ServiceConfig,
    leading: bool,
    clock: Timekeeper,
    next_ticket: u64,
    tickets: collections::BTreeMap<u64, Pending>,
    proposals: collections::BTreeMap<types::LogIndex, u64>,
    parked: collections::BTreeMap<key::Key, collections::VecDeque<Waiter>>,
    // Expiry of the claim that parked resends wait for, and deadlines of the resends.
    parked_expiries: collections::BTreeSet<(time::UnixMillis, key::Key)>,
    parked_deadlines: collections::BTreeSet<(time::Instant, u64)>,
    parked_tokens: collections::BTreeMap<u64, (key::Key, time::Instant)>,
    advancing: Option<u64>,
    outputs: collections::VecDeque<Output>,
}

impl Service {
    /// Creates the helper of a VM that does not lead the shard.
    pub fn new(cfg: ServiceConfig) -> Self {
        Service {
            cfg,
            leading: false,
            clock: Timekeeper::default(),
            next_ticket: 0,
            tickets: collections::BTreeMap::new(),
            proposals: collections::BTreeMap::new(),
            parked: collections::BTreeMap::new(),
            parked_expiries: collections::BTreeSet::new(),
            parked_deadlines: collections::BTreeSet::new(),
            parked_tokens: collections::BTreeMap::new(),
            advancing: None,
            outputs: collections::VecDeque::new(),
        }
    }

    /// This VM became leader of the shard.
    pub fn lead(&mut self, now: time::Instant, wall: time::UnixMillis, ledger: &machine::Ledger) {
        self.leading = true;
        let base = wall.max(ledger.clock());
        self.clock = Timekeeper { base, since: now };
        if ledger.limits() != self.cfg.limits {
            let limits = self.cfg.limits;
            self.propose(Pending::Own, machine::Command::Configure { limits });
        }
    }

    /// This VM stopped leading the shard. All waiting requests are answered, and the gateways ask
    /// the new leader.
    pub fn step_down(&mut self) {
        self.leading = false;
        self.advancing = None;
        self.proposals.clear();
        for pending in std::mem::take(&mut self.tickets).into_values() {
            self.answer_pending(&pending, ServiceReply::NotLeader);
        }
        self.parked_expiries.clear();
        self.parked_deadlines.clear();
        self.parked_tokens.clear();
        for waiter in std::mem::take(&mut self.parked).into_values().flatten() {
            self.answer(waiter.token, ServiceReply::NotLeader);
        }
    }

    /// A gateway's request arrived. `token` names it in the answer and must be unique.
    pub fn request(
        &mut self,
        now: time::Instant,
        wall: time::UnixMillis,
        token: u64,
        request: Request,
        ledger: &machine::Ledger,
    ) {
        if !self.leading {
            return self.answer(token, ServiceReply::NotLeader);
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
                answer,
            } => machine::Command::Complete {
                key,
                holder,
                answer,
            },
            Request::Release { key, holder } => machine::Command::Release { key, holder },
            Request::Fail { key, holder } => machine::Command::Fail { key, holder },
        };
        self.propose(Pending::End { token }, command);
    }

    /// The proposal with this ticket has this place in the log.
    pub fn proposed(&mut self, ticket: u64, index: types::LogIndex) {
        if self.tickets.contains_key(&ticket) {
            self.proposals.insert(index, ticket);
        }
    }

    /// The proposal with this ticket was not accepted.
    pub fn rejected(&mut self, ticket: u64) {
        if self.advancing == Some(ticket) {
            self.advancing = None;
        }
        if let Some(pending) = self.tickets.remove(&ticket) {
            self.answer_pending(&pending, ServiceReply::NotLeader);
        }
    }

    /// The entry at this index was replaced by that of another leader.
    pub fn replaced(&mut self, index: types::LogIndex) {
        if let Some(ticket) = self.proposals.remove(&index) {
            self.rejected(ticket);
        }
    }

    /// The state machine applied `command` at `index` with the result `reply`; `ledger` is the state
    /// after it.
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
            if self.advancing == Some(ticket) {
                self.advancing = None;
            }
            if let Some(pending) = self.tickets.remove(&ticket) {
                self.conclude(pending, reply);
            }
        }
        if let Some(key) = command.key() {
            self.resolve(now, wall, key, ledger);
        }
        while let Some((expires, key)) = self.parked_expiries.first().copied() {
            if expires > ledger.clock() {
                break;
            }
            self.parked_expiries.remove(&(expires, key));
            self.resolve(now, wall, key, ledger);
        }
    }

    /// Proposes `Advance` when a claim has expired or the floor can rise by a step, and answers
    /// resends whose deadline has passed.
    pub fn tick(&mut self, now: time::Instant, wall: time::UnixMillis, ledger: &machine::Ledger) {
        while let Some((deadline, token)) = self.parked_deadlines.first().copied() {
            if deadline > now {
                break;
            }
            let Some(key) = self.forget(token) else {
                break;
            };
            let expires = match ledger.state(key) {
                machine::KeyState::Running { expires } => expires,
                _ => ledger.clock(),
            };
            let reply = machine::Reply::Running { expires };
            self.answer(token, ServiceReply::Reply(reply));
        }
        let time = self.clock.read(now, wall);
        if self.leading && self.advancing.is_none() && self.is_advance_due(time, ledger) {
            let command = machine::Command::Advance { now: time };
            self.advancing = Some(self.propose(Pending::Own, command));
        }
    }

    /// Time at which [`Service::tick`] must be called. The loop also calls it after each applied
    /// command and at least once a second, since `wall` may be set.
    pub fn next_deadline(
        &self,
        now: time::Instant,
        wall: time::UnixMillis,
        ledger: &machine::Ledger,
    ) -> Option<time::Instant> {
        let waiter = self.parked_deadlines.first().map(|(deadline, _)| *deadline);
        if !self.leading || self.advancing.is_some() {
            return waiter;
        }
        let time = self.clock.read(now, wall);
        let expiry = ledger.next_expiry().map(|expires| {
            let left = expires.0.saturating_sub(time.0);
            now + Duration::from_millis(left)
        });
        [waiter, expiry].into_iter().flatten().min()
    }

    /// The connection of a waiting request ended. Returns the key that it waited for.
    pub fn forget(&mut self, token: u64) -> Option<key::Key> {
        let (key, deadline) = self.parked_tokens.remove(&token)?;
        self.parked_deadlines.remove(&(deadline, token));
        if let Some(waiters) = self.parked.get_mut(&key) {
            waiters.retain(|waiter| waiter.token != token);
            if waiters.is_empty() {
                self.parked.remove(&key);
            }
        }
        Some(key)
    }

    /// Number of resends that wait for an outcome.
    pub fn waiting(&self) -> usize {
        self.parked_deadlines.len()
    }

    /// Takes the next output.
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
        // What is settled in the applied state stays true, so that it needs no log entry.
        match ledger.peek(key, waiter.digest, waiter.holder) {
            Some(machine::Reply::Running { expires }) => self.park(key, waiter, expires),
            Some(reply) => self.answer(waiter.token, ServiceReply::Reply(reply)),
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
        let lifetime = waiter.deadline.since(now) + self.cfg.grace;
        let command = machine::Command::Claim {
            key,
            digest: waiter.digest,
            holder: waiter.holder,
            now: time,
            expires: machine::plus(time, lifetime),
        };
        self.propose(Pending::Claim(key, waiter), command);
    }

    fn propose(&mut self, pending: Pending, command: machine::Command) -> u64 {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.tickets.insert(ticket, pending);
        self.outputs.push_back(Output::Propose { ticket, command });
        ticket
    }

    fn conclude(&mut self, pending: Pending, reply: machine::Reply) {
        match (pending, reply) {
            (Pending::Claim(key, waiter), machine::Reply::Running { expires }) => {
                self.park(key, waiter, expires);
            }
            (pending, reply) => self.answer_pending(&pending, ServiceReply::Reply(reply)),
        }
    }

    fn park(&mut self, key: key::Key, waiter: Waiter, expires: time::UnixMillis) {
        // A claim that asks again replaces its earlier request.
        let same = |w: &&Waiter| w.holder == waiter.holder;
        let earlier = self.parked.get(&key).and_then(|all| all.iter().find(same));
        if let Some(token) = earlier.map(|waiter| waiter.token) {
            self.forget(token);
        }
        if self.parked_deadlines.len() >= self.cfg.max_waiting {
            return self.answer(waiter.token, ServiceReply::Busy);
        }
        self.parked_expiries.insert((expires, key));
        self.parked_deadlines
            .insert((waiter.deadline, waiter.token));
        self.parked_tokens
            .insert(waiter.token, (key, waiter.deadline));
        self.parked.entry(key).or_default().push_back(waiter);
    }

    /// Answers the resends of a key whose outcome is there. After a release the first of them
    /// claims the key and the others go on waiting.
    fn resolve(
        &mut self,
        now: time::Instant,
        wall: time::UnixMillis,
        key: key::Key,
        ledger: &machine::Ledger,
    ) {
        if !self.parked.contains_key(&key) {
            return;
        }
        if let machine::KeyState::Running { expires } = ledger.state(key) {
            self.parked_expiries.insert((expires, key));
            return;
        }
        let mut waiters = self.parked.remove(&key).unwrap_or_default();
        while let Some(waiter) = waiters.pop_front() {
            self.parked_deadlines
                .remove(&(waiter.deadline, waiter.token));
            self.parked_tokens.remove(&waiter.token);
            let Some(reply) = ledger.peek(key, waiter.digest, waiter.holder) else {
                self.propose_claim(now, wall, key, waiter);
                break;
            };
            self.answer(waiter.token, ServiceReply::Reply(reply));
        }
        if !waiters.is_empty() {
            self.parked.insert(key, waiters);
        }
    }

    fn is_advance_due(&self, time: time::UnixMillis, ledger: &machine::Ledger) -> bool {
        if ledger.next_expiry().is_some_and(|expires| expires <= time) {
            return true;
        }
        let kept_since = machine::plus(ledger.floor(), machine::RETENTION + self.cfg.floor_step);
        !ledger.is_empty() && kept_since <= time
    }

    fn answer_pending(&mut self, pending: &Pending, reply: ServiceReply) {
        match pending {
            Pending::Claim(_, waiter) => self.answer(waiter.token, reply),
            Pending::End { token } => self.answer(*token, reply),
            Pending::Own => {}
        }
    }

    fn answer(&mut self, token: u64, reply: ServiceReply) {
        self.outputs.push_back(Output::Answer { token, reply });
    }
}
