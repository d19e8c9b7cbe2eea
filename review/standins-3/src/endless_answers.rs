//! Some targets answer a few of their requests with bytes without end. Counted are requests that have
//! no final answer half a second after the timeout of their route.

use std::{
    io::{self, Read, Write},
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Setting,
    message::{self, Head},
    names::name,
    settle,
    target::{Answer, Plan, Targets},
    trouble::{LOAD_TIME, Spans},
};

const TARGETS: u8 = 12;

/// Targets in trouble: the first half.
const IN_TROUBLE: u8 = TARGETS / 2;

/// Answers of a target in trouble that have no end, in a hundred.
const ENDLESS_PER_CENT: u32 = 2;

const SLOTS: usize = 6;
const CALLERS: usize = 30;
const WORK: Duration = Duration::from_millis(200);
const SHORT_BYTES: usize = 5000;

/// Timeout of the route in the desired state.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after it at which the rule looks.
const GRACE: Duration = Duration::from_millis(500);

/// Time that callers wait in all; they leave then.
const CALLER_DEADLINE: Duration = Duration::from_secs(3);

/// Requests without a final answer from which the rule is broken.
const FEWEST: usize = 8;

/// What a caller saw of one request.
struct Seen {
    id: String,
    /// Time from its sending to its final answer; `None` if there was none until the caller left.
    answered_after: Option<Duration>,
}

/// Runs the case; returns whether the rule was broken.
pub fn run(setting: &Setting) -> io::Result<bool> {
    let mut deployment = setting.deploy("safe")?;
    let spans: Arc<Mutex<Option<Spans>>> = Arc::default();
    let shared = spans.clone();
    let behaviour = move |target: u8, _: &Head| {
        let spans = shared.lock().expect("no holder panics");
        let is_endless = target < IN_TROUBLE
            && spans
                .as_ref()
                .is_some_and(|spans| spans.hits(target, true, ENDLESS_PER_CENT));
        Plan {
            work: WORK,
            answer: match is_endless {
                true => Answer::Endless {
                    step: 20 * 1024,
                    pause: Duration::from_millis(50),
                },
                false => Answer::Whole(SHORT_BYTES),
            },
        }
    };
    let _targets = Targets::start(
        &deployment,
        TARGETS,
        SLOTS,
        setting.record.clone(),
        Box::new(behaviour),
    )?;
    settle();
    *spans.lock().expect("no holder panics") = Some(Spans::start(setting.has_trouble));
    let machine = deployment.callers(0);
    let give_up = Instant::now() + LOAD_TIME;
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let record = setting.record.clone();
            thread::spawn(move || {
                let mut seen = Vec::new();
                while Instant::now() < give_up {
                    let id = format!("{caller:04x}{:012x}", seen.len());
                    record.line(&format!("caller {caller} sends {id}"));
                    let sent = Instant::now();
                    let (answered_after, text) = match call(machine, &id, sent) {
                        Ok(Some(status)) => (Some(sent.elapsed()), format!("gets {status}")),
                        Ok(None) => (None, "leaves at its deadline, no final answer".to_owned()),
                        // An early end of the connection is final as well.
                        Err(err) => (Some(sent.elapsed()), format!("connection ends: {err}")),
                    };
                    record.line(&format!("caller {caller} {id}: {text}"));
                    seen.push(Seen { id, answered_after });
                }
                seen
            })
        })
        .collect();
    let mut seen = Vec::new();
    for caller in callers {
        seen.extend(caller.join().map_err(|_| io::ErrorKind::Other)?);
    }
    for line in spans
        .lock()
        .expect("no holder panics")
        .as_ref()
        .map_or(Vec::new(), Spans::describe)
    {
        setting.record.line(&line);
    }
    if !deployment.all_run() || seen.is_empty() {
        return Err(io::Error::other("a machine ended, or nothing was sent"));
    }
    let lasts =
        |seen: &&Seen, limit: Duration| seen.answered_after.is_none_or(|after| after > limit);
    let long = seen
        .iter()
        .filter(|seen| lasts(seen, ROUTE_TIMEOUT))
        .count();
    let late: Vec<&Seen> = seen
        .iter()
        .filter(|seen| lasts(seen, ROUTE_TIMEOUT + GRACE))
        .collect();
    for seen in &late {
        let text = format!(
            "no final answer half a second after the timeout: {}",
            seen.id
        );
        setting.record.line(&text);
    }
    setting.record.result(&format!(
        "{} requests, {long} lasted longer than the timeout of their route, {} of them have no final answer half a second later (broken from {FEWEST} and over a quarter)",
        seen.len(),
        late.len(),
    ));
    Ok(late.len() >= FEWEST && late.len() * 4 > long)
}

/// Sends a request and reads its answer; `None` if it is not complete at the caller's deadline.
fn call(machine: SocketAddr, id: &str, sent: Instant) -> io::Result<Option<u16>> {
    let mut stream = message::connect(machine, Duration::from_secs(1))?;
    let head = format!(
        "GET /short/{id} HTTP/1.1\r\nHost: case.example\r\n{}: {id}\r\n{}: {}\r\n\r\n",
        name("request_id"),
        name("time_left"),
        CALLER_DEADLINE.as_millis(),
    );
    stream.write_all(head.as_bytes())?;
    let mut reader = io::BufReader::new(UntilDeadline {
        stream,
        end: sent + CALLER_DEADLINE,
    });
    let result = read_answer(&mut reader);
    match result {
        Err(err) if err.kind() == io::ErrorKind::TimedOut => Ok(None),
        result => result.map(Some),
    }
}

fn read_answer(reader: &mut impl io::BufRead) -> io::Result<u16> {
    let head = message::read_head(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    message::read_body(reader, &head, false)?;
    Ok(head.status())
}

/// A connection that is read until a deadline.
struct UntilDeadline {
    stream: std::net::TcpStream,
    end: Instant,
}

impl Read for UntilDeadline {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let left = self.end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        match self.stream.read(buf) {
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => {
                Err(io::ErrorKind::TimedOut.into())
            }
            result => result,
        }
    }
}
