//! This VM's member of the replicated log: outputs of the node, disk and timers.

use std::{collections, rc, time};

use bytes::Bytes;
use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use wagtailshunt_core::{event, replication, state_machine, storage, time as core_time, types};
use wagtailshunt_wire as wire;

use crate::{
    disk,
    entry::{feed, state},
};

/// The only group of entry VMs.
pub const GROUP: types::GroupId = types::GroupId(0);

/// Interval between heartbeats of the leader.
const HEARTBEAT: time::Duration = time::Duration::from_millis(100);

/// Election timeouts: three heartbeats and a slow sync. No lease depends on them, since reads are
/// confirmed by a round, so that they only balance a lost leader against a false alarm.
const ELECTION_MIN: time::Duration = time::Duration::from_millis(300);
const ELECTION_MAX: time::Duration = time::Duration::from_millis(700);

/// Pause before a batch is tried again on a full disk.
const DISK_FULL_PAUSE: time::Duration = time::Duration::from_millis(500);

/// A snapshot is taken after this many applied entries; a change of one item is about 1 KiB.
const SNAPSHOT_ENTRIES: u64 = 512;

/// A snapshot is also taken after this many bytes of commands, which bounds the disk's use.
const SNAPSHOT_BYTES: usize = 4 * 1024 * 1024;

type Batch = (u64, Vec<storage::Op>);

/// This VM's member of the replicated log.
pub struct Replica {
    pub node: replication::Node,
    persist: mpsc::UnboundedSender<Batch>,
    waiters: collections::BTreeMap<types::LogIndex, oneshot::Sender<state_machine::Reply>>,
    reads: collections::BTreeMap<u64, oneshot::Sender<()>>,
    next_read: u64,
    snapshot_at: u64,
    applied_bytes: usize,
}

/// Why a command or read got no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// The command was not stored.
    #[error(transparent)]
    Refused(#[from] replication::ProposeError),
    /// The command cannot be encoded.
    #[error("the command cannot be encoded")]
    Encode,
    /// Leadership was lost or the time ran out before the result was known.
    #[error("the result is not known")]
    Unknown,
}

impl Replica {
    /// Returns whether this VM leads.
    pub fn is_leading(&self) -> bool {
        self.node.role() == replication::Role::Leader
    }

    /// Returns whether this member has any state of a group.
    pub fn has_group(&self) -> bool {
        !self.node.members().voters.is_empty() || self.node.last_index().0 > 0
    }
}

/// Creates the member from its files.
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
    compio::runtime::spawn(run_disk(state.clone(), store, rx)).detach();
    pump(state);
}

/// Creates a member that keeps its state in memory. Its id ends with the process, so that it never
/// votes on what it has forgotten.
pub fn open_volatile(state: &rc::Rc<state::State>) {
    let rx = create(state, storage::Recovered::default());
    compio::runtime::spawn(run_memory(state.clone(), rx)).detach();
    pump(state);
}

fn create(
    state: &rc::Rc<state::State>,
    recovered: storage::Recovered,
) -> mpsc::UnboundedReceiver<Batch> {
    let now = state.clock.now();
    let (persist, rx) = mpsc::unbounded();
    let snapshot_at = recovered.snapshot.index.0 + SNAPSHOT_ENTRIES;
    let replica = Replica {
        node: replication::Node::new(config(state), recovered, now),
        persist,
        waiters: collections::BTreeMap::new(),
        reads: collections::BTreeMap::new(),
        next_read: 0,
        snapshot_at,
        applied_bytes: 0,
    };
    state.with(|inner| inner.replica = Some(replica));
    rx
}

fn config(state: &state::State) -> replication::Config {
    replication::Config {
        id: state.vm,
        group: GROUP,
        seed: state.incarnation.0,
        heartbeat: HEARTBEAT,
        election_min: ELECTION_MIN,
        election_max: ELECTION_MAX,
        ..replication::Config::default()
    }
}

/// Starts the group with its first voters; a member that has a group already keeps it.
pub fn found(state: &rc::Rc<state::State>, voters: &[types::VmId]) -> bool {
    let now = state.clock.now();
    let membership = storage::Membership::of_voters(voters.iter().copied());
    let recovered = storage::Recovered::bootstrap(membership);
    let cfg = config(state);
    let founded = state.with(|inner| {
        let Some(replica) = &mut inner.replica else {
            return false;
        };
        if replica.has_group() {
            return false;
        }
        // The batch with the first membership goes to disk before anything that the node asks for,
        // since batches are carried out in order. Ticket 0 belongs to no batch of a node.
        let ops = vec![storage::Op::Snapshot(recovered.snapshot.clone())];
        if replica.persist.unbounded_send((0, ops)).is_err() {
            return false;
        }
        replica.node = replication::Node::new(cfg, recovered, now);
        true
    });
    pump(state);
    founded
}

async fn run_memory(state: rc::Rc<state::State>, mut rx: mpsc::UnboundedReceiver<Batch>) {
    while let Some((ticket, _)) = rx.next().await {
        let now = state.clock.now();
        with_node(&state, |node| node.persisted(now, ticket));
    }
}

async fn run_disk(
    state: rc::Rc<state::State>,
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
                        storage_failed(&state, &err);
                    }
                    was_full = true;
                    disk_full(&state, true);
                    compio::time::sleep(DISK_FULL_PAUSE).await;
                    result = disk::retry(disk).await;
                }
                // After a failed sync the pages may be lost although a later sync succeeds, so the
                // process ends and recovers from what the disk really holds.
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

