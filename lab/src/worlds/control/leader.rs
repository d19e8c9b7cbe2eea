//! The leader of group 0: lease grants, target directory and updates to gateways (not replicated).

use std::collections;

use wagtailshunt_core::time::Instant;
use wagtailshunt_core::{directory, lease, registry, types};
use wagtailshunt_wire::membership::Message;

use super::frame::Content;
use super::settings::Settings;

/// Versions that a gateway has, or will have when every message sent to it arrives.
#[derive(Clone, Copy, Debug, Default)]
struct GatewayProgress {
    revision: types::Revision,
    directory: directory::Version,
}

/// A leader. Messages to gateways are collected in `outbox`.
#[derive(Debug)]
pub struct Leader {
    pub term: u64,
    /// End of the leader lease once the leader is cut off; `None` while it has a quorum.
    pub lease_until: Option<Instant>,
    pub grantor: lease::Grantor,
    pub directory: directory::Directory,
    progress: collections::BTreeMap<types::VmId, GatewayProgress>,
    pub outbox: Vec<(types::VmId, Content)>,
    digests: bool,
    behind_check: bool,
}

impl Leader {
    pub fn new(
        cfg: &Settings,
        term: u64,
        now: Instant,
        gateways: &[types::VmId],
        revision: types::Revision,
    ) -> Leader {
        // With `new_leader_wait` off, a new leader assumes that no gateway still holds a lease of
        // its predecessor.
        let waiting: &[types::VmId] = if cfg.new_leader_wait { gateways } else { &[] };
        let awaited: &[types::VmId] = if cfg.rebuild { gateways } else { &[] };
        let start = if cfg.new_leader_wait {
            now
        } else {
            now.saturating_sub(cfg.lease.length * 2)
        };
        let mut grantor =
            lease::Grantor::new(cfg.lease.clone(), start, revision, waiting.iter().copied());
        gateways.iter().for_each(|vm| grantor.add(*vm));
        let directory_cfg = directory::Config::default();
        let awaited = awaited.iter().copied();
        Leader {
            term,
            lease_until: None,
            grantor,
            directory: directory::Directory::new(directory_cfg, types::Term(term), now, awaited),
            progress: collections::BTreeMap::new(),
            outbox: Vec::new(),
            digests: cfg.digests,
            behind_check: cfg.behind_check,
        }
    }

    /// Handles a message from a gateway.
    pub fn receive(
        &mut self,
        now: Instant,
        registry: &registry::Registry,
        incarnation: types::Incarnation,
        vm: types::VmId,
        message: &Message,
    ) {
        match message {
            Message::Renewal(renewal) => self.renew(now, registry, renewal),
            Message::Change(change) => self.directory.apply_change(now, vm, incarnation, change),
            Message::List(list) => self.directory.apply_list(now, vm, incarnation, list),
            _ => {}
        }
        self.push_updates(registry);
    }

    fn renew(&mut self, now: Instant, registry: &registry::Registry, renewal: &lease::Renewal) {
        let (vm, digest) = (renewal.vm, renewal.registered_targets_digest);
        let differs = self.directory.check_digest(
            now,
            vm,
            renewal.incarnation,
            digest,
            renewal.registered_targets_count,
        );
        let current = lease::LeaderStatus {
            revision: registry.revision(),
            directory: self.directory.version(),
            digest: self.directory.digest(),
            list_wanted: differs && self.digests,
        };
        let lease_until = self.lease_until.unwrap_or(Instant(u64::MAX));
        let mut judged = renewal.clone();
        if !self.behind_check {
            judged.revision = registry.revision();
        }
        let answer = self
            .grantor
            .renew(now, Some(lease_until), &current, &judged);
        let stale = answer == Err(lease::Refusal::Stale);
        let message = match answer {
            Ok(grant) => Message::Grant(grant),
            Err(refusal) => Message::Refusal(refusal),
        };
        self.outbox
            .push((vm, Content::Membership(Box::new(message))));
        if !stale {
            // Resends what the gateway has not yet applied, since it may have been lost.
            let progress = GatewayProgress {
                revision: renewal.revision,
                directory: renewal.directory,
            };
            self.progress.insert(vm, progress);
        }
    }

    /// Sends each gateway the record and directory changes that it lacks.
    pub fn push_updates(&mut self, registry: &registry::Registry) {
        for (vm, progress) in &mut self.progress {
            if progress.revision < registry.revision() {
                let changes = registry.changes_since(progress.revision);
                progress.revision = changes.through;
                self.outbox.push((*vm, Content::Records(changes)));
            }
            if let Some(delta) = self.directory.changes_since(progress.directory) {
                progress.directory = delta.to;
                let message = Message::Delta(delta);
                self.outbox
                    .push((*vm, Content::Membership(Box::new(message))));
            }
        }
    }
}
