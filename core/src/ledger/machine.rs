//! Deterministic state machine of a ledger shard.
//!
//! Every replica applies the committed commands of the shard's log. All times are part of the
//! commands, so the result does not depend on the clock of a replica. The state machine decides
//! whether a claim is granted, and which keys are dropped.

use std::{collections, time::Duration};

use super::{digest, key, stored_response};
use crate::{time, types};

/// Time for which a key is kept after its creation.
pub const KEY_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Maximum time by which the creation time of a key may be ahead of its claim. Later keys are
/// rejected. The limit bounds how long a key can be kept beyond [`KEY_RETENTION`], and covers the
/// usual clock error of callers.
pub const MAX_FUTURE_SKEW: Duration = Duration::from_secs(300);

/// Memory in bytes charged for each key, in addition to its stored response. A running key occupies
/// 217 bytes of resident memory, including the map, the expiry index and the allocator's overhead
/// (`lab::ledger_bench`).
pub const BYTES_PER_KEY: u64 = 220;

/// Identity of the claim of one call on one gateway. Commands of an earlier claim never affect a
/// later one, even if both have the same key and gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Holder {
    /// VM of the gateway.
    pub vm: types::VmId,
    /// Incarnation of the gateway's process.
    pub incarnation: types::Incarnation,
    /// Number of the claim, unique within the incarnation.
    pub claim: u64,
}

/// Capacity limits of a ledger. They are part of the replicated state, so that all replicas make
/// the same decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of keys.
    pub keys: u64,
    /// Maximum memory in bytes, counting [`BYTES_PER_KEY`] for each key plus its stored response.
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
        /// Claim that requests the key.
        holder: Holder,
        /// Replicated time of the claim.
        now: time::UnixMillis,
        /// Time after which the holder counts as lost: the deadline of the call plus the grace
        /// period.
        expires: time::UnixMillis,
    },
    /// The call ran and received a complete response.
    Complete {
        /// Key of the call.
        key: key::Key,
        /// Claim under which the call ran.
        holder: Holder,
        /// Response to store.
        response: stored_response::StoredResponse,
    },
    /// The call was proved not to have run.
    Release {
        /// Key of the call.
        key: key::Key,
        /// Claim to release.
        holder: Holder,
    },
    /// The outcome of the call is unknown.
    Fail {
        /// Key of the call.
        key: key::Key,
        /// Claim under which the call ran.
        holder: Holder,
    },
    /// Advances the replicated time, expires claims and raises the retention floor.
    Advance {
        /// New replicated time. An earlier time has no effect.
        now: time::UnixMillis,
    },
    /// Replaces the capacity limits.
    Configure {
        /// New limits. Existing keys beyond them are kept.
        limits: Limits,
    },
}

impl Command {
    /// Returns the key that the command applies to, if any.
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
        /// Time at which the outcome becomes unknown at the latest.
        expires: time::UnixMillis,
    },
    /// The call ran; this is its response.
    Completed(stored_response::StoredResponse),
    /// The call may have run; it never runs again.
    Unknown,
    /// The key was used with another request.
    Mismatch,
    /// The key is older than the retention floor; it may have run.
    TooOld,
    /// The creation time of the key is too far in the future; it did not run.
    TooNew,
    /// The ledger is full; the call did not run.
    Full,
    /// The claim had expired when it was applied; it was not granted.
    Expired,
    /// The command was applied.
    Done,
    /// The key is not held by this claim; the state is unchanged.
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
        // Whether the holder itself reported the unknown outcome. Only then would a later release
        // contradict it.
        reported: bool,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Entry {
    pub(super) digest: digest::Digest,
    pub(super) state: State,
}

/// State of a key without its contents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// The key is not in the ledger.
    Absent,
    /// A call runs under the key.
    Running {
        /// Time at which the outcome becomes unknown at the latest.
        expires: time::UnixMillis,
    },
    /// The response is stored.
    Completed,
    /// The outcome is unknown.
    Unknown,
}

/// Idempotency keys of one ledger shard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    pub(super) limits: Limits,
    pub(super) applied: types::LogIndex,
    pub(super) clock: time::UnixMillis,
    pub(super) retention_floor: time::UnixMillis,
    pub(super) entries: collections::BTreeMap<key::Key, Entry>,
    pub(super) expiries: collections::BTreeSet<(time::UnixMillis, key::Key)>,
    pub(super) bytes: u64,
}

impl Ledger {
    /// Creates an empty ledger with the default limits.
    pub fn new() -> Self {
        Ledger::default()
    }

