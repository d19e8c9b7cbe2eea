//! Watches the space that a VM's files take on its disk, so that an operator hears of a disk that
//! will be full before it is.

use std::time;

use crate::time as core_time;

/// Shares of the disk at which a warning is due, each once until the use falls below it.
const WARNING_SHARES: [f64; 3] = [0.5, 0.75, 0.9];

/// Time over which the growth is measured.
const GROWTH_WINDOW: time::Duration = time::Duration::from_secs(60);

/// A warning about the use of a disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpaceWarning {
    /// Bytes in use.
    pub used: u64,
    /// Bytes that the files may take.
    pub limit: u64,
    /// Time until the disk is full at the present growth; `None` if the use does not grow.
    pub full_in: Option<time::Duration>,
}

/// Use of one disk over time.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpaceWatch {
    /// Start of the window in which the growth is measured.
    window: Option<(core_time::Instant, u64)>,
    /// Growth in bytes per second over the last complete window.
    growth: f64,
    /// Number of the warning shares that were reached.
    level: usize,
}

impl SpaceWatch {
    /// Records the use at one time; returns a warning if a further share of the disk is reached.
    pub fn observe(
        &mut self,
        now: core_time::Instant,
        used: u64,
        limit: u64,
    ) -> Option<SpaceWarning> {
        let (start, used_at_start) = *self.window.get_or_insert((now, used));
        let elapsed = now.since(start);
        if elapsed >= GROWTH_WINDOW {
            self.growth = (used as f64 - used_at_start as f64) / elapsed.as_secs_f64();
            self.window = Some((now, used));
        }
        let share = used as f64 / limit.max(1) as f64;
        let level = WARNING_SHARES.iter().filter(|at| share >= **at).count();
        let is_higher = level > self.level;
        self.level = level;
        is_higher.then(|| SpaceWarning {
            used,
            limit,
            full_in: self.full_in(used, limit),
        })
    }

    /// Returns the time until the disk is full at the present growth.
    fn full_in(&self, used: u64, limit: u64) -> Option<time::Duration> {
        let seconds = limit.saturating_sub(used) as f64 / self.growth;
        (self.growth > 0.0).then(|| time::Duration::from_secs_f64(seconds))
    }
}
