//! State of a target that its connections share: settings, slots, faults and counters.

use std::{cell, rc, time};

use derive_more::Display;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;
use wagtailshunt_core::{balance, types};

use super::slots::Slots;
use super::{Config, Faults, Ledger};

/// Weight of a new sample in the reported moving average of the latency.
const LATENCY_WEIGHT: f64 = 0.2;

/// State that a target announces.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Not ready for calls.
    #[display("starting")]
    Starting,
    /// Ready for calls.
    #[display("serving")]
    Serving,
    /// Finishes its calls and accepts no new ones from gateways.
    #[display("draining")]
    Draining,
}

/// Counters of a target since its first start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Calls that took a slot.
    pub started: u64,
    /// Calls that finished with a response.
    pub finished: u64,
    /// Calls whose connection was closed while they ran.
    pub cancelled: u64,
    /// Calls shed with the not-run marker.
    pub shed: u64,
    /// Second copies of refusals that were sent.
    pub late_copies: u64,
    /// Calls that got status 500 at once.
    pub failed: u64,
    /// Calls that arrived on a frozen connection.
    pub frozen: u64,
    /// Calls that arrived after the drain started.
    pub after_drain: u64,
    /// Connections accepted.
    pub connections: u64,
    /// Crashes.
    pub crashes: u64,
    /// Announcements that a gateway accepted.
    pub announced: u64,
    /// Announcements that no gateway accepted.
    pub unannounced: u64,
}

/// Shared state of a target.
pub(super) struct Shared {
    pub config: Config,
    pub slots: Slots,
    pub rng: cell::RefCell<SmallRng>,
    pub faults: cell::RefCell<Faults>,
    pub counters: cell::Cell<Counters>,
    pub ledger: cell::RefCell<Ledger>,
    pub incarnation: cell::Cell<types::Incarnation>,
    pub started_at: cell::Cell<time::Instant>,
    pub draining: cell::Cell<bool>,
    /// Number of the last frozen connection; all up to it are frozen.
    pub last_frozen_connection: cell::Cell<u64>,
    pub latency_us: cell::Cell<f64>,
    /// Index of the gateway that accepted the last announcement.
    pub gateway: cell::Cell<usize>,
}

pub(super) type SharedRef = rc::Rc<Shared>;

impl Shared {
    pub fn new(config: Config) -> SharedRef {
        rc::Rc::new(Shared {
            slots: Slots::new(config.slots, config.queue_limit),
            rng: cell::RefCell::new(SmallRng::seed_from_u64(config.seed)),
            faults: cell::RefCell::default(),
            counters: cell::Cell::default(),
            ledger: cell::RefCell::default(),
            incarnation: cell::Cell::new(config.incarnation),
            started_at: cell::Cell::new(time::Instant::now()),
            draining: cell::Cell::new(false),
            last_frozen_connection: cell::Cell::new(0),
            latency_us: cell::Cell::new(0.0),
            gateway: cell::Cell::new(config.seed as usize),
            config,
        })
    }

    pub fn update_counters(&self, change: impl FnOnce(&mut Counters)) {
        let mut counters = self.counters.get();
        change(&mut counters);
        self.counters.set(counters);
    }

    /// Returns whether the next call is refused, and counts it.
    pub fn take_refusal(&self) -> bool {
        let refusals = &mut self.faults.borrow_mut().refusals;
        let refuses = *refusals > 0;
        *refusals = refusals.saturating_sub(1);
        refuses
    }

    pub fn state(&self) -> State {
        if self.draining.get() {
            State::Draining
        } else if self.started_at.get().elapsed() < self.config.starting {
            State::Starting
        } else {
            State::Serving
        }
    }

    /// Returns the load report, or the false one that a fault sets.
    pub fn report(&self) -> balance::LoadReport {
        if let Some(report) = self.faults.borrow().report {
            return report;
        }
        balance::LoadReport {
            in_flight: self.slots.in_flight(),
            queue: u32::try_from(self.slots.queued()).unwrap_or(u32::MAX),
            latency: time::Duration::from_micros(self.latency_us.get() as u64),
        }
    }

    pub fn record_latency(&self, latency: time::Duration) {
        let sample = latency.as_micros() as f64;
        let average = self.latency_us.get();
        self.latency_us
            .set(average + LATENCY_WEIGHT * (sample - average));
    }

    /// Draws the service time of a call.
    pub fn service_time(&self) -> time::Duration {
        let drawn = self.config.service_time.sample(&mut *self.rng.borrow_mut());
        drawn.mul_f64(self.warm_up_factor()) + self.faults.borrow().added_service_time
    }

    /// Returns the factor on service times, which falls linearly to 1 during the warm-up.
    fn warm_up_factor(&self) -> f64 {
        let Config {
            starting,
            warm_up,
            warm_up_factor,
            ..
        } = self.config;
        let warm_for = self.started_at.get().elapsed().saturating_sub(starting);
        if warm_for >= warm_up {
            return 1.0;
        }
        let progress = warm_for.as_secs_f64() / warm_up.as_secs_f64();
        warm_up_factor + (1.0 - warm_up_factor) * progress
    }
}
