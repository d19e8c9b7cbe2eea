//! Inputs of the comparison: deployment sizes, contenders and the settings of one run.

use std::time;

use serde::Serialize;
use wagtailshunt_core::{admission, balance, measure, retry};

use super::workload;

/// Which component selects the target of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Selection {
    /// Each gateway selects independently.
    Local,
    /// Each gateway selects among the slots that a broker has leased to it. An idle slot is
    /// returned to the broker after `linger_us`.
    SlotLeases {
        /// Time in microseconds for which a gateway keeps an idle slot.
        linger_us: u64,
    },
    /// One gateway selects for the whole service; the others forward their calls to it.
    Owner,
}

/// Settings of one run.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of targets of the service.
    pub targets: usize,
    /// Number of failure domains; gateways and targets are spread evenly over them.
    pub domains: usize,
    /// Number of calls that each target runs at the same time.
    pub slots: u32,
    /// Offered load as a fraction of the total slots.
    pub utilisation: f64,
    /// One-way network delay within a failure domain.
    pub same_domain_delay: time::Duration,
    /// One-way network delay between failure domains.
    pub cross_domain_delay: time::Duration,
    /// Time for which a caller waits for its response.
    pub timeout: time::Duration,
    /// Which component selects targets.
    pub selection: Selection,
    /// Number of leases per slot of a target. A lease stays taken while the call and its response
    /// are on the network, so one lease per slot would leave the slot idle during that time.
    pub leases_per_slot: u32,
    /// Settings of the balancers.
    pub balance: balance::Config,
    /// Admission settings of a gateway.
    pub admission: admission::Config,
    /// Admission settings of the service.
    pub service: admission::ServiceConfig,
    /// Whether the adaptive concurrency limits bound the calls in flight.
    pub adaptive: bool,
    /// Settings of retries.
    pub retry: retry::Config,
    /// Settings of hedging.
    pub hedge: retry::HedgeConfig,
    /// Whether the slower attempt of a hedged call is cancelled when the other one succeeds.
    pub cancel_losers: bool,
    /// Whether the balancers receive directory updates about draining targets.
    pub obey_drain: bool,
    /// Age up to which a target sends its previous load report again.
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
            same_domain_delay: time::Duration::from_micros(250),
            cross_domain_delay: time::Duration::from_micros(1_000),
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

/// A deployment that sets the number of targets and failure domains.
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

    /// Returns the assumed cost of one probe.
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

    /// Returns the default settings with the sizes of the deployment.
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

/// A target selection policy with its settings, as one entry of the comparison.
#[derive(Clone, Debug)]
pub struct Contender {
    /// Name in the results.
    pub name: &'static str,
    /// Which component selects targets.
    pub selection: Selection,
    /// Settings of the balancers.
    pub balance: balance::Config,
    /// Whether hedging is enabled.
    pub hedged: bool,
}

impl Contender {
    /// Creates a contender in which each gateway selects independently.
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

    /// Returns all contenders for a deployment; the first is the reference of the ratios.
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

    /// Returns `setup` with the selection, balancer and hedging settings of this contender.
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
