//! State of an entry VM that its tasks share: connections, replicated state, known VMs and targets,
//! budgets and queues.

use std::{cell, collections, net, rc, time};

use futures_channel::oneshot;
use rand::{SeedableRng, rngs};
use wagtailshunt_core::{
    catch_up, containment, drain, fleet, formation, memory, placement, reach, relay, replication,
    retry, routing, shedding, state_machine, time as core_time, types, warmup,
};
use wagtailshunt_wire::generated;

use crate::{
    clock,
    entry::{allowance, calls, departures, key_lease, metrics, peers, replica, settings, store},
    events, http, transport,
};

/// State of an entry VM, shared by its tasks.
pub struct State {
    pub(crate) cfg: settings::Settings,
    pub(crate) vm: types::VmId,
    pub(crate) incarnation: types::Incarnation,
    pub(crate) clock: clock::Clock,
    pub(crate) events: events::EventLog,
    pub(crate) identity: rc::Rc<transport::Identity>,
    pub(crate) peers: peers::Peers,
    /// Idle connections to incarnations of targets.
    pub(crate) pool: calls::Pool<(types::TargetId, core_time::UnixMillis)>,
    /// Idle connections to VMs that relay calls.
    pub(crate) relay_pool: calls::Pool<types::VmId>,
    pub(crate) metrics: metrics::Metrics,
    pub(crate) key_lease: key_lease::KeyLease,
    /// Memory of the connections and messages of callers.
    pub(crate) memory: http::Memory,
    /// Peer addresses of the seed VMs; they change with the settings file.
    pub(crate) seeds: cell::RefCell<Vec<net::SocketAddr>>,
    /// Files whose content in memory is newer than on the disk.
    pub(crate) unsaved: store::Unsaved,
    /// Random numbers for delays and choices that must differ between VMs.
    pub(crate) rng: cell::RefCell<rngs::SmallRng>,
    inner: cell::RefCell<Inner>,
    /// Requests to other processes that wait for an answer, by request number.
    pending_requests: cell::RefCell<collections::BTreeMap<u64, oneshot::Sender<()>>>,
    last_request: cell::Cell<u64>,
    /// Whether a configuration is known, so that calls can be served.
    ready: cell::Cell<bool>,
    /// Calls that wait for the first configuration.
    awaiting_configuration: cell::RefCell<Vec<oneshot::Sender<()>>>,
    /// Calls that wait for the end of the running check of the path.
    awaiting_path_check: cell::RefCell<Vec<oneshot::Sender<()>>>,
    /// The graceful stop in progress.
    stop: cell::Cell<Option<drain::Stop>>,
    /// Whether the tasks of the process must end.
    stopped: cell::Cell<bool>,
    /// Whether the process ends because of an error.
    failed: cell::Cell<bool>,
}

