//! VMs, targets and callers without a network: each VM is a placement of its own, targets announce
//! themselves, VMs report to each other with a delay, and calls search for targets by the steps of the
//! product.

use std::{collections, ops, time};

use rand::{Rng, SeedableRng, rngs};
use wagtailshunt_core::{
    fleet, placement, routing, time as core_time, types,
    warmup::{ColdTargets, INDIRECT_SHARE, Rate, Report},
};

pub const WORK_MS: u64 = 100;
pub const SLOTS: u32 = 6;
pub const ANNOUNCE_MS: u64 = 1500;
pub const OVERAGE: f64 = 1.5;
pub const SLACK: f64 = 8.0;

/// Time without a call that counts against the system.
pub const MAX_GAP_MS: u64 = 4000;

/// Delay of a report through the leader to all VMs.
pub const REPORT_DELAY_MS: u64 = 30;

/// VMs that are connected to all others. All VMs are connected to those of their group.
pub const VMS_WITH_DISKS: usize = 8;
pub const GROUP: usize = 6;

pub fn at(ms: u64) -> core_time::Instant {
    core_time::Instant(ms * 1000)
}

/// Sizes and faults of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub vms: usize,
    pub targets: usize,
    pub services: usize,
    pub calls_per_second: f64,
    pub calls_per_cold_second: f64,
    pub limited: bool,
    /// Whether the warm targets are full all the time.
    pub warm_are_full: bool,
    /// VMs that are cut off from the leader: they get no reports, and theirs reach no other VM.
    pub cut_off: ops::Range<usize>,
    /// Whether targets announce themselves to another VM each time.
    pub roaming: bool,
}

impl Plan {
    pub fn of_44() -> Plan {
        Plan {
            vms: 44,
            targets: 168,
            services: 22,
            calls_per_second: 840.0,
            calls_per_cold_second: 4.0,
            limited: true,
            warm_are_full: false,
            cut_off: 0..0,
            roaming: false,
        }
    }

    pub fn of_59() -> Plan {
        Plan {
            vms: 59,
            targets: 358,
            services: 48,
            calls_per_cold_second: 8.4,
            ..Plan::of_44()
        }
    }

    pub fn of_149() -> Plan {
        Plan {
            vms: 149,
            targets: 261,
            services: 35,
            calls_per_second: 813.0,
            ..Plan::of_44()
        }
    }

    pub fn bound(&self) -> usize {
        (self.calls_per_cold_second * OVERAGE + SLACK) as usize
    }
}

pub struct Target {
    pub service: types::ServiceName,
    pub domain: usize,
    pub cold_until: u64,
    pub joins_at: u64,
    pub announced_to: usize,
    pub next_announcement: u64,
    /// Ends of the running calls, with the VMs that sent them.
    pub running: Vec<(u64, usize)>,
    pub calls: Vec<u64>,
}

pub struct World {
    pub plan: Plan,
    pub rng: rngs::SmallRng,
    pub vms: Vec<placement::Placement>,
    pub targets: Vec<Target>,
    /// Reports on their way, by the time of arrival, with the sender.
    pub reports: collections::VecDeque<(u64, usize, Report)>,
    pub refused: usize,
}

pub fn id(i: usize) -> types::TargetId {
    types::TargetId(format!("t{i:03}"))
}

pub fn index(id: &types::TargetId) -> usize {
    id.as_str()[1..].parse().unwrap()
}

pub fn vm_id(vm: usize) -> types::VmId {
    types::VmId(vm as u32 + 1)
}

impl World {
    pub fn new(plan: &Plan, seed: u64) -> World {
        let mut rng = rngs::SmallRng::seed_from_u64(seed);
        let warmup = routing::Warmup {
            duration: time::Duration::from_secs(10),
            calls_per_second: plan.calls_per_cold_second,
        };
        let services = (0..plan.services).map(|i| types::ServiceName(format!("s{i}")));
        let services: Vec<types::ServiceName> = services.collect();
        let rate = Rate::new(&warmup, OVERAGE, SLACK);
        let vms = (0..plan.vms).map(|vm| {
            let rng = rngs::SmallRng::seed_from_u64(seed ^ vm as u64);
            let domain = types::FailureDomain(format!("d{}", vm % 4));
            let mut placement = placement::Placement::new(Default::default(), domain, rng);
            let interval = time::Duration::from_millis(ANNOUNCE_MS);
            placement.cold = ColdTargets::new(vm_id(vm), interval);
            if plan.limited {
                let rates = services.iter().map(|service| (service.clone(), rate));
                placement.cold.set_rates(rates.collect());
            }
            placement
        });
        let vms = vms.collect();
        let targets = (0..plan.targets).map(|i| Target {
            service: services[i % plan.services].clone(),
            // Not the same domain for all targets of a service.
            domain: i / plan.services % 4,
            cold_until: 0,
            joins_at: 0,
            announced_to: rng.random_range(0..plan.vms),
            next_announcement: rng.random_range(0..ANNOUNCE_MS),
            running: Vec::new(),
            calls: Vec::new(),
        });
        let targets: Vec<Target> = targets.collect();
        let mut world = World {
            plan: plan.clone(),
            rng,
            vms,
            targets,
            reports: collections::VecDeque::new(),
            refused: 0,
        };
        for i in 0..world.targets.len() {
            let announcement = world.announcement(i, 0);
            for vm in &mut world.vms {
                vm.add(at(0), &announcement);
            }
        }
        world
    }

