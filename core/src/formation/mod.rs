//! Cluster formation: decides the initial voters of the group of entry VMs and, later, the
//! membership changes that keep the group complete. Inputs are the announcements of VMs, directly
//! or forwarded by other VMs, and the leader's status of each member.
//!
//! A VM id belongs to one disk or, on a VM without a disk, to one process. A VM that restarts with
//! an empty disk gets a new id, so that it never votes after losing its log and its earlier
//! votes.

mod leader_watch;

use std::{collections, net, time};

pub use leader_watch::{LEADER_LOST_AFTER, LeaderWatch};

use crate::{fleet, replication, storage, time as core_time, types};

/// Largest number of voters of a group. More voters make commits slower and tolerate no further
/// failure that occurs in practice.
pub const MAX_VOTERS: usize = 9;

/// Time without news of a VM after which the initial voters are decided. VMs start within 0.3 s of
/// each other and exchange the VMs that they know when they connect.
pub const BOOTSTRAP_QUIET_PERIOD: time::Duration = time::Duration::from_millis(350);

/// The same time while no VM with a disk is known. It is longer because the group must not form
/// without a VM with a disk that starts late.
pub const BOOTSTRAP_QUIET_PERIOD_WITHOUT_DISK: time::Duration = time::Duration::from_millis(1000);

/// Time without contact after which a disconnected member is removed, if it is a learner or the
/// group has more than the fewest voters that it needs. A voter that is gone for good, beside its
/// successor, raises the quorum: one more loss could then stop the group. It is longer than most
/// restarts; a VM that comes back later joins again.
pub const REMOVE_ABSENT_AFTER: time::Duration = time::Duration::from_secs(3);

/// Returns the fewest voters that keep what was committed, and can elect a leader, when the disks of
/// `tolerated_losses` of them are lost at once.
pub fn fewest_voters(tolerated_losses: usize) -> usize {
    2 * tolerated_losses.max(1) + 1
}

/// VM of the system, as it announced itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Id of the VM.
    pub id: types::VmId,
    /// Address at which it accepts connections of other processes of the system.
    pub peer_address: net::SocketAddr,
    /// Address at which it accepts requests of operators.
    pub operator_address: net::SocketAddr,
    /// Address at which it accepts calls of other VMs that have lost their path to the targets;
    /// `None` if it relays none.
    pub relay_address: Option<net::SocketAddr>,
    /// Failure domain of the VM.
    pub failure_domain: types::FailureDomain,
    /// Whether it has a disk.
    pub has_disk: bool,
    /// Whether the loss of this VM is among the failures that the deployment is designed to
    /// tolerate.
    pub counted: bool,
    /// Incarnation of the process; a later start has a higher one.
    pub incarnation: types::Incarnation,
}

/// Source of the information about a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The VM announced itself on an open connection.
    Announced,
    /// Another VM forwarded the announcement.
    Forwarded,
}

/// VMs known to this VM, one for each peer address.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    vms: collections::BTreeMap<net::SocketAddr, Vm>,
    /// When a VM was last added or replaced.
    changed_at: core_time::Instant,
}

