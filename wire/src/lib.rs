//! Messages and framing between the processes of wagtailshunt.
//!
//! Generated types are used only here and in the I/O layer; the core has types of its own and the
//! modules of this crate convert between the two.

pub mod codec;
pub mod containment;
pub mod fleet;
pub mod generated;
pub mod ledger;
pub mod membership;
pub mod records;
pub mod replication;
