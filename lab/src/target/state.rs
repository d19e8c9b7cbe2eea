//! State that the connections of a target share.

use std::{cell, rc, time};

use derive_more::Display;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;
use wagtailshunt_core::{balance, types};

use super::slots::Slots;
use super::{Config, Faults, Ledger};

/// Share of a new latency sample in the reported average.
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
    /// Finishes its calls and wants no new ones.
    #[display("draining")]
    Draining,
}

/// Counters of a target since its first start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Calls that took a slot.
    pub started: u64,
    /// Calls that ended with an answer.
    pub finished: u64,
    /// Calls whose connection ended while they ran.
    pub cancelled: u64,
    /// Calls answered with the not-run marker.
    pub shed: u64,
    /// Calls answered 500 at once.
    pub failed: u64,
    /// Calls that arrived on a frozen connection.
    pub frozen: u64,
    /// Calls that arrived after the drain began.
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
    /// Connections numbered up to this one are frozen.
    pub frozen_through: cell::Cell<u64>,
    pub latency_us: cell::Cell<f64>,
    /// Position of the gateway that accepted the last announcement.
    pub gateway: cell::Cell<usize>,
}

pub(super) type Ref = rc::Rc<Shared>;

impl Shared {
    pub fn new(config: Config) -> Ref {
        rc::Rc::new(Shared {
            slots: Slots::new(config.slots, config.queue_limit),
            rng: cell::RefCell::new(SmallRng::seed_from_u64(config.seed)),
            faults: cell::RefCell::default(),
            counters: cell::Cell::default(),
            ledger: cell::RefCell::default(),
            incarnation: cell::Cell::new(config.incarnation),
            started_at: cell::Cell::new(time::Instant::now()),
            draining: cell::Cell::new(false),
            frozen_through: cell::Cell::new(0),
            latency_us: cell::Cell::new(0.0),
            gateway: cell::Cell::new(config.seed as usize),
            config,
        })
    }

    pub fn count(&self, change: impl FnOnce(&mut Counters)) {
        let mut counters = self.counters.get();
        change(&mut counters);
        self.counters.set(counters);
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

    /// Returns the reported load, which a fault may falsify.
    pub fn report(&self) -> balance::LoadReport {
        if let Some(report) = self.faults.borrow().report {
            return report;
        }
        balance::LoadReport {
            in_flight: self.slots.in_flight(),
            queue: u32::try_from(self.slots.waiting()).unwrap_or(u32::MAX),
            latency: time::Duration::from_micros(self.latency_us.get() as u64),
        }
    }

    pub fn observe_latency(&self, latency: time::Duration) {
        let sample = latency.as_micros() as f64;
        let average = self.latency_us.get();
        self.latency_us
            .set(average + LATENCY_WEIGHT * (sample - average));
    }

    /// Draws the service time of a call.
    pub fn service_time(&self) -> time::Duration {
        let drawn = self.config.service_time.sample(&mut *self.rng.borrow_mut());
        drawn.mul_f64(self.warm_up_factor()) + self.faults.borrow().slow
    }

    /// Falls linearly from the configured factor to 1 during the warm-up.
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
