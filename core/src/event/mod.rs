//! Numbered events that the VMs log, and the hybrid logical clock that orders them across VMs.

mod catalogue;
mod hlc;

pub use catalogue::{CATALOGUE, Entry, Id, Level};
pub use hlc::{Clock, Stamp};
