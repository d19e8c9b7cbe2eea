//! Starts calls as the settings say and records their outcomes and latencies.

use std::{cell, net, rc, time};

use bytes::Bytes;
use futures_util::future;
use http_body_util::Full;
use hyper::{Request, Response, header};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::client::{self, Connection};
use super::ids;
use super::pool::Pool;
use super::sample::CallOutcome;
use super::{Arrivals, Config, Mode, Report, RequestSpec, Row, Sample};

const OUTCOME_HEADER: &str = "wagtailshunt-outcome";

/// A path to the targets that is measured.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name in the report, such as `direct` or `gateway`.
    pub name: String,
    /// Addresses to connect to, in rotation.
    pub addresses: Vec<net::SocketAddr>,
}

/// Measures all modes over all routes on the current compio runtime.
///
/// The routes alternate within each repetition, so that a disturbance on the machine affects all of
/// them and their ratio stays meaningful.
pub async fn run(config: &Config, routes: &[Route], revision: &str) -> Report {
    let mut rows = Vec::new();
    for mode in &config.modes {
        let mut samples: Vec<Vec<Sample>> = routes.iter().map(|_| Vec::new()).collect();
        for repetition in 0..config.repetitions {
            let seed = config.seed.wrapping_add(repetition as u64);
            for (route, samples) in routes.iter().zip(&mut samples) {
                samples.push(measure(config, *mode, seed, &route.addresses).await);
            }
        }
        let named = routes.iter().zip(samples);
        rows.extend(named.map(|(route, samples)| Row::new(&route.name, *mode, &samples)));
    }
    Report::new(config, revision, rows)
}

/// Measures one repetition of one mode.
pub async fn measure(
    config: &Config,
    mode: Mode,
    seed: u64,
    addresses: &[net::SocketAddr],
) -> Sample {
    let run = rc::Rc::new(Run::new(config, seed));
    match mode {
        Mode::Open {
            rate_per_s,
            arrivals,
        } => {
            let starts = draw_start_times(config, rate_per_s, arrivals, seed);
            open_loop(&run, config, &starts, addresses).await;
        }
        Mode::Closed { callers } => {
            let callers = (0..callers).map(|caller| {
                let address = addresses[caller % addresses.len()];
                closed_loop(run.clone(), config, address)
            });
            future::join_all(callers).await;
        }
    }
    run.sample.replace(Sample::new(config.duration))
}

/// State of one repetition.
struct Run {
    request: RequestSpec,
    body: Bytes,
    rng: cell::RefCell<SmallRng>,
    sample: cell::RefCell<Sample>,
    /// End of the warm-up; calls that start earlier are not counted.
    measure_from: time::Instant,
    timeout: time::Duration,
}

impl Run {
    fn new(config: &Config, seed: u64) -> Run {
        Run {
            request: config.request.clone(),
            body: vec![b'x'; config.request.body_bytes].into(),
            rng: cell::RefCell::new(SmallRng::seed_from_u64(seed)),
            sample: cell::RefCell::new(Sample::new(config.duration)),
            measure_from: time::Instant::now() + config.warm_up,
            timeout: config.timeout,
        }
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let mut request = Request::builder()
            .method(self.request.method.as_str())
            .uri(&self.request.path)
            .header(header::HOST, &self.request.host);
        if self.request.keyed {
            let key = ids::uuid_v7(unix_time_ms(), self.rng.borrow_mut().random());
            request = request.header("idempotency-key", key);
            request = request.header("wagtailshunt-attempt", "1");
        }
        request
            .body(client::body(self.body.clone()))
            .expect("the request settings are valid")
    }

    /// Records the outcome of a call, with the latency since `from`.
    fn record(&self, from: time::Instant, outcome: CallOutcome) {
        if from >= self.measure_from {
            self.sample.borrow_mut().record(outcome, from.elapsed());
        }
    }
}

