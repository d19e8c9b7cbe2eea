//! Simulation of records, leases and the target directory over a fake network.
//!
//! The world has the leader of group 0 with the registry, gateways, targets that announce
//! themselves, and operators. The replicated log is not simulated: a change commits after two
//! network delays. A change that a leader proposed and that commits after the leader was cut off
//! from its quorum is applied with probability 1/2, and its operator gets no reply.
//!
//! Settings: `gateways`, `regions` (gateway n is in region n modulo regions), `services`,
//! `targets` (target n belongs to service n modulo services), `delay`, `jitter`, `loss_permille`,
//! `double_permille` (duplicated messages), `skew_permille` (gateway clocks are exact, fast or
//! slow by this much), `lease`, `renew_every`, `clock_margin_permille`, `behind_grace`.
//!
//! Settings that switch a mechanism `on` (the default) or `off`: `leases`, `new_leader_wait`,
//! `rebuild`, `digests`, `behind_check`, `view_check`, `request_ids`, `compare_and_set`,
//! `schema_check`, `target_incarnations`, `final_drain`.
//!
//! Commands (gateways are `g1`, `g2` and so on, targets `t0`.., services `s0`..; operators are
//! numbers):
//!
//! * `cut NODE...` isolates each node; `cut_region N`; `heal` removes all cuts;
//!   `lossy permille=N`
//! * `put OPERATOR SERVICE [schema=N] [drain=TARGET] [insist=on]` writes a record, with `insist`
//!   again after each conflict; `race SERVICE operators=N`; `burst count=N`
//! * `leader_change` cuts the leader off from its quorum and elects another
//! * `kill GATEWAY`, `start GATEWAY`, `stop GATEWAY` (planned), `schemas GATEWAY max=N`
//! * `drain TARGET`, `stop_target TARGET`, `restart_target TARGET`, `repeat TARGET at=GATEWAY`
//!   (earlier announcements arrive again)
//!
//! Checks:
//!
//! * `sound`: no gateway serves a revision below one that was reported in force, no write replaces
//!   a revision other than its base, each change is accepted at most once, each operator gets the
//!   true result, and no gateway gets a record whose schema it cannot enforce
//! * `in_force_within DURATION`; `accepted at_least=N`
//! * `no_pick_after DURATION`: no target is picked later than this after it drained or stopped
//! * `converged`: gateways that serve, the registry, the directory and the targets agree
//! * `serving at_least=N`, `serves GATEWAY`, `refuses GATEWAY`
//! * `state TARGET STATE` (on all serving gateways), `targets at_least=N` (on each serving gateway)

mod actions;
mod actors;
mod checker;
mod deliveries;
mod frame;
mod gateway;
mod leader;
mod net;
mod settings;
mod sim;

use wagtailshunt_core::directory::State;
use wagtailshunt_core::time;

use crate::scenario::{self, Verdict, WorldError};

pub(crate) use actors::PlannedChange;
pub(crate) use frame::{Content, decode, encode};
pub(crate) use net::Node;
pub(crate) use settings::Settings;
pub(crate) use sim::Sim;

/// Creates the world; it has no settings applied and has not started.
pub fn new() -> Box<dyn scenario::World> {
    Box::new(Control::default())
}

#[derive(Debug, Default)]
struct Control {
    settings: Settings,
    sim: Option<Sim>,
}

impl Control {
    fn sim(&mut self) -> Result<&mut Sim, WorldError> {
        self.sim
            .as_mut()
            .ok_or_else(|| invalid("the world has not started"))
    }
}

impl scenario::World for Control {
    fn set(&mut self, key: &str, value: &scenario::Arg) -> Result<(), WorldError> {
        self.settings.set(key, value)
    }

    fn start(&mut self, seed: u64) -> Result<(), WorldError> {
        self.sim = Some(Sim::new(self.settings.clone(), seed));
        Ok(())
    }

    fn next_event(&self) -> Option<time::Instant> {
        self.sim.as_ref()?.net.next_event_at()
    }

    fn advance(&mut self, now: time::Instant) {
        if let Some(sim) = &mut self.sim {
            while sim.step(now) {}
        }
    }

