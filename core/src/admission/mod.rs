//! Admission control of a gateway: concurrency limits, bounded queues, fair sharing and load
//! shedding.
//!
//! One [`Admission`] decides for all services of a gateway. It runs a call while the limits allow
//! it, queues others within bounds, and refuses at once a call that cannot be answered before its
//! deadline. The inputs are the calls that arrive, the results of calls that ran, and the capacity
//! that the balancer reports for each service. A refused call has not run.

mod queue;

use std::collections::{BTreeMap, VecDeque};
use std::time;

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

use self::queue::{Queue, Queued};
use crate::deadline::Deadline;
use crate::time::{Instant, micros};
use crate::types::ServiceName;

/// Weight of a new sample in the mean time that a call runs.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Virtual time that one call of a service with weight 1 costs.
const VIRTUAL_COST: u64 = 1 << 20;

/// Identifies a call within one gateway.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, From, Into)]
pub struct CallId(pub u64);

/// Priority of a call; a larger value is served first and shed last.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    From,
    Into,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Priority(pub u8);

/// A call that is offered for admission.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// Service the call is for.
    pub service: &'a ServiceName,
    /// Priority of the call.
    pub priority: Priority,
    /// Identity of the caller; callers of one service share its queue evenly.
    pub caller: &'a str,
    /// Time after which the response is of no use.
    pub deadline: Deadline,
}

/// Settings of one service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceConfig {
    /// Maximum number of calls that run at the same time.
    pub max_in_flight: u32,
    /// Maximum number of queued calls.
    pub queue_limit: u32,
    /// Share of the gateway's capacity relative to other services while calls are queued.
    pub weight: u32,
    /// Initial value of the mean time of a call in microseconds.
    pub expected_us: u64,
}

impl Default for ServiceConfig {
    fn default() -> Self {
        ServiceConfig {
            max_in_flight: 1_000,
            queue_limit: 100,
            weight: 1,
            expected_us: 5_000,
        }
    }
}

/// Settings of a gateway's admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Maximum number of calls of all services that run at the same time.
    pub max_in_flight: u32,
    /// Whether calls that cannot be answered before their deadline are refused. Only experiments
    /// disable this.
    pub refuse_late: bool,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            max_in_flight: 10_000,
            refuse_late: true,
        }
    }
}

/// Decision on an offered call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The call runs now.
    Run,
    /// The call is queued; [`Admission::poll_output`] returns its result.
    Queued,
    /// The call is refused and has not run.
    Refuse(Reason),
}

/// Why a call is refused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The service is not configured.
    #[display("unknown service")]
    UnknownService,
    /// The call cannot be answered before its deadline.
    #[display("deadline can't be met")]
    Deadline,
    /// The queue of the service is full.
    #[display("queue full")]
    QueueFull,
    /// The call was removed from the full queue for one of higher priority, or for one of a caller
    /// with fewer queued calls.
    #[display("displaced from the queue")]
    Displaced,
}

/// Result of a queued call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// The call runs now.
    Run(CallId),
    /// The call is refused and has not run.
    Refuse(CallId, Reason),
}

/// State of one service.
#[derive(Clone, Debug)]
struct Service {
    cfg: ServiceConfig,
    /// Number of calls that its targets can take from this gateway at the moment.
    capacity: u32,
    in_flight: u32,
    queue: Queue,
    /// Mean time of a call in microseconds.
    mean_time_us: f64,
    /// Earliest virtual start time of the next call in start-time fair queueing (Goyal, Vin and
    /// Cheng, 1996).
    virtual_time: u64,
}

impl Service {
    fn new(cfg: ServiceConfig) -> Self {
        Service {
            cfg,
            capacity: cfg.max_in_flight,
            in_flight: 0,
            queue: Queue::default(),
            mean_time_us: cfg.expected_us as f64,
            virtual_time: 0,
        }
    }

    fn limit(&self) -> u32 {
        self.capacity.min(self.cfg.max_in_flight)
    }

    fn has_capacity(&self) -> bool {
        self.in_flight < self.limit()
    }

    fn expected_time(&self) -> time::Duration {
        time::Duration::from_micros(self.mean_time_us as u64)
    }

    /// Returns the expected wait behind `ahead` calls when `concurrency` calls run at the same
    /// time.
    fn expected_wait(&self, ahead: usize, concurrency: u32) -> time::Duration {
        let rounds = (ahead as f64 + 1.0) / f64::from(concurrency.max(1));
        time::Duration::from_micros((rounds * self.mean_time_us) as u64)
    }
}

#[derive(Clone, Debug)]
struct Running {
    service: ServiceName,
    started: Instant,
}

/// Admission control of one gateway.
#[derive(Clone, Debug)]
pub struct Admission {
    cfg: Config,
    services: BTreeMap<ServiceName, Service>,
    running: BTreeMap<CallId, Running>,
    /// Virtual start time of the latest call that started.
    virtual_now: u64,
    outputs: VecDeque<Output>,
}

impl Admission {
    /// Creates an admission control without services.
    pub fn new(cfg: Config) -> Self {
        Admission {
            cfg,
            services: BTreeMap::new(),
            running: BTreeMap::new(),
            virtual_now: 0,
            outputs: VecDeque::new(),
        }
    }

    /// Adds a service or changes its settings; running and queued calls are kept.
    pub fn set_service(&mut self, now: Instant, name: &ServiceName, cfg: ServiceConfig) {
        match self.services.get_mut(name) {
            Some(service) => {
                service.cfg = cfg;
                service.capacity = cfg.max_in_flight;
            }
            None => {
                self.services.insert(name.clone(), Service::new(cfg));
            }
        }
        self.dispatch(now);
    }

