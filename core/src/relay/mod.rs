//! Selects the VM that relays a call of a VM without a path to the targets.
//!
//! Any VM of the system may relay. One that fails, or says that it reaches no target itself, is
//! avoided for a while. Of the others, VMs that have relayed calls lately come first, and those of the
//! own failure domain unless one of them is avoided: a lost path often concerns a whole domain.

use std::{collections, time};

use rand::{Rng, rngs};

use crate::{formation, time as core_time, types};

/// Time for which a VM is avoided after it could not relay a call; doubled with each further
/// failure in a row.
const AVOID_FOR: time::Duration = time::Duration::from_millis(1000);

/// Longest time for which a VM is avoided.
const AVOID_AT_MOST: time::Duration = time::Duration::from_secs(8);

/// Time after it has handled a call for which a VM counts as proved.
const PROVED_FOR: time::Duration = time::Duration::from_secs(5);

// Costs of a VM, in calls in flight there.

/// Cost of a VM that is not proved.
const UNPROVED_COST: f64 = 1.5;

/// Cost of a VM that is not proved, in a failure domain with an avoided VM.
const IMPAIRED_DOMAIN_COST: f64 = 1.0;

/// Cost of a VM of another failure domain.
const REMOTE_COST: f64 = 0.5;

/// How the relaying of a call by a VM ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The VM handled the call, whatever its result.
    Handled,
    /// The VM answered that it cannot relay calls at the moment.
    Declined,
    /// The VM could not be connected to, or the connection broke.
    Failed,
    /// The call ended first, or went elsewhere for a reason that is no evidence about the VM.
    Cancelled,
}

/// What is known about one VM as a relay.
#[derive(Clone, Copy, Debug, Default)]
struct Relay {
    in_flight: u32,
    /// Calls in a row that it declined or failed.
    failures: u32,
    avoid_until: Option<core_time::Instant>,
    proved_until: Option<core_time::Instant>,
}

impl Relay {
    fn is_avoided(&self, now: core_time::Instant) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }

    fn cost(&self, now: core_time::Instant, is_remote: bool, is_impaired: bool) -> f64 {
        let mut cost = f64::from(self.in_flight);
        if is_remote {
            cost += REMOTE_COST;
        }
        if self.proved_until.is_none_or(|until| now >= until) {
            cost += UNPROVED_COST;
            if is_impaired {
                cost += IMPAIRED_DOMAIN_COST;
            }
        }
        cost
    }
}

/// VMs that may relay calls, as seen by one VM.
#[derive(Debug, Default)]
pub struct Relays {
    by_vm: collections::BTreeMap<types::VmId, Relay>,
}

impl Relays {
    /// Returns the VM that relays the next call, or `None` if all are avoided or in `tried`.
    pub fn choose<'a>(
        &self,
        now: core_time::Instant,
        vms: impl Iterator<Item = &'a formation::Vm>,
        own_domain: &types::FailureDomain,
        tried: &[types::VmId],
        rng: &mut rngs::SmallRng,
    ) -> Option<&'a formation::Vm> {
        let vms: Vec<&formation::Vm> = vms.filter(|vm| vm.relay_address.is_some()).collect();
        let relay = |vm: &formation::Vm| self.by_vm.get(&vm.id).copied().unwrap_or_default();
        let impaired: collections::BTreeSet<&types::FailureDomain> = vms
            .iter()
            .filter(|vm| relay(vm).is_avoided(now))
            .map(|vm| &vm.failure_domain)
            .collect();
        let usable = vms.into_iter().filter(|vm| {
            let avoided = relay(vm).is_avoided(now);
            !avoided && !tried.contains(&vm.id)
        });
        let ranked = usable.map(|vm| {
            let is_impaired = impaired.contains(&vm.failure_domain);
            let is_remote = vm.failure_domain != *own_domain;
            let tie_breaker: u32 = rng.random();
            (relay(vm).cost(now, is_remote, is_impaired), tie_breaker, vm)
        });
        let best = ranked.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        best.map(|(_, _, vm)| vm)
    }

    /// Records that a call is sent to a VM.
    pub fn started(&mut self, vm: types::VmId) {
        self.by_vm.entry(vm).or_default().in_flight += 1;
    }

    /// Records how a VM has handled a call.
    pub fn finished(&mut self, now: core_time::Instant, vm: types::VmId, outcome: Outcome) {
        let relay = self.by_vm.entry(vm).or_default();
        relay.in_flight = relay.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Cancelled => {}
            Outcome::Handled => {
                relay.failures = 0;
                relay.avoid_until = None;
                relay.proved_until = Some(now + PROVED_FOR);
            }
            Outcome::Declined | Outcome::Failed => {
                let avoid_for = AVOID_FOR * (1 << relay.failures.min(8));
                relay.failures += 1;
                relay.avoid_until = Some(now + avoid_for.min(AVOID_AT_MOST));
                relay.proved_until = None;
            }
        }
    }
}
