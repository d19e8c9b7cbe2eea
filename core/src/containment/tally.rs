//! Requests that crash targets, counted by VMs that tell each other of each crash.
//!
//! Answers to a request that crashes each target that runs it and is sent again at any VM. There is no
//! leader to ask before a run: each VM counts the lives of targets that were lost with a request and
//! refuses it after the third. A request that gets an answer is innocent, whatever was lost beside it.

use std::{collections, time};

use crate::{containment::Fingerprint, fleet, time as core_time};

/// Lives of targets lost with a request until it is refused. Fewer would refuse requests that were in
/// flight when several targets were lost for another reason.
const LIVES_TO_BLOCK: usize = 3;

/// Time for which a request is refused the first time; doubled each time that it has crashed a further
/// target afterwards. Longer than the series in which callers send a request again.
const BLOCK_FOR: time::Duration = time::Duration::from_secs(60);

/// Doublings of [`BLOCK_FOR`] at most: about an hour.
const MAX_DOUBLINGS: u32 = 6;

/// Time after the last crash for which a count is kept while the request isn't refused.
const FORGET_AFTER: time::Duration = time::Duration::from_secs(120);

/// Requests counted at once; beyond this the one whose last crash is the oldest is forgotten.
const MAX_REQUESTS: usize = 1024;

#[derive(Clone, Debug)]
struct Suspect {
    lives: collections::BTreeSet<fleet::TargetIncarnation>,
    last: core_time::Instant,
    blocked_until: Option<core_time::Instant>,
}

/// What a report of a crash changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counted {
    /// The crash was known.
    Known,
    /// The crash is counted.
    News,
    /// The crash is counted, and the request is refused from now on.
    Blocked,
}

/// Crashes by request.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    suspects: collections::BTreeMap<Fingerprint, Suspect>,
}

impl Tally {
    /// Counts a life of a target that was lost with a request.
    pub fn crashed(
        &mut self,
        now: core_time::Instant,
        request: Fingerprint,
        life: &fleet::TargetIncarnation,
    ) -> Counted {
        self.forget(now);
        let suspect = self.suspects.entry(request).or_insert_with(|| Suspect {
            lives: collections::BTreeSet::new(),
            last: now,
            blocked_until: None,
        });
        if !suspect.lives.insert(life.clone()) {
            return Counted::Known;
        }
        suspect.last = now;
        let beyond = match suspect.lives.len().checked_sub(LIVES_TO_BLOCK) {
            Some(beyond) => u32::try_from(beyond).unwrap_or(MAX_DOUBLINGS),
            None => return Counted::News,
        };
        suspect.blocked_until = Some(now + BLOCK_FOR * (1 << beyond.min(MAX_DOUBLINGS)));
        Counted::Blocked
    }

    /// Notes that a target answered a request.
    pub fn answered(&mut self, request: Fingerprint) {
        self.suspects.remove(&request);
    }

    /// Returns the number of lives that are counted.
    pub fn lives(&self) -> usize {
        let lives = self.suspects.values().map(|suspect| suspect.lives.len());
        lives.sum()
    }

    /// Returns whether no request is suspected, so that a fingerprint need not be computed.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns whether a request is refused.
    pub fn is_blocked(&self, now: core_time::Instant, request: Fingerprint) -> bool {
        let suspect = self.suspects.get(&request);
        let until = suspect.and_then(|suspect| suspect.blocked_until);
        until.is_some_and(|until| now < until)
    }

    fn forget(&mut self, now: core_time::Instant) {
        self.suspects.retain(|_, suspect| {
            let blocked = suspect.blocked_until.is_some_and(|until| now < until);
            blocked || now.since(suspect.last) < FORGET_AFTER
        });
        while self.suspects.len() >= MAX_REQUESTS {
            let oldest = self.suspects.iter().min_by_key(|(_, suspect)| suspect.last);
            let Some(request) = oldest.map(|(request, _)| *request) else {
                return;
            };
            self.suspects.remove(&request);
        }
    }
}
