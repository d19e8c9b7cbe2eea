//! Stand-in for targets: each announces itself, answers its health path and runs requests as a case
//! decides.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, atomic},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    message::{self, Head},
    names::{self, name},
    platform,
    record::Record,
};

/// Interval at which a running request checks whether its connection was closed.
const CLOSE_CHECK: Duration = Duration::from_millis(10);

/// How a target answers one request.
pub enum Answer {
    /// The whole body.
    Whole(usize),
    /// A body that breaks off after so many bytes of the stated length; the connection is closed.
    Broken {
        /// Stated length.
        length: usize,
        /// Bytes that are sent.
        sent: usize,
    },
    /// Bytes without end, until the connection is closed: so many in each step.
    Endless {
        /// Bytes in each step.
        step: usize,
        /// Time between two steps.
        pause: Duration,
    },
}

/// What a case decides about a request.
pub struct Plan {
    /// Time for which the target works before it answers.
    pub work: Duration,
    /// The answer.
    pub answer: Answer,
}

/// A request that reached a target.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Id of the request.
    pub request: String,
    /// Index of the target.
    pub target: u8,
    /// When it arrived.
    pub at: Instant,
    /// When the target stopped working at it; `None` while it works.
    pub ended: Option<Instant>,
}

/// Decides about the request with this head at a target; called once for each request that runs.
pub type Behaviour = dyn Fn(u8, &Head) -> Plan + Send + Sync;

/// All targets of a deployment.
pub struct Targets {
    slots: usize,
    behaviour: Box<Behaviour>,
    record: Arc<Record>,
    running: Vec<atomic::AtomicUsize>,
    arrivals: Mutex<Vec<Arrival>>,
}

impl Targets {
    /// Starts targets and waits until each has announced itself.
    pub fn start(
        deployment: &platform::Deployment,
        count: u8,
        slots: usize,
        record: Arc<Record>,
        behaviour: Box<Behaviour>,
    ) -> io::Result<Arc<Targets>> {
        let targets = Arc::new(Targets {
            slots,
            behaviour,
            record,
            running: (0..count).map(|_| atomic::AtomicUsize::new(0)).collect(),
            arrivals: Mutex::default(),
        });
        for index in 0..count {
            let listener = TcpListener::bind((deployment.target_ip(index), 0))?;
            let address = listener.local_addr()?;
            let accepting = targets.clone();
            thread::spawn(move || accept(&accepting, index, &listener));
            let (control, slots) = (deployment.control(), slots);
            thread::spawn(move || announce(&control, index, address, slots));
        }
        Ok(targets)
    }

    /// Returns all arrivals so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("no holder panics").clone()
    }

    fn load(&self, index: u8) -> String {
        let running = self.running[usize::from(index)].load(atomic::Ordering::Relaxed);
        let (busy, waiting) = (running.min(self.slots), running.saturating_sub(self.slots));
        format!("{busy},{waiting},{}", self.slots)
    }
}

fn announce(control: &[SocketAddr], index: u8, address: SocketAddr, slots: usize) {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let born = since_epoch.map_or(0, |time| time.as_millis());
    let path = format!("{}{}", name("announce"), id(index));
    let fields = [("Content-Type", "application/json")];
    for sequence in 1_u64.. {
        let body = names::fill(
            names::ANNOUNCEMENT,
            &[
                ("address", address.to_string()),
                ("born", born.to_string()),
                ("zone", platform::zone(index)),
                ("slots", slots.to_string()),
                ("sequence", sequence.to_string()),
            ],
        );
        // The next daemon is called if one does not acknowledge.
        let first = usize::from(index) + sequence as usize;
        for offset in 0..control.len() {
            let to = control[(first + offset) % control.len()];
            let timeout = Duration::from_secs(1);
            let answer = message::request(to, "POST", &path, &fields, &body, timeout);
            if matches!(answer, Ok((200, _))) {
                break;
            }
        }
        thread::sleep(Duration::from_millis(1400));
    }
}

fn id(index: u8) -> String {
    format!("i-{index:08x}")
}

