//! Model of one service: its slots, the arrivals, the retry budget and one decision for all of them.
//! It has no network and no targets that differ. Time goes in steps.

use std::{collections, time};

use rand::{Rng, SeedableRng, rngs};
use wagtailshunt_core::{shedding, time as core_time};

const STEP_MS: u64 = 5;

/// Share of its time for which a call may wait.
const WAIT_SHARE: f64 = 0.25;

/// Workspaces; the first one sends a third of all calls.
const WORKSPACES: usize = 20;

/// A kind of call.
#[derive(Clone)]
pub struct Kind {
    name: &'static str,
    priority: u32,
    work: u64,
    objective: u64,
    deadline: u64,
    /// Share of all calls.
    share: f64,
}

/// A load; times in ms.
#[derive(Clone)]
pub struct Load {
    pub name: &'static str,
    kinds: Vec<Kind>,
    slots: usize,
    calls_per_second: f64,
    /// From when to when there are how many times more calls.
    burst: (u64, u64, f64),
    /// Whether neighbours make a quarter of the slots seven times slower for half a second each.
    noisy: bool,
    /// From when to when targets refuse this share of the calls.
    refusing: (u64, u64, f64),
    /// Callers that have waited for up to a second arrive within the first 100 ms.
    backlog: bool,
    /// When the calls are counted that the table shows.
    counted: (u64, u64),
}

fn kind(name: &'static str, priority: u32, times: [u64; 3], share: f64) -> Kind {
    let [work, objective, deadline] = times;
    Kind {
        name,
        priority,
        work,
        objective,
        deadline,
        share,
    }
}

impl Load {
    pub fn all() -> [Load; 3] {
        let a = Load {
            name: "a",
            kinds: vec![
                kind("lookup", 0, [200, 500, 2000], 0.5),
                kind("booking", 1, [260, 600, 2500], 0.35),
                kind("download", 2, [160, 1500, 2000], 0.15),
            ],
            slots: 24,
            calls_per_second: 65.0,
            burst: (3000, 8000, 2.0),
            noisy: true,
            refusing: (0, 0, 0.0),
            backlog: false,
            counted: (3000, 9000),
        };
        let b = Load {
            name: "b",
            kinds: vec![
                kind("toggle", 1, [200, 600, 2000], 0.25),
                kind("flag", 2, [160, 500, 1500], 0.75),
            ],
            slots: 60,
            calls_per_second: 80.0,
            burst: (0, 0, 1.0),
            noisy: false,
            refusing: (3000, 9000, 0.55),
            ..a.clone()
        };
        let c = Load {
            name: "c",
            kinds: a.kinds.clone(),
            slots: 24,
            refusing: (0, 0, 0.0),
            backlog: true,
            counted: (0, 2000),
            ..b.clone()
        };
        [a, b, c]
    }
}

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
struct Call {
    kind: usize,
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
pub struct Result {
    calls: Vec<Call>,
    kinds: Vec<(u64, u64)>,
    /// Calls refused on their first arrival so late that a retry can't succeed.
    pub refused_without_retry: usize,
}

impl Result {
    fn share(&self, filter: impl Fn(&Call) -> bool, limit: impl Fn(&Call) -> u64) -> f64 {
        let all: Vec<&Call> = self.calls.iter().filter(|call| filter(call)).collect();
        let good = |call: &&&Call| {
            call.answered
                .is_some_and(|at| at <= call.born + limit(call))
        };
        all.iter().filter(good).count() as f64 / all.len().max(1) as f64
    }

    fn answered_of(&self, filter: impl Fn(&Call) -> bool) -> f64 {
        self.share(filter, |call| self.kinds[call.kind].1)
    }

    pub fn in_time(&self) -> f64 {
        self.share(|_| true, |call| self.kinds[call.kind].0)
    }

    pub fn answered(&self) -> f64 {
        self.answered_of(|_| true)
    }

