//! Servers behind the entry VMs: they run requests, announce themselves, and may be in trouble.

use std::{
    io::{self, BufReader, Read, Write},
    net,
    sync::{Arc, Mutex, atomic},
    thread, time,
};

use crate::{http, record::Record, vm, wire};

/// Calls that a server runs at once, and that wait for a slot.
const SLOTS: usize = 3;
const QUEUE: usize = 6;

/// Connections that a server accepts, as the configuration says.
const MAX_CONNECTIONS: usize = 260;

/// Time that a request takes.
const WORK: time::Duration = time::Duration::from_millis(120);

pub const PORT: u16 = 9000;

const BEAT_INTERVAL: time::Duration = time::Duration::from_millis(1500);

/// What is wrong with a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    None,
    /// Refuses a part of the requests, each with a short body.
    Refuses,
    /// Refuses a part of the requests; the body of a refusal comes without end until the caller closes.
    RefusesWithoutEnd,
}

/// Pieces of an endless body, and the pause between them: 16 KB/s.
const PIECE: [u8; 32] = [b'x'; 32];
const PIECE_PAUSE: time::Duration = time::Duration::from_millis(2);

/// A server in trouble fails two of five requests.
const FAILED: usize = 2;
const FAILED_OF: usize = 5;

/// Length that an endless body announces.
const ANNOUNCED_BYTES: u64 = 1 << 40;

pub struct Target {
    pub id: String,
    pub zone: &'static str,
    pub address: net::SocketAddr,
    born: u128,
    trouble: Trouble,
    running: atomic::AtomicUsize,
    waiting: atomic::AtomicUsize,
    connections: atomic::AtomicUsize,
    pub refused: atomic::AtomicUsize,
    pub served: atomic::AtomicUsize,
    /// Ids of the requests that have reached it.
    pub arrivals: Mutex<Vec<String>>,
    /// Whether its answers say that it leaves.
    pub leaving: atomic::AtomicBool,
    /// Whether its announcements reach the VMs.
    pub cut_off: atomic::AtomicBool,
    pub ended: atomic::AtomicBool,
    sequence: atomic::AtomicU64,
    /// Announcements that were acknowledged.
    pub acknowledged: atomic::AtomicUsize,
    open: Mutex<Vec<net::TcpStream>>,
}

impl Target {
    /// Starts a server and its announcements.
    pub fn start(
        host: [u8; 2],
        number: usize,
        zone: &'static str,
        trouble: Trouble,
        vms: Vec<net::SocketAddr>,
        record: &Arc<Record>,
    ) -> Arc<Target> {
        let ip = net::Ipv4Addr::new(127, host[0], host[1], 100 + number as u8);
        let target = Arc::new(Target {
            id: format!("i-{number}"),
            zone,
            address: (ip, PORT).into(),
            born: vm::now_ms(),
            trouble,
            running: Default::default(),
            waiting: Default::default(),
            connections: Default::default(),
            refused: Default::default(),
            served: Default::default(),
            arrivals: Default::default(),
            leaving: Default::default(),
            cut_off: Default::default(),
            ended: Default::default(),
            sequence: Default::default(),
            acknowledged: Default::default(),
            open: Default::default(),
        });
        let listener = net::TcpListener::bind(target.address).expect("a free address");
        let (accepting, beating, record) = (target.clone(), target.clone(), record.clone());
        thread::spawn(move || accepting.accept(&listener));
        thread::spawn(move || beating.announce(&vms, &record));
        target
    }

    fn accept(self: &Arc<Self>, listener: &net::TcpListener) {
        for stream in listener.incoming() {
            if self.ended.load(atomic::Ordering::SeqCst) {
                return;
            }
            let Ok(stream) = stream else { continue };
            let open = self.connections.fetch_add(1, atomic::Ordering::SeqCst);
            let target = self.clone();
            thread::spawn(move || {
                if open < MAX_CONNECTIONS {
                    // The caller may close the connection at any time.
                    let _ = target.serve(stream);
                }
                target.connections.fetch_sub(1, atomic::Ordering::SeqCst);
            });
        }
    }

    fn load(&self) -> String {
        let count = |value: &atomic::AtomicUsize| value.load(atomic::Ordering::SeqCst);
        format!("{},{},{SLOTS}", count(&self.running), count(&self.waiting))
    }

    fn head(&self, first: &str, request: &str, length: u64) -> String {
        let mut head = format!("HTTP/1.1 {first}\r\nContent-Length: {length}\r\n");
        head += &format!("{}: {}\r\n", wire::name("load"), self.load());
        if !request.is_empty() {
            head += &format!("{}: {request}\r\n", wire::name("request_id"));
        }
        if self.leaving.load(atomic::Ordering::SeqCst) {
            head += &format!("{}: 1\r\n", wire::name("leaving"));
        }
        head
    }

