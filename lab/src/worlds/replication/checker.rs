//! Checks that all nodes of a group apply one consistent history.
//!
//! The group reports proposals, applied commands, restored snapshots, reads and crashes.

use std::collections;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use wagtailshunt_core::types::{LogIndex, Term, VmId};

/// Padding of a snapshot, so that its transfer takes several chunks.
const SNAPSHOT_FILLER_BYTES: usize = 300;

/// State machine of a node, whose state is a digest of all commands in their order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct DigestStateMachine {
    /// Index of the last applied command.
    pub(super) index: LogIndex,
    /// Digest of all commands up to `index`.
    pub(super) digest: u64,
}

impl DigestStateMachine {
    pub(super) fn snapshot(&self) -> Bytes {
        let mut buf = BytesMut::new();
        buf.put_u64(self.index.0);
        buf.put_u64(self.digest);
        buf.put_bytes(7, SNAPSHOT_FILLER_BYTES);
        buf.freeze()
    }

    pub(super) fn restore(mut data: Bytes) -> DigestStateMachine {
        DigestStateMachine {
            index: LogIndex(data.get_u64()),
            digest: data.get_u64(),
        }
    }
}

/// Extends a digest by the bytes of a number, with FNV-1a.
fn fnv1a(digest: u64, value: u64) -> u64 {
    let bytes = value.to_le_bytes();
    bytes
        .iter()
        .fold(digest ^ 0xcbf2_9ce4_8422_2325, |hash, byte| {
            (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
        })
}

/// Returns the number of a command, which is in its first eight bytes.
pub(super) fn command_id(command: &Bytes) -> u64 {
    (&command[..]).get_u64()
}

/// History of the group and the first violation.
#[derive(Debug, Default)]
pub(super) struct Checker {
    /// Command number and digest at each applied index.
    history: collections::BTreeMap<LogIndex, (u64, u64)>,
    /// Term and number of each proposed command without a result, by node and index.
    proposed: collections::BTreeMap<(VmId, LogIndex), (Term, u64)>,
    /// Numbers of the commands reported as rejected, which must never be applied.
    rejected: collections::BTreeSet<u64>,
    /// Number of commands reported to a client as accepted.
    pub(super) accepted: u64,
    /// Highest index that a client has observed through an accepted write or a read.
    max_seen_index: LogIndex,
    /// Lowest index that each read in progress may return, by token.
    reads: collections::BTreeMap<u64, LogIndex>,
    /// Number of completed reads.
    pub(super) reads_answered: u64,
    /// First violation.
    pub(super) violation: Option<String>,
}

impl Checker {
    pub(super) fn fail(&mut self, reason: String) {
        self.violation.get_or_insert(reason);
    }

    pub(super) fn proposed(&mut self, vm: VmId, index: LogIndex, term: Term, id: u64) {
        self.proposed.insert((vm, index), (term, id));
    }

    /// Records that a node applies a command and checks it against the history.
    pub(super) fn applied(
        &mut self,
        vm: VmId,
        state_machine: &mut DigestStateMachine,
        index: LogIndex,
        term: Term,
        command: &Bytes,
    ) {
        let id = command_id(command);
        let digest = fnv1a(fnv1a(state_machine.digest, index.0), id);
        let before = self.history.range(..index).next_back();
        let before = before.map_or(LogIndex(0), |(index, _)| *index);
        if state_machine.index != before {
            let last = state_machine.index;
            self.fail(format!(
                "{vm} applies {index} after {last}, without {before}"
            ));
        }
        let known = *self.history.entry(index).or_insert((id, digest));
        if known != (id, digest) {
            let other = known.0;
            self.fail(format!(
                "{vm} applies command {id} at {index}, another node applied command {other}"
            ));
        }
        if self.rejected.contains(&id) {
            self.fail(format!(
                "{vm} applies command {id}, which was reported as rejected"
            ));
        }
        *state_machine = DigestStateMachine { index, digest };
        if self.proposed.remove(&(vm, index)) == Some((term, id)) {
            self.accepted += 1;
            self.max_seen_index = self.max_seen_index.max(index);
        }
    }

    /// Checks the state of a node after it installed a snapshot.
    pub(super) fn restored(
        &mut self,
        vm: VmId,
        index: LogIndex,
        state_machine: &DigestStateMachine,
    ) {
        let last = self.history.range(..=index).next_back();
        let expected = last.map_or(DigestStateMachine::default(), |(index, (_, digest))| {
            DigestStateMachine {
                index: *index,
                digest: *digest,
            }
        });
        if *state_machine != expected {
            self.fail(format!("{vm} restores a different state at {index}"));
        }
        self.proposed
            .retain(|(node, at), _| *node != vm || *at > index);
    }

    /// Records the report of a node that a proposal will never be applied.
    pub(super) fn rejected(&mut self, vm: VmId, index: LogIndex) {
        let Some((_, id)) = self.proposed.remove(&(vm, index)) else {
            return;
        };
        self.rejected.insert(id);
        if self.history.values().any(|(known, _)| *known == id) {
            self.fail(format!("{vm} reports the applied command {id} as rejected"));
        }
    }

    /// Records the start of a read.
    pub(super) fn read_started(&mut self, token: u64) {
        self.reads.insert(token, self.max_seen_index);
    }

    /// Checks that a read on a node returns every index observed before the read started.
    pub(super) fn read_completed(
        &mut self,
        vm: VmId,
        token: u64,
        state_machine: &DigestStateMachine,
    ) {
        let Some(least) = self.reads.remove(&token) else {
            return;
        };
        if state_machine.index < least {
            let index = state_machine.index;
            self.fail(format!(
                "a read on {vm} returned index {index}, but {least} was observed before it started"
            ));
        }
        self.reads_answered += 1;
        self.max_seen_index = self.max_seen_index.max(state_machine.index);
    }

    /// Drops the proposals of a crashed node, since their results are unknown.
    pub(super) fn crashed(&mut self, vm: VmId) {
        self.proposed.retain(|(node, _), _| *node != vm);
    }

    /// Returns the highest applied index.
    pub(super) fn last(&self) -> LogIndex {
        let last = self.history.last_key_value();
        last.map_or(LogIndex(0), |(index, _)| *index)
    }
}
