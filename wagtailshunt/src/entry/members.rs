//! Founding the group and keeping its members complete.

use std::rc;

use wagtailshunt_core::{event, formation, placement, replication, types};
use wagtailshunt_wire::generated::fleet::{self, fleet_message::Body as Fleet};

use crate::entry::{feed, peers, replica, state, targets};

/// Proposes the first voters when this VM is the first seed of a first start.
pub fn found(state: &rc::Rc<state::State>) {
    let founder = state.cfg.first_start && state.cfg.seeds.first() == Some(&state.cfg.peers);
    let now = state.clock.now();
    let voters = state.with(|inner| {
        let formed = inner.leader.is_some() || inner.founded;
        let own_group = inner
            .replica
            .as_ref()
            .is_some_and(replica::Replica::has_group);
        if !founder || formed || own_group {
            return None;
        }
        inner.roster.initial_voters(now)
    });
    let Some(voters) = voters else {
        return;
    };
    state.with(|inner| inner.founded = true);
    let founding = fleet::Founding {
        voters: voters.iter().map(|vm| vm.0).collect(),
    };
    for vm in &voters {
        state.peers.tell(*vm, Fleet::Founding(founding.clone()));
    }
    founded(state, state.vm, &founding.voters);
}

/// Takes over the first voters, unless this VM has a group or is none of them.
pub fn founded(state: &rc::Rc<state::State>, by: types::VmId, voters: &[u32]) {
    let voters: Vec<types::VmId> = voters.iter().copied().map(types::VmId).collect();
    if !state.cfg.first_start || !voters.contains(&state.vm) {
        return;
    }
    if replica::found(state, &voters) {
        let list = format!("{voters:?}");
        state
            .events
            .emit(event::Id::GroupFounded, &[("by", &by), ("voters", &list)]);
    }
}

/// Keeps what is known of other VMs, so that a restart doesn't depend on the seeds.
pub fn roster_changed(state: &rc::Rc<state::State>) {
    state.due.roster.set(true);
}

/// As leader, brings the group closer to all VMs with disks.
pub fn maintain(state: &rc::Rc<state::State>) {
    let now = state.clock.now();
    let change = state.with(|inner| {
        let since = inner.leading_since?;
        let replica = inner.replica.as_ref()?;
        let status = |vm: types::VmId| {
            let peer = replica.node.peer(vm);
            formation::MemberStatus {
                connected: vm == state.vm || state.peers.is_connected(vm),
                last_contact: peer.and_then(|peer| peer.last_contact),
                caught_up: peer.is_some_and(|peer| peer.caught_up),
            }
        };
        let members = replica.node.members();
        formation::next_membership_change(now, since, members, &inner.roster, status)
    });
    let Some(change) = change else {
        return;
    };
    let proposed = state.with(|inner| {
        let replica = inner.replica.as_mut();
        replica.map(|replica| replica.node.propose_membership(now, change))
    });
    match proposed {
        Some(Ok(index)) => state.events.emit(
            event::Id::MembershipChanged,
            &[
                ("group", &replica::GROUP),
                ("change", &format!("{change:?}")),
                ("index", &index),
            ],
        ),
        // Another change is under way; the next tick tries again.
        Some(Err(replication::ProposeError::Busy)) | None => {}
        Some(Err(err)) => log::debug!("membership change {change:?} not proposed: {err}"),
    }
    replica::pump(state);
}

/// Tells the placement where this VM stands among the others.
fn set_position(state: &state::State) {
    state.with(|inner| {
        let own = state.cfg.peers;
        let position = |near: bool| {
            let domain = &state.cfg.failure_domain;
            let vms = inner.roster.vms();
            let counted = vms.filter(|vm| !near || vm.failure_domain == *domain);
            let addresses: Vec<_> = counted.map(|vm| vm.peer_address).collect();
            placement::Position {
                rank: addresses.iter().filter(|address| **address < own).count(),
                count: addresses.len(),
            }
        };
        let (near, all) = (position(true), position(false));
        inner.placement.set_position(near, all);
    });
}

/// Runs what is due regularly.
pub fn tick(state: &rc::Rc<state::State>, slow: bool) {
    found(state);
    maintain(state);
    if slow {
        set_position(state);
        feed::repeat_leading(state);
        targets::expire(state);
        peers::dial_missing(state);
    }
}
