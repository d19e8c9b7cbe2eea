//! Running the replicated groups: outputs of the nodes, disk, timers.

use std::{collections, rc, time};

use bytes::Bytes;
use futures_channel::{mpsc, oneshot};
use futures_util::{FutureExt, StreamExt, pin_mut, select_biased};
use wagtailshunt_core::{event, ledger, registry, replication, storage, time as core_time, types};
use wagtailshunt_wire as wire;

use crate::{
    control::{StartError, frames, leader, machine, state},
    disk, events, settings,
};

/// Longest pause of the timer task.
const MAX_PAUSE: time::Duration = time::Duration::from_millis(200);

/// Pause before a batch is tried again on a full disk.
const DISK_FULL_PAUSE: time::Duration = time::Duration::from_millis(500);

/// A snapshot is taken when this many entries have been applied since the last one.
const SNAPSHOT_ENTRIES: u64 = 8192;

/// A snapshot is also taken after this many bytes of commands: stored answers reach 64 KiB, so that
/// the entries alone could hold 512 MiB.
const SNAPSHOT_BYTES: usize = 16 * 1024 * 1024;

type Batch = (u64, Vec<storage::Op>);

/// A replicated group on this VM.
pub struct Group {
    pub id: types::GroupId,
    pub node: replication::Node,
    pub machine: machine::Machine,
    pub applied: types::LogIndex,
    disk: Option<disk::Store<disk::Folder>>,
    persist: mpsc::UnboundedSender<Batch>,
    persist_rx: Option<mpsc::UnboundedReceiver<Batch>>,
    waiters: collections::BTreeMap<types::LogIndex, oneshot::Sender<registry::Reply>>,
    reads: collections::BTreeMap<u64, oneshot::Sender<()>>,
    snapshot_at: u64,
    /// Bytes of commands applied since the last snapshot.
    applied_bytes: usize,
    leading: bool,
}

/// Why a registry command or read got no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// The command was not stored.
    #[error(transparent)]
    Refused(#[from] replication::ProposeError),
    /// Leadership was lost before the result was known; the command may still be applied.
    #[error("leadership was lost before the result was known")]
    Unknown,
}

impl Group {
    /// Recovers a group from the data folder, or starts an empty one.
    pub fn open(
        cfg: &settings::Control,
        folder: &disk::DataFolder,
        events: &events::EventLog,
        now: core_time::Instant,
        id: types::GroupId,
    ) -> Result<Group, StartError> {
        let initial = storage::Membership::of_voters(cfg.bootstrap.iter().copied());
        let initial = cfg.bootstrap.contains(&cfg.vm).then_some(&initial);
        let (disk, recovered) = folder.group(id, initial)?;
        let entries = recovered.entries.len();
        let timing = &cfg.timing;
        let node_cfg = replication::Config {
            id: cfg.vm,
            group: id,
            heartbeat: time::Duration::from_millis(timing.heartbeat_ms),
            election_min: time::Duration::from_millis(timing.election_min_ms),
            election_max: time::Duration::from_millis(timing.election_max_ms),
            seed: u64::from(cfg.vm.0) << 32 | u64::from(id.0),
            ..replication::Config::default()
        };
        let mut machine = machine::Machine::empty(id);
        let snapshot = &recovered.snapshot;
        let applied = snapshot.index;
        if !snapshot.data.is_empty() {
            machine
                .restore(&snapshot.data)
                .map_err(|reason| StartError::State { group: id, reason })?;
        }
        events.emit(
            event::Id::StorageRecovered,
            &[
                ("group", &id),
                ("snapshot", &applied),
                ("entries", &entries),
                ("cut", &disk.torn_bytes()),
            ],
        );
        let (persist, persist_rx) = mpsc::unbounded();
        Ok(Group {
            id,
            node: replication::Node::new(node_cfg, recovered, now),
            machine,
            applied,
            disk: Some(disk),
            persist,
            persist_rx: Some(persist_rx),
            waiters: collections::BTreeMap::new(),
            reads: collections::BTreeMap::new(),
            snapshot_at: applied.0 + SNAPSHOT_ENTRIES,
            applied_bytes: 0,
            leading: false,
        })
    }

    /// Returns whether this VM leads the group.
    pub fn is_leading(&self) -> bool {
        self.node.role() == replication::Role::Leader
    }

    /// Ends the group's disk task after its current batch.
    pub fn close(&self) {
        self.persist.close_channel();
    }

    /// Returns the registry; `None` for a ledger shard.
    pub fn registry(&self) -> Option<&registry::Registry> {
        match &self.machine {
            machine::Machine::Registry(registry) => Some(registry),
            machine::Machine::Shard(_) => None,
        }
    }

