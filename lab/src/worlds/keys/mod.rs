//! Scenario world for idempotency keys, containment of crashing requests, and connections.
//!
//! Simulated gateways run the claim life cycle, the containment and the connection logic of the
//! core; simulated control VMs run its ledger. Simulated targets record which calls ran, and
//! `checker.rs` compares that with the responses that the callers received. The input is a scenario
//! script. Its settings are listed in `settings.rs`; each setting that is `on` by default disables
//! one mechanism when it is `off`.
//!
//! Commands:
//!
//! * `call NAME [gateway=N] [key=WORD] [body=WORD] [attempt=N] [timeout=T] [idempotent=on]
//!   [poison=on] [answer=FAULT] [service_time=T] [resends=N]` sends a request. A request with
//!   `poison=on` crashes its target. FAULT is one of `lost`, `late`, `doubled`, `crossed`,
//!   `truncated`, `reset`, `refused`, `bare`.
//! * `load calls=N rate=N [resends=N] [poison=SHARE]` sends generated calls at `rate` calls per
//!   second.
//! * `crash_gateway N` and `crash_target N` end a process; `silence_target N` drops all packets on
//!   the open connections to a target.
//! * `crash_leader` and `cut_leader` crash or partition the control VM that leads; `quorum on|off`
//!   sets whether control has a quorum.
//! * `delay_claim T` delays the next claim on its way to control; `delay_grant T` delays the next
//!   grant on its way back.
//! * `chaos until=T` causes random faults until that time.
//! * `lift NAME` lifts the block of a request, as an operator does.
//!
//! Checks:
//!
//! * `single_runs`: no key ran twice.
//! * `true_not_runs`: no call ran whose caller received the outcome "not run".
//! * `whole_answers`: no caller received any part of the response to another call.
//! * `timely_answers`: no response was delivered after its deadline.
//! * `runs NAME N`: all attempts of the request together ran N times.
//! * `lost_targets NAME N`: the request crashed at most N targets; `lost_targets_each N`: the same
//!   for every request.
//! * `told NAME WHAT [attempt=N]`: result that the caller received. WHAT is `answer`, `replayed`,
//!   `not-run`, `unknown`, `completed`, `nothing` (the connection ended) or `pending`.
//! * `reason NAME SLUG [attempt=N]`: the problem type of the response ends with the slug.
//! * `blocked NAME`: the leader of group 0 lists the request as blocked.
//! * `cleared NAME`: the leader of group 0 does not list the request.
//! * `keys N`: number of keys in the ledger.
//! * `answered SHARE`: at least this share of the requests received a response from a target.

mod checker;
mod control;
mod forward;
mod gateway;
mod responses;
mod settings;
mod sim;
mod target;

use std::{collections, rc, time::Duration};

use rand::Rng;
use wagtailshunt_core::{containment, ledger, time};

use crate::scenario;

/// Creates a world with default settings that is not started yet.
pub fn new() -> Box<dyn scenario::World> {
    Box::new(Keys::default())
}

#[derive(Debug, Default)]
struct Keys {
    settings: settings::Settings,
    sim: Option<sim::Sim>,
    keys: collections::BTreeMap<String, ledger::Key>,
}

impl scenario::World for Keys {
    fn set(&mut self, key: &str, value: &scenario::Arg) -> Result<(), scenario::WorldError> {
        self.settings.set(key, value)
    }

    fn start(&mut self, seed: u64) -> Result<(), scenario::WorldError> {
        self.sim = Some(sim::Sim::new(self.settings.clone(), seed));
        Ok(())
    }

    fn next_event(&self) -> Option<time::Instant> {
        self.sim.as_ref().and_then(sim::Sim::next_event)
    }

    fn advance(&mut self, now: time::Instant) {
        if let Some(sim) = &mut self.sim {
            sim.advance(now);
        }
    }

