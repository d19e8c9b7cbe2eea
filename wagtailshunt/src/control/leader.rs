//! Soft state of the leader of group 0: leases, directory, crash suspects, and their spread.

use std::{collections, rc, time};

use futures_channel::oneshot;
use wagtailshunt_core::{
    containment, directory, event, lease, records, registry, time as core_time, types,
};
use wagtailshunt_wire::{self as wire, generated::envelope::envelope::Body};

use crate::{
    control::{frames, group, state},
    settings, transport,
};

const REGISTRY: types::GroupId = types::GroupId(0);

/// Interval at which the registrations of connected VMs are compared with what they state.
const REGISTRATION_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// State that exists only while this VM leads group 0.
pub struct Leader {
    pub grantor: lease::Grantor,
    pub directory: directory::Directory,
    pub containment: containment::Leader,
    /// What each connected gateway is known to have applied.
    gateways: collections::BTreeMap<types::VmId, Known>,
    waiters: Vec<(types::Revision, oneshot::Sender<()>)>,
    reported: types::Revision,
    registering: collections::BTreeSet<types::VmId>,
    /// When the registrations of connected VMs are compared next.
    registrations_due: core_time::Instant,
}

#[derive(Clone, Copy, Debug, Default)]
struct Known {
    revision: types::Revision,
    /// Changes up to this revision are on their way.
    sent: types::Revision,
    directory: directory::Version,
    sent_directory: directory::Version,
}

/// Returns the lease settings of a cluster.
pub fn lease_config(timing: &settings::Timing) -> lease::Config {
    let length = time::Duration::from_millis(timing.lease_ms);
    lease::Config {
        length,
        ..lease::Config::default()
    }
}

impl Leader {
    fn new(
        cfg: lease::Config,
        now: core_time::Instant,
        term: types::Term,
        registry: &registry::Registry,
    ) -> Self {
        let gateways: Vec<types::VmId> = registry
            .vms()
            .filter(|vm| vm.role == types::Role::Gateway)
            .map(|vm| vm.id)
            .collect();
        let revision = registry.revision();
        Leader {
            grantor: lease::Grantor::new(cfg, now, revision, gateways.iter().copied()),
            directory: directory::Directory::new(directory::Config::default(), term, now, gateways),
            containment: containment::Leader::new(containment::LeaderConfig::default(), now),
            gateways: collections::BTreeMap::new(),
            waiters: Vec::new(),
            reported: revision,
            registering: collections::BTreeSet::new(),
            registrations_due: now,
        }
    }

    /// Returns the incarnation that news of a gateway shows as ended without a planned stop. It
    /// settles suspicions whose own gateway was lost.
    fn ended_by(&self, news: &directory::TargetUpdate) -> Option<containment::Target> {
        let key = match news {
            directory::TargetUpdate::Set(target) => &target.key,
            directory::TargetUpdate::Gone { key, .. } => key,
        };
        let known = self.directory.get(key)?;
        let ended = match news {
            directory::TargetUpdate::Set(target) => target.incarnation > known.incarnation,
            directory::TargetUpdate::Gone { incarnation, .. } => *incarnation == known.incarnation,
        };
        let planned = known.state == directory::State::Draining;
        (ended && !planned).then(|| containment::Target {
            service: key.service.clone(),
            id: key.id.clone(),
            incarnation: known.incarnation,
        })
    }

    /// Returns when [`tick`] must be called.
    pub fn next_deadline(&self, now: core_time::Instant) -> Option<core_time::Instant> {
        let lease = self.grantor.next_deadline(now);
        let directory = self.directory.next_deadline();
        let containment = self.containment.next_deadline();
        [lease, directory, containment].into_iter().flatten().min()
    }
}

