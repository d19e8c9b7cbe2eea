//! Tests of single rules of the replicated log with a few nodes and a network without losses.
//! Random schedules with faults are in the lab crate.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use wagtailshunt_core::replication::{
    Config, Membership, MembershipChange, Message, Node, Output, ProposeError, Role, VoteRequest,
};
use wagtailshunt_core::storage::Recovered;
use wagtailshunt_core::time::Instant;
use wagtailshunt_core::types::{LogIndex, Term, VmId};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Nodes whose disks sync without delay and whose messages arrive without delay, except for the
/// isolated and the stalled ones.
struct Group {
    now: Instant,
    nodes: BTreeMap<VmId, Node>,
    /// Nodes whose messages are dropped in both directions.
    isolated: BTreeSet<VmId>,
    /// Nodes whose batches are not synced, with the outstanding ticket.
    stalled: BTreeMap<VmId, Option<u64>>,
    messages: VecDeque<(VmId, VmId, Message)>,
    applied: BTreeMap<VmId, Vec<(LogIndex, Bytes)>>,
    other_outputs: Vec<(VmId, Output)>,
}

impl Group {
    fn new(voters: u32) -> Group {
        let mut group = Group {
            now: Instant(1_000_000),
            nodes: BTreeMap::new(),
            isolated: BTreeSet::new(),
            stalled: BTreeMap::new(),
            messages: VecDeque::new(),
            applied: BTreeMap::new(),
            other_outputs: Vec::new(),
        };
        let members = Membership::of_voters((1..=voters).map(VmId));
        for vm in members.voters.clone() {
            group.add(vm, Recovered::bootstrap(members.clone()));
        }
        group
    }

    fn add(&mut self, id: VmId, recovered: Recovered) {
        let cfg = Config {
            id,
            snapshot_chunk_bytes: 7,
            retained_entries: 0,
            ..Config::default()
        };
        self.nodes.insert(id, Node::new(cfg, recovered, self.now));
    }

    fn settle(&mut self) {
        loop {
            let mut outputs = Vec::new();
            for (vm, node) in &mut self.nodes {
                while let Some(output) = node.poll_output() {
                    outputs.push((*vm, output));
                }
            }
            if outputs.is_empty() && self.messages.is_empty() {
                return;
            }
            for (vm, output) in outputs {
                match output {
                    Output::Send { to, msg } => self.messages.push_back((vm, to, msg)),
                    Output::Persist { ticket, .. } => match self.stalled.get_mut(&vm) {
                        Some(waiting) => *waiting = Some(ticket),
                        None => self.nodes.get_mut(&vm).unwrap().persisted(self.now, ticket),
                    },
                    Output::Apply { index, command, .. } => {
                        self.applied.entry(vm).or_default().push((index, command));
                    }
                    other => self.other_outputs.push((vm, other)),
                }
            }
            while let Some((from, to, msg)) = self.messages.pop_front() {
                if !self.isolated.contains(&from) && !self.isolated.contains(&to) {
                    let node = self.nodes.get_mut(&to).unwrap();
                    node.step(self.now, from, msg);
                }
            }
        }
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        loop {
            self.settle();
            let due = self.nodes.values().filter_map(Node::next_deadline).min();
            let due = due.unwrap_or(end).max(self.now);
            if due > end {
                self.now = end;
                return;
            }
            self.now = due;
            for node in self.nodes.values_mut() {
                if node.next_deadline().is_some_and(|at| at <= due) {
                    node.tick(due);
                }
            }
        }
    }

    fn leaders(&self) -> Vec<VmId> {
        let leads = self.nodes.iter().filter(|(_, n)| n.role() == Role::Leader);
        leads.map(|(vm, _)| *vm).collect()
    }

    fn leader(&mut self) -> VmId {
        for _ in 0..50 {
            self.run(ms(100));
            let leaders: Vec<_> = self.leaders();
            let live: Vec<_> = leaders
                .iter()
                .filter(|vm| !self.isolated.contains(vm))
                .collect();
            if let [vm] = live[..] {
                return *vm;
            }
        }
        panic!("no single leader was elected within 5 s");
    }

    fn node(&mut self, vm: VmId) -> &mut Node {
        self.nodes.get_mut(&vm).unwrap()
    }

    fn propose(&mut self, vm: VmId, command: &'static str) -> Result<LogIndex, ProposeError> {
        let now = self.now;
        self.node(vm)
            .propose(now, Bytes::from_static(command.as_bytes()))
    }

