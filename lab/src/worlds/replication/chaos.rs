//! Random faults of VMs, disks, network and leadership, drawn from the seed.

use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use wagtailshunt_core::time;
use wagtailshunt_core::types::VmId;

use super::disk::{Faults, Operation};
use super::group::Group;

const OPERATIONS: [Operation; 6] = [
    Operation::Write,
    Operation::Sync,
    Operation::SetLen,
    Operation::Rename,
    Operation::Remove,
    Operation::SyncFolder,
];

impl Group {
    fn random_vm(&mut self) -> VmId {
        let nodes = self.settings.nodes;
        VmId(self.rng.random_range(1..=nodes))
    }

    /// Starts or ends one random fault.
    pub(super) fn chaos(&mut self, now: time::Instant) {
        let id = self.random_vm();
        let other = self.random_vm();
        let Some(vm) = self.vms.get_mut(&id) else {
            return;
        };
        let disk = vm.disk.clone();
        match self.rng.random_range(0..18) {
            0 => self.crash(now, id, "crash"),
            1..=2 => {
                let operation = OPERATIONS.choose(&mut self.rng).copied();
                let operation = operation.filter(|_| self.rng.random_bool(0.5));
                disk.set_crash_point(operation, self.rng.random_range(1..=6));
            }
            3..=6 => self.restart_all(now),
            7 => {
                let others: Vec<_> = self.vms.keys().copied().collect();
                self.network.isolate(id, others.into_iter(), true);
            }
            8 => {
                self.network.cuts.insert((id, other));
            }
            9..=10 => self.network.cuts.clear(),
            11 => {
                self.network.loss = self.rng.random_range(0.0..0.3);
                self.network.duplicate = self.rng.random_range(0.0..0.3);
                self.network.reorder = self.rng.random_range(0.0..0.3);
            }
            12 => {
                let full = self.rng.random_bool(0.5);
                disk.set_faults(Faults {
                    full,
                    ..disk.faults()
                });
            }
            13 => vm.extra_write_time = Duration::from_millis(self.rng.random_range(0..300)),
            14 => disk.set_faults(Faults {
                failed_sync: true,
                ..disk.faults()
            }),
            15 => {
                if let Some(leader) = self.leader() {
                    self.with_node(now, leader, |node, local| {
                        node.transfer_leadership(local, Some(id));
                    });
                }
            }
            16 => {
                if let Some(leader) = self.leader() {
                    self.crash(now, leader, "crash");
                }
            }
            _ => {
                for id in self.vms.keys().copied().collect::<Vec<_>>() {
                    self.crash(now, id, "crash of all");
                }
                self.restart_all(now);
            }
        }
    }

    /// Ends all faults and restarts every VM.
    pub(super) fn end_faults(&mut self, now: time::Instant) {
        self.network = self.settings.network.clone();
        for vm in self.vms.values_mut() {
            vm.extra_write_time = Duration::ZERO;
            let faults = vm.disk.faults();
            vm.disk.set_faults(Faults {
                full: false,
                failed_sync: false,
                ..faults
            });
            vm.disk.clear_crash_point();
        }
        self.restart_all(now);
    }
}
