//! Messages of the ledger and of containment keep their content on the wire.

use std::time::Duration;

use prost::Message;
use wagtailshunt_core::{containment, ledger, time, types};
use wagtailshunt_wire::{containment as wire_containment, generated, ledger as wire_ledger};

fn key() -> ledger::Key {
    ledger::Key::new(time::UnixMillis(1_900_000_000_000), 77)
}

fn holder() -> ledger::Holder {
    ledger::Holder {
        vm: types::VmId(3),
        incarnation: types::Incarnation(9),
        claim: u64::MAX,
    }
}

fn answer(body: Option<&'static str>) -> ledger::StoredResponse {
    ledger::StoredResponse {
        status: 503,
        headers: vec![("x-note".into(), bytes::Bytes::from_static(b"\xff\x00"))],
        body: body.map(Into::into),
    }
}

/// Guards against a log entry that replicas decode to another command than the leader proposed.
#[test]
fn commands_survive_the_log() {
    let (key, holder) = (key(), holder());
    let now = time::UnixMillis(5);
    let limits = ledger::Limits { keys: 1, bytes: 2 };
    let commands = [
        ledger::Command::Claim {
            key,
            digest: ledger::Digest(u128::MAX - 1),
            holder,
            now,
            expires: time::UnixMillis(6),
        },
        ledger::Command::Complete {
            key,
            holder,
            response: answer(Some("")),
        },
        ledger::Command::Complete {
            key,
            holder,
            response: answer(None),
        },
        ledger::Command::Release { key, holder },
        ledger::Command::Fail { key, holder },
        ledger::Command::Advance { now },
        ledger::Command::Configure { limits },
    ];
    for command in commands {
        let bytes = wire_ledger::encode_command(&command);
        assert_eq!(wire_ledger::decode_command(&bytes).unwrap(), command);
    }
    assert!(wire_ledger::decode_command(b"").is_err());
    assert!(wire_ledger::decode_command(b"\xff").is_err());
}

/// Guards against a claim or an answer that changes between gateway and leader.
#[test]
fn requests_and_replies_survive_the_wire() {
    let (key, holder) = (key(), holder());
    let requests = [
        ledger::Request::Claim {
            key,
            digest: ledger::Digest(1),
            holder,
            remaining: Duration::from_micros(1_500),
        },
        ledger::Request::Complete {
            key,
            holder,
            response: answer(Some("x")),
        },
        ledger::Request::Release { key, holder },
        ledger::Request::Fail { key, holder },
    ];
    for request in requests {
        let bytes = generated::ledger::Request::from(&request).encode_to_vec();
        let message = generated::ledger::Request::decode(&bytes[..]).unwrap();
        assert_eq!(ledger::Request::try_from(message).unwrap(), request);
    }
    let expires = time::UnixMillis(8);
    let replies = [
        ledger::ServiceReply::NotLeader,
        ledger::ServiceReply::Busy,
        ledger::Reply::Granted.into(),
        ledger::Reply::Running { expires }.into(),
        ledger::Reply::Completed(answer(None)).into(),
        ledger::Reply::Unknown.into(),
        ledger::Reply::Mismatch.into(),
        ledger::Reply::TooOld.into(),
        ledger::Reply::TooNew.into(),
        ledger::Reply::Full.into(),
        ledger::Reply::Expired.into(),
        ledger::Reply::Done.into(),
        ledger::Reply::NotHolder.into(),
    ];
    for reply in replies {
        let answered = wire_ledger::AddressedReply { key, holder, reply };
        let bytes = generated::ledger::RequestReply::from(&answered).encode_to_vec();
        let message = generated::ledger::RequestReply::decode(&bytes[..]).unwrap();
        assert_eq!(
            wire_ledger::AddressedReply::try_from(message).unwrap(),
            answered
        );
    }
}

/// Guards against a suspect or block that changes between gateway and leader.
#[test]
fn containment_messages_survive_the_wire() {
    let target = containment::Target {
        service: "bookings".into(),
        id: "t1".into(),
        incarnation: types::Incarnation(4),
    };
    let fingerprint = containment::Fingerprint(u128::MAX / 3);
    let suspect = containment::Suspect {
        fingerprint,
        label: "bookings POST /x".into(),
    };
    let record = |blocked_for| containment::Record {
        suspect: suspect.clone(),
        losses: vec![target.clone()],
        blocked_for,
    };
    let report = containment::CrashReport {
        target: target.clone(),
        suspects: vec![suspect.clone()],
    };
    let request = containment::PermitRequest {
        call: 5,
        suspect: suspect.clone(),
        remaining: Duration::from_micros(7),
    };
    let permit = |reply| {
        wire_containment::Message::Permit(wire_containment::Permit {
            call: 5,
            fingerprint,
            reply,
        })
    };
    let done = |result| {
        wire_containment::Message::RunEnded(containment::PermitDone {
            call: 5,
            fingerprint,
            result,
        })
    };
    let messages = [
        wire_containment::Message::PossibleLoss(report.clone()),
        wire_containment::Message::LossRuledOut(report.clone()),
        wire_containment::Message::LossConfirmed(report.clone()),
        wire_containment::Message::RequestPermit(request.clone()),
        done(containment::RunResult::Answered),
        done(containment::RunResult::Lost),
        done(containment::RunResult::Inconclusive),
        wire_containment::Message::Rebuild(containment::Rebuild {
            records: vec![record(Some(Duration::ZERO)), record(None)],
            permits: vec![request],
            possible_losses: vec![report],
        }),
        permit(containment::PermitReply::Granted),
        permit(containment::PermitReply::Cleared),
        permit(containment::PermitReply::Blocked(Duration::from_secs(3))),
        permit(containment::PermitReply::NotGranted),
        wire_containment::Message::Notice(containment::Notice::Update(record(None))),
        wire_containment::Message::Notice(containment::Notice::Cleared(fingerprint)),
        wire_containment::Message::Records(vec![record(None)]),
    ];
    for message in messages {
        let proto = generated::containment::ContainmentMessage::from(&message);
        let bytes = proto.encode_to_vec();
        let decoded = generated::containment::ContainmentMessage::decode(&bytes[..]).unwrap();
        assert_eq!(
            wire_containment::Message::try_from(decoded).unwrap(),
            message
        );
    }
}
