//! One service on this gateway: its balancer, retry and hedge budgets, and targets. The settings
//! come from the service record, the targets from the directory.

use std::{cell, collections, net, rc};

use wagtailshunt_core::{
    admission, balance, connection, containment, directory, measure, records, retry, time, types,
};

use crate::{gateway::upstream, settings};

/// Calls in flight per target that admission control allows. The value is below the connection
/// limit of a target, because the balancer does not distribute calls evenly.
const MAX_CALLS_PER_TARGET: u32 = 16;

/// A target with its connection pool.
pub struct Target {
    pub id: types::TargetId,
    pub incarnation: types::Incarnation,
    pub address: net::SocketAddr,
    /// Identity of the target in crash containment.
    pub identity: containment::Target,
    pub pool: cell::RefCell<connection::Pool<upstream::Upstream>>,
    pub health: cell::RefCell<connection::LatencyTracker>,
    /// Whether the target takes new calls.
    pub serving: cell::Cell<bool>,
    /// Whether the target has echoed a call id; later responses without one are then rejected.
    pub echoes_call_id: cell::Cell<bool>,
}

/// A service and its targets.
pub struct Service {
    pub name: types::ServiceName,
    pub local_domain: types::FailureDomain,
    spec: cell::RefCell<rc::Rc<records::ServiceSpec>>,
    pub balancer: cell::RefCell<balance::Balancer>,
    pub retries: cell::RefCell<retry::Budget>,
    pub hedger: cell::RefCell<retry::Hedger>,
    targets: cell::RefCell<collections::BTreeMap<balance::TargetKey, rc::Rc<Target>>>,
    seed: u64,
}

impl Service {
    /// Creates a service without targets.
    pub fn new(
        name: types::ServiceName,
        spec: records::ServiceSpec,
        cfg: &settings::Gateway,
    ) -> Self {
        // The seed differs between gateways, so that they do not choose the same targets at the
        // same time.
        let seed = u64::from(cfg.vm.0) << 32 | u64::from(fnv1a(name.as_str()));
        Service {
            local_domain: cfg.failure_domain.clone(),
            balancer: cell::RefCell::new(balance::Balancer::new(balancer_config(&spec), seed)),
            retries: cell::RefCell::new(retry::Budget::new(retry_config(&spec))),
            hedger: cell::RefCell::new(retry::Hedger::new(hedge_config(&spec))),
            targets: cell::RefCell::default(),
            spec: cell::RefCell::new(rc::Rc::new(spec)),
            name,
            seed,
        }
    }

    /// Returns the current service record.
    pub fn spec(&self) -> rc::Rc<records::ServiceSpec> {
        self.spec.borrow().clone()
    }

    /// Applies an updated record. The state of the balancer is kept unless its policy or measuring
    /// budget changes.
    pub fn set_spec(&self, spec: records::ServiceSpec) {
        let old = self.spec();
        if old.policy != spec.policy || old.measuring_budget != spec.measuring_budget {
            let cfg = balancer_config(&spec);
            *self.balancer.borrow_mut() = balance::Balancer::new(cfg, self.seed);
            self.targets.borrow_mut().clear();
        }
        if old.retry != spec.retry {
            *self.retries.borrow_mut() = retry::Budget::new(retry_config(&spec));
        }
        if old.hedge != spec.hedge {
            *self.hedger.borrow_mut() = retry::Hedger::new(hedge_config(&spec));
        }
        *self.spec.borrow_mut() = rc::Rc::new(spec);
    }

    /// Applies a change of the directory and returns the target incarnation that it ended, if any.
    pub fn apply_change(
        &self,
        now: time::Instant,
        change: &directory::TargetChange,
    ) -> Option<containment::Target> {
        match change {
            directory::TargetChange::Upsert(target) => self.upsert(now, target),
            directory::TargetChange::Remove(key) => {
                let removed = self.balancer.borrow_mut().remove(now, &key.id);
                let removed_target = self.targets.borrow_mut().remove(&removed?)?;
                Some(removed_target.identity.clone())
            }
        }
    }

    fn upsert(
        &self,
        now: time::Instant,
        target: &directory::Target,
    ) -> Option<containment::Target> {
        let info = balance::TargetInfo {
            id: &target.key.id,
            incarnation: target.incarnation,
            failure_domain: &target.failure_domain,
            slots: target.slots,
            availability: availability(target.state),
        };
        let key = self.balancer.borrow_mut().upsert(now, &info);
        let mut targets = self.targets.borrow_mut();
        let existing = targets
            .get(&key)
            .filter(|existing| existing.incarnation == target.incarnation);
        let ended = match existing {
            Some(_) => None,
            // Replacing the target closes the connections of the earlier incarnation.
            None => targets.insert(key, rc::Rc::new(Target::new(target))),
        };
        let existing = targets.get(&key)?;
        existing
            .serving
            .set(target.state == directory::State::Serving);
        if target.state == directory::State::Draining {
            existing.pool.borrow_mut().drain();
        }
        ended.map(|ended| ended.identity.clone())
    }

