//! Retry and hedging decisions and their budgets.
//!
//! A call is retried at one layer only: a retry is marked with its attempt number, and an answer
//! that was retried below is marked as such. A tree of calls therefore adds attempts and never
//! multiplies them.

mod hedge;
mod histogram;

use std::time;

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

pub use self::hedge::{HedgeConfig, Hedger};
pub use self::histogram::LatencyHistogram;
use crate::deadline::{self, Deadline};
use crate::time::Instant;

/// Name of the header that marks an answer as retried below.
pub const RETRIED_HEADER: &str = "wagtailshunt-retried";

/// Tokens are counted in thousandths.
const SCALE: u64 = 1000;

/// Value of the `Wagtailshunt-Attempt` header, starting at 1.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, From, Into)]
pub struct AttemptNumber(pub u32);

impl AttemptNumber {
    /// Name of the header.
    pub const HEADER: &'static str = "wagtailshunt-attempt";
    /// The first attempt.
    pub const FIRST: AttemptNumber = AttemptNumber(1);

    /// Reads a header value; 0 is refused.
    pub fn parse(value: &str) -> Result<AttemptNumber, deadline::HeaderError> {
        match deadline::digits(value)? {
            0 => Err(deadline::HeaderError::OutOfRange),
            number => Ok(AttemptNumber(number)),
        }
    }

    /// Returns whether a layer above already retries this call.
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
    /// Most retries that can be saved up; a larger value lets a retry storm start at full force.
    pub burst: u32,
    /// Attempts of one call at this layer, the first included.
    pub max_attempts: u32,
    /// Whether attempt marks of other layers are obeyed. Only experiments switch this off.
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

/// Token bucket that calls fill and retries or hedges empty.
#[derive(Clone, Debug)]
pub struct Budget {
    cfg: Config,
    tokens: u64,
    calls: u64,
    spent: u64,
}

impl Budget {
    /// Creates an empty budget, so that spending never exceeds its share of the calls.
    pub fn new(cfg: Config) -> Self {
        Budget {
            cfg,
            tokens: 0,
            calls: 0,
            spent: 0,
        }
    }

    /// Counts a first attempt, which earns a fraction of a token.
    pub fn count_call(&mut self) {
        self.calls += 1;
        let cap = u64::from(self.cfg.burst) * SCALE;
        self.tokens = (self.tokens + u64::from(self.cfg.per_1000_calls)).min(cap);
    }

    /// Changes how many retries can be saved up, when the number of those who share an allowance changes.
    pub fn set_burst(&mut self, burst: u32) {
        self.cfg.burst = burst;
        self.tokens = self.tokens.min(u64::from(burst) * SCALE);
    }

    /// Takes one token if there is one.
    pub fn try_spend(&mut self) -> bool {
        if self.tokens < SCALE {
            return false;
        }
        self.tokens -= SCALE;
        self.spent += 1;
        true
    }

    /// Returns whether there is a token to take.
    pub fn has_tokens(&self) -> bool {
        self.tokens >= SCALE
    }

    /// Returns calls counted and tokens spent.
    pub fn totals(&self) -> (u64, u64) {
        (self.calls, self.spent)
    }

    /// Returns the limits of this budget.
    pub fn config(&self) -> &Config {
        &self.cfg
    }
}

/// The attempt that failed.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Number that the caller gave the call; above 1 a layer above is retrying it.
    pub caller_attempt: AttemptNumber,
    /// Attempts made by this layer so far.
    pub attempts_made: u32,
    /// Whether running the call twice does no harm.
    pub idempotent: bool,
    /// Deadline of the call.
    pub deadline: Deadline,
    /// Expected time of another attempt.
    pub expected: time::Duration,
}

/// What is known about the failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Proved that the call did not run: refused before the first byte, or so marked by the target.
    pub not_run: bool,
    /// The answer is marked as already retried below.
    pub retried_below: bool,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Decision {
    /// Send the call again, to another target.
    #[display("retry")]
    Retry,
    /// Report the failure to the caller.
    #[display("give up: {_0}")]
    Fail(Reason),
}

/// Why a call is not retried.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Reason {
    /// It may have run and must not run twice.
    #[display("may have run")]
    MayHaveRun,
    /// A layer above is retrying it.
    #[display("retried above")]
    RetriedAbove,
    /// A layer below has retried it.
    #[display("retried below")]
    RetriedBelow,
    /// This layer has made all its attempts.
    #[display("attempts used up")]
    Attempts,
    /// The answer would come after the deadline.
    #[display("deadline too near")]
    Deadline,
    /// The budget is empty.
    #[display("retry budget empty")]
    Budget,
}

/// Decides whether to retry and takes a token from the budget if so.
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
