//! Conversions between the `ledger` messages and the core, and the log encoding of commands.

use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use wagtailshunt_core::{ledger, time, types};

use crate::generated::ledger as proto;

/// Why a message cannot be converted.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The bytes are not a message.
    #[error("ledger message not decodable: {0}")]
    Decode(#[from] prost::DecodeError),
    /// A key is not a UUIDv7.
    #[error("ledger message with an invalid key: {0}")]
    Key(#[from] ledger::KeyError),
    /// A field is missing or out of range.
    #[error("ledger message without a valid {0}")]
    Field(&'static str),
}

/// A leader's answer together with the claim it is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressedReply {
    /// Key of the request.
    pub key: ledger::Key,
    /// Claim of the request.
    pub holder: ledger::Holder,
    /// The answer.
    pub reply: ledger::ServiceReply,
}

/// Encodes a command for the replicated log.
pub fn encode_command(command: &ledger::Command) -> Bytes {
    proto::Command::from(command).encode_to_vec().into()
}

/// Decodes what [`encode_command`] wrote.
pub fn decode_command(bytes: &[u8]) -> Result<ledger::Command, Error> {
    proto::Command::decode(bytes)?.try_into()
}

impl From<&ledger::Command> for proto::Command {
    fn from(command: &ledger::Command) -> Self {
        let (ids, kind) = match command {
            ledger::Command::Claim {
                key,
                digest,
                holder,
                now,
                expires,
            } => {
                let claim = proto::Claim {
                    digest: bits(digest.0),
                    now: now.0,
                    expires: expires.0,
                };
                (Some((key, holder)), proto::command::Kind::Claim(claim))
            }
            ledger::Command::Complete {
                key,
                holder,
                response,
            } => {
                let answer = proto::Answer::from(response);
                (Some((key, holder)), proto::command::Kind::Complete(answer))
            }
            ledger::Command::Release { key, holder } => {
                let release = proto::Release {};
                (Some((key, holder)), proto::command::Kind::Release(release))
            }
            ledger::Command::Fail { key, holder } => {
                let fail = proto::Fail {};
                (Some((key, holder)), proto::command::Kind::Fail(fail))
            }
            ledger::Command::Advance { now } => {
                let advance = proto::Advance { now: now.0 };
                (None, proto::command::Kind::Advance(advance))
            }
            ledger::Command::Configure { limits } => {
                let configure = proto::Configure {
                    keys: limits.keys,
                    bytes: limits.bytes,
                };
                (None, proto::command::Kind::Configure(configure))
            }
        };
        proto::Command {
            key: ids.map(|(key, _)| bits(key.bits())).unwrap_or_default(),
            holder: ids.map(|(_, holder)| holder.into()),
            kind: Some(kind),
        }
    }
}

impl TryFrom<proto::Command> for ledger::Command {
    type Error = Error;

    fn try_from(message: proto::Command) -> Result<Self, Error> {
        let kind = message.kind.ok_or(Error::Field("kind"))?;
        let ids = || ids(&message.key, message.holder);
        let command = match kind {
            proto::command::Kind::Claim(claim) => {
                let (key, holder) = ids()?;
                ledger::Command::Claim {
                    key,
                    digest: ledger::Digest(number(&claim.digest, "digest")?),
                    holder,
                    now: time::UnixMillis(claim.now),
                    expires: time::UnixMillis(claim.expires),
                }
            }
            proto::command::Kind::Complete(answer) => {
                let (key, holder) = ids()?;
                let response = answer.try_into()?;
                ledger::Command::Complete {
                    key,
                    holder,
                    response,
                }
            }
            proto::command::Kind::Release(_) => {
                let (key, holder) = ids()?;
                ledger::Command::Release { key, holder }
            }
            proto::command::Kind::Fail(_) => {
                let (key, holder) = ids()?;
                ledger::Command::Fail { key, holder }
            }
            proto::command::Kind::Advance(advance) => ledger::Command::Advance {
                now: time::UnixMillis(advance.now),
            },
            proto::command::Kind::Configure(configure) => ledger::Command::Configure {
                limits: ledger::Limits {
                    keys: configure.keys,
                    bytes: configure.bytes,
                },
            },
        };
        Ok(command)
    }
}

impl From<&ledger::Request> for proto::Request {
    fn from(request: &ledger::Request) -> Self {
        let kind = match request {
            ledger::Request::Claim {
                digest, remaining, ..
            } => proto::request::Kind::Claim(proto::ClaimRequest {
                digest: bits(digest.0),
                remaining_us: time::micros(*remaining),
            }),
            ledger::Request::Complete { response, .. } => {
                proto::request::Kind::Complete(response.into())
            }
            ledger::Request::Release { .. } => proto::request::Kind::Release(proto::Release {}),
            ledger::Request::Fail { .. } => proto::request::Kind::Fail(proto::Fail {}),
        };
        proto::Request {
            key: bits(request.key().bits()),
            holder: Some((&request.holder()).into()),
            kind: Some(kind),
        }
    }
}

impl TryFrom<proto::Request> for ledger::Request {
    type Error = Error;

    fn try_from(message: proto::Request) -> Result<Self, Error> {
        let (key, holder) = ids(&message.key, message.holder)?;
        let request = match message.kind.ok_or(Error::Field("kind"))? {
            proto::request::Kind::Claim(claim) => ledger::Request::Claim {
                key,
                digest: ledger::Digest(number(&claim.digest, "digest")?),
                holder,
                remaining: Duration::from_micros(claim.remaining_us),
            },
            proto::request::Kind::Complete(answer) => ledger::Request::Complete {
                key,
                holder,
                response: answer.try_into()?,
            },
            proto::request::Kind::Release(_) => ledger::Request::Release { key, holder },
            proto::request::Kind::Fail(_) => ledger::Request::Fail { key, holder },
        };
        Ok(request)
    }
}

impl From<&AddressedReply> for proto::RequestReply {
    fn from(answered: &AddressedReply) -> Self {
        let mut message = proto::RequestReply {
            key: bits(answered.key.bits()),
            holder: Some((&answered.holder).into()),
            result: result(&answered.reply).into(),
            expires: 0,
            answer: None,
        };
        match &answered.reply {
            ledger::ServiceReply::Reply(ledger::Reply::Running { expires }) => {
                message.expires = expires.0;
            }
            ledger::ServiceReply::Reply(ledger::Reply::Completed(answer)) => {
                message.answer = Some(answer.into());
            }
            _ => {}
        }
        message
    }
}

impl TryFrom<proto::RequestReply> for AddressedReply {
    type Error = Error;

    fn try_from(message: proto::RequestReply) -> Result<Self, Error> {
        let (key, holder) = ids(&message.key, message.holder)?;
        let reply = match message.result() {
            proto::Result::Unspecified => return Err(Error::Field("result")),
            proto::Result::NotLeader => ledger::ServiceReply::NotLeader,
            proto::Result::Busy => ledger::ServiceReply::Busy,
            proto::Result::Granted => ledger::Reply::Granted.into(),
            proto::Result::Running => {
                let expires = time::UnixMillis(message.expires);
                ledger::Reply::Running { expires }.into()
            }
            proto::Result::Completed => {
                let answer = message.answer.ok_or(Error::Field("answer"))?;
                ledger::Reply::Completed(answer.try_into()?).into()
            }
            proto::Result::Unknown => ledger::Reply::Unknown.into(),
            proto::Result::Mismatch => ledger::Reply::Mismatch.into(),
            proto::Result::TooOld => ledger::Reply::TooOld.into(),
            proto::Result::TooNew => ledger::Reply::TooNew.into(),
            proto::Result::Full => ledger::Reply::Full.into(),
            proto::Result::Expired => ledger::Reply::Expired.into(),
            proto::Result::Done => ledger::Reply::Done.into(),
            proto::Result::NotHolder => ledger::Reply::NotHolder.into(),
        };
        Ok(AddressedReply { key, holder, reply })
    }
}

fn result(reply: &ledger::ServiceReply) -> proto::Result {
    let reply = match reply {
        ledger::ServiceReply::NotLeader => return proto::Result::NotLeader,
        ledger::ServiceReply::Busy => return proto::Result::Busy,
        ledger::ServiceReply::Reply(reply) => reply,
    };
    match reply {
        ledger::Reply::Granted => proto::Result::Granted,
        ledger::Reply::Running { .. } => proto::Result::Running,
        ledger::Reply::Completed(_) => proto::Result::Completed,
        ledger::Reply::Unknown => proto::Result::Unknown,
        ledger::Reply::Mismatch => proto::Result::Mismatch,
        ledger::Reply::TooOld => proto::Result::TooOld,
        ledger::Reply::TooNew => proto::Result::TooNew,
        ledger::Reply::Full => proto::Result::Full,
        ledger::Reply::Expired => proto::Result::Expired,
        ledger::Reply::Done => proto::Result::Done,
        ledger::Reply::NotHolder => proto::Result::NotHolder,
    }
}

impl From<&ledger::Holder> for proto::Holder {
    fn from(holder: &ledger::Holder) -> Self {
        proto::Holder {
            vm: holder.vm.0,
            incarnation: holder.incarnation.0,
            claim: holder.claim,
        }
    }
}

impl From<proto::Holder> for ledger::Holder {
    fn from(message: proto::Holder) -> Self {
        ledger::Holder {
            vm: types::VmId(message.vm),
            incarnation: types::Incarnation(message.incarnation),
            claim: message.claim,
        }
    }
}

impl From<&ledger::StoredResponse> for proto::Answer {
    fn from(response: &ledger::StoredResponse) -> Self {
        let header = |(name, value): &(String, Bytes)| proto::Header {
            name: name.clone(),
            value: value.clone(),
        };
        proto::Answer {
            status: response.status.into(),
            headers: response.headers.iter().map(header).collect(),
            body: response.body.clone(),
        }
    }
}

impl TryFrom<proto::Answer> for ledger::StoredResponse {
    type Error = Error;

    fn try_from(message: proto::Answer) -> Result<Self, Error> {
        let status = u16::try_from(message.status);
        let header = |header: proto::Header| (header.name, header.value);
        Ok(ledger::StoredResponse {
            status: status.map_err(|_| Error::Field("status"))?,
            headers: message.headers.into_iter().map(header).collect(),
            body: message.body,
        })
    }
}

fn ids(key: &[u8], holder: Option<proto::Holder>) -> Result<(ledger::Key, ledger::Holder), Error> {
    let key = ledger::Key::from_bits(number(key, "key")?)?;
    let holder = holder.ok_or(Error::Field("holder"))?;
    Ok((key, holder.into()))
}

fn bits(value: u128) -> Bytes {
    Bytes::copy_from_slice(&value.to_be_bytes())
}

fn number(bytes: &[u8], field: &'static str) -> Result<u128, Error> {
    let bytes = bytes.try_into().map_err(|_| Error::Field(field))?;
    Ok(u128::from_be_bytes(bytes))
}
