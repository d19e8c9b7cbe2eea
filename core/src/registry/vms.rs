//! Registered VMs and the record schemas that they can enforce.

use serde::{Deserialize, Serialize};

use crate::registry::{Registry, Reply};
use crate::types;

/// A registered VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Id of the VM.
    pub id: types::VmId,
    /// Role of the VM.
    pub role: types::Role,
    /// Failure domain of the VM.
    pub failure_domain: types::FailureDomain,
    /// Record schemas that the VM can enforce.
    pub schemas: Vec<u32>,
}

impl Registry {
    /// Returns the registered VMs that cannot enforce `schema`.
    pub(super) fn vms_lacking_schema(&self, schema: u32) -> Vec<types::VmId> {
        let unable = self.vms.values().filter(|vm| !vm.schemas.contains(&schema));
        unable.map(|vm| vm.id).collect()
    }

    /// Registers a VM, unless it cannot enforce the schema of a current record.
    pub(super) fn register(&mut self, vm: Vm) -> Reply {
        let enforceable = self
            .list()
            .all(|(_, version)| vm.schemas.contains(&version.schema));
        if !enforceable {
            return Reply::Unsupported { vms: vec![vm.id] };
        }
        self.vms.insert(vm.id, vm);
        Reply::Done
    }
}
