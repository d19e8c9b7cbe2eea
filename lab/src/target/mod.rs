//! A fake target: an HTTP/1.1 server with a fixed number of slots, switchable faults and a ledger
//! of its runs.
//!
//! Several targets can run on one compio runtime. [`start`] returns a [`Handle`], with which a test
//! reads counters and switches faults on and off while the target runs.

mod announce;
mod config;
mod faults;
mod faulty_stream;
mod ledger;
mod respond;
mod serve;
mod slots;
mod state;

pub use announce::Announcement;
pub use config::{AnnounceConfig, Config, ServiceTime};
pub use faults::Faults;
pub use ledger::{Ledger, Runs};
pub use serve::{Handle, start};
pub use state::{Counters, State};

/// Header that marks a request for [`Faults::crash_on_header`].
pub const CRASH_HEADER: &str = "lab-crash";
