//! Stand-in for the platform and its operator: addresses, settings files, processes and the first
//! desired state.

use std::{
    fs, io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    message,
    names::{self, name},
};

/// Ports that a daemon uses on its address; those between processes are the first two and the last.
const DAEMON_PORTS: [u16; 6] = [8381, 8388, 8382, 7200, 7201, 7215];

const CALLER_PORT: u16 = 8381;
const READINESS_PORT: u16 = 8388;
const OPERATOR_PORT: u16 = 8382;

/// Machines of the deployment, one in each failure domain.
pub const MACHINES: u8 = 3;

/// Time in which the deployment must be ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A running deployment; its processes end with it.
pub struct Deployment {
    network: [u8; 2],
    processes: Vec<Child>,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for process in &mut self.processes {
            // It may have ended.
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

/// Returns the name of the failure domain of machine or target `index`.
pub fn zone(index: u8) -> String {
    format!("zone-{}", index % MACHINES + 1)
}

/// Returns two bytes of a loopback network on which all ports of the daemons are free.
fn free_network() -> io::Result<[u8; 2]> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let mut seed = now.map_or(1, |now| now.as_nanos() as u64) ^ u64::from(std::process::id()) << 20;
    for _ in 0..100 {
        seed = seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let network = [20 + (seed >> 33) as u8 % 200, (seed >> 45) as u8];
        let is_free = |machine: u8, port: u16| {
            let ip = Ipv4Addr::new(127, network[0], network[1], machine + 1);
            TcpListener::bind((ip, port)).is_ok()
        };
        if (0..MACHINES).all(|machine| DAEMON_PORTS.iter().all(|port| is_free(machine, *port))) {
            return Ok(network);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

impl Deployment {
    /// Starts the daemons with empty data folders and sends the first desired state.
    pub fn start(program: &str, folder: &Path, configuration: &str) -> io::Result<Deployment> {
        let mut deployment = Deployment {
            network: free_network()?,
            processes: Vec::new(),
        };
        let seeds: Vec<String> = (0..MACHINES)
            .map(|i| deployment.address(i, OPERATOR_PORT).to_string())
            .collect();
        let mut pids = String::new();
        for i in 0..MACHINES {
            let data = folder.join(format!("data-{i}"));
            fs::create_dir_all(&data)?;
            let settings = names::fill(
                names::SETTINGS,
                &[
                    ("index", i.to_string()),
                    ("ip", deployment.ip(i).to_string()),
                    ("zone", zone(i)),
                    ("seeds", seeds.join(",")),
                    ("data", data.display().to_string()),
                ],
            );
            let path = folder.join(format!("node-{i}.conf"));
            fs::write(&path, settings)?;
            let process = start_daemon(program, &path, &folder.join(format!("node-{i}.log")))?;
            pids += &format!("{}\n", process.id());
            deployment.processes.push(process);
            fs::write(folder.join("pids"), &pids)?;
        }
        deployment.send_configuration(configuration)?;
        deployment.wait_until_ready()?;
        Ok(deployment)
    }

    fn ip(&self, machine: u8) -> IpAddr {
        let [a, b] = self.network;
        Ipv4Addr::new(127, a, b, machine + 1).into()
    }

    fn address(&self, machine: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(machine), port)
    }

    /// Returns the address for targets with this index.
    pub fn target_ip(&self, index: u8) -> IpAddr {
        let [a, b] = self.network;
        Ipv4Addr::new(127, a, b, 100 + index).into()
    }

    /// Returns the address of a machine for callers.
    pub fn callers(&self, machine: u8) -> SocketAddr {
        self.address(machine, CALLER_PORT)
    }

    /// Returns the addresses of all machines for operators and targets.
    pub fn control(&self) -> Vec<SocketAddr> {
        (0..MACHINES)
            .map(|i| self.address(i, OPERATOR_PORT))
            .collect()
    }

    /// Returns whether all processes run.
    pub fn all_run(&mut self) -> bool {
        self.processes
            .iter_mut()
            .all(|process| matches!(process.try_wait(), Ok(None)))
    }

    /// Sends the first desired state until it is acknowledged.
    fn send_configuration(&self, body: &str) -> io::Result<()> {
        let give_up = Instant::now() + START_TIMEOUT;
        let fields = [("Content-Type", "application/json"), (name("base"), "0")];
        while Instant::now() < give_up {
            for machine in self.control() {
                let mut to = machine;
                // Callers follow a redirect twice.
                for _ in 0..3 {
                    let timeout = Duration::from_secs(1);
                    let answer =
                        message::request(to, "POST", name("replace"), &fields, body, timeout);
                    match answer {
                        Ok((200, _)) => return Ok(()),
                        Ok((307, Some(location))) => {
                            let host = location.split('/').nth(2).unwrap_or("");
                            let Ok(next) = host.parse() else { break };
                            to = next;
                        }
                        _ => break,
                    }
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        Err(io::ErrorKind::TimedOut.into())
    }

    fn wait_until_ready(&self) -> io::Result<()> {
        let give_up = Instant::now() + START_TIMEOUT;
        let is_ready = |i: u8| {
            let to = self.address(i, READINESS_PORT);
            let answer = message::request(to, "GET", "/-/readyz", &[], "", Duration::from_secs(1));
            matches!(answer, Ok((200, _)))
        };
        while Instant::now() < give_up {
            if (0..MACHINES).all(is_ready) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err(io::ErrorKind::TimedOut.into())
    }
}

fn start_daemon(program: &str, settings: &PathBuf, log: &Path) -> io::Result<Child> {
    let mut words = program.split(' ').filter(|word| !word.is_empty());
    let first = words.next().ok_or(io::ErrorKind::InvalidInput)?;
    let log = fs::File::create(log)?;
    Command::new(first)
        .args(words)
        .env_clear()
        .env("WAGTAILSHUNT_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}
