//! The leader's side of the leases: decides which renewals are granted and which revisions may
//! still be served, from the renewals of gateways and the accepted configuration changes.

use std::collections;

use crate::lease::{Config, Grant, LeaderStatus, Refusal, Renewal};
use crate::time::Instant;
use crate::types;

/// Largest number of revisions that are tracked during their grace period. Beyond it, the oldest is
/// required early, which at worst refuses a renewal that the gateway repeats 100 ms later.
const MAX_REVISIONS_IN_GRACE: usize = 4096;

/// Status of the lease of one gateway, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderStatus {
    /// VM of the gateway.
    pub vm: types::VmId,
    /// Incarnation that renewed last; `None` when none has sent a renewal to this leader.
    pub incarnation: Option<types::Incarnation>,
    /// Lowest revision that the gateway may still serve; zero when that is unknown.
    pub revision: types::Revision,
    /// When the lease has ended at the latest.
    pub until: Instant,
    /// Whether the lease may still be in use.
    pub active: bool,
    /// Whether the gateway is being removed.
    pub leaving: bool,
    /// Number of times that the lease passed to another incarnation or was granted again after its
    /// end.
    pub transitions: u32,
}

/// Progress of a removal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Removal {
    /// The lease has ended, so the VM may be removed from the registry.
    Ended,
    /// No more leases are granted, and the last one has ended at this time.
    Wait(Instant),
}

/// Lease that an earlier incarnation may still use or an earlier leader may have granted.
#[derive(Clone, Copy, Debug)]
struct PriorLease {
    /// Lowest revision that may be served under the lease.
    revision: types::Revision,
    until: Instant,
}

/// Lease state of one registered gateway.
#[derive(Clone, Debug, Default)]
struct Entry {
    /// Latest incarnation that sent a renewal.
    incarnation: Option<types::Incarnation>,
    /// Sequence of the latest renewal of that incarnation.
    sequence: u64,
    /// Revision that the incarnation has applied.
    revision: types::Revision,
    /// When the lease of the incarnation ends.
    until: Option<Instant>,
    prior: Option<PriorLease>,
    /// Whether the gateway is being removed, so that no more leases are granted.
    leaving: bool,
    transitions: u32,
}

impl Entry {
    /// Returns whether the lease of the current incarnation may still be in use.
    fn active(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns the prior lease if it may still be in use.
    fn prior(&self, now: Instant) -> Option<PriorLease> {
        self.prior.filter(|prior| now < prior.until)
    }

    /// Returns the lowest revision that the gateway may still serve, or `None` when it serves none.
    fn min_revision(&self, now: Instant) -> Option<types::Revision> {
        let own = self.active(now).then_some(self.revision);
        let prior = self.prior(now).map(|prior| prior.revision);
        own.into_iter().chain(prior).min()
    }

    /// Returns when the last lease of the gateway has ended; `None` when it never had one.
    fn latest_end(&self) -> Option<Instant> {
        self.until.max(self.prior.map(|prior| prior.until))
    }

    /// Makes the lease of the current incarnation a prior lease, merged with an earlier one.
    fn move_to_prior(&mut self, now: Instant) {
        let own = self.until.filter(|until| now < *until);
        let own = own.map(|until| PriorLease {
            revision: self.revision,
            until,
        });
        let old = self.prior(now);
        self.prior = match (own, old) {
            (Some(own), Some(old)) => Some(PriorLease {
                revision: own.revision.min(old.revision),
                until: own.until.max(old.until),
            }),
            (own, old) => own.or(old),
        };
        self.until = None;
    }
}

/// Grants leases while this VM leads group 0.
#[derive(Clone, Debug)]
pub struct Grantor {
    cfg: Config,
    /// When all leases of earlier leaders have ended.
    prior_leases_until: Instant,
    /// Latest accepted revision.
    revision: types::Revision,
    /// Lowest revision with which a renewal is granted.
    required_revision: types::Revision,
    /// Revisions that become required at the end of their grace period, with the time at which each
    /// was accepted.
    revisions_in_grace: collections::VecDeque<(Instant, types::Revision)>,
    entries: collections::BTreeMap<types::VmId, Entry>,
}

impl Grantor {
    /// Returns a grantor that starts at `now`, when this VM has become leader and has applied all
    /// entries of earlier terms. Each gateway may hold a lease of an earlier leader for one full
    /// length.
    pub fn new(
        cfg: Config,
        now: Instant,
        revision: types::Revision,
        gateways: impl IntoIterator<Item = types::VmId>,
    ) -> Grantor {
        let prior_leases_until = now + cfg.granted_length();
        let mut grantor = Grantor {
            cfg,
            prior_leases_until,
            revision,
            // The earlier leader may have reported any change up to this revision as in force.
            required_revision: revision,
            revisions_in_grace: collections::VecDeque::new(),
            entries: collections::BTreeMap::new(),
        };
        for vm in gateways {
            grantor.add(vm);
        }
        grantor
    }

    /// Adds a registered gateway. An earlier leader may have registered it and granted it a lease,
    /// so it is treated like the gateways that were registered at the start.
    pub fn add(&mut self, vm: types::VmId) {
        let earlier = PriorLease {
            revision: types::Revision::default(),
            until: self.prior_leases_until,
        };
        let entry = self.entries.entry(vm).or_insert_with(|| Entry {
            prior: Some(earlier),
            ..Entry::default()
        });
        entry.leaving = false;
    }

