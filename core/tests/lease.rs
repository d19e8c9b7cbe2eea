//! Tests of serving leases: which gateways may serve, which revision is in force, and which
//! gateways are behind.

use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use wagtailshunt_core::directory::ViewComparison;
use wagtailshunt_core::lease::{
    Config, GatewayStatus, Grantor, Holder, LeaderStatus, Refusal, Removal,
};
use wagtailshunt_core::time::Instant;
use wagtailshunt_core::types::{Incarnation, Revision, VmId};

const GATEWAY: VmId = VmId(1);
/// Lease length as the grantor measures it: 2200 ms and the clock margin.
const GRANTED_LENGTH: Duration = Duration::from_millis(2222);

fn cfg() -> Config {
    Config {
        length: Duration::from_millis(2200),
        renew_every: Duration::from_millis(500),
        ..Config::default()
    }
}

fn ms(at: u64) -> Instant {
    Instant(at * 1000)
}

fn holder(incarnation: u64) -> Holder {
    Holder::new(cfg(), GATEWAY, Incarnation(incarnation))
}

fn status(revision: u64) -> GatewayStatus {
    GatewayStatus {
        revision: Revision(revision),
        ..GatewayStatus::default()
    }
}

fn current(revision: u64) -> LeaderStatus {
    LeaderStatus {
        revision: Revision(revision),
        ..LeaderStatus::default()
    }
}

const FOREVER: Option<Instant> = Some(Instant(u64::MAX));

/// Returns a grantor that started longer ago than a lease of an earlier leader lasts.
fn grantor_without_prior_leases(revision: u64) -> Grantor {
    Grantor::new(cfg(), ms(0), Revision(revision), [GATEWAY])
}

/// Guards against a gateway that still serves after its lease has ended for the leader.
#[test]
fn holder_stops_serving_before_its_lease_ends_at_the_grantor() {
    let mut grantor = grantor_without_prior_leases(5);
    let mut holder = holder(1);
    assert!(holder.renewal_due(ms(10_000)));
    let renewal = holder.start_renewal(ms(10_000), &status(5));
    assert!(!holder.renewal_due(ms(10_499)));
    let grant = grantor
        .renew(ms(10_040), FOREVER, &current(5), &renewal)
        .expect("granted");
    assert!(holder.granted(ms(10_050), &grant, ViewComparison::Same));
    assert!(!holder.granted(ms(10_050), &grant, ViewComparison::Same));
    assert!(holder.serving(ms(12_177)) && !holder.serving(ms(12_178)));
    grantor.record_change(ms(10_050), Revision(6));
    assert_eq!(grantor.vms_behind(ms(12_261), Revision(6)), [GATEWAY]);
    assert_eq!(grantor.in_force(ms(12_261)), Revision(5));
    assert_eq!(
        grantor.next_deadline(ms(12_261)),
        Some(ms(10_040) + GRANTED_LENGTH)
    );
    assert_eq!(grantor.in_force(ms(12_262)), Revision(6));
}

/// Guards against a gateway that resumes serving with the targets that it knew before it was
/// disconnected.
#[test]
fn an_ended_lease_is_resumed_only_with_a_confirmed_view() {
    let mut grantor = grantor_without_prior_leases(5);
    let mut holder = holder(1);
    let mut renew = |at: u64, confirmed| {
        let renewal = holder.start_renewal(ms(at), &status(5));
        let grant = grantor
            .renew(ms(at), FOREVER, &current(5), &renewal)
            .expect("granted");
        holder.granted(ms(at), &grant, confirmed)
    };
    assert!(!renew(10_000, ViewComparison::Unknown));
    assert!(!renew(10_010, ViewComparison::Differs));
    assert!(renew(10_020, ViewComparison::Same));
    assert!(renew(10_500, ViewComparison::Unknown));
    assert!(!renew(10_600, ViewComparison::Differs));
    assert!(!renew(20_000, ViewComparison::Unknown));
}

/// Guards against grants by a leader that may have been replaced.
#[test]
fn nothing_is_granted_without_a_leader_lease() {
    let mut grantor = grantor_without_prior_leases(5);
    let renewal = holder(1).start_renewal(ms(10_000), &status(5));
    for lease in [None, Some(ms(10_000))] {
        let refusal = grantor.renew(ms(10_000), lease, &current(5), &renewal);
        assert_eq!(refusal, Err(Refusal::NotLeader));
    }
}

