//! State of an entry VM, shared by its tasks.

use std::{cell, collections, net, rc, time};

use futures_channel::oneshot;
use rand::{SeedableRng, rngs};
use wagtailshunt_core::{
    containment, fleet, formation, placement, retry, routing, state_machine, time as core_time,
    types,
};

use crate::{
    clock,
    entry::{calls, metrics, peers, replica, settings, store},
    events, transport,
};

/// State of an entry VM.
pub struct State {
    pub(crate) cfg: settings::Settings,
    pub(crate) vm: types::VmId,
    pub(crate) incarnation: types::Incarnation,
    pub(crate) clock: clock::Clock,
    pub(crate) events: events::EventLog,
    pub(crate) identity: rc::Rc<transport::Identity>,
    pub(crate) peers: peers::Peers,
    pub(crate) pool: calls::Pool,
    pub(crate) metrics: metrics::Metrics,
    /// Addresses at which other VMs may be found; they change with the settings file.
    pub(crate) seeds: cell::RefCell<Vec<net::SocketAddr>>,
    /// What is newer in memory than on the disk.
    pub(crate) due: store::Due,
    /// Spreads what must not happen on all VMs at once.
    pub(crate) rng: cell::RefCell<rngs::SmallRng>,
    inner: cell::RefCell<Inner>,
    answers: cell::RefCell<collections::BTreeMap<u64, oneshot::Sender<()>>>,
    next_request: cell::Cell<u64>,
    ready: cell::Cell<bool>,
    /// Calls that arrived before the first configuration.
    unconfigured: cell::RefCell<Vec<oneshot::Sender<()>>>,
    stopping: cell::Cell<bool>,
    stopped: cell::Cell<bool>,
    failed: cell::Cell<bool>,
}

/// The mutable part of the state.
pub struct Inner {
    pub(crate) replica: Option<replica::Replica>,
    pub(crate) machine: state_machine::StateMachine,
    pub(crate) applied: types::LogIndex,
    pub(crate) routes: rc::Rc<routing::Index>,
    pub(crate) directory: fleet::Directory,
    pub(crate) placement: placement::Placement,
    pub(crate) roster: formation::Roster,
    /// Latest leader that this VM heard of.
    pub(crate) leader: Option<(types::Term, types::VmId)>,
    pub(crate) leading_since: Option<core_time::Instant>,
    pub(crate) founded: bool,
    /// Targets that announce themselves here, with the time of the last announcement.
    pub(crate) heard_here: collections::BTreeMap<types::TargetId, core_time::Instant>,
    pub seen_loads:
        collections::BTreeMap<types::TargetId, (core_time::Instant, placement::LoadReport)>,
    pub(crate) budgets: collections::BTreeMap<types::ServiceName, retry::Budget>,
    /// Questions for load that may be asked, by service.
    pub questions: collections::BTreeMap<types::ServiceName, retry::Budget>,
    /// Calls that wait for a target, by service.
    pub lines: collections::BTreeMap<types::ServiceName, placement::Queue>,
    /// Requests that were lost with targets.
    pub(crate) crashes: containment::CrashCounter,
    /// Parts of split routes that are behind their weight, by route.
    pub(crate) splits:
        collections::BTreeMap<String, collections::BTreeMap<types::ServiceName, f64>>,
    pub(crate) work: collections::BTreeMap<String, calls::WorkTime>,
}

impl Inner {
    /// Returns whether this VM leads the group.
    pub fn is_leading(&self) -> bool {
        let replica = self.replica.as_ref();
        replica.is_some_and(replica::Replica::is_leading)
    }

    /// Returns whether a VM votes, as far as this VM knows.
    pub fn is_member(&self, vm: types::VmId) -> bool {
        let replica = self.replica.as_ref();
        replica.is_some_and(|replica| replica.node.members().iter().any(|member| member == vm))
    }

    /// Returns the other VMs of a failure domain.
    pub fn mates(&self, domain: &types::FailureDomain) -> Vec<types::VmId> {
        let vms = self.roster.vms();
        let near = vms.filter(|vm| vm.failure_domain == *domain);
        near.map(|vm| vm.id).collect()
    }
}

impl State {
    /// Creates the state of a process.
    pub fn new(
        cfg: settings::Settings,
        vm: types::VmId,
        clock: clock::Clock,
        events: events::EventLog,
        identity: transport::Identity,
    ) -> State {
        let incarnation = identity.incarnation;
        let rng = rngs::SmallRng::seed_from_u64(incarnation.0 ^ u64::from(vm.0) << 20);
        let placement =
            placement::Placement::new(cfg.placement.clone(), cfg.failure_domain.clone(), rng);
        let now = clock.now();
        let mut roster = formation::Roster::default();
        let own = cfg.vm(vm, incarnation);
        roster.learn(now, &own, formation::Source::Announced);
        State {
            vm,
            incarnation,
            clock,
            events,
            identity: rc::Rc::new(identity),
            peers: peers::Peers::default(),
            pool: calls::Pool::default(),
            metrics: metrics::Metrics::new(),
            seeds: cell::RefCell::new(cfg.seeds.clone()),
            due: store::Due::default(),
            rng: cell::RefCell::new(rngs::SmallRng::seed_from_u64(incarnation.0)),
            inner: cell::RefCell::new(Inner {
                replica: None,
                machine: state_machine::StateMachine::default(),
                applied: types::LogIndex(0),
                routes: rc::Rc::default(),
                directory: fleet::Directory::default(),
                placement,
                roster,
                leader: None,
                leading_since: None,
                founded: false,
                heard_here: collections::BTreeMap::new(),
                seen_loads: collections::BTreeMap::new(),
                budgets: collections::BTreeMap::new(),
                questions: collections::BTreeMap::new(),
                lines: collections::BTreeMap::new(),
                crashes: containment::CrashCounter::default(),
                splits: collections::BTreeMap::new(),
                work: collections::BTreeMap::new(),
            }),
            answers: cell::RefCell::default(),
            next_request: cell::Cell::new(0),
            ready: cell::Cell::new(false),
            unconfigured: cell::RefCell::default(),
            stopping: cell::Cell::new(false),
            stopped: cell::Cell::new(false),
            failed: cell::Cell::new(false),
            cfg,
        }
    }

