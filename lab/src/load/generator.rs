//! Starts calls and records how they end.

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
use super::sample::Ending;
use super::{Arrivals, Config, Mode, Report, RequestSpec, Row, Sample};

const OUTCOME_HEADER: &str = "wagtailshunt-outcome";

/// A way to the targets.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name in the report, such as `direct` or `gateway`.
    pub name: String,
    /// Addresses that connections are opened to, in turn.
    pub addresses: Vec<net::SocketAddr>,
}

/// Measures all modes over all routes on the current compio runtime.
///
/// The routes alternate within each repetition, so that a disturbance of the machine meets all of
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
            let starts = starts(config, rate_per_s, arrivals, seed);
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
    /// Calls that start before this time are not counted.
    count_from: time::Instant,
    timeout: time::Duration,
}

impl Run {
    fn new(config: &Config, seed: u64) -> Run {
        Run {
            request: config.request.clone(),
            body: vec![b'x'; config.request.body_bytes].into(),
            rng: cell::RefCell::new(SmallRng::seed_from_u64(seed)),
            sample: cell::RefCell::new(Sample::new(config.duration)),
            count_from: time::Instant::now() + config.warm_up,
            timeout: config.timeout,
        }
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let mut request = Request::builder()
            .method(self.request.method.as_str())
            .uri(&self.request.path)
            .header(header::HOST, &self.request.host);
        if self.request.keyed {
            let key = ids::uuid_v7(wall_millis(), self.rng.borrow_mut().random());
            request = request.header("idempotency-key", key);
            request = request.header("wagtailshunt-attempt", "1");
        }
        request
            .body(client::body(self.body.clone()))
            .expect("the request settings are valid")
    }

    /// Records a call whose wait counts from `from`.
    fn record(&self, from: time::Instant, ending: Ending) {
        if from >= self.count_from {
            self.sample.borrow_mut().record(ending, from.elapsed());
        }
    }
}

fn wall_millis() -> u64 {
    let elapsed = time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .unwrap_or_default();
    elapsed.as_millis() as u64
}

/// Draws the starts of all calls, as times since the start of the run.
fn starts(config: &Config, rate: f64, arrivals: Arrivals, seed: u64) -> Vec<time::Duration> {
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
    let origin = run.count_from - config.warm_up;
    let mut calls = Vec::with_capacity(starts.len());
    for start in starts {
        let scheduled = origin + *start;
        let wait = scheduled.saturating_duration_since(time::Instant::now());
        if !wait.is_zero() {
            compio::time::sleep(wait).await;
        }
        let (run, pool) = (run.clone(), pool.clone());
        calls.push(compio::runtime::spawn(async move {
            let ending = timed(run.timeout, pooled_call(&run, &pool)).await;
            run.record(scheduled, ending);
        }));
    }
    future::join_all(calls).await;
}

async fn pooled_call(run: &Run, pool: &Pool) -> Ending {
    let Ok(mut lease) = pool.take().await else {
        return Ending::Broken;
    };
    let Some(connection) = &mut lease.connection else {
        return Ending::Broken;
    };
    match connection.call(run.request()).await {
        Ok(answer) => {
            lease.give_back();
            classify(&answer)
        }
        Err(_) => Ending::Broken,
    }
}

async fn closed_loop(run: rc::Rc<Run>, config: &Config, address: net::SocketAddr) {
    let end = run.count_from + config.duration;
    let mut connection = None;
    while time::Instant::now() < end {
        let sent = time::Instant::now();
        let ending = timed(run.timeout, kept_call(&run, &mut connection, address)).await;
        if matches!(ending, Ending::Broken | Ending::TimedOut) {
            connection = None;
            // A server that refuses connections at once must not keep the generator spinning.
            compio::time::sleep(time::Duration::from_millis(1)).await;
        }
        run.record(sent, ending);
    }
}

async fn kept_call(run: &Run, kept: &mut Option<Connection>, address: net::SocketAddr) -> Ending {
    if kept
        .as_ref()
        .is_none_or(|connection| !connection.is_usable())
    {
        *kept = Connection::open(address).await.ok();
    }
    let Some(connection) = kept else {
        return Ending::Broken;
    };
    match connection.call(run.request()).await {
        Ok(answer) => classify(&answer),
        Err(_) => Ending::Broken,
    }
}

async fn timed(limit: time::Duration, call: impl Future<Output = Ending>) -> Ending {
    compio::time::timeout(limit, call)
        .await
        .unwrap_or(Ending::TimedOut)
}

fn classify(answer: &Response<Bytes>) -> Ending {
    let outcome = answer
        .headers()
        .get(OUTCOME_HEADER)
        .map(|value| value.as_bytes());
    match outcome {
        Some(b"not-run") => Ending::NotRun,
        Some(b"unknown") => Ending::Unknown,
        _ if answer.status().as_u16() < 400 => Ending::Ok,
        _ => Ending::Refused,
    }
}
