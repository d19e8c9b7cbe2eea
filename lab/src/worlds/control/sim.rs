//! The running world: routes events between the actors and lets the checker look on.

use std::{collections, time};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wagtailshunt_core::time::{Instant, UnixMillis};
use wagtailshunt_core::{directory, records, registry, types};

use super::actors::{Attempt, Operator, Target, Task};
use super::checker::Checker;
use super::frame::{self, Content};
use super::gateway::Gateway;
use super::leader::Leader;
use super::net::{Event, Message, Net, Node};
use super::settings::Settings;

const TICK: time::Duration = time::Duration::from_millis(50);
const ANNOUNCE_EVERY: time::Duration = time::Duration::from_secs(1);
const RESEND_AFTER: time::Duration = time::Duration::from_millis(300);
/// How long a leader that was cut off may still hold its leader lease.
const LEADER_LEASE: time::Duration = time::Duration::from_millis(400);
const ELECTION_MS: std::ops::Range<u64> = 500..1000;
const WALL_START_MS: u64 = 1_800_000_000_000;

/// A gateway's VM.
#[derive(Debug)]
pub struct Slot {
    /// The process, unless it is stopped.
    pub process: Option<Gateway>,
    pub epoch: u64,
    pub schemas: Vec<u32>,
}

/// The world after its start.
#[derive(Debug)]
pub struct Sim {
    pub cfg: Settings,
    pub net: Net,
    pub registry: registry::Registry,
    index: u64,
    pub leader: Option<Leader>,
    term: u64,
    pub gateways: collections::BTreeMap<u32, Slot>,
    pub targets: Vec<Target>,
    pub operators: collections::BTreeMap<u32, Operator>,
    pub checker: Checker,
    pub lines: Vec<(Instant, String)>,
    ids: u64,
}

impl Sim {
    pub fn new(cfg: Settings, seed: u64) -> Sim {
        let mut net = Net::new(SmallRng::seed_from_u64(seed));
        net.delay = cfg.delay;
        net.jitter = cfg.jitter;
        net.loss_permille = cfg.loss_permille;
        net.double_permille = cfg.double_permille;
        let mut sim = Sim {
            cfg,
            net,
            registry: registry::Registry::default(),
            index: 0,
            leader: None,
            term: 0,
            gateways: collections::BTreeMap::new(),
            targets: Vec::new(),
            operators: collections::BTreeMap::new(),
            checker: Checker::default(),
            lines: Vec::new(),
            ids: 0,
        };
        sim.populate();
        sim
    }