/// Builds or drops the leader's state when the role in group 0 changes.
pub fn role_changed(state: &rc::Rc<state::State>, leading: bool, term: types::Term) {
    if !leading {
        state.with(|inner| inner.leader = None);
        state.metrics.leading.set(0);
        return;
    }
    let state = state.clone();
    compio::runtime::spawn(async move {
        // Entries of earlier terms must be applied first: they may hold an accepted change.
        if group::read(&state).await.is_err() {
            return;
        }
        let now = state.clock.now();
        let cfg = lease_config(&state.cfg.timing);
        state.with(|inner| {
            let Some(group) = inner.groups.get(&REGISTRY) else {
                return;
            };
            let still_leading = group.node.term() == term
                && group.node.role() == wagtailshunt_core::replication::Role::Leader;
            if let Some(registry) = group.registry().filter(|_| still_leading) {
                inner.leader = Some(Leader::new(cfg, now, term, registry));
            }
        });
        state.metrics.leading.set(i64::from(state.is_leading()));
        register_self(&state).await;
    })
    .detach();
}

/// Registers this VM, so that records it cannot enforce are refused.
async fn register_self(state: &rc::Rc<state::State>) {
    let schemas = records::SCHEMAS.to_vec();
    let registered = state.with(|inner| {
        let registry = inner.groups.get(&REGISTRY)?.registry()?;
        registry
            .vms()
            .find(|vm| vm.id == state.cfg.vm)
            .map(|vm| vm.schemas.clone())
    });
    if registered.as_ref() == Some(&schemas) {
        return;
    }
    let command = registry::Command::RegisterVm {
        vm: state.cfg.vm,
        role: types::Role::Control,
        failure_domain: state.cfg.failure_domain.clone(),
        schemas,
        now: state.clock.wall(),
    };
    if let Err(err) = group::propose(state, &command).await {
        log::debug!("this VM is not registered yet: {err}");
    }
}

/// Handles a lease or directory message of a gateway.
pub fn membership(
    state: &rc::Rc<state::State>,
    peer: &transport::Peer,
    request: u64,
    message: wire::membership::Message,
) {
    if !state.is_leading() {
        return frames::redirect(state, peer.vm, request, REGISTRY);
    }
    let now = state.clock.now();
    match message {
        wire::membership::Message::Renewal(renewal) => renew(state, peer, request, &renewal),
        wire::membership::Message::Change(change) => {
            with_leader(state, |leader| {
                let ended = leader.ended_by(&change.update);
                leader
                    .directory
                    .apply_change(now, peer.vm, peer.incarnation, &change);
                if let Some(target) = ended {
                    leader.containment.incarnation_ended(now, &target);
                }
            });
            pump_containment(state);
            push(state);
        }
        wire::membership::Message::List(list) => {
            with_leader(state, |leader| {
                leader
                    .directory
                    .apply_list(now, peer.vm, peer.incarnation, &list);
            });
            push(state);
        }
        wire::membership::Message::Registration(registration) => {
            register(state, peer, registration.schemas);
        }
        _ => {}
    }
}

fn with_leader<R>(state: &state::State, f: impl FnOnce(&mut Leader) -> R) -> Option<R> {
    state.with(|inner| inner.leader.as_mut().map(f))
}

fn renew(
    state: &rc::Rc<state::State>,
    peer: &transport::Peer,
    request: u64,
    renewal: &lease::Renewal,
) {
    let now = state.clock.now();
    let answer = state.with(|inner| {
        let group = inner.groups.get(&REGISTRY)?;
        let lease_until = group.node.lease_valid_until(now);
        let revision = group.registry()?.revision();
        let leader = inner.leader.as_mut()?;
        let list_wanted = leader.directory.check_digest(
            now,
            renewal.vm,
            renewal.incarnation,
            renewal.registered_targets_digest,
            renewal.registered_targets_count,
        );
        let current = lease::LeaderStatus {
            revision,
            directory: leader.directory.version(),
            digest: leader.directory.digest(),
            list_wanted,
        };
        let known = leader.gateways.entry(renewal.vm).or_default();
        known.revision = renewal.revision;
        known.directory = renewal.directory;
        // What the gateway has not applied by now was lost, unless it is still on its way.
        known.sent = known.sent.max(renewal.revision);
        if renewal.directory == directory::Version::default() {
            known.sent_directory = directory::Version::default();
        }
        Some(leader.grantor.renew(now, lease_until, &current, renewal))
    });
    let Some(answer) = answer else {
        return frames::redirect(state, peer.vm, request, REGISTRY);
    };
    let message = match answer {
        Ok(grant) => {
            state.metrics.granted.inc();
            wire::membership::Message::Grant(grant)
        }
        Err(refusal) => {
            state.metrics.refused.inc();
            wire::membership::Message::Refusal(refusal)
        }
    };
    send(state, peer.vm, request, &message);
    resend(state, renewal);
    push(state);
    check_in_force(state);
}

