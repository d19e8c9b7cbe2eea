//! The deterministic state machine.

use std::{collections, time::Duration};

use super::{answer, digest, key};
use crate::{time, types};

/// Time for which a key is kept after its creation.
pub const RETENTION: Duration = Duration::from_secs(24 * 3600);

/// A key created later than this after the claim's time is refused. The limit bounds how long a
/// key can outlive [`RETENTION`], and covers the usual error of callers' clocks.
pub const FUTURE_LIMIT: Duration = Duration::from_secs(300);

/// Memory charged for each key in bytes, besides its stored answer. 217 bytes of resident memory were
/// measured for a running key, with the map, the expiry index and the allocator's share
/// (`lab::ledger_bench`).
pub const KEY_BYTES: u64 = 220;

/// The claim of one call on one gateway. Commands of an earlier claim never affect a later one,
/// even when both belong to the same key and gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Holder {
    /// VM of the gateway.
    pub vm: types::VmId,
    /// Incarnation of the gateway's process.
    pub incarnation: types::Incarnation,
    /// Number of the claim, unique within the incarnation.
    pub claim: u64,
}

/// Bounds of a ledger. They are part of the replicated state, so that all replicas decide alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Most keys.
    pub keys: u64,
    /// Most bytes, counting [`KEY_BYTES`] for each key and its stored answer.
    pub bytes: u64,
}

impl Default for Limits {
    fn default() -> Self {
        // About half of the memory that a daemon may use for control at the design size.
        Limits {
            keys: 200_000,
            bytes: 64 * 1024 * 1024,
        }
    }
}

/// A replicated command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Claims a key before the call is dispatched.
    Claim {
        /// Key of the call.
        key: key::Key,
        /// Digest of the request.
        digest: digest::Digest,
        /// Claim that asks.
        holder: Holder,
        /// Replicated time of the claim.
        now: time::UnixMillis,
        /// Time after which the holder is taken for gone: the call's deadline and the grace.
        expires: time::UnixMillis,
    },
    /// The call ran and was answered.
    Complete {
        /// Key of the call.
        key: key::Key,
        /// Claim under which it ran.
        holder: Holder,
        /// Answer to store.
        answer: answer::Answer,
    },
    /// The call was proved not to have run.
    Release {
        /// Key of the call.
        key: key::Key,
        /// Claim that ends.
        holder: Holder,
    },
    /// The outcome of the call is not known.
    Fail {
        /// Key of the call.
        key: key::Key,
        /// Claim under which it ran.
        holder: Holder,
    },
    /// Moves the replicated time on, expires claims and raises the floor.
    Advance {
        /// New replicated time; an earlier time changes nothing.
        now: time::UnixMillis,
    },
    /// Replaces the bounds.
    Configure {
        /// New bounds; keys above them are kept.
        limits: Limits,
    },
}

impl Command {
    /// Key that the command is about, if it is about one.
    pub fn key(&self) -> Option<key::Key> {
        match self {
            Command::Claim { key, .. }
            | Command::Complete { key, .. }
            | Command::Release { key, .. }
            | Command::Fail { key, .. } => Some(*key),
            Command::Advance { .. } | Command::Configure { .. } => None,
        }
    }
}

/// Result of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The claim is granted; the call may be dispatched.
    Granted,
    /// Another claim runs the call.
    Running {
        /// Time at which it becomes unknown at the latest.
        expires: time::UnixMillis,
    },
    /// The call ran; this is its answer.
    Completed(answer::Answer),
    /// The call may have run; it never runs again.
    Unknown,
    /// The key was used with another request.
    Mismatch,
    /// The key is older than the floor; it may have run.
    TooOld,
    /// The key is dated too far in the future; it did not run.
    TooNew,
    /// The ledger is full; the call did not run.
    Full,
    /// The claim had expired when it was applied; it was not granted.
    Expired,
    /// The command was applied.
    Done,
    /// The key is not held by this claim; nothing was changed.
    NotHolder,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum State {
    Running {
        holder: Holder,
        expires: time::UnixMillis,
    },
    Completed(Box<[u8]>),
    Unknown {
        holder: Holder,
        // Whether the holder itself reported it. Only then is a later release contradictory.
        reported: bool,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Entry {
    pub(super) digest: digest::Digest,
    pub(super) state: State,
}

/// State of a key, for readers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// The key is not in the ledger.
    Absent,
    /// A call runs under the key.
    Running {
        /// Time at which it becomes unknown at the latest.
        expires: time::UnixMillis,
    },
    /// The answer is stored.
    Completed,
    /// The outcome is not known.
    Unknown,
}

/// Keys of one ledger shard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    pub(super) limits: Limits,
    pub(super) applied: types::LogIndex,
    pub(super) clock: time::UnixMillis,
    pub(super) floor: time::UnixMillis,
    pub(super) entries: collections::BTreeMap<key::Key, Entry>,
    pub(super) expiries: collections::BTreeSet<(time::UnixMillis, key::Key)>,
    pub(super) bytes: u64,
}

