//! Control daemon: replicated groups, leases, directory and operators.

mod frames;
mod group;
mod leader;
mod links;
mod machine;
mod metrics;
mod operators;
mod reports;
mod state;

use std::{net, rc, time};

use compio::net::TcpListener;
use wagtailshunt_core::{event, types};

use crate::{clock, daemon, disk, events, http, settings, transport};

/// A started control daemon.
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
    /// The data folder could not be opened or is damaged.
    #[error(transparent)]
    Disk(#[from] disk::Error),
    /// The state of a group cannot be read.
    #[error("group {group}: {reason}")]
    State {
        /// The group.
        group: types::GroupId,
        /// Cause.
        reason: String,
    },
}

impl Control {
    /// Opens the data folder, binds the addresses and starts the tasks on the current runtime.
    pub async fn start(cfg: settings::Control) -> Result<Control, StartError> {
        let peer_listener = daemon::bind(cfg.listen).await?;
        let admin_listener = daemon::bind(cfg.admin).await?;
        Control::start_with(cfg, peer_listener, admin_listener)
    }

    /// Starts with listeners that are already bound, so that peers can learn their ports first.
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

    /// Process-to-process address.
    pub fn listen(&self) -> net::SocketAddr {
        self.listen
    }

    /// Address of the operator interface.
    pub fn admin_address(&self) -> net::SocketAddr {
        self.admin_address
    }

    /// Returns whether this VM leads group 0 and can answer operators.
    pub fn is_leading(&self) -> bool {
        self.state.is_leading()
    }

    /// Returns the events of this process as JSON lines.
    pub fn events(&self) -> String {
        self.state.events.json_lines()
    }

    /// Performs a planned stop: leadership of all groups is handed over, then requests end.
    ///
    /// Returns whether all of it was done within the limit of the settings.
    pub async fn stop(&self) -> bool {
        self.state.events.emit(event::Id::ProcessStopping, &[]);
        let limit = time::Duration::from_millis(self.state.cfg.drain_limit_ms);
        let handed_over = compio::time::timeout(limit, group::hand_over(&self.state))
            .await
            .is_ok();
        self.admin.start();
        let drained = compio::time::timeout(limit, self.admin.drained())
            .await
            .is_ok();
        self.abort();
        let done = handed_over && drained;
        self.state
            .events
            .emit(event::Id::ProcessStopped, &[("drained", &done)]);
        done
    }

    /// Ends at once, as a crash would.
    pub fn abort(&self) {
        self.state.stop();
        self.peers.start();
        self.admin.start();
    }

    fn serve_peers(&self, listener: TcpListener) {
        let state = self.state.clone();
        let opened = state.clone();
        let frames = state.clone();
        let listen = transport::listen(
            state.identity.clone(),
            listener,
            self.peers.clone(),
            move |peer: &transport::Peer, handle| links::opened(&opened, peer, handle),
            move |peer: &transport::Peer, envelope| frames::received(&frames, peer, envelope),
        );
        daemon::spawn_listener(&self.state.events, "peers", listen);
    }

    fn serve_admin(&self, listener: TcpListener) {
        let state = self.state.clone();
        let handler = move |req, peer| operators::handle(state.clone(), req, peer);
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
