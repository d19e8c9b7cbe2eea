//! Conversions between the `fleet` messages and the core.

use std::{net, time};

use wagtailshunt_core::{containment, fleet, formation, placement, time as core_time, types};

use crate::generated::fleet as wire;

/// Errors in a received message. The message is dropped.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A part of the message that is always sent is missing.
    #[error("message without {0}")]
    Missing(&'static str),
    /// An address cannot be read.
    #[error("address cannot be read: {0}")]
    Address(#[from] net::AddrParseError),
}

/// Converts an announcement of a target.
pub fn encode_announcement(report: &fleet::Announcement) -> wire::TargetReport {
    wire::TargetReport {
        target: report.target.0.clone(),
        service: report.service.0.clone(),
        address: report.address.to_string(),
        failure_domain: report.failure_domain.0.clone(),
        slots: report.slots,
        born: report.born.0,
        sequence: report.sequence,
        warmup_left_ms: u32::try_from(report.warmup_left.as_millis()).unwrap_or(u32::MAX),
    }
}

/// Reads an announcement of a target.
pub fn decode_announcement(report: wire::TargetReport) -> Result<fleet::Announcement, Error> {
    Ok(fleet::Announcement {
        target: types::TargetId(report.target),
        service: types::ServiceName(report.service),
        address: report.address.parse()?,
        failure_domain: types::FailureDomain(report.failure_domain),
        slots: report.slots,
        born: core_time::UnixMillis(report.born),
        sequence: report.sequence,
        warmup_left: time::Duration::from_millis(u64::from(report.warmup_left_ms)),
    })
}

/// Converts a life of a target.
pub fn encode_incarnation(life: &fleet::TargetIncarnation) -> wire::TargetLife {
    wire::TargetLife {
        target: life.target.0.clone(),
        born: life.born.0,
    }
}

/// Reads a life of a target.
pub fn decode_incarnation(life: wire::TargetLife) -> fleet::TargetIncarnation {
    fleet::TargetIncarnation {
        target: types::TargetId(life.target),
        born: core_time::UnixMillis(life.born),
    }
}

/// Converts a crash of a target by a request.
pub fn encode_crash(
    request: containment::Fingerprint,
    life: &fleet::TargetIncarnation,
) -> wire::Crash {
    wire::Crash {
        request_high: (request.0 >> 64) as u64,
        request_low: request.0 as u64,
        life: Some(encode_incarnation(life)),
    }
}

/// Reads a crash of a target by a request.
///
/// # Errors
///
/// When the life is missing.
pub fn decode_crash(
    crash: wire::Crash,
) -> Result<(containment::Fingerprint, fleet::TargetIncarnation), Error> {
    let life = crash.life.ok_or(Error::Missing("a life of a target"))?;
    let request = u128::from(crash.request_high) << 64 | u128::from(crash.request_low);
    Ok((containment::Fingerprint(request), decode_incarnation(life)))
}

/// Converts what is known of a VM.
pub fn encode_vm(vm: &formation::Vm) -> wire::Vm {
    wire::Vm {
        id: vm.id.0,
        peer_address: vm.peer_address.to_string(),
        operator_address: vm.operator_address.to_string(),
        failure_domain: vm.failure_domain.0.clone(),
        has_disk: vm.has_disk,
        counted: vm.counted,
        incarnation: vm.incarnation.0,
    }
}

/// Reads what is said of a VM.
pub fn decode_vm(vm: wire::Vm) -> Result<formation::Vm, Error> {
    Ok(formation::Vm {
        id: types::VmId(vm.id),
        peer_address: vm.peer_address.parse()?,
        operator_address: vm.operator_address.parse()?,
        failure_domain: types::FailureDomain(vm.failure_domain),
        has_disk: vm.has_disk,
        counted: vm.counted,
        incarnation: types::Incarnation(vm.incarnation),
    })
}

/// Converts the load of a target that was reported `age` ago.
pub fn encode_load(
    target: &types::TargetId,
    load: &placement::LoadReport,
    age: time::Duration,
) -> wire::Load {
    wire::Load {
        target: target.0.clone(),
        running: load.running,
        waiting: load.waiting,
        slots: load.slots,
        slowness_percent: load.slowness_percent.unwrap_or(0),
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
    }
}

/// Reads a load with its age.
pub fn decode_load(load: wire::Load) -> (types::TargetId, placement::LoadReport, time::Duration) {
    let report = placement::LoadReport {
        running: load.running,
        waiting: load.waiting,
        slots: load.slots,
        slowness_percent: Some(load.slowness_percent).filter(|percent| *percent > 0),
    };
    let age = time::Duration::from_millis(u64::from(load.age_ms));
    (types::TargetId(load.target), report, age)
}
