//! Tests of catching up with the replicated state in parts and by kept commands.

use std::time;

use bytes::Bytes;
use wagtailshunt_core::{
    catch_up::{CatchUp, EncodedState, EncodedStates, PART_BYTES, PART_TIMEOUT, Progress},
    time as core_time,
    types::{LogIndex, VmId},
};

const SENDER: VmId = VmId(1);
const OTHER: VmId = VmId(2);

fn at(ms: u64) -> core_time::Instant {
    core_time::Instant::default() + time::Duration::from_millis(ms)
}

fn encoded(index: u64, seed: u8) -> EncodedState {
    let bytes: Vec<u8> = (0..PART_BYTES * 5 / 2)
        .map(|i| (i % 251) as u8 ^ seed)
        .collect();
    EncodedState::new(LogIndex(index), bytes.into())
}

/// Requests parts of a state from `from` until the progress is another than `Next`, or `limit` parts
/// have arrived.
fn receive(
    catch_up: &mut CatchUp,
    from: VmId,
    state: &EncodedState,
    limit: usize,
) -> (usize, Progress) {
    for count in 1..=limit {
        let in_progress = catch_up.requested(at(0), from);
        let offset = match in_progress {
            Some((index, offset)) if index == state.id.index => offset,
            _ => 0,
        };
        let progress = catch_up.part_received(at(0), LogIndex(0), from, state.part(offset));
        if progress != Progress::Next || count == limit {
            return (count, progress);
        }
    }
    (0, Progress::Ignored)
}

/// Guards against a state that is larger than a message and never arrives.
#[test]
fn state_arrives_in_parts() {
    let state = encoded(7, 0);
    let mut catch_up = CatchUp::default();
    let (parts, progress) = receive(&mut catch_up, SENDER, &state, 9);
    assert_eq!(parts, 3);
    assert_eq!(progress, Progress::Complete(LogIndex(7), state.data));
    assert!(catch_up.may_request(at(0)));
}

/// Guards against a transfer that starts over when its sender is lost and another VM has the same
/// state.
#[test]
fn transfer_continues_at_another_vm() {
    let state = encoded(7, 0);
    let mut catch_up = CatchUp::default();
    assert_eq!(receive(&mut catch_up, SENDER, &state, 2).1, Progress::Next);
    assert!(!catch_up.may_request(at(0)));
    assert!(catch_up.is_overdue(core_time::Instant::default() + PART_TIMEOUT));
    let (parts, progress) = receive(&mut catch_up, OTHER, &state, 9);
    assert_eq!(parts, 1);
    assert_eq!(progress, Progress::Complete(LogIndex(7), state.data));
}

/// Guards against a VM that never gets the state because each reply comes after it has asked the next
/// VM, as when many VMs start at once.
#[test]
fn reply_that_comes_late_is_used() {
    let state = encoded(7, 0);
    let mut catch_up = CatchUp::default();
    catch_up.requested(at(0), SENDER);
    catch_up.requested(at(300), OTHER);
    let first = catch_up.part_received(at(400), LogIndex(0), SENDER, state.part(0));
    assert_eq!(first, Progress::Next);
    // The transfer goes on at the VM that has replied, not at the one that was asked last.
    catch_up.requested(at(400), SENDER);
    let other = catch_up.part_received(at(500), LogIndex(0), OTHER, encoded(8, 1).part(0));
    assert_eq!(other, Progress::Ignored);
    let (_, progress) = receive(&mut catch_up, SENDER, &state, 9);
    assert_eq!(progress, Progress::Complete(LogIndex(7), state.data));
}

/// Guards against a mixture of two states, of different indexes or encodings.
#[test]
fn parts_of_two_states_are_not_joined() {
    for other in [encoded(8, 1), encoded(7, 1)] {
        let mut catch_up = CatchUp::default();
        receive(&mut catch_up, SENDER, &encoded(7, 0), 2);
        let (_, progress) = receive(&mut catch_up, OTHER, &other, 9);
        let expected = Progress::Complete(other.id.index, other.data);
        assert_eq!(progress, expected);
    }
}