    fn serve(&self, stream: net::TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        self.open
            .lock()
            .expect("open connections")
            .push(stream.try_clone()?);
        let mut reader = BufReader::new(stream);
        while let Some(message) = http::read(&mut reader)? {
            if self.ended.load(atomic::Ordering::SeqCst) {
                return Ok(());
            }
            if message
                .first
                .get(1)
                .is_some_and(|path| path == wire::name("health"))
            {
                let first = match self.leaving.load(atomic::Ordering::SeqCst) {
                    true => "503 Service Unavailable",
                    false => "200 OK",
                };
                let head = self.head(first, "", 0);
                let id = format!("{}: {}\r\n\r\n", wire::name("target_id"), self.id);
                out.write_all((head + &id).as_bytes())?;
                continue;
            }
            let request = message.header(wire::name("request_id")).unwrap_or_default();
            let request = request.to_owned();
            let expected = message.header(wire::name("expected_target"));
            if expected.is_some_and(|expected| expected != self.id) {
                let head = self.head("421 Misdirected Request", &request, 0);
                out.write_all((head + "\r\n").as_bytes())?;
                continue;
            }
            let number = {
                let mut arrivals = self.arrivals.lock().expect("arrivals");
                arrivals.push(request.clone());
                arrivals.len()
            };
            let trouble = match number % FAILED_OF < FAILED {
                true => self.trouble,
                false => Trouble::None,
            };
            match trouble {
                Trouble::None if self.run() => {
                    let head = self.head("200 OK", &request, 2);
                    let digest = format!("{}: {}\r\n\r\nok", wire::name("digest"), self.id);
                    out.write_all((head + &digest).as_bytes())?;
                    self.served.fetch_add(1, atomic::Ordering::SeqCst);
                }
                Trouble::RefusesWithoutEnd => {
                    self.refuse(&mut out, &request, ANNOUNCED_BYTES)?;
                    loop {
                        out.write_all(&PIECE)?;
                        thread::sleep(PIECE_PAUSE);
                    }
                }
                Trouble::None | Trouble::Refuses => {
                    self.refuse(&mut out, &request, PIECE.len() as u64)?;
                    out.write_all(&PIECE)?;
                }
            }
        }
        Ok(())
    }

    fn refuse(&self, out: &mut net::TcpStream, request: &str, length: u64) -> io::Result<()> {
        self.refused.fetch_add(1, atomic::Ordering::SeqCst);
        let head = self.head("503 Service Unavailable", request, length);
        let not_run = format!("{}: 1\r\n\r\n", wire::name("not_run"));
        out.write_all((head + &not_run).as_bytes())
    }

    /// Runs a request in a slot; returns `false` if the queue is full.
    fn run(&self) -> bool {
        if self.waiting.fetch_add(1, atomic::Ordering::SeqCst) >= QUEUE {
            self.waiting.fetch_sub(1, atomic::Ordering::SeqCst);
            return false;
        }
        let take = |running: usize| (running < SLOTS).then_some(running + 1);
        let (set, get) = (atomic::Ordering::SeqCst, atomic::Ordering::SeqCst);
        while self.running.fetch_update(set, get, take).is_err() {
            thread::sleep(time::Duration::from_millis(2));
        }
        self.waiting.fetch_sub(1, atomic::Ordering::SeqCst);
        thread::sleep(WORK);
        self.running.fetch_sub(1, atomic::Ordering::SeqCst);
        true
    }

    /// Announces itself at one VM after the other until one acknowledges; returns the VM.
    pub fn beat(&self, vms: &[net::SocketAddr], state: &str) -> Option<net::SocketAddr> {
        let sequence = self.sequence.fetch_add(1, atomic::Ordering::SeqCst) + 1;
        let body = wire::beat(&[
            ("address", &self.address.to_string()),
            ("born", &self.born.to_string()),
            ("zone", self.zone),
            ("state", state),
            ("sequence", &sequence.to_string()),
        ]);
        let path = format!("{}{}", wire::name("heartbeat"), self.id);
        let first = sequence as usize % vms.len();
        let order = vms[first..].iter().chain(&vms[..first]);
        for vm in order {
            let headers = [("Content-Type", "application/json")];
            let timeout = time::Duration::from_secs(1);
            let sent = http::call(*vm, timeout, "POST", &path, &headers, body.as_bytes());
            if sent.is_ok_and(|answer| answer.status() / 100 == 2) {
                self.acknowledged.fetch_add(1, atomic::Ordering::SeqCst);
                return Some(*vm);
            }
        }
        None
    }

    fn announce(&self, vms: &[net::SocketAddr], record: &Record) {
        let mut is_known = false;
        while !self.ended.load(atomic::Ordering::SeqCst)
            && !self.leaving.load(atomic::Ordering::SeqCst)
        {
            if !self.cut_off.load(atomic::Ordering::SeqCst)
                && self.beat(vms, "ready").is_some()
                && !std::mem::replace(&mut is_known, true)
            {
                record.line(format!(
                    "server {}: first announcement acknowledged",
                    self.id
                ));
            }
            thread::sleep(BEAT_INTERVAL);
        }
    }

    /// Ends the server: its listener and its connections close.
    pub fn end(&self) {
        self.ended.store(true, atomic::Ordering::SeqCst);
        for stream in self.open.lock().expect("open connections").drain(..) {
            let _ = stream.shutdown(net::Shutdown::Both);
        }
        // Wakes the listener.
        let _ = net::TcpStream::connect(self.address).map(|mut stream| stream.read(&mut [0]));
    }
}
