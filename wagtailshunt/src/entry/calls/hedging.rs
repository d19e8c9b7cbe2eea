//! Waits until a call gets a hedged attempt. `placement::hedge` decides by the time of the attempt in
//! flight; where load is shed by value, the shedder and the reports of the target decide as well.

use std::{rc, time};

use futures_util::future;
use wagtailshunt_core::{placement, time as core_time};

use crate::entry::calls::call::Call;

/// Time after which a hedge is considered again where load is shed by value: slots or retries may be
/// short, or the target's next reports may show that it has lost the call.
const HEDGE_RECHECK: time::Duration = time::Duration::from_millis(50);

impl Call {
    /// Waits until a hedged attempt is worthwhile; never returns for calls that may not have one.
    pub(super) async fn wait_for_hedge(self: &rc::Rc<Self>) {
        if !self.request.repeatable || self.route.max_attempts <= 1 {
            return future::pending().await;
        }
        let clock = self.state.clock;
        let objective = self.arrival + self.route.objective;
        loop {
            let now = clock.now();
            let in_flight = self.in_flight.get();
            let work = self.service_time();
            let hedge = placement::hedge(now, objective, work, in_flight);
            let due = hedge == placement::Hedge::Now || self.is_lost_at_target(now, in_flight);
            // `check_extra_attempt` would drop such a hedge, and a call gets only one.
            let misses_objective = now < objective && now + work > objective;
            match hedge {
                _ if self.shedding.is_some() && misses_objective => {
                    clock.sleep_until(objective).await;
                }
                _ if due && self.may_hedge(now) => return,
                placement::Hedge::Later(at) if self.shedding.is_none() => {
                    clock.sleep_until(at).await;
                }
                placement::Hedge::Later(at) => {
                    // No report shows that a call is lost before it is overdue.
                    let recheck = now + HEDGE_RECHECK;
                    let overdue = in_flight.map_or(recheck, |attempt| attempt.overdue_from(work));
                    clock.sleep_until(overdue.min(at).max(recheck)).await;
                }
                placement::Hedge::Now => clock.sleep_until(now + HEDGE_RECHECK).await,
            }
        }
    }

    /// Returns whether a hedged attempt may be made now.
    fn may_hedge(&self, now: core_time::Instant) -> bool {
        self.shedding.is_none() || self.with_shedder(|shedder| shedder.may_hedge(now))
    }

    /// Returns whether the target of the latest attempt has lost the call, so that it never answers.
    fn is_lost_at_target(
        &self,
        now: core_time::Instant,
        in_flight: Option<placement::InFlight>,
    ) -> bool {
        // The reports show that the target doesn't have the call, so that its slowness is no reason.
        let work = self.service_time();
        let overdue = in_flight.is_some_and(|attempt| attempt.overdue_from(work) <= now);
        if self.shedding.is_none() || !overdue {
            return false;
        }
        let tried = self.tried.borrow();
        let has_lost = |target| {
            self.state
                .with(|inner| inner.placement.has_lost_calls(now, target))
        };
        tried.last().is_some_and(has_lost)
    }
}
