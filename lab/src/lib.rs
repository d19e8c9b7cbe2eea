//! Test and measurement tools: scenarios in virtual time, policy comparison, fake targets, load
//! generation and benchmarks.

pub mod cluster;
pub mod control_bench;
pub mod demo;
pub mod in_force;
pub mod ledger_bench;
pub mod load;
pub mod log_bench;
pub mod policy;
pub mod request_path;
pub mod scenario;
pub mod target;
pub mod worlds;
