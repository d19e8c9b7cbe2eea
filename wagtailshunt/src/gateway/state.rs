//! State of a gateway, shared by its tasks. Records and directory changes from the leader update
//! it, and a timer expires registered targets, queued calls and idle connections.
//!
//! No borrow of the state is held across an await.

use std::{cell, collections, rc, time};

use futures_channel::oneshot;
use wagtailshunt_core::{
    admission, containment, deadline, directory, drain, event, lease, ledger, records,
    time as core_time, types,
};

use crate::{
    clock, events,
    gateway::{control_link, isolation, metrics, service},
    settings,
};

/// Interval of the timer that expires queued calls, registered targets and pooled connections.
const TIMER_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// State of one gateway process.
pub struct State {
    pub cfg: settings::Gateway,
    pub clock: clock::Clock,
    pub events: events::EventLog,
    pub incarnation: types::Incarnation,
    pub metrics: metrics::Metrics,
    pub links: control_link::Links,
    /// Abandoned claims whose grant may still arrive.
    pub late_grants: cell::RefCell<ledger::claim::LateGrants>,
    pub isolation: isolation::Isolation,
    inner: cell::RefCell<Inner>,
}

/// Mutable part of the state.
pub struct Inner {
    pub table: records::Table,
    pub view: directory::View,
    pub registered_targets: directory::RegisteredTargets,
    pub holder: lease::Holder,
    pub services: collections::BTreeMap<types::ServiceName, rc::Rc<service::Service>>,
    pub admission: admission::Admission,
    /// The planned stop in progress.
    pub stop: Option<drain::Stop>,
    serving: bool,
    last_call_id: u64,
    queued_calls: collections::BTreeMap<admission::CallId, oneshot::Sender<AdmissionResult>>,
}

/// Decision on a queued call: admitted, or the reason of the refusal.
pub type AdmissionResult = Result<(), admission::Reason>;

impl State {
    /// Creates the initial state, without a lease.
    pub fn new(
        cfg: settings::Gateway,
        clock: clock::Clock,
        events: events::EventLog,
        incarnation: types::Incarnation,
    ) -> Self {
        let inner = Inner {
            table: records::Table::default(),
            view: directory::View::default(),
            registered_targets: directory::RegisteredTargets::new(directory::Config::default()),
            holder: lease::Holder::new(lease::Config::default(), cfg.vm, incarnation),
            services: collections::BTreeMap::new(),
            admission: admission::Admission::new(admission::Config::default()),
            stop: None,
            serving: false,
            last_call_id: 0,
            queued_calls: collections::BTreeMap::new(),
        };
        State {
            links: control_link::Links::default(),
            late_grants: cell::RefCell::default(),
            isolation: isolation::Isolation::default(),
            metrics: metrics::Metrics::new(),
            cfg,
            clock,
            events,
            incarnation,
            inner: cell::RefCell::new(inner),
        }
    }

    /// Returns the monotonic time.
    pub fn now(&self) -> core_time::Instant {
        self.clock.now()
    }

    /// Runs `f` on the mutable state.
    pub fn with<R>(&self, f: impl FnOnce(&mut Inner) -> R) -> R {
        f(&mut self.inner.borrow_mut())
    }

    /// Returns whether new calls are served, that is, whether a lease is held.
    pub fn is_serving(&self) -> bool {
        let now = self.now();
        self.with(|inner| inner.holder.serving(now))
    }

    /// Returns whether the load balancer in front should send calls to this gateway.
    pub fn is_ready(&self) -> bool {
        let now = self.now();
        self.with(|inner| inner.holder.serving(now) && !inner.is_draining(self.cfg.vm))
    }

    /// Makes the readiness check fail before a graceful shutdown.
    pub fn start_draining(&self) {
        let lead = time::Duration::from_millis(self.cfg.readiness_lead_ms);
        let limit = time::Duration::from_millis(self.cfg.drain_limit_ms);
        let certain_from = self.now() + lead;
        let stop = drain::Stop::new(certain_from, certain_from + limit);
        self.with(|inner| inner.stop = Some(stop));
    }

