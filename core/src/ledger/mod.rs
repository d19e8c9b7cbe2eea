//! Replicated state machine of idempotency keys, which keeps a keyed call from running twice.
//!
//! * [`Ledger`] is the deterministic state machine that every replica of a shard applies.
//! * [`claim`] is the life cycle of one keyed call on its gateway.
//! * [`Service`] runs on the shard's leader: it stamps claims with time, parks resends until the
//!   outcome of the first run is there, and decides when claims expire.

mod answer;
pub mod claim;
mod digest;
mod key;
mod machine;
mod request;
mod service;
mod snapshot;

pub use answer::{Answer, MAX_BODY_BYTES};
pub use digest::{Digest, DigestBuilder};
pub use key::{Key, KeyError};
pub use machine::{
    Command, FUTURE_LIMIT, Holder, KEY_BYTES, KeyState, Ledger, Limits, RETENTION, Reply,
};
pub use request::{Output, Request, ServiceReply};
pub use service::{Service, ServiceConfig};
pub use snapshot::RestoreError;
