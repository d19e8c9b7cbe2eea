//! Effective spec of a service record, with the defaults of its fields.

use std::{collections, time};

use crate::types;

/// Balancing policy of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Predefined profile that keeps the cost of load measurement low.
    #[default]
    Association,
    /// Predefined profile that keeps tail latency low.
    Krittlinje,
    /// A policy by name, with parameters.
    Named {
        /// Name of the policy; one of [`Policy::NAMES`].
        name: String,
        /// Parameter values by name. All are whole numbers; fractions are given in thousandths.
        parameters: collections::BTreeMap<String, u64>,
    },
}

impl Policy {
    /// Names of the policies that a record may select.
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

/// Settings for hedged attempts of idempotent calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hedge {
    /// Whether calls may be hedged.
    pub enabled: bool,
    /// Quantile of the latency distribution, in thousandths, after which the hedged attempt starts.
    pub quantile_permille: u32,
    /// Maximum share of calls that are hedged, in thousandths.
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

/// Settings for retries of calls that are idempotent or certainly were not executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retry {
    /// Whether calls may be retried.
    pub enabled: bool,
    /// Maximum number of retries relative to calls, in thousandths.
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

/// Budget of each gateway for measuring the load of a service's targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MeasuringBudget {
    /// Maximum number of probes per second.
    pub probes_per_second: u32,
    /// Maximum traffic in bytes per second, both directions together.
    pub bytes_per_second: u32,
    /// Maximum time that targets spend on answering probes, in microseconds per second.
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
    /// Host names in lower case, without port; `*` matches any host.
    pub hosts: Vec<String>,
    /// Path prefix without a trailing slash, except for `/` itself.
    pub path_prefix: String,
    /// Methods whose calls may be retried and hedged.
    pub idempotent_methods: Vec<String>,
    /// Maximum number of calls in flight per gateway.
    pub max_in_flight: u32,
    /// Maximum number of queued calls per gateway.
    pub queue_limit: u32,
    /// Time limit of a call.
    pub timeout: time::Duration,
    /// Balancing policy.
    pub policy: Policy,
    /// Targets that get no new calls.
    pub drain: Vec<types::TargetId>,
    /// Methods whose calls are refused without an idempotency key.
    pub key_required_methods: Vec<String>,
    /// Settings for hedged attempts.
    pub hedge: Hedge,
    /// Settings for retries.
    pub retry: Retry,
    /// Weight of the service's share of a gateway's capacity, relative to other services.
    pub fair_share_weight: u32,
    /// Budget for load measurement.
    pub measuring_budget: MeasuringBudget,
    /// Priority of the service; calls of the lowest priority are shed first.
    pub priority: u32,
    /// Fingerprints of blocked requests that are to be unblocked.
    pub unblock: Vec<String>,
}

/// Idempotent methods according to RFC 9110, section 9.2.2, without TRACE.
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
