//! Tests of cluster formation: the initial voters and later membership changes.

use std::{net, time};

use wagtailshunt_core::{formation, replication, storage, time as core_time, types};

fn vm(id: u32, host: u8, domain: &str, incarnation: u64) -> formation::Vm {
    formation::Vm {
        id: types::VmId(id),
        peer_address: net::SocketAddr::from(([10, 0, 0, host], 7200)),
        operator_address: net::SocketAddr::from(([10, 0, 0, host], 8382)),
        relay_address: None,
        failure_domain: types::FailureDomain::from(domain),
        has_disk: true,
        counted: true,
        incarnation: types::Incarnation(incarnation),
    }
}

fn at(ms: u64) -> core_time::Instant {
    core_time::Instant(ms * 1000)
}

fn roster(vms: &[formation::Vm]) -> formation::Roster {
    let mut roster = formation::Roster::default();
    for vm in vms {
        assert!(roster.learn(at(0), vm, formation::Source::Announced));
    }
    roster
}

fn connected(_: types::VmId) -> formation::MemberStatus {
    formation::MemberStatus {
        connected: true,
        last_contact: None,
        caught_up: true,
    }
}

/// Guards against a bootstrap while VMs are still being discovered, and against initial voters
/// without a VM of one failure domain.
#[test]
fn initial_voters_wait_and_cover_the_domains() {
    let mut vms: Vec<formation::Vm> = (0..12).map(|i| vm(i + 1, i as u8, "a", 1)).collect();
    vms[11].failure_domain = types::FailureDomain::from("b");
    let roster = roster(&vms);
    assert_eq!(roster.initial_voters(at(100)), None);
    let initial_voters = roster.initial_voters(at(1000)).unwrap();
    assert_eq!(initial_voters.len(), formation::MAX_VOTERS);
    assert!(initial_voters.contains(&types::VmId(12)));
}

/// Guards against many VMs with disks that all others connect to and that each announce every VM, and
/// against a choice without VMs of one failure domain.
#[test]
fn others_connect_to_few_of_many_vms_with_disks() {
    let domains = ["a", "b", "c", "d"];
    let vms: Vec<formation::Vm> = (0..56)
        .map(|i| vm(i + 1, i as u8, domains[i as usize / 14], 1))
        .collect();
    let roster = roster(&vms);
    let contacts = roster.contacts();
    assert_eq!(contacts.len(), formation::MAX_VOTERS);
    for domain in domains {
        let domain = types::FailureDomain::from(domain);
        let in_domain = contacts.iter().filter(|vm| vm.failure_domain == domain);
        assert!(in_domain.count() >= 2);
    }
}

/// Guards against a voter whose disk was wiped: its VM restarts with another id, which replaces the
/// old id in three membership changes.
#[test]
fn wiped_voter_is_replaced() {
    let mut roster = roster(&[vm(1, 1, "a", 1), vm(2, 2, "b", 1), vm(3, 3, "c", 1)]);
    let mut members = storage::Membership::of_voters([1, 2, 3].map(types::VmId));
    let next = |roster: &formation::Roster, members: &storage::Membership| {
        let status = |vm: types::VmId| formation::MemberStatus {
            connected: roster.get(vm).is_some(),
            ..connected(vm)
        };
        formation::next_membership_change(at(10_000), at(0), members, 3, roster, status)
    };
    assert_eq!(next(&roster, &members), None);
    roster.learn(at(9_000), &vm(9, 3, "c", 2), formation::Source::Announced);
    let forwarded = vm(3, 3, "c", 1);
    assert!(!roster.learn(at(9_100), &forwarded, formation::Source::Forwarded));
    let old = types::VmId(3);
    let new = types::VmId(9);
    let change = next(&roster, &members);
    assert_eq!(change, Some(replication::MembershipChange::Remove(old)));
    members.voters.remove(&old);
    let change = next(&roster, &members);
    assert_eq!(change, Some(replication::MembershipChange::AddLearner(new)));
    members.learners.insert(new);
    let change = next(&roster, &members);
    assert_eq!(change, Some(replication::MembershipChange::Promote(new)));
}

