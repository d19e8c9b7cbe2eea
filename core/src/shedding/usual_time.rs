//! Recognises callers that come back: nothing in a request says so, but a caller that was refused
//! has less time left than callers of the same route usually have when they come first.

use std::{collections, time};

/// Number of arrivals that the usual time is learned from.
const SAMPLES: usize = 64;

/// Number of arrivals below which no caller is recognised.
const MIN_SAMPLES: usize = 8;

/// Share of the arrivals that have at least the usual time. A quarter of them come for the first
/// time even when all others were refused up to three times.
const FIRST_TIME_SHARE: f64 = 0.25;

/// Difference to the usual time, as a share of it, that network delay and rounding explain. A caller
/// that is refused waits longer before it comes back.
const TOLERANCE: f64 = 0.05;

/// The remaining time of recent arrivals on one route.
#[derive(Clone, Debug, Default)]
pub struct UsualTime {
    recent: collections::VecDeque<time::Duration>,
}

impl UsualTime {
    /// Records the remaining time of an arrival; returns whether it is a caller that comes back.
    pub fn record(&mut self, time_left: time::Duration) -> bool {
        let usual = self.usual();
        if self.recent.len() == SAMPLES {
            self.recent.pop_front();
        }
        self.recent.push_back(time_left);
        usual.is_some_and(|usual| time_left < usual.mul_f64(1.0 - TOLERANCE))
    }

    /// Returns the remaining time with which callers usually come first; `None` with too few
    /// arrivals, and where callers state such different times that a short one tells nothing.
    pub fn usual(&self) -> Option<time::Duration> {
        if self.recent.len() < MIN_SAMPLES {
            return None;
        }
        let mut sorted: Vec<time::Duration> = self.recent.iter().copied().collect();
        sorted.sort_unstable();
        let first_time = (sorted.len() as f64 * FIRST_TIME_SHARE).ceil() as usize;
        let usual = sorted[sorted.len() - first_time];
        let lowest = usual.mul_f64(1.0 - TOLERANCE);
        let highest = usual.mul_f64(1.0 + TOLERANCE);
        let alike = sorted.iter().filter(|t| (lowest..=highest).contains(*t));
        let above = sorted.iter().filter(|t| **t > highest).count();
        // Times above the usual one mean that callers differ in what they allow.
        (alike.count() >= first_time && above * 8 < sorted.len()).then_some(usual)
    }
}
