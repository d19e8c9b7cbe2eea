//! What the calls of a service may spend: repeats, and questions for the load of targets.

use wagtailshunt_core::{retry, types};

use crate::entry::{settings, state};

/// Questions for load that a VM can save up for each service, so that a burst begins well.
const QUESTION_BURST: u32 = 30;

/// Part of the repeats that may be saved up that is shared out; the rest is for VMs that are not known
/// yet.
const SLACK_SHARE: f64 = 0.8;

/// Returns the repeats of a service. The VMs share what may be saved up, so that together they keep the
/// limit without talking about it.
pub fn repeats<'a>(
    limits: &settings::Limits,
    inner: &'a mut state::Inner,
    service: &types::ServiceName,
) -> &'a mut retry::Budget {
    let vms = inner.roster.vms().count().max(1);
    let burst = f64::from(limits.repeat_slack) * SLACK_SHARE / vms as f64;
    let budget = inner.budgets.entry(service.clone());
    let budget = budget.or_insert_with(|| {
        retry::Budget::new(retry::Config {
            per_1000_calls: limits.repeats_per_1000_calls,
            ..retry::Config::default()
        })
    });
    budget.set_burst(burst as u32);
    budget
}

/// Returns the questions for load that calls of a service may ask.
pub fn questions<'a>(
    limits: &settings::Limits,
    inner: &'a mut state::Inner,
    service: &types::ServiceName,
) -> &'a mut retry::Budget {
    let questions = inner.questions.entry(service.clone());
    questions.or_insert_with(|| {
        retry::Budget::new(retry::Config {
            per_1000_calls: limits.questions_per_1000_calls(),
            burst: QUESTION_BURST,
            ..retry::Config::default()
        })
    })
}
