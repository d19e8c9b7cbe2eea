//! Measures the processor time of operations of leader and gateway, and the memory of their state.

use std::{fmt, fs, time};

use wagtailshunt_core::time::{Instant, UnixMillis};
use wagtailshunt_core::{directory, lease, records, registry, types};
use wagtailshunt_wire::membership::Message;

use super::Size;
use crate::worlds::control::{Content, decode, encode};

/// Growth of the resident memory over which the size of a structure is averaged.
const GROWTH_BYTES: usize = 64 * 1024 * 1024;

/// Minimum time for which an operation is repeated.
const MIN_MEASURE_TIME: time::Duration = time::Duration::from_millis(50);

const PAGE_BYTES: usize = 4096;

/// Processor time of one operation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Operation {
    /// Name of the operation.
    pub name: &'static str,
    /// Mean time in microseconds.
    pub micros: f64,
}

/// Processor time and memory at one size.
#[derive(Clone, Debug)]
pub struct Cost {
    /// Processor time of operations of leader and gateway.
    pub operations: Vec<Operation>,
    /// Share of one core that the leader spends on renewals without changes, in percent.
    pub leader_core_percent: f64,
    /// Memory of the registry with a full history of each record, without request ids, in KiB.
    pub registry_kib: f64,
    /// Memory of 65,536 request ids, in KiB.
    pub ids_kib: f64,
    /// Memory of the directory on the leader, in KiB.
    pub directory_kib: f64,
    /// Memory of the directory view and the records of a gateway, in KiB.
    pub gateway_kib: f64,
    /// Size of a snapshot of the registry without request ids, in KiB.
    pub snapshot_kib: f64,
}

/// Measures processor time and memory at one size.
pub fn cost(size: Size) -> Cost {
    let registry = registry(size, 64);
    let directory = directory(size);
    let (snapshot, ids) = (registry.snapshot(), request_ids_registry().snapshot());
    let restore = |snapshot: &[u8]| registry::Registry::restore(snapshot).expect("own snapshot");
    let registry_kib = memory(|| restore(&snapshot));
    let ids_kib = memory(|| restore(&ids));
    let directory_kib = memory(|| self::directory(size));
    let gateway_kib = memory(|| gateway(&registry, &directory));
    let renewal = renewal_cost(size);
    let renewals_per_second =
        f64::from(size.gateways) / lease::Config::default().renew_every.as_secs_f64();
    let mut operations = vec![renewal, frame_cost()];
    // Encoding and decoding a grant costs about as much as a renewal.
    let busy = operations[0].micros + 2.0 * operations[1].micros;
    operations.extend(registry_costs(&registry));
    operations.extend(directory_costs(size, &directory));
    operations.extend(gateway_costs(&registry, &directory));
    Cost {
        operations,
        leader_core_percent: busy * renewals_per_second / 10_000.0,
        registry_kib,
        ids_kib,
        directory_kib,
        gateway_kib,
        snapshot_kib: snapshot.len() as f64 / 1024.0,
    }
}

/// Wall clock time at which the registry is built, in milliseconds since the Unix epoch.
const BUILT_MS: u64 = 1_800_000_000_000;

/// Two days later, when the request ids of the build have expired.
const AFTER_ID_EXPIRY_MS: u64 = BUILT_MS + 2 * 86_400_000;

fn request(number: u64) -> types::RequestId {
    request_at(BUILT_MS, number)
}

fn request_at(created_ms: u64, number: u64) -> types::RequestId {
    let hex = format!("{created_ms:012x}7000{:016x}", number | 1 << 63);
    let parts = [
        &hex[..8],
        &hex[8..12],
        &hex[12..16],
        &hex[16..20],
        &hex[20..],
    ];
    types::RequestId(parts.join("-"))
}

fn service(number: u32) -> String {
    format!("service-{number:03}")
}

fn put(
    number: u32,
    expect: Option<types::Revision>,
    request_id: types::RequestId,
) -> registry::Command {
    let name = service(number);
    let text = serde_json::json!({
        "schema": 2, "kind": "service", "name": name,
        "spec": {
            "hosts": [format!("{name}.example.org")], "path_prefix": "/v1",
            "idempotent_methods": ["GET", "HEAD"], "key_required_methods": ["POST"],
            "max_in_flight": 200, "queue_limit": 100, "timeout_ms": 2000, "policy": "association",
            "hedge": { "enabled": true, "max_permille": 50 }, "priority": 100,
        },
    });
    registry::Command::Put {
        request_id,
        expect,
        actor: "operator".to_owned(),
        text: text.to_string(),
        now: UnixMillis(BUILT_MS),
    }
}

