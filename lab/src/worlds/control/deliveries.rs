//! Delivery of messages to the leader, gateways, targets and operators, and commits of changes.

use rand::Rng;
use wagtailshunt_core::time::Instant;
use wagtailshunt_core::{directory, records, registry, types};

use super::frame::{self, Content};
use super::net::{Event, Message, Node};
use super::sim::{Sim, record_key};

impl Sim {
    pub(super) fn deliver(&mut self, now: Instant, from: Node, to: Node, message: Message) {
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
            (Node::Target(number), Message::AnnounceReply(accepted)) => {
                let target = &mut self.targets[number as usize];
                target.unanswered = !accepted;
            }
            (Node::Operator(number), message) => self.deliver_operator(now, number, message),
            _ => {}
        }
    }

    pub(super) fn deliver_gateway(&mut self, now: Instant, vm: u32, content: Content) {
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
            let headers = texts.filter_map(|text| records::parse_header(text).ok());
            for header in headers.filter(|header| !slot.schemas.contains(&header.schema)) {
                let schema = header.schema;
                let text = format!("g{vm} cannot enforce schema {schema} of {}", header.key);
                self.checker.violation(now, text);
            }
        }
        process.receive(now, content);
        self.flush_gateway(now, vm);
    }

    pub(super) fn deliver_announcement(
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
        let mut accepted = process.announce(now, &announcement);
        // With `final_drain` off, a rejected announcement is repeated as one of a later
        // incarnation. The state announced last then applies, even if it reverts a drain.
        while !accepted && !self.cfg.final_drain && process.serving(now) {
            announcement.target.incarnation.0 += 1;
            accepted = process.announce(now, &announcement);
        }
        self.net.send(
            now,
            Node::Gateway(vm),
            from,
            Message::AnnounceReply(accepted),
        );
        self.flush_gateway(now, vm);
    }

    pub(super) fn read(&mut self, now: Instant, from: Node, service: u32) {
        if self.can_commit(now) {
            let key = record_key(service);
            let revision = self.registry.get(&key).map(|version| version.revision);
            self.net
                .send(now, Node::Control, from, Message::Revision(revision));
        }
    }

    /// Returns whether there is a leader that has a quorum or still holds its leader lease.
    pub(super) fn can_commit(&self, now: Instant) -> bool {
        self.leader
            .as_ref()
            .is_some_and(|leader| leader.lease_until.is_none_or(|end| now < end))
    }

    pub(super) fn submit(&mut self, now: Instant, from: Node, mut command: registry::Command) {
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
        self.net.schedule(
            at,
            Event::Commit {
                term,
                operator: Some(operator),
                command,
            },
        );
    }

    pub(super) fn commit(
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
            // Whether followers received the entry before the cut is random.
            if self.net.rng().random_bool(0.5) {
                self.apply(now, None, command);
            }
            return;
        }
        self.apply(now, operator, command);
    }

    pub(super) fn apply(
        &mut self,
        now: Instant,
        operator: Option<u32>,
        command: &registry::Command,
    ) {
        let bytes = wagtailshunt_wire::records::encode_command(command);
        let mut command =
            wagtailshunt_wire::records::decode_command(bytes).expect("command decodes");
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
        self.log_index += 1;
        let reply = self
            .registry
            .apply(types::LogIndex(self.log_index), &command);
        let marker = record
            .unknown
            .iter()
            .find_map(|field| field.value.parse().ok());
        let marker = marker.unwrap_or_default();
        self.checker
            .record_write(now, &record.key, marker, base, &reply);
        if let registry::Reply::Accepted { revision } = &reply {
            self.accepted(now, &record, *revision);
        }
        if let Some(operator) = operator {
            let to = Node::Operator(operator);
            self.net
                .send(now, Node::Control, to, Message::Reply(marker, reply));
        }
    }

    pub(super) fn accepted(
        &mut self,
        now: Instant,
        record: &records::Record,
        revision: types::Revision,
    ) {
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
                    .set_drained(now, target.target.key.clone(), drained);
            }
        }
        let led = self
            .leader
            .as_mut()
            .filter(|leader| leader.lease_until.is_none());
        if let Some(leader) = led {
            leader.grantor.record_change(now, revision);
            leader.push_updates(&self.registry);
        }
        self.flush_leader(now);
    }

    pub(super) fn deliver_operator(&mut self, now: Instant, number: u32, message: Message) {
        let Some(operator) = self.operators.get_mut(&number) else {
            return;
        };
        let Some(pending) = &mut operator.pending else {
            return;
        };
        match message {
            Message::Revision(revision) if pending.base.is_none() => pending.base = Some(revision),
            Message::Reply(marker, reply) if marker == pending.marker => {
                let planned = pending.planned.clone();
                operator.pending = None;
                let lost = matches!(&reply, registry::Reply::Conflict { .. })
                    || matches!(&reply, registry::Reply::Repeated(first)
                        if matches!(first.as_ref(), registry::Reply::Conflict { .. }));
                if lost && planned.retry_on_conflict {
                    operator.planned_changes.push_front(planned);
                }
                self.checker.record_reply(now, marker, &reply);
            }
            _ => return,
        }
        operator.epoch += 1;
        let epoch = operator.epoch;
        self.net
            .schedule(now, Event::Tick(Node::Operator(number), epoch));
    }
}
