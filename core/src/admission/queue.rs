//! Queue of one service: by priority, then in turn between callers.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::time;

use super::{CallId, Priority};
use crate::deadline::Deadline;
use crate::time::Instant;

/// A waiting call.
#[derive(Clone, Copy, Debug)]
pub(super) struct Queued {
    pub id: CallId,
    pub priority: Priority,
    pub deadline: Deadline,
}

#[derive(Clone, Debug, Default)]
struct Level {
    callers: BTreeMap<String, VecDeque<Queued>>,
    /// Callers with waiting calls, the next to be served first.
    turns: VecDeque<String>,
}

impl Level {
    fn len(&self) -> usize {
        self.callers.values().map(VecDeque::len).sum()
    }

    fn waiting(&self, caller: &str) -> usize {
        self.callers.get(caller).map_or(0, VecDeque::len)
    }

    fn push(&mut self, caller: &str, queued: Queued) {
        if let Some(calls) = self.callers.get_mut(caller) {
            calls.push_back(queued);
            return;
        }
        self.callers
            .insert(caller.to_owned(), VecDeque::from([queued]));
        self.turns.push_back(caller.to_owned());
    }

    fn pop(&mut self) -> Option<Queued> {
        let caller = self.turns.pop_front()?;
        let calls = self.callers.get_mut(&caller)?;
        let queued = calls.pop_front();
        if calls.is_empty() {
            self.callers.remove(&caller);
        } else {
            self.turns.push_back(caller);
        }
        queued
    }

    /// Removes the newest call of the caller that has most calls waiting.
    fn pop_longest(&mut self) -> Option<Queued> {
        let longest = self.callers.iter().max_by_key(|(_, calls)| calls.len());
        let caller = longest.map(|(caller, _)| caller.clone())?;
        let queued = self.callers.get_mut(&caller)?.pop_back();
        self.drop_empty();
        queued
    }

    fn longest(&self) -> usize {
        self.callers.values().map(VecDeque::len).max().unwrap_or(0)
    }

    fn drop_empty(&mut self) {
        self.callers.retain(|_, calls| !calls.is_empty());
        self.turns
            .retain(|caller| self.callers.contains_key(caller));
    }
}

/// Waiting calls of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    levels: BTreeMap<Reverse<Priority>, Level>,
    len: usize,
}

impl Queue {
    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub fn push(&mut self, caller: &str, queued: Queued) {
        self.levels
            .entry(Reverse(queued.priority))
            .or_default()
            .push(caller, queued);
        self.len += 1;
    }

    pub fn pop(&mut self) -> Option<Queued> {
        let mut first = self.levels.first_entry()?;
        let queued = first.get_mut().pop();
        if first.get().callers.is_empty() {
            first.remove();
        }
        self.len -= usize::from(queued.is_some());
        queued
    }

    /// Returns how many waiting calls would be served before a new one.
    pub fn ahead_of(&self, priority: Priority, caller: &str) -> usize {
        let higher = self
            .levels
            .range(..Reverse(priority))
            .map(|(_, level)| level.len());
        let higher: usize = higher.sum();
        let Some(level) = self.levels.get(&Reverse(priority)) else {
            return higher;
        };
        // Callers take turns, so each caller is ahead with at most one call more than this one has.
        let turns = level.waiting(caller) + 1;
        let same: usize = level
            .callers
            .iter()
            .map(|(name, calls)| {
                if name == caller {
                    calls.len()
                } else {
                    calls.len().min(turns)
                }
            })
            .sum();
        higher + same
    }

    /// Makes room for a call: removes a call of lower priority, or of equal priority from a caller
    /// that would still have no fewer calls waiting.
    pub fn displace(&mut self, priority: Priority, caller: &str) -> Option<Queued> {
        let mut last = self.levels.last_entry()?;
        let lowest = last.key().0;
        let level = last.get_mut();
        let yields = lowest < priority
            || (lowest == priority && level.longest() > level.waiting(caller) + 1);
        if !yields {
            return None;
        }
        let victim = level.pop_longest();
        if level.callers.is_empty() {
            last.remove();
        }
        self.len -= usize::from(victim.is_some());
        victim
    }

    pub fn remove(&mut self, id: CallId) -> bool {
        let removed = self.take_if(|queued| queued.id == id);
        !removed.is_empty()
    }

    /// Removes the calls that can't be answered in time.
    pub fn take_late(&mut self, now: Instant, expected: time::Duration) -> Vec<Queued> {
        if self
            .earliest_deadline()
            .is_none_or(|earliest| earliest.allows(now, expected))
        {
            return Vec::new();
        }
        self.take_if(|queued| !queued.deadline.allows(now, expected))
    }

    pub fn earliest_deadline(&self) -> Option<Deadline> {
        let calls = self
            .levels
            .values()
            .flat_map(|level| level.callers.values())
            .flatten();
        calls.map(|queued| queued.deadline).min()
    }

    fn take_if(&mut self, condition: impl Fn(&Queued) -> bool) -> Vec<Queued> {
        let mut taken = Vec::new();
        for level in self.levels.values_mut() {
            for calls in level.callers.values_mut() {
                taken.extend(calls.iter().copied().filter(|queued| condition(queued)));
                calls.retain(|queued| !condition(queued));
            }
            level.drop_empty();
        }
        self.levels.retain(|_, level| !level.callers.is_empty());
        self.len -= taken.len();
        taken
    }
}
