//! The directory of all targets on the leader of group 0.

use std::collections;

use crate::directory::{
    Change, Config, Delta, Digest, Key, List, News, State, Target, Version, history,
};
use crate::time::Instant;
use crate::types;

/// Departed targets whose departure can be told as a change; a gateway that is further behind
/// gets the full list.
const MAX_GONE: usize = 4096;

/// Gateway process that vouches.
type Voucher = (types::VmId, types::Incarnation);

#[derive(Clone, Debug)]
struct Entry {
    target: Target,
    /// Sequence of the last change.
    sequence: u64,
    vouchers: collections::BTreeSet<Voucher>,
}

/// What one gateway process vouches for, as far as the leader knows.
#[derive(Clone, Debug)]
struct Vouching {
    heard: Instant,
    sequence: u64,
    targets: collections::BTreeMap<Key, Target>,
    digest: Digest,
}

/// Merges what the gateways vouch for. It starts empty with each leader and is complete when all
/// gateways have told what they vouch for.
#[derive(Clone, Debug)]
pub struct Directory {
    cfg: Config,
    version: Version,
    rebuilt_by: Instant,
    /// Gateways whose vouching is not yet known to be complete; empty once rebuilt.
    awaited: collections::BTreeSet<types::VmId>,
    entries: collections::BTreeMap<Key, Entry>,
    gone: collections::BTreeMap<Key, (types::Incarnation, u64)>,
    /// Key of each change; a key appears once, with its last change.
    log: collections::BTreeMap<u64, Key>,
    /// Changes up to this sequence can no longer be told one by one.
    floor: u64,
    vouching: collections::BTreeMap<Voucher, Vouching>,
    departed: history::Departed,
    digest: Digest,
}

impl Directory {
    /// Starts an empty directory when this VM has become leader. Until the registered gateways
    /// have told what they vouch for, nothing is removed from the gateways' views.
    pub fn new(
        cfg: Config,
        term: types::Term,
        now: Instant,
        gateways: impl IntoIterator<Item = types::VmId>,
    ) -> Directory {
        let rebuilt_by = now + cfg.rebuild;
        Directory {
            cfg,
            version: Version { term, sequence: 0 },
            rebuilt_by,
            awaited: gateways.into_iter().collect(),
            entries: collections::BTreeMap::new(),
            gone: collections::BTreeMap::new(),
            log: collections::BTreeMap::new(),
            floor: 0,
            vouching: collections::BTreeMap::new(),
            departed: history::Departed::default(),
            digest: Digest::default(),
        }
    }

    /// Returns the version of the last change.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the digest of all targets, or `None` while the directory is being rebuilt.
    pub fn digest(&self) -> Option<Digest> {
        self.awaited.is_empty().then_some(self.digest)
    }

    /// Returns the number of targets.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no targets.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns a target.
    pub fn get(&self, key: &Key) -> Option<&Target> {
        self.entries.get(key).map(|entry| &entry.target)
    }

    /// Returns all targets with the VMs that vouch for them.
    pub fn targets(&self) -> impl Iterator<Item = (&Target, Vec<types::VmId>)> {
        let vms = |entry: &Entry| entry.vouchers.iter().map(|(vm, _)| *vm).collect();
        self.entries
            .values()
            .map(move |entry| (&entry.target, vms(entry)))
    }

    /// Takes a renewal's word about what its gateway vouches for. Returns whether the gateway must
    /// send its list, because changes were lost or this leader is new.
    pub fn heard(
        &mut self,
        now: Instant,
        vm: types::VmId,
        incarnation: types::Incarnation,
        digest: Digest,
        count: u32,
    ) -> bool {
        let Some(vouching) = self.voucher(now, (vm, incarnation)) else {
            return false;
        };
        vouching.heard = now;
        let same = vouching.digest == digest && vouching.targets.len() == count as usize;
        if same {
            self.awaited.remove(&vm);
        }
        !same
    }

    /// Returns the state of a gateway process, or `None` when a later one is known.
    fn voucher(&mut self, now: Instant, voucher: Voucher) -> Option<&mut Vouching> {
        let (vm, incarnation) = voucher;
        let last = (vm, types::Incarnation(u64::MAX));
        let latest = self
            .vouching
            .range((vm, types::Incarnation(0))..=last)
            .next_back();
        if latest.is_some_and(|((_, latest), _)| *latest > incarnation) {
            return None;
        }
        Some(self.vouching.entry(voucher).or_insert_with(|| Vouching {
            heard: now,
            sequence: 0,
            targets: collections::BTreeMap::new(),
            digest: Digest::default(),
        }))
    }

