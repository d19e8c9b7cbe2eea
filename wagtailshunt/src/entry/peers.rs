//! Connections between the processes of the system.
//!
//! Every process opens connections to the seeds, to VMs that may vote, and to the VMs of its own failure
//! domain, which share what they see of targets.

use std::{cell, collections, net, rc};

use wagtailshunt_core::{event, formation, types};
use wagtailshunt_wire::{
    self as wire,
    generated::{
        envelope::{self, envelope::Body},
        fleet::{self, fleet_message::Body as Fleet},
    },
};

use crate::{
    entry::{calls, feed, members, replica, state, targets},
    transport,
};

/// Open connections by VM, the newest last, and the dialers that open them.
#[derive(Debug, Default)]
pub struct Peers {
    handles: cell::RefCell<collections::BTreeMap<types::VmId, Vec<transport::Handle>>>,
    dialers: cell::RefCell<collections::BTreeMap<net::SocketAddr, transport::Dialer>>,
}

impl Peers {
    /// Sends a frame on the newest open connection; it is lost when there is none.
    pub fn send(&self, to: types::VmId, request: u64, body: Body) -> bool {
        let handles = self.handles.borrow();
        let open = |handle: &&transport::Handle| handle.is_open();
        let newest = handles.get(&to).and_then(|all| all.iter().rev().find(open));
        newest.is_some_and(|handle| handle.send(request, body))
    }

    /// Sends a fleet message.
    pub fn tell(&self, to: types::VmId, body: Fleet) -> bool {
        self.send(to, 0, message(body))
    }

    /// Sends a fleet message to every connected VM but `except`.
    pub fn tell_all(&self, body: &Fleet, except: Option<types::VmId>) {
        for vm in self.connected() {
            if Some(vm) != except {
                self.tell(vm, body.clone());
            }
        }
    }

    /// Returns the connected VMs.
    pub fn connected(&self) -> Vec<types::VmId> {
        let handles = self.handles.borrow();
        let open = handles
            .iter()
            .filter(|(_, all)| all.iter().any(transport::Handle::is_open));
        open.map(|(vm, _)| *vm).collect()
    }

    /// Returns whether a connection to a VM is open.
    pub fn is_connected(&self, vm: types::VmId) -> bool {
        let handles = self.handles.borrow();
        let all = handles.get(&vm);
        all.is_some_and(|all| all.iter().any(transport::Handle::is_open))
    }

    /// Closes all connections.
    pub fn stop(&self) {
        for dialer in self.dialers.borrow().values() {
            dialer.stop();
        }
        self.handles.borrow_mut().clear();
    }

    fn opened(&self, vm: types::VmId, handle: transport::Handle) {
        let mut handles = self.handles.borrow_mut();
        let all = handles.entry(vm).or_default();
        all.retain(transport::Handle::is_open);
        all.push(handle);
    }
}

/// Wraps a fleet message into a frame body.
pub fn message(body: Fleet) -> Body {
    Body::Fleet(fleet::FleetMessage { body: Some(body) })
}

/// Opens the connections that this process should have and does not.
pub fn dial_missing(state: &rc::Rc<state::State>) {
    let own = &state.cfg.failure_domain;
    let mut wanted: collections::BTreeSet<net::SocketAddr> =
        state.seeds.borrow().iter().copied().collect();
    state.with(|inner| {
        let near = inner.roster.vms().filter(|vm| vm.failure_domain == *own);
        wanted.extend(near.map(|vm| vm.peer_address));
        let eligible = inner.roster.eligible();
        wanted.extend(eligible.iter().map(|vm| vm.peer_address));
    });
    wanted.remove(&state.cfg.peers);
    for address in wanted {
        let known = state.peers.dialers.borrow().contains_key(&address);
        if !known {
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
        move |peer, handle| opened(&open_state, peer, handle),
        move |peer, envelope| received(&frame_state, peer, envelope),
    );
    state.peers.dialers.borrow_mut().insert(address, dialer);
}

/// Takes over a new connection.
pub fn opened(state: &rc::Rc<state::State>, peer: &transport::Peer, handle: transport::Handle) {
    if state.stopped() || peer.vm == state.vm {
        return;
    }
    state.peers.opened(peer.vm, handle);
    let own = wire::fleet::encode_vm(&state.cfg.vm(state.vm, state.incarnation));
    state
        .peers
        .tell(peer.vm, Fleet::Announce(fleet::Announce { vm: Some(own) }));
    let vms = state.with(|inner| inner.roster.vms().map(wire::fleet::encode_vm).collect());
    state
        .peers
        .tell(peer.vm, Fleet::Roster(fleet::Roster { vms }));
    feed::connected(state, peer.vm);
}

/// Handles a frame.
pub fn received(
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
            Err(err) => log::warn!("replication message of VM {} rejected: {err}", peer.vm),
        },
        Some(Body::Fleet(fleet::FleetMessage { body: Some(body) })) => {
            if let Err(err) = fleet_message(state, peer.vm, request, body) {
                log::warn!("message of VM {} rejected: {err}", peer.vm);
            }
        }
        _ => {}
    }
}

fn fleet_message(
    state: &rc::Rc<state::State>,
    from: types::VmId,
    request: u64,
    body: Fleet,
) -> Result<(), wire::fleet::Error> {
    match body {
        Fleet::Announce(announce) => {
            let vm = announce.vm.ok_or(wire::fleet::Error::Missing("a VM"))?;
            learn(state, vm, formation::Source::Announced)?;
        }
        Fleet::Roster(roster) => {
            for vm in roster.vms {
                learn(state, vm, formation::Source::Forwarded)?;
            }
        }
        Fleet::Founding(founding) => members::founded(state, from, &founding.voters),
        Fleet::Leading(leading) => feed::leading(state, from, &leading),
        Fleet::Subscribe(subscribe) => feed::subscribed(state, from, subscribe.applied),
        Fleet::State(received) => feed::state_received(state, from, received)?,
        Fleet::Command(command) => feed::command_received(state, from, &command),
        Fleet::Report(report) => {
            targets::report_received(state, from, wire::fleet::decode_report(report)?);
        }
        Fleet::Gone(life) => targets::gone_received(state, &wire::fleet::decode_life(life)),
        Fleet::Depart(life) => {
            targets::depart_requested(state, from, request, wire::fleet::decode_life(life));
        }
        Fleet::Departed(fleet::Departed {}) => state.answered(request),
        Fleet::Crash(crash) => calls::crash_reported(state, from, crash)?,
        Fleet::Loads(loads) => targets::loads_received(state, loads),
    }
    Ok(())
}

fn learn(
    state: &rc::Rc<state::State>,
    vm: fleet::Vm,
    source: formation::Source,
) -> Result<(), wire::fleet::Error> {
    let vm = wire::fleet::decode_vm(vm)?;
    if vm.peer_address == state.cfg.peers {
        return Ok(());
    }
    let now = state.clock.now();
    if !state.with(|inner| inner.roster.learn(now, &vm, source)) {
        return Ok(());
    }
    state.events.emit(
        event::Id::VmLearned,
        &[
            ("peer", &vm.id),
            ("address", &vm.peer_address),
            ("domain", &vm.failure_domain),
            ("disk", &vm.has_disk),
        ],
    );
    let vms = vec![wire::fleet::encode_vm(&vm)];
    state
        .peers
        .tell_all(&Fleet::Roster(fleet::Roster { vms }), Some(vm.id));
    members::roster_changed(state);
    dial_missing(state);
    Ok(())
}
