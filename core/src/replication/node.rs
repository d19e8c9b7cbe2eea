//! One member of a replicated group: its state, its inputs (messages, ticks, completed writes) and
//! its outputs to the I/O layer. The other modules of this folder implement the rules of each role.

use std::collections;

use bytes::Bytes;
use rand::{Rng, SeedableRng, rngs};

use super::leader::Leader;
use super::log::Log;
use super::outbox::Outbox;
use super::snapshot::IncomingSnapshot;
use super::{Config, Message};
use crate::{storage, time, types};

/// Role of a node in its group.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// Follows a leader or waits for one. A learner is always a follower.
    #[display("follower")]
    Follower,
    /// Campaigns to become leader, including the pre-vote phase.
    #[display("candidate")]
    Candidate,
    /// Leads the group.
    #[display("leader")]
    Leader,
}

/// Action that the I/O layer carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Sends a message to another node of the group. The message may be lost.
    Send {
        /// Receiver.
        to: types::VmId,
        /// Message.
        msg: Message,
    },
    /// Makes a batch durable, after which the I/O layer calls [`Node::persisted`]. At most one
    /// batch is outstanding.
    Persist {
        /// Identifies the batch.
        ticket: u64,
        /// Operations in the order in which they are carried out.
        ops: Vec<storage::Op>,
    },
    /// Applies a committed command to the state machine.
    Apply {
        /// Index of the command.
        index: types::LogIndex,
        /// Term in which it was proposed.
        term: types::Term,
        /// The command.
        command: Bytes,
    },
    /// Replaces the state machine by a snapshot. The result of this node's proposals up to `index`
    /// that have not been applied stays unknown.
    Restore {
        /// Last index that the snapshot covers.
        index: types::LogIndex,
        /// Encoded state machine.
        data: Bytes,
    },
    /// Reports that a read may be served: earlier outputs have applied all entries up to `index`.
    ReadReady {
        /// Token given to [`Node::read_index`].
        token: u64,
        /// Index up to which the state machine must be applied for this read.
        index: types::LogIndex,
    },
    /// Reports that a read cannot be served because this node no longer leads.
    ReadFailed {
        /// Token given to [`Node::read_index`].
        token: u64,
    },
    /// Reports that the role, the term or the leader changed.
    Role {
        /// New role.
        role: Role,
        /// Current term.
        term: types::Term,
    },
    /// Reports that a proposal of this node will never be applied, because another entry was
    /// committed at its index.
    Rejected {
        /// Index returned for the proposal.
        index: types::LogIndex,
    },
}

/// Reason why a proposal or read was refused. Nothing was stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// This node does not lead the group.
    #[error("this node does not lead the group")]
    NotLeader {
        /// The leader, if known.
        leader: Option<types::VmId>,
    },
    /// The leader accepts no proposal at the moment; a later attempt may succeed.
    #[error("the group is busy")]
    Busy,
    /// The command exceeds [`Config::max_command_bytes`].
    #[error("the command is too large")]
    TooLarge,
    /// The learner lacks too many entries to become a voter.
    #[error("the learner has not caught up")]
    NotCaughtUp,
    /// The membership change cannot be applied to the current membership.
    #[error("the membership change does not fit the current membership")]
    InvalidChange,
}

/// State that depends on the role.
#[derive(Debug)]
pub(super) enum State {
    Follower,
    PreCandidate {
        /// Voters that would grant a vote, including this node.
        votes: collections::BTreeSet<types::VmId>,
    },
    Candidate {
        /// Voters that granted a vote, including this node once its own vote is durable.
        votes: collections::BTreeSet<types::VmId>,
        /// Shortest time since one of these voters last supported a leader.
        idle: std::time::Duration,
    },
    Leader(Box<Leader>),
}

/// One member of a replicated group.
#[derive(Debug)]
pub struct Node {
    pub(super) cfg: Config,
    pub(super) rng: rngs::SmallRng,
    pub(super) hard_state: storage::HardState,
    /// Ticket of the batch that makes `hard_state` durable.
    pub(super) hard_state_ticket: u64,
    pub(super) log: Log,
    /// Newest snapshot.
    pub(super) snapshot: storage::Snapshot,
    pub(super) state: State,
    /// Leader of the current term, if known.
    pub(super) leader: Option<types::VmId>,
    /// Last index known to be committed.
    pub(super) commit: types::LogIndex,
    /// Last index up to which the log is known to agree with that of the current leader.
    pub(super) verified: types::LogIndex,
    /// Latest heartbeat round received from the current leader.
    pub(super) round: u64,
    /// Whether an acknowledgement of newly synced entries is due to the leader.
    pub(super) ack_due: bool,
    /// When the last message of a current leader arrived; initially the start of the node.
    pub(super) leader_contact: time::Instant,
    /// When this node last ceased to lead; initially the start of the node.
    pub(super) led_until: time::Instant,
    /// When the election timeout expires.
    pub(super) election_at: time::Instant,
    /// Snapshot that is being received from the leader.
    pub(super) incoming_snapshot: Option<IncomingSnapshot>,
    /// Terms of this node's proposals that are not yet committed, by index.
    pub(super) pending_proposals: collections::BTreeMap<types::LogIndex, types::Term>,
    pub(super) disk_full: bool,
    pub(super) outbox: Outbox,
    /// Index and term of the last log entry when the outstanding batch was started.
    batch_end: (types::LogIndex, types::Term),
    /// Role, term and leader of the last [`Output::Role`].
    reported_role: (Role, types::Term, Option<types::VmId>),
}