    fn command(
        &mut self,
        now: time::Instant,
        name: &str,
        args: &scenario::Args,
    ) -> Result<(), scenario::WorldError> {
        let Keys { sim, keys, .. } = self;
        let sim = started(sim)?;
        sim.now = now;
        match name {
            "call" => call(sim, keys, args)?,
            "load" => load(sim, args)?,
            "crash_gateway" => sim.crash_gateway(index(args, sim.gateways.len())?),
            "crash_target" => sim.crash_target(index(args, sim.targets.len())?),
            "silence_target" => sim.silence_target(index(args, sim.targets.len())?),
            "crash_leader" => sim.lose_leader(true),
            "cut_leader" => sim.lose_leader(false),
            "delay_claim" => sim.claim_delay = Some(args.duration(0)?),
            "delay_grant" => sim.grant_delay = Some(args.duration(0)?),
            "quorum" => sim.set_quorum(args.at(0)?.as_bool()?),
            "chaos" => {
                let until = args.required("until")?.as_duration()?;
                let until = time::Instant(0) + until;
                sim.schedule(Duration::ZERO, sim::Event::Chaos { until });
            }
            "lift" => {
                let fingerprint = fingerprint(sim, args.text(0)?)?;
                sim.control.containment.lift(fingerprint);
            }
            _ => return Err(scenario::WorldError::UnknownCommand(name.to_owned())),
        }
        Ok(())
    }

    fn check(
        &mut self,
        _now: time::Instant,
        name: &str,
        args: &scenario::Args,
    ) -> Result<scenario::Verdict, scenario::WorldError> {
        let sim = started(&mut self.sim)?;
        let checker = &sim.checker;
        let verdict = match name {
            "single_runs" => no_violations(&checker.double_runs),
            "true_not_runs" => no_violations(&checker.false_not_runs),
            "whole_answers" => no_violations(&checker.wrong_answers),
            "timely_answers" => no_violations(&checker.late_answers),
            "runs" => {
                let (wanted, runs) = (args.u64(1)?, runs(sim, args.text(0)?)?);
                verdict(runs == wanted, || format!("{runs} runs"))
            }
            "lost_targets" => {
                let limit = args.u64(1)?;
                let lost = checker.lost_targets.get(args.text(0)?).copied();
                let lost = u64::from(lost.unwrap_or(0));
                verdict(lost <= limit, || format!("{lost} targets lost"))
            }
            "lost_targets_each" => {
                let limit = args.u64(0)?;
                let over = |(_, lost): &(&String, &u32)| u64::from(**lost) > limit;
                let worst = checker.lost_targets.iter().find(over);
                verdict(worst.is_none(), || format!("{worst:?}"))
            }
            "told" => {
                let attempt = attempt(sim, args)?;
                let found = result_name(attempt);
                verdict(found == args.text(1)?, || {
                    format!("the caller's result is {found}")
                })
            }
            "reason" => {
                let attempt = attempt(sim, args)?;
                let found = match &attempt.result {
                    Some((_, checker::CallerResult::Problem(reason, _))) => reason.type_uri(),
                    _ => "no problem",
                };
                verdict(found.ends_with(args.text(1)?), || {
                    format!("the problem type is {found}")
                })
            }
            "blocked" => {
                let record = containment_record(sim, args)?;
                let blocked = record.as_ref().is_some_and(|r| r.blocked_for.is_some());
                verdict(blocked, || format!("listed as {record:?}"))
            }
            "cleared" => {
                let record = containment_record(sim, args)?;
                verdict(record.is_none(), || format!("listed as {record:?}"))
            }
            "answered" => {
                let (wanted, share) = (args.f64(0)?, answered(sim));
                verdict(share >= wanted, || {
                    format!("a share of {share} was answered")
                })
            }
            "keys" => {
                let (wanted, keys) = (args.u64(0)?, sim.control.keys() as u64);
                verdict(keys == wanted, || format!("the ledger has {keys} keys"))
            }
            _ => return Err(scenario::WorldError::UnknownCheck(name.to_owned())),
        };
        Ok(verdict)
    }

    fn timeline(&mut self) -> Vec<scenario::Line> {
        let lines = self.sim.as_mut().map(|sim| std::mem::take(&mut sim.lines));
        lines.unwrap_or_default()
    }
}

