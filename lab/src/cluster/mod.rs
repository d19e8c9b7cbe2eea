//! A complete system in one process on loopback: control VMs and gateways, for fake targets to
//! register at.
//!
//! The demo, the benchmarks and the tests over real sockets use it. All instances run on one compio
//! runtime and communicate over TCP.

mod operator;

use std::{io, net, path, time};

use compio::net::TcpListener;
use wagtailshunt::{control, gateway, settings};
use wagtailshunt_core::types;

use crate::target;

pub use operator::{OperatorClient, OperatorError, request_id};

/// API key of operators in a cluster of this module.
pub const OPERATOR_KEY: &str = "operator-key";

/// API key of targets in a cluster of this module.
pub const TARGET_KEY: &str = "target-key";

const CLUSTER_KEY: &str = "cluster-key";

/// Maximum time to wait for the cluster to reach a state.
const START_TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// Time between two checks of a condition.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// VM id of the first gateway; the ids of control VMs start at 1.
const FIRST_GATEWAY_ID: u32 = 101;

/// Size of a cluster.
#[derive(Clone, Debug)]
pub struct Config {
    /// Folder for the state of the control VMs, with one subfolder each.
    pub data: path::PathBuf,
    /// Number of control VMs.
    pub controls: u32,
    /// Number of gateways.
    pub gateways: u32,
    /// Number of failure domains over which the VMs are spread.
    pub failure_domains: u32,
    /// Time in a planned stop between failing readiness and refusing connections.
    pub readiness_lead: time::Duration,
    /// Time after it in which calls in flight may end.
    pub drain_limit: time::Duration,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            data: path::PathBuf::from("data"),
            controls: 1,
            gateways: 1,
            failure_domains: 3,
            readiness_lead: time::Duration::ZERO,
            drain_limit: time::Duration::from_secs(5),
        }
    }
}

