//! Conversions between the leases, the target directory and the VM registrations of the core and
//! their wire form (`membership.proto`).

use std::{collections, net, time};

use bytes::Bytes;
use wagtailshunt_core::{
    directory::{self, TargetUpdate},
    lease, registry,
    types::{self, Incarnation, Revision, VmId},
};

use crate::generated::membership as proto;
use crate::records::{ConvertError, decode_role, encode_role, invalid_field};

/// A membership message in the types of the core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// A gateway requests a lease.
    Renewal(lease::Renewal),
    /// The leader grants the lease.
    Grant(lease::Grant),
    /// The leader refuses the lease.
    Refusal(lease::Refusal),
    /// A gateway sends a change of one of the targets that are registered with it.
    Change(directory::Change),
    /// A gateway sends all targets that are registered with it.
    List(directory::List),
    /// The leader sends changes of the directory.
    Delta(directory::Delta),
    /// A VM registers with the leader.
    Registration(registry::Vm),
}

impl Message {
    /// Converts the message to its wire form.
    pub fn encode(&self) -> proto::MembershipMessage {
        use proto::membership_message::Body;
        let body = match self {
            Message::Renewal(renewal) => Body::Renewal(encode_renewal(renewal)),
            Message::Grant(grant) => Body::Grant(encode_grant(grant)),
            Message::Refusal(refusal) => Body::Refusal(encode_refusal(refusal)),
            Message::Change(change) => Body::Change(encode_change(change)),
            Message::List(list) => Body::List(encode_list(list)),
            Message::Delta(delta) => Body::Delta(encode_delta(delta)),
            Message::Registration(vm) => Body::Registration(proto::Registration {
                role: encode_role(vm.role),
                failure_domain: vm.failure_domain.to_string(),
                schemas: vm.schemas.clone(),
            }),
        };
        proto::MembershipMessage { body: Some(body) }
    }

    /// Converts a message from its wire form. `vm` and `incarnation` are those of its envelope.
    ///
    /// # Errors
    ///
    /// Returns an error if a field is missing or has an unknown value.
    pub fn decode(
        message: proto::MembershipMessage,
        vm: VmId,
        incarnation: Incarnation,
    ) -> Result<Message, ConvertError> {
        use proto::membership_message::Body;
        Ok(match message.body.ok_or(invalid_field("body"))? {
            Body::Renewal(renewal) => Message::Renewal(decode_renewal(&renewal, vm, incarnation)),
            Body::Grant(grant) => Message::Grant(decode_grant(&grant)),
            Body::Refusal(refusal) => Message::Refusal(decode_refusal(&refusal)?),
            Body::Change(change) => Message::Change(decode_change(change)?),
            Body::List(list) => Message::List(decode_list(list)?),
            Body::Delta(delta) => Message::Delta(decode_delta(delta)?),
            Body::Registration(registration) => Message::Registration(registry::Vm {
                id: vm,
                role: decode_role(registration.role)?,
                failure_domain: types::FailureDomain(registration.failure_domain),
                schemas: registration.schemas,
            }),
        })
    }
}

fn encode_renewal(renewal: &lease::Renewal) -> proto::Renewal {
    proto::Renewal {
        sequence: renewal.sequence,
        revision: renewal.revision.0,
        directory_term: renewal.directory.term.0,
        directory_sequence: renewal.directory.sequence,
        vouched: renewal.registered_targets_digest.0,
        vouched_count: renewal.registered_targets_count,
        release: renewal.release,
    }
}

fn decode_renewal(renewal: &proto::Renewal, vm: VmId, incarnation: Incarnation) -> lease::Renewal {
    lease::Renewal {
        vm,
        incarnation,
        sequence: renewal.sequence,
        revision: Revision(renewal.revision),
        directory: version(renewal.directory_term, renewal.directory_sequence),
        registered_targets_digest: directory::Digest(renewal.vouched),
        registered_targets_count: renewal.vouched_count,
        release: renewal.release,
    }
}

fn version(term: u64, sequence: u64) -> directory::Version {
    directory::Version {
        term: types::Term(term),
        sequence,
    }
}

fn encode_grant(grant: &lease::Grant) -> proto::Grant {
    let current = &grant.current;
    proto::Grant {
        sequence: grant.sequence,
        length_ms: u32::try_from(grant.length.as_millis()).unwrap_or(u32::MAX),
        transitions: grant.transitions,
        revision: current.revision.0,
        directory_term: current.directory.term.0,
        directory_sequence: current.directory.sequence,
        digest: current.digest.map(|digest| digest.0),
        list_wanted: current.list_wanted,
    }
}

