//! One member of a replicated group.

use std::collections;

use bytes::Bytes;
use rand::{Rng, SeedableRng, rngs};

use super::leader::Leader;
use super::log::Log;
use super::outbox::Outbox;
use super::snapshot::Incoming;
use super::{Config, Message};
use crate::{storage, time, types};

/// Part that a node plays in its group.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// Follows a leader or waits for one; also a learner.
    #[display("follower")]
    Follower,
    /// Runs for leader.
    #[display("candidate")]
    Candidate,
    /// Leads the group.
    #[display("leader")]
    Leader,
}

/// What the I/O layer has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message to another node of the group. It may be lost.
    Send {
        /// Receiver.
        to: types::VmId,
        /// Message.
        msg: Message,
    },
    /// Make a batch durable, then call [`Node::persisted`]. At most one batch is outstanding.
    Persist {
        /// Identifies the batch.
        ticket: u64,
        /// Ops to carry out in order.
        ops: Vec<storage::Op>,
    },
    /// Apply a committed command to the state machine.
    Apply {
        /// Index of the command.
        index: types::LogIndex,
        /// Term in which it was proposed.
        term: types::Term,
        /// The command.
        command: Bytes,
    },
    /// Replace the state machine by a snapshot. The result of proposals of this node up to `index`
    /// that have not been applied is unknown.
    Restore {
        /// Last index covered.
        index: types::LogIndex,
        /// Encoded state machine.
        data: Bytes,
    },
    /// The state machine is current enough for a read: everything up to `index` was applied by
    /// earlier outputs.
    ReadReady {
        /// Token given to [`Node::read_index`].
        token: u64,
        /// Commit index at the time of the read.
        index: types::LogIndex,
    },
    /// The read cannot be answered because leadership was lost.
    ReadFailed {
        /// Token given to [`Node::read_index`].
        token: u64,
    },
    /// Role, term or leader changed.
    Role {
        /// New role.
        role: Role,
        /// Current term.
        term: types::Term,
    },
    /// A proposal of this node will never be applied: another entry was committed in its place.
    Rejected {
        /// Index returned for the proposal.
        index: types::LogIndex,
    },
}

/// Why a proposal or read was refused. Nothing was stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// Another node leads, if any is known.
    #[error("this node does not lead the group")]
    NotLeader {
        /// The leader, if known.
        leader: Option<types::VmId>,
    },
    /// Too much is in progress, or the disk is full; try again later.
    #[error("the group is busy")]
    Busy,
    /// The command exceeds [`Config::max_command_bytes`].
    #[error("the command is too large")]
    TooLarge,
    /// The learner lacks too many entries to become a voter.
    #[error("the learner has not caught up")]
    NotCaughtUp,
    /// The membership change does not fit the current membership.
    #[error("the membership change does not fit the current membership")]
    InvalidChange,
}

/// State that depends on the role.
#[derive(Debug)]
pub(super) enum State {
    Follower,
    PreCandidate {
        votes: collections::BTreeSet<types::VmId>,
    },
    Candidate {
        votes: collections::BTreeSet<types::VmId>,
    },
    Leader(Box<Leader>),
}

/// One member of a replicated group.
#[derive(Debug)]
pub struct Node {
    pub(super) cfg: Config,
    pub(super) rng: rngs::SmallRng,
    pub(super) hard_state: storage::HardState,
    /// Ticket that makes `hard_state` durable.
    pub(super) hard_ticket: u64,
    pub(super) log: Log,
    pub(super) snapshot: storage::Snapshot,
    pub(super) state: State,
    pub(super) leader: Option<types::VmId>,
    pub(super) commit: types::LogIndex,
    /// Last index known to agree with the log of the current leader.
    pub(super) verified: types::LogIndex,
    /// Latest round of the current leader.
    pub(super) round: u64,
    /// Whether the leader must be told about newly synced entries.
    pub(super) ack_due: bool,
    /// When a leader was last heard.
    pub(super) leader_contact: time::Instant,
    pub(super) election_at: time::Instant,
    pub(super) incoming: Option<Incoming>,
    /// Proposals of this node that are not yet committed, with their terms.
    pub(super) proposed: collections::BTreeMap<types::LogIndex, types::Term>,
    pub(super) disk_full: bool,
    pub(super) outbox: Outbox,
    /// Last index and term of the batch that is being synced.
    mark: (types::LogIndex, types::Term),
    reported: (Role, types::Term, Option<types::VmId>),
}

