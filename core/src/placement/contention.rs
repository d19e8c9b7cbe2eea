//! Slowdown of a service's targets by the number of calls that run on them at the same time.
//!
//! A target that is nearly full may slow down so much that its last slot lowers the throughput.
//! The concurrency with the highest throughput is learned from finished calls: each gives the
//! number of calls that ran when it started and its duration relative to the usual one.

/// Weight of a new sample in the mean.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Number of samples below which a level counts as not slowed down.
const MIN_SAMPLES: u32 = 8;

/// Highest slowdown counted from one sample, so that one stalled call does not make a slot
/// unusable.
const MAX_SLOWDOWN: f64 = 4.0;

/// Learned slowdown at one concurrency.
#[derive(Clone, Copy, Debug)]
struct Level {
    /// Mean duration of calls relative to the usual one.
    slowdown: f64,
    samples: u32,
}

/// Factor by which one more call must raise the throughput of a target. It is above 1 because the
/// call also slows the calls that run already, which its own slowdown does not include.
const MIN_THROUGHPUT_GAIN: f64 = 1.15;

/// Learned slowdown of a service's targets for each number of running calls.
#[derive(Clone, Debug, Default)]
pub struct Contention {
    levels: Vec<Level>,
}

impl Contention {
    /// Records a call that started as the `running`th on its target and took `slowdown` times the
    /// usual service time.
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
            * SAMPLE_WEIGHT.max(1.0 / f64::from(level.samples));
    }

    /// Returns the slowdown of a call that starts as the `running`th; 1 while it is not known.
    pub fn slowdown(&self, running: u32) -> f64 {
        let level = self.levels.get(running.max(1) as usize - 1);
        let known = level.filter(|level| level.samples >= MIN_SAMPLES);
        known.map_or(1.0, |level| level.slowdown.max(1.0))
    }

    /// Returns the concurrency at which a target with `slots` slots has its highest throughput.
    pub fn best_concurrency(&self, slots: u32) -> u32 {
        let known = u32::try_from(self.levels.len()).unwrap_or(u32::MAX);
        let mut highest = (1.0, 1);
        // Without a known slowdown the throughput rises up to the last slot.
        for running in (2..=slots.min(known)).chain(std::iter::once(slots)) {
            let throughput = f64::from(running) / self.slowdown(running);
            if throughput > highest.0 * MIN_THROUGHPUT_GAIN {
                highest = (throughput, running);
            }
        }
        highest.1
    }
}
