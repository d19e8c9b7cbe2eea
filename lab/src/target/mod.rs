//! A fake target: an HTTP/1.1 server with slots, faults and a ledger of runs.
//!
//! Several targets run in one process on one compio runtime. [`start`] returns a [`Handle`] that
//! reads counters and switches faults on and off while the target runs.

mod announce;
mod config;
mod faults;
mod ledger;
mod respond;
mod serve;
mod slots;
mod state;
mod tap;

pub use announce::Announcement;
pub use config::{Announce, Config, ServiceTime};
pub use faults::Faults;
pub use ledger::{Ledger, Runs};
pub use serve::{Handle, start};
pub use state::{Counters, State};

/// Header that marks a request for [`Faults::crash_on_mark`].
pub const CRASH_HEADER: &str = "lab-crash";