    fn announcement(&self, i: usize, now: u64) -> fleet::Announcement {
        let target = &self.targets[i];
        fleet::Announcement {
            target: id(i),
            service: target.service.clone(),
            address: ([10, 0, 0, 1], 1000 + i as u16).into(),
            failure_domain: types::FailureDomain(format!("d{}", target.domain)),
            slots: SLOTS,
            born: core_time::UnixMillis(1),
            sequence: 1 + now,
            warmup_left: time::Duration::from_millis(target.cold_until.saturating_sub(now)),
        }
    }

    /// Makes a target cold; its next announcement says so.
    pub fn make_cold(&mut self, i: usize, until: u64) {
        self.targets[i].cold_until = until;
    }

    fn is_cut_off(&self, vm: usize) -> bool {
        self.plan.cut_off.contains(&vm)
    }

    fn is_connected(&self, a: usize, b: usize) -> bool {
        let near = a.min(b) < VMS_WITH_DISKS || a / GROUP == b / GROUP;
        near && self.is_cut_off(a) == self.is_cut_off(b)
    }

    fn send_report(&mut self, now: u64, vm: usize, report: Option<Report>) {
        if let Some(report) = report.filter(|_| !self.is_cut_off(vm)) {
            self.reports.push_back((now + REPORT_DELAY_MS, vm, report));
        }
    }

    pub fn run(&mut self, times: ops::Range<u64>) {
        for now in times {
            while self.reports.front().is_some_and(|(due, ..)| *due <= now) {
                let (_, from, report) = self.reports.pop_front().unwrap();
                for vm in (0..self.vms.len()).filter(|vm| *vm != from) {
                    if !self.is_cut_off(vm) {
                        self.vms[vm].cold.reported(at(now), &report);
                    }
                }
            }
            for i in 0..self.targets.len() {
                if self.targets[i].next_announcement <= now && self.targets[i].joins_at <= now {
                    self.announce(i, now);
                }
                let ended: Vec<_> = self.targets[i]
                    .running
                    .extract_if(.., |(end, _)| *end <= now)
                    .collect();
                for (_, vm) in ended {
                    // The response reports the load.
                    self.vms[vm].finished(at(now), &id(i), placement::Outcome::Answered);
                    let load = self.load(i, now);
                    self.vms[vm].reported(at(now), &id(i), &load);
                }
            }
            let mut expected = self.plan.calls_per_second / 1000.0;
            while expected > 0.0 {
                if self.rng.random_bool(expected.min(1.0)) {
                    self.call(now);
                }
                expected -= 1.0;
            }
        }
    }

    fn announce(&mut self, i: usize, now: u64) {
        if self.plan.roaming {
            self.targets[i].announced_to = self.rng.random_range(0..self.vms.len());
        }
        self.targets[i].next_announcement = now + ANNOUNCE_MS;
        let announcement = self.announcement(i, now);
        let vm = self.targets[i].announced_to;
        self.vms[vm].add(at(now), &announcement);
        let report = self.vms[vm].cold.announced(at(now), &announcement);
        self.send_report(now, vm, report);
    }

    fn load(&self, i: usize, now: u64) -> placement::LoadReport {
        let is_cold = self.targets[i].cold_until > now;
        let is_full = self.plan.warm_are_full && !is_cold;
        placement::LoadReport {
            running: if is_full {
                SLOTS
            } else {
                self.targets[i].running.len() as u32
            },
            waiting: 0,
            slots: SLOTS,
            slowness_percent: Some(if is_cold { 200 } else { 100 }),
        }
    }

    /// Probes a target as a VM does right before a call.
    fn probe(&mut self, vm: usize, i: usize, now: u64) {
        let load = self.load(i, now);
        self.vms[vm].reported(at(now), &id(i), &load);
        let left = self.targets[i].cold_until.saturating_sub(now);
        let left = time::Duration::from_millis(left);
        let report = self.vms[vm].cold.health(at(now), &id(i), left);
        self.send_report(now, vm, report);
    }

    /// A call of a random service that arrives at a random VM.
    fn call(&mut self, now: u64) {
        let vm = self.rng.random_range(0..self.vms.len());
        let service = self.rng.random_range(0..self.plan.services);
        let service = types::ServiceName(format!("s{service}"));
        match self.find_target(vm, &service, now) {
            Some((i, sent)) => {
                let is_cold = self.targets[i].cold_until > sent;
                let work = if is_cold { 2 * WORK_MS } else { WORK_MS };
                self.targets[i].running.push((sent + work, vm));
                self.vms[vm].started(&id(i));
                self.targets[i].calls.push(sent);
            }
            None => self.refused += 1,
        }
    }

