//! A queueing model of gateways and targets in virtual time.
//!
//! A discrete-event simulation drives the real balancer, admission, retry and hedging code with
//! generated calls. Network and targets are simulated. Control VMs are not modelled; directory
//! updates about targets reach the gateways after a fixed delay.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time;

use wagtailshunt_core::balance::{self, Balancer, LoadReport, TargetKey};
use wagtailshunt_core::deadline::Deadline;
use wagtailshunt_core::time::Instant;
use wagtailshunt_core::types::{FailureDomain, Incarnation, ServiceName, TargetId, VmId};
use wagtailshunt_core::{admission, retry};

use super::fake_target::{FakeTarget, Job};
use super::faults::Fault;
use super::setup::{Selection, Setup};
use super::stats::Stats;
use super::workload::{Arrivals, CallSpec};

/// Name of the only service in the model.
pub(super) const SERVICE: &str = "lookups";

/// A scheduled event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    Arrival,
    /// A call that another gateway has forwarded arrives at the owner.
    Forwarded(usize),
    AttemptArrived(usize),
    Done {
        attempt: usize,
        target: usize,
    },
    Response(usize),
    /// The response of the owner reaches the caller through the gateway that forwarded the call.
    ForwardedResponse(usize),
    Deadline(usize),
    Hedge(usize),
    Cancel(usize),
    AdmissionTick(usize),
    ProbeArrived {
        gateway: usize,
        target: usize,
    },
    ProbeDone {
        serial: u64,
        gateway: usize,
        target: usize,
    },
    ProbeResponse {
        gateway: usize,
        target: usize,
        occupancy: u32,
        latency_us: u32,
    },
    SlotRequest(usize),
    SlotGrant {
        gateway: usize,
        target: usize,
    },
    SlotIdle {
        gateway: usize,
        target: usize,
    },
    SlotReturn {
        gateway: usize,
        target: usize,
    },
    DirectoryUpdate(usize),
    Fault(Fault),
}

/// State of a call.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub arrived: Instant,
    pub entry_gateway: usize,
    pub gateway: usize,
    pub call_spec: CallSpec,
    pub deadline: Deadline,
    pub attempts_made: u32,
    pub tried_targets: Vec<TargetKey>,
    pub outstanding: Vec<usize>,
    pub done: bool,
    pub admitted: bool,
}

/// One attempt of a call on a target.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub call: usize,
    pub gateway: usize,
    pub target: usize,
    pub key: TargetKey,
    pub number: u32,
    pub started: Instant,
    pub arrived_at_target: Instant,
    pub open: bool,
    pub outcome: balance::Outcome,
    pub not_run: bool,
    pub report: Option<LoadReport>,
}

/// A simulated gateway that runs the real decision code.
pub(super) struct Gateway {
    pub domain: FailureDomain,
    pub domain_number: usize,
    pub alive: bool,
    pub balancer: Balancer,
    pub admission: admission::Admission,
    pub retries: retry::Budget,
    pub hedger: retry::Hedger,
    pub keys: Vec<TargetKey>,
    pub held_slots: Vec<u32>,
    pub waiting: std::collections::VecDeque<usize>,
    pub requested_slots: usize,
    pub tick_at: Option<Instant>,
}

/// The simulated gateways and targets, with the queue of events.
pub struct Cluster {
    pub(super) setup: Setup,
    pub(super) now: Instant,
    pub(super) gateways: Vec<Gateway>,
    pub(super) targets: Vec<FakeTarget>,
    pub(super) calls: Vec<Call>,
    pub(super) attempts: Vec<Attempt>,
    pub(super) broker: balance::SlotBroker,
    pub(super) arrivals: Arrivals,
    pub(super) stats: Stats,
    pub(super) loading: bool,
    next_call_spec: Option<CallSpec>,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    sequence: u64,
}