    fn change(&mut self, change: MembershipChange) -> Result<LogIndex, ProposeError> {
        let (now, leader) = (self.now, self.leaders()[0]);
        let result = self.node(leader).propose_membership(now, change);
        self.run(ms(500));
        result
    }

    fn commands(&self, vm: VmId) -> Vec<&[u8]> {
        let applied = self.applied.get(&vm).into_iter().flatten();
        applied.map(|(_, command)| &command[..]).collect()
    }
}

/// Guards against nodes that miss a command or apply commands in another order.
#[test]
fn a_command_is_applied_on_every_node_in_order() {
    let mut group = Group::new(5);
    let leader = group.leader();
    group.propose(leader, "one").unwrap();
    group.propose(leader, "two").unwrap();
    group.run(ms(500));
    for vm in (1..=5).map(VmId) {
        assert_eq!(group.commands(vm), [b"one", b"two"], "{vm}");
    }
}

/// Guards against a VM outside the group that gets some of the commands that it has missed, but not
/// all of them, or ones that are not committed.
#[test]
fn missed_commands_are_complete_or_not_given() {
    let mut group = Group::new(3);
    let leader = group.leader();
    let first = group.propose(leader, "one").unwrap();
    let second = group.propose(leader, "three").unwrap();
    group.run(ms(500));
    let uncommitted = group.propose(leader, "five").unwrap();
    let node = group.node(leader);
    let all = node.commands_between(LogIndex(0), second, 100).unwrap();
    let texts: Vec<&[u8]> = all.iter().map(|(_, command)| &command[..]).collect();
    assert_eq!(texts, [&b"one"[..], b"three"]);
    let rest = node.commands_between(first, second, 100).unwrap();
    assert_eq!(rest, [(second, Bytes::from_static(b"three"))]);
    assert_eq!(node.commands_between(LogIndex(0), second, 7), None);
    assert_eq!(node.commands_between(first, uncommitted, 100), None);
    let now = group.now;
    group.node(leader).snapshot_taken(now, second, Bytes::new());
    assert_eq!(
        group
            .node(leader)
            .commands_between(LogIndex(0), second, 100),
        None
    );
}

/// Guards against a commit that counts an entry which a crash of a follower would lose, and a
/// leader that loses its quorum because heartbeats wait for a slow disk.
#[test]
fn nothing_is_acknowledged_before_it_is_synced() {
    let mut group = Group::new(3);
    let leader = group.leader();
    group.run(ms(500));
    for vm in [VmId(1), VmId(2), VmId(3)] {
        if vm != leader {
            group.stalled.insert(vm, None);
        }
    }
    group.propose(leader, "one").unwrap();
    group.run(ms(3000));
    assert_eq!(
        group.leaders(),
        [leader],
        "heartbeats do not wait for a sync"
    );
    assert!(
        group.commands(leader).is_empty(),
        "one copy is not a majority"
    );
    let (vm, ticket) = group.stalled.pop_first().unwrap();
    let now = group.now;
    group.node(vm).persisted(now, ticket.unwrap());
    group.run(ms(1));
    assert_eq!(group.commands(leader), [b"one"]);
}

/// Guards against a vote that is sent before it is durable, so that a restarted node votes twice in
/// a term.
#[test]
fn no_vote_leaves_before_it_is_synced() {
    let mut group = Group::new(3);
    for vm in [VmId(1), VmId(2), VmId(3)] {
        group.stalled.insert(vm, None);
    }
    group.run(ms(5000));
    assert!(group.leaders().is_empty());
}

/// Guards against one sync per proposal, which limits throughput, and a second batch during a sync.
#[test]
fn proposals_made_during_a_sync_share_the_next_batch() {
    let mut group = Group::new(1);
    let leader = group.leader();
    group.stalled.insert(leader, None);
    group.propose(leader, "one").unwrap();
    group.run(ms(1));
    group.propose(leader, "two").unwrap();
    group.propose(leader, "three").unwrap();
    group.run(ms(1));
    let first = group.stalled[&leader].unwrap();
    let now = group.now;
    group.node(leader).persisted(now, first);
    group.run(ms(1));
    assert_eq!(group.commands(leader), [&b"one"[..]]);
    assert_eq!(group.stalled[&leader], Some(first + 1));
    group.node(leader).persisted(now, first + 1);
    group.run(ms(1));
    assert_eq!(group.commands(leader).len(), 3);
}

