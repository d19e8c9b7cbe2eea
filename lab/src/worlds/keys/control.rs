//! Simulated control VMs: the replicas of one ledger shard and the leader of group 0.
//!
//! The ledger and the containment leader are those of the core. Replication and elections are
//! simulated: a committed entry is applied at once on all connected VMs.

use std::{collections, time::Duration};

use rand::Rng;
use wagtailshunt_core::{containment, ledger, time, types};

use super::sim::{Event, Sim, ToGateway, ToNode};

/// Wall clock at the start of virtual time, in milliseconds since the Unix epoch.
const START_UNIX_MS: u64 = 1_900_000_000_000;

/// Number of control VMs.
const NODES: usize = 3;

/// One control VM.
#[derive(Debug)]
pub(super) struct Node {
    ledger: ledger::Ledger,
    service: ledger::Service,
    up: bool,
    /// Partitioned from the other control VMs, but not from gateways.
    partitioned: bool,
    /// The VM considers itself the leader; true for a while after it was deposed.
    leading: bool,
    /// Entries that are proposed but not committed.
    tail: collections::VecDeque<ledger::Command>,
    /// Index of the last applied entry.
    applied: u64,
}

/// A ledger request that has not been answered, with the address of its reply.
#[derive(Clone, Copy, Debug)]
struct PendingReply {
    gateway: usize,
    incarnation: u64,
    holder: ledger::Holder,
    key: ledger::Key,
}

/// All control VMs.
#[derive(Debug)]
pub(super) struct Control {
    nodes: Vec<Node>,
    /// The elected leader.
    pub(super) elected: Option<usize>,
    term: u64,
    quorum: bool,
    /// Uncommitted entries of the previous leader. The next leader has a random prefix of them.
    old_leader_tail: collections::VecDeque<ledger::Command>,
    /// Requests without a reply, by token.
    pending_replies: collections::BTreeMap<u64, PendingReply>,
    next_token: u64,
    /// Granted claims with their expiry, for the setting `expiry_is_unknown off`.
    claims: collections::BTreeMap<ledger::Key, (ledger::Holder, time::UnixMillis)>,
    pub(super) containment: containment::Leader,
}

fn new_service(waiting: bool) -> ledger::Service {
    let mut cfg = ledger::ServiceConfig::default();
    if !waiting {
        cfg.max_waiting = 0;
    }
    ledger::Service::new(cfg)
}

impl Control {
    pub(super) fn new(waiting: bool) -> Self {
        let node = || Node {
            ledger: ledger::Ledger::new(),
            service: new_service(waiting),
            up: true,
            partitioned: false,
            leading: false,
            tail: collections::VecDeque::new(),
            applied: 0,
        };
        let since = time::Instant(0);
        Control {
            nodes: std::iter::repeat_with(node).take(NODES).collect(),
            elected: None,
            term: 0,
            quorum: true,
            old_leader_tail: collections::VecDeque::new(),
            pending_replies: collections::BTreeMap::new(),
            next_token: 0,
            claims: collections::BTreeMap::new(),
            containment: containment::Leader::new(containment::LeaderConfig::default(), since),
        }
    }

    /// Returns the number of keys in the ledger of the elected leader.
    pub(super) fn keys(&self) -> usize {
        let elected = self.elected.map(|node| &self.nodes[node]);
        elected.map_or(0, |node| node.ledger.len())
    }
}

impl Sim {
    pub(super) fn wall(&self) -> time::UnixMillis {
        time::UnixMillis(START_UNIX_MS + self.now.0 / 1_000)
    }

