//! Bounded queues, fair shares and load shedding.
//!
//! One [`Admission`] serves a gateway. It runs calls while there is capacity, queues the others
//! within bounds, and refuses at once what can't be answered in time. A refused call has not run.

mod queue;

use std::collections::{BTreeMap, VecDeque};
use std::time;

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

use self::queue::{Queue, Queued};
use crate::deadline::Deadline;
use crate::time::{Instant, micros};
use crate::types::ServiceName;

/// Weight of a new sample in the mean time that a call holds its place.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Scale of virtual time: cost of one call at weight 1.
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

/// A call that asks for admission.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// Service the call is for.
    pub service: &'a ServiceName,
    /// Its priority.
    pub priority: Priority,
    /// Who calls; callers of one service share its queue evenly.
    pub caller: &'a str,
    /// When the answer is of no more use.
    pub deadline: Deadline,
}

/// Settings of one service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceConfig {
    /// Calls that run at the same time at most.
    pub max_in_flight: u32,
    /// Calls that wait at most.
    pub queue_limit: u32,
    /// Share of the gateway relative to other services while places are short.
    pub weight: u32,
    /// Expected time of a call in microseconds, until it is measured.
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
    /// Calls of all services that run at the same time at most.
    pub max_in_flight: u32,
    /// Whether calls that can't make their deadline are refused. Only experiments switch this off.
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

/// Answer to an offered call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Run it now.
    Run,
    /// It waits; [`Admission::poll_output`] tells what becomes of it.
    Queued,
    /// It is refused and has not run.
    Refuse(Reason),
}

/// Why a call is refused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The service is not configured.
    #[display("unknown service")]
    UnknownService,
    /// An answer can't be had before the deadline.
    #[display("deadline can't be met")]
    Deadline,
    /// The queue is full.
    #[display("queue full")]
    QueueFull,
    /// The call gave way to one of higher priority or of a caller with a smaller share.
    #[display("displaced from the queue")]
    Displaced,
}

/// What becomes of a queued call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Run it now.
    Run(CallId),
    /// It is refused and has not run.
    Refuse(CallId, Reason),
}

#[derive(Clone, Debug)]
struct Service {
    cfg: ServiceConfig,
    capacity: u32,
    in_flight: u32,
    queue: Queue,
    mean_us: f64,
    /// Virtual start time of fair queueing (Goyal, Vin and Cheng, 1996).
    virtual_time: u64,
}

impl Service {
    fn new(cfg: ServiceConfig) -> Self {
        Service {
            cfg,
            capacity: cfg.max_in_flight,
            in_flight: 0,
            queue: Queue::default(),
            mean_us: cfg.expected_us as f64,
            virtual_time: 0,
        }
    }

    fn limit(&self) -> u32 {
        self.capacity.min(self.cfg.max_in_flight)
    }

    fn has_place(&self) -> bool {
        self.in_flight < self.limit()
    }

    fn expected(&self) -> time::Duration {
        time::Duration::from_micros(self.mean_us as u64)
    }

    /// Expected wait behind `ahead` calls, for the given number of places.
    fn wait(&self, ahead: usize, places: u32) -> time::Duration {
        let turns = (ahead as f64 + 1.0) / f64::from(places.max(1));
        time::Duration::from_micros((turns * self.mean_us) as u64)
    }
}

#[derive(Clone, Debug)]
struct Running {
    service: ServiceName,
    since: Instant,
}

/// Admission of one gateway.
#[derive(Clone, Debug)]
pub struct Admission {
    cfg: Config,
    services: BTreeMap<ServiceName, Service>,
    running: BTreeMap<CallId, Running>,
    virtual_now: u64,
    outputs: VecDeque<Output>,
}

impl Admission {
    /// Creates an admission without services.
    pub fn new(cfg: Config) -> Self {
        Admission {
            cfg,
            services: BTreeMap::new(),
            running: BTreeMap::new(),
            virtual_now: 0,
            outputs: VecDeque::new(),
        }
    }

