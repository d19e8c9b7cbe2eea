//! Measures the time from a configuration change to its being in force on every gateway.
//!
//! A change is in force when all gateways that may hold a lease have applied it. Control VMs and
//! gateways run in one process, over loopback sockets and with real files.

use std::{fmt, path, time};

use hyper::{Method, StatusCode};
use serde::Serialize;

use crate::{cluster, load};

/// Settings of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Config {
    /// Folder for the state of the control VMs.
    pub data: path::PathBuf,
    /// Number of control VMs.
    pub controls: u32,
    /// Number of gateways.
    pub gateways: u32,
    /// Number of changes without faults; the situations with faults have up to 5.
    pub changes: u32,
    /// Revision of the code, for the report.
    pub revision: String,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            data: std::env::temp_dir()
                .join(format!("wagtailshunt-in-force-{}", std::process::id())),
            controls: 5,
            gateways: 9,
            changes: 100,
            revision: String::new(),
        }
    }
}

/// Times of one situation in milliseconds.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Fault before each change.
    pub situation: &'static str,
    /// Median time from the request to the response that the change is in force.
    pub median_ms: f64,
    /// 99th percentile of that time.
    pub p99_ms: f64,
    /// Maximum of that time.
    pub worst_ms: f64,
    /// Maximum time from acceptance, as the leader measures it; it excludes an election.
    pub worst_accepted_ms: f64,
    /// Number of measured changes.
    pub changes: usize,
}

/// Result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Settings of the run.
    pub config: Config,
    /// One row per situation.
    pub rows: Vec<Row>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} control VMs, {} gateways, revision {}",
            self.config.controls, self.config.gateways, self.config.revision
        )?;
        writeln!(
            f,
            "{:<36} {:>8} {:>9} {:>9} {:>9} {:>21}",
            "situation", "changes", "p50 ms", "p99 ms", "worst ms", "worst from accepted"
        )?;
        for row in &self.rows {
            writeln!(
                f,
                "{:<36} {:>8} {:>9.1} {:>9.1} {:>9.1} {:>21.1}",
                row.situation,
                row.changes,
                row.median_ms,
                row.p99_ms,
                row.worst_ms,
                row.worst_accepted_ms
            )?;
        }
        Ok(())
    }
}

