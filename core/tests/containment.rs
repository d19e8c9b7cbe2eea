//! Containment of requests that crash targets: attribution, permits, blocks, and the release of
//! requests that were only in flight at the same time.

use std::time::Duration;

use wagtailshunt_core::{containment, ledger, time, types};

const START: time::Instant = time::Instant(10_000_000);

fn ms(value: u64) -> time::Instant {
    START + Duration::from_millis(value)
}

fn target(number: u64) -> containment::Target {
    containment::Target {
        service: "bookings".into(),
        id: types::TargetId(format!("t{number}")),
        incarnation: types::Incarnation(1),
    }
}

fn suspect(number: u128) -> containment::Suspect {
    containment::Suspect {
        fingerprint: containment::Fingerprint(number),
        label: format!("bookings POST /{number}"),
    }
}

fn unanswered(call: u64, request: u128) -> containment::ConnectionEnd {
    containment::ConnectionEnd::Unanswered {
        call,
        suspect: suspect(request),
    }
}

fn call(id: u64, request: u128, target: &containment::Target, sent: u64) -> containment::Call<'_> {
    containment::Call {
        id,
        fingerprint: containment::Fingerprint(request),
        target,
        opened: START,
        started: ms(sent),
    }
}

fn gateway() -> containment::Gateway {
    containment::Gateway::new(containment::GatewayConfig::default())
}

fn leader() -> containment::Leader {
    let since = time::Instant(0);
    containment::Leader::new(containment::LeaderConfig::default(), since)
}

fn report(number: u64, requests: &[u128]) -> containment::CrashReport {
    containment::CrashReport {
        target: target(number),
        suspects: requests.iter().map(|request| suspect(*request)).collect(),
    }
}

fn permit_request(call: u64, request: u128) -> containment::PermitRequest {
    containment::PermitRequest {
        call,
        suspect: suspect(request),
        remaining: Duration::from_secs(1),
    }
}

fn permit_done(
    call: u64,
    request: u128,
    result: containment::RunResult,
) -> containment::PermitDone {
    containment::PermitDone {
        call,
        fingerprint: containment::Fingerprint(request),
        result,
    }
}

fn outputs(gateway: &mut containment::Gateway) -> Vec<containment::Output> {
    std::iter::from_fn(|| gateway.poll_output()).collect()
}

fn replies(leader: &mut containment::Leader) -> Vec<(u64, containment::PermitReply)> {
    let outputs = std::iter::from_fn(|| leader.poll_output());
    let reply = |output| match output {
        containment::LeaderOutput::Reply { call, reply, .. } => Some((call, reply)),
        containment::LeaderOutput::Publish(_) => None,
    };
    outputs.filter_map(reply).collect()
}

fn is_blocked(leader: &containment::Leader, request: u128) -> bool {
    let fingerprint = containment::Fingerprint(request);
    let list = leader.list(ms(0));
    let record = list.iter().find(|r| r.suspect.fingerprint == fingerprint);
    record.is_some_and(|record| record.blocked_for.is_some())
}

/// Opens `connections` connections and starts `calls` calls on target 1.
fn with_calls(calls: u64, connections: u64) -> containment::Gateway {
    let mut gateway = gateway();
    for _ in 0..connections {
        gateway.connection_opened(&target(1));
    }
    for _ in 0..calls {
        gateway.call_started(&target(1));
    }
    gateway
}

/// Guards against a crash that is not detected, and against a request in flight that is not
/// reported.
#[test]
fn all_calls_in_flight_on_a_lost_target_are_reported() {
    let mut gateway = with_calls(2, 3);
    gateway.connection_ended(ms(0), &target(1), START, unanswered(1, 10));
    let suspected = |request| containment::Output::PossibleLoss(report(1, &[request]));
    assert_eq!(outputs(&mut gateway), [suspected(10)]);
    let fingerprint = containment::Fingerprint(10);
    assert_eq!(
        gateway.decide(ms(0), fingerprint),
        containment::Decision::Isolate
    );
    gateway.connection_ended(ms(1), &target(1), START, unanswered(2, 11));
    gateway.connection_ended(ms(1), &target(1), START, containment::ConnectionEnd::Idle);
    let reported = containment::Output::LossConfirmed(report(1, &[10, 11]));
    assert_eq!(outputs(&mut gateway), [suspected(11), reported]);
}

