//! The platform's side of an entry VM: settings, start, the memory limit, restart after an end.

use std::{
    collections::hash_map::RandomState,
    env, fs,
    hash::{BuildHasher, Hasher},
    net, path, process,
    sync::{Arc, Mutex, PoisonError, atomic},
    thread, time,
};

use crate::{http, record::Record, target, wire};

const CALLERS_PORT: u16 = 8381;
const OPERATORS_PORT: u16 = 8382;
const READINESS_PORT: u16 = 8388;
const PEERS_PORT: u16 = 7200;

/// Memory of the smaller VMs of the deployment krittlinje-gw.
pub const MEMORY_MB: u64 = 260;

/// Time after which the platform starts a process again that has ended.
const RESTART_DELAY: time::Duration = time::Duration::from_millis(500);

const WATCH_INTERVAL: time::Duration = time::Duration::from_millis(20);

const ZONES: [&str; 3] = ["oslo-a", "oslo-b", "oslo-c"];

/// One entry VM with its process.
pub struct Vm {
    pub number: usize,
    pub zone: &'static str,
    ip: net::Ipv4Addr,
    seeds: String,
    folder: path::PathBuf,
    process: Mutex<Option<process::Child>>,
    /// Ends of the process that the platform did not order, with those by the memory limit.
    pub ends: atomic::AtomicUsize,
}

/// The entry VMs of a small deployment.
pub struct Fleet {
    pub vms: Vec<Arc<Vm>>,
    pub host: [u8; 2],
    folder: path::PathBuf,
    stopped: Arc<atomic::AtomicBool>,
}

/// Last parts of the addresses of VMs and servers.
const VM_ADDRESSES: std::ops::RangeInclusive<u8> = 1..=3;
const SERVER_ADDRESSES: std::ops::RangeInclusive<u8> = 100..=120;

/// Returns two numbers so that the addresses 127.a.b.1 and up are free.
fn free_host() -> [u8; 2] {
    for _ in 0..200 {
        // Each hasher has random keys.
        let random = RandomState::new().build_hasher().finish();
        let [a, b] = [(random % 200) as u8 + 20, (random >> 32) as u8];
        let is_free = |last: u8, port: u16| {
            net::TcpListener::bind((net::Ipv4Addr::new(127, a, b, last), port)).is_ok()
        };
        let ports = [
            CALLERS_PORT,
            OPERATORS_PORT,
            READINESS_PORT,
            PEERS_PORT,
            7201,
            7215,
        ];
        let vms_free = VM_ADDRESSES
            .clone()
            .all(|last| ports.iter().all(|port| is_free(last, *port)));
        if vms_free
            && SERVER_ADDRESSES
                .clone()
                .all(|last| is_free(last, target::PORT))
        {
            return [a, b];
        }
    }
    panic!("no free loopback addresses");
}

pub fn now_ms() -> u128 {
    let now = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    now.expect("a time after 1970").as_millis()
}

