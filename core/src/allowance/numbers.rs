//! The bound on the calls of a workspace, and the numbers that keep it.

use std::time;

use crate::routing;

/// Bound on the calls of a workspace: in no sliding window may more run than (rate x window + burst) x
/// (1 + overage) + slack.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Length of the window.
    pub window: time::Duration,
    /// Tolerated share beyond the allowance.
    pub overage: f64,
    /// Calls that are tolerated in addition.
    pub slack: f64,
}

impl Default for Bound {
    fn default() -> Self {
        Bound {
            window: time::Duration::from_secs(5),
            overage: 0.1,
            slack: 20.0,
        }
    }
}

impl Bound {
    /// Returns the number of calls that may run in any window.
    pub fn calls(&self, allowance: &routing::Allowance) -> f64 {
        self.allowed(allowance) + self.extra(allowance)
    }

    fn allowed(&self, allowance: &routing::Allowance) -> f64 {
        allowance.calls_per_second * self.window.as_secs_f64() + allowance.burst
    }

    /// Returns the calls that the bound tolerates beyond the allowance.
    fn extra(&self, allowance: &routing::Allowance) -> f64 {
        self.overage * self.allowed(allowance) + self.slack
    }
}

/// Longest validity of a token. It covers a round trip between failure domains and a VM that is slow
/// for a moment; with a longer one, tokens that are used early would hold up the refill for longer.
pub(super) const MAX_VALIDITY: time::Duration = time::Duration::from_millis(400);

/// Validity below which VMs other than the leader could use no token. It is kept even if the bound
/// leaves no room for it, and is then taken from the burst.
const MIN_VALIDITY_S: f64 = 0.1;

/// Longest time between the use of a token and the sending of its call for which the bound has room.
const MAX_DELAY_S: f64 = 0.1;

/// Largest shares of the tolerated extra that validity and delay take.
const VALIDITY_SHARE: f64 = 0.6;
const DELAY_SHARE: f64 = 0.2;

/// Share of what validity and delay leave of the extra that enlarges the bucket of the leader; the
/// rest is lent to deputies. The bucket absorbs random arrivals, which the configured burst of a small
/// workspace may not.
const CAPACITY_SHARE: f64 = 0.5;

/// Shares of what callers take within the validity at most, and of what is left of the extra, that are held
/// back from VMs.
const UNUSUAL_SHARE: f64 = 0.25;
const HELD_BACK_SHARE: f64 = 0.25;

/// Time for which the leader counts a token at most, in validities, with room for the rounds in which
/// tokens are granted.
const COUNTED_VALIDITY: f64 = 1.25;

/// The numbers by which the bound of one workspace is kept.
///
/// With extra = overage x (rate x window + burst) + slack, and V = min(0.4 s, 0.6 x extra / rate) and
/// D = min(0.1 s, 0.2 x extra / rate):
///
/// * Never more than `capacity` tokens exist: in the leader's bucket, or granted less than V ago. They
///   are added at the rate. So at most capacity + rate x (window + D) are used in a window and the D
///   before it, and calls are sent at most D after their token was used.
/// * rest = extra - rate x (V + D) is at least 0.2 x extra. capacity = burst + rest / 2 + rate x V.
/// * Beside them at most rest / 2 are lent to deputies or were granted by these less than V ago. VMs of
///   the preceding build use as many without the leader, so that nothing is lent beside them.
///
/// The sum is at most rate x window + burst + extra, which is the bound. Leaders of the preceding build
/// keep a bucket of burst + rest / 2, so that no more than `capacity` tokens of theirs exist either.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Numbers {
    /// Tokens per second.
    pub rate: f64,
    /// Time after the question for which a VM may use a token.
    pub validity: time::Duration,
    /// Tokens that exist at most, in the leader's bucket and on VMs.
    pub capacity: f64,
    /// Tokens that VMs can't have at a time, so that they may exist in the bucket of the next leader.
    pub held_back: f64,
    /// Tokens that the leader lends to deputies at most.
    pub lendable: f64,
}

impl Numbers {
    /// Computes the numbers of a workspace.
    pub fn new(bound: &Bound, allowance: &routing::Allowance) -> Numbers {
        let rate = allowance.calls_per_second;
        let extra = bound.extra(allowance);
        let seconds = |share: f64, max: f64| match rate > 0.0 {
            true => (share * extra / rate).min(max),
            false => max,
        };
        let validity = seconds(VALIDITY_SHARE, MAX_VALIDITY.as_secs_f64()).max(MIN_VALIDITY_S);
        let delay = seconds(DELAY_SHARE, MAX_DELAY_S);
        let rest = extra - rate * (validity + delay);
        let capacity = match rest > 0.0 {
            true => allowance.burst + rest * CAPACITY_SHARE,
            false => allowance.burst + rest,
        };
        // A bucket of less than one token would never grant any.
        let capacity = (capacity + rate * validity).max(1.0);
        // VMs can still have the burst beside the tokens of usual callers, and use the whole rate.
        let held_back = (rate * validity * UNUSUAL_SHARE + rest.max(0.0) * HELD_BACK_SHARE)
            .min(rate * validity)
            .min(capacity - 1.0)
            .min(capacity - rate * validity * COUNTED_VALIDITY);
        Numbers {
            rate,
            validity: time::Duration::from_secs_f64(validity),
            capacity,
            held_back: held_back.max(0.0),
            lendable: rest.max(0.0) * (1.0 - CAPACITY_SHARE),
        }
    }
}
