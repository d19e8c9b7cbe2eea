//! This VM's member of the replicated log: executes the outputs of the Raft node and drives its
//! timers.
//!
//! The node decides on elections and commits. This module sends its messages, stores its entries on
//! the disk or in memory, applies committed commands, and returns their results to whoever proposed
//! them.

use std::{collections, rc, time};

use bytes::Bytes;
use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use wagtailshunt_core::{event, replication, state_machine, storage, time as core_time, types};
use wagtailshunt_wire as wire;

use crate::{
    disk,
    entry::{leader_sync, state},
};

/// Id of the single replicated group of entry VMs.
pub const GROUP: types::GroupId = types::GroupId(0);

/// Heartbeat interval of the leader.
const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Range of election timeouts: at least three heartbeats, and long enough for a slow disk sync. Reads
/// are confirmed by a round of heartbeats; the grants of `allowance` rely on the shortest timeout,
/// which is the leader's lease. Otherwise they only balance fast failover against needless elections.
const ELECTION_TIMEOUT_MIN: time::Duration = time::Duration::from_millis(300);
const ELECTION_TIMEOUT_MAX: time::Duration = time::Duration::from_millis(700);

/// Interval at which a write is retried on a full disk.
const DISK_FULL_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Applied entries after which a snapshot is taken; a change of one item is about 1 KiB.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 512;

/// Bytes of applied commands after which a snapshot is taken as well, which bounds the disk usage.
const SNAPSHOT_INTERVAL_BYTES: usize = 4 * 1024 * 1024;

/// A batch of storage operations with the ticket that the node uses to confirm it.
type PersistBatch = (u64, Vec<storage::Op>);

/// This VM's member of the replicated log.
pub struct Replica {
    pub node: replication::Node,
    /// Batches for the task that stores them.
    persist_tx: mpsc::UnboundedSender<PersistBatch>,
    /// Proposers that wait for the result of a command, by index.
    pending_commands: collections::BTreeMap<types::LogIndex, oneshot::Sender<state_machine::Reply>>,
    /// Reads that wait for confirmation of the leadership, by token.
    pending_reads: collections::BTreeMap<u64, oneshot::Sender<()>>,
    last_read_token: u64,
    /// Applied index at which the next snapshot is due.
    next_snapshot_index: u64,
    /// Bytes of commands applied since the last snapshot.
    bytes_since_snapshot: usize,
}

/// Errors of a command or read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// The node rejected the command or read; it has no effect.
    #[error(transparent)]
    Refused(#[from] replication::ProposeError),
    /// The command cannot be encoded.
    #[error("the command cannot be encoded")]
    Encode,
    /// Leadership was lost or the timeout expired before the result was known.
    #[error("leadership was lost or the timeout expired; the result is unknown")]
    Unknown,
}

impl Replica {
    /// Returns whether this VM leads.
    pub fn is_leading(&self) -> bool {
        self.node.role() == replication::Role::Leader
    }

    /// Returns whether this member belongs to a group or has entries of one.
    pub fn is_bootstrapped(&self) -> bool {
        !self.node.members().voters.is_empty() || self.node.last_index().0 > 0
    }
}

/// Creates the member from the state recovered from the disk.
pub fn open(
    state: &rc::Rc<state::State>,
    store: disk::Store<disk::Folder>,
    recovered: storage::Recovered,
) {
    state.events.emit(
        event::Id::StorageRecovered,
        &[
            ("group", &GROUP),
            ("snapshot", &recovered.snapshot.index),
            ("entries", &recovered.entries.len()),
            ("cut", &store.torn_bytes()),
        ],
    );
    let rx = create(state, recovered);
    compio::runtime::spawn(write_batches(state.clone(), store, rx)).detach();
    process_outputs(state);
}

/// Creates a member that keeps its state in memory. Each process has a new id, so that a restarted
/// VM never votes under an id whose votes it has lost.
pub fn open_in_memory(state: &rc::Rc<state::State>) {
    let rx = create(state, storage::Recovered::default());
    compio::runtime::spawn(confirm_in_memory(state.clone(), rx)).detach();
    process_outputs(state);
}