/// Guards against a gateway that missed a change and extends its lease with the old revision.
#[test]
fn a_gateway_that_is_behind_is_refused_after_the_grace() {
    let mut grantor = grantor_without_prior_leases(5);
    let mut holder = holder(1);
    let before = holder.start_renewal(ms(9_900), &status(5));
    assert!(
        grantor
            .renew(ms(9_950), FOREVER, &current(5), &before)
            .is_ok()
    );
    grantor.record_change(ms(10_000), Revision(6));
    let first = holder.start_renewal(ms(10_400), &status(5));
    assert!(
        grantor
            .renew(ms(10_450), FOREVER, &current(6), &first)
            .is_ok()
    );
    let second = holder.start_renewal(ms(10_900), &status(5));
    let behind = Refusal::Behind {
        revision: Revision(6),
    };
    assert_eq!(
        grantor.renew(ms(10_950), FOREVER, &current(6), &second),
        Err(behind)
    );
    holder.refused(ms(10_960), &behind);
    assert!(holder.renewal_due(ms(11_060)));
    assert_eq!(grantor.in_force(ms(10_450) + GRANTED_LENGTH), Revision(6));
}

/// Guards against a lease with an older revision than one that was reported in force, within the
/// grace period and across a change of leader.
#[test]
fn no_lease_is_granted_below_what_was_in_force() {
    let mut grantor = grantor_without_prior_leases(5);
    grantor.record_change(ms(10_000), Revision(6));
    assert_eq!(grantor.in_force(ms(10_001)), Revision(6));
    let late = holder(1).start_renewal(ms(10_002), &status(5));
    let behind = Err(Refusal::Behind {
        revision: Revision(6),
    });
    assert_eq!(
        grantor.renew(ms(10_003), FOREVER, &current(6), &late),
        behind
    );
    let mut next = Grantor::new(cfg(), ms(10_100), Revision(6), [GATEWAY]);
    let late = holder(2).start_renewal(ms(10_102), &status(5));
    assert_eq!(next.renew(ms(10_103), FOREVER, &current(6), &late), behind);
}

/// Guards against a new leader that ignores the leases of the earlier leader.
#[test]
fn a_new_leader_waits_for_leases_of_the_earlier_leader() {
    let mut grantor = Grantor::new(cfg(), ms(10_000), Revision(6), [GATEWAY]);
    let renewal = holder(1).start_renewal(ms(10_010), &status(6));
    assert!(
        grantor
            .renew(ms(10_010), FOREVER, &current(6), &renewal)
            .is_ok()
    );
    assert_eq!(grantor.in_force(ms(12_221)), Revision(0));
    assert_eq!(grantor.remove(ms(10_020), VmId(9)), Removal::Ended);
    assert_eq!(grantor.in_force(ms(12_222)), Revision(6));
}

/// Guards against a late renewal of an earlier process that is attributed to the current one, and
/// against ignoring that the earlier process may still serve.
#[test]
fn renewals_of_an_earlier_incarnation_are_recognised() {
    let mut grantor = grantor_without_prior_leases(5);
    let (mut old, mut new) = (holder(1), holder(2));
    let (first, late) = (
        old.start_renewal(ms(10_000), &status(5)),
        old.start_renewal(ms(10_500), &status(5)),
    );
    assert!(
        grantor
            .renew(ms(10_000), FOREVER, &current(5), &first)
            .is_ok()
    );
    grantor.record_change(ms(10_100), Revision(6));
    let renewal = new.start_renewal(ms(10_200), &status(6));
    let grant = grantor
        .renew(ms(10_200), FOREVER, &current(6), &renewal)
        .expect("granted");
    assert_eq!(grant.transitions, 2);
    let superseded = Err(Refusal::Superseded {
        incarnation: Incarnation(2),
    });
    assert_eq!(
        grantor.renew(ms(10_510), FOREVER, &current(6), &late),
        superseded
    );
    assert_eq!(
        grantor.renew(ms(10_520), FOREVER, &current(6), &renewal),
        Err(Refusal::Stale)
    );
    assert_eq!(grantor.in_force(ms(12_221)), Revision(5));
    assert_eq!(grantor.in_force(ms(12_222)), Revision(6));
}