/// Returns a registry in which each record has `versions` versions.
fn registry(size: Size, versions: u64) -> registry::Registry {
    let mut registry = registry::Registry::default();
    let mut index = 0;
    for number in 0..size.services {
        let mut expect = None;
        for _ in 0..versions {
            index += 1;
            registry.apply(types::LogIndex(index), &put(number, expect, request(index)));
            expect = Some(registry.revision());
        }
    }
    let (vm, now) = (types::VmId(u32::MAX), UnixMillis(AFTER_ID_EXPIRY_MS));
    registry.apply(
        types::LogIndex(index + 1),
        &registry::Command::RemoveVm { vm, now },
    );
    registry
}

fn request_ids_registry() -> registry::Registry {
    let mut registry = registry::Registry::default();
    for number in 0..65_536 {
        let never = Some(types::Revision(9));
        registry.apply(types::LogIndex(number + 1), &put(0, never, request(number)));
    }
    registry
}

fn target(size: Size, number: u32, state: directory::State) -> directory::Target {
    let service = service(number % size.services);
    directory::Target {
        key: directory::Key {
            id: types::TargetId(format!("{service}-{number}")),
            service: types::ServiceName(service),
        },
        incarnation: types::Incarnation(1_800_000_000_000),
        address: std::net::SocketAddr::from((
            std::net::Ipv4Addr::from_bits(0x0a00_0000 + number),
            80,
        )),
        failure_domain: types::FailureDomain(format!("domain-{}", number % 9)),
        slots: 3,
        state,
    }
}

const FIRST_INCARNATION: types::Incarnation = types::Incarnation(1);

fn directory(size: Size) -> directory::Directory {
    let cfg = directory::Config::default();
    let mut directory = directory::Directory::new(cfg, types::Term(1), Instant(0), []);
    for number in 0..size.targets {
        let vm = types::VmId(1 + number % size.gateways);
        let update = directory::TargetUpdate::Set(target(size, number, directory::State::Serving));
        let sequence = u64::from(number) + 1;
        directory.apply_change(
            Instant(0),
            vm,
            FIRST_INCARNATION,
            &directory::Change { sequence, update },
        );
    }
    directory
}

fn gateway(
    registry: &registry::Registry,
    directory: &directory::Directory,
) -> (records::Table, directory::View) {
    let mut table = records::Table::default();
    table
        .apply(&registry.changes_since(types::Revision(0)))
        .expect("records are readable");
    let mut view = directory::View::default();
    view.apply(&full_delta(directory));
    (table, view)
}

fn full_delta(directory: &directory::Directory) -> directory::Delta {
    directory
        .changes_since(directory::Version::default())
        .expect("directory is complete")
}

/// Returns the memory of one copy in KiB.
///
/// Copies are built until the process has grown by [`GROWTH_BYTES`], which uses up the memory that
/// earlier measurements have freed. Only the copies that make it grow by as much again are counted.
fn memory<T>(mut build: impl FnMut() -> T) -> f64 {
    let mut copies = Vec::new();
    let mut grow = |from: usize| {
        let before = copies.len();
        while resident_bytes() < from + GROWTH_BYTES {
            copies.push(build());
        }
        copies.len() - before
    };
    grow(resident_bytes());
    let start = resident_bytes();
    let count = grow(start);
    (resident_bytes() - start) as f64 / count as f64 / 1024.0
}

