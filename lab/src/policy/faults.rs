//! Faults and load changes that are injected into the model.

use std::time;

use wagtailshunt_core::types::VmId;

use super::cluster::{Cluster, Event};
use super::setup::Selection;

/// Time until a change that a target announces has reached all gateways.
const DIRECTORY_DELAY: time::Duration = time::Duration::from_millis(50);
/// Time until the directory removes a target that has stopped announcing itself.
const TARGET_TTL: time::Duration = time::Duration::from_secs(3);

/// A fault or load change. Factors are in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// Sets the factor on the service times of a target.
    Slow {
        /// The target.
        target: usize,
        /// Factor in thousandths.
        permille: u32,
    },
    /// Sets the factor that another process on the same machine adds to the service times.
    Neighbour {
        /// The target.
        target: usize,
        /// Factor in thousandths.
        permille: u32,
    },
    /// Makes a target respond to every call at once with an error, or ends this.
    FailFast {
        /// The target.
        target: usize,
        /// Whether the fault is active.
        on: bool,
    },
    /// Makes a target report zero load, or ends this.
    ReportNoLoad {
        /// The target.
        target: usize,
        /// Whether the fault is active.
        on: bool,
    },
    /// Ends the faults `Slow`, `FailFast` and `ReportNoLoad` of a target.
    Heal {
        /// The target.
        target: usize,
    },
    /// Makes a target unreachable.
    Lose {
        /// The target.
        target: usize,
    },
    /// Makes all gateways and targets of a failure domain unreachable.
    LoseDomain {
        /// The failure domain.
        domain: usize,
    },
    /// Makes a target announce that it drains.
    Drain {
        /// The target.
        target: usize,
    },
    /// Restarts a target, which is then cold.
    Restart {
        /// The target.
        target: usize,
    },
    /// Sets the factor on the offered load.
    Rate {
        /// Factor in thousandths.
        permille: u32,
    },
    /// Stops the arrivals.
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
            Fault::ReportNoLoad { target, on } => self.targets[target].reports_no_load = on,
            Fault::Heal { target } => {
                let fake = &mut self.targets[target];
                fake.slow = 1.0;
                fake.fails_fast = false;
                fake.reports_no_load = false;
            }
            Fault::Lose { target } => {
                self.disconnect_target(target);
                self.schedule_in(TARGET_TTL, Event::DirectoryUpdate(target));
            }
            Fault::LoseDomain { domain } => self.disconnect_domain(domain),
            Fault::Drain { target } => {
                self.targets[target].draining = true;
                self.return_slots(target);
                if self.setup.obey_drain {
                    self.schedule_in(DIRECTORY_DELAY, Event::DirectoryUpdate(target));
                }
            }
            Fault::Restart { target } => {
                self.disconnect_target(target);
                let fake = &mut self.targets[target];
                fake.unreachable = false;
                fake.draining = false;
                fake.incarnation += 1;
                fake.reset_warm_up();
                self.schedule_in(DIRECTORY_DELAY, Event::DirectoryUpdate(target));
            }
            Fault::Rate { permille } => self.arrivals.rate_factor = f64::from(permille) / 1000.0,
            Fault::StopLoad => self.loading = false,
        }
    }

    fn disconnect_domain(&mut self, domain: usize) {
        for target in 0..self.targets.len() {
            if self.targets[target].domain == domain {
                self.inject(Fault::Lose { target });
            }
        }
        for number in 0..self.gateways.len() {
            if self.gateways[number].domain_number == domain && !self.is_owner(number) {
                self.disconnect_gateway(number);
            }
        }
    }

    /// Returns whether the gateway is the owner or holds the slot broker. The model has no failover
    /// for either, so this gateway stays alive.
    fn is_owner(&self, gateway: usize) -> bool {
        gateway == 0 && self.setup.selection != Selection::Local
    }

    fn disconnect_gateway(&mut self, number: usize) {
        self.gateways[number].alive = false;
        self.broker.remove_gateway(VmId(number as u32));
        for call in 0..self.calls.len() {
            if self.calls[call].gateway == number && !self.calls[call].done {
                self.calls[call].done = true;
                self.stats.failed += 1;
                for attempt in std::mem::take(&mut self.calls[call].outstanding) {
                    self.attempts[attempt].open = false;
                    self.schedule_in(self.setup.cross_domain_delay, Event::Cancel(attempt));
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
                    gateway.held_slots[target] = 0;
                    gateway.balancer.set_leased_slots(key, 0);
                }
            }
        }
    }
}
