//! Case: a request that arrives shortly before a stopping VM closes its idle connections is cut off
//! by the end of the process.

use std::path::Path;
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::names;
use crate::record::Record;
use crate::system::System;
use crate::upstream::{Behaviour, Shared, Upstream};
use crate::wire::{self, Connection};

const UPSTREAMS: usize = 6;

/// Requests to the VM that stops, each on its own connection, which served one before.
const CALLERS: u32 = 8;

/// Time from the signal to the first of the requests, and between two of them.
const FIRST_REQUEST: Duration = Duration::from_millis(3030);
const INTERVAL: Duration = Duration::from_millis(15);

/// Work of an upstream on one of these requests; the timeout of the route is 3 s.
const WORK: Duration = Duration::from_millis(2850);

/// Time from the signal to SIGKILL, as in the settings.
const GRACE: Duration = Duration::from_secs(6);

/// Time that a caller waits, as it states in its request.
const CALLER_DEADLINE: Duration = Duration::from_secs(6);

pub fn run(trouble: bool, folder: &Path, record: &Arc<Record>) -> Verdict {
    let system = match System::start(3, folder) {
        Ok(system) => system,
        Err(err) => return Verdict::NotRun(format!("processes do not start: {err}")),
    };
    if !system.configure(record) || !system.wait_ready() {
        return Verdict::NotRun("the system does not become ready".to_owned());
    }
    let shared = Shared::new(record.clone(), 1);
    let control: Vec<_> = (0..system.count()).map(|i| system.operators(i)).collect();
    for number in 0..UPSTREAMS {
        let behaviour = Behaviour {
            work: Duration::from_millis(100),
            long_work: WORK,
            ..Behaviour::default()
        };
        Upstream::start(number, behaviour, &shared, control.clone());
    }
    thread::sleep(Duration::from_secs(4));
    // Status by request id; 0 for a connection that ended without an answer.
    let answers: Mutex<Vec<(String, u16, Duration)>> = Mutex::default();
    let mut open = Vec::new();
    for caller in 0..CALLERS {
        let mut connection = match Connection::open(system.callers(0), CALLER_DEADLINE) {
            Ok(connection) => connection,
            Err(err) => return Verdict::NotRun(format!("cannot connect: {err}")),
        };
        let id = format!("{caller:016x}");
        let status = request(&mut connection, "short", &id);
        record.line(&format!("caller {caller}: {id} answered {status}"));
        if status != 200 {
            return Verdict::NotRun(format!("request before the stop answered {status}"));
        }
        open.push(connection);
    }
    let signalled = Instant::now();
    if trouble {
        let id = system.process_id(0).to_string();
        let sent = Command::new("kill").args(["-TERM", &id]).status();
        if !sent.is_ok_and(|status| status.success()) {
            return Verdict::NotRun("SIGTERM cannot be sent".to_owned());
        }
        record.line("platform: SIGTERM to VM 0");
    }
    thread::scope(|scope| {
        for (caller, mut connection) in open.into_iter().enumerate() {
            let answers = &answers;
            scope.spawn(move || {
                let due = FIRST_REQUEST + INTERVAL * caller as u32;
                thread::sleep(due.saturating_sub(signalled.elapsed()));
                let id = format!("{:016x}", 0x1000 + caller);
                let at = signalled.elapsed();
                record.line(&format!(
                    "caller {caller}: {id} sent {} ms after SIGTERM",
                    at.as_millis()
                ));
                let status = request(&mut connection, "long", &id);
                let ended = signalled.elapsed();
                let line = format!(
                    "caller {caller}: {id} ends with {status} after {} ms",
                    ended.as_millis()
                );
                record.line(&line);
                answers.lock().unwrap().push((id, status, ended));
            });
        }
    });
    let runs = shared.runs.lock().unwrap();
    let answers = answers.lock().unwrap();
    let mut broken = Vec::new();
    for (id, status, ended) in answers.iter() {
        let within = *ended < GRACE + Duration::from_secs(1);
        if *status == 0
            && within
            && let Some(at) = runs.get(id)
        {
            let ms = ended.as_millis();
            broken.push(format!(
                "LOST: {id} ran at {at:?}, its connection ended {ms} ms after SIGTERM"
            ));
        }
    }
    let served = answers
        .iter()
        .filter(|(_, status, _)| *status == 200)
        .count();
    match broken.is_empty() {
        true => Verdict::Held(format!("{served} of {CALLERS} requests answered 200")),
        false => Verdict::Broken(broken),
    }
}

/// Sends a request that may repeat; returns the status, 0 if the connection ends without an answer.
fn request(connection: &mut Connection, kind: &str, id: &str) -> u16 {
    let first = format!("GET /archive/{kind}/{id} HTTP/1.1");
    let time_left = CALLER_DEADLINE.as_millis().to_string();
    let headers = [
        ("Host", "hire.example"),
        (names::get("header.request"), id),
        (names::get("header.time_left"), time_left.as_str()),
    ];
    if connection
        .write(&wire::encode(&first, &headers, b""))
        .is_err()
    {
        return 0;
    }
    connection.read().map_or(0, |answer| answer.status())
}
