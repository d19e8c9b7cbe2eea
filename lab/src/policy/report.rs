//! Runs all contenders in all situations with all seeds, and reports the results as a table or
//! JSON.

use std::{fmt, thread, time};

use serde::Serialize;

use super::cluster::Cluster;
use super::setup::{Contender, Deployment, Selection};
use super::situation::Situation;

/// Bytes of a load report in a response header.
const REPORT_BYTES: u64 = 60;
/// Bytes of a slot lease message.
const SLOT_MESSAGE_BYTES: u64 = 48;
/// Bytes of a call that is forwarded to the owner, with its response.
const FORWARDED_CALL_BYTES: u64 = 1_200;

/// Options of a comparison.
#[derive(Clone, Debug)]
pub struct Options {
    /// Deployments to compare in.
    pub deployments: Vec<Deployment>,
    /// Situations to compare in.
    pub situations: Vec<Situation>,
    /// Names of contenders; empty means all. The reference is always included.
    pub contenders: Vec<String>,
    /// Seeds, with one run each.
    pub seeds: Vec<u64>,
    /// Measured virtual time of each run.
    pub length: time::Duration,
    /// Number of threads; the results do not depend on it.
    pub threads: usize,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            deployments: Deployment::ALL.to_vec(),
            situations: Situation::ALL.to_vec(),
            contenders: Vec::new(),
            seeds: (1..=5).collect(),
            length: time::Duration::from_secs(6),
            threads: 4,
        }
    }
}

/// Mean, minimum and maximum over the seeds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Spread {
    /// Mean.
    pub mean: f64,
    /// Minimum.
    pub min: f64,
    /// Maximum.
    pub max: f64,
}

impl Spread {
    fn from_values(values: impl Iterator<Item = f64> + Clone) -> Spread {
        let count = values.clone().count().max(1) as f64;
        Spread {
            mean: round(values.clone().sum::<f64>() / count),
            min: round(values.clone().fold(f64::INFINITY, f64::min)),
            max: round(values.fold(f64::NEG_INFINITY, f64::max)),
        }
    }
}

fn round(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}

/// Results of one contender in one situation.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Deployment.
    pub deployment: Deployment,
    /// Situation.
    pub situation: Situation,
    /// Name of the contender.
    pub contender: &'static str,
    /// Median latency in milliseconds.
    pub p50_ms: Spread,
    /// 99th percentile of the latency in milliseconds.
    pub p99_ms: Spread,
    /// 99.9th percentile of the latency in milliseconds.
    pub p999_ms: Spread,
    /// 99th percentile of the latency, relative to the reference with the same seed.
    pub p99_ratio: Spread,
    /// 99.9th percentile of the latency, relative to the reference with the same seed.
    pub p999_ratio: Spread,
    /// Calls per second with a response before their deadline.
    pub goodput: Spread,
    /// Calls refused without a run, in percent of the offered ones.
    pub refused_pct: Spread,
    /// Calls that failed or missed their deadline, in percent.
    pub errors_pct: Spread,
    /// Attempts per call.
    pub attempts: Spread,
    /// Messages per call that the selection needs: probes, slot leases and forwarded calls.
    pub messages: Spread,
    /// Bytes per call that the selection needs, including load reports.
    pub bytes: Spread,
    /// Target time spent on probes per call, in microseconds.
    pub target_us: Spread,
}

/// Results of a comparison.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Comparison {
    /// Mean service time of the load in microseconds.
    pub mean_service_us: f64,
    /// Seeds of the runs.
    pub seeds: Vec<u64>,
    /// Measured virtual time of each run in seconds.
    pub length_s: f64,
    /// Results, by deployment, situation and contender.
    pub rows: Vec<Row>,
}

/// Results of one run.
#[derive(Clone, Copy, Debug)]
struct Run {
    p50: f64,
    p99: f64,
    p999: f64,
    goodput: f64,
    refused: f64,
    errors: f64,
    attempts: f64,
    messages: f64,
    bytes: f64,
    target_us: f64,
}

impl Run {
    fn from_cluster(cluster: &Cluster, length: time::Duration) -> Run {
        let stats = cluster.stats();
        let (slot_messages, spent) = cluster.measurement_totals();
        let (slot_before, before) = stats.measurement_before_reset;
        let slot_messages = slot_messages - slot_before;
        let passive = match cluster.setup.selection {
            Selection::Local if cluster.reads_load_reports() => stats.reports * REPORT_BYTES,
            _ => 0,
        };
        let messages = spent.messages - before.messages + slot_messages + 2 * stats.forwarded;
        let bytes = spent.bytes - before.bytes
            + passive
            + slot_messages * SLOT_MESSAGE_BYTES
            + stats.forwarded * FORWARDED_CALL_BYTES;
        let per_call = |value: u64| value as f64 / stats.offered.max(1) as f64;
        Run {
            p50: stats.latency_ms(0.5),
            p99: stats.latency_ms(0.99),
            p999: stats.latency_ms(0.999),
            goodput: stats.ok as f64 / length.as_secs_f64(),
            refused: per_call(stats.refused) * 100.0,
            errors: per_call(stats.failed + stats.timeouts) * 100.0,
            attempts: per_call(stats.attempts),
            messages: per_call(messages),
            bytes: per_call(bytes),
            target_us: per_call(spent.target_time_us - before.target_time_us),
        }
    }
}