fn disk_full(state: &rc::Rc<state::State>, full: bool) {
    let now = state.clock.now();
    with_node(state, |node| node.set_disk_full(now, full));
}

fn with_node(state: &rc::Rc<state::State>, f: impl FnOnce(&mut replication::Node)) {
    state.with(|inner| {
        if let Some(replica) = &mut inner.replica {
            f(&mut replica.node);
        }
    });
    pump(state);
}

/// Handles a message of another member.
pub fn step(state: &rc::Rc<state::State>, from: types::VmId, msg: replication::Message) {
    let now = state.clock.now();
    with_node(state, |node| node.step(now, from, msg));
}

/// Returns when the node must be looked at again.
pub fn next_deadline(state: &state::State) -> Option<core_time::Instant> {
    state.with(|inner| inner.replica.as_ref()?.node.next_deadline())
}

/// Runs the timers that are due.
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

/// Carries out what the node asks for, until it asks for nothing more.
pub fn pump(state: &rc::Rc<state::State>) {
    while let Some(output) = state.with(|inner| inner.replica.as_mut()?.node.poll_output()) {
        run(state, output);
    }
}

fn run(state: &rc::Rc<state::State>, output: replication::Output) {
    match output {
        replication::Output::Send { to, msg } => {
            let body = wire::replication::encode(GROUP, msg);
            let body = wire::generated::envelope::envelope::Body::Replication(body);
            state.peers.send(to, 0, body);
        }
        replication::Output::Persist { ticket, ops } => state.with(|inner| {
            if let Some(replica) = &inner.replica {
                // The receiver is gone only when the process is ending.
                let _ = replica.persist.unbounded_send((ticket, ops));
            }
        }),
        replication::Output::Apply { index, command, .. } => apply(state, index, &command),
        replication::Output::Restore { index, data } => restore(state, index, &data),
        replication::Output::ReadReady { token, .. } => {
            let tx = state.with(|inner| inner.replica.as_mut()?.reads.remove(&token));
            if let Some(tx) = tx {
                // The reader may have given up.
                let _ = tx.send(());
            }
        }
        replication::Output::ReadFailed { token } => {
            state.with(|inner| inner.replica.as_mut()?.reads.remove(&token));
        }
        replication::Output::Role { role, term } => feed::role_changed(state, role, term),
        replication::Output::Rejected { index } => {
            state.with(|inner| inner.replica.as_mut()?.waiters.remove(&index));
        }
    }
}

fn apply(state: &rc::Rc<state::State>, index: types::LogIndex, bytes: &Bytes) {
    let Some(reply) = feed::apply(state, index, bytes) else {
        return;
    };
    let tx = state.with(|inner| {
        let replica = inner.replica.as_mut()?;
        replica.applied_bytes += bytes.len();
        replica.waiters.remove(&index)
    });
    if let Some(tx) = tx {
        // The sender of the order may have given up; the change stays.
        let _ = tx.send(reply);
    }
    maybe_snapshot(state, index);
}

fn maybe_snapshot(state: &state::State, index: types::LogIndex) {
    let now = state.clock.now();
    state.with(|inner| {
        let Some(replica) = &mut inner.replica else {
            return;
        };
        if index.0 < replica.snapshot_at && replica.applied_bytes < SNAPSHOT_BYTES {
            return;
        }
        match inner.machine.snapshot() {
            Ok(data) => replica.node.snapshot_taken(now, index, data),
            Err(err) => log::error!("snapshot failed: {err}"),
        }
        replica.snapshot_at = index.0 + SNAPSHOT_ENTRIES;
        replica.applied_bytes = 0;
    });
}

fn restore(state: &rc::Rc<state::State>, index: types::LogIndex, data: &Bytes) {
    state.with(|inner| {
        if let Some(replica) = &mut inner.replica {
            // Results up to the snapshot are not known; their waiters are dropped.
            replica.waiters = replica.waiters.split_off(&types::LogIndex(index.0 + 1));
            replica.snapshot_at = index.0 + SNAPSHOT_ENTRIES;
        }
    });
    feed::restore(state, index, data);
}

/// Proposes a command and waits for its result.
///
/// # Errors
///
/// [`CommandError::Unknown`] leaves open whether the command is applied.
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
        replica.waiters.insert(index, tx);
        Ok::<_, replication::ProposeError>(())
    })?;
    pump(state);
    within(state, rx).await
}

/// Waits until a read cannot miss an accepted change.
///
/// # Errors
///
/// When this VM doesn't lead or cannot confirm in time that it does.
pub async fn read(state: &rc::Rc<state::State>) -> Result<(), CommandError> {
    let now = state.clock.now();
    let (tx, rx) = oneshot::channel();
    state.with(|inner| {
        let replica = inner.replica.as_mut();
        let replica = replica.ok_or(replication::ProposeError::NotLeader { leader: None })?;
        replica.next_read += 1;
        let token = replica.next_read;
        replica.node.read_index(now, token)?;
        replica.reads.insert(token, tx);
        Ok::<_, replication::ProposeError>(())
    })?;
    pump(state);
    within(state, rx).await
}

async fn within<T>(state: &state::State, rx: oneshot::Receiver<T>) -> Result<T, CommandError> {
    let limit = state.cfg.limits.order_limit;
    match compio::time::timeout(limit, rx).await {
        Ok(Ok(value)) => Ok(value),
        Ok(Err(_)) | Err(_) => Err(CommandError::Unknown),
    }
}

/// Hands the leadership over before a planned stop.
pub fn hand_over(state: &rc::Rc<state::State>, now: core_time::Instant) {
    if state.is_leading() {
        with_node(state, |node| node.transfer_leadership(now, None));
    }
}