fn started(sim: &mut Option<sim::Sim>) -> Result<&mut sim::Sim, scenario::WorldError> {
    let missing = || scenario::WorldError::Invalid("the world was not started".to_owned());
    sim.as_mut().ok_or_else(missing)
}

fn invalid(text: String) -> scenario::WorldError {
    scenario::WorldError::Invalid(text)
}

/// Converts the first argument, a number that counts from 1, to an index that counts from 0.
fn index(args: &scenario::Args, count: usize) -> Result<usize, scenario::WorldError> {
    let number = args.u64(0)? as usize;
    match (1..=count).contains(&number) {
        true => Ok(number - 1),
        false => Err(invalid(format!(
            "number {number} is not between 1 and {count}"
        ))),
    }
}

fn call(
    sim: &mut sim::Sim,
    keys: &mut collections::BTreeMap<String, ledger::Key>,
    args: &scenario::Args,
) -> Result<(), scenario::WorldError> {
    let number = |name, default| args.named(name).map_or(Ok(default), scenario::Arg::as_u64);
    let switch = |name| args.named(name).map_or(Ok(false), scenario::Arg::as_bool);
    let text = |name| args.named(name).map(scenario::Arg::as_text).transpose();
    let duration = |name| args.named(name).map(scenario::Arg::as_duration).transpose();
    let key = text("key")?.map(|word| {
        let next = keys.len() as u128 + 1;
        let new = || ledger::Key::new(sim.wall(), next);
        *keys.entry(word.to_owned()).or_insert_with(new)
    });
    let request = checker::Request {
        name: args.text(0)?.to_owned(),
        key,
        body: text("body")?.unwrap_or("body").to_owned(),
        idempotent: switch("idempotent")?,
        poison: switch("poison")?,
        fault: text("answer")?.map(fault).transpose()?,
        timeout: duration("timeout")?.unwrap_or(Duration::from_secs(1)),
        service_time: duration("service_time")?,
        resends: number("resends", 0)? as u32,
    };
    let attempt = number("attempt", 1)? as u32;
    let gateway = number("gateway", 1)? as usize;
    if !(1..=sim.gateways.len()).contains(&gateway) {
        return Err(invalid(format!("there is no gateway {gateway}")));
    }
    sim.send(rc::Rc::new(request), attempt, Some(gateway - 1));
    Ok(())
}

fn fault(name: &str) -> Result<checker::Fault, scenario::WorldError> {
    match name {
        "lost" => Ok(checker::Fault::Lost),
        "late" => Ok(checker::Fault::Late),
        "doubled" => Ok(checker::Fault::Doubled),
        "crossed" => Ok(checker::Fault::Crossed),
        "truncated" => Ok(checker::Fault::Truncated),
        "reset" => Ok(checker::Fault::Reset),
        "refused" => Ok(checker::Fault::Refused),
        "bare" => Ok(checker::Fault::Bare),
        _ => Err(invalid(format!("unknown fault `{name}`"))),
    }
}

/// Schedules generated calls: 50% have a key, 40% are idempotent without a key, 10% are neither.
fn load(sim: &mut sim::Sim, args: &scenario::Args) -> Result<(), scenario::WorldError> {
    let calls = args.required("calls")?.as_u64()?;
    let rate = args.required("rate")?.as_u64()?.max(1);
    let resends = args.named("resends");
    let resends = resends.map_or(Ok(3), scenario::Arg::as_u64)? as u32;
    let poison = args.named("poison");
    let poison = poison.map_or(Ok(0.0), scenario::Arg::as_f64)?;
    let first = sim.generated;
    sim.generated += calls;
    for number in 0..calls {
        let kind = sim.rng.random_range(0..10);
        let created = time::UnixMillis(sim.wall().0 + number * 1_000 / rate);
        let random = u128::from(sim.rng.random::<u64>());
        let key = (kind < 5).then(|| ledger::Key::new(created, random));
        let poisoned = sim.rng.random_bool(poison);
        let request = checker::Request {
            name: format!("load{}", first + number),
            key,
            body: format!("body{number}"),
            idempotent: (5..9).contains(&kind) || poisoned,
            poison: poisoned,
            fault: None,
            timeout: Duration::from_millis(sim.rng.random_range(200..1_500)),
            service_time: None,
            // A call that is not idempotent and has no key is not sent again.
            resends: if kind == 9 && !poisoned { 0 } else { resends },
        };
        let event = sim::Event::Send {
            request: rc::Rc::new(request),
            number: 1,
            gateway: None,
        };
        sim.schedule(Duration::from_micros(number * 1_000_000 / rate), event);
    }
    Ok(())
}

