//! Limits the calls to cold targets over all VMs together.
//!
//! Load pattern: a target that has just started, or has lost its caches, tolerates only a few calls a
//! second for some seconds, and it is idle. Each of many VMs with a few calls a second would take it
//! for the best target at the same time. A whole failure domain of such targets may come back at once.
//!
//! Only the VM that a cold target announces itself to sends calls to it, its *holder*. The holder has
//! a token bucket for the target; other VMs send only with a token that the holder has lent. A VM that
//! gets no further announcement stops being the holder by its own clock, so that VMs without contact
//! to each other keep the bound. The service's rate and the tolerated overage and slack give the size
//! of the bucket ([`Rate`]).
//!
//! A VM knows that a target is cold from its announcements, its health responses, and the reports of
//! other VMs. Only news from the target itself ends that state early.

mod rate;

use std::{collections, time};

pub use self::rate::{LENT_TOKEN_VALIDITY, Rate};
use crate::{fleet, time as core_time, types};

/// Time beyond the interval between announcements for which the VM that got the last one stays the
/// holder, and for which a target counts as cold after the evacuation of its failure domain.
const ANNOUNCEMENT_GRACE: time::Duration = time::Duration::from_secs(1);

/// Time without a call after which a cold target is preferred.
const STARVED_AFTER: time::Duration = time::Duration::from_secs(1);

/// The same for calls that may run only once, which would rather go to a warm target. Half of the four
/// seconds within which a cold target is to get work: a service may have no other calls.
const NEGLECTED_AFTER: time::Duration = time::Duration::from_secs(2);

/// Pause between two requests of a VM for a token of the same target.
const REQUEST_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Share of the calls that may request a token through a third VM, from a holder that their VM is not
/// connected to. With many VMs, few calls arrive at those that are connected to a holder without a
/// disk; a fifth of all others is more, and the VMs with disks pass on no more requests than needed.
pub const INDIRECT_SHARE: f64 = 0.2;

/// Difference of the end of the cold state from which other VMs are told. Announcements state the
/// remaining time, which is rounded and delayed.
const MIN_REPORTED_CHANGE: time::Duration = time::Duration::from_millis(500);

/// That a target is cold, or is not although it was assumed, for all VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The incarnation of the target.
    pub incarnation: fleet::TargetIncarnation,
    /// Remaining time of the cold state.
    pub left: time::Duration,
    /// VM that the target announces itself to, if known.
    pub holder: Option<types::VmId>,
}

#[derive(Clone, Debug)]
struct Target {
    service: types::ServiceName,
    failure_domain: types::FailureDomain,
    born: core_time::UnixMillis,
    cold_until: core_time::Instant,
    /// Since when this VM has known the target as cold, the last time that it was.
    cold_since: core_time::Instant,
    /// End of the cold state that was reported to all VMs.
    reported_until: core_time::Instant,
    /// End of the time for which the target counts as cold after an evacuation.
    assumed_until: core_time::Instant,
    /// Last announcement to this VM.
    announced_here_at: Option<core_time::Instant>,
    /// VM that the target announces itself to, as last reported to all VMs.
    holder: Option<types::VmId>,
    bucket: rate::Bucket,
    /// Last call for which this VM has used or lent a token.
    sent_at: Option<core_time::Instant>,
    /// Last request of this VM for a token.
    requested_at: Option<core_time::Instant>,
}

impl Target {
    fn new(announcement: &fleet::Announcement) -> Target {
        Target {
            service: announcement.service.clone(),
            failure_domain: announcement.failure_domain.clone(),
            born: announcement.born,
            cold_until: core_time::Instant(0),
            cold_since: core_time::Instant(0),
            reported_until: core_time::Instant(0),
            assumed_until: core_time::Instant(0),
            announced_here_at: None,
            holder: None,
            bucket: rate::Bucket::default(),
            sent_at: None,
            requested_at: None,
        }
    }

    fn is_cold(&self, now: core_time::Instant) -> bool {
        now < self.cold_until.max(self.assumed_until)
    }

    /// Records the start of the cold state if the target will be cold until `until` and is not yet.
    fn note_cold(&mut self, now: core_time::Instant, until: core_time::Instant) {
        if until > now && !self.is_cold(now) {
            self.cold_since = now;
        }
    }

    /// Returns since when the target has waited for a call with a token of this VM.
    fn waits_since(&self) -> core_time::Instant {
        self.sent_at.unwrap_or_default().max(self.cold_since)
    }