    /// Handles a message of a gateway at a control VM.
    pub(super) fn node_receives(&mut self, node: usize, message: ToNode) {
        if !self.control.nodes[node].up {
            return;
        }
        match message {
            ToNode::Ledger {
                gateway,
                incarnation,
                request,
            } => {
                self.control.next_token += 1;
                let token = self.control.next_token;
                let pending = PendingReply {
                    gateway,
                    incarnation,
                    holder: request.holder(),
                    key: request.key(),
                };
                self.control.pending_replies.insert(token, pending);
                let (now, wall) = (self.now, self.wall());
                let node_state = &mut self.control.nodes[node];
                let ledger = &node_state.ledger;
                node_state
                    .service
                    .request(now, wall, token, request, ledger);
                self.drain_service(node);
            }
            ToNode::Containment { gateway, output } => {
                if self.control.elected == Some(node) {
                    self.containment_receives(gateway, output);
                }
            }
        }
    }

    fn containment_receives(&mut self, gateway: usize, output: containment::Output) {
        let now = self.now;
        let vm = types::VmId(gateway as u32 + 1);
        let leader = &mut self.control.containment;
        match output {
            containment::Output::PossibleLoss(doubt) => leader.possible_loss(now, &doubt),
            containment::Output::LossRuledOut(doubt) => leader.loss_ruled_out(now, &doubt),
            containment::Output::LossConfirmed(report) => leader.loss_confirmed(now, &report),
            containment::Output::RequestPermit(request) => leader.request_permit(now, vm, &request),
            containment::Output::RunEnded(done) => {
                let answered = done.result == containment::RunResult::Answered;
                if self.settings.clearing || !answered {
                    leader.run_ended(now, vm, &done);
                }
            }
        }
        self.drain_containment();
    }

    /// Connects a gateway to a new leader of group 0: it sends its records of suspects and blocks
    /// and its pending permit requests, and receives the records of the leader.
    pub(super) fn gateway_connects(&mut self, gateway: usize) {
        if self.control.elected.is_none() || !self.gateways[gateway].up {
            return;
        }
        let now = self.now;
        if self.settings.rebuild {
            let known = self.gateways[gateway].local_containment.rebuild(now);
            let vm = types::VmId(gateway as u32 + 1);
            self.control.containment.rebuild(now, vm, &known);
            self.drain_containment();
        }
        let records = self.control.containment.list(now);
        self.send_to_gateway(gateway, ToGateway::Records(records));
        for request in self.gateways[gateway]
            .local_containment
            .pending_requests(now)
        {
            let output = containment::Output::RequestPermit(request);
            self.containment_receives(gateway, output);
        }
    }

    pub(super) fn drain_containment(&mut self) {
        while let Some(output) = self.control.containment.poll_output() {
            match output {
                containment::LeaderOutput::Publish(notice) => {
                    for gateway in 0..self.gateways.len() {
                        self.send_to_gateway(gateway, ToGateway::Notice(notice.clone()));
                    }
                }
                containment::LeaderOutput::Reply {
                    vm,
                    call,
                    fingerprint,
                    reply,
                } => {
                    let permit = ToGateway::Permit {
                        call,
                        fingerprint,
                        reply,
                    };
                    self.send_to_gateway(vm.0 as usize - 1, permit);
                }
            }
        }
    }

    fn drain_service(&mut self, node: usize) {
        while let Some(output) = self.control.nodes[node].service.poll_output() {
            match output {
                ledger::Output::Propose { ticket, command } => self.propose(node, ticket, command),
                ledger::Output::Reply { token, reply } => {
                    let Some(pending) = self.control.pending_replies.remove(&token) else {
                        continue;
                    };
                    self.send_reply(node, pending, reply);
                }
            }
        }
    }

    fn send_reply(&mut self, node: usize, pending: PendingReply, reply: ledger::ServiceReply) {
        let granted = reply == ledger::ServiceReply::Reply(ledger::Reply::Granted);
        let delayed = self.grant_delay.take_if(|_| granted);
        let event = Event::ToGateway {
            gateway: pending.gateway,
            incarnation: pending.incarnation,
            message: ToGateway::Reply {
                node,
                key: pending.key,
                holder: pending.holder,
                reply,
            },
        };
        match delayed {
            Some(delay) => self.schedule(delay, event),
            None => self.send_unreliably(event),
        }
    }