    /// Runs `f` on the mutable state.
    pub fn with<R>(&self, f: impl FnOnce(&mut Inner) -> R) -> R {
        f(&mut self.inner.borrow_mut())
    }

    /// Applies what can be changed while the process runs; returns the names of what was changed.
    ///
    /// Addresses, failure domain and data folder take a restart.
    pub fn apply_settings(&self, cfg: &settings::Settings) -> String {
        if *self.seeds.borrow() == cfg.seeds {
            return String::new();
        }
        *self.seeds.borrow_mut() = cfg.seeds.clone();
        "seeds".to_owned()
    }

    /// Returns whether this VM leads the group.
    pub fn is_leading(&self) -> bool {
        self.with(|inner| inner.is_leading())
    }

    /// Returns the id of the VM.
    pub fn id(&self) -> types::VmId {
        self.vm
    }

    /// Returns the voters of the group as this VM knows them.
    pub fn voters(&self) -> Vec<types::VmId> {
        self.with(|inner| {
            let replica = inner.replica.as_ref();
            let voters = replica.map(|replica| replica.node.members().voters.iter());
            voters.map_or_else(Vec::new, |voters| voters.copied().collect())
        })
    }

    /// Returns the number of targets' lives that were lost with calls lately.
    pub fn crashes(&self) -> usize {
        self.with(|inner| inner.crashes.incarnations())
    }

    /// Returns whether a target may get calls from here.
    pub fn knows_target(&self, target: &types::TargetId) -> bool {
        self.with(|inner| inner.directory.get(target).is_some())
    }

    /// Returns the events of this process.
    pub fn events(&self) -> &events::EventLog {
        &self.events
    }

    /// Returns the leader when this VM leads or is connected to it.
    pub fn reachable_leader(&self) -> Option<types::VmId> {
        let (_, leader) = self.with(|inner| inner.leader)?;
        let reachable = leader == self.vm || self.peers.is_connected(leader);
        reachable.then_some(leader)
    }

    /// Registers a request to another process; `tx` is used when the answer comes.
    pub fn expect_answer(&self, tx: oneshot::Sender<()>) -> u64 {
        let request = self.next_request.get() + 1;
        self.next_request.set(request);
        self.answers.borrow_mut().insert(request, tx);
        request
    }

    /// Takes the answer to a request.
    pub fn answered(&self, request: u64) {
        if let Some(tx) = self.answers.borrow_mut().remove(&request) {
            // The one who asked may have given up.
            let _ = tx.send(());
        }
    }

    /// Gives up waiting for an answer.
    pub fn forget(&self, request: u64) {
        self.answers.borrow_mut().remove(&request);
    }

    /// Returns whether the process wants new connections.
    pub fn is_ready(&self) -> bool {
        self.ready.get() && !self.stopping.get()
    }

    /// Returns whether everything that outlives the process is on the disk.
    pub fn is_stored(&self) -> bool {
        self.due.is_stored()
    }

    /// Waits until a configuration is known, at most until `limit` is over.
    pub async fn configured_within(&self, limit: time::Duration) {
        let rx = self.wait_for_configuration();
        // Whether there is a configuration now is looked up by the one who waits.
        let _ = compio::time::timeout(limit, rx).await;
    }

    fn wait_for_configuration(&self) -> oneshot::Receiver<()> {
        let (tx, rx) = oneshot::channel();
        let mut waiting = self.unconfigured.borrow_mut();
        waiting.retain(|tx| !tx.is_canceled());
        waiting.push(tx);
        rx
    }

    /// Looks again whether the process can serve.
    pub fn changed(&self) {
        let known = self.with(|inner| inner.machine.table.version().0 > 0);
        if known != self.ready.get() {
            self.ready.set(known);
            for tx in self.unconfigured.take() {
                // The call may have given up.
                let _ = tx.send(());
            }
            let id = wagtailshunt_core::event::Id::ReadinessChanged;
            self.events.emit(id, &[("ready", &known)]);
        }
    }

    /// Notes that a planned stop began.
    pub fn begin_stop(&self) {
        self.stopping.set(true);
    }

    /// Returns whether a planned stop began.
    pub fn stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Ends all tasks.
    pub fn stop(&self) {
        self.stopped.set(true);
        self.peers.stop();
    }

    /// Ends the process because of a fault.
    pub fn fail(&self) {
        self.failed.set(true);
        self.stop();
    }

    /// Returns whether the process is ending.
    pub fn stopped(&self) -> bool {
        self.stopped.get()
    }

    /// Returns whether a fault ends the process.
    pub fn failed(&self) -> bool {
        self.failed.get()
    }
}
