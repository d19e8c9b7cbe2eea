//! Lease on the API keys of the configuration: requests to the leader, their replies, and the calls
//! that wait for them.
//!
//! `wagtailshunt_core::key_lease` decides when a request is due, what a reply grants and which
//! requests a round of the quorum answers. A VM whose connection to the leader is closed or silent
//! also sends its requests to another VM, which forwards them to the leader.
//!
//! Nothing here runs unless the settings demand that revoked keys are refused everywhere and the
//! configuration has workspaces.

use std::{cell, rc, time};

use futures_channel::oneshot;
use rand::{Rng, SeedableRng, rngs};
use wagtailshunt_core::{
    event, key_lease, key_lease::Change, key_lease::Pace, key_lease::ReplyOutcome, types,
};
use wagtailshunt_wire::{self as wire, generated::fleet::fleet_message::Body as Fleet};

use crate::entry::{replica, state, state_transfer};

/// Waiting calls from which the list is searched for those that have ended.
const MIN_WAITERS_TO_PRUNE: usize = 64;

/// The lease of this VM, and the requests of others while it leads.
#[derive(Debug)]
pub struct KeyLease {
    /// `None` unless revoked keys must be refused everywhere.
    holder: Option<cell::RefCell<key_lease::Holder>>,
    rounds: cell::RefCell<key_lease::Rounds>,
    watch: cell::RefCell<key_lease::Watch>,
    waiters: cell::RefCell<Vec<oneshot::Sender<()>>>,
    /// Number of waiters at which ended ones are removed.
    prune_at: cell::Cell<usize>,
    /// Calls that were refused since the lease was lost.
    refused: cell::Cell<u64>,
}

impl KeyLease {
    /// Creates the state of a process that has no lease.
    pub fn new(vm: types::VmId, revocation: Option<time::Duration>) -> KeyLease {
        let first_number = rngs::SmallRng::from_os_rng().random();
        let holder = revocation.map(|revocation| {
            let terms = key_lease::Terms::new(revocation);
            cell::RefCell::new(key_lease::Holder::new(vm, terms, first_number))
        });
        KeyLease {
            holder,
            rounds: cell::RefCell::default(),
            watch: cell::RefCell::default(),
            waiters: cell::RefCell::default(),
            prune_at: cell::Cell::new(MIN_WAITERS_TO_PRUNE),
            refused: cell::Cell::new(0),
        }
    }

    /// Returns whether this VM has reported that it refuses calls with keys.
    pub fn is_refusing(&self) -> bool {
        self.watch.borrow().is_refusing()
    }

    fn waiter(&self) -> oneshot::Receiver<()> {
        let (tx, rx) = oneshot::channel();
        let mut waiters = self.waiters.borrow_mut();
        if waiters.len() >= self.prune_at.get() {
            waiters.retain(|tx| !tx.is_canceled());
            self.prune_at
                .set((waiters.len() * 2).max(MIN_WAITERS_TO_PRUNE));
        }
        waiters.push(tx);
        rx
    }

    fn wake_waiters(&self) {
        for tx in self.waiters.take() {
            // The call may have timed out.
            let _ = tx.send(());
        }
    }
}

/// Returns the holder if calls with keys need a lease.
fn needed_holder(state: &state::State) -> Option<&cell::RefCell<key_lease::Holder>> {
    let holder = state.key_lease.holder.as_ref()?;
    let has_workspaces = state.with(|inner| inner.routes.has_workspaces());
    has_workspaces.then_some(holder)
}

/// Returns whether this VM may rely on the keys of its configuration now.
pub fn is_held(state: &state::State) -> bool {
    needed_holder(state).is_none_or(|holder| holder.borrow().is_held(state.clock.boot()))
}

/// Returns whether a key that the configuration does not have exists nowhere.
pub fn proves_unknown_key(state: &state::State) -> bool {
    let limit = key_lease::UNKNOWN_KEY_CONFIRMATION;
    needed_holder(state).is_none_or(|holder| {
        holder
            .borrow()
            .is_confirmed_within(state.clock.boot(), limit)
    })
}

/// Counts a call that is refused for lack of a lease.
pub fn count_refused(state: &state::State) {
    state
        .key_lease
        .refused
        .set(state.key_lease.refused.get() + 1);
    state.metrics.keys_unconfirmed.inc();
}