fn create(
    state: &rc::Rc<state::State>,
    recovered: storage::Recovered,
) -> mpsc::UnboundedReceiver<PersistBatch> {
    let now = state.clock.now();
    let (persist_tx, rx) = mpsc::unbounded();
    let next_snapshot_index = recovered.snapshot.index.0 + SNAPSHOT_INTERVAL_ENTRIES;
    let replica = Replica {
        node: replication::Node::new(config(state), recovered, now),
        persist_tx,
        pending_commands: collections::BTreeMap::new(),
        pending_reads: collections::BTreeMap::new(),
        last_read_token: 0,
        next_snapshot_index,
        bytes_since_snapshot: 0,
    };
    state.with(|inner| inner.replica = Some(replica));
    rx
}

fn config(state: &state::State) -> replication::Config {
    replication::Config {
        id: state.vm,
        group: GROUP,
        seed: state.incarnation.0,
        heartbeat: HEARTBEAT_INTERVAL,
        election_min: ELECTION_TIMEOUT_MIN,
        election_max: ELECTION_TIMEOUT_MAX,
        ..replication::Config::default()
    }
}

/// Bootstraps the group with the initial voters; returns `false` when this member has a group
/// already.
pub fn bootstrap(state: &rc::Rc<state::State>, voters: &[types::VmId]) -> bool {
    let now = state.clock.now();
    let membership = storage::Membership::of_voters(voters.iter().copied());
    let recovered = storage::Recovered::bootstrap(membership);
    let cfg = config(state);
    let bootstrapped = state.with(|inner| {
        let Some(replica) = &mut inner.replica else {
            return false;
        };
        if replica.is_bootstrapped() {
            return false;
        }
        // Batches are stored in order, so the initial membership is stored before any batch of the
        // node. Nodes never use ticket 0.
        let ops = vec![storage::Op::Snapshot(recovered.snapshot.clone())];
        if replica.persist_tx.unbounded_send((0, ops)).is_err() {
            return false;
        }
        replica.node = replication::Node::new(cfg, recovered, now);
        true
    });
    process_outputs(state);
    bootstrapped
}

/// Confirms batches at once on a VM without a disk.
async fn confirm_in_memory(
    state: rc::Rc<state::State>,
    mut rx: mpsc::UnboundedReceiver<PersistBatch>,
) {
    while let Some((ticket, _)) = rx.next().await {
        let now = state.clock.now();
        with_node(&state, |node| node.persisted(now, ticket));
    }
}

/// Writes batches to the disk in order and confirms each to the node.
async fn write_batches(
    state: rc::Rc<state::State>,
    mut disk: disk::Store<disk::Folder>,
    mut rx: mpsc::UnboundedReceiver<PersistBatch>,
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
                        storage_failed(&state, &err);
                    }
                    was_full = true;
                    disk_full(&state, true);
                    compio::time::sleep(DISK_FULL_RETRY_INTERVAL).await;
                    result = disk::retry(disk).await;
                }
                // After a failed sync, pages may be lost although a later sync succeeds. The
                // process ends and recovers from the actual content of the disk.
                Ok((_, Err(err))) | Err(err) => {
                    storage_failed(&state, &err);
                    state.fail();
                    return;
                }
            }
        };
        if was_full {
            disk_full(&state, false);
        }
        let now = state.clock.now();
        with_node(&state, |node| node.persisted(now, ticket));
    }
}

fn storage_failed(state: &state::State, err: &disk::Error) {
    let id = event::Id::StorageFailed;
    state.events.emit(id, &[("group", &GROUP), ("reason", err)]);
}