    /// Returns the target with the given key.
    pub fn target(&self, key: balance::TargetKey) -> Option<rc::Rc<Target>> {
        self.targets.borrow().get(&key).cloned()
    }

    /// Returns the targets that take new calls.
    pub fn serving_targets(&self) -> Vec<(balance::TargetKey, rc::Rc<Target>)> {
        let targets = self.targets.borrow();
        let serving = targets.iter().filter(|(_, target)| target.serving.get());
        serving
            .map(|(key, target)| (*key, target.clone()))
            .collect()
    }

    /// Returns the number of targets.
    pub fn target_count(&self) -> usize {
        self.targets.borrow().len()
    }

    /// Returns the number of calls that the targets can take from this gateway; `None` without
    /// targets.
    pub fn capacity(&self, now: time::Instant) -> Option<u32> {
        let targets = u32::try_from(self.target_count()).unwrap_or(u32::MAX);
        // Calls that find no free connection are refused, so the excess waits in the queue instead.
        let max_calls = targets.saturating_mul(MAX_CALLS_PER_TARGET);
        (targets > 0).then(|| self.balancer.borrow().capacity(now).min(max_calls))
    }

    /// Closes connections that exceeded their idle time.
    pub fn expire_pools(&self, now: time::Instant) {
        for target in self.targets.borrow().values() {
            target.close_expired(now);
        }
    }
}

impl Target {
    fn new(target: &directory::Target) -> Self {
        Target {
            id: target.key.id.clone(),
            incarnation: target.incarnation,
            address: target.address,
            identity: containment::Target {
                service: target.key.service.clone(),
                id: target.key.id.clone(),
                incarnation: target.incarnation,
            },
            serving: cell::Cell::new(target.state == directory::State::Serving),
            pool: cell::RefCell::new(connection::Pool::new(connection::PoolConfig::default())),
            health: cell::RefCell::new(connection::LatencyTracker::new(
                connection::LatencyConfig::default(),
            )),
            echoes_call_id: cell::Cell::new(false),
        }
    }

    fn close_expired(&self, now: time::Instant) {
        let mut pool = self.pool.borrow_mut();
        pool.expire(now);
        while pool.poll_closed().is_some() {}
    }
}

fn availability(state: directory::State) -> balance::Availability {
    match state {
        directory::State::Starting => balance::Availability::Starting,
        directory::State::Serving => balance::Availability::Serving,
        directory::State::Draining => balance::Availability::Draining,
    }
}

/// Returns the settings of admission control for a service.
pub fn admission_config(spec: &records::ServiceSpec) -> admission::ServiceConfig {
    admission::ServiceConfig {
        max_in_flight: spec.max_in_flight,
        queue_limit: spec.queue_limit,
        weight: spec.fair_share_weight,
        ..admission::ServiceConfig::default()
    }
}

fn balancer_config(spec: &records::ServiceSpec) -> balance::Config {
    let mut cfg = match &spec.policy {
        records::Policy::Association => balance::Config::association(),
        records::Policy::Krittlinje => balance::Config::krittlinje(),
        records::Policy::Named { name, .. } => balance::Config {
            policy: policy_by_name(name),
            ..balance::Config::default()
        },
    };
    let budget = &spec.measuring_budget;
    // The record limits the rate of measurements; the balancer settings limit their cost
    // per call.
    let cap_rate = |limit: &mut measure::Limit, per_second: u64| {
        limit.per_second = limit.per_second.min(per_second);
    };
    cap_rate(
        &mut cfg.measure.messages,
        2 * u64::from(budget.probes_per_second),
    );
    cap_rate(&mut cfg.measure.bytes, u64::from(budget.bytes_per_second));
    cap_rate(
        &mut cfg.measure.target_time_us,
        u64::from(budget.target_us_per_second),
    );
    cfg
}

fn policy_by_name(name: &str) -> balance::Policy {
    match name {
        "random" => balance::Policy::Random,
        "round_robin" => balance::Policy::RoundRobin,
        "least_reported" => balance::Policy::LeastReported,
        "piggyback" => balance::Policy::Piggyback(balance::Piggyback::default()),
        "probing" => balance::Policy::Probing(balance::Probing::default()),
        "slot_leases" => balance::Policy::SlotLeases,
        _ => balance::Policy::TwoChoices,
    }
}

fn retry_config(spec: &records::ServiceSpec) -> retry::Config {
    let per_1000_calls = if spec.retry.enabled {
        spec.retry.max_permille
    } else {
        0
    };
    retry::Config {
        per_1000_calls,
        ..retry::Config::default()
    }
}

fn hedge_config(spec: &records::ServiceSpec) -> retry::HedgeConfig {
    retry::HedgeConfig {
        enabled: spec.hedge.enabled,
        quantile_permille: spec.hedge.quantile_permille,
        per_1000_calls: spec.hedge.max_permille,
        ..retry::HedgeConfig::default()
    }
}

/// Returns the FNV-1a hash of `text`, which makes seeds differ between services.
fn fnv1a(text: &str) -> u32 {
    text.bytes().fold(0x811c_9dc5, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
    })
}
