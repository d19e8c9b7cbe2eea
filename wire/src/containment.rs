//! Conversions between the containment messages of the core and their wire form
//! (`containment.proto`): requests that are suspected of crashing targets, and permits to run them.

use std::time::Duration;

use bytes::Bytes;
use wagtailshunt_core::{containment, time, types};

use crate::generated::containment as proto;

/// A field of a received message is missing or out of range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("containment message without a valid {0}")]
pub struct Error(pub &'static str);

/// The leader's reply to a permit request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Call that the permit was requested for.
    pub call: u64,
    /// Fingerprint of the request of the call.
    pub fingerprint: containment::Fingerprint,
    /// Decision of the leader.
    pub reply: containment::PermitReply,
}

/// A containment message in the types of the core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// A gateway reports that a target may be lost, with the requests in flight on it.
    PossibleLoss(containment::CrashReport),
    /// A gateway reports that a target of an earlier [`Message::PossibleLoss`] was not lost.
    LossRuledOut(containment::CrashReport),
    /// A gateway reports a lost target, with the requests in flight on it.
    LossConfirmed(containment::CrashReport),
    /// A gateway requests a permit to run a suspect in isolation.
    RequestPermit(containment::PermitRequest),
    /// A gateway returns a permit with the result of the isolated run.
    RunEnded(containment::PermitDone),
    /// A gateway sends its state to a new leader.
    Rebuild(containment::Rebuild),
    /// The leader replies to a permit request.
    Permit(Permit),
    /// The leader sends a changed record to all gateways.
    Notice(containment::Notice),
    /// The leader sends all records to a gateway that connects.
    Records(Vec<containment::Record>),
}

impl From<&Message> for proto::ContainmentMessage {
    fn from(message: &Message) -> Self {
        use proto::containment_message as wire_message;
        let body = match message {
            Message::PossibleLoss(report) => wire_message::Body::Suspect(report.into()),
            Message::LossRuledOut(report) => wire_message::Body::Acquit(report.into()),
            Message::LossConfirmed(report) => wire_message::Body::Report(report.into()),
            Message::RequestPermit(request) => wire_message::Body::Ask(request.into()),
            Message::RunEnded(done) => wire_message::Body::Done(done.into()),
            Message::Rebuild(rebuild) => wire_message::Body::Rebuild(rebuild.into()),
            Message::Permit(permit) => wire_message::Body::Permit(permit.into()),
            Message::Notice(notice) => wire_message::Body::Notice(notice.into()),
            Message::Records(records) => wire_message::Body::Records(proto::Records {
                records: records.iter().map(Into::into).collect(),
            }),
        };
        proto::ContainmentMessage { body: Some(body) }
    }
}

impl TryFrom<proto::ContainmentMessage> for Message {
    type Error = Error;

    fn try_from(message: proto::ContainmentMessage) -> Result<Self, Error> {
        use proto::containment_message as wire_message;
        let message = match message.body.ok_or(Error("body"))? {
            wire_message::Body::Suspect(report) => Message::PossibleLoss(report.try_into()?),
            wire_message::Body::Acquit(report) => Message::LossRuledOut(report.try_into()?),
            wire_message::Body::Report(report) => Message::LossConfirmed(report.try_into()?),
            wire_message::Body::Ask(request) => Message::RequestPermit(request.try_into()?),
            wire_message::Body::Done(done) => Message::RunEnded(done.try_into()?),
            wire_message::Body::Rebuild(rebuild) => Message::Rebuild(rebuild.try_into()?),
            wire_message::Body::Permit(permit) => Message::Permit(permit.try_into()?),
            wire_message::Body::Notice(notice) => Message::Notice(notice.try_into()?),
            wire_message::Body::Records(records) => Message::Records(convert_all(records.records)?),
        };
        Ok(message)
    }
}

impl From<&containment::Target> for proto::Target {
    fn from(target: &containment::Target) -> Self {
        proto::Target {
            service: target.service.0.clone(),
            id: target.id.0.clone(),
            incarnation: target.incarnation.0,
        }
    }
}