    /// Removes a service and refuses its queued calls.
    pub fn remove_service(&mut self, name: &ServiceName) {
        if let Some(mut service) = self.services.remove(name) {
            while let Some(queued) = service.queue.pop() {
                self.outputs
                    .push_back(Output::Refuse(queued.id, Reason::UnknownService));
            }
        }
    }

    /// Sets the number of calls that the targets of a service can take from this gateway at the
    /// moment.
    pub fn set_capacity(&mut self, now: Instant, name: &ServiceName, capacity: u32) {
        if let Some(service) = self.services.get_mut(name) {
            service.capacity = capacity;
        }
        self.dispatch(now);
    }

    /// Decides whether a call runs now, is queued or is refused.
    pub fn offer(&mut self, now: Instant, id: CallId, call: &Call<'_>) -> Decision {
        let refuse_late = self.cfg.refuse_late;
        let free_capacity = self.free_capacity();
        let Some(service) = self.services.get_mut(call.service) else {
            return Decision::Refuse(Reason::UnknownService);
        };
        let expected_time = service.expected_time();
        if refuse_late && !call.deadline.allows(now, expected_time) {
            return Decision::Refuse(Reason::Deadline);
        }
        if service.has_capacity() && service.queue.is_empty() && free_capacity > 0 {
            self.run(now, id, call.service);
            return Decision::Run;
        }
        let ahead = service.queue.ahead_of(call.priority, call.caller);
        let concurrency = service
            .limit()
            .min(service.in_flight.max(1) + free_capacity);
        let wait = service.expected_wait(ahead, concurrency);
        if refuse_late && !call.deadline.allows(now, wait + expected_time) {
            return Decision::Refuse(Reason::Deadline);
        }
        if service.queue.len() >= service.cfg.queue_limit as usize {
            match service.queue.displace(call.priority, call.caller) {
                Some(victim) => {
                    self.outputs
                        .push_back(Output::Refuse(victim.id, Reason::Displaced));
                }
                None => return Decision::Refuse(Reason::QueueFull),
            }
        }
        if service.queue.is_empty() {
            // A service gets no credit for the time in which it was idle.
            service.virtual_time = service.virtual_time.max(self.virtual_now);
        }
        service.queue.push(
            call.caller,
            Queued {
                id,
                priority: call.priority,
                deadline: call.deadline,
            },
        );
        Decision::Queued
    }

    /// Records the end of a running call. Its time counts for the mean only if `ok`, that is, if it
    /// was answered.
    pub fn finished(&mut self, now: Instant, id: CallId, ok: bool) {
        let Some(running) = self.running.remove(&id) else {
            return;
        };
        if let Some(service) = self.services.get_mut(&running.service) {
            service.in_flight -= 1;
            if ok {
                let sample = micros(now.since(running.started)) as f64;
                service.mean_time_us += (sample - service.mean_time_us) * SAMPLE_WEIGHT;
            }
        }
        self.dispatch(now);
    }

    /// Removes a queued call, for example because the caller disconnected; returns whether the call
    /// was queued.
    pub fn cancel(&mut self, id: CallId) -> bool {
        self.services
            .values_mut()
            .any(|service| service.queue.remove(id))
    }

    /// Refuses queued calls that can no longer be answered before their deadline.
    pub fn tick(&mut self, now: Instant) {
        for service in self.services.values_mut() {
            let expected_time = match self.cfg.refuse_late {
                true => service.expected_time(),
                false => time::Duration::ZERO,
            };
            for queued in service.queue.remove_late(now, expected_time) {
                self.outputs
                    .push_back(Output::Refuse(queued.id, Reason::Deadline));
            }
        }
    }

    /// Returns when [`Admission::tick`] must next be called; `None` while no call is queued.
    pub fn next_deadline(&self) -> Option<Instant> {
        let next_refusal = |service: &Service| {
            let expected_time = match self.cfg.refuse_late {
                true => service.expected_time(),
                false => time::Duration::ZERO,
            };
            service
                .queue
                .earliest_deadline()
                .map(|at| at.0.saturating_sub(expected_time))
        };
        self.services.values().filter_map(next_refusal).min()
    }

    /// Returns the result of the next queued call that was decided.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Returns the numbers of running and of queued calls of a service.
    pub fn load(&self, name: &ServiceName) -> (u32, usize) {
        self.services
            .get(name)
            .map_or((0, 0), |service| (service.in_flight, service.queue.len()))
    }

    fn free_capacity(&self) -> u32 {
        self.cfg
            .max_in_flight
            .saturating_sub(self.running.len() as u32)
    }

    fn run(&mut self, now: Instant, id: CallId, name: &ServiceName) {
        if let Some(service) = self.services.get_mut(name) {
            service.in_flight += 1;
            let start = service.virtual_time.max(self.virtual_now);
            self.virtual_now = start;
            service.virtual_time = start + VIRTUAL_COST / u64::from(service.cfg.weight.max(1));
        }
        self.running.insert(
            id,
            Running {
                service: name.clone(),
                started: now,
            },
        );
    }

    /// Starts queued calls while there is capacity, the service with the least virtual time first.
    fn dispatch(&mut self, now: Instant) {
        self.tick(now);
        while self.free_capacity() > 0 {
            let next = self
                .services
                .iter()
                .filter(|(_, service)| service.has_capacity() && !service.queue.is_empty())
                .min_by_key(|(_, service)| service.virtual_time)
                .map(|(name, _)| name.clone());
            let Some(name) = next else {
                return;
            };
            let popped = self
                .services
                .get_mut(&name)
                .and_then(|service| service.queue.pop());
            if let Some(queued) = popped {
                self.run(now, queued.id, &name);
                self.outputs.push_back(Output::Run(queued.id));
            }
        }
    }
}
