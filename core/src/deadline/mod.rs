//! Deadlines of calls and their propagation from caller to target.
//!
//! A deadline is sent as the remaining time, in the `Wagtailshunt-Timeout-Ms` header, so the clocks
//! of caller and target need not agree.

use std::time;

use derive_more::{Display, From, Into};
use thiserror::Error;

use crate::time::{self as core_time, Instant};

/// Longest accepted timeout. A larger value would keep the state of a call for longer than its
/// response is of use.
pub const MAX_TIMEOUT: time::Duration = time::Duration::from_secs(600);

/// Value of the `Wagtailshunt-Timeout-Ms` header.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, From, Into)]
pub struct TimeoutMs(pub u32);

impl TimeoutMs {
    /// Name of the header.
    pub const HEADER: &'static str = "wagtailshunt-timeout-ms";

    /// Parses a header value: digits only, at most [`MAX_TIMEOUT`].
    ///
    /// # Errors
    ///
    /// A [`HeaderError`] when the value is not a whole number or too large.
    pub fn parse(value: &str) -> Result<TimeoutMs, HeaderError> {
        let ms = parse_whole_number(value)?;
        if u128::from(ms) > MAX_TIMEOUT.as_millis() {
            return Err(HeaderError::OutOfRange);
        }
        Ok(TimeoutMs(ms))
    }
}

/// Reason why a numeric header value cannot be parsed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum HeaderError {
    /// The value is empty or contains other characters than digits.
    #[error("header value is not a whole number")]
    NotANumber,
    /// The number is outside the accepted range.
    #[error("header value is out of range")]
    OutOfRange,
}

/// Parses a whole number without sign.
///
/// # Errors
///
/// A [`HeaderError`] when the value is not a whole number or does not fit.
pub(crate) fn parse_whole_number(value: &str) -> Result<u32, HeaderError> {
    let value = value.trim_matches([' ', '\t']);
    if value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
        return Err(HeaderError::NotANumber);
    }
    value.parse().map_err(|_| HeaderError::OutOfRange)
}

/// Time after which the response to a call is of no use to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline(pub Instant);

impl Deadline {
    /// Returns the deadline of a call that arrives at `now`. Its timeout is the one that the caller
    /// requested, but at most `default`, which also applies when the caller requested none.
    pub fn at_arrival(now: Instant, requested: Option<TimeoutMs>, default: time::Duration) -> Self {
        let requested = requested.map(|TimeoutMs(ms)| time::Duration::from_millis(u64::from(ms)));
        Deadline(now + requested.map_or(default, |requested| requested.min(default)))
    }

    /// Returns the time left until the deadline.
    pub fn remaining(&self, now: Instant) -> time::Duration {
        self.0.since(now)
    }

    /// Returns whether the deadline has passed.
    pub fn expired(&self, now: Instant) -> bool {
        now >= self.0
    }

    /// Returns whether a response that takes `expected` from now on arrives before the deadline.
    pub fn allows(&self, now: Instant, expected: time::Duration) -> bool {
        now + expected <= self.0
    }

    /// Returns the timeout to send to the next hop: the time left, less `reserve` for the transfer
    /// of the response. `None` when less than a millisecond would be left.
    pub fn forwarded_timeout(&self, now: Instant, reserve: time::Duration) -> Option<TimeoutMs> {
        let remaining = self.remaining(now).saturating_sub(reserve);
        let ms = u32::try_from(core_time::micros(remaining) / 1000).unwrap_or(u32::MAX);
        (ms > 0).then_some(TimeoutMs(ms))
    }
}
