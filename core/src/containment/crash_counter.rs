//! Counts target crashes by request without a leader, and decides which requests are refused.
//!
//! A request that crashes every target that runs it can be sent again at any VM, and there is no
//! leader that could permit each run. Each VM therefore counts the incarnations of targets that
//! crashed while running a request, from its own observations and from the crash messages of the
//! other VMs, and refuses the request after the third. A complete response removes the count of a
//! request, because targets may have crashed for another reason while it was in flight.

use std::{collections, time};

use crate::{containment::Fingerprint, fleet, time as core_time};

/// Number of target incarnations lost with a request at which the request is refused. A lower
/// number would refuse requests that were in flight when several targets crashed for another
/// reason.
const INCARNATIONS_TO_BLOCK: usize = 3;

/// Duration of the first block. Each further crash doubles it. It is longer than a series of
/// resends by a caller.
const BLOCK_DURATION: time::Duration = time::Duration::from_secs(60);

/// Maximum number of doublings of [`BLOCK_DURATION`], which limits a block to about an hour.
const MAX_DOUBLINGS: u32 = 6;

/// Time after the last crash for which the count of a request that is not blocked is kept.
const COUNT_RETENTION: time::Duration = time::Duration::from_secs(120);

/// Maximum number of requests with a count. Beyond it, the request with the oldest last crash is
/// dropped.
const MAX_REQUESTS: usize = 1024;

#[derive(Clone, Debug)]
struct Suspect {
    incarnations: collections::BTreeSet<fleet::TargetIncarnation>,
    last_crash: core_time::Instant,
    blocked_until: Option<core_time::Instant>,
}

/// Effect of [`CrashCounter::record_crash`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordResult {
    /// The incarnation was already counted for this request.
    Duplicate,
    /// The crash was counted; the request is still allowed.
    Counted,
    /// The crash was counted, and the request is refused from now on.
    Blocked,
}

/// Target crashes by the request that was in flight.
#[derive(Clone, Debug, Default)]
pub struct CrashCounter {
    suspects: collections::BTreeMap<Fingerprint, Suspect>,
}

impl CrashCounter {
    /// Records that an incarnation of a target crashed while it ran a request.
    pub fn record_crash(
        &mut self,
        now: core_time::Instant,
        request: Fingerprint,
        incarnation: &fleet::TargetIncarnation,
    ) -> RecordResult {
        self.remove_expired(now);
        let suspect = self.suspects.entry(request).or_insert_with(|| Suspect {
            incarnations: collections::BTreeSet::new(),
            last_crash: now,
            blocked_until: None,
        });
        if !suspect.incarnations.insert(incarnation.clone()) {
            return RecordResult::Duplicate;
        }
        suspect.last_crash = now;
        let further_crashes = match suspect
            .incarnations
            .len()
            .checked_sub(INCARNATIONS_TO_BLOCK)
        {
            Some(further_crashes) => u32::try_from(further_crashes).unwrap_or(MAX_DOUBLINGS),
            None => return RecordResult::Counted,
        };
        suspect.blocked_until =
            Some(now + BLOCK_DURATION * (1 << further_crashes.min(MAX_DOUBLINGS)));
        RecordResult::Blocked
    }

    /// Removes the count of a request to which a target returned a complete response.
    pub fn record_response(&mut self, request: Fingerprint) {
        self.suspects.remove(&request);
    }

    /// Returns the number of counted incarnations over all requests.
    pub fn incarnations(&self) -> usize {
        let incarnations = self
            .suspects
            .values()
            .map(|suspect| suspect.incarnations.len());
        incarnations.sum()
    }

    /// Returns `true` if no request has a count, in which case the caller need not compute a
    /// fingerprint.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns `true` if the request is refused at `now`.
    pub fn is_blocked(&self, now: core_time::Instant, request: Fingerprint) -> bool {
        let suspect = self.suspects.get(&request);
        let until = suspect.and_then(|suspect| suspect.blocked_until);
        until.is_some_and(|until| now < until)
    }

    fn remove_expired(&mut self, now: core_time::Instant) {
        self.suspects.retain(|_, suspect| {
            let blocked = suspect.blocked_until.is_some_and(|until| now < until);
            blocked || now.since(suspect.last_crash) < COUNT_RETENTION
        });
        while self.suspects.len() >= MAX_REQUESTS {
            let oldest = self
                .suspects
                .iter()
                .min_by_key(|(_, suspect)| suspect.last_crash);
            let Some(request) = oldest.map(|(request, _)| *request) else {
                return;
            };
            self.suspects.remove(&request);
        }
    }
}
