//! Load and fault patterns under which policies are compared.
//!
//! Each situation changes the settings of a run and schedules its faults; the first second of
//! virtual time is warm-up and is not measured.

use std::time;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use wagtailshunt_core::time::Instant;

use super::cluster::Cluster;
use super::faults::Fault;
use super::setup::Setup;

/// Virtual time at which the measured interval starts.
const MEASURE_FROM: Instant = Instant(1_000_000);
/// Virtual time at which the fault starts.
const FAULT_AT: Instant = Instant(2_000_000);
/// Virtual time at which a temporary fault ends.
const FAULT_END: Instant = Instant(5_000_000);

/// A load or fault pattern.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Situation {
    /// 70% of the slots are busy.
    Calm,
    /// The load rises from 40% to 95% at once.
    Rush,
    /// A third of the targets restart and serve slowly until they have warmed up.
    ColdStarts,
    /// Other processes on the same machines slow groups of targets down for 50 ms at a time.
    NoisyNeighbours,
    /// One target becomes ten times slower.
    SlowTarget,
    /// One target responds with an error at once.
    FailFast,
    /// Load reports are up to 2 s old.
    StaleReports,
    /// Two targets report zero load, whatever they run.
    LyingReports,
    /// Two targets drain, one second apart.
    Drain,
    /// All targets and gateways of a failure domain are lost at 70% load.
    DomainLost,
}

impl Situation {
    /// All situations.
    pub const ALL: [Situation; 10] = [
        Situation::Calm,
        Situation::Rush,
        Situation::ColdStarts,
        Situation::NoisyNeighbours,
        Situation::SlowTarget,
        Situation::FailFast,
        Situation::StaleReports,
        Situation::LyingReports,
        Situation::Drain,
        Situation::DomainLost,
    ];

    /// Runs the situation for a measured time of `length` and returns the cluster at its end.
    pub fn run(self, setup: Setup, seed: u64, length: time::Duration) -> Cluster {
        let mut cluster = Cluster::new(self.adjust(setup), seed);
        self.schedule_faults(&mut cluster, seed, length);
        cluster.start_load(Instant(0));
        cluster.advance(MEASURE_FROM);
        cluster.reset_stats();
        cluster.advance(MEASURE_FROM + length);
        cluster
    }

    fn adjust(self, setup: Setup) -> Setup {
        match self {
            Situation::Rush => Setup {
                utilisation: 0.4,
                ..setup
            },
            Situation::StaleReports => Setup {
                report_period: time::Duration::from_secs(2),
                ..setup
            },
            _ => setup,
        }
    }

    fn schedule_faults(self, cluster: &mut Cluster, seed: u64, length: time::Duration) {
        let targets = cluster.setup.targets;
        match self {
            Situation::Calm | Situation::StaleReports => {}
            Situation::Rush => {
                cluster.schedule_fault(FAULT_AT, Fault::Rate { permille: 2_375 });
                cluster.schedule_fault(FAULT_END, Fault::Rate { permille: 1_000 });
            }
            Situation::ColdStarts => {
                for target in 0..targets / 3 {
                    let at = FAULT_AT + time::Duration::from_millis(300 * target as u64);
                    cluster.schedule_fault(at, Fault::Restart { target });
                }
            }
            Situation::NoisyNeighbours => schedule_noisy_neighbours(cluster, seed, length),
            Situation::SlowTarget => {
                cluster.schedule_fault(
                    FAULT_AT,
                    Fault::Slow {
                        target: 0,
                        permille: 10_000,
                    },
                );
                cluster.schedule_fault(
                    FAULT_END,
                    Fault::Slow {
                        target: 0,
                        permille: 1_000,
                    },
                );
            }
            Situation::FailFast => {
                cluster.schedule_fault(
                    FAULT_AT,
                    Fault::FailFast {
                        target: 0,
                        on: true,
                    },
                );
                cluster.schedule_fault(
                    FAULT_END,
                    Fault::FailFast {
                        target: 0,
                        on: false,
                    },
                );
            }
            Situation::LyingReports => {
                for target in [0, 1] {
                    cluster.schedule_fault(FAULT_AT, Fault::ReportNoLoad { target, on: true });
                }
            }
            Situation::Drain => {
                cluster.schedule_fault(FAULT_AT, Fault::Drain { target: 0 });
                cluster.schedule_fault(
                    FAULT_AT + time::Duration::from_secs(1),
                    Fault::Drain { target: 1 },
                );
            }
            Situation::DomainLost => {
                cluster.schedule_fault(FAULT_AT, Fault::LoseDomain { domain: 1 })
            }
        }
    }
}

/// Slows the targets of a random machine for 50 ms, every 400 ms on average.
///
/// Each machine holds three targets.
fn schedule_noisy_neighbours(cluster: &mut Cluster, seed: u64, length: time::Duration) {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x6e65_6967);
    let targets = cluster.setup.targets;
    let machines = targets.div_ceil(3);
    let end = MEASURE_FROM + length;
    let mut at = Instant(0);
    loop {
        at = at + time::Duration::from_millis(rng.random_range(20..780));
        if at >= end {
            return;
        }
        let machine = rng.random_range(0..machines);
        let until = at + time::Duration::from_millis(50);
        for target in machine * 3..(machine * 3 + 3).min(targets) {
            cluster.schedule_fault(
                at,
                Fault::Neighbour {
                    target,
                    permille: 4_000,
                },
            );
            cluster.schedule_fault(
                until,
                Fault::Neighbour {
                    target,
                    permille: 1_000,
                },
            );
        }
    }
}
