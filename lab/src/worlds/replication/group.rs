//! Runs the nodes of a group in virtual time: carries out their outputs on fake networks and disks.

use std::{collections, time::Duration};

use bytes::{BufMut, Bytes, BytesMut};
use rand::{SeedableRng, rngs};
use wagtailshunt::disk;
use wagtailshunt_core::replication::{
    AppendReply, MembershipChange, Message, Output, ProposeError, Role,
};
use wagtailshunt_core::types::{LogIndex, Term, VmId};
use wagtailshunt_core::{storage, time};

use super::checker::{Checker, DigestStateMachine};
use super::network::Network;
use super::settings::Settings;
use super::vm::Vm;
use crate::scenario::Line;

/// Delay before a batch that failed on a full disk is written again.
const FULL_DISK_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Interval between two attempts of a membership change.
const MEMBERSHIP_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// A scheduled event.
#[derive(Debug)]
enum Event {
    Deliver {
        from: VmId,
        to: VmId,
        msg: Message,
    },
    Write {
        vm: VmId,
        incarnation: u64,
        ticket: Option<u64>,
        ops: Vec<storage::Op>,
    },
    MembershipStep,
}

/// VMs of a group with their network, scheduled events and checker.
#[derive(Debug)]
pub(super) struct Group {
    pub(super) settings: Settings,
    pub(super) seed: u64,
    pub(super) rng: rngs::SmallRng,
    pub(super) network: Network,
    pub(super) vms: collections::BTreeMap<VmId, Vm>,
    pub(super) checker: Checker,
    pub(super) lines: Vec<Line>,
    /// Number of accepted commands at the last `mark`.
    pub(super) accepted_at_mark: u64,
    /// Membership changes still to be made, in order.
    pub(super) membership_plan: collections::VecDeque<MembershipChange>,
    /// When each leader last held a lease.
    leases: collections::BTreeMap<(Term, VmId), time::Instant>,
    events: collections::BTreeMap<(time::Instant, u64), Event>,
    sequence: u64,
    last_command_id: u64,
}

impl Group {
    pub(super) fn new(settings: Settings, seed: u64) -> Group {
        let mut group = Group {
            seed,
            rng: rngs::SmallRng::seed_from_u64(seed),
            network: settings.network.clone(),
            vms: collections::BTreeMap::new(),
            checker: Checker::default(),
            lines: Vec::new(),
            accepted_at_mark: 0,
            membership_plan: collections::VecDeque::new(),
            leases: collections::BTreeMap::new(),
            events: collections::BTreeMap::new(),
            sequence: 0,
            last_command_id: 0,
            settings,
        };
        let total = group.settings.nodes + group.settings.spares;
        let voters = storage::Membership::of_voters((1..=group.settings.nodes).map(VmId));
        for number in 1..=total {
            let steps = u64::from(total.saturating_sub(1).max(1));
            let drift = group.settings.drift_permille * u64::from(number - 1) / steps;
            let initial_membership = (number <= group.settings.nodes).then(|| voters.clone());
            let vm = Vm::new(VmId(number), seed, drift, initial_membership);
            group.vms.insert(VmId(number), vm);
        }
        for number in 1..=group.settings.nodes {
            group.start(time::Instant(0), VmId(number));
        }
        group
    }

    pub(super) fn add_line(&mut self, at: time::Instant, text: String) {
        self.lines.push(Line { at, text });
    }

