//! Fake targets and the connections to them.

use std::time::Duration;

use rand::Rng;
use wagtailshunt_core::{containment, time, types};

use super::{
    checker,
    sim::{Event, Sim},
};

/// A fake target.
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
    /// A middlebox lost its state: nothing passes in either direction.
    pub(super) silent: bool,
    /// Bytes arrived or the target closed while no call was in flight.
    pub(super) unusable: bool,
    /// Call of the previous exchange, which a crossed answer belongs to.
    pub(super) previous: Option<u64>,
}

/// An answer on its way from a target.
#[derive(Clone, Debug)]
pub(super) struct Answer {
    pub(super) echoed_call: u64,
    pub(super) status: u16,
    pub(super) marker: bool,
    pub(super) body: String,
    pub(super) stated_length: u64,
}

impl Sim {
    /// The request of a call reaches its target.
    pub(super) fn request_arrived(&mut self, conn: u64, call: u64) {
        let Some(link) = self.conns.get(&conn).cloned() else {
            return;
        };
        let target = &self.targets[link.target];
        if link.silent {
            return;
        }
        if !target.up || target.incarnation != link.incarnation {
            return self.after(Duration::from_micros(200), Event::Closed { conn });
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
        self.checker.ran(call);
        if request.poison {
            *self
                .checker
                .crashes
                .entry(request.name.clone())
                .or_default() += 1;
            return self.crash_target(link.target);
        }
        let mean = request.service_time.unwrap_or(self.settings.service_time);
        let factor = self.rng.random_range(0.5..1.5);
        let event = Event::RunEnded { conn, call, fault };
        self.after(mean.mul_f64(factor), event);
    }

    /// A target has run a call and answers it.
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
        let body = attempt.request.expected();
        let timeout = attempt.request.timeout;
        match fault {
            Some(checker::Fault::Lost) => self.silence(conn),
            Some(checker::Fault::Reset) => {
                let hop = self.hop();
                self.after(hop, Event::Closed { conn });
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
                let body = named.map_or("other".into(), |other| other.request.expected());
                self.answer(conn, other, 200, false, &body, None);
            }
            Some(checker::Fault::Truncated) => {
                let answer = Answer {
                    echoed_call: call,
                    status: 200,
                    marker: false,
                    stated_length: body.len() as u64,
                    body: body[..body.len() / 2].to_owned(),
                };
                let hop = self.hop();
                self.after(hop, Event::Answered { conn, answer });
                let closed = self.hop() + Duration::from_millis(1);
                self.after(closed, Event::Closed { conn });
            }
            _ => self.answer(conn, call, 200, false, &body, None),
        }
    }

    fn answer(
        &mut self,
        conn: u64,
        call: u64,
        status: u16,
        marker: bool,
        body: &str,
        delay: Option<Duration>,
    ) {
        let answer = Answer {
            echoed_call: call,
            status,
            marker,
            body: body.to_owned(),
            stated_length: body.len() as u64,
        };
        let delay = self.hop() + delay.unwrap_or_default();
        self.after(delay, Event::Answered { conn, answer });
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

    /// A middlebox loses the state of a connection.
    pub(super) fn silence(&mut self, conn: u64) {
        if let Some(link) = self.conns.get_mut(&conn) {
            link.silent = true;
        }
    }

    /// A middlebox loses the state of all connections to a target.
    pub(super) fn silence_target(&mut self, target: usize) {
        self.line(format!("connections to t{} go silent", target + 1));
        for link in self.conns.values_mut() {
            link.silent |= link.target == target;
        }
    }

    /// The process of a target ends and restarts later.
    pub(super) fn crash_target(&mut self, target: usize) {
        if !self.targets[target].up {
            return;
        }
        self.line(format!("t{} crashes", target + 1));
        self.targets[target].up = false;
        let open = |(_, link): &(&u64, &Conn)| link.target == target && !link.silent;
        let conns: Vec<u64> = self.conns.iter().filter(open).map(|(id, _)| *id).collect();
        for conn in conns {
            let hop = self.hop();
            self.after(hop, Event::Closed { conn });
        }
        let restart = self.settings.restart;
        self.after(restart, Event::TargetRestarts { target });
    }

    /// A target starts again and announces its new incarnation.
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
            let hop = self.hop();
            self.after(hop, Event::IncarnationEnded { gateway, target });
        }
    }

    /// Targets to try, from a random one on.
    pub(super) fn candidates(&mut self, avoid: &[usize]) -> Vec<usize> {
        let all = 0..self.targets.len();
        let mut numbers: Vec<usize> = all.filter(|number| !avoid.contains(number)).collect();
        if !numbers.is_empty() {
            let turn = self.rng.random_range(0..numbers.len());
            numbers.rotate_left(turn);
        }
        numbers
    }
}
