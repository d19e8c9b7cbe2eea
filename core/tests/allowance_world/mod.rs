//! A model of VMs, leaders and callers with delays and faults, in virtual time.

use std::{collections, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use wagtailshunt_core::{
    allowance::{
        Answer, Bound, Decision, Deputy, Grantor, Holder, Lenders, LoanRequest, Numbers, Question,
        Ticket, WorkspaceId,
    },
    routing::Allowance,
    time::Instant,
    types::VmId,
};

/// Time for which a leader may grant after a quorum confirmed it.
const LEASE: Duration = Duration::from_millis(297);

/// Shortest election timeout, which voters grant no vote for after a round of a leader.
const ELECTION_MIN: Duration = Duration::from_millis(300);

/// Number of deputies, and number that tells VMs from leaders in messages.
const DEPUTIES: usize = 3;
const FIRST_VM: usize = 1 << 20;

/// Longest wait of a call for a token, and longest time from the token to the sending of the call.
const MAX_WAIT: Duration = Duration::from_millis(100);

/// Mechanisms that are switched off to show that a check depends on them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Off {
    /// A deposed leader goes on granting.
    pub lease: bool,
    /// A new leader starts with full buckets.
    pub empty_start: bool,
    /// A new leader's buckets start empty.
    pub leaderless: bool,
    /// A new leader's buckets start with the tokens of the time in which the one before held its lease.
    pub credit_after_lease: bool,
    /// The leader lends nothing.
    pub loans: bool,
    /// Deputies report nothing that they hold.
    pub report: bool,
}

/// Number of a VM and of its start.
type Life = (usize, u32);

enum Event {
    Call(usize, usize),
    Question(Life, VmId, Question),
    Answer(Life, VmId, u64, Vec<Answer>),
    LoanRequest(Life, usize, LoanRequest),
    LoanReply(Life, u64, Vec<u32>),
    GiveUp(Life, usize, Ticket),
    Elect,
    Restart(usize),
    Reconnect(usize),
    LeaderKnown(usize),
    Tick,
}

struct Vm {
    holder: Holder,
    deputy: Deputy,
    waiting: collections::HashMap<Ticket, usize>,
    life: u32,
    alive: bool,
    /// Whether its messages are lost.
    cut: bool,
    leader: usize,
    /// How far its clock is ahead of that of the model.
    clock: Duration,
    /// When calls of each workspace used its part of the reserve, if its build is the preceding one.
    reserve: Option<collections::HashMap<usize, Vec<Instant>>>,
}

struct Leader {
    grantor: Grantor,
    /// When its lease ends; `None` while a quorum confirms it.
    lease_end: Option<Instant>,
    /// When a quorum last confirmed it, if it does not any more.
    confirmed: Instant,
    /// Whether its build is the preceding one, which lends nothing.
    is_old: bool,
}

/// Callers of one workspace.
#[derive(Clone, Debug)]
pub struct Callers {
    pub allowance: Allowance,
    pub calls_per_second: f64,
}

/// What became of the calls of a workspace.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// When each call was sent that ran.
    pub sent: Vec<Instant>,
    pub by_deputy: usize,
    pub refused: usize,
    pub unknown: usize,
}

pub struct World {
    pub now: Instant,
    bound: Bound,
    off: Off,
    rng: SmallRng,
    queue: collections::BTreeMap<(Instant, u64), Event>,
    queued: u64,
    vms: Vec<Vm>,
    leaders: Vec<Leader>,
    callers: Vec<Callers>,
    /// Whether the callers of a workspace prefer few VMs, and some messages are slow.
    hostile: bool,
    /// VM with the lowest number of the deputies.
    first_deputy: usize,
    pub tallies: Vec<Tally>,
    pub questions: usize,
    pub granted: u64,
}

fn id(workspace: usize) -> WorkspaceId {
    WorkspaceId::of(&format!("w-{workspace}"))
}

impl World {
    pub fn new(vms: usize, callers: Vec<Callers>, hostile: bool, off: Off, seed: u64) -> World {
        let mut rng = SmallRng::seed_from_u64(seed);
        let bound = Bound::default();
        let new_vm = |vm| {
            let clock = Duration::from_millis(rng.random_range(10_000..100_000));
            Vm {
                holder: Holder::new(bound, 0),
                deputy: Deputy::new(Instant(0) + clock, bound, 0),
                waiting: collections::HashMap::new(),
                life: 0,
                alive: true,
                cut: false,
                leader: 0,
                clock,
                reserve: (hostile && vm % 16 == 1).then(Default::default),
            }
        };
        let vms: Vec<Vm> = (0..vms).map(new_vm).collect();
        let mut world = World {
            now: Instant(0),
            bound,
            off,
            queue: collections::BTreeMap::new(),
            queued: 0,
            vms,
            leaders: Vec::new(),
            tallies: vec![Tally::default(); callers.len()],
            callers,
            hostile,
            first_deputy: 0,
            questions: 0,
            granted: 0,
            rng,
        };
        (0..world.vms.len()).for_each(|vm| world.configure(vm));
        world.elect();
        world.push(Duration::ZERO, Event::Tick);
        world
    }

