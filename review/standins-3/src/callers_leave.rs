//! Some callers leave early. All pipeline repeatable requests with chunked bodies; counted are requests
//! that reach a target more than half a second after their caller has closed its connection, and
//! targets that still work then.

use std::{
    collections::HashMap,
    io::{self, BufReader, Write},
    net::SocketAddr,
    sync::Arc,
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
const SLOTS: usize = 6;
const CALLERS: usize = 20;

/// Callers that leave: three in ten.
const LEAVING: usize = CALLERS * 3 / 10;

/// Time after which they leave: within half the latency target of the route.
const LEAVE_AFTER: Duration = Duration::from_millis(300);

/// Requests that a caller sends on a connection before the first one is answered.
const PIPELINED: usize = 3;

const WORK: Duration = Duration::from_millis(900);
const SHORT_BYTES: usize = 1500;

/// Time after a close at which the rule looks.
const GRACE: Duration = Duration::from_millis(500);

/// Late arrivals that still count as a few.
const PERMITTED: usize = 10;

/// Runs the case; returns whether the rule was broken.
pub fn run(setting: &Setting) -> io::Result<bool> {
    let mut deployment = setting.deploy("safe")?;
    let behaviour = |_: u8, _: &Head| Plan {
        work: WORK,
        answer: Answer::Whole(SHORT_BYTES),
    };
    let targets = Targets::start(
        &deployment,
        TARGETS,
        SLOTS,
        setting.record.clone(),
        Box::new(behaviour),
    )?;
    settle();
    let spans = Arc::new(Spans::start(setting.has_trouble));
    let machine = deployment.callers(0);
    let give_up = Instant::now() + LOAD_TIME;
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (record, spans) = (setting.record.clone(), spans.clone());
            thread::spawn(move || {
                let mut left = HashMap::new();
                let mut answered = 0;
                for group in 0.. {
                    if Instant::now() >= give_up {
                        break;
                    }
                    let ids: Vec<String> = (0..PIPELINED)
                        .map(|i| format!("{caller:02x}{group:06x}{i:08x}"))
                        .collect();
                    let leaves = caller < LEAVING && spans.current().is_some();
                    record.line(&format!("caller {caller} sends {}", ids.join(" ")));
                    match call(machine, &ids, leaves) {
                        Ok(None) => answered += ids.len(),
                        Ok(Some(closed)) => {
                            record.line(&format!("caller {caller} leaves"));
                            left.extend(ids.into_iter().map(|id| (id, closed)));
                            // Sends no more often than those that stay.
                            thread::sleep((WORK * PIPELINED as u32).saturating_sub(LEAVE_AFTER));
                        }
                        Err(err) => record.line(&format!("caller {caller}: {err}")),
                    }
                }
                (answered, left)
            })
        })
        .collect();
    let mut answered = 0;
    let mut left: HashMap<String, Instant> = HashMap::new();
    for caller in callers {
        let (count, requests) = caller.join().map_err(|_| io::ErrorKind::Other)?;
        answered += count;
        left.extend(requests);
    }
    thread::sleep(WORK * PIPELINED as u32 + Duration::from_secs(1));
    if !deployment.all_run() || answered == 0 {
        return Err(io::Error::other("a machine ended, or nothing was answered"));
    }
    let mut late = 0;
    let mut would_last = 0;
    let mut at_work = 0;
    for arrival in targets.arrivals() {
        let Some(closed) = left.get(&arrival.request) else {
            continue;
        };
        let due = *closed + GRACE;
        if arrival.at > due {
            late += 1;
            let after = arrival.at.duration_since(*closed).as_millis();
            let (id, target) = (&arrival.request, arrival.target);
            let text = format!("late: {id} reaches target {target} {after} ms after the close");
            setting.record.line(&text);
        }
        if arrival.at <= due && arrival.at + WORK > due {
            would_last += 1;
            at_work += usize::from(arrival.ended.is_none_or(|ended| ended > due));
        }
    }
    setting.record.result(&format!(
        "{answered} requests answered, {} left by their callers; {late} reached a target more than half a second after the close ({PERMITTED} permitted); targets still worked then at {at_work} of {would_last} that would have lasted so long (a quarter permitted)",
        left.len(),
    ));
    Ok(late > PERMITTED || at_work * 4 > would_last)
}

/// Sends a group on a new connection and reads its answers; returns when it has closed the connection
/// if it leaves before.
fn call(machine: SocketAddr, ids: &[String], leaves: bool) -> io::Result<Option<Instant>> {
    let mut stream = message::connect(machine, Duration::from_secs(8))?;
    let mut text = String::new();
    for id in ids {
        text += &format!(
            "POST /short/{id} HTTP/1.1\r\nHost: case.example\r\n{}: {id}\r\n{}: 3000\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nquery\r\n0\r\n\r\n",
            name("request_id"),
            name("time_left"),
        );
    }
    stream.write_all(text.as_bytes())?;
    if leaves {
        thread::sleep(LEAVE_AFTER);
        drop(stream);
        return Ok(Some(Instant::now()));
    }
    let mut reader = BufReader::new(stream);
    for _ in ids {
        let head = message::read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        message::read_body(&mut reader, &head, false)?;
    }
    Ok(None)
}