    /// Records what the target itself says about its state; returns whether it ends an assumption.
    fn set_left(&mut self, now: core_time::Instant, left: time::Duration) -> bool {
        self.note_cold(now, now + left);
        self.cold_until = now + left;
        let assumed_until = std::mem::take(&mut self.assumed_until);
        now < assumed_until
    }
}

/// What one VM knows of cold targets. Targets of services without a rate are never cold. The default
/// holds none.
#[derive(Clone, Debug, Default)]
pub struct ColdTargets {
    own: types::VmId,
    /// Time for which an announcement makes this VM the holder.
    holding_time: time::Duration,
    rates: collections::BTreeMap<types::ServiceName, Rate>,
    targets: collections::BTreeMap<types::TargetId, Target>,
    /// Time from which no target is cold, unless there is news. While all are warm, calls need not
    /// look at each.
    any_cold_until: core_time::Instant,
}

impl ColdTargets {
    /// Creates the state of a VM without targets. Targets announce themselves at `announce_interval`.
    pub fn new(own: types::VmId, announce_interval: time::Duration) -> ColdTargets {
        ColdTargets {
            own,
            holding_time: announce_interval + ANNOUNCEMENT_GRACE,
            rates: collections::BTreeMap::new(),
            targets: collections::BTreeMap::new(),
            any_cold_until: core_time::Instant(0),
        }
    }

    /// Sets the services whose cold targets are limited.
    pub fn set_rates(&mut self, rates: collections::BTreeMap<types::ServiceName, Rate>) {
        self.rates = rates;
    }

    /// Handles an announcement that was forwarded by another VM or stored. It was sent before any
    /// news that this VM has from the target itself, so it never ends the cold state.
    pub fn learned(&mut self, now: core_time::Instant, announcement: &fleet::Announcement) {
        let until = now + announcement.warmup_left;
        let target = self.entry(announcement);
        target.note_cold(now, until);
        target.cold_until = target.cold_until.max(until);
        self.any_cold_until = self.any_cold_until.max(until);
    }

    /// Handles an announcement to this VM; returns a report for all VMs if they do not know that the
    /// target is cold or where it announces itself, or if they assume that it is cold.
    pub fn announced(
        &mut self,
        now: core_time::Instant,
        announcement: &fleet::Announcement,
    ) -> Option<Report> {
        let own = self.own;
        let target = self.entry(announcement);
        target.announced_here_at = Some(now);
        let was_assumed = target.set_left(now, announcement.warmup_left);
        let until = target.cold_until;
        let has_moved = target.holder != Some(own);
        self.any_cold_until = self.any_cold_until.max(until);
        self.report(now, &announcement.target, has_moved, was_assumed)
    }

    /// Handles a health response; returns a report for all VMs if they do not know that the target is
    /// cold, or if they assume it.
    pub fn health(
        &mut self,
        now: core_time::Instant,
        id: &types::TargetId,
        left: time::Duration,
    ) -> Option<Report> {
        let was_assumed = self.targets.get_mut(id)?.set_left(now, left);
        self.any_cold_until = self.any_cold_until.max(now + left);
        self.report(now, id, false, was_assumed)
    }

    /// Handles the report of another VM; returns whether it contains news.
    pub fn reported(&mut self, now: core_time::Instant, report: &Report) -> bool {
        let own = self.own;
        let Some(target) = self.targets.get_mut(&report.incarnation.target) else {
            return false;
        };
        if target.born != report.incarnation.born {
            return false;
        }
        let until = now + report.left;
        let is_longer =
            !report.left.is_zero() && until > target.reported_until + MIN_REPORTED_CHANGE;
        target.note_cold(now, until);
        target.cold_until = target.cold_until.max(until);
        target.reported_until = target.reported_until.max(until);
        self.any_cold_until = self.any_cold_until.max(until);
        let has_moved = report.holder.is_some() && target.holder != report.holder;
        if has_moved {
            target.holder = report.holder;
            if report.holder != Some(own) {
                target.announced_here_at = None;
            }
        }
        // After an evacuation, the target may say at any VM that it is warm.
        let ends_assumption = report.left.is_zero() && now < target.assumed_until;
        if ends_assumption {
            target.assumed_until = core_time::Instant(0);
        }
        is_longer || has_moved || ends_assumption
    }

    /// Treats the targets of a failure domain as cold until they say otherwise, because its
    /// evacuation has ended; returns their number.
    pub fn assume_cold(&mut self, now: core_time::Instant, domain: &types::FailureDomain) -> usize {
        let until = now + self.holding_time;
        self.any_cold_until = self.any_cold_until.max(until);
        let rates = &self.rates;
        let targets = self.targets.values_mut();
        let targets = targets.filter(|target| target.failure_domain == *domain);
        let limited = targets.filter(|target| rates.contains_key(&target.service));
        limited
            .map(|target| {
                target.note_cold(now, until);
                target.assumed_until = target.assumed_until.max(until);
            })
            .count()
    }

