//! State that only the leader of group 0 holds: leases, target directory and crash suspects.
//!
//! The state is not replicated. A new leader rebuilds it from the registry and from messages of the
//! gateways, and sends record and directory changes to them.

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

const REGISTRY_GROUP: types::GroupId = types::GroupId(0);

/// Interval between checks of the registrations of connected VMs against the schemas they state.
const REGISTRATION_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// State of the leader; exists only while this VM leads group 0.
pub struct Leader {
    pub grantor: lease::Grantor,
    pub directory: directory::Directory,
    pub containment: containment::Leader,
    /// Versions that each gateway has applied and was sent.
    gateways: collections::BTreeMap<types::VmId, GatewayProgress>,
    /// Requests that wait for a revision to be in force.
    in_force_waiters: Vec<(types::Revision, oneshot::Sender<()>)>,
    /// Highest revision that was reported as in force.
    reported_in_force: types::Revision,
    /// VMs whose registration is being committed.
    pending_registrations: collections::BTreeSet<types::VmId>,
    /// Time of the next check of the registrations of connected VMs.
    next_registration_check: core_time::Instant,
}

/// Record revision and directory version of one gateway.
#[derive(Clone, Copy, Debug, Default)]
struct GatewayProgress {
    /// Revision that the gateway reported as applied.
    applied_revision: types::Revision,
    /// Changes up to this revision were sent.
    sent_revision: types::Revision,
    /// Directory version that the gateway reported as applied.
    applied_directory: directory::Version,
    /// Directory changes up to this version were sent.
    sent_directory: directory::Version,
}

