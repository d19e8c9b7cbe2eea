//! Reports when slots or retries of a service become short and when they suffice again.

use std::time;

use crate::time as core_time;

/// Time without a shortage after which it counts as over, so that one burst is one pair of log lines.
const OVER_AFTER: time::Duration = time::Duration::from_secs(2);

/// What can be short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resource {
    /// Slots of targets: calls arrive faster than they are sent.
    Slots,
    /// Tokens of the retry budget: failed calls need more than the budget earns.
    Retries,
}

/// Start or end of a shortage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// What is short or suffices again.
    pub resource: Resource,
    /// Whether it is short now.
    pub short: bool,
}

/// The shortages of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Shortage {
    /// When slots were last short, until the shortage is over.
    slots: Option<core_time::Instant>,
    /// The same for the retry budget.
    retries: Option<core_time::Instant>,
}

impl Shortage {
    /// Records the present state; returns a change that was not returned before.
    pub fn poll_change(
        &mut self,
        now: core_time::Instant,
        slots_short: bool,
        retries_short: bool,
    ) -> Option<Change> {
        let change = |resource, short| Change { resource, short };
        update(&mut self.slots, now, slots_short)
            .map(|short| change(Resource::Slots, short))
            .or_else(|| {
                update(&mut self.retries, now, retries_short)
                    .map(|short| change(Resource::Retries, short))
            })
    }
}

/// Updates the time of the last shortage; returns whether one has started or ended.
fn update(
    last: &mut Option<core_time::Instant>,
    now: core_time::Instant,
    short: bool,
) -> Option<bool> {
    match (*last, short) {
        (before, true) => {
            *last = Some(now);
            before.is_none().then_some(true)
        }
        (Some(at), false) if now.since(at) >= OVER_AFTER => {
            *last = None;
            Some(false)
        }
        (_, false) => None,
    }
}
