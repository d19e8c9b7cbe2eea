//! Fakes that scenarios drive, one for each part of the core.

use crate::scenario;

pub mod calls;
pub mod control;
pub mod keys;
pub mod replication;

/// Names accepted by [`create`].
pub const NAMES: &[&str] = &["replication", "control", "calls", "keys"];

/// Creates the world of this name, not yet set up.
pub fn create(name: &str) -> Result<Box<dyn scenario::World>, scenario::WorldError> {
    match name {
        "replication" => Ok(replication::new()),
        "control" => Ok(control::new()),
        "calls" => Ok(calls::new()),
        "keys" => Ok(keys::new()),
        _ => Err(scenario::WorldError::UnknownWorld(name.to_owned())),
    }
}
