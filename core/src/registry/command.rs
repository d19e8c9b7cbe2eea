//! Commands of the registry, which are entries of the replicated log, and their replies.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::records::{Key, ValidationError};
use crate::registry::ids::RequestIdError;
use crate::{time, types};

/// Command in the replicated log of group 0.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Creates or updates a record.
    Put {
        /// UUIDv7 chosen by the operator.
        request_id: types::RequestId,
        /// Expected current revision, or `None` if the record must not exist yet.
        expect: Option<types::Revision>,
        /// Name of the operator.
        actor: String,
        /// Text of the record.
        text: String,
        /// Wall-clock time of the leader when it proposed the command.
        now: time::UnixMillis,
    },
    /// Deletes a record.
    Delete {
        /// UUIDv7 chosen by the operator.
        request_id: types::RequestId,
        /// Key of the record.
        key: Key,
        /// Expected current revision.
        expect: types::Revision,
        /// Name of the operator.
        actor: String,
        /// Wall-clock time of the leader when it proposed the command.
        now: time::UnixMillis,
    },
    /// Registers a VM or updates its registration.
    RegisterVm {
        /// Id of the VM.
        vm: types::VmId,
        /// Role of the VM. A VM that runs both daemons registers each under its own id.
        role: types::Role,
        /// Failure domain of the VM.
        failure_domain: types::FailureDomain,
        /// Record schemas that the VM can enforce.
        schemas: Vec<u32>,
        /// Wall-clock time of the leader when it proposed the command.
        now: time::UnixMillis,
    },
    /// Removes a VM. The leader proposes this only after the VM's lease has certainly expired.
    RemoveVm {
        /// Id of the VM.
        vm: types::VmId,
        /// Wall-clock time of the leader when it proposed the command.
        now: time::UnixMillis,
    },
}

impl Command {
    /// Returns the leader's wall-clock time in the command.
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
    /// The change is committed. It is in force when every gateway has applied it.
    Accepted {
        /// Revision of the change.
        revision: types::Revision,
    },
    /// The current revision of the record is not the expected one.
    Conflict {
        /// Current revision, or 0 if the record does not exist.
        current: types::Revision,
        /// Id of the request that made the last change, if there is one.
        by_request: Option<types::RequestId>,
    },
    /// The record is invalid.
    Invalid {
        /// All validation errors.
        faults: Vec<ValidationError>,
    },
    /// Some registered VMs cannot enforce the schema of the record. In reply to a registration: the
    /// VM itself cannot enforce the schema of a current record.
    Unsupported {
        /// Ids of these VMs.
        vms: Vec<types::VmId>,
    },
    /// The same request was applied before; contains the reply that it got then.
    Repeated(Box<Reply>),
    /// The command was not applied.
    Refused {
        /// Reason of the refusal.
        reason: Reason,
    },
    /// The VM was registered or removed.
    Done,
}

/// Reason why a command was not applied.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The request id is not a UUIDv7.
    #[display("{_0}")]
    Id(RequestIdError),
    /// The request id is older than 24 h, the time for which ids are stored, so a resent request
    /// could not be recognised.
    #[display("request id is older than 24 h")]
    IdTooOld,
    /// The request id was created more than 5 min after the leader's time, so it would be stored
    /// for too long.
    #[display("request id lies more than 5 min in the future")]
    IdInFuture,
    /// The request id was used before for another command.
    #[display("request id was used for another change")]
    IdReused,
    /// The maximum number of request ids is stored.
    #[display("too many requests within 24 h")]
    TooManyIds,
    /// The maximum number of records exists.
    #[display("too many records")]
    TooManyRecords,
}
