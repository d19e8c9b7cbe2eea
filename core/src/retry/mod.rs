//! Retries and hedged attempts, and the budgets (token buckets) that bound both.
//!
//! The decision depends on the failure of the previous attempt, the time left until the deadline,
//! and the headers of the call and of the response. A call is retried at one layer only: a retry
//! carries its attempt number, and a response that was retried below is marked as such. In a tree
//! of calls, the attempts of the layers therefore add up and never multiply.

mod hedge;
mod histogram;

use std::time;

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

pub use self::hedge::{HedgeConfig, Hedger};
pub use self::histogram::LatencyHistogram;
use crate::deadline::{self, Deadline};
use crate::time::Instant;

/// Name of the header that marks a response as retried by a layer below.
pub const RETRIED_HEADER: &str = "wagtailshunt-retried";

/// Number of bucket units for each token; tokens are counted in thousandths.
const UNITS_PER_TOKEN: u64 = 1000;

/// Value of the `Wagtailshunt-Attempt` header, starting at 1.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, From, Into)]
pub struct AttemptNumber(pub u32);

impl AttemptNumber {
    /// Name of the header.
    pub const HEADER: &'static str = "wagtailshunt-attempt";
    /// The first attempt.
    pub const FIRST: AttemptNumber = AttemptNumber(1);

    /// Parses a header value.
    ///
    /// # Errors
    ///
    /// A [`deadline::HeaderError`] when the value is not a whole number, does not fit or is 0.
    pub fn parse(value: &str) -> Result<AttemptNumber, deadline::HeaderError> {
        match deadline::parse_whole_number(value)? {
            0 => Err(deadline::HeaderError::OutOfRange),
            number => Ok(AttemptNumber(number)),
        }
    }

    /// Returns whether the call is a retry by a layer above.
    pub fn is_retry(self) -> bool {
        self.0 > 1
    }

    /// Returns the number of the next attempt.
    pub fn next(self) -> AttemptNumber {
        AttemptNumber(self.0.saturating_add(1))
    }
}

/// Limits of retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Retries allowed for each 1,000 calls.
    pub per_1000_calls: u32,
    /// Maximum number of tokens in the bucket. A larger value allows more retries at once at the
    /// start of a retry storm.
    pub burst: u32,
    /// Maximum number of attempts of one call at this layer, the first included.
    pub max_attempts: u32,
    /// Whether a call that another layer retries is not retried at this layer. Only experiments
    /// disable this.
    pub one_layer: bool,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            per_1000_calls: 100,
            burst: 10,
            max_attempts: 2,
            one_layer: true,
        }
    }
}

/// Token bucket: each call adds a fraction of a token, and each retry or hedge takes one.
#[derive(Clone, Debug)]
pub struct Budget {
    cfg: Config,
    tokens: u64,
    calls: u64,
    spent: u64,
}

impl Budget {
    /// Creates an empty budget. It starts empty so that spending never exceeds its share of the
    /// calls.
    pub fn new(cfg: Config) -> Self {
        Budget {
            cfg,
            tokens: 0,
            calls: 0,
            spent: 0,
        }
    }

    /// Counts the first attempt of a call, which adds a fraction of a token.
    pub fn count_call(&mut self) {
        self.calls += 1;
        let cap = u64::from(self.cfg.burst) * UNITS_PER_TOKEN;
        self.tokens = (self.tokens + u64::from(self.cfg.per_1000_calls)).min(cap);
    }

    /// Changes the maximum number of tokens, for a budget that is a share of a common one when the
    /// number of shares changes.
    pub fn set_burst(&mut self, burst: u32) {
        self.cfg.burst = burst;
        self.tokens = self.tokens.min(u64::from(burst) * UNITS_PER_TOKEN);
    }

    /// Takes one token; returns false if there is none.
    pub fn try_spend(&mut self) -> bool {
        if self.tokens < UNITS_PER_TOKEN {
            return false;
        }
        self.tokens -= UNITS_PER_TOKEN;
        self.spent += 1;
        true
    }

    /// Returns the number of tokens that can be taken.
    pub fn available(&self) -> u64 {
        self.tokens / UNITS_PER_TOKEN
    }

    /// Returns whether there is a token to take.
    pub fn has_tokens(&self) -> bool {
        self.tokens >= UNITS_PER_TOKEN
    }

    /// Returns the numbers of calls counted and of tokens spent.
    pub fn totals(&self) -> (u64, u64) {
        (self.calls, self.spent)
    }

    /// Returns the limits of this budget.
    pub fn config(&self) -> &Config {
        &self.cfg
    }
}

/// A call and its latest attempt.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Attempt number that the caller sent; above 1 the call is a retry by a layer above.
    pub caller_attempt: AttemptNumber,
    /// Number of attempts made by this layer so far.
    pub attempts_made: u32,
    /// Whether the call may run twice without harm.
    pub idempotent: bool,
    /// Deadline of the call.
    pub deadline: Deadline,
    /// Expected latency of another attempt.
    pub expected: time::Duration,
}

/// Evidence from a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Whether it is proved that the call did not run: no byte was sent, or the target marked it as
    /// not run.
    pub not_run: bool,
    /// Whether the response is marked as retried by a layer below.
    pub retried_below: bool,
}

/// Decision after a failed attempt.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Decision {
    /// Send the call again, to another target.
    #[display("retry")]
    Retry,
    /// Return the failure to the caller.
    #[display("not retried: {_0}")]
    Fail(Reason),
}

/// Reason why a call is not retried.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Reason {
    /// The call may have run and must not run twice.
    #[display("may have run")]
    MayHaveRun,
    /// A layer above retries the call.
    #[display("retried above")]
    RetriedAbove,
    /// A layer below has retried the call.
    #[display("retried below")]
    RetriedBelow,
    /// The maximum number of attempts at this layer is reached.
    #[display("maximum number of attempts reached")]
    Attempts,
    /// Another attempt is not expected to be answered before the deadline.
    #[display("too little time left before the deadline")]
    Deadline,
    /// The budget has no token left.
    #[display("retry budget empty")]
    Budget,
}

/// Decides whether to retry a call after a failed attempt; a retry takes a token from the budget.
pub fn decide(now: Instant, attempt: &Attempt, failure: &Failure, budget: &mut Budget) -> Decision {
    if !failure.not_run && !attempt.idempotent {
        return Decision::Fail(Reason::MayHaveRun);
    }
    let cfg = *budget.config();
    if cfg.one_layer && attempt.caller_attempt.is_retry() {
        return Decision::Fail(Reason::RetriedAbove);
    }
    if cfg.one_layer && failure.retried_below {
        return Decision::Fail(Reason::RetriedBelow);
    }
    if attempt.attempts_made >= cfg.max_attempts {
        return Decision::Fail(Reason::Attempts);
    }
    if !attempt.deadline.allows(now, attempt.expected) {
        return Decision::Fail(Reason::Deadline);
    }
    if !budget.try_spend() {
        return Decision::Fail(Reason::Budget);
    }
    Decision::Retry
}
