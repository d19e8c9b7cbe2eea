//! Model of one service: its slots, the arrivals, the retry budget and one decision for all of them.
//! It has no network and no targets that differ. Time goes in steps.

use std::{collections, time};

use rand::{Rng, SeedableRng, rngs};
use wagtailshunt_core::{shedding, time as core_time};

use crate::loads::{Kind, Load};

const STEP_MS: u64 = 5;

/// Share of its time for which a call may wait.
const WAIT_SHARE: f64 = 0.25;

/// Workspaces; the first one sends a third of all calls.
const WORKSPACES: usize = 20;

/// A way to decide.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    StrictPriority,
    EarliestDeadline,
    ValuePerSlotSecond,
    WeightedShares,
    Chosen,
}

impl Way {
    pub const ALL: [Way; 5] = [
        Way::StrictPriority,
        Way::EarliestDeadline,
        Way::ValuePerSlotSecond,
        Way::WeightedShares,
        Way::Chosen,
    ];
}

/// A call and what became of it.
pub struct Call<'a> {
    kind: &'a Kind,
    workspace: usize,
    born: u64,
    arrival: u64,
    came_back: bool,
    /// Whether the decision takes the caller for one that comes back.
    recognised: bool,
    attempts: u32,
    ticket: Option<shedding::Ticket>,
    /// When it was answered.
    answered: Option<u64>,
}

/// Results of a run.
pub struct Result<'a> {
    load: &'a Load,
    calls: Vec<Call<'a>>,
    /// Calls refused on their first arrival so late that a retry can't succeed.
    pub refused_without_retry: usize,
}

impl Result<'_> {
    fn share(&self, filter: impl Fn(&Call) -> bool, limit: impl Fn(&Kind) -> u64) -> f64 {
        let all: Vec<&Call> = self.calls.iter().filter(|call| filter(call)).collect();
        let latest = |call: &Call| call.born + limit(call.kind);
        let good = |call: &&&Call| call.answered.is_some_and(|at| at <= latest(call));
        all.iter().filter(good).count() as f64 / all.len().max(1) as f64
    }

    pub fn in_time(&self) -> f64 {
        self.share(|_| true, |kind| kind.objective)
    }

    pub fn answered(&self) -> f64 {
        self.share(|_| true, |kind| kind.deadline)
    }

    /// Returns the share of calls that were answered in time, of those of the worst second.
    pub fn worst_second(&self) -> f64 {
        let seconds = self.calls.iter().map(|call| call.born / 1000);
        let share = |s| self.share(|call| call.born / 1000 == s, |kind| kind.objective);
        seconds.map(share).fold(1.0, f64::min)
    }

    /// Returns the share of answered calls for each kind, the most urgent first.
    pub fn kinds(&self) -> Vec<f64> {
        let of = |name| self.share(|call| call.kind.name == name, |kind| kind.deadline);
        self.load.kinds.iter().map(|kind| of(kind.name)).collect()
    }

    /// Returns the share of answered calls for each workspace, the lowest first.
    pub fn workspaces(&self) -> Vec<f64> {
        let share = |i| self.share(|call| call.workspace == i, |kind| kind.deadline);
        let mut shares: Vec<f64> = (0..WORKSPACES).map(share).collect();
        shares.sort_by(f64::total_cmp);
        shares
    }
}

struct Slot {
    call: Option<usize>,
    work_left: f64,
    slow: bool,
    changes_at: u64,
}

struct Model<'a> {
    load: &'a Load,
    way: Way,
    rng: rngs::SmallRng,
    now: u64,
    calls: Vec<Call<'a>>,
    waiting: Vec<usize>,
    /// Callers that come back, by time.
    returning: Vec<(u64, usize)>,
    tokens: f64,
    shedder: shedding::Shedder,
    /// Work that was sent, by kind.
    served: collections::BTreeMap<&'a str, f64>,
    refused_without_retry: usize,
}

/// Runs a load under a way to decide.
pub fn run(load: &Load, way: Way, seed: u64) -> Result<'_> {
    let mut model = Model {
        load,
        way,
        rng: rngs::SmallRng::seed_from_u64(seed),
        now: 0,
        calls: Vec::new(),
        waiting: Vec::new(),
        returning: Vec::new(),
        tokens: 0.0,
        shedder: shedding::Shedder::default(),
        served: collections::BTreeMap::new(),
        refused_without_retry: 0,
    };
    model.run();
    let (from, to) = load.counted;
    let offset = 1000;
    let counted = |call: &Call| (from + offset..to + offset).contains(&call.born);
    let mut calls = model.calls;
    // With a backlog, the callers that have waited count as well.
    calls.retain(|call| counted(call) || load.backlog && call.born < offset);
    Result {
        load,
        calls,
        refused_without_retry: model.refused_without_retry,
    }
}

