//! Outcomes and latencies of one repetition.

use std::time;

use hdrhistogram::Histogram;

/// Maximum recorded latency in nanoseconds (one hour).
const MAX_LATENCY_NS: u64 = 3_600_000_000_000;

/// Significant decimal digits of recorded latencies.
const PRECISION_DIGITS: u8 = 3;

/// Outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallOutcome {
    /// A complete response with a status below 400.
    Ok,
    /// A response that marks the call as not run.
    NotRun,
    /// A response that marks the outcome as unknown.
    Unknown,
    /// Another response with a status of 400 or above.
    ErrorStatus,
    /// No complete response.
    Incomplete,
    /// No response within the timeout.
    TimedOut,
}

/// Results of one repetition.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Latencies of calls with a status below 400, in nanoseconds.
    pub latency: Histogram<u64>,
    /// Measured duration.
    pub duration: time::Duration,
    /// Complete responses with a status below 400.
    pub ok: u64,
    /// Responses that mark the call as not run.
    pub not_run: u64,
    /// Responses that mark the outcome as unknown.
    pub unknown: u64,
    /// Other responses with a status of 400 or above.
    pub error_status: u64,
    /// Calls without a complete response.
    pub incomplete: u64,
    /// Calls without a response within the timeout.
    pub timed_out: u64,
}

impl Sample {
    pub(super) fn new(duration: time::Duration) -> Sample {
        let latency = Histogram::new_with_max(MAX_LATENCY_NS, PRECISION_DIGITS);
        Sample {
            latency: latency.expect("the bounds of the histogram are valid"),
            duration,
            ok: 0,
            not_run: 0,
            unknown: 0,
            error_status: 0,
            incomplete: 0,
            timed_out: 0,
        }
    }

    pub(super) fn record(&mut self, outcome: CallOutcome, latency: time::Duration) {
        match outcome {
            CallOutcome::Ok => self.ok += 1,
            CallOutcome::NotRun => self.not_run += 1,
            CallOutcome::Unknown => self.unknown += 1,
            CallOutcome::ErrorStatus => self.error_status += 1,
            CallOutcome::Incomplete => self.incomplete += 1,
            CallOutcome::TimedOut => self.timed_out += 1,
        }
        // Refusals are often fast and would lower the percentiles.
        if outcome == CallOutcome::Ok {
            let nanos = u64::try_from(latency.as_nanos()).unwrap_or(u64::MAX);
            self.latency.saturating_record(nanos);
        }
    }

    /// Returns the number of calls that did not get a status below 400.
    pub fn errors(&self) -> u64 {
        self.not_run + self.unknown + self.error_status + self.incomplete + self.timed_out
    }

    /// Returns the number of responses with a status below 400 per second.
    pub fn throughput(&self) -> f64 {
        self.ok as f64 / self.duration.as_secs_f64()
    }

    /// Returns a quantile of the latency in microseconds.
    pub fn quantile_us(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1000.0
    }
}
