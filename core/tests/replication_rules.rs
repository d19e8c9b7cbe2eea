//! Tests of rules of a single node that random schedules seldom reach. The messages of the other
//! nodes are made up by the tests.

use bytes::Bytes;
use wagtailshunt_core::replication::{
    Append, AppendReply, Config, Membership, Message, Node, Output, Role, VoteRequest,
};
use wagtailshunt_core::storage::{Entry, HardState, Op, Payload, Recovered};
use wagtailshunt_core::time::Instant;
use wagtailshunt_core::types::{LogIndex, Term, VmId};

/// Returns a node with the given log that was elected leader of three nodes, and the time of its
/// election. Node 2 grants its votes.
fn elected_leader(entries: Vec<Entry>, term: u64) -> (Node, Instant) {
    let recovered = Recovered {
        hard_state: HardState {
            term: Term(term),
            voted_for: None,
        },
        entries,
        ..Recovered::bootstrap(Membership::of_voters((1..=3).map(VmId)))
    };
    let cfg = Config {
        id: VmId(1),
        ..Config::default()
    };
    let now = Instant(1_000_000);
    let mut node = Node::new(cfg, recovered, now);
    let now = node.next_deadline().unwrap();
    node.tick(now);
    let (granted, term) = (true, Term(term + 1));
    node.step(now, VmId(2), Message::PreVoteReply { term, granted });
    sync_all(&mut node, now);
    let idle = std::time::Duration::ZERO;
    let reply = Message::VoteReply {
        term,
        granted,
        idle,
    };
    node.step(now, VmId(2), reply);
    sync_all(&mut node, now);
    assert_eq!(node.role(), Role::Leader);
    (node, now)
}

/// Syncs all batches of a node and discards its messages.
fn sync_all(node: &mut Node, now: Instant) {
    while let Some(output) = node.poll_output() {
        if let Output::Persist { ticket, .. } = output {
            node.persisted(now, ticket);
        }
    }
}

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index: LogIndex(index),
        term: Term(term),
        payload: Payload::Noop,
    }
}

fn synced_reply(term: u64, index: u64) -> Message {
    Message::AppendReply(AppendReply {
        term: Term(term),
        // Higher than every round of these tests, so that it confirms all of them.
        round: 100,
        verified: LogIndex(index),
        durable: LogIndex(index),
        conflict: None,
    })
}

fn has_ready_read(node: &mut Node) -> bool {
    std::iter::from_fn(|| node.poll_output())
        .any(|output| matches!(output, Output::ReadReady { .. }))
}

/// Guards against the commit of an entry of an earlier term by counting replicas: a later leader
/// may still overwrite it on a majority (figure 8 of the Raft paper). Only entries of the leader's
/// own term are committed by counting.
#[test]
fn an_entry_of_an_earlier_term_is_not_committed_by_counting() {
    let (mut node, now) = elected_leader(vec![entry(1, 1), entry(2, 2)], 3);
    node.step(now, VmId(2), synced_reply(4, 2));
    assert_eq!(node.committed(), LogIndex(0));
    assert_eq!(
        node.lease_valid_until(now),
        None,
        "entries of earlier terms may not be committed yet"
    );
    node.read_index(now, 5).unwrap();
    node.step(now, VmId(2), synced_reply(4, 2));
    assert!(
        !has_ready_read(&mut node),
        "the commit index may be behind that of earlier leaders"
    );
    node.step(now, VmId(2), synced_reply(4, 3));
    assert_eq!(node.committed(), LogIndex(3));
    assert!(node.lease_valid_until(now).is_some());
    node.step(now, VmId(2), synced_reply(4, 3));
    assert!(has_ready_read(&mut node));
}

/// Guards against a lease during an election that the leader requested: the request may arrive
/// after the transfer has timed out.
#[test]
fn the_lease_is_released_when_another_node_is_made_to_campaign() {
    let (mut node, now) = elected_leader(vec![entry(1, 1)], 1);
    node.step(now, VmId(2), synced_reply(2, 2));
    assert!(node.lease_valid_until(now).is_some());
    node.transfer_leadership(now, Some(VmId(2)));
    assert_eq!(node.lease_valid_until(now), None);
    let mut end = now;
    while node.role() == Role::Leader {
        end = node.next_deadline().unwrap();
        node.tick(end);
        assert_eq!(node.lease_valid_until(end), None);
    }
    assert!(
        end.since(now) <= Config::default().election_max,
        "the leader steps down when the transfer times out"
    );
}

