//! Command `bench`: runs a measurement.

use std::{net, time};

use wagtailshunt_core::types;
use wagtailshunt_lab::{load, target};

use crate::{api, exit, options};

/// Runs `bench`.
pub async fn run(
    global: &options::Program,
    opts: &options::Bench,
) -> Result<exit::Code, exit::Error> {
    match &opts.command {
        Some(options::BenchCommand::RequestPath(opts)) => request_path(global, opts).await,
        Some(options::BenchCommand::Policy(_)) => missing("policy"),
        Some(options::BenchCommand::Control(_)) => missing("control"),
        Some(options::BenchCommand::Log(_)) => missing("log"),
        Some(options::BenchCommand::Ledger(_)) => missing("ledger"),
        None => {
            let message = "a measurement is missing; `wagtailshunt bench --help` lists them";
            Err(exit::Error::Usage(message.to_owned()))
        }
    }
}

fn missing(name: &str) -> Result<exit::Code, exit::Error> {
    let message = format!("the measurement `{name}` is not part of this version yet");
    Err(exit::Error::Failed(message))
}

async fn request_path(
    global: &options::Program,
    opts: &options::RequestPath,
) -> Result<exit::Code, exit::Error> {
    let targets = start_targets(opts).await?;
    let started: Vec<net::SocketAddr> = targets.iter().map(target::Handle::address).collect();
    let direct = if opts.direct.is_empty() {
        &started
    } else {
        &opts.direct
    };
    if direct.is_empty() {
        return Err(exit::Error::Usage("no target to call".to_owned()));
    }
    if !targets.is_empty() && !opts.announce.is_empty() {
        announced(&targets, global.timeout_ms).await?;
    }
    let mut routes = vec![route("direct", direct)];
    if !opts.gateway.is_empty() {
        routes.push(route("gateway", &opts.gateway));
    }
    let report = load::run(&load_config(opts), &routes, &opts.revision).await;
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

async fn start_targets(opts: &options::RequestPath) -> Result<Vec<target::Handle>, exit::Error> {
    if !opts.direct.is_empty() {
        return Ok(Vec::new());
    }
    let key = match &opts.target_key_file {
        Some(file) => api::read_key(file)?,
        None => String::new(),
    };
    let announce = (!opts.announce.is_empty()).then(|| target::Announce {
        gateways: opts.announce.clone(),
        key,
        ..target::Announce::default()
    });
    let mut targets = Vec::new();
    for number in 0..opts.targets {
        let config = target::Config {
            service: types::ServiceName::from(opts.service.as_str()),
            id: types::TargetId(format!("bench-{number}")),
            slots: opts.slots,
            service_time: target::ServiceTime::Fixed(time::Duration::from_micros(opts.service_us)),
            seed: opts.seed.wrapping_add(number as u64),
            announce: announce.clone(),
            ..target::Config::default()
        };
        let started = target::start(config).await;
        targets.push(started.map_err(|err| exit::Error::Failed(err.to_string()))?);
    }
    Ok(targets)
}

/// Waits until a gateway has accepted an announcement of each target.
async fn announced(targets: &[target::Handle], limit_ms: u64) -> Result<(), exit::Error> {
    let deadline = time::Instant::now() + time::Duration::from_millis(limit_ms);
    while targets
        .iter()
        .any(|target| target.counters().announced == 0)
    {
        if time::Instant::now() >= deadline {
            let message = "no gateway accepted the announcements of the targets";
            return Err(exit::Error::Unreachable(message.to_owned()));
        }
        compio::time::sleep(time::Duration::from_millis(20)).await;
    }
    Ok(())
}
