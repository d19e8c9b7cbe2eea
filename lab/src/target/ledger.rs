//! Record of the runs of each idempotency key, from which tests check that a call ran only once.

use std::collections;

/// Number of runs of one idempotency key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Runs {
    /// Runs that started.
    pub started: u32,
    /// Runs that finished with a response.
    pub finished: u32,
    /// Runs that were cancelled or lost in a crash.
    pub cancelled: u32,
}

/// Runs by `Idempotency-Key`. The ledger is kept when the target crashes.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    runs: collections::BTreeMap<String, Runs>,
}

impl Ledger {
    /// Returns the number of runs of a key.
    pub fn runs(&self, key: &str) -> Runs {
        self.runs.get(key).copied().unwrap_or_default()
    }

    /// Returns all keys with their runs.
    pub fn iter(&self) -> impl Iterator<Item = (&str, Runs)> {
        self.runs.iter().map(|(key, runs)| (key.as_str(), *runs))
    }

    /// Adds the runs of the ledger of another target.
    pub fn merge(&mut self, other: &Ledger) {
        for (key, runs) in &other.runs {
            let sum = self.runs.entry(key.clone()).or_default();
            sum.started += runs.started;
            sum.finished += runs.finished;
            sum.cancelled += runs.cancelled;
        }
    }

    pub(super) fn entry(&mut self, key: &str) -> &mut Runs {
        self.runs.entry(key.to_owned()).or_default()
    }
}
