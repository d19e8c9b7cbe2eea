//! Faults that a running target shows.

use std::time;

use wagtailshunt_core::balance;

/// Faults of a target; the default shows none.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Added to each service time.
    pub slow: time::Duration,
    /// Answers 500 at once, without taking a slot.
    pub fail_fast: bool,
    /// Ends all connections and the listener when a request with the header `lab-crash` begins
    /// to run.
    pub crash_on_mark: bool,
    /// Declares a longer answer than it sends, then closes the connection.
    pub truncate: bool,
    /// Sends these bytes after each answer.
    pub surplus: Vec<u8>,
    /// Reports this load in place of the real one.
    pub report: Option<balance::LoadReport>,
}
