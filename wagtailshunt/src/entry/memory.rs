//! Reports on the memory budget: metrics, and events when memory or connections run short.

use wagtailshunt_core::{event, memory};

use crate::{entry::state, http};

/// Reports what changed since the last report.
#[derive(Default)]
pub struct Watch {
    reported: http::Counters,
    shortage: memory::Shortage,
    full: memory::Shortage,
}

impl Watch {
    /// Updates the metrics and reports the start and the end of a shortage.
    pub fn tick(&mut self, state: &state::State) {
        // A connection that found no room has no timer of its own.
        state.memory.notify_all();
        let (capacity, used) = state.memory.capacity_and_used();
        let as_gauge = |bytes: u64| i64::try_from(bytes).unwrap_or(i64::MAX);
        state.metrics.memory_budget_bytes.set(as_gauge(capacity));
        state.metrics.memory_used_bytes.set(as_gauge(used));
        let counters = state.memory.counters();
        let refused = counters.refused - self.reported.refused;
        let evicted = counters.evicted - self.reported.evicted;
        let replaced = counters.replaced - self.reported.replaced;
        self.reported = counters;
        for (reason, count) in [
            ("refused", refused),
            ("evicted", evicted),
            ("replaced", replaced),
        ] {
            let counter = state.metrics.memory_refused.with_label_values(&[reason]);
            counter.inc_by(count);
        }
        let now = state.clock.now();
        match self.shortage.observe(now, refused + evicted > 0) {
            Some(true) => state.events.emit(
                event::Id::MemoryShort,
                &[
                    ("used_bytes", &used),
                    ("budget_bytes", &capacity),
                    ("refused", &refused),
                    ("evicted", &evicted),
                ],
            ),
            Some(false) => state
                .events
                .emit(event::Id::MemoryAvailable, &[("used_bytes", &used)]),
            None => {}
        }
        if self.full.observe(now, replaced > 0) == Some(true) {
            let limit = memory::caller_connections(state.cfg.limits.max_open_files);
            state.events.emit(
                event::Id::ConnectionsReplaced,
                &[("limit", &limit), ("closed", &replaced)],
            );
        }
    }
}