fn decode_grant(grant: &proto::Grant) -> lease::Grant {
    lease::Grant {
        sequence: grant.sequence,
        length: time::Duration::from_millis(u64::from(grant.length_ms)),
        transitions: grant.transitions,
        current: lease::LeaderStatus {
            revision: Revision(grant.revision),
            directory: version(grant.directory_term, grant.directory_sequence),
            digest: grant.digest.map(directory::Digest),
            list_wanted: grant.list_wanted,
        },
    }
}

fn encode_refusal(refusal: &lease::Refusal) -> proto::Refusal {
    use proto::refusal::Reason;
    let (reason, value) = match refusal {
        lease::Refusal::NotLeader => (Reason::NotLeader, 0),
        lease::Refusal::NotRegistered => (Reason::NotRegistered, 0),
        lease::Refusal::Superseded { incarnation } => (Reason::Superseded, incarnation.0),
        lease::Refusal::Stale => (Reason::Stale, 0),
        lease::Refusal::Behind { revision } => (Reason::Behind, revision.0),
    };
    proto::Refusal {
        reason: reason as i32,
        value,
    }
}

fn decode_refusal(refusal: &proto::Refusal) -> Result<lease::Refusal, ConvertError> {
    use proto::refusal::Reason;
    let value = refusal.value;
    match Reason::try_from(refusal.reason) {
        Ok(Reason::NotLeader) => Ok(lease::Refusal::NotLeader),
        Ok(Reason::NotRegistered) => Ok(lease::Refusal::NotRegistered),
        Ok(Reason::Superseded) => Ok(lease::Refusal::Superseded {
            incarnation: Incarnation(value),
        }),
        Ok(Reason::Stale) => Ok(lease::Refusal::Stale),
        Ok(Reason::Behind) => Ok(lease::Refusal::Behind {
            revision: Revision(value),
        }),
        _ => Err(invalid_field("reason")),
    }
}

fn encode_change(change: &directory::Change) -> proto::DirectoryChange {
    use proto::directory_change;
    let update = match &change.update {
        TargetUpdate::Set(target) => directory_change::News::Set(proto::Target {
            service: target.key.service.to_string(),
            id: target.key.id.to_string(),
            incarnation: target.incarnation.0,
            address: Some(encode_address(target.address)),
            failure_domain: target.failure_domain.to_string(),
            slots: target.slots,
            state: encode_state(target.state),
        }),
        TargetUpdate::Gone { key, incarnation } => directory_change::News::Gone(proto::Gone {
            service: key.service.to_string(),
            id: key.id.to_string(),
            incarnation: incarnation.0,
        }),
    };
    proto::DirectoryChange {
        sequence: change.sequence,
        news: Some(update),
    }
}

fn decode_change(change: proto::DirectoryChange) -> Result<directory::Change, ConvertError> {
    use proto::directory_change;
    let update = match change.news.ok_or(invalid_field("news"))? {
        directory_change::News::Set(target) => TargetUpdate::Set(directory::Target {
            key: key(target.service, target.id),
            incarnation: Incarnation(target.incarnation),
            address: decode_address(target.address)?,
            failure_domain: types::FailureDomain(target.failure_domain),
            slots: target.slots,
            state: decode_state(target.state)?,
        }),
        directory_change::News::Gone(gone) => TargetUpdate::Gone {
            key: key(gone.service, gone.id),
            incarnation: Incarnation(gone.incarnation),
        },
    };
    Ok(directory::Change {
        sequence: change.sequence,
        update,
    })
}

fn key(service: String, id: String) -> directory::Key {
    directory::Key {
        service: types::ServiceName(service),
        id: types::TargetId(id),
    }
}

fn encode_state(state: directory::State) -> u32 {
    match state {
        directory::State::Starting => 0,
        directory::State::Serving => 1,
        directory::State::Draining => 2,
    }
}

fn decode_state(state: u32) -> Result<directory::State, ConvertError> {
    match state {
        0 => Ok(directory::State::Starting),
        1 => Ok(directory::State::Serving),
        2 => Ok(directory::State::Draining),
        _ => Err(invalid_field("state")),
    }
}

fn encode_address(address: net::SocketAddr) -> proto::Address {
    let port = u32::from(address.port());
    match address.ip() {
        net::IpAddr::V4(ip) => proto::Address {
            ip4: ip.to_bits(),
            ip6: Bytes::new(),
            port,
        },
        net::IpAddr::V6(ip) => proto::Address {
            ip4: 0,
            ip6: Bytes::copy_from_slice(&ip.octets()),
            port,
        },
    }
}

fn decode_address(address: Option<proto::Address>) -> Result<net::SocketAddr, ConvertError> {
    let address = address.ok_or(invalid_field("address"))?;
    let port = u16::try_from(address.port).map_err(|_| invalid_field("port"))?;
    let ip = if address.ip6.is_empty() {
        net::IpAddr::V4(net::Ipv4Addr::from_bits(address.ip4))
    } else {
        let octets: [u8; 16] = address
            .ip6
            .as_ref()
            .try_into()
            .map_err(|_| invalid_field("ip6"))?;
        net::IpAddr::V6(net::Ipv6Addr::from(octets))
    };
    Ok(net::SocketAddr::new(ip, port))
}