    /// Forgets a target.
    pub fn remove(&mut self, id: &types::TargetId) {
        self.targets.remove(id);
    }

    /// Returns the remaining time of the cold state as the target has stated it.
    pub fn left(&self, now: core_time::Instant, id: &types::TargetId) -> time::Duration {
        let target = self.targets.get(id);
        target.map_or(time::Duration::ZERO, |target| target.cold_until.since(now))
    }

    /// Returns whether the calls to cold targets of a service are limited.
    pub fn limits(&self, service: &types::ServiceName) -> bool {
        self.rates.contains_key(service)
    }

    /// Returns whether a target is cold and its calls are limited.
    pub fn is_cold(&self, now: core_time::Instant, id: &types::TargetId) -> bool {
        if now >= self.any_cold_until {
            return false;
        }
        let target = self.targets.get(id);
        target.is_some_and(|target| target.is_cold(now) && self.rates.contains_key(&target.service))
    }

    /// Returns whether this VM may send a call to a target now.
    pub fn may_send(&self, now: core_time::Instant, id: &types::TargetId) -> bool {
        !self.is_cold(now, id) || self.has_token(now, id)
    }

    /// Takes a token for a call to a target, if it is cold; returns whether the call may be sent.
    pub fn take(&mut self, now: core_time::Instant, id: &types::TargetId) -> bool {
        if !self.is_cold(now, id) {
            return true;
        }
        if !self.is_holder(now, id) {
            return false;
        }
        let Some(target) = self.targets.get_mut(id) else {
            return false;
        };
        let Some(rate) = self.rates.get(&target.service) else {
            return true;
        };
        let taken = target.bucket.take(now, *rate);
        if taken {
            target.sent_at = Some(now);
        }
        taken
    }

    /// Lends a token for a call of another VM; returns whether there was one. A target that is no
    /// longer cold here has none: it may have become cold again elsewhere.
    pub fn lend(&mut self, now: core_time::Instant, id: &types::TargetId) -> bool {
        self.is_cold(now, id) && self.take(now, id)
    }

    /// Returns the cold targets of a service that this VM holds and that have had no call with its
    /// tokens for a second or ever, longest without a call first. For a call that is not `repeatable`,
    /// those that have had none for two seconds.
    pub fn starved(
        &self,
        now: core_time::Instant,
        service: &types::ServiceName,
        repeatable: bool,
    ) -> Vec<&types::TargetId> {
        let starved = self.cold_targets(now, service).filter(|(id, target)| {
            let due = |at: core_time::Instant| now.since(at) >= STARVED_AFTER;
            let is_due = match repeatable {
                true => target.sent_at.is_none_or(due),
                false => now.since(target.waits_since()) >= NEGLECTED_AFTER,
            };
            is_due && self.has_token(now, id)
        });
        let mut starved: Vec<_> = starved.collect();
        starved.sort_by_key(|(_, target)| target.sent_at);
        starved.into_iter().map(|(id, _)| id).collect()
    }

    /// Returns a cold target of a service that another VM holds, and that VM, if a token may be
    /// requested now. It counts as requested. With `urgent`, earlier requests do not matter.
    pub fn next_lender(
        &mut self,
        now: core_time::Instant,
        service: &types::ServiceName,
        urgent: bool,
        is_eligible: impl Fn(&types::TargetId, &types::FailureDomain, types::VmId) -> bool,
    ) -> Option<(types::TargetId, types::VmId)> {
        let due = |at: core_time::Instant| now.since(at) >= REQUEST_INTERVAL;
        let held_elsewhere = self.cold_targets(now, service).filter_map(|(id, target)| {
            let holder = target.holder.filter(|holder| *holder != self.own)?;
            let has_tokens = self.rates.get(service).is_some_and(Rate::gives_tokens);
            let may_request = urgent || target.requested_at.is_none_or(due);
            (has_tokens && may_request && is_eligible(id, &target.failure_domain, holder))
                .then_some((id, target.requested_at, holder))
        });
        let mut candidates: Vec<_> = held_elsewhere.collect();
        // VMs with few calls request one token each; without the rotation, all for the same target.
        let first = self.own.0 as usize % candidates.len().max(1);
        candidates.rotate_left(first);
        let candidates = candidates.into_iter();
        let (id, _, holder) = candidates.min_by_key(|(_, requested_at, _)| *requested_at)?;
        let id = id.clone();
        self.targets.get_mut(&id)?.requested_at = Some(now);
        Some((id, holder))
    }