impl Roster {
    /// Records a VM and returns whether this changed the roster.
    ///
    /// A VM replaces another one at the same address when it announced itself or its incarnation is
    /// not lower.
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
        self.changed_at = now;
        true
    }

    /// Returns the VM with the given id.
    pub fn get(&self, id: types::VmId) -> Option<&Vm> {
        self.vms.values().find(|vm| vm.id == id)
    }

    /// Returns all VMs, ordered by peer address.
    pub fn vms(&self) -> impl Iterator<Item = &Vm> {
        self.vms.values()
    }

    /// Returns a digest of the known VMs and their incarnations; never 0.
    pub fn digest(&self) -> u64 {
        let mut digest = fleet::SetDigest::default();
        for vm in self.vms.values() {
            let id = vm.id;
            let incarnation = vm.incarnation;
            digest.add(format!("{} {id} {incarnation}", vm.peer_address).as_bytes());
        }
        digest.finish()
    }

    /// Returns the VMs that may become voters: all VMs with disks or, when no VM has one, at most
    /// [`MAX_VOTERS`] of the counted VMs, or of all VMs when none is counted. Without disks, votes
    /// last only as long as the processes.
    pub fn eligible(&self) -> Vec<&Vm> {
        let with_disk: Vec<&Vm> = self.vms.values().filter(|vm| vm.has_disk).collect();
        if !with_disk.is_empty() {
            return with_disk;
        }
        let mut counted: Vec<&Vm> = self.vms.values().filter(|vm| vm.counted).collect();
        if counted.is_empty() {
            counted = self.vms.values().collect();
        }
        select_across_domains(counted, MAX_VOTERS)
    }

    /// Returns the VMs that all others connect to: at most [`MAX_VOTERS`] of the eligible ones. Each
    /// of them announces every VM to all others, so that each further one costs a connection of each
    /// VM and a list of all VMs to each.
    pub fn contacts(&self) -> Vec<&Vm> {
        let eligible = self.eligible();
        match eligible.len() <= MAX_VOTERS {
            true => eligible,
            false => select_across_domains(eligible, MAX_VOTERS),
        }
    }

    /// Returns the initial voters, or `None` until the roster has not changed for the quiet period.
    pub fn initial_voters(&self, now: core_time::Instant) -> Option<Vec<types::VmId>> {
        let eligible = self.eligible();
        let quiet = match eligible.first()?.has_disk {
            true => BOOTSTRAP_QUIET_PERIOD,
            false => BOOTSTRAP_QUIET_PERIOD_WITHOUT_DISK,
        };
        if now.since(self.changed_at) < quiet {
            return None;
        }
        let initial_voters = select_across_domains(eligible, MAX_VOTERS);
        Some(initial_voters.iter().map(|vm| vm.id).collect())
    }
}

/// Returns at most `count` of the VMs, as evenly distributed over the failure domains as possible.
fn select_across_domains(vms: Vec<&Vm>, count: usize) -> Vec<&Vm> {
    let mut by_domain: collections::BTreeMap<&types::FailureDomain, Vec<&Vm>> =
        collections::BTreeMap::new();
    for vm in vms {
        by_domain.entry(&vm.failure_domain).or_default().push(vm);
    }
    let max_vms_per_domain = by_domain.values().map(Vec::len).max().unwrap_or(0);
    let mut chosen = Vec::new();
    for rank in 0..max_vms_per_domain {
        for vms in by_domain.values() {
            chosen.extend(vms.get(rank));
        }
    }
    chosen.truncate(count);
    chosen
}

/// Status of a member, as seen by the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// Whether a connection to the member is open.
    pub connected: bool,
    /// When the member was last connected to this VM or replied to it, also before this VM was
    /// elected. `None` when nothing is known of it; its absence then counts from the election.
    pub last_contact: Option<core_time::Instant>,
    /// Whether the member has caught up with the log, so that a learner can be promoted.
    pub caught_up: bool,
}

/// Returns the next membership change that the leader proposes so that the group consists of the
/// eligible VMs that are connected, or `None` when there is none.
///
/// Only the leader of the group calls this; `since` is when it was elected. Absent voters are
/// removed as long as `fewest_voters` are left. The absence of a member may have begun before the
/// election, so that a member that is gone leaves also where leaders change often.
pub fn next_membership_change(
    now: core_time::Instant,
    since: core_time::Instant,
    members: &storage::Membership,
    fewest_voters: usize,
    roster: &Roster,
    status: impl Fn(types::VmId) -> MemberStatus,
) -> Option<replication::MembershipChange> {
    let may_remove = now.since(since) >= REMOVE_AFTER_ELECTION;
    for vm in members.iter() {
        // No known VM has this id: another VM announced itself at its address, so its disk or
        // process no longer exists.
        let replaced = roster.get(vm).is_none() && members.iter().count() > 1;
        let absent = |status: MemberStatus| {
            let last_contact = status.last_contact.unwrap_or(since);
            !status.connected && now.since(last_contact) >= REMOVE_ABSENT_AFTER
        };
        let removable = members.voters.len() > fewest_voters || members.learners.contains(&vm);
        if may_remove && (replaced && !status(vm).connected || removable && absent(status(vm))) {
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
    let has_capacity = members.iter().count() < MAX_VOTERS;
    joining
        .filter(|_| has_capacity)
        .map(|vm| replication::MembershipChange::AddLearner(vm.id))
}

/// Time after its election that a leader waits before it removes a member, because the member may
/// not have connected yet to a VM that was paused or has just started.
const REMOVE_AFTER_ELECTION: time::Duration = time::Duration::from_millis(1500);
