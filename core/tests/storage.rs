//! Tests of the on-disk format: recovery truncates a torn tail, reports any other damage as an
//! error, and never loses a synced entry without an error.

use std::collections::BTreeMap;

use bytes::Bytes;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use wagtailshunt_core::storage::{
    self, Entry, Error, FileOp, HardState, Membership, Op, Payload, Snapshot, Writer,
};
use wagtailshunt_core::types::{LogIndex, Term, VmId};

type Files = BTreeMap<String, Vec<u8>>;

fn run(files: &mut Files, file_ops: &[FileOp]) {
    for file_op in file_ops {
        match file_op {
            FileOp::Write { file, offset, data } => {
                let content = files.entry(file.clone()).or_default();
                content.truncate(*offset as usize);
                assert_eq!(
                    content.len() as u64,
                    *offset,
                    "write leaves a gap in {file}"
                );
                content.extend_from_slice(data);
            }
            FileOp::SetLen { file, len } => files.get_mut(file).unwrap().truncate(*len as usize),
            FileOp::Rename { from, to } => {
                let content = files.remove(from).unwrap();
                files.insert(to.clone(), content);
            }
            FileOp::Remove { file } => {
                files.remove(file);
            }
            FileOp::Sync { .. } | FileOp::SyncFolder => {}
        }
    }
}

fn open(files: &Files) -> Result<storage::Opened, Error> {
    let list: Vec<_> = files.iter().map(|(n, c)| (n.clone(), &c[..])).collect();
    storage::recover(&list)
}

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index: LogIndex(index),
        term: Term(term),
        payload: Payload::Command(Bytes::from(format!("command {index} of term {term}"))),
    }
}

fn append(range: std::ops::RangeInclusive<u64>, term: u64) -> Op {
    Op::Append {
        entries: range.map(|index| entry(index, term)).collect(),
    }
}

fn snapshot(index: u64, term: u64) -> Op {
    Op::Snapshot(Snapshot {
        index: LogIndex(index),
        term: Term(term),
        membership: Membership::of_voters([VmId(1), VmId(2)]),
        data: Bytes::from(format!("state at {index}")),
    })
}

fn hard_state(term: u64) -> Op {
    Op::HardState(HardState {
        term: Term(term),
        voted_for: Some(VmId(2)),
    })
}

fn write(files: &mut Files, batches: &[Vec<Op>], segment_bytes: u64) -> Writer {
    let mut opened = open(files).unwrap();
    opened.writer.set_segment_bytes(segment_bytes);
    for batch in batches {
        run(files, &opened.writer.plan(batch));
    }
    opened.writer
}

fn indices(files: &Files) -> Vec<u64> {
    let recovered = open(files).unwrap().recovered;
    recovered.entries.iter().map(|e| e.index.0).collect()
}

/// Guards against entries, truncations, terms or votes that are lost or reappear in recovery.
#[test]
fn recovers_entries_truncation_and_vote_over_several_segments() {
    let mut files = Files::new();
    let batches = [
        vec![hard_state(1), append(1..=5, 1)],
        vec![append(6..=9, 1)],
        vec![hard_state(2), Op::Truncate { from: LogIndex(4) }],
        vec![append(4..=12, 2)],
        vec![append(13..=13, 2)],
    ];
    write(&mut files, &batches, 100);
    assert!(files.len() > 1, "several segments");
    let recovered = open(&files).unwrap().recovered;
    assert_eq!(recovered.hard_state.term, Term(2));
    assert_eq!(recovered.hard_state.voted_for, Some(VmId(2)));
    let terms: Vec<_> = recovered.entries.iter().map(|e| e.term.0).collect();
    assert_eq!(terms, [1, 1, 1, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2]);
    assert_eq!(indices(&files), (1..=13).collect::<Vec<_>>());
}

/// Guards against a folder that grows without limit, and a term or vote that is lost with a removed
/// segment.
#[test]
fn compaction_removes_files_and_keeps_term_and_vote() {
    let mut files = Files::new();
    let mut batches = vec![vec![hard_state(3)]];
    batches.extend((1..=20).map(|i| vec![append(i..=i, 3)]));
    let through = LogIndex(15);
    batches.push(vec![snapshot(15, 3), Op::Compact { through }]);
    write(&mut files, &batches, 60);
    let recovered = open(&files).unwrap().recovered;
    assert_eq!(recovered.hard_state.term, Term(3));
    assert_eq!(recovered.snapshot.index, through);
    assert_eq!(indices(&files), [16, 17, 18, 19, 20]);
    let segments = files.keys().filter(|name| name.ends_with(".wal")).count();
    assert!(segments < 10, "{segments} segments are left");
}

