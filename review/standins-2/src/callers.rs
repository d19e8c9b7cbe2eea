//! Callers: each sends requests to one VM at a fixed pace, on a connection of their own each.

use std::{
    collections, net,
    sync::{Arc, Mutex, atomic},
    thread, time,
};

use crate::{http, record::Record, wire};

/// What became of the requests, by status or error.
#[derive(Default)]
pub struct Outcomes {
    pub counts: Mutex<collections::BTreeMap<String, usize>>,
    pub answers: Mutex<Vec<Answer>>,
}

/// A request and its answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub vm: usize,
    pub request: String,
    pub sent: time::Instant,
    pub answered: time::Instant,
    pub outcome: String,
    /// Whether the answer says that its server leaves.
    pub leaving: bool,
}

pub struct Load {
    pub vm: usize,
    pub to: net::SocketAddr,
    pub method: &'static str,
    pub path: &'static str,
    pub deadline_ms: u64,
    pub per_second: f64,
}

/// Starts callers that run until `stopped`.
pub fn start(
    load: Load,
    outcomes: &Arc<Outcomes>,
    record: &Arc<Record>,
    stopped: &Arc<atomic::AtomicBool>,
) {
    let (outcomes, record, stopped) = (outcomes.clone(), record.clone(), stopped.clone());
    thread::spawn(move || {
        let load = Arc::new(load);
        let pause = time::Duration::from_secs_f64(1.0 / load.per_second);
        let mut next = time::Instant::now();
        let mut number = 0;
        while !stopped.load(atomic::Ordering::SeqCst) {
            thread::sleep(next.saturating_duration_since(time::Instant::now()));
            next += pause;
            number += 1;
            let kind = if load.method == "GET" { 'g' } else { 'p' };
            let request = format!("{kind}{}-{number:06}", load.vm);
            let (load, outcomes, record) = (load.clone(), outcomes.clone(), record.clone());
            thread::spawn(move || send(&load, &request, &outcomes, &record));
        }
    });
}

fn send(load: &Load, request: &str, outcomes: &Outcomes, record: &Record) {
    let deadline = load.deadline_ms.to_string();
    let headers = [
        ("Host", "a.example"),
        (wire::name("request_id"), request),
        (wire::name("time_left"), &deadline),
    ];
    let timeout = time::Duration::from_millis(load.deadline_ms + 500);
    let body: &[u8] = if load.method == "GET" { b"" } else { b"book" };
    let sent = time::Instant::now();
    let answer = http::call(load.to, timeout, load.method, load.path, &headers, body);
    let (outcome, leaving) = match &answer {
        Ok(answer) => (
            answer.status().to_string(),
            answer.header(wire::name("leaving")).is_some(),
        ),
        Err(err) if err.kind() == std::io::ErrorKind::ConnectionRefused => {
            ("not accepted".to_owned(), false)
        }
        Err(err) => (format!("no answer ({:?})", err.kind()), false),
    };
    record.line(format!(
        "caller: {request} {} to VM {}: {outcome}{} after {} ms",
        load.method,
        load.vm,
        if leaving { ", its server leaves," } else { "" },
        sent.elapsed().as_millis(),
    ));
    let mut counts = outcomes.counts.lock().expect("counts");
    *counts.entry(outcome.clone()).or_default() += 1;
    drop(counts);
    outcomes.answers.lock().expect("answers").push(Answer {
        vm: load.vm,
        request: request.to_owned(),
        sent,
        answered: time::Instant::now(),
        outcome,
        leaving,
    });
}