impl Cluster {
    /// Creates a cluster without load; [`Cluster::start_load`] starts the arrivals.
    pub fn new(setup: Setup, seed: u64) -> Self {
        let targets = (0..setup.targets)
            .map(|i| FakeTarget::new(i % setup.domains, setup.slots))
            .collect();
        let mut cluster = Cluster {
            now: Instant(0),
            gateways: Vec::new(),
            targets,
            calls: Vec::new(),
            attempts: Vec::new(),
            broker: balance::SlotBroker::new(),
            arrivals: Arrivals::new(seed, setup.rate()),
            stats: Stats::default(),
            loading: false,
            next_call_spec: None,
            events: BinaryHeap::new(),
            sequence: 0,
            setup,
        };
        for number in 0..cluster.setup.gateways {
            let gateway = cluster.new_gateway(number, seed);
            cluster.gateways.push(gateway);
        }
        cluster.assign_leased_slots();
        cluster
    }

    /// Returns the counters since the last reset.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// Resets the counters.
    pub fn reset_stats(&mut self) {
        self.stats = Stats::default();
        self.stats.since = self.now;
        let (messages, spent) = self.measurement_totals();
        self.stats.measurement_before_reset = (messages, spent);
    }

    /// Starts the arrivals at `now`.
    pub fn start_load(&mut self, now: Instant) {
        self.now = now;
        if !self.loading {
            self.loading = true;
            self.arrivals.skip_to(now.0);
            self.schedule_arrival();
        }
    }

    /// Schedules a fault at a virtual time.
    pub fn schedule_fault(&mut self, at: Instant, fault: Fault) {
        self.schedule(at, Event::Fault(fault));
    }

    /// Returns the time of the next event.
    pub fn next_event(&self) -> Option<Instant> {
        self.events.peek().map(|Reverse((at, _, _))| *at)
    }

    /// Handles all events up to and including `now`.
    pub fn advance(&mut self, now: Instant) {
        while self.next_event().is_some_and(|at| at <= now) {
            if let Some(Reverse((at, _, event))) = self.events.pop() {
                self.now = at;
                self.handle(event);
            }
        }
        self.now = now;
    }

    /// Returns the number of slot lease messages, and the total cost of probes, of all gateways.
    pub(super) fn measurement_totals(&self) -> (u64, wagtailshunt_core::measure::Spent) {
        let mut sum = wagtailshunt_core::measure::Spent::default();
        for gateway in &self.gateways {
            let spent = gateway.balancer.budget().spent();
            sum.calls += spent.calls;
            sum.messages += spent.messages;
            sum.bytes += spent.bytes;
            sum.target_time_us += spent.target_time_us;
            sum.refused += spent.refused;
        }
        (self.broker.counts().messages(), sum)
    }

    /// Returns whether the policy reads load reports in responses, whose bytes then count as its
    /// cost.
    pub(super) fn reads_load_reports(&self) -> bool {
        let policy = self.setup.balance.policy;
        matches!(
            policy,
            balance::Policy::LeastReported | balance::Policy::Piggyback(_)
        )
    }

    pub(super) fn schedule(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events
            .push(Reverse((at.max(self.now), self.sequence, event)));
    }

    pub(super) fn schedule_in(&mut self, delay: time::Duration, event: Event) {
        self.schedule(self.now + delay, event);
    }

