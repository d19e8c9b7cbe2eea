//! State of the running world: dispatches events to the actors and runs the checker after each.

use std::{collections, time};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use wagtailshunt_core::time::{Instant, UnixMillis};
use wagtailshunt_core::{directory, records, registry, types};

use super::actors::{Operator, PendingChange, PlannedChange, Target};
use super::checker::Checker;
use super::frame;
use super::gateway::Gateway;
use super::leader::Leader;
use super::net::{Event, Message, Net, Node};
use super::settings::Settings;

const TICK_INTERVAL: time::Duration = time::Duration::from_millis(50);
const ANNOUNCE_INTERVAL: time::Duration = time::Duration::from_secs(1);
const RESEND_DELAY: time::Duration = time::Duration::from_millis(300);
pub(super) const START_UNIX_MS: u64 = 1_800_000_000_000;

/// VM of a gateway.
#[derive(Debug)]
pub struct Slot {
    /// Running process, if any.
    pub process: Option<Gateway>,
    /// Number of process starts; also the incarnation of the process.
    pub epoch: u64,
    /// Record schemas that the VM can enforce.
    pub schemas: Vec<u32>,
}

/// The running world.
#[derive(Debug)]
pub struct Sim {
    pub cfg: Settings,
    pub net: Net,
    pub registry: registry::Registry,
    pub(super) log_index: u64,
    pub leader: Option<Leader>,
    pub(super) term: u64,
    pub gateways: collections::BTreeMap<u32, Slot>,
    pub targets: Vec<Target>,
    pub operators: collections::BTreeMap<u32, Operator>,
    pub checker: Checker,
    pub lines: Vec<(Instant, String)>,
    last_id: u64,
}

impl Sim {
    pub fn new(cfg: Settings, seed: u64) -> Sim {
        let mut net = Net::new(SmallRng::seed_from_u64(seed));
        net.delay = cfg.delay;
        net.jitter = cfg.jitter;
        net.loss_permille = cfg.loss_permille;
        net.duplicate_permille = cfg.duplicate_permille;
        let mut sim = Sim {
            cfg,
            net,
            registry: registry::Registry::default(),
            log_index: 0,
            leader: None,
            term: 0,
            gateways: collections::BTreeMap::new(),
            targets: Vec::new(),
            operators: collections::BTreeMap::new(),
            checker: Checker::default(),
            lines: Vec::new(),
            last_id: 0,
        };
        sim.populate();
        sim
    }

    /// Handles the next event that is due. Returns false if there is none.
    pub fn step(&mut self, now: Instant) -> bool {
        let Some(event) = self.net.pop_due(now) else {
            return false;
        };
        match event {
            Event::Deliver { from, to, message } => self.deliver(now, from, to, message),
            Event::Tick(node, epoch) => self.tick(now, node, epoch),
            Event::Commit {
                term,
                operator,
                command,
            } => {
                self.commit(now, term, operator, &command);
            }
            Event::Elected => self.elected(now),
        }
        if self.cfg.check_invariants {
            self.check_invariants(now);
        }
        true
    }

    fn tick(&mut self, now: Instant, node: Node, epoch: u64) {
        let next = match node {
            Node::Control => {
                if let Some(leader) = &mut self.leader {
                    leader.directory.expire(now);
                    leader.push_updates(&self.registry);
                }
                self.flush_leader(now);
                Some(TICK_INTERVAL)
            }
            Node::Gateway(vm) => self.tick_gateway(now, vm, epoch),
            Node::Target(number) => self.tick_target(now, number, epoch),
            Node::Operator(number) => self.tick_operator(now, number, epoch),
        };
        if let Some(next) = next {
            self.net.schedule(now + next, Event::Tick(node, epoch));
        }
    }

    fn tick_gateway(&mut self, now: Instant, vm: u32, epoch: u64) -> Option<time::Duration> {
        let slot = self
            .gateways
            .get_mut(&vm)
            .filter(|slot| slot.epoch == epoch)?;
        slot.process.as_mut()?.tick(now);
        self.flush_gateway(now, vm);
        if self.cfg.check_invariants {
            self.pick(now, vm);
        }
        Some(TICK_INTERVAL)
    }

    fn pick(&mut self, now: Instant, vm: u32) {
        let process = self
            .gateways
            .get(&vm)
            .and_then(|slot| slot.process.as_ref());
        let Some(process) = process.filter(|process| process.serving(now)) else {
            return;
        };
        for service in 0..self.cfg.services {
            if let Some(target) = process.pick(self.net.rng(), &service_name(service)) {
                self.checker.record_pick(now, &target);
            }
        }
    }

    fn tick_target(&mut self, now: Instant, number: u32, epoch: u64) -> Option<time::Duration> {
        let target = &mut self.targets[number as usize];
        if !target.up || target.epoch != epoch {
            return None;
        }
        if target.target.state == directory::State::Starting {
            target.target.state = directory::State::Serving;
        }
        self.announce(now, number);
        Some(ANNOUNCE_INTERVAL)
    }

