//! Case: the late second copy of a refusal is taken for the answer to the next request.

use std::collections::BTreeMap;
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

const UPSTREAMS: usize = 10;
const CALLERS: usize = 36;
const LENGTH: Duration = Duration::from_secs(45);

/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(150);

/// Share of requests that an upstream refuses, as if it was full.
const SHED: f64 = 0.2;

/// Share of the upstreams that send late second copies, and share of their answers.
const FAULTY_UPSTREAMS: f64 = 0.6;
const LATE_COPIES: f64 = 0.03;

/// Time after the last answer in which a request may still run.
const SETTLE: Duration = Duration::from_secs(3);

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
    let faulty = (UPSTREAMS as f64 * FAULTY_UPSTREAMS) as usize;
    let upstreams: Vec<_> = (0..UPSTREAMS)
        .map(|number| {
            let late_copies = if trouble && number < faulty {
                LATE_COPIES
            } else {
                0.0
            };
            let behaviour = Behaviour {
                shed: SHED,
                late_copies,
                ..Behaviour::default()
            };
            Upstream::start(number, behaviour, &shared, control.clone())
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    // Status by request id; 0 for no answer.
    let answers: Mutex<BTreeMap<String, u16>> = Mutex::default();
    let end = Instant::now() + LENGTH;
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (system, answers, shared) = (&system, &answers, &shared);
            scope.spawn(move || {
                let address = system.callers(caller % system.count());
                let mut connection = None;
                let mut number = 0;
                while Instant::now() < end {
                    number += 1;
                    let id = format!("{caller:04x}{number:012x}");
                    let status = book(address, &mut connection, &id);
                    record.line(&format!("caller {caller}: {id} answered {status}"));
                    answers.lock().unwrap().insert(id, status);
                    thread::sleep(PAUSE.mul_f64(0.5 + shared.random.share()));
                }
            });
        }
    });
    thread::sleep(SETTLE);
    if !system.all_running() {
        return Verdict::NotRun("a process has ended".to_owned());
    }
    drop(upstreams);
    let runs = shared.runs.lock().unwrap();
    let answers = answers.lock().unwrap();
    let mut broken = Vec::new();
    for (id, status) in answers.iter() {
        let at = runs.get(id).cloned().unwrap_or_default();
        if at.len() > 1 {
            broken.push(format!("TWICE: {id} ran at {at:?}, answered {status}"));
        }
        if !at.is_empty() && [408, 421, 429, 503].contains(status) {
            broken.push(format!("REFUSED: {id} answered {status}, ran at {at:?}"));
        }
    }
    let served = answers.values().filter(|status| **status == 200).count();
    let summary = format!("{} requests, {served} answered 200", answers.len());
    record.line(&summary);
    if served * 4 < answers.len() {
        return Verdict::NotRun(format!("hardly anything served: {summary}"));
    }
    match broken.is_empty() {
        true => Verdict::Held(summary),
        false => Verdict::Broken(broken),
    }
}

/// Sends a request that must not repeat, on the open connection or a new one; returns the status.
fn book(address: std::net::SocketAddr, connection: &mut Option<Connection>, id: &str) -> u16 {
    let first = format!("POST /book/{id} HTTP/1.1");
    let headers = [
        ("Host", "hire.example"),
        (names::get("header.request"), id),
        (names::get("header.time_left"), "2000"),
    ];
    let request = wire::encode(&first, &headers, b"one stencil");
    let mut open = match connection.take() {
        Some(open) => open,
        None => match Connection::open(address, Duration::from_secs(3)) {
            Ok(open) => open,
            Err(_) => return 0,
        },
    };
    if open.write(&request).is_err() {
        return 0;
    }
    let Ok(answer) = open.read() else { return 0 };
    if !answer.closes() {
        *connection = Some(open);
    }
    answer.status()
}