fn resident_bytes() -> usize {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

fn measure_operation(name: &'static str, mut run: impl FnMut()) -> Operation {
    let start = time::Instant::now();
    let mut count = 0_u32;
    while start.elapsed() < MIN_MEASURE_TIME {
        run();
        count += 1;
    }
    let micros = start.elapsed().as_secs_f64() * 1e6 / f64::from(count);
    Operation { name, micros }
}

/// Measures the handling of a renewal on the leader: digest of the registered targets, lease, and
/// changes to send.
fn renewal_cost(size: Size) -> Operation {
    let mut directory = directory(size);
    let vms = (1..=size.gateways).map(types::VmId);
    let mut grantor = lease::Grantor::new(
        lease::Config::default(),
        Instant(0),
        types::Revision(0),
        vms,
    );
    let mut holder =
        lease::Holder::new(lease::Config::default(), types::VmId(1), FIRST_INCARNATION);
    let mut now = Instant(0);
    measure_operation("leader: renewal", || {
        now = now + time::Duration::from_millis(1);
        let renewal = holder.start_renewal(now, &lease::GatewayStatus::default());
        let (vm, digest) = (renewal.vm, renewal.registered_targets_digest);
        let wanted = directory.check_digest(
            now,
            vm,
            FIRST_INCARNATION,
            digest,
            renewal.registered_targets_count,
        );
        let current = lease::LeaderStatus {
            revision: types::Revision(0),
            directory: directory.version(),
            digest: directory.digest(),
            list_wanted: wanted,
        };
        let grant = grantor.renew(now, Some(Instant(u64::MAX)), &current, &renewal);
        let delta = directory.changes_since(directory.version());
        std::hint::black_box((grant.is_ok(), delta, grantor.in_force(now)));
    })
}

/// Measures encoding and decoding of a renewal.
fn frame_cost() -> Operation {
    let mut holder =
        lease::Holder::new(lease::Config::default(), types::VmId(1), FIRST_INCARNATION);
    let mut now = Instant(0);
    measure_operation("wire: renewal, both ways", || {
        now = now + time::Duration::from_millis(1);
        let renewal = Message::Renewal(holder.start_renewal(now, &lease::GatewayStatus::default()));
        let frame = encode(
            types::VmId(1),
            FIRST_INCARNATION,
            &Content::Membership(Box::new(renewal)),
        );
        std::hint::black_box(decode(&frame));
    })
}

fn registry_costs(registry: &registry::Registry) -> Vec<Operation> {
    let mut changed = registry.clone();
    let key = records::Key::new(records::Kind::Service, service(0));
    let mut index = changed.revision().0 + 1;
    let accept = measure_operation("registry: put", || {
        index += 1;
        let expect = changed.get(&key).map(|version| version.revision);
        let id = request_at(AFTER_ID_EXPIRY_MS, index);
        std::hint::black_box(changed.apply(types::LogIndex(index), &put(0, expect, id)));
    });
    let snapshot = registry.snapshot();
    vec![
        accept,
        measure_operation("registry: one change since", || {
            let last = types::Revision(registry.revision().0 - 1);
            std::hint::black_box(registry.changes_since(last));
        }),
        measure_operation("registry: snapshot", || {
            std::hint::black_box(registry.snapshot());
        }),
        measure_operation("registry: restore", || {
            std::hint::black_box(registry::Registry::restore(&snapshot).is_ok());
        }),
    ]
}

fn directory_costs(size: Size, directory: &directory::Directory) -> Vec<Operation> {
    let mut changed = directory.clone();
    let (vm, mut sequence) = (types::VmId(1), u64::from(size.targets) + 1);
    vec![
        measure_operation("directory: change and delta", || {
            sequence += 1;
            let mut updated = target(size, 0, directory::State::Serving);
            updated.incarnation.0 += sequence;
            let from = changed.version();
            let update = directory::TargetUpdate::Set(updated);
            changed.apply_change(
                Instant(0),
                vm,
                FIRST_INCARNATION,
                &directory::Change { sequence, update },
            );
            std::hint::black_box(changed.changes_since(from));
        }),
        measure_operation("directory: full list", || {
            std::hint::black_box(full_delta(directory));
        }),
    ]
}

fn gateway_costs(
    registry: &registry::Registry,
    directory: &directory::Directory,
) -> Vec<Operation> {
    let (table, mut view) = gateway(registry, directory);
    let all = registry.changes_since(types::Revision(0));
    let list = full_delta(directory);
    vec![
        measure_operation("gateway: route lookup", || {
            std::hint::black_box(table.lookup("service-001.example.org:443", "/v1/jobs/7?x=1"));
        }),
        measure_operation("gateway: confirm view", || {
            std::hint::black_box(view.compare(directory.version(), directory.digest()));
        }),
        measure_operation("gateway: all records", || {
            std::hint::black_box(records::Table::default().apply(&all).is_ok());
        }),
        measure_operation("gateway: full list", || {
            std::hint::black_box(directory::View::default().apply(&list));
        }),
    ]
}

impl fmt::Display for Cost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for Operation { name, micros } in &self.operations {
            writeln!(f, "  {name:27} {micros:9.2} us")?;
        }
        let percent = self.leader_core_percent;
        writeln!(f, "  leader, idle renewals       {percent:9.4} % of a core")?;
        let sizes = [
            ("registry, 64 versions each", self.registry_kib),
            ("65,536 request ids", self.ids_kib),
            ("directory on the leader", self.directory_kib),
            ("view and records", self.gateway_kib),
            ("snapshot", self.snapshot_kib),
        ];
        for (name, kib) in sizes {
            writeln!(f, "  {name:27} {kib:9.0} KiB")?;
        }
        Ok(())
    }
}
