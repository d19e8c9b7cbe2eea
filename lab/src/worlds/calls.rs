//! Scenario world for load balancing, admission control and retries.
//!
//! A script drives [`policy::Cluster`], the simulated cluster that the comparison of load balancing
//! policies also uses.
//!
//! Settings: `policy` (name of a load balancing policy), `gateways`, `targets`, `domains`,
//! `utilisation`, `timeout`, `queue_limit`, `hedge`, `probes` (per 1,000 calls), and switches for
//! mechanisms that are on by default: `budget`, `fault_protection`, `distrust`, `ramp`, `adaptive`,
//! `refuse_late`, `retry_budget`, `cancel_losers`, `obey_drain`.
//!
//! Commands: `load`, `stop`, `mark` (restarts the statistics), `rate FACTOR`, `slow TARGET FACTOR`,
//! `fail_fast TARGET`, `lie TARGET`, `heal TARGET`, `drain TARGET`, `restart TARGET`,
//! `lose_domain NUMBER`. Targets and domains count from 0.
//!
//! Checks over the time since the last `mark`: `p99_below`, `p999_below`, `errors_below PERCENT`,
//! `refused_below PERCENT`, `goodput_above CALLS_PER_SECOND`, `share_below TARGET PERCENT`,
//! `messages_below PER_CALL`, `probe_time_below DURATION_PER_CALL`, `attempts_below PER_CALL`,
//! `hedges_below PERCENT`, `hedges_above PERCENT`, `wasted_below PERCENT`, `no_work TARGET`.

use std::time::Duration;

use wagtailshunt_core::{measure, time};

use crate::{policy, scenario};

/// Limit that is never reached, used when a budget is switched off.
const UNLIMITED: u64 = 1_000_000;

/// Creates a world with default settings that is not started yet.
pub fn new() -> Box<dyn scenario::World> {
    Box::new(Calls::default())
}

#[derive(Default)]
struct Calls {
    setup: policy::Setup,
    /// The budget of probes is switched off.
    budget_off: bool,
    /// Probes per 1,000 calls.
    probes: u64,
    cluster: Option<policy::Cluster>,
    /// Number of calls that each target had received at the last mark.
    received_at_mark: Vec<u64>,
    lines: Vec<scenario::Line>,
}

impl Calls {
    fn cluster(&mut self) -> Result<&mut policy::Cluster, scenario::WorldError> {
        let missing = || scenario::WorldError::Invalid("the world has not started".to_owned());
        self.cluster.as_mut().ok_or_else(missing)
    }

    fn choose_policy(&mut self, name: &str) -> Result<(), scenario::WorldError> {
        let all = policy::Contender::all(policy::Deployment::Krittlinje);
        let Some(contender) = all.into_iter().find(|contender| contender.name == name) else {
            return Err(scenario::WorldError::Invalid(format!(
                "unknown policy `{name}`"
            )));
        };
        self.setup.selection = contender.selection;
        self.setup.balance.policy = contender.balance.policy;
        Ok(())
    }

    fn switch(&mut self, key: &str, on: bool) -> Result<(), scenario::WorldError> {
        let setup = &mut self.setup;
        match key {
            "hedge" => setup.hedge.enabled = on,
            "budget" => self.budget_off = !on,
            "fault_protection" => {
                setup.balance.error_cost = on;
                setup.balance.ejection.consecutive = if on { 3 } else { 0 };
            }
            "distrust" => setup.balance.distrust = on,
            "ramp" => setup.balance.ramp_ms = if on { 2_000 } else { 0 },
            "adaptive" => setup.adaptive = on,
            "refuse_late" => setup.admission.refuse_late = on,
            "retry_budget" if on => setup.retry = Default::default(),
            "retry_budget" => {
                setup.retry.per_1000_calls = UNLIMITED as u32;
                setup.retry.burst = UNLIMITED as u32;
                setup.retry.max_attempts = 5;
            }
            "cancel_losers" => setup.cancel_losers = on,
            "obey_drain" => setup.obey_drain = on,
            _ => return Err(scenario::WorldError::UnknownSetting(key.to_owned())),
        }
        Ok(())
    }

    fn limits(&self) -> measure::Limits {
        let cost = self.setup.balance.probe_cost;
        match (self.probes, self.budget_off) {
            (0, _) => measure::Limits::default(),
            (_, true) => measure::Limits::for_probes(&cost, UNLIMITED, UNLIMITED, UNLIMITED),
            (probes, false) => measure::Limits::for_probes(&cost, probes, 10 * probes, 5),
        }
    }

    fn mark(&mut self) -> Result<(), scenario::WorldError> {
        let cluster = self.cluster()?;
        cluster.reset_stats();
        self.received_at_mark = cluster.received();
        Ok(())
    }

    fn received_since_mark(&mut self, target: usize) -> Result<(u64, u64), scenario::WorldError> {
        let now = self.cluster()?.received();
        let counts: Vec<u64> = now
            .iter()
            .zip(&self.received_at_mark)
            .map(|(now, before)| now - before)
            .collect();
        let missing = || scenario::WorldError::Invalid(format!("no target {target}"));
        let count = *counts.get(target).ok_or_else(missing)?;
        Ok((count, counts.iter().sum()))
    }
}

