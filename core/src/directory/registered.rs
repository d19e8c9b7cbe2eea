//! Targets that one gateway vouches for.

use std::collections;

use derive_more::Display;

use crate::directory::{
    Announcement, Change, Config, Digest, Key, List, Target, TargetUpdate, tombstones,
};
use crate::time::Instant;
use crate::types;

/// Why an announcement changed nothing.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Refusal {
    /// A later incarnation has announced itself.
    #[display("incarnation {latest} has announced itself")]
    Outdated {
        /// That incarnation.
        latest: types::Incarnation,
    },
    /// The incarnation announced a later state before; draining is final.
    #[display("incarnation has announced a later state")]
    StateBehind,
    /// As many targets as can be kept are kept.
    #[display("too many targets")]
    Full,
}

#[derive(Clone, Debug)]
struct Registration {
    target: Target,
    expires: Instant,
}

/// Announcements that a gateway received.
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

    /// Takes an announcement and returns the change to send to the leader, if there is one.
    ///
    /// # Errors
    ///
    /// Returns why the announcement changed nothing; it does not prolong the target's time either.
    pub fn announce(
        &mut self,
        now: Instant,
        announcement: &Announcement,
    ) -> Result<Option<Change>, Refusal> {
        let target = &announcement.target;
        let expires = now + self.cfg.ttl;
        match self.registrations.get_mut(&target.key) {
            Some(known) => {
                check(target, (known.target.incarnation, known.target.state))?;
                known.expires = expires;
                if !target.supersedes(&known.target) {
                    return Ok(None);
                }
                self.digest.remove(known.target.digest());
                known.target.update(target);
                self.digest.add(known.target.digest());
                let set = TargetUpdate::Set(known.target.clone());
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

    /// Drops the targets whose time has ended and returns the changes to send to the leader.
    pub fn expire(&mut self, now: Instant) -> Vec<Change> {
        self.tombstones.expire(now, self.cfg.tombstone_ttl);
        let ended = self
            .registrations
            .iter()
            .filter(|(_, registration)| registration.expires <= now);
        let ended: Vec<Key> = ended.map(|(key, _)| key.clone()).collect();
        ended
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

    /// Returns when the next target's time ends.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.registrations
            .values()
            .map(|registration| registration.expires)
            .min()
    }

    /// Returns the digest that a renewal carries.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the number of targets.
    pub fn len(&self) -> usize {
        self.registrations.len()
    }

    /// Returns whether there are no targets.
    pub fn is_empty(&self) -> bool {
        self.registrations.is_empty()
    }

    /// Returns the list that the leader asks for when the digests differ.
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
