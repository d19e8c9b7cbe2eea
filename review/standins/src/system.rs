//! The system under test: entry VMs as separate processes on loopback addresses, started by the
//! command of the deploy file, and the operator.

use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::names;
use crate::record::Record;
use crate::wire;

/// Command of the role in the deploy file, which is started in the root of the repository.
const PROGRAM: &str = "target/release/wagtailshunt-platform";

const PORTS: [u16; 4] = [8381, 8382, 8388, 7200];

pub struct System {
    hosts: Vec<Ipv4Addr>,
    folder: PathBuf,
    children: Vec<Mutex<Child>>,
}

impl System {
    /// Starts a system of VMs with empty disks.
    pub fn start(count: u8, folder: &Path) -> io::Result<System> {
        let mut system = System {
            hosts: free_hosts(count),
            folder: folder.to_owned(),
            children: Vec::new(),
        };
        for i in 0..system.hosts.len() {
            let child = system.spawn(i, true)?;
            system.children.push(Mutex::new(child));
        }
        Ok(system)
    }

    fn spawn(&self, i: usize, bootstrap: bool) -> io::Result<Child> {
        let folder = self.folder.join(format!("vm-{i}"));
        fs::create_dir_all(&folder)?;
        let seeds = self.hosts.iter().take(3).map(|host| format!("{host}:8382"));
        let seeds = seeds.collect::<Vec<_>>().join(",");
        let text = names::fill(
            names::SETTINGS,
            &[
                ("i", &i.to_string()),
                ("ip", &self.hosts[i].to_string()),
                ("zone", &(i % 3).to_string()),
                ("seeds", &seeds),
                ("bootstrap", &bootstrap.to_string()),
                ("data", &folder.join("data").display().to_string()),
            ],
        );
        let settings = folder.join("node.conf");
        fs::write(&settings, text)?;
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join("log"))?;
        Command::new(PROGRAM)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("WAGTAILSHUNT_CONFIG", settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
    }

    pub fn count(&self) -> usize {
        self.hosts.len()
    }

    pub fn callers(&self, i: usize) -> SocketAddr {
        (self.hosts[i], 8381).into()
    }

    pub fn operators(&self, i: usize) -> SocketAddr {
        (self.hosts[i], 8382).into()
    }

    fn readiness(&self, i: usize) -> SocketAddr {
        (self.hosts[i], 8388).into()
    }

    /// Sends a configuration to one VM after the other, following redirects, until it is accepted.
    pub fn configure(&self, record: &Record) -> bool {
        let deadline = Instant::now() + Duration::from_secs(20);
        let mut next = 0;
        while Instant::now() < deadline {
            next += 1;
            let mut address = self.operators(next % self.count());
            for _ in 0..3 {
                let first = format!("POST {} HTTP/1.1", names::get("path.replace"));
                let host = address.to_string();
                let headers = [
                    ("Host", host.as_str()),
                    (names::get("header.base"), "0"),
                    ("Content-Type", "application/json"),
                ];
                let body = names::CONFIGURATION.as_bytes();
                let answer = wire::call(address, &first, &headers, body, Duration::from_secs(1));
                let Ok(answer) = answer else { break };
                record.line(&format!("operator: {address} answers {}", answer.status()));
                if answer.status() == 200 {
                    return true;
                }
                let location = answer.header("location").unwrap_or("");
                let to = location.strip_prefix("http://").unwrap_or("");
                match to.split('/').next().unwrap_or("").parse() {
                    Ok(leader) if answer.status() == 307 => address = leader,
                    _ => break,
                }
            }
            thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Waits until all VMs report that they are ready.
    pub fn wait_ready(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(20);
        (0..self.count()).all(|i| {
            loop {
                let address = self.readiness(i);
                let host = address.to_string();
                let headers = [("Host", host.as_str())];
                let first = "GET /-/readyz HTTP/1.1";
                let answer = wire::call(address, first, &headers, b"", Duration::from_secs(1));
                if answer.is_ok_and(|answer| answer.status() == 200) {
                    return true;
                }
                if Instant::now() > deadline {
                    return false;
                }
                thread::sleep(Duration::from_millis(100));
            }
        })
    }

    /// Returns the id of a VM's process.
    pub fn process_id(&self, i: usize) -> u32 {
        self.children[i].lock().unwrap().id()
    }

    /// Returns the resident memory of a VM's process in bytes.
    pub fn memory(&self, i: usize) -> u64 {
        let id = self.process_id(i);
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
        kib.unwrap_or(0) * 1024
    }

    /// Kills a VM's process and starts it again after a short delay, as the platform does.
    pub fn kill_and_restart(&self, i: usize) -> io::Result<()> {
        let mut child = self.children[i].lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
        thread::sleep(Duration::from_millis(500));
        *child = self.spawn(i, false)?;
        Ok(())
    }

    /// Returns whether all processes are running.
    pub fn all_running(&self) -> bool {
        let running = |child: &Mutex<Child>| matches!(child.lock().unwrap().try_wait(), Ok(None));
        self.children.iter().all(running)
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for child in &self.children {
            let mut child = child.lock().unwrap();
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Returns loopback addresses on which the ports of a VM are free.
fn free_hosts(count: u8) -> Vec<Ipv4Addr> {
    let own = std::process::id();
    for attempt in 0..250u32 {
        let network = [64 + (own / 250 % 128) as u8, ((own + attempt) % 250) as u8];
        let hosts = (1..=count).map(|i| Ipv4Addr::new(127, network[0], network[1], i));
        let hosts: Vec<Ipv4Addr> = hosts.collect();
        let is_free = |host: &Ipv4Addr| {
            PORTS
                .iter()
                .all(|port| TcpListener::bind((*host, *port)).is_ok())
        };
        if hosts.iter().all(is_free) {
            return hosts;
        }
    }
    panic!("no free loopback address");
}