    /// Adds a service or changes its settings; calls in flight and queued stay.
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

    /// Removes a service; its queued calls are refused.
    pub fn remove_service(&mut self, name: &ServiceName) {
        if let Some(mut service) = self.services.remove(name) {
            while let Some(queued) = service.queue.pop() {
                self.outputs
                    .push_back(Output::Refuse(queued.id, Reason::UnknownService));
            }
        }
    }

    /// Sets how many calls the targets of a service can take from this gateway at the moment.
    pub fn set_capacity(&mut self, now: Instant, name: &ServiceName, capacity: u32) {
        if let Some(service) = self.services.get_mut(name) {
            service.capacity = capacity;
        }
        self.dispatch(now);
    }

    /// Offers a call.
    pub fn offer(&mut self, now: Instant, id: CallId, call: &Call<'_>) -> Decision {
        let refuse_late = self.cfg.refuse_late;
        let idle_places = self.idle_places();
        let Some(service) = self.services.get_mut(call.service) else {
            return Decision::Refuse(Reason::UnknownService);
        };
        let expected = service.expected();
        if refuse_late && !call.deadline.allows(now, expected) {
            return Decision::Refuse(Reason::Deadline);
        }
        if service.has_place() && service.queue.is_empty() && idle_places > 0 {
            self.run(now, id, call.service);
            return Decision::Run;
        }
        let ahead = service.queue.ahead_of(call.priority, call.caller);
        let places = service.limit().min(service.in_flight.max(1) + idle_places);
        let wait = service.wait(ahead, places);
        if refuse_late && !call.deadline.allows(now, wait + expected) {
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
            // An idle service earns no credit for the time it asked for nothing.
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

    /// Ends a call; `ok` tells whether it was answered, so that its time counts as a sample.
    pub fn finished(&mut self, now: Instant, id: CallId, ok: bool) {
        let Some(running) = self.running.remove(&id) else {
            return;
        };
        if let Some(service) = self.services.get_mut(&running.service) {
            service.in_flight -= 1;
            if ok {
                let sample = micros(now.since(running.since)) as f64;
                service.mean_us += (sample - service.mean_us) * SAMPLE_WEIGHT;
            }
        }
        self.dispatch(now);
    }

    /// Withdraws a queued call, for example because the caller went away.
    pub fn cancel(&mut self, id: CallId) -> bool {
        self.services
            .values_mut()
            .any(|service| service.queue.remove(id))
    }

    /// Refuses queued calls that can no longer be answered in time.
    pub fn tick(&mut self, now: Instant) {
        for service in self.services.values_mut() {
            let expected = match self.cfg.refuse_late {
                true => service.expected(),
                false => time::Duration::ZERO,
            };
            for queued in service.queue.take_late(now, expected) {
                self.outputs
                    .push_back(Output::Refuse(queued.id, Reason::Deadline));
            }
        }
    }

    /// Returns when [`Admission::tick`] is next needed.
    pub fn next_deadline(&self) -> Option<Instant> {
        let due = |service: &Service| {
            let expected = match self.cfg.refuse_late {
                true => service.expected(),
                false => time::Duration::ZERO,
            };
            service
                .queue
                .earliest_deadline()
                .map(|at| at.0.saturating_sub(expected))
        };
        self.services.values().filter_map(due).min()
    }

    /// Returns what becomes of queued calls.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Returns running and queued calls of a service.
    pub fn load(&self, name: &ServiceName) -> (u32, usize) {
        self.services
            .get(name)
            .map_or((0, 0), |service| (service.in_flight, service.queue.len()))
    }

    fn idle_places(&self) -> u32 {
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
                since: now,
            },
        );
    }

    /// Starts queued calls while there are places: the service with the least virtual time first.
    fn dispatch(&mut self, now: Instant) {
        self.tick(now);
        while self.idle_places() > 0 {
            let next = self
                .services
                .iter()
                .filter(|(_, service)| service.has_place() && !service.queue.is_empty())
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
