//! Rate at which one VM may send calls to a cold target.

use std::time;

use crate::{routing, time as core_time};

/// VMs that may send to the same cold target at the same time: the one that it announces itself to,
/// the one that it came from, and one that was suspended, whose clock stood still meanwhile.
const MAX_HOLDERS: f64 = 3.0;

/// Share of the rate that a target tolerates which one VM uses.
const RATE_SHARE: f64 = 0.7;

/// Calls that may follow each other at once.
const BURST: f64 = 2.0;

/// Length of the window in which calls are counted.
const WINDOW: time::Duration = time::Duration::from_secs(1);

/// Tokens of a bucket that may differ from a whole number by rounding.
const ROUNDING: f64 = 1e-6;

/// Time for which a lent token may be used. The window of a VM that lends its tokens is longer by it.
pub const LENT_TOKEN_VALIDITY: time::Duration = time::Duration::from_millis(50);

/// Size and refill rate of the token bucket of a cold target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    per_second: f64,
    burst: f64,
}

impl Rate {
    /// Returns the rate at which three VMs together send at most the configured rate times
    /// `overage` plus `slack` in any second. If that is less than a call for each of them, cold
    /// targets get none.
    pub fn new(warmup: &routing::Warmup, overage: f64, slack: f64) -> Rate {
        let bound = warmup.calls_per_second * overage + slack;
        let part = bound / MAX_HOLDERS;
        let window = (WINDOW + LENT_TOKEN_VALIDITY).as_secs_f64();
        // One call of the part is left for the burst.
        let per_second = (RATE_SHARE * warmup.calls_per_second).min((part - 1.0).max(0.0) / window);
        Rate {
            per_second,
            burst: BURST.min(part - per_second * window),
        }
    }

    /// Returns whether a bucket of this size ever holds a token. Where the bound is below a call for
    /// each VM that may hold the target, it does not.
    pub(super) fn gives_tokens(&self) -> bool {
        self.burst >= 1.0 - ROUNDING
    }
}

/// Token bucket of one target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Bucket {
    /// Tokens at `updated_at`; `None` for a full bucket.
    tokens: Option<f64>,
    updated_at: core_time::Instant,
}

impl Bucket {
    fn tokens(&self, now: core_time::Instant, rate: Rate) -> f64 {
        let refilled = now.since(self.updated_at).as_secs_f64() * rate.per_second;
        let tokens = self.tokens.map_or(rate.burst, |tokens| tokens + refilled);
        tokens.min(rate.burst)
    }

    /// Returns whether there is a token.
    pub fn has_token(&self, now: core_time::Instant, rate: Rate) -> bool {
        self.tokens(now, rate) >= 1.0 - ROUNDING
    }

    /// Returns the time until there is a token; `None` if there will be none.
    pub fn time_to_token(&self, now: core_time::Instant, rate: Rate) -> Option<time::Duration> {
        if self.has_token(now, rate) {
            return Some(time::Duration::ZERO);
        }
        if !rate.gives_tokens() {
            return None;
        }
        let missing = 1.0 - self.tokens(now, rate);
        time::Duration::try_from_secs_f64(missing / rate.per_second).ok()
    }

    /// Takes a token; returns whether there was one.
    pub fn take(&mut self, now: core_time::Instant, rate: Rate) -> bool {
        if !self.has_token(now, rate) {
            return false;
        }
        self.tokens = Some(self.tokens(now, rate) - 1.0);
        self.updated_at = now;
        true
    }
}
