//! Results of one repetition.

use std::time;

use hdrhistogram::Histogram;

/// Largest recorded latency in nanoseconds: one hour.
const MAX_LATENCY_NS: u64 = 3_600_000_000_000;

/// Significant decimal digits of recorded latencies.
const PRECISION_DIGITS: u8 = 3;

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ending {
    /// A complete answer with a status below 400.
    Ok,
    /// An answer that says the call was not run.
    NotRun,
    /// An answer that says the outcome is not known.
    Unknown,
    /// Another answer with a status of 400 or above.
    Refused,
    /// No complete answer.
    Broken,
    /// No answer in time.
    TimedOut,
}

/// Results of one repetition.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Latencies of calls that ended with an answer below 400, in nanoseconds.
    pub latency: Histogram<u64>,
    /// Measured time.
    pub duration: time::Duration,
    /// Complete answers with a status below 400.
    pub ok: u64,
    /// Answers that say the call was not run.
    pub not_run: u64,
    /// Answers that say the outcome is not known.
    pub unknown: u64,
    /// Other answers with a status of 400 or above.
    pub refused: u64,
    /// Calls without a complete answer.
    pub broken: u64,
    /// Calls without an answer in time.
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
            refused: 0,
            broken: 0,
            timed_out: 0,
        }
    }

    pub(super) fn record(&mut self, ending: Ending, latency: time::Duration) {
        match ending {
            Ending::Ok => self.ok += 1,
            Ending::NotRun => self.not_run += 1,
            Ending::Unknown => self.unknown += 1,
            Ending::Refused => self.refused += 1,
            Ending::Broken => self.broken += 1,
            Ending::TimedOut => self.timed_out += 1,
        }
        // A fast refusal must not improve the figures.
        if ending == Ending::Ok {
            let nanos = u64::try_from(latency.as_nanos()).unwrap_or(u64::MAX);
            self.latency.saturating_record(nanos);
        }
    }

    /// Returns the calls that did not end with an answer below 400.
    pub fn errors(&self) -> u64 {
        self.not_run + self.unknown + self.refused + self.broken + self.timed_out
    }

    /// Returns answers below 400 per second.
    pub fn throughput(&self) -> f64 {
        self.ok as f64 / self.duration.as_secs_f64()
    }

    /// Returns a quantile of the latency in microseconds.
    pub fn quantile_us(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1000.0
    }
}