    /// Applies a committed command. A command at or below [`Ledger::applied`] has no effect.
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
                response,
            } => self.complete(*key, *holder, response),
            Command::Release { key, holder } => self.release(*key, *holder),
            Command::Fail { key, holder } => self.fail(*key, *holder),
            Command::Advance { now } => self.advance(*now),
            Command::Configure { limits } => {
                self.limits = *limits;
                Reply::Done
            }
        }
    }

    /// Returns the index of the last applied command.
    pub fn applied(&self) -> types::LogIndex {
        self.applied
    }

    /// Returns the replicated time: the latest time of any applied command.
    pub fn clock(&self) -> time::UnixMillis {
        self.clock
    }

    /// Returns the creation time below which keys are no longer kept.
    pub fn retention_floor(&self) -> time::UnixMillis {
        self.retention_floor
    }

    /// Returns the current capacity limits.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns `true` if the ledger contains no keys.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the charged memory in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns the time at which the next running claim expires.
    pub fn next_expiry(&self) -> Option<time::UnixMillis> {
        self.expiries.first().map(|(expires, _)| *expires)
    }

    /// Returns the state of a key.
    pub fn state(&self, key: key::Key) -> KeyState {
        match self.entries.get(&key).map(|entry| &entry.state) {
            None => KeyState::Absent,
            Some(State::Running { expires, .. }) => KeyState::Running { expires: *expires },
            Some(State::Completed(_)) => KeyState::Completed,
            Some(State::Unknown { .. }) => KeyState::Unknown,
        }
    }

    /// Returns the reply to a claim if it can be determined without granting the claim, or `None`
    /// if the key is free. Only a leader that holds its lease may reply to a caller from this.
    pub fn peek(&self, key: key::Key, digest: digest::Digest, holder: Holder) -> Option<Reply> {
        if key.created() < self.retention_floor {
            return Some(Reply::TooOld);
        }
        let entry = self.entries.get(&key)?;
        if entry.digest != digest {
            return Some(Reply::Mismatch);
        }
        let reply = match &entry.state {
            State::Running { holder: first, .. } if *first == holder => Reply::Granted,
            State::Running { expires, .. } => Reply::Running { expires: *expires },
            State::Completed(stored) => Reply::Completed(
                stored_response::StoredResponse::decode(stored).unwrap_or_default(),
            ),
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
        // The retention floor rises in steps and only while there are keys, so it can be far
        // behind.
        if key.created().0 < self.clock.0.saturating_sub(millis(KEY_RETENTION)) {
            return Reply::TooOld;
        }
        if key.created() > add_duration(self.clock, MAX_FUTURE_SKEW) {
            return Reply::TooNew;
        }
        let full = self.entries.len() as u64 >= self.limits.keys
            || self.bytes + BYTES_PER_KEY > self.limits.bytes;
        if full {
            return Reply::Full;
        }
        let state = State::Running { holder, expires };
        self.entries.insert(key, Entry { digest, state });
        self.expiries.insert((expires, key));
        self.bytes += BYTES_PER_KEY;
        Reply::Granted
    }

    fn complete(
        &mut self,
        key: key::Key,
        holder: Holder,
        response: &stored_response::StoredResponse,
    ) -> Reply {
        let available_bytes = self.limits.bytes.saturating_sub(self.bytes);
        let Some(entry) = self.entries.get_mut(&key) else {
            return Reply::NotHolder;
        };
        // A holder that counted as lost may still report the outcome.
        match &entry.state {
            State::Running { holder: h, expires } if *h == holder => {
                self.expiries.remove(&(*expires, key));
            }
            State::Unknown { holder: h, .. } if *h == holder => {}
            // The same response again: the reply to the first command was lost.
            State::Completed(stored) if is_encoding_of(stored, response) => return Reply::Done,
            _ => return Reply::NotHolder,
        }
        let stored = encode_within(response, available_bytes);
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
        self.bytes -= BYTES_PER_KEY;
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
        let floor = time::UnixMillis(self.clock.0.saturating_sub(millis(KEY_RETENTION)));
        if floor <= self.retention_floor {
            return Reply::Done;
        }
        self.retention_floor = floor;
        let kept = self.entries.split_off(&key::Key::lowest(floor));
        for (key, entry) in std::mem::replace(&mut self.entries, kept) {
            self.bytes -= charged_bytes(&entry);
            if let State::Running { expires, .. } = entry.state {
                self.expiries.remove(&(expires, key));
            }
        }
        Reply::Done
    }

    /// Advances the replicated time and turns expired claims into unknown outcomes.
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

/// Returns the memory in bytes charged for an entry.
pub(super) fn charged_bytes(entry: &Entry) -> u64 {
    match &entry.state {
        State::Completed(stored) => BYTES_PER_KEY + stored.len() as u64,
        State::Running { .. } | State::Unknown { .. } => BYTES_PER_KEY,
    }
}

/// Encodes a response, without its body or with its status alone if no more fits.
fn encode_within(response: &stored_response::StoredResponse, available_bytes: u64) -> Box<[u8]> {
    let status_only = stored_response::StoredResponse {
        status: response.status,
        ..Default::default()
    };
    if !response.is_encodable() {
        return status_only.encode();
    }
    let bounded = response.clone().bounded();
    let whole = bounded.encode();
    if whole.len() as u64 <= available_bytes {
        return whole;
    }
    status_only.encode()
}

fn is_encoding_of(stored: &[u8], response: &stored_response::StoredResponse) -> bool {
    let same = |available_bytes| *encode_within(response, available_bytes) == *stored;
    same(u64::MAX) || same(0)
}

pub(super) fn add_duration(time: time::UnixMillis, duration: Duration) -> time::UnixMillis {
    time::UnixMillis(time.0.saturating_add(millis(duration)))
}

pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
