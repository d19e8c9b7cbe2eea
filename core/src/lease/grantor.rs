//! The leader's side of the leases.

use std::collections;

use crate::lease::{Config, Grant, LeaderStatus, Refusal, Renewal};
use crate::time::Instant;
use crate::types;

/// Changes within the grace that are remembered one by one; beyond that the oldest is enforced
/// early, which at worst refuses a renewal that is repeated 100 ms later.
const MAX_RECENT: usize = 4096;

/// Lease of one gateway as an operator sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderStatus {
    /// The gateway.
    pub vm: types::VmId,
    /// Incarnation that renewed last; `None` when none renewed at this leader.
    pub incarnation: Option<types::Incarnation>,
    /// Lowest revision that the gateway may still serve; zero when it is unknown.
    pub revision: types::Revision,
    /// When the lease has surely ended.
    pub until: Instant,
    /// Whether the lease may still be in use.
    pub active: bool,
    /// Whether the gateway is being removed.
    pub leaving: bool,
    /// How often the lease has passed to another incarnation or been taken up again.
    pub transitions: u32,
}

/// Progress of a removal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Removal {
    /// The lease has surely ended; the VM may be removed from the registry.
    Ended,
    /// No more leases are granted; the last one has surely ended at this time.
    Wait(Instant),
}

/// Lease that an earlier incarnation or an earlier leader may have left behind.
#[derive(Clone, Copy, Debug)]
struct Residue {
    revision: types::Revision,
    until: Instant,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    incarnation: Option<types::Incarnation>,
    sequence: u64,
    revision: types::Revision,
    until: Option<Instant>,
    residue: Option<Residue>,
    leaving: bool,
    transitions: u32,
}

impl Entry {
    fn active(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    fn residue(&self, now: Instant) -> Option<Residue> {
        self.residue.filter(|residue| now < residue.until)
    }

    /// Lowest revision that may still be served, or `None` when nothing is.
    fn lowest(&self, now: Instant) -> Option<types::Revision> {
        let own = self.active(now).then_some(self.revision);
        let residue = self.residue(now).map(|residue| residue.revision);
        own.into_iter().chain(residue).min()
    }

    fn surely_ended(&self) -> Option<Instant> {
        self.until.max(self.residue.map(|residue| residue.until))
    }

    /// Makes the lease of the present incarnation one that was left behind.
    fn leave_behind(&mut self, now: Instant) {
        let own = self.until.filter(|until| now < *until);
        let own = own.map(|until| Residue {
            revision: self.revision,
            until,
        });
        let old = self.residue(now);
        self.residue = match (own, old) {
            (Some(own), Some(old)) => Some(Residue {
                revision: own.revision.min(old.revision),
                until: own.until.max(old.until),
            }),
            (own, old) => own.or(old),
        };
        self.until = None;
    }
}

/// Grants the leases while this VM leads group 0.
#[derive(Clone, Debug)]
pub struct Grantor {
    cfg: Config,
    /// Until when leases of an earlier leader may be in use.
    unknown_until: Instant,
    revision: types::Revision,
    /// Revision that a renewal must have reached.
    required: types::Revision,
    /// Revisions that become required when their grace has passed.
    recent: collections::VecDeque<(Instant, types::Revision)>,
    entries: collections::BTreeMap<types::VmId, Entry>,
}

impl Grantor {
    /// Starts granting at `now`, when this VM has become leader and has applied all entries of
    /// earlier terms. Each gateway may hold a lease of the earlier leader for one full length.
    pub fn new(
        cfg: Config,
        now: Instant,
        revision: types::Revision,
        gateways: impl IntoIterator<Item = types::VmId>,
    ) -> Grantor {
        let unknown_until = now + cfg.granted_length();
        let mut grantor = Grantor {
            cfg,
            unknown_until,
            revision,
            // The earlier leader may have reported any change up to this revision as in force.
            required: revision,
            recent: collections::VecDeque::new(),
            entries: collections::BTreeMap::new(),
        };
        for vm in gateways {
            grantor.add(vm);
        }
        grantor
    }

    /// Adds a registered gateway. An earlier leader may have registered and served it, so it
    /// counts like the gateways that were known at the start.
    pub fn add(&mut self, vm: types::VmId) {
        let unknown = Residue {
            revision: types::Revision::default(),
            until: self.unknown_until,
        };
        let entry = self.entries.entry(vm).or_insert_with(|| Entry {
            residue: Some(unknown),
            ..Entry::default()
        });
        entry.leaving = false;
    }

