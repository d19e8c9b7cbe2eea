//! Serving leases: a gateway serves only while the leader of group 0 vouches for its configuration.
//!
//! The holder counts a lease from the moment it sent the renewal and shortens it by the clock
//! margin. The grantor counts from the moment it answered and lengthens it. So the grantor never
//! believes a lease to have ended that the holder still uses, as long as the two clocks run at
//! the same rate within the margin.

mod grantor;
mod holder;
mod messages;

use std::time;

pub use grantor::{Grantor, HolderStatus, Removal};
pub use holder::{GatewayStatus, Holder};
pub use messages::{Grant, LeaderStatus, Refusal, Renewal};

/// Settings of leases; the same on all VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Length of a lease.
    pub length: time::Duration,
    /// Time between renewals.
    pub renew_every: time::Duration,
    /// Time until the next renewal after a refused one.
    pub retry_after: time::Duration,
    /// How long a gateway may renew with a revision that is no longer current. A renewal that
    /// crosses a push is still granted; a gateway that missed the push cannot prolong its lease
    /// under the old revision and so delay the change further.
    pub behind_grace: time::Duration,
    /// Largest difference between the rates of two clocks, in thousandths.
    pub clock_margin_permille: u32,
}

impl Default for Config {
    fn default() -> Self {
        // A change of leader takes up to 1 s, after which the new leader waits for one length. The
        // sum stays below the 3 s within which a change must be in force, and a lease that was
        // just due for renewal outlasts the change of leader.
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
    /// Returns the lease length as the grantor counts it.
    pub fn granted_length(&self) -> time::Duration {
        self.length + self.margin(self.length)
    }

    fn margin(&self, length: time::Duration) -> time::Duration {
        length * self.clock_margin_permille / 1000
    }
}