/// Guards against two leaders that both hold a lease.
#[test]
fn an_isolated_leader_loses_its_lease_before_another_is_elected() {
    let mut group = Group::new(5);
    let old = group.leader();
    group.run(ms(1000));
    let now = group.now;
    let lease = group.node(old).lease_valid_until(now).unwrap();
    group.isolated.insert(old);
    let mut until = lease;
    while group.leaders() == [old] || group.leaders().is_empty() {
        group.run(ms(1));
        let now = group.now;
        until = group.node(old).lease_valid_until(now).unwrap_or(until);
    }
    assert!(
        until < group.now,
        "lease until {until}, elected at {}",
        group.now
    );
    group.run(ms(1000));
    assert_eq!(
        group.node(old).role(),
        Role::Follower,
        "steps down by check-quorum"
    );
}

/// Guards against a VM that raises the term while it is isolated and deposes the leader when it
/// reconnects.
#[test]
fn a_reconnected_vm_does_not_disturb_the_leader() {
    let mut group = Group::new(3);
    let leader = group.leader();
    let term = group.node(leader).term();
    let follower = VmId(1 + leader.0 % 3);
    group.isolated.insert(follower);
    group.run(ms(60_000));
    group.isolated.clear();
    group.run(ms(5000));
    assert_eq!(group.leaders(), [leader]);
    assert_eq!(group.node(leader).term(), term);
}

/// Guards against a vote during the lease of a leader, also by a node that lost the time of the
/// leader's last message in a restart.
#[test]
fn a_vote_request_is_ignored_while_there_is_a_leader_or_just_after_a_start() {
    let mut group = Group::new(3);
    let vote = Message::Vote(VoteRequest {
        term: Term(99),
        last_index: LogIndex(99),
        last_term: Term(98),
        transfer: false,
    });
    let now = group.now;
    group.node(VmId(1)).step(now, VmId(2), vote.clone());
    assert_eq!(group.node(VmId(1)).term(), Term(0));
    let leader = group.leader();
    let now = group.now;
    for vm in (1..=3).map(VmId) {
        group.node(vm).step(now, VmId(9), vote.clone());
    }
    group.run(ms(1000));
    assert_eq!(group.leaders(), [leader]);
}

/// Guards against a proposal that is reported as rejected too early, and one whose result is never
/// reported.
#[test]
fn an_overwritten_proposal_is_rejected_only_when_another_entry_is_committed() {
    let mut group = Group::new(3);
    let old = group.leader();
    group.isolated.insert(old);
    let index = group.propose(old, "lost").unwrap();
    group.run(ms(100));
    let new = group.leader();
    assert_ne!(new, old);
    group.propose(new, "kept").unwrap();
    group.run(ms(100));
    let rejected = |group: &Group| {
        let found = |o: &&(VmId, Output)| o.1 == Output::Rejected { index };
        group.other_outputs.iter().filter(found).count()
    };
    assert_eq!(rejected(&group), 0);
    group.isolated.clear();
    group.run(ms(2000));
    assert_eq!(rejected(&group), 1);
    assert_eq!(group.commands(old), [b"kept"]);
}

/// Guards against stale reads from a leader that was replaced without noticing it.
#[test]
fn a_read_needs_a_quorum_after_it_arrived() {
    let mut group = Group::new(3);
    let leader = group.leader();
    group.run(ms(1000));
    let now = group.now;
    group.node(leader).read_index(now, 7).unwrap();
    group.run(ms(1));
    let ready = |group: &Group, wanted: u64| {
        let found =
            |o: &(VmId, Output)| matches!(o.1, Output::ReadReady { token, .. } if token == wanted);
        group.other_outputs.iter().any(found)
    };
    assert!(ready(&group, 7));
    // The next heartbeat confirms a read that does not start a round.
    group.node(leader).read_index_with_heartbeat(9).unwrap();
    group.settle();
    assert!(!ready(&group, 9));
    group.run(Config::default().heartbeat);
    assert!(ready(&group, 9));
    group.isolated.insert(leader);
    let now = group.now;
    group.node(leader).read_index(now, 8).unwrap();
    group.node(leader).read_index_with_heartbeat(10).unwrap();
    group.run(ms(5000));
    let failed = |token| (leader, Output::ReadFailed { token });
    assert!(!ready(&group, 8) && group.other_outputs.contains(&failed(8)));
    assert!(!ready(&group, 10) && group.other_outputs.contains(&failed(10)));
}

