//! Fake control VMs: a ledger shard whose log is replicated by fiat, and the leader of group 0.

use std::{collections, time::Duration};

use rand::Rng;
use wagtailshunt_core::{containment, ledger, time, types};

use super::sim::{Event, Sim, ToGateway, ToNode};

/// Wall clock at the start of virtual time.
const EPOCH: u64 = 1_900_000_000_000;

const NODES: usize = 3;

/// One control VM.
#[derive(Debug)]
pub(super) struct Node {
    ledger: ledger::Ledger,
    service: ledger::Service,
    up: bool,
    /// Cut off from the other control VMs, but not from gateways.
    cut: bool,
    leading: bool,
    /// Entries that were proposed and are not committed.
    tail: collections::VecDeque<ledger::Command>,
    /// Index of the last applied entry.
    applied: u64,
}

/// A request whose answer is due.
#[derive(Clone, Copy, Debug)]
struct Asker {
    gateway: usize,
    incarnation: u64,
    holder: ledger::Holder,
    key: ledger::Key,
}

/// All control VMs.
#[derive(Debug)]
pub(super) struct Control {
    nodes: Vec<Node>,
    pub(super) elected: Option<usize>,
    term: u64,
    quorum: bool,
    /// Entries of the lost leader's tail, a part of which reached another VM.
    orphans: collections::VecDeque<ledger::Command>,
    askers: collections::BTreeMap<u64, Asker>,
    next_token: u64,
    /// Granted claims, for the setting `expiry_is_unknown off`.
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
            cut: false,
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
            orphans: collections::VecDeque::new(),
            askers: collections::BTreeMap::new(),
            next_token: 0,
            claims: collections::BTreeMap::new(),
            containment: containment::Leader::new(containment::LeaderConfig::default(), since),
        }
    }

    /// Number of keys at the elected leader.
    pub(super) fn keys(&self) -> usize {
        let elected = self.elected.map(|node| &self.nodes[node]);
        elected.map_or(0, |node| node.ledger.len())
    }
}

impl Sim {
    pub(super) fn wall(&self) -> time::UnixMillis {
        time::UnixMillis(EPOCH + self.now.0 / 1_000)
    }

    /// A message of a gateway arrives at a control VM.
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
                let asker = Asker {
                    gateway,
                    incarnation,
                    holder: request.holder(),
                    key: request.key(),
                };
                self.control.askers.insert(token, asker);
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