    /// Notes that a change was accepted.
    pub fn record_accepted_change(&mut self, now: Instant, revision: types::Revision) {
        self.revision = revision;
        self.recent.push_back((now, revision));
        if self.recent.len() > MAX_RECENT
            && let Some((_, oldest)) = self.recent.pop_front()
        {
            self.required = oldest;
        }
    }

    /// Answers a renewal. `leader_lease_until` is the end of this VM's own leader lease: past it,
    /// another leader may have been elected.
    ///
    /// # Errors
    ///
    /// Returns why no lease is granted.
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
        self.enforce(now);
        // A change once in force stays so: no lease is granted under an older revision.
        self.required = self.required.max(self.in_force(now));
        let (length, granted) = (self.cfg.length, self.cfg.granted_length());
        let entry = self
            .entries
            .get_mut(&renewal.vm)
            .ok_or(Refusal::NotRegistered)?;
        note(entry, now, renewal)?;
        if renewal.release {
            entry.until = None;
        } else if entry.leaving {
            return Err(Refusal::NotRegistered);
        } else if renewal.revision < self.required {
            return Err(Refusal::Behind {
                revision: self.required,
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

    /// Makes revisions required whose grace has passed.
    fn enforce(&mut self, now: Instant) {
        while let Some((at, revision)) = self.recent.front().copied() {
            if now < at + self.cfg.behind_grace {
                break;
            }
            self.required = revision;
            self.recent.pop_front();
        }
    }

    /// Returns the lowest revision that any gateway may still serve; zero while that is unknown.
    pub fn in_force(&self, now: Instant) -> types::Revision {
        let lowest = self
            .entries
            .values()
            .filter_map(|entry| entry.lowest(now))
            .min();
        lowest.map_or(self.revision, |lowest| lowest.min(self.revision))
    }

    /// Returns the gateways that may still serve a revision before `revision`.
    pub fn gateways_behind(&self, now: Instant, revision: types::Revision) -> Vec<types::VmId> {
        let behind = |entry: &Entry| entry.lowest(now).is_some_and(|lowest| lowest < revision);
        let entries = self.entries.iter().filter(|(_, entry)| behind(entry));
        entries.map(|(vm, _)| *vm).collect()
    }

    /// Returns the lease of each registered gateway.
    pub fn holders(&self, now: Instant) -> Vec<HolderStatus> {
        let status = |(vm, entry): (&types::VmId, &Entry)| HolderStatus {
            vm: *vm,
            incarnation: entry.incarnation,
            revision: entry.lowest(now).unwrap_or(entry.revision),
            until: entry.surely_ended().unwrap_or_default(),
            active: entry.lowest(now).is_some(),
            leaving: entry.leaving,
            transitions: entry.transitions,
        };
        self.entries.iter().map(status).collect()
    }

    /// Stops granting leases to a gateway and returns when its last one has surely ended. Only
    /// then may the VM be removed from the registry; call this again at that time.
    pub fn remove(&mut self, now: Instant, vm: types::VmId) -> Removal {
        let Some(entry) = self.entries.get_mut(&vm) else {
            return Removal::Ended;
        };
        entry.leaving = true;
        match entry.surely_ended().filter(|until| now < *until) {
            Some(until) => Removal::Wait(until),
            None => {
                self.entries.remove(&vm);
                Removal::Ended
            }
        }
    }

    /// Returns when the next lease ends, which may bring a change into force.
    pub fn next_deadline(&self, now: Instant) -> Option<Instant> {
        let ends = |entry: &Entry| {
            let residue = entry.residue.map(|residue| residue.until);
            entry
                .until
                .into_iter()
                .chain(residue)
                .filter(|until| *until > now)
                .min()
        };
        self.entries.values().filter_map(ends).min()
    }
}

/// Notes who renewed and what it has applied, which also holds when no lease is granted.
fn note(entry: &mut Entry, now: Instant, renewal: &Renewal) -> Result<(), Refusal> {
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
            // The process before may still run, cut off from here, until its lease ends.
            entry.leave_behind(now);
            entry.incarnation = Some(renewal.incarnation);
            entry.revision = types::Revision::default();
        }
    }
    entry.sequence = renewal.sequence;
    entry.revision = entry.revision.max(renewal.revision);
    Ok(())
}
