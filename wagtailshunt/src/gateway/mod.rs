//! Gateway daemon: the reverse proxy between callers and targets.
//!
//! A gateway serves calls only while the leader of the control VMs grants it a lease. Routing
//! records and the directory of targets come from that leader; targets announce themselves on the
//! admin address.

mod admin;
mod announce;
mod attempt;
mod call;
mod control_link;
mod headers;
mod isolation;
mod keyed;
mod metrics;
mod refusal;
mod response;
mod service;
mod state;
mod upstream;

use std::{net, rc, time};

use compio::net::TcpListener;
use wagtailshunt_core::{event, types};

use crate::{clock, daemon, events, http, settings};

/// A running gateway process.
#[derive(Clone)]
pub struct Gateway {
    state: rc::Rc<state::State>,
    caller_shutdown: http::Shutdown,
    admin_shutdown: http::Shutdown,
    listen: net::SocketAddr,
    admin_address: net::SocketAddr,
}

/// Errors that prevent the gateway from starting.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A listening address could not be bound.
    #[error(transparent)]
    Bind(#[from] daemon::BindError),
}

impl Gateway {
    /// Binds the addresses and starts the tasks on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn start(cfg: settings::Gateway) -> Result<Gateway, StartError> {
        let clock = clock::Clock::default();
        let events = events::EventLog::new(clock, cfg.vm, types::Role::Gateway);
        let callers_listener = daemon::bind(cfg.listen).await?;
        let admin_listener = daemon::bind(cfg.admin).await?;
        let listen = callers_listener.local_addr().unwrap_or(cfg.listen);
        let admin_address = admin_listener.local_addr().unwrap_or(cfg.admin);
        let limits = http::Limits {
            connections: cfg.max_connections,
            header_bytes: cfg.max_header_bytes,
            ..http::Limits::default()
        };
        let incarnation = types::Incarnation(clock.wall().0);
        let state = rc::Rc::new(state::State::new(cfg, clock, events, incarnation));
        let gateway = Gateway {
            state: state.clone(),
            caller_shutdown: http::Shutdown::default(),
            admin_shutdown: http::Shutdown::default(),
            listen,
            admin_address,
        };
        control_link::start(&state);
        state::start_timer(&state);
        gateway.serve_callers(callers_listener, limits);
        gateway.serve_admin(admin_listener);
        state.events.emit(
            event::Id::ProcessStarted,
            &[
                ("listen", &listen),
                ("admin", &admin_address),
                ("incarnation", &incarnation),
            ],
        );
        Ok(gateway)
    }

    /// Returns the address that serves callers.
    pub fn listen(&self) -> net::SocketAddr {
        self.listen
    }

    /// Returns the address that serves health, metrics, status and announcements.
    pub fn admin_address(&self) -> net::SocketAddr {
        self.admin_address
    }

    /// Returns whether new calls are served.
    pub fn is_serving(&self) -> bool {
        self.state.is_serving()
    }

    /// Returns the event log of this process as JSON lines.
    pub fn events(&self) -> String {
        self.state.events.json_lines()
    }

    /// Performs a graceful shutdown: fails readiness, drains calls in flight, then releases the
    /// lease.
    ///
    /// Returns whether all calls ended within `drain_limit_ms` of the settings.
    pub async fn stop(&self) -> bool {
        let state = &self.state;
        state.events.emit(event::Id::ProcessStopping, &[]);
        state.start_draining();
        // The load balancer in front of the gateway sends new calls until its readiness check has
        // failed, so they are still served for this time.
        compio::time::sleep(time::Duration::from_millis(state.cfg.readiness_lead_ms)).await;
        self.caller_shutdown.start();
        let limit = time::Duration::from_millis(state.cfg.drain_limit_ms);
        let drained = compio::time::timeout(limit, self.caller_shutdown.drained())
            .await
            .is_ok();
        state.release_lease().await;
        self.admin_shutdown.start();
        state
            .events
            .emit(event::Id::ProcessStopped, &[("drained", &drained)]);
        drained
    }

    /// Stops without draining, as a crash does. Dropping the runtime closes the connections.
    pub fn abort(&self) {
        self.caller_shutdown.start_immediately();
        self.admin_shutdown.start_immediately();
        self.state.stop_links();
    }

    fn serve_callers(&self, listener: TcpListener, limits: http::Limits) {
        let state = self.state.clone();
        let handler = move |req, peer| call::handle(state.clone(), req, peer);
        let serve = http::serve(listener, limits, self.caller_shutdown.clone(), handler);
        daemon::spawn_listener(&self.state.events, "callers", serve);
    }

    fn serve_admin(&self, listener: TcpListener) {
        let state = self.state.clone();
        let handler = move |req, peer| admin::handle(state.clone(), req, peer);
        let serve = http::serve(
            listener,
            http::Limits::default(),
            self.admin_shutdown.clone(),
            handler,
        );
        daemon::spawn_listener(&self.state.events, "admin", serve);
    }
}

impl daemon::Daemon for Gateway {
    async fn stop(&self) -> bool {
        Gateway::stop(self).await
    }

    fn failed(&self) -> bool {
        self.state.links.is_stopped()
    }

    fn drained_by_record(&self) -> bool {
        self.state
            .with(|inner| inner.table.drains_vm(self.state.cfg.vm))
    }
}
