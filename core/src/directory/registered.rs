//! Targets that are registered with one gateway, and the changes that it reports to the leader.

use std::collections;

use derive_more::Display;

use crate::directory::{
    Announcement, Change, Config, Digest, Key, List, Target, TargetUpdate, tombstones,
};
use crate::time::Instant;
use crate::types;

/// Reason why an announcement was refused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Refusal {
    /// A later incarnation of the target has announced itself.
    #[display("incarnation {latest} has announced itself")]
    Outdated {
        /// The later incarnation.
        latest: types::Incarnation,
    },
    /// The same incarnation has announced a later state; it cannot go back, for example from
    /// draining to serving.
    #[display("incarnation has announced a later state")]
    StateBehind,
    /// The maximum number of targets is registered.
    #[display("too many targets")]
    Full,
}

#[derive(Clone, Debug)]
struct Registration {
    target: Target,
    expires: Instant,
}

/// Targets that announced themselves to this gateway within the TTL.
#[derive(Clone, Debug, Default)]
pub struct RegisteredTargets {
    cfg: Config,
    sequence: u64,
    registrations: collections::BTreeMap<Key, Registration>,
    tombstones: tombstones::Tombstones,
    digest: Digest,
}

impl RegisteredTargets {
    /// Returns an empty set.
    pub fn new(cfg: Config) -> RegisteredTargets {
        RegisteredTargets {
            cfg,
            ..RegisteredTargets::default()
        }
    }

    /// Applies an announcement and returns the change to send to the leader, if there is one.
    ///
    /// # Errors
    ///
    /// Returns the reason if the announcement is refused. It then does not renew the registration.
    pub fn announce(
        &mut self,
        now: Instant,
        announcement: &Announcement,
    ) -> Result<Option<Change>, Refusal> {
        let target = &announcement.target;
        let expires = now + self.cfg.ttl;
        match self.registrations.get_mut(&target.key) {
            Some(current) => {
                check(target, (current.target.incarnation, current.target.state))?;
                current.expires = expires;
                if !target.supersedes(&current.target) {
                    return Ok(None);
                }
                self.digest.remove(current.target.digest());
                current.target.update(target);
                self.digest.add(current.target.digest());
                let set = TargetUpdate::Set(current.target.clone());
                Ok(Some(self.change(set)))
            }
            None => {
                self.check_new(target)?;
                self.digest.add(target.digest());
                let registration = Registration {
                    target: target.clone(),
                    expires,
                };
                self.registrations.insert(target.key.clone(), registration);
                Ok(Some(self.change(TargetUpdate::Set(target.clone()))))
            }
        }
    }

    fn check_new(&self, target: &Target) -> Result<(), Refusal> {
        if let Some(latest) = self.tombstones.later_stage(target) {
            check(target, latest)?;
        }
        if self.registrations.len() >= self.cfg.max_targets {
            return Err(Refusal::Full);
        }
        Ok(())
    }

    fn change(&mut self, update: TargetUpdate) -> Change {
        self.sequence += 1;
        Change {
            sequence: self.sequence,
            update,
        }
    }

    /// Removes the targets whose TTL has expired and returns the changes to send to the leader.
    pub fn expire(&mut self, now: Instant) -> Vec<Change> {
        self.tombstones.expire(now, self.cfg.tombstone_ttl);
        let expired = self
            .registrations
            .iter()
            .filter(|(_, registration)| registration.expires <= now);
        let expired: Vec<Key> = expired.map(|(key, _)| key.clone()).collect();
        expired
            .into_iter()
            .filter_map(|key| self.drop_target(now, key))
            .collect()
    }

    fn drop_target(&mut self, now: Instant, key: Key) -> Option<Change> {
        let registration = self.registrations.remove(&key)?;
        self.digest.remove(registration.target.digest());
        let incarnation = registration.target.incarnation;
        self.tombstones.insert(now, &registration.target);
        Some(self.change(TargetUpdate::Gone { key, incarnation }))
    }

    /// Returns when the next TTL expires, which is when `expire` must be called.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.registrations
            .values()
            .map(|registration| registration.expires)
            .min()
    }

    /// Returns the digest of the registered targets, which each lease renewal carries.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the number of registered targets.
    pub fn len(&self) -> usize {
        self.registrations.len()
    }

    /// Returns whether no target is registered.
    pub fn is_empty(&self) -> bool {
        self.registrations.is_empty()
    }

    /// Returns all registered targets, to send when the leader finds that the digests differ.
    pub fn list(&self) -> List {
        let targets = self
            .registrations
            .values()
            .map(|registration| registration.target.clone())
            .collect();
        List {
            sequence: self.sequence,
            targets,
        }
    }
}

fn check(target: &Target, (latest, state): tombstones::TargetStage) -> Result<(), Refusal> {
    if target.incarnation < latest {
        return Err(Refusal::Outdated { latest });
    }
    if target.incarnation == latest && target.state < state {
        return Err(Refusal::StateBehind);
    }
    Ok(())
}
