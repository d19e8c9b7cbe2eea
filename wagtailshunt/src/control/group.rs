//! Drives the Raft groups of this VM.
//!
//! Sends the messages of each node, writes its log and snapshots to disk, applies committed
//! commands to its state machine, and runs its timers. Also proposes registry commands and waits
//! for reads.

use std::{collections, rc, time};

use bytes::Bytes;
use futures_channel::{mpsc, oneshot};
use futures_util::{FutureExt, StreamExt, pin_mut, select_biased};
use wagtailshunt_core::{event, ledger, registry, replication, storage, time as core_time, types};
use wagtailshunt_wire as wire;

use crate::{
    control::{StartError, frames, leader, state, state_machine},
    disk, events, settings,
};

/// Longest time between two runs of the timer task.
const MAX_TIMER_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Time before a batch is retried on a full disk.
const DISK_FULL_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Number of entries applied since the last snapshot after which the next one is taken.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 8192;

/// Bytes of commands applied since the last snapshot after which the next one is taken.
///
/// A stored response can have 64 KiB, so a limit on entries alone would allow 512 MiB.
const SNAPSHOT_INTERVAL_BYTES: usize = 16 * 1024 * 1024;

/// Storage operations and the ticket by which the node learns that they are synced.
type Batch = (u64, Vec<storage::Op>);

/// A replicated group on this VM.
pub struct Group {
    pub id: types::GroupId,
    pub node: replication::Node,
    pub state_machine: state_machine::StateMachine,
    pub applied: types::LogIndex,
    disk: Option<disk::Store<disk::Folder>>,
    persist_tx: mpsc::UnboundedSender<Batch>,
    persist_rx: Option<mpsc::UnboundedReceiver<Batch>>,
    /// Proposed registry commands without a result, by log index.
    pending_commands: collections::BTreeMap<types::LogIndex, oneshot::Sender<registry::Reply>>,
    /// Reads that wait for a confirmed read index, by token.
    pending_reads: collections::BTreeMap<u64, oneshot::Sender<()>>,
    /// Log index at which the next snapshot is taken.
    next_snapshot_index: u64,
    /// Bytes of commands applied since the last snapshot.
    bytes_since_snapshot: usize,
    /// Whether this VM led the group at its last role change.
    leading: bool,
}

/// Reasons for which a registry command or read has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// The command was not added to the log.
    #[error(transparent)]
    Refused(#[from] replication::ProposeError),
    /// Leadership was lost before the result was known; the command may still be applied.
    #[error("leadership was lost before the result was known")]
    Unknown,
}

impl Group {
    /// Recovers a group from the data folder, or creates an empty one.
    ///
    /// # Errors
    ///
    /// [`StartError`] when the stored state is damaged or cannot be read.
    pub fn open(
        cfg: &settings::Control,
        folder: &disk::DataFolder,
        events: &events::EventLog,
        now: core_time::Instant,
        id: types::GroupId,
    ) -> Result<Group, StartError> {
        let initial = storage::Membership::of_voters(cfg.bootstrap.iter().copied());
        let initial = cfg.bootstrap.contains(&cfg.vm).then_some(&initial);
        let (disk, recovered) = folder.open_group(id, initial)?;
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
        let mut state_machine = state_machine::StateMachine::empty(id);
        let snapshot = &recovered.snapshot;
        let applied = snapshot.index;
        if !snapshot.data.is_empty() {
            state_machine
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
        let (persist_tx, persist_rx) = mpsc::unbounded();
        Ok(Group {
            id,
            node: replication::Node::new(node_cfg, recovered, now),
            state_machine,
            applied,
            disk: Some(disk),
            persist_tx,
            persist_rx: Some(persist_rx),
            pending_commands: collections::BTreeMap::new(),
            pending_reads: collections::BTreeMap::new(),
            next_snapshot_index: applied.0 + SNAPSHOT_INTERVAL_ENTRIES,
            bytes_since_snapshot: 0,
            leading: false,
        })
    }

    /// Returns whether this VM leads the group.
    pub fn is_leading(&self) -> bool {
        self.node.role() == replication::Role::Leader
    }

    /// Ends the group's disk task once its queued batches are written.
    pub fn close(&self) {
        self.persist_tx.close_channel();
    }

    /// Returns the registry; `None` for a ledger shard.
    pub fn registry(&self) -> Option<&registry::Registry> {
        match &self.state_machine {
            state_machine::StateMachine::Registry(registry) => Some(registry),
            state_machine::StateMachine::Shard(_) => None,
        }
    }

    /// Returns the shard; `None` for the registry.
    pub fn shard_mut(&mut self) -> Option<&mut state_machine::Shard> {
        match &mut self.state_machine {
            state_machine::StateMachine::Registry(_) => None,
            state_machine::StateMachine::Shard(shard) => Some(shard),
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

/// Writes the batches of one group to disk and reports each synced one to the node.
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
                        emit_storage_failed(&state, id, &err);
                    }
                    was_full = true;
                    set_disk_full(&state, id, true);
                    compio::time::sleep(DISK_FULL_RETRY_INTERVAL).await;
                    result = disk::retry(disk).await;
                }
                // After a failed sync, written pages may be lost even if a later sync succeeds. The
                // process stops, and recovers at its next start from what is on the disk.
                Ok((_, Err(err))) | Err(err) => {
                    emit_storage_failed(&state, id, &err);
                    state.stop();
                    return;
                }
            }
        };
        if was_full {
            set_disk_full(&state, id, false);
        }
        let now = state.clock.now();
        with_node(&state, id, |node| node.persisted(now, ticket));
    }
}

