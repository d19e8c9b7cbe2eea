//! Stand-in for the upstreams of one service.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::names;
use crate::random::Random;
use crate::record::Record;
use crate::wire::{self, Connection, Message};

/// Interval between two heartbeats, as in the settings.
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// What an upstream does with the requests that it gets.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Requests that run at the same time.
    pub slots: u32,
    /// Requests that wait; further ones are refused.
    pub queue: u32,
    pub work: Duration,
    /// Work on a request whose path contains `/long/`.
    pub long_work: Duration,
    /// Share of requests that are refused as if the upstream was full.
    pub shed: f64,
    /// Share of answers of which a second copy arrives late, where the next answer is expected.
    pub late_copies: f64,
    /// Bytes of the body of an answer.
    pub answer_bytes: usize,
    /// Share of answers after three quarters of which the upstream sends nothing more.
    pub hangs: f64,
}

impl Default for Behaviour {
    fn default() -> Self {
        Behaviour {
            slots: 3,
            queue: 6,
            work: Duration::from_millis(100),
            long_work: Duration::from_millis(100),
            shed: 0.0,
            late_copies: 0.0,
            answer_bytes: 400,
            hangs: 0.0,
        }
    }
}

/// What all upstreams of a system share.
pub struct Shared {
    pub record: Arc<Record>,
    pub random: Random,
    pub ended: AtomicBool,
    /// Runs by request id: the upstreams that began to work on it.
    pub runs: Mutex<BTreeMap<String, Vec<String>>>,
}

impl Shared {
    pub fn new(record: Arc<Record>, seed: u64) -> Arc<Shared> {
        Arc::new(Shared {
            record,
            random: Random::new(seed),
            ended: AtomicBool::new(false),
            runs: Mutex::default(),
        })
    }
}

#[derive(Default)]
struct Load {
    running: u32,
    waiting: u32,
}

pub struct Upstream {
    id: String,
    born: u128,
    address: SocketAddr,
    behaviour: Behaviour,
    shared: Arc<Shared>,
    load: Mutex<Load>,
    slot_free: Condvar,
}

