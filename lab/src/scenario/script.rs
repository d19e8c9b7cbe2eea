//! The parsed form of a script.

use std::{fmt, time};

use super::{Arg, Args};

/// A parsed script.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Script {
    /// Name of the world.
    pub world: String,
    /// Seed of all randomness in the world.
    pub seed: u64,
    /// Settings of the world, in the order written.
    pub settings: Vec<Setting>,
    /// Virtual length of the run; without it the run ends with the last statement.
    pub duration: Option<time::Duration>,
    /// Settings under which the script must fail.
    pub mutations: Vec<Mutation>,
    /// The statements, in the order written.
    pub statements: Vec<Statement>,
}

/// `set key value`.
#[derive(Clone, Debug, PartialEq)]
pub struct Setting {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Arg,
    /// Line in the script, from 1; 0 for a setting that comes from the command line.
    pub line: usize,
}

/// `fails when key value`: proves that the script detects the loss of a mechanism.
pub type Mutation = Setting;

/// A statement with its position.
#[derive(Clone, Debug, PartialEq)]
pub struct Statement {
    /// Line in the script, from 1.
    pub line: usize,
    /// What to do.
    pub kind: StatementKind,
}

/// A statement.
#[derive(Clone, Debug, PartialEq)]
pub enum StatementKind {
    /// `at TIME command`.
    At(time::Duration, Call),
    /// `every PERIOD [from TIME] until TIME command`; the end is not included.
    Every {
        /// Time between two runs of the command.
        period: time::Duration,
        /// Time of the first run.
        from: time::Duration,
        /// End of the runs.
        until: time::Duration,
        /// The command.
        call: Call,
    },
    /// `expect WHEN check`.
    Expect(When, Call),
    /// `repeat COUNT every PERIOD [from TIME] { ... }`; times inside are relative to each run.
    Repeat {
        /// Number of runs.
        count: u64,
        /// Time between two runs.
        period: time::Duration,
        /// Start of the first run.
        from: time::Duration,
        /// The statements of each run.
        body: Vec<Statement>,
    },
}

/// When a check must hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum When {
    /// At one time.
    At(time::Duration),
    /// At some time up to and including this one.
    By {
        /// First time at which the check counts.
        from: time::Duration,
        /// Last time at which the check counts.
        until: time::Duration,
    },
    /// At every event from a start up to an end (the end of the run if absent).
    Always {
        /// First time at which the check must hold.
        from: time::Duration,
        /// Last time at which the check must hold.
        until: Option<time::Duration>,
    },
}

/// Name and arguments of a command or check.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The name.
    pub name: String,
    /// The arguments.
    pub args: Args,
}

impl fmt::Display for Call {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.name)?;
        for arg in self.args.iter() {
            write!(f, " {arg}")?;
        }
        Ok(())
    }
}