impl Node {
    /// Creates a node from its durable state.
    ///
    /// For [`Config::election_min`] after the start the node grants no vote, because a leader may
    /// base its lease on a reply that this node sent before the restart.
    pub fn new(cfg: Config, recovered: storage::Recovered, now: time::Instant) -> Node {
        let snapshot = recovered.snapshot;
        // The seed is rotated so that a seed which already contains the VM id does not cancel it
        // out: nodes with equal election timeouts would split the votes repeatedly.
        let own = (u64::from(cfg.id.0) << 32) | u64::from(cfg.group.0);
        let seed = cfg.seed.rotate_left(17) ^ own;
        let mut node = Node {
            rng: rngs::SmallRng::seed_from_u64(seed),
            hard_state: recovered.hard_state,
            hard_state_ticket: 0,
            log: Log::new(&snapshot, recovered.entries),
            commit: snapshot.index,
            verified: snapshot.index,
            snapshot,
            state: State::Follower,
            leader: None,
            round: 0,
            ack_due: false,
            leader_contact: now,
            led_until: now,
            election_at: now,
            incoming_snapshot: None,
            pending_proposals: collections::BTreeMap::new(),
            disk_full: false,
            outbox: Outbox::new(),
            batch_end: Default::default(),
            reported_role: (Role::Follower, recovered.hard_state.term, None),
            cfg,
        };
        if node.snapshot.index.0 > 0 {
            let index = node.snapshot.index;
            let data = node.snapshot.data.clone();
            node.outbox.push(Output::Restore { index, data });
        }
        node.reset_election(now);
        node
    }

    /// Handles a message from another node.
    pub fn step(&mut self, now: time::Instant, from: types::VmId, msg: Message) {
        match msg {
            Message::PreVote(vote) => self.on_pre_vote(now, from, &vote),
            Message::PreVoteReply { term, granted } => {
                self.on_pre_vote_reply(now, from, term, granted);
            }
            Message::Vote(vote) => self.on_vote(now, from, &vote),
            Message::VoteReply {
                term,
                granted,
                idle,
            } => self.on_vote_reply(now, from, term, granted, idle),
            Message::Append(append) => self.on_append(now, from, append),
            Message::AppendReply(reply) => self.on_append_reply(now, from, &reply),
            Message::SnapshotChunk(chunk) => self.on_snapshot_chunk(now, from, chunk),
            Message::SnapshotReply(reply) => self.on_snapshot_reply(now, from, &reply),
            Message::TimeoutNow { term } => self.on_timeout_now(now, from, term),
        }
        self.report_role();
    }

    /// Handles the timers that are due.
    pub fn tick(&mut self, now: time::Instant) {
        if matches!(self.state, State::Leader(_)) {
            self.tick_leader(now);
        } else if now >= self.election_at {
            self.election_timeout(now);
        }
        self.report_role();
    }

    /// Returns the time at which [`Node::tick`] must be called.
    pub fn next_deadline(&self) -> Option<time::Instant> {
        match &self.state {
            State::Leader(leader) => Some(leader.next_deadline()),
            _ => Some(self.election_at),
        }
    }

    /// Records that the batch with `ticket` is synced.
    pub fn persisted(&mut self, now: time::Instant, ticket: u64) {
        if !self.outbox.persisted(ticket) {
            return;
        }
        let (index, term) = self.batch_end;
        self.log.mark_synced(index, term);
        match &self.state {
            State::Follower => self.acknowledge_synced(),
            State::Candidate { .. } => self.count_own_vote(now),
            State::Leader(_) => self.advance_commit(now),
            State::PreCandidate { .. } => {}
        }
        self.report_role();
    }

    /// Records whether the disk is full. The batch in progress stays outstanding: the I/O layer
    /// retries it and calls [`Node::persisted`] when it succeeds.
    ///
    /// While the disk is full the node neither leads nor campaigns.
    pub fn set_disk_full(&mut self, now: time::Instant, full: bool) {
        self.disk_full = full;
        if full {
            self.step_down(now);
        }
        self.report_role();
    }