impl Node {
    /// Creates a node from its durable state.
    ///
    /// For `election_min` after the start no vote is given, since a leader may still rely on an
    /// answer from before the restart for its lease.
    pub fn new(cfg: Config, recovered: storage::Recovered, now: time::Instant) -> Node {
        let snapshot = recovered.snapshot;
        // Rotated, so that a seed which already contains the id does not cancel it: nodes with equal
        // timeouts would split the votes again and again.
        let own = (u64::from(cfg.id.0) << 32) | u64::from(cfg.group.0);
        let seed = cfg.seed.rotate_left(17) ^ own;
        let mut node = Node {
            rng: rngs::SmallRng::seed_from_u64(seed),
            hard_state: recovered.hard_state,
            hard_ticket: 0,
            log: Log::new(&snapshot, recovered.entries),
            commit: snapshot.index,
            verified: snapshot.index,
            snapshot,
            state: State::Follower,
            leader: None,
            round: 0,
            ack_due: false,
            leader_contact: now,
            election_at: now,
            incoming: None,
            proposed: collections::BTreeMap::new(),
            disk_full: false,
            outbox: Outbox::new(),
            mark: Default::default(),
            reported: (Role::Follower, recovered.hard_state.term, None),
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
            Message::VoteReply { term, granted } => self.on_vote_reply(now, from, term, granted),
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

    /// Reports that the batch with `ticket` is synced.
    pub fn persisted(&mut self, now: time::Instant, ticket: u64) {
        if !self.outbox.persisted(ticket) {
            return;
        }
        let (index, term) = self.mark;
        self.log.synced(index, term);
        match &self.state {
            State::Follower => self.acknowledge_synced(),
            State::Candidate { .. } => self.count_own_vote(now),
            State::Leader(_) => self.advance_commit(now),
            State::PreCandidate { .. } => {}
        }
        self.report_role();
    }

    /// Reports whether the disk is full. The outstanding batch stays due: the I/O layer repeats it
    /// and calls [`Node::persisted`] when it succeeds.
    ///
    /// While the disk is full the node neither leads nor runs for leader.
    pub fn set_disk_full(&mut self, now: time::Instant, full: bool) {
        self.disk_full = full;
        if full {
            self.resign(now);
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
        self.mark = (self.log.last_index(), self.log.last_term());
        Some(Output::Persist { ticket, ops })
    }

    /// Returns the role.
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

    /// Returns the size in bytes of the log entries in memory. A snapshot makes it smaller.
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

    /// Returns whether that membership is committed, so that it cannot be undone.
    pub fn is_membership_committed(&self) -> bool {
        self.log.membership_index() <= self.commit
    }

    pub(super) fn not_leader(&self) -> ProposeError {
        ProposeError::NotLeader {
            leader: self.leader,
        }
    }

    /// Draws the next election timeout.
    pub(super) fn reset_election(&mut self, now: time::Instant) {
        let min = time::micros(self.cfg.election_min);
        let max = time::micros(self.cfg.election_max).max(min);
        let timeout = self.rng.random_range(min..=max);
        self.election_at = now + std::time::Duration::from_micros(timeout);
    }

    /// Replaces term and vote; the change is part of the next batch.
    pub(super) fn write_hard_state(&mut self, state: storage::HardState) {
        self.hard_state = state;
        self.hard_ticket = self.outbox.write(storage::Op::HardState(state));
    }

    /// Sends a message once term and vote are durable.
    pub(super) fn send_after_vote(&mut self, to: types::VmId, msg: Message) {
        self.outbox.send_after(self.hard_ticket, to, msg);
    }

    /// Raises the commit index and queues what became committed.
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
            if self.proposed.remove(&next).is_some_and(|own| own != term) {
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

    fn report_role(&mut self) {
        let current = (self.role(), self.hard_state.term, self.leader);
        if self.reported != current {
            self.reported = current;
            let (role, term, _) = current;
            self.outbox.push(Output::Role { role, term });
        }
    }
}