    /// A gateway that connects to a new leader of group 0 tells what it knows.
    pub(super) fn gateway_connects(&mut self, gateway: usize) {
        if self.control.elected.is_none() || !self.gateways[gateway].up {
            return;
        }
        let now = self.now;
        if self.settings.rebuild {
            let known = self.gateways[gateway].guard.rebuild(now);
            let vm = types::VmId(gateway as u32 + 1);
            self.control.containment.rebuild(now, vm, &known);
            self.drain_containment();
        }
        let records = self.control.containment.list(now);
        self.send_to_gateway(gateway, ToGateway::Records(records));
        for request in self.gateways[gateway].guard.pending_requests(now) {
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
                    let Some(asker) = self.control.askers.remove(&token) else {
                        continue;
                    };
                    self.send_reply(node, asker, reply);
                }
            }
        }
    }

    fn send_reply(&mut self, node: usize, asker: Asker, reply: ledger::ServiceReply) {
        let granted = reply == ledger::ServiceReply::Reply(ledger::Reply::Granted);
        let delayed = self.grant_delay.take_if(|_| granted);
        let event = Event::ToGateway {
            gateway: asker.gateway,
            incarnation: asker.incarnation,
            message: ToGateway::Reply {
                node,
                key: asker.key,
                holder: asker.holder,
                reply,
            },
        };
        match delayed {
            Some(delay) => self.after(delay, event),
            None => self.unreliable(event),
        }
    }

    fn propose(&mut self, node: usize, ticket: u64, command: ledger::Command) {
        let state = &mut self.control.nodes[node];
        state.tail.push_back(command);
        let index = state.applied + state.tail.len() as u64;
        state.service.proposed(ticket, types::LogIndex(index));
        let term = self.control.term;
        let delay = self.hop() * 2;
        self.after(delay, Event::Commit { node, term, index });
    }

    /// A quorum has stored the entries up to `index`.
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
        let forgets = self.mutate(command);
        let connected = |node: &Node| node.up && !node.cut;
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
            // A ledger without a floor takes an old key for a new one.
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

    /// Imitates a ledger without expiry or floor, as far as the settings ask for it. Returns whether
    /// the command was replaced by forgetting all keys.
    fn mutate(&mut self, command: &ledger::Command) -> bool {
        let ledger::Command::Advance { now } = command else {
            return false;
        };
        if !self.settings.floor && now.0 >= EPOCH + 24 * 3_600_000 {
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
            for node in self.control.nodes.iter_mut().filter(|n| n.up && !n.cut) {
                let next = types::LogIndex(node.ledger.applied().0 + 1);
                node.ledger.apply(next, &release);
            }
            self.control.claims.remove(&key);
        }
        false
    }

    /// The leader is lost: it crashes, or it is cut off from the other control VMs and goes on
    /// believing that it leads for a while.
    pub(super) fn lose_leader(&mut self, crash: bool) {
        let Some(node) = self.control.elected.take() else {
            return;
        };
        let how = if crash { "crashes" } else { "is cut off" };
        self.line(format!("control {} {how}", node + 1));
        self.control.term += 1;
        let state = &mut self.control.nodes[node];
        self.control.orphans = state.tail.clone();
        if crash {
            state.up = false;
            state.leading = false;
            state.service = new_service(self.settings.waiting);
        } else {
            state.cut = true;
            let later = Duration::from_secs(1);
            self.after(later, Event::Deposed { node });
        }
        let term = self.control.term;
        let election = self.settings.election;
        if self.control.quorum {
            self.after(election, Event::Elected { term });
        }
        self.after(election * 3, Event::NodeReturns { node });
    }

    /// Sets whether a quorum of control can be reached.
    pub(super) fn set_quorum(&mut self, quorum: bool) {
        if self.control.quorum == quorum {
            return;
        }
        self.control.quorum = quorum;
        if quorum {
            let term = self.control.term;
            let election = self.settings.election;
            return self.after(election, Event::Elected { term });
        }
        self.line("quorum of control lost".to_owned());
        if let Some(node) = self.control.elected.take() {
            self.control.term += 1;
            self.control.orphans = self.control.nodes[node].tail.clone();
            let later = Duration::from_secs(1);
            self.after(later, Event::Deposed { node });
        }
    }

    /// A former leader notices that it no longer leads.
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

    /// Another VM wins the election. It may have received some of the old leader's entries.
    pub(super) fn elected(&mut self, term: u64) {
        let stale = self.control.term != term || !self.control.quorum;
        if stale || self.control.elected.is_some() {
            return;
        }
        let eligible = |node: &Node| node.up && !node.cut;
        let nodes: Vec<usize> = (0..NODES)
            .filter(|number| eligible(&self.control.nodes[*number]))
            .collect();
        if nodes.is_empty() {
            return self.after(self.settings.election, Event::Elected { term });
        }
        let node = nodes[self.rng.random_range(0..nodes.len())];
        self.deposed(node);
        self.line(format!("control {} leads", node + 1));
        self.control.elected = Some(node);
        self.control.nodes[node].tail.clear();
        let orphans = std::mem::take(&mut self.control.orphans);
        let received = self.rng.random_range(0..=orphans.len());
        for command in orphans.iter().take(received) {
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
            let hop = self.hop();
            self.after(hop, Event::Connects { gateway });
        }
    }

    /// A lost control VM comes back and restores a snapshot of the leader.
    pub(super) fn node_returns(&mut self, node: usize) {
        let Some(elected) = self.control.elected else {
            return self.after(self.settings.election, Event::NodeReturns { node });
        };
        self.deposed(node);
        let snapshot = self.control.nodes[elected].ledger.snapshot();
        let applied = self.control.nodes[elected].applied;
        let state = &mut self.control.nodes[node];
        state.ledger = ledger::Ledger::restore(&snapshot).unwrap_or_default();
        state.applied = applied;
        state.tail.clear();
        state.up = true;
        state.cut = false;
    }

    /// Timers of the control VMs.
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
