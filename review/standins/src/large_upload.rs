//! Case: a few long request bodies at the same time take a process over its memory limit.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::names;
use crate::record::Record;
use crate::system::System;
use crate::upstream::{Behaviour, Shared, Upstream};
use crate::wire::Connection;

const UPSTREAMS: usize = 6;

/// Length of a body; the limit of the configuration is 67,108,864 bytes.
const BODY_BYTES: usize = 60_000_000;

/// Callers that send such a body to one VM at the same time.
const CALLERS: usize = 3;

/// Bytes per second on the link of a VM (1,000 Mbit/s), which its callers share.
const LINK_BYTES_PER_S: usize = 125_000_000;

/// Memory of a process in the settings; one that takes more is killed.
const MEMORY_LIMIT: u64 = 260 * 1024 * 1024;

/// VMs that get long bodies, and rounds of them: two VMs that end three times break the rule.
const VMS: usize = 2;
const ROUNDS: usize = 3;

/// Interval at which the platform checks the memory of a process.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

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
        Upstream::start(number, Behaviour::default(), &shared, control.clone());
    }
    thread::sleep(Duration::from_secs(3));
    let mut ends = [0; VMS];
    let mut peaks = [0; VMS];
    let served = AtomicU64::new(0);
    for round in 0..ROUNDS {
        for vm in 0..VMS {
            // Without trouble, the same requests come one after the other.
            let at_once = if trouble { CALLERS } else { 1 };
            let ended =
                round_of_uploads(&system, record, &served, (round, vm), at_once, &mut peaks);
            ends[vm] += u32::from(ended);
            if ended && !system.wait_ready() {
                return Verdict::NotRun(format!("VM {vm} is not ready again"));
            }
            thread::sleep(Duration::from_secs(1));
        }
    }
    let megabytes = |bytes: u64| bytes / 1_000_000;
    let peaks: Vec<u64> = peaks.iter().copied().map(megabytes).collect();
    let served = served.load(Ordering::Relaxed);
    let summary =
        format!("ends over the memory limit: {ends:?}, peak MB: {peaks:?}, served: {served}");
    match ends.iter().all(|ends| *ends >= 3) {
        true => Verdict::Broken(vec![format!("Fault: {summary}")]),
        false => Verdict::Held(summary),
    }
}

/// Sends the bodies of one round; returns whether the VM was killed over its memory limit.
fn round_of_uploads(
    system: &System,
    record: &Record,
    served: &AtomicU64,
    (round, vm): (usize, usize),
    at_once: usize,
    peaks: &mut [u64],
) -> bool {
    let done = AtomicBool::new(false);
    let mut ended = false;
    thread::scope(|scope| {
        let callers: Vec<_> = (0..at_once)
            .map(|first| {
                scope.spawn(move || {
                    for caller in (first..CALLERS).step_by(at_once) {
                        let id = format!("{round:04x}{vm:04x}{caller:08x}");
                        let rate = LINK_BYTES_PER_S / at_once;
                        let status = upload(system.callers(vm), &id, rate);
                        record.line(&format!("caller: {id} to VM {vm} answered {status}"));
                        served.fetch_add(u64::from(status == 200), Ordering::Relaxed);
                    }
                })
            })
            .collect();
        let (done, peaks, ended) = (&done, &mut *peaks, &mut ended);
        scope.spawn(move || {
            while !done.load(Ordering::Relaxed) {
                let memory = system.memory(vm);
                peaks[vm] = memory.max(peaks[vm]);
                if memory > MEMORY_LIMIT {
                    let line =
                        format!("platform: VM {vm} takes {memory} bytes, over its limit; killed");
                    record.line(&line);
                    *ended = system.kill_and_restart(vm).is_ok();
                    return;
                }
                thread::sleep(CHECK_INTERVAL);
            }
        });
        for caller in callers {
            let _ = caller.join();
        }
        done.store(true, Ordering::Relaxed);
    });
    ended
}

/// Sends a request with a long body at `rate` bytes per second; returns the status, 0 for none.
fn upload(address: std::net::SocketAddr, id: &str, rate: usize) -> u16 {
    const CHUNK: usize = 64 * 1024;
    let head = format!(
        "PUT /send/{id} HTTP/1.1\r\nHost: hire.example\r\n{}: {id}\r\n{}: 10000\r\n\
         Content-Length: {BODY_BYTES}\r\n\r\n",
        names::get("header.request"),
        names::get("header.time_left"),
    );
    let Ok(mut open) = Connection::open(address, Duration::from_secs(10)) else {
        return 0;
    };
    if open.write(head.as_bytes()).is_err() {
        return 0;
    }
    let started = Instant::now();
    let chunk = [b'b'; CHUNK];
    let mut sent = 0;
    while sent < BODY_BYTES {
        let size = CHUNK.min(BODY_BYTES - sent);
        if open.write(&chunk[..size]).is_err() {
            break;
        }
        sent += size;
        let due = Duration::from_secs_f64(sent as f64 / rate as f64);
        thread::sleep(due.saturating_sub(started.elapsed()));
    }
    open.read().map_or(0, |answer| answer.status())
}
