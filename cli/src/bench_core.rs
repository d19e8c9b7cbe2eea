//! Benchmarks of the core: policies, control plane, replicated log, idempotency ledger, and the
//! time until a change is in force. Runs them with the options of the command line and prints the
//! results.

use std::{path, time};

use serde::Serialize;
use serde_json::{Value, json};
use wagtailshunt_lab::{control_bench, in_force, ledger_bench, log_bench, policy};

use crate::{exit, options, temp_dir};

/// Numbers of proposing clients, unless the command line gives others.
const DEFAULT_PROPOSERS: [usize; 3] = [1, 16, 64];

/// Runs `bench log`.
pub fn log(global: &options::Program, opts: &options::Log) -> Result<exit::Code, exit::Error> {
    let temporary = match &opts.folder {
        Some(_) => None,
        None => Some(temp_dir::TempDir::new()?),
    };
    let parent = match (&opts.folder, &temporary) {
        (Some(given), _) => given,
        (None, Some(temporary)) => temporary.path(),
        (None, None) => path::Path::new("."),
    };
    let failed = |err: log_bench::Error| exit::Error::Failed(err.to_string());
    let elections = log_bench::elections(opts.elections, opts.seed).map_err(failed)?;
    print_result(global, "elections", &elections, latency_json(&elections));
    let proposers: &[usize] = match opts.proposers.is_empty() {
        true => &DEFAULT_PROPOSERS,
        false => &opts.proposers,
    };
    let length = time::Duration::from_millis(opts.duration_ms);
    for proposers in proposers {
        let commits = log_bench::commits(parent, *proposers, length).map_err(failed)?;
        let mut value = latency_json(&commits.latency);
        value["proposers"] = json!(commits.proposers);
        value["elapsed_s"] = json!(commits.elapsed.as_secs_f64());
        value["batches"] = json!(commits.batches);
        print_result(global, "commits", &commits, value);
    }
    let restart = log_bench::restart(parent, opts.entries).map_err(failed)?;
    let value = json!({
        "entries": restart.entries,
        "bytes": restart.bytes,
        "elapsed_s": restart.elapsed.as_secs_f64(),
    });
    print_result(global, "restart", &restart, value);
    Ok(exit::Code::Ok)
}

/// Runs `bench ledger`.
pub fn ledger(
    global: &options::Program,
    opts: &options::Ledger,
) -> Result<exit::Code, exit::Error> {
    let report = ledger_bench::measure(opts.keys, opts.seed);
    let value = json!({
        "keys": report.keys,
        "claim_us": micros(report.claim),
        "complete_us": micros(report.complete),
        "replay_us": micros(report.replay),
        "running_bytes": report.running_bytes,
        "completed_bytes": report.completed_bytes,
        "charged_bytes": report.charged_bytes,
        "snapshot_us": micros(report.snapshot),
        "snapshot_bytes": report.snapshot_bytes,
        "restore_us": micros(report.restore),
        "drop_all_us": micros(report.drop_all),
    });
    print_result(global, "ledger", &report, value);
    Ok(exit::Code::Ok)
}

/// Runs `bench control`.
pub fn control(
    global: &options::Program,
    opts: &options::Control,
) -> Result<exit::Code, exit::Error> {
    for size in control_bench::SIZES {
        let report = control_bench::run(size, opts.seed);
        let (traffic, cost) = (&report.traffic, &report.cost);
        let operations = cost.operations.iter();
        let operations = operations.map(|op| (op.name.to_owned(), json!(op.micros)));
        let value = json!({
            "gateways": size.gateways,
            "services": size.services,
            "targets": size.targets,
            "leader_idle_bytes_per_s": traffic.leader_idle,
            "gateway_idle_bytes_per_s": traffic.gateway_idle,
            "leader_restarts_bytes_per_s": traffic.leader_restarts,
            "gateway_restarts_bytes_per_s": traffic.gateway_restarts,
            "leader_change_bytes": traffic.leader_change,
            "operations_us": Value::Object(operations.collect()),
            "leader_core_percent": cost.leader_core_percent,
            "registry_kib": cost.registry_kib,
            "ids_kib": cost.ids_kib,
            "directory_kib": cost.directory_kib,
            "gateway_kib": cost.gateway_kib,
            "snapshot_kib": cost.snapshot_kib,
        });
        print_result(global, "control", &report, value);
    }
    Ok(exit::Code::Ok)
}

