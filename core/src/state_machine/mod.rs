//! State machine of the log that entry VMs replicate: the routing table and departures of targets.

use std::collections;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{fleet, ledger, routing};

/// A command of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// An operator's change of the configuration.
    Change(Box<routing::Change>),
    /// A target that leaves.
    Depart(fleet::Departure),
}

/// Result of a command.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// What became of the change.
    Change(routing::Verdict),
    /// The departure is known.
    Deregistered,
}

/// A command or snapshot cannot be read.
#[derive(Debug, thiserror::Error)]
#[error("stored state cannot be read: {0}")]
pub struct CodecError(#[from] serde_json::Error);

impl Command {
    /// Encodes the command for the log.
    ///
    /// # Errors
    ///
    /// When a weight isn't a finite number; such a change is invalid anyway.
    pub fn encode(&self) -> Result<Bytes, CodecError> {
        Ok(serde_json::to_vec(self)?.into())
    }

    /// Decodes a command of the log.
    ///
    /// # Errors
    ///
    /// When the bytes are no command of this version.
    pub fn decode(bytes: &[u8]) -> Result<Command, CodecError> {
        Ok(serde_json::from_slice(bytes)?)
    }
}

/// Encoded state of a [`StateMachine`].
#[derive(Debug, Default, Serialize, Deserialize)]
struct Snapshot {
    version: routing::Version,
    items: routing::Items,
    accepted: Vec<String>,
    departures: Vec<fleet::Departure>,
}

/// State that every VM of the group holds alike.
#[derive(Clone, Debug, Default)]
pub struct StateMachine {
    /// The routing table.
    pub table: routing::Table,
    deregistrations: collections::VecDeque<fleet::Departure>,
}

/// Departures that a snapshot carries. A target's announcement is at most some seconds late, so
/// that older ones are of no use.
const KEPT_DEPARTURES: usize = 1024;

impl StateMachine {
    /// Applies a command.
    pub fn apply(&mut self, command: &Command) -> Reply {
        match command {
            Command::Change(change) => Reply::Change(self.table.apply(change)),
            Command::Depart(departure) => {
                if !self.deregistrations.contains(departure) {
                    if self.deregistrations.len() == KEPT_DEPARTURES {
                        self.deregistrations.pop_front();
                    }
                    self.deregistrations.push_back(departure.clone());
                }
                Reply::Deregistered
            }
        }
    }

    /// Returns the departures, oldest first.
    pub fn deregistrations(&self) -> impl Iterator<Item = &fleet::Departure> {
        self.deregistrations.iter()
    }

    /// Encodes the state.
    ///
    /// # Errors
    ///
    /// When a weight isn't a finite number, which the table never accepts.
    pub fn snapshot(&self) -> Result<Bytes, CodecError> {
        let digests = self.table.accepted();
        let snapshot = Snapshot {
            version: self.table.version(),
            items: self.table.items().clone(),
            accepted: digests.map(|digest| format!("{:032x}", digest.0)).collect(),
            departures: self.deregistrations.iter().cloned().collect(),
        };
        Ok(serde_json::to_vec(&snapshot)?.into())
    }

    /// Decodes a state.
    ///
    /// # Errors
    ///
    /// When the bytes are no snapshot of this version.
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
            deregistrations: snapshot.departures.into(),
        })
    }
}