fn verdict(holds: bool, reason: impl FnOnce() -> String) -> scenario::Verdict {
    scenario::Verdict::from_condition(holds, reason)
}

fn no_violations(violations: &[String]) -> scenario::Verdict {
    verdict(violations.is_empty(), || {
        format!("{} violations: {}", violations.len(), violations[0])
    })
}

fn attempts_named<'a>(
    sim: &'a sim::Sim,
    name: &str,
) -> Result<Vec<&'a checker::Attempt>, scenario::WorldError> {
    let attempts = sim.checker.attempts.values();
    let found: Vec<_> = attempts.filter(|a| a.request.name == name).collect();
    match found.is_empty() {
        true => Err(invalid(format!("no request `{name}` was sent"))),
        false => Ok(found),
    }
}

fn runs(sim: &sim::Sim, name: &str) -> Result<u64, scenario::WorldError> {
    let attempts = attempts_named(sim, name)?;
    Ok(attempts.iter().map(|attempt| u64::from(attempt.runs)).sum())
}

/// Returns the attempt that `attempt=N` names, or the last one of the request.
fn attempt<'a>(
    sim: &'a sim::Sim,
    args: &scenario::Args,
) -> Result<&'a checker::Attempt, scenario::WorldError> {
    let attempts = attempts_named(sim, args.text(0)?)?;
    let number = args.named("attempt");
    let number = number.map(scenario::Arg::as_u64).transpose()?;
    let wanted = |attempt: &&&checker::Attempt| match number {
        Some(number) => u64::from(attempt.number) == number,
        None => true,
    };
    let found = attempts.iter().rfind(wanted);
    found
        .copied()
        .ok_or_else(|| invalid("no such attempt".to_owned()))
}

fn result_name(attempt: &checker::Attempt) -> String {
    match &attempt.result {
        None => "pending".to_owned(),
        Some((_, checker::CallerResult::Nothing)) => "nothing".to_owned(),
        Some((_, checker::CallerResult::Answer { replayed: true, .. })) => "replayed".to_owned(),
        Some((_, checker::CallerResult::Answer { .. })) => "answer".to_owned(),
        Some((_, checker::CallerResult::Problem(_, outcome))) => outcome.to_string(),
    }
}

fn fingerprint(
    sim: &sim::Sim,
    name: &str,
) -> Result<containment::Fingerprint, scenario::WorldError> {
    let attempts = attempts_named(sim, name)?;
    Ok(attempts[0].request.fingerprint())
}

fn containment_record(
    sim: &sim::Sim,
    args: &scenario::Args,
) -> Result<Option<containment::Record>, scenario::WorldError> {
    let fingerprint = fingerprint(sim, args.text(0)?)?;
    let records = sim.control.containment.list(sim.now);
    Ok(records
        .into_iter()
        .find(|record| record.suspect.fingerprint == fingerprint))
}

/// Returns the share of requests with at least one attempt that a target answered.
fn answered(sim: &sim::Sim) -> f64 {
    let mut requests = collections::BTreeMap::<&str, bool>::new();
    for attempt in sim.checker.attempts.values() {
        let answered = matches!(
            attempt.result,
            Some((_, checker::CallerResult::Answer { .. }))
        );
        *requests.entry(&attempt.request.name).or_default() |= answered;
    }
    let count = requests.values().filter(|answered| **answered).count();
    count as f64 / requests.len().max(1) as f64
}