    /// Returns the shard; `None` for the registry.
    pub fn shard_mut(&mut self) -> Option<&mut machine::Shard> {
        match &mut self.machine {
            machine::Machine::Registry(_) => None,
            machine::Machine::Shard(shard) => Some(shard),
        }
    }
}

/// Starts the disk tasks and the timer task.
pub fn start(state: &rc::Rc<state::State>) {
    let mut disks = Vec::new();
    state.with(|inner| {
        for group in inner.groups.values_mut() {
            if let (Some(disk), Some(rx)) = (group.disk.take(), group.persist_rx.take()) {
                disks.push((group.id, disk, rx));
            }
        }
    });
    for (id, disk, rx) in disks {
        compio::runtime::spawn(run_disk(state.clone(), id, disk, rx)).detach();
    }
    compio::runtime::spawn(run_timers(state.clone())).detach();
}

/// Carries out the batches of one group, several in one sync when they have queued up.
async fn run_disk(
    state: rc::Rc<state::State>,
    id: types::GroupId,
    mut disk: disk::Store<disk::Folder>,
    mut rx: mpsc::UnboundedReceiver<Batch>,
) {
    while let Some((ticket, ops)) = rx.next().await {
        let mut result = disk::execute(disk, ops).await;
        let mut was_full = false;
        disk = loop {
            if state.stopped() {
                return;
            }
            match result {
                Ok((disk, Ok(()))) => break disk,
                Ok((disk, Err(err @ disk::Error::Full { .. }))) => {
                    if !was_full {
                        storage_failed(&state, id, &err);
                    }
                    was_full = true;
                    disk_full(&state, id, true);
                    compio::time::sleep(DISK_FULL_PAUSE).await;
                    result = disk::retry(disk).await;
                }
                // After a failed sync the pages may be lost although a later sync succeeds, so the
                // process ends and recovers from what the disk really holds.
                Ok((_, Err(err))) | Err(err) => {
                    storage_failed(&state, id, &err);
                    state.stop();
                    return;
                }
            }
        };
        if was_full {
            disk_full(&state, id, false);
        }
        let now = state.clock.now();
        with_node(&state, id, |node| node.persisted(now, ticket));
    }
}

fn storage_failed(state: &state::State, id: types::GroupId, err: &disk::Error) {
    state
        .events
        .emit(event::Id::StorageFailed, &[("group", &id), ("reason", err)]);
}

fn disk_full(state: &rc::Rc<state::State>, id: types::GroupId, full: bool) {
    let now = state.clock.now();
    with_node(state, id, |node| node.set_disk_full(now, full));
}

fn with_node(
    state: &rc::Rc<state::State>,
    id: types::GroupId,
    f: impl FnOnce(&mut replication::Node),
) {
    state.with(|inner| {
        if let Some(group) = inner.groups.get_mut(&id) {
            f(&mut group.node);
        }
    });
    pump(state, id);
}

async fn run_timers(state: rc::Rc<state::State>) {
    while !state.stopped() {
        let now = state.clock.now();
        let next = next_deadline(&state, now);
        let woken = state.woken().fuse();
        let timer = state.clock.sleep_until(next).fuse();
        pin_mut!(woken, timer);
        select_biased! {
            _ = woken => {}
            () = timer => {}
        }
        if state.stopped() {
            return;
        }
        tick(&state);
    }
}

fn next_deadline(state: &state::State, now: core_time::Instant) -> core_time::Instant {
    let wall = state.clock.wall();
    state.with(|inner| {
        let mut next = now + MAX_PAUSE;
        for group in inner.groups.values() {
            let shard = match &group.machine {
                machine::Machine::Shard(shard) => {
                    shard.service.next_deadline(now, wall, &shard.ledger)
                }
                machine::Machine::Registry(_) => None,
            };
            let due = group.node.next_deadline().into_iter().chain(shard).min();
            next = due.map_or(next, |due| next.min(due));
        }
        if let Some(leader) = &inner.leader {
            next = leader.next_deadline(now).map_or(next, |due| next.min(due));
        }
        next.max(now)
    })
}

fn tick(state: &rc::Rc<state::State>) {
    let now = state.clock.now();
    let wall = state.clock.wall();
    let ids: Vec<types::GroupId> = state.with(|inner| {
        for group in inner.groups.values_mut() {
            if group.node.next_deadline().is_some_and(|due| due <= now) {
                group.node.tick(now);
            }
            if let machine::Machine::Shard(shard) = &mut group.machine {
                shard.service.tick(now, wall, &shard.ledger);
            }
        }
        inner.groups.keys().copied().collect()
    });
    for id in ids {
        pump(state, id);
    }
    leader::tick(state);
}

/// Carries out what the node of a group asks for, until it asks for nothing more.
pub fn pump(state: &rc::Rc<state::State>, id: types::GroupId) {
    loop {
        let output = state.with(|inner| {
            let group = inner.groups.get_mut(&id)?;
            group.node.poll_output()
        });
        let Some(output) = output else {
            if !pump_shard(state, id) {
                break;
            }
            continue;
        };
        run(state, id, output);
    }
    state.wake();
}