/// Sends changes again that a renewal shows as missing.
fn resend(state: &state::State, renewal: &lease::Renewal) {
    with_leader(state, |leader| {
        if let Some(known) = leader.gateways.get_mut(&renewal.vm) {
            known.sent = renewal.revision;
            known.sent_directory = renewal.directory;
        }
    });
}

/// Returns whether registrations must be compared; the tick also runs after each ledger request.
fn registrations_due(state: &state::State, now: core_time::Instant) -> bool {
    let due = with_leader(state, |leader| {
        let due = now >= leader.registrations_due;
        if due {
            leader.registrations_due = now + REGISTRATION_INTERVAL;
        }
        due
    });
    due.unwrap_or(false)
}

/// Registers connected VMs whose registration is missing or states other schemas, as after an
/// upgrade.
fn register_connected(state: &rc::Rc<state::State>) {
    for peer in state.links.connected() {
        let schemas: Vec<u32> = (1..=peer.schema).collect();
        let known = state.with(|inner| {
            let registry = inner.groups.get(&REGISTRY)?.registry()?;
            registry
                .vms()
                .find(|vm| vm.id == peer.vm)
                .map(|vm| vm.schemas.clone())
        });
        // A gateway that was removed asks for its registration itself.
        let missing = known.is_none() && peer.role == types::Role::Control;
        if missing || known.is_some_and(|known| known != schemas) {
            register(state, &peer, schemas);
        }
    }
}

fn register(state: &rc::Rc<state::State>, peer: &transport::Peer, schemas: Vec<u32>) {
    let first = with_leader(state, |leader| leader.registering.insert(peer.vm));
    if first != Some(true) {
        return;
    }
    let state = state.clone();
    let peer = peer.clone();
    compio::runtime::spawn(async move {
        let command = registry::Command::RegisterVm {
            vm: peer.vm,
            role: peer.role,
            failure_domain: peer.failure_domain,
            schemas,
            now: state.clock.wall(),
        };
        let reply = group::propose(&state, &command).await;
        with_leader(&state, |leader| {
            leader.registering.remove(&peer.vm);
            if matches!(reply, Ok(registry::Reply::Done)) && peer.role == types::Role::Gateway {
                leader.grantor.add(peer.vm);
            }
        });
        match reply {
            Ok(registry::Reply::Done) => {}
            Ok(reply) => log::warn!("VM {} was not registered: {reply:?}", peer.vm),
            Err(err) => log::warn!("VM {} was not registered: {err}", peer.vm),
        }
    })
    .detach();
}