impl Ledger {
    /// Creates an empty ledger with the default bounds.
    pub fn new() -> Self {
        Ledger::default()
    }

    /// Applies a committed command. A command at or below [`Ledger::applied`] changes nothing.
    pub fn apply(&mut self, index: types::LogIndex, command: &Command) -> Reply {
        if index <= self.applied {
            return Reply::Done;
        }
        self.applied = index;
        match command {
            Command::Claim {
                key,
                digest,
                holder,
                now,
                expires,
            } => self.claim(*key, *digest, *holder, *now, *expires),
            Command::Complete {
                key,
                holder,
                answer,
            } => self.complete(*key, *holder, answer),
            Command::Release { key, holder } => self.release(*key, *holder),
            Command::Fail { key, holder } => self.fail(*key, *holder),
            Command::Advance { now } => self.advance(*now),
            Command::Configure { limits } => {
                self.limits = *limits;
                Reply::Done
            }
        }
    }

    /// Index of the last applied command.
    pub fn applied(&self) -> types::LogIndex {
        self.applied
    }

    /// Replicated time: the latest time of any applied command.
    pub fn clock(&self) -> time::UnixMillis {
        self.clock
    }

    /// Keys created before this time are no longer known.
    pub fn floor(&self) -> time::UnixMillis {
        self.floor
    }

    /// Bounds in force.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Charged memory in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Time at which the next running claim expires.
    pub fn next_expiry(&self) -> Option<time::UnixMillis> {
        self.expiries.first().map(|(expires, _)| *expires)
    }

    /// State of a key.
    pub fn state(&self, key: key::Key) -> KeyState {
        match self.entries.get(&key).map(|entry| &entry.state) {
            None => KeyState::Absent,
            Some(State::Running { expires, .. }) => KeyState::Running { expires: *expires },
            Some(State::Completed(_)) => KeyState::Completed,
            Some(State::Unknown { .. }) => KeyState::Unknown,
        }
    }

    /// Answers a claim as far as that is possible without granting it, `None` when the key is
    /// free. Only a leader that holds its lease may answer a caller from this.
    pub fn peek(&self, key: key::Key, digest: digest::Digest, holder: Holder) -> Option<Reply> {
        if key.created() < self.floor {
            return Some(Reply::TooOld);
        }
        let entry = self.entries.get(&key)?;
        if entry.digest != digest {
            return Some(Reply::Mismatch);
        }
        let reply = match &entry.state {
            State::Running { holder: first, .. } if *first == holder => Reply::Granted,
            State::Running { expires, .. } => Reply::Running { expires: *expires },
            State::Completed(stored) => {
                Reply::Completed(answer::Answer::decode(stored).unwrap_or_default())
            }
            State::Unknown { .. } => Reply::Unknown,
        };
        Some(reply)
    }

    fn claim(
        &mut self,
        key: key::Key,
        digest: digest::Digest,
        holder: Holder,
        now: time::UnixMillis,
        expires: time::UnixMillis,
    ) -> Reply {
        self.expire(now);
        if let Some(reply) = self.peek(key, digest, holder) {
            return reply;
        }
        if expires <= self.clock {
            return Reply::Expired;
        }
        // The floor rises in steps and only while there are keys, so it can lie far behind.
        if key.created().0 < self.clock.0.saturating_sub(millis(RETENTION)) {
            return Reply::TooOld;
        }
        if key.created() > plus(self.clock, FUTURE_LIMIT) {
            return Reply::TooNew;
        }
        let full = self.entries.len() as u64 >= self.limits.keys
            || self.bytes + KEY_BYTES > self.limits.bytes;
        if full {
            return Reply::Full;
        }
        let state = State::Running { holder, expires };
        self.entries.insert(key, Entry { digest, state });
        self.expiries.insert((expires, key));
        self.bytes += KEY_BYTES;
        Reply::Granted
    }

