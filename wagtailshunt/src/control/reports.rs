//! Reports of the operator interface, built from the groups and from the state of the leader.

use serde::Serialize;
use wagtailshunt_core::{directory, records, registry, types};

use crate::control::{group, state};

const REGISTRY_GROUP: types::GroupId = types::GroupId(0);

/// State of one group on this VM.
#[derive(Debug, Serialize)]
pub struct GroupReport {
    group: types::GroupId,
    role: String,
    term: types::Term,
    leader: Option<types::VmId>,
    committed: types::LogIndex,
    applied: types::LogIndex,
    snapshot: types::LogIndex,
    voters: Vec<types::VmId>,
    learners: Vec<types::VmId>,
    /// Last synced log index of each member, as last reported to the leader.
    matched: std::collections::BTreeMap<types::VmId, types::LogIndex>,
}

/// State of this VM; available without a leader.
#[derive(Debug, Serialize)]
pub struct LocalReport {
    vm: types::VmId,
    incarnation: types::Incarnation,
    failure_domain: types::FailureDomain,
    groups: Vec<GroupReport>,
    keys: Vec<LedgerShardReport>,
}

/// Size of one ledger shard.
#[derive(Debug, Serialize)]
pub struct LedgerShardReport {
    group: types::GroupId,
    keys: usize,
    bytes: u64,
    waiting: usize,
}

/// State of the cluster as recorded by the leader of group 0.
#[derive(Debug, Serialize)]
pub struct ClusterReport {
    leader: LocalReport,
    revision: types::Revision,
    in_force: types::Revision,
    gateways: Vec<GatewayReport>,
    vms: Vec<VmReport>,
    targets: usize,
    directory_version: String,
    suspects: Vec<SuspectReport>,
}

/// Lease of one gateway.
#[derive(Debug, Serialize)]
pub struct GatewayReport {
    vm: types::VmId,
    /// Lowest revision that the gateway may still serve.
    revision: types::Revision,
    /// Whether the gateway may still hold its lease.
    active: bool,
    /// Milliseconds until the lease has expired, with the margin for clock drift.
    lease_ms: u64,
    /// Number of changes that the gateway has not applied.
    lag: u64,
    holds_back: bool,
    leaving: bool,
    transitions: u32,
}

/// One registered VM.
#[derive(Debug, Serialize)]
pub struct VmReport {
    vm: types::VmId,
    role: types::Role,
    failure_domain: types::FailureDomain,
    schemas: Vec<u32>,
}

/// A request that is suspected of crashing targets, or blocked for it.
#[derive(Debug, Serialize)]
pub struct SuspectReport {
    fingerprint: String,
    request: String,
    lost_targets: usize,
    blocked_for_ms: Option<u64>,
}

/// One target of the directory.
#[derive(Debug, Serialize)]
pub struct TargetReport {
    service: types::ServiceName,
    target: types::TargetId,
    incarnation: types::Incarnation,
    address: std::net::SocketAddr,
    failure_domain: types::FailureDomain,
    slots: u32,
    state: directory::State,
    vouched_by: Vec<types::VmId>,
}

/// A record or one of its versions.
#[derive(Debug, Serialize)]
pub struct RecordReport {
    key: String,
    revision: types::Revision,
    schema: u32,
    actor: String,
    request_id: types::RequestId,
    at_unix_ms: u64,
    /// Text as submitted; `None` for a deletion.
    text: Option<String>,
}

/// Returns the state of this VM.
pub fn local(state: &state::State) -> LocalReport {
    let groups = state.with(|inner| inner.groups.values().map(group_report).collect());
    let keys = state.with(|inner| {
        let shards = inner.groups.values_mut().filter_map(|group| {
            let id = group.id;
            group.shard_mut().map(|shard| LedgerShardReport {
                group: id,
                keys: shard.ledger.len(),
                bytes: shard.ledger.bytes(),
                waiting: shard.service.waiting_count(),
            })
        });
        shards.collect()
    });
    LocalReport {
        vm: state.cfg.vm,
        incarnation: state.incarnation,
        failure_domain: state.cfg.failure_domain.clone(),
        groups,
        keys,
    }
}

fn group_report(group: &group::Group) -> GroupReport {
    let members = group.node.members();
    let matched = members
        .iter()
        .filter_map(|vm| group.node.peer(vm).map(|peer| (vm, peer.match_index)))
        .collect();
    GroupReport {
        group: group.id,
        role: group.node.role().to_string(),
        term: group.node.term(),
        leader: group.node.leader(),
        committed: group.node.committed(),
        applied: group.applied,
        snapshot: group.node.snapshot_index(),
        voters: members.voters.iter().copied().collect(),
        learners: members.learners.iter().copied().collect(),
        matched,
    }
}