    /// Records that the configuration change with `revision` was accepted at `now`.
    pub fn record_change(&mut self, now: Instant, revision: types::Revision) {
        self.revision = revision;
        self.revisions_in_grace.push_back((now, revision));
        if self.revisions_in_grace.len() > MAX_REVISIONS_IN_GRACE
            && let Some((_, oldest)) = self.revisions_in_grace.pop_front()
        {
            self.required_revision = oldest;
        }
    }

    /// Grants or refuses a renewal. `leader_lease_until` is the end of this VM's own leader lease,
    /// after which another leader may have been elected.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] with the reason why no lease is granted.
    pub fn renew(
        &mut self,
        now: Instant,
        leader_lease_until: Option<Instant>,
        current: &LeaderStatus,
        renewal: &Renewal,
    ) -> Result<Grant, Refusal> {
        if leader_lease_until.is_none_or(|until| now >= until) {
            return Err(Refusal::NotLeader);
        }
        self.end_elapsed_grace(now);
        // A change that is in force stays in force: no lease is granted with an older revision.
        self.required_revision = self.required_revision.max(self.in_force(now));
        let (length, granted) = (self.cfg.length, self.cfg.granted_length());
        let entry = self
            .entries
            .get_mut(&renewal.vm)
            .ok_or(Refusal::NotRegistered)?;
        record_renewal(entry, now, renewal)?;
        if renewal.release {
            entry.until = None;
        } else if entry.leaving {
            return Err(Refusal::NotRegistered);
        } else if renewal.revision < self.required_revision {
            return Err(Refusal::Behind {
                revision: self.required_revision,
            });
        } else {
            if !entry.active(now) {
                entry.transitions += 1;
            }
            entry.until = entry.until.max(Some(now + granted));
        }
        Ok(Grant {
            sequence: renewal.sequence,
            length,
            transitions: entry.transitions,
            current: *current,
        })
    }

    /// Makes those revisions required whose grace period has ended.
    fn end_elapsed_grace(&mut self, now: Instant) {
        while let Some((at, revision)) = self.revisions_in_grace.front().copied() {
            if now < at + self.cfg.behind_grace {
                break;
            }
            self.required_revision = revision;
            self.revisions_in_grace.pop_front();
        }
    }

    /// Returns the revision in force, the lowest one that any gateway may still serve. It is zero
    /// while that is unknown.
    pub fn in_force(&self, now: Instant) -> types::Revision {
        let lowest = self
            .entries
            .values()
            .filter_map(|entry| entry.min_revision(now))
            .min();
        lowest.map_or(self.revision, |lowest| lowest.min(self.revision))
    }

    /// Returns the gateways that may still serve a revision before `revision`.
    pub fn vms_behind(&self, now: Instant, revision: types::Revision) -> Vec<types::VmId> {
        let behind = |entry: &Entry| entry.min_revision(now).is_some_and(|min| min < revision);
        let entries = self.entries.iter().filter(|(_, entry)| behind(entry));
        entries.map(|(vm, _)| *vm).collect()
    }

    /// Returns the status of the lease of each registered gateway.
    pub fn holders(&self, now: Instant) -> Vec<HolderStatus> {
        let status = |(vm, entry): (&types::VmId, &Entry)| HolderStatus {
            vm: *vm,
            incarnation: entry.incarnation,
            revision: entry.min_revision(now).unwrap_or(entry.revision),
            until: entry.latest_end().unwrap_or_default(),
            active: entry.min_revision(now).is_some(),
            leaving: entry.leaving,
            transitions: entry.transitions,
        };
        self.entries.iter().map(status).collect()
    }

    /// Stops granting leases to a gateway and returns when its last one has ended. The VM may be
    /// removed from the registry only after that; the caller calls this again at that time.
    pub fn remove(&mut self, now: Instant, vm: types::VmId) -> Removal {
        let Some(entry) = self.entries.get_mut(&vm) else {
            return Removal::Ended;
        };
        entry.leaving = true;
        match entry.latest_end().filter(|until| now < *until) {
            Some(until) => Removal::Wait(until),
            None => {
                self.entries.remove(&vm);
                Removal::Ended
            }
        }
    }

    /// Returns when the next lease ends, after which a change may be in force.
    pub fn next_deadline(&self, now: Instant) -> Option<Instant> {
        let ends = |entry: &Entry| {
            let prior = entry.prior.map(|prior| prior.until);
            entry
                .until
                .into_iter()
                .chain(prior)
                .filter(|until| *until > now)
                .min()
        };
        self.entries.values().filter_map(ends).min()
    }
}

/// Records the incarnation and the revision of a renewal, also when no lease is granted for it.
fn record_renewal(entry: &mut Entry, now: Instant, renewal: &Renewal) -> Result<(), Refusal> {
    match entry.incarnation {
        Some(incarnation) if renewal.incarnation < incarnation => {
            return Err(Refusal::Superseded { incarnation });
        }
        Some(incarnation) if renewal.incarnation == incarnation => {
            if renewal.sequence <= entry.sequence {
                return Err(Refusal::Stale);
            }
        }
        _ => {
            // The previous process may still run without contact to this leader until its lease
            // ends.
            entry.move_to_prior(now);
            entry.incarnation = Some(renewal.incarnation);
            entry.revision = types::Revision::default();
        }
    }
    entry.sequence = renewal.sequence;
    entry.revision = entry.revision.max(renewal.revision);
    Ok(())
}