    /// Returns the next output, or `None` when there is nothing to do.
    pub fn poll_output(&mut self) -> Option<Output> {
        if let Some(output) = self.outbox.poll() {
            return Some(output);
        }
        self.replicate_pending();
        if let Some(output) = self.outbox.poll() {
            return Some(output);
        }
        let (ticket, ops) = self.outbox.begin_batch()?;
        self.batch_end = (self.log.last_index(), self.log.last_term());
        Some(Output::Persist { ticket, ops })
    }

    /// Returns the current role.
    pub fn role(&self) -> Role {
        match self.state {
            State::Follower => Role::Follower,
            State::PreCandidate { .. } | State::Candidate { .. } => Role::Candidate,
            State::Leader(_) => Role::Leader,
        }
    }

    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<types::VmId> {
        self.leader
    }

    /// Returns the current term.
    pub fn term(&self) -> types::Term {
        self.hard_state.term
    }

    /// Returns the last index known to be committed.
    pub fn committed(&self) -> types::LogIndex {
        self.commit
    }

    /// Returns the last index of the log, committed or not.
    pub fn last_index(&self) -> types::LogIndex {
        self.log.last_index()
    }

    /// Returns the commands after index `after` up to `through`, or `None` if some of them are not in
    /// memory or they take more than `max_bytes` in total.
    pub fn commands_between(
        &self,
        after: types::LogIndex,
        through: types::LogIndex,
        max_bytes: usize,
    ) -> Option<Vec<(types::LogIndex, Bytes)>> {
        if after < self.log.base_index() || through > self.commit {
            return None;
        }
        let mut bytes = 0;
        let mut commands = Vec::new();
        for index in (after.0 + 1..=through.0).map(types::LogIndex) {
            if let storage::Payload::Command(command) = &self.log.get(index)?.payload {
                bytes += command.len();
                if bytes > max_bytes {
                    return None;
                }
                commands.push((index, command.clone()));
            }
        }
        Some(commands)
    }

    /// Returns the size in bytes of the log entries in memory. Taking a snapshot reduces it.
    pub fn log_bytes(&self) -> usize {
        self.log.bytes()
    }

    /// Returns the index of the newest snapshot.
    pub fn snapshot_index(&self) -> types::LogIndex {
        self.snapshot.index
    }

    /// Returns the membership at the end of the log.
    pub fn members(&self) -> &storage::Membership {
        self.log.membership()
    }

    /// Returns whether the membership at the end of the log is committed and can no longer be
    /// undone.
    pub fn is_membership_committed(&self) -> bool {
        self.log.membership_index() <= self.commit
    }

    pub(super) fn not_leader(&self) -> ProposeError {
        ProposeError::NotLeader {
            leader: self.leader,
        }
    }

    /// Restarts the election timer with a random timeout.
    pub(super) fn reset_election(&mut self, now: time::Instant) {
        let min = time::micros(self.cfg.election_min);
        let max = time::micros(self.cfg.election_max).max(min);
        let timeout = self.rng.random_range(min..=max);
        self.election_at = now + std::time::Duration::from_micros(timeout);
    }

    /// Replaces the term and vote. The next batch makes the change durable.
    pub(super) fn write_hard_state(&mut self, state: storage::HardState) {
        self.hard_state = state;
        self.hard_state_ticket = self.outbox.write(storage::Op::HardState(state));
    }

    /// Sends a message once the current term and vote are durable.
    pub(super) fn send_after_hard_state(&mut self, to: types::VmId, msg: Message) {
        self.outbox.send_after(self.hard_state_ticket, to, msg);
    }

    /// Raises the commit index to `index` and queues outputs for the entries that it newly commits.
    pub(super) fn commit_to(&mut self, index: types::LogIndex) {
        while self.commit < index {
            let next = types::LogIndex(self.commit.0 + 1);
            let Some(entry) = self.log.get(next) else {
                return;
            };
            self.commit = next;
            let term = entry.term;
            let command = match &entry.payload {
                storage::Payload::Command(command) => Some(command.clone()),
                storage::Payload::Noop | storage::Payload::Membership(_) => None,
            };
            if let State::Leader(leader) = &mut self.state {
                leader.uncommitted_bytes = leader.uncommitted_bytes.saturating_sub(entry.size());
            }
            if self
                .pending_proposals
                .remove(&next)
                .is_some_and(|own| own != term)
            {
                self.outbox.push(Output::Rejected { index: next });
            }
            if let Some(command) = command {
                let index = next;
                self.outbox.push(Output::Apply {
                    index,
                    term,
                    command,
                });
            }
        }
    }

    /// Queues [`Output::Role`] when the role, the term or the leader has changed.
    fn report_role(&mut self) {
        let current = (self.role(), self.hard_state.term, self.leader);
        if self.reported_role != current {
            self.reported_role = current;
            let (role, term, _) = current;
            self.outbox.push(Output::Role { role, term });
        }
    }
}
