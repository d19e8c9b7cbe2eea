//! Scenario scripts: a small text language, its parser and a deterministic runner in virtual time.
//!
//! A script names a [`World`], which simulates a part of the system. It configures the world, sends
//! it commands and checks expectations at given virtual times. The language is described in
//! `docs/scenarios.md`.

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
pub use script::{Invocation, Mutation, Script, Setting, Statement, StatementKind, When};
pub use world::{Line, Verdict, World, WorldError};
