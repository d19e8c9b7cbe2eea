//! What the daemons have in common: command line, signals, exit codes.

use std::{io, net, path, process, time};

use compio::net::TcpListener;
use futures_util::{FutureExt, pin_mut, select_biased};
use gumdrop::Options;
use wagtailshunt_core::event;

use crate::{events, settings};

/// Exit code of a wrong command line or settings file.
pub const EXIT_SETTINGS: u8 = 2;

/// Exit code of a daemon that could not start or ended because of a fault.
pub const EXIT_FAILED: u8 = 1;

const SIGINT: i32 = 2;
const SIGTERM: i32 = 15;

/// Interval at which a daemon looks whether it must end because of a fault or a record.
const STATE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Command line of a daemon.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "settings file, JSON with comments", meta = "FILE")]
    config: Option<path::PathBuf>,
    #[options(help = "check the settings file and exit", no_short)]
    check: bool,
    #[options(help = "first start of a new cluster (control only)", no_short)]
    bootstrap: bool,
}

/// What the command line adds to the settings.
#[derive(Clone, Copy, Debug)]
pub struct Flags {
    /// An empty data folder starts a new cluster. Without it an empty folder waits for a leader: a
    /// VM that lost its disk has forgotten its votes and must not form a quorum from them.
    pub bootstrap: bool,
}

/// An address of the settings could not be bound.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen on {address}: {source}")]
pub struct BindError {
    /// Address from the settings.
    pub address: net::SocketAddr,
    /// Cause.
    pub source: io::Error,
}

/// Binds an address of the settings.
pub async fn bind(address: net::SocketAddr) -> Result<TcpListener, BindError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| BindError { address, source })
}

/// Runs a listener's accept loop and reports its failure.
pub fn spawn_listener(
    events: &events::EventLog,
    name: &'static str,
    serve: impl Future<Output = io::Result<()>> + 'static,
) {
    let events = events.clone();
    compio::runtime::spawn(async move {
        if let Err(err) = serve.await {
            events.emit(
                event::Id::ListenerFailed,
                &[("listener", &name), ("reason", &err)],
            );
        }
    })
    .detach();
}

/// Runs a task beside the others on the loop.
pub fn spawn(task: impl Future<Output = ()> + 'static) {
    compio::runtime::spawn(task).detach();
}

/// A started daemon.
pub trait Daemon {
    /// Performs a planned stop; returns whether it was done within its limit.
    fn stop(&self) -> impl Future<Output = bool>;

    /// Returns whether the daemon must end because of a fault.
    fn failed(&self) -> bool;

    /// Returns whether a record drains the VM of the daemon.
    fn drained_by_record(&self) -> bool;
}

/// Reads the command line and settings, starts the daemon and runs it until a signal.
///
/// The first SIGTERM or SIGINT starts a planned stop, a second one ends it at once.
pub fn main<S, D, F>(name: &str, start: impl FnOnce(S, Flags) -> F) -> process::ExitCode
where
    S: settings::Settings,
    D: Daemon,
    F: Future<Output = Result<D, Box<dyn std::error::Error>>>,
{
    let args: Vec<String> = std::env::args().skip(1).collect();
    let parsed = match Arguments::parse_args_default(&args) {
        Ok(parsed) => parsed,
        Err(err) => return usage_error(name, &err.to_string()),
    };
    if parsed.help {
        println!(
            "Usage: {name} --config FILE [--check]\n\n{}",
            Arguments::usage()
        );
        return process::ExitCode::SUCCESS;
    }
    let Some(path) = parsed.config else {
        return usage_error(name, "--config FILE is required");
    };
    let cfg: S = match settings::load(&path) {
        Ok(cfg) => cfg,
        Err(err) => return usage_error(name, &err.to_string()),
    };
    if parsed.check {
        println!("{}: settings are valid", path.display());
        return process::ExitCode::SUCCESS;
    }
    init_log();
    run_to_exit(
        name,
        start(
            cfg,
            Flags {
                bootstrap: parsed.bootstrap,
            },
        ),
    )
}

/// Runs a daemon until a signal and returns the exit code of its process.
pub fn run_to_exit<D: Daemon>(
    name: &str,
    start: impl Future<Output = Result<D, Box<dyn std::error::Error>>>,
) -> process::ExitCode {
    match run(start) {
        Ok(true) => process::ExitCode::SUCCESS,
        Ok(false) => process::ExitCode::from(EXIT_FAILED),
        Err(err) => {
            eprintln!("{name}: {err}");
            process::ExitCode::from(EXIT_FAILED)
        }
    }
}

fn usage_error(name: &str, reason: &str) -> process::ExitCode {
    eprintln!("{name}: {reason}");
    process::ExitCode::from(EXIT_SETTINGS)
}

/// Starts logging to standard error; `RUST_LOG` changes the level.
pub fn init_log() {
    let env = env_logger::Env::default().default_filter_or("info");
    // A second logger is refused; the first one stays.
    let _ = env_logger::Builder::from_env(env).try_init();
}

/// Creates the runtime of a daemon: one thread, polling driver.
pub fn runtime() -> io::Result<compio::runtime::Runtime> {
    compio::runtime::Runtime::new()
}

fn run<D: Daemon>(
    start: impl Future<Output = Result<D, Box<dyn std::error::Error>>>,
) -> Result<bool, Box<dyn std::error::Error>> {
    runtime()?.block_on(async {
        let daemon = start.await?;
        let first = wait_for_signal().fuse();
        let fault = wait_until(|| daemon.failed()).fuse();
        let record = wait_until(|| daemon.drained_by_record()).fuse();
        pin_mut!(first, fault, record);
        select_biased! {
            () = first => {}
            () = fault => return Ok(false),
            () = record => {}
        }
        let stop = daemon.stop().fuse();
        let second = wait_for_signal().fuse();
        pin_mut!(stop, second);
        Ok(select_biased! {
            done = stop => done,
            () = second => false,
        })
    })
}

async fn wait_for_signal() {
    let term = compio::signal::unix::signal(SIGTERM).fuse();
    let int = compio::signal::unix::signal(SIGINT).fuse();
    pin_mut!(term, int);
    let result = select_biased! {
        result = term => result,
        result = int => result,
    };
    if let Err(err) = result {
        log::error!("signals cannot be received: {err}");
        std::future::pending::<()>().await;
    }
}

async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        compio::time::sleep(STATE_CHECK_INTERVAL).await;
    }
}
