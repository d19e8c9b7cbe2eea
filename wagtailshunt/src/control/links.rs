//! Connections to other control VMs and to gateways.
//!
//! Of two control VMs the one with the lower id opens the connection, so that one connection
//! carries both directions. Gateways open theirs.

use std::{cell, collections, rc};

use wagtailshunt_core::types;
use wagtailshunt_wire::generated::envelope::envelope::Body;

use crate::{
    control::{frames, state},
    transport,
};

/// Open connections by VM; a newer connection replaces an older one.
#[derive(Debug, Default)]
pub struct Links {
    handles: cell::RefCell<collections::BTreeMap<types::VmId, transport::Handle>>,
    dialers: cell::RefCell<Vec<transport::Dialer>>,
    /// What each VM said about itself when it connected last.
    peers: cell::RefCell<collections::BTreeMap<types::VmId, transport::Peer>>,
}

impl Links {
    /// Sends a frame; it is lost when there is no open connection.
    pub fn send(&self, to: types::VmId, request: u64, body: Body) -> bool {
        let handles = self.handles.borrow();
        handles
            .get(&to)
            .is_some_and(|handle| handle.send(request, body))
    }

    /// Returns the VMs that are connected.
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

/// Opens the connections that this VM is to open.
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
            move |peer, handle| opened(&open_state, peer, handle),
            move |peer, envelope| frames::received(&frame_state, peer, envelope),
        );
        state.links.dialers.borrow_mut().push(dialer);
    }
}

/// Takes over a new connection.
pub fn opened(state: &state::State, peer: &transport::Peer, handle: transport::Handle) {
    if state.stopped() {
        return;
    }
    state.links.handles.borrow_mut().insert(peer.vm, handle);
    state.links.peers.borrow_mut().insert(peer.vm, peer.clone());
}
