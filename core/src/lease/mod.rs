//! Serving leases: a gateway serves calls only while it holds a lease from the leader of group 0.
//! From the leases and the revisions in the renewals, the leader derives the lowest configuration
//! revision that any gateway may still serve. Inputs are the renewals of gateways and the leader's
//! replies.
//!
//! The holder measures a lease from when it sent the renewal and shortens it by the clock margin.
//! The grantor measures it from when it replied and lengthens it by the margin. The grantor
//! therefore never treats a lease as ended that the holder still uses, as long as the rates of the
//! two clocks differ by no more than the margin.

mod grantor;
mod holder;
mod messages;

use std::time;

pub use grantor::{Grantor, HolderStatus, Removal};
pub use holder::{GatewayStatus, Holder};
pub use messages::{Grant, LeaderStatus, Refusal, Renewal};

/// Settings of leases. They must be the same on all VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Length of a lease.
    pub length: time::Duration,
    /// Time between renewals.
    pub renew_every: time::Duration,
    /// Time until the next renewal after a refusal because the replying VM does not lead or the
    /// gateway is behind.
    pub retry_after: time::Duration,
    /// Time after a change during which a gateway may still renew with an earlier revision. A
    /// renewal that was sent before the change arrived is therefore granted, and a gateway that did
    /// not receive the change cannot extend its lease with the old revision and delay the change
    /// further.
    pub behind_grace: time::Duration,
    /// Largest difference between the rates of two clocks, in thousandths.
    pub clock_margin_permille: u32,
}

impl Default for Config {
    fn default() -> Self {
        // A change of leader takes up to 1 s, after which the new leader waits for one lease
        // length. The sum is below the 3 s within which a change must be in force, and a lease that
        // was just due for renewal lasts longer than the change of leader.
        Config {
            length: time::Duration::from_millis(1900),
            renew_every: time::Duration::from_millis(400),
            retry_after: time::Duration::from_millis(100),
            behind_grace: time::Duration::from_millis(500),
            clock_margin_permille: 10,
        }
    }
}

impl Config {
    /// Returns the lease length as the grantor measures it: the length plus the clock margin.
    pub fn granted_length(&self) -> time::Duration {
        self.length + self.margin(self.length)
    }

    /// Returns the clock margin for a lease of the given length.
    fn margin(&self, length: time::Duration) -> time::Duration {
        length * self.clock_margin_permille / 1000
    }
}
