//! The process of an entry VM, a load balancer node.
//!
//! It forwards calls of callers to targets, and accepts announcements of targets and configuration
//! changes of operators. The configuration and the deregistrations of targets are replicated by
//! Raft. VMs with disks are the voters of the group; where no VM has a disk, some VMs vote in
//! memory. [`Settings`] come from the adapter of the platform, routes and services from the
//! replicated configuration.

mod allowance;
pub mod calls;
mod cold_targets;
mod departures;
mod disk_space;
pub mod evacuation;
pub mod explain;
mod key_lease;
mod leader_sync;
mod members;
mod memory;
mod metrics;
pub mod operators;
mod path;
mod peers;
mod replica;
mod settings;
mod state;
mod state_transfer;
mod store;
pub mod targets;

use std::{net, rc, time};

use hyper::{Request, Response, StatusCode, body::Incoming};
use wagtailshunt_core::{drain, event, memory as core_memory, types};

pub use settings::{AllowanceBound, Limits, Protocol, Settings};
pub use state::State;

use crate::{clock, daemon, disk, events, http, transport};

/// Cluster name, also used as the key between its processes. The platform provides no secret; the
/// ports between processes are reachable only from VMs of the system.
const CLUSTER_NAME: &str = "entry";

/// Interval at which timers run; election timeouts that expire in between are handled at their
/// time.
const TIMER_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Timer ticks between two runs of the slow tasks: one second.
const TICKS_PER_SLOW_TICK: u32 = 10;

