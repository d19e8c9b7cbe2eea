//! Compares target selection policies under one generated load, in virtual time.
//!
//! A queueing model of gateways and targets runs the real balancer, admission, retry and hedging
//! code of `wagtailshunt-core`. The load, the network and the targets are simulated from a seed.

mod choice_cost;
mod cluster;
mod fake_target;
mod faults;
mod gateway;
mod report;
mod setup;
mod situation;
mod stats;
mod targets;
mod tree;
mod workload;

pub use choice_cost::{ChoiceCost, choice_cost};
pub use cluster::Cluster;
pub use faults::Fault;
pub use report::{Comparison, Options, Row, Spread, compare, compare_with};
pub use setup::{Contender, Deployment, Selection, Setup};
pub use situation::Situation;
pub use stats::Stats;
pub use tree::{Tree, TreeResult, call_tree};
pub use workload::mean_service_us;
