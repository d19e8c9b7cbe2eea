//! Faults and planned changes of the model.

use std::time;

use wagtailshunt_core::types::VmId;

use super::cluster::{Cluster, Event};
use super::setup::Selection;

/// Time until the directory has told all gateways of a target that announces a change.
const DIRECTORY_DELAY: time::Duration = time::Duration::from_millis(50);
/// Time until the directory drops a target that has fallen silent.
const TARGET_TTL: time::Duration = time::Duration::from_secs(3);

/// A change at one time. Factors are in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// Service times of a target change by a factor.
    Slow {
        /// The target.
        target: usize,
        /// Factor in thousandths.
        permille: u32,
    },
    /// A neighbour on the same machine changes service times by a factor.
    Neighbour {
        /// The target.
        target: usize,
        /// Factor in thousandths.
        permille: u32,
    },
    /// A target answers every call at once with an error, or stops doing so.
    FailFast {
        /// The target.
        target: usize,
        /// Whether it does.
        on: bool,
    },
    /// A target reports no load at all, or stops doing so.
    Lie {
        /// The target.
        target: usize,
        /// Whether it does.
        on: bool,
    },
    /// A target is neither slow nor failing nor lying any more.
    Heal {
        /// The target.
        target: usize,
    },
    /// A target falls silent.
    Lose {
        /// The target.
        target: usize,
    },
    /// All gateways and targets of a failure domain fall silent.
    LoseDomain {
        /// The failure domain.
        domain: usize,
    },
    /// A target announces that it leaves.
    Drain {
        /// The target.
        target: usize,
    },
    /// A target starts anew and is cold.
    Restart {
        /// The target.
        target: usize,
    },
    /// The offered load changes by a factor.
    Rate {
        /// Factor in thousandths.
        permille: u32,
    },
    /// The arrivals end.
    StopLoad,
}

impl Cluster {
    /// Applies a fault now.
    pub fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Slow { target, permille } => {
                self.targets[target].slow = f64::from(permille) / 1000.0;
            }
            Fault::Neighbour { target, permille } => {
                self.targets[target].neighbour = f64::from(permille) / 1000.0;
            }
            Fault::FailFast { target, on } => self.targets[target].fails_fast = on,
            Fault::Lie { target, on } => self.targets[target].lies = on,
            Fault::Heal { target } => {
                let fake = &mut self.targets[target];
                fake.slow = 1.0;
                fake.fails_fast = false;
                fake.lies = false;
            }
            Fault::Lose { target } => {
                self.lose_target(target);
                self.schedule_in(TARGET_TTL, Event::Directory(target));
            }
            Fault::LoseDomain { domain } => self.lose_domain(domain),
            Fault::Drain { target } => {
                self.targets[target].draining = true;
                self.return_slots(target);
                if self.setup.obey_drain {
                    self.schedule_in(DIRECTORY_DELAY, Event::Directory(target));
                }
            }
            Fault::Restart { target } => {
                self.lose_target(target);
                let fake = &mut self.targets[target];
                fake.lost = false;
                fake.draining = false;
                fake.incarnation += 1;
                fake.chill();
                self.schedule_in(DIRECTORY_DELAY, Event::Directory(target));
            }
            Fault::Rate { permille } => self.arrivals.factor = f64::from(permille) / 1000.0,
            Fault::StopLoad => self.loading = false,
        }
    }

    fn lose_domain(&mut self, domain: usize) {
        for target in 0..self.targets.len() {
            if self.targets[target].domain == domain {
                self.inject(Fault::Lose { target });
            }
        }
        for number in 0..self.gateways.len() {
            if self.gateways[number].domain_number == domain && !self.is_owner(number) {
                self.lose_gateway(number);
            }
        }
    }

    /// The model has no successor for the owner, so it is kept alive.
    fn is_owner(&self, gateway: usize) -> bool {
        gateway == 0 && self.setup.selection != Selection::Local
    }

    fn lose_gateway(&mut self, number: usize) {
        self.gateways[number].alive = false;
        self.broker.remove_gateway(VmId(number as u32));
        for call in 0..self.calls.len() {
            if self.calls[call].gateway == number && !self.calls[call].done {
                self.calls[call].done = true;
                self.stats.failed += 1;
                for attempt in std::mem::take(&mut self.calls[call].outstanding) {
                    self.attempts[attempt].open = false;
                    self.schedule_in(self.setup.far, Event::Cancel(attempt));
                }
            }
        }
    }

    pub(super) fn return_slots(&mut self, target: usize) {
        match self.setup.selection {
            Selection::Local => {}
            Selection::SlotLeases { .. } | Selection::Owner => {
                let key = self.gateways[0].keys[target];
                self.broker.remove(key);
                for gateway in &mut self.gateways {
                    gateway.held[target] = 0;
                    gateway.balancer.set_leased_slots(key, 0);
                }
            }
        }
    }
}