fn unix_time_ms() -> u64 {
    let elapsed = time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .unwrap_or_default();
    elapsed.as_millis() as u64
}

/// Draws the start times of all calls, relative to the start of the run.
fn draw_start_times(
    config: &Config,
    rate: f64,
    arrivals: Arrivals,
    seed: u64,
) -> Vec<time::Duration> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let end = (config.warm_up + config.duration).as_secs_f64();
    let mut starts = Vec::new();
    let mut at = 0.0;
    while at < end {
        starts.push(time::Duration::from_secs_f64(at));
        at = match arrivals {
            Arrivals::Poisson => at - (1.0 - rng.random::<f64>()).ln() / rate,
            Arrivals::Uniform => starts.len() as f64 / rate,
        };
    }
    starts
}

async fn open_loop(
    run: &rc::Rc<Run>,
    config: &Config,
    starts: &[time::Duration],
    addresses: &[net::SocketAddr],
) {
    let pool = Pool::new(addresses, config.connections);
    let origin = run.measure_from - config.warm_up;
    let mut calls = Vec::with_capacity(starts.len());
    for start in starts {
        let scheduled = origin + *start;
        let wait = scheduled.saturating_duration_since(time::Instant::now());
        if !wait.is_zero() {
            compio::time::sleep(wait).await;
        }
        let (run, pool) = (run.clone(), pool.clone());
        calls.push(compio::runtime::spawn(async move {
            let outcome = with_timeout(run.timeout, pooled_call(&run, &pool)).await;
            run.record(scheduled, outcome);
        }));
    }
    future::join_all(calls).await;
}

async fn pooled_call(run: &Run, pool: &Pool) -> CallOutcome {
    let Ok(mut pooled) = pool.take().await else {
        return CallOutcome::Incomplete;
    };
    let Some(connection) = &mut pooled.connection else {
        return CallOutcome::Incomplete;
    };
    match connection.call(run.request()).await {
        Ok(response) => {
            pooled.release();
            classify(&response)
        }
        Err(_) => CallOutcome::Incomplete,
    }
}

async fn closed_loop(run: rc::Rc<Run>, config: &Config, address: net::SocketAddr) {
    let end = run.measure_from + config.duration;
    let mut connection = None;
    while time::Instant::now() < end {
        let sent = time::Instant::now();
        let outcome = with_timeout(
            run.timeout,
            call_reusing_connection(&run, &mut connection, address),
        )
        .await;
        if matches!(outcome, CallOutcome::Incomplete | CallOutcome::TimedOut) {
            connection = None;
            // Without this pause a server that refuses connections would make the loop spin.
            compio::time::sleep(time::Duration::from_millis(1)).await;
        }
        run.record(sent, outcome);
    }
}

async fn call_reusing_connection(
    run: &Run,
    reused: &mut Option<Connection>,
    address: net::SocketAddr,
) -> CallOutcome {
    if reused
        .as_ref()
        .is_none_or(|connection| !connection.is_usable())
    {
        *reused = Connection::open(address).await.ok();
    }
    let Some(connection) = reused else {
        return CallOutcome::Incomplete;
    };
    match connection.call(run.request()).await {
        Ok(response) => classify(&response),
        Err(_) => CallOutcome::Incomplete,
    }
}

async fn with_timeout(
    limit: time::Duration,
    call: impl Future<Output = CallOutcome>,
) -> CallOutcome {
    compio::time::timeout(limit, call)
        .await
        .unwrap_or(CallOutcome::TimedOut)
}

fn classify(response: &Response<Bytes>) -> CallOutcome {
    let outcome = response
        .headers()
        .get(OUTCOME_HEADER)
        .map(|value| value.as_bytes());
    match outcome {
        Some(b"not-run") => CallOutcome::NotRun,
        Some(b"unknown") => CallOutcome::Unknown,
        _ if response.status().as_u16() < 400 => CallOutcome::Ok,
        _ => CallOutcome::ErrorStatus,
    }
}