    fn names(&self) -> Vec<(String, Allowance)> {
        let callers = self.callers.iter().enumerate();
        let named = callers.map(|(i, callers)| (format!("w-{i}"), callers.allowance));
        named.collect()
    }

    fn configure(&mut self, vm: usize) {
        let names = self.names();
        let allowances = || names.iter().map(|(name, all)| (name.as_str(), all));
        self.vms[vm].holder.configure(allowances());
        self.vms[vm].deputy.configure(allowances());
    }

    fn push(&mut self, after: Duration, event: Event) {
        self.queued += 1;
        self.queue.insert((self.now + after, self.queued), event);
    }

    /// Starts the calls of all workspaces, `factor` times their usual rate, for `length`.
    pub fn start_calls(&mut self, factor: f64, length: Duration) {
        for workspace in 0..self.callers.len() {
            let rate = self.callers[workspace].calls_per_second * factor;
            let mut at = 0.0;
            while at < length.as_secs_f64() {
                self.start_call(workspace, Duration::from_secs_f64(at));
                at -= (1.0 - self.rng.random::<f64>()).ln() / rate;
            }
        }
    }

    /// Starts as many calls at once as the burst of each workspace allows.
    pub fn start_bursts(&mut self) {
        for workspace in 0..self.callers.len() {
            for _ in 0..self.callers[workspace].allowance.burst as usize {
                self.start_call(workspace, Duration::ZERO);
            }
        }
    }

    fn start_call(&mut self, workspace: usize, after: Duration) {
        let count = self.vms.len();
        let share: f64 = self.rng.random();
        // The fourth power gives half of the calls to a sixteenth of the VMs.
        let share = if self.hostile { share.powi(4) } else { share };
        let vm = (workspace * 7 + (share * count as f64) as usize) % count;
        self.push(after, Event::Call(workspace, vm));
    }

    /// Elects the next leader. The one before keeps its lease for its full length, and goes on leading
    /// as far as it knows.
    pub fn elect(&mut self) {
        let is_first = self.leaders.is_empty();
        let elected = self.now + if is_first { Duration::ZERO } else { LEASE };
        if let Some(leader) = self.leaders.last_mut() {
            if leader.lease_end.is_none() {
                leader.confirmed = self.now;
            }
            leader.lease_end.get_or_insert(elected);
        }
        let last = self.leaders.iter().map(|leader| leader.confirmed).max();
        // One leader in four is elected by a voter of an old build, which tells nothing.
        let is_old = self.hostile && self.rng.random_range(0..4) == 0;
        let lease = if self.off.credit_after_lease {
            Duration::ZERO
        } else {
            ELECTION_MIN
        };
        let idle = last.map_or(Duration::ZERO, |last| elected.since(last));
        let leaderless = match is_old || self.off.leaderless {
            true => Duration::ZERO,
            false => idle.saturating_sub(lease),
        };
        let mut grantor = Grantor::new(self.bound);
        let start = if self.off.empty_start {
            Instant(0)
        } else {
            elected
        };
        let names = self.names();
        let allowances = names.iter().map(|(name, all)| (name.as_str(), all));
        grantor.configure(start, allowances);
        grantor.start(start, leaderless);
        self.leaders.push(Leader {
            grantor,
            lease_end: None,
            confirmed: Instant(0),
            is_old: self.hostile && self.leaders.len() % 4 == 1,
        });
        let known_after = elected.since(self.now) + Duration::from_millis(5);
        self.push(known_after, Event::LeaderKnown(self.leaders.len() - 1));
    }

    /// Kills the leader; the next one is elected after `gap`.
    pub fn kill_leader(&mut self, gap: Duration) {
        if let Some(leader) = self.leaders.last_mut() {
            leader.lease_end = Some(self.now);
            leader.confirmed = self.now;
        }
        self.push(gap.saturating_sub(LEASE), Event::Elect);
    }

    /// Kills a VM, which starts again after a second.
    pub fn kill(&mut self, vm: usize) {
        self.vms[vm].alive = false;
        self.push(Duration::from_secs(1), Event::Restart(vm));
    }

    /// Loses the messages of a VM for a time.
    pub fn cut(&mut self, vm: usize, length: Duration) {
        self.vms[vm].cut = true;
        self.push(length, Event::Reconnect(vm));
    }