    /// Takes a change of what a gateway vouches for. Changes that were overtaken do nothing.
    pub fn vouch(
        &mut self,
        now: Instant,
        vm: types::VmId,
        incarnation: types::Incarnation,
        change: &Change,
    ) {
        let voucher = (vm, incarnation);
        let Some(vouching) = self.voucher(now, voucher) else {
            return;
        };
        if change.sequence <= vouching.sequence {
            return;
        }
        vouching.sequence = change.sequence;
        match &change.news {
            News::Set(target) => self.set(voucher, target),
            News::Gone { key, incarnation } => self.unset(now, voucher, key, *incarnation),
        }
    }

    /// Takes the list that `heard` asked for. A list that changes have overtaken does nothing.
    pub fn replace(
        &mut self,
        now: Instant,
        vm: types::VmId,
        incarnation: types::Incarnation,
        list: &List,
    ) {
        let voucher = (vm, incarnation);
        let Some(vouching) = self.voucher(now, voucher) else {
            return;
        };
        if list.sequence < vouching.sequence {
            return;
        }
        vouching.sequence = list.sequence;
        let listed: collections::BTreeSet<&Key> = list.targets.iter().map(|t| &t.key).collect();
        let missing = vouching
            .targets
            .values()
            .filter(|target| !listed.contains(&target.key));
        let missing: Vec<(Key, types::Incarnation)> = missing
            .map(|target| (target.key.clone(), target.incarnation))
            .collect();
        for (key, incarnation) in missing {
            self.unset(now, voucher, &key, incarnation);
        }
        for target in &list.targets {
            self.set(voucher, target);
        }
    }

    /// Ends the word of gateways that have not renewed within the TTL, and the rebuilding when its
    /// time is over.
    pub fn expire(&mut self, now: Instant) {
        self.departed.expire(now, self.cfg.departed_kept);
        if now >= self.rebuilt_by {
            self.awaited.clear();
        }
        let silent = self
            .vouching
            .iter()
            .filter(|(_, v)| v.heard + self.cfg.ttl <= now);
        let silent: Vec<Voucher> = silent.map(|(voucher, _)| *voucher).collect();
        for voucher in silent {
            let Some(vouching) = self.vouching.remove(&voucher) else {
                continue;
            };
            for target in vouching.targets.values() {
                self.withdraw(now, voucher, &target.key, target.incarnation);
            }
        }
    }

    /// Returns when `expire` must be called.
    pub fn next_deadline(&self) -> Option<Instant> {
        let rebuilt = (!self.awaited.is_empty()).then_some(self.rebuilt_by);
        let silent = self
            .vouching
            .values()
            .map(|vouching| vouching.heard + self.cfg.ttl);
        rebuilt.into_iter().chain(silent).min()
    }

    fn set(&mut self, voucher: Voucher, target: &Target) {
        let Some(vouching) = self.vouching.get_mut(&voucher) else {
            return;
        };
        let known = vouching.targets.get(&target.key);
        if known.is_none() && vouching.targets.len() >= self.cfg.max_targets {
            return;
        }
        if let Some(known) = known {
            vouching.digest.remove(known.digest());
        }
        vouching.digest.add(target.digest());
        vouching.targets.insert(target.key.clone(), target.clone());
        self.merge(voucher, target);
    }

    fn merge(&mut self, voucher: Voucher, target: &Target) {
        let Some(entry) = self.entries.get_mut(&target.key) else {
            self.join(voucher, target);
            return;
        };
        if target.incarnation < entry.target.incarnation {
            return;
        }
        if target.incarnation > entry.target.incarnation {
            entry.vouchers.clear();
        }
        entry.vouchers.insert(voucher);
        if target.supersedes(&entry.target) {
            self.digest.remove(entry.target.digest());
            entry.target.update(target);
            self.digest.add(entry.target.digest());
            self.log_change(&target.key);
        }
    }

