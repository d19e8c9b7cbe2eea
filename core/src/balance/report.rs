//! Load reports of targets and their encoding in the `wagtailshunt-load` header.

use std::{fmt, time};

use thiserror::Error;

/// Longest header value that is parsed; a longer one is refused.
const MAX_HEADER_BYTES: usize = 128;

/// Load that a target reports of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of calls that run on the target.
    pub in_flight: u32,
    /// Number of calls that wait on the target.
    pub queue: u32,
    /// Recent latency, measured by the target.
    pub latency: time::Duration,
}

impl LoadReport {
    /// Name of the header that carries a report.
    pub const HEADER: &'static str = "wagtailshunt-load";

    /// Parses a header value such as `in_flight=2;queue=0;latency_us=900`.
    ///
    /// Unknown fields are skipped so that targets can add fields; `in_flight` is required.
    ///
    /// # Errors
    ///
    /// A [`ReportError`] when the value is too long, malformed or incomplete.
    pub fn parse(value: &str) -> Result<LoadReport, ReportError> {
        if value.len() > MAX_HEADER_BYTES {
            return Err(ReportError::TooLong);
        }
        let mut report = LoadReport::default();
        let mut in_flight = None;
        for field in value.split(';') {
            let (name, text) = field.split_once('=').ok_or(ReportError::Malformed)?;
            match name.trim() {
                "in_flight" => in_flight = Some(number(text)?),
                "queue" => report.queue = number(text)?,
                "latency_us" => {
                    report.latency = time::Duration::from_micros(u64::from(number(text)?));
                }
                _ => {}
            }
        }
        report.in_flight = in_flight.ok_or(ReportError::Incomplete)?;
        Ok(report)
    }

    /// Returns the number of running and waiting calls.
    pub fn occupancy(&self) -> u32 {
        self.in_flight.saturating_add(self.queue)
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let LoadReport {
            in_flight,
            queue,
            latency,
        } = self;
        write!(
            f,
            "in_flight={in_flight};queue={queue};latency_us={}",
            latency.as_micros()
        )
    }
}

/// Reason why a load report cannot be parsed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ReportError {
    /// The value exceeds the accepted length.
    #[error("load report is longer than {MAX_HEADER_BYTES} bytes")]
    TooLong,
    /// A field is not of the form `name=number`.
    #[error("load report has a malformed field")]
    Malformed,
    /// The field `in_flight` is missing.
    #[error("load report lacks in_flight")]
    Incomplete,
}

fn number(text: &str) -> Result<u32, ReportError> {
    let text = text.trim();
    if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
        return Err(ReportError::Malformed);
    }
    text.parse().map_err(|_| ReportError::Malformed)
}