/// Runs the comparison. The same options give byte-identical results.
pub fn compare(options: &Options) -> Comparison {
    compare_with(options, |deployment| {
        select_contenders(deployment, &options.contenders)
    })
}

/// Runs the comparison with the given contenders; the first is the reference.
pub fn compare_with(
    options: &Options,
    contenders: impl Fn(Deployment) -> Vec<Contender>,
) -> Comparison {
    let mut rows = Vec::new();
    for &deployment in &options.deployments {
        let contenders = contenders(deployment);
        for &situation in &options.situations {
            let runs = run_all(deployment, situation, &contenders, options);
            for (contender, results) in contenders.iter().zip(&runs) {
                rows.push(row(
                    deployment,
                    situation,
                    contender.name,
                    results,
                    &runs[0],
                ));
            }
        }
    }
    Comparison {
        mean_service_us: round(super::mean_service_us()),
        seeds: options.seeds.clone(),
        length_s: options.length.as_secs_f64(),
        rows,
    }
}

fn select_contenders(deployment: Deployment, names: &[String]) -> Vec<Contender> {
    let all = Contender::all(deployment);
    let reference = all[0].name;
    let is_selected =
        |name: &str| names.is_empty() || name == reference || names.iter().any(|n| n == name);
    all.into_iter()
        .filter(|contender| is_selected(contender.name))
        .collect()
}

/// Returns the runs of each contender, one per seed.
fn run_all(
    deployment: Deployment,
    situation: Situation,
    contenders: &[Contender],
    options: &Options,
) -> Vec<Vec<Run>> {
    let jobs: Vec<(usize, u64)> = (0..contenders.len())
        .flat_map(|contender| options.seeds.iter().map(move |seed| (contender, *seed)))
        .collect();
    let run = |&(contender, seed): &(usize, u64)| {
        let setup = contenders[contender].apply(deployment.setup());
        Run::from_cluster(&situation.run(setup, seed, options.length), options.length)
    };
    let share = jobs.len().div_ceil(options.threads.max(1)).max(1);
    let results: Vec<Run> = thread::scope(|scope| {
        let workers: Vec<_> = jobs
            .chunks(share)
            .map(|chunk| scope.spawn(move || chunk.iter().map(run).collect::<Vec<_>>()))
            .collect();
        workers
            .into_iter()
            .flat_map(|worker| worker.join().expect("a run panicked"))
            .collect()
    });
    results
        .chunks(options.seeds.len().max(1))
        .map(<[Run]>::to_vec)
        .collect()
}

fn row(
    deployment: Deployment,
    situation: Situation,
    contender: &'static str,
    runs: &[Run],
    reference: &[Run],
) -> Row {
    let spread = |value: fn(&Run) -> f64| Spread::from_values(runs.iter().map(value));
    let ratio = |value: fn(&Run) -> f64| {
        let pairs = runs.iter().zip(reference);
        Spread::from_values(
            pairs.map(move |(run, reference)| value(run) / value(reference).max(1e-9)),
        )
    };
    Row {
        deployment,
        situation,
        contender,
        p50_ms: spread(|run| run.p50),
        p99_ms: spread(|run| run.p99),
        p999_ms: spread(|run| run.p999),
        p99_ratio: ratio(|run| run.p99),
        p999_ratio: ratio(|run| run.p999),
        goodput: spread(|run| run.goodput),
        refused_pct: spread(|run| run.refused),
        errors_pct: spread(|run| run.errors),
        attempts: spread(|run| run.attempts),
        messages: spread(|run| run.messages),
        bytes: spread(|run| run.bytes),
        target_us: spread(|run| run.target_us),
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut title = None;
        for row in &self.rows {
            if title != Some((row.deployment, row.situation)) {
                title = Some((row.deployment, row.situation));
                writeln!(f, "\n{:?}, {:?}", row.deployment, row.situation)?;
                writeln!(
                    f,
                    "{:<18} {:>6} {:>21} {:>21} {:>6} {:>6} {:>8} {:>6} {:>6} {:>5} {:>6} {:>6} {:>6}",
                    "policy",
                    "p50",
                    "p99 ms",
                    "p99.9 ms",
                    "r99",
                    "r99.9",
                    "goodput",
                    "ref%",
                    "err%",
                    "att",
                    "msgs",
                    "bytes",
                    "tgt us"
                )?;
            }
            let range = |spread: &Spread| {
                format!("{:.1} [{:.1},{:.1}]", spread.mean, spread.min, spread.max)
            };
            writeln!(
                f,
                "{:<18} {:>6.2} {:>21} {:>21} {:>6.2} {:>6.2} {:>8.0} {:>6.2} {:>6.2} {:>5.2} {:>6.3} {:>6.1} {:>6.1}",
                row.contender,
                row.p50_ms.mean,
                range(&row.p99_ms),
                range(&row.p999_ms),
                row.p99_ratio.mean,
                row.p999_ratio.mean,
                row.goodput.mean,
                row.refused_pct.mean,
                row.errors_pct.mean,
                row.attempts.mean,
                row.messages.mean,
                row.bytes.mean,
                row.target_us.mean,
            )?;
        }
        Ok(())
    }
}
