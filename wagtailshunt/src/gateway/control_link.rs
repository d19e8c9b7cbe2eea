//! Connections of the gateway to the control VMs: renews the lease, receives records and directory
//! changes, and sends ledger requests and containment messages to the leaders.

use std::{cell, collections, rc, time};

use futures_channel::oneshot;
use futures_util::{FutureExt, pin_mut, select_biased};
use wagtailshunt_core::{directory, lease, ledger, records, time as core_time, types};
use wagtailshunt_wire::{
    self as wire,
    generated::{envelope, envelope::envelope::Body, ledger as ledger_proto},
};

use crate::{
    gateway::{isolation, keyed, state},
    transport,
};

/// Group that grants leases and replicates records and the registry.
const REGISTRY_GROUP: types::GroupId = types::GroupId(0);

/// Time without a reply of the leader, two renewals, after which the next control VM is tried.
const LEADER_TIMEOUT: time::Duration = time::Duration::from_millis(1000);

/// Shortest time between two changes to another control VM while no leader is known. Also the
/// interval at which a waiting request checks that its connection is still open.
const LEADER_SEARCH_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Longest sleep of the task that renews the lease.
const MAX_SLEEP: time::Duration = time::Duration::from_millis(500);

/// Interval between two attempts of a ledger request.
pub const LEDGER_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Failed attempts of a ledger request after which the next control VM is tried. With
/// [`LEDGER_RETRY_INTERVAL`], a new connection has 100 ms to open.
const ATTEMPTS_PER_VM: u32 = 5;

/// Connections of a gateway to the control VMs, each opened on first use.
#[derive(Default)]
pub struct Links {
    dialers: cell::RefCell<collections::BTreeMap<types::VmId, transport::Dialer>>,
    /// Known or assumed leader of each group.
    leaders: cell::RefCell<collections::BTreeMap<types::GroupId, types::VmId>>,
    /// Time of the last grant or refusal.
    last_contact: cell::Cell<core_time::Instant>,
    /// Time of the last change to another control VM.
    last_search: cell::Cell<core_time::Instant>,
    /// Ledger requests in flight by request id.
    pending_requests:
        cell::RefCell<collections::BTreeMap<u64, oneshot::Sender<Option<ledger::ServiceReply>>>>,
    last_request_id: cell::Cell<u64>,
    wake: cell::RefCell<Option<oneshot::Sender<()>>>,
    stopped: cell::Cell<bool>,
    /// Term of the leader that sent the last grant.
    term: cell::Cell<types::Term>,
}

impl Links {
    /// Returns the last known leader of group 0, if any.
    pub fn leader(&self) -> Option<types::VmId> {
        self.leaders.borrow().get(&REGISTRY_GROUP).copied()
    }

    /// Returns whether [`Links::stop`] was called.
    pub fn is_stopped(&self) -> bool {
        self.stopped.get()
    }

    /// Closes all connections permanently.
    pub fn stop(&self) {
        self.stopped.set(true);
        for dialer in std::mem::take(&mut *self.dialers.borrow_mut()).into_values() {
            dialer.stop();
        }
        self.wake();
    }

    fn wake(&self) {
        if let Some(tx) = self.wake.borrow_mut().take() {
            // The receiver is gone if the timer has just woken the task.
            let _ = tx.send(());
        }
    }

    fn next_request_id(&self) -> u64 {
        self.last_request_id.set(self.last_request_id.get() + 1);
        self.last_request_id.get()
    }

    /// Replaces the assumed leader of a group by the next control VM in the order of ids.
    fn next_candidate(&self, state: &state::State, group: types::GroupId) {
        let current = self.leaders.borrow().get(&group).copied();
        let vms = || state.cfg.control.keys().copied();
        let next = vms()
            .find(|vm| Some(*vm) > current)
            .or_else(|| vms().next());
        if let Some(next) = next {
            self.leaders.borrow_mut().insert(group, next);
        }
    }
}

/// Starts the task that renews the lease.
pub fn start(state: &rc::Rc<state::State>) {
    let state = state.clone();
    compio::runtime::spawn(async move {
        while !state.links.stopped.get() {
            maintain_lease(&state);
            let now = state.now();
            let due = state.with(|inner| inner.holder.next_deadline(now));
            let next = due.map_or(now + MAX_SLEEP, |due| due.min(now + MAX_SLEEP));
            let (tx, rx) = oneshot::channel();
            *state.links.wake.borrow_mut() = Some(tx);
            // A renewal that could not be sent remains due; a short sleep avoids a busy loop.
            let next = next.max(now + time::Duration::from_millis(5));
            let woken = rx.fuse();
            let timer = state.clock.sleep_until(next).fuse();
            pin_mut!(woken, timer);
            select_biased! {
                _ = woken => {}
                () = timer => {}
            }
        }
    })
    .detach();
}