impl Fleet {
    /// Starts three VMs with disks, each in a zone of its own, and watches them.
    pub fn start(record: &Arc<Record>) -> Fleet {
        let host = free_host();
        let folder = env::temp_dir().join(format!("review-case-{}", process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let ip = |i: usize| net::Ipv4Addr::new(127, host[0], host[1], i as u8 + 1);
        let seeds: Vec<String> = (0..3)
            .map(|i| format!("{}:{OPERATORS_PORT}", ip(i)))
            .collect();
        let stopped = Arc::new(atomic::AtomicBool::new(false));
        let mut vms = Vec::new();
        for (number, zone) in ZONES.into_iter().enumerate() {
            let vm = Arc::new(Vm {
                number: number + 1,
                zone,
                ip: ip(number),
                seeds: seeds.join(","),
                folder: folder.join(format!("vm-{}", number + 1)),
                process: Mutex::new(None),
                ends: atomic::AtomicUsize::new(0),
            });
            fs::create_dir_all(&vm.folder).expect("a folder of a VM");
            *vm.process.lock().unwrap_or_else(PoisonError::into_inner) = Some(vm.spawn(true));
            let (watched, record, stopped) = (vm.clone(), record.clone(), stopped.clone());
            thread::spawn(move || watched.watch(&record, &stopped));
            vms.push(vm);
        }
        Fleet {
            vms,
            host,
            folder,
            stopped,
        }
    }

    /// Sends the configuration until it is acknowledged; returns whether it was.
    pub fn configure(&self, record: &Record) -> bool {
        let text = wire::configuration();
        let give_up = time::Instant::now() + time::Duration::from_secs(20);
        while time::Instant::now() < give_up {
            for vm in &self.vms {
                let mut to = vm.operators();
                for _ in 0..3 {
                    let headers = [
                        (wire::name("base"), "0"),
                        ("Content-Type", "application/json"),
                    ];
                    let timeout = time::Duration::from_secs(2);
                    let path = wire::name("replace");
                    let sent = http::call(to, timeout, "POST", path, &headers, text.as_bytes());
                    let Ok(answer) = sent else { break };
                    if answer.status() == 200 {
                        record.line(format!("operator: configuration acknowledged by {to}"));
                        return true;
                    }
                    let location = answer.header("Location").unwrap_or_default();
                    let address = location.trim_start_matches("http://");
                    let address = address.split('/').next().unwrap_or_default();
                    let Ok(next) = address.parse() else { break };
                    to = next;
                }
            }
            thread::sleep(time::Duration::from_millis(200));
        }
        false
    }

    /// Ends all processes and removes their folders.
    pub fn stop(&self) {
        self.stopped.store(true, atomic::Ordering::SeqCst);
        for vm in &self.vms {
            if let Some(mut child) = vm
                .process
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .take()
            {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Ends the processes also when a stand-in fails.
impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Vm {
    pub fn callers(&self) -> net::SocketAddr {
        (self.ip, CALLERS_PORT).into()
    }

    pub fn operators(&self) -> net::SocketAddr {
        (self.ip, OPERATORS_PORT).into()
    }

    fn readiness(&self) -> net::SocketAddr {
        (self.ip, READINESS_PORT).into()
    }

    /// Returns whether the process says that it is ready.
    pub fn is_ready(&self) -> bool {
        let timeout = time::Duration::from_secs(1);
        let path = wire::name("ready");
        http::call(self.readiness(), timeout, "GET", path, &[], &[])
            .is_ok_and(|answer| answer.status() == 200)
    }

    /// Starts the process with the command of the deploy file.
    fn spawn(&self, first: bool) -> process::Child {
        let settings = self.folder.join("settings");
        let disk = self.folder.join("disk");
        let text = wire::settings(&[
            ("zone", self.zone),
            ("ip", &self.ip.to_string()),
            ("seeds", &self.seeds),
            ("first", if first { "true" } else { "false" }),
            ("memory_mb", &MEMORY_MB.to_string()),
            ("folder", &disk.display().to_string()),
        ]);
        fs::write(&settings, text).expect("a settings file");
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join("log"))
            .expect("a log file");
        process::Command::new("target/release/wagtailshunt-platform")
            .env(wire::name("settings_variable"), &settings)
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file")
    }

    /// Ends the process when it uses more memory than the VM has, and starts it again after an end.
    fn watch(&self, record: &Record, stopped: &atomic::AtomicBool) {
        while !stopped.load(atomic::Ordering::SeqCst) {
            thread::sleep(WATCH_INTERVAL);
            let ended = {
                let mut process = self.process.lock().unwrap_or_else(PoisonError::into_inner);
                let Some(child) = process.as_mut() else {
                    return;
                };
                let peak = peak_mb(child.id()).unwrap_or(0);
                if peak > MEMORY_MB {
                    let _ = child.kill();
                    let _ = child.wait();
                    Some(format!(
                        "used {peak} MB of {MEMORY_MB} MB and was killed for it"
                    ))
                } else {
                    let status = child.try_wait().expect("a status");
                    status.map(|status| format!("ended by itself: {status}"))
                }
            };
            if let Some(how) = ended {
                let ends = self.ends.fetch_add(1, atomic::Ordering::SeqCst) + 1;
                record.line(format!("VM {}: process {how}; end {ends}", self.number));
                thread::sleep(RESTART_DELAY);
                let mut process = self.process.lock().unwrap_or_else(PoisonError::into_inner);
                if stopped.load(atomic::Ordering::SeqCst) {
                    return;
                }
                *process = Some(self.spawn(false));
                record.line(format!("VM {}: process started again", self.number));
            }
        }
    }

    /// Returns the peak memory of the running process.
    pub fn peak_mb(&self) -> u64 {
        let process = self.process.lock().unwrap_or_else(PoisonError::into_inner);
        let id = process.as_ref().map(process::Child::id);
        id.and_then(peak_mb).unwrap_or(0)
    }
}

/// Returns the largest resident memory that a process has had so far.
fn peak_mb(id: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib / 1024)
}
