//! Syntax tree of a script, as the parser returns it.

use std::{fmt, time};

use super::{Arg, Args};

/// A parsed script.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Script {
    /// Name of the world.
    pub world: String,
    /// Seed of all randomness in the world.
    pub seed: u64,
    /// Settings of the world, in script order.
    pub settings: Vec<Setting>,
    /// Length of the run in virtual time. If absent, the run ends with the last statement.
    pub duration: Option<time::Duration>,
    /// Settings that must make the script fail, each on its own.
    pub mutations: Vec<Mutation>,
    /// Statements, in script order.
    pub statements: Vec<Statement>,
}

/// `set key value`.
#[derive(Clone, Debug, PartialEq)]
pub struct Setting {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Arg,
    /// Line in the script, from 1, or 0 for a setting from the command line.
    pub line: usize,
}

/// `fails when key value`: a setting, such as a disabled mechanism, that the script must detect.
pub type Mutation = Setting;

/// A statement with its line.
#[derive(Clone, Debug, PartialEq)]
pub struct Statement {
    /// Line in the script, from 1.
    pub line: usize,
    /// Content of the statement.
    pub kind: StatementKind,
}

/// Content of a statement. Times inside a `repeat` block are relative to each repetition.
#[derive(Clone, Debug, PartialEq)]
pub enum StatementKind {
    /// `at TIME command`.
    At(time::Duration, Invocation),
    /// `every PERIOD [from TIME] until TIME command`, with `until` excluded.
    Every {
        /// Time between two runs of the command.
        period: time::Duration,
        /// Time of the first run.
        from: time::Duration,
        /// End of the runs.
        until: time::Duration,
        /// The command.
        invocation: Invocation,
    },
    /// `expect WHEN check`.
    Expect(When, Invocation),
    /// `repeat COUNT every PERIOD [from TIME] { ... }`.
    Repeat {
        /// Number of repetitions.
        count: u64,
        /// Time between the starts of two repetitions.
        period: time::Duration,
        /// Start of the first repetition.
        from: time::Duration,
        /// Statements of each repetition.
        body: Vec<Statement>,
    },
}

/// Time or interval in which a check must hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum When {
    /// At one time.
    At(time::Duration),
    /// At least once in an interval.
    By {
        /// First time at which the check counts.
        from: time::Duration,
        /// Last time at which the check counts.
        until: time::Duration,
    },
    /// After every event in an interval.
    Always {
        /// First time at which the check must hold.
        from: time::Duration,
        /// Last time at which the check must hold; the end of the run if absent.
        until: Option<time::Duration>,
    },
}

/// A command or check: its name and arguments.
#[derive(Clone, Debug, PartialEq)]
pub struct Invocation {
    /// The name.
    pub name: String,
    /// The arguments.
    pub args: Args,
}

impl fmt::Display for Invocation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.name)?;
        for arg in self.args.iter() {
            write!(f, " {arg}")?;
        }
        Ok(())
    }
}