impl scenario::World for Calls {
    fn set(&mut self, key: &str, value: &scenario::Arg) -> Result<(), scenario::WorldError> {
        match key {
            "policy" => self.choose_policy(value.as_text()?)?,
            "gateways" => self.setup.gateways = value.as_u64()? as usize,
            "targets" => self.setup.targets = value.as_u64()? as usize,
            "domains" => self.setup.domains = value.as_u64()? as usize,
            "utilisation" => self.setup.utilisation = value.as_f64()?,
            "timeout" => self.setup.timeout = value.as_duration()?,
            "queue_limit" => self.setup.service.queue_limit = value.as_u64()? as u32,
            "probes" => self.probes = value.as_u64()?,
            _ => self.switch(key, value.as_bool()?)?,
        }
        Ok(())
    }

    fn start(&mut self, seed: u64) -> Result<(), scenario::WorldError> {
        self.setup.balance.measure = self.limits();
        let cluster = policy::Cluster::new(self.setup.clone(), seed);
        self.received_at_mark = cluster.received();
        self.cluster = Some(cluster);
        Ok(())
    }

    fn next_event(&self) -> Option<time::Instant> {
        self.cluster.as_ref().and_then(policy::Cluster::next_event)
    }

    fn advance(&mut self, now: time::Instant) {
        if let Some(cluster) = &mut self.cluster {
            cluster.advance(now);
        }
    }

    fn command(
        &mut self,
        now: time::Instant,
        name: &str,
        args: &scenario::Args,
    ) -> Result<(), scenario::WorldError> {
        let fault = match name {
            "load" => {
                self.cluster()?.start_load(now);
                return Ok(());
            }
            "mark" => return self.mark(),
            "stop" => policy::Fault::StopLoad,
            "rate" => policy::Fault::Rate {
                permille: permille(args.f64(0)?),
            },
            "lose_domain" => policy::Fault::LoseDomain {
                domain: args.u64(0)? as usize,
            },
            _ => target_fault(name, args)?,
        };
        self.cluster()?.inject(fault);
        self.lines.push(scenario::Line {
            at: now,
            text: format!("{fault:?}"),
        });
        Ok(())
    }

    fn check(
        &mut self,
        now: time::Instant,
        name: &str,
        args: &scenario::Args,
    ) -> Result<scenario::Verdict, scenario::WorldError> {
        let figures = self.cluster()?.summary(now);
        let ms = |bound: Duration| bound.as_secs_f64() * 1e3;
        let (value, bound) = match name {
            "p99_below" => (figures.p99_ms, ms(args.duration(0)?)),
            "p999_below" => (figures.p999_ms, ms(args.duration(0)?)),
            "errors_below" => (figures.errors_pct, args.f64(0)?),
            "refused_below" => (figures.refused_pct, args.f64(0)?),
            "messages_below" => (figures.messages, args.f64(0)?),
            "probe_time_below" => (figures.probe_us, ms(args.duration(0)?) * 1e3),
            "attempts_below" => (figures.attempts, args.f64(0)?),
            "hedges_below" => (figures.hedges_pct, args.f64(0)?),
            "wasted_below" => (figures.wasted_pct, args.f64(0)?),
            "goodput_above" => (-figures.goodput, -args.f64(0)?),
            "hedges_above" => (-figures.hedges_pct, -args.f64(0)?),
            "share_below" => {
                let (count, all) = self.received_since_mark(args.u64(0)? as usize)?;
                (count as f64 / all.max(1) as f64 * 100.0, args.f64(1)?)
            }
            "no_work" => {
                let (count, _) = self.received_since_mark(args.u64(0)? as usize)?;
                (count as f64, 1.0)
            }
            _ => return Err(scenario::WorldError::UnknownCheck(name.to_owned())),
        };
        Ok(scenario::Verdict::from_condition(value < bound, || {
            format!("measured {:.3}", value.abs())
        }))
    }

    fn timeline(&mut self) -> Vec<scenario::Line> {
        std::mem::take(&mut self.lines)
    }
}

fn permille(factor: f64) -> u32 {
    (factor * 1000.0).round() as u32
}

fn target_fault(name: &str, args: &scenario::Args) -> Result<policy::Fault, scenario::WorldError> {
    let target = || args.u64(0).map(|target| target as usize);
    Ok(match name {
        "slow" => policy::Fault::Slow {
            target: target()?,
            permille: permille(args.f64(1)?),
        },
        "fail_fast" => policy::Fault::FailFast {
            target: target()?,
            on: true,
        },
        "lie" => policy::Fault::ReportNoLoad {
            target: target()?,
            on: true,
        },
        "heal" => policy::Fault::Heal { target: target()? },
        "drain" => policy::Fault::Drain { target: target()? },
        "restart" => policy::Fault::Restart { target: target()? },
        _ => return Err(scenario::WorldError::UnknownCommand(name.to_owned())),
    })
}
