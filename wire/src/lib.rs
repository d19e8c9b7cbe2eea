//! Messages and framing between the processes of wagtailshunt.
//!
//! The schemas in `proto/` define the messages; [`generated`] holds the types that prost generates
//! from them. Generated types are used only here and in the I/O layer. The core has its own types,
//! and the other modules of this crate convert between the two.

pub mod codec;
pub mod containment;
pub mod fleet;
pub mod generated;
pub mod ledger;
pub mod membership;
pub mod records;
pub mod replication;