    fn schedule(&mut self, at: time::Instant, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    pub(super) fn next_event(&self) -> Option<time::Instant> {
        let event = self.events.first_key_value().map(|((at, _), _)| *at);
        let timers = self.vms.values().filter_map(Vm::next_timer);
        timers.chain(event).min()
    }

    pub(super) fn advance(&mut self, now: time::Instant) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let event = entry.remove();
            self.handle(now, event);
        }
        let due = self
            .vms
            .values()
            .filter(|vm| vm.next_timer().is_some_and(|at| at <= now));
        for id in due.map(|vm| vm.id).collect::<Vec<_>>() {
            self.with_node(now, id, |node, local| node.tick(local));
        }
        self.check_leases(now);
    }

    fn handle(&mut self, now: time::Instant, event: Event) {
        match event {
            Event::Deliver { from, to, msg } => {
                self.with_node(now, to, |node, local| node.step(local, from, msg));
            }
            Event::Write {
                vm,
                incarnation,
                ticket,
                ops,
            } => self.write(now, vm, incarnation, ticket, &ops),
            Event::MembershipStep => self.advance_membership_plan(now),
        }
    }

    /// Calls `f` with a running node and its clock reading, then processes the outputs of the node.
    pub(super) fn with_node<T>(
        &mut self,
        now: time::Instant,
        id: VmId,
        f: impl FnOnce(&mut wagtailshunt_core::replication::Node, time::Instant) -> T,
    ) -> Option<T> {
        let vm = self.vms.get_mut(&id)?;
        let local = vm.clock(now);
        let result = f(&mut vm.process.as_mut()?.node, local);
        self.process_outputs(now, id);
        Some(result)
    }

    pub(super) fn start(&mut self, now: time::Instant, id: VmId) {
        let seed = self.seed;
        let Some(vm) = self.vms.get_mut(&id) else {
            return;
        };
        if vm.process.is_some() {
            return;
        }
        if vm.start(now, &self.settings, seed) {
            self.add_line(now, format!("vm{id} starts"));
            self.process_outputs(now, id);
        } else {
            let reason = vm.start_error.clone().unwrap_or_default();
            vm.crash();
            self.add_line(now, format!("vm{id} does not start: {reason}"));
        }
    }

    pub(super) fn crash(&mut self, now: time::Instant, id: VmId, reason: &str) {
        if let Some(vm) = self.vms.get_mut(&id)
            && vm.process.is_some()
        {
            vm.crash();
            self.checker.crashed(id);
            self.add_line(now, format!("vm{id} stops: {reason}"));
        }
    }

    /// Processes all pending outputs of a node.
    fn process_outputs(&mut self, now: time::Instant, id: VmId) {
        while let Some(vm) = self.vms.get_mut(&id) {
            let Some(process) = vm.process.as_mut() else {
                return;
            };
            let Some(output) = process.node.poll_output() else {
                return;
            };
            match output {
                Output::Send { to, msg } => self.send(now, id, to, msg),
                Output::Persist { ticket, ops } => self.persist(now, id, ticket, ops),
                Output::Apply {
                    index,
                    term,
                    command,
                } => {
                    let state_machine = &mut process.state_machine;
                    self.checker
                        .applied(id, state_machine, index, term, &command);
                    self.maybe_snapshot(now, id);
                }
                Output::Restore { index, data } => {
                    process.state_machine = DigestStateMachine::restore(data);
                    process.snapshot_index = index;
                    self.checker.restored(id, index, &process.state_machine);
                }
                Output::ReadReady { token, .. } => {
                    let state_machine = process.state_machine;
                    self.checker.read_completed(id, token, &state_machine);
                }
                Output::ReadFailed { .. } => {}
                Output::Rejected { index } => self.checker.rejected(id, index),
                Output::Role { role, term } => {
                    if role == Role::Leader {
                        self.add_line(now, format!("vm{id} leads in term {term}"));
                    }
                }
            }
        }
    }

    fn maybe_snapshot(&mut self, now: time::Instant, id: VmId) {
        let every = self.settings.snapshot_every;
        let Some(vm) = self.vms.get_mut(&id) else {
            return;
        };
        let local = vm.clock(now);
        let Some(process) = &mut vm.process else {
            return;
        };
        let index = process.state_machine.index;
        if every > 0 && index.0 >= process.snapshot_index.0 + every {
            process.snapshot_index = index;
            let data = process.state_machine.snapshot();
            process.node.snapshot_taken(local, index, data);
        }
    }

    fn send(&mut self, now: time::Instant, from: VmId, to: VmId, mut msg: Message) {
        let protections = self.settings.protections;
        match &mut msg {
            Message::PreVote(vote) if !(protections.pre_vote && protections.vote_silence) => {
                let reply = Message::PreVoteReply {
                    term: vote.term,
                    granted: true,
                };
                let at = now + self.network.latency;
                self.schedule(
                    at,
                    Event::Deliver {
                        from: to,
                        to: from,
                        msg: reply,
                    },
                );
                return;
            }
            Message::Vote(vote) if !protections.vote_silence => vote.transfer = true,
            Message::Append(append)
                if !protections.check_quorum && self.network.is_impaired(from, to) =>
            {
                let reply = Message::AppendReply(AppendReply {
                    term: append.term,
                    round: append.round,
                    verified: LogIndex(0),
                    durable: LogIndex(0),
                    conflict: None,
                });
                let at = now + self.network.latency;
                self.schedule(
                    at,
                    Event::Deliver {
                        from: to,
                        to: from,
                        msg: reply,
                    },
                );
            }
            _ => {}
        }
        for delay in self.network.route(&mut self.rng, from, to) {
            let msg = msg.clone();
            self.schedule(now + delay, Event::Deliver { from, to, msg });
        }
    }

    fn persist(&mut self, now: time::Instant, id: VmId, ticket: u64, ops: Vec<storage::Op>) {
        let Some(vm) = self.vms.get_mut(&id) else {
            return;
        };
        let incarnation = vm.incarnation;
        let at = now + self.settings.batch_write_time + vm.extra_write_time;
        let early = !self.settings.protections.ack_after_sync;
        let write = Event::Write {
            vm: id,
            incarnation,
            ticket: (!early).then_some(ticket),
            ops,
        };
        self.schedule(at, write);
        if early {
            self.with_node(now, id, |node, local| node.persisted(local, ticket));
        }
    }

    /// Writes a batch. Empty `ops` continue a batch that failed on a full disk.
    fn write(
        &mut self,
        now: time::Instant,
        id: VmId,
        incarnation: u64,
        ticket: Option<u64>,
        ops: &[storage::Op],
    ) {
        let Some(vm) = self.vms.get_mut(&id) else {
            return;
        };
        let Some(process) = vm
            .process
            .as_mut()
            .filter(|_| vm.incarnation == incarnation)
        else {
            return;
        };
        match process.store.execute(ops) {
            Ok(()) => {
                self.with_node(now, id, |node, local| {
                    node.set_disk_full(local, false);
                    if let Some(ticket) = ticket {
                        node.persisted(local, ticket);
                    }
                });
            }
            Err(disk::Error::Full { .. }) => {
                self.with_node(now, id, |node, local| node.set_disk_full(local, true));
                let retry = Event::Write {
                    vm: id,
                    incarnation,
                    ticket,
                    ops: Vec::new(),
                };
                self.schedule(now + FULL_DISK_RETRY_DELAY, retry);
            }
            Err(err) => self.crash(now, id, &err.to_string()),
        }
    }

    /// Proposes one command on every node that considers itself the leader, or only on `only`.
    pub(super) fn propose(&mut self, now: time::Instant, only: Option<VmId>, size: usize) {
        let leaders: Vec<_> = self.vms.values().filter(|vm| vm.is_leader()).collect();
        let leaders: Vec<_> = leaders.iter().map(|vm| vm.id).collect();
        for id in leaders {
            if only.is_some_and(|only| only != id) {
                continue;
            }
            self.last_command_id += 1;
            let number = self.last_command_id;
            let mut buf = BytesMut::new();
            buf.put_u64(number);
            buf.put_bytes(0, size);
            let command: Bytes = buf.freeze();
            let proposed = self.vms.get_mut(&id).and_then(|vm| {
                let local = vm.clock(now);
                let node = &mut vm.process.as_mut()?.node;
                let term = node.term();
                Some((node.propose(local, command).ok()?, term))
            });
            if let Some((index, term)) = proposed {
                self.checker.proposed(id, index, term, number);
            }
            self.process_outputs(now, id);
        }
    }

    /// Starts a linearizable read on every node that considers itself the leader.
    pub(super) fn read(&mut self, now: time::Instant) {
        let leaders = self.vms.values().filter(|vm| vm.is_leader());
        for id in leaders.map(|vm| vm.id).collect::<Vec<_>>() {
            self.last_command_id += 1;
            let token = self.last_command_id;
            self.checker.read_started(token);
            self.with_node(now, id, |node, local| {
                // Fails if the node has just stepped down; the read then never completes.
                let _ = node.read_index(local, token);
            });
        }
    }

    /// Returns the leader with the highest term.
    pub(super) fn leader(&self) -> Option<VmId> {
        let leaders = self.vms.values().filter(|vm| vm.is_leader());
        let term = |vm: &&Vm| vm.process.as_ref().map(|process| process.node.term());
        leaders.max_by_key(term).map(|vm| vm.id)
    }

    pub(super) fn start_membership_plan(&mut self, now: time::Instant) {
        self.schedule(now, Event::MembershipStep);
    }

    /// Proposes the next membership change until it is part of the committed membership.
    fn advance_membership_plan(&mut self, now: time::Instant) {
        let Some(change) = self.membership_plan.front().copied() else {
            return;
        };
        self.schedule(now + MEMBERSHIP_RETRY_INTERVAL, Event::MembershipStep);
        let Some(leader) = self.leader() else {
            return;
        };
        let result = self.with_node(now, leader, |node, local| {
            let members = node.members();
            let done = match change {
                MembershipChange::AddLearner(vm) => members.contains(vm),
                MembershipChange::Promote(vm) => members.voters.contains(&vm),
                MembershipChange::Remove(vm) => !members.contains(vm),
            };
            if done && node.is_membership_committed() {
                return Ok(None);
            }
            node.propose_membership(local, change).map(Some)
        });
        match result {
            Some(Ok(None)) => {
                self.membership_plan.pop_front();
                self.add_line(now, format!("membership change done: {change:?}"));
            }
            Some(Err(ProposeError::InvalidChange)) => {
                self.add_line(now, format!("membership change refused: {change:?}"));
            }
            _ => {}
        }
    }

    /// Checks that at most one node holds a leader lease, that no other leads in a later term, and that
    /// a leader knows no longer time without a lease before its election than there was.
    fn check_leases(&mut self, now: time::Instant) {
        let mut highest = None;
        let mut holder = None;
        for vm in self.vms.values() {
            let Some(process) = &vm.process else {
                continue;
            };
            if process.node.role() != Role::Leader {
                continue;
            }
            let leads = Some((process.node.term(), vm.id));
            let mut earlier = self.leases.range(..(process.node.term(), VmId(0)));
            let leaderless = process.node.leaderless().unwrap_or_default();
            if earlier.any(|(_, last)| now.since(*last) < leaderless) {
                let error = "a leader counts time in which an earlier one held a lease";
                self.checker.fail(error.to_owned());
            }
            highest = highest.max(leads);
            if process.node.lease_valid_until(vm.clock(now)).is_some() {
                self.leases.extend(leads.map(|leads| (leads, now)));
                let first = holder.get_or_insert(leads);
                if *first != leads {
                    self.checker
                        .fail("two nodes hold a leader lease".to_owned());
                }
            }
        }
        if let Some(Some((_, id))) = holder
            && holder != Some(highest)
        {
            self.checker.fail(format!(
                "vm{id} holds a leader lease while another VM leads in a later term"
            ));
        }
    }
}
