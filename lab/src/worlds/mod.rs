//! Simulated worlds that scenario scripts drive, one for each part of the core.
//!
//! A world runs the code of the core in virtual time against fake networks, disks and targets. Its
//! settings, commands and checks come from the script (see [`scenario`]).

use crate::scenario;

pub mod calls;
pub mod control;
pub mod keys;
pub mod replication;

/// World names that [`create`] accepts.
pub const NAMES: &[&str] = &["replication", "control", "calls", "keys"];

/// Creates the world with this name; it has no settings applied and has not started.
///
/// # Errors
///
/// Returns [`scenario::WorldError::UnknownWorld`] if no world has this name.
pub fn create(name: &str) -> Result<Box<dyn scenario::World>, scenario::WorldError> {
    match name {
        "replication" => Ok(replication::new()),
        "control" => Ok(control::new()),
        "calls" => Ok(calls::new()),
        "keys" => Ok(keys::new()),
        _ => Err(scenario::WorldError::UnknownWorld(name.to_owned())),
    }
}