    fn complete(&mut self, key: key::Key, holder: Holder, answer: &answer::Answer) -> Reply {
        let room = self.limits.bytes.saturating_sub(self.bytes);
        let Some(entry) = self.entries.get_mut(&key) else {
            return Reply::NotHolder;
        };
        // A holder that was taken for gone may still report what it knows.
        match &entry.state {
            State::Running { holder: h, expires } if *h == holder => {
                self.expiries.remove(&(*expires, key));
            }
            State::Unknown { holder: h, .. } if *h == holder => {}
            // The same answer again: the reply to the first command was lost.
            State::Completed(stored) if is_encoding_of(stored, answer) => return Reply::Done,
            _ => return Reply::NotHolder,
        }
        let stored = encode_within(answer, room);
        self.bytes += stored.len() as u64;
        entry.state = State::Completed(stored);
        Reply::Done
    }

    fn release(&mut self, key: key::Key, holder: Holder) -> Reply {
        let Some(entry) = self.entries.get(&key) else {
            return Reply::NotHolder;
        };
        match &entry.state {
            State::Running { holder: h, expires } if *h == holder => {
                self.expiries.remove(&(*expires, key));
            }
            State::Unknown {
                holder: h,
                reported: false,
            } if *h == holder => {}
            _ => return Reply::NotHolder,
        }
        self.entries.remove(&key);
        self.bytes -= KEY_BYTES;
        Reply::Done
    }

    fn fail(&mut self, key: key::Key, holder: Holder) -> Reply {
        let Some(entry) = self.entries.get_mut(&key) else {
            return Reply::NotHolder;
        };
        match &entry.state {
            State::Running { holder: h, expires } if *h == holder => {
                self.expiries.remove(&(*expires, key));
            }
            State::Unknown { holder: h, .. } if *h == holder => {}
            _ => return Reply::NotHolder,
        }
        entry.state = State::Unknown {
            holder,
            reported: true,
        };
        Reply::Done
    }

    fn advance(&mut self, now: time::UnixMillis) -> Reply {
        self.expire(now);
        let floor = time::UnixMillis(self.clock.0.saturating_sub(millis(RETENTION)));
        if floor <= self.floor {
            return Reply::Done;
        }
        self.floor = floor;
        let kept = self.entries.split_off(&key::Key::lowest(floor));
        for (key, entry) in std::mem::replace(&mut self.entries, kept) {
            self.bytes -= charge(&entry);
            if let State::Running { expires, .. } = entry.state {
                self.expiries.remove(&(expires, key));
            }
        }
        Reply::Done
    }

    /// Moves the replicated time on and turns expired claims into unknown outcomes.
    fn expire(&mut self, now: time::UnixMillis) {
        self.clock = self.clock.max(now);
        while let Some((expires, key)) = self.expiries.first().copied() {
            if expires > self.clock {
                break;
            }
            self.expiries.remove(&(expires, key));
            let Some(entry) = self.entries.get_mut(&key) else {
                continue;
            };
            if let State::Running { holder, .. } = entry.state {
                entry.state = State::Unknown {
                    holder,
                    reported: false,
                };
            }
        }
    }
}

/// Memory charged for an entry.
pub(super) fn charge(entry: &Entry) -> u64 {
    match &entry.state {
        State::Completed(stored) => KEY_BYTES + stored.len() as u64,
        State::Running { .. } | State::Unknown { .. } => KEY_BYTES,
    }
}

/// Encodes an answer; without its body, or with its status alone, when that is all that fits.
fn encode_within(answer: &answer::Answer, room: u64) -> Box<[u8]> {
    let status_only = answer::Answer {
        status: answer.status,
        ..Default::default()
    };
    if !answer.is_encodable() {
        return status_only.encode();
    }
    let bounded = answer.clone().bounded();
    let whole = bounded.encode();
    if whole.len() as u64 <= room {
        return whole;
    }
    status_only.encode()
}

fn is_encoding_of(stored: &[u8], answer: &answer::Answer) -> bool {
    let same = |room| *encode_within(answer, room) == *stored;
    same(u64::MAX) || same(0)
}

pub(super) fn plus(time: time::UnixMillis, duration: Duration) -> time::UnixMillis {
    time::UnixMillis(time.0.saturating_add(millis(duration)))
}

pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
