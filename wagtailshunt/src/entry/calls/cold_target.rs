//! Calls to cold targets: those that are due for a call are preferred, with a token of this VM or of
//! the VM that they announce themselves to.

use rand::Rng;
use wagtailshunt_core::{placement, routing, types, warmup};

use crate::entry::{calls::call::Call, cold_targets, state};

impl Call {
    /// Returns a cold target that is due for a call, if this one is its first attempt. Its token is taken.
    /// For a call that may run only once in a service that has others, a target of this VM that has had
    /// none for longer.
    pub(super) async fn due_cold_target(&self) -> Option<placement::Choice> {
        let is_first = self.tried.borrow().is_empty();
        if !is_first {
            return None;
        }
        let now = self.state.clock.now();
        let has_cold = |inner: &mut state::Inner| inner.placement.cold.has_cold(now, &self.service);
        if !self.state.with(has_cold) {
            return None;
        }
        let tried = self.tried.borrow().clone();
        let demand = self.demand(&tried);
        let deadline = self.request.deadline;
        // Where all calls may run only once, no others give work to cold targets.
        let repeatable = self.request.repeatable
            || !self
                .state
                .with(|inner| has_repeatable_calls(inner, &self.service));
        let own = self.state.with(|inner| {
            let placement = &mut inner.placement;
            let choice = placement.starved_choice(now, &demand, deadline, repeatable)?;
            placement.cold.take(now, &choice.target).then_some(choice)
        });
        match own {
            Some(choice) => Some(choice),
            None if !repeatable => None,
            // Boxed, so that calls without cold targets need no memory for it.
            None => Box::pin(self.borrowed_cold_target(false)).await,
        }
    }

    /// Returns a cold target that another VM holds, with a token of that VM. If the call is `urgent`,
    /// there is no other target for it.
    pub(super) async fn borrowed_cold_target(&self, urgent: bool) -> Option<placement::Choice> {
        let now = self.state.clock.now();
        let tried = self.tried.borrow().clone();
        let demand = self.demand(&tried);
        let may_ask_third = urgent
            || self
                .state
                .rng
                .borrow_mut()
                .random_bool(warmup::INDIRECT_SHARE);
        let is_reachable = |vm| may_ask_third || self.state.peers.is_connected(vm);
        let (target, holder) = self.state.with(|inner| {
            let placement = &mut inner.placement;
            let lender = placement.next_lender(now, &demand, urgent, is_reachable)?;
            // No token is requested for a call that the target could not answer in time.
            placement.choice_of(now, &demand, &lender.0, self.request.deadline)?;
            Some(lender)
        })?;
        if !cold_targets::request_token(&self.state, holder, &target).await {
            return None;
        }
        let now = self.state.clock.now();
        let deadline = self.request.deadline;
        self.state
            .with(|inner| inner.placement.choice_of(now, &demand, &target, deadline))
    }

    /// Takes the token for a call to a target, if it needs one.
    pub(super) fn take_token(&self, choice: &placement::Choice) -> bool {
        let now = self.state.clock.now();
        self.state
            .with(|inner| inner.placement.cold.take(now, &choice.target))
    }
}

/// Returns whether a route sends calls that may run more than once to a service.
pub fn has_repeatable_calls(inner: &state::Inner, service: &types::ServiceName) -> bool {
    let sends_there = |route: &routing::Route| {
        let mut shares = route.shares.iter();
        shares.any(|share| share.weight > 0.0 && share.service == *service)
    };
    let mut routes = inner.machine.table.items().routes.values();
    routes.any(|route| route.repeatable && sends_there(route))
}
