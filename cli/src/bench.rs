//! Command `bench`: runs one benchmark. Includes `bench request-path`, the latency of calls; the
//! other benchmarks are in `bench_core`.

use std::{net, thread, time};

use wagtailshunt_lab::{load, request_path};

use crate::{bench_core, exit, options, temp_dir};

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
            let message = "no benchmark given; `wagtailshunt bench --help` lists the benchmarks";
            Err(exit::Error::Usage(message.to_owned()))
        }
    }
}

async fn request_path(
    global: &options::Program,
    opts: &options::RequestPath,
) -> Result<exit::Code, exit::Error> {
    let report = if opts.gateway.is_empty() && opts.direct.is_empty() {
        measure_started_system(opts)?
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
        false => Err(exit::Error::Failed(
            "no call succeeded on at least one route".to_owned(),
        )),
    }
}

/// Starts a system on a separate thread with its own runtime and measures it.
fn measure_started_system(opts: &options::RequestPath) -> Result<load::Report, exit::Error> {
    let data = temp_dir::TempDir::new()?;
    let cfg = request_path::Config {
        data: data.path().to_owned(),
        load: load_config(opts),
        targets: opts.targets,
        slots: opts.slots,
        service_time: time::Duration::from_micros(opts.service_us),
        policy: opts.policy.clone(),
        revision: opts.revision.clone(),
    };
    let thread = thread::spawn(move || request_path::run(&cfg));
    let report = thread.join();
    let report = report.map_err(|_| exit::Error::Failed("the benchmark panicked".to_owned()))?;
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
