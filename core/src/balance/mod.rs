//! Load balancing: selection of a target for each call.
//!
//! A [`Balancer`] selects for one service on one gateway. Its inputs are the targets of the
//! directory, the results of the gateway's own calls, and load reports in responses to calls and to
//! probes. All policies share the handling of failing (ejection), new (ramp) and draining targets;
//! they differ in how they compare the remaining ones.

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

/// Whether a target accepts new calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Availability {
    /// Started but not ready for calls.
    Starting,
    /// Accepts calls.
    #[default]
    Serving,
    /// About to stop: finishes its calls and accepts no new ones.
    Draining,
}

/// Entry of a target in the directory.
#[derive(Clone, Copy, Debug)]
pub struct TargetInfo<'a> {
    /// Identity of the target.
    pub id: &'a TargetId,
    /// Start counter of the target.
    pub incarnation: Incarnation,
    /// Failure domain the target runs in.
    pub failure_domain: &'a FailureDomain,
    /// Number of calls that the target runs at the same time.
    pub slots: u32,
    /// Whether it accepts new calls.
    pub availability: Availability,
}

/// Constraints on the selection of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct PickConstraints<'a> {
    /// Targets that must not be selected, for example those that the call was already sent to.
    pub avoid: &'a [TargetKey],
    /// Failure domain of the gateway; `None` if all targets count as local.
    pub local_domain: Option<&'a FailureDomain>,
    /// Whether a probe may be sent along with this call.
    pub probe_allowed: bool,
}

/// Outcome of a call to a target.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response that is no failure of the target.
    #[display("ok")]
    Ok,
    /// A response that is a failure of the target (5xx), or a broken connection.
    #[display("error")]
    Error,
    /// The target refused the call for lack of capacity.
    #[display("shed")]
    Shed,
    /// No response before the deadline.
    #[display("timeout")]
    Timeout,
    /// The gateway cancelled the call, for example because another attempt was answered first.
    #[display("cancelled")]
    Cancelled,
}

/// Result of a call to a target.
#[derive(Clone, Copy, Debug)]
pub struct CallResult {
    /// Time since the call was started.
    pub latency: time::Duration,
    /// Outcome of the call.
    pub outcome: Outcome,
    /// Load report carried by the response.
    pub report: Option<LoadReport>,
}

/// Actions and events for the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// The gateway sends a probe to the target; the budget is already charged.
    Probe {
        /// The target to probe.
        key: TargetKey,
    },
    /// The target gets no calls for some time after consecutive failures.
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

/// Policy for comparing targets.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// All targets with equal probability.
    Random,
    /// All targets in turn.
    RoundRobin,
    /// Of two targets drawn at random, the one with fewer own calls in flight.
    TwoChoices,
    /// The target with the least reported load, whatever the age of the report.
    LeastReported,
    /// The lowest cost from own calls in flight and the load reported in responses, whose weight
    /// decays with age.
    Piggyback(Piggyback),
    /// The best of a pool of responses to asynchronous probes.
    Probing(Probing),
    /// Only targets on which this gateway holds a leased slot.
    SlotLeases,
}

/// Parameters of [`Policy::Piggyback`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Piggyback {
    /// Number of targets drawn at random for comparison; a service with at most this many targets
    /// has all of them compared. More choices give better selections (decision 1).
    pub choices: u32,
    /// Age in microseconds at which a report has half its weight.
    pub half_life_us: u64,
    /// Weight of the target's occupancy, relative to its latency, in its cost.
    pub crowding: f64,
    /// Cost of a target in another failure domain, in microseconds.
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

/// Settings for the ejection of failing targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Ejection {
    /// Number of consecutive failures that eject a target; 0 disables ejection.
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
    /// Policy for comparing targets.
    pub policy: Policy,
    /// Ejection of failing targets.
    pub ejection: Ejection,
    /// Whether failed and shed calls raise the cost of a target. Only experiments disable this.
    pub error_cost: bool,
    /// Time in milliseconds over which a new target reaches its full share of calls; 0 disables the
    /// ramp.
    pub ramp_ms: u64,
    /// Whether load reports that contradict the gateway's own calls in flight are ignored.
    pub distrust: bool,
    /// Cost of one probe.
    pub probe_cost: measure::Cost,
    /// Budget for probes; the default allows none.
    pub measure: measure::Limits,
    /// Adaptive concurrency limit of each target.
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
    /// Returns the profile for few VMs and slow links, which sends no probes.
    pub fn association() -> Self {
        Config {
            policy: Policy::Piggyback(Piggyback::default()),
            ..Config::default()
        }
    }

    /// Returns the profile for the lowest tail latency; services that use it are hedged.
    ///
    /// A probe takes as much target time as a call, so that more than one probe for each 1,000
    /// calls raises the tail latency that it is meant to lower (decision 1).
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