/// Guards against a permanently lost voter that still counts towards the quorum, and against the
/// removal of a voter during a restart or when only three are left.
#[test]
fn absent_voter_is_removed_late() {
    let vms: Vec<formation::Vm> = (1..=4).map(|i| vm(i, i as u8, "a", 1)).collect();
    let roster = roster(&vms);
    let status = |vm: types::VmId| formation::MemberStatus {
        connected: vm != types::VmId(4),
        last_contact: Some(at(1_000)),
        caught_up: true,
    };
    let ids = |n: u32| (1..=n).map(types::VmId);
    let four = storage::Membership::of_voters(ids(4));
    let soon = at(3_000);
    assert_eq!(
        formation::next_membership_change(soon, at(0), &four, 3, &roster, status),
        None
    );
    let late = at(1_000) + formation::REMOVE_ABSENT_AFTER + time::Duration::from_secs(1);
    let change = formation::next_membership_change(late, at(0), &four, 3, &roster, status);
    let removed = replication::MembershipChange::Remove(types::VmId(4));
    assert_eq!(change, Some(removed));
    let three = storage::Membership::of_voters([types::VmId(1), types::VmId(2), types::VmId(4)]);
    let kept = formation::next_membership_change(late, at(0), &three, 3, &roster, status);
    assert_eq!(
        kept,
        Some(replication::MembershipChange::AddLearner(types::VmId(3)))
    );
}

/// Guards against a deployment without disks that never forms a group, and against a deployment
/// with disks where the other VMs form a group before a VM with a disk is known.
#[test]
fn vms_without_disks_vote_only_where_there_are_no_disks() {
    let mut vms: Vec<formation::Vm> = (1..=5).map(|i| vm(i, i as u8, "a", 1)).collect();
    for vm in &mut vms {
        vm.has_disk = false;
        vm.counted = vm.id.0 <= 3;
    }
    let mut roster = roster(&vms);
    assert_eq!(roster.initial_voters(at(500)), None);
    let initial_voters = roster.initial_voters(at(1_100)).unwrap();
    assert_eq!(initial_voters, [1, 2, 3].map(types::VmId));
    roster.learn(at(1_100), &vm(9, 9, "a", 1), formation::Source::Announced);
    assert_eq!(roster.initial_voters(at(1_500)), Some(vec![types::VmId(9)]));
}

/// Guards against the exchange of whole rosters between VMs that know the same VMs.
#[test]
fn roster_digest_shows_a_new_incarnation() {
    let here = roster(&[vm(1, 1, "a", 1), vm(2, 2, "b", 1)]);
    let there = roster(&[vm(2, 2, "b", 1), vm(1, 1, "a", 1)]);
    assert_eq!(here.digest(), there.digest());
    let restarted = roster(&[vm(1, 1, "a", 2), vm(2, 2, "b", 1)]);
    assert_ne!(here.digest(), restarted.digest());
}

/// Guards against a voter that is gone for good, beside its successor, until another voter loses its
/// disk and the rest is no quorum: two of three VMs are replaced within half a minute.
#[test]
fn replaced_voters_leave_before_the_next_loss() {
    let roster = roster(&(1..=5).map(|i| vm(i, i as u8, "a", 1)).collect::<Vec<_>>());
    let gone = [types::VmId(1), types::VmId(4)];
    let mut members = storage::Membership::of_voters((1..=5).map(types::VmId));
    // The leader was elected when the second VM was gone already.
    let elected = at(27_000);
    let status = |vm: types::VmId| formation::MemberStatus {
        connected: !gone.contains(&vm),
        last_contact: None,
        caught_up: true,
    };
    let mut now = elected;
    while now < at(33_000) {
        now = now + time::Duration::from_millis(100);
        let fewest = formation::fewest_voters(1);
        match formation::next_membership_change(now, elected, &members, fewest, &roster, status) {
            Some(replication::MembershipChange::Remove(vm)) => {
                assert!(members.voters.remove(&vm));
            }
            // A VM that is gone is not connected, so it does not join again.
            None => {}
            Some(other) => panic!("{other:?}"),
        }
    }
    assert_eq!(
        members,
        storage::Membership::of_voters([2, 3, 5].map(types::VmId))
    );
}

