//! Compares latency and throughput of calls through one gateway with those of direct calls.
//!
//! Load generator, targets and gateway run on separate threads, so that only the thread of the
//! gateway limits its throughput. The control instance shares that thread, as on an entry VM with
//! one core.

use std::{io, net, path, sync::mpsc, thread, time};

use crate::{cluster, load, target};

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct Config {
    /// Folder for the state of the control VM.
    pub data: path::PathBuf,
    /// Settings of the load; the requests go to the service `service`.
    pub load: load::Config,
    /// Number of targets.
    pub targets: u32,
    /// Number of slots of each target.
    pub slots: u32,
    /// Time that a call occupies its slot.
    pub service_time: time::Duration,
    /// Target selection policy in the record of the service.
    pub policy: String,
    /// Revision of the code, for the report.
    pub revision: String,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            data: std::env::temp_dir().join(format!("wagtailshunt-bench-{}", std::process::id())),
            load: load::Config::default(),
            targets: 10,
            slots: 1_000,
            service_time: time::Duration::ZERO,
            policy: "association".to_owned(),
            revision: String::new(),
        }
    }
}

/// Errors of a run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A runtime or thread could not be started.
    #[error("cannot start: {0}")]
    Start(#[from] io::Error),
    /// The cluster did not start.
    #[error(transparent)]
    Cluster(#[from] cluster::Error),
    /// The record was not accepted.
    #[error(transparent)]
    Operator(#[from] cluster::OperatorError),
    /// A thread ended before it was ready.
    #[error("a benchmark thread ended before it was ready")]
    Thread,
}

/// Addresses and clients that the cluster thread passes to the other threads.
struct Addresses {
    ingress: net::SocketAddr,
    announce: target::AnnounceConfig,
    operator: cluster::OperatorClient,
}

/// Measures direct calls and calls through a gateway in one run.
///
/// # Errors
///
/// Returns an error if a thread or the cluster does not start, or the record is not accepted.
pub fn run(cfg: &Config) -> Result<load::Report, Error> {
    let (addresses, cluster_thread) = start_cluster(cfg)?;
    let (targets, targets_thread) = start_targets(cfg, addresses.announce.clone())?;
    let report = wagtailshunt::daemon::runtime()?.block_on(async {
        let record = record(&cfg.policy);
        addresses
            .operator
            .put("service/service", 0, &record)
            .await?;
        wait_for_response(addresses.ingress, &cfg.load).await;
        let routes = [
            load::Route {
                name: "direct".to_owned(),
                addresses: targets,
            },
            load::Route {
                name: "gateway".to_owned(),
                addresses: vec![addresses.ingress],
            },
        ];
        Ok::<_, Error>(load::run(&cfg.load, &routes, &cfg.revision).await)
    });
    drop(targets_thread);
    drop(cluster_thread);
    report
}

/// Returns the record of the measured service. Hedging is off, because it would add attempts that
/// direct calls do not have.
fn record(policy: &str) -> String {
    format!(
        r#"{{"schema": 2, "kind": "service", "name": "service", "spec": {{
            "hosts": ["service"], "path_prefix": "/", "timeout_ms": 5000,
            "max_in_flight": 4096, "queue_limit": 4096, "policy": "{policy}",
            "hedge": {{"enabled": false}}}}}}"#
    )
}

/// Stops and joins a thread when dropped.
struct ThreadGuard {
    stop: Option<mpsc::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Drop for ThreadGuard {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            // The panic message of the thread has been printed already.
            let _ = thread.join();
        }
    }
}

fn start_cluster(cfg: &Config) -> Result<(Addresses, ThreadGuard), Error> {
    let data = cfg.data.clone();
    spawn("cluster", async move || {
        let cfg = cluster::Config {
            data,
            ..cluster::Config::default()
        };
        let cluster = cluster::Cluster::start(cfg).await?;
        let gateway = cluster.gateways[0].as_ref().ok_or(Error::Thread)?;
        let addresses = Addresses {
            ingress: gateway.listen(),
            announce: cluster.announce_config(),
            operator: cluster.operator(),
        };
        Ok((cluster, addresses))
    })
}

fn start_targets(
    cfg: &Config,
    announce: target::AnnounceConfig,
) -> Result<(Vec<net::SocketAddr>, ThreadGuard), Error> {
    let cfg = cfg.clone();
    spawn("targets", async move || {
        let mut handles = Vec::new();
        for number in 0..cfg.targets {
            let target = target::Config {
                id: format!("t{number}").as_str().into(),
                failure_domain: format!("fd{}", number % 3).as_str().into(),
                slots: cfg.slots,
                queue_limit: 4096,
                service_time: target::ServiceTime::Fixed(cfg.service_time),
                announce: Some(announce.clone()),
                ..target::Config::default()
            };
            handles.push(target::start(target).await?);
        }
        let addresses = handles.iter().map(target::Handle::address).collect();
        Ok((handles, addresses))
    })
}

/// Runs `start` on a new thread with its own runtime. Returns its second value, and keeps the first
/// one alive on that thread until the guard is dropped.
fn spawn<K, T: Send + 'static>(
    name: &str,
    start: impl AsyncFnOnce() -> Result<(K, T), Error> + Send + 'static,
) -> Result<(T, ThreadGuard), Error> {
    let (tx, rx) = mpsc::channel();
    let (stop, stopped) = mpsc::channel::<()>();
    let thread = thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || {
            let runtime = match wagtailshunt::daemon::runtime() {
                Ok(runtime) => runtime,
                Err(err) => {
                    let _ = tx.send(Err(err.into()));
                    return;
                }
            };
            runtime.block_on(async {
                match start().await {
                    Ok((owner, value)) => {
                        let _ = tx.send(Ok(value));
                        while stopped.try_recv() == Err(mpsc::TryRecvError::Empty) {
                            compio::time::sleep(time::Duration::from_millis(20)).await;
                        }
                        drop(owner);
                    }
                    Err(err) => {
                        let _ = tx.send(Err(err));
                    }
                }
            });
        })?;
    let guard = ThreadGuard {
        stop: Some(stop),
        thread: Some(thread),
    };
    let value = rx.recv().map_err(|_| Error::Thread)??;
    Ok((value, guard))
}

async fn wait_for_response(address: net::SocketAddr, cfg: &load::Config) {
    let probe = load::Config {
        duration: time::Duration::from_millis(50),
        warm_up: time::Duration::ZERO,
        ..cfg.clone()
    };
    for _ in 0..100 {
        let mode = load::Mode::Closed { callers: 1 };
        let sample = load::measure(&probe, mode, 0, &[address]).await;
        if sample.ok > 0 {
            return;
        }
    }
}
