//! Connections between the processes of the system, and dispatch of the received messages.
//!
//! Every process opens connections to the seeds and to the contacts, VMs eligible as voters. The VMs of a
//! group, which send each other the loads of targets, have one connection for each pair.
//!
//! A VM announces itself on each new connection. VMs that can be voters, and the seeds by being
//! connected to all others, forward it; so the messages about a new VM do not grow with the square
//! of the VMs.

use std::{cell, collections, net, rc, time};

use wagtailshunt_core::{event, formation, types};
use wagtailshunt_wire::{
    self as wire, codec,
    generated::{
        envelope::{self, envelope::Body},
        fleet::{self, fleet_message::Body as Fleet},
    },
};

use crate::{
    entry::{
        allowance, calls, cold_targets, key_lease, leader_sync, members, replica, state,
        state_transfer, targets,
    },
    transport,
};

/// Time for which learned VMs are collected before they are forwarded in one message.
const ROSTER_FORWARD_DELAY: time::Duration = time::Duration::from_millis(20);

/// Open connections by VM, the newest last, and the dialers that open them by address.
#[derive(Debug, Default)]
pub struct Peers {
    connections: cell::RefCell<collections::BTreeMap<types::VmId, Vec<transport::Handle>>>,
    dialers: cell::RefCell<collections::BTreeMap<net::SocketAddr, transport::Dialer>>,
}

impl Peers {
    /// Sends a frame on the newest open connection to a VM. Returns `false` and drops the frame
    /// when there is none.
    pub fn send(&self, to: types::VmId, request: u64, body: impl Into<transport::Payload>) -> bool {
        let connections = self.connections.borrow();
        let open = |handle: &&transport::Handle| handle.is_open();
        let newest = connections
            .get(&to)
            .and_then(|all| all.iter().rev().find(open));
        newest.is_some_and(|handle| handle.send(request, body))
    }

    /// Sends a fleet message to a VM; returns whether a connection to it is open.
    pub fn send_fleet(&self, to: types::VmId, body: Fleet) -> bool {
        self.send(to, 0, fleet_body(body))
    }

    /// Sends a fleet message to every connected VM except `except`.
    pub fn broadcast(&self, body: Fleet, except: Option<types::VmId>) {
        let mut vms = self.connected();
        vms.retain(|vm| Some(*vm) != except);
        self.send_to_all(&vms, body);
    }

    /// Sends a fleet message, which is encoded once, to several VMs.
    pub fn send_to_all(&self, vms: &[types::VmId], body: Fleet) {
        let encoded = codec::EncodedBody::new(fleet_body(body));
        for vm in vms {
            self.send(*vm, 0, encoded.clone());
        }
    }

    /// Returns the connected VMs.
    pub fn connected(&self) -> Vec<types::VmId> {
        let connections = self.connections.borrow();
        let open = connections
            .iter()
            .filter(|(_, all)| all.iter().any(transport::Handle::is_open));
        open.map(|(vm, _)| *vm).collect()
    }

    /// Returns whether a connection to a VM is open.
    pub fn is_connected(&self, vm: types::VmId) -> bool {
        let connections = self.connections.borrow();
        let all = connections.get(&vm);
        all.is_some_and(|all| all.iter().any(transport::Handle::is_open))
    }

    /// Closes all connections.
    pub fn stop(&self) {
        for dialer in self.dialers.borrow().values() {
            dialer.stop();
        }
        self.connections.borrow_mut().clear();
    }

    fn add_connection(&self, vm: types::VmId, handle: transport::Handle) {
        let mut connections = self.connections.borrow_mut();
        let all = connections.entry(vm).or_default();
        all.retain(transport::Handle::is_open);
        all.push(handle);
    }
}

/// Wraps a fleet message into a frame body.
pub fn fleet_body(body: Fleet) -> Body {
    Body::Fleet(fleet::FleetMessage { body: Some(body) })
}

/// Returns the addresses that this process keeps connections to.
fn wanted_addresses(state: &state::State) -> collections::BTreeSet<net::SocketAddr> {
    let own = state.cfg.peer_address;
    let mut wanted: collections::BTreeSet<net::SocketAddr> =
        state.seeds.borrow().iter().copied().collect();
    state.with(|inner| {
        // Of a pair of the same group, the VM with the lower address opens the connection.
        let group = inner.group.iter().filter_map(|vm| inner.roster.get(*vm));
        let group = group.filter(|vm| vm.peer_address > own);
        wanted.extend(group.map(|vm| vm.peer_address));
        let contacts = inner.roster.contacts();
        wanted.extend(contacts.iter().map(|vm| vm.peer_address));
        // Others don't connect to a member that is not among the contacts, such as one that has
        // replaced a lost VM.
        let is_contact = contacts.iter().any(|vm| vm.peer_address == own);
        if !is_contact && inner.is_member(state.vm) {
            wanted.extend(inner.roster.vms().map(|vm| vm.peer_address));
        }
    });
    wanted.remove(&own);
    wanted
}

