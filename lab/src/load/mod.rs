//! Load generator over real HTTP.
//!
//! In the open loop, calls start at times that are drawn before the run, and latency counts from
//! the scheduled time, so that the delay that a stalled server causes is included (no coordinated
//! omission). In the closed loop, a fixed number of callers each wait for their response before the
//! next call.

pub mod client;
mod config;
mod generator;
mod ids;
mod pool;
mod report;
mod sample;

pub use config::{Arrivals, Config, Mode, RequestSpec};
pub use generator::{Route, measure, run};
pub use ids::uuid_v7;
pub use report::{Ratio, Report, Row, Spread};
pub use sample::Sample;
