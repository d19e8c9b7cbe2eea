//! Event queue of the world, its virtual time and its simulated network.
//!
//! Message delays and losses come from the settings and from the random generator of the seed.

use std::{collections, rc, time::Duration};

use rand::{Rng, SeedableRng, rngs};
use wagtailshunt_core::{containment, ledger, time};

use super::{checker, control, gateway, settings, target};
use crate::scenario;

/// A message from a gateway to a control VM.
#[derive(Clone, Debug)]
pub(super) enum ToNode {
    Ledger {
        gateway: usize,
        incarnation: u64,
        request: ledger::Request,
    },
    Containment {
        gateway: usize,
        output: containment::Output,
    },
}

/// A message from a control VM to a gateway.
#[derive(Clone, Debug)]
pub(super) enum ToGateway {
    Reply {
        node: usize,
        key: ledger::Key,
        holder: ledger::Holder,
        reply: ledger::ServiceReply,
    },
    Permit {
        call: u64,
        fingerprint: containment::Fingerprint,
        reply: containment::PermitReply,
    },
    Notice(containment::Notice),
    Records(Vec<containment::Record>),
}

/// An event at a point in virtual time.
#[derive(Clone, Debug)]
pub(super) enum Event {
    Tick,
    Send {
        request: rc::Rc<checker::Request>,
        number: u32,
        gateway: Option<usize>,
    },
    CallTimer {
        gateway: usize,
        call: u64,
    },
    ToNode {
        node: usize,
        message: ToNode,
    },
    ToGateway {
        gateway: usize,
        incarnation: u64,
        message: ToGateway,
    },
    Commit {
        node: usize,
        term: u64,
        index: u64,
    },
    Elected {
        term: u64,
    },
    Deposed {
        node: usize,
    },
    NodeReturns {
        node: usize,
    },
    GatewayConnects {
        gateway: usize,
    },
    ConnectionOpened {
        gateway: usize,
        incarnation: u64,
        call: u64,
        conn: u64,
        target: usize,
    },
    RequestArrived {
        conn: u64,
        call: u64,
    },
    RunEnded {
        conn: u64,
        call: u64,
        fault: Option<checker::Fault>,
    },
    ResponseArrived {
        conn: u64,
        answer: target::Response,
    },
    ConnectionClosed {
        conn: u64,
    },
    TargetRestarts {
        target: usize,
    },
    IncarnationEnded {
        gateway: usize,
        target: containment::Target,
    },
    GatewayRestarts {
        gateway: usize,
    },
    Chaos {
        until: time::Instant,
    },
}

/// One direction of the connection between a gateway and the leader of group 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Channel {
    ToControl(usize),
    FromControl(usize),
}

/// State of the whole simulation.
#[derive(Debug)]
pub(super) struct Sim {
    pub(super) now: time::Instant,
    pub(super) settings: settings::Settings,
    pub(super) rng: rngs::SmallRng,
    pub(super) gateways: Vec<gateway::Gateway>,
    pub(super) control: control::Control,
    pub(super) targets: Vec<target::Target>,
    pub(super) conns: collections::BTreeMap<u64, target::Conn>,
    pub(super) checker: checker::Checker,
    pub(super) next_call: u64,
    pub(super) next_conn: u64,
    /// Delay of the next claim on its way to control, set by a script.
    pub(super) claim_delay: Option<Duration>,
    /// Delay of the next grant on its way back to the gateway, set by a script.
    pub(super) grant_delay: Option<Duration>,
    /// Number of generated requests.
    pub(super) generated: u64,
    /// Pending events by time, and by sequence number within one time.
    queue: collections::BTreeMap<(time::Instant, u64), Event>,
    sequence: u64,
    /// Arrival time of the last message on each channel.
    channels: collections::BTreeMap<Channel, time::Instant>,
    pub(super) lines: Vec<scenario::Line>,
}

impl Sim {
    pub(super) fn new(settings: settings::Settings, seed: u64) -> Self {
        let gateways = (0..settings.gateways as usize).map(gateway::Gateway::new);
        let target = |number| target::Target {
            number,
            incarnation: 1,
            up: true,
        };
        let mut sim = Sim {
            now: time::Instant(0),
            gateways: gateways.collect(),
            control: control::Control::new(settings.waiting),
            targets: (0..settings.targets as usize).map(target).collect(),
            settings,
            rng: rngs::SmallRng::seed_from_u64(seed),
            conns: collections::BTreeMap::new(),
            checker: checker::Checker::default(),
            next_call: 0,
            next_conn: 0,
            claim_delay: None,
            grant_delay: None,
            generated: 0,
            queue: collections::BTreeMap::new(),
            sequence: 0,
            channels: collections::BTreeMap::new(),
            lines: Vec::new(),
        };
        sim.elected(0);
        sim.schedule(sim.settings.tick, Event::Tick);
        sim
    }

