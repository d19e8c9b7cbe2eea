//! What is compared: deployments, contenders and settings of a run.

use std::time;

use serde::Serialize;
use wagtailshunt_core::{admission, balance, measure, retry};

use super::workload;

/// Who decides which target runs a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Selection {
    /// Each gateway for itself.
    Local,
    /// Each gateway among the slots that a broker has leased to it. A slot without a call is kept
    /// for this many microseconds before it is given back.
    SlotLeases {
        /// Time in microseconds.
        linger_us: u64,
    },
    /// One gateway owns the targets of the service; the others pass calls on to it.
    Owner,
}

/// Settings of one run.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of targets of the service.
    pub targets: usize,
    /// Failure domains, over which gateways and targets are spread evenly.
    pub domains: usize,
    /// Slots of each target.
    pub slots: u32,
    /// Offered load relative to all slots.
    pub utilisation: f64,
    /// One-way network delay within a failure domain.
    pub near: time::Duration,
    /// One-way network delay between failure domains.
    pub far: time::Duration,
    /// Time a caller waits.
    pub timeout: time::Duration,
    /// Who decides.
    pub selection: Selection,
    /// Leased slots for each slot of a target. A slot stays leased while the call and its answer
    /// travel, so with exactly as many leases as slots the slots stand idle meanwhile.
    pub leases_per_slot: u32,
    /// Settings of the balancers.
    pub balance: balance::Config,
    /// Settings of admission.
    pub admission: admission::Config,
    /// Settings of the service's admission.
    pub service: admission::ServiceConfig,
    /// Whether the adaptive limits bound the calls in flight.
    pub adaptive: bool,
    /// Settings of retries.
    pub retry: retry::Config,
    /// Settings of hedging.
    pub hedge: retry::HedgeConfig,
    /// Whether the losing attempt of a hedged call is cancelled.
    pub cancel_losers: bool,
    /// Whether the directory's news of draining targets reaches the balancers.
    pub obey_drain: bool,
    /// Age up to which a target repeats its last report.
    pub report_period: time::Duration,
}

impl Default for Setup {
    fn default() -> Self {
        Setup {
            gateways: 9,
            targets: 10,
            domains: 3,
            slots: 3,
            utilisation: 0.7,
            near: time::Duration::from_micros(250),
            far: time::Duration::from_micros(1_000),
            timeout: time::Duration::from_millis(250),
            selection: Selection::Local,
            leases_per_slot: 2,
            balance: balance::Config::default(),
            admission: admission::Config::default(),
            service: admission::ServiceConfig::default(),
            adaptive: true,
            retry: retry::Config::default(),
            hedge: retry::HedgeConfig {
                enabled: false,
                ..retry::HedgeConfig::default()
            },
            cancel_losers: true,
            obey_drain: true,
            report_period: time::Duration::ZERO,
        }
    }
}

impl Setup {
    /// Returns the offered calls per second.
    pub fn rate(&self) -> f64 {
        let slots = self.targets as f64 * f64::from(self.slots);
        self.utilisation * slots * 1e6 / workload::mean_service_us()
    }
}

/// A deployment whose sizes are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Deployment {
    /// Four failure domains, 15 targets; a probe takes 1 ms of target time.
    Association,
    /// Three failure domains, 10 targets; a probe takes 5 ms of target time.
    Krittlinje,
}

impl Deployment {
    /// All deployments.
    pub const ALL: [Deployment; 2] = [Deployment::Association, Deployment::Krittlinje];

    /// Returns the cost of one probe.
    pub fn probe_cost(self) -> measure::Cost {
        let ms = match self {
            Deployment::Association => 1,
            Deployment::Krittlinje => 5,
        };
        measure::Cost {
            target_time: time::Duration::from_millis(ms),
            ..measure::Cost::default()
        }
    }

    /// Returns settings with the deployment's sizes.
    pub fn setup(self) -> Setup {
        let (targets, domains) = match self {
            Deployment::Association => (15, 4),
            Deployment::Krittlinje => (10, 3),
        };
        Setup {
            targets,
            domains,
            ..Setup::default()
        }
    }
}

/// One way of choosing targets, with its name in the results.
#[derive(Clone, Debug)]
pub struct Contender {
    /// Name in the results.
    pub name: &'static str,
    /// Who decides.
    pub selection: Selection,
    /// Settings of the balancers.
    pub balance: balance::Config,
    /// Whether slow calls are hedged.
    pub hedged: bool,
}

impl Contender {
    /// A contender in which each gateway decides for itself.
    pub fn local(name: &'static str, balance: balance::Config) -> Self {
        Contender {
            name,
            selection: Selection::Local,
            balance,
            hedged: false,
        }
    }

    fn policy(name: &'static str, policy: balance::Policy) -> Self {
        Contender::local(
            name,
            balance::Config {
                policy,
                ..balance::Config::default()
            },
        )
    }

    fn hedged(self, name: &'static str) -> Self {
        Contender {
            name,
            hedged: true,
            ..self
        }
    }

    /// Returns all contenders for a deployment; the first is the reference.
    pub fn all(deployment: Deployment) -> Vec<Contender> {
        let cost = deployment.probe_cost();
        let probing = balance::Config {
            policy: balance::Policy::Probing(balance::Probing::default()),
            probe_cost: cost,
            measure: measure::Limits::for_probes(&cost, 1_000, 100_000, 20),
            ..balance::Config::default()
        };
        let probing_capped = balance::Config {
            measure: balance::Config::krittlinje().measure,
            ..probing
        };
        let leases = balance::Config {
            policy: balance::Policy::SlotLeases,
            ..balance::Config::default()
        };
        let brokered = |name, selection| Contender {
            selection,
            ..Contender::local(name, leases)
        };
        let two = Contender::policy("two_choices", balance::Policy::TwoChoices);
        let krittlinje = balance::Config {
            probe_cost: cost,
            ..balance::Config::krittlinje()
        };
        let krittlinje = Contender::local("krittlinje", krittlinje);
        let association = Contender::local("association", balance::Config::association());
        vec![
            two.clone(),
            Contender::policy("random", balance::Policy::Random),
            Contender::policy("round_robin", balance::Policy::RoundRobin),
            Contender::policy("least_reported", balance::Policy::LeastReported),
            Contender::local("probing", probing),
            Contender::local("probing_capped", probing_capped),
            brokered("slot_leases", Selection::SlotLeases { linger_us: 0 }),
            brokered("owner", Selection::Owner),
            association.clone(),
            krittlinje.clone(),
            two.hedged("two_choices+hedge"),
            association.hedged("association+hedge"),
            krittlinje.hedged("krittlinje+hedge"),
        ]
    }

    /// Returns the settings of a run of this contender.
    pub fn apply(&self, setup: Setup) -> Setup {
        let hedge = retry::HedgeConfig {
            enabled: self.hedged,
            ..setup.hedge
        };
        Setup {
            selection: self.selection,
            balance: self.balance,
            hedge,
            ..setup
        }
    }
}
