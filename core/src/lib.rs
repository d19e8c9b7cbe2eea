//! Decision core of the wagtailshunt load balancer.
//!
//! Every module is a state machine without input or output: inputs are methods that take the
//! current time, outputs are pulled with `poll_output`.

pub mod admission;
pub mod balance;
pub mod connection;
pub mod containment;
pub mod deadline;
pub mod directory;
pub mod event;
pub mod fleet;
pub mod formation;
pub mod lease;
pub mod ledger;
pub mod measure;
pub mod outcome;
pub mod placement;
pub mod records;
pub mod registry;
pub mod replication;
pub mod retry;
pub mod routing;
pub mod state_machine;
pub mod storage;
pub mod time;
pub mod types;
