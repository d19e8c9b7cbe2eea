//! A gateway process: lease holder, records, target directory and choice of targets.

use rand::Rng;
use rand::rngs::SmallRng;
use wagtailshunt_core::time::Instant;
use wagtailshunt_core::{directory, lease, records, registry, types};
use wagtailshunt_wire::membership::Message;

use super::frame::Content;
use super::settings::Settings;

/// A gateway process. Its clock may run faster or slower than virtual time. Messages to the leader
/// are collected in `outbox`.
#[derive(Debug)]
pub struct Gateway {
    pub vm: types::VmId,
    pub incarnation: types::Incarnation,
    pub holder: lease::Holder,
    pub registered_targets: directory::RegisteredTargets,
    pub view: directory::View,
    pub table: records::Table,
    pub stopping: bool,
    /// Clock rate relative to virtual time, in millionths.
    clock_rate_millionths: u64,
    leases: bool,
    view_check: bool,
    pub outbox: Vec<Content>,
}

impl Gateway {
    pub fn new(cfg: &Settings, vm: u32, incarnation: u64) -> Gateway {
        let skew = u64::from(cfg.skew_permille) * 1000;
        let clock_rate_millionths =
            [1_000_000, 1_000_000 + skew, 1_000_000 - skew][vm as usize % 3];
        let (vm, incarnation) = (types::VmId(vm), types::Incarnation(incarnation));
        Gateway {
            vm,
            incarnation,
            holder: lease::Holder::new(cfg.lease.clone(), vm, incarnation),
            registered_targets: directory::RegisteredTargets::new(directory::Config::default()),
            view: directory::View::default(),
            table: records::Table::default(),
            stopping: false,
            clock_rate_millionths,
            leases: cfg.leases,
            view_check: cfg.view_check,
            outbox: Vec::new(),
        }
    }

    /// Returns the reading of the clock of this gateway.
    pub fn local_time(&self, now: Instant) -> Instant {
        Instant((u128::from(now.0) * u128::from(self.clock_rate_millionths) / 1_000_000) as u64)
    }

    pub fn serving(&self, now: Instant) -> bool {
        let holds = self.holder.serving(self.local_time(now));
        // With `leases` off, a gateway serves as soon as it has received any record.
        let ever = self.table.revision() > types::Revision::default();
        !self.stopping && (holds || (!self.leases && ever))
    }

    pub fn tick(&mut self, now: Instant) {
        let now = self.local_time(now);
        for change in self.registered_targets.expire(now) {
            self.outbox.push(membership(Message::Change(change)));
        }
        if self.holder.renewal_due(now) {
            let renewal = self.holder.start_renewal(now, &self.status());
            self.outbox.push(membership(Message::Renewal(renewal)));
        }
    }

    fn status(&self) -> lease::GatewayStatus {
        lease::GatewayStatus {
            revision: self.table.revision(),
            directory: self.view.version(),
            registered_targets_digest: self.registered_targets.digest(),
            registered_targets_count: self.registered_targets.len() as u32,
        }
    }

    /// Starts a planned stop: releases the lease and serves no more calls.
    pub fn stop(&mut self) {
        self.stopping = true;
        let renewal = self.holder.release(&self.status());
        self.outbox.push(membership(Message::Renewal(renewal)));
    }

    /// Handles an announcement. Returns whether this gateway registers the target.
    pub fn announce(&mut self, now: Instant, announcement: &directory::Announcement) -> bool {
        if !self.serving(now) {
            return false;
        }
        match self
            .registered_targets
            .announce(self.local_time(now), announcement)
        {
            Ok(Some(change)) => self.outbox.push(membership(Message::Change(change))),
            Ok(None) => {}
            Err(_) => return false,
        }
        true
    }

    pub fn receive(&mut self, now: Instant, content: Content) {
        let now = self.local_time(now);
        match content {
            Content::Records(changes) => self.apply_records(now, &changes),
            Content::Membership(message) => match *message {
                Message::Grant(grant) => self.granted(now, &grant),
                Message::Refusal(refusal) => self.holder.refused(now, &refusal),
                Message::Delta(delta) => {
                    self.view.apply(&delta);
                }
                _ => {}
            },
        }
    }

    fn granted(&mut self, now: Instant, grant: &lease::Grant) {
        let current = &grant.current;
        let confirmed = self.view.compare(current.directory, current.digest);
        let judged = if self.view_check {
            confirmed
        } else {
            directory::ViewComparison::Same
        };
        self.holder.granted(now, grant, judged);
        if confirmed == directory::ViewComparison::Differs {
            self.holder.renew_now(now);
        }
        if current.list_wanted {
            self.outbox
                .push(membership(Message::List(self.registered_targets.list())));
        }
    }

    fn apply_records(&mut self, now: Instant, changes: &registry::Changes) {
        let Ok(applied) = self.table.apply(changes) else {
            return;
        };
        for key in applied.changed.iter().chain(&applied.removed) {
            let service = types::ServiceName(key.name.clone());
            let drain = self.table.service(&service).map(|spec| spec.drain.clone());
            self.view
                .drain_by_record(&service, &drain.unwrap_or_default());
        }
        if !self.holder.serving(now) {
            self.holder.renew_now(now);
        }
    }

    /// Picks a random serving target of a service.
    pub fn pick(
        &self,
        rng: &mut SmallRng,
        service: &types::ServiceName,
    ) -> Option<directory::Target> {
        let serving = |target: &directory::Target| target.state == directory::State::Serving;
        let targets: Vec<_> = self.view.targets(service).filter(serving).collect();
        (!targets.is_empty()).then(|| targets[rng.random_range(0..targets.len())].clone())
    }
}

fn membership(message: Message) -> Content {
    Content::Membership(Box::new(message))
}