/// Requests a confirmation unless a request is in flight, and waits for the next one, for at most
/// `limit`.
pub async fn wait_for_confirmation(state: &rc::Rc<state::State>, limit: time::Duration) {
    let confirmed = state.key_lease.waiter();
    let now = state.clock.boot();
    let is_needed =
        needed_holder(state).is_some_and(|holder| holder.borrow().needs_request_for_call(now));
    if is_needed {
        send_request(state, true);
    }
    // The caller of this function checks the lease.
    let _ = compio::time::timeout(limit, confirmed).await;
}

/// Sends a request if one is due, and reports changes of the lease.
pub fn update(state: &rc::Rc<state::State>) {
    let now = state.clock.boot();
    if let Some(holder) = needed_holder(state) {
        let (is_due, is_held) = {
            let holder = holder.borrow();
            (holder.is_request_due(now), holder.is_held(now))
        };
        if is_due {
            send_request(state, !is_held);
        }
    }
    report(state);
}

/// Handles a new leader, or a new connection to it: earlier requests may be lost.
pub fn leader_changed(state: &rc::Rc<state::State>) {
    if let Some(holder) = needed_holder(state) {
        holder.borrow_mut().leader_changed();
        update(state);
    }
}

/// Handles that this VM has applied further commands of the log.
pub fn applied(state: &rc::Rc<state::State>) {
    let index = state.with(|inner| inner.applied);
    let Some(holder) = needed_holder(state) else {
        return;
    };
    let is_granted = holder.borrow_mut().applied(index);
    if is_granted {
        granted(state);
    }
    update(state);
}

fn granted(state: &rc::Rc<state::State>) {
    report(state);
    state.key_lease.wake_waiters();
}