/// Guards against entries that conflict with the leader's snapshot and survive a crash.
#[test]
fn a_crash_between_snapshot_and_truncation_discards_the_conflicting_log() {
    let mut files = Files::new();
    write(
        &mut files,
        &[vec![append(1..=12, 1)], vec![snapshot(10, 2)]],
        1 << 20,
    );
    let opened = open(&files).unwrap();
    assert!(opened.recovered.entries.is_empty());
    run(&mut files, &opened.repair);
    write(&mut files, &[vec![append(11..=11, 2)]], 1 << 20);
    assert_eq!(indices(&files), [11]);
}

/// Guards against a start with a gap in the log.
#[test]
fn a_missing_segment_or_snapshot_is_an_error() {
    let mut files = Files::new();
    let batches: Vec<_> = (1..=9).map(|i| vec![append(i..=i, 1)]).collect();
    write(&mut files, &batches, 10);
    files.remove("log-00000000000000000005.wal").unwrap();
    let missing = open(&files).unwrap_err();
    assert_eq!(
        missing,
        Error::Missing {
            file: "log-00000000000000000006.wal".to_owned(),
            offset: 0,
            from: LogIndex(5),
            to: LogIndex(5),
        }
    );
}

/// Guards against a torn write that leaves part of a batch: truncates the last segment at every
/// length and expects the state after a whole batch.
#[test]
fn every_truncation_of_the_tail_leaves_whole_batches() {
    let mut files = Files::new();
    let batches = [
        vec![append(1..=2, 1)],
        vec![append(3..=4, 1)],
        vec![append(5..=6, 1)],
    ];
    write(&mut files, &batches, 1 << 20);
    let name = files.keys().next().unwrap().clone();
    let whole = files[&name].clone();
    for len in 0..whole.len() {
        let mut truncated = files.clone();
        truncated.get_mut(&name).unwrap().truncate(len);
        let opened = open(&truncated).unwrap();
        let count = opened.recovered.entries.len();
        assert!(
            count.is_multiple_of(2) && count < 6,
            "{count} entries at length {len}"
        );
        run(&mut truncated, &opened.repair);
        let again = open(&truncated).unwrap();
        assert_eq!(again.recovered, opened.recovered);
        assert_eq!(again.torn_bytes, 0);
    }
}

/// Guards against an empty segment in the middle of the log: a crash may leave the name of a new
/// segment without content, and recovery must remove it before another segment follows.
#[test]
fn an_empty_segment_at_the_end_is_removed() {
    let mut files = Files::new();
    write(&mut files, &[vec![append(1..=4, 1)]], 1);
    files.insert("log-00000000000000000005.wal".to_owned(), Vec::new());
    let opened = open(&files).unwrap();
    run(&mut files, &opened.repair);
    write(&mut files, &[vec![append(5..=5, 1)]], 1 << 20);
    write(&mut files, &[vec![append(6..=6, 1)]], 1);
    assert_eq!(indices(&files), [1, 2, 3, 4, 5, 6]);
}

/// Guards against undetected corruption: flips each single bit and expects an error that names the
/// file, or the loss of only the last frame.
#[test]
fn every_flipped_bit_is_reported_unless_it_is_in_the_last_frame() {
    let mut files = Files::new();
    let batches: Vec<_> = (1..=6).map(|i| vec![append(i..=i, 1)]).collect();
    write(&mut files, &batches, 150);
    let last = files.keys().last().unwrap().clone();
    let frame = storage::FRAME_HEADER_BYTES;
    for (name, content) in &files {
        for bit in 0..content.len() * 8 {
            let mut flipped = files.clone();
            flipped.get_mut(name).unwrap()[bit / 8] ^= 1 << (bit % 8);
            match open(&flipped) {
                Err(Error::Damaged { file, offset, .. }) => {
                    assert_eq!(&file, name);
                    assert!(offset as usize <= bit / 8);
                }
                Err(other) => panic!("{other}"),
                Ok(opened) => {
                    assert_eq!(*name, last, "bit {bit} of {name}");
                    assert_eq!(opened.recovered.entries.len(), 5, "bit {bit} of {name}");
                    assert!(opened.torn_bytes as usize > frame);
                }
            }
        }
    }
}

