//! Command `bench`: runs a measurement.

use std::{net, thread, time};

use wagtailshunt_lab::{load, request_path};

use crate::{bench_core, exit, folder, options};

/// Runs `bench`.
pub async fn run(
    global: &options::Program,
    opts: &options::Bench,
) -> Result<exit::Code, exit::Error> {
    match &opts.command {
        Some(options::BenchCommand::RequestPath(opts)) => request_path(global, opts).await,
        Some(options::BenchCommand::Policy(opts)) => bench_core::policy(global, opts),
        Some(options::BenchCommand::InForce(opts)) => bench_core::in_force(global, opts).await,
        Some(options::BenchCommand::Control(opts)) => bench_core::control(global, opts),
        Some(options::BenchCommand::Log(opts)) => bench_core::log(global, opts),
        Some(options::BenchCommand::Ledger(opts)) => bench_core::ledger(global, opts),
        None => {
            let message = "a measurement is missing; `wagtailshunt bench --help` lists them";
            Err(exit::Error::Usage(message.to_owned()))
        }
    }
}

async fn request_path(
    global: &options::Program,
    opts: &options::RequestPath,
) -> Result<exit::Code, exit::Error> {
    let report = if opts.gateway.is_empty() && opts.direct.is_empty() {
        started_system(opts)?
    } else {
        let given = [("direct", &opts.direct), ("gateway", &opts.gateway)];
        let given = given.iter().filter(|(_, addresses)| !addresses.is_empty());
        let routes: Vec<load::Route> = given.map(|(name, list)| route(name, list)).collect();
        load::run(&load_config(opts), &routes, &opts.revision).await
    };
    if global.json {
        println!("{}", report.to_json());
    } else {
        print!("{report}");
    }
    match report.rows.iter().all(|row| row.ok > 0) {
        true => Ok(exit::Code::Ok),
        false => Err(exit::Error::Failed("a route answered no call".to_owned())),
    }
}

/// Measures a system that is started for it, on a thread with a runtime of its own.
fn started_system(opts: &options::RequestPath) -> Result<load::Report, exit::Error> {
    let data = folder::Folder::new()?;
    let cfg = request_path::Config {
        data: data.path().to_owned(),
        load: load_config(opts),
        targets: opts.targets,
        slots: opts.slots,
        service_time: time::Duration::from_micros(opts.service_us),
        policy: opts.policy.clone(),
        revision: opts.revision.clone(),
    };
    let run = thread::spawn(move || request_path::run(&cfg));
    let report = run.join();
    let report = report.map_err(|_| exit::Error::Failed("the bench panicked".to_owned()))?;
    report.map_err(|err| exit::Error::Failed(err.to_string()))
}

fn route(name: &str, addresses: &[net::SocketAddr]) -> load::Route {
    load::Route {
        name: name.to_owned(),
        addresses: addresses.to_vec(),
    }
}

fn load_config(opts: &options::RequestPath) -> load::Config {
    let closed = opts
        .callers
        .iter()
        .map(|callers| load::Mode::Closed { callers: *callers });
    let open = opts.rate.iter().map(|rate| load::Mode::Open {
        rate_per_s: *rate,
        arrivals: load::Arrivals::Poisson,
    });
    let modes: Vec<load::Mode> = closed.chain(open).collect();
    let defaults = load::Config::default();
    load::Config {
        seed: opts.seed,
        modes: if modes.is_empty() {
            defaults.modes
        } else {
            modes
        },
        duration: time::Duration::from_millis(opts.duration_ms),
        warm_up: time::Duration::from_millis(opts.warm_up_ms),
        repetitions: opts.repetitions,
        request: load::RequestSpec {
            method: opts.method.clone(),
            path: opts.path.clone(),
            host: opts.host.clone(),
            keyed: opts.keyed,
            ..load::RequestSpec::default()
        },
        ..defaults
    }
}