    /// Returns the target of a call and the time at which it is sent.
    fn find_target(
        &mut self,
        vm: usize,
        service: &types::ServiceName,
        now: u64,
    ) -> Option<(usize, u64)> {
        let demand = placement::Demand {
            service,
            work: time::Duration::from_millis(WORK_MS),
            tried: &[],
        };
        let deadline = at(now + 1000);
        if let Some(choice) = self.vms[vm].starved_choice(at(now), &demand, deadline, true)
            && self.vms[vm].cold.take(at(now), &choice.target)
        {
            return Some((index(&choice.target), now));
        }
        if let Some(i) = self.borrow(vm, &demand, false, now) {
            return Some((i, now));
        }
        let cfg = placement::SearchConfig::default();
        let objective = at(now + 300);
        let mut search = placement::Search::new(cfg, at(now), objective, deadline);
        // Waiting ends at once; what is late may go to any target with capacity.
        for time in [now, now + 25, now + 250] {
            for _ in 0..8 {
                match search.step(at(time), &mut self.vms[vm], &demand, true, true) {
                    placement::Step::Send(choice) => {
                        let taken = self.vms[vm].cold.take(at(time), &choice.target);
                        return taken.then(|| (index(&choice.target), time));
                    }
                    placement::Step::Probe(targets) => {
                        for target in targets {
                            self.probe(vm, index(&target), time);
                        }
                    }
                    placement::Step::NoTarget => {
                        let borrowed = self.borrow(vm, &demand, true, time);
                        return borrowed.map(|i| (i, time));
                    }
                    placement::Step::Overloaded => return None,
                    placement::Step::Wait { .. } => break,
                }
            }
        }
        None
    }

    fn borrow(
        &mut self,
        vm: usize,
        demand: &placement::Demand<'_>,
        urgent: bool,
        now: u64,
    ) -> Option<usize> {
        let indirect = urgent || self.rng.random_bool(INDIRECT_SHARE);
        let same_side = |other| self.is_cut_off(vm) == self.is_cut_off(other);
        let connected: Vec<bool> = (0..self.vms.len())
            .map(|other| self.is_connected(vm, other) || indirect && same_side(other))
            .collect();
        let reachable = |holder: types::VmId| connected[holder.0 as usize - 1];
        let lender = self.vms[vm].next_lender(at(now), demand, urgent, reachable);
        let (target, holder) = lender?;
        let lent = self.vms[holder.0 as usize - 1].cold.lend(at(now), &target);
        lent.then(|| index(&target))
    }

    /// Returns the calls of a target within `times`, in order.
    fn calls(&self, i: usize, times: ops::Range<u64>) -> Vec<u64> {
        let calls = self.targets[i].calls.iter().copied();
        let mut calls: Vec<u64> = calls.filter(|ms| times.contains(ms)).collect();
        calls.sort_unstable();
        calls
    }

    /// Returns the largest number of calls that a target got in any second of `times`.
    fn most_in_a_second(&self, i: usize, times: ops::Range<u64>) -> usize {
        let calls = self.calls(i, times);
        let in_second = |start: usize| {
            let later = calls[start..].iter();
            later.take_while(|ms| **ms < calls[start] + 1000).count()
        };
        (0..calls.len()).map(in_second).max().unwrap_or(0)
    }

    /// Returns the longest time without a call of a target.
    pub fn longest_gap(&self, i: usize, times: ops::Range<u64>) -> u64 {
        let mut last = times.start;
        let mut longest = 0;
        for ms in self.calls(i, times.clone()).into_iter().chain([times.end]) {
            longest = longest.max(ms - last);
            last = ms;
        }
        longest
    }

    /// Returns the largest number of calls of one of the targets in a second while they are cold and all
    /// VMs that can know it do.
    pub fn worst(&self, targets: &[usize], times: ops::Range<u64>) -> usize {
        let most = targets
            .iter()
            .map(|i| self.most_in_a_second(*i, times.clone()));
        most.max().unwrap_or(0)
    }
}

/// Time in which the targets of [`make_domain_cold`] are cold and have announced it.
pub const COLD: ops::Range<u64> = 2400..12_000;

/// Makes all targets of a failure domain cold from 2 s on, until 12 s; returns them.
pub fn make_domain_cold(world: &mut World) -> Vec<usize> {
    world.run(0..2000);
    let cold: Vec<usize> = (0..world.targets.len())
        .filter(|i| world.targets[*i].domain == 0)
        .collect();
    for i in &cold {
        world.make_cold(*i, 12_000);
        // They start at the same time, and announce themselves within one interval.
        world.targets[*i].next_announcement = 2000 + world.rng.random_range(0..300);
    }
    world.run(2000..12_000);
    cold
}