    fn tick_operator(&mut self, now: Instant, number: u32, epoch: u64) -> Option<time::Duration> {
        let id = self.next_id(now);
        let operator = self
            .operators
            .get_mut(&number)
            .filter(|entry| entry.epoch == epoch)?;
        if operator.pending.is_none() {
            let planned = operator.planned_changes.pop_front()?;
            let (marker, request_id) = (self.last_id, id);
            operator.pending = Some(PendingChange {
                planned,
                marker,
                request_id,
                base: None,
            });
        }
        let pending = operator.pending.clone()?;
        let message = match pending.base {
            None => Message::Read(pending.planned.service),
            Some(base) => {
                let id = pending.request_id.clone();
                Message::Submit(self.command(now, &pending.planned, pending.marker, id, base))
            }
        };
        self.net
            .send(now, Node::Operator(number), Node::Control, message);
        Some(RESEND_DELAY)
    }

    pub(super) fn next_id(&mut self, now: Instant) -> types::RequestId {
        self.last_id += 1;
        let hex = format!(
            "{:012x}7000{:016x}",
            unix_time(now).0,
            self.last_id | 1 << 63
        );
        let parts = [
            &hex[..8],
            &hex[8..12],
            &hex[12..16],
            &hex[16..20],
            &hex[20..],
        ];
        types::RequestId(parts.join("-"))
    }

    pub(super) fn command(
        &self,
        now: Instant,
        planned: &PlannedChange,
        marker: u64,
        request_id: types::RequestId,
        expect: Option<types::Revision>,
    ) -> registry::Command {
        let name = service_name(planned.service);
        let text = serde_json::json!({
            "schema": planned.schema, "kind": "service", "name": name,
            "spec": { "hosts": [format!("{name}.example")], "drain": planned.drain, "marker": marker },
        });
        let (actor, text) = ("operator".to_owned(), text.to_string());
        registry::Command::Put {
            request_id,
            expect,
            actor,
            text,
            now: unix_time(now),
        }
    }

    pub(super) fn flush_leader(&mut self, now: Instant) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let incarnation = types::Incarnation(START_UNIX_MS);
        for (vm, content) in leader.outbox.drain(..) {
            let frame = frame::encode(types::VmId(0), incarnation, &content);
            let to = Node::Gateway(vm.0);
            self.net.send(now, Node::Control, to, Message::Frame(frame));
        }
    }

    pub(super) fn flush_gateway(&mut self, now: Instant, vm: u32) {
        let process = self
            .gateways
            .get_mut(&vm)
            .and_then(|slot| slot.process.as_mut());
        let Some(process) = process else {
            return;
        };
        for content in process.outbox.drain(..) {
            let frame = frame::encode(process.vm, process.incarnation, &content);
            self.net
                .send(now, Node::Gateway(vm), Node::Control, Message::Frame(frame));
        }
    }

    /// Checks the revision that the leader reports in force and those that gateways serve.
    fn check_invariants(&mut self, now: Instant) {
        if let Some(leader) = self
            .leader
            .as_ref()
            .filter(|leader| leader.lease_until.is_none())
        {
            self.checker
                .record_in_force(now, leader.grantor.in_force(now));
        }
        for slot in self.gateways.values() {
            if let Some(process) = slot.process.as_ref().filter(|process| process.serving(now)) {
                self.checker
                    .check_revision(now, process.vm, process.table.revision());
            }
        }
    }

    /// Returns the first difference between the serving gateways, the registry, the directory and
    /// the running targets.
    pub fn find_difference(&self, now: Instant) -> Option<String> {
        let leader = self.leader.as_ref()?;
        let revision = self.registry.revision();
        let up = |target: &&Target| target.up;
        let live: Vec<_> = self
            .targets
            .iter()
            .filter(up)
            .map(|target| &target.target)
            .collect();
        for (vm, slot) in &self.gateways {
            let Some(process) = slot.process.as_ref().filter(|p| p.serving(now)) else {
                continue;
            };
            if process.table.revision() != revision {
                return Some(format!("g{vm} has revision {}", process.table.revision()));
            }
            if Some(process.view.digest()) != leader.directory.digest() {
                return Some(format!("g{vm} differs from the directory"));
            }
        }
        let listed: Vec<_> = leader
            .directory
            .targets()
            .map(|(target, _)| target)
            .collect();
        let missing = live.iter().find(|target| !listed.contains(target));
        if let Some(missing) = missing {
            return Some(format!("{} is not in the directory as it is", missing.key));
        }
        (listed.len() != live.len()).then(|| "a stopped target is in the directory".to_owned())
    }
}

pub(super) fn schedule_target_tick(net: &mut Net, now: Instant, number: u32, epoch: u64) {
    net.schedule(
        now + ANNOUNCE_INTERVAL,
        Event::Tick(Node::Target(number), epoch),
    );
}

pub fn service_name(number: u32) -> types::ServiceName {
    types::ServiceName(format!("s{number}"))
}

pub fn record_key(service: u32) -> records::Key {
    records::Key::new(records::Kind::Service, format!("s{service}"))
}

pub(super) fn unix_time(now: Instant) -> UnixMillis {
    UnixMillis(START_UNIX_MS + now.0 / 1000)
}