fn emit_storage_failed(state: &state::State, id: types::GroupId, err: &disk::Error) {
    state
        .events
        .emit(event::Id::StorageFailed, &[("group", &id), ("reason", err)]);
}

fn set_disk_full(state: &rc::Rc<state::State>, id: types::GroupId, full: bool) {
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
    process_outputs(state, id);
}

async fn run_timers(state: rc::Rc<state::State>) {
    while !state.stopped() {
        let now = state.clock.now();
        let next = next_deadline(&state, now);
        let woken = state.wake_signal().fuse();
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
        let mut next = now + MAX_TIMER_INTERVAL;
        for group in inner.groups.values() {
            let shard = match &group.state_machine {
                state_machine::StateMachine::Shard(shard) => {
                    shard.service.next_deadline(now, wall, &shard.ledger)
                }
                state_machine::StateMachine::Registry(_) => None,
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
            if let state_machine::StateMachine::Shard(shard) = &mut group.state_machine {
                shard.service.tick(now, wall, &shard.ledger);
            }
        }
        inner.groups.keys().copied().collect()
    });
    for id in ids {
        process_outputs(state, id);
    }
    leader::tick(state);
}

/// Processes the outputs of a group's node and ledger service until there are none.
pub fn process_outputs(state: &rc::Rc<state::State>, id: types::GroupId) {
    loop {
        let output = state.with(|inner| {
            let group = inner.groups.get_mut(&id)?;
            group.node.poll_output()
        });
        let Some(output) = output else {
            if !process_shard_outputs(state, id) {
                break;
            }
            continue;
        };
        process_output(state, id, output);
    }
    state.wake();
}