/// Runs `bench policy`.
pub fn policy(
    global: &options::Program,
    opts: &options::Policy,
) -> Result<exit::Code, exit::Error> {
    let defaults = policy::Options::default();
    let chosen = policy::Options {
        deployments: select(&opts.deployment, &policy::Deployment::ALL, "--deployment")?,
        situations: select(&opts.situation, &policy::Situation::ALL, "--situation")?,
        contenders: opts.contender.clone(),
        seeds: (opts.seed..opts.seed.saturating_add(opts.seeds)).collect(),
        length: time::Duration::from_millis(opts.length_ms),
        threads: opts.threads.unwrap_or(defaults.threads),
    };
    check_contenders(&chosen)?;
    let comparison = policy::compare(&chosen);
    let mut value = json!(comparison);
    value["revision"] = json!(opts.revision);
    print_result(global, "policy", &comparison, value);
    Ok(exit::Code::Ok)
}

/// Runs `bench in-force`.
pub async fn in_force(
    global: &options::Program,
    opts: &options::InForce,
) -> Result<exit::Code, exit::Error> {
    let data = temp_dir::TempDir::new()?;
    let cfg = in_force::Config {
        data: data.path().to_owned(),
        controls: opts.controls,
        gateways: opts.gateways,
        changes: opts.changes,
        revision: opts.revision.clone(),
    };
    let report = in_force::run(&cfg).await;
    let report = report.map_err(|err| exit::Error::Failed(err.to_string()))?;
    print_result(global, "in-force", &report, json!(report));
    Ok(exit::Code::Ok)
}

/// Returns the values with the given names, or all values if no name is given.
fn select<T: Copy + Serialize>(
    names: &[String],
    all: &[T],
    option: &str,
) -> Result<Vec<T>, exit::Error> {
    if names.is_empty() {
        return Ok(all.to_vec());
    }
    let chosen = names.iter().map(|name| {
        let found = all.iter().find(|value| json!(value) == json!(name));
        found.copied().ok_or_else(|| {
            let message = format!("{option} {name}: expected one of {}", json!(all));
            exit::Error::Usage(message)
        })
    });
    chosen.collect()
}

/// Rejects names that match no contender, because the comparison would silently ignore them.
fn check_contenders(chosen: &policy::Options) -> Result<(), exit::Error> {
    let mut known: Vec<&str> = Vec::new();
    for deployment in &chosen.deployments {
        let contenders = policy::Contender::all(*deployment);
        known.extend(contenders.iter().map(|contender| contender.name));
    }
    known.sort_unstable();
    known.dedup();
    match chosen
        .contenders
        .iter()
        .find(|name| !known.contains(&name.as_str()))
    {
        Some(name) => {
            let message = format!("--contender {name}: expected one of {}", known.join(", "));
            Err(exit::Error::Usage(message))
        }
        None => Ok(()),
    }
}

/// Prints a result as text, or as one line of JSON with `--json`.
fn print_result(
    global: &options::Program,
    name: &str,
    text: &dyn std::fmt::Display,
    mut value: Value,
) {
    if global.json {
        value["measurement"] = json!(name);
        println!("{value}");
    } else {
        println!("{name}: {text}");
    }
}

fn latency_json(durations: &log_bench::Durations) -> Value {
    json!({
        "count": durations.count(),
        "p50_us": micros(durations.quantile(0.5)),
        "p90_us": micros(durations.quantile(0.9)),
        "p99_us": micros(durations.quantile(0.99)),
        "max_us": micros(durations.quantile(1.0)),
    })
}

fn micros(duration: time::Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}