/// Returns the state of the cluster; `None` unless this VM leads group 0.
pub fn status(state: &state::State) -> Option<ClusterReport> {
    let now = state.clock.now();
    let leader = local(state);
    state.with(|inner| {
        let registry = inner.groups.get(&REGISTRY_GROUP)?.registry()?;
        let leader_state = inner.leader.as_ref()?;
        let revision = registry.revision();
        let in_force = leader_state.grantor.in_force(now);
        let gateways = leader_state
            .grantor
            .holders(now)
            .iter()
            .map(|holder| GatewayReport {
                vm: holder.vm,
                revision: holder.revision,
                active: holder.active,
                lease_ms: millis(holder.until.since(now)),
                lag: registry.changes_since(holder.revision).changes.len() as u64,
                holds_back: holder.active && holder.revision < revision,
                leaving: holder.leaving,
                transitions: holder.transitions,
            })
            .collect();
        let vms = registry
            .vms()
            .map(|vm| VmReport {
                vm: vm.id,
                role: vm.role,
                failure_domain: vm.failure_domain.clone(),
                schemas: vm.schemas.clone(),
            })
            .collect();
        let suspects = leader_state
            .containment
            .list(now)
            .into_iter()
            .map(|record| SuspectReport {
                fingerprint: record.suspect.fingerprint.to_string(),
                request: record.suspect.label,
                lost_targets: record.losses.len(),
                blocked_for_ms: record.blocked_for.map(millis),
            })
            .collect();
        Some(ClusterReport {
            leader,
            revision,
            in_force,
            gateways,
            vms,
            targets: leader_state.directory.len(),
            directory_version: leader_state.directory.version().to_string(),
            suspects,
        })
    })
}

/// Returns the targets of the directory; none unless this VM leads group 0.
pub fn targets(state: &state::State) -> Vec<TargetReport> {
    state.with(|inner| {
        let Some(leader) = inner.leader.as_ref() else {
            return Vec::new();
        };
        let report = |(target, vouched_by): (&directory::Target, Vec<types::VmId>)| TargetReport {
            service: target.key.service.clone(),
            target: target.key.id.clone(),
            incarnation: target.incarnation,
            address: target.address,
            failure_domain: target.failure_domain.clone(),
            slots: target.slots,
            state: target.state,
            vouched_by,
        };
        leader.directory.targets().map(report).collect()
    })
}

/// Returns all current records.
pub fn list(state: &state::State) -> Vec<RecordReport> {
    with_registry(state, |registry| {
        registry
            .list()
            .map(|(key, version)| record_report(key, version))
            .collect()
    })
}

/// Returns whether the record of this VM sets `drain`.
pub fn is_drained(state: &state::State) -> bool {
    let key = records::Key::new(records::Kind::Vm, state.cfg.vm.to_string());
    with_registry(state, |registry| {
        let text = registry
            .get(&key)
            .and_then(|version| version.text.as_deref());
        let record = text.and_then(|text| records::parse(text).ok());
        record
            .and_then(|record| record.vm())
            .is_some_and(|(_, spec)| spec.drain)
    })
}

/// Returns the current version of one record.
pub fn record(state: &state::State, key: &records::Key) -> Option<RecordReport> {
    with_registry(state, |registry| {
        registry.get(key).map(|version| record_report(key, version))
    })
}

/// Returns the retained versions of a record, oldest first.
pub fn history(state: &state::State, key: &records::Key) -> Vec<RecordReport> {
    with_registry(state, |registry| {
        registry
            .history(key)
            .map(|version| record_report(key, version))
            .collect()
    })
}

fn with_registry<R: Default>(state: &state::State, f: impl FnOnce(&registry::Registry) -> R) -> R {
    state.with(|inner| {
        let registry = inner
            .groups
            .get(&REGISTRY_GROUP)
            .and_then(group::Group::registry);
        registry.map(f).unwrap_or_default()
    })
}

fn record_report(key: &records::Key, version: &registry::Version) -> RecordReport {
    RecordReport {
        key: key.to_string(),
        revision: version.revision,
        schema: version.schema,
        actor: version.actor.clone(),
        request_id: version.request_id(),
        at_unix_ms: version.at.0,
        text: version.text.as_deref().map(str::to_owned),
    }
}

fn millis(duration: std::time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
