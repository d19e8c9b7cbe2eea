//! Remaining time of a call and its propagation.
//!
//! Time travels as a remaining duration, so the clocks of caller and target need not agree.

use std::time;

use derive_more::{Display, From, Into};
use thiserror::Error;

use crate::time::{self as core_time, Instant};

/// Longest accepted timeout. A larger value would keep a call's state for longer than any answer is
/// of use.
pub const MAX_TIMEOUT: time::Duration = time::Duration::from_secs(600);

/// Value of the `Wagtailshunt-Timeout-Ms` header.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, From, Into)]
pub struct TimeoutMs(pub u32);

impl TimeoutMs {
    /// Name of the header.
    pub const HEADER: &'static str = "wagtailshunt-timeout-ms";

    /// Reads a header value: digits only, at most [`MAX_TIMEOUT`].
    pub fn parse(value: &str) -> Result<TimeoutMs, HeaderError> {
        let ms = digits(value)?;
        if u128::from(ms) > MAX_TIMEOUT.as_millis() {
            return Err(HeaderError::OutOfRange);
        }
        Ok(TimeoutMs(ms))
    }
}

/// Why a numeric header value can't be read.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum HeaderError {
    /// The value contains something else than digits.
    #[error("header value is not a whole number")]
    NotANumber,
    /// The number is outside the accepted range.
    #[error("header value is out of range")]
    OutOfRange,
}

/// Reads a whole number without sign.
pub(crate) fn digits(value: &str) -> Result<u32, HeaderError> {
    let value = value.trim_matches([' ', '\t']);
    if value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
        return Err(HeaderError::NotANumber);
    }
    value.parse().map_err(|_| HeaderError::OutOfRange)
}

/// The point in time at which an answer is of no more use to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline(pub Instant);

impl Deadline {
    /// Starts a deadline at the arrival of a call; `default` applies when the caller names none, and
    /// also bounds what the caller asks for.
    pub fn at_arrival(now: Instant, asked: Option<TimeoutMs>, default: time::Duration) -> Self {
        let asked = asked.map(|TimeoutMs(ms)| time::Duration::from_millis(u64::from(ms)));
        Deadline(now + asked.map_or(default, |asked| asked.min(default)))
    }

    /// Returns the time left.
    pub fn remaining(&self, now: Instant) -> time::Duration {
        self.0.since(now)
    }

    /// Returns whether the deadline is reached.
    pub fn expired(&self, now: Instant) -> bool {
        now >= self.0
    }

    /// Returns whether an answer that takes `expected` would still be in time.
    pub fn allows(&self, now: Instant, expected: time::Duration) -> bool {
        now + expected <= self.0
    }

    /// Returns the header value for the next hop: the time left less `reserve`, which pays for the
    /// way of the answer. `None` when less than a millisecond would be left.
    pub fn forwarded_timeout(&self, now: Instant, reserve: time::Duration) -> Option<TimeoutMs> {
        let left = self.remaining(now).saturating_sub(reserve);
        let ms = u32::try_from(core_time::micros(left) / 1000).unwrap_or(u32::MAX);
        (ms > 0).then_some(TimeoutMs(ms))
    }
}
