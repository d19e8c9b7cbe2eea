//! Actions of scripts on gateways, targets, operators and the leader, and the initial state.

use std::time;

use rand::Rng;
use wagtailshunt_core::time::Instant;
use wagtailshunt_core::{directory, registry, types};

use super::actors::{PlannedChange, Target};
use super::gateway::Gateway;
use super::leader::Leader;
use super::net::{Event, Message, Node};
use super::sim::{START_UNIX_MS, Sim, Slot, schedule_target_tick, service_name, unix_time};

/// How long a leader keeps its leader lease after it was cut off from its quorum.
const LEADER_LEASE: time::Duration = time::Duration::from_millis(400);
const ELECTION_DELAY_MS: std::ops::Range<u64> = 500..1000;

impl Sim {
    pub(super) fn populate(&mut self) {
        let now = Instant(0);
        for vm in 1..=self.cfg.gateways {
            let slot = Slot {
                process: None,
                epoch: 0,
                schemas: vec![1, 2],
            };
            self.gateways.insert(vm, slot);
            self.register(now, vm);
            self.start_gateway(now, vm);
        }
        for service in 0..self.cfg.services {
            let planned = PlannedChange {
                service,
                schema: 1,
                ..PlannedChange::default()
            };
            let id = self.next_id(now);
            let command = self.command(now, &planned, u64::from(service) | 1 << 32, id, None);
            self.apply(now, None, &command);
        }
        for number in 0..self.cfg.targets {
            self.add_target(now, number);
        }
        self.elected(now);
        self.net.schedule(now, Event::Tick(Node::Control, 0));
    }

    pub(super) fn register(&mut self, now: Instant, vm: u32) {
        let real = self.gateways[&vm].schemas.clone();
        let schemas = if self.cfg.schema_check {
            real
        } else {
            vec![1, 2, 3]
        };
        let command = registry::Command::RegisterVm {
            vm: types::VmId(vm),
            role: types::Role::Gateway,
            failure_domain: types::FailureDomain(format!("fd{}", vm % 4)),
            schemas,
            now: unix_time(now),
        };
        self.log_index += 1;
        self.registry
            .apply(types::LogIndex(self.log_index), &command);
    }

    /// Sets the schemas that a gateway can enforce and registers it again.
    pub fn set_schemas(&mut self, now: Instant, vm: u32, schemas: Vec<u32>) {
        if let Some(slot) = self.gateways.get_mut(&vm) {
            slot.schemas = schemas;
            self.register(now, vm);
        }
    }

    pub fn start_gateway(&mut self, now: Instant, vm: u32) {
        let Some(slot) = self.gateways.get_mut(&vm) else {
            return;
        };
        slot.epoch += 1;
        slot.process = Some(Gateway::new(&self.cfg, vm, slot.epoch));
        // Spread over the tick interval, so that the checker runs every few milliseconds.
        let spread = time::Duration::from_millis(u64::from(vm) * 37 % 50);
        self.net
            .schedule(now + spread, Event::Tick(Node::Gateway(vm), slot.epoch));
    }

    /// Ends the process of a gateway without a planned stop.
    pub fn kill_gateway(&mut self, vm: u32) {
        if let Some(slot) = self.gateways.get_mut(&vm) {
            slot.process = None;
        }
    }

    /// Starts the planned stop of a gateway, which releases its lease.
    pub fn stop_gateway(&mut self, now: Instant, vm: u32) {
        if let Some(process) = self
            .gateways
            .get_mut(&vm)
            .and_then(|slot| slot.process.as_mut())
        {
            process.stop();
        }
        self.flush_gateway(now, vm);
    }