    fn join(&mut self, voucher: Voucher, target: &Target) {
        let full = self.entries.len() >= self.cfg.max_targets;
        if full || self.departed.outdating(target).is_some() {
            return;
        }
        self.digest.add(target.digest());
        let entry = Entry {
            target: target.clone(),
            sequence: 0,
            vouchers: collections::BTreeSet::from([voucher]),
        };
        self.entries.insert(target.key.clone(), entry);
        self.log_change(&target.key);
    }

    fn unset(
        &mut self,
        now: Instant,
        voucher: Voucher,
        key: &Key,
        incarnation: types::Incarnation,
    ) {
        if let Some(vouching) = self.vouching.get_mut(&voucher)
            && let Some(known) = vouching.targets.remove(key)
        {
            vouching.digest.remove(known.digest());
        }
        self.withdraw(now, voucher, key, incarnation);
    }

    /// Removes a gateway's word for a target, and the target when it was the last one.
    fn withdraw(
        &mut self,
        now: Instant,
        voucher: Voucher,
        key: &Key,
        incarnation: types::Incarnation,
    ) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if entry.target.incarnation != incarnation {
            return;
        }
        entry.vouchers.remove(&voucher);
        if !entry.vouchers.is_empty() {
            return;
        }
        self.departed.note(now, &entry.target);
        self.digest.remove(entry.target.digest());
        self.log_change(key);
        if let Some(entry) = self.entries.remove(key) {
            self.gone.insert(key.clone(), (incarnation, entry.sequence));
        }
        self.forget_gone();
    }

    /// Gives the next sequence to a target's change and drops its earlier change from the log.
    fn log_change(&mut self, key: &Key) {
        self.version.sequence += 1;
        let sequence = self.version.sequence;
        if let Some((_, old)) = self.gone.remove(key) {
            self.log.remove(&old);
        }
        if let Some(entry) = self.entries.get_mut(key) {
            self.log.remove(&entry.sequence);
            entry.sequence = sequence;
        }
        self.log.insert(sequence, key.clone());
    }

    fn forget_gone(&mut self) {
        if self.gone.len() <= MAX_GONE {
            return;
        }
        let oldest = self.gone.iter().min_by_key(|(_, (_, sequence))| *sequence);
        if let Some((key, sequence)) = oldest.map(|(key, (_, sequence))| (key.clone(), *sequence)) {
            self.gone.remove(&key);
            self.log.remove(&sequence);
            self.floor = sequence;
        }
    }

    /// Returns what a gateway at `version` lacks, or `None` when that is nothing or must wait.
    ///
    /// A gateway whose version is of an earlier term keeps its view: the digest of the next grant
    /// tells it whether it needs the full list, which it asks for with version zero. While the
    /// directory is being rebuilt, only drains are told, because they must not wait.
    pub fn changes_since(&self, version: Version) -> Option<Delta> {
        let rebuilding = !self.awaited.is_empty();
        if version.term != self.version.term && version != Version::default() {
            return self.drains(version).filter(|_| rebuilding);
        }
        if version == Version::default() {
            return (!rebuilding).then(|| self.full());
        }
        if version == self.version {
            return None;
        }
        if version.sequence < self.floor || version > self.version {
            return (!rebuilding).then(|| self.full());
        }
        let news = self
            .log
            .range(version.sequence + 1..)
            .filter_map(|(_, key)| self.news(key));
        Some(Delta {
            from: version,
            to: self.version,
            full: false,
            news: news.collect(),
        })
    }

    fn news(&self, key: &Key) -> Option<News> {
        if let Some(entry) = self.entries.get(key) {
            return Some(News::Set(entry.target.clone()));
        }
        let (incarnation, _) = self.gone.get(key)?;
        Some(News::Gone {
            key: key.clone(),
            incarnation: *incarnation,
        })
    }

    fn full(&self) -> Delta {
        let news = self
            .entries
            .values()
            .map(|entry| News::Set(entry.target.clone()));
        Delta {
            from: Version::default(),
            to: self.version,
            full: true,
            news: news.collect(),
        }
    }

    /// Returns the draining targets as a delta that leaves the gateway's version as it is.
    fn drains(&self, version: Version) -> Option<Delta> {
        let draining = self
            .entries
            .values()
            .filter(|entry| entry.target.state == State::Draining);
        let news: Vec<News> = draining
            .map(|entry| News::Set(entry.target.clone()))
            .collect();
        (!news.is_empty()).then_some(Delta {
            from: version,
            to: version,
            full: false,
            news,
        })
    }
}
