//! Messages and framing between the processes of wagtailshunt.
//!
//! Generated types are used only here and at the edge; the core has types of its own and the
//! modules of this crate convert between the two.

pub mod codec;
pub mod generated;
