//! Elections in virtual time.

use std::time;

use wagtailshunt_core::time::Instant;

use super::{Durations, Error};
use crate::scenario::{Arg, Args, Verdict, World};
use crate::worlds;

/// Time between a restart and the next loss of the leader.
const PAUSE: time::Duration = time::Duration::from_secs(5);

/// Longest wait for a leader.
const LIMIT: time::Duration = time::Duration::from_secs(60);

/// Crashes the leader of five nodes again and again and returns the times until another leads.
///
/// Messages take 0.5 to 1 ms and syncs 2 ms of virtual time.
///
/// # Errors
///
/// [`Error::NoLeader`] when an election takes longer than a minute.
pub fn elections(count: u32, seed: u64) -> Result<Durations, Error> {
    let mut world = worlds::replication::new();
    world.set("nodes", &Arg::Integer(5))?;
    world.start(seed)?;
    let leader = Args(vec![Arg::Word("leader".to_owned())]);
    let none = Args(Vec::new());
    let mut durations = Durations::new()?;
    let mut now = elected(world.as_mut(), Instant(0))?;
    for _ in 0..count {
        let crash = advance(world.as_mut(), now, now + PAUSE);
        world.command(crash, "crash", &leader)?;
        now = elected(world.as_mut(), crash)?;
        durations.record(now.since(crash));
        world.command(now, "restart_all", &none)?;
    }
    Ok(durations)
}

/// Handles all events up to `end` and returns `end`.
fn advance(world: &mut dyn World, mut now: Instant, end: Instant) -> Instant {
    while let Some(next) = world.next_event().filter(|next| *next <= end) {
        now = next.max(now);
        world.advance(now);
    }
    end
}

/// Handles events until a node leads and returns that time.
fn elected(world: &mut dyn World, since: Instant) -> Result<Instant, Error> {
    let none = Args(Vec::new());
    let mut now = since;
    while now.since(since) < LIMIT {
        if world.check(now, "led", &none)? == Verdict::Holds {
            return Ok(now);
        }
        let next = world.next_event().ok_or(Error::NoLeader(LIMIT))?;
        now = next.max(now);
        world.advance(now);
    }
    Err(Error::NoLeader(LIMIT))
}