fn run(state: &rc::Rc<state::State>, id: types::GroupId, output: replication::Output) {
    match output {
        replication::Output::Send { to, msg } => {
            let body = wire::replication::encode(id, msg);
            state.links.send(to, 0, frames::replication(body));
        }
        replication::Output::Persist { ticket, ops } => state.with(|inner| {
            if let Some(group) = inner.groups.get(&id) {
                // The receiver is gone only when the process is ending.
                let _ = group.persist.unbounded_send((ticket, ops));
            }
        }),
        replication::Output::Apply { index, command, .. } => apply(state, id, index, &command),
        replication::Output::Restore { index, data } => restore(state, id, index, &data),
        replication::Output::ReadReady { token, .. } => {
            let waiter = state.with(|inner| inner.groups.get_mut(&id)?.reads.remove(&token));
            if let Some(tx) = waiter {
                let _ = tx.send(());
            }
        }
        replication::Output::ReadFailed { token } => {
            state.with(|inner| inner.groups.get_mut(&id)?.reads.remove(&token));
        }
        replication::Output::Role { role, term } => role_changed(state, id, role, term),
        replication::Output::Rejected { index } => state.with(|inner| {
            let Some(group) = inner.groups.get_mut(&id) else {
                return;
            };
            group.waiters.remove(&index);
            if let Some(shard) = group.shard_mut() {
                shard.service.replaced(index);
            }
        }),
    }
}

fn apply(
    state: &rc::Rc<state::State>,
    id: types::GroupId,
    index: types::LogIndex,
    command: &Bytes,
) {
    let now = state.clock.now();
    let wall = state.clock.wall();
    let applied = state.with(|inner| {
        let group = inner.groups.get_mut(&id)?;
        group.applied = index;
        group.applied_bytes += command.len();
        Some(group.machine.apply(index, command))
    });
    match applied {
        None => {}
        Some(Err(reason)) => {
            state.events.emit(
                event::Id::StorageFailed,
                &[("group", &id), ("reason", &reason)],
            );
            log::error!("group {id}: command {index} cannot be applied: {reason}; stopping");
            state.stop();
        }
        Some(Ok(machine::Applied::Registry(reply))) => {
            let waiter = state.with(|inner| inner.groups.get_mut(&id)?.waiters.remove(&index));
            leader::applied(state, &reply);
            if let Some(tx) = waiter {
                // The operator's connection may have ended; the change stays.
                let _ = tx.send(reply);
            }
        }
        Some(Ok(machine::Applied::Ledger { command, reply })) => state.with(|inner| {
            if let Some(shard) = inner.groups.get_mut(&id).and_then(Group::shard_mut) {
                shard
                    .service
                    .applied(now, wall, index, &command, reply, &shard.ledger);
            }
        }),
    }
    maybe_snapshot(state, id);
}

fn maybe_snapshot(state: &state::State, id: types::GroupId) {
    let now = state.clock.now();
    let taken = state.with(|inner| {
        let group = inner.groups.get_mut(&id)?;
        if group.applied.0 < group.snapshot_at && group.applied_bytes < SNAPSHOT_BYTES {
            return None;
        }
        group.applied_bytes = 0;
        let data = group.machine.snapshot();
        let bytes = data.len();
        group.snapshot_at = group.applied.0 + SNAPSHOT_ENTRIES;
        group.node.snapshot_taken(now, group.applied, data);
        Some((group.applied, bytes))
    });
    if let Some((index, bytes)) = taken {
        state.events.emit(
            event::Id::SnapshotTaken,
            &[("group", &id), ("index", &index), ("bytes", &bytes)],
        );
    }
}

fn restore(state: &rc::Rc<state::State>, id: types::GroupId, index: types::LogIndex, data: &Bytes) {
    let result = state.with(|inner| {
        let group = inner.groups.get_mut(&id)?;
        group.applied = index;
        group.snapshot_at = index.0 + SNAPSHOT_ENTRIES;
        let later = group.waiters.split_off(&types::LogIndex(index.0 + 1));
        // Results up to the snapshot are not known; their waiters are dropped.
        group.waiters = later;
        Some(group.machine.restore(data))
    });
    match result {
        Some(Err(reason)) => {
            state.events.emit(
                event::Id::StorageFailed,
                &[("group", &id), ("reason", &reason)],
            );
            state.stop();
        }
        _ => state.events.emit(
            event::Id::SnapshotInstalled,
            &[("group", &id), ("index", &index)],
        ),
    }
}

