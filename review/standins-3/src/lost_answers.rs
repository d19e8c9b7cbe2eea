//! Some targets break off a few of their large answers. Callers pipeline a large request and further
//! ones behind it; counted are those behind it that a sound target got and that have no answer.

use std::{
    io::{self, BufReader, Write},
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

/// Answers of a target in trouble that are broken off, in a hundred.
const BROKEN_PER_CENT: u32 = 2;

const SLOTS: usize = 6;
const CALLERS: usize = 14;

/// Requests that a caller sends behind the large one before it is answered.
const BEHIND: usize = 4;

const LARGE_BYTES: usize = 400 * 1024;
const SHORT_BYTES: usize = 5000;
const LARGE_WORK: Duration = Duration::from_millis(100);
const SHORT_WORK: Duration = Duration::from_millis(400);

/// Losses that the rule permits at one machine.
const PERMITTED: usize = 3;

/// Requests without an answer on one connection that the machine closed.
struct Closed {
    /// Number of groups that were answered on the connection before.
    answered_groups: usize,
    /// Ids behind the request whose answer ended early.
    unanswered: Vec<String>,
}

/// Runs the case; returns whether the rule was broken.
pub fn run(setting: &Setting) -> io::Result<bool> {
    let mut deployment = setting.deploy("download")?;
    let spans: Arc<Mutex<Option<Spans>>> = Arc::default();
    let shared = spans.clone();
    let behaviour = move |target: u8, head: &Head| {
        let is_large = head.second_word().starts_with("/large/");
        let spans = shared.lock().expect("no holder panics");
        let is_broken = target < IN_TROUBLE
            && spans
                .as_ref()
                .is_some_and(|spans| spans.hits(target, is_large, BROKEN_PER_CENT));
        Plan {
            work: if is_large { LARGE_WORK } else { SHORT_WORK },
            answer: match (is_broken, is_large) {
                (true, _) => Answer::Broken {
                    length: LARGE_BYTES,
                    sent: LARGE_BYTES * 3 / 4,
                },
                (false, true) => Answer::Whole(LARGE_BYTES),
                (false, false) => Answer::Whole(SHORT_BYTES),
            },
        }
    };
    let targets = Targets::start(
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
                let mut closed = Vec::new();
                let mut group = 0;
                while Instant::now() < give_up {
                    // A new connection after one that the machine has closed.
                    let result = call_on_connection(machine, caller, &mut group, give_up, &record);
                    match result {
                        Ok(None) => {}
                        Ok(Some(lost)) => closed.push(lost),
                        Err(err) => record.line(&format!("caller {caller}: {err}")),
                    }
                }
                (group, closed)
            })
        })
        .collect();
    let mut groups = 0;
    let mut closed = Vec::new();
    for caller in callers {
        let (sent, lost) = caller.join().map_err(|_| io::ErrorKind::Other)?;
        groups += sent;
        closed.extend(lost);
    }
    thread::sleep(Duration::from_secs(1));
    for line in spans
        .lock()
        .expect("no holder panics")
        .as_ref()
        .map_or(Vec::new(), Spans::describe)
    {
        setting.record.line(&line);
    }
    if !deployment.all_run() || groups == 0 {
        return Err(io::Error::other("a machine ended, or nothing was sent"));
    }
    let arrivals = targets.arrivals();
    let is_sound = |id: &&String| {
        let mut of_request = arrivals.iter().filter(|arrival| arrival.request == **id);
        of_request.any(|arrival| arrival.target >= IN_TROUBLE)
    };
    let kept = closed.iter().filter(|closed| closed.answered_groups > 0);
    let lost: Vec<&String> = kept
        .flat_map(|closed| closed.unanswered.iter())
        .filter(is_sound)
        .collect();
    for id in &lost {
        setting.record.line(&format!(
            "lost: {id}, sent to a sound target, has no answer"
        ));
    }
    setting.record.result(&format!(
        "{groups} groups of requests, {} connections closed before all answers, {} requests that the machine passed on to sound targets on kept connections have no answer ({PERMITTED} permitted)",
        closed.len(),
        lost.len(),
    ));
    Ok(lost.len() > PERMITTED)
}

/// Sends groups on one connection until it ends or the time is over. Returns what has no answer if the
/// machine closed the connection early.
fn call_on_connection(
    machine: SocketAddr,
    caller: usize,
    group: &mut usize,
    give_up: Instant,
    record: &crate::record::Record,
) -> io::Result<Option<Closed>> {
    let mut stream = message::connect(machine, Duration::from_secs(5))?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut answered_groups = 0;
    while Instant::now() < give_up {
        *group += 1;
        let ids: Vec<String> = (0..=BEHIND)
            .map(|i| format!("{caller:02x}{group:06x}{i:08x}"))
            .collect();
        let mut text = String::new();
        for (i, id) in ids.iter().enumerate() {
            let path = if i == 0 { "/large/" } else { "/short/" };
            text += &format!(
                "GET {path}{id} HTTP/1.1\r\nHost: case.example\r\n{}: {id}\r\n{}: 3000\r\n\r\n",
                name("request_id"),
                name("time_left"),
            );
        }
        stream.write_all(text.as_bytes())?;
        record.line(&format!("caller {caller} sends {}", ids.join(" ")));
        for (i, id) in ids.iter().enumerate() {
            match read_answer(&mut reader) {
                Ok(status) => record.line(&format!("caller {caller} gets {status} for {id}")),
                Err(err) => {
                    record.line(&format!("caller {caller}: connection ends at {id}: {err}"));
                    return Ok(Some(Closed {
                        answered_groups,
                        unanswered: ids[i + 1..].to_vec(),
                    }));
                }
            }
        }
        answered_groups += 1;
    }
    Ok(None)
}

fn read_answer(reader: &mut BufReader<std::net::TcpStream>) -> io::Result<u16> {
    let head = message::read_head(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    message::read_body(reader, &head, false)?;
    Ok(head.status())
}