impl Upstream {
    /// Starts an upstream, which announces itself at the given addresses.
    pub fn start(
        number: usize,
        behaviour: Behaviour,
        shared: &Arc<Shared>,
        control: Vec<SocketAddr>,
    ) -> Arc<Upstream> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis();
        let upstream = Arc::new(Upstream {
            id: format!("i-{number}"),
            born,
            address: listener.local_addr().unwrap(),
            behaviour,
            shared: shared.clone(),
            load: Mutex::default(),
            slot_free: Condvar::new(),
        });
        let own = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = own.clone();
                thread::spawn(move || own.serve(stream));
            }
        });
        let own = upstream.clone();
        thread::spawn(move || own.announce(number, &control));
        upstream
    }

    fn announce(&self, number: usize, control: &[SocketAddr]) {
        let mut sequence = 0;
        let mut to = number;
        while !self.shared.ended.load(Ordering::Relaxed) {
            sequence += 1;
            let body = names::fill(
                names::HEARTBEAT,
                &[
                    ("address", &self.address.to_string()),
                    ("born", &self.born.to_string()),
                    ("zone", &(number % 3).to_string()),
                    ("slots", &self.behaviour.slots.to_string()),
                    ("sequence", &sequence.to_string()),
                ],
            );
            let first = format!("POST {}{} HTTP/1.1", names::get("path.heartbeat"), self.id);
            let acknowledged = (0..control.len()).any(|_| {
                let address = control[to % control.len()];
                let host = address.to_string();
                let headers = [
                    ("Host", host.as_str()),
                    ("Content-Type", "application/json"),
                ];
                let second = Duration::from_secs(1);
                let answer = wire::call(address, &first, &headers, body.as_bytes(), second);
                let done = answer.is_ok_and(|answer| answer.status() / 100 == 2);
                to += usize::from(!done);
                done
            });
            if !acknowledged {
                self.shared
                    .record
                    .line(&format!("{}: heartbeat not acknowledged", self.id));
            }
            thread::sleep(HEARTBEAT);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        let mut late_copy: Option<(String, Vec<u8>)> = None;
        while let Ok(request) = connection.read() {
            // Liveness checks are answered at once; the copy comes before the next other answer.
            if let Some(id) = request.header(names::get("header.request"))
                && let Some((of, copy)) = late_copy.take()
            {
                let line = format!(
                    "{}: late second copy of the answer to {of}, before that to {id}",
                    self.id
                );
                self.shared.record.line(&line);
                if connection.write(&copy).is_err() {
                    return;
                }
            }
            let Some((id, answer)) = self.answer(&request) else {
                return;
            };
            let has_id = request.header(names::get("header.request")).is_some();
            if has_id && self.shared.random.chance(self.behaviour.hangs) {
                let _ = connection.write(&answer[..answer.len() / 4 * 3]);
                let line = format!(
                    "{}: hangs after three quarters of the answer to {id}",
                    self.id
                );
                self.shared.record.line(&line);
                // The connection stays open without a further byte until the other side closes it.
                let _ = connection.read();
                self.shared
                    .record
                    .line(&format!("{}: connection of {id} closed", self.id));
                return;
            }
            if connection.write(&answer).is_err() {
                return;
            }
            if has_id && self.shared.random.chance(self.behaviour.late_copies) {
                late_copy = Some((id, answer));
            }
        }
    }

    /// Returns the id of a request and its answer, after running it if it is to run.
    fn answer(&self, request: &Message) -> Option<(String, Vec<u8>)> {
        let load = || {
            let load = self.load.lock().unwrap();
            format!(
                "{},{},{},100",
                load.running, load.waiting, self.behaviour.slots
            )
        };
        let load_name = names::get("header.load");
        if request.path() == "/healthz" {
            let headers = [
                (names::get("header.instance"), self.id.as_str()),
                (load_name, &load()),
                ("Keep-Alive", "timeout=10"),
            ];
            return Some((
                String::new(),
                wire::encode("HTTP/1.1 200 OK", &headers, b""),
            ));
        }
        let id = request.header(names::get("header.request"))?.to_owned();
        let echo = (names::get("header.request"), id.as_str());
        let not_run = (names::get("header.not_run"), "1");
        let expected = request.header(names::get("header.expected"));
        if expected.is_some_and(|expected| expected != self.id) {
            let first = "HTTP/1.1 421 Misdirected Request";
            return Some((id.clone(), wire::encode(first, &[echo, not_run], b"")));
        }
        if self.shared.random.chance(self.behaviour.shed) || !self.enter() {
            self.shared
                .record
                .line(&format!("{}: refuses {id}, not run", self.id));
            let headers = [
                echo,
                not_run,
                (load_name, &load()),
                ("Keep-Alive", "timeout=10"),
            ];
            let first = "HTTP/1.1 503 Service Unavailable";
            return Some((id.clone(), wire::encode(first, &headers, b"full")));
        }
        self.shared.record.line(&format!("{}: runs {id}", self.id));
        let mut runs = self.shared.runs.lock().unwrap();
        runs.entry(id.clone()).or_default().push(self.id.clone());
        drop(runs);
        thread::sleep(match request.path().contains("/long/") {
            true => self.behaviour.long_work,
            false => self.behaviour.work,
        });
        self.leave();
        let body = vec![b'x'; self.behaviour.answer_bytes];
        let digest = format!("{}.{}.{}", self.id, id, body.len());
        let headers = [
            echo,
            (names::get("header.digest"), digest.as_str()),
            (load_name, &load()),
            ("Keep-Alive", "timeout=10"),
        ];
        Some((id.clone(), wire::encode("HTTP/1.1 200 OK", &headers, &body)))
    }

    /// Waits for a slot; returns `false` when the queue is full.
    fn enter(&self) -> bool {
        let mut load = self.load.lock().unwrap();
        if load.running >= self.behaviour.slots {
            if load.waiting >= self.behaviour.queue {
                return false;
            }
            load.waiting += 1;
            while load.running >= self.behaviour.slots {
                load = self.slot_free.wait(load).unwrap();
            }
            load.waiting -= 1;
        }
        load.running += 1;
        true
    }

    fn leave(&self) {
        self.load.lock().unwrap().running -= 1;
        self.slot_free.notify_one();
    }
}