    fn command(
        &mut self,
        now: time::Instant,
        name: &str,
        args: &scenario::Args,
    ) -> Result<(), WorldError> {
        let sim = self.sim()?;
        match name {
            "cut" => {
                for (part, arg) in args.iter().enumerate() {
                    sim.net
                        .set_partition(node(arg.as_text()?)?, 100 + part as u32);
                }
            }
            "cut_region" => cut_region(sim, args.u64(0)? as u32),
            "heal" => heal(sim),
            "lossy" => sim.net.loss_permille = args.required("permille")?.as_u64()? as u32,
            "leader_change" => sim.change_leader(now),
            "put" => put(sim, now, args)?,
            "race" => race(sim, now, args)?,
            "burst" => burst(sim, now, args)?,
            "kill" => sim.kill_gateway(gateway(args, 0)?),
            "start" => sim.start_gateway(now, gateway(args, 0)?),
            "stop" => sim.stop_gateway(now, gateway(args, 0)?),
            "schemas" => {
                let max = args.required("max")?.as_u64()? as u32;
                sim.set_schemas(now, gateway(args, 0)?, (1..=max).collect());
            }
            "drain" => sim.drain_target(now, target(sim, args)?),
            "stop_target" => sim.stop_target(now, target(sim, args)?, false),
            "restart_target" => sim.stop_target(now, target(sim, args)?, true),
            "repeat" => {
                let at = numbered(args.required("at")?.as_text()?, 'g')?;
                sim.repeat_announcements(now, target(sim, args)?, at);
            }
            _ => return Err(WorldError::UnknownCommand(name.to_owned())),
        }
        Ok(())
    }

    fn check(
        &mut self,
        now: time::Instant,
        name: &str,
        args: &scenario::Args,
    ) -> Result<Verdict, WorldError> {
        let sim = self.sim()?;
        Ok(match name {
            "sound" => match sim.checker.violations.first() {
                Some(violation) => Verdict::Fails(violation.clone()),
                None => Verdict::Holds,
            },
            "in_force_within" => {
                let slowest = sim.checker.max_in_force_delay(now);
                let bound = args.duration(0)?;
                Verdict::from_condition(slowest <= bound, || format!("a change took {slowest:?}"))
            }
            "no_pick_after" => {
                let latest = sim.checker.max_pick_delay;
                let bound = args.duration(0)?;
                Verdict::from_condition(latest <= bound, || format!("a pick came {latest:?} late"))
            }
            "converged" => match sim.find_difference(now) {
                Some(difference) => Verdict::Fails(difference),
                None => Verdict::Holds,
            },
            "serving" => {
                let wanted = args.required("at_least")?.as_u64()? as usize;
                let serving = serving(sim, now).count();
                Verdict::from_condition(serving >= wanted, || format!("{serving} gateways serve"))
            }
            "serves" | "refuses" => {
                let vm = gateway(args, 0)?;
                let serves = serving(sim, now).any(|process| process.vm.0 == vm);
                let wanted = name == "serves";
                Verdict::from_condition(serves == wanted, || format!("serving is {serves}"))
            }
            "accepted" => {
                let wanted = args.required("at_least")?.as_u64()?;
                let accepted = sim.checker.accepted;
                Verdict::from_condition(accepted >= wanted, || format!("{accepted} accepted"))
            }
            "state" => state(sim, now, args)?,
            "targets" => fewest_targets(sim, now, args)?,
            _ => return Err(WorldError::UnknownCheck(name.to_owned())),
        })
    }

    fn timeline(&mut self) -> Vec<scenario::Line> {
        let lines = self.sim.as_mut().map(|sim| std::mem::take(&mut sim.lines));
        let lines = lines.unwrap_or_default().into_iter();
        lines
            .map(|(at, text)| scenario::Line { at, text })
            .collect()
    }
}

fn invalid(text: &str) -> WorldError {
    WorldError::Invalid(text.to_owned())
}

fn numbered(name: &str, prefix: char) -> Result<u32, WorldError> {
    let number = name
        .strip_prefix(prefix)
        .and_then(|digits| digits.parse().ok());
    number.ok_or_else(|| {
        WorldError::Invalid(format!("`{name}` is not `{prefix}` followed by a number"))
    })
}

fn gateway(args: &scenario::Args, at: usize) -> Result<u32, WorldError> {
    numbered(args.text(at)?, 'g')
}

fn target(sim: &Sim, args: &scenario::Args) -> Result<u32, WorldError> {
    let number = numbered(args.text(0)?, 't')?;
    let known = (number as usize) < sim.targets.len();
    known
        .then_some(number)
        .ok_or_else(|| invalid("no such target"))
}

fn node(name: &str) -> Result<Node, WorldError> {
    match name.chars().next() {
        Some('g') => Ok(Node::Gateway(numbered(name, 'g')?)),
        Some('t') => Ok(Node::Target(numbered(name, 't')?)),
        _ => Err(invalid("a node is a gateway or a target")),
    }
}

