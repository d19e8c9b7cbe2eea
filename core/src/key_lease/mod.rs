//! Leases on the API keys of a configuration: a VM accepts keys only while a quorum has confirmed,
//! recently enough, that its configuration is the latest acknowledged one.
//!
//! Load pattern: callers go on sending with a key that an operator has just revoked, to VMs that are
//! cut off from the voters, frozen, suspended, slowed down or restarted from a stored configuration.
//!
//! A VM sends the leader a [`Request`], whose time it takes from its own boot-time clock before. The
//! leader replies, after a round of a quorum that began after the request arrived, with the index
//! that it has applied. Every change that was acknowledged before the request was sent is at or
//! below that index. So the lease holds from the time at which the VM has applied the index until
//! the time of the request plus [`Terms::validity`], and no other VM's clock is involved.
//!
//! [`Holder`] is the VM's side, [`Rounds`] the leader's, [`Watch`] decides what is reported.

mod holder;
mod rounds;
mod watch;

use std::time;

pub use self::holder::{Holder, ReplyOutcome};
pub use self::rounds::{Answer, Pace, Rounds};
pub use self::watch::{Change, Watch};
use crate::types;

/// Interval at which a VM renews its lease, so that a lease survives a change of leader with several
/// renewals missed.
pub const RENEWAL_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Time after which a request counts as lost while a call waits for its reply: several times a round
/// trip between failure domains (at most 11 ms) and a round of the quorum.
pub const REPLY_TIMEOUT: time::Duration = time::Duration::from_millis(100);

/// Age up to which a confirmation shows that a key does not exist. A key that a configuration adds
/// must be known to all VMs in contact with the voters two seconds after its acknowledgement.
pub const UNKNOWN_KEY_CONFIRMATION: time::Duration = time::Duration::from_secs(2);

/// Part of the permitted time that a lease is shorter. Clocks may differ in rate: disciplined ones by
/// up to 0.1% (500 ppm each), so 5% leave a factor of 50 for those that are not. It also covers the
/// microsecond that is lost by rounding, and the time from the check to the first byte that is
/// sent.
const MARGIN_DIVISOR: u32 = 20;

/// For how long leases hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Time from a request until the lease that it obtains ends.
    pub validity: time::Duration,
}

impl Terms {
    /// Returns the terms under which a key is accepted nowhere later than `revocation` after its
    /// removal was acknowledged.
    pub fn new(revocation: time::Duration) -> Terms {
        let margin = revocation / MARGIN_DIVISOR;
        Terms {
            validity: revocation - margin,
        }
    }
}

/// Request of a VM for a confirmation of its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Number of the request, which no other process uses.
    pub number: u64,
    /// VM that needs the confirmation. Another one may forward the request.
    pub asker: types::VmId,
    /// Whether calls cannot be served until the reply arrives.
    pub urgent: bool,
}

/// Reply of a leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Number of the request.
    pub number: u64,
    /// VM that sent the request.
    pub asker: types::VmId,
    /// Index of the last command that the leader has applied.
    pub applied: types::LogIndex,
}