fn process_output(state: &rc::Rc<state::State>, id: types::GroupId, output: replication::Output) {
    match output {
        replication::Output::Send { to, msg } => {
            let body = wire::replication::encode(id, msg);
            state.links.send(to, 0, frames::replication_body(body));
        }
        replication::Output::Persist { ticket, ops } => state.with(|inner| {
            if let Some(group) = inner.groups.get(&id) {
                // The receiver is dropped only when the process stops.
                let _ = group.persist_tx.unbounded_send((ticket, ops));
            }
        }),
        replication::Output::Apply { index, command, .. } => apply(state, id, index, &command),
        replication::Output::Restore { index, data } => restore(state, id, index, &data),
        replication::Output::ReadReady { token, .. } => {
            let waiter =
                state.with(|inner| inner.groups.get_mut(&id)?.pending_reads.remove(&token));
            if let Some(tx) = waiter {
                let _ = tx.send(());
            }
        }
        replication::Output::ReadFailed { token } => {
            state.with(|inner| inner.groups.get_mut(&id)?.pending_reads.remove(&token));
        }
        replication::Output::Role { role, term } => role_changed(state, id, role, term),
        replication::Output::Rejected { index } => state.with(|inner| {
            let Some(group) = inner.groups.get_mut(&id) else {
                return;
            };
            group.pending_commands.remove(&index);
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
        group.bytes_since_snapshot += command.len();
        Some(group.state_machine.apply(index, command))
    });
    match applied {
        None => {}
        Some(Err(reason)) => {
            state.events.emit(
                event::Id::StorageFailed,
                &[("group", &id), ("reason", &reason)],
            );
            log::error!(
                "group {id}: cannot decode command {index}: {reason}; stopping the process"
            );
            state.stop();
        }
        Some(Ok(state_machine::Applied::Registry(reply))) => {
            let waiter =
                state.with(|inner| inner.groups.get_mut(&id)?.pending_commands.remove(&index));
            leader::handle_applied(state, &reply);
            if let Some(tx) = waiter {
                // The operator may have disconnected. The change is kept.
                let _ = tx.send(reply);
            }
        }
        Some(Ok(state_machine::Applied::Ledger { command, reply })) => state.with(|inner| {
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
        if group.applied.0 < group.next_snapshot_index
            && group.bytes_since_snapshot < SNAPSHOT_INTERVAL_BYTES
        {
            return None;
        }
        group.bytes_since_snapshot = 0;
        let data = group.state_machine.snapshot();
        let bytes = data.len();
        group.next_snapshot_index = group.applied.0 + SNAPSHOT_INTERVAL_ENTRIES;
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
        group.next_snapshot_index = index.0 + SNAPSHOT_INTERVAL_ENTRIES;
        let later = group
            .pending_commands
            .split_off(&types::LogIndex(index.0 + 1));
        // The snapshot does not contain the results of the commands up to its index, so their
        // waiting callers get `CommandError::Unknown`.
        group.pending_commands = later;
        Some(group.state_machine.restore(data))
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
            // The next leader may still commit commands that have no result yet.
            group.pending_commands.clear();
            group.pending_reads.clear();
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

/// Processes the outputs of the group's ledger service; returns whether there were any.
fn process_shard_outputs(state: &rc::Rc<state::State>, id: types::GroupId) -> bool {
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
            Some(ledger::Output::Reply { token, reply }) => {
                frames::send_ledger_reply(state, token, &reply)
            }
            Some(ledger::Output::Propose { .. }) => {}
        }
        any = true;
    }
}

/// Proposes a registry command and waits for its result.
///
/// # Errors
///
/// [`CommandError::Refused`] when the command was not added to the log, [`CommandError::Unknown`]
/// when leadership was lost first.
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
        group.pending_commands.insert(index, tx);
        Ok(())
    })?;
    process_outputs(state, group);
    rx.await.map_err(|_| CommandError::Unknown)
}

/// Waits until the registry on this VM includes every change accepted before the call.
///
/// # Errors
///
/// [`CommandError`] when this VM does not lead group 0 or loses leadership first.
pub async fn read_barrier(state: &rc::Rc<state::State>) -> Result<(), CommandError> {
    let now = state.clock.now();
    let id = types::GroupId(0);
    let (tx, rx) = oneshot::channel();
    state.with(|inner| {
        let token = inner.new_token();
        let Some(group) = inner.groups.get_mut(&id) else {
            return Err(replication::ProposeError::Busy);
        };
        group.node.read_index(now, token)?;
        group.pending_reads.insert(token, tx);
        Ok(())
    })?;
    process_outputs(state, id);
    rx.await.map_err(|_| CommandError::Unknown)
}

/// Transfers the leadership of all groups to other voters, for a planned stop.
pub async fn transfer_leadership(state: &rc::Rc<state::State>) {
    // The leadership of a group is transferred only once. The other VMs may be stopping as well,
    // and would transfer it back and forth.
    let mut transferred = collections::BTreeSet::new();
    loop {
        let now = state.clock.now();
        let leading: Vec<types::GroupId> = state.with(|inner| {
            let leading = |group: &&mut Group| group.node.role() == replication::Role::Leader;
            let mut ids = Vec::new();
            for group in inner.groups.values_mut().filter(leading) {
                // A single voter has no VM to transfer leadership to.
                let already_transferred = transferred.contains(&group.id);
                if group.node.members().voters.len() > 1 && !already_transferred {
                    group.node.transfer_leadership(now, None);
                    ids.push(group.id);
                }
            }
            ids
        });
        if leading.iter().all(|id| transferred.contains(id)) {
            return;
        }
        for id in leading {
            process_outputs(state, id);
        }
        compio::time::sleep(time::Duration::from_millis(100)).await;
        let is_leading = |id: &types::GroupId| {
            state.with(|inner| inner.groups.get(id).is_some_and(Group::is_leading))
        };
        let ids: Vec<types::GroupId> = state.with(|inner| inner.groups.keys().copied().collect());
        transferred.extend(ids.into_iter().filter(|id| !is_leading(id)));
    }
}
