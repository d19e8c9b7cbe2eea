//! Measures the control traffic of leader and gateways in virtual time, in the control world of the
//! scenarios.

use std::{fmt, time};

use wagtailshunt_core::time::Instant;
use wagtailshunt_core::{directory, lease, types};
use wagtailshunt_wire::membership::Message;

use super::{CHANGES_PER_DAY, RESTARTS_PER_HOUR, Size};
use crate::worlds::control::{Content, Node, PlannedChange, Settings, Sim, encode};

/// Time in which all gateways get a lease and the full lists are sent.
const WARM_UP: time::Duration = time::Duration::from_secs(10);

/// Virtual time over which bytes are counted.
const WINDOW: time::Duration = time::Duration::from_secs(600);

/// Bytes per second, sent and received, of encoded frames.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Traffic {
    /// Bytes per second of the leader without changes.
    pub leader_idle: f64,
    /// Bytes per second of an average gateway without changes.
    pub gateway_idle: f64,
    /// Bytes per second of the leader with the changes of an ordinary day and all restarts of a day
    /// in one hour, each of them the restart of a gateway.
    pub leader_restarts: f64,
    /// Bytes per second of an average gateway under the same conditions.
    pub gateway_restarts: f64,
    /// Bytes per second of the leader if targets restart instead of gateways.
    pub leader_target_restarts: f64,
    /// Additional bytes that leaders send and receive because of one change of leader.
    pub leader_change: u64,
    /// Bytes of the payload of a renewal without changes, without envelope.
    pub renewal: usize,
    /// Bytes of the payload of a grant without changes, without envelope.
    pub grant: usize,
    /// Bytes of a frame with the change of one target, sent to one gateway.
    pub target_change: usize,
}

/// Measures the traffic at one size.
pub fn traffic(size: Size, seed: u64) -> Traffic {
    let (leader_idle, gateway_idle) = rates(size, seed, |_, _, _| {});
    let gateways = size.gateways;
    let (leader_restarts, gateway_restarts) = rates(size, seed, |sim, now, step| {
        enqueue_due_change(sim, now, step);
        if restart_due(step) {
            let vm = 1 + step % gateways;
            sim.kill_gateway(vm);
            sim.start_gateway(now, vm);
        }
    });
    let (leader_target_restarts, _) = rates(size, seed, |sim, now, step| {
        enqueue_due_change(sim, now, step);
        if restart_due(step) {
            sim.stop_target(now, step % size.targets, true);
        }
    });
    let (renewal, grant) = payloads();
    Traffic {
        leader_idle,
        gateway_idle,
        leader_restarts,
        gateway_restarts,
        leader_target_restarts,
        leader_change: leader_change(size, seed),
        renewal,
        grant,
        target_change: target_change(),
    }
}

fn settings(size: Size) -> Settings {
    Settings {
        gateways: size.gateways,
        services: size.services,
        targets: size.targets,
        delay: time::Duration::from_millis(1),
        check_invariants: false,
        ..Settings::default()
    }
}

/// Runs the world until a time and calls `every_second` once per second of virtual time.
fn advance(
    sim: &mut Sim,
    from: Instant,
    until: Instant,
    mut every_second: impl FnMut(&mut Sim, Instant, u32),
) {
    let mut second = from;
    let mut step = 0;
    while second < until {
        every_second(sim, second, step);
        step += 1;
        second = second + time::Duration::from_secs(1);
        while let Some(at) = sim.net.next_event_at().filter(|at| *at < second) {
            sim.step(at);
        }
    }
}

/// Returns the bytes per second of the leader and of an average gateway.
fn rates(size: Size, seed: u64, every_second: impl FnMut(&mut Sim, Instant, u32)) -> (f64, f64) {
    let mut sim = Sim::new(settings(size), seed);
    let start = Instant(0) + WARM_UP;
    advance(&mut sim, Instant(0), start, |_, _, _| {});
    sim.net.bytes.clear();
    advance(&mut sim, start, start + WINDOW, every_second);
    let bytes = |node| sim.net.bytes.get(&node).copied().unwrap_or_default() as f64;
    let gateways: f64 = (1..=size.gateways).map(|vm| bytes(Node::Gateway(vm))).sum();
    let seconds = WINDOW.as_secs_f64();
    (
        bytes(Node::Control) / seconds,
        gateways / f64::from(size.gateways) / seconds,
    )
}

fn restart_due(step: u32) -> bool {
    is_due(step, RESTARTS_PER_HOUR, 3600)
}

fn enqueue_due_change(sim: &mut Sim, now: Instant, step: u32) {
    if is_due(step, CHANGES_PER_DAY, 86_400) {
        let service = step % sim.cfg.services;
        sim.enqueue_change(
            now,
            1,
            PlannedChange {
                service,
                schema: 1,
                retry_on_conflict: true,
                ..PlannedChange::default()
            },
        );
    }
}

/// Returns whether an event that occurs `count` times per `period` seconds is due in this second.
fn is_due(second: u32, count: u32, period: u32) -> bool {
    second * count / period != (second + 1) * count / period
}

