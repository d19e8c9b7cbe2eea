//! Life cycle of connections to targets and complete answers.
//!
//! A [`Pool`] holds the connections to one target. A connection is a typestate
//! (`Connecting -> Idle -> Busy -> Idle | Closed`) around a value `C` of the I/O layer. [`Exchange`]
//! decides whether an answer is complete, [`Health`] estimates latency and finds silent connections,
//! and [`decide`] says what becomes of a call on such a connection.

mod exchange;
mod health;
mod lifecycle;
mod pool;
mod silent;

pub use exchange::{BodyLength, Exchange, Fault, Head};
pub use health::{Health, HealthConfig};
pub use lifecycle::{Busy, Closed, Connecting, Idle, Slot};
pub use pool::{CheckIn, CheckOut, Pool, PoolConfig, Purpose};
pub use silent::{CallView, Decision, MAX_MOVES, decide};
