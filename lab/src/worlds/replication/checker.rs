//! Checks the history that all nodes of the group show.

use std::collections;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use wagtailshunt_core::types::{LogIndex, Term, VmId};

/// Bytes that fill a snapshot, so that its transfer takes several chunks.
const SNAPSHOT_FILLER_BYTES: usize = 300;

/// State state_machine of a node: a digest of all commands in their order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct DigestStateMachine {
    /// Last applied command.
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

/// Combines two numbers (FNV-1a over their bytes).
fn fnv1a(digest: u64, value: u64) -> u64 {
    let bytes = value.to_le_bytes();
    bytes
        .iter()
        .fold(digest ^ 0xcbf2_9ce4_8422_2325, |hash, byte| {
            (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
        })
}

/// Number of a command, which is its first eight bytes.
pub(super) fn command_id(command: &Bytes) -> u64 {
    (&command[..]).get_u64()
}

/// The history of the group as seen so far.
#[derive(Debug, Default)]
pub(super) struct Checker {
    /// Command and digest at each committed index.
    history: collections::BTreeMap<LogIndex, (u64, u64)>,
    /// Commands proposed and not yet answered, by node and index.
    proposed: collections::BTreeMap<(VmId, LogIndex), (Term, u64)>,
    /// Commands reported as never applied.
    rejected: collections::BTreeSet<u64>,
    /// Commands reported as accepted to a client.
    pub(super) accepted: u64,
    /// Highest index that a client has seen, by an accepted write or a read.
    max_seen_index: LogIndex,
    /// Reads in progress: the index that each must at least see.
    reads: collections::BTreeMap<u64, LogIndex>,
    /// Reads answered.
    pub(super) reads_answered: u64,
    /// First rule that was broken.
    pub(super) violation: Option<String>,
}

impl Checker {
    pub(super) fn fail(&mut self, reason: String) {
        self.violation.get_or_insert(reason);
    }

    pub(super) fn proposed(&mut self, vm: VmId, index: LogIndex, term: Term, id: u64) {
        self.proposed.insert((vm, index), (term, id));
    }

    /// A node applies a command.
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
                "{vm} applies command {id} at {index}, others {other}"
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

    /// A node installs a snapshot.
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

    /// A node reports that a proposal will never be applied.
    pub(super) fn rejected(&mut self, vm: VmId, index: LogIndex) {
        let Some((_, id)) = self.proposed.remove(&(vm, index)) else {
            return;
        };
        self.rejected.insert(id);
        if self.history.values().any(|(known, _)| *known == id) {
            self.fail(format!("{vm} reports the applied command {id} as rejected"));
        }
    }

    /// A client asks for a read.
    pub(super) fn read_started(&mut self, token: u64) {
        self.reads.insert(token, self.max_seen_index);
    }

    /// A read is answered from the state of a node.
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
                "a read on {vm} sees {index}, {least} was seen before it began"
            ));
        }
        self.reads_answered += 1;
        self.max_seen_index = self.max_seen_index.max(state_machine.index);
    }

    /// The results of what a node was doing are unknown.
    pub(super) fn crashed(&mut self, vm: VmId) {
        self.proposed.retain(|(node, _), _| *node != vm);
    }

    /// Returns the last committed command.
    pub(super) fn last(&self) -> LogIndex {
        let last = self.history.last_key_value();
        last.map_or(LogIndex(0), |(index, _)| *index)
    }
}