    fn propose(&mut self, node: usize, ticket: u64, command: ledger::Command) {
        let state = &mut self.control.nodes[node];
        state.tail.push_back(command);
        let index = state.applied + state.tail.len() as u64;
        state.service.proposed(ticket, types::LogIndex(index));
        let term = self.control.term;
        let delay = self.message_delay() * 2;
        self.schedule(delay, Event::Commit { node, term, index });
    }

    /// Commits the entries up to `index`, which a quorum has stored.
    pub(super) fn commit(&mut self, node: usize, term: u64, index: u64) {
        if self.control.elected != Some(node) || self.control.term != term {
            return;
        }
        while self.control.nodes[node].applied < index {
            let Some(command) = self.control.nodes[node].tail.pop_front() else {
                return;
            };
            self.apply(node, &command);
        }
    }

    /// Applies a committed entry on all control VMs that are connected.
    fn apply(&mut self, leader: usize, command: &ledger::Command) {
        let (now, wall) = (self.now, self.wall());
        let forgets = self.emulate_missing_mechanism(command);
        let connected = |node: &Node| node.up && !node.partitioned;
        for number in 0..NODES {
            let node = &mut self.control.nodes[number];
            if !connected(node) {
                continue;
            }
            let next = types::LogIndex(node.ledger.applied().0 + 1);
            let reply = match forgets {
                true => ledger::Reply::Done,
                false => node.ledger.apply(next, command),
            };
            // Without a retention floor, a ledger treats an old key as a new one.
            let reply = match reply {
                ledger::Reply::TooOld if !self.settings.floor => ledger::Reply::Granted,
                reply => reply,
            };
            node.applied += 1;
            if number != leader {
                continue;
            }
            if let (
                ledger::Command::Claim {
                    key,
                    holder,
                    expires,
                    ..
                },
                ledger::Reply::Granted,
            ) = (command, &reply)
            {
                self.control.claims.insert(*key, (*holder, *expires));
            }
            let index = types::LogIndex(node.applied);
            let ledger = &node.ledger;
            node.service
                .applied(now, wall, index, command, reply, ledger);
        }
        self.drain_service(leader);
    }

    /// Emulates a ledger without expiry or without a retention floor if the settings disable them.
    /// Returns true if all keys were removed in place of the command.
    fn emulate_missing_mechanism(&mut self, command: &ledger::Command) -> bool {
        let ledger::Command::Advance { now } = command else {
            return false;
        };
        if !self.settings.floor && now.0 >= START_UNIX_MS + 24 * 3_600_000 {
            for node in &mut self.control.nodes {
                node.ledger = ledger::Ledger::new();
            }
            return true;
        }
        if self.settings.expiry_is_unknown {
            return false;
        }
        let expired = |(_, (_, expires)): &(&ledger::Key, &(ledger::Holder, _))| *expires <= *now;
        let claims = self.control.claims.iter().filter(expired);
        let releases: Vec<_> = claims.map(|(key, (holder, _))| (*key, *holder)).collect();
        for (key, holder) in releases {
            let release = ledger::Command::Release { key, holder };
            for node in self
                .control
                .nodes
                .iter_mut()
                .filter(|n| n.up && !n.partitioned)
            {
                let next = types::LogIndex(node.ledger.applied().0 + 1);
                node.ledger.apply(next, &release);
            }
            self.control.claims.remove(&key);
        }
        false
    }

    /// Crashes the leader, or partitions it from the other control VMs. A partitioned leader steps
    /// down after 1 s.
    pub(super) fn lose_leader(&mut self, crash: bool) {
        let Some(node) = self.control.elected.take() else {
            return;
        };
        let how = if crash { "crashes" } else { "is cut off" };
        self.add_line(format!("control {} {how}", node + 1));
        self.control.term += 1;
        let state = &mut self.control.nodes[node];
        self.control.old_leader_tail = state.tail.clone();
        if crash {
            state.up = false;
            state.leading = false;
            state.service = new_service(self.settings.waiting);
        } else {
            state.partitioned = true;
            let later = Duration::from_secs(1);
            self.schedule(later, Event::Deposed { node });
        }
        let term = self.control.term;
        let election = self.settings.election;
        if self.control.quorum {
            self.schedule(election, Event::Elected { term });
        }
        self.schedule(election * 3, Event::NodeReturns { node });
    }

