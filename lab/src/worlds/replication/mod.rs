//! Simulation of a replicated group over a fake network and fake disks.
//!
//! Settings: `nodes`, `spares` (VMs that are not started), `latency`, `jitter`, `loss`,
//! `duplicate`, `reorder`, `disk` (time of a batch), `snapshot_every` (commands),
//! `segment_bytes`, `retained_entries`, `heartbeat`, `election_min`, `election_max`,
//! `drift_permille`, `clock_margin_permille`, and the protections `pre_vote`, `vote_silence`,
//! `start_silence`, `check_quorum`, `ack_after_sync`, `log_sync`, `snapshot_sync`, `folder_sync`,
//! `torn_tail` and `catch_up` (`on` or `off`).
//!
//! VMs are `vm1`, `vm2`, and so on; `leader` stands for the leader with the highest term.
//!
//! Commands:
//!
//! * `propose [count=N] [size=BYTES]` on every node that considers itself the leader; `read`: a
//!   linearizable read on every such node
//! * `crash VM`, `crash_at VM OPERATION N` (before the N-th `write`, `sync`, `set_len`, `rename`,
//!   `remove`, `sync_folder` or `any` from now), `restart VM`, `restart_all`, `crash_all`
//! * `lose_next`: crashes the next VM in the sequence of all ordered pairs of the voters
//! * `partition VM`, `heal VM`, `heal_all`, `cut FROM TO`, `mend FROM TO`, `deafen VM` (cuts
//!   all links to it), `mute VM` (cuts all links from it)
//! * `mark`: starts the count for `accepted_since_mark`
//! * `loss P`, `duplicate P`, `reorder P`
//! * `disk_full VM on|off`, `failed_sync VM`, `slow_disk VM DURATION`, `damage VM PREFIX` (flips a
//!   bit in a file)
//! * `transfer [VM]`, `replace OLD NEW`, `add_learner VM`, `promote VM`, `remove VM`
//! * `chaos`: a random fault; `calm`: ends all faults and restarts every VM
//!
//! Checks:
//!
//! * `safe`: all nodes apply the same history, accepted writes are kept, reads are linearizable,
//!   and at most one node holds a leader lease
//! * `leaders N`, `leader VM`, `led`, `steps_down VM`, `term_at_most N`
//! * `accepted N`, `accepted_since_mark N`, `answered N` (reads): at least N
//! * `converged`, `up VM`, `down VM`, `all_up`, `refused VM TEXT` (the start failed with an error
//!   that contains TEXT), `compacted VM`
//! * `voters N`, `planned` (all membership changes are done)

mod chaos;
mod checker;
mod commands;
mod disk;
mod group;
mod network;
mod settings;
mod vm;

use wagtailshunt_core::time;

use crate::scenario::{self, Arg, Args, Line, Verdict, WorldError};
use group::Group;
use settings::Settings;

/// Creates the world; it has no settings applied and has not started.
pub fn new() -> Box<dyn scenario::World> {
    Box::new(Replication::default())
}

/// A replicated group over a fake network and fake disks.
#[derive(Debug, Default)]
struct Replication {
    settings: Settings,
    group: Option<Group>,
    /// Position of the next `lose_next` in the sequence of ordered pairs of voters.
    next_loss: u32,
}

impl Replication {
    fn group(&mut self) -> Result<&mut Group, WorldError> {
        let missing = || WorldError::Invalid("the world has not started".to_owned());
        self.group.as_mut().ok_or_else(missing)
    }
}

impl scenario::World for Replication {
    fn set(&mut self, key: &str, value: &Arg) -> Result<(), WorldError> {
        self.settings.set(key, value)
    }

    fn start(&mut self, seed: u64) -> Result<(), WorldError> {
        self.group = Some(Group::new(self.settings.clone(), seed));
        Ok(())
    }

    fn next_event(&self) -> Option<time::Instant> {
        self.group.as_ref().and_then(Group::next_event)
    }

    fn advance(&mut self, now: time::Instant) {
        if let Some(group) = &mut self.group {
            group.advance(now);
        }
    }

    fn command(&mut self, now: time::Instant, name: &str, args: &Args) -> Result<(), WorldError> {
        self.run(now, name, args)
    }

    fn check(
        &mut self,
        _now: time::Instant,
        name: &str,
        args: &Args,
    ) -> Result<Verdict, WorldError> {
        self.evaluate(name, args)
    }

    fn timeline(&mut self) -> Vec<Line> {
        let group = self.group.as_mut();
        group.map_or_else(Vec::new, |group| std::mem::take(&mut group.lines))
    }
}