fn accept(targets: &Arc<Targets>, index: u8, listener: &TcpListener) {
    while let Ok((stream, _)) = listener.accept() {
        let targets = targets.clone();
        thread::spawn(move || {
            // A connection that fails concerns only its caller.
            let _ = serve(&targets, index, &stream);
        });
    }
}

fn serve(targets: &Targets, index: u8, stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream);
    while let Some(head) = message::read_head(&mut reader)? {
        message::read_body(&mut reader, &head, true)?;
        if head.second_word() == "/healthz" {
            let fields = format!("{}: {}\r\n", name("target_id"), id(index));
            write_head(targets, index, stream, &fields, 0)?;
            continue;
        }
        if !run(targets, index, stream, &head)? {
            return Ok(());
        }
    }
    Ok(())
}

/// Runs a request; returns whether the connection stays open.
fn run(targets: &Targets, index: u8, stream: &TcpStream, head: &Head) -> io::Result<bool> {
    let request = head.get(name("request_id")).unwrap_or("-").to_owned();
    let position = {
        let mut arrivals = targets.arrivals.lock().expect("no holder panics");
        arrivals.push(Arrival {
            request: request.clone(),
            target: index,
            at: Instant::now(),
            ended: None,
        });
        arrivals.len() - 1
    };
    let running = &targets.running[usize::from(index)];
    running.fetch_add(1, atomic::Ordering::Relaxed);
    let plan = (targets.behaviour)(index, head);
    targets
        .record
        .line(&format!("target {index} runs {request}"));
    let is_wanted = work(stream, plan.work)?;
    running.fetch_sub(1, atomic::Ordering::Relaxed);
    let keeps = match is_wanted {
        true => answer(targets, index, stream, &request, &plan.answer),
        false => Ok(false),
    };
    let mut arrivals = targets.arrivals.lock().expect("no holder panics");
    arrivals[position].ended = Some(Instant::now());
    drop(arrivals);
    let end = match (is_wanted, &plan.answer) {
        (false, _) => "dropped, its connection was closed",
        (true, Answer::Whole(_)) => "answered",
        (true, Answer::Broken { .. }) => "answered, broken off",
        (true, Answer::Endless { .. }) => "answered without end until the connection was closed",
    };
    targets
        .record
        .line(&format!("target {index} ends {request}: {end}"));
    keeps
}

/// Works for a time; returns early with `false` when the connection is closed.
fn work(stream: &TcpStream, time: Duration) -> io::Result<bool> {
    let end = Instant::now() + time;
    stream.set_read_timeout(Some(CLOSE_CHECK))?;
    let mut byte = [0];
    let mut is_open = true;
    while is_open && Instant::now() < end {
        is_open = match stream.peek(&mut byte) {
            Ok(count) => count > 0,
            Err(err) => matches!(
                err.kind(),
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
            ),
        };
    }
    stream.set_read_timeout(None)?;
    Ok(is_open)
}

fn write_head(
    targets: &Targets,
    index: u8,
    mut stream: &TcpStream,
    fields: &str,
    length: u64,
) -> io::Result<()> {
    let load = format!("{}: {}\r\n", name("load"), targets.load(index));
    let head = format!("HTTP/1.1 200 OK\r\n{fields}{load}Content-Length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes())
}

fn answer(
    targets: &Targets,
    index: u8,
    mut stream: &TcpStream,
    request: &str,
    answer: &Answer,
) -> io::Result<bool> {
    let fields = format!(
        "{}: {request}\r\n{}: 3e1b.07\r\n",
        name("request_id"),
        name("digest")
    );
    match *answer {
        Answer::Whole(length) => {
            write_head(targets, index, stream, &fields, length as u64)?;
            stream.write_all(&vec![b'w'; length])?;
            Ok(true)
        }
        Answer::Broken { length, sent } => {
            write_head(targets, index, stream, &fields, length as u64)?;
            stream.write_all(&vec![b'b'; sent])?;
            // What was sent arrives before the end of the connection.
            thread::sleep(Duration::from_millis(50));
            Ok(false)
        }
        Answer::Endless { step, pause } => {
            write_head(targets, index, stream, &fields, 1 << 40)?;
            let bytes = vec![b'e'; step];
            while stream.write_all(&bytes).is_ok() {
                thread::sleep(pause);
            }
            Ok(false)
        }
    }
}