/// Guards against a successor that takes the time in which its predecessor led for one without a leader,
/// when only the predecessor's vote elects it.
#[test]
fn a_leader_that_votes_for_its_successor_was_never_idle() {
    let (mut node, now) = elected_leader(vec![entry(1, 1)], 1);
    let now = now + std::time::Duration::from_secs(2);
    let vote = VoteRequest {
        term: Term(3),
        last_index: LogIndex(9),
        last_term: Term(2),
        transfer: true,
    };
    node.step(now, VmId(2), Message::Vote(vote));
    let mut replies = Vec::new();
    while let Some(output) = node.poll_output() {
        match output {
            Output::Persist { ticket, .. } => node.persisted(now, ticket),
            Output::Send { msg, .. } => replies.push(msg),
            _ => {}
        }
    }
    let reply = Message::VoteReply {
        term: Term(3),
        granted: true,
        idle: std::time::Duration::ZERO,
    };
    assert!(replies.contains(&reply), "{replies:?}");
}

/// Guards against two leaders in one term, which would commit different entries.
#[test]
fn a_node_grants_one_vote_per_term_also_after_a_restart() {
    let voters = Membership::of_voters((1..=3).map(VmId));
    let mut recovered = Recovered::bootstrap(voters);
    let now = Instant(1_000_000);
    let cfg = Config {
        id: VmId(1),
        ..Config::default()
    };
    let vote = Message::Vote(VoteRequest {
        term: Term(5),
        last_index: LogIndex(9),
        last_term: Term(4),
        transfer: true,
    });
    let mut granted = Vec::new();
    let mut node = Node::new(cfg.clone(), recovered.clone(), now);
    for (candidate, restart) in [(2, false), (3, false), (3, true), (2, false)] {
        if restart {
            node = Node::new(cfg.clone(), recovered.clone(), now);
        }
        node.step(now, VmId(candidate), vote.clone());
        while let Some(output) = node.poll_output() {
            match output {
                Output::Persist { ticket, ops } => {
                    for op in ops {
                        if let Op::HardState(state) = op {
                            recovered.hard_state = state;
                        }
                    }
                    node.persisted(now, ticket);
                }
                Output::Send { msg, .. } => granted.push(msg),
                _ => {}
            }
        }
    }
    // The node has no leader's message, so that only its last start counts.
    let reply = |granted| Message::VoteReply {
        term: Term(5),
        granted,
        idle: std::time::Duration::ZERO,
    };
    assert_eq!(
        granted,
        [reply(true), reply(false), reply(false), reply(true)]
    );
}

/// Guards against a proposal that is reported as rejected and is then committed: a later leader may
/// replicate and commit an entry that an earlier one has overwritten on this node.
#[test]
fn an_overwritten_proposal_that_is_committed_later_is_applied_and_not_rejected() {
    let (mut node, now) = elected_leader(vec![entry(1, 1)], 1);
    let command = Bytes::from_static(b"command");
    let index = node.propose(now, command.clone()).unwrap();
    let append = |term, entries| {
        Message::Append(Append {
            term: Term(term),
            round: 1,
            prev_index: LogIndex(1),
            prev_term: Term(1),
            commit: LogIndex(if term == 4 { 4 } else { 1 }),
            entries,
        })
    };
    node.step(now, VmId(2), append(3, vec![entry(2, 3)]));
    let proposed = Entry {
        payload: Payload::Command(command.clone()),
        ..entry(3, 2)
    };
    node.step(
        now,
        VmId(3),
        append(4, vec![entry(2, 2), proposed, entry(4, 4)]),
    );
    let outputs: Vec<_> = std::iter::from_fn(|| node.poll_output()).collect();
    assert!(outputs.contains(&Output::Apply {
        index,
        term: Term(2),
        command,
    }));
    assert!(!outputs.contains(&Output::Rejected { index }));
}