/// Moves the gateways of a region and the targets that announce to them into a network partition
/// of their own.
fn cut_region(sim: &mut Sim, region: u32) {
    let regions = sim.cfg.regions;
    let members: Vec<u32> = sim
        .gateways
        .keys()
        .copied()
        .filter(|vm| vm % regions == region)
        .collect();
    for vm in &members {
        sim.net.set_partition(Node::Gateway(*vm), 10 + region);
    }
    for number in 0..sim.targets.len() {
        if members.contains(&sim.targets[number].gateway) {
            sim.net
                .set_partition(Node::Target(number as u32), 10 + region);
        }
    }
}

fn heal(sim: &mut Sim) {
    let gateways = sim.gateways.keys().map(|vm| Node::Gateway(*vm));
    let targets = (0..sim.targets.len()).map(|number| Node::Target(number as u32));
    let nodes: Vec<Node> = gateways.chain(targets).collect();
    nodes
        .into_iter()
        .for_each(|node| sim.net.set_partition(node, 0));
}

fn put(sim: &mut Sim, now: time::Instant, args: &scenario::Args) -> Result<(), WorldError> {
    let operator = args.u64(0)? as u32;
    let schema = args.named("schema").map_or(Ok(1), scenario::Arg::as_u64)? as u32;
    let retry_on_conflict = args
        .named("insist")
        .map_or(Ok(false), scenario::Arg::as_bool)?;
    let drain = args
        .named("drain")
        .map(scenario::Arg::as_text)
        .transpose()?;
    let service = numbered(args.text(1)?, 's')?;
    let drain = drain.into_iter().map(str::to_owned).collect();
    sim.enqueue_change(
        now,
        operator,
        PlannedChange {
            service,
            schema,
            drain,
            retry_on_conflict,
        },
    );
    Ok(())
}

/// Enqueues a change of the same record for several operators at once.
fn race(sim: &mut Sim, now: time::Instant, args: &scenario::Args) -> Result<(), WorldError> {
    let service = numbered(args.text(0)?, 's')?;
    for operator in 0..args.required("operators")?.as_u64()? as u32 {
        let planned = PlannedChange {
            service,
            schema: 1,
            ..PlannedChange::default()
        };
        sim.enqueue_change(now, 1000 + operator, planned);
    }
    Ok(())
}

/// Enqueues many changes for one operator, which makes them one after the other.
fn burst(sim: &mut Sim, now: time::Instant, args: &scenario::Args) -> Result<(), WorldError> {
    for number in 0..args.required("count")?.as_u64()? as u32 {
        let service = number % sim.cfg.services.max(1);
        let planned = PlannedChange {
            service,
            schema: 1,
            retry_on_conflict: true,
            ..PlannedChange::default()
        };
        sim.enqueue_change(now, 2000, planned);
    }
    Ok(())
}

fn serving(sim: &Sim, now: time::Instant) -> impl Iterator<Item = &gateway::Gateway> {
    let processes = sim
        .gateways
        .values()
        .filter_map(|slot| slot.process.as_ref());
    processes.filter(move |process| process.serving(now))
}

fn state(sim: &Sim, now: time::Instant, args: &scenario::Args) -> Result<Verdict, WorldError> {
    let number = target(sim, args)?;
    let key = &sim.targets[number as usize].target.key;
    let wanted = match args.text(1)? {
        "starting" => Some(State::Starting),
        "serving" => Some(State::Serving),
        "draining" => Some(State::Draining),
        "gone" => None,
        _ => return Err(invalid("a state is starting, serving, draining or gone")),
    };
    for process in serving(sim, now) {
        let found = process
            .view
            .targets(&key.service)
            .find(|target| target.key == *key);
        let found = found.map(|target| target.state);
        if found != wanted {
            return Ok(Verdict::Fails(format!("g{} has {found:?}", process.vm)));
        }
    }
    Ok(Verdict::Holds)
}

fn fewest_targets(
    sim: &Sim,
    now: time::Instant,
    args: &scenario::Args,
) -> Result<Verdict, WorldError> {
    let wanted = args.required("at_least")?.as_u64()? as usize;
    let fewest = serving(sim, now).min_by_key(|process| process.view.len());
    let short = fewest.filter(|process| process.view.len() < wanted);
    Ok(match short {
        Some(process) => Verdict::Fails(format!(
            "g{} has {} targets",
            process.vm,
            process.view.len()
        )),
        None => Verdict::Holds,
    })
}