    /// Returns whether this gateway is being stopped and might end before a call with this deadline
    /// has its response.
    pub fn may_outlast_stop(&self, deadline: deadline::Deadline) -> bool {
        let now = self.now();
        let stop = self.with(|inner| inner.stop);
        // In the lead time, calls are expected to end well before the drain limit.
        stop.is_some_and(|stop| !stop.accepts(now, deadline.0, now))
    }

    /// Releases the lease and notifies the leader.
    pub async fn release_lease(&self) {
        control_link::release_lease(self).await;
    }

    /// Closes the connections to the control VMs permanently.
    pub fn stop_links(&self) {
        self.links.stop();
    }

    /// Returns a new call id; together with VM and incarnation it is unique across gateways.
    pub fn next_call_id(&self) -> u64 {
        self.with(|inner| {
            inner.last_call_id += 1;
            inner.last_call_id
        })
    }

    /// Applies record changes to the routing table, services and admission control.
    pub fn apply_records(&self, changes: &wagtailshunt_core::registry::Changes) {
        let now = self.now();
        let result = self.with(|inner| {
            let applied = inner.table.apply(changes)?;
            let revision = inner.table.revision();
            for key in applied.changed.iter().chain(&applied.removed) {
                inner.refresh_service(now, &self.cfg, key);
            }
            Ok::<_, records::ApplyError>((applied, revision))
        });
        match result {
            Ok((applied, revision)) => {
                for key in applied.changed.iter().chain(&applied.removed) {
                    self.events.emit(
                        event::Id::RecordApplied,
                        &[("record", key), ("revision", &revision)],
                    );
                }
            }
            Err(err) => log::debug!("ignored record changes that do not apply: {err}"),
        }
        self.process_admission();
    }

    /// Applies directory changes to the balancers and to crash containment.
    pub fn apply_directory(&self, delta: &directory::Delta) {
        let now = self.now();
        let (changes, ended) = self.with(|inner| {
            let changes = inner.view.apply(delta);
            let ended = inner.apply_target_changes(now, &changes);
            (changes, ended)
        });
        for change in &changes {
            self.emit_target_event(change);
        }
        for target in ended {
            self.isolation
                .with(|gateway| gateway.incarnation_ended(now, &target));
        }
        isolation::send_outputs(self);
        self.process_admission();
    }

    fn emit_target_event(&self, change: &directory::TargetChange) {
        match change {
            directory::TargetChange::Upsert(target) => self.events.emit(
                event::Id::TargetChanged,
                &[
                    ("target", &target.key),
                    ("state", &target.state),
                    ("incarnation", &target.incarnation),
                ],
            ),
            directory::TargetChange::Remove(key) => {
                self.events.emit(event::Id::TargetLeft, &[("target", key)]);
            }
        }
    }

    /// Records the grant or loss of the lease in the event log and the metrics.
    pub fn record_lease_change(&self) {
        let now = self.now();
        let (before, after) = self.with(|inner| {
            let serving = inner.holder.serving(now);
            (std::mem::replace(&mut inner.serving, serving), serving)
        });
        if before != after {
            let id = if after {
                event::Id::LeaseGranted
            } else {
                event::Id::LeaseLost
            };
            self.events.emit(id, &[]);
            self.metrics.serving.set(i64::from(after));
        }
    }

    /// Returns a receiver for the decision on a queued call.
    pub fn wait_for_admission(&self, id: admission::CallId) -> oneshot::Receiver<AdmissionResult> {
        let (tx, rx) = oneshot::channel();
        self.with(|inner| inner.queued_calls.insert(id, tx));
        rx
    }

    /// Ends an admitted call or removes a queued one.
    pub fn release_admission(&self, id: admission::CallId, ok: bool) {
        let now = self.now();
        self.with(|inner| {
            if inner.queued_calls.remove(&id).is_some() {
                inner.admission.cancel(id);
            }
            inner.admission.finished(now, id, ok);
        });
        self.process_admission();
    }