/// Starts missing dialers, and stops those to VMs that have moved to another group.
pub fn update_dialers(state: &rc::Rc<state::State>) {
    let wanted = wanted_addresses(state);
    let known = state.with(|inner| {
        let vms = inner.roster.vms().map(|vm| vm.peer_address);
        vms.collect::<collections::BTreeSet<_>>()
    });
    state.peers.dialers.borrow_mut().retain(|address, dialer| {
        // An address that is not in the roster may be that of a seed that does not answer yet.
        let keep = wanted.contains(address) || !known.contains(address);
        if !keep {
            dialer.stop();
        }
        keep
    });
    dial_missing(state);
}

/// Starts dialers for all addresses that this process must be connected to and that have none.
pub fn dial_missing(state: &rc::Rc<state::State>) {
    for address in wanted_addresses(state) {
        let has_dialer = state.peers.dialers.borrow().contains_key(&address);
        if !has_dialer {
            dial(state, address);
        }
    }
}

fn dial(state: &rc::Rc<state::State>, address: net::SocketAddr) {
    let open_state = state.clone();
    let frame_state = state.clone();
    let dialer = transport::dial(
        state.identity.clone(),
        address,
        move |peer, handle| connection_opened(&open_state, peer, handle),
        move |peer, envelope| frame_received(&frame_state, peer, envelope),
    );
    state.peers.dialers.borrow_mut().insert(address, dialer);
}

/// Handles a new connection: registers it, sends the known VMs and starts the exchange of state.
pub fn connection_opened(
    state: &rc::Rc<state::State>,
    peer: &transport::Peer,
    handle: transport::Handle,
) {
    if state.stopped() || peer.vm == state.vm {
        return;
    }
    state.peers.add_connection(peer.vm, handle);
    let own = wire::fleet::encode_vm(&state.cfg.vm(state.vm, state.incarnation));
    let announce = fleet::Announce {
        vm: Some(own),
        roster_digest: state.with(|inner| inner.roster.digest()),
    };
    state.peers.send_fleet(peer.vm, Fleet::Announce(announce));
    leader_sync::peer_connected(state, peer.vm);
}

/// Sends a VM that has just announced itself the known VMs, unless it knows the same ones.
fn send_roster(state: &state::State, to: types::VmId, known_digest: u64) {
    let vms = state.with(|inner| {
        let differs = inner.roster.digest() != known_digest;
        differs.then(|| inner.roster.vms().map(wire::fleet::encode_vm).collect())
    });
    if let Some(vms) = vms {
        let roster = fleet::Roster { vms };
        state.peers.send_fleet(to, Fleet::Roster(roster));
    }
}

/// Handles a received frame.
pub fn frame_received(
    state: &rc::Rc<state::State>,
    peer: &transport::Peer,
    envelope: envelope::Envelope,
) {
    if state.stopped() {
        return;
    }
    let request = envelope.request;
    match envelope.body {
        Some(Body::Replication(msg)) => match wire::replication::decode(msg) {
            Ok((_, msg)) => replica::step(state, peer.vm, msg),
            Err(err) => log::warn!("replication message from VM {} dropped: {err}", peer.vm),
        },
        Some(Body::Fleet(fleet::FleetMessage { body: Some(body) })) => {
            if let Err(err) = handle_fleet_message(state, peer.vm, request, body) {
                log::warn!("fleet message from VM {} dropped: {err}", peer.vm);
            }
        }
        _ => {}
    }
}