    /// Loses the messages of all VMs for a time.
    pub fn cut_all(&mut self, length: Duration) {
        (0..self.vms.len()).for_each(|vm| self.cut(vm, length));
    }

    /// Runs one random fault.
    pub fn fault(&mut self) {
        let vm = self.rng.random_range(0..self.vms.len());
        let length = Duration::from_millis(self.rng.random_range(500..9000));
        let deputy = (self.first_deputy + vm) % DEPUTIES;
        match self.rng.random_range(0..8) {
            0 => self.elect(),
            1 => self.kill(vm),
            2 => self.kill(deputy),
            3 => self.first_deputy = vm,
            4 => {
                self.vms[deputy].holder.give_up_tokens();
                self.vms[deputy].deputy.give_up();
            }
            _ => self.cut(vm, length),
        }
    }

    /// Runs the events of the next `length`.
    pub fn run(&mut self, length: Duration) {
        let end = self.now + length;
        while let Some(next) = self.queue.first_entry().filter(|next| next.key().0 <= end) {
            let ((at, _), event) = next.remove_entry();
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    fn delay(&mut self) -> Duration {
        let is_slow = self.hostile && self.rng.random_range(0..200) == 0;
        let us = if is_slow { 50_000..900_000 } else { 900..5400 };
        Duration::from_micros(self.rng.random_range(us))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Call(workspace, vm) => self.call(workspace, vm),
            Event::Question(from, to, question) => {
                self.questions += 1;
                let asks = question.asks.iter().copied();
                let answers = if let Some(vm) = (to.0 as usize).checked_sub(FIRST_VM) {
                    let state = &mut self.vms[vm];
                    if !state.alive || state.cut {
                        return;
                    }
                    state.deputy.answer(self.now + state.clock, asks)
                } else {
                    let may_grant = self.may_grant(to.0 as usize);
                    let grantor = &mut self.leaders[to.0 as usize].grantor;
                    let asks = asks.filter(|_| may_grant);
                    asks.map(|ask| grantor.grant(self.now, &ask)).collect()
                };
                let granted = answers.iter().map(|answer| u64::from(answer.granted));
                self.granted += granted.sum::<u64>();
                let after = self.delay();
                self.push(after, Event::Answer(from, to, question.number, answers));
            }
            Event::LoanRequest((vm, life), leader, mut request) => {
                if self.off.report {
                    request.held.iter_mut().for_each(|(_, held)| *held = 0);
                }
                if !self.may_grant(leader) || self.leaders[leader].is_old {
                    return;
                }
                let count = if self.is_deputy(vm) && !self.off.loans {
                    DEPUTIES
                } else {
                    0
                };
                let grantor = &mut self.leaders[leader].grantor;
                let lenders = Lenders {
                    deputies: count,
                    known: self.vms.len(),
                    preceding: self.vms.iter().filter(|vm| vm.reserve.is_some()).count(),
                };
                let tokens = grantor.lend(self.now, VmId(vm as u32), &request, &lenders);
                let after = self.delay();
                self.push(after, Event::LoanReply((vm, life), request.number, tokens));
            }
            Event::LoanReply((vm, life), number, tokens) => {
                let state = &mut self.vms[vm];
                if state.life == life && state.alive && !state.cut {
                    state.deputy.lent(number, &tokens);
                }
            }
            Event::Answer((vm, life), from, number, answers) => {
                let state = &mut self.vms[vm];
                if state.life == life && state.alive && !state.cut {
                    let now = self.now + state.clock;
                    state.holder.answered(now, from, number, &answers);
                    self.after_input(vm);
                }
            }
            Event::GiveUp((vm, life), workspace, ticket) => {
                let state = &mut self.vms[vm];
                let is_current = state.life == life && state.alive;
                if is_current && state.waiting.remove(&ticket).is_some() {
                    let now = self.now + state.clock;
                    let decision = state.holder.give_up(now, id(workspace), ticket);
                    let decision = self.use_reserve(vm, workspace, decision.unwrap());
                    self.decided(workspace, decision);
                }
            }
            Event::Elect => self.elect(),
            Event::Restart(vm) => {
                let state = &mut self.vms[vm];
                state.life += 1;
                state.alive = true;
                state.waiting.clear();
                let first_question = u64::from(state.life) << 32;
                state.holder = Holder::new(self.bound, first_question);
                let now = self.now + state.clock;
                state.deputy = Deputy::new(now, self.bound, first_question);
                state.leader = self.leaders.len() - 1;
                self.configure(vm);
            }
            Event::Reconnect(vm) => {
                self.vms[vm].cut = false;
                self.vms[vm].leader = self.leaders.len() - 1;
            }
            Event::LeaderKnown(leader) => {
                for vm in 0..self.vms.len() {
                    // One VM in eight goes on asking the old leader for a while.
                    let is_late = self.hostile && self.rng.random_range(0..8) == 0;
                    if !self.vms[vm].cut && !is_late {
                        self.vms[vm].leader = leader;
                        self.after_input(vm);
                    }
                }
            }
            Event::Tick => {
                (0..self.vms.len()).for_each(|vm| self.request_loan(vm));
                (0..self.vms.len()).for_each(|vm| self.after_input(vm));
                self.push(Duration::from_millis(100), Event::Tick);
            }
        }
    }

    fn may_grant(&self, leader: usize) -> bool {
        let lease_end = self.leaders[leader].lease_end;
        lease_end.is_none_or(|end| self.now < end) || self.off.lease
    }

    fn is_deputy(&self, vm: usize) -> bool {
        let count = self.vms.len();
        (vm + count - self.first_deputy) % count < DEPUTIES
    }

    /// Lets a VM request loans, and find the deputies.
    fn request_loan(&mut self, vm: usize) {
        let (is_deputy, count) = (self.is_deputy(vm), self.vms.len());
        let number =
            |i| VmId((FIRST_VM + (self.first_deputy + (i + vm) % DEPUTIES) % count) as u32);
        let deputies = (0..DEPUTIES).map(number).collect();
        let state = &mut self.vms[vm];
        if !state.alive || state.reserve.is_some() {
            return;
        }
        state.holder.set_deputies(deputies);
        let request = state.deputy.poll_request(self.now + state.clock, is_deputy);
        if let Some(request) = request.filter(|_| !state.cut) {
            let event = Event::LoanRequest((vm, state.life), state.leader, request);
            let after = self.delay();
            self.push(after, event);
        }
    }

    fn call(&mut self, workspace: usize, vm: usize) {
        let state = &mut self.vms[vm];
        if !state.alive {
            return;
        }
        let life = (vm, state.life);
        match state.holder.take(self.now + state.clock, id(workspace)) {
            Decision::Wait(ticket) => {
                state.waiting.insert(ticket, workspace);
                self.push(MAX_WAIT, Event::GiveUp(life, workspace, ticket));
                self.after_input(vm);
            }
            decision => {
                let decision = self.use_reserve(vm, workspace, decision);
                self.decided(workspace, decision);
            }
        }
    }

    /// Lets a call without a token run on the reserve of a VM of the preceding build.
    fn use_reserve(&mut self, vm: usize, workspace: usize, decision: Decision) -> Decision {
        let numbers = Numbers::new(&self.bound, &self.callers[workspace].allowance);
        let part = (numbers.lendable * 0.7 / self.vms.len() as f64).ceil() as usize;
        let Some(reserve) = &mut self.vms[vm].reserve else {
            return decision;
        };
        let used = reserve.entry(workspace).or_default();
        used.retain(|used| self.now.since(*used) <= self.bound.window);
        if decision != Decision::Unknown || used.len() >= part {
            return decision;
        }
        used.push(self.now);
        Decision::Granted
    }

    fn after_input(&mut self, vm: usize) {
        if !self.vms[vm].alive {
            return;
        }
        let state = &mut self.vms[vm];
        let now = self.now + state.clock;
        state.holder.set_leader(Some(VmId(state.leader as u32)));
        if let Some((to, question)) = state.holder.poll_question(now)
            && !state.cut
        {
            let from = (vm, state.life);
            let after = self.delay();
            self.push(after, Event::Question(from, to, question));
        }
        while let Some((ticket, decision)) = self.vms[vm].holder.poll_decision() {
            if let Some(workspace) = self.vms[vm].waiting.remove(&ticket) {
                self.decided(workspace, decision);
            }
        }
    }

    fn decided(&mut self, workspace: usize, decision: Decision) {
        let delay = Duration::from_micros(self.rng.random_range(0..100_000));
        let tally = &mut self.tallies[workspace];
        match decision {
            Decision::Granted => tally.sent.push(self.now + delay),
            Decision::GrantedByDeputy => {
                tally.by_deputy += 1;
                tally.sent.push(self.now + delay);
            }
            Decision::Refused { .. } => tally.refused += 1,
            Decision::Unknown | Decision::Wait(_) => tally.unknown += 1,
        }
    }

    /// Returns the largest part of the bound that calls of a workspace used in any window.
    pub fn worst_window(&self) -> f64 {
        let mut worst: f64 = 0.0;
        for (callers, tally) in self.callers.iter().zip(&self.tallies) {
            let mut sent = tally.sent.clone();
            sent.sort_unstable();
            let most = self.bound.calls(&callers.allowance);
            let mut first = 0;
            for (last, at) in sent.iter().enumerate() {
                while at.since(sent[first]) > self.bound.window {
                    first += 1;
                }
                worst = worst.max((last - first + 1) as f64 / most);
            }
        }
        worst
    }
}
