//! Tests of the selection of the VM that relays a call.

use std::{collections, net};

use rand::{SeedableRng, rngs};
use wagtailshunt_core::{
    formation,
    relay::{self, Outcome},
    time as core_time, types,
};

fn vm(id: u32, domain: &str) -> formation::Vm {
    let host = [10, 0, 0, id as u8];
    formation::Vm {
        id: types::VmId(id),
        peer_address: net::SocketAddr::from((host, 7200)),
        operator_address: net::SocketAddr::from((host, 8382)),
        relay_address: Some(net::SocketAddr::from((host, 7201))),
        failure_domain: types::FailureDomain::from(domain),
        has_disk: false,
        counted: false,
        incarnation: types::Incarnation(1),
    }
}

fn at(ms: u64) -> core_time::Instant {
    core_time::Instant(ms * 1000)
}

/// A VM of domain `a` that chooses among other VMs.
struct Chooser {
    relays: relay::Relays,
    vms: Vec<formation::Vm>,
    rng: rngs::SmallRng,
}

impl Chooser {
    fn new(vms: &[(u32, &str)]) -> Chooser {
        Chooser {
            relays: relay::Relays::default(),
            vms: vms.iter().map(|(id, domain)| vm(*id, domain)).collect(),
            rng: rngs::SmallRng::seed_from_u64(7),
        }
    }

    fn choose(&mut self, now: core_time::Instant, tried: &[u32]) -> Option<u32> {
        let tried: Vec<types::VmId> = tried.iter().copied().map(types::VmId).collect();
        let domain = types::FailureDomain::from("a");
        let vms = self.vms.iter();
        let chosen = self
            .relays
            .choose(now, vms, &domain, &tried, &mut self.rng)?;
        Some(chosen.id.0)
    }

    fn finish(&mut self, now: core_time::Instant, vm: u32, outcome: Outcome) {
        self.relays.started(types::VmId(vm));
        self.relays.finished(now, types::VmId(vm), outcome);
    }
}

/// Guards against calls that cross failure domains although a VM of the own one can relay them.
#[test]
fn vms_of_the_own_domain_relay_first() {
    let mut chooser = Chooser::new(&[(1, "b"), (2, "a"), (3, "c")]);
    assert_eq!(chooser.choose(at(0), &[]), Some(2));
    assert_ne!(chooser.choose(at(0), &[2]), None);
    chooser.vms[1].relay_address = None;
    assert_ne!(chooser.choose(at(0), &[]), Some(2));
}

/// Guards against calls that go from one VM to the next of a failure domain that has lost its path
/// as a whole.
#[test]
fn other_domains_relay_once_a_vm_of_the_own_one_declines() {
    let mut chooser = Chooser::new(&[(1, "a"), (2, "a"), (3, "a"), (4, "b")]);
    let first = chooser.choose(at(0), &[]).unwrap();
    chooser.finish(at(0), first, Outcome::Declined);
    assert_eq!(chooser.choose(at(10), &[first]), Some(4));
    assert_eq!(chooser.choose(at(10), &[]), Some(4));
    // A VM whose path is back is found within a second.
    assert_ne!(chooser.choose(at(1_000), &[]), Some(4));
}

/// Guards against one relay that gets the calls of all VMs that need one.
#[test]
fn calls_are_spread_over_the_relays() {
    let mut chooser = Chooser::new(&[(1, "b"), (2, "b"), (3, "c"), (4, "c")]);
    let mut counts = collections::BTreeMap::new();
    for _ in 0..40 {
        let chosen = chooser.choose(at(0), &[]).unwrap();
        chooser.relays.started(types::VmId(chosen));
        *counts.entry(chosen).or_insert(0) += 1;
    }
    assert_eq!(counts.into_values().collect::<Vec<i32>>(), [10, 10, 10, 10]);
}

/// Guards against calls that wait for VMs that are gone: each is tried ever more seldom, and a call
/// that no VM can relay fails at once.
#[test]
fn vms_that_fail_are_avoided_longer_each_time() {
    let mut chooser = Chooser::new(&[(1, "a")]);
    let mut now = at(0);
    let mut tries = 0;
    while now < at(60_000) {
        if chooser.choose(now, &[]).is_some() {
            tries += 1;
            chooser.finish(now, 1, Outcome::Failed);
        }
        now = now + std::time::Duration::from_millis(100);
    }
    // After 0, 1, 3, 7 and 15 s, then every 8 s.
    assert_eq!(tries, 10);
    assert_eq!(chooser.choose(at(60_000), &[]), None);
    now = at(63_000);
    assert_eq!(chooser.choose(now, &[]), Some(1));
    chooser.finish(now, 1, Outcome::Handled);
    chooser.finish(now, 1, Outcome::Failed);
    assert_eq!(chooser.choose(at(64_000), &[]), Some(1));
}

/// Guards against a call that its caller has ended and that counts against its relay.
#[test]
fn cancelled_call_is_no_evidence() {
    let mut chooser = Chooser::new(&[(1, "a")]);
    chooser.finish(at(0), 1, Outcome::Cancelled);
    assert_eq!(chooser.choose(at(0), &[]), Some(1));
}

/// Guards against calls that meet one VM without a path after the other while most VMs have lost it,
/// although a VM that has it is known.
#[test]
fn vms_that_have_relayed_calls_come_before_unknown_ones() {
    let mut vms: Vec<(u32, &str)> = (1..=40).map(|id| (id, "a")).collect();
    vms.extend((41..=80).map(|id| (id, "b")));
    let has_path = |id: u32| id.is_multiple_of(10);
    let mut chooser = Chooser::new(&vms);
    let mut now = at(0);
    let mut declined = 0;
    for _ in 0..100 {
        let mut tried = Vec::new();
        loop {
            let chosen = chooser.choose(now, &tried).unwrap();
            tried.push(chosen);
            if has_path(chosen) {
                chooser.finish(now, chosen, Outcome::Handled);
                break;
            }
            chooser.finish(now, chosen, Outcome::Declined);
        }
        declined += tried.len() - 1;
        now = now + std::time::Duration::from_millis(150);
    }
    // One in ten VMs has a path, so the first call alone meets nine others on average.
    assert!(declined <= 40, "{declined}");
}

/// Guards against one proved VM that gets all calls of a VM while others can relay as well.
#[test]
fn further_vms_relay_when_the_proved_one_is_busy() {
    let mut chooser = Chooser::new(&[(1, "a"), (2, "a")]);
    let first = chooser.choose(at(0), &[]).unwrap();
    chooser.finish(at(0), first, Outcome::Handled);
    let mut chosen = collections::BTreeSet::new();
    for _ in 0..4 {
        let next = chooser.choose(at(10), &[]).unwrap();
        chooser.relays.started(types::VmId(next));
        chosen.insert(next);
    }
    assert_eq!(chosen.len(), 2);
}
