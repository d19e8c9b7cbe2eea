//! Expands the statements of a script into steps in time order and checks over time intervals.

use std::time;

use super::{Invocation, Script, Statement, StatementKind, When};

/// Maximum number of steps and watches of a script, so that a typing error in a period does not
/// exhaust memory.
pub const MAX_STEPS: usize = 1_000_000;

/// A statement that cannot be expanded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ScheduleError {
    /// The period is zero, so the expansion would not end.
    #[error("line {line}: the period must be longer than zero")]
    ZeroPeriod {
        /// Line in the script.
        line: usize,
    },
    /// An interval ends before it starts.
    #[error("line {line}: the end is before the start")]
    EndBeforeStart {
        /// Line in the script.
        line: usize,
    },
    /// The script expands to more than [`MAX_STEPS`] steps and watches.
    #[error("line {line}: the script has more than {MAX_STEPS} steps")]
    TooManySteps {
        /// Line in the script.
        line: usize,
    },
    /// A statement is later than the end that `duration` sets.
    #[error("line {line}: the statement is after the end of the script")]
    AfterEnd {
        /// Line in the script.
        line: usize,
    },
}

/// A command or check that runs once at a point in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Action<'a> {
    Command(&'a Invocation),
    Check(&'a Invocation),
}

/// An action with its time and its line in the script.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Step<'a> {
    pub at: time::Duration,
    pub line: usize,
    pub action: Action<'a>,
}

/// A check that is evaluated after every event between `from` and `until`.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Watch<'a> {
    pub line: usize,
    pub invocation: &'a Invocation,
    pub from: time::Duration,
    pub until: time::Duration,
    /// True for `expect by`: one success is enough. False for `expect always`: every evaluation
    /// must succeed.
    pub eventually: bool,
}

/// All steps and watches of a script.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Schedule<'a> {
    pub steps: Vec<Step<'a>>,
    pub watches: Vec<Watch<'a>>,
    pub end: time::Duration,
}

impl<'a> Schedule<'a> {
    /// Expands `script`. Steps at the same time keep the order of the script.
    pub fn new(script: &'a Script) -> Result<Schedule<'a>, ScheduleError> {
        let mut schedule = Schedule::default();
        schedule.add_all(&script.statements, time::Duration::ZERO)?;
        schedule.steps.sort_by_key(|step| step.at);
        schedule.set_end(script.duration)?;
        Ok(schedule)
    }

    fn set_end(&mut self, duration: Option<time::Duration>) -> Result<(), ScheduleError> {
        let bounded = self
            .watches
            .iter()
            .filter(|watch| watch.until < time::Duration::MAX);
        let times = self.steps.iter().map(|step| (step.at, step.line));
        let last = times
            .chain(bounded.map(|watch| (watch.until, watch.line)))
            .max();
        let (last, line) = last.unwrap_or_default();
        self.end = duration.unwrap_or(last);
        if last > self.end {
            return Err(ScheduleError::AfterEnd { line });
        }
        Ok(())
    }

    fn add_all(
        &mut self,
        statements: &'a [Statement],
        offset: time::Duration,
    ) -> Result<(), ScheduleError> {
        for statement in statements {
            self.add(statement, offset)?;
        }
        Ok(())
    }

    fn add(
        &mut self,
        statement: &'a Statement,
        offset: time::Duration,
    ) -> Result<(), ScheduleError> {
        let line = statement.line;
        match &statement.kind {
            StatementKind::At(at, invocation) => {
                self.push(offset + *at, line, Action::Command(invocation))
            }
            StatementKind::Every {
                period,
                from,
                until,
                invocation,
            } => {
                check_interval(line, *from, *until)?;
                let mut at = *from;
                while at < *until {
                    self.push(offset + at, line, Action::Command(invocation))?;
                    at += checked_period(line, *period)?;
                }
                Ok(())
            }
            StatementKind::Expect(when, invocation) => self.expect(line, *when, invocation, offset),
            StatementKind::Repeat {
                count,
                period,
                from,
                body,
            } => {
                let mut start = offset + *from;
                for _ in 0..*count {
                    self.add_all(body, start)?;
                    start += checked_period(line, *period)?;
                    self.check_size(line)?;
                }
                Ok(())
            }
        }
    }

    fn expect(
        &mut self,
        line: usize,
        when: When,
        invocation: &'a Invocation,
        offset: time::Duration,
    ) -> Result<(), ScheduleError> {
        let (from, until, eventually) = match when {
            When::At(at) => return self.push(offset + at, line, Action::Check(invocation)),
            When::By { from, until } => (from, Some(until), true),
            When::Always { from, until } => (from, until, false),
        };
        check_interval(line, from, until.unwrap_or(time::Duration::MAX))?;
        let until = until.map_or(time::Duration::MAX, |until| offset + until);
        self.watches.push(Watch {
            line,
            invocation,
            from: offset + from,
            until,
            eventually,
        });
        self.check_size(line)
    }

    fn push(
        &mut self,
        at: time::Duration,
        line: usize,
        action: Action<'a>,
    ) -> Result<(), ScheduleError> {
        self.steps.push(Step { at, line, action });
        self.check_size(line)
    }

    fn check_size(&self, line: usize) -> Result<(), ScheduleError> {
        if self.steps.len() + self.watches.len() > MAX_STEPS {
            return Err(ScheduleError::TooManySteps { line });
        }
        Ok(())
    }
}

fn check_interval(
    line: usize,
    from: time::Duration,
    until: time::Duration,
) -> Result<(), ScheduleError> {
    if until < from {
        return Err(ScheduleError::EndBeforeStart { line });
    }
    Ok(())
}

fn checked_period(line: usize, period: time::Duration) -> Result<time::Duration, ScheduleError> {
    if period.is_zero() {
        return Err(ScheduleError::ZeroPeriod { line });
    }
    Ok(period)
}
