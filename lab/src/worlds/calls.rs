//! Balancing, admission and retries against fake targets.

use wagtailshunt_core::time;

use crate::scenario;

/// Creates the world, not yet set up.
pub fn new() -> Box<dyn scenario::World> {
    Box::new(Calls::default())
}

#[derive(Debug, Default)]
struct Calls {
    lines: Vec<scenario::Line>,
}

impl scenario::World for Calls {
    fn set(&mut self, key: &str, _: &scenario::Arg) -> Result<(), scenario::WorldError> {
        Err(scenario::WorldError::UnknownSetting(key.to_owned()))
    }

    fn start(&mut self, _seed: u64) -> Result<(), scenario::WorldError> {
        Ok(())
    }

    fn next_event(&self) -> Option<time::Instant> {
        None
    }

    fn advance(&mut self, _now: time::Instant) {}

    fn command(
        &mut self,
        _now: time::Instant,
        name: &str,
        _args: &scenario::Args,
    ) -> Result<(), scenario::WorldError> {
        Err(scenario::WorldError::UnknownCommand(name.to_owned()))
    }

    fn check(
        &mut self,
        _now: time::Instant,
        name: &str,
        _args: &scenario::Args,
    ) -> Result<scenario::Verdict, scenario::WorldError> {
        Err(scenario::WorldError::UnknownCheck(name.to_owned()))
    }

    fn timeline(&mut self) -> Vec<scenario::Line> {
        std::mem::take(&mut self.lines)
    }
}