/// Handles a disk that has become full or takes writes again. While it is full, the node neither
/// votes nor leads, and calls are served as before.
fn disk_full(state: &rc::Rc<state::State>, full: bool) {
    let now = state.clock.now();
    let was_full = state.metrics.disk_full.get() == 1;
    if full != was_full {
        state.metrics.disk_full.set(i64::from(full));
        state
            .events
            .emit(event::Id::DiskFull, &[("group", &GROUP), ("full", &full)]);
    }
    with_node(state, |node| node.set_disk_full(now, full));
}

fn with_node(state: &rc::Rc<state::State>, f: impl FnOnce(&mut replication::Node)) {
    state.with(|inner| {
        if let Some(replica) = &mut inner.replica {
            f(&mut replica.node);
        }
    });
    process_outputs(state);
}

/// Passes a message of another member to the node.
pub fn step(state: &rc::Rc<state::State>, from: types::VmId, msg: replication::Message) {
    let now = state.clock.now();
    with_node(state, |node| node.step(now, from, msg));
}

/// Returns the time of the node's next timer.
pub fn next_deadline(state: &state::State) -> Option<core_time::Instant> {
    state.with(|inner| inner.replica.as_ref()?.node.next_deadline())
}

/// Runs the node's timers that are due.
pub fn tick(state: &rc::Rc<state::State>) {
    let now = state.clock.now();
    let due = state.with(|inner| {
        let deadline = inner.replica.as_ref()?.node.next_deadline()?;
        Some(deadline <= now)
    });
    if due == Some(true) {
        with_node(state, |node| node.tick(now));
    }
}

/// Executes the outputs of the node until there are none left.
pub fn process_outputs(state: &rc::Rc<state::State>) {
    while let Some(output) = state.with(|inner| inner.replica.as_mut()?.node.poll_output()) {
        handle_output(state, output);
    }
}

fn handle_output(state: &rc::Rc<state::State>, output: replication::Output) {
    match output {
        replication::Output::Send { to, msg } => {
            let body = wire::replication::encode(GROUP, msg);
            let body = wire::generated::envelope::envelope::Body::Replication(body);
            state.peers.send(to, 0, body);
        }
        replication::Output::Persist { ticket, ops } => state.with(|inner| {
            if let Some(replica) = &inner.replica {
                // The receiver is dropped only when the process ends.
                let _ = replica.persist_tx.unbounded_send((ticket, ops));
            }
        }),
        replication::Output::Apply { index, command, .. } => apply(state, index, &command),
        replication::Output::Restore { index, data } => restore(state, index, &data),
        replication::Output::ReadReady { token, .. } => {
            let tx = state.with(|inner| inner.replica.as_mut()?.pending_reads.remove(&token));
            if let Some(tx) = tx {
                // The reader may have timed out.
                let _ = tx.send(());
            }
        }
        replication::Output::ReadFailed { token } => {
            state.with(|inner| inner.replica.as_mut()?.pending_reads.remove(&token));
        }
        replication::Output::Role { role, term } => leader_sync::role_changed(state, role, term),
        replication::Output::Rejected { index } => {
            state.with(|inner| inner.replica.as_mut()?.pending_commands.remove(&index));
        }
    }
}

fn apply(state: &rc::Rc<state::State>, index: types::LogIndex, bytes: &Bytes) {
    let Some(reply) = leader_sync::apply_command(state, index, bytes) else {
        return;
    };
    let tx = state.with(|inner| {
        let replica = inner.replica.as_mut()?;
        replica.bytes_since_snapshot += bytes.len();
        replica.pending_commands.remove(&index)
    });
    if let Some(tx) = tx {
        // The proposer may have timed out; the command stays applied.
        let _ = tx.send(reply);
    }
    maybe_snapshot(state, index);
}