/// Guards against a planned transfer that interrupts commits for an election timeout, and a
/// proposal that is accepted during it.
#[test]
fn leadership_is_transferred_without_an_election_timeout() {
    let mut group = Group::new(5);
    let old = group.leader();
    group.run(ms(1000));
    let now = group.now;
    let to = VmId(1 + old.0 % 5);
    group.node(old).transfer_leadership(now, Some(to));
    assert_eq!(group.propose(old, "late"), Err(ProposeError::Busy));
    group.run(ms(1));
    assert_eq!(group.leaders(), [to]);
}

/// Guards against a leader that cannot write, and its election.
#[test]
fn a_full_disk_makes_the_leader_step_down_and_refuse() {
    let mut group = Group::new(3);
    let old = group.leader();
    group.run(ms(1000));
    let now = group.now;
    group.node(old).set_disk_full(now, true);
    assert!(group.propose(old, "refused").is_err());
    let new = group.leader();
    assert_ne!(new, old);
    group.isolated.insert(new);
    let third = group.leader();
    assert_ne!(third, old, "a node with a full disk does not campaign");
}

/// Guards against a quorum that counts a voter with an incomplete log.
#[test]
fn a_replaced_vm_catches_up_by_snapshot_before_it_votes() {
    let mut group = Group::new(3);
    let leader = group.leader();
    for _ in 0..100 {
        group.propose(leader, "x").unwrap();
    }
    group.run(ms(500));
    let index = group.node(leader).committed();
    let now = group.now;
    let data = Bytes::from_static(b"a snapshot of several chunks");
    group.node(leader).snapshot_taken(now, index, data.clone());
    let lost = VmId(1 + leader.0 % 3);
    group.isolated.insert(lost);
    group.change(MembershipChange::Remove(lost)).unwrap();
    group.add(VmId(9), Recovered::default());
    group.isolated.insert(VmId(9));
    group.change(MembershipChange::AddLearner(VmId(9))).unwrap();
    let early = group.change(MembershipChange::Promote(VmId(9)));
    assert_eq!(early, Err(ProposeError::NotCaughtUp));
    group.isolated.remove(&VmId(9));
    group.run(ms(3000));
    assert!(
        group
            .other_outputs
            .contains(&(VmId(9), Output::Restore { index, data }))
    );
    group.change(MembershipChange::Promote(VmId(9))).unwrap();
    // The group of three tolerates a second failure after the repair.
    let second = group.leaders()[0];
    group.isolated.insert(second);
    let new = group.leader();
    group.propose(new, "after").unwrap();
    group.run(ms(1000));
    assert_eq!(group.commands(VmId(9)).last(), Some(&&b"after"[..]));
}

/// Guards against two uncommitted changes, whose majorities need not overlap.
#[test]
fn only_one_membership_change_at_a_time() {
    let mut group = Group::new(3);
    let leader = group.leader();
    let now = group.now;
    let node = group.node(leader);
    let add = |vm| MembershipChange::AddLearner(VmId(vm));
    node.propose_membership(now, add(8)).unwrap();
    assert_eq!(
        node.propose_membership(now, add(9)),
        Err(ProposeError::Busy)
    );
    group.add(VmId(8), Recovered::default());
    group.run(ms(500));
    let last = MembershipChange::Remove(VmId(7));
    assert_eq!(group.change(last), Err(ProposeError::InvalidChange));
}

/// Guards against a removed leader that continues to lead, or that steps down before its removal is
/// committed.
#[test]
fn a_removed_leader_steps_down_after_the_change_is_committed() {
    let mut group = Group::new(3);
    let old = group.leader();
    group.change(MembershipChange::Remove(old)).unwrap();
    assert_eq!(group.node(old).role(), Role::Follower);
    let new = group.leader();
    assert_ne!(new, old);
    assert!(!group.node(new).members().contains(old));
}

/// Guards against a log that grows in memory without limit.
#[test]
fn a_snapshot_bounds_the_entries_in_memory() {
    let mut group = Group::new(1);
    let leader = group.leader();
    for _ in 0..100 {
        group.propose(leader, "0123456789").unwrap();
    }
    group.run(ms(100));
    let before = group.node(leader).log_bytes();
    assert!(before > 1000);
    let (now, index) = (group.now, group.node(leader).committed());
    let node = group.node(leader);
    node.snapshot_taken(now, index, Bytes::from_static(b"state"));
    assert_eq!(
        node.log_bytes(),
        0,
        "no entry is retained by these settings"
    );
    assert_eq!(node.snapshot_index(), index);
}