    pub(super) fn add_target(&mut self, now: Instant, number: u32) {
        let target = directory::Target {
            key: directory::Key {
                service: service_name(number % self.cfg.services.max(1)),
                id: types::TargetId(format!("t{number}")),
            },
            incarnation: types::Incarnation(START_UNIX_MS),
            address: std::net::SocketAddr::from((
                std::net::Ipv4Addr::from_bits(0x0a00_0000 + number),
                8080,
            )),
            failure_domain: types::FailureDomain(format!("fd{}", number % 4)),
            slots: 3,
            state: directory::State::Serving,
        };
        let gateway = 1 + number % self.cfg.gateways;
        self.targets.push(Target {
            target,
            up: true,
            epoch: 1,
            gateway,
            unanswered: false,
            past_announcements: Vec::new(),
        });
        let spread = time::Duration::from_micros(u64::from(number) * 7919 % 1_000_000);
        self.net
            .schedule(now + spread, Event::Tick(Node::Target(number), 1));
    }

    /// Puts a target into the draining state and announces it.
    pub fn drain_target(&mut self, now: Instant, number: u32) {
        let target = &mut self.targets[number as usize];
        target.target.state = directory::State::Draining;
        self.checker
            .record_retirement(now, &target.target.key, target.target.incarnation);
        self.announce(now, number);
    }

    /// Stops a target. With `restart` it starts again at once, with the next incarnation.
    pub fn stop_target(&mut self, now: Instant, number: u32, restart: bool) {
        let target = &mut self.targets[number as usize];
        self.checker
            .record_retirement(now, &target.target.key, target.target.incarnation);
        target.epoch += 1;
        target.up = restart;
        if !restart {
            return;
        }
        if self.cfg.target_incarnations {
            target.target.incarnation.0 += 1;
        }
        target.target.state = directory::State::Starting;
        self.announce(now, number);
        schedule_target_tick(
            &mut self.net,
            now,
            number,
            self.targets[number as usize].epoch,
        );
    }

    /// Sends the kept announcements of a target to a gateway again, newest first.
    pub fn repeat_announcements(&mut self, now: Instant, number: u32, gateway: u32) {
        let past_announcements = self.targets[number as usize].past_announcements.clone();
        for announcement in past_announcements.into_iter().rev() {
            let (from, to) = (Node::Target(number), Node::Gateway(gateway));
            self.net
                .send(now, from, to, Message::Announce(announcement));
        }
    }

    pub(super) fn announce(&mut self, now: Instant, number: u32) {
        let target = &mut self.targets[number as usize];
        if target.unanswered {
            target.gateway = 1 + self.net.rng().random_range(0..self.cfg.gateways);
        }
        target.unanswered = true;
        let message = Message::Announce(target.announcement());
        let (from, to) = (Node::Target(number), Node::Gateway(target.gateway));
        self.net.send(now, from, to, message);
    }

    /// Appends a change to the queue of an operator and starts it if none is pending.
    pub fn enqueue_change(&mut self, now: Instant, operator: u32, planned: PlannedChange) {
        let entry = self.operators.entry(operator).or_default();
        entry.planned_changes.push_back(planned);
        if entry.pending.is_none() {
            entry.epoch += 1;
            let epoch = entry.epoch;
            self.net
                .schedule(now, Event::Tick(Node::Operator(operator), epoch));
        }
    }

    /// Cuts the leader off from its quorum and schedules the election of another for a time after
    /// its leader lease has expired.
    pub fn change_leader(&mut self, now: Instant) {
        if let Some(leader) = &mut self.leader {
            leader.lease_until = Some(now + LEADER_LEASE);
        }
        let election = self.net.rng().random_range(ELECTION_DELAY_MS);
        self.net
            .schedule(now + time::Duration::from_millis(election), Event::Elected);
    }

    pub(super) fn elected(&mut self, now: Instant) {
        self.term += 1;
        let gateways: Vec<types::VmId> = self.registry.vms().map(|vm| vm.id).collect();
        let revision = self.registry.revision();
        self.leader = Some(Leader::new(&self.cfg, self.term, now, &gateways, revision));
        self.lines
            .push((now, format!("leader of term {} elected", self.term)));
    }
}
