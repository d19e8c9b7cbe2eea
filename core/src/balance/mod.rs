//! Choosing a target for a call.
//!
//! A [`Balancer`] serves one service on one gateway. All policies share the protection against
//! failing, cold and leaving targets; they differ in how they compare the targets that remain.

mod balancer;
mod limiter;
mod probing;
mod report;
mod slot_leases;
mod target;

use std::time;

use derive_more::Display;
use serde::{Deserialize, Serialize};

pub use self::balancer::Balancer;
pub use self::limiter::{Limiter, LimiterConfig};
pub use self::probing::Probing;
pub use self::report::{LoadReport, ReportError};
pub use self::slot_leases::{LeaseMessageCounts, SlotBroker, SlotGrant};
use crate::measure;
use crate::types::{FailureDomain, Incarnation, TargetId};

/// Handle of a target within one balancer. A handle is not reused for another target.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{index}.{generation}")]
pub struct TargetKey {
    index: u32,
    generation: u32,
}

/// Whether a target takes new calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Availability {
    /// Started but not ready for calls.
    Starting,
    /// Takes calls.
    #[default]
    Serving,
    /// Leaving: finishes its calls and takes no new ones.
    Draining,
}

/// What the directory knows about a target.
#[derive(Clone, Copy, Debug)]
pub struct TargetInfo<'a> {
    /// Identity of the target.
    pub id: &'a TargetId,
    /// Start counter of the target.
    pub incarnation: Incarnation,
    /// Failure domain the target runs in.
    pub failure_domain: &'a FailureDomain,
    /// Calls that the target runs at the same time.
    pub slots: u32,
    /// Whether it takes new calls.
    pub availability: Availability,
}

/// Constraints on one choice.
#[derive(Clone, Copy, Debug, Default)]
pub struct PickConstraints<'a> {
    /// Targets that must not be chosen, for example those already tried.
    pub avoid: &'a [TargetKey],
    /// Failure domain of the gateway.
    pub local_domain: Option<&'a FailureDomain>,
    /// Whether a probe may be sent on the occasion of this call.
    pub probe_allowed: bool,
}

/// How a call to a target ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer that does not blame the target.
    #[display("ok")]
    Ok,
    /// An answer that blames the target (5xx), or a broken connection.
    #[display("error")]
    Error,
    /// The target refused the call for lack of capacity.
    #[display("shed")]
    Shed,
    /// No answer before the deadline.
    #[display("timeout")]
    Timeout,
    /// This side stopped waiting, for example because another attempt answered first.
    #[display("cancelled")]
    Cancelled,
}

/// End of a call to a target.
#[derive(Clone, Copy, Debug)]
pub struct CallResult {
    /// Time since the call was started.
    pub latency: time::Duration,
    /// How it ended.
    pub outcome: Outcome,
    /// Load report carried by the answer.
    pub report: Option<LoadReport>,
}

/// What the balancer asks the gateway to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Ask the target for its load; the probe is already paid for.
    Probe {
        /// The target to ask.
        key: TargetKey,
    },
    /// The target gets no calls for a while after consecutive failures.
    Ejected {
        /// The failing target.
        key: TargetKey,
    },
    /// An ejected target gets calls again.
    Restored {
        /// The target that was ejected.
        key: TargetKey,
    },
}

/// How targets are compared.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Any target with equal probability.
    Random,
    /// One after the other.
    RoundRobin,
    /// The target with fewer own calls in flight, of two drawn at random.
    TwoChoices,
    /// The target with the least reported load, whatever the age of the report.
    LeastReported,
    /// Own calls in flight plus the load carried back in answers, whose weight decays with age.
    Piggyback(Piggyback),
    /// Asynchronous probes kept in a pool.
    Probing(Probing),
    /// Only targets of which this gateway holds a slot.
    SlotLeases,
}

/// Parameters of [`Policy::Piggyback`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Piggyback {
    /// Targets drawn at random for comparison. Up to this size of a service all are compared; in
    /// the measurements of decision 1 more choices were always better.
    pub choices: u32,
    /// Age in microseconds at which a report counts half.
    pub half_life_us: u64,
    /// Weight of occupancy against latency in the cost of a target.
    pub crowding: f64,
    /// Cost of leaving the failure domain, in microseconds.
    pub cross_domain_us: u64,
}

impl Default for Piggyback {
    fn default() -> Self {
        Piggyback {
            choices: 16,
            half_life_us: 10_000,
            crowding: 3.0,
            cross_domain_us: 1_000,
        }
    }
}

/// Exclusion of failing targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Ejection {
    /// Failures in a row that eject a target; 0 disables ejection.
    pub consecutive: u32,
    /// Duration of the first ejection in milliseconds; it doubles with each further one.
    pub base_ms: u64,
    /// Longest ejection in milliseconds.
    pub max_ms: u64,
}

impl Default for Ejection {
    fn default() -> Self {
        Ejection {
            consecutive: 3,
            base_ms: 1_000,
            max_ms: 30_000,
        }
    }
}

/// Settings of a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// How targets are compared.
    pub policy: Policy,
    /// Exclusion of failing targets.
    pub ejection: Ejection,
    /// Whether failed and shed answers raise the cost of a target. Only experiments switch this
    /// off.
    pub error_cost: bool,
    /// Time in milliseconds over which a new target is given its full share; 0 disables the ramp.
    pub ramp_ms: u64,
    /// Whether reports that contradict the gateway's own calls are disregarded.
    pub distrust: bool,
    /// Cost of one probe.
    pub probe_cost: measure::Cost,
    /// Budget for probes; the default allows none.
    pub measure: measure::Limits,
    /// Adaptive concurrency of each target.
    pub limiter: LimiterConfig,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            policy: Policy::TwoChoices,
            ejection: Ejection::default(),
            error_cost: true,
            ramp_ms: 2_000,
            distrust: true,
            probe_cost: measure::Cost::default(),
            measure: measure::Limits::default(),
            limiter: LimiterConfig::default(),
        }
    }
}

impl Config {
    /// Profile for few VMs and slow lines: sends no measuring message at all.
    pub fn association() -> Self {
        Config {
            policy: Policy::Piggyback(Piggyback::default()),
            ..Config::default()
        }
    }

    /// Profile for the shortest tail; services that use it are hedged.
    ///
    /// A probe takes as much target time as a call, so that more than one probe for 1,000 calls
    /// lengthens the tail it is meant to shorten (decision 1).
    pub fn krittlinje() -> Self {
        let probe_cost = measure::Cost::default();
        Config {
            policy: Policy::Piggyback(Piggyback::default()),
            probe_cost,
            measure: measure::Limits::for_probes(&probe_cost, 1, 2, 2),
            ..Config::default()
        }
    }
}
