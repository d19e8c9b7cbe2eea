//! Simulated targets and the connections to them.
//!
//! The fault of a call comes from its request or is drawn at random with the shares of the
//! settings.

use std::time::Duration;

use rand::Rng;
use wagtailshunt_core::{containment, time, types};

use super::{
    checker,
    sim::{Event, Sim},
};

/// A simulated target.
#[derive(Debug)]
pub(super) struct Target {
    pub(super) number: usize,
    pub(super) incarnation: u64,
    pub(super) up: bool,
}

impl Target {
    pub(super) fn identity(&self) -> containment::Target {
        containment::Target {
            service: "shop".into(),
            id: types::TargetId(format!("t{}", self.number + 1)),
            incarnation: types::Incarnation(self.incarnation),
        }
    }
}

/// A connection of a gateway to a target.
#[derive(Clone, Debug)]
pub(super) struct Conn {
    pub(super) gateway: usize,
    pub(super) target: usize,
    pub(super) incarnation: u64,
    pub(super) opened: time::Instant,
    /// A middlebox lost the connection's state: no packet passes in either direction.
    pub(super) silent: bool,
    /// Bytes arrived while no call was in flight, or the target closed the connection.
    pub(super) unusable: bool,
    /// Call of the previous exchange. A crossed response belongs to it.
    pub(super) previous: Option<u64>,
}

/// A response on its way from a target.
#[derive(Clone, Debug)]
pub(super) struct Response {
    pub(super) echoed_call: u64,
    pub(super) status: u16,
    /// The target states that it did not run the call.
    pub(super) not_run_marker: bool,
    pub(super) body: String,
    /// Length of the body as stated in the header, in bytes.
    pub(super) stated_length: u64,
}

impl Sim {
    /// Handles the request of a call that arrives at its target.
    pub(super) fn request_arrived(&mut self, conn: u64, call: u64) {
        let Some(link) = self.conns.get(&conn).cloned() else {
            return;
        };
        let target = &self.targets[link.target];
        if link.silent {
            return;
        }
        if !target.up || target.incarnation != link.incarnation {
            return self.schedule(Duration::from_micros(200), Event::ConnectionClosed { conn });
        }
        let Some(attempt) = self.checker.attempts.get(&call) else {
            return;
        };
        let request = attempt.request.clone();
        let fault = request.fault.or_else(|| self.draw_fault());
        if fault == Some(checker::Fault::Refused) {
            return self.answer(conn, call, 503, true, "refused", None);
        }
        if fault == Some(checker::Fault::Bare) && self.rng.random_bool(0.5) {
            return self.answer(conn, call, 503, false, "busy", None);
        }
        self.checker.record_run(call);
        if request.poison {
            *self
                .checker
                .lost_targets
                .entry(request.name.clone())
                .or_default() += 1;
            return self.crash_target(link.target);
        }
        let mean = request.service_time.unwrap_or(self.settings.service_time);
        let factor = self.rng.random_range(0.5..1.5);
        let event = Event::RunEnded { conn, call, fault };
        self.schedule(mean.mul_f64(factor), event);
    }

    /// Ends the run of a call and sends the response, with the given fault.
    pub(super) fn run_ended(&mut self, conn: u64, call: u64, fault: Option<checker::Fault>) {
        let Some(link) = self.conns.get(&conn) else {
            return;
        };
        let target = &self.targets[link.target];
        if !target.up || target.incarnation != link.incarnation {
            return;
        }
        let Some(attempt) = self.checker.attempts.get(&call) else {
            return;
        };
        let body = attempt.request.expected_body();
        let timeout = attempt.request.timeout;
        match fault {
            Some(checker::Fault::Lost) => self.silence(conn),
            Some(checker::Fault::Reset) => {
                let message_delay = self.message_delay();
                self.schedule(message_delay, Event::ConnectionClosed { conn });
            }
            Some(checker::Fault::Bare) => self.answer(conn, call, 503, false, "busy", None),
            Some(checker::Fault::Late) => {
                self.answer(conn, call, 200, false, &body, Some(timeout));
            }
            Some(checker::Fault::Doubled) => {
                self.answer(conn, call, 200, false, &body, None);
                let later = Duration::from_micros(self.rng.random_range(1_500..20_000));
                self.answer(conn, call, 200, false, &body, Some(later));
            }
            Some(checker::Fault::Crossed) => {
                let other = self.conns[&conn].previous.unwrap_or(call + 1);
                let named = self.checker.attempts.get(&other);
                let body = named.map_or("other".into(), |other| other.request.expected_body());
                self.answer(conn, other, 200, false, &body, None);
            }
            Some(checker::Fault::Truncated) => {
                let answer = Response {
                    echoed_call: call,
                    status: 200,
                    not_run_marker: false,
                    stated_length: body.len() as u64,
                    body: body[..body.len() / 2].to_owned(),
                };
                let message_delay = self.message_delay();
                self.schedule(message_delay, Event::ResponseArrived { conn, answer });
                let closed = self.message_delay() + Duration::from_millis(1);
                self.schedule(closed, Event::ConnectionClosed { conn });
            }
            _ => self.answer(conn, call, 200, false, &body, None),
        }
    }

