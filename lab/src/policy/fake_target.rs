//! A simulated target: its slots, queue, load report and faults.
//!
//! It holds state only; events and times come from the cluster.

use std::collections::VecDeque;
use std::time;

use wagtailshunt_core::balance;
use wagtailshunt_core::time::Instant;

/// Number of calls that a target queues before it sheds further ones.
const QUEUE_LIMIT: usize = 20;
/// Number of calls after which a cold target is warm.
const COLD_CALLS: u32 = 200;
/// Service time of the first call on a cold target, relative to a warm one.
const COLD_FACTOR: f64 = 6.0;

/// Work that occupies a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Job {
    /// An attempt of a call, by its index.
    Attempt(usize),
    /// A probe.
    Probe {
        /// The probing gateway.
        gateway: usize,
        /// Serial number that distinguishes the probes of one gateway.
        serial: u64,
    },
}

/// Result of a job that arrives at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EnterResult {
    /// The job runs at once.
    Running,
    /// The job is queued.
    Queued,
    /// The queue is full and the job is refused.
    Shed,
}

/// State of a simulated target.
#[derive(Clone, Debug)]
pub struct FakeTarget {
    /// Number of its failure domain.
    pub domain: usize,
    /// Number of jobs that run at the same time.
    pub slots: u32,
    /// Factor on service times.
    pub slow: f64,
    /// Factor on service times caused by another process on the same machine.
    pub neighbour: f64,
    /// Whether every call gets an error at once.
    pub fails_fast: bool,
    /// Whether all load reports are zero.
    pub reports_no_load: bool,
    /// Whether the target accepts no connections and sends no responses.
    pub unreachable: bool,
    /// Whether the target refuses new calls because it shuts down.
    pub draining: bool,
    /// Incarnation, increased at each start.
    pub incarnation: u64,
    /// Number of calls until the target is warm.
    cold_calls_left: u32,
    running: Vec<Job>,
    queue: VecDeque<Job>,
    latency_us: f64,
    published: Option<(balance::LoadReport, Instant)>,
    /// Number of attempts received.
    pub received: u64,
}

impl FakeTarget {
    /// Creates a warm, idle target.
    pub fn new(domain: usize, slots: u32) -> Self {
        FakeTarget {
            domain,
            slots,
            slow: 1.0,
            neighbour: 1.0,
            fails_fast: false,
            reports_no_load: false,
            unreachable: false,
            draining: false,
            incarnation: 1,
            cold_calls_left: 0,
            running: Vec::new(),
            queue: VecDeque::new(),
            latency_us: 5_000.0,
            published: None,
            received: 0,
        }
    }

    /// Makes the target cold, as after a restart.
    pub fn reset_warm_up(&mut self) {
        self.cold_calls_left = COLD_CALLS;
    }

    /// Runs, queues or refuses a job.
    pub fn admit(&mut self, job: Job) -> EnterResult {
        if self.running.len() < self.slots as usize {
            self.running.push(job);
            return EnterResult::Running;
        }
        if self.queue.len() >= QUEUE_LIMIT {
            return EnterResult::Shed;
        }
        self.queue.push_back(job);
        EnterResult::Queued
    }

    /// Removes a running or queued job and returns the job that takes over its slot.
    pub fn remove(&mut self, job: Job) -> Option<Job> {
        if let Some(at) = self.queue.iter().position(|queued| *queued == job) {
            self.queue.remove(at);
            return None;
        }
        let at = self.running.iter().position(|running| *running == job)?;
        self.running.swap_remove(at);
        let next = self.queue.pop_front()?;
        self.running.push(next);
        Some(next)
    }

    /// Returns whether the job occupies a slot of this target.
    pub fn is_running(&self, job: Job) -> bool {
        self.running.contains(&job)
    }

    /// Drops all jobs, as a crash does, and returns them.
    pub fn clear(&mut self) -> Vec<Job> {
        let mut jobs = std::mem::take(&mut self.running);
        jobs.extend(std::mem::take(&mut self.queue));
        jobs
    }

    /// Returns the service time of the next call in microseconds, from that on a warm target
    /// without faults.
    pub fn service_us(&mut self, base_us: f64) -> f64 {
        let cold_share = f64::from(self.cold_calls_left) / f64::from(COLD_CALLS);
        self.cold_calls_left = self.cold_calls_left.saturating_sub(1);
        base_us * self.slow * self.neighbour * (1.0 + (COLD_FACTOR - 1.0) * cold_share)
    }

    /// Adds the time that a call spent on the target to the moving average.
    pub fn record_latency(&mut self, spent_us: u64) {
        self.latency_us += (spent_us as f64 - self.latency_us) * 0.1;
    }

    /// Returns the load report, renewed if the last one is `period` old or older.
    pub fn report(&mut self, now: Instant, period: time::Duration) -> balance::LoadReport {
        if self.reports_no_load {
            return balance::LoadReport::default();
        }
        let current = balance::LoadReport {
            in_flight: self.running.len() as u32,
            queue: self.queue.len() as u32,
            latency: time::Duration::from_micros(self.latency_us as u64),
        };
        match self.published {
            Some((report, at)) if now.since(at) < period => report,
            _ => {
                self.published = Some((current, now));
                current
            }
        }
    }
}