/// Logs and counts a change of the lease.
fn report(state: &state::State) {
    let now = state.clock.boot();
    let is_held = needed_holder(state).map(|holder| holder.borrow().is_held(now));
    let held = i64::from(is_held == Some(true));
    state.metrics.key_lease_held.set(held);
    let change = state.key_lease.watch.borrow_mut().update(now, is_held);
    let (leader, applied) = state.with(|inner| (inner.leader, inner.applied));
    match change {
        None => return,
        Some(Change::Gained(after)) => state.events.emit(
            event::Id::KeyLeaseGained,
            &[
                ("after_ms", &after.as_millis()),
                ("refused", &state.key_lease.refused.take()),
                ("index", &applied),
            ],
        ),
        Some(change @ (Change::Lost | Change::Refusing)) => {
            let id = match change {
                Change::Lost => event::Id::KeyLeaseLost,
                _ => event::Id::KeysUnconfirmed,
            };
            let connected = state.reachable_leader().is_some();
            let leader = leader.map_or_else(|| "-".to_owned(), |(_, vm)| vm.to_string());
            let fields: [(&'static str, &dyn std::fmt::Display); 3] = [
                ("leader", &leader),
                ("connected", &connected),
                ("index", &applied),
            ];
            state.events.emit(id, &fields);
        }
    }
    state.update_readiness();
}

/// Sends a request to the leader, and by way of another VM if the leader does not reply or is not
/// connected. Does nothing if there is no VM to send it to.
fn send_request(state: &rc::Rc<state::State>, urgent: bool) {
    let Some(holder) = needed_holder(state) else {
        return;
    };
    // A VM that was deposed and has not heard of its successor still knows itself as the leader.
    let leader = state
        .reachable_leader()
        .filter(|leader| *leader != state.vm || state.is_leading());
    let now = state.clock.boot();
    let forwarder = choose_forwarder(state, leader);
    if leader.is_none() && forwarder.is_none() {
        return;
    }
    let request = holder.borrow_mut().request(now, urgent);
    let needs_forwarding = leader.is_none() || holder.borrow().needs_forwarding();
    let forwarder = forwarder.filter(|_| needs_forwarding);
    if leader == Some(state.vm) {
        answer_later(state, state.vm, &request);
        return;
    }
    let body = Fleet::KeyLeaseRequest(wire::fleet::encode_key_lease_request(&request));
    for to in [leader, forwarder].into_iter().flatten() {
        state.peers.send_fleet(to, body.clone());
    }
}

/// Returns a random connected VM that may be connected to the leader, those that can vote first.
fn choose_forwarder(state: &state::State, leader: Option<types::VmId>) -> Option<types::VmId> {
    let connected = state.peers.connected();
    let mut candidates: Vec<types::VmId> = state.with(|inner| {
        let eligible = inner.roster.eligible().into_iter().map(|vm| vm.id);
        eligible.filter(|vm| connected.contains(vm)).collect()
    });
    if candidates.is_empty() {
        candidates = connected;
    }
    candidates.retain(|vm| Some(*vm) != leader && *vm != state.vm);
    if candidates.is_empty() {
        return None;
    }
    let index = state.rng.borrow_mut().random_range(0..candidates.len());
    Some(candidates[index])
}

/// Handles a request of another VM. One that does not lead forwards it, unless another VM has
/// forwarded it already.
pub fn request_received(
    state: &rc::Rc<state::State>,
    from: types::VmId,
    request: &key_lease::Request,
) {
    if state.is_leading() {
        answer_later(state, from, request);
        return;
    }
    let leader = state.reachable_leader();
    let leader = leader.filter(|leader| *leader != from && *leader != state.vm);
    if let Some(leader) = leader
        && request.asker == from
    {
        let body = wire::fleet::encode_key_lease_request(request);
        state.peers.send_fleet(leader, Fleet::KeyLeaseRequest(body));
    }
}

/// Answers a request after a round of the quorum that begins after this call.
fn answer_later(state: &rc::Rc<state::State>, from: types::VmId, request: &key_lease::Request) {
    let mut rounds = state.key_lease.rounds.borrow_mut();
    let pace = rounds.add(from, request);
    if rounds.start(pace) {
        compio::runtime::spawn(run_rounds(state.clone(), pace)).detach();
    }
}

/// Runs rounds until no request waits.
async fn run_rounds(state: rc::Rc<state::State>, pace: Pace) {
    loop {
        let confirmed = match pace {
            Pace::Urgent => replica::read(&state).await,
            Pace::Heartbeat => replica::read_with_heartbeat(&state).await,
        };
        match confirmed {
            Ok(()) => send_replies(&state, pace),
            Err(_) => state.key_lease.rounds.borrow_mut().failed(pace),
        }
        if state.stopped() || !state.key_lease.rounds.borrow_mut().start(pace) {
            return;
        }
    }
}

/// Answers the requests of a confirmed round. The applied index may be later than the one that the
/// round has confirmed, which only makes the receiver wait for more.
fn send_replies(state: &rc::Rc<state::State>, pace: Pace) {
    let answers = state.key_lease.rounds.borrow_mut().confirmed(pace);
    let applied = state.with(|inner| inner.applied);
    for answer in answers {
        let reply = key_lease::Reply {
            number: answer.number,
            asker: answer.asker,
            applied,
        };
        if answer.to == state.vm {
            reply_received(state, state.vm, &reply);
        } else {
            let body = wire::fleet::encode_key_lease_reply(&reply);
            state
                .peers
                .send_fleet(answer.to, Fleet::KeyLeaseReply(body));
        }
    }
}

/// Handles a reply to a request of this VM, or to one that it has forwarded.
pub fn reply_received(state: &rc::Rc<state::State>, from: types::VmId, reply: &key_lease::Reply) {
    if reply.asker != state.vm {
        let body = wire::fleet::encode_key_lease_reply(reply);
        state
            .peers
            .send_fleet(reply.asker, Fleet::KeyLeaseReply(body));
        return;
    }
    let Some(holder) = needed_holder(state) else {
        return;
    };
    if state.reachable_leader() == Some(from) {
        holder.borrow_mut().leader_replied();
    }
    let applied = state.with(|inner| inner.applied);
    let receipt = holder.borrow_mut().reply(reply, applied);
    match receipt {
        ReplyOutcome::Granted => granted(state),
        // A member gets the commands by replication.
        ReplyOutcome::Behind if !state.with(|inner| inner.is_member(state.vm)) => {
            state_transfer::request_state_unless_pending(state, from);
        }
        ReplyOutcome::Behind | ReplyOutcome::Ignored => {}
    }
}