/// Handles a message about requests that crash targets.
pub fn containment(
    state: &rc::Rc<state::State>,
    peer: &transport::Peer,
    message: wire::containment::Message,
) {
    let now = state.clock.now();
    let led = with_leader(state, |leader| match &message {
        wire::containment::Message::PossibleLoss(doubt) => {
            leader.containment.possible_loss(now, doubt)
        }
        wire::containment::Message::LossRuledOut(doubt) => {
            leader.containment.loss_ruled_out(now, doubt)
        }
        wire::containment::Message::LossConfirmed(report) => {
            leader.containment.loss_confirmed(now, report)
        }
        wire::containment::Message::RequestPermit(request) => {
            leader.containment.request_permit(now, peer.vm, request);
        }
        wire::containment::Message::RunEnded(done) => {
            leader.containment.run_ended(now, peer.vm, done)
        }
        wire::containment::Message::Rebuild(known) => {
            leader.containment.rebuild(now, peer.vm, known);
        }
        _ => {}
    });
    if led.is_none() {
        return frames::redirect(state, peer.vm, 0, REGISTRY);
    }
    if matches!(message, wire::containment::Message::Rebuild(_)) {
        let list = with_leader(state, |leader| leader.containment.list(now)).unwrap_or_default();
        let message = wire::containment::Message::Records(list);
        state
            .links
            .send(peer.vm, 0, Body::Containment((&message).into()));
    }
    pump_containment(state);
}

fn pump_containment(state: &state::State) {
    while let Some(output) = with_leader(state, |leader| leader.containment.poll_output()).flatten()
    {
        match output {
            containment::LeaderOutput::Reply {
                vm,
                call,
                fingerprint,
                reply,
            } => {
                let permit = wire::containment::Permit {
                    call,
                    fingerprint,
                    reply,
                };
                let message = wire::containment::Message::Permit(permit);
                let body = Body::Containment((&message).into());
                state.links.send(vm, 0, body);
            }
            containment::LeaderOutput::Publish(notice) => {
                note(state, &notice);
                let message = wire::containment::Message::Notice(notice);
                let gateways: Vec<types::VmId> =
                    with_leader(state, |leader| leader.gateways.keys().copied().collect())
                        .unwrap_or_default();
                for vm in gateways {
                    let body = Body::Containment((&message).into());
                    state.links.send(vm, 0, body);
                }
            }
        }
    }
}

fn note(state: &state::State, notice: &containment::Notice) {
    match notice {
        containment::Notice::Update(record) => {
            let id = match record.blocked_for {
                Some(_) => event::Id::RequestBlocked,
                None => event::Id::SuspectReported,
            };
            state.events.emit(
                id,
                &[
                    ("fingerprint", &record.suspect.fingerprint),
                    ("request", &record.suspect.label),
                    ("lost_targets", &record.losses.len()),
                ],
            );
        }
        containment::Notice::Cleared(fingerprint) => {
            state
                .events
                .emit(event::Id::BlockLifted, &[("fingerprint", fingerprint)]);
        }
    }
}

/// Reacts to an applied registry command on the leader.
pub fn applied(state: &rc::Rc<state::State>, reply: &registry::Reply) {
    let registry::Reply::Accepted { revision } = reply else {
        return;
    };
    let now = state.clock.now();
    let led = with_leader(state, |leader| leader.grantor.record_change(now, *revision));
    if led.is_none() {
        return;
    }
    state.metrics.accepted.inc();
    state
        .events
        .emit(event::Id::RecordAccepted, &[("revision", revision)]);
    lift_blocks(state);
    push(state);
    check_in_force(state);
}

/// Lifts the blocks that records name.
fn lift_blocks(state: &state::State) {
    let lifted: Vec<String> = state.with(|inner| {
        let Some(registry) = inner.groups.get(&REGISTRY).and_then(group::Group::registry) else {
            return Vec::new();
        };
        let texts = registry
            .list()
            .filter_map(|(_, version)| version.text.as_deref());
        let records = texts.filter_map(|text| records::parse(text).ok());
        records
            .filter_map(|record| record.service().map(|spec| spec.unblock.clone()))
            .flatten()
            .collect()
    });
    with_leader(state, |leader| {
        for text in lifted {
            if let Ok(fingerprint) = text.parse() {
                leader.containment.lift(fingerprint);
            }
        }
    });
    pump_containment(state);
}

