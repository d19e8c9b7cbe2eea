//! Conversions between the records of the core and their wire form (`records.proto`), and the
//! encoding of registry commands in the replicated log.

use std::sync;

use bytes::Bytes;
use prost::Message;
use wagtailshunt_core::{
    records, registry,
    time::UnixMillis,
    types::{self, Revision, VmId},
};

use crate::generated::records as proto;

/// Errors in a received message or a log entry that this version cannot interpret.
#[derive(Debug, thiserror::Error)]
pub enum ConvertError {
    /// The bytes are not a valid message.
    #[error("message rejected: {0}")]
    Decode(#[from] prost::DecodeError),
    /// A field is missing, or has a value that is unknown to this version.
    #[error("field {field} is missing or unknown")]
    Field {
        /// Name of the field.
        field: &'static str,
    },
}

pub(crate) fn invalid_field(field: &'static str) -> ConvertError {
    ConvertError::Field { field }
}

/// Encodes a command for the replicated log.
pub fn encode_command(command: &registry::Command) -> Bytes {
    Bytes::from(proto::Command::from(command).encode_to_vec())
}

/// Decodes a command of the replicated log.
///
/// # Errors
///
/// Returns an error if the bytes are not a valid command of this version. A replica that cannot
/// decode a committed command must stop, because its state would differ from that of the other
/// replicas.
pub fn decode_command(bytes: Bytes) -> Result<registry::Command, ConvertError> {
    registry::Command::try_from(proto::Command::decode(bytes)?)
}

/// Converts record changes for a gateway to their wire form.
pub fn encode_changes(changes: &registry::Changes) -> proto::RecordsMessage {
    let delta = proto::RecordDelta {
        from: changes.from.0,
        through: changes.through.0,
        full: changes.full,
        changes: changes.changes.iter().map(encode_change).collect(),
    };
    proto::RecordsMessage {
        body: Some(proto::records_message::Body::Delta(delta)),
    }
}

fn encode_change(change: &registry::Change) -> proto::RecordChange {
    proto::RecordChange {
        kind: encode_kind(change.key.kind),
        name: change.key.name.clone(),
        revision: change.revision.0,
        text: change.text.as_deref().map(str::to_owned),
    }
}

/// Converts record changes from their wire form.
///
/// # Errors
///
/// Returns an error if a field is missing or has an unknown value.
pub fn decode_changes(message: proto::RecordsMessage) -> Result<registry::Changes, ConvertError> {
    let Some(proto::records_message::Body::Delta(delta)) = message.body else {
        return Err(invalid_field("body"));
    };
    let changes: Result<Vec<_>, _> = delta.changes.into_iter().map(decode_change).collect();
    Ok(registry::Changes {
        from: Revision(delta.from),
        through: Revision(delta.through),
        full: delta.full,
        changes: changes?,
    })
}

fn decode_change(change: proto::RecordChange) -> Result<registry::Change, ConvertError> {
    Ok(registry::Change {
        key: records::Key::new(decode_kind(change.kind)?, change.name),
        revision: Revision(change.revision),
        text: change.text.map(sync::Arc::from),
    })
}

fn encode_kind(kind: records::Kind) -> i32 {
    let kind = match kind {
        records::Kind::Service => proto::Kind::Service,
        records::Kind::Vm => proto::Kind::Vm,
    };
    kind as i32
}

fn decode_kind(kind: i32) -> Result<records::Kind, ConvertError> {
    match proto::Kind::try_from(kind) {
        Ok(proto::Kind::Service) => Ok(records::Kind::Service),
        Ok(proto::Kind::Vm) => Ok(records::Kind::Vm),
        _ => Err(invalid_field("kind")),
    }
}

pub(crate) fn encode_role(role: types::Role) -> u32 {
    match role {
        types::Role::Gateway => 1,
        types::Role::Control => 2,
    }
}

pub(crate) fn decode_role(role: u32) -> Result<types::Role, ConvertError> {
    match role {
        1 => Ok(types::Role::Gateway),
        2 => Ok(types::Role::Control),
        _ => Err(invalid_field("role")),
    }
}

impl From<&registry::Command> for proto::Command {
    fn from(command: &registry::Command) -> Self {
        use proto::command::Body;
        let now = command.now().0;
        let body = match command {
            registry::Command::Put {
                request_id,
                expect,
                actor,
                text,
                ..
            } => Body::Put(proto::Put {
                request_id: request_id.to_string(),
                expect: expect.map(|revision| revision.0),
                actor: actor.clone(),
                text: text.clone(),
            }),
            registry::Command::Delete {
                request_id,
                key,
                expect,
                actor,
                ..
            } => Body::Delete(proto::Delete {
                request_id: request_id.to_string(),
                kind: encode_kind(key.kind),
                name: key.name.clone(),
                expect: expect.0,
                actor: actor.clone(),
            }),
            registry::Command::RegisterVm {
                vm,
                role,
                failure_domain,
                schemas,
                ..
            } => Body::RegisterVm(proto::RegisterVm {
                vm: vm.0,
                role: encode_role(*role),
                failure_domain: failure_domain.to_string(),
                schemas: schemas.clone(),
            }),
            registry::Command::RemoveVm { vm, .. } => Body::RemoveVm(proto::RemoveVm { vm: vm.0 }),
        };
        proto::Command {
            now,
            body: Some(body),
        }
    }
}

impl TryFrom<proto::Command> for registry::Command {
    type Error = ConvertError;

    fn try_from(command: proto::Command) -> Result<Self, ConvertError> {
        use proto::command::Body;
        let now = UnixMillis(command.now);
        Ok(match command.body.ok_or(invalid_field("body"))? {
            Body::Put(put) => registry::Command::Put {
                request_id: types::RequestId(put.request_id),
                expect: put.expect.map(Revision),
                actor: put.actor,
                text: put.text,
                now,
            },
            Body::Delete(delete) => registry::Command::Delete {
                request_id: types::RequestId(delete.request_id),
                key: records::Key::new(decode_kind(delete.kind)?, delete.name),
                expect: Revision(delete.expect),
                actor: delete.actor,
                now,
            },
            Body::RegisterVm(vm) => registry::Command::RegisterVm {
                vm: VmId(vm.vm),
                role: decode_role(vm.role)?,
                failure_domain: types::FailureDomain(vm.failure_domain),
                schemas: vm.schemas,
                now,
            },
            Body::RemoveVm(vm) => registry::Command::RemoveVm {
                vm: VmId(vm.vm),
                now,
            },
        })
    }
}
