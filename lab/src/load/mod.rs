//! Load generator over real HTTP.
//!
//! In the open loop, calls start at times that are drawn before the run, and latency counts from
//! the scheduled time. So a stalled server cannot hide the wait of the calls that it delays. In
//! the closed loop, a fixed number of callers each wait for their answer before the next call.

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
