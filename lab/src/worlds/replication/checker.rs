//! Checks the history that all nodes of the group show.

use std::collections;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use wagtailshunt_core::types::{LogIndex, Term, VmId};

/// Bytes that fill a snapshot, so that its transfer takes several chunks.
const SNAPSHOT_FILLER_BYTES: usize = 300;

/// State machine of a node: a digest of all commands in their order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Machine {
    /// Last applied command.
    pub(super) index: LogIndex,
    /// Digest of all commands up to `index`.
    pub(super) digest: u64,
}

impl Machine {
    pub(super) fn snapshot(&self) -> Bytes {
        let mut buf = BytesMut::new();
        buf.put_u64(self.index.0);
        buf.put_u64(self.digest);
        buf.put_bytes(7, SNAPSHOT_FILLER_BYTES);
        buf.freeze()
    }

    pub(super) fn restore(mut data: Bytes) -> Machine {
        Machine {
            index: LogIndex(data.get_u64()),
            digest: data.get_u64(),
        }
    }
}

/// Combines two numbers (FNV-1a over their bytes).
fn mix(digest: u64, value: u64) -> u64 {
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
    seen: LogIndex,
    /// Reads in progress: the index that each must at least see.
    reads: collections::BTreeMap<u64, LogIndex>,
    /// Reads answered.
    pub(super) answered: u64,
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
        machine: &mut Machine,
        index: LogIndex,
        term: Term,
        command: &Bytes,
    ) {
        let id = command_id(command);
        let digest = mix(mix(machine.digest, index.0), id);
        let before = self.history.range(..index).next_back();
        let before = before.map_or(LogIndex(0), |(index, _)| *index);
        if machine.index != before {
            let last = machine.index;
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
        *machine = Machine { index, digest };
        if self.proposed.remove(&(vm, index)) == Some((term, id)) {
            self.accepted += 1;
            self.seen = self.seen.max(index);
        }
    }

    /// A node installs a snapshot.
    pub(super) fn restored(&mut self, vm: VmId, index: LogIndex, machine: &Machine) {
        let last = self.history.range(..=index).next_back();
        let expected = last.map_or(Machine::default(), |(index, (_, digest))| Machine {
            index: *index,
            digest: *digest,
        });
        if *machine != expected {
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
    pub(super) fn read_begins(&mut self, token: u64) {
        self.reads.insert(token, self.seen);
    }

    /// A read is answered from the state of a node.
    pub(super) fn read_ends(&mut self, vm: VmId, token: u64, machine: &Machine) {
        let Some(least) = self.reads.remove(&token) else {
            return;
        };
        if machine.index < least {
            let index = machine.index;
            self.fail(format!(
                "a read on {vm} sees {index}, {least} was seen before it began"
            ));
        }
        self.answered += 1;
        self.seen = self.seen.max(machine.index);
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