/// Errors that prevent an entry VM from starting.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address cannot be bound.
    #[error(transparent)]
    Bind(#[from] daemon::BindError),
    /// The data folder cannot be used.
    #[error(transparent)]
    Disk(#[from] disk::Error),
    /// The id of the VM cannot be read or stored.
    #[error("cannot read or store the id of the VM in the data folder: {0}")]
    Id(#[from] store::Error),
}

/// The running process of an entry VM.
pub struct EntryProcess {
    state: rc::Rc<State>,
    /// Shutdown of the listeners for calls, from callers and from other VMs.
    caller_shutdown: http::Shutdown,
    /// Shutdown of all other listeners.
    internal_shutdown: http::Shutdown,
    /// Holds the lock of the data folder while the process runs.
    _folder: Option<disk::DataFolder>,
}

/// Handler of requests from operators and targets, implemented by the adapter of a platform.
pub trait Api: Clone + 'static {
    /// Handles a request and returns the response.
    fn handle(
        &self,
        state: rc::Rc<State>,
        req: Request<Incoming>,
    ) -> impl Future<Output = Response<http::Body>>;
}

impl EntryProcess {
    /// Starts the process: binds its addresses, recovers its state and begins to serve.
    ///
    /// # Errors
    ///
    /// Returns an error when an address, the data folder or the id of the VM cannot be used.
    pub async fn start(cfg: Settings, api: impl Api) -> Result<EntryProcess, StartError> {
        let clock = clock::Clock::default();
        let folder = cfg.data_folder.as_ref();
        let folder = folder.map(disk::DataFolder::open).transpose()?;
        let vm = match &cfg.data_folder {
            Some(path) => store::vm_id(path)?,
            None => store::random_id(),
        };
        let events = events::EventLog::new(clock, vm, types::Role::Gateway);
        let identity = identity(&cfg, vm, &events, clock);
        let state = rc::Rc::new(State::new(cfg, vm, clock, events, identity));
        let entry = EntryProcess {
            state: state.clone(),
            caller_shutdown: http::Shutdown::default(),
            internal_shutdown: http::Shutdown::default(),
            _folder: None,
        };
        // The state is loaded before the listeners are bound. With many VMs that start at the same
        // time, their connections would otherwise delay it.
        store::load_roster(&state);
        store::load_configuration(&state);
        store::load_targets(&state);
        if let Some(folder) = &folder {
            let (store, recovered) = folder.open_group(replica::GROUP, None)?;
            replica::open(&state, store, recovered);
        } else {
            replica::open_in_memory(&state);
        }
        entry.bind(api).await?;
        peers::dial_missing(&state);
        compio::runtime::spawn(run_timers(state.clone())).detach();
        compio::runtime::spawn(calls::run_probes(state.clone())).detach();
        compio::runtime::spawn(disk_space::run(state.clone())).detach();
        state.events.emit(
            event::Id::ProcessStarted,
            &[
                ("name", &state.cfg.vm_name),
                ("domain", &state.cfg.failure_domain),
                ("callers", &state.cfg.caller_address),
                ("incarnation", &state.incarnation),
                ("disk", &folder.is_some()),
                ("first_start", &state.cfg.bootstrap),
            ],
        );
        Ok(EntryProcess {
            _folder: folder,
            ..entry
        })
    }

    async fn bind(&self, api: impl Api) -> Result<(), StartError> {
        let state = &self.state;
        let limits = http::Limits::default();
        let readiness = daemon::bind(state.cfg.readiness_address).await?;
        let shared = state.clone();
        let handler = move |_: Request<Incoming>, _: net::SocketAddr| {
            let ready = shared.is_ready();
            async move { readiness_response(ready) }
        };
        let serve = http::serve(readiness, limits, self.internal_shutdown.clone(), handler);
        daemon::spawn_listener(&state.events, "readiness", serve);

        let callers = daemon::bind(state.cfg.caller_address).await?;
        let shared = state.clone();
        let handler = move |req, peer| calls::handle(shared.clone(), req, peer);
        let shared = state.clone();
        let early = move |req: &Request<http::Body>| calls::may_start_early(&shared, req);
        let stop = self.caller_shutdown.clone();
        let caller_limits = caller_limits(&state.cfg.limits);
        let memory = state.memory.clone();
        let serve = http::serve_pipelined(callers, caller_limits, stop, memory, early, handler);
        daemon::spawn_listener(&state.events, "callers", serve);

        if let Some(address) = state.cfg.relay_address {
            let relayed = daemon::bind(address).await?;
            let shared = state.clone();
            let handler = move |req, peer| calls::handle_relayed(shared.clone(), req, peer);
            // With the same shutdown, the limit is for the connections of both listeners together.
            let stop = self.caller_shutdown.clone();
            let (memory, early) = (state.memory.clone(), |_: &Request<http::Body>| false);
            let serve = http::serve_pipelined(relayed, caller_limits, stop, memory, early, handler);
            daemon::spawn_listener(&state.events, "relayed calls", serve);
        }

        let operators = daemon::bind(state.cfg.operator_address).await?;
        let shared = state.clone();
        let handler = move |req, _| {
            let (api, state) = (api.clone(), shared.clone());
            async move { api.handle(state, req).await }
        };
        let operator_limits = http::Limits {
            connections: core_memory::operator_connections(state.cfg.limits.max_open_files),
            ..limits
        };
        let serve = http::serve(
            operators,
            operator_limits,
            self.internal_shutdown.clone(),
            handler,
        );
        daemon::spawn_listener(&state.events, "operators", serve);

        let peers = daemon::bind(state.cfg.peer_address).await?;
        let opened = state.clone();
        let frames = state.clone();
        let listen = transport::listen(
            state.identity.clone(),
            peers,
            self.internal_shutdown.clone(),
            move |peer: &transport::Peer, handle| peers::connection_opened(&opened, peer, handle),
            move |peer: &transport::Peer, envelope| peers::frame_received(&frames, peer, envelope),
        );
        daemon::spawn_listener(&state.events, "peers", listen);

        if let Some(address) = state.cfg.metrics_address {
            let metrics = daemon::bind(address).await?;
            let shared = state.clone();
            let handler = move |req: Request<Incoming>, _: net::SocketAddr| {
                let explanation = explain::answer(&shared, &req);
                let metrics = || http::plain(StatusCode::OK, shared.metrics.text());
                let response = explanation.unwrap_or_else(metrics);
                async move { response }
            };
            let serve = http::serve(metrics, limits, self.internal_shutdown.clone(), handler);
            daemon::spawn_listener(&state.events, "metrics", serve);
        }
        Ok(())
    }

    /// Performs a graceful stop: hands over the leadership, closes the listener for callers and
    /// waits for calls in flight. Returns whether all of them ended in time.
    pub async fn stop(&self) -> bool {
        let state = &self.state;
        let started = state.clock.now();
        state.begin_stop();
        state.events.emit(event::Id::ProcessStopping, &[]);
        replica::transfer_leadership(state, started);
        let limits = &state.cfg.limits;
        let longest = limits.stop_timeout.saturating_sub(drain::RESPONSE_RESERVE);
        compio::time::sleep(limits.listen_after_stop.min(longest)).await;
        self.caller_shutdown.start();
        let time_left = (started + limits.stop_timeout).since(state.clock.now());
        let drained = compio::time::timeout(time_left, self.caller_shutdown.drained()).await;
        let drained = drained.is_ok();
        self.internal_shutdown.start();
        state.stop();
        state
            .events
            .emit(event::Id::ProcessStopped, &[("drained", &drained)]);
        drained
    }

    /// Stops at once without draining, as a crash would.
    pub fn abort(&self) {
        self.state.stop();
        self.caller_shutdown.start_immediately();
        self.internal_shutdown.start_immediately();
    }

    /// Returns the state shared by the tasks of the process.
    pub fn state(&self) -> &rc::Rc<State> {
        &self.state
    }
}

impl daemon::Daemon for EntryProcess {
    async fn stop(&self) -> bool {
        EntryProcess::stop(self).await
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
        cluster: CLUSTER_NAME.to_owned(),
        vm,
        incarnation: types::Incarnation(clock.wall().0),
        role: types::Role::Gateway,
        failure_domain: cfg.failure_domain.clone(),
        schema: 0,
        key: http::Key::from(CLUSTER_NAME),
        events: events.clone(),
    }
}

/// Idle timeout of caller connections. The configured one may not be known at the start; this is
/// longer than any that operators set, so that no connection is closed while its caller still uses
/// it.
const CALLER_IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(60);

fn caller_limits(limits: &Limits) -> http::Limits {
    http::Limits {
        header_timeout: CALLER_IDLE_TIMEOUT,
        connections: core_memory::caller_connections(limits.max_open_files),
        ..http::Limits::default()
    }
}

fn readiness_response(ready: bool) -> Response<http::Body> {
    match ready {
        true => http::plain(StatusCode::OK, "ready"),
        false => http::plain(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
    }
}

async fn run_timers(state: rc::Rc<State>) {
    let mut ticks = 0;
    let mut memory_watch = memory::Watch::default();
    while !state.stopped() {
        // Election timeouts are handled at their exact time: if all VMs checked them at the same
        // ticks, several would become candidates at once and split the vote.
        let next_tick = state.clock.now() + TIMER_INTERVAL;
        while let Some(due) = replica::next_deadline(&state).filter(|due| *due < next_tick) {
            state.clock.sleep_until(due).await;
            replica::tick(&state);
        }
        state.clock.sleep_until(next_tick).await;
        ticks += 1;
        replica::tick(&state);
        members::tick(&state, ticks % TICKS_PER_SLOW_TICK == 0);
        key_lease::update(&state);
        store::save_roster(&state);
        store::save_configuration(&state);
        path::check(&state);
        allowance::tick(&state, ticks % TICKS_PER_SLOW_TICK == 0);
        departures::report(&state);
        if ticks % TICKS_PER_SLOW_TICK == 0 {
            store::save_targets(&state);
            cold_targets::update_metrics(&state);
            memory_watch.tick(&state);
            state.pool.remove_expired(state.clock.now());
            state.relay_pool.remove_expired(state.clock.now());
        }
    }
}
