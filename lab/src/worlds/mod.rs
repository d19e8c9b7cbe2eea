//! Fakes that scenarios drive, one for each part of the core.

pub mod calls;
pub mod control;
pub mod keys;
pub mod replication;
