//! State machine of a replicated group: the registry of records in group 0, a ledger shard in the
//! other groups. Applies the committed commands of the group's log.

use bytes::Bytes;
use wagtailshunt_core::{ledger, registry, types};
use wagtailshunt_wire as wire;

/// State machine of a group, chosen by the group's id.
#[derive(Debug)]
pub enum StateMachine {
    /// State machine of group 0.
    Registry(Box<registry::Registry>),
    /// State machine of groups with an id of 1 or more.
    Shard(Box<Shard>),
}

/// A ledger shard, and the service that handles gateway requests while this VM leads its group.
#[derive(Debug)]
pub struct Shard {
    pub ledger: ledger::Ledger,
    pub service: ledger::Service,
}

/// Result of an applied command.
#[derive(Debug)]
pub enum Applied {
    Registry(registry::Reply),
    Ledger {
        command: ledger::Command,
        reply: ledger::Reply,
    },
}

impl StateMachine {
    /// Creates the empty state machine of a group.
    pub fn empty(group: types::GroupId) -> StateMachine {
        match group.0 {
            0 => StateMachine::Registry(Box::default()),
            _ => StateMachine::Shard(Box::new(Shard {
                ledger: ledger::Ledger::new(),
                service: ledger::Service::new(ledger::ServiceConfig::default()),
            })),
        }
    }

    /// Replaces the state with a snapshot.
    ///
    /// # Errors
    ///
    /// The reason for which the snapshot cannot be decoded.
    pub fn restore(&mut self, data: &[u8]) -> Result<(), String> {
        match self {
            StateMachine::Registry(registry) => {
                **registry = registry::Registry::restore(data).map_err(|err| err.to_string())?;
            }
            StateMachine::Shard(shard) => {
                shard.ledger = ledger::Ledger::restore(data).map_err(|err| err.to_string())?;
            }
        }
        Ok(())
    }

    /// Returns a snapshot of the state.
    pub fn snapshot(&self) -> Bytes {
        match self {
            StateMachine::Registry(registry) => registry.snapshot(),
            StateMachine::Shard(shard) => shard.ledger.snapshot(),
        }
    }

    /// Applies a committed command.
    ///
    /// # Errors
    ///
    /// The reason for which the command cannot be decoded. Such a command was written by a newer
    /// version, and skipping it would make this replica diverge.
    pub fn apply(&mut self, index: types::LogIndex, command: &Bytes) -> Result<Applied, String> {
        match self {
            StateMachine::Registry(registry) => {
                let command = wire::records::decode_command(command.clone())
                    .map_err(|err| err.to_string())?;
                Ok(Applied::Registry(registry.apply(index, &command)))
            }
            StateMachine::Shard(shard) => {
                let command =
                    wire::ledger::decode_command(command).map_err(|err| err.to_string())?;
                let reply = shard.ledger.apply(index, &command);
                Ok(Applied::Ledger { command, reply })
            }
        }
    }
}