/// Guards against a request that stays suspect although only its own connection was reset.
#[test]
fn a_target_that_keeps_responding_was_not_lost() {
    let mut gateway = with_calls(1, 2);
    let target = target(1);
    gateway.connection_ended(ms(5), &target, START, unanswered(1, 10));
    gateway.call_finished(&call(1, 10, &target, 0), false);
    // The response to a call sent before the connection ended may have been sent before a loss.
    gateway.call_started(&target);
    gateway.call_finished(&call(2, 11, &target, 4), true);
    let fingerprint = containment::Fingerprint(10);
    assert_eq!(
        gateway.decide(ms(6), fingerprint),
        containment::Decision::Isolate
    );
    gateway.call_started(&target);
    gateway.call_finished(&call(3, 11, &target, 6), true);
    assert_eq!(
        gateway.decide(ms(6), fingerprint),
        containment::Decision::Run
    );
    let ruled_out = containment::Output::LossRuledOut(report(1, &[10]));
    let suspected = containment::Output::PossibleLoss(report(1, &[10]));
    assert_eq!(outputs(&mut gateway), [suspected, ruled_out]);
}

/// Guards against a crash that is not detected because the call's connection was the only one.
#[test]
fn a_single_connection_needs_further_evidence() {
    type Evidence = fn(&mut containment::Gateway);
    let evidence: [Evidence; 2] = [
        |gateway| gateway.incarnation_ended(ms(900), &target(1)),
        |gateway| gateway.connect_failed(ms(1), &target(1)),
    ];
    for evidence in evidence {
        let mut gateway = with_calls(1, 1);
        gateway.connection_ended(ms(0), &target(1), START, unanswered(1, 10));
        let suspected = containment::Output::PossibleLoss(report(1, &[10]));
        assert_eq!(outputs(&mut gateway), [suspected]);
        evidence(&mut gateway);
        let reported = containment::Output::LossConfirmed(report(1, &[10]));
        assert_eq!(outputs(&mut gateway), [reported]);
    }
}

/// Guards against a suspicion that never ends, and against a planned stop that is taken for a
/// crash.
#[test]
fn evidence_outside_the_window_does_not_count() {
    let mut gateway = with_calls(1, 1);
    gateway.connection_ended(ms(0), &target(1), START, unanswered(1, 10));
    assert_eq!(gateway.next_deadline(), Some(ms(5_000)));
    gateway.tick(ms(5_000));
    gateway.incarnation_ended(ms(5_001), &target(1));
    let ruled_out = containment::Output::LossRuledOut(report(1, &[10]));
    let suspected = containment::Output::PossibleLoss(report(1, &[10]));
    assert_eq!(outputs(&mut gateway), [suspected, ruled_out]);
    let fingerprint = containment::Fingerprint(10);
    assert_eq!(
        gateway.decide(ms(5_001), fingerprint),
        containment::Decision::Run
    );
}

/// Guards against an isolated run on a target with other calls, which would add another suspect.
#[test]
fn isolated_runs_use_a_target_without_other_calls() {
    let mut gateway = with_calls(1, 1);
    gateway.request_permit(ms(0), 7, suspect(10), Duration::from_secs(1));
    let targets = [target(1), target(2)];
    assert_eq!(gateway.isolated_target(7, targets.iter()), None);
    let fingerprint = containment::Fingerprint(10);
    let decision = gateway.permit_reply(7, fingerprint, containment::PermitReply::Granted);
    assert_eq!(decision, containment::PermitDecision::Isolated);
    assert_eq!(
        gateway.isolated_target(7, targets.iter()),
        Some(&targets[1])
    );
    assert!(gateway.is_reserved(&targets[1]));
    gateway.poll_output();
    gateway.call_started(&targets[1]);
    gateway.call_finished(&call(7, 10, &targets[1], 1), true);
    assert!(!gateway.is_reserved(&targets[1]));
    let cleared = permit_done(7, 10, containment::RunResult::Answered);
    assert_eq!(
        gateway.poll_output(),
        Some(containment::Output::RunEnded(cleared))
    );
}

/// Guards against a retry that cannot get a permit because its call still holds the permit of the
/// run whose target was lost.
#[test]
fn a_run_on_a_lost_target_returns_its_permit() {
    let mut gateway = with_calls(1, 1);
    let fingerprint = containment::Fingerprint(10);
    let granted = containment::PermitReply::Granted;
    gateway.request_permit(ms(0), 7, suspect(10), Duration::from_secs(1));
    gateway.permit_reply(7, fingerprint, granted);
    outputs(&mut gateway);
    gateway.connection_ended(ms(1), &target(1), START, unanswered(7, 10));
    let suspected = containment::Output::PossibleLoss(report(1, &[10]));
    let returned =
        containment::Output::RunEnded(permit_done(7, 10, containment::RunResult::Inconclusive));
    assert_eq!(outputs(&mut gateway), [suspected, returned]);
    gateway.request_permit(ms(2), 7, suspect(10), Duration::from_secs(1));
    let decision = gateway.permit_reply(7, fingerprint, granted);
    assert_eq!(decision, containment::PermitDecision::Isolated);
}

