//! Commands of the registry and their replies.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::records::{Key, ValidationError};
use crate::registry::ids::RequestIdError;
use crate::{time, types};

/// One entry of the replicated log of group 0.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Creates or amends a record.
    Put {
        /// UUIDv7 chosen by the operator.
        request_id: types::RequestId,
        /// Revision that is amended; `None` when the record must not exist yet.
        expect: Option<types::Revision>,
        /// Name of the operator.
        actor: String,
        /// Text of the record.
        text: String,
        /// Leader's wall clock when it proposed the command.
        now: time::UnixMillis,
    },
    /// Deletes a record.
    Delete {
        /// UUIDv7 chosen by the operator.
        request_id: types::RequestId,
        /// The record.
        key: Key,
        /// Revision that is deleted.
        expect: types::Revision,
        /// Name of the operator.
        actor: String,
        /// Leader's wall clock when it proposed the command.
        now: time::UnixMillis,
    },
    /// Registers a VM or amends its registration.
    RegisterVm {
        /// The VM.
        vm: types::VmId,
        /// Its role; a VM that runs both daemons registers each under an id of its own.
        role: types::Role,
        /// Its failure domain.
        failure_domain: types::FailureDomain,
        /// Record schemas that it can enforce.
        schemas: Vec<u32>,
        /// Leader's wall clock when it proposed the command.
        now: time::UnixMillis,
    },
    /// Removes a VM. The leader proposes this only after the VM's lease has surely ended.
    RemoveVm {
        /// The VM.
        vm: types::VmId,
        /// Leader's wall clock when it proposed the command.
        now: time::UnixMillis,
    },
}

impl Command {
    /// Returns the time that the command carries.
    pub fn now(&self) -> time::UnixMillis {
        match self {
            Command::Put { now, .. }
            | Command::Delete { now, .. }
            | Command::RegisterVm { now, .. }
            | Command::RemoveVm { now, .. } => *now,
        }
    }
}

/// Result of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The change is durable; it is in force once every gateway has applied it.
    Accepted {
        /// Revision of the change.
        revision: types::Revision,
    },
    /// The record is not at the expected revision.
    Conflict {
        /// Current revision; 0 when the record does not exist.
        current: types::Revision,
        /// Request that made the last change, if any.
        by_request: Option<types::RequestId>,
    },
    /// The record has faults.
    Invalid {
        /// All faults.
        faults: Vec<ValidationError>,
    },
    /// Some registered VMs cannot enforce the schema of the record. For a registration: the VM
    /// itself cannot enforce the schema of a current record.
    Unsupported {
        /// These VMs.
        vms: Vec<types::VmId>,
    },
    /// The request id was seen before; this was its first result.
    Repeated(Box<Reply>),
    /// The command was not run.
    Refused {
        /// Why.
        reason: Reason,
    },
    /// A VM was registered or removed.
    Done,
}

/// Why a command was not run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The request id is unusable.
    #[display("{_0}")]
    Id(RequestIdError),
    /// The request id is older than the kept window, so a repeat could not be recognised.
    #[display("request id is older than 24 h")]
    IdTooOld,
    /// The request id lies in the future, so it would outlast the kept window.
    #[display("request id lies more than 5 min in the future")]
    IdInFuture,
    /// The request id was used for another command.
    #[display("request id was used for another change")]
    IdReused,
    /// As many request ids as can be kept are kept.
    #[display("too many requests within 24 h")]
    TooManyIds,
    /// As many records as can be kept exist.
    #[display("too many records")]
    TooManyRecords,
}
