//! Conversions between the `containment` messages and the core.

use std::time::Duration;

use bytes::Bytes;
use wagtailshunt_core::{containment, time, types};

use crate::generated::containment as proto;

/// A message lacks a field, or a field is out of range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("containment message without a valid {0}")]
pub struct Error(pub &'static str);

/// The leader's reply to a permit request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Call that asked.
    pub call: u64,
    /// Request of the call.
    pub fingerprint: containment::Fingerprint,
    /// The reply.
    pub reply: containment::PermitReply,
}

/// A containment message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// A gateway suspects requests whose target may be lost.
    PossibleLoss(containment::CrashReport),
    /// The target of a suspicion was not lost.
    LossRuledOut(containment::CrashReport),
    /// A gateway reports a lost target.
    LossConfirmed(containment::CrashReport),
    /// A gateway asks to run a suspect.
    RequestPermit(containment::PermitRequest),
    /// A gateway returns a permit.
    RunEnded(containment::PermitDone),
    /// A gateway tells a new leader what it knows.
    Rebuild(containment::Rebuild),
    /// The leader answers a permit request.
    Permit(Permit),
    /// The leader tells all gateways of a change.
    Notice(containment::Notice),
    /// The leader sends a connecting gateway everything.
    Records(Vec<containment::Record>),
}

impl From<&Message> for proto::ContainmentMessage {
    fn from(message: &Message) -> Self {
        use proto::containment_message as content;
        let body = match message {
            Message::PossibleLoss(doubt) => content::Body::Suspect(doubt.into()),
            Message::LossRuledOut(doubt) => content::Body::Acquit(doubt.into()),
            Message::LossConfirmed(report) => content::Body::Report(report.into()),
            Message::RequestPermit(request) => content::Body::Ask(request.into()),
            Message::RunEnded(done) => content::Body::Done(done.into()),
            Message::Rebuild(rebuild) => content::Body::Rebuild(rebuild.into()),
            Message::Permit(permit) => content::Body::Permit(permit.into()),
            Message::Notice(notice) => content::Body::Notice(notice.into()),
            Message::Records(records) => content::Body::Records(proto::Records {
                records: records.iter().map(Into::into).collect(),
            }),
        };
        proto::ContainmentMessage { body: Some(body) }
    }
}

impl TryFrom<proto::ContainmentMessage> for Message {
    type Error = Error;

    fn try_from(message: proto::ContainmentMessage) -> Result<Self, Error> {
        use proto::containment_message as content;
        let message = match message.body.ok_or(Error("body"))? {
            content::Body::Suspect(doubt) => Message::PossibleLoss(doubt.try_into()?),
            content::Body::Acquit(doubt) => Message::LossRuledOut(doubt.try_into()?),
            content::Body::Report(report) => Message::LossConfirmed(report.try_into()?),
            content::Body::Ask(request) => Message::RequestPermit(request.try_into()?),
            content::Body::Done(done) => Message::RunEnded(done.try_into()?),
            content::Body::Rebuild(rebuild) => Message::Rebuild(rebuild.try_into()?),
            content::Body::Permit(permit) => Message::Permit(permit.try_into()?),
            content::Body::Notice(notice) => Message::Notice(notice.try_into()?),
            content::Body::Records(records) => Message::Records(convert(records.records)?),
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
            fingerprint: bits(suspect.fingerprint),
            label: suspect.label.clone(),
        }
    }
}

impl TryFrom<proto::Suspect> for containment::Suspect {
    type Error = Error;

    fn try_from(message: proto::Suspect) -> Result<Self, Error> {
        Ok(containment::Suspect {
            fingerprint: fingerprint(&message.fingerprint)?,
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
            suspects: convert(message.suspects)?,
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
            fingerprint: bits(permit.fingerprint),
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
            fingerprint: fingerprint(&message.fingerprint)?,
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
            fingerprint: bits(done.fingerprint),
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
            fingerprint: fingerprint(&message.fingerprint)?,
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
            losses: convert(message.losses)?,
            blocked_for: message.blocked_us.map(Duration::from_micros),
        })
    }
}

impl From<&containment::Notice> for proto::Notice {
    fn from(notice: &containment::Notice) -> Self {
        let change = match notice {
            containment::Notice::Update(record) => proto::notice::Change::Update(record.into()),
            containment::Notice::Cleared(cleared) => proto::notice::Change::Cleared(bits(*cleared)),
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
            proto::notice::Change::Cleared(cleared) => {
                Ok(containment::Notice::Cleared(fingerprint(&cleared)?))
            }
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
            records: convert(message.records)?,
            permits: convert(message.permits)?,
            possible_losses: convert(message.doubts)?,
        })
    }
}

fn convert<T, U: TryFrom<T, Error = Error>>(items: Vec<T>) -> Result<Vec<U>, Error> {
    items.into_iter().map(U::try_from).collect()
}

fn bits(fingerprint: containment::Fingerprint) -> Bytes {
    Bytes::copy_from_slice(&fingerprint.0.to_be_bytes())
}

fn fingerprint(bytes: &[u8]) -> Result<containment::Fingerprint, Error> {
    let bytes = bytes.try_into().map_err(|_| Error("fingerprint"))?;
    Ok(containment::Fingerprint(u128::from_be_bytes(bytes)))
}
