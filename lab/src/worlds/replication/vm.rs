//! One VM: a disk that survives crashes, a clock, and a process that may be running.

use wagtailshunt::disk;
use wagtailshunt_core::{replication, storage, time, types};

use super::checker::DigestStateMachine;
use super::disk::FakeDisk;
use super::settings::Settings;

/// Clock reading of each VM at the start of the run, in microseconds.
const CLOCK_START_US: u64 = 1_000_000_000;

/// How long before its real start a node seems to have started when `start_silence` is off.
const SILENCE_BEFORE_START: std::time::Duration = std::time::Duration::from_secs(60);

/// A running process.
#[derive(Debug)]
pub(super) struct Process {
    pub(super) node: replication::Node,
    pub(super) store: disk::Store<FakeDisk>,
    pub(super) state_machine: DigestStateMachine,
    /// Log index of the last snapshot.
    pub(super) snapshot_index: types::LogIndex,
}

/// A VM with its disk and process.
#[derive(Debug)]
pub(super) struct Vm {
    pub(super) id: types::VmId,
    pub(super) disk: FakeDisk,
    /// Time added to the write of each batch.
    pub(super) extra_write_time: std::time::Duration,
    /// Number of process starts.
    pub(super) incarnation: u64,
    pub(super) process: Option<Process>,
    /// Whether any start found a torn log tail.
    torn_tail_found: bool,
    /// Error of the last start, if it failed.
    pub(super) start_error: Option<String>,
    /// How much faster than virtual time the clock runs, in thousandths.
    drift_permille: u64,
    /// Membership at bootstrap; `None` for a VM that joins later.
    initial_membership: Option<storage::Membership>,
}

impl Vm {
    pub(super) fn new(
        id: types::VmId,
        seed: u64,
        drift_permille: u64,
        initial_membership: Option<storage::Membership>,
    ) -> Vm {
        Vm {
            id,
            disk: FakeDisk::new(seed ^ u64::from(id.0)),
            extra_write_time: std::time::Duration::ZERO,
            incarnation: 0,
            process: None,
            torn_tail_found: false,
            start_error: None,
            drift_permille,
            initial_membership,
        }
    }

    /// Returns the clock reading of this VM.
    pub(super) fn clock(&self, now: time::Instant) -> time::Instant {
        time::Instant(CLOCK_START_US + now.0 + now.0 * self.drift_permille / 1000)
    }

    /// Returns the first virtual time at which the clock reads at least `local`.
    fn virtual_time(&self, local: time::Instant) -> time::Instant {
        let elapsed = local.0.saturating_sub(CLOCK_START_US);
        time::Instant((elapsed * 1000).div_ceil(1000 + self.drift_permille))
    }

    /// Returns the virtual time at which the next timer of the node is due.
    pub(super) fn next_timer(&self) -> Option<time::Instant> {
        let process = self.process.as_ref()?;
        let local = process.node.next_deadline()?;
        Some(self.virtual_time(local))
    }

    pub(super) fn is_leader(&self) -> bool {
        let node = self.process.as_ref().map(|process| &process.node);
        node.is_some_and(|node| node.role() == replication::Role::Leader)
    }

    /// Starts the process. Returns false and sets `start_error` if the stored state is not usable.
    pub(super) fn start(&mut self, now: time::Instant, settings: &Settings, seed: u64) -> bool {
        let protections = &settings.protections;
        self.disk.set_faults(super::disk::Faults {
            ignored_log_sync: !protections.log_sync,
            ignored_snapshot_sync: !protections.snapshot_sync,
            ignored_folder_sync: !protections.folder_sync,
            ..self.disk.faults()
        });
        let opened = disk::Store::open(self.disk.clone(), self.initial_membership.as_ref());
        let (mut store, recovered) = match opened {
            Ok(opened) => opened,
            Err(err) => {
                self.start_error = Some(err.to_string());
                return false;
            }
        };
        self.torn_tail_found |= store.torn_bytes() > 0;
        if self.torn_tail_found && !settings.protections.torn_tail {
            self.start_error = Some("torn tail".to_owned());
            return false;
        }
        store.set_segment_bytes(settings.segment_bytes);
        self.incarnation += 1;
        let mut cfg = replication::Config {
            id: self.id,
            seed: seed.rotate_left(8) ^ self.incarnation,
            ..settings.node.clone()
        };
        if !settings.protections.catch_up {
            cfg.promotion_lag = u64::MAX;
        }
        let mut since = self.clock(now);
        if !settings.protections.start_silence {
            since = since.saturating_sub(SILENCE_BEFORE_START);
        }
        let snapshot_index = recovered.snapshot.index;
        self.start_error = None;
        self.process = Some(Process {
            node: replication::Node::new(cfg, recovered, since),
            store,
            state_machine: DigestStateMachine::default(),
            snapshot_index,
        });
        true
    }

    /// Ends the process and drops unsynced data, as a power loss does.
    pub(super) fn crash(&mut self) {
        self.process = None;
        self.disk.crash();
    }
}
