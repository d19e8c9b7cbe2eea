//! An entry VM: one process that forwards calls, takes announcements of targets and orders of
//! operators, and votes on the replicated state if its VM has a disk or no VM has one.

pub mod calls;
mod feed;
mod members;
mod metrics;
pub mod orders;
mod peers;
mod replica;
mod settings;
mod state;
mod store;
pub mod targets;

use std::{net, rc, time};

use hyper::{Request, Response, StatusCode, body::Incoming};
use wagtailshunt_core::{event, types};

pub use settings::{Dialect, Limits, Settings};
pub use state::State;

use crate::{clock, daemon, disk, events, http, transport};

/// Name of the cluster and key between its processes. The platform hands out no secret; the ports
/// between processes are reachable from VMs of the system only.
const CLUSTER: &str = "entry";

/// Interval of the timers of the replicated log.
const TICK: time::Duration = time::Duration::from_millis(25);

/// Ticks between two runs of slower duties: one second.
const SLOW_TICKS: u32 = 40;

/// Connections of callers open at once; the platform's VMs allow some thousand descriptors.
const MAX_CALLERS: usize = 3000;

/// Errors that keep an entry VM from starting.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address cannot be bound.
    #[error(transparent)]
    Bind(#[from] daemon::BindError),
    /// The data folder cannot be used.
    #[error(transparent)]
    Disk(#[from] disk::Error),
    /// The id of the VM cannot be read or stored.
    #[error("the id of the VM cannot be kept in the data folder: {0}")]
    Id(#[from] store::Error),
}

/// A running entry VM.
pub struct Entry {
    state: rc::Rc<State>,
    callers: http::Shutdown,
    others: http::Shutdown,
    _folder: Option<disk::DataFolder>,
}

/// Answers a request of an operator or target; the adapter of a platform provides it.
pub trait Api: Clone + 'static {
    /// Answers a request.
    fn handle(
        &self,
        state: rc::Rc<State>,
        req: Request<Incoming>,
    ) -> impl Future<Output = Response<http::Body>>;
}

impl Entry {
    /// Starts the process: recovers its state, binds its addresses and begins to serve.
    ///
    /// # Errors
    ///
    /// See [`StartError`].
    pub async fn start(cfg: Settings, api: impl Api) -> Result<Entry, StartError> {
        let clock = clock::Clock::default();
        let folder = cfg.data_folder.as_ref();
        let folder = folder.map(disk::DataFolder::open).transpose()?;
        let vm = match &cfg.data_folder {
            Some(path) => store::vm_id(path)?,
            None => store::draw_id(),
        };
        let events = events::EventLog::new(clock, vm, types::Role::Gateway);
        let identity = identity(&cfg, vm, &events, clock);
        let state = rc::Rc::new(State::new(cfg, vm, clock, events, identity));
        let entry = Entry {
            state: state.clone(),
            callers: http::Shutdown::default(),
            others: http::Shutdown::default(),
            _folder: None,
        };
        entry.bind(api).await?;
        store::load_roster(&state);
        store::load_configuration(&state);
        store::load_targets(&state);
        if let Some(folder) = &folder {
            let (store, recovered) = folder.group(replica::GROUP, None)?;
            replica::open(&state, store, recovered);
        } else {
            replica::open_volatile(&state);
        }
        peers::dial_missing(&state);
        compio::runtime::spawn(run_timers(state.clone())).detach();
        compio::runtime::spawn(calls::run_probes(state.clone())).detach();
        state.events.emit(
            event::Id::ProcessStarted,
            &[
                ("name", &state.cfg.vm_name),
                ("domain", &state.cfg.failure_domain),
                ("callers", &state.cfg.callers),
                ("incarnation", &state.incarnation),
                ("disk", &folder.is_some()),
                ("first_start", &state.cfg.first_start),
            ],
        );
        Ok(Entry {
            _folder: folder,
            ..entry
        })
    }

    async fn bind(&self, api: impl Api) -> Result<(), StartError> {
        let state = &self.state;
        let peers = daemon::bind(state.cfg.peers).await?;
        let opened = state.clone();
        let frames = state.clone();
        let listen = transport::listen(
            state.identity.clone(),
            peers,
            self.others.clone(),
            move |peer: &transport::Peer, handle| peers::opened(&opened, peer, handle),
            move |peer: &transport::Peer, envelope| peers::received(&frames, peer, envelope),
        );
        daemon::spawn_listener(&state.events, "peers", listen);

        let operators = daemon::bind(state.cfg.operators).await?;
        let shared = state.clone();
        let handler = move |req, _| {
            let (api, state) = (api.clone(), shared.clone());
            async move { api.handle(state, req).await }
        };
        let limits = http::Limits::default();
        let serve = http::serve(operators, limits, self.others.clone(), handler);
        daemon::spawn_listener(&state.events, "operators", serve);

        let readiness = daemon::bind(state.cfg.readiness).await?;
        let shared = state.clone();
        let handler = move |_: Request<Incoming>, _: net::SocketAddr| {
            let ready = shared.is_ready();
            async move { readiness_answer(ready) }
        };
        let serve = http::serve(readiness, limits, self.others.clone(), handler);
        daemon::spawn_listener(&state.events, "readiness", serve);

        let callers = daemon::bind(state.cfg.callers).await?;
        let shared = state.clone();
        let handler = move |req, peer| calls::handle(shared.clone(), req, peer);
        let shared = state.clone();
        let early = move |req: &Request<http::Body>| calls::may_start_early(&shared, req);
        let stop = self.callers.clone();
        let serve = http::serve_pipelined(callers, caller_limits(), stop, early, handler);
        daemon::spawn_listener(&state.events, "callers", serve);

        if let Some(address) = state.cfg.metrics {
            let metrics = daemon::bind(address).await?;
            let shared = state.clone();
            let handler = move |_: Request<Incoming>, _: net::SocketAddr| {
                let text = shared.metrics.text();
                async move { http::plain(StatusCode::OK, text) }
            };
            let serve = http::serve(metrics, limits, self.others.clone(), handler);
            daemon::spawn_listener(&state.events, "metrics", serve);
        }
        Ok(())
    }

    /// Performs a planned stop: no new connections, calls in flight end.
    pub async fn stop(&self) -> bool {
        let state = &self.state;
        let began = state.clock.now();
        state.begin_stop();
        state.events.emit(event::Id::ProcessStopping, &[]);
        replica::hand_over(state, began);
        let limits = &state.cfg.limits;
        compio::time::sleep(limits.listen_after_stop).await;
        self.callers.start();
        let left = (began + limits.stop_limit).since(state.clock.now());
        let drained = compio::time::timeout(left, self.callers.drained()).await;
        let drained = drained.is_ok();
        self.others.start();
        state.stop();
        state
            .events
            .emit(event::Id::ProcessStopped, &[("drained", &drained)]);
        drained
    }

    /// Ends at once, as a crash would.
    pub fn abort(&self) {
        self.state.stop();
        self.callers.start();
        self.others.start();
    }

    /// Returns the state.
    pub fn state(&self) -> &rc::Rc<State> {
        &self.state
    }
}

impl daemon::Daemon for Entry {
    async fn stop(&self) -> bool {
        Entry::stop(self).await
    }

    fn failed(&self) -> bool {
        self.state.failed()
    }

    fn drained_by_record(&self) -> bool {
        false
    }
}

fn identity(
    cfg: &Settings,
    vm: types::VmId,
    events: &events::EventLog,
    clock: clock::Clock,
) -> transport::Identity {
    transport::Identity {
        cluster: CLUSTER.to_owned(),
        vm,
        incarnation: types::Incarnation(clock.wall().0),
        role: types::Role::Gateway,
        failure_domain: cfg.failure_domain.clone(),
        schema: 0,
        key: http::Key::from(CLUSTER),
        events: events.clone(),
    }
}

/// The idle timeout of callers is part of the configuration, which may not be known at the start; this
/// is above every one that operators set, so that a connection isn't closed under a caller.
const CALLER_IDLE: time::Duration = time::Duration::from_secs(60);

fn caller_limits() -> http::Limits {
    http::Limits {
        header_timeout: CALLER_IDLE,
        connections: MAX_CALLERS,
        ..http::Limits::default()
    }
}

fn readiness_answer(ready: bool) -> Response<http::Body> {
    match ready {
        true => http::plain(StatusCode::OK, "ready"),
        false => http::plain(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
    }
}

async fn run_timers(state: rc::Rc<State>) {
    let mut ticks = 0;
    while !state.stopped() {
        // Election timeouts are kept exactly: VMs that look at them on the same beat would run against
        // each other.
        let beat = state.clock.now() + TICK;
        while let Some(due) = replica::next_deadline(&state).filter(|due| *due < beat) {
            state.clock.sleep_until(due).await;
            replica::tick(&state);
        }
        state.clock.sleep_until(beat).await;
        ticks += 1;
        replica::tick(&state);
        if ticks % 4 == 0 {
            members::tick(&state, ticks % SLOW_TICKS == 0);
            store::save_roster(&state);
            store::save_configuration(&state);
        }
        if ticks % SLOW_TICKS == 0 {
            store::save_targets(&state);
            state.pool.sweep(state.clock.now());
        }
    }
}
