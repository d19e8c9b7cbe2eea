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

/// Calls of equal value: by priority, those that can meet their latency objective before late ones.
type Class = (u32, bool);

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
    /// Granted requests whose token is still in the budget.
    pending: u64,
    classes: collections::BTreeMap<Class, Asked>,
}

impl TokenGate {
    /// Records that calls have added `tokens` to the budget.
    pub fn earned(&mut self, now: core_time::Instant, tokens: f64) {
        self.earned.add(now, FADE, tokens);
    }

    /// Returns whether a call gets one of the tokens that the budget has. If it does, its token is
    /// kept for it until [`TokenGate::settle`], when it is taken from the budget or not needed.
    pub fn ask(
        &mut self,
        now: core_time::Instant,
        priority: u32,
        in_time: bool,
        tokens: u64,
    ) -> bool {
        let class = (priority, !in_time);
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

    /// Returns whether calls ask for more tokens than the budget earns.
    pub fn is_short(&self, now: core_time::Instant) -> bool {
        let requests = |asked: &Asked| asked.requests.get(now, FADE);
        let all: f64 = self.classes.values().map(requests).sum();
        // One request is no shortage.
        all > self.earned.get(now, FADE).max(1.0)
    }
}