/// Assigns an index to each distinct name of a message, so that the name is sent only once.
#[derive(Default)]
struct NameTable {
    services: collections::BTreeMap<String, u32>,
    failure_domains: collections::BTreeMap<String, u32>,
    names: proto::Names,
}

impl NameTable {
    fn service(&mut self, name: &types::ServiceName) -> u32 {
        intern(&mut self.services, &mut self.names.services, name.as_str())
    }

    fn failure_domain(&mut self, name: &types::FailureDomain) -> u32 {
        intern(
            &mut self.failure_domains,
            &mut self.names.failure_domains,
            name.as_str(),
        )
    }

    fn target(&mut self, target: &directory::Target) -> proto::CompactTarget {
        proto::CompactTarget {
            service: self.service(&target.key.service),
            id: target.key.id.to_string(),
            incarnation: target.incarnation.0,
            address: Some(encode_address(target.address)),
            failure_domain: self.failure_domain(&target.failure_domain),
            slots: target.slots,
            state: encode_state(target.state),
        }
    }
}

fn intern(
    indices: &mut collections::BTreeMap<String, u32>,
    names: &mut Vec<String>,
    name: &str,
) -> u32 {
    if let Some(index) = indices.get(name) {
        return *index;
    }
    let index = names.len() as u32;
    indices.insert(name.to_owned(), index);
    names.push(name.to_owned());
    index
}

fn name_at(names: &[String], index: u32) -> Result<String, ConvertError> {
    names
        .get(index as usize)
        .cloned()
        .ok_or(invalid_field("names"))
}

fn decode_target(
    names: &proto::Names,
    target: proto::CompactTarget,
) -> Result<directory::Target, ConvertError> {
    Ok(directory::Target {
        key: key(name_at(&names.services, target.service)?, target.id),
        incarnation: Incarnation(target.incarnation),
        address: decode_address(target.address)?,
        failure_domain: types::FailureDomain(name_at(
            &names.failure_domains,
            target.failure_domain,
        )?),
        slots: target.slots,
        state: decode_state(target.state)?,
    })
}

fn encode_list(list: &directory::List) -> proto::DirectoryList {
    let mut names = NameTable::default();
    let targets = list
        .targets
        .iter()
        .map(|target| names.target(target))
        .collect();
    proto::DirectoryList {
        sequence: list.sequence,
        names: Some(names.names),
        targets,
    }
}

fn decode_list(list: proto::DirectoryList) -> Result<directory::List, ConvertError> {
    let names = list.names.unwrap_or_default();
    let targets = list
        .targets
        .into_iter()
        .map(|target| decode_target(&names, target));
    let targets: Result<Vec<_>, _> = targets.collect();
    Ok(directory::List {
        sequence: list.sequence,
        targets: targets?,
    })
}

fn encode_delta(delta: &directory::Delta) -> proto::DirectoryDelta {
    let mut names = NameTable::default();
    let mut set = Vec::new();
    let mut gone = Vec::new();
    for update in &delta.updates {
        match update {
            TargetUpdate::Set(target) => set.push(names.target(target)),
            TargetUpdate::Gone { key, incarnation } => gone.push(proto::CompactGone {
                service: names.service(&key.service),
                id: key.id.to_string(),
                incarnation: incarnation.0,
            }),
        }
    }
    proto::DirectoryDelta {
        from_term: delta.from.term.0,
        from_sequence: delta.from.sequence,
        to_term: delta.to.term.0,
        to_sequence: delta.to.sequence,
        full: delta.full,
        names: Some(names.names),
        set,
        gone,
    }
}

/// Converts a delta from its wire form. The wire form loses the order of updates and removals,
/// which has no effect because a delta holds at most one of them for each target.
fn decode_delta(delta: proto::DirectoryDelta) -> Result<directory::Delta, ConvertError> {
    let names = delta.names.unwrap_or_default();
    let mut updates = Vec::with_capacity(delta.set.len() + delta.gone.len());
    for target in delta.set {
        updates.push(TargetUpdate::Set(decode_target(&names, target)?));
    }
    for gone in delta.gone {
        updates.push(TargetUpdate::Gone {
            key: key(name_at(&names.services, gone.service)?, gone.id),
            incarnation: Incarnation(gone.incarnation),
        });
    }
    Ok(directory::Delta {
        from: version(delta.from_term, delta.from_sequence),
        to: version(delta.to_term, delta.to_sequence),
        full: delta.full,
        updates,
    })
}
