//! The gateway's side of a lease: decides when to renew it and whether calls may be served, from
//! the grants and refusals of the leader.

use std::collections;

use crate::lease::{Config, Grant, Refusal, Renewal};
use crate::time::Instant;
use crate::{directory, types};

/// Largest number of renewals without a reply that are tracked. A grant for an older one would give
/// a lease that has already ended.
const MAX_OUTSTANDING: usize = 32;

/// State of the gateway that a renewal reports to the leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GatewayStatus {
    /// Registry revision that has been applied.
    pub revision: types::Revision,
    /// Directory version that has been applied; zero requests the full list.
    pub directory: directory::Version,
    /// Digest of the targets that are registered at the gateway.
    pub registered_targets_digest: directory::Digest,
    /// Number of targets that are registered at the gateway.
    pub registered_targets_count: u32,
}

/// Lease of one gateway process.
#[derive(Clone, Debug)]
pub struct Holder {
    cfg: Config,
    vm: types::VmId,
    incarnation: types::Incarnation,
    /// Sequence of the latest renewal.
    sequence: u64,
    /// Sequence and send time of each renewal without a reply.
    outstanding: collections::VecDeque<(u64, Instant)>,
    /// When the lease ends, or ended.
    until: Option<Instant>,
    /// When the next renewal is due.
    next_renewal: Instant,
    /// Whether the lease was released for good.
    released: bool,
}

impl Holder {
    /// Returns a holder without a lease whose first renewal is due immediately.
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

    /// Makes a renewal due immediately, for example after a reconnection.
    pub fn renew_now(&mut self, now: Instant) {
        self.next_renewal = self.next_renewal.min(now);
    }

    /// Returns the next renewal, which the caller sends at `now`.
    pub fn start_renewal(&mut self, now: Instant, status: &GatewayStatus) -> Renewal {
        self.next_renewal = now + self.cfg.renew_every;
        self.sequence += 1;
        self.outstanding.push_back((self.sequence, now));
        if self.outstanding.len() > MAX_OUTSTANDING {
            self.outstanding.pop_front();
        }
        self.renewal(status, false)
    }

    /// Releases the lease for good, after which [`Holder::serving`] returns false. The returned
    /// renewal reports the release to the leader; calling this again returns another one to repeat
    /// it.
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
            registered_targets_digest: status.registered_targets_digest,
            registered_targets_count: status.registered_targets_count,
            release,
        }
    }

    /// Handles a grant and returns whether it extended the lease. `confirmed` is the result of
    /// [`directory::View::compare`] for the directory version of the grant.
    ///
    /// A lease that has ended is resumed only with a view that equals the directory. Otherwise a
    /// gateway that was disconnected would send calls to targets that have started to drain.
    /// A lease in use is extended unless the view is known to differ; the list arrives before its
    /// end.
    pub fn granted(
        &mut self,
        now: Instant,
        grant: &Grant,
        confirmed: directory::ViewComparison,
    ) -> bool {
        let outstanding = &mut self.outstanding;
        let Some(at) = outstanding
            .iter()
            .position(|(seq, _)| *seq == grant.sequence)
        else {
            return false;
        };
        let (_, sent_at) = outstanding[at];
        outstanding.drain(..=at);
        let usable = match confirmed {
            directory::ViewComparison::Same => true,
            directory::ViewComparison::Unknown => self.serving(now),
            directory::ViewComparison::Differs => false,
        };
        let until = sent_at + (grant.length - self.cfg.margin(grant.length));
        let extended = usable && self.until.is_none_or(|old| old < until);
        if extended {
            self.until = Some(until);
        }
        extended
    }

    /// Handles a refusal. The current lease remains valid until its end.
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