/// Errors of a run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The cluster did not start or recover.
    #[error(transparent)]
    Cluster(#[from] cluster::Error),
    /// A request to the control VMs failed.
    #[error(transparent)]
    Operator(#[from] cluster::OperatorError),
    /// A change was refused, or was not in force in time.
    #[error("change refused or not in force: {0}")]
    NotInForce(String),
}

/// Measures changes without faults, after the loss of a gateway, and after the loss of the leader.
///
/// # Errors
///
/// Returns an error if the cluster does not recover or a change is not in force in time.
pub async fn run(cfg: &Config) -> Result<Report, Error> {
    let size = cluster::Config {
        data: cfg.data.clone(),
        controls: cfg.controls,
        gateways: cfg.gateways,
        ..cluster::Config::default()
    };
    let mut cluster = cluster::Cluster::start(size).await?;
    let mut changes = ChangeSender {
        revision: 0,
        sent: 0,
    };
    // The first change waits for leases that an earlier leader may have granted, so it is not
    // measured.
    changes.put(&cluster).await?;
    let mut rows = Vec::new();
    rows.push(summarize(
        "no fault",
        changes.put_repeatedly(&cluster, cfg.changes).await?,
    ));
    rows.push(summarize(
        "a gateway lost before each change",
        measure_gateway_losses(&mut cluster, &mut changes).await?,
    ));
    rows.push(summarize(
        "leader lost before each change",
        measure_leader_losses(&mut cluster, &mut changes).await?,
    ));
    Ok(Report {
        config: cfg.clone(),
        rows,
    })
}

/// Stops a gateway without a drain before each change, which then waits for its lease to expire.
async fn measure_gateway_losses(
    cluster: &mut cluster::Cluster,
    changes: &mut ChangeSender,
) -> Result<Vec<ChangeTimes>, Error> {
    let mut times = Vec::new();
    for index in 0..cluster.gateways.len().min(5) {
        cluster.kill_gateway(index);
        times.push(changes.put(cluster).await?);
        cluster.start_gateway(index).await?;
        cluster
            .wait("a lease on every gateway", cluster::Cluster::all_serving)
            .await?;
    }
    Ok(times)
}

/// Stops the leader without a transfer of leadership before each change.
async fn measure_leader_losses(
    cluster: &mut cluster::Cluster,
    changes: &mut ChangeSender,
) -> Result<Vec<ChangeTimes>, Error> {
    let mut times = Vec::new();
    for _ in 0..5 {
        let Some(leader) = cluster.leader() else {
            break;
        };
        cluster.kill_control(leader);
        times.push(changes.put(cluster).await?);
        cluster.restart_control(leader).await?;
        cluster
            .wait("a leader", |cluster| cluster.leader().is_some())
            .await?;
        cluster
            .wait("a lease on every gateway", cluster::Cluster::all_serving)
            .await?;
    }
    Ok(times)
}

#[derive(Clone, Copy, Debug)]
struct ChangeTimes {
    total_ms: f64,
    accepted_ms: f64,
}

struct ChangeSender {
    revision: u64,
    sent: u32,
}

impl ChangeSender {
    async fn put_repeatedly(
        &mut self,
        cluster: &cluster::Cluster,
        count: u32,
    ) -> Result<Vec<ChangeTimes>, Error> {
        let mut times = Vec::new();
        for _ in 0..count {
            times.push(self.put(cluster).await?);
        }
        Ok(times)
    }

    /// Updates the record and returns the times until the change was in force.
    async fn put(&mut self, cluster: &cluster::Cluster) -> Result<ChangeTimes, Error> {
        self.sent += 1;
        let text = format!(
            r#"{{"schema": 1, "kind": "service", "name": "service", "spec": {{
                "hosts": ["service"], "path_prefix": "/", "timeout_ms": {}}}}}"#,
            1000 + self.sent
        );
        let path = format!(
            "/v1/records/service/service?expect={}&timeout_ms=20000",
            self.revision
        );
        let id = cluster::request_id();
        let started = time::Instant::now();
        let response = cluster
            .operator()
            .send(Method::PUT, &path, &id, &text)
            .await?;
        let elapsed = started.elapsed().as_secs_f64() * 1000.0;
        let (status, reply) = response;
        let accepted = match &reply["reply"]["accepted"]["revision"] {
            serde_json::Value::Null => &reply["reply"]["repeated"]["accepted"]["revision"],
            revision => revision,
        };
        match (status, accepted.as_u64()) {
            (StatusCode::OK, Some(revision)) => {
                self.revision = revision;
                let accepted_ms = reply["in_force_ms"].as_f64().unwrap_or(elapsed);
                Ok(ChangeTimes {
                    total_ms: elapsed,
                    accepted_ms,
                })
            }
            _ => Err(Error::NotInForce(reply.to_string())),
        }
    }
}

fn summarize(situation: &'static str, measured: Vec<ChangeTimes>) -> Row {
    let accepted = load::Spread::new(measured.iter().map(|times| times.accepted_ms));
    let mut times: Vec<f64> = measured.iter().map(|times| times.total_ms).collect();
    times.sort_by(f64::total_cmp);
    let value_at = |quantile: f64| {
        let rank = (times.len() as f64 * quantile).ceil() as usize;
        times
            .get(rank.saturating_sub(1))
            .copied()
            .unwrap_or_default()
    };
    let spread = load::Spread::new(times.iter().copied());
    Row {
        situation,
        median_ms: spread.median,
        p99_ms: value_at(0.99),
        worst_ms: spread.max,
        worst_accepted_ms: accepted.max,
        changes: times.len(),
    }
}
