//! How much targets of a service slow down as they fill up.
//!
//! Answers to targets that get slower when nearly full: the last slot then costs more work than it
//! adds. The number of calls at which a target gets most done is learned from how long calls took
//! that began beside so many others.

/// Weight of a new sample.
const WEIGHT: f64 = 0.1;

/// Samples before a level is believed.
const MIN_SAMPLES: u32 = 8;

/// Largest ratio taken from one sample, so that one stalled call doesn't close a slot.
const MAX_SLOWDOWN: f64 = 4.0;

#[derive(Clone, Copy, Debug)]
struct Level {
    /// Time of calls relative to the usual work.
    slowdown: f64,
    samples: u32,
}

/// A further call must add this much to what a target gets done; calls beside it are slowed as
/// well, which the ratio of the further call alone doesn't show.
const MIN_GAIN: f64 = 1.15;

/// Learned slowing of the targets of a service, by the number of calls that run.
#[derive(Clone, Debug, Default)]
pub struct Contention {
    levels: Vec<Level>,
}

impl Contention {
    /// Adds a call that began as the `running`th on its target and took `slowdown` times the usual
    /// work.
    pub fn record(&mut self, running: u32, slowdown: f64) {
        let at = running.max(1) as usize - 1;
        if self.levels.len() <= at {
            let unknown = Level {
                slowdown: 1.0,
                samples: 0,
            };
            self.levels.resize(at + 1, unknown);
        }
        let level = &mut self.levels[at];
        level.samples += 1;
        level.slowdown += (slowdown.min(MAX_SLOWDOWN) - level.slowdown)
            * WEIGHT.max(1.0 / f64::from(level.samples));
    }

    /// Returns how much longer a call takes that runs as the `running`th.
    pub fn slowdown(&self, running: u32) -> f64 {
        let level = self.levels.get(running.max(1) as usize - 1);
        let known = level.filter(|level| level.samples >= MIN_SAMPLES);
        known.map_or(1.0, |level| level.slowdown.max(1.0))
    }

    /// Returns the number of calls at which a target with `slots` slots gets most done.
    pub fn best_concurrency(&self, slots: u32) -> u32 {
        let mut best = (1.0, 1);
        for running in 2..=slots {
            let done = f64::from(running) / self.slowdown(running);
            if done > best.0 * MIN_GAIN {
                best = (done, running);
            }
        }
        best.1
    }
}
