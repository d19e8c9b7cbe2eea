//! Measures commits of three nodes in one process, each with files on a real disk.

use std::sync::mpsc;
use std::{collections, fs, io, path, thread, time};

use bytes::Bytes;
use wagtailshunt::disk;
use wagtailshunt_core::time::Instant;
use wagtailshunt_core::types::{GroupId, LogIndex, VmId};
use wagtailshunt_core::{replication, storage};

use super::{Commits, Durations, Error, unused_folder};

/// Size of each command in bytes.
const COMMAND_BYTES: usize = 256;

/// Number of nodes in the group.
const NODES: u32 = 3;

/// A batch of file operations for a disk thread, with its ticket.
type Batch = (u64, Vec<storage::Op>);

/// Result of a batch: the node, the ticket and the result of the disk.
type SyncedBatch = (VmId, u64, Result<(), disk::Error>);

struct Member {
    node: replication::Node,
    disk: mpsc::Sender<Batch>,
    batches: u64,
}

struct Bench {
    origin: time::Instant,
    members: collections::BTreeMap<VmId, Member>,
    synced: mpsc::Receiver<SyncedBatch>,
    /// Time of proposal of each uncommitted command.
    proposed: collections::BTreeMap<LogIndex, time::Instant>,
    latency: Durations,
}

/// Measures commits with `proposers` clients, each of which proposes its next command when the
/// previous one is applied on the leader.
///
/// Messages between the nodes take no time. The run lasts `length`, or until the first commit if
/// that takes longer.
///
/// # Errors
///
/// Returns any error of the disk layer.
pub fn commits(
    parent: &path::Path,
    proposers: usize,
    length: time::Duration,
) -> Result<Commits, Error> {
    let folder = unused_folder(parent, "commit")?;
    let result = thread::scope(|scope| {
        let mut bench = Bench::new(&folder, scope)?;
        let leader = bench.elect()?;
        bench.measure(leader, proposers, length)
    });
    fs::remove_dir_all(&folder)?;
    result
}

fn thread_ended<T>(_: T) -> io::Error {
    io::Error::other("a disk thread ended")
}

impl Bench {
    fn new<'scope>(
        folder: &path::Path,
        scope: &'scope thread::Scope<'scope, '_>,
    ) -> Result<Bench, Error> {
        let (done, synced) = mpsc::channel();
        let voters = storage::Membership::of_voters((1..=NODES).map(VmId));
        let mut members = collections::BTreeMap::new();
        for id in voters.iter() {
            let data = disk::DataFolder::open(folder.join(id.to_string()))?;
            let (mut store, recovered) = data.open_group(GroupId(0), Some(&voters))?;
            let cfg = replication::Config {
                id,
                ..replication::Config::default()
            };
            let node = replication::Node::new(cfg, recovered, Instant(0));
            let (disk, batches) = mpsc::channel::<Batch>();
            let done = done.clone();
            scope.spawn(move || {
                // Moving `data` into the thread keeps the folder locked.
                let _data = data;
                for (ticket, ops) in batches {
                    let result = store.execute(&ops);
                    if done.send((id, ticket, result)).is_err() {
                        return;
                    }
                }
            });
            let batches = 0;
            members.insert(
                id,
                Member {
                    node,
                    disk,
                    batches,
                },
            );
        }
        Ok(Bench {
            origin: time::Instant::now(),
            members,
            synced,
            proposed: collections::BTreeMap::new(),
            latency: Durations::new()?,
        })
    }

    fn now(&self) -> Instant {
        Instant(0) + self.origin.elapsed()
    }

    /// Runs until a node holds a valid leader lease and returns its id.
    fn elect(&mut self) -> Result<VmId, Error> {
        loop {
            self.run_once()?;
            let now = self.now();
            for (id, member) in &self.members {
                // A leader with a lease has committed the first entry of its term.
                if member.node.lease_valid_until(now).is_some() {
                    return Ok(*id);
                }
            }
        }
    }

    fn measure(
        mut self,
        leader: VmId,
        proposers: usize,
        length: time::Duration,
    ) -> Result<Commits, Error> {
        let batches = self.members[&leader].batches;
        let begin = time::Instant::now();
        while begin.elapsed() < length || self.latency.count() == 0 {
            let missing = proposers - self.proposed.len();
            self.propose(leader, missing);
            self.run_once()?;
        }
        Ok(Commits {
            proposers,
            latency: self.latency,
            elapsed: begin.elapsed(),
            batches: self.members[&leader].batches - batches,
        })
    }

    fn propose(&mut self, leader: VmId, count: usize) {
        let now = self.now();
        let Some(member) = self.members.get_mut(&leader) else {
            return;
        };
        for _ in 0..count {
            let command = Bytes::from(vec![7; COMMAND_BYTES]);
            if let Ok(index) = member.node.propose(now, command) {
                self.proposed.insert(index, time::Instant::now());
            }
        }
    }

    /// Processes all outputs, waits for a synced batch or a timer, and processes the new outputs.
    fn run_once(&mut self) -> Result<(), Error> {
        self.process_outputs()?;
        let now = self.now();
        let due = self.members.values().filter_map(|m| m.node.next_deadline());
        let due = due.min().unwrap_or(now);
        match self.synced.recv_timeout(due.since(now)) {
            Ok(synced) => self.handle_synced(synced)?,
            Err(mpsc::RecvTimeoutError::Timeout) => {}
            Err(err) => return Err(thread_ended(err).into()),
        }
        while let Ok(synced) = self.synced.try_recv() {
            self.handle_synced(synced)?;
        }
        let now = self.now();
        for member in self.members.values_mut() {
            if member.node.next_deadline().is_some_and(|due| due <= now) {
                member.node.tick(now);
            }
        }
        self.process_outputs()
    }

    fn handle_synced(&mut self, (id, ticket, result): SyncedBatch) -> Result<(), Error> {
        result?;
        let now = self.now();
        if let Some(member) = self.members.get_mut(&id) {
            member.node.persisted(now, ticket);
        }
        Ok(())
    }

    fn process_outputs(&mut self) -> Result<(), Error> {
        loop {
            let mut messages = Vec::new();
            let now = self.now();
            for (id, member) in &mut self.members {
                while let Some(output) = member.node.poll_output() {
                    match output {
                        replication::Output::Send { to, msg } => messages.push((*id, to, msg)),
                        replication::Output::Persist { ticket, ops } => {
                            member.batches += 1;
                            member.disk.send((ticket, ops)).map_err(thread_ended)?;
                        }
                        replication::Output::Apply { index, .. }
                            if member.node.role() == replication::Role::Leader =>
                        {
                            if let Some(begin) = self.proposed.remove(&index) {
                                self.latency.record(begin.elapsed());
                            }
                        }
                        _ => {}
                    }
                }
            }
            if messages.is_empty() {
                return Ok(());
            }
            for (from, to, msg) in messages {
                if let Some(member) = self.members.get_mut(&to) {
                    member.node.step(now, from, msg);
                }
            }
        }
    }
}