/// Sends every connected gateway the record and directory changes that it lacks.
pub fn push(state: &rc::Rc<state::State>) {
    let messages = state.with(|inner| {
        let mut messages = Vec::new();
        let Some(registry) = inner.groups.get(&REGISTRY).and_then(group::Group::registry) else {
            return messages;
        };
        let Some(leader) = inner.leader.as_mut() else {
            return messages;
        };
        let revision = registry.revision();
        let version = leader.directory.version();
        for (vm, known) in &mut leader.gateways {
            if known.sent < revision {
                let changes = registry.changes_since(known.revision.max(known.sent));
                messages.push((*vm, Body::Records(wire::records::encode_changes(&changes))));
                known.sent = revision;
            }
            if known.sent_directory != version
                && let Some(delta) = leader.directory.changes_since(known.sent_directory)
            {
                known.sent_directory = delta.to;
                let message = wire::membership::Message::Delta(delta);
                messages.push((*vm, Body::Membership(message.encode())));
            }
        }
        messages
    });
    for (vm, body) in messages {
        state.links.send(vm, 0, body);
    }
}

fn send(state: &state::State, vm: types::VmId, request: u64, msg: &wire::membership::Message) {
    state
        .links
        .send(vm, request, Body::Membership(msg.encode()));
}

/// Ends what has run out and reports changes that came into force.
pub fn tick(state: &rc::Rc<state::State>) {
    let now = state.clock.now();
    let led = with_leader(state, |leader| {
        leader.directory.expire(now);
        leader.containment.tick(now);
        i64::try_from(leader.directory.len()).unwrap_or(i64::MAX)
    });
    if let Some(targets) = led {
        if registrations_due(state, now) {
            register_connected(state);
        }
        state.metrics.targets.set(targets);
        pump_containment(state);
        push(state);
        check_in_force(state);
    }
}

fn check_in_force(state: &state::State) {
    let now = state.clock.now();
    let reported = with_leader(state, |leader| {
        let in_force = leader.grantor.in_force(now);
        let waiters = std::mem::take(&mut leader.waiters);
        for (revision, tx) in waiters {
            if revision <= in_force {
                // The operator's connection may have ended.
                let _ = tx.send(());
            } else {
                leader.waiters.push((revision, tx));
            }
        }
        let news = in_force > leader.reported;
        leader.reported = leader.reported.max(in_force);
        news.then_some(in_force)
    });
    if let Some(Some(revision)) = reported {
        state
            .events
            .emit(event::Id::RecordInForce, &[("revision", &revision)]);
    }
}

/// Returns whether a revision is in force on every VM, as far as this VM knows.
pub fn is_in_force(state: &state::State, revision: types::Revision) -> bool {
    let now = state.clock.now();
    with_leader(state, |leader| leader.grantor.in_force(now) >= revision).unwrap_or(false)
}

/// Waits until a revision is in force; returns false after `limit` or a change of leader.
pub async fn wait_in_force(
    state: &state::State,
    revision: types::Revision,
    limit: time::Duration,
) -> bool {
    if is_in_force(state, revision) {
        return true;
    }
    let (tx, rx) = oneshot::channel();
    with_leader(state, |leader| leader.waiters.push((revision, tx)));
    matches!(compio::time::timeout(limit, rx).await, Ok(Ok(())))
}

/// Returns the VMs that hold a revision back.
pub fn holding_back(state: &state::State, revision: types::Revision) -> Vec<types::VmId> {
    let now = state.clock.now();
    with_leader(state, |leader| leader.grantor.vms_behind(now, revision)).unwrap_or_default()
}

/// Stops granting leases to a gateway and waits until its last one has surely ended.
pub async fn end_lease(state: &state::State, vm: types::VmId) {
    loop {
        let now = state.clock.now();
        let removal = with_leader(state, |leader| leader.grantor.remove(now, vm));
        match removal {
            Some(lease::Removal::Wait(until)) => state.clock.sleep_until(until).await,
            Some(lease::Removal::Ended) | None => return,
        }
    }
}
