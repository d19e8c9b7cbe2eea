//! Effective form of a service record.

use std::{collections, time};

use crate::types;

/// Balancing policy of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Shipped profile in which measuring cost comes first.
    #[default]
    Association,
    /// Shipped profile in which tail latency comes first.
    Krittlinje,
    /// One policy with parameters of its own.
    Named {
        /// Name of the policy, one of [`Policy::NAMES`].
        name: String,
        /// Whole numbers by parameter name; fractions are given in thousandths.
        parameters: collections::BTreeMap<String, u64>,
    },
}

impl Policy {
    /// Policies that a record may name.
    pub const NAMES: [&'static str; 7] = [
        "random",
        "round_robin",
        "two_choices",
        "least_reported",
        "piggyback",
        "probing",
        "slot_leases",
    ];
}

/// Hedging of idempotent calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hedge {
    /// Whether calls are hedged at all.
    pub enabled: bool,
    /// Latency quantile after which the second attempt starts, in thousandths.
    pub quantile_permille: u32,
    /// Largest share of calls that are hedged, in thousandths.
    pub max_permille: u32,
}

impl Default for Hedge {
    fn default() -> Self {
        Hedge {
            enabled: true,
            quantile_permille: 950,
            max_permille: 50,
        }
    }
}

/// Retries of calls that are proved not run or idempotent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retry {
    /// Whether calls are retried at all.
    pub enabled: bool,
    /// Largest share of calls that are retries, in thousandths.
    pub max_permille: u32,
}

impl Default for Retry {
    fn default() -> Self {
        Retry {
            enabled: true,
            max_permille: 100,
        }
    }
}

/// Budget for measuring the load of a service's targets, for each gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MeasuringBudget {
    /// Probes per second.
    pub probes_per_second: u32,
    /// Bytes per second, both directions.
    pub bytes_per_second: u32,
    /// Time that targets spend on answering, in microseconds per second.
    pub target_us_per_second: u32,
}

impl Default for MeasuringBudget {
    fn default() -> Self {
        MeasuringBudget {
            probes_per_second: 10,
            bytes_per_second: 4096,
            target_us_per_second: 50_000,
        }
    }
}

/// How callers reach a service and how its calls are handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Host header names in lower case without port; `*` stands for any host.
    pub hosts: Vec<String>,
    /// Path prefix without a trailing slash, except for `/` itself.
    pub path_prefix: String,
    /// Methods that may be retried and hedged.
    pub idempotent_methods: Vec<String>,
    /// Calls in flight per gateway.
    pub max_in_flight: u32,
    /// Calls waiting per gateway.
    pub queue_limit: u32,
    /// Longest time for a call.
    pub timeout: time::Duration,
    /// Balancing policy.
    pub policy: Policy,
    /// Targets that get no new work.
    pub drain: Vec<types::TargetId>,
    /// Methods that are refused without an idempotency key.
    pub key_required_methods: Vec<String>,
    /// Hedging.
    pub hedge: Hedge,
    /// Retries.
    pub retry: Retry,
    /// Share of a gateway's capacity, relative to other services.
    pub fair_share_weight: u32,
    /// Budget for measuring.
    pub measuring_budget: MeasuringBudget,
    /// Calls of the lowest priority are shed first.
    pub priority: u32,
    /// Fingerprints of blocked requests to lift.
    pub unblock: Vec<String>,
}

/// Idempotent methods of RFC 9110, section 9.2.2, without TRACE.
pub(crate) const IDEMPOTENT_METHODS: [&str; 5] = ["GET", "HEAD", "OPTIONS", "PUT", "DELETE"];

impl Default for ServiceSpec {
    fn default() -> Self {
        ServiceSpec {
            hosts: Vec::new(),
            path_prefix: "/".to_owned(),
            idempotent_methods: IDEMPOTENT_METHODS.map(str::to_owned).to_vec(),
            max_in_flight: 256,
            queue_limit: 128,
            timeout: time::Duration::from_secs(10),
            policy: Policy::default(),
            drain: Vec::new(),
            key_required_methods: Vec::new(),
            hedge: Hedge::default(),
            retry: Retry::default(),
            fair_share_weight: 100,
            measuring_budget: MeasuringBudget::default(),
            priority: 100,
            unblock: Vec::new(),
        }
    }
}
