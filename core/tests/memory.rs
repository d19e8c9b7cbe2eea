//! Memory budget: who gets memory and who loses it.

use wagtailshunt_core::{
    memory::{
        Budget, Decision, HolderId, Kind, MIN_IDLE, PROGRESS_BYTES, SMALL_MESSAGE_BYTES, STALL,
        Waiting, YIELD_AFTER, caller_connections, capacity,
    },
    time::{Duration, Instant},
};

const MIB: u64 = 1024 * 1024;

/// Adds a message that holds `bytes` and waits for its client.
fn message(budget: &mut Budget, now: Instant, bytes: u64) -> HolderId {
    let id = budget.open(now, Kind::Message);
    assert_eq!(budget.reserve(now, id, bytes), Decision::Granted);
    budget.set_waiting(now, id, Waiting::Partial);
    id
}

/// Guards against a budget that leaves no room for the largest body on the smallest VM, or no
/// reserve at all.
#[test]
fn capacity_leaves_a_reserve_and_room_for_the_largest_body() {
    let smallest = capacity(Some(160 * MIB));
    assert!(smallest - smallest / 8 > 64 * MIB);
    for limit in [96, 160, 260, 416] {
        assert!(capacity(Some(limit * MIB)) <= limit * MIB - 40 * MIB);
    }
    assert!(capacity(None) > 64 * MIB);
    assert_eq!(caller_connections(Some(4100)), 1950);
}

/// Guards against unfinished bodies that keep their memory while others could be completed.
#[test]
fn stalled_message_loses_its_memory_and_one_that_moves_does_not() {
    let mut budget = Budget::new(8 * MIB);
    let start = Instant(0);
    let moves = message(&mut budget, start, 3 * MIB);
    let stalls = message(&mut budget, start, 3 * MIB);
    let new = budget.open(start, Kind::Message);
    assert_eq!(budget.reserve(start, new, 2 * MIB), Decision::Wait);
    let later = start + STALL;
    budget.moved(later, moves, PROGRESS_BYTES);
    let evicted = Decision::Evict(vec![stalls]);
    assert_eq!(budget.reserve(later, new, 2 * MIB), evicted);
    assert!(budget.is_evicted(stalls) && !budget.is_evicted(moves));
    budget.close(stalls);
    assert_eq!(budget.reserve(later, new, 2 * MIB), Decision::Granted);
    assert_eq!(budget.used(), 5 * MIB);
}

/// Guards against large bodies that leave no room for ordinary requests, and against idle
/// connections that are closed for the sake of large bodies.
#[test]
fn small_messages_find_room_beside_large_ones() {
    let mut budget = Budget::new(8 * MIB);
    let start = Instant(0);
    let connection = budget.open(start, Kind::Connection);
    assert_eq!(budget.reserve(start, connection, MIB), Decision::Granted);
    budget.set_waiting(start, connection, Waiting::Idle);
    let large = message(&mut budget, start, 6 * MIB);
    budget.set_waiting(start, large, Waiting::No);
    let later = start + STALL;
    let second = budget.open(later, Kind::Message);
    assert_eq!(budget.reserve(later, second, MIB), Decision::Wait);
    for _ in 0..MIB / SMALL_MESSAGE_BYTES {
        let small = budget.open(later, Kind::Message);
        let reserved = budget.reserve(later, small, SMALL_MESSAGE_BYTES);
        assert_eq!(reserved, Decision::Granted);
    }
    let search = later + Duration::from_secs(1);
    let small = budget.open(search, Kind::Message);
    let evicted = Decision::Evict(vec![connection]);
    assert_eq!(budget.reserve(search, small, 1), evicted);
}

/// Guards against bodies that wait for each other's memory until all are refused.
#[test]
fn oldest_waiting_message_gets_the_memory_of_the_youngest() {
    let mut budget = Budget::new(8 * MIB);
    let start = Instant(0);
    let ids: Vec<HolderId> = (0..3)
        .map(|_| message(&mut budget, start, 2 * MIB))
        .collect();
    for id in &ids {
        budget.set_waiting(start, *id, Waiting::No);
        assert_eq!(budget.reserve(start, *id, 2 * MIB), Decision::Wait);
    }
    let later = start + YIELD_AFTER;
    let evicted = Decision::Evict(vec![ids[2]]);
    assert_eq!(budget.reserve(later, ids[1], 2 * MIB), Decision::Wait);
    assert_eq!(budget.reserve(later, ids[0], 2 * MIB), evicted);
    budget.close(ids[2]);
    assert_eq!(budget.reserve(later, ids[1], 2 * MIB), Decision::Wait);
    assert_eq!(budget.reserve(later, ids[0], 2 * MIB), Decision::Granted);
}

/// Guards against idle clients that shut out new ones, and against a new connection that is closed
/// before its first request can arrive.
#[test]
fn longest_idle_connection_is_closed_for_a_new_one() {
    let mut budget = Budget::new(8 * MIB);
    let start = Instant(0);
    let mut connect = |at: u64, waiting| {
        let id = budget.open(start, Kind::Connection);
        budget.set_waiting(start + Duration::from_millis(at), id, waiting);
        id
    };
    connect(0, Waiting::No);
    connect(20, Waiting::Idle);
    let first = connect(10, Waiting::Idle);
    assert_eq!(budget.evict_connection(start + MIN_IDLE), None);
    let later = start + MIN_IDLE + MIN_IDLE;
    assert_eq!(budget.evict_connection(later), Some(first));
    assert_eq!(budget.evict_connection(later), None, "one is being closed");
}
