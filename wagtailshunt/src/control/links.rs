//! Connections to other control VMs and to gateways.
//!
//! Of two control VMs, the one with the lower id opens the connection, so that a pair has only one.
//! Gateways open the connections to control VMs.

use std::{cell, collections, rc};

use wagtailshunt_core::types;
use wagtailshunt_wire::generated::envelope::envelope::Body;

use crate::{
    control::{frames, state},
    transport,
};

/// Connections by VM. A new connection to a VM replaces the previous one.
#[derive(Debug, Default)]
pub struct Links {
    handles: cell::RefCell<collections::BTreeMap<types::VmId, transport::Handle>>,
    dialers: cell::RefCell<Vec<transport::Dialer>>,
    /// Identity that each VM sent when it last connected.
    peers: cell::RefCell<collections::BTreeMap<types::VmId, transport::Peer>>,
}

impl Links {
    /// Queues a frame for a VM.
    ///
    /// Returns false, and drops the frame, if there is no open connection or its queue is full.
    pub fn send(&self, to: types::VmId, request: u64, body: Body) -> bool {
        let handles = self.handles.borrow();
        handles
            .get(&to)
            .is_some_and(|handle| handle.send(request, body))
    }

    /// Returns the connected VMs.
    pub fn connected(&self) -> Vec<transport::Peer> {
        let handles = self.handles.borrow();
        let peers = self.peers.borrow();
        let open = |peer: &&transport::Peer| {
            handles
                .get(&peer.vm)
                .is_some_and(transport::Handle::is_open)
        };
        peers.values().filter(open).cloned().collect()
    }

    /// Closes all connections.
    pub fn stop(&self) {
        for dialer in self.dialers.borrow_mut().drain(..) {
            dialer.stop();
        }
        self.handles.borrow_mut().clear();
    }
}

/// Opens the connections to the control VMs with a higher id.
pub fn start(state: &rc::Rc<state::State>) {
    for (vm, peer) in &state.cfg.peers {
        if *vm <= state.cfg.vm {
            continue;
        }
        let open_state = state.clone();
        let frame_state = state.clone();
        let dialer = transport::dial(
            state.identity.clone(),
            peer.peer,
            move |peer, handle| add_connection(&open_state, peer, handle),
            move |peer, envelope| frames::handle_frame(&frame_state, peer, envelope),
        );
        state.links.dialers.borrow_mut().push(dialer);
    }
}

/// Stores a new connection, replacing the previous one to the same VM.
pub fn add_connection(state: &state::State, peer: &transport::Peer, handle: transport::Handle) {
    if state.stopped() {
        return;
    }
    state.links.handles.borrow_mut().insert(peer.vm, handle);
    state.links.peers.borrow_mut().insert(peer.vm, peer.clone());
}