fn handle_fleet_message(
    state: &rc::Rc<state::State>,
    from: types::VmId,
    request: u64,
    body: Fleet,
) -> Result<(), wire::fleet::Error> {
    match body {
        Fleet::Announce(announce) => {
            let vm = announce.vm.ok_or(wire::fleet::Error::Missing("a VM"))?;
            let is_new = learn_vm(state, vm, formation::Source::Announced)?;
            vms_learned(state, usize::from(is_new));
            send_roster(state, from, announce.roster_digest);
        }
        Fleet::Roster(roster) => {
            let mut learned = 0;
            for vm in roster.vms {
                match learn_vm(state, vm, formation::Source::Forwarded) {
                    Ok(is_new) => learned += usize::from(is_new),
                    Err(err) => log::warn!("VM in the roster of VM {from} skipped: {err}"),
                }
            }
            vms_learned(state, learned);
        }
        Fleet::Founding(founding) => members::bootstrap_received(state, from, &founding.voters),
        Fleet::Leading(leading) => leader_sync::leadership_received(state, from, &leading),
        Fleet::Subscribe(subscribe) => state_transfer::state_requested(state, from, &subscribe),
        Fleet::State(received) => state_transfer::state_received(state, from, received),
        Fleet::StatePart(part) => {
            state_transfer::state_part_received(state, from, wire::fleet::decode_state_part(part));
        }
        Fleet::Command(command) => leader_sync::command_received(state, from, &command),
        Fleet::Report(report) => {
            targets::announcement_received(state, wire::fleet::decode_announcement(report)?);
        }
        Fleet::Gone(life) => {
            targets::expiry_received(state, from, &wire::fleet::decode_incarnation(life))
        }
        Fleet::Depart(life) => {
            targets::deregister_requested(
                state,
                from,
                request,
                wire::fleet::decode_incarnation(life),
            );
        }
        Fleet::Departed(fleet::Departed {}) => state.complete_request(request),
        Fleet::Crash(crash) => calls::crash_received(state, from, crash)?,
        Fleet::Loads(loads) => targets::loads_received(state, loads),
        Fleet::KeyLeaseRequest(request) => {
            let request = wire::fleet::decode_key_lease_request(&request);
            key_lease::request_received(state, from, &request);
        }
        Fleet::KeyLeaseReply(reply) => {
            let reply = wire::fleet::decode_key_lease_reply(&reply);
            key_lease::reply_received(state, from, &reply);
        }
        Fleet::AllowanceQuestion(question) => {
            allowance::question_received(state, from, &question);
        }
        Fleet::AllowanceAnswer(answer) => allowance::answer_received(state, from, &answer),
        Fleet::AllowanceLoanRequest(request) => {
            let request = wire::fleet::decode_loan_request(&request);
            allowance::loan_request_received(state, from, &request);
        }
        Fleet::AllowanceLoan(loan) => allowance::loan_received(state, &loan),
        Fleet::ColdTargets(cold) => {
            cold_targets::reports_received(state, from, wire::fleet::decode_cold_targets(cold)?);
        }
        Fleet::CallToken(token) => cold_targets::token_received(state, from, request, token),
    }
    Ok(())
}

/// Adds a VM to the roster; returns whether it is new. A new VM is forwarded to the other VMs.
fn learn_vm(
    state: &rc::Rc<state::State>,
    vm: fleet::Vm,
    source: formation::Source,
) -> Result<bool, wire::fleet::Error> {
    let vm = wire::fleet::decode_vm(vm)?;
    if vm.peer_address == state.cfg.peer_address {
        return Ok(false);
    }
    let now = state.clock.now();
    if !state.with(|inner| inner.roster.learn(now, &vm, source)) {
        return Ok(false);
    }
    if source == formation::Source::Announced || vm.has_disk {
        state.events.emit(
            event::Id::VmLearned,
            &[
                ("peer", &vm.id),
                ("address", &vm.peer_address),
                ("domain", &vm.failure_domain),
                ("disk", &vm.has_disk),
            ],
        );
        schedule_forward(state, vm);
    }
    Ok(true)
}

/// Connects to new VMs where needed, and logs how many one message has brought, since a line for each
/// would take longer than the rest of the start of many VMs.
fn vms_learned(state: &rc::Rc<state::State>, count: usize) {
    if count == 0 {
        return;
    }
    let known = state.with(|inner| inner.roster.vms().count());
    state.events.emit(
        event::Id::RosterChanged,
        &[("learned", &count), ("known", &known)],
    );
    members::roster_changed(state);
    dial_missing(state);
}

/// Forwards a VM to all connected VMs, together with others that are learned at the same time.
fn schedule_forward(state: &rc::Rc<state::State>, vm: formation::Vm) {
    let is_first = state.with(|inner| {
        inner.unforwarded_vms.push(vm);
        inner.unforwarded_vms.len() == 1
    });
    if !is_first {
        return;
    }
    let state = state.clone();
    compio::runtime::spawn(async move {
        compio::time::sleep(ROSTER_FORWARD_DELAY).await;
        let vms = state.with(|inner| std::mem::take(&mut inner.unforwarded_vms));
        let vms = vms.iter().map(wire::fleet::encode_vm).collect();
        let roster = Fleet::Roster(fleet::Roster { vms });
        state.peers.broadcast(roster, None);
    })
    .detach();
}