fn maintain_lease(state: &rc::Rc<state::State>) {
    state.record_lease_change();
    let now = state.now();
    let links = &state.links;
    let timed_out = now.since(links.last_contact.get()) >= LEADER_TIMEOUT;
    let search_due = now.since(links.last_search.get()) >= LEADER_TIMEOUT;
    if links.leader().is_none() || (timed_out && search_due) {
        links.next_candidate(state, REGISTRY_GROUP);
        links.last_search.set(now);
        state.with(|inner| inner.holder.renew_now(now));
    }
    if !state.with(|inner| inner.holder.renewal_due(now)) {
        return;
    }
    let Some(handle) = leader_connection(state, REGISTRY_GROUP) else {
        return;
    };
    let renewal = state.with(|inner| {
        let status = gateway_status(inner);
        inner.holder.start_renewal(now, &status)
    });
    let message = wire::membership::Message::Renewal(renewal);
    handle.send(links.next_request_id(), Body::Membership(message.encode()));
}

fn gateway_status(inner: &state::Inner) -> lease::GatewayStatus {
    lease::GatewayStatus {
        revision: inner.table.revision(),
        directory: inner.view.version(),
        registered_targets_digest: inner.registered_targets.digest(),
        registered_targets_count: u32::try_from(inner.registered_targets.len()).unwrap_or(u32::MAX),
    }
}

/// Returns the open connection to the leader of a group, or starts opening one.
fn leader_connection(
    state: &rc::Rc<state::State>,
    group: types::GroupId,
) -> Option<transport::Handle> {
    let leader = state.links.leaders.borrow().get(&group).copied();
    let Some(leader) = leader else {
        state.links.next_candidate(state, group);
        return None;
    };
    let mut dialers = state.links.dialers.borrow_mut();
    let dialer = match dialers.entry(leader) {
        collections::btree_map::Entry::Occupied(entry) => entry.into_mut(),
        collections::btree_map::Entry::Vacant(entry) => {
            let address = *state.cfg.control.get(&leader)?;
            entry.insert(dial(state, address))
        }
    };
    dialer.handle()
}

fn dial(state: &rc::Rc<state::State>, address: std::net::SocketAddr) -> transport::Dialer {
    let identity = rc::Rc::new(transport::Identity {
        cluster: state.cfg.cluster.clone(),
        vm: state.cfg.vm,
        incarnation: state.incarnation,
        role: types::Role::Gateway,
        failure_domain: state.cfg.failure_domain.clone(),
        schema: records::SCHEMAS.iter().copied().max().unwrap_or_default(),
        key: state.cfg.keys.cluster.clone(),
        events: state.events.clone(),
    });
    let on_open_state = rc::Rc::downgrade(state);
    let on_frame_state = rc::Rc::downgrade(state);
    transport::dial(
        identity,
        address,
        move |_, _| {
            if let Some(state) = on_open_state.upgrade() {
                let now = state.now();
                state.with(|inner| inner.holder.renew_now(now));
                state.links.wake();
            }
        },
        move |peer: &transport::Peer, envelope| {
            if let Some(state) = on_frame_state.upgrade() {
                handle_envelope(&state, peer, envelope);
            }
        },
    )
}

fn handle_envelope(
    state: &rc::Rc<state::State>,
    peer: &transport::Peer,
    envelope: envelope::Envelope,
) {
    match envelope.body {
        Some(Body::Membership(msg)) => {
            match wire::membership::Message::decode(msg, peer.vm, peer.incarnation) {
                Ok(message) => handle_membership(state, peer, message),
                Err(err) => log::warn!(
                    "ignored invalid membership message of VM {}: {err}",
                    peer.vm
                ),
            }
        }
        Some(Body::Records(msg)) => match wire::records::decode_changes(msg) {
            Ok(changes) => {
                state.apply_records(&changes);
                renew_now(state);
            }
            Err(err) => log::warn!("ignored invalid record changes of VM {}: {err}", peer.vm),
        },
        Some(Body::Containment(msg)) => match wire::containment::Message::try_from(msg) {
            Ok(message) => isolation::handle_message(state, &message),
            Err(err) => log::warn!(
                "ignored invalid containment message of VM {}: {err}",
                peer.vm
            ),
        },
        Some(Body::Redirect(redirect)) => handle_redirect(state, envelope.request, &redirect),
        Some(Body::Ledger(msg)) => match decode_ledger_reply(msg) {
            Ok(Some(ledger_reply)) => handle_ledger_reply(state, envelope.request, ledger_reply),
            Ok(None) => {}
            Err(err) => log::warn!("ignored invalid ledger reply of VM {}: {err}", peer.vm),
        },
        _ => {}
    }
}