fn leader_change(size: Size, seed: u64) -> u64 {
    let total = |change: bool| {
        let mut sim = Sim::new(settings(size), seed);
        let start = Instant(0) + WARM_UP;
        advance(&mut sim, Instant(0), start, |_, _, _| {});
        sim.net.bytes.clear();
        if change {
            sim.change_leader(start);
        }
        advance(&mut sim, start, start + WARM_UP, |_, _, _| {});
        sim.net
            .bytes
            .get(&Node::Control)
            .copied()
            .unwrap_or_default()
    };
    total(true).saturating_sub(total(false))
}

/// Returns the payload sizes in bytes of a renewal and a grant, with the numbers that a system of
/// the design size has reached after a year.
fn payloads() -> (usize, usize) {
    let version = directory::Version {
        term: types::Term(1000),
        sequence: 100_000,
    };
    let digest = directory::Digest(u64::MAX);
    let revision = types::Revision(570 * 365);
    let renewal = lease::Renewal {
        vm: types::VmId(1),
        incarnation: types::Incarnation(1_800_000_000_000),
        sequence: 2 * 86_400 * 30,
        revision,
        directory: version,
        registered_targets_digest: digest,
        registered_targets_count: 40,
        release: false,
    };
    let current = lease::LeaderStatus {
        revision,
        directory: version,
        digest: Some(digest),
        list_wanted: false,
    };
    let grant = lease::Grant {
        sequence: renewal.sequence,
        length: lease::Config::default().length,
        transitions: 100,
        current,
    };
    let payload =
        |message: Message| encode(types::VmId(1), renewal.incarnation, &membership(message)).len();
    let envelope = payload(Message::List(directory::List::default()));
    // An empty list takes 4 bytes: the tags and lengths of message, list and names.
    let empty = envelope - 4;
    (
        payload(Message::Renewal(renewal.clone())) - empty,
        payload(Message::Grant(grant)) - empty,
    )
}

fn membership(message: Message) -> Content {
    Content::Membership(Box::new(message))
}

fn target_change() -> usize {
    let version = |sequence| directory::Version {
        term: types::Term(1000),
        sequence,
    };
    let target = directory::Target {
        key: directory::Key {
            service: types::ServiceName::from("bookings"),
            id: types::TargetId::from("bookings-12"),
        },
        incarnation: types::Incarnation(1_800_000_000_000),
        address: std::net::SocketAddr::from(([10, 0, 0, 1], 8080)),
        failure_domain: types::FailureDomain::from("suva-1"),
        slots: 3,
        state: directory::State::Serving,
    };
    let delta = directory::Delta {
        from: version(100_000),
        to: version(100_001),
        full: false,
        updates: vec![directory::TargetUpdate::Set(target)],
    };
    let incarnation = types::Incarnation(1_800_000_000_000);
    encode(
        types::VmId(1),
        incarnation,
        &membership(Message::Delta(delta)),
    )
    .len()
}

/// Returns the bytes of one announcement over HTTP, with the shortest request and response that a
/// client and a gateway can send.
pub fn announcement_bytes() -> usize {
    let body = serde_json::json!({
        "service": "bookings", "target": "bookings-12", "incarnation": 1_800_000_000_000_u64,
        "address": "10.0.0.1:8080", "failure_domain": "suva-1", "slots": 3, "state": "serving",
        "load": { "in_flight": 2, "queue": 0, "latency_us": 900 },
    });
    let body = body.to_string();
    let request = format!(
        "POST /v1/announce HTTP/1.1\r\nHost: 10.0.0.2:8081\r\nAuthorization: Bearer \
         0123456789abcdef0123456789abcdef\r\nContent-Type: application/json\r\nContent-Length: \
         {}\r\n\r\n{body}",
        body.len()
    );
    let response = r#"{"renew_within_ms":3000,"serving":true}"#;
    let response = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\ndate: Fri, \
         04 Dec 2026 06:30:00 GMT\r\n\r\n{response}",
        response.len()
    );
    request.len() + response.len()
}

impl fmt::Display for Traffic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "  leader, idle               {:8.0} B/s",
            self.leader_idle
        )?;
        writeln!(
            f,
            "  leader, gateways restart   {:8.0} B/s",
            self.leader_restarts
        )?;
        writeln!(
            f,
            "  leader, targets restart    {:8.0} B/s",
            self.leader_target_restarts
        )?;
        writeln!(
            f,
            "  gateway, idle              {:8.0} B/s",
            self.gateway_idle
        )?;
        writeln!(
            f,
            "  gateway, gateways restart  {:8.0} B/s",
            self.gateway_restarts
        )?;
        writeln!(f, "  change of leader           {:8} B", self.leader_change)?;
        writeln!(
            f,
            "  renewal, grant payload     {:3}, {:3} B",
            self.renewal, self.grant
        )?;
        writeln!(f, "  change of a target, frame  {:8} B", self.target_change)?;
        writeln!(
            f,
            "  announcement, HTTP         {:8} B",
            announcement_bytes()
        )
    }
}