/// Returns the configuration of the leases for the given times.
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
            in_force_waiters: Vec::new(),
            reported_in_force: revision,
            pending_registrations: collections::BTreeSet::new(),
            next_registration_check: now,
        }
    }

    /// Returns the target incarnation that ended without a planned stop according to a gateway's
    /// update.
    ///
    /// This resolves suspicions reported by a gateway that has since been lost.
    fn ended_incarnation(&self, update: &directory::TargetUpdate) -> Option<containment::Target> {
        let key = match update {
            directory::TargetUpdate::Set(target) => &target.key,
            directory::TargetUpdate::Gone { key, .. } => key,
        };
        let known = self.directory.get(key)?;
        let ended = match update {
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

    /// Returns the time of the next call to [`tick`], if one is needed.
    pub fn next_deadline(&self, now: core_time::Instant) -> Option<core_time::Instant> {
        let lease = self.grantor.next_deadline(now);
        let directory = self.directory.next_deadline();
        let containment = self.containment.next_deadline();
        [lease, directory, containment].into_iter().flatten().min()
    }
}

/// Creates or drops the leader's state when the role of this VM in group 0 changes.
pub fn role_changed(state: &rc::Rc<state::State>, leading: bool, term: types::Term) {
    if !leading {
        state.with(|inner| inner.leader = None);
        state.metrics.leading.set(0);
        return;
    }
    let state = state.clone();
    compio::runtime::spawn(async move {
        // Entries of earlier terms must be applied first, because they may contain an accepted
        // change.
        if group::read_barrier(&state).await.is_err() {
            return;
        }
        let now = state.clock.now();
        let cfg = lease_config(&state.cfg.timing);
        state.with(|inner| {
            let Some(group) = inner.groups.get(&REGISTRY_GROUP) else {
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

/// Registers this VM and its record schemas, so that records that it cannot enforce are refused.
async fn register_self(state: &rc::Rc<state::State>) {
    let schemas = records::SCHEMAS.to_vec();
    let registered = state.with(|inner| {
        let registry = inner.groups.get(&REGISTRY_GROUP)?.registry()?;
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
        log::debug!("cannot register this VM: {err}; retried after the next leader change");
    }
}

/// Handles a lease, directory or registration message from a gateway.
pub fn handle_membership(
    state: &rc::Rc<state::State>,
    peer: &transport::Peer,
    request: u64,
    message: wire::membership::Message,
) {
    if !state.is_leading() {
        return frames::send_redirect(state, peer.vm, request, REGISTRY_GROUP);
    }
    let now = state.clock.now();
    match message {
        wire::membership::Message::Renewal(renewal) => {
            handle_renewal(state, peer, request, &renewal)
        }
        wire::membership::Message::Change(change) => {
            with_leader(state, |leader| {
                let ended = leader.ended_incarnation(&change.update);
                leader
                    .directory
                    .apply_change(now, peer.vm, peer.incarnation, &change);
                if let Some(target) = ended {
                    leader.containment.incarnation_ended(now, &target);
                }
            });
            process_containment_outputs(state);
            send_changes(state);
        }
        wire::membership::Message::List(list) => {
            with_leader(state, |leader| {
                leader
                    .directory
                    .apply_list(now, peer.vm, peer.incarnation, &list);
            });
            send_changes(state);
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

fn handle_renewal(
    state: &rc::Rc<state::State>,
    peer: &transport::Peer,
    request: u64,
    renewal: &lease::Renewal,
) {
    let now = state.clock.now();
    let result = state.with(|inner| {
        let group = inner.groups.get(&REGISTRY_GROUP)?;
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
        let leader_status = lease::LeaderStatus {
            revision,
            directory: leader.directory.version(),
            digest: leader.directory.digest(),
            list_wanted,
        };
        let progress = leader.gateways.entry(renewal.vm).or_default();
        progress.applied_revision = renewal.revision;
        progress.applied_directory = renewal.directory;
        // Changes that the gateway has not applied yet may still be in transit.
        progress.sent_revision = progress.sent_revision.max(renewal.revision);
        if renewal.directory == directory::Version::default() {
            progress.sent_directory = directory::Version::default();
        }
        Some(
            leader
                .grantor
                .renew(now, lease_until, &leader_status, renewal),
        )
    });
    let Some(result) = result else {
        return frames::send_redirect(state, peer.vm, request, REGISTRY_GROUP);
    };
    let message = match result {
        Ok(grant) => {
            state.metrics.granted.inc();
            wire::membership::Message::Grant(grant)
        }
        Err(refusal) => {
            state.metrics.refused.inc();
            wire::membership::Message::Refusal(refusal)
        }
    };
    send_membership(state, peer.vm, request, &message);
    reset_sent(state, renewal);
    send_changes(state);
    check_in_force(state);
}

/// Resets the sent versions to those that a renewal reports as applied, so that missing changes are
/// sent again.
fn reset_sent(state: &state::State, renewal: &lease::Renewal) {
    with_leader(state, |leader| {
        if let Some(progress) = leader.gateways.get_mut(&renewal.vm) {
            progress.sent_revision = renewal.revision;
            progress.sent_directory = renewal.directory;
        }
    });
}

/// Returns whether the check of registrations is due; [`tick`] runs more often than that.
fn registrations_due(state: &state::State, now: core_time::Instant) -> bool {
    let due = with_leader(state, |leader| {
        let due = now >= leader.next_registration_check;
        if due {
            leader.next_registration_check = now + REGISTRATION_CHECK_INTERVAL;
        }
        due
    });
    due.unwrap_or(false)
}

/// Registers connected VMs whose registration is missing or has other schemas, as after an upgrade.
fn register_connected(state: &rc::Rc<state::State>) {
    for peer in state.links.connected() {
        let schemas: Vec<u32> = (1..=peer.schema).collect();
        let known = state.with(|inner| {
            let registry = inner.groups.get(&REGISTRY_GROUP)?.registry()?;
            registry
                .vms()
                .find(|vm| vm.id == peer.vm)
                .map(|vm| vm.schemas.clone())
        });
        // A gateway that was removed requests its registration itself.
        let missing = known.is_none() && peer.role == types::Role::Control;
        if missing || known.is_some_and(|known| known != schemas) {
            register(state, &peer, schemas);
        }
    }
}

fn register(state: &rc::Rc<state::State>, peer: &transport::Peer, schemas: Vec<u32>) {
    let first = with_leader(state, |leader| leader.pending_registrations.insert(peer.vm));
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
            leader.pending_registrations.remove(&peer.vm);
            if matches!(reply, Ok(registry::Reply::Done)) && peer.role == types::Role::Gateway {
                leader.grantor.add(peer.vm);
            }
        });
        match reply {
            Ok(registry::Reply::Done) => {}
            Ok(reply) => log::warn!("registration of VM {} was refused: {reply:?}", peer.vm),
            Err(err) => log::warn!("cannot register VM {}: {err}", peer.vm),
        }
    })
    .detach();
}

/// Handles a message about requests that are suspected of crashing targets.
pub fn handle_containment(
    state: &rc::Rc<state::State>,
    peer: &transport::Peer,
    message: wire::containment::Message,
) {
    let now = state.clock.now();
    let result = with_leader(state, |leader| match &message {
        wire::containment::Message::PossibleLoss(suspect) => {
            leader.containment.possible_loss(now, suspect)
        }
        wire::containment::Message::LossRuledOut(suspect) => {
            leader.containment.loss_ruled_out(now, suspect)
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
    if result.is_none() {
        return frames::send_redirect(state, peer.vm, 0, REGISTRY_GROUP);
    }
    if matches!(message, wire::containment::Message::Rebuild(_)) {
        let list = with_leader(state, |leader| leader.containment.list(now)).unwrap_or_default();
        let message = wire::containment::Message::Records(list);
        state
            .links
            .send(peer.vm, 0, Body::Containment((&message).into()));
    }
    process_containment_outputs(state);
}

fn process_containment_outputs(state: &state::State) {
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
                emit_containment_event(state, &notice);
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

/// Emits the event for a change in the list of suspects.
fn emit_containment_event(state: &state::State, notice: &containment::Notice) {
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

/// Handles the result of an applied registry command if this VM is the leader.
pub fn handle_applied(state: &rc::Rc<state::State>, reply: &registry::Reply) {
    let registry::Reply::Accepted { revision } = reply else {
        return;
    };
    let now = state.clock.now();
    let result = with_leader(state, |leader| leader.grantor.record_change(now, *revision));
    if result.is_none() {
        return;
    }
    state.metrics.accepted.inc();
    state
        .events
        .emit(event::Id::RecordAccepted, &[("revision", revision)]);
    lift_blocks(state);
    send_changes(state);
    check_in_force(state);
}

/// Lifts the blocks of the requests that service records list under `unblock`.
fn lift_blocks(state: &state::State) {
    let lifted: Vec<String> = state.with(|inner| {
        let Some(registry) = inner
            .groups
            .get(&REGISTRY_GROUP)
            .and_then(group::Group::registry)
        else {
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
    process_containment_outputs(state);
}

/// Sends each gateway the record and directory changes that it was not sent yet.
pub fn send_changes(state: &rc::Rc<state::State>) {
    let messages = state.with(|inner| {
        let mut messages = Vec::new();
        let Some(registry) = inner
            .groups
            .get(&REGISTRY_GROUP)
            .and_then(group::Group::registry)
        else {
            return messages;
        };
        let Some(leader) = inner.leader.as_mut() else {
            return messages;
        };
        let revision = registry.revision();
        let version = leader.directory.version();
        for (vm, progress) in &mut leader.gateways {
            if progress.sent_revision < revision {
                let changes =
                    registry.changes_since(progress.applied_revision.max(progress.sent_revision));
                messages.push((*vm, Body::Records(wire::records::encode_changes(&changes))));
                progress.sent_revision = revision;
            }
            if progress.sent_directory != version
                && let Some(delta) = leader.directory.changes_since(progress.sent_directory)
            {
                progress.sent_directory = delta.to;
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

fn send_membership(
    state: &state::State,
    vm: types::VmId,
    request: u64,
    msg: &wire::membership::Message,
) {
    state
        .links
        .send(vm, request, Body::Membership(msg.encode()));
}

/// Expires targets and suspicions, sends pending changes, and reports revisions newly in force.
pub fn tick(state: &rc::Rc<state::State>) {
    let now = state.clock.now();
    let result = with_leader(state, |leader| {
        leader.directory.expire(now);
        leader.containment.tick(now);
        i64::try_from(leader.directory.len()).unwrap_or(i64::MAX)
    });
    if let Some(targets) = result {
        if registrations_due(state, now) {
            register_connected(state);
        }
        state.metrics.targets.set(targets);
        process_containment_outputs(state);
        send_changes(state);
        check_in_force(state);
    }
}

fn check_in_force(state: &state::State) {
    let now = state.clock.now();
    let newly_in_force = with_leader(state, |leader| {
        let in_force = leader.grantor.in_force(now);
        let in_force_waiters = std::mem::take(&mut leader.in_force_waiters);
        for (revision, tx) in in_force_waiters {
            if revision <= in_force {
                // The operator may have disconnected.
                let _ = tx.send(());
            } else {
                leader.in_force_waiters.push((revision, tx));
            }
        }
        let advanced = in_force > leader.reported_in_force;
        leader.reported_in_force = leader.reported_in_force.max(in_force);
        advanced.then_some(in_force)
    });
    if let Some(Some(revision)) = newly_in_force {
        state
            .events
            .emit(event::Id::RecordInForce, &[("revision", &revision)]);
    }
}

/// Returns whether a revision is in force on every VM; false if this VM is not the leader.
pub fn is_in_force(state: &state::State, revision: types::Revision) -> bool {
    let now = state.clock.now();
    with_leader(state, |leader| leader.grantor.in_force(now) >= revision).unwrap_or(false)
}

/// Waits until a revision is in force; returns false after `limit` or if leadership is lost.
pub async fn wait_in_force(
    state: &state::State,
    revision: types::Revision,
    limit: time::Duration,
) -> bool {
    if is_in_force(state, revision) {
        return true;
    }
    let (tx, rx) = oneshot::channel();
    with_leader(state, |leader| leader.in_force_waiters.push((revision, tx)));
    matches!(compio::time::timeout(limit, rx).await, Ok(Ok(())))
}

/// Returns the VMs that may still serve an older revision.
pub fn vms_behind(state: &state::State, revision: types::Revision) -> Vec<types::VmId> {
    let now = state.clock.now();
    with_leader(state, |leader| leader.grantor.vms_behind(now, revision)).unwrap_or_default()
}

/// Stops granting leases to a gateway and waits until its last lease has expired.
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