/// Errors of starting a cluster.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A socket could not be opened.
    #[error("socket: {0}")]
    Socket(#[from] io::Error),
    /// A control VM did not start.
    #[error(transparent)]
    Control(#[from] control::StartError),
    /// A gateway did not start.
    #[error(transparent)]
    Gateway(#[from] gateway::StartError),
    /// The cluster did not reach the expected state in time.
    #[error("cluster did not reach the state within 15 s: {0}")]
    Timeout(&'static str),
}

/// A running cluster.
pub struct Cluster {
    cfg: Config,
    /// Settings of each control VM, for a restart.
    control_settings: Vec<settings::Control>,
    gateway_settings: Vec<settings::Gateway>,
    /// Control VMs; `None` for one that is stopped.
    pub controls: Vec<Option<control::Control>>,
    /// Gateways; `None` for one that is stopped.
    pub gateways: Vec<Option<gateway::Gateway>>,
}

impl Cluster {
    /// Starts control VMs and gateways, and waits until all gateways hold a lease.
    ///
    /// # Errors
    ///
    /// Returns an error if an instance does not start or a gateway gets no lease in time.
    pub async fn start(cfg: Config) -> Result<Cluster, Error> {
        let mut cluster = Cluster {
            control_settings: Vec::new(),
            gateway_settings: Vec::new(),
            controls: Vec::new(),
            gateways: Vec::new(),
            cfg,
        };
        cluster.start_controls().await?;
        for number in 0..cluster.cfg.gateways {
            cluster
                .gateway_settings
                .push(cluster.gateway_config(number));
            cluster.gateways.push(None);
            cluster.start_gateway(number as usize).await?;
        }
        cluster
            .wait("a lease on every gateway", Cluster::all_serving)
            .await?;
        Ok(cluster)
    }

    async fn start_controls(&mut self) -> Result<(), Error> {
        let mut listeners = Vec::new();
        let mut peers = std::collections::BTreeMap::new();
        for number in 1..=self.cfg.controls {
            let peer = TcpListener::bind(loopback()).await?;
            let admin = TcpListener::bind(loopback()).await?;
            let addresses = settings::ControlPeer {
                peer: peer.local_addr()?,
                admin: admin.local_addr()?,
            };
            peers.insert(types::VmId(number), addresses);
            listeners.push((peer, admin));
        }
        for (number, (peer, admin)) in (1..).zip(listeners) {
            let vm = types::VmId(number);
            let cfg = settings::Control {
                vm,
                failure_domain: self.failure_domain(number),
                listen: peers[&vm].peer,
                admin: peers[&vm].admin,
                data: self.cfg.data.join(format!("control-{number}")),
                bootstrap: peers.keys().copied().collect(),
                peers: peers.clone(),
                keys: keys(),
                ..settings::Control::default()
            };
            let control = control::Control::start_with(cfg.clone(), peer, admin)?;
            self.control_settings.push(cfg);
            self.controls.push(Some(control));
        }
        Ok(())
    }

    fn gateway_config(&self, number: u32) -> settings::Gateway {
        let control = self
            .control_settings
            .iter()
            .map(|cfg| (cfg.vm, cfg.listen))
            .collect();
        settings::Gateway {
            vm: types::VmId(FIRST_GATEWAY_ID + number),
            failure_domain: self.failure_domain(number),
            listen: loopback(),
            admin: loopback(),
            control,
            keys: keys(),
            readiness_lead_ms: u64::try_from(self.cfg.readiness_lead.as_millis())
                .unwrap_or(u64::MAX),
            drain_limit_ms: u64::try_from(self.cfg.drain_limit.as_millis()).unwrap_or(u64::MAX),
            ..settings::Gateway::default()
        }
    }

    fn failure_domain(&self, number: u32) -> types::FailureDomain {
        types::FailureDomain(format!("fd{}", number % self.cfg.failure_domains.max(1)))
    }

    /// Starts a gateway that is not running. A restarted gateway keeps its addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if the gateway does not start.
    pub async fn start_gateway(&mut self, index: usize) -> Result<(), Error> {
        let cfg = self.gateway_settings[index].clone();
        let started = gateway::Gateway::start(cfg).await?;
        self.gateway_settings[index].listen = started.listen();
        self.gateway_settings[index].admin = started.admin_address();
        self.gateways[index] = Some(started);
        Ok(())
    }

    /// Stops a gateway at once, without a drain.
    pub fn kill_gateway(&mut self, index: usize) {
        if let Some(gateway) = self.gateways[index].take() {
            gateway.abort();
        }
    }

    /// Stops a control VM at once.
    pub fn kill_control(&mut self, index: usize) {
        if let Some(control) = self.controls[index].take() {
            control.abort();
        }
    }

    /// Restarts a control VM from its data folder.
    ///
    /// # Errors
    ///
    /// Returns the last error if the control VM does not start in time.
    pub async fn restart_control(&mut self, index: usize) -> Result<(), Error> {
        let deadline = time::Instant::now() + START_TIMEOUT;
        loop {
            // The stopped instance releases its addresses and the lock of its data folder only when
            // its last task has ended, so the first attempts may fail.
            match control::Control::start(self.control_settings[index].clone()).await {
                Ok(control) => {
                    self.controls[index] = Some(control);
                    return Ok(());
                }
                Err(_) if time::Instant::now() < deadline => {
                    compio::time::sleep(POLL_INTERVAL).await;
                }
                Err(err) => return Err(err.into()),
            }
        }
    }

    /// Returns whether every running gateway holds a lease.
    pub fn all_serving(&self) -> bool {
        self.gateways
            .iter()
            .flatten()
            .all(gateway::Gateway::is_serving)
    }

    /// Returns the index of the control VM that is the leader.
    pub fn leader(&self) -> Option<usize> {
        let leads = |control: &Option<control::Control>| {
            control.as_ref().is_some_and(control::Control::is_leading)
        };
        self.controls.iter().position(leads)
    }

    /// Waits until a condition, described by `what`, holds.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Timeout`] if the condition does not hold in time.
    pub async fn wait(
        &self,
        what: &'static str,
        condition: impl Fn(&Cluster) -> bool,
    ) -> Result<(), Error> {
        let deadline = time::Instant::now() + START_TIMEOUT;
        while !condition(self) {
            if time::Instant::now() >= deadline {
                return Err(Error::Timeout(what));
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Returns a client with the key of operators.
    pub fn operator(&self) -> OperatorClient {
        let controls = self.control_settings.iter().map(|cfg| cfg.admin).collect();
        OperatorClient::new(controls, OPERATOR_KEY)
    }

    /// Returns the announcement settings of a target, with the addresses of all gateways.
    pub fn announce_config(&self) -> target::AnnounceConfig {
        let gateways = self.gateway_settings.iter().map(|cfg| cfg.admin).collect();
        target::AnnounceConfig {
            gateways,
            key: TARGET_KEY.to_owned(),
            ..target::AnnounceConfig::default()
        }
    }

    /// Returns the events of all running instances as JSON lines.
    pub fn events(&self) -> String {
        let controls = self.controls.iter().flatten().map(control::Control::events);
        let gateways = self.gateways.iter().flatten().map(gateway::Gateway::events);
        controls.chain(gateways).collect()
    }
}

fn loopback() -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], 0))
}

fn keys() -> settings::Keys {
    settings::Keys {
        cluster: CLUSTER_KEY.into(),
        target: TARGET_KEY.into(),
        operator: OPERATOR_KEY.into(),
        ..settings::Keys::default()
    }
}
