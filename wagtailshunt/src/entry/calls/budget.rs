//! Budgets of retries and probes by service: token buckets that are filled by calls.
//!
//! The rates and sizes come from [`settings::Limits`].

use wagtailshunt_core::{retry, types};

use crate::entry::{settings, state};

/// Probes that the bucket of a service can hold on one VM, so that the first calls of a burst can
/// probe.
const PROBE_BURST: u32 = 30;

/// Share of the retry burst that is divided among the known VMs; the rest is reserved for VMs that
/// are not known yet.
const RETRY_BURST_SHARE: f64 = 0.8;

/// Returns the retry budget of a service. Each VM takes its part of the burst, so that all VMs
/// together keep the limit without messages about it.
pub fn retries<'a>(
    limits: &settings::Limits,
    inner: &'a mut state::Inner,
    service: &types::ServiceName,
) -> &'a mut retry::Budget {
    let vms = inner.roster.vms().count().max(1);
    let burst = f64::from(limits.retry_burst) * RETRY_BURST_SHARE / vms as f64;
    let budget = inner.retry_budgets.entry(service.clone());
    let budget = budget.or_insert_with(|| {
        retry::Budget::new(retry::Config {
            per_1000_calls: limits.retries_per_1000_calls,
            ..retry::Config::default()
        })
    });
    budget.set_burst(burst as u32);
    budget
}

/// Returns the budget of probes that calls of a service may send.
pub fn probes<'a>(
    limits: &settings::Limits,
    inner: &'a mut state::Inner,
    service: &types::ServiceName,
) -> &'a mut retry::Budget {
    let probes = inner.probe_budgets.entry(service.clone());
    probes.or_insert_with(|| {
        retry::Budget::new(retry::Config {
            per_1000_calls: limits.probes_per_1000_calls(),
            burst: PROBE_BURST,
            ..retry::Config::default()
        })
    })
}
