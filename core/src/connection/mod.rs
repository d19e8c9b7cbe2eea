//! Connections to targets: pooling, completeness of responses, and detection of silent connections.
//!
//! A [`Pool`] holds the connections to one target. Each connection is a typestate
//! (`Connecting -> Idle -> Busy -> Idle | Closed`) around a value `C` of the I/O layer. [`Exchange`]
//! decides whether a response is complete, [`LatencyTracker`] estimates latency and the timeout for
//! silent connections, and [`check_silence`] decides whether a call on a silent connection is sent
//! again on a new one.

mod exchange;
mod latency;
mod lifecycle;
mod pool;
mod silent;

pub use exchange::{BodyLength, Exchange, Fault, Head};
pub use latency::{LatencyConfig, LatencyTracker};
pub use lifecycle::{Busy, Closed, Connecting, Idle, Slot};
pub use pool::{CheckIn, CheckOut, Pool, PoolConfig, Purpose};
pub use silent::{CallProgress, Decision, MAX_RECONNECTS, check_silence};
