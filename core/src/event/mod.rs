//! Numbered events and the hybrid logical clock that orders them.

mod catalogue;
mod hlc;

pub use catalogue::{CATALOGUE, Entry, Id, Level};
pub use hlc::{Clock, Stamp};