/// Guards against a group that shrinks so far that the loss of as many disks as the deployment
/// tolerates takes what was committed.
#[test]
fn group_keeps_the_voters_that_its_tolerance_needs() {
    let roster = roster(&(1..=6).map(|i| vm(i, i as u8, "a", 1)).collect::<Vec<_>>());
    let status = |vm: types::VmId| formation::MemberStatus {
        connected: vm.0 <= 3,
        last_contact: Some(at(0)),
        caught_up: true,
    };
    let mut members = storage::Membership::of_voters((1..=6).map(types::VmId));
    let fewest = formation::fewest_voters(2);
    let late = at(60_000);
    while let Some(replication::MembershipChange::Remove(vm)) =
        formation::next_membership_change(late, at(0), &members, fewest, &roster, status)
    {
        members.voters.remove(&vm);
    }
    assert_eq!(members.voters.len(), 5);
}

/// Guards against a loss of the leader that is reported during an election, again at each check, or
/// never ends.
#[test]
fn loss_of_the_leader_is_reported_once() {
    let mut watch = formation::LeaderWatch::default();
    let limit = u64::try_from(formation::LEADER_LOST_AFTER.as_millis()).unwrap();
    assert!(!watch.leader_known());
    assert!(!watch.leader_missing(at(5_000)));
    assert!(!watch.leader_missing(at(5_000 + limit)));
    assert!(watch.leader_missing(at(5_001 + limit)));
    assert!(!watch.leader_missing(at(60_000)));
    assert!(watch.leader_known());
    assert!(!watch.leader_known());
    // Without other knowledge of the leader, the time counts from its last announcement.
    assert!(!watch.leader_announced(at(70_000)));
    assert!(!watch.leader_missing(at(70_000 + limit)));
    assert!(!watch.leader_announced(at(70_000 + limit)));
    assert!(!watch.leader_missing(at(70_000 + 2 * limit)));
    assert!(watch.leader_missing(at(70_001 + 2 * limit)));
    assert!(watch.leader_announced(at(80_000)));
    assert!(!watch.leader_known());
    assert!(!watch.leader_missing(at(90_000)));
}

/// Guards against a voter that is gone for good and never leaves because each leader counts its
/// absence anew.
#[test]
fn gone_voter_leaves_although_leaders_change() {
    let election_interval = time::Duration::from_secs(2);
    let roster = roster(&(1..=4).map(|i| vm(i, i as u8, "a", 1)).collect::<Vec<_>>());
    let members = storage::Membership::of_voters((1..=4).map(types::VmId));
    let gone = types::VmId(4);
    let gone_at = at(1_000);
    let mut elected = at(0);
    let mut now = gone_at;
    let removal = replication::MembershipChange::Remove(gone);
    let change = loop {
        now = now + time::Duration::from_millis(100);
        if now.since(elected) >= election_interval {
            elected = now;
        }
        let status = |vm: types::VmId| formation::MemberStatus {
            connected: vm != gone,
            last_contact: Some(if vm == gone { gone_at } else { now }),
            caught_up: true,
        };
        let change = formation::next_membership_change(now, elected, &members, 3, &roster, status);
        if change.is_some() || now > at(60_000) {
            break change;
        }
    };
    assert_eq!(
        change,
        Some(removal),
        "after 60 s with a new leader each 2 s"
    );
    let longest =
        formation::REMOVE_ABSENT_AFTER + election_interval + time::Duration::from_millis(1_500);
    assert!(now.since(gone_at) >= formation::REMOVE_ABSENT_AFTER);
    assert!(now.since(gone_at) <= longest, "{:?}", now.since(gone_at));
}

/// Guards against a new leader that removes members which have not connected to it yet: a voter and
/// a learner without contact for long, and a voter that is not in the roster.
#[test]
fn leader_removes_no_one_soon_after_its_election() {
    let roster = roster(&(1..=5).map(|i| vm(i, i as u8, "a", 1)).collect::<Vec<_>>());
    let elected = at(60_000);
    for gone in [4, 5, 6].map(types::VmId) {
        let mut members = storage::Membership::of_voters([1, 2, 3, 4, 6].map(types::VmId));
        members.learners.insert(types::VmId(5));
        let status = |vm: types::VmId| formation::MemberStatus {
            connected: vm != gone,
            last_contact: Some(at(1_000)),
            caught_up: false,
        };
        let change_after = |ms: u64| {
            let now = elected + time::Duration::from_millis(ms);
            formation::next_membership_change(now, elected, &members, 3, &roster, status)
        };
        assert_eq!(change_after(500), None);
        let removal = replication::MembershipChange::Remove(gone);
        assert_eq!(change_after(1_500), Some(removal));
    }
}