/// Guards against a permit that is never returned because its call was cancelled before the grant
/// arrived.
#[test]
fn a_late_permit_is_returned() {
    let mut gateway = gateway();
    gateway.request_permit(ms(0), 7, suspect(10), Duration::from_secs(1));
    gateway.poll_output();
    gateway.cancel(7);
    gateway.poll_output();
    let fingerprint = containment::Fingerprint(10);
    let decision = gateway.permit_reply(7, fingerprint, containment::PermitReply::Granted);
    assert_eq!(decision, containment::PermitDecision::Ignored);
    let returned = permit_done(7, 10, containment::RunResult::Inconclusive);
    assert_eq!(
        gateway.poll_output(),
        Some(containment::Output::RunEnded(returned))
    );
}

/// Guards against concurrent isolated runs of one suspect, and against a request that crashes more
/// than two targets.
#[test]
fn one_run_at_a_time_and_a_block_after_two_losses() {
    let mut leader = leader();
    let vm = types::VmId(1);
    leader.loss_confirmed(ms(0), &report(1, &[10]));
    leader.request_permit(ms(1), vm, &permit_request(1, 10));
    leader.request_permit(ms(1), types::VmId(2), &permit_request(2, 10));
    assert_eq!(
        replies(&mut leader),
        [(1, containment::PermitReply::Granted)]
    );
    leader.loss_confirmed(ms(2), &report(2, &[10]));
    leader.run_ended(ms(2), vm, &permit_done(1, 10, containment::RunResult::Lost));
    let blocked = containment::PermitReply::Blocked(Duration::from_secs(600));
    assert_eq!(replies(&mut leader), [(2, blocked)]);
    leader.tick(ms(600_002));
    assert!(leader.list(ms(600_002)).is_empty());
}

/// Guards against a second lost target when the request is sent again at another gateway before the
/// first loss is attributed, and against a suspicion that remains after the loss was ruled out.
#[test]
fn a_possible_loss_is_published_before_it_is_confirmed() {
    let mut leader = leader();
    leader.possible_loss(ms(0), &report(1, &[10]));
    let record = containment::Record {
        suspect: suspect(10),
        losses: Vec::new(),
        blocked_for: None,
    };
    let published = |notice| Some(containment::LeaderOutput::Publish(notice));
    let update = containment::Notice::Update(record);
    assert_eq!(leader.poll_output(), published(update));
    leader.loss_ruled_out(ms(1), &report(1, &[10]));
    let cleared = containment::Notice::Cleared(containment::Fingerprint(10));
    assert_eq!(leader.poll_output(), published(cleared));
}

/// Guards against a third loss while it is uncertain whether an earlier possible loss was one.
#[test]
fn isolated_runs_wait_for_possible_losses() {
    let mut leader = leader();
    leader.possible_loss(ms(0), &report(1, &[10]));
    leader.loss_confirmed(ms(1), &report(2, &[10]));
    leader.request_permit(ms(2), types::VmId(1), &permit_request(1, 10));
    assert_eq!(replies(&mut leader), []);
    leader.loss_confirmed(ms(3), &report(1, &[10]));
    let blocked = containment::PermitReply::Blocked(Duration::from_secs(600));
    assert_eq!(replies(&mut leader), [(1, blocked)]);
    leader.possible_loss(ms(0), &report(1, &[11]));
    leader.loss_confirmed(ms(1), &report(3, &[11]));
    leader.request_permit(ms(2), types::VmId(1), &permit_request(2, 11));
    leader.loss_ruled_out(ms(3), &report(1, &[11]));
    assert_eq!(
        replies(&mut leader),
        [(2, containment::PermitReply::Granted)]
    );
}

/// Guards against a second loss with the same suspects, which could not be attributed to one of
/// them.
#[test]
fn suspects_of_one_loss_run_one_after_the_other() {
    let mut leader = leader();
    let vm = types::VmId(1);
    leader.loss_confirmed(ms(0), &report(1, &[10, 11]));
    leader.request_permit(ms(1), vm, &permit_request(1, 10));
    leader.request_permit(ms(1), vm, &permit_request(2, 11));
    assert_eq!(
        replies(&mut leader),
        [(1, containment::PermitReply::Granted)]
    );
    leader.run_ended(
        ms(2),
        vm,
        &permit_done(1, 10, containment::RunResult::Answered),
    );
    assert_eq!(
        replies(&mut leader),
        [(2, containment::PermitReply::Granted)]
    );
}

