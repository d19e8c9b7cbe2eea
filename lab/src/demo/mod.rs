//! Demonstrates the complete system in one process on loopback: registration of targets, a
//! configuration change, calls, an idempotency key, a drain and a planned stop.

use std::{io, path, time};

use bytes::Bytes;
use hyper::{Method, Request, Response, StatusCode};

use crate::{cluster, load::client, target};

/// Record of the service that the demo calls.
const RECORD: &str = r#"{
    "schema": 2,
    "kind": "service",
    "name": "bookings",
    "spec": {
        "hosts": ["bookings.example"],
        "path_prefix": "/",
        "timeout_ms": 3000,
        "policy": "association",
        "key_required_methods": ["POST"]
    }
}"#;

const HOST: &str = "bookings.example";

/// Maximum time to wait for the result of a step.
const STEP_TIMEOUT: time::Duration = time::Duration::from_secs(8);

const POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Number of lookups sent at a time.
const LOOKUPS: usize = 50;

/// Errors of the demo.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Writing the output or opening a socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The cluster did not start.
    #[error(transparent)]
    Cluster(#[from] cluster::Error),
    /// A request to the control VMs failed.
    #[error(transparent)]
    Operator(#[from] cluster::OperatorError),
    /// A call failed.
    #[error(transparent)]
    Call(#[from] client::Error),
    /// A request could not be built.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// The result of a step differs from the expected one.
    #[error("unexpected result: {0}")]
    Unexpected(String),
}

/// Runs the demo and writes its progress to `out`. `timeline` formats the events of all instances,
/// given as JSON lines, as text.
///
/// # Errors
///
/// Returns an error if a step fails or has an unexpected result.
pub async fn run(
    data: path::PathBuf,
    out: &mut dyn io::Write,
    timeline: &dyn Fn(&str) -> String,
) -> Result<(), Error> {
    let cfg = cluster::Config {
        data,
        ..cluster::Config::default()
    };
    let cluster = cluster::Cluster::start(cfg).await?;
    writeln!(
        out,
        "1. one control VM and one gateway are running; the gateway holds a lease"
    )?;
    let targets = start_targets(&cluster).await?;
    writeln!(out, "2. three targets announce themselves to the gateway")?;
    put_record(&cluster, out).await?;
    wait_for_counts(&cluster, &targets, "an answer of each target", |counts| {
        counts.iter().all(|count| *count > 0)
    })
    .await?;
    let counts = send_lookups(&cluster, &targets).await?;
    writeln!(
        out,
        "4. {LOOKUPS} lookups were answered; calls per target: {counts:?}"
    )?;
    send_booking_twice(&cluster, &targets, out).await?;
    drain_target(&cluster, &targets, out).await?;
    writeln!(out, "7. time line of both processes:")?;
    write!(out, "{}", timeline(&cluster.events()))?;
    let gateway = cluster.gateways[0].clone();
    let drained = match gateway {
        Some(gateway) => gateway.stop().await,
        None => false,
    };
    writeln!(
        out,
        "8. the gateway stopped; all calls in flight ended: {drained}"
    )?;
    expect(drained, "the gateway did not drain")
}

async fn start_targets(cluster: &cluster::Cluster) -> Result<Vec<target::Handle>, Error> {
    let mut targets = Vec::new();
    for number in 1..=3 {
        let config = target::Config {
            service: "bookings".into(),
            id: format!("target-{number}").as_str().into(),
            failure_domain: format!("fd{number}").as_str().into(),
            announce: Some(cluster.announce_config()),
            ..target::Config::default()
        };
        targets.push(target::start(config).await?);
    }
    Ok(targets)
}

async fn put_record(cluster: &cluster::Cluster, out: &mut dyn io::Write) -> Result<(), Error> {
    let (status, reply) = cluster
        .operator()
        .put("service/bookings", 0, RECORD)
        .await?;
    expect(
        status == StatusCode::OK && reply["in_force"] == true,
        &reply.to_string(),
    )?;
    writeln!(
        out,
        "3. an operator put a record: revision {} was in force on every VM after {} ms",
        reply["reply"]["accepted"]["revision"], reply["in_force_ms"]
    )?;
    Ok(())
}

async fn send_lookups(
    cluster: &cluster::Cluster,
    targets: &[target::Handle],
) -> Result<Vec<u64>, Error> {
    let before = call_counts(targets);
    for _ in 0..LOOKUPS {
        let response = call(cluster, Method::GET, None).await?;
        expect(
            response.status() == StatusCode::OK,
            &format!("lookup: {}", response.status()),
        )?;
    }
    let after = call_counts(targets);
    Ok(after
        .iter()
        .zip(&before)
        .map(|(after, before)| after - before)
        .collect())
}

async fn send_booking_twice(
    cluster: &cluster::Cluster,
    targets: &[target::Handle],
    out: &mut dyn io::Write,
) -> Result<(), Error> {
    let key = cluster::request_id();
    let first = call(cluster, Method::POST, Some(&key)).await?;
    let second = call(cluster, Method::POST, Some(&key)).await?;
    let runs: u32 = targets
        .iter()
        .map(|target| target.ledger().runs(&key).started)
        .sum();
    let outcome = second.headers().get("wagtailshunt-outcome");
    writeln!(
        out,
        "5. a booking was sent twice with one key: statuses {} and {}, second outcome {:?}, runs {runs}",
        first.status(),
        second.status(),
        outcome
    )?;
    expect(
        runs == 1 && first.body() == second.body(),
        "the booking did not run exactly once",
    )
}

async fn drain_target(
    cluster: &cluster::Cluster,
    targets: &[target::Handle],
    out: &mut dyn io::Write,
) -> Result<(), Error> {
    let started = time::Instant::now();
    targets[0].drain().await;
    wait_for_counts(
        cluster,
        targets,
        "no call to the draining target",
        |counts| counts[0] == 0,
    )
    .await?;
    let elapsed = started.elapsed().as_millis();
    let counts = send_lookups(cluster, targets).await?;
    writeln!(
        out,
        "6. target-1 drained and got no new call after {elapsed} ms; calls per target: {counts:?}"
    )?;
    expect(counts[0] == 0, "a draining target got a call")
}

/// Sends lookups in rounds until the calls per target in one round meet a condition.
async fn wait_for_counts(
    cluster: &cluster::Cluster,
    targets: &[target::Handle],
    what: &str,
    condition: impl Fn(&[u64]) -> bool,
) -> Result<(), Error> {
    let deadline = time::Instant::now() + STEP_TIMEOUT;
    loop {
        let before = call_counts(targets);
        for _ in 0..LOOKUPS {
            call(cluster, Method::GET, None).await?;
        }
        let counts: Vec<u64> = call_counts(targets)
            .iter()
            .zip(&before)
            .map(|(after, before)| after - before)
            .collect();
        if condition(&counts) {
            return Ok(());
        }
        if time::Instant::now() >= deadline {
            return Err(Error::Unexpected(format!("{what}: not reached within 8 s")));
        }
        compio::time::sleep(POLL_INTERVAL).await;
    }
}

fn call_counts(targets: &[target::Handle]) -> Vec<u64> {
    targets
        .iter()
        .map(|target| target.counters().started)
        .collect()
}

async fn call(
    cluster: &cluster::Cluster,
    method: Method,
    key: Option<&str>,
) -> Result<Response<Bytes>, Error> {
    let Some(gateway) = &cluster.gateways[0] else {
        return Err(Error::Unexpected("the gateway is not running".to_owned()));
    };
    let mut conn = client::Connection::open(gateway.listen()).await?;
    let mut req = Request::builder()
        .method(method)
        .uri("/stalls/7")
        .header("host", HOST);
    if let Some(key) = key {
        req = req.header("idempotency-key", key);
    }
    Ok(conn.call(req.body(client::body(Bytes::new()))?).await?)
}

fn expect(holds: bool, detail: &str) -> Result<(), Error> {
    match holds {
        true => Ok(()),
        false => Err(Error::Unexpected(detail.to_owned())),
    }
}