    /// Returns the share of calls that were answered in time, of those of the worst second.
    pub fn worst_second(&self) -> f64 {
        let seconds: collections::BTreeSet<u64> =
            self.calls.iter().map(|call| call.born / 1000).collect();
        let share = |second: u64| {
            let limit = |call: &Call| self.kinds[call.kind].0;
            self.share(|call| call.born / 1000 == second, limit)
        };
        seconds.into_iter().map(share).fold(1.0, f64::min)
    }

    /// Returns the share of answered calls for each kind, the most urgent first.
    pub fn kinds(&self) -> Vec<f64> {
        let kinds = 0..self.kinds.len();
        kinds
            .map(|i| self.answered_of(|call| call.kind == i))
            .collect()
    }

    /// Returns the share of answered calls for each workspace, the lowest first.
    pub fn workspaces(&self) -> Vec<f64> {
        let share = |i| self.answered_of(|call| call.workspace == i);
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
    calls: Vec<Call>,
    waiting: Vec<usize>,
    /// Callers that come back, by time.
    returning: Vec<(u64, usize)>,
    tokens: f64,
    shedder: shedding::Shedder,
    served: Vec<f64>,
    refused_without_retry: usize,
}

/// Runs a load under a way to decide.
pub fn run(load: &Load, way: Way, seed: u64) -> Result {
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
        served: vec![0.0; load.kinds.len()],
        refused_without_retry: 0,
    };
    model.run();
    let (from, to) = load.counted;
    let offset = 1000;
    let counted = |call: &Call| (from + offset..to + offset).contains(&call.born);
    let mut calls = model.calls;
    // With a backlog, the callers that have waited count as well.
    calls.retain(|call| counted(call) || load.backlog && call.born < offset);
    let kinds = load
        .kinds
        .iter()
        .map(|kind| (kind.objective, kind.deadline));
    Result {
        calls,
        kinds: kinds.collect(),
        refused_without_retry: model.refused_without_retry,
    }
}

impl Model<'_> {
    fn instant(&self, ms: u64) -> core_time::Instant {
        core_time::Instant(ms * 1000)
    }

