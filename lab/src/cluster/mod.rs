//! A whole system in one process on loopback: control VMs, gateways and fake targets.
//!
//! It serves the demo, the benches and the tests over real sockets. All parts run on one compio
//! runtime, as separate instances that talk over TCP.

mod operator;

use std::{io, net, path, time};

use compio::net::TcpListener;
use wagtailshunt::{control, gateway, settings};
use wagtailshunt_core::types;

use crate::target;

pub use operator::{Operator, OperatorError, request_id};

/// Key of operators in a cluster of this module.
pub const OPERATOR_KEY: &str = "operator-key";

/// Key of targets in a cluster of this module.
pub const TARGET_KEY: &str = "target-key";

const CLUSTER_KEY: &str = "cluster-key";

/// Longest wait for the cluster to serve.
const START_LIMIT: time::Duration = time::Duration::from_secs(15);

/// Pause between two looks at a condition.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// First VM id of gateways; control VMs count from 1.
const FIRST_GATEWAY: u32 = 101;

/// Size of a cluster.
#[derive(Clone, Debug)]
pub struct Config {
    /// Folder for the state of the control VMs; each gets a subfolder.
    pub data: path::PathBuf,
    /// Number of control VMs.
    pub controls: u32,
    /// Number of gateways.
    pub gateways: u32,
    /// Number of failure domains over which VMs are spread.
    pub failure_domains: u32,
    /// Time for which readiness fails before connections are refused in a planned stop.
    pub readiness_lead: time::Duration,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            data: path::PathBuf::from("data"),
            controls: 1,
            gateways: 1,
            failure_domains: 3,
            readiness_lead: time::Duration::ZERO,
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
    /// The cluster did not come to the expected state in time.
    #[error("{0} not reached in time")]
    Timeout(&'static str),
}

/// A running cluster.
pub struct Cluster {
    cfg: Config,
    /// Settings of each control VM, to start it again.
    control_settings: Vec<settings::Control>,
    gateway_settings: Vec<settings::Gateway>,
    /// Control VMs; `None` while one is ended.
    pub controls: Vec<Option<control::Control>>,
    /// Gateways; `None` while one is ended.
    pub gateways: Vec<Option<gateway::Gateway>>,
}

impl Cluster {
    /// Starts control VMs and gateways and waits until all gateways hold a lease.
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
            vm: types::VmId(FIRST_GATEWAY + number),
            failure_domain: self.failure_domain(number),
            listen: loopback(),
            admin: loopback(),
            control,
            keys: keys(),
            readiness_lead_ms: u64::try_from(self.cfg.readiness_lead.as_millis())
                .unwrap_or(u64::MAX),
            drain_limit_ms: 5_000,
            ..settings::Gateway::default()
        }
    }

    fn failure_domain(&self, number: u32) -> types::FailureDomain {
        types::FailureDomain(format!("fd{}", number % self.cfg.failure_domains.max(1)))
    }

    /// Starts a gateway that is not running. It keeps its addresses after the first start.
    pub async fn start_gateway(&mut self, index: usize) -> Result<(), Error> {
        let cfg = self.gateway_settings[index].clone();
        let started = gateway::Gateway::start(cfg).await?;
        self.gateway_settings[index].listen = started.listen();
        self.gateway_settings[index].admin = started.admin_address();
        self.gateways[index] = Some(started);
        Ok(())
    }

    /// Ends a gateway at once.
    pub fn kill_gateway(&mut self, index: usize) {
        if let Some(gateway) = self.gateways[index].take() {
            gateway.abort();
        }
    }

    /// Ends a control VM at once.
    pub fn kill_control(&mut self, index: usize) {
        if let Some(control) = self.controls[index].take() {
            control.abort();
        }
    }

    /// Starts a control VM again from its data folder.
    pub async fn restart_control(&mut self, index: usize) -> Result<(), Error> {
        let limit = time::Instant::now() + START_LIMIT;
        loop {
            // The ended instance frees its addresses and its lock when its last task has ended.
            match control::Control::start(self.control_settings[index].clone()).await {
                Ok(control) => {
                    self.controls[index] = Some(control);
                    return Ok(());
                }
                Err(_) if time::Instant::now() < limit => {
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

    /// Returns the index of the control VM that leads.
    pub fn leader(&self) -> Option<usize> {
        let leads = |control: &Option<control::Control>| {
            control.as_ref().is_some_and(control::Control::is_leading)
        };
        self.controls.iter().position(leads)
    }

    /// Waits until a condition holds.
    pub async fn wait(
        &self,
        what: &'static str,
        condition: impl Fn(&Cluster) -> bool,
    ) -> Result<(), Error> {
        let limit = time::Instant::now() + START_LIMIT;
        while !condition(self) {
            if time::Instant::now() >= limit {
                return Err(Error::Timeout(what));
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Returns an operator's client.
    pub fn operator(&self) -> Operator {
        let controls = self.control_settings.iter().map(|cfg| cfg.admin).collect();
        Operator::new(controls, OPERATOR_KEY)
    }

    /// Returns the settings with which a target announces itself to all gateways.
    pub fn announce(&self) -> target::AnnounceConfig {
        let gateways = self.gateway_settings.iter().map(|cfg| cfg.admin).collect();
        target::AnnounceConfig {
            gateways,
            key: TARGET_KEY.to_owned(),
            ..target::AnnounceConfig::default()
        }
    }

    /// Returns the events of all running processes as JSON lines.
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
