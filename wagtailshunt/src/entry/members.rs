//! Bootstraps the replicated group and keeps its membership up to date.
//!
//! The known VMs come from the roster. `formation` decides the initial voters and each later
//! membership change; the leader proposes the changes.

use std::{collections, rc};

use wagtailshunt_core::{event, formation, placement, replication, types};
use wagtailshunt_wire::generated::fleet::{self, fleet_message::Body as Fleet};

use crate::entry::{leader_sync, peers, replica, state, state_transfer, targets};

/// Chooses the initial voters and sends them their list, if this VM is the first seed and the
/// system starts for the first time.
pub fn bootstrap(state: &rc::Rc<state::State>) {
    let is_bootstrap_vm =
        state.cfg.bootstrap && state.cfg.seed_addresses.first() == Some(&state.cfg.peer_address);
    let now = state.clock.now();
    let voters = state.with(|inner| {
        let has_group = inner.leader.is_some() || inner.bootstrapped;
        let own_group = inner
            .replica
            .as_ref()
            .is_some_and(replica::Replica::is_bootstrapped);
        if !is_bootstrap_vm || has_group || own_group {
            return None;
        }
        inner.roster.initial_voters(now)
    });
    let Some(voters) = voters else {
        return;
    };
    state.with(|inner| inner.bootstrapped = true);
    let founding = fleet::Founding {
        voters: voters.iter().map(|vm| vm.0).collect(),
    };
    for vm in &voters {
        state
            .peers
            .send_fleet(*vm, Fleet::Founding(founding.clone()));
    }
    bootstrap_received(state, state.vm, &founding.voters);
}

/// Bootstraps the group on this VM with the initial voters, unless it has a group already or is not
/// one of them.
pub fn bootstrap_received(state: &rc::Rc<state::State>, by: types::VmId, voters: &[u32]) {
    let voters: Vec<types::VmId> = voters.iter().copied().map(types::VmId).collect();
    if !state.cfg.bootstrap || !voters.contains(&state.vm) {
        return;
    }
    if replica::bootstrap(state, &voters) {
        let list = format!("{voters:?}");
        state
            .events
            .emit(event::Id::GroupFounded, &[("by", &by), ("voters", &list)]);
    }
}

/// Schedules the roster to be stored, so that a restart does not depend on the seeds.
pub fn roster_changed(state: &rc::Rc<state::State>) {
    state.unsaved.roster.set(true);
}

/// Records which VMs are connected, so that a leader knows for how long a member has been absent
/// before its election.
fn update_last_connected(state: &state::State) {
    let now = state.clock.now();
    let connected = state.peers.connected();
    state.with(|inner| {
        let replica = inner.replica.as_ref();
        let members = replica.map(|replica| replica.node.members());
        let members = members.into_iter().flat_map(|members| members.iter());
        let known: collections::BTreeSet<types::VmId> = members
            .chain(inner.roster.vms().map(|vm| vm.id))
            .filter(|vm| *vm != state.vm)
            .collect();
        inner.last_connected.retain(|vm, _| known.contains(vm));
        for vm in &known {
            inner.last_connected.entry(*vm).or_insert(now);
        }
        for vm in connected.iter().filter(|vm| known.contains(*vm)) {
            inner.last_connected.insert(*vm, now);
        }
    });
}

/// Proposes the next membership change when this VM leads, so that all VMs with disks become
/// voters.
pub fn update_membership(state: &rc::Rc<state::State>) {
    let now = state.clock.now();
    let change = state.with(|inner| {
        let since = inner.leading_since?;
        let replica = inner.replica.as_ref()?;
        let status = |vm: types::VmId| {
            let peer = replica.node.peer(vm);
            formation::MemberStatus {
                connected: vm == state.vm || state.peers.is_connected(vm),
                last_contact: peer
                    .and_then(|peer| peer.last_contact)
                    .max(inner.last_connected.get(&vm).copied()),
                caught_up: peer.is_some_and(|peer| peer.caught_up),
            }
        };
        let members = replica.node.members();
        let fewest = formation::fewest_voters(state.cfg.limits.tolerated_losses);
        formation::next_membership_change(now, since, members, fewest, &inner.roster, status)
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
        // Another membership change is in progress; the next tick tries again.
        Some(Err(replication::ProposeError::Busy)) | None => {}
        Some(Err(err)) => log::debug!("membership change {change:?} was not proposed: {err}"),
    }
    replica::process_outputs(state);
}

/// Updates the rank of this VM by address, among the VMs of its failure domain and among all, and
/// the VMs of its group.
fn update_placement_position(state: &state::State) {
    state.with(|inner| {
        let own_address = state.cfg.peer_address;
        let position = |vms: &[&formation::Vm]| placement::Position {
            rank: vms
                .iter()
                .filter(|vm| vm.peer_address < own_address)
                .count(),
            count: vms.len(),
        };
        let all: Vec<&formation::Vm> = inner.roster.vms().collect();
        let domain = &state.cfg.failure_domain;
        let in_domain = all.iter().filter(|vm| vm.failure_domain == *domain);
        let in_domain: Vec<&formation::Vm> = in_domain.copied().collect();
        let domain_position = position(&in_domain);
        let group = domain_position.group().range(in_domain.len());
        inner.group = in_domain[group].iter().map(|vm| vm.id).collect();
        let all = position(&all);
        inner.placement.set_position(domain_position, all);
    });
}

/// Runs the regular tasks; `slow` adds those that run once a second.
pub fn tick(state: &rc::Rc<state::State>, slow: bool) {
    bootstrap(state);
    update_last_connected(state);
    update_membership(state);
    state_transfer::repeat_overdue_request(state);
    leader_sync::watch_leader(state);
    if slow {
        update_placement_position(state);
        leader_sync::announce_leadership(state);
        targets::expire_silent(state);
        targets::send_renewals(state);
        peers::update_dialers(state);
    }
}