/// The mutable part of the state.
pub struct Inner {
    pub(crate) replica: Option<replica::Replica>,
    pub(crate) machine: state_machine::StateMachine,
    /// Index of the last applied command of the log.
    pub(crate) applied: types::LogIndex,
    pub(crate) routes: rc::Rc<routing::Index>,
    pub(crate) directory: fleet::Directory,
    pub(crate) placement: placement::Placement,
    /// Whether this VM reaches targets.
    pub(crate) path: reach::Path,
    /// VMs that relay calls while it does not.
    pub(crate) relays: relay::Relays,
    pub(crate) roster: formation::Roster,
    /// When each other VM of the roster and each member was last connected to this VM; for one that
    /// never was, when this VM first knew of it.
    pub(crate) last_connected: collections::BTreeMap<types::VmId, core_time::Instant>,
    /// Latest known leader and its term.
    pub(crate) leader: Option<(types::Term, types::VmId)>,
    pub(crate) leading_since: Option<core_time::Instant>,
    /// Reports when no leader is known.
    pub(crate) leader_watch: formation::LeaderWatch,
    /// Applied index of the last announcement of a leader.
    pub(crate) announced_applied: types::LogIndex,
    /// Whether this process has sent the list of initial voters.
    pub(crate) bootstrapped: bool,
    /// Connected or known VMs of this VM's group, which share the load reports of their targets.
    pub(crate) group: Vec<types::VmId>,
    /// VMs that were learned since the roster was last forwarded.
    pub(crate) unforwarded_vms: Vec<formation::Vm>,
    /// Targets that have joined since the leader last sent such targets to all VMs; `None` if none was
    /// sent within the delay for which they are collected.
    pub(crate) unforwarded_targets: Option<Vec<generated::fleet::TargetReport>>,
    /// Targets whose renewed announcements were not sent to the leader yet.
    pub(crate) unsent_renewals: collections::BTreeSet<types::TargetId>,
    /// Whether a request of what this VM lacks is to be sent after a delay.
    pub(crate) request_scheduled: bool,
    /// State that this VM is receiving.
    pub(crate) catch_up: catch_up::CatchUp,
    /// States that this VM is sending in parts.
    pub(crate) encoded_states: catch_up::EncodedStates,
    /// Targets that announce themselves at this VM, with the time of the last announcement.
    pub(crate) announced_here: collections::BTreeMap<types::TargetId, core_time::Instant>,
    /// Loads reported to this VM since the last message to the other VMs of its failure domain.
    pub unsent_loads:
        collections::BTreeMap<types::TargetId, (core_time::Instant, placement::LoadReport)>,
    /// Retries that calls may still make, by service.
    pub(crate) retry_budgets: collections::BTreeMap<types::ServiceName, retry::Budget>,
    /// Probes that calls may still send, by service.
    pub probe_budgets: collections::BTreeMap<types::ServiceName, retry::Budget>,
    /// Rate of the regular probes.
    pub(crate) probe_rate: placement::ProbeRate,
    /// Calls that wait for a target, by service.
    pub queues: collections::BTreeMap<types::ServiceName, placement::Queue>,
    /// Decisions on the calls of each service where load is shed by value.
    pub shedders: collections::BTreeMap<types::ServiceName, shedding::Shedder>,
    /// Targets that have stated in a response that they leave.
    pub(crate) departures: departures::Departures,
    /// Requests during which targets crashed.
    pub(crate) crashes: containment::CrashCounter,
    /// How far each service of a traffic split is behind its weight, in calls, by route.
    pub(crate) split_credits:
        collections::BTreeMap<String, collections::BTreeMap<types::ServiceName, f64>>,
    /// Allowances of workspaces.
    pub(crate) allowances: allowance::Allowances,
    /// Estimated service times, by route.
    pub(crate) service_times: collections::BTreeMap<String, calls::ServiceTime>,
}

impl Inner {
    /// Returns whether this VM leads the group.
    pub fn is_leading(&self) -> bool {
        let replica = self.replica.as_ref();
        replica.is_some_and(replica::Replica::is_leading)
    }

    /// Returns whether a VM is a member of the group, as far as this VM knows.
    pub fn is_member(&self, vm: types::VmId) -> bool {
        let replica = self.replica.as_ref();
        replica.is_some_and(|replica| replica.node.members().iter().any(|member| member == vm))
    }

