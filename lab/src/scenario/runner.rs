//! Runs a script against a world in virtual time and reports the checks that failed.

use std::fmt;

use wagtailshunt_core::time;

use super::schedule::{Action, Schedule, Step, Watch};
use super::{Line, ScheduleError, Script, Setting, Verdict, World, WorldError};

/// Number of calls of `advance` at one instant after which the run fails as stuck.
const MAX_ADVANCES_PER_INSTANT: u32 = 100_000;

/// Overrides of a script for one run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Options {
    /// Seed that replaces the one of the script.
    pub seed: Option<u64>,
    /// Settings that are applied after those of the script.
    pub settings: Vec<Setting>,
}

/// An expectation that did not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Line of the expectation in the script.
    pub line: usize,
    /// Virtual time of the evaluation.
    pub at: time::Instant,
    /// The check as written in the script.
    pub check: String,
    /// Reason that the world gives.
    pub reason: String,
}

/// Result of a run. Its `Display` output is identical for runs of the same script and seed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// World of the script.
    pub world: String,
    /// Seed of the run.
    pub seed: u64,
    /// Time line of the world.
    pub lines: Vec<Line>,
    /// Number of evaluated checks.
    pub checks: u64,
    /// Expectations that did not hold, in time order. An `expect always` fails at most once.
    pub failures: Vec<Failure>,
    /// Virtual time at the end of the run.
    pub end: time::Instant,
}

impl Report {
    /// Returns true if every expectation held.
    pub fn passed(&self) -> bool {
        self.failures.is_empty()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "world {} seed {}", self.world, self.seed)?;
        for line in &self.lines {
            writeln!(f, "{} {}", millis(line.at), line.text)?;
        }
        for failure in &self.failures {
            let Failure {
                line,
                at,
                check,
                reason,
            } = failure;
            writeln!(f, "{} FAILED line {line}: {check}: {reason}", millis(*at))?;
        }
        let verdict = if self.passed() { "passed" } else { "failed" };
        writeln!(f, "{} {verdict}, {} checks", millis(self.end), self.checks)
    }
}

/// An error that stops a run before its end.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RunError {
    /// A statement cannot be scheduled.
    #[error(transparent)]
    Schedule(#[from] ScheduleError),
    /// The script misuses the world.
    #[error("line {line}: {source}")]
    World {
        /// Line in the script; 0 for the command line.
        line: usize,
        /// The world's error.
        source: WorldError,
    },
    /// The world could not start.
    #[error("the world did not start: {0}")]
    Start(WorldError),
    /// Events are still due after the maximum number of `advance` calls at this time.
    #[error("the world is stuck at {}", millis(*.0))]
    Stuck(time::Instant),
}

/// Runs `script` against `world`, which must not have been started.
///
/// # Errors
///
/// Returns an error if the script cannot be scheduled or misuses the world, or if the world does
/// not start or is stuck. A failed expectation is part of the report.
pub fn run(script: &Script, options: &Options, world: &mut dyn World) -> Result<Report, RunError> {
    let schedule = Schedule::new(script)?;
    let seed = options.seed.unwrap_or(script.seed);
    for Setting { key, value, line } in script.settings.iter().chain(&options.settings) {
        world.set(key, value).map_err(|source| RunError::World {
            line: *line,
            source,
        })?;
    }
    world.start(seed).map_err(RunError::Start)?;
    let report = Report {
        world: script.world.clone(),
        seed,
        lines: Vec::new(),
        checks: 0,
        failures: Vec::new(),
        end: instant(schedule.end),
    };
    let watches = schedule.watches.clone();
    let runner = Runner {
        world,
        watches,
        report,
    };
    runner.run(&schedule)
}

struct Runner<'a> {
    world: &'a mut dyn World,
    /// Watches without a final result.
    watches: Vec<Watch<'a>>,
    report: Report,
}