    /// Wakes queued calls that were admitted or refused.
    pub fn process_admission(&self) {
        loop {
            let next = self.with(|inner| {
                let output = inner.admission.poll_output()?;
                let (id, result) = match output {
                    admission::Output::Run(id) => (id, Ok(())),
                    admission::Output::Refuse(id, reason) => (id, Err(reason)),
                };
                Some((id, inner.queued_calls.remove(&id), result))
            });
            let Some((id, sender, result)) = next else {
                return;
            };
            let was_admitted = result.is_ok();
            let delivered = sender.is_some_and(|tx| tx.send(result).is_ok());
            if was_admitted && !delivered {
                // The caller disconnected while queued; its capacity goes to the next call.
                let now = self.now();
                self.with(|inner| inner.admission.finished(now, id, false));
            }
        }
    }

    fn tick(&self) {
        let now = self.now();
        let changes = self.with(|inner| {
            inner.admission.tick(now);
            inner.refresh_capacity(now);
            for service in inner.services.values() {
                service.expire_pools(now);
            }
            inner.registered_targets.expire(now)
        });
        self.late_grants.borrow_mut().expire(now);
        self.isolation.with(|gateway| gateway.tick(now));
        isolation::send_outputs(self);
        for change in changes {
            control_link::send_target_change(self, &change);
        }
        self.record_lease_change();
        self.process_admission();
    }
}

impl Inner {
    /// Returns whether a graceful shutdown or a record drains this VM.
    pub fn is_draining(&self, vm: types::VmId) -> bool {
        self.stop.is_some() || self.table.drains_vm(vm)
    }

    fn refresh_service(
        &mut self,
        now: core_time::Instant,
        cfg: &settings::Gateway,
        key: &records::Key,
    ) {
        if key.kind != records::Kind::Service {
            return;
        }
        let name = types::ServiceName(key.name.clone());
        let Some(spec) = self.table.service(&name).cloned() else {
            self.services.remove(&name);
            self.admission.remove_service(&name);
            self.view.drain_by_record(&name, &[]);
            return;
        };
        self.admission
            .set_service(now, &name, service::admission_config(&spec));
        self.view.drain_by_record(&name, &spec.drain);
        match self.services.get(&name) {
            Some(service) => service.set_spec(spec),
            None => {
                let service = rc::Rc::new(service::Service::new(name.clone(), spec, cfg));
                self.services.insert(name.clone(), service);
            }
        }
        let targets: Vec<_> = self
            .view
            .targets(&name)
            .map(directory::TargetChange::Upsert)
            .collect();
        self.apply_target_changes(now, &targets);
    }

    /// Applies changes to the balancers and returns the target incarnations that ended.
    fn apply_target_changes(
        &mut self,
        now: core_time::Instant,
        changes: &[directory::TargetChange],
    ) -> Vec<containment::Target> {
        let mut ended = Vec::new();
        for change in changes {
            let key = match change {
                directory::TargetChange::Upsert(target) => &target.key,
                directory::TargetChange::Remove(key) => key,
            };
            if let Some(service) = self.services.get(&key.service) {
                ended.extend(service.apply_change(now, change));
            }
        }
        self.refresh_capacity(now);
        ended
    }

    /// Updates admission control with the capacity that the balancers estimate.
    fn refresh_capacity(&mut self, now: core_time::Instant) {
        for (name, service) in &self.services {
            if let Some(capacity) = service.capacity(now) {
                self.admission.set_capacity(now, name, capacity);
            }
        }
    }
}

/// Starts the timer task, which runs until the state is dropped.
pub fn start_timer(state: &rc::Rc<State>) {
    let weak = rc::Rc::downgrade(state);
    compio::runtime::spawn(async move {
        while let Some(state) = weak.upgrade() {
            state.tick();
            drop(state);
            compio::time::sleep(TIMER_INTERVAL).await;
        }
    })
    .detach();
}
