//! Scripts in virtual time: a small text language, its parser and a deterministic runner.
//!
//! A script names a [`World`], sets it up, sends it commands and checks expectations at given
//! virtual times. The language is described in `docs/scenarios.md`.

mod args;
mod parser;
mod runner;
mod schedule;
mod script;
mod world;

pub use args::{Arg, ArgError, Args};
pub use parser::{ParseError, parse};
pub use runner::{Failure, Options, Report, RunError, run};
pub use schedule::{MAX_STEPS, ScheduleError};
pub use script::{Call, Mutation, Script, Setting, Statement, StatementKind, When};
pub use world::{Line, Verdict, World, WorldError};
