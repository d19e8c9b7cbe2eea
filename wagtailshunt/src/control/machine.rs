//! State machine of a replicated group.

use bytes::Bytes;
use wagtailshunt_core::{ledger, registry, types};
use wagtailshunt_wire as wire;

/// State machine of a group, by the group's kind.
#[derive(Debug)]
pub enum Machine {
    /// Group 0.
    Registry(Box<registry::Registry>),
    /// Groups from 1 on.
    Shard(Box<Shard>),
}

/// A ledger shard and what its leader needs to serve gateways.
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

impl Machine {
    /// Returns the empty state machine of a group.
    pub fn empty(group: types::GroupId) -> Machine {
        match group.0 {
            0 => Machine::Registry(Box::default()),
            _ => Machine::Shard(Box::new(Shard {
                ledger: ledger::Ledger::new(),
                service: ledger::Service::new(ledger::ServiceConfig::default()),
            })),
        }
    }

    /// Replaces the state by a snapshot.
    pub fn restore(&mut self, data: &[u8]) -> Result<(), String> {
        match self {
            Machine::Registry(registry) => {
                **registry = registry::Registry::restore(data).map_err(|err| err.to_string())?;
            }
            Machine::Shard(shard) => {
                shard.ledger = ledger::Ledger::restore(data).map_err(|err| err.to_string())?;
            }
        }
        Ok(())
    }

    /// Returns a snapshot of the state.
    pub fn snapshot(&self) -> Bytes {
        match self {
            Machine::Registry(registry) => registry.snapshot(),
            Machine::Shard(shard) => shard.ledger.snapshot(),
        }
    }

    /// Applies a committed command.
    ///
    /// A command that cannot be decoded was written by a newer version; to skip it would let this
    /// replica diverge, so it is an error.
    pub fn apply(&mut self, index: types::LogIndex, command: &Bytes) -> Result<Applied, String> {
        match self {
            Machine::Registry(registry) => {
                let command = wire::records::decode_command(command.clone())
                    .map_err(|err| err.to_string())?;
                Ok(Applied::Registry(registry.apply(index, &command)))
            }
            Machine::Shard(shard) => {
                let command =
                    wire::ledger::decode_command(command).map_err(|err| err.to_string())?;
                let reply = shard.ledger.apply(index, &command);
                Ok(Applied::Ledger { command, reply })
            }
        }
    }
}
