//! The gateway's side of a lease.

use std::collections;

use crate::lease::{Config, Grant, Refusal, Renewal};
use crate::time::Instant;
use crate::{directory, types};

/// Renewals without an answer that are remembered; older ones would give no lease any more.
const MAX_OUTSTANDING: usize = 32;

/// State of the gateway that a renewal tells the leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GatewayStatus {
    /// Registry revision that has been applied.
    pub revision: types::Revision,
    /// Directory version that has been applied; zero asks for the full list.
    pub directory: directory::Version,
    /// Digest of the targets that the gateway vouches for.
    pub vouched: directory::Digest,
    /// Number of targets that the gateway vouches for.
    pub vouched_count: u32,
}

/// Holds the lease of one gateway process.
#[derive(Clone, Debug)]
pub struct Holder {
    cfg: Config,
    vm: types::VmId,
    incarnation: types::Incarnation,
    sequence: u64,
    outstanding: collections::VecDeque<(u64, Instant)>,
    until: Option<Instant>,
    next_renewal: Instant,
    released: bool,
}

impl Holder {
    /// Returns a holder without a lease whose first renewal is due at once.
    pub fn new(cfg: Config, vm: types::VmId, incarnation: types::Incarnation) -> Holder {
        Holder {
            cfg,
            vm,
            incarnation,
            sequence: 0,
            outstanding: collections::VecDeque::new(),
            until: None,
            next_renewal: Instant::default(),
            released: false,
        }
    }

    /// Returns whether a renewal must be sent.
    pub fn renewal_due(&self, now: Instant) -> bool {
        !self.released && now >= self.next_renewal
    }

    /// Makes a renewal due at once, such as after a reconnection.
    pub fn renew_now(&mut self, now: Instant) {
        self.next_renewal = self.next_renewal.min(now);
    }

    /// Returns the renewal that is sent at `now`.
    pub fn start_renewal(&mut self, now: Instant, status: &GatewayStatus) -> Renewal {
        self.next_renewal = now + self.cfg.renew_every;
        self.sequence += 1;
        self.outstanding.push_back((self.sequence, now));
        if self.outstanding.len() > MAX_OUTSTANDING {
            self.outstanding.pop_front();
        }
        self.renewal(status, false)
    }

    /// Gives up the lease for good: `serving` is false from here on. The returned renewal tells
    /// the leader and may be repeated by calling this again.
    pub fn release(&mut self, status: &GatewayStatus) -> Renewal {
        self.released = true;
        self.until = None;
        self.outstanding.clear();
        self.sequence += 1;
        self.renewal(status, true)
    }

    fn renewal(&self, status: &GatewayStatus, release: bool) -> Renewal {
        Renewal {
            vm: self.vm,
            incarnation: self.incarnation,
            sequence: self.sequence,
            revision: status.revision,
            directory: status.directory,
            vouched: status.vouched,
            vouched_count: status.vouched_count,
            release,
        }
    }

    /// Takes a grant and returns whether it prolonged the lease. `confirmed` is what
    /// [`directory::View::confirm`] says about the directory version of the grant.
    ///
    /// A lease that has ended is taken up again only with a view that equals the directory:
    /// a gateway that was cut off would otherwise send calls to targets that drain by now. A lease
    /// in use is prolonged unless the view is known to differ; by its end the list has arrived.
    pub fn granted(
        &mut self,
        now: Instant,
        grant: &Grant,
        confirmed: directory::Confirmed,
    ) -> bool {
        let outstanding = &mut self.outstanding;
        let Some(at) = outstanding
            .iter()
            .position(|(seq, _)| *seq == grant.sequence)
        else {
            return false;
        };
        let (_, sent) = outstanding[at];
        outstanding.drain(..=at);
        let usable = match confirmed {
            directory::Confirmed::Same => true,
            directory::Confirmed::Unknown => self.serving(now),
            directory::Confirmed::Differs => false,
        };
        let until = sent + (grant.length - self.cfg.margin(grant.length));
        let prolonged = usable && self.until.is_none_or(|old| old < until);
        if prolonged {
            self.until = Some(until);
        }
        prolonged
    }

    /// Takes a refusal. The lease that is held stays valid until its end.
    pub fn refused(&mut self, now: Instant, refusal: &Refusal) {
        let retry = match refusal {
            Refusal::NotLeader | Refusal::Behind { .. } => self.cfg.retry_after,
            Refusal::NotRegistered | Refusal::Superseded { .. } => self.cfg.renew_every,
            Refusal::Stale => return,
        };
        self.next_renewal = self.next_renewal.min(now + retry);
    }

    /// Returns whether new calls may be served.
    pub fn serving(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns when the lease ends, or ended.
    pub fn until(&self) -> Option<Instant> {
        self.until
    }

    /// Returns when a renewal is due or the lease ends, whichever comes first.
    pub fn next_deadline(&self, now: Instant) -> Option<Instant> {
        if self.released {
            return None;
        }
        let end = self.until.filter(|until| *until > now);
        Some(end.map_or(self.next_renewal, |end| end.min(self.next_renewal)))
    }
}