/// Guards against late or repeated parts that damage the state, and against parts from a VM that was
/// not asked.
#[test]
fn unexpected_parts_are_ignored() {
    let state = encoded(7, 0);
    let mut catch_up = CatchUp::default();
    let part = |offset: usize| state.part(offset as u64);
    let unasked = catch_up.part_received(at(0), LogIndex(0), SENDER, part(0));
    assert_eq!(unasked, Progress::Ignored);
    catch_up.requested(at(0), SENDER);
    for offset in [0, 0, 2 * PART_BYTES, PART_BYTES] {
        let progress = catch_up.part_received(at(0), LogIndex(0), SENDER, part(offset));
        assert_eq!(progress, Progress::Next);
    }
    let old = catch_up.part_received(at(0), LogIndex(7), SENDER, part(0));
    assert_eq!(old, Progress::Ignored);
    let last = catch_up.part_received(at(0), LogIndex(0), SENDER, part(2 * PART_BYTES));
    assert_eq!(last, Progress::Complete(LogIndex(7), state.data));
}

/// Guards against a damaged or endless state, and against one that is never requested again.
#[test]
fn damaged_and_too_large_states_are_rejected() {
    let mut state = encoded(7, 0);
    let mut catch_up = CatchUp::default();
    state.id.checksum ^= 1;
    let (_, progress) = receive(&mut catch_up, SENDER, &state, 9);
    assert!(matches!(progress, Progress::Rejected(_)), "{progress:?}");
    assert!(catch_up.is_overdue(at(0)));
    state.id.total = u64::MAX;
    let (_, progress) = receive(&mut catch_up, SENDER, &state, 9);
    assert!(matches!(progress, Progress::Rejected(_)), "{progress:?}");
    assert!(catch_up.is_overdue(at(0)));
}

/// Guards against a VM that lacks the commands sent while its state was on the way, and requests the
/// state without end while changes go on.
#[test]
fn commands_that_arrive_before_the_state_are_applied_after_it() {
    let command = |i: u64| Bytes::from(i.to_string());
    let mut catch_up = CatchUp::default();
    for (previous, index) in [(5, 6), (6, 8), (8, 9)] {
        catch_up.keep_command(LogIndex(previous), LogIndex(index), command(index));
    }
    assert!(catch_up.has_gap());
    assert_eq!(catch_up.take_command(LogIndex(5)).unwrap().0, LogIndex(6));
    catch_up.applied(LogIndex(8));
    let next = catch_up.take_command(LogIndex(8));
    assert_eq!(next, Some((LogIndex(9), command(9))));
    assert!(!catch_up.has_gap());
    // Commands after a gap replace the kept ones, which can't be applied before them.
    catch_up.keep_command(LogIndex(10), LogIndex(11), command(11));
    catch_up.keep_command(LogIndex(20), LogIndex(21), command(21));
    assert_eq!(catch_up.take_command(LogIndex(10)), None);
    assert_eq!(catch_up.take_command(LogIndex(20)).unwrap().0, LogIndex(21));
}

/// Guards against a sender that encodes its state for each of many VMs, or keeps all of its states.
#[test]
fn encoded_states_are_shared_and_bounded() {
    let mut states = EncodedStates::default();
    for index in 1..=3 {
        assert_eq!(states.latest_if_full(at(0)), None);
        states.insert(at(0), encoded(index, 0));
    }
    assert_eq!(states.get(at(1000), LogIndex(2)).unwrap().id.index.0, 2);
    assert_eq!(states.latest_if_full(at(1000)).unwrap().id.index.0, 3);
    // Only the states that were used lately are kept.
    assert_eq!(states.latest_if_full(at(3500)), None);
    assert_eq!(states.get(at(3500), LogIndex(1)), None);
    assert!(states.get(at(3500), LogIndex(2)).is_some());
}
