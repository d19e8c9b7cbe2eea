//! Measures time and memory of the idempotency ledger, filled with a given number of keys.

use std::{fmt, fs, hint, time};

use bytes::Bytes;
use rand::{Rng, SeedableRng, rngs};
use wagtailshunt_core::{ledger, time as core_time, types};

/// Size in bytes of the stored body of each response, as of a short JSON confirmation.
pub const BODY_BYTES: usize = 200;

/// Wall clock time of the commands, in milliseconds since the Unix epoch.
const WALL_CLOCK_MS: u64 = 1_900_000_000_000;

/// Number of commands of each kind that are timed at the full size.
const SAMPLE_COMMANDS: usize = 5_000;

/// Result of [`measure`].
#[derive(Clone, Copy, Debug)]
pub struct Measurements {
    /// Number of keys.
    pub keys: usize,
    /// Mean time of a claim at the full size.
    pub claim: time::Duration,
    /// Mean time of a completion at the full size.
    pub complete: time::Duration,
    /// Mean time of a replay of a stored response at the full size.
    pub replay: time::Duration,
    /// Resident memory per running key in bytes; `None` where the system does not report it.
    pub running_bytes: Option<u64>,
    /// Resident memory per completed key in bytes, with its response.
    pub completed_bytes: Option<u64>,
    /// Memory per completed key in bytes, as the ledger accounts for it.
    pub charged_bytes: u64,
    /// Time to encode a snapshot.
    pub snapshot: time::Duration,
    /// Size of the snapshot in bytes.
    pub snapshot_bytes: usize,
    /// Time to restore the snapshot.
    pub restore: time::Duration,
    /// Time of an `Advance` command that expires all keys.
    pub drop_all: time::Duration,
}

impl fmt::Display for Measurements {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let bytes = |value: Option<u64>| value.map_or("-".to_owned(), |v| v.to_string());
        write!(
            f,
            "keys {} claim {:?} complete {:?} replay {:?} running_bytes {} completed_bytes {} \
             charged_bytes {} snapshot {:?} snapshot_bytes {} restore {:?} drop_all {:?}",
            self.keys,
            self.claim,
            self.complete,
            self.replay,
            bytes(self.running_bytes),
            bytes(self.completed_bytes),
            self.charged_bytes,
            self.snapshot,
            self.snapshot_bytes,
            self.restore,
            self.drop_all,
        )
    }
}

/// Fills a ledger with `keys` keys and measures it.
///
/// Memory is only meaningful in the first call in a process, since the allocator keeps freed
/// memory.
pub fn measure(keys: usize, seed: u64) -> Measurements {
    let mut bench = Bench::new(keys, seed);
    let before = resident_bytes();
    bench.run(0..keys, Bench::claim);
    let running = resident_bytes();
    bench.run(0..keys, Bench::complete);
    let completed = resident_bytes();
    let charged_bytes = bench.ledger.bytes() / keys.max(1) as u64;
    let extra = keys..keys + SAMPLE_COMMANDS;
    let claim = bench.run(extra.clone(), Bench::claim);
    let complete = bench.run(extra.clone(), Bench::complete);
    let replay = bench.run(extra, Bench::claim);
    let started = time::Instant::now();
    let snapshot = bench.ledger.snapshot();
    let snapshot_time = started.elapsed();
    let started = time::Instant::now();
    hint::black_box(ledger::Ledger::restore(&snapshot).is_ok());
    let restore = started.elapsed();
    let per_key = |from: Option<u64>, to: Option<u64>| {
        let used = to?.saturating_sub(from?);
        Some(used / keys.max(1) as u64)
    };
    let started = time::Instant::now();
    bench.advance_past_all();
    Measurements {
        keys,
        claim,
        complete,
        replay,
        running_bytes: per_key(before, running),
        completed_bytes: per_key(before, completed),
        charged_bytes,
        snapshot: snapshot_time,
        snapshot_bytes: snapshot.len(),
        restore,
        drop_all: started.elapsed(),
    }
}

struct Bench {
    ledger: ledger::Ledger,
    index: u64,
    keys: Vec<ledger::Key>,
}

impl Bench {
    fn new(keys: usize, seed: u64) -> Self {
        let mut rng = rngs::SmallRng::seed_from_u64(seed);
        let mut new_key = |number: usize| {
            // Keys arrive almost in the order of their timestamps.
            let created = core_time::UnixMillis(WALL_CLOCK_MS + number as u64 / 10);
            ledger::Key::new(created, rng.random())
        };
        let mut bench = Bench {
            ledger: ledger::Ledger::new(),
            index: 0,
            keys: (0..keys + SAMPLE_COMMANDS).map(&mut new_key).collect(),
        };
        let limits = ledger::Limits {
            keys: u64::MAX,
            bytes: u64::MAX,
        };
        bench.apply(&ledger::Command::Configure { limits });
        bench
    }

    /// Applies a command for each of the keys and returns the mean time of one.
    fn run(
        &mut self,
        range: std::ops::Range<usize>,
        command: fn(&Bench, usize) -> ledger::Command,
    ) -> time::Duration {
        let count = range.len().max(1) as u32;
        let mut spent = time::Duration::ZERO;
        for number in range {
            let command = command(self, number);
            let started = time::Instant::now();
            hint::black_box(self.apply(&command));
            spent += started.elapsed();
        }
        spent / count
    }

    fn apply(&mut self, command: &ledger::Command) -> ledger::Reply {
        self.index += 1;
        self.ledger.apply(types::LogIndex(self.index), command)
    }

    fn holder(number: usize) -> ledger::Holder {
        ledger::Holder {
            vm: types::VmId(number as u32 % 11),
            incarnation: types::Incarnation(1),
            claim: number as u64,
        }
    }

    fn claim(&self, number: usize) -> ledger::Command {
        ledger::Command::Claim {
            key: self.keys[number],
            digest: ledger::Digest(number as u128),
            holder: Bench::holder(number),
            now: core_time::UnixMillis(WALL_CLOCK_MS),
            expires: core_time::UnixMillis(WALL_CLOCK_MS + 10_000),
        }
    }

    fn complete(&self, number: usize) -> ledger::Command {
        let content_type = Bytes::from_static(b"application/json");
        let response = ledger::StoredResponse {
            status: 201,
            headers: vec![("content-type".to_owned(), content_type)],
            body: Some(Bytes::from(vec![b'x'; BODY_BYTES])),
        };
        ledger::Command::Complete {
            key: self.keys[number],
            holder: Bench::holder(number),
            response,
        }
    }

    fn advance_past_all(&mut self) {
        let later = WALL_CLOCK_MS + 3 * 24 * 3_600_000;
        let now = core_time::UnixMillis(later);
        self.apply(&ledger::Command::Advance { now });
    }
}

/// Returns the resident memory of this process, or `None` where the system does not report it.
fn resident_bytes() -> Option<u64> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes * 1024)
}