/// Takes a snapshot at an index of the log if one is due and the state is that of this index. The
/// state is ahead of the log after it was received from the leader.
fn maybe_snapshot(state: &state::State, index: types::LogIndex) {
    let now = state.clock.now();
    state.with(|inner| {
        let Some(replica) = &mut inner.replica else {
            return;
        };
        if inner.applied != index {
            return;
        }
        if index.0 < replica.next_snapshot_index && replica.bytes_since_snapshot < SNAPSHOT_INTERVAL_BYTES {
            return;
        }
        match inner.machine.snapshot() {
            Ok(data) => replica.node.snapshot_taken(now, index, data),
            Err(err) => log::error!(
                "cannot encode a snapshot at index {index}: {err}; the log is kept until the next one"
            ),
        }
        replica.next_snapshot_index = index.0 + SNAPSHOT_INTERVAL_ENTRIES;
        replica.bytes_since_snapshot = 0;
    });
}

fn restore(state: &rc::Rc<state::State>, index: types::LogIndex, data: &Bytes) {
    state.with(|inner| {
        if let Some(replica) = &mut inner.replica {
            // Results of commands up to the snapshot are unknown; their proposers get an error.
            replica.pending_commands = replica
                .pending_commands
                .split_off(&types::LogIndex(index.0 + 1));
            replica.next_snapshot_index = index.0 + SNAPSHOT_INTERVAL_ENTRIES;
        }
    });
    leader_sync::restore_snapshot(state, index, data);
}

/// Proposes a command and waits for its result.
///
/// # Errors
///
/// Returns an error when the command is rejected or its result is not known in time. After
/// [`CommandError::Unknown`], the command may still be applied.
pub async fn propose(
    state: &rc::Rc<state::State>,
    command: &state_machine::Command,
) -> Result<state_machine::Reply, CommandError> {
    let now = state.clock.now();
    let bytes = command.encode().map_err(|_| CommandError::Encode)?;
    let (tx, rx) = oneshot::channel();
    state.with(|inner| {
        let replica = inner.replica.as_mut();
        let replica = replica.ok_or(replication::ProposeError::NotLeader { leader: None })?;
        let index = replica.node.propose(now, bytes)?;
        replica.pending_commands.insert(index, tx);
        Ok::<_, replication::ProposeError>(())
    })?;
    process_outputs(state);
    wait_for_result(state, rx).await
}

/// Waits until a read of the local state is linearizable, so that it misses no accepted change.
///
/// # Errors
///
/// Returns an error when this VM does not lead or cannot confirm in time that it does.
pub async fn read(state: &rc::Rc<state::State>) -> Result<(), CommandError> {
    let now = state.clock.now();
    read_with(state, |node, token| node.read_index(now, token)).await
}

/// Waits like [`read`], for the next heartbeat instead of a round of its own.
///
/// # Errors
///
/// The same as those of [`read`].
pub async fn read_with_heartbeat(state: &rc::Rc<state::State>) -> Result<(), CommandError> {
    read_with(state, replication::Node::read_index_with_heartbeat).await
}

async fn read_with(
    state: &rc::Rc<state::State>,
    request: impl FnOnce(&mut replication::Node, u64) -> Result<(), replication::ProposeError>,
) -> Result<(), CommandError> {
    let (tx, rx) = oneshot::channel();
    state.with(|inner| {
        let replica = inner.replica.as_mut();
        let replica = replica.ok_or(replication::ProposeError::NotLeader { leader: None })?;
        replica.last_read_token += 1;
        let token = replica.last_read_token;
        request(&mut replica.node, token)?;
        replica.pending_reads.insert(token, tx);
        Ok::<_, replication::ProposeError>(())
    })?;
    process_outputs(state);
    wait_for_result(state, rx).await
}

async fn wait_for_result<T>(
    state: &state::State,
    rx: oneshot::Receiver<T>,
) -> Result<T, CommandError> {
    let timeout = state.cfg.limits.change_timeout;
    match compio::time::timeout(timeout, rx).await {
        Ok(Ok(value)) => Ok(value),
        Ok(Err(_)) | Err(_) => Err(CommandError::Unknown),
    }
}

/// Transfers the leadership, if this VM has it, before a graceful stop.
pub fn transfer_leadership(state: &rc::Rc<state::State>, now: core_time::Instant) {
    if state.is_leading() {
        with_node(state, |node| node.transfer_leadership(now, None));
    }
}