/// Guards against a loss that is dropped because the gateway that observed it was lost as well.
#[test]
fn the_directory_confirms_possible_losses_of_lost_gateways() {
    let mut leader = leader();
    leader.possible_loss(ms(0), &report(1, &[10]));
    leader.incarnation_ended(ms(1), &target(1));
    leader.incarnation_ended(ms(1), &target(2));
    leader.loss_confirmed(ms(2), &report(3, &[10]));
    assert!(is_blocked(&leader, 10));
}

/// Guards against counting one lost target once for each gateway that observed it.
#[test]
fn reports_of_several_gateways_about_one_target_are_one_loss() {
    let mut leader = leader();
    leader.loss_confirmed(ms(0), &report(1, &[10]));
    assert!(leader.poll_output().is_some());
    leader.loss_confirmed(ms(1), &report(1, &[10]));
    assert_eq!(leader.poll_output(), None);
    assert!(!is_blocked(&leader, 10));
}

/// Guards against blocking a harmless request that was in flight at each loss caused by another
/// one.
#[test]
fn one_complete_response_clears_a_harmless_request() {
    let mut leader = leader();
    leader.loss_confirmed(ms(0), &report(1, &[10]));
    leader.loss_confirmed(ms(1), &report(2, &[10]));
    assert!(is_blocked(&leader, 10));
    leader.loss_confirmed(ms(2), &report(1, &[11]));
    leader.loss_confirmed(ms(3), &report(2, &[11]));
    assert!(!is_blocked(&leader, 10) && !is_blocked(&leader, 11));
    leader.run_ended(
        ms(4),
        types::VmId(1),
        &permit_done(1, 11, containment::RunResult::Answered),
    );
    assert_eq!(leader.list(ms(4)).len(), 1);
    leader.loss_confirmed(ms(5), &report(3, &[10]));
    assert!(is_blocked(&leader, 10));
}

/// Guards against blocks and held permits that are dropped at a change of leader, which would cost
/// further targets.
#[test]
fn a_new_leader_restores_its_state_from_the_gateways() {
    let mut old = leader();
    let mut gateway = gateway();
    old.loss_confirmed(ms(0), &report(1, &[10]));
    old.loss_confirmed(ms(0), &report(2, &[10]));
    old.loss_confirmed(ms(0), &report(3, &[11]));
    while let Some(output) = old.poll_output() {
        if let containment::LeaderOutput::Publish(notice) = output {
            gateway.apply_notice(ms(0), &notice);
        }
    }
    gateway.request_permit(ms(0), 7, suspect(11), Duration::from_secs(1));
    let granted = containment::PermitReply::Granted;
    gateway.permit_reply(7, containment::Fingerprint(11), granted);
    let mut new = containment::Leader::new(containment::LeaderConfig::default(), ms(100));
    new.request_permit(ms(100), types::VmId(2), &permit_request(8, 11));
    assert_eq!(replies(&mut new), []);
    new.rebuild(ms(110), types::VmId(1), &gateway.rebuild(ms(110)));
    new.tick(ms(2_300));
    assert_eq!(
        replies(&mut new),
        [(8, containment::PermitReply::NotGranted)]
    );
    assert!(is_blocked(&new, 10));
    let fingerprint = containment::Fingerprint(10);
    let refuse = containment::Decision::Refuse(Duration::from_secs(590));
    assert_eq!(gateway.decide(ms(10_000), fingerprint), refuse);
    new.lift(fingerprint);
    assert!(!is_blocked(&new, 10));
}

/// Guards against a table that grows without bound, and against dropping blocks before suspects.
#[test]
fn the_table_is_bounded_and_keeps_blocks() {
    let mut leader = leader();
    leader.loss_confirmed(ms(0), &report(1, &[0]));
    leader.loss_confirmed(ms(0), &report(2, &[0]));
    for request in 1..=containment::MAX_ENTRIES as u128 {
        let number = 10 + request as u64;
        leader.loss_confirmed(ms(number), &report(number, &[request]));
    }
    assert_eq!(leader.list(ms(0)).len(), containment::MAX_ENTRIES);
    assert!(is_blocked(&leader, 0));
}

/// Guards against equal fingerprints of different requests, and against a fingerprint whose text
/// cannot be parsed again.
#[test]
fn fingerprints_distinguish_requests() {
    let body = |text: &str| {
        let digest = ledger::Digest::of_request("", "", "", text.as_bytes());
        containment::Identity::Body(digest)
    };
    let first = containment::Fingerprint::new("s", "POST", "/a?b", body("x"));
    assert_ne!(
        first,
        containment::Fingerprint::new("s", "POST", "/a?b", body("y"))
    );
    assert_ne!(
        first,
        containment::Fingerprint::new("s", "PUT", "/a?b", body("x"))
    );
    assert_eq!(first.to_string().parse(), Ok(first));
    assert!("+1".parse::<containment::Fingerprint>().is_err());
}