fn role_changed(
    state: &rc::Rc<state::State>,
    id: types::GroupId,
    role: replication::Role,
    term: types::Term,
) {
    let leading = role == replication::Role::Leader;
    let now = state.clock.now();
    let wall = state.clock.wall();
    let leader = state
        .leader_of(id)
        .map_or("none".to_owned(), |vm| vm.to_string());
    state.events.emit(
        event::Id::RoleChanged,
        &[
            ("group", &id),
            ("role", &role),
            ("term", &term),
            ("leader", &leader),
        ],
    );
    let was_leading = state.with(|inner| {
        let Some(group) = inner.groups.get_mut(&id) else {
            return leading;
        };
        let was = std::mem::replace(&mut group.leading, leading);
        if was && !leading {
            // Commands without a result may still be applied under the next leader.
            group.waiters.clear();
            group.reads.clear();
        }
        if let Some(shard) = group.shard_mut() {
            match (was, leading) {
                (false, true) => shard.service.become_leader(now, wall, &shard.ledger),
                (true, false) => shard.service.step_down(),
                _ => {}
            }
        }
        was
    });
    if id.0 == 0 && was_leading != leading {
        leader::role_changed(state, leading, term);
    }
}

/// Carries out what the service of a ledger shard asks for; returns whether there was something.
fn pump_shard(state: &rc::Rc<state::State>, id: types::GroupId) -> bool {
    let now = state.clock.now();
    let mut any = false;
    loop {
        let output = state.with(|inner| {
            let group = inner.groups.get_mut(&id)?;
            let output = group.shard_mut()?.service.poll_output()?;
            if let ledger::Output::Propose { ticket, command } = &output {
                let bytes = wire::ledger::encode_command(command);
                let proposed = group.node.propose(now, bytes);
                if let Some(shard) = group.shard_mut() {
                    match proposed {
                        Ok(index) => shard.service.proposed(*ticket, index),
                        Err(_) => shard.service.rejected(*ticket),
                    }
                }
            }
            Some(output)
        });
        match output {
            None => return any,
            Some(ledger::Output::Reply { token, reply }) => frames::answer(state, token, &reply),
            Some(ledger::Output::Propose { .. }) => {}
        }
        any = true;
    }
}

/// Proposes a registry command and waits for its result.
pub async fn propose(
    state: &rc::Rc<state::State>,
    command: &registry::Command,
) -> Result<registry::Reply, CommandError> {
    let now = state.clock.now();
    let group = types::GroupId(0);
    let (tx, rx) = oneshot::channel();
    state.with(|inner| {
        let Some(group) = inner.groups.get_mut(&group) else {
            return Err(replication::ProposeError::Busy);
        };
        let index = group
            .node
            .propose(now, wire::records::encode_command(command))?;
        group.waiters.insert(index, tx);
        Ok(())
    })?;
    pump(state, group);
    rx.await.map_err(|_| CommandError::Unknown)
}

/// Waits until a read of the registry cannot miss an accepted change.
pub async fn read(state: &rc::Rc<state::State>) -> Result<(), CommandError> {
    let now = state.clock.now();
    let id = types::GroupId(0);
    let (tx, rx) = oneshot::channel();
    state.with(|inner| {
        let token = inner.token();
        let Some(group) = inner.groups.get_mut(&id) else {
            return Err(replication::ProposeError::Busy);
        };
        group.node.read_index(now, token)?;
        group.reads.insert(token, tx);
        Ok(())
    })?;
    pump(state, id);
    rx.await.map_err(|_| CommandError::Unknown)
}

/// Hands the leadership of all groups over before a planned stop.
pub async fn hand_over(state: &rc::Rc<state::State>) {
    // A group that comes back is led until the end: the other VMs may be stopping as well, and
    // would hand it back and forth.
    let mut handed_over = collections::BTreeSet::new();
    loop {
        let now = state.clock.now();
        let leading: Vec<types::GroupId> = state.with(|inner| {
            let leading = |group: &&mut Group| group.node.role() == replication::Role::Leader;
            let mut ids = Vec::new();
            for group in inner.groups.values_mut().filter(leading) {
                // The only voter has nobody to hand over to.
                let gone = handed_over.contains(&group.id);
                if group.node.members().voters.len() > 1 && !gone {
                    group.node.transfer_leadership(now, None);
                    ids.push(group.id);
                }
            }
            ids
        });
        if leading.iter().all(|id| handed_over.contains(id)) {
            return;
        }
        for id in leading {
            pump(state, id);
        }
        compio::time::sleep(time::Duration::from_millis(100)).await;
        let led = |id: &types::GroupId| {
            state.with(|inner| inner.groups.get(id).is_some_and(Group::is_leading))
        };
        let ids: Vec<types::GroupId> = state.with(|inner| inner.groups.keys().copied().collect());
        handed_over.extend(ids.into_iter().filter(|id| !led(id)));
    }
}
