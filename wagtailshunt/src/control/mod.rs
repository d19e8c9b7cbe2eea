//! Control daemon.
//!
//! Runs the Raft groups of this VM: group 0 holds the records, the others hold the ledger shards.
//! The leader of group 0 also grants serving leases to the gateways, keeps the directory of targets
//! and serves the operator interface. Inputs are frames from other control VMs and from gateways,
//! HTTP requests from operators, and timers.

mod frames;
mod group;
mod leader;
mod links;
mod metrics;
mod operators;
mod reports;
mod state;
mod state_machine;

use std::{net, rc, time};

use compio::net::TcpListener;
use wagtailshunt_core::{event, types};

use crate::{clock, daemon, disk, events, http, settings, transport};

/// A running control daemon.
#[derive(Clone)]
pub struct Control {
    state: rc::Rc<state::State>,
    peers: http::Shutdown,
    admin: http::Shutdown,
    listen: net::SocketAddr,
    admin_address: net::SocketAddr,
}

/// Errors that keep the control daemon from starting.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address could not be bound.
    #[error(transparent)]
    Bind(#[from] daemon::BindError),
    /// The data folder could not be opened, or its contents are damaged.
    #[error(transparent)]
    Disk(#[from] disk::Error),
    /// The snapshot of a group could not be restored.
    #[error("group {group}: {reason}")]
    State {
        /// Group whose snapshot could not be restored.
        group: types::GroupId,
        /// Cause.
        reason: String,
    },
}

impl Control {
    /// Opens the data folder, binds the addresses and starts the tasks on the current runtime.
    ///
    /// # Errors
    ///
    /// [`StartError`] when an address cannot be bound or the stored state cannot be recovered.
    pub async fn start(cfg: settings::Control) -> Result<Control, StartError> {
        let peer_listener = daemon::bind(cfg.listen).await?;
        let admin_listener = daemon::bind(cfg.admin).await?;
        Control::start_with(cfg, peer_listener, admin_listener)
    }

    /// Starts the daemon on listeners that are already bound.
    ///
    /// Peers can then be configured with the bound ports before the daemon starts.
    ///
    /// # Errors
    ///
    /// [`StartError`] when the stored state cannot be recovered.
    pub fn start_with(
        cfg: settings::Control,
        peer_listener: TcpListener,
        admin_listener: TcpListener,
    ) -> Result<Control, StartError> {
        let clock = clock::Clock::default();
        let events = events::EventLog::new(clock, cfg.vm, types::Role::Control);
        let listen = peer_listener.local_addr().unwrap_or(cfg.listen);
        let admin_address = admin_listener.local_addr().unwrap_or(cfg.admin);
        let incarnation = types::Incarnation(clock.wall().0);
        let state = state::State::open(cfg, clock, events, incarnation)?;
        let state = rc::Rc::new(state);
        let control = Control {
            state: state.clone(),
            peers: http::Shutdown::default(),
            admin: http::Shutdown::default(),
            listen,
            admin_address,
        };
        links::start(&state);
        group::start(&state);
        control.serve_peers(peer_listener);
        control.serve_admin(admin_listener);
        state.events.emit(
            event::Id::ProcessStarted,
            &[
                ("listen", &listen),
                ("admin", &admin_address),
                ("incarnation", &incarnation),
            ],
        );
        Ok(control)
    }

    /// Returns the address for connections from other processes of the cluster.
    pub fn listen(&self) -> net::SocketAddr {
        self.listen
    }

    /// Returns the address of the operator interface.
    pub fn admin_address(&self) -> net::SocketAddr {
        self.admin_address
    }

    /// Returns whether this VM leads group 0 and serves operator requests.
    pub fn is_leading(&self) -> bool {
        self.state.is_leading()
    }

    /// Returns the events of this process as JSON lines.
    pub fn events(&self) -> String {
        self.state.events.json_lines()
    }

    /// Performs a planned stop: transfers the leadership of all groups, then waits for requests.
    ///
    /// Returns whether both steps finished within the time limit of the settings.
    pub async fn stop(&self) -> bool {
        self.state.events.emit(event::Id::ProcessStopping, &[]);
        let limit = time::Duration::from_millis(self.state.cfg.drain_limit_ms);
        let transferred = compio::time::timeout(limit, group::transfer_leadership(&self.state))
            .await
            .is_ok();
        self.admin.start();
        let drained = compio::time::timeout(limit, self.admin.drained())
            .await
            .is_ok();
        self.abort();
        let done = transferred && drained;
        self.state
            .events
            .emit(event::Id::ProcessStopped, &[("drained", &done)]);
        done
    }

    /// Stops immediately, without transferring leadership or waiting for requests.
    pub fn abort(&self) {
        self.state.stop();
        self.peers.start_immediately();
        self.admin.start_immediately();
    }

    fn serve_peers(&self, listener: TcpListener) {
        let state = self.state.clone();
        let on_open_state = state.clone();
        let on_frame_state = state.clone();
        let listen = transport::listen(
            state.identity.clone(),
            listener,
            self.peers.clone(),
            move |peer: &transport::Peer, handle| {
                links::add_connection(&on_open_state, peer, handle)
            },
            move |peer: &transport::Peer, envelope| {
                frames::handle_frame(&on_frame_state, peer, envelope)
            },
        );
        daemon::spawn_listener(&self.state.events, "peers", listen);
    }

    fn serve_admin(&self, listener: TcpListener) {
        let state = self.state.clone();
        let handler = move |req, peer| operators::handle_request(state.clone(), req, peer);
        let serve = http::serve(
            listener,
            http::Limits::default(),
            self.admin.clone(),
            handler,
        );
        daemon::spawn_listener(&self.state.events, "admin", serve);
    }
}

impl daemon::Daemon for Control {
    async fn stop(&self) -> bool {
        Control::stop(self).await
    }

    fn failed(&self) -> bool {
        self.state.stopped()
    }

    fn drained_by_record(&self) -> bool {
        reports::is_drained(&self.state)
    }
}