fn decode_ledger_reply(
    msg: ledger_proto::LedgerMessage,
) -> Result<Option<wire::ledger::AddressedReply>, wire::ledger::Error> {
    match msg.body {
        Some(ledger_proto::ledger_message::Body::Reply(reply)) => reply.try_into().map(Some),
        _ => Ok(None),
    }
}

fn handle_ledger_reply(
    state: &rc::Rc<state::State>,
    request: u64,
    ledger_reply: wire::ledger::AddressedReply,
) {
    let is_pending = state.links.pending_requests.borrow().contains_key(&request);
    if is_pending {
        return complete_request(state, request, Some(ledger_reply.reply));
    }
    // The request was abandoned. A late grant is released, so that a resend can claim the key.
    if let ledger::ServiceReply::Reply(reply) = &ledger_reply.reply {
        let release = state
            .late_grants
            .borrow()
            .handle_reply(ledger_reply.holder, reply);
        if let Some(release) = release {
            keyed::notify_ledger(state, release);
        }
    }
}

fn renew_now(state: &state::State) {
    let now = state.now();
    state.with(|inner| inner.holder.renew_now(now));
    state.links.wake();
}

fn handle_membership(
    state: &rc::Rc<state::State>,
    peer: &transport::Peer,
    message: wire::membership::Message,
) {
    let now = state.now();
    match message {
        wire::membership::Message::Grant(grant) => {
            state.links.last_contact.set(now);
            state
                .links
                .leaders
                .borrow_mut()
                .insert(REGISTRY_GROUP, peer.vm);
            handle_grant(state, &grant);
            let term = grant.current.directory.term;
            if state.links.term.replace(term) != term {
                isolation::leader_changed(state);
            }
        }
        wire::membership::Message::Refusal(refusal) => {
            state.links.last_contact.set(now);
            state.with(|inner| inner.holder.refused(now, &refusal));
            match refusal {
                lease::Refusal::NotRegistered => register_vm(state),
                lease::Refusal::NotLeader => state.links.next_candidate(state, REGISTRY_GROUP),
                // The incarnation is the wall-clock time at start. The clock has gone back since a
                // later incarnation started, so only a restart after that time gets a lease.
                lease::Refusal::Superseded { incarnation } => log::warn!(
                    "lease refused: incarnation {} of this process is older than {incarnation}; \
                     no calls are served until a restart with a later one",
                    state.incarnation
                ),
                _ => {}
            }
            state.links.wake();
        }
        wire::membership::Message::Delta(delta) => {
            state.apply_directory(&delta);
            // The next renewal reports the applied version to the leader.
        }
        _ => {}
    }
}

fn handle_grant(state: &rc::Rc<state::State>, grant: &lease::Grant) {
    let now = state.clock.now();
    let comparison = state.with(|inner| {
        let current = &grant.current;
        let comparison = inner.view.compare(current.directory, current.digest);
        inner.holder.granted(now, grant, comparison);
        comparison
    });
    state.record_lease_change();
    if comparison == directory::ViewComparison::Differs {
        renew_now(state);
    }
    if grant.current.list_wanted {
        let list = state.with(|inner| inner.registered_targets.list());
        send_membership(state, &wire::membership::Message::List(list));
    }
}

fn register_vm(state: &rc::Rc<state::State>) {
    let vm = wagtailshunt_core::registry::Vm {
        id: state.cfg.vm,
        role: types::Role::Gateway,
        failure_domain: state.cfg.failure_domain.clone(),
        schemas: records::SCHEMAS.to_vec(),
    };
    send_membership(state, &wire::membership::Message::Registration(vm));
}

fn send_membership(state: &state::State, message: &wire::membership::Message) -> bool {
    let leader = state.links.leader();
    let dialers = state.links.dialers.borrow();
    let handle = leader.and_then(|leader| dialers.get(&leader)?.handle());
    handle.is_some_and(|handle| handle.send(0, Body::Membership(message.encode())))
}

/// Sends a containment message to the leader.
pub fn send_containment(state: &state::State, message: &wire::containment::Message) -> bool {
    let leader = state.links.leader();
    let dialers = state.links.dialers.borrow();
    let handle = leader.and_then(|leader| dialers.get(&leader)?.handle());
    handle.is_some_and(|handle| handle.send(0, Body::Containment(message.into())))
}

