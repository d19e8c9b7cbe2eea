//! Measures elections in virtual time, in the replication world of the scenarios.

use std::time;

use wagtailshunt_core::time::Instant;

use super::{Durations, Error};
use crate::scenario::{Arg, Args, Verdict, World};
use crate::worlds;

/// Time between an election and the next crash of the leader.
const CRASH_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// Maximum time to wait for a leader.
const LEADER_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Crashes the leader of five nodes `count` times and returns the times until a new one is elected.
///
/// Messages take 0.5 to 1 ms and syncs 2 ms of virtual time.
///
/// # Errors
///
/// Returns [`Error::NoLeader`] if an election takes longer than a minute.
pub fn elections(count: u32, seed: u64) -> Result<Durations, Error> {
    let mut world = worlds::replication::new();
    world.set("nodes", &Arg::Integer(5))?;
    world.start(seed)?;
    let leader = Args(vec![Arg::Word("leader".to_owned())]);
    let none = Args(Vec::new());
    let mut durations = Durations::new()?;
    let mut now = wait_for_leader(world.as_mut(), Instant(0))?;
    for _ in 0..count {
        let crash = advance(world.as_mut(), now, now + CRASH_INTERVAL);
        world.command(crash, "crash", &leader)?;
        now = wait_for_leader(world.as_mut(), crash)?;
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

/// Handles events until a node is leader and returns that time.
fn wait_for_leader(world: &mut dyn World, since: Instant) -> Result<Instant, Error> {
    let none = Args(Vec::new());
    let mut now = since;
    while now.since(since) < LEADER_TIMEOUT {
        if world.check(now, "led", &none)? == Verdict::Holds {
            return Ok(now);
        }
        let next = world.next_event().ok_or(Error::NoLeader(LEADER_TIMEOUT))?;
        now = next.max(now);
        world.advance(now);
    }
    Err(Error::NoLeader(LEADER_TIMEOUT))
}
