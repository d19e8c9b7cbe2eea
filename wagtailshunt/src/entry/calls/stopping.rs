//! Calls during a planned stop of this VM: which ones are accepted, and what those get that still run
//! at its end.

use std::time;

use crate::entry::calls::{
    call::{Call, CallOutcome},
    failure::Failure,
};

/// Multiple of the mean service time that must be left before the end of a planned stop for a call
/// that has a later deadline.
const STOP_MARGIN: f64 = 3.0;

/// Interval at which a call that is in progress checks whether this VM stops. A planned stop takes
/// several of them.
const STOP_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(200);

impl Call {
    /// Waits until the deadline of the call, or until responses can only just be sent before a planned
    /// stop of this VM ends.
    pub async fn wait_for_end(&self) {
        let clock = self.state.clock;
        let deadline = self.request.deadline;
        loop {
            let now = clock.now();
            let stop_end = self.state.current_stop().map(|stop| stop.last_response());
            let end = stop_end.map_or(deadline, |stop_end| stop_end.min(deadline));
            if end <= now {
                return;
            }
            clock.sleep_until(end.min(now + STOP_CHECK_INTERVAL)).await;
        }
    }

    /// Returns whether this VM is being stopped and might end before the call has its response.
    pub fn may_outlast_stop(&self) -> bool {
        let now = self.state.clock.now();
        let expected_end = now + self.service_time().mul_f64(STOP_MARGIN);
        let stop = self.state.current_stop();
        stop.is_some_and(|stop| !stop.accepts(now, self.request.deadline, expected_end))
    }

    /// Returns the result of a call that has not run and is left to another VM.
    pub fn stopping_outcome(&self) -> CallOutcome {
        CallOutcome::Failed(match self.is_relayed() {
            // The sender chooses another relay.
            true => Failure::Unreachable,
            false => Failure::Stopping,
        })
    }
}
