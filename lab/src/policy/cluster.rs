//! A queueing model of gateways and targets in virtual time.
//!
//! It is a load generator around the real balancer, admission, retry and hedging code. Network and
//! targets are fakes; control VMs are left out, so news of targets is applied after a fixed delay.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time;

use wagtailshunt_core::balance::{self, Balancer, LoadReport, TargetKey};
use wagtailshunt_core::deadline::Deadline;
use wagtailshunt_core::time::Instant;
use wagtailshunt_core::types::{FailureDomain, Incarnation, ServiceName, TargetId, VmId};
use wagtailshunt_core::{admission, retry};

use super::fake::{Fake, Job};
use super::faults::Fault;
use super::setup::{Selection, Setup};
use super::stats::Stats;
use super::workload::{Arrivals, Work};

/// Name of the only service.
pub(super) const SERVICE: &str = "lookups";

/// What happens at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    Arrival,
    /// A call passed on by another gateway reaches the owner.
    Handed(usize),
    Reach(usize),
    Done {
        attempt: usize,
        target: usize,
    },
    Answer(usize),
    /// The caller has its answer from the owner by way of the gateway it called.
    HandedBack(usize),
    Deadline(usize),
    Hedge(usize),
    Cancel(usize),
    AdmissionTick(usize),
    ProbeReach {
        gateway: usize,
        target: usize,
    },
    ProbeDone {
        serial: u64,
        gateway: usize,
        target: usize,
    },
    ProbeAnswer {
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
    Directory(usize),
    Fault(Fault),
}

/// A call and its progress.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub arrived: Instant,
    pub entry: usize,
    pub gateway: usize,
    pub work: Work,
    pub deadline: Deadline,
    pub made: u32,
    pub tried: Vec<TargetKey>,
    pub outstanding: Vec<usize>,
    pub done: bool,
    pub running: bool,
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
    pub reached: Instant,
    pub open: bool,
    pub outcome: balance::Outcome,
    pub not_run: bool,
    pub report: Option<LoadReport>,
}

/// A gateway around the real decision code.
pub(super) struct Gateway {
    pub domain: FailureDomain,
    pub domain_number: usize,
    pub alive: bool,
    pub balancer: Balancer,
    pub admission: admission::Admission,
    pub retries: retry::Budget,
    pub hedger: retry::Hedger,
    pub keys: Vec<TargetKey>,
    pub held: Vec<u32>,
    pub waiting: std::collections::VecDeque<usize>,
    pub requested: usize,
    pub tick_at: Option<Instant>,
}

/// The model.
pub struct Cluster {
    pub(super) setup: Setup,
    pub(super) now: Instant,
    pub(super) gateways: Vec<Gateway>,
    pub(super) targets: Vec<Fake>,
    pub(super) calls: Vec<Call>,
    pub(super) attempts: Vec<Attempt>,
    pub(super) broker: balance::SlotBroker,
    pub(super) arrivals: Arrivals,
    pub(super) stats: Stats,
    pub(super) loading: bool,
    next_work: Option<Work>,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    sequence: u64,
}

impl Cluster {
    /// Creates a cluster without load; see [`Cluster::start_load`].
    pub fn new(setup: Setup, seed: u64) -> Self {
        let targets = (0..setup.targets)
            .map(|i| Fake::new(i % setup.domains, setup.slots))
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
            next_work: None,
            events: BinaryHeap::new(),
            sequence: 0,
            setup,
        };
        for number in 0..cluster.setup.gateways {
            let gateway = cluster.new_gateway(number, seed);
            cluster.gateways.push(gateway);
        }
        cluster.set_up_slots();
        cluster
    }

    /// Returns what was measured so far.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// Forgets what was measured so far.
    pub fn reset_stats(&mut self) {
        self.stats = Stats::default();
        self.stats.since = self.now;
        let (messages, spent) = self.measuring_totals();
        self.stats.measured_before = (messages, spent);
    }

    /// Starts the arrivals.
    pub fn start_load(&mut self, now: Instant) {
        self.now = now;
        if !self.loading {
            self.loading = true;
            self.arrivals.skip_to(now.0);
            self.plan_arrival();
        }
    }

    /// Schedules a fault.
    pub fn plan(&mut self, at: Instant, fault: Fault) {
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

    /// Returns probe messages and lending messages of all gateways, and the probes' spending.
    pub(super) fn measuring_totals(&self) -> (u64, wagtailshunt_core::measure::Spent) {
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

    /// Returns whether the policy reads load reports in answers, so that they count as its cost.
    pub(super) fn uses_reports(&self) -> bool {
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

    /// Returns a number that no other probe has.
    pub(super) fn next_serial(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Returns the one-way delay between a gateway and a target.
    pub(super) fn delay(&self, gateway: usize, target: usize) -> time::Duration {
        let near = self.gateways[gateway].domain_number == self.targets[target].domain;
        if near {
            self.setup.near
        } else {
            self.setup.far
        }
    }

    /// Tells all gateways what the directory says about a target.
    pub(super) fn announce(&mut self, target: usize) {
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
            held: vec![0; self.targets.len()],
            waiting: std::collections::VecDeque::new(),
            requested: 0,
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

    fn set_up_slots(&mut self) {
        let leases = self.setup.slots * self.setup.leases_per_slot;
        match self.setup.selection {
            Selection::Local => {}
            // All gateways give a target the same handle, since they learn targets in one order.
            Selection::SlotLeases { .. } => {
                for target in 0..self.targets.len() {
                    self.broker.add(self.gateways[0].keys[target], leases);
                }
            }
            Selection::Owner => {
                let owner = &mut self.gateways[0];
                for (target, key) in owner.keys.iter().enumerate() {
                    owner.held[target] = leases;
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

    fn plan_arrival(&mut self) {
        let (at, work) = self.arrivals.next();
        self.next_work = Some(work);
        self.schedule(Instant(at), Event::Arrival);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => {
                if let Some(work) = self.next_work.take() {
                    self.arrive(work);
                }
                if self.loading {
                    self.plan_arrival();
                }
            }
            Event::Handed(call) => self.offer(call),
            Event::Reach(attempt) => self.reach(attempt),
            Event::Done { attempt, target } => self.job_done(target, Job::Attempt(attempt)),
            Event::Answer(attempt) => self.answered(attempt),
            Event::HandedBack(call) => self.record_ok(call),
            Event::Deadline(call) => self.deadline_passed(call),
            Event::Hedge(call) => self.hedge(call),
            Event::Cancel(attempt) => self.cancel_on_target(attempt),
            Event::AdmissionTick(gateway) => self.admission_tick(gateway),
            Event::ProbeReach { gateway, target } => self.probe_reach(gateway, target),
            Event::ProbeDone {
                gateway,
                target,
                serial,
            } => self.job_done(target, Job::Probe { gateway, serial }),
            Event::ProbeAnswer {
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
            Event::Directory(target) => {
                if self.targets[target].lost {
                    self.return_slots(target);
                }
                self.announce(target);
            }
            Event::Fault(fault) => self.inject(fault),
        }
        self.send_grants();
    }
}

fn upsert(balancer: &mut Balancer, now: Instant, number: usize, fake: &Fake) -> TargetKey {
    let availability = match fake.draining || fake.lost {
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
