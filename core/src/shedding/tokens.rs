//! Divides the tokens of a short retry budget among the calls that failed at a target.
//!
//! The budget of a VM holds few tokens, so that keeping some of them back would leave none for
//! anyone. Instead each class of calls gets a part of what the budget earns: the most urgent class
//! as much as it asks for, the next one what is left. No class gets less than a part of the mean.

use std::{collections, time};

use super::FadingSum;
use crate::time as core_time;

/// Time in which past calls and requests for a token lose two thirds of their weight: a fault of
/// targets that lasts for seconds is to be seen within the first of them.
const FADE: time::Duration = time::Duration::from_secs(1);

/// Smallest part of its requests that a class gets, relative to the mean of all classes: the
/// required quarter and a margin.
const FLOOR: f64 = 0.3;

/// Largest number of requests that a class can save up.
const MAX_CREDIT: f64 = 2.0;

/// Share of the calls that targets refuse up to which a caller has a fair chance when it comes back at
/// once. With more, most callers that come back once are lost, and a later return may find targets
/// that have recovered.
const MAX_REFUSED: f64 = 0.75;

/// Calls of equal value, the highest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Class {
    /// Priority of the call; 0 is the highest.
    pub priority: u32,
    /// Whether the caller comes for the first time, so that it may come back.
    pub first_time: bool,
    /// Whether the call can no longer meet its latency objective.
    pub late: bool,
}

/// Requests of a class for tokens.
#[derive(Clone, Copy, Debug)]
struct Asked {
    requests: FadingSum,
    /// Requests that may still be granted.
    credit: f64,
}

impl Default for Asked {
    fn default() -> Self {
        Asked {
            requests: FadingSum::default(),
            // The first request is granted if there is a token.
            credit: 1.0,
        }
    }
}

/// Decides which failed calls get a token of the retry budget.
#[derive(Clone, Debug, Default)]
pub struct TokenGate {
    earned: FadingSum,
    /// Calls that have earned them.
    calls: FadingSum,
    /// Granted requests whose token is still in the budget.
    pending: u64,
    classes: collections::BTreeMap<Class, Asked>,
}

impl TokenGate {
    /// Records that a call has added `tokens` to the budget.
    pub fn earned(&mut self, now: core_time::Instant, tokens: f64) {
        self.earned.add(now, FADE, tokens);
        self.calls.add(now, FADE, 1.0);
    }

    /// Returns whether a call gets one of the tokens that the budget has. If it does, its token is
    /// kept for it until [`TokenGate::settle`], when it is taken from the budget or not needed.
    pub fn ask(&mut self, now: core_time::Instant, class: Class, tokens: u64) -> bool {
        let asked = self.classes.entry(class).or_default();
        asked.requests.add(now, FADE, 1.0);
        let part = self.part(now, class);
        let Some(asked) = self.classes.get_mut(&class) else {
            return false;
        };
        asked.credit = (asked.credit + part).min(MAX_CREDIT);
        if tokens <= self.pending || asked.credit < 1.0 {
            return false;
        }
        asked.credit -= 1.0;
        self.pending += 1;
        true
    }

    /// Ends the time for which a token is kept for a call.
    pub fn settle(&mut self) {
        self.pending = self.pending.saturating_sub(1);
    }

    /// Returns the part of its requests that a class gets.
    fn part(&self, now: core_time::Instant, class: Class) -> f64 {
        let earned = self.earned.get(now, FADE);
        let requests = |asked: &Asked| asked.requests.get(now, FADE);
        let all: f64 = self.classes.values().map(requests).sum();
        if all <= earned {
            return 1.0;
        }
        let floor = FLOOR * earned / all;
        let mut left = earned;
        for (other, asked) in &self.classes {
            match other.cmp(&class) {
                std::cmp::Ordering::Less => left -= requests(asked),
                std::cmp::Ordering::Equal => {}
                std::cmp::Ordering::Greater => left -= requests(asked) * floor,
            }
        }
        let own = self.classes.get(&class).map_or(1.0, requests);
        (left / own.max(f64::MIN_POSITIVE)).clamp(floor, 1.0)
    }

    /// Returns whether targets take enough of the calls for a refused caller to come back at once.
    pub fn is_return_worthwhile(&self, now: core_time::Instant) -> bool {
        let requests = |asked: &Asked| asked.requests.get(now, FADE);
        let refused: f64 = self.classes.values().map(requests).sum();
        refused <= self.calls.get(now, FADE) * MAX_REFUSED
    }

    /// Returns whether calls ask for more tokens than the budget earns.
    pub fn is_short(&self, now: core_time::Instant) -> bool {
        let requests = |asked: &Asked| asked.requests.get(now, FADE);
        let all: f64 = self.classes.values().map(requests).sum();
        // One request is no shortage.
        all > self.earned.get(now, FADE).max(1.0)
    }
}