fn instant(ms: u64) -> core_time::Instant {
    core_time::Instant(ms * 1000)
}

impl Model<'_> {
    fn run(&mut self) {
        // Times start at 1 s, so that callers of the backlog are born at positive times.
        let start = 1000;
        let mut slots: Vec<Slot> = (0..self.load.slots)
            .map(|_| Slot {
                call: None,
                work_left: 0.0,
                slow: false,
                changes_at: start + self.rng.random_range(0..500),
            })
            .collect();
        if self.load.backlog {
            let count = self.load.calls_per_second as u64;
            for i in 0..count {
                let born = start - i * 1000 / count;
                let arrival = start + self.rng.random_range(0..100);
                self.new_call(born, arrival);
            }
        }
        while self.now < 16_000 {
            self.now += STEP_MS;
            if self.now <= start {
                continue;
            }
            self.advance(&mut slots);
            self.arrive(self.now - start);
            self.refuse();
            self.send(&mut slots, self.now - start);
        }
    }

    fn new_call(&mut self, born: u64, arrival: u64) {
        let mut part = self.rng.random_range(0.0..1.0);
        let kinds = &self.load.kinds;
        let kind = kinds.iter().position(|kind| {
            part -= kind.share;
            part < 0.0
        });
        let workspace = match self.rng.random_bool(0.33) {
            true => 0,
            false => self.rng.random_range(0..WORKSPACES),
        };
        self.calls.push(Call {
            kind: &self.load.kinds[kind.unwrap_or(0)],
            workspace,
            born,
            arrival,
            came_back: false,
            recognised: false,
            attempts: 0,
            ticket: None,
            answered: None,
        });
        self.returning.push((arrival, self.calls.len() - 1));
    }

    fn advance(&mut self, slots: &mut [Slot]) {
        for slot in slots {
            if self.load.noisy && self.now >= slot.changes_at {
                slot.slow = self.rng.random_bool(0.25);
                slot.changes_at += 500;
            }
            slot.work_left -= STEP_MS as f64 / if slot.slow { 7.0 } else { 1.0 };
            if slot.work_left <= 0.0
                && let Some(call) = slot.call.take()
            {
                self.calls[call].answered = Some(self.now);
                let in_time = self.now <= self.calls[call].born + self.calls[call].kind.deadline;
                self.end(call, in_time);
            }
        }
    }

    fn arrive(&mut self, run_time: u64) {
        let (from, to, factor) = self.load.burst;
        let factor = match (from..to).contains(&run_time) {
            true => factor,
            false => 1.0,
        };
        let chance = self.load.calls_per_second * factor * STEP_MS as f64 / 1000.0;
        if self.rng.random_bool(chance.min(1.0)) && run_time < 12_000 {
            self.new_call(self.now, self.now);
        }
        let now = self.now;
        let is_due = |caller: &mut (u64, usize)| caller.0 <= now;
        let due: Vec<_> = self.returning.extract_if(.., is_due).collect();
        for (_, id) in due {
            self.tokens = (self.tokens + 0.2).min(5.0);
            self.shedder.earned(instant(now), 0.2);
            let call = &mut self.calls[id];
            call.arrival = now;
            call.attempts = 0;
            let left = instant(call.born + call.kind.deadline).since(instant(now));
            call.recognised = self.shedder.arrived(call.kind.name, left);
            self.wait(id);
        }
    }

    fn caller(&self, call: usize) -> shedding::Caller {
        let kind = self.calls[call].kind;
        shedding::Caller {
            kind: kind.name.to_owned(),
            workspace: Some(format!("w{}", self.calls[call].workspace)),
            priority: kind.priority,
            returning: self.calls[call].recognised,
            work: time::Duration::from_millis(kind.work),
        }
    }

    fn wait(&mut self, call: usize) {
        self.waiting.push(call);
        if self.way != Way::Chosen {
            return;
        }
        let caller = self.caller(call);
        let now = instant(self.now);
        let Call {
            kind,
            born,
            arrival,
            ..
        } = self.calls[call];
        let deadline = instant(born + kind.deadline);
        let objective = instant(arrival + kind.objective);
        let times = shedding::Times::new(now, objective, deadline, caller.work, WAIT_SHARE);
        self.calls[call].ticket = Some(self.shedder.push(now, caller, times));
    }

    fn end(&mut self, call: usize, served: bool) {
        let caller = self.caller(call);
        let now = instant(self.now);
        self.shedder.finished(now, &caller, served);
    }

    /// Refuses calls; a caller comes back once.
    fn refuse_call(&mut self, call: usize, by_target: bool) {
        let caller = self.caller(call);
        self.end(call, false);
        let random = self.rng.random_range(0.0..1.0);
        let id = call;
        let call = &mut self.calls[id];
        let left = (call.born + call.kind.deadline).saturating_sub(self.now);
        let left = time::Duration::from_millis(left);
        let delay = match self.way {
            Way::Chosen => {
                let now = instant(self.now);
                let shedder = &mut self.shedder;
                shedder.retry_after(now, &caller, by_target, left, random)
            }
            _ => left.mul_f64((0.4 + 0.6 * random) / 3.0),
        };
        if !std::mem::replace(&mut call.came_back, true) {
            let needed = caller.work.mul_f64(1.3);
            if call.born == call.arrival && left.mul_f64(2.0 / 3.0) < needed {
                self.refused_without_retry += 1;
            }
            let at = self.now + delay.as_millis() as u64;
            self.returning.push((at, id));
        }
    }

    fn refuse(&mut self) {
        for call in self.waiting.clone() {
            let refused = match self.calls[call].ticket {
                Some(ticket) => {
                    let verdict = self.shedder.verdict(instant(self.now), ticket);
                    matches!(verdict, shedding::Verdict::Refuse(_))
                }
                None => {
                    let call = &self.calls[call];
                    let deadline = call.born + call.kind.deadline;
                    let may_wait = deadline.saturating_sub(call.arrival) as f64 * WAIT_SHARE;
                    let late = self.now + call.kind.work > deadline;
                    late || self.now >= call.arrival + may_wait as u64
                }
            };
            if refused {
                self.waiting.retain(|other| *other != call);
                if let Some(ticket) = self.calls[call].ticket.take() {
                    self.shedder.remove(ticket);
                }
                self.refuse_call(call, false);
            }
        }
    }

    /// Returns the call that is sent next.
    fn next(&mut self) -> Option<usize> {
        let late = |call: usize| {
            let kind = self.calls[call].kind;
            self.now + kind.work * 13 / 10 > self.calls[call].arrival + kind.objective
        };
        let calls = self.waiting.iter().copied();
        match self.way {
            Way::StrictPriority => {
                calls.min_by_key(|i| (late(*i), self.calls[*i].kind.priority, *i))
            }
            Way::EarliestDeadline => calls.min_by_key(|i| {
                (
                    late(*i),
                    self.calls[*i].arrival + self.calls[*i].kind.objective,
                )
            }),
            Way::ValuePerSlotSecond => calls.min_by_key(|i| {
                let kind = self.calls[*i].kind;
                let value = 0.5_f64.powi(kind.priority as i32) * if late(*i) { 0.5 } else { 1.0 };
                ((-value / kind.work as f64 * 1e9) as i64, *i)
            }),
            Way::WeightedShares => calls.min_by_key(|i| {
                let weight = 0.5_f64.powi(self.calls[*i].kind.priority as i32);
                let served = self.served.get(self.calls[*i].kind.name).unwrap_or(&0.0) / weight;
                ((served * 1e3) as u64, *i)
            }),
            Way::Chosen => {
                let now = instant(self.now);
                let shedder = &mut self.shedder;
                let mut is_next = |t| shedder.verdict(now, t) == shedding::Verdict::Next;
                let mut calls = calls;
                calls.find(|call| self.calls[*call].ticket.is_some_and(&mut is_next))
            }
        }
    }

    fn send(&mut self, slots: &mut [Slot], run_time: u64) {
        for slot in slots {
            while slot.call.is_none() && !slot.slow {
                let Some(call) = self.next() else {
                    return;
                };
                self.waiting.retain(|other| *other != call);
                if let Some(ticket) = self.calls[call].ticket.take() {
                    self.shedder.dispatched(instant(self.now), ticket);
                }
                self.calls[call].attempts += 1;
                let (from, to, share) = self.load.refusing;
                if (from..to).contains(&run_time) && self.rng.random_bool(share) {
                    self.refused_by_target(call);
                    continue;
                }
                let kind = self.calls[call].kind;
                *self.served.entry(kind.name).or_default() += kind.work as f64;
                slot.call = Some(call);
                slot.work_left = kind.work as f64 * self.rng.random_range(0.7..1.3);
            }
        }
    }

    fn refused_by_target(&mut self, call: usize) {
        let tokens = self.tokens as u64;
        let now = instant(self.now);
        let failed = &self.calls[call];
        let class = shedding::Class {
            priority: failed.kind.priority,
            first_time: !failed.recognised,
            late: self.now + failed.kind.work > failed.arrival + failed.kind.objective,
        };
        let granted = failed.attempts < 2
            && match self.way {
                Way::Chosen => self.shedder.may_retry(now, class, tokens),
                _ => tokens > 0,
            };
        if granted {
            self.tokens -= 1.0;
            if self.way == Way::Chosen {
                self.shedder.settle_retry();
            }
            self.wait(call);
        } else {
            self.refuse_call(call, true);
        }
    }
}
