//! A fake target: slots, a queue and the faults it can have.

use std::collections::VecDeque;
use std::time;

use wagtailshunt_core::balance;
use wagtailshunt_core::time::Instant;

/// Calls a target lets wait before it sheds.
const QUEUE_LIMIT: usize = 20;
/// Calls after which a cold target is warm.
const COLD_CALLS: u32 = 200;
/// Service time of the first call on a cold target relative to a warm one.
const COLD_FACTOR: f64 = 6.0;

/// What occupies a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Job {
    /// An attempt of a call.
    Attempt(usize),
    /// A probe, with its serial number.
    Probe {
        /// The probing gateway.
        gateway: usize,
        /// Tells probes of one gateway apart.
        serial: u64,
    },
}

/// What a target does with a job that reaches it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    /// It runs at once.
    Runs,
    /// It waits.
    Waits,
    /// It is refused for lack of capacity.
    Shed,
}

/// State of a fake target.
#[derive(Clone, Debug)]
pub struct Fake {
    /// Number of its failure domain.
    pub domain: usize,
    /// Jobs it runs at the same time.
    pub slots: u32,
    /// Factor on service times.
    pub slow: f64,
    /// Factor on service times by a neighbour on the same machine.
    pub neighbour: f64,
    /// Answers every call at once with an error.
    pub fails_fast: bool,
    /// Reports no load at all.
    pub lies: bool,
    /// Silent: neither runs nor answers.
    pub lost: bool,
    /// Refuses new calls, as a leaving target does.
    pub draining: bool,
    /// Start counter.
    pub incarnation: u64,
    /// Calls still to be run before it is warm.
    cold: u32,
    running: Vec<Job>,
    queue: VecDeque<Job>,
    latency_us: f64,
    published: Option<(balance::LoadReport, Instant)>,
    /// Attempts that it was given.
    pub received: u64,
}

impl Fake {
    /// Creates a warm, idle target.
    pub fn new(domain: usize, slots: u32) -> Self {
        Fake {
            domain,
            slots,
            slow: 1.0,
            neighbour: 1.0,
            fails_fast: false,
            lies: false,
            lost: false,
            draining: false,
            incarnation: 1,
            cold: 0,
            running: Vec::new(),
            queue: VecDeque::new(),
            latency_us: 5_000.0,
            published: None,
            received: 0,
        }
    }

    /// Makes the target cold, as after a start.
    pub fn chill(&mut self) {
        self.cold = COLD_CALLS;
    }

    /// Takes a job in.
    pub fn enter(&mut self, job: Job) -> Entry {
        if self.running.len() < self.slots as usize {
            self.running.push(job);
            return Entry::Runs;
        }
        if self.queue.len() >= QUEUE_LIMIT {
            return Entry::Shed;
        }
        self.queue.push_back(job);
        Entry::Waits
    }

    /// Ends a job, whether it runs or waits; returns the job that takes its slot.
    pub fn leave(&mut self, job: Job) -> Option<Job> {
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

    /// Returns whether the job is on this target.
    pub fn holds(&self, job: Job) -> bool {
        self.running.contains(&job)
    }

    /// Drops everything, as a crash does; returns the attempts that were on the target.
    pub fn clear(&mut self) -> Vec<Job> {
        let mut jobs = std::mem::take(&mut self.running);
        jobs.extend(std::mem::take(&mut self.queue));
        jobs
    }

    /// Returns how long a job takes, in microseconds.
    pub fn service_us(&mut self, base_us: f64) -> f64 {
        let cold = f64::from(self.cold) / f64::from(COLD_CALLS);
        self.cold = self.cold.saturating_sub(1);
        base_us * self.slow * self.neighbour * (1.0 + (COLD_FACTOR - 1.0) * cold)
    }

    /// Learns the time that a call spent on the target.
    pub fn learn(&mut self, spent_us: u64) {
        self.latency_us += (spent_us as f64 - self.latency_us) * 0.1;
    }

    /// Returns the load report; one older than `period` is renewed first.
    pub fn report(&mut self, now: Instant, period: time::Duration) -> balance::LoadReport {
        if self.lies {
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