/// Guards against a fallback to an older snapshot, which would lose committed entries.
#[test]
fn a_damaged_snapshot_is_an_error_even_when_an_older_one_exists() {
    let mut files = Files::new();
    write(
        &mut files,
        &[
            vec![append(1..=9, 1)],
            vec![snapshot(4, 1)],
            vec![snapshot(8, 1)],
        ],
        1 << 20,
    );
    let name = "snapshot-00000000000000000008.snap";
    let content = files.get_mut(name).unwrap();
    let middle = content.len() / 2;
    content[middle] ^= 1;
    assert!(matches!(open(&files), Err(Error::Damaged { file, .. }) if file == name));
}

/// Random sequence of batches as a node could produce it.
#[derive(Clone, Debug)]
struct Batches(Vec<Vec<Op>>);

impl Arbitrary for Batches {
    fn arbitrary(g: &mut Gen) -> Batches {
        let (mut first, mut last, mut term) = (1, 0, 1);
        let mut batches = Vec::new();
        for _ in 0..usize::arbitrary(g) % 30 {
            let mut batch = Vec::new();
            for _ in 0..1 + u8::arbitrary(g) % 3 {
                match u8::arbitrary(g) % 6 {
                    0 if last >= first => {
                        term += 1;
                        let from = first + u64::arbitrary(g) % (last - first + 1);
                        batch.push(hard_state(term));
                        batch.push(Op::Truncate {
                            from: LogIndex(from),
                        });
                        last = from - 1;
                    }
                    1 if last >= first => {
                        let index = first + u64::arbitrary(g) % (last - first + 1);
                        // The test sets the term to that of the covered entry.
                        batch.push(Op::Snapshot(Snapshot {
                            index: LogIndex(index),
                            term: Term(0),
                            ..Snapshot::default()
                        }));
                        batch.push(Op::Compact {
                            through: LogIndex(index),
                        });
                        first = index + 1;
                    }
                    _ => {
                        let count = 1 + u64::arbitrary(g) % 4;
                        batch.push(append(last + 1..=last + count, term));
                        last += count;
                    }
                }
            }
            batches.push(batch);
        }
        Batches(batches)
    }
}

/// Guards against any difference between the recovered and the written state, by comparison with a
/// simple model after every batch.
#[test]
fn recovery_agrees_with_a_model() {
    fn check(Batches(mut batches): Batches, segment_bytes: u8) -> TestResult {
        let mut files = Files::new();
        let mut writer = open(&files).unwrap().writer;
        writer.set_segment_bytes(u64::from(segment_bytes));
        let mut entries: Vec<Entry> = Vec::new();
        let mut snapshot_index = LogIndex(0);
        for batch in &mut batches {
            for op in batch.iter_mut() {
                match op {
                    Op::Append { entries: more } => entries.extend(more.iter().cloned()),
                    Op::Truncate { from } => entries.retain(|e| e.index < *from),
                    Op::Snapshot(snapshot) => {
                        snapshot_index = snapshot.index;
                        let found = entries.iter().find(|e| e.index == snapshot_index);
                        snapshot.term = found.unwrap().term;
                    }
                    Op::Compact { .. } | Op::HardState(_) => {}
                }
            }
            run(&mut files, &writer.plan(batch));
            let opened = open(&files).unwrap();
            let expected = entries.iter().filter(|e| e.index > snapshot_index);
            assert!(expected.eq(&opened.recovered.entries));
            assert!(opened.repair.is_empty());
            if entries.len().is_multiple_of(3) {
                writer = opened.writer;
                writer.set_segment_bytes(u64::from(segment_bytes));
            }
        }
        TestResult::passed()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 1))
        .tests(300)
        .quickcheck(check as fn(Batches, u8) -> TestResult);
}

/// Guards against a disk of which nobody hears before it is full: the load is a log that grows by
/// 100 KB a second.
#[test]
fn growing_files_warn_before_the_disk_is_full() {
    const LIMIT: u64 = 64 * 1024 * 1024;
    let mut watch = storage::SpaceWatch::default();
    let mut warnings = Vec::new();
    for second in (0..700).step_by(10) {
        let now = wagtailshunt_core::time::Instant(second * 1_000_000);
        warnings.extend(watch.observe(now, second * 100_000, LIMIT));
    }
    assert_eq!(warnings.len(), 3, "{warnings:?}");
    for warning in &warnings {
        let expected = (LIMIT - warning.used) as f64 / 100_000.0;
        let full_in = warning.full_in.unwrap().as_secs_f64();
        assert!(
            (full_in / expected - 1.0).abs() < 0.01,
            "{full_in} {expected}"
        );
    }
    // The warnings come again after the use has fallen.
    let later = wagtailshunt_core::time::Instant(800_000_000);
    assert_eq!(watch.observe(later, 0, LIMIT), None);
    assert!(watch.observe(later, LIMIT, LIMIT).is_some());
}
