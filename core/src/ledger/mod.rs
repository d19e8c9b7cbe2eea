//! Replicated ledger of idempotency keys, which prevents a keyed call from running twice.
//!
//! * [`Ledger`] is the deterministic state machine that every replica of a shard applies.
//! * [`claim`] is the life cycle of one keyed call on its gateway.
//! * [`Service`] runs on the shard's leader: it adds the time to claims, holds resends until the
//!   outcome of the first run is committed, and decides when claims expire.
//!
//! A gateway claims the key of a call before dispatching it, and commits the response before
//! passing it to the caller. A resend under the same key receives the stored response.

pub mod claim;
mod digest;
mod key;
mod machine;
mod request;
mod service;
mod snapshot;
mod stored_response;

pub use digest::{Digest, DigestBuilder};
pub use key::{Key, KeyError};
pub use machine::{
    BYTES_PER_KEY, Command, Holder, KEY_RETENTION, KeyState, Ledger, Limits, MAX_FUTURE_SKEW, Reply,
};
pub use request::{Output, Request, ServiceReply};
pub use service::{Service, ServiceConfig};
pub use snapshot::RestoreError;
pub use stored_response::{MAX_STORED_BODY_BYTES, StoredResponse};
