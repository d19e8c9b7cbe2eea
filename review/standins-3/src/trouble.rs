//! When a disruption is played, and which answers it hits: spans of five seconds with as long a pause
//! between them, and a share of the answers that targets in trouble give in such a span.

use std::{
    collections::HashMap,
    sync::Mutex,
    time::{Duration, Instant},
};

/// Length of a span and of the pause after it.
const SPAN: Duration = Duration::from_secs(5);

/// Spans in a run.
const SPANS: u32 = 4;

/// Time for which callers send: the spans with their pauses.
pub const LOAD_TIME: Duration = Duration::from_secs(5 * 2 * SPANS as u64);

/// The spans of a run.
pub struct Spans {
    is_played: bool,
    started: Instant,
    /// Answers given and answers hit, by span and target.
    counts: Mutex<HashMap<(u32, u8), (u32, u32)>>,
}

impl Spans {
    /// Starts with a span now, unless the disruption is not played.
    pub fn start(is_played: bool) -> Spans {
        Spans {
            is_played,
            started: Instant::now(),
            counts: Mutex::default(),
        }
    }

    /// Returns the number of the present span; `None` between spans.
    pub fn current(&self) -> Option<u32> {
        let elapsed = self.started.elapsed();
        let half = elapsed.as_millis() / SPAN.as_millis();
        let is_in_span = self.is_played && half.is_multiple_of(2) && elapsed < LOAD_TIME;
        is_in_span.then(|| u32::try_from(half / 2).unwrap_or(u32::MAX))
    }

    /// Counts an answer of a target in trouble; returns whether it is hit. At most `per_cent` in a
    /// hundred of its answers in a span are.
    pub fn hits(&self, target: u8, may_be_hit: bool, per_cent: u32) -> bool {
        let Some(span) = self.current() else {
            return false;
        };
        let mut counts = self.counts.lock().expect("no holder panics");
        let (given, hit) = counts.entry((span, target)).or_default();
        *given += 1;
        let is_hit = may_be_hit && (*hit + 1) * 100 <= *given * per_cent;
        *hit += u32::from(is_hit);
        is_hit
    }

    /// Describes the spans: target, answers given and hit.
    pub fn describe(&self) -> Vec<String> {
        let counts = self.counts.lock().expect("no holder panics");
        let mut all: Vec<_> = counts.iter().collect();
        all.sort();
        let line = |((span, target), (given, hit)): (&(u32, u8), &(u32, u32))| {
            format!("span {span}: target {target} gave {given} answers, {hit} of them hit")
        };
        all.into_iter().map(line).collect()
    }
}