    fn kind(&self, call: usize) -> &Kind {
        &self.load.kinds[self.calls[call].kind]
    }

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
            kind: kind.unwrap_or(0),
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
                let in_time = self.now <= self.calls[call].born + self.kind(call).deadline;
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
        let due: Vec<usize> = self
            .returning
            .iter()
            .filter(|r| r.0 <= now)
            .map(|r| r.1)
            .collect();
        self.returning.retain(|r| r.0 > now);
        for call in due {
            self.calls[call].arrival = now;
            self.calls[call].attempts = 0;
            self.tokens = (self.tokens + 0.2).min(5.0);
            let now = self.instant(now);
            self.shedder.earned(now, 0.2);
            let kind = self.kind(call);
            let deadline = self.instant(self.calls[call].born + kind.deadline);
            let name = kind.name;
            self.calls[call].recognised = self.shedder.arrived(name, deadline.since(now));
            self.wait(call);
        }
    }

    fn caller(&mut self, call: usize) -> shedding::Caller {
        let kind = self.kind(call);
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
        let now = self.instant(self.now);
        let kind = self.kind(call);
        let born = self.calls[call].born;
        let deadline = self.instant(born + kind.deadline);
        let objective = self.instant(self.calls[call].arrival + kind.objective);
        let times = shedding::Times::new(now, objective, deadline, caller.work, WAIT_SHARE);
        self.calls[call].ticket = Some(self.shedder.push(now, caller, times));
    }

    fn end(&mut self, call: usize, served: bool) {
        let caller = self.caller(call);
        let now = self.instant(self.now);
        self.shedder.finished(now, &caller, served);
    }

    /// Refuses calls; a caller comes back once.
    fn refuse_call(&mut self, call: usize) {
        let caller = self.caller(call);
        self.end(call, false);
        let deadline = self.calls[call].born + self.kind(call).deadline;
        let left = deadline.saturating_sub(self.now);
        let first = !self.calls[call].came_back;
        let is_new = self.calls[call].born == self.calls[call].arrival;
        if first && is_new && left as f64 * 2.0 / 3.0 < self.kind(call).work as f64 * 1.3 {
            self.refused_without_retry += 1;
        }
        let random = self.rng.random_range(0.0..1.0);
        let delay = match self.way {
            Way::Chosen => {
                let (now, left) = (self.instant(self.now), time::Duration::from_millis(left));
                self.shedder
                    .retry_after(now, &caller, left, random)
                    .as_millis() as u64
            }
            _ => (left as f64 / 3.0 * (0.4 + 0.6 * random)) as u64,
        };
        if first {
            self.calls[call].came_back = true;
            self.returning.push((self.now + delay, call));
        }
    }

    fn refuse(&mut self) {
        for call in self.waiting.clone() {
            let refused = match self.calls[call].ticket {
                Some(ticket) => {
                    let verdict = self.shedder.verdict(self.instant(self.now), ticket);
                    matches!(verdict, shedding::Verdict::Refuse(_))
                }
                None => {
                    let kind = self.kind(call);
                    let (arrival, born) = (self.calls[call].arrival, self.calls[call].born);
                    let deadline = born + kind.deadline;
                    let may_wait = deadline.saturating_sub(arrival) as f64 * WAIT_SHARE;
                    self.now >= arrival + may_wait as u64 || self.now + kind.work > deadline
                }
            };
            if refused {
                self.waiting.retain(|other| *other != call);
                if let Some(ticket) = self.calls[call].ticket.take() {
                    self.shedder.remove(ticket);
                }
                self.refuse_call(call);
            }
        }
    }

    /// Returns the call that is sent next.
    fn next(&mut self) -> Option<usize> {
        let late = |call: usize| {
            let kind = self.kind(call);
            self.now + kind.work * 13 / 10 > self.calls[call].arrival + kind.objective
        };
        let calls = self.waiting.iter().copied();
        match self.way {
            Way::StrictPriority => calls.min_by_key(|i| (late(*i), self.kind(*i).priority, *i)),
            Way::EarliestDeadline => {
                calls.min_by_key(|i| (late(*i), self.calls[*i].arrival + self.kind(*i).objective))
            }
            Way::ValuePerSlotSecond => calls.min_by_key(|i| {
                let kind = self.kind(*i);
                let value = 0.5_f64.powi(kind.priority as i32) * if late(*i) { 0.5 } else { 1.0 };
                ((-value / kind.work as f64 * 1e9) as i64, *i)
            }),
            Way::WeightedShares => calls.min_by_key(|i| {
                let weight = 0.5_f64.powi(self.kind(*i).priority as i32);
                let served = self.served[self.calls[*i].kind] / weight;
                ((served * 1e3) as u64, *i)
            }),
            Way::Chosen => {
                let now = self.instant(self.now);
                let waiting = self.waiting.clone();
                waiting.into_iter().find(|call| {
                    let ticket = self.calls[*call].ticket;
                    ticket.is_some_and(|ticket| {
                        self.shedder.verdict(now, ticket) == shedding::Verdict::Next
                    })
                })
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
                    self.shedder.dispatched(self.instant(self.now), ticket);
                }
                self.calls[call].attempts += 1;
                let (from, to, share) = self.load.refusing;
                if (from..to).contains(&run_time) && self.rng.random_bool(share) {
                    self.refused_by_target(call);
                    continue;
                }
                self.served[self.calls[call].kind] += self.kind(call).work as f64;
                slot.call = Some(call);
                slot.work_left = self.kind(call).work as f64 * self.rng.random_range(0.7..1.3);
            }
        }
    }

    fn refused_by_target(&mut self, call: usize) {
        let tokens = self.tokens as u64;
        let kind = self.kind(call);
        let priority = kind.priority;
        let in_time = self.now + kind.work <= self.calls[call].born + kind.objective;
        let now = self.instant(self.now);
        let granted = self.calls[call].attempts < 2
            && match self.way {
                Way::Chosen => self.shedder.may_retry(now, priority, in_time, tokens),
                _ => tokens > 0,
            };
        if granted {
            self.tokens -= 1.0;
            if self.way == Way::Chosen {
                self.shedder.settle_retry();
            }
            self.wait(call);
        } else {
            self.refuse_call(call);
        }
    }
}