/// Guards against a planned stop that delays changes, and a removal while a lease is in use.
#[test]
fn release_and_removal() {
    let mut grantor = grantor_without_prior_leases(5);
    let mut holder = holder(1);
    let renewal = holder.start_renewal(ms(10_000), &status(5));
    let grant = grantor
        .renew(ms(10_000), FOREVER, &current(5), &renewal)
        .expect("granted");
    assert_eq!(
        grantor.remove(ms(10_001), GATEWAY),
        Removal::Wait(ms(10_000) + GRANTED_LENGTH)
    );
    holder.granted(ms(10_001), &grant, ViewComparison::Same);
    let refused = holder.start_renewal(ms(10_500), &status(5));
    let refusal = grantor.renew(ms(10_500), FOREVER, &current(5), &refused);
    assert_eq!(refusal, Err(Refusal::NotRegistered));
    let late = holder.start_renewal(ms(10_550), &status(5));
    let release = holder.release(&status(5));
    assert!(!holder.serving(ms(10_600)) && !holder.renewal_due(ms(20_000)));
    grantor
        .renew(ms(10_600), FOREVER, &current(5), &release)
        .expect("noted");
    assert_eq!(
        grantor.renew(ms(10_610), FOREVER, &current(5), &late),
        Err(Refusal::Stale)
    );
    grantor.record_change(ms(10_620), Revision(6));
    assert_eq!(grantor.in_force(ms(10_620)), Revision(6));
    assert_eq!(grantor.remove(ms(10_620), GATEWAY), Removal::Ended);
}

/// Event of a random run: kind, gateway and delay in milliseconds.
#[derive(Clone, Debug)]
struct Event(u8, u8, u16);

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Event {
        Event(
            u8::arbitrary(g) % 8,
            u8::arbitrary(g) % 3,
            u16::arbitrary(g) % 400,
        )
    }
}

/// Runs gateways whose clocks differ by 1% in total: they renew, lose replies, restart and fall
/// behind. Returns whether the revision in force never decreases and none serves an older one.
fn in_force_holds(events: Vec<Event>) -> bool {
    let vms = [VmId(0), VmId(1), VmId(2)];
    let new = |vm: usize, incarnation| Holder::new(cfg(), vms[vm], Incarnation(incarnation));
    // Clock rates in millionths. The difference between any two is within the margin.
    let local = |vm: usize, at: u64| Instant(at * [995_000, 1_000_000, 1_005_000][vm] / 1000);
    let mut now = 10_000;
    let mut grantor = Grantor::new(cfg(), ms(now), Revision(1), vms);
    let mut holders: Vec<(usize, Holder, u64)> = (0..3).map(|vm| (vm, new(vm, 1), 1)).collect();
    let (mut revision, mut reported) = (1, Revision(0));
    for (at, Event(kind, vm, delay)) in events.into_iter().enumerate() {
        let vm = usize::from(vm);
        now += u64::from(delay);
        match kind {
            0 => {
                revision += 1;
                grantor.record_change(ms(now), Revision(revision));
            }
            1 => holders.push((vm, new(vm, at as u64 + 2), 0)),
            _ => {
                let last = holders
                    .iter_mut()
                    .rfind(|(owner, ..)| *owner == vm)
                    .expect("holder");
                let (_, holder, applied) = last;
                let renewal = holder.start_renewal(local(vm, now), &status(*applied));
                now += 7;
                let answer = grantor.renew(ms(now), FOREVER, &current(revision), &renewal);
                if let (Ok(grant), true) = (answer, kind > 2) {
                    holder.granted(local(vm, now), &grant, ViewComparison::Same);
                }
                if kind > 3 {
                    *applied = revision;
                }
            }
        }
        let in_force = grantor.in_force(ms(now));
        reported = reported.max(in_force);
        let serving = holders
            .iter()
            .filter(|(vm, holder, _)| holder.serving(local(*vm, now)));
        if in_force < reported
            || serving
                .into_iter()
                .any(|(.., applied)| *applied < reported.0)
        {
            return false;
        }
    }
    true
}

/// Guards against a gateway that serves a revision older than one that was reported in force.
#[test]
fn nothing_older_than_in_force_is_served() {
    let property: fn(Vec<Event>) -> bool = in_force_holds;
    QuickCheck::new()
        .rng(Gen::new(150))
        .tests(500)
        .quickcheck(property);
}
