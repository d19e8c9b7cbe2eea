//! Measures the replicated log: elections, commits with real syncs, restarts.
//!
//! Commits and restarts use files below a folder given by the caller, which should be on the disk
//! to be measured. Elections run in virtual time.

mod commit;
mod election;
mod restart;

use std::{fmt, io, path, time};

use hdrhistogram::Histogram;
use wagtailshunt::disk;

use crate::scenario;

pub use commit::commits;
pub use election::elections;
pub use restart::restart;

/// Errors of a measurement.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The disk layer failed.
    #[error(transparent)]
    Disk(#[from] disk::Error),
    /// The simulated group rejected a command.
    #[error(transparent)]
    World(#[from] scenario::WorldError),
    /// A folder could not be read or changed, or a disk thread ended early.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The histogram of durations could not be created.
    #[error("histogram: {0}")]
    Histogram(String),
    /// No leader was elected in time.
    #[error("no leader was elected within {0:?}")]
    NoLeader(time::Duration),
}

/// Distribution of durations, with a resolution of 1 us.
#[derive(Debug)]
pub struct Durations(Histogram<u64>);

/// Maximum recorded duration in microseconds; longer ones count as this.
const MAX_DURATION_US: u64 = 60_000_000;

impl Durations {
    fn new() -> Result<Durations, Error> {
        let histogram = Histogram::new_with_bounds(1, MAX_DURATION_US, 3);
        let histogram = histogram.map_err(|err| Error::Histogram(err.to_string()))?;
        Ok(Durations(histogram))
    }

    fn record(&mut self, duration: time::Duration) {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        self.0.saturating_record(micros.max(1));
    }

    /// Returns the number of durations.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// Returns the duration at a quantile between 0 and 1.
    pub fn quantile(&self, share: f64) -> time::Duration {
        time::Duration::from_micros(self.0.value_at_quantile(share))
    }
}

impl fmt::Display for Durations {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = |share| self.quantile(share).as_secs_f64() * 1e3;
        write!(
            f,
            "p50 {:.2} ms, p90 {:.2} ms, p99 {:.2} ms, max {:.2} ms ({} samples)",
            millis(0.5),
            millis(0.9),
            millis(0.99),
            millis(1.0),
            self.count(),
        )
    }
}

/// Result of a commit measurement.
#[derive(Debug)]
pub struct Commits {
    /// Number of clients, each with one command in flight.
    pub proposers: usize,
    /// Time from proposal to application on the leader.
    pub latency: Durations,
    /// Duration of the run.
    pub elapsed: time::Duration,
    /// Number of batches that the leader synced.
    pub batches: u64,
}

impl fmt::Display for Commits {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rate = self.latency.count() as f64 / self.elapsed.as_secs_f64();
        let share = self.latency.count() as f64 / self.batches.max(1) as f64;
        write!(
            f,
            "{} proposers: {rate:.0} commits/s, {share:.1} commits per sync, {}",
            self.proposers, self.latency,
        )
    }
}

/// Result of a restart measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Restart {
    /// Number of entries in the log.
    pub entries: u64,
    /// Size of the files in bytes.
    pub bytes: u64,
    /// Time from opening the folder to a node that is ready to participate.
    pub elapsed: time::Duration,
}

impl fmt::Display for Restart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = self.elapsed.as_secs_f64() * 1e3;
        let kilobytes = self.bytes / 1000;
        write!(
            f,
            "{} entries, {kilobytes} kB: {millis:.1} ms",
            self.entries
        )
    }
}

/// Returns the path of a folder for one measurement, and removes what an earlier run left there.
fn unused_folder(parent: &path::Path, name: &str) -> Result<path::PathBuf, Error> {
    let folder = parent.join(format!("{name}-{}", std::process::id()));
    if folder.exists() {
        std::fs::remove_dir_all(&folder)?;
    }
    Ok(folder)
}
