//! Forming the group of voters from VMs that find each other, and keeping it complete.
//!
//! An id belongs to the life of a disk, or of a process on a VM without one: a VM that comes back with an
//! empty disk has another id, so that it never votes on what it has forgotten.

use std::{collections, net, time};

use crate::{replication, storage, time as core_time, types};

/// Voters of a group at most; more make commits slower and bear no further loss in practice.
pub const MAX_VOTERS: usize = 9;

/// The founder waits until it has heard of no further VM for this long. VMs start within 0.3 s of
/// each other and exchange what they know as they connect.
pub const BOOTSTRAP_QUIET_PERIOD: time::Duration = time::Duration::from_millis(350);

/// The same while no VM with a disk was heard of: one that starts late must not find a group without it.
pub const BOOTSTRAP_QUIET_PERIOD_WITHOUT_DISK: time::Duration = time::Duration::from_millis(1000);

/// A voter that was not heard of for this long is taken out of the group while the others are
/// there; longer than a restart or a freeze usually lasts.
pub const REMOVE_ABSENT_AFTER: time::Duration = time::Duration::from_secs(12);

/// A VM of the system as it announced itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Its id.
    pub id: types::VmId,
    /// Where it takes connections of other processes.
    pub peer_address: net::SocketAddr,
    /// Where it takes orders of operators.
    pub operator_address: net::SocketAddr,
    /// Failure domain that it is in.
    pub failure_domain: types::FailureDomain,
    /// Whether it has a disk.
    pub has_disk: bool,
    /// Whether its loss is among those that the deployment is laid out to bear.
    pub counted: bool,
    /// Start of the process.
    pub incarnation: types::Incarnation,
}

/// How a VM came to be known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// It said so itself on an open connection.
    Announced,
    /// Another VM passed it on.
    Forwarded,
}

/// VMs that this one knows; one for each address.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    vms: collections::BTreeMap<net::SocketAddr, Vm>,
    changed: core_time::Instant,
}

impl Roster {
    /// Takes over what is said of a VM; returns whether it was news.
    ///
    /// Of two VMs at one address, the one that announced itself or started later is taken.
    pub fn learn(&mut self, now: core_time::Instant, vm: &Vm, source: Source) -> bool {
        let known = self.vms.get(&vm.peer_address);
        if known == Some(vm) {
            return false;
        }
        let older = known.is_some_and(|known| known.incarnation > vm.incarnation);
        if older && source == Source::Forwarded {
            return false;
        }
        self.vms.insert(vm.peer_address, vm.clone());
        self.changed = now;
        true
    }

    /// Returns the VM with the given id.
    pub fn get(&self, id: types::VmId) -> Option<&Vm> {
        self.vms.values().find(|vm| vm.id == id)
    }

    /// Returns all VMs by address.
    pub fn vms(&self) -> impl Iterator<Item = &Vm> {
        self.vms.values()
    }

    /// Returns the VMs that may vote: those with disks or, where no VM has one, the first few of those
    /// whose loss counts, or else of all. Without disks the votes last as long as the processes.
    pub fn eligible(&self) -> Vec<&Vm> {
        let with_disk: Vec<&Vm> = self.vms.values().filter(|vm| vm.has_disk).collect();
        if !with_disk.is_empty() {
            return with_disk;
        }
        let mut counted: Vec<&Vm> = self.vms.values().filter(|vm| vm.counted).collect();
        if counted.is_empty() {
            counted = self.vms.values().collect();
        }
        spread(counted, MAX_VOTERS)
    }

    /// Returns the first voters, once no further VM was heard of for a while.
    pub fn initial_voters(&self, now: core_time::Instant) -> Option<Vec<types::VmId>> {
        let eligible = self.eligible();
        let quiet = match eligible.first()?.has_disk {
            true => BOOTSTRAP_QUIET_PERIOD,
            false => BOOTSTRAP_QUIET_PERIOD_WITHOUT_DISK,
        };
        if now.since(self.changed) < quiet {
            return None;
        }
        let initial_voters = spread(eligible, MAX_VOTERS);
        Some(initial_voters.iter().map(|vm| vm.id).collect())
    }
}

/// Returns at most `count` of the VMs, as evenly from all failure domains as can be.
fn spread(vms: Vec<&Vm>, count: usize) -> Vec<&Vm> {
    let mut by_domain: collections::BTreeMap<&types::FailureDomain, Vec<&Vm>> =
        collections::BTreeMap::new();
    for vm in vms {
        by_domain.entry(&vm.failure_domain).or_default().push(vm);
    }
    let depth = by_domain.values().map(Vec::len).max().unwrap_or(0);
    let mut chosen = Vec::new();
    for rank in 0..depth {
        for vms in by_domain.values() {
            chosen.extend(vms.get(rank));
        }
    }
    chosen.truncate(count);
    chosen
}

/// What the leader knows of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// Whether a connection to it is open.
    pub connected: bool,
    /// When it answered last.
    pub last_contact: Option<core_time::Instant>,
    /// Whether a learner has caught up.
    pub caught_up: bool,
}

/// Returns the next change that brings the group closer to all eligible VMs that are there.
///
/// Only the leader of a settled group asks; `since` is when it began to lead.
pub fn next_membership_change(
    now: core_time::Instant,
    since: core_time::Instant,
    members: &storage::Membership,
    roster: &Roster,
    status: impl Fn(types::VmId) -> MemberStatus,
) -> Option<replication::MembershipChange> {
    for vm in members.iter() {
        // Its address is held by a later life, so its disk is gone.
        let replaced = roster.get(vm).is_none() && members.iter().count() > 1;
        let absent = |status: MemberStatus| {
            let last_contact = status.last_contact.unwrap_or(since).max(since);
            !status.connected && now.since(last_contact) >= REMOVE_ABSENT_AFTER
        };
        let spare = members.voters.len() > 3 || members.learners.contains(&vm);
        if replaced && !status(vm).connected && now.since(since) >= REPLACED_AFTER
            || spare && absent(status(vm))
        {
            return Some(replication::MembershipChange::Remove(vm));
        }
    }
    let caught_up = members
        .learners
        .iter()
        .find(|vm| members.voters.len() < MAX_VOTERS && status(**vm).caught_up);
    if let Some(vm) = caught_up {
        return Some(replication::MembershipChange::Promote(*vm));
    }
    let joining = roster.eligible().into_iter().find(|vm| {
        let known = members.voters.contains(&vm.id) || members.learners.contains(&vm.id);
        !known && status(vm.id).connected
    });
    let room = members.iter().count() < MAX_VOTERS;
    joining
        .filter(|_| room)
        .map(|vm| replication::MembershipChange::AddLearner(vm.id))
}

/// A new leader waits this long before it takes a member that it doesn't know for replaced: the
/// member may not have connected yet.
const REPLACED_AFTER: time::Duration = time::Duration::from_millis(1500);