    /// Returns whether a service has cold targets.
    pub fn has_cold(&self, now: core_time::Instant, service: &types::ServiceName) -> bool {
        self.cold_targets(now, service).next().is_some()
    }

    /// Returns the cold targets of a service that this VM holds and that may get a call by `until`,
    /// because there is a token by then or the cold state ends, with their failure domains.
    pub fn held_until(
        &self,
        now: core_time::Instant,
        service: &types::ServiceName,
        until: core_time::Instant,
    ) -> impl Iterator<Item = (&types::TargetId, &types::FailureDomain)> {
        let cold = self.cold_targets(now, service);
        let rate = self.rates.get(service);
        let held = cold.filter(move |(id, target)| {
            let wait = rate.and_then(|rate| target.bucket.time_to_token(now, *rate));
            let in_time = wait.is_some_and(|wait| now + wait <= until) || !target.is_cold(until);
            in_time && self.is_holder(now, id)
        });
        held.map(|(id, target)| (id, &target.failure_domain))
    }

    /// Returns the numbers of cold targets that this VM knows and holds.
    pub fn counts(&self, now: core_time::Instant) -> (usize, usize) {
        let known = self.targets.keys().filter(|id| self.is_cold(now, id));
        let held = known.clone().filter(|id| self.is_holder(now, id));
        (known.count(), held.count())
    }

    /// Returns what this VM knows of all cold targets, for a VM that may have missed reports.
    pub fn reports(&self, now: core_time::Instant) -> Vec<Report> {
        let cold = self.targets.iter().filter(|(id, target)| {
            self.rates.contains_key(&target.service) && !self.left(now, id).is_zero()
        });
        cold.map(|(id, target)| report_of(now, id, target))
            .collect()
    }

    /// Returns the same for the targets that announce themselves to this VM, for a new leader.
    pub fn held_reports(&self, now: core_time::Instant) -> Vec<Report> {
        let mut reports = self.reports(now);
        reports.retain(|report| report.holder == Some(self.own));
        reports
    }

    fn cold_targets(
        &self,
        now: core_time::Instant,
        service: &types::ServiceName,
    ) -> impl Iterator<Item = (&types::TargetId, &Target)> {
        let is_limited = now < self.any_cold_until && self.rates.contains_key(service);
        let targets = is_limited.then(|| self.targets.iter());
        let targets = targets.into_iter().flatten();
        targets.filter(move |(_, target)| target.service == *service && target.is_cold(now))
    }

    pub(crate) fn is_holder(&self, now: core_time::Instant, id: &types::TargetId) -> bool {
        let target = self.targets.get(id);
        let announced_at = target.and_then(|target| target.announced_here_at);
        announced_at.is_some_and(|at| now.since(at) < self.holding_time)
    }

    fn has_token(&self, now: core_time::Instant, id: &types::TargetId) -> bool {
        let Some(target) = self.targets.get(id) else {
            return false;
        };
        let rate = self.rates.get(&target.service);
        let has_token = rate.is_none_or(|rate| target.bucket.has_token(now, *rate));
        has_token && self.is_holder(now, id)
    }

    /// Returns the entry of a target; a new incarnation starts without history.
    fn entry(&mut self, announcement: &fleet::Announcement) -> &mut Target {
        let new = || Target::new(announcement);
        let target = self.targets.entry(announcement.target.clone());
        let target = target.or_insert_with(new);
        if target.born != announcement.born || target.service != announcement.service {
            *target = new();
        }
        target
    }

    fn report(
        &mut self,
        now: core_time::Instant,
        id: &types::TargetId,
        has_moved: bool,
        was_assumed: bool,
    ) -> Option<Report> {
        let holds = self.is_holder(now, id);
        let target = self.targets.get_mut(id)?;
        let is_cold = target.cold_until > now;
        let is_longer = target.cold_until > target.reported_until + MIN_REPORTED_CHANGE;
        let has_news = is_cold && (is_longer || has_moved) || !is_cold && was_assumed;
        if !has_news || !self.rates.contains_key(&target.service) {
            return None;
        }
        target.reported_until = target.cold_until;
        if holds {
            target.holder = Some(self.own);
        }
        Some(report_of(now, id, target))
    }
}

fn report_of(now: core_time::Instant, id: &types::TargetId, target: &Target) -> Report {
    Report {
        incarnation: fleet::TargetIncarnation {
            target: id.clone(),
            born: target.born,
        },
        left: target.cold_until.since(now),
        holder: target.holder,
    }
}