    pub(super) fn next_event(&self) -> Option<time::Instant> {
        self.queue.first_key_value().map(|((at, _), _)| *at)
    }

    pub(super) fn advance(&mut self, now: time::Instant) {
        self.now = now;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let event = entry.remove();
            self.handle(event);
        }
    }

    pub(super) fn schedule(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), event);
    }

    pub(super) fn add_line(&mut self, text: String) {
        let at = self.now;
        self.lines.push(scenario::Line { at, text });
    }

    /// Returns a random delay of one message, 0.3 ms to 1 ms.
    pub(super) fn message_delay(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(300..1_000))
    }

    /// Delivers a message between gateway and control. It may be lost or duplicated, as set.
    pub(super) fn send_unreliably(&mut self, event: Event) {
        if self.rng.random_bool(self.settings.control_doubled) {
            let late = Duration::from_millis(self.rng.random_range(1..3_000));
            self.schedule(late, event.clone());
        }
        if !self.rng.random_bool(self.settings.control_lost) {
            let message_delay = self.message_delay();
            self.schedule(message_delay, event);
        }
    }

    /// Delivers a message over a connection that keeps the order of its messages.
    pub(super) fn send_in_order(&mut self, channel: Channel, event: Event) {
        let message_delay = self.message_delay();
        let earliest = self.now + message_delay;
        let last = self.channels.entry(channel).or_default();
        *last = earliest.max(*last + Duration::from_micros(1));
        let delay = last.since(self.now);
        self.schedule(delay, event);
    }

    /// Delivers a message from control to a gateway in order and without loss.
    pub(super) fn send_to_gateway(&mut self, gateway: usize, message: ToGateway) {
        let incarnation = self.gateways[gateway].incarnation;
        let event = Event::ToGateway {
            gateway,
            incarnation,
            message,
        };
        self.send_in_order(Channel::FromControl(gateway), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick => {
                self.control_tick();
                self.gateways_tick();
                self.schedule(self.settings.tick, Event::Tick);
            }
            Event::Send {
                request,
                number,
                gateway,
            } => self.send(request, number, gateway),
            Event::CallTimer { gateway, call } => self.call_timer(gateway, call),
            Event::ToNode { node, message } => self.node_receives(node, message),
            Event::ToGateway {
                gateway,
                incarnation,
                message,
            } => {
                let state = &self.gateways[gateway];
                if state.up && state.incarnation == incarnation {
                    self.gateway_receives(gateway, message);
                }
            }
            Event::Commit { node, term, index } => self.commit(node, term, index),
            Event::Elected { term } => self.elected(term),
            Event::Deposed { node } => self.deposed(node),
            Event::NodeReturns { node } => self.node_returns(node),
            Event::GatewayConnects { gateway } => self.gateway_connects(gateway),
            Event::ConnectionOpened {
                gateway,
                incarnation,
                call,
                conn,
                target,
            } => {
                let state = &self.gateways[gateway];
                if state.up && state.incarnation == incarnation {
                    self.opened(gateway, call, conn, target);
                }
            }
            Event::RequestArrived { conn, call } => self.request_arrived(conn, call),
            Event::RunEnded { conn, call, fault } => self.run_ended(conn, call, fault),
            Event::ResponseArrived { conn, answer } => self.response_arrived(conn, &answer),
            Event::ConnectionClosed { conn } => self.conn_closed(conn),
            Event::TargetRestarts { target } => self.restart_target(target),
            Event::IncarnationEnded { gateway, target } => {
                let now = self.now;
                self.gateways[gateway]
                    .local_containment
                    .incarnation_ended(now, &target);
                self.send_containment_messages(gateway);
            }
            Event::GatewayRestarts { gateway } => self.restart_gateway(gateway),
            Event::Chaos { until } => self.chaos(until),
        }
    }

    /// Causes a random fault and schedules the next one.
    fn chaos(&mut self, until: time::Instant) {
        if self.now >= until {
            return self.set_quorum(true);
        }
        match self.rng.random_range(0..6) {
            0 => {
                let gateway = self.rng.random_range(0..self.gateways.len());
                self.crash_gateway(gateway);
            }
            1 => self.lose_leader(true),
            2 => self.lose_leader(false),
            3 => {
                let target = self.rng.random_range(0..self.targets.len());
                self.crash_target(target);
            }
            4 => {
                let target = self.rng.random_range(0..self.targets.len());
                self.silence_target(target);
            }
            _ => {
                let quorum = self.rng.random_bool(0.7);
                self.set_quorum(quorum);
            }
        }
        let pause = Duration::from_millis(self.rng.random_range(300..2_000));
        self.schedule(pause, Event::Chaos { until });
    }
}
