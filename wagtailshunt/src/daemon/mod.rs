//! Code shared by the daemons: command line, logging setup, signals and exit codes.
//!
//! A daemon runs until SIGTERM, SIGINT, a fault, or a record that drains its VM.

use std::{io, net, path, process, time};

use compio::net::TcpListener;
use futures_util::{FutureExt, pin_mut, select_biased};
use gumdrop::Options;
use wagtailshunt_core::event;

use crate::{events, settings};

/// Exit code for an invalid command line or settings file.
pub const EXIT_SETTINGS: u8 = 2;

/// Exit code of a daemon that cannot start, stops after a fault, or ends before its planned stop
/// is complete.
pub const EXIT_FAILED: u8 = 1;

const SIGINT: i32 = 2;
const SIGTERM: i32 = 15;

/// Interval between checks for a fault or a record that ends the daemon.
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

/// Options of the command line that are not part of the settings.
#[derive(Clone, Copy, Debug)]
pub struct Flags {
    /// Whether an empty data folder starts a new cluster.
    ///
    /// Otherwise a VM with an empty folder waits for a leader. A VM that lost its disk has no
    /// record of its votes and must not vote in a new quorum.
    pub bootstrap: bool,
}

/// Error of binding an address of the settings.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen on {address}: {source}")]
pub struct BindError {
    /// Address from the settings.
    pub address: net::SocketAddr,
    /// Cause.
    pub source: io::Error,
}

/// Binds a listener to an address of the settings.
///
/// # Errors
///
/// [`BindError`] with the address and the cause.
pub async fn bind(address: net::SocketAddr) -> Result<TcpListener, BindError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| BindError { address, source })
}

/// Runs the accept loop of a listener as a task and emits an event if the listener fails.
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

/// Runs a task on the current runtime.
pub fn spawn(task: impl Future<Output = ()> + 'static) {
    compio::runtime::spawn(task).detach();
}

/// A running daemon.
pub trait Daemon {
    /// Performs a planned stop; returns whether it finished within its time limit.
    fn stop(&self) -> impl Future<Output = bool>;

    /// Returns whether the daemon must stop because of a fault.
    fn failed(&self) -> bool;

    /// Returns whether the record of the daemon's VM sets `drain`.
    fn drained_by_record(&self) -> bool;
}

/// Reads the command line and the settings, and runs the daemon until it ends.
///
/// The first SIGTERM or SIGINT starts a planned stop; a second one ends the process immediately.
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

/// Runs a daemon until it ends and returns the exit code of the process.
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

/// Starts logging to standard error. `RUST_LOG` sets the level; the default is `info`.
pub fn init_log() {
    let env = env_logger::Env::default().default_filter_or("info");
    // Fails if a logger is already installed, which then stays.
    let _ = env_logger::Builder::from_env(env).try_init();
}

/// Creates the single-threaded runtime of a daemon.
///
/// # Errors
///
/// The I/O error if the runtime's driver cannot be created.
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
        log::error!(
            "cannot wait for signals: {err}; planned stops by SIGTERM and SIGINT are disabled"
        );
        std::future::pending::<()>().await;
    }
}

async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        compio::time::sleep(STATE_CHECK_INTERVAL).await;
    }
}
