//! Counts how often the calls of each kind and of each workspace are served, and tells which of them
//! are owed a call.

use std::{collections, time};

use super::{Caller, FadingSum};
use crate::time as core_time;

/// Time in which the calls of a kind lose two thirds of their weight.
const KIND_FADE: time::Duration = time::Duration::from_secs(2);

/// The same for the calls of a workspace, most of which send less than one per second to a VM.
const WORKSPACE_FADE: time::Duration = time::Duration::from_secs(10);

/// Share of the mean below which no kind and no workspace is to be served: the required quarter and
/// a margin for calls whose result is not known yet.
const FLOOR: f64 = 0.35;

/// Calls with the mean result that count for each kind and workspace before its own, so that one
/// refused call is not taken for a share of 0.
const PRIOR_CALLS: f64 = 1.0;

/// Weight of calls below which an entry is removed.
const NEGLIGIBLE: f64 = 0.02;

/// Calls that ended, and those of them that were served.
#[derive(Clone, Copy, Debug, Default)]
struct Ended {
    all: FadingSum,
    served: FadingSum,
}

impl Ended {
    fn record(&mut self, now: core_time::Instant, fade: time::Duration, served: bool) {
        self.all.add(now, fade, 1.0);
        self.served.add(now, fade, f64::from(u8::from(served)));
    }

    /// Returns how many of `waiting` calls have to be served so that the floor is kept.
    fn owed(
        &self,
        now: core_time::Instant,
        fade: time::Duration,
        waiting: usize,
        mean: f64,
    ) -> usize {
        let all = self.all.get(now, fade) + waiting as f64;
        let served = self.served.get(now, fade) + PRIOR_CALLS * mean;
        let owed = (all + PRIOR_CALLS) * FLOOR * mean - served;
        (owed.max(0.0).ceil() as usize).min(waiting)
    }
}

/// How often kinds and workspaces of one service were served.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    total: Ended,
    kinds: collections::BTreeMap<String, Ended>,
    workspaces: collections::BTreeMap<String, Ended>,
    cleaned_at: core_time::Instant,
}

impl Shares {
    /// Records the end of a call.
    pub fn finished(&mut self, now: core_time::Instant, caller: &Caller, served: bool) {
        if now.since(self.cleaned_at) >= KIND_FADE {
            self.cleaned_at = now;
            self.remove_old(now);
        }
        self.total.record(now, KIND_FADE, served);
        let kind = self.kinds.entry(caller.kind.clone()).or_default();
        kind.record(now, KIND_FADE, served);
        if let Some(name) = &caller.workspace {
            let workspace = self.workspaces.entry(name.clone()).or_default();
            workspace.record(now, WORKSPACE_FADE, served);
        }
    }

    /// Removes kinds and workspaces without recent calls.
    fn remove_old(&mut self, now: core_time::Instant) {
        self.kinds
            .retain(|_, ended| ended.all.get(now, KIND_FADE) > NEGLIGIBLE);
        self.workspaces
            .retain(|_, ended| ended.all.get(now, WORKSPACE_FADE) > NEGLIGIBLE);
    }

    /// Returns for each of the waiting calls whether it is owed: its kind or workspace would
    /// otherwise be served less often than the floor. The first of the waiting calls of a kind or
    /// workspace are owed before later ones.
    pub fn owed<'a>(
        &self,
        now: core_time::Instant,
        waiting: impl Iterator<Item = &'a Caller> + Clone,
    ) -> Vec<bool> {
        let all = self.total.all.get(now, KIND_FADE);
        let mean = match all > 0.0 {
            true => self.total.served.get(now, KIND_FADE) / all,
            false => 1.0,
        };
        let mut kinds: collections::BTreeMap<&str, usize> = collections::BTreeMap::new();
        let mut workspaces: collections::BTreeMap<&str, usize> = collections::BTreeMap::new();
        for caller in waiting.clone() {
            *kinds.entry(&caller.kind).or_default() += 1;
            if let Some(name) = &caller.workspace {
                *workspaces.entry(name).or_default() += 1;
            }
        }
        let none = Ended::default();
        for (name, count) in &mut kinds {
            let ended = self.kinds.get(*name).unwrap_or(&none);
            *count = ended.owed(now, KIND_FADE, *count, mean);
        }
        for (name, count) in &mut workspaces {
            let ended = self.workspaces.get(*name).unwrap_or(&none);
            *count = ended.owed(now, WORKSPACE_FADE, *count, mean);
        }
        let take = |counts: &mut collections::BTreeMap<&str, usize>, name: &str| {
            let count = counts.get_mut(name);
            count.is_some_and(|count| {
                let left = *count > 0;
                *count = count.saturating_sub(1);
                left
            })
        };
        let is_owed = |caller: &Caller| {
            let by_kind = take(&mut kinds, &caller.kind);
            let workspace = caller.workspace.as_deref();
            let by_workspace = workspace.is_some_and(|name| take(&mut workspaces, name));
            by_kind || by_workspace
        };
        waiting.map(is_owed).collect()
    }
}
