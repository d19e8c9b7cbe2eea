//! Decision core of the wagtailshunt load balancer.
//!
//! The modules do no I/O and read no clock. Callers pass in events together with the current time
//! and get the resulting actions as return values or from a module's `poll_output`.

pub mod admission;
pub mod allowance;
pub mod balance;
pub mod catch_up;
pub mod connection;
pub mod containment;
pub mod deadline;
pub mod directory;
pub mod drain;
pub mod evacuation;
pub mod event;
pub mod explain;
pub mod fleet;
pub mod formation;
pub mod key_lease;
pub mod lease;
pub mod ledger;
pub mod measure;
pub mod memory;
pub mod outcome;
pub mod placement;
pub mod reach;
pub mod records;
pub mod registry;
pub mod relay;
pub mod replication;
pub mod retry;
pub mod routing;
pub mod shedding;
pub mod state_machine;
pub mod storage;
pub mod time;
pub mod types;
pub mod warmup;