    fn populate(&mut self) {
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
            let task = Task {
                service,
                schema: 1,
                ..Task::default()
            };
            let id = self.next_id(now);
            let command = self.command(now, &task, u64::from(service) | 1 << 32, id, None);
            self.apply(now, None, &command);
        }
        for number in 0..self.cfg.targets {
            self.add_target(now, number);
        }
        self.elected(now);
        self.net.at(now, Event::Tick(Node::Control, 0));
    }

    fn register(&mut self, now: Instant, vm: u32) {
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
            now: wall(now),
        };
        self.index += 1;
        self.registry.apply(types::LogIndex(self.index), &command);
    }

    /// Changes which schemas a gateway can enforce and registers it anew.
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
        self.net.at(now, Event::Tick(Node::Gateway(vm), slot.epoch));
    }

    /// Kills a gateway's process.
    pub fn kill_gateway(&mut self, vm: u32) {
        if let Some(slot) = self.gateways.get_mut(&vm) {
            slot.process = None;
        }
    }

    /// Begins the planned stop of a gateway.
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

    fn add_target(&mut self, now: Instant, number: u32) {
        let target = directory::Target {
            key: directory::Key {
                service: service_name(number % self.cfg.services.max(1)),
                id: types::TargetId(format!("t{number}")),
            },
            incarnation: types::Incarnation(WALL_START_MS),
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
            past: Vec::new(),
        });
        let spread = time::Duration::from_micros(u64::from(number) * 7919 % 1_000_000);
        self.net
            .at(now + spread, Event::Tick(Node::Target(number), 1));
    }

    /// Makes a target drain.
    pub fn drain_target(&mut self, now: Instant, number: u32) {
        let target = &mut self.targets[number as usize];
        target.target.state = directory::State::Draining;
        self.checker
            .retire(now, &target.target.key, target.target.incarnation);
        self.announce(now, number);
    }

    /// Stops a target; with `restart` it starts again with the next incarnation.
    pub fn stop_target(&mut self, now: Instant, number: u32, restart: bool) {
        let target = &mut self.targets[number as usize];
        self.checker
            .retire(now, &target.target.key, target.target.incarnation);
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
        target_tick(
            &mut self.net,
            now,
            number,
            self.targets[number as usize].epoch,
        );
    }

    /// Repeats all earlier announcements of a target at a gateway, newest first.
    pub fn repeat_announcements(&mut self, now: Instant, number: u32, gateway: u32) {
        let past = self.targets[number as usize].past.clone();
        for announcement in past.into_iter().rev() {
            let (from, to) = (Node::Target(number), Node::Gateway(gateway));
            self.net
                .send(now, from, to, Message::Announce(announcement));
        }
    }

    fn announce(&mut self, now: Instant, number: u32) {
        let target = &mut self.targets[number as usize];
        if target.unanswered {
            target.gateway = 1 + self.net.rng().random_range(0..self.cfg.gateways);
        }
        target.unanswered = true;
        let message = Message::Announce(target.announcement());
        let (from, to) = (Node::Target(number), Node::Gateway(target.gateway));
        self.net.send(now, from, to, message);
    }

    /// Gives an operator a change to make.
    pub fn order(&mut self, now: Instant, operator: u32, task: Task) {
        let entry = self.operators.entry(operator).or_default();
        entry.tasks.push_back(task);
        if entry.attempt.is_none() {
            entry.epoch += 1;
            let epoch = entry.epoch;
            self.net
                .at(now, Event::Tick(Node::Operator(operator), epoch));
        }
    }

    /// Cuts the leader off from its quorum; another is elected when its lease has ended.
    pub fn change_leader(&mut self, now: Instant) {
        if let Some(leader) = &mut self.leader {
            leader.lease_until = Some(now + LEADER_LEASE);
        }
        let election = self.net.rng().random_range(ELECTION_MS);
        self.net
            .at(now + time::Duration::from_millis(election), Event::Elected);
    }

    fn elected(&mut self, now: Instant) {
        self.term += 1;
        let gateways: Vec<types::VmId> = self.registry.vms().map(|vm| vm.id).collect();
        let revision = self.registry.revision();
        self.leader = Some(Leader::new(&self.cfg, self.term, now, &gateways, revision));
        self.lines
            .push((now, format!("leader of term {} elected", self.term)));
    }

    /// Handles the next event that is due; returns false when there is none.
    pub fn step(&mut self, now: Instant) -> bool {
        let Some(event) = self.net.due(now) else {
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
        self.look(now);
        true
    }

    fn tick(&mut self, now: Instant, node: Node, epoch: u64) {
        let next = match node {
            Node::Control => {
                if let Some(leader) = &mut self.leader {
                    leader.directory.expire(now);
                    leader.push(&self.registry);
                }
                self.flush_leader(now);
                Some(TICK)
            }
            Node::Gateway(vm) => self.tick_gateway(now, vm, epoch),
            Node::Target(number) => self.tick_target(now, number, epoch),
            Node::Operator(number) => self.tick_operator(now, number, epoch),
        };
        if let Some(next) = next {
            self.net.at(now + next, Event::Tick(node, epoch));
        }
    }

    fn tick_gateway(&mut self, now: Instant, vm: u32, epoch: u64) -> Option<time::Duration> {
        let slot = self
            .gateways
            .get_mut(&vm)
            .filter(|slot| slot.epoch == epoch)?;
        slot.process.as_mut()?.tick(now);
        self.flush_gateway(now, vm);
        if self.cfg.picks {
            self.pick(now, vm);
        }
        Some(TICK)
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
                self.checker.picked(now, &target);
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
        Some(ANNOUNCE_EVERY)
    }

    fn tick_operator(&mut self, now: Instant, number: u32, epoch: u64) -> Option<time::Duration> {
        let id = self.next_id(now);
        let operator = self
            .operators
            .get_mut(&number)
            .filter(|entry| entry.epoch == epoch)?;
        if operator.attempt.is_none() {
            let task = operator.tasks.pop_front()?;
            let (marker, request_id) = (self.ids, id);
            operator.attempt = Some(Attempt {
                task,
                marker,
                request_id,
                base: None,
            });
        }
        let attempt = operator.attempt.clone()?;
        let message = match attempt.base {
            None => Message::Read(attempt.task.service),
            Some(base) => {
                let id = attempt.request_id.clone();
                Message::Submit(self.command(now, &attempt.task, attempt.marker, id, base))
            }
        };
        self.net
            .send(now, Node::Operator(number), Node::Control, message);
        Some(RESEND_AFTER)
    }

    fn next_id(&mut self, now: Instant) -> types::RequestId {
        self.ids += 1;
        let hex = format!("{:012x}7000{:016x}", wall(now).0, self.ids | 1 << 63);
        let parts = [
            &hex[..8],
            &hex[8..12],
            &hex[12..16],
            &hex[16..20],
            &hex[20..],
        ];
        types::RequestId(parts.join("-"))
    }

    fn command(
        &self,
        now: Instant,
        task: &Task,
        marker: u64,
        request_id: types::RequestId,
        expect: Option<types::Revision>,
    ) -> registry::Command {
        let name = service_name(task.service);
        let text = serde_json::json!({
            "schema": task.schema, "kind": "service", "name": name,
            "spec": { "hosts": [format!("{name}.example")], "drain": task.drain, "marker": marker },
        });
        let (actor, text) = ("operator".to_owned(), text.to_string());
        registry::Command::Put {
            request_id,
            expect,
            actor,
            text,
            now: wall(now),
        }
    }

    fn deliver(&mut self, now: Instant, from: Node, to: Node, message: Message) {
        match (to, message) {
            (Node::Control, Message::Frame(frame)) => {
                let (vm, incarnation, content) = frame::decode(&frame);
                if let (Some(leader), Content::Membership(message)) = (&mut self.leader, content) {
                    leader.receive(now, &self.registry, incarnation, vm, &message);
                }
                self.flush_leader(now);
            }
            (Node::Control, Message::Read(service)) => self.read(now, from, service),
            (Node::Control, Message::Submit(command)) => self.submit(now, from, command),
            (Node::Gateway(vm), Message::Frame(frame)) => {
                let (_, _, content) = frame::decode(&frame);
                self.deliver_gateway(now, vm, content);
            }
            (Node::Gateway(vm), Message::Announce(announcement)) => {
                self.deliver_announcement(now, vm, from, announcement);
            }
            (Node::Target(number), Message::Announced(taken)) => {
                let target = &mut self.targets[number as usize];
                target.unanswered = !taken;
            }
            (Node::Operator(number), message) => self.deliver_operator(now, number, message),
            _ => {}
        }
    }

    fn deliver_gateway(&mut self, now: Instant, vm: u32, content: Content) {
        let Some(slot) = self.gateways.get_mut(&vm) else {
            return;
        };
        let Some(process) = slot.process.as_mut() else {
            return;
        };
        if let Content::Records(changes) = &content {
            let texts = changes
                .changes
                .iter()
                .filter_map(|change| change.text.as_deref());
            let headings = texts.filter_map(|text| records::heading(text).ok());
            for heading in headings.filter(|heading| !slot.schemas.contains(&heading.schema)) {
                let schema = heading.schema;
                let text = format!("g{vm} cannot enforce schema {schema} of {}", heading.key);
                self.checker.violation(now, text);
            }
        }
        process.receive(now, content);
        self.flush_gateway(now, vm);
    }

    fn deliver_announcement(
        &mut self,
        now: Instant,
        vm: u32,
        from: Node,
        mut announcement: directory::Announcement,
    ) {
        let Some(process) = self
            .gateways
            .get_mut(&vm)
            .and_then(|slot| slot.process.as_mut())
        else {
            return;
        };
        let mut taken = process.announce(now, &announcement);
        // Without the rule that states only move forward, the last announcement counts.
        while !taken && !self.cfg.final_drain && process.serving(now) {
            announcement.target.incarnation.0 += 1;
            taken = process.announce(now, &announcement);
        }
        self.net
            .send(now, Node::Gateway(vm), from, Message::Announced(taken));
        self.flush_gateway(now, vm);
    }

    fn read(&mut self, now: Instant, from: Node, service: u32) {
        if self.leads(now) {
            let key = record_key(service);
            let revision = self.registry.get(&key).map(|version| version.revision);
            self.net
                .send(now, Node::Control, from, Message::Revision(revision));
        }
    }

    /// Returns whether the leader can still commit.
    fn leads(&self, now: Instant) -> bool {
        self.leader
            .as_ref()
            .is_some_and(|leader| leader.lease_until.is_none_or(|end| now < end))
    }

    fn submit(&mut self, now: Instant, from: Node, mut command: registry::Command) {
        let (Some(leader), Node::Operator(operator)) = (&self.leader, from) else {
            return;
        };
        let term = leader.term;
        let fresh = self.next_id(now);
        if let registry::Command::Put { request_id, .. } = &mut command
            && !self.cfg.request_ids
        {
            *request_id = fresh;
        }
        let at = now + self.cfg.delay * 2;
        self.net.at(
            at,
            Event::Commit {
                term,
                operator: Some(operator),
                command,
            },
        );
    }

    fn commit(
        &mut self,
        now: Instant,
        term: u64,
        operator: Option<u32>,
        command: &registry::Command,
    ) {
        let Some(leader) = self.leader.as_ref().filter(|leader| leader.term == term) else {
            return;
        };
        if leader.lease_until.is_some() {
            // The followers may or may not have got the entry before the leader was cut off.
            if self.net.rng().random_bool(0.5) {
                self.apply(now, None, command);
            }
            return;
        }
        self.apply(now, operator, command);
    }

    fn apply(&mut self, now: Instant, operator: Option<u32>, command: &registry::Command) {
        let bytes = wagtailshunt_wire::records::encode_command(command);
        let mut command =
            wagtailshunt_wire::records::decode_command(bytes).expect("command is known");
        let registry::Command::Put { expect, text, .. } = &mut command else {
            return;
        };
        let base = expect.unwrap_or_default().0;
        let record = records::parse(text).expect("record is valid");
        if !self.cfg.compare_and_set {
            *expect = self
                .registry
                .get(&record.key)
                .map(|version| version.revision);
        }
        self.index += 1;
        let reply = self.registry.apply(types::LogIndex(self.index), &command);
        let marker = record
            .unknown
            .iter()
            .find_map(|field| field.value.parse().ok());
        let marker = marker.unwrap_or_default();
        self.checker.applied(now, &record.key, marker, base, &reply);
        if let registry::Reply::Accepted { revision } = &reply {
            self.accepted(now, &record, *revision);
        }
        if let Some(operator) = operator {
            let to = Node::Operator(operator);
            self.net
                .send(now, Node::Control, to, Message::Reply(marker, reply));
        }
    }

    fn accepted(&mut self, now: Instant, record: &records::Record, revision: types::Revision) {
        self.lines.push((
            now,
            format!("{} accepted as revision {revision}", record.key),
        ));
        let service = types::ServiceName(record.key.name.clone());
        let drain = record
            .service()
            .map(|spec| spec.drain.clone())
            .unwrap_or_default();
        for target in &self.targets {
            if target.target.key.service == service {
                let drained = drain.contains(&target.target.key.id);
                self.checker
                    .drained(now, target.target.key.clone(), drained);
            }
        }
        let led = self
            .leader
            .as_mut()
            .filter(|leader| leader.lease_until.is_none());
        if let Some(leader) = led {
            leader.grantor.accepted(now, revision);
            leader.push(&self.registry);
        }
        self.flush_leader(now);
    }

    fn deliver_operator(&mut self, now: Instant, number: u32, message: Message) {
        let Some(operator) = self.operators.get_mut(&number) else {
            return;
        };
        let Some(attempt) = &mut operator.attempt else {
            return;
        };
        match message {
            Message::Revision(revision) if attempt.base.is_none() => attempt.base = Some(revision),
            Message::Reply(marker, reply) if marker == attempt.marker => {
                let task = attempt.task.clone();
                operator.attempt = None;
                let lost = matches!(&reply, registry::Reply::Conflict { .. })
                    || matches!(&reply, registry::Reply::Repeated(first)
                        if matches!(first.as_ref(), registry::Reply::Conflict { .. }));
                if lost && task.insist {
                    operator.tasks.push_front(task);
                }
                self.checker.told(now, marker, &reply);
            }
            _ => return,
        }
        operator.epoch += 1;
        let epoch = operator.epoch;
        self.net.at(now, Event::Tick(Node::Operator(number), epoch));
    }

    fn flush_leader(&mut self, now: Instant) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let incarnation = types::Incarnation(WALL_START_MS);
        for (vm, content) in leader.out.drain(..) {
            let frame = frame::encode(types::VmId(0), incarnation, &content);
            let to = Node::Gateway(vm.0);
            self.net.send(now, Node::Control, to, Message::Frame(frame));
        }
    }

    fn flush_gateway(&mut self, now: Instant, vm: u32) {
        let process = self
            .gateways
            .get_mut(&vm)
            .and_then(|slot| slot.process.as_mut());
        let Some(process) = process else {
            return;
        };
        for content in process.out.drain(..) {
            let frame = frame::encode(process.vm, process.incarnation, &content);
            self.net
                .send(now, Node::Gateway(vm), Node::Control, Message::Frame(frame));
        }
    }

    /// Lets the checker look at what the leader reports and the gateways serve.
    fn look(&mut self, now: Instant) {
        if let Some(leader) = self
            .leader
            .as_ref()
            .filter(|leader| leader.lease_until.is_none())
        {
            self.checker.in_force(now, leader.grantor.in_force(now));
        }
        for slot in self.gateways.values() {
            if let Some(process) = slot.process.as_ref().filter(|process| process.serving(now)) {
                self.checker
                    .serves(now, process.vm, process.table.revision());
            }
        }
    }

    /// Returns how a serving gateway differs from the registry and the targets, if one does.
    pub fn difference(&self, now: Instant) -> Option<String> {
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

fn target_tick(net: &mut Net, now: Instant, number: u32, epoch: u64) {
    net.at(
        now + ANNOUNCE_EVERY,
        Event::Tick(Node::Target(number), epoch),
    );
}

pub fn service_name(number: u32) -> types::ServiceName {
    types::ServiceName(format!("s{number}"))
}

pub fn record_key(service: u32) -> records::Key {
    records::Key::new(records::Kind::Service, format!("s{service}"))
}

fn wall(now: Instant) -> UnixMillis {
    UnixMillis(WALL_START_MS + now.0 / 1000)
}
