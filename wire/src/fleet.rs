//! Conversions between the fleet types of the core (entry VMs, targets and their loads) and their
//! wire form (`fleet.proto`).

use std::{net, time};

use wagtailshunt_core::{
    allowance, catch_up, containment, fleet, formation, key_lease, placement, time as core_time,
    types, warmup,
};

use crate::generated::fleet as wire;

/// Errors in a received message. The receiver drops the message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A required part of the message is missing.
    #[error("message without {0}")]
    Missing(&'static str),
    /// An address is not of the form ip:port.
    #[error("invalid address: {0}")]
    Address(#[from] net::AddrParseError),
}

/// Converts the announcement of a target to its wire form.
pub fn encode_announcement(announcement: &fleet::Announcement) -> wire::TargetReport {
    wire::TargetReport {
        target: announcement.target.0.clone(),
        service: announcement.service.0.clone(),
        address: announcement.address.to_string(),
        failure_domain: announcement.failure_domain.0.clone(),
        slots: announcement.slots,
        born: announcement.born.0,
        sequence: announcement.sequence,
        warmup_left_ms: u32::try_from(announcement.warmup_left.as_millis()).unwrap_or(u32::MAX),
    }
}

/// Converts the announcement of a target from its wire form.
///
/// # Errors
///
/// Returns [`Error::Address`] if the address is invalid.
pub fn decode_announcement(announcement: wire::TargetReport) -> Result<fleet::Announcement, Error> {
    Ok(fleet::Announcement {
        target: types::TargetId(announcement.target),
        service: types::ServiceName(announcement.service),
        address: announcement.address.parse()?,
        failure_domain: types::FailureDomain(announcement.failure_domain),
        slots: announcement.slots,
        born: core_time::UnixMillis(announcement.born),
        sequence: announcement.sequence,
        warmup_left: time::Duration::from_millis(u64::from(announcement.warmup_left_ms)),
    })
}

/// Converts an incarnation of a target to its wire form.
pub fn encode_incarnation(incarnation: &fleet::TargetIncarnation) -> wire::TargetLife {
    wire::TargetLife {
        target: incarnation.target.0.clone(),
        born: incarnation.born.0,
    }
}

/// Converts an incarnation of a target from its wire form.
pub fn decode_incarnation(incarnation: wire::TargetLife) -> fleet::TargetIncarnation {
    fleet::TargetIncarnation {
        target: types::TargetId(incarnation.target),
        born: core_time::UnixMillis(incarnation.born),
    }
}

/// Converts reports of cold targets to their wire form.
pub fn encode_cold_targets(reports: &[warmup::Report]) -> wire::ColdTargets {
    let encode = |report: &warmup::Report| wire::ColdTarget {
        life: Some(encode_incarnation(&report.incarnation)),
        warmup_left_ms: u32::try_from(report.left.as_millis()).unwrap_or(u32::MAX),
        announced_at: report.holder.map_or(0, |vm| vm.0),
    };
    wire::ColdTargets {
        targets: reports.iter().map(encode).collect(),
    }
}

/// Converts reports of cold targets from their wire form.
///
/// # Errors
///
/// Returns [`Error::Missing`] if the incarnation of a target is missing.
pub fn decode_cold_targets(cold: wire::ColdTargets) -> Result<Vec<warmup::Report>, Error> {
    let decode = |target: wire::ColdTarget| {
        let life = target.life;
        let life = life.ok_or(Error::Missing("the incarnation of a target"))?;
        Ok(warmup::Report {
            incarnation: decode_incarnation(life),
            left: time::Duration::from_millis(u64::from(target.warmup_left_ms)),
            holder: Some(types::VmId(target.announced_at)).filter(|vm| vm.0 != 0),
        })
    };
    cold.targets.into_iter().map(decode).collect()
}

/// Converts a part of an encoded state to its wire form.
pub fn encode_state_part(part: catch_up::Part) -> wire::StatePart {
    wire::StatePart {
        applied: part.state.index.0,
        total: part.state.total,
        checksum: part.state.checksum,
        offset: part.offset,
        data: part.data,
    }
}

/// Converts a part of an encoded state from its wire form.
pub fn decode_state_part(part: wire::StatePart) -> catch_up::Part {
    catch_up::Part {
        state: catch_up::StateId {
            index: types::LogIndex(part.applied),
            total: part.total,
            checksum: part.checksum,
        },
        offset: part.offset,
        data: part.data,
    }
}

/// Converts the loss of a target while `request` ran on it to its wire form.
pub fn encode_crash(
    request: containment::Fingerprint,
    incarnation: &fleet::TargetIncarnation,
) -> wire::Crash {
    wire::Crash {
        request_high: (request.0 >> 64) as u64,
        request_low: request.0 as u64,
        life: Some(encode_incarnation(incarnation)),
    }
}

/// Converts the loss of a target from its wire form, with the fingerprint of the request.
///
/// # Errors
///
/// Returns [`Error::Missing`] if the incarnation of the target is missing.
pub fn decode_crash(
    crash: wire::Crash,
) -> Result<(containment::Fingerprint, fleet::TargetIncarnation), Error> {
    let incarnation = crash
        .life
        .ok_or(Error::Missing("the incarnation of a target"))?;
    let request = u128::from(crash.request_high) << 64 | u128::from(crash.request_low);
    Ok((
        containment::Fingerprint(request),
        decode_incarnation(incarnation),
    ))
}

/// Converts the description of a VM to its wire form.
pub fn encode_vm(vm: &formation::Vm) -> wire::Vm {
    wire::Vm {
        id: vm.id.0,
        peer_address: vm.peer_address.to_string(),
        operator_address: vm.operator_address.to_string(),
        failure_domain: vm.failure_domain.0.clone(),
        has_disk: vm.has_disk,
        counted: vm.counted,
        incarnation: vm.incarnation.0,
        relay_address: vm
            .relay_address
            .map_or_else(String::new, |address| address.to_string()),
    }
}

/// Converts the description of a VM from its wire form.
///
/// # Errors
///
/// Returns [`Error::Address`] if one of the addresses is invalid.
pub fn decode_vm(vm: wire::Vm) -> Result<formation::Vm, Error> {
    Ok(formation::Vm {
        id: types::VmId(vm.id),
        peer_address: vm.peer_address.parse()?,
        operator_address: vm.operator_address.parse()?,
        relay_address: match vm.relay_address.as_str() {
            "" => None,
            text => Some(text.parse()?),
        },
        failure_domain: types::FailureDomain(vm.failure_domain),
        has_disk: vm.has_disk,
        counted: vm.counted,
        incarnation: types::Incarnation(vm.incarnation),
    })
}

/// Converts the load of a target to its wire form. The target reported it `age` ago.
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

/// Converts the load of a target and its age from its wire form.
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

/// Converts the request for a lease on keys to its wire form.
pub fn encode_key_lease_request(request: &key_lease::Request) -> wire::KeyLeaseRequest {
    wire::KeyLeaseRequest {
        number: request.number,
        asker: request.asker.0,
        urgent: request.urgent,
    }
}

/// Converts the request for a lease on keys from its wire form.
pub fn decode_key_lease_request(request: &wire::KeyLeaseRequest) -> key_lease::Request {
    key_lease::Request {
        number: request.number,
        asker: types::VmId(request.asker),
        urgent: request.urgent,
    }
}

/// Converts the reply to a request for a lease on keys to its wire form.
pub fn encode_key_lease_reply(reply: &key_lease::Reply) -> wire::KeyLeaseReply {
    wire::KeyLeaseReply {
        number: reply.number,
        asker: reply.asker.0,
        applied: reply.applied.0,
    }
}

/// Converts the reply to a request for a lease on keys from its wire form.
pub fn decode_key_lease_reply(reply: &wire::KeyLeaseReply) -> key_lease::Reply {
    key_lease::Reply {
        number: reply.number,
        asker: types::VmId(reply.asker),
        applied: types::LogIndex(reply.applied),
    }
}

/// Converts a question for tokens to its wire form.
pub fn encode_allowance_question(question: &allowance::Question) -> wire::AllowanceQuestion {
    let asks = || question.asks.iter();
    wire::AllowanceQuestion {
        number: question.number,
        workspaces: asks().map(|ask| ask.workspace.0).collect(),
        needed: asks().map(|ask| ask.needed).collect(),
        ahead: asks().map(|ask| ask.ahead).collect(),
    }
}

/// Returns what a question asks for. A workspace without numbers is asked for nothing.
pub fn decode_asks(
    question: &wire::AllowanceQuestion,
) -> impl ExactSizeIterator<Item = allowance::Ask> {
    let number = |numbers: &[u32], i: usize| numbers.get(i).copied().unwrap_or(0);
    let workspaces = question.workspaces.iter().enumerate();
    workspaces.map(move |(i, workspace)| allowance::Ask {
        workspace: allowance::WorkspaceId(*workspace),
        needed: number(&question.needed, i),
        ahead: number(&question.ahead, i),
    })
}

/// Converts a request for loans to its wire form.
pub fn encode_loan_request(request: &allowance::LoanRequest) -> wire::AllowanceLoanRequest {
    let held = || request.held.iter();
    wire::AllowanceLoanRequest {
        number: request.number,
        workspaces: held().map(|(workspace, _)| workspace.0).collect(),
        held: held().map(|(_, held)| *held).collect(),
    }
}

/// Converts a request for loans from its wire form.
pub fn decode_loan_request(request: &wire::AllowanceLoanRequest) -> allowance::LoanRequest {
    let workspaces = request.workspaces.iter().copied();
    let workspaces = workspaces.map(allowance::WorkspaceId);
    allowance::LoanRequest {
        number: request.number,
        held: workspaces.zip(request.held.iter().copied()).collect(),
    }
}

/// Converts the answers to the question `number` to their wire form.
pub fn encode_allowance_answers(
    number: u64,
    answers: impl ExactSizeIterator<Item = allowance::Answer>,
) -> wire::AllowanceAnswer {
    let mut message = wire::AllowanceAnswer {
        number,
        granted: Vec::with_capacity(answers.len()),
        wait_ms: Vec::with_capacity(answers.len()),
    };
    for answer in answers {
        let wait_ms = answer.wait.map(|wait| wait.as_micros().div_ceil(1000) + 1);
        let wait_ms = wait_ms.map_or(0, |ms| u32::try_from(ms).unwrap_or(u32::MAX));
        message.granted.push(answer.granted);
        message.wait_ms.push(wait_ms);
    }
    message
}

/// Returns the answers of a message.
pub fn decode_allowance_answers(message: &wire::AllowanceAnswer) -> Vec<allowance::Answer> {
    let granted = message.granted.iter().enumerate();
    let answers = granted.map(|(i, granted)| {
        let wait_ms = message.wait_ms.get(i).copied().unwrap_or(0);
        let wait = wait_ms.checked_sub(1);
        allowance::Answer {
            granted: *granted,
            wait: wait.map(|ms| time::Duration::from_millis(u64::from(ms))),
        }
    });
    answers.collect()
}
