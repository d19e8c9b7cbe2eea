//! Case: a long answer that stops halfway is never ended, neither by the route's timeout nor later.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::names;
use crate::record::Record;
use crate::system::System;
use crate::upstream::{Behaviour, Shared, Upstream};
use crate::wire::{self, Connection};

const UPSTREAMS: usize = 7;
const CALLERS: usize = 24;
const LENGTH: Duration = Duration::from_secs(40);
const PAUSE: Duration = Duration::from_millis(200);

/// Bytes of an answer.
const ANSWER_BYTES: usize = 400_000;

/// Upstreams that hang, one of seven, and share of their answers.
const HANGING_UPSTREAMS: usize = 1;
const HANGS: f64 = 0.4;

/// Timeout of the route in the configuration, and the time that the rule allows beyond it.
const TIMEOUT: Duration = Duration::from_millis(800);
const ALLOWED: Duration = Duration::from_millis(500);

/// Time that a caller waits, as it states in its request.
const CALLER_DEADLINE: Duration = Duration::from_millis(1500);

/// Requests without an answer from which on the rule is broken.
const FEWEST: usize = 8;

pub fn run(trouble: bool, folder: &Path, record: &Arc<Record>) -> Verdict {
    let system = match System::start(3, folder) {
        Ok(system) => system,
        Err(err) => return Verdict::NotRun(format!("processes do not start: {err}")),
    };
    if !system.configure(record) || !system.wait_ready() {
        return Verdict::NotRun("the system does not become ready".to_owned());
    }
    let shared = Shared::new(record.clone(), u64::from(std::process::id()));
    let control: Vec<_> = (0..system.count()).map(|i| system.operators(i)).collect();
    for number in 0..UPSTREAMS {
        let hangs = if trouble && number < HANGING_UPSTREAMS {
            HANGS
        } else {
            0.0
        };
        let behaviour = Behaviour {
            work: Duration::from_millis(50),
            answer_bytes: ANSWER_BYTES,
            hangs,
            ..Behaviour::default()
        };
        Upstream::start(number, behaviour, &shared, control.clone());
    }
    thread::sleep(Duration::from_secs(3));
    // Time until the end of each request: an answer, a failure or a closed connection.
    let times: Mutex<Vec<(Duration, u16)>> = Mutex::default();
    let end = Instant::now() + LENGTH;
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (system, times, shared) = (&system, &times, &shared);
            scope.spawn(move || {
                let address = system.callers(caller % system.count());
                let mut connection = None;
                let mut number = 0;
                while Instant::now() < end {
                    number += 1;
                    let id = format!("{caller:04x}{number:012x}");
                    let sent = Instant::now();
                    let status = look_up(address, &mut connection, &id);
                    let taken = sent.elapsed();
                    let line = format!(
                        "caller {caller}: {id} status {status} after {} ms",
                        taken.as_millis()
                    );
                    record.line(&line);
                    times.lock().unwrap().push((taken, status));
                    thread::sleep(PAUSE.mul_f64(0.5 + shared.random.share()));
                }
            });
        }
    });
    if !system.all_running() {
        return Verdict::NotRun("a process has ended".to_owned());
    }
    let times = times.lock().unwrap();
    let long = times.iter().filter(|(taken, _)| *taken > TIMEOUT).count();
    let late = times
        .iter()
        .filter(|(taken, _)| *taken > TIMEOUT + ALLOWED)
        .count();
    let whole = times.iter().filter(|(_, status)| *status == 200).count();
    let summary = format!(
        "{} requests, {whole} answered 200, {long} unanswered at the timeout, {late} of them 0.5 s later",
        times.len()
    );
    match late >= FEWEST && late * 2 > long {
        true => Verdict::Broken(vec![format!("CONFIG: {summary}")]),
        false => Verdict::Held(summary),
    }
}

/// Sends a request that may repeat and waits for the whole answer until the caller's deadline;
/// returns the status, 0 without a whole answer.
fn look_up(address: std::net::SocketAddr, connection: &mut Option<Connection>, id: &str) -> u16 {
    let first = format!("GET /look/{id} HTTP/1.1");
    let time_left = CALLER_DEADLINE.as_millis().to_string();
    let headers = [
        ("Host", "hire.example"),
        (names::get("header.request"), id),
        (names::get("header.time_left"), time_left.as_str()),
    ];
    let mut open = match connection.take() {
        Some(open) => open,
        None => match Connection::open(address, CALLER_DEADLINE) {
            Ok(open) => open,
            Err(_) => return 0,
        },
    };
    // Each read may wait for the whole time, since the bytes of a sound answer come at once.
    if open.write(&wire::encode(&first, &headers, b"")).is_err() {
        return 0;
    }
    let Ok(answer) = open.read() else { return 0 };
    if !answer.closes() {
        *connection = Some(open);
    }
    answer.status()
}