    fn answer(
        &mut self,
        conn: u64,
        call: u64,
        status: u16,
        not_run_marker: bool,
        body: &str,
        delay: Option<Duration>,
    ) {
        let answer = Response {
            echoed_call: call,
            status,
            not_run_marker,
            body: body.to_owned(),
            stated_length: body.len() as u64,
        };
        let delay = self.message_delay() + delay.unwrap_or_default();
        self.schedule(delay, Event::ResponseArrived { conn, answer });
    }

    fn draw_fault(&mut self) -> Option<checker::Fault> {
        let shares = [
            (self.settings.lost, checker::Fault::Lost),
            (self.settings.late, checker::Fault::Late),
            (self.settings.doubled, checker::Fault::Doubled),
            (self.settings.crossed, checker::Fault::Crossed),
            (self.settings.truncated, checker::Fault::Truncated),
            (self.settings.reset, checker::Fault::Reset),
            (self.settings.refused, checker::Fault::Refused),
            (self.settings.bare, checker::Fault::Bare),
        ];
        let mut draw: f64 = self.rng.random();
        for (share, fault) in shares {
            if draw < share {
                return Some(fault);
            }
            draw -= share;
        }
        None
    }

    /// Drops all further packets of a connection, as a middlebox does that lost its state.
    pub(super) fn silence(&mut self, conn: u64) {
        if let Some(link) = self.conns.get_mut(&conn) {
            link.silent = true;
        }
    }

    /// Drops all further packets of the open connections to a target.
    pub(super) fn silence_target(&mut self, target: usize) {
        self.add_line(format!("connections to t{} go silent", target + 1));
        for link in self.conns.values_mut() {
            link.silent |= link.target == target;
        }
    }

    /// Ends the process of a target and schedules its restart.
    pub(super) fn crash_target(&mut self, target: usize) {
        if !self.targets[target].up {
            return;
        }
        self.add_line(format!("t{} crashes", target + 1));
        self.targets[target].up = false;
        let open = |(_, link): &(&u64, &Conn)| link.target == target && !link.silent;
        let conns: Vec<u64> = self.conns.iter().filter(open).map(|(id, _)| *id).collect();
        for conn in conns {
            let message_delay = self.message_delay();
            self.schedule(message_delay, Event::ConnectionClosed { conn });
        }
        let restart = self.settings.restart;
        self.schedule(restart, Event::TargetRestarts { target });
    }

    /// Restarts a target, which announces its new incarnation.
    pub(super) fn restart_target(&mut self, target: usize) {
        let ended = self.targets[target].identity();
        self.targets[target].incarnation += 1;
        self.targets[target].up = true;
        if self.control.elected.is_some() {
            let now = self.now;
            self.control.containment.incarnation_ended(now, &ended);
            self.drain_containment();
        }
        for gateway in 0..self.gateways.len() {
            let target = ended.clone();
            let message_delay = self.message_delay();
            self.schedule(message_delay, Event::IncarnationEnded { gateway, target });
        }
    }

    /// Returns the targets that are not in `avoid`, starting at a random one.
    pub(super) fn candidates(&mut self, avoid: &[usize]) -> Vec<usize> {
        let all = 0..self.targets.len();
        let mut numbers: Vec<usize> = all.filter(|number| !avoid.contains(number)).collect();
        if !numbers.is_empty() {
            let rotation = self.rng.random_range(0..numbers.len());
            numbers.rotate_left(rotation);
        }
        numbers
    }
}
