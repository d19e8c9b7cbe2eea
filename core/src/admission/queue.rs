//! Queue of one service: ordered by priority, then round-robin between callers.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::time;

use super::{CallId, Priority};
use crate::deadline::Deadline;
use crate::time::Instant;

/// A queued call.
#[derive(Clone, Copy, Debug)]
pub(super) struct Queued {
    pub id: CallId,
    pub priority: Priority,
    pub deadline: Deadline,
}

/// Queued calls of one priority.
#[derive(Clone, Debug, Default)]
struct Level {
    /// Queued calls of each caller, in order of arrival.
    callers: BTreeMap<String, VecDeque<Queued>>,
    /// Callers with queued calls in round-robin order, the next to be served first.
    caller_order: VecDeque<String>,
}

impl Level {
    fn len(&self) -> usize {
        self.callers.values().map(VecDeque::len).sum()
    }

    fn queued_calls(&self, caller: &str) -> usize {
        self.callers.get(caller).map_or(0, VecDeque::len)
    }

    fn push(&mut self, caller: &str, queued: Queued) {
        if let Some(calls) = self.callers.get_mut(caller) {
            calls.push_back(queued);
            return;
        }
        self.callers
            .insert(caller.to_owned(), VecDeque::from([queued]));
        self.caller_order.push_back(caller.to_owned());
    }

    fn pop(&mut self) -> Option<Queued> {
        let caller = self.caller_order.pop_front()?;
        let calls = self.callers.get_mut(&caller)?;
        let queued = calls.pop_front();
        if calls.is_empty() {
            self.callers.remove(&caller);
        } else {
            self.caller_order.push_back(caller);
        }
        queued
    }

    /// Removes the newest call of the caller with the most queued calls.
    fn pop_from_longest(&mut self) -> Option<Queued> {
        let longest = self.callers.iter().max_by_key(|(_, calls)| calls.len());
        let caller = longest.map(|(caller, _)| caller.clone())?;
        let queued = self.callers.get_mut(&caller)?.pop_back();
        self.remove_empty_callers();
        queued
    }

    fn longest_len(&self) -> usize {
        self.callers.values().map(VecDeque::len).max().unwrap_or(0)
    }

    fn remove_empty_callers(&mut self) {
        self.callers.retain(|_, calls| !calls.is_empty());
        self.caller_order
            .retain(|caller| self.callers.contains_key(caller));
    }
}

/// Queued calls of one service.
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
        let mut highest_entry = self.levels.first_entry()?;
        let queued = highest_entry.get_mut().pop();
        if highest_entry.get().callers.is_empty() {
            highest_entry.remove();
        }
        self.len -= usize::from(queued.is_some());
        queued
    }

    /// Returns how many queued calls would be served before a new one.
    pub fn ahead_of(&self, priority: Priority, caller: &str) -> usize {
        let higher = self
            .levels
            .range(..Reverse(priority))
            .map(|(_, level)| level.len());
        let higher: usize = higher.sum();
        let Some(level) = self.levels.get(&Reverse(priority)) else {
            return higher;
        };
        // Callers are served round-robin, so at most one call more than this caller has queued is
        // ahead for each other caller.
        let rounds = level.queued_calls(caller) + 1;
        let same: usize = level
            .callers
            .iter()
            .map(|(name, calls)| {
                if name == caller {
                    calls.len()
                } else {
                    calls.len().min(rounds)
                }
            })
            .sum();
        higher + same
    }

    /// Makes room for a call: removes a call of lower priority, or one of equal priority from a
    /// caller that still has at least as many queued calls afterwards as the new call's caller.
    pub fn displace(&mut self, priority: Priority, caller: &str) -> Option<Queued> {
        let mut lowest_entry = self.levels.last_entry()?;
        let lowest_priority = lowest_entry.key().0;
        let level = lowest_entry.get_mut();
        let can_displace = lowest_priority < priority
            || (lowest_priority == priority
                && level.longest_len() > level.queued_calls(caller) + 1);
        if !can_displace {
            return None;
        }
        let victim = level.pop_from_longest();
        if level.callers.is_empty() {
            lowest_entry.remove();
        }
        self.len -= usize::from(victim.is_some());
        victim
    }

    pub fn remove(&mut self, id: CallId) -> bool {
        let removed = self.remove_if(|queued| queued.id == id);
        !removed.is_empty()
    }

    /// Removes the calls that cannot be answered before their deadline if a response takes
    /// `expected`.
    pub fn remove_late(&mut self, now: Instant, expected: time::Duration) -> Vec<Queued> {
        if self
            .earliest_deadline()
            .is_none_or(|earliest| earliest.allows(now, expected))
        {
            return Vec::new();
        }
        self.remove_if(|queued| !queued.deadline.allows(now, expected))
    }

    pub fn earliest_deadline(&self) -> Option<Deadline> {
        let calls = self
            .levels
            .values()
            .flat_map(|level| level.callers.values())
            .flatten();
        calls.map(|queued| queued.deadline).min()
    }

    fn remove_if(&mut self, predicate: impl Fn(&Queued) -> bool) -> Vec<Queued> {
        let mut removed = Vec::new();
        for level in self.levels.values_mut() {
            for calls in level.callers.values_mut() {
                removed.extend(calls.iter().copied().filter(|queued| predicate(queued)));
                calls.retain(|queued| !predicate(queued));
            }
            level.remove_empty_callers();
        }
        self.levels.retain(|_, level| !level.callers.is_empty());
        self.len -= removed.len();
        removed
    }
}