impl TryFrom<proto::Target> for containment::Target {
    type Error = Error;

    fn try_from(message: proto::Target) -> Result<Self, Error> {
        Ok(containment::Target {
            service: types::ServiceName(message.service),
            id: types::TargetId(message.id),
            incarnation: types::Incarnation(message.incarnation),
        })
    }
}

impl From<&containment::Suspect> for proto::Suspect {
    fn from(suspect: &containment::Suspect) -> Self {
        proto::Suspect {
            fingerprint: fingerprint_to_bytes(suspect.fingerprint),
            label: suspect.label.clone(),
        }
    }
}

impl TryFrom<proto::Suspect> for containment::Suspect {
    type Error = Error;

    fn try_from(message: proto::Suspect) -> Result<Self, Error> {
        Ok(containment::Suspect {
            fingerprint: fingerprint_from_bytes(&message.fingerprint)?,
            label: message.label,
        })
    }
}

impl From<&containment::CrashReport> for proto::CrashReport {
    fn from(report: &containment::CrashReport) -> Self {
        proto::CrashReport {
            target: Some((&report.target).into()),
            suspects: report.suspects.iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<proto::CrashReport> for containment::CrashReport {
    type Error = Error;

    fn try_from(message: proto::CrashReport) -> Result<Self, Error> {
        Ok(containment::CrashReport {
            target: message.target.ok_or(Error("target"))?.try_into()?,
            suspects: convert_all(message.suspects)?,
        })
    }
}

impl From<&containment::PermitRequest> for proto::PermitRequest {
    fn from(request: &containment::PermitRequest) -> Self {
        proto::PermitRequest {
            call: request.call,
            suspect: Some((&request.suspect).into()),
            remaining_us: time::micros(request.remaining),
        }
    }
}

impl TryFrom<proto::PermitRequest> for containment::PermitRequest {
    type Error = Error;

    fn try_from(message: proto::PermitRequest) -> Result<Self, Error> {
        Ok(containment::PermitRequest {
            call: message.call,
            suspect: message.suspect.ok_or(Error("suspect"))?.try_into()?,
            remaining: Duration::from_micros(message.remaining_us),
        })
    }
}

impl From<&Permit> for proto::Permit {
    fn from(permit: &Permit) -> Self {
        let (result, blocked_us) = match permit.reply {
            containment::PermitReply::Granted => (proto::PermitResult::Granted, 0),
            containment::PermitReply::Cleared => (proto::PermitResult::Cleared, 0),
            containment::PermitReply::Blocked(left) => {
                (proto::PermitResult::Blocked, time::micros(left))
            }
            containment::PermitReply::NotGranted => (proto::PermitResult::NoTurn, 0),
        };
        proto::Permit {
            call: permit.call,
            fingerprint: fingerprint_to_bytes(permit.fingerprint),
            result: result.into(),
            blocked_us,
        }
    }
}

impl TryFrom<proto::Permit> for Permit {
    type Error = Error;

    fn try_from(message: proto::Permit) -> Result<Self, Error> {
        let reply = match message.result() {
            proto::PermitResult::Unspecified => return Err(Error("result")),
            proto::PermitResult::Granted => containment::PermitReply::Granted,
            proto::PermitResult::Cleared => containment::PermitReply::Cleared,
            proto::PermitResult::Blocked => {
                containment::PermitReply::Blocked(Duration::from_micros(message.blocked_us))
            }
            proto::PermitResult::NoTurn => containment::PermitReply::NotGranted,
        };
        Ok(Permit {
            call: message.call,
            fingerprint: fingerprint_from_bytes(&message.fingerprint)?,
            reply,
        })
    }
}

impl From<&containment::PermitDone> for proto::PermitDone {
    fn from(done: &containment::PermitDone) -> Self {
        let result = match done.result {
            containment::RunResult::Answered => proto::RunResult::Answered,
            containment::RunResult::Lost => proto::RunResult::Lost,
            containment::RunResult::Inconclusive => proto::RunResult::Inconclusive,
        };
        proto::PermitDone {
            call: done.call,
            fingerprint: fingerprint_to_bytes(done.fingerprint),
            result: result.into(),
        }
    }
}

impl TryFrom<proto::PermitDone> for containment::PermitDone {
    type Error = Error;

    fn try_from(message: proto::PermitDone) -> Result<Self, Error> {
        let result = match message.result() {
            proto::RunResult::Unspecified => return Err(Error("result")),
            proto::RunResult::Answered => containment::RunResult::Answered,
            proto::RunResult::Lost => containment::RunResult::Lost,
            proto::RunResult::Inconclusive => containment::RunResult::Inconclusive,
        };
        Ok(containment::PermitDone {
            call: message.call,
            fingerprint: fingerprint_from_bytes(&message.fingerprint)?,
            result,
        })
    }
}

impl From<&containment::Record> for proto::Record {
    fn from(record: &containment::Record) -> Self {
        proto::Record {
            suspect: Some((&record.suspect).into()),
            losses: record.losses.iter().map(Into::into).collect(),
            blocked_us: record.blocked_for.map(time::micros),
        }
    }
}

impl TryFrom<proto::Record> for containment::Record {
    type Error = Error;

    fn try_from(message: proto::Record) -> Result<Self, Error> {
        Ok(containment::Record {
            suspect: message.suspect.ok_or(Error("suspect"))?.try_into()?,
            losses: convert_all(message.losses)?,
            blocked_for: message.blocked_us.map(Duration::from_micros),
        })
    }
}

impl From<&containment::Notice> for proto::Notice {
    fn from(notice: &containment::Notice) -> Self {
        let change = match notice {
            containment::Notice::Update(record) => proto::notice::Change::Update(record.into()),
            containment::Notice::Cleared(cleared) => {
                proto::notice::Change::Cleared(fingerprint_to_bytes(*cleared))
            }
        };
        proto::Notice {
            change: Some(change),
        }
    }
}

impl TryFrom<proto::Notice> for containment::Notice {
    type Error = Error;

    fn try_from(message: proto::Notice) -> Result<Self, Error> {
        match message.change.ok_or(Error("change"))? {
            proto::notice::Change::Update(record) => {
                Ok(containment::Notice::Update(record.try_into()?))
            }
            proto::notice::Change::Cleared(cleared) => Ok(containment::Notice::Cleared(
                fingerprint_from_bytes(&cleared)?,
            )),
        }
    }
}

impl From<&containment::Rebuild> for proto::Rebuild {
    fn from(rebuild: &containment::Rebuild) -> Self {
        proto::Rebuild {
            records: rebuild.records.iter().map(Into::into).collect(),
            permits: rebuild.permits.iter().map(Into::into).collect(),
            doubts: rebuild.possible_losses.iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<proto::Rebuild> for containment::Rebuild {
    type Error = Error;

    fn try_from(message: proto::Rebuild) -> Result<Self, Error> {
        Ok(containment::Rebuild {
            records: convert_all(message.records)?,
            permits: convert_all(message.permits)?,
            possible_losses: convert_all(message.doubts)?,
        })
    }
}

fn convert_all<T, U: TryFrom<T, Error = Error>>(items: Vec<T>) -> Result<Vec<U>, Error> {
    items.into_iter().map(U::try_from).collect()
}

fn fingerprint_to_bytes(fingerprint: containment::Fingerprint) -> Bytes {
    Bytes::copy_from_slice(&fingerprint.0.to_be_bytes())
}

fn fingerprint_from_bytes(bytes: &[u8]) -> Result<containment::Fingerprint, Error> {
    let bytes = bytes.try_into().map_err(|_| Error("fingerprint"))?;
    Ok(containment::Fingerprint(u128::from_be_bytes(bytes)))
}