    /// Returns a serial number that is unique among all probes.
    pub(super) fn next_serial(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Returns the one-way network delay between a gateway and a target.
    pub(super) fn delay(&self, gateway: usize, target: usize) -> time::Duration {
        let same_domain = self.gateways[gateway].domain_number == self.targets[target].domain;
        if same_domain {
            self.setup.same_domain_delay
        } else {
            self.setup.cross_domain_delay
        }
    }

    /// Applies the current state of a target to the balancers of all gateways.
    pub(super) fn apply_directory_update(&mut self, target: usize) {
        for number in 0..self.gateways.len() {
            self.upsert(number, target);
        }
    }

    fn new_gateway(&mut self, number: usize, seed: u64) -> Gateway {
        let service = ServiceName::from(SERVICE);
        let mut admission = admission::Admission::new(self.setup.admission);
        admission.set_service(self.now, &service, self.setup.service);
        let domain_number = number % self.setup.domains;
        let mut gateway = Gateway {
            domain: domain_name(domain_number),
            domain_number,
            alive: true,
            balancer: Balancer::new(self.setup.balance, seed ^ (number as u64 + 1) << 32),
            admission,
            retries: retry::Budget::new(self.setup.retry),
            hedger: retry::Hedger::new(self.setup.hedge),
            keys: Vec::new(),
            held_slots: vec![0; self.targets.len()],
            waiting: std::collections::VecDeque::new(),
            requested_slots: 0,
            tick_at: None,
        };
        for target in 0..self.targets.len() {
            let key = upsert(
                &mut gateway.balancer,
                self.now,
                target,
                &self.targets[target],
            );
            gateway.keys.push(key);
        }
        gateway
    }

    fn assign_leased_slots(&mut self) {
        let leases = self.setup.slots * self.setup.leases_per_slot;
        match self.setup.selection {
            Selection::Local => {}
            // The key of a target is the same on all gateways, since targets are added in one order.
            Selection::SlotLeases { .. } => {
                for target in 0..self.targets.len() {
                    self.broker.add(self.gateways[0].keys[target], leases);
                }
            }
            Selection::Owner => {
                let owner = &mut self.gateways[0];
                for (target, key) in owner.keys.iter().enumerate() {
                    owner.held_slots[target] = leases;
                    owner.balancer.set_leased_slots(*key, leases);
                }
            }
        }
    }

    fn upsert(&mut self, gateway: usize, target: usize) {
        let gateway = &mut self.gateways[gateway];
        gateway.keys[target] = upsert(
            &mut gateway.balancer,
            self.now,
            target,
            &self.targets[target],
        );
    }

    fn schedule_arrival(&mut self) {
        let (at, call_spec) = self.arrivals.next();
        self.next_call_spec = Some(call_spec);
        self.schedule(Instant(at), Event::Arrival);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => {
                if let Some(call_spec) = self.next_call_spec.take() {
                    self.handle_arrival(call_spec);
                }
                if self.loading {
                    self.schedule_arrival();
                }
            }
            Event::Forwarded(call) => self.offer_call(call),
            Event::AttemptArrived(attempt) => self.deliver_attempt(attempt),
            Event::Done { attempt, target } => self.job_done(target, Job::Attempt(attempt)),
            Event::Response(attempt) => self.handle_response(attempt),
            Event::ForwardedResponse(call) => self.record_ok(call),
            Event::Deadline(call) => self.deadline_passed(call),
            Event::Hedge(call) => self.hedge(call),
            Event::Cancel(attempt) => self.cancel_on_target(attempt),
            Event::AdmissionTick(gateway) => self.admission_tick(gateway),
            Event::ProbeArrived { gateway, target } => self.deliver_probe(gateway, target),
            Event::ProbeDone {
                gateway,
                target,
                serial,
            } => self.job_done(target, Job::Probe { gateway, serial }),
            Event::ProbeResponse {
                gateway,
                target,
                occupancy,
                latency_us,
            } => {
                let report = LoadReport {
                    in_flight: occupancy,
                    queue: 0,
                    latency: time::Duration::from_micros(u64::from(latency_us)),
                };
                let gateway = &mut self.gateways[gateway];
                let key = gateway.keys[target];
                gateway.balancer.probe_answered(self.now, key, &report);
            }
            Event::SlotRequest(gateway) => self.broker.request(VmId(gateway as u32)),
            Event::SlotGrant { gateway, target } => self.slot_granted(gateway, target),
            Event::SlotIdle { gateway, target } => self.slot_idle(gateway, target),
            Event::SlotReturn { gateway, target } => {
                let key = self.gateways[0].keys[target];
                self.broker.return_slot(VmId(gateway as u32), key);
            }
            Event::DirectoryUpdate(target) => {
                if self.targets[target].unreachable {
                    self.return_slots(target);
                }
                self.apply_directory_update(target);
            }
            Event::Fault(fault) => self.inject(fault),
        }
        self.send_grants();
    }
}

fn upsert(balancer: &mut Balancer, now: Instant, number: usize, fake: &FakeTarget) -> TargetKey {
    let availability = match fake.draining || fake.unreachable {
        true => balance::Availability::Draining,
        false => balance::Availability::Serving,
    };
    let info = balance::TargetInfo {
        id: &TargetId(format!("t{number:02}")),
        incarnation: Incarnation(fake.incarnation),
        failure_domain: &domain_name(fake.domain),
        slots: fake.slots,
        availability,
    };
    balancer.upsert(now, &info)
}

fn domain_name(number: usize) -> FailureDomain {
    FailureDomain(format!("fd{number}"))
}
