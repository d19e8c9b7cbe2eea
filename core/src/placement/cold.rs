//! Cold targets as candidates for calls: those that are due for a call although they are slower, and
//! those for which another VM lends a token.

use super::{Choice, Demand, Placement, room::MAX_REPORT_AGE};
use crate::{time as core_time, types};

impl Placement {
    /// Returns a cold target that this VM holds and that has had no call for some time, if it is
    /// expected to answer before `deadline`. Calls that are not `repeatable` are preferred for it only
    /// later.
    pub fn starved_choice(
        &self,
        now: core_time::Instant,
        demand: &Demand<'_>,
        deadline: core_time::Instant,
        repeatable: bool,
    ) -> Option<Choice> {
        let starved = self.cold.starved(now, demand.service, repeatable);
        let mut starved = starved.into_iter();
        starved.find_map(|target| self.choice_of(now, demand, target, deadline))
    }

    /// Returns a target as the choice for a call, if it has capacity and is expected to answer before
    /// `deadline`. A target that has a call of this VM and has not reported its load since may hang;
    /// it gets no second one.
    pub fn choice_of(
        &self,
        now: core_time::Instant,
        demand: &Demand<'_>,
        id: &types::TargetId,
        deadline: core_time::Instant,
    ) -> Option<Choice> {
        let service = self.services.get(demand.service)?;
        let target = service.targets.get(id)?;
        if demand.tried.contains(id)
            || self.evacuated.contains(&target.failure_domain)
            || target.is_ejected(now)
        {
            return None;
        }
        let estimate = target.estimate(now, &service.means, &self.cfg);
        let expected_latency = estimate.expected_latency(demand.work);
        let in_time = now + expected_latency <= deadline;
        let is_silent = estimate.age.is_some_and(|age| age > MAX_REPORT_AGE);
        if is_silent && target.in_flight > 0 {
            return None;
        }
        (in_time && estimate.has_capacity()).then(|| Choice {
            target: id.clone(),
            estimate,
            expected_latency,
            ejected: false,
        })
    }

    /// Returns whether a cold target that this VM holds takes a call by `until`, when there is a token
    /// for it again.
    pub fn awaits_token(
        &self,
        now: core_time::Instant,
        demand: &Demand<'_>,
        until: core_time::Instant,
    ) -> bool {
        let mut held = self.cold.held_until(now, demand.service, until);
        held.any(|(id, domain)| !demand.tried.contains(id) && !self.evacuated.contains(domain))
    }

    /// Returns a cold target for a call, and the VM to request a token from. See
    /// [`ColdTargets::next_lender`](crate::warmup::ColdTargets::next_lender).
    pub fn next_lender(
        &mut self,
        now: core_time::Instant,
        demand: &Demand<'_>,
        urgent: bool,
        is_reachable: impl Fn(types::VmId) -> bool,
    ) -> Option<(types::TargetId, types::VmId)> {
        let evacuated = &self.evacuated;
        self.cold
            .next_lender(now, demand.service, urgent, |id, domain, holder| {
                let is_excluded = demand.tried.contains(id) || evacuated.contains(domain);
                !is_excluded && is_reachable(holder)
            })
    }
}
