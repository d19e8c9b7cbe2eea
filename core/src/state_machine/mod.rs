//! Replicated state machine of the entry VMs: the routing table, the deregistrations of targets and the
//! evacuated failure domains. It applies the commands of the replicated log, which contain the
//! configuration changes and evacuations that operators order and the deregistrations that targets
//! request.

use std::collections;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{evacuation, fleet, ledger, routing, types};

/// Command in the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Configuration change of an operator.
    Change(Box<routing::Change>),
    /// Deregistration of a target.
    Depart(fleet::TargetIncarnation),
    /// Start or end of the evacuation of a failure domain; encoded in the form of a change.
    #[serde(skip)]
    Evacuate(evacuation::Order),
}

/// Base of the change that carries an evacuation in the log. A process of 9cc22dc ends when it cannot
/// decode a command, so that an evacuation has the form of a change with an additional field, which
/// such a process ignores. It refuses the change, because the version is not the current one; if it
/// were, because the new version is not higher.
const EVACUATION_BASE: routing::Version = routing::Version(u64::MAX);

/// Part of an encoded change that only evacuations have.
#[derive(Debug, Default, Deserialize)]
struct EvacuationField {
    evacuation: Option<evacuation::Order>,
}

/// An encoded command whose change is read for its evacuation only.
#[derive(Debug, Deserialize)]
enum EvacuationCommand {
    Change(EvacuationField),
}

/// An encoded evacuation.
#[derive(Debug, Serialize)]
enum EncodedEvacuation<'a> {
    Change {
        #[serde(flatten)]
        change: routing::Change,
        evacuation: &'a evacuation::Order,
    },
}

/// Result of applying a command.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Whether the configuration change was accepted, or why not.
    Change(routing::ChangeResult),
    /// The deregistration is recorded.
    Deregistered,
    /// The evacuation is started or ended.
    Evacuated,
}

/// Error of encoding or decoding a command or snapshot.
#[derive(Debug, thiserror::Error)]
#[error("replicated command or snapshot cannot be encoded or decoded: {0}")]
pub struct CodecError(#[from] serde_json::Error);

impl Command {
    /// Encodes the command for the log.
    ///
    /// # Errors
    ///
    /// Returns an error when a weight is not a finite number. Such a change is invalid.
    pub fn encode(&self) -> Result<Bytes, CodecError> {
        let Command::Evacuate(order) = self else {
            return Ok(serde_json::to_vec(self)?.into());
        };
        let change = routing::Change {
            base: EVACUATION_BASE,
            version: EVACUATION_BASE,
            digest: ledger::Digest(0),
            kind: routing::ChangeKind::Amend {
                upsert: routing::ConfigItems::default(),
                delete_routes: collections::BTreeSet::new(),
                delete_services: collections::BTreeSet::new(),
                delete_workspaces: collections::BTreeSet::new(),
            },
        };
        let encoded = EncodedEvacuation::Change {
            change,
            evacuation: order,
        };
        Ok(serde_json::to_vec(&encoded)?.into())
    }

    /// Decodes a command of the log.
    ///
    /// # Errors
    ///
    /// Returns an error when the bytes are not a command of this version.
    pub fn decode(bytes: &[u8]) -> Result<Command, CodecError> {
        let command: Command = serde_json::from_slice(bytes)?;
        if let Command::Change(change) = &command
            && change.base == EVACUATION_BASE
        {
            let EvacuationCommand::Change(field) = serde_json::from_slice(bytes)?;
            if let Some(order) = field.evacuation {
                return Ok(Command::Evacuate(order));
            }
        }
        Ok(command)
    }
}

/// Encoded state of a [`StateMachine`].
#[derive(Debug, Default, Serialize, Deserialize)]
struct Snapshot {
    version: routing::Version,
    items: routing::ConfigItems,
    accepted: Vec<String>,
    departures: Vec<fleet::TargetIncarnation>,
    /// Missing in snapshots of 9cc22dc, which ignores it in those of later builds.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    evacuated: Vec<types::FailureDomain>,
}

/// Replicated state, which is the same on all VMs of the group at the same log index.
#[derive(Clone, Debug, Default)]
pub struct StateMachine {
    /// The routing table.
    pub table: routing::Table,
    /// Failure domains whose targets get no calls.
    pub evacuated: evacuation::Evacuations,
    /// Latest deregistrations, oldest first.
    deregistrations: collections::VecDeque<fleet::TargetIncarnation>,
}

/// Largest number of deregistrations that are kept. They prevent late announcements of a target
/// from registering it again. An announcement is at most a few seconds late, so older ones have no
/// use.
const MAX_DEREGISTRATIONS: usize = 1024;

impl StateMachine {
    /// Applies a command.
    pub fn apply(&mut self, command: &Command) -> Reply {
        match command {
            Command::Change(change) => Reply::Change(self.table.apply(change)),
            Command::Depart(deregistration) => {
                if !self.deregistrations.contains(deregistration) {
                    if self.deregistrations.len() == MAX_DEREGISTRATIONS {
                        self.deregistrations.pop_front();
                    }
                    self.deregistrations.push_back(deregistration.clone());
                }
                Reply::Deregistered
            }
            Command::Evacuate(order) => {
                self.evacuated.apply(order);
                Reply::Evacuated
            }
        }
    }

    /// Returns the kept deregistrations, oldest first.
    pub fn deregistrations(&self) -> impl Iterator<Item = &fleet::TargetIncarnation> {
        self.deregistrations.iter()
    }

    /// Encodes the state.
    ///
    /// # Errors
    ///
    /// Returns an error when a weight is not a finite number, which the table never accepts.
    pub fn snapshot(&self) -> Result<Bytes, CodecError> {
        let digests = self.table.accepted();
        let snapshot = Snapshot {
            version: self.table.version(),
            items: self.table.items().clone(),
            accepted: digests.map(|digest| format!("{:032x}", digest.0)).collect(),
            departures: self.deregistrations.iter().cloned().collect(),
            evacuated: self.evacuated.iter().cloned().collect(),
        };
        Ok(serde_json::to_vec(&snapshot)?.into())
    }

    /// Decodes a state. Empty input decodes to the initial state.
    ///
    /// # Errors
    ///
    /// Returns an error when the bytes are not a snapshot of this version.
    pub fn restore(bytes: &[u8]) -> Result<StateMachine, CodecError> {
        if bytes.is_empty() {
            return Ok(StateMachine::default());
        }
        let snapshot: Snapshot = serde_json::from_slice(bytes)?;
        let mut accepted = Vec::with_capacity(snapshot.accepted.len());
        for text in &snapshot.accepted {
            let digest = u128::from_str_radix(text, 16).map_err(serde::de::Error::custom);
            accepted.push(ledger::Digest(digest.map_err(CodecError)?));
        }
        Ok(StateMachine {
            table: routing::Table::from_parts(snapshot.version, snapshot.items, accepted),
            evacuated: snapshot.evacuated.into_iter().collect(),
            deregistrations: snapshot.departures.into(),
        })
    }
}
