//! Faults that a test switches on and off in a running target.

use std::time;

use wagtailshunt_core::balance;

/// Faults of a target; the default has none.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Time added to each service time.
    pub added_service_time: time::Duration,
    /// Responds with status 500 at once, without taking a slot.
    pub fail_fast: bool,
    /// Closes all connections and the listener when a request with the header `lab-crash` starts
    /// to run.
    pub crash_on_header: bool,
    /// Declares a longer response than it sends, then closes the connection.
    pub truncate: bool,
    /// Sends these bytes after each response.
    pub trailing_bytes: Vec<u8>,
    /// Sends these bytes in place of each response, unless there are none.
    pub replacement: &'static [u8],
    /// Number of calls that are still refused, as if the queue was full.
    pub refusals: usize,
    /// Sends a second copy of each refusal before the next response on its connection.
    pub repeat_refusals: bool,
    /// Reports this load instead of the real one.
    pub report: Option<balance::LoadReport>,
}
