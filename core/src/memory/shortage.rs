//! Start and end of a shortage, so that a report is not repeated while it lasts.

use std::time;

use crate::time as core_time;

/// Time without a sign after which a shortage is over. Callers that were refused come back earlier.
const QUIET: time::Duration = time::Duration::from_secs(10);

/// A shortage that shows from time to time while it lasts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shortage {
    last_seen: Option<core_time::Instant>,
}

impl Shortage {
    /// Records whether there was a sign of the shortage since the last call. Returns `Some(true)` at
    /// the start of a shortage and `Some(false)` at its end.
    pub fn observe(&mut self, now: core_time::Instant, is_seen: bool) -> Option<bool> {
        match (is_seen, self.last_seen) {
            (true, last_seen) => {
                self.last_seen = Some(now);
                last_seen.is_none().then_some(true)
            }
            (false, Some(last_seen)) if now.since(last_seen) >= QUIET => {
                self.last_seen = None;
                Some(false)
            }
            (false, _) => None,
        }
    }
}
