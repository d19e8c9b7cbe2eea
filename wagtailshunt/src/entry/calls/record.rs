//! What this VM records of each attempt: its result in the log and the metrics, and its duration in
//! the estimates of later calls.

use std::time;

use wagtailshunt_core::{event, placement, time as core_time};

use crate::entry::calls::{
    attempt::{AttemptOutcome, Destination},
    call::Call,
};

/// Largest slowness factor at which a target still counts as running at its normal speed.
const MAX_NORMAL_SLOWNESS: f64 = 1.2;

/// An attempt that was sent to a target, with the estimate made before.
pub(super) struct SentAttempt {
    pub to: Destination,
    /// Estimated load of the target.
    pub estimate: placement::Estimate,
    /// Expected time until the response.
    pub expected: time::Duration,
    pub started: core_time::Instant,
}

impl Call {
    /// Logs and counts the result of an attempt, which took `taken`.
    pub(super) fn record_attempt(
        &self,
        sent: &SentAttempt,
        outcome: &AttemptOutcome,
        taken: time::Duration,
    ) {
        let (result, reason) = match outcome {
            AttemptOutcome::Answered(response) if response.head.status.is_server_error() => {
                ("error", response.head.status.to_string())
            }
            AttemptOutcome::Answered(_) => ("answered", String::new()),
            AttemptOutcome::NotSent(reason) | AttemptOutcome::NotRun(reason) => {
                ("not-run", reason.clone())
            }
            AttemptOutcome::Refused(reason) => ("not-run", reason.to_string()),
            AttemptOutcome::Withdrawn(reason) => ("not-run", reason.to_string()),
            AttemptOutcome::Lost(reason) => ("lost", reason.clone()),
        };
        let attempts = self.state.metrics.attempts.with_label_values(&[result]);
        attempts.inc();
        if result == "answered" {
            return;
        }
        self.state.events.emit(
            event::Id::AttemptFailed,
            &[
                ("request", &self.request_id_text()),
                ("target", &sent.to.target),
                ("result", &result),
                ("reason", &reason),
                ("ms", &taken.as_millis()),
            ],
        );
    }

    /// Adds the response time to the mean service time of the route, and to the measured slowdown
    /// of targets by number of running calls.
    pub(super) fn update_estimates(&self, taken: time::Duration, sent: &SentAttempt) {
        let service_time = self.service_time().as_secs_f64().max(0.001);
        let expected_ratio = sent.expected.as_secs_f64() / service_time;
        self.state.with(|inner| {
            if let Some(mean) = inner.service_times.get_mut(&self.route_name) {
                mean.sample(taken, expected_ratio);
            }
            let estimate = &sent.estimate;
            let fresh = estimate
                .age
                .is_some_and(|age| age <= self.state.cfg.search.fresh);
            let running = estimate.running_with_one_more();
            // On a slowed target or one with a queue, the time does not show the effect of its
            // other running calls.
            if fresh && estimate.slowness <= MAX_NORMAL_SLOWNESS && running <= estimate.slots {
                let ratio = taken.as_secs_f64() / service_time;
                inner
                    .placement
                    .record_slowdown(&self.service, running, ratio);
            }
        });
    }
}
