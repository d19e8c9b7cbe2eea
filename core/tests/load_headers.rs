//! Parsing of header values that callers and targets send: load reports, timeouts and attempt
//! numbers.

use std::time::Duration;

use quickcheck::{TestResult, quickcheck};
use wagtailshunt_core::balance::{LoadReport, ReportError};
use wagtailshunt_core::deadline::{Deadline, HeaderError, TimeoutMs};
use wagtailshunt_core::retry::AttemptNumber;
use wagtailshunt_core::time::Instant;

/// Guards against load reports that are parsed to another load than the target sent.
#[test]
fn load_reports() {
    let full = LoadReport {
        in_flight: 2,
        queue: 1,
        latency: Duration::from_micros(900),
    };
    assert_eq!(
        LoadReport::parse("in_flight=2;queue=1;latency_us=900"),
        Ok(full)
    );
    assert_eq!(
        LoadReport::parse("in_flight=2; queue=1; cpu=7; latency_us=900"),
        Ok(full)
    );
    assert_eq!(LoadReport::parse("queue=1"), Err(ReportError::Incomplete));
    for text in [
        "",
        "in_flight",
        "in_flight=",
        "in_flight=-1",
        "in_flight=99999999999",
        "=;=",
    ] {
        assert!(LoadReport::parse(text).is_err(), "{text:?} was accepted");
    }
    assert_eq!(
        LoadReport::parse(&"in_flight=1;".repeat(20)),
        Err(ReportError::TooLong)
    );
}

/// Guards against timeouts and attempt numbers that wrap, and against values with a sign or suffix.
#[test]
fn timeouts_and_attempt_numbers() {
    assert_eq!(TimeoutMs::parse(" 1500 "), Ok(TimeoutMs(1500)));
    assert_eq!(TimeoutMs::parse("600001"), Err(HeaderError::OutOfRange));
    assert_eq!(TimeoutMs::parse("1e3"), Err(HeaderError::NotANumber));
    assert_eq!(TimeoutMs::parse("+5"), Err(HeaderError::NotANumber));
    assert_eq!(AttemptNumber::parse("2"), Ok(AttemptNumber(2)));
    assert_eq!(AttemptNumber::parse("0"), Err(HeaderError::OutOfRange));
    assert_eq!(
        AttemptNumber::parse("4294967296"),
        Err(HeaderError::OutOfRange)
    );
}

quickcheck! {
    /// Guards against a load report that changes when it is written to the header and parsed.
    fn load_report_round_trips(in_flight: u32, queue: u32, us: u32) -> bool {
        let latency = Duration::from_micros(u64::from(us));
        let report = LoadReport { in_flight, queue, latency };
        LoadReport::parse(&report.to_string()) == Ok(report)
    }

    /// Guards against a panic on header values that a caller or a target controls.
    fn any_text_is_parsed_or_refused(text: String) -> bool {
        let _ = LoadReport::parse(&text);
        let _ = TimeoutMs::parse(&text);
        let _ = AttemptNumber::parse(&text);
        true
    }

    /// Guards against a deadline that is later at the next hop than at this one.
    fn forwarded_deadline_not_later(requested: u32, waited_us: u32, reserve_us: u32) -> TestResult {
        let requested = TimeoutMs(requested % 600_000);
        let deadline = Deadline::at_arrival(Instant(7), Some(requested), Duration::from_secs(600));
        let now = Instant(7 + u64::from(waited_us));
        match deadline.forwarded_timeout(now, Duration::from_micros(u64::from(reserve_us))) {
            Some(left) => {
                let spent_us = u64::from(waited_us) + u64::from(reserve_us);
                TestResult::from_bool(
                    u64::from(left.0) * 1000 + spent_us <= u64::from(requested.0) * 1000
                )
            }
            None => TestResult::discard(),
        }
    }
}