    /// Returns the node of this VM if it is a voter of the group, as far as this VM knows.
    pub fn voting_node(&self, vm: types::VmId) -> Option<&replication::Node> {
        let node = &self.replica.as_ref()?.node;
        node.members().voters.contains(&vm).then_some(node)
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
        let mut placement =
            placement::Placement::new(cfg.placement.clone(), cfg.failure_domain.clone(), rng);
        placement.cold = warmup::ColdTargets::new(vm, cfg.limits.announce_interval);
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
            relay_pool: calls::Pool::default(),
            metrics: metrics::Metrics::new(),
            key_lease: key_lease::KeyLease::new(vm, cfg.limits.key_revocation),
            memory: http::Memory::new(memory::capacity(cfg.limits.memory_bytes), clock),
            seeds: cell::RefCell::new(cfg.seed_addresses.clone()),
            unsaved: store::Unsaved::default(),
            rng: cell::RefCell::new(rngs::SmallRng::seed_from_u64(incarnation.0)),
            inner: cell::RefCell::new(Inner {
                replica: None,
                machine: state_machine::StateMachine::default(),
                applied: types::LogIndex(0),
                routes: rc::Rc::default(),
                directory: fleet::Directory::default(),
                placement,
                path: reach::Path::default(),
                relays: relay::Relays::default(),
                roster,
                last_connected: collections::BTreeMap::new(),
                leader: None,
                leading_since: None,
                leader_watch: formation::LeaderWatch::default(),
                announced_applied: types::LogIndex(0),
                bootstrapped: false,
                group: Vec::new(),
                unforwarded_vms: Vec::new(),
                unforwarded_targets: None,
                unsent_renewals: collections::BTreeSet::new(),
                request_scheduled: false,
                catch_up: catch_up::CatchUp::default(),
                encoded_states: catch_up::EncodedStates::default(),
                announced_here: collections::BTreeMap::new(),
                unsent_loads: collections::BTreeMap::new(),
                retry_budgets: collections::BTreeMap::new(),
                probe_budgets: collections::BTreeMap::new(),
                probe_rate: placement::ProbeRate::default(),
                queues: collections::BTreeMap::new(),
                shedders: collections::BTreeMap::new(),
                departures: departures::Departures::default(),
                crashes: containment::CrashCounter::default(),
                split_credits: collections::BTreeMap::new(),
                allowances: allowance::Allowances::new(now, cfg.limits.allowance, incarnation),
                service_times: collections::BTreeMap::new(),
            }),
            pending_requests: cell::RefCell::default(),
            last_request: cell::Cell::new(0),
            ready: cell::Cell::new(false),
            awaiting_configuration: cell::RefCell::default(),
            awaiting_path_check: cell::RefCell::default(),
            stop: cell::Cell::new(None),
            stopped: cell::Cell::new(false),
            failed: cell::Cell::new(false),
            cfg,
        }
    }

    /// Runs `f` on the mutable state.
    pub fn with<R>(&self, f: impl FnOnce(&mut Inner) -> R) -> R {
        f(&mut self.inner.borrow_mut())
    }

    /// Applies the settings that can change while the process runs; returns the names of those that
    /// changed.
    ///
    /// Changes of addresses, failure domain and data folder require a restart.
    pub fn apply_settings(&self, cfg: &settings::Settings) -> String {
        if *self.seeds.borrow() == cfg.seed_addresses {
            return String::new();
        }
        *self.seeds.borrow_mut() = cfg.seed_addresses.clone();
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

    /// Returns the number of target incarnations that recently crashed during calls.
    pub fn crash_count(&self) -> usize {
        self.with(|inner| inner.crashes.incarnations())
    }

    /// Returns whether a target is known, so that it may get calls from this VM.
    pub fn knows_target(&self, target: &types::TargetId) -> bool {
        self.with(|inner| inner.directory.get(target).is_some())
    }

    /// Returns the numbers of cold targets that this VM knows and holds.
    pub fn cold_targets(&self) -> (usize, usize) {
        let now = self.clock.now();
        self.with(|inner| inner.placement.cold.counts(now))
    }

    /// Returns why a destination that was chosen gets no bytes any more.
    pub fn withdrawal(&self, to: &calls::Destination) -> Option<calls::Withdrawal> {
        self.with(|inner| {
            let has_left = inner.directory.is_deregistered(&to.target, to.born);
            let is_evacuated = inner.machine.evacuated.contains(&to.failure_domain);
            match (has_left, is_evacuated) {
                (true, _) => Some(calls::Withdrawal::Left),
                (false, true) => Some(calls::Withdrawal::Evacuated),
                (false, false) => None,
            }
        })
    }

    /// Returns the event log of this process.
    pub fn events(&self) -> &events::EventLog {
        &self.events
    }

    /// Returns the leader if it is this VM or a connected one.
    pub fn reachable_leader(&self) -> Option<types::VmId> {
        let (_, leader) = self.with(|inner| inner.leader)?;
        let reachable = leader == self.vm || self.peers.is_connected(leader);
        reachable.then_some(leader)
    }

    /// Registers a request to another process and returns its number; `tx` is notified of the
    /// answer.
    pub fn register_request(&self, tx: oneshot::Sender<()>) -> u64 {
        let request = self.last_request.get() + 1;
        self.last_request.set(request);
        self.pending_requests.borrow_mut().insert(request, tx);
        request
    }

    /// Completes a request when its answer arrives.
    pub fn complete_request(&self, request: u64) {
        if let Some(tx) = self.pending_requests.borrow_mut().remove(&request) {
            // The receiver may have timed out.
            let _ = tx.send(());
        }
    }

    /// Removes a request that no longer waits for its answer.
    pub fn cancel_request(&self, request: u64) {
        self.pending_requests.borrow_mut().remove(&request);
    }

    /// Returns whether the process is ready for new connections of callers.
    pub fn is_ready(&self) -> bool {
        self.ready.get() && !self.stopping()
    }

    /// Returns whether all durable state has been written to the disk.
    pub fn is_stored(&self) -> bool {
        self.unsaved.is_stored()
    }

    /// Returns whether this VM has lost its path to the targets.
    pub fn is_path_lost(&self) -> bool {
        self.with(|inner| inner.path.is_lost())
    }

    /// Waits for the end of the running check of the path; returns at once when none is running.
    pub async fn path_checked(&self) {
        if !self.with(|inner| inner.path.is_checking()) {
            return;
        }
        let (tx, rx) = oneshot::channel();
        self.awaiting_path_check.borrow_mut().push(tx);
        // The sender is dropped only when the process ends.
        let _ = rx.await;
    }

    /// Ends the waits of [`State::path_checked`].
    pub fn notify_path_checked(&self) {
        for tx in self.awaiting_path_check.take() {
            // The call may have ended in the meantime.
            let _ = tx.send(());
        }
    }

    /// Waits until a configuration is known, for at most `limit`.
    pub async fn wait_until_configured(&self, limit: time::Duration) {
        let rx = self.configuration_waiter();
        // The caller of this function checks whether there is a configuration.
        let _ = compio::time::timeout(limit, rx).await;
    }

    fn configuration_waiter(&self) -> oneshot::Receiver<()> {
        let (tx, rx) = oneshot::channel();
        let mut waiters = self.awaiting_configuration.borrow_mut();
        waiters.retain(|tx| !tx.is_canceled());
        waiters.push(tx);
        rx
    }

    /// Updates the readiness: the process is ready once it has a configuration, unless all its calls
    /// need a key and it refuses those.
    pub fn update_readiness(&self) {
        let (known, needs_key) = self.with(|inner| {
            let known = inner.machine.table.version().0 > 0;
            (known, inner.routes.needs_key_everywhere())
        });
        if known {
            for tx in self.awaiting_configuration.take() {
                // The call may have timed out.
                let _ = tx.send(());
            }
        }
        let ready = known && !(needs_key && self.key_lease.is_refusing());
        if ready != self.ready.get() {
            self.ready.set(ready);
            let id = wagtailshunt_core::event::Id::ReadinessChanged;
            self.events.emit(id, &[("ready", &ready)]);
        }
    }

    /// Marks the start of a graceful stop.
    pub fn begin_stop(&self) {
        let (now, limits) = (self.clock.now(), &self.cfg.limits);
        let certain_from = now + limits.uncertain_calls_after_stop;
        let stop = drain::Stop::new(certain_from, now + limits.stop_timeout);
        self.stop.set(Some(stop));
    }

    /// Returns the graceful stop in progress.
    pub(crate) fn current_stop(&self) -> Option<drain::Stop> {
        self.stop.get()
    }

    /// Returns whether a graceful stop has started.
    pub fn stopping(&self) -> bool {
        self.stop.get().is_some()
    }

    /// Stops all tasks and closes connections to other processes.
    pub fn stop(&self) {
        self.stopped.set(true);
        self.peers.stop();
    }

    /// Ends the process because of an error.
    pub fn fail(&self) {
        self.failed.set(true);
        self.stop();
    }

    /// Returns whether the process is ending.
    pub fn stopped(&self) -> bool {
        self.stopped.get()
    }

    /// Returns whether the process ends because of an error.
    pub fn failed(&self) -> bool {
        self.failed.get()
    }
}