/// Sends a change of the registered targets to the leader. A lost change is detected by the digest
/// in the next renewal.
pub fn send_target_change(state: &state::State, change: &directory::Change) {
    send_membership(state, &wire::membership::Message::Change(change.clone()));
}

fn handle_redirect(state: &rc::Rc<state::State>, request: u64, redirect: &envelope::Redirect) {
    let group = types::GroupId(redirect.group);
    let leader = types::VmId(redirect.leader);
    let now = state.now();
    if state.cfg.control.contains_key(&leader) {
        state.links.leaders.borrow_mut().insert(group, leader);
    } else if now.since(state.links.last_search.get()) >= LEADER_SEARCH_INTERVAL {
        state.links.last_search.set(now);
        state.links.next_candidate(state, group);
    }
    if group == REGISTRY_GROUP {
        state.with(|inner| {
            inner.holder.refused(now, &lease::Refusal::NotLeader);
        });
        state.links.wake();
    }
    complete_request(state, request, None);
}

fn complete_request(state: &state::State, request: u64, reply: Option<ledger::ServiceReply>) {
    let sender = state.links.pending_requests.borrow_mut().remove(&request);
    if let Some(tx) = sender {
        // The call may have ended; it then releases a late grant itself.
        let _ = tx.send(reply);
    }
}

/// Sends a request to the ledger until a reply arrives or `deadline` passes.
pub async fn request_ledger(
    state: &rc::Rc<state::State>,
    request: &ledger::Request,
    deadline: core_time::Instant,
) -> Option<ledger::ServiceReply> {
    let shard = request.key().shard(state.cfg.ledger_shards);
    let group = types::GroupId(1 + shard);
    let mut failed_attempts = 0;
    while state.now() < deadline && !state.links.stopped.get() {
        if let Some(reply) = send_ledger_request(state, group, request, deadline).await {
            return Some(reply);
        }
        failed_attempts += 1;
        if failed_attempts % ATTEMPTS_PER_VM == 0 {
            // The VM may have failed, and no other message reports a new leader of the shard.
            state.links.next_candidate(state, group);
        }
        let pause = LEDGER_RETRY_INTERVAL.min(deadline.since(state.now()));
        compio::time::sleep(pause).await;
    }
    None
}

async fn send_ledger_request(
    state: &rc::Rc<state::State>,
    group: types::GroupId,
    request: &ledger::Request,
    deadline: core_time::Instant,
) -> Option<ledger::ServiceReply> {
    let handle = leader_connection(state, group)?;
    let id = state.links.next_request_id();
    let (tx, rx) = oneshot::channel();
    state.links.pending_requests.borrow_mut().insert(id, tx);
    let body = ledger_proto::ledger_message::Body::Request(request.into());
    let msg = ledger_proto::LedgerMessage {
        group: group.0,
        body: Some(body),
    };
    handle.send(id, Body::Ledger(msg));
    let limit = LEADER_TIMEOUT.min(deadline.since(state.now()));
    let may_wait = matches!(request, ledger::Request::Claim { .. });
    // A claim may wait for the result of the first run; other requests get an immediate reply.
    let limit = if may_wait {
        deadline.since(state.now())
    } else {
        limit
    };
    let result = wait_for_reply(&handle, rx, limit).await;
    state.links.pending_requests.borrow_mut().remove(&id);
    match result {
        Some(reply) => reply,
        None => {
            state.links.next_candidate(state, group);
            None
        }
    }
}

/// Waits for a reply while the connection is open.
async fn wait_for_reply<T>(
    handle: &transport::Handle,
    mut rx: oneshot::Receiver<T>,
    limit: time::Duration,
) -> Option<T> {
    let started = time::Instant::now();
    loop {
        let left = limit.checked_sub(started.elapsed())?;
        match compio::time::timeout(left.min(LEADER_SEARCH_INTERVAL), &mut rx).await {
            Ok(result) => return result.ok(),
            Err(_) if !handle.is_open() => return None,
            Err(_) => {}
        }
    }
}

/// Releases the lease and notifies the leader, twice in case the first frame is lost.
pub async fn release_lease(state: &state::State) {
    for _ in 0..2 {
        let renewal = state.with(|inner| {
            let status = gateway_status(inner);
            inner.holder.release(&status)
        });
        send_membership(state, &wire::membership::Message::Renewal(renewal));
        compio::time::sleep(time::Duration::from_millis(20)).await;
    }
    state.links.stop();
}