    /// Sets whether control has a quorum. Without one, the leader steps down after 1 s.
    pub(super) fn set_quorum(&mut self, quorum: bool) {
        if self.control.quorum == quorum {
            return;
        }
        self.control.quorum = quorum;
        if quorum {
            let term = self.control.term;
            let election = self.settings.election;
            return self.schedule(election, Event::Elected { term });
        }
        self.add_line("quorum of control lost".to_owned());
        if let Some(node) = self.control.elected.take() {
            self.control.term += 1;
            self.control.old_leader_tail = self.control.nodes[node].tail.clone();
            let later = Duration::from_secs(1);
            self.schedule(later, Event::Deposed { node });
        }
    }

    /// Makes a former leader step down and drop its uncommitted entries.
    pub(super) fn deposed(&mut self, node: usize) {
        let state = &mut self.control.nodes[node];
        if !state.leading || self.control.elected == Some(node) {
            return;
        }
        state.leading = false;
        state.tail.clear();
        state.service.step_down();
        self.drain_service(node);
    }

    /// Elects a random connected VM, which may have received some of the old leader's entries.
    pub(super) fn elected(&mut self, term: u64) {
        let stale = self.control.term != term || !self.control.quorum;
        if stale || self.control.elected.is_some() {
            return;
        }
        let eligible = |node: &Node| node.up && !node.partitioned;
        let nodes: Vec<usize> = (0..NODES)
            .filter(|number| eligible(&self.control.nodes[*number]))
            .collect();
        if nodes.is_empty() {
            return self.schedule(self.settings.election, Event::Elected { term });
        }
        let node = nodes[self.rng.random_range(0..nodes.len())];
        self.deposed(node);
        self.add_line(format!("control {} leads", node + 1));
        self.control.elected = Some(node);
        self.control.nodes[node].tail.clear();
        let old_leader_tail = std::mem::take(&mut self.control.old_leader_tail);
        let received = self.rng.random_range(0..=old_leader_tail.len());
        for command in old_leader_tail.iter().take(received) {
            self.apply(node, command);
        }
        let (now, wall) = (self.now, self.wall());
        let state = &mut self.control.nodes[node];
        state.leading = true;
        state.service.become_leader(now, wall, &state.ledger);
        self.drain_service(node);
        let cfg = containment::LeaderConfig::default();
        self.control.containment = containment::Leader::new(cfg, now);
        for gateway in 0..self.gateways.len() {
            let message_delay = self.message_delay();
            self.schedule(message_delay, Event::GatewayConnects { gateway });
        }
    }

    /// Reconnects a lost control VM, which restores a snapshot of the leader.
    pub(super) fn node_returns(&mut self, node: usize) {
        let Some(elected) = self.control.elected else {
            return self.schedule(self.settings.election, Event::NodeReturns { node });
        };
        self.deposed(node);
        let snapshot = self.control.nodes[elected].ledger.snapshot();
        let applied = self.control.nodes[elected].applied;
        let state = &mut self.control.nodes[node];
        state.ledger = ledger::Ledger::restore(&snapshot).unwrap_or_default();
        state.applied = applied;
        state.tail.clear();
        state.up = true;
        state.partitioned = false;
    }

    /// Runs the timers of the control VMs.
    pub(super) fn control_tick(&mut self) {
        let (now, wall) = (self.now, self.wall());
        for node in 0..NODES {
            let state = &mut self.control.nodes[node];
            if state.leading && state.up {
                state.service.tick(now, wall, &state.ledger);
                self.drain_service(node);
            }
        }
        if self.control.elected.is_some() {
            self.control.containment.tick(now);
            self.drain_containment();
        }
    }
}