impl Runner<'_> {
    fn run(mut self, schedule: &Schedule<'_>) -> Result<Report, RunError> {
        let mut steps = schedule.steps.iter().peekable();
        let mut now = time::Instant(0);
        loop {
            self.run_due_events(now)?;
            while let Some(step) = steps.next_if(|step| instant(step.at) <= now) {
                self.step(now, step)?;
                self.run_due_events(now)?;
            }
            self.watch(now)?;
            self.report.lines.extend(self.world.timeline());
            if now >= self.report.end {
                break;
            }
            let step = steps.peek().map(|step| instant(step.at));
            let bounds = self.next_bound(now);
            let next = step
                .into_iter()
                .chain(self.world.next_event())
                .chain(bounds)
                .min();
            now = next
                .unwrap_or(self.report.end)
                .max(now)
                .min(self.report.end);
        }
        self.finish(now);
        Ok(self.report)
    }

    /// Returns the earliest start or end of a watch after `now`.
    fn next_bound(&self, now: time::Instant) -> Option<time::Instant> {
        let bounds = self
            .watches
            .iter()
            .flat_map(|watch| [watch.from, watch.until]);
        bounds.map(instant).filter(|at| *at > now).min()
    }

    fn run_due_events(&mut self, now: time::Instant) -> Result<(), RunError> {
        for _ in 0..MAX_ADVANCES_PER_INSTANT {
            if self.world.next_event().is_none_or(|at| at > now) {
                return Ok(());
            }
            self.world.advance(now);
        }
        Err(RunError::Stuck(now))
    }

    fn step(&mut self, now: time::Instant, step: &Step<'_>) -> Result<(), RunError> {
        let line = step.line;
        match step.action {
            Action::Command(invocation) => self
                .world
                .command(now, &invocation.name, &invocation.args)
                .map_err(|source| RunError::World { line, source }),
            Action::Check(invocation) => {
                self.report.checks += 1;
                let verdict = self
                    .world
                    .check(now, &invocation.name, &invocation.args)
                    .map_err(|source| RunError::World { line, source })?;
                if let Verdict::Fails(reason) = verdict {
                    self.fail(line, now, invocation.to_string(), reason);
                }
                Ok(())
            }
        }
    }

    fn watch(&mut self, now: time::Instant) -> Result<(), RunError> {
        let mut remaining = Vec::with_capacity(self.watches.len());
        for watch in std::mem::take(&mut self.watches) {
            if self.evaluate_watch(now, &watch)? {
                remaining.push(watch);
            }
        }
        self.watches = remaining;
        Ok(())
    }

    /// Evaluates one watch; returns false if it needs no further evaluation.
    fn evaluate_watch(&mut self, now: time::Instant, watch: &Watch<'_>) -> Result<bool, RunError> {
        if now < instant(watch.from) {
            return Ok(true);
        }
        if now > instant(watch.until) {
            if watch.eventually {
                let reason = "did not hold in time".to_owned();
                self.fail(watch.line, now, watch.invocation.to_string(), reason);
            }
            return Ok(false);
        }
        self.report.checks += 1;
        let verdict = self
            .world
            .check(now, &watch.invocation.name, &watch.invocation.args)
            .map_err(|source| RunError::World {
                line: watch.line,
                source,
            })?;
        match verdict {
            Verdict::Holds => Ok(!watch.eventually),
            Verdict::Fails(reason) if !watch.eventually || now == instant(watch.until) => {
                self.fail(watch.line, now, watch.invocation.to_string(), reason);
                Ok(false)
            }
            Verdict::Fails(_) => Ok(true),
        }
    }

    /// Fails each `expect by` that has not held by the end of the run.
    fn finish(&mut self, now: time::Instant) {
        for watch in std::mem::take(&mut self.watches) {
            if watch.eventually {
                let reason = "did not hold in time".to_owned();
                self.fail(watch.line, now, watch.invocation.to_string(), reason);
            }
        }
    }

    fn fail(&mut self, line: usize, at: time::Instant, check: String, reason: String) {
        self.report.failures.push(Failure {
            line,
            at,
            check,
            reason,
        });
    }
}

fn instant(duration: std::time::Duration) -> time::Instant {
    time::Instant(0) + duration
}

/// Formats a time in milliseconds with three decimals.
fn millis(at: time::Instant) -> String {
    format!("{:>10}.{:03}ms", at.0 / 1000, at.0 % 1000)
}
