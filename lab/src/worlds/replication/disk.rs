//! Fake disk that loses unsynced data in a crash and can crash at every file operation.
//!
//! Scripts and random faults set its faults and crash points.

use std::{cell, collections, io, path, rc};

use rand::{Rng, SeedableRng, rngs};
use wagtailshunt::disk;

/// Kind of a file operation at which a crash can occur.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Operation {
    Write,
    Sync,
    SetLen,
    Rename,
    Remove,
    SyncFolder,
}

impl Operation {
    pub(super) fn parse(name: &str) -> Option<Operation> {
        match name {
            "write" => Some(Operation::Write),
            "sync" => Some(Operation::Sync),
            "set_len" => Some(Operation::SetLen),
            "rename" => Some(Operation::Rename),
            "remove" => Some(Operation::Remove),
            "sync_folder" => Some(Operation::SyncFolder),
            _ => None,
        }
    }
}

/// Active faults of a disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Faults {
    /// Writes fail because the disk is full.
    pub(super) full: bool,
    /// The next sync fails.
    pub(super) failed_sync: bool,
    /// Syncs of log segments return success and have no effect.
    pub(super) ignored_log_sync: bool,
    /// Syncs of snapshots return success and have no effect.
    pub(super) ignored_snapshot_sync: bool,
    /// Syncs of the folder return success and have no effect.
    pub(super) ignored_folder_sync: bool,
}

#[derive(Clone, Debug, Default)]
struct Inode {
    content: Vec<u8>,
    synced: Vec<u8>,
}

/// A change of directory entries that is not yet durable.
#[derive(Clone, Debug)]
enum NameChange {
    Create(String, usize),
    Rename(String, String),
    Remove(String),
}

type Names = collections::BTreeMap<String, usize>;

#[derive(Debug)]
struct DiskState {
    rng: rngs::SmallRng,
    inodes: Vec<Inode>,
    names: Names,
    durable_names: Names,
    unsynced_changes: Vec<NameChange>,
    faults: Faults,
    /// Crash at the n-th operation from now, counting one kind or, if `None`, all kinds.
    crash_point: Option<(Option<Operation>, u64)>,
    crashed: bool,
}

/// A disk that outlives the process of its VM. Clones share the content.
#[derive(Clone, Debug)]
pub(super) struct FakeDisk(rc::Rc<cell::RefCell<DiskState>>);

fn apply(names: &mut Names, change: &NameChange) {
    match change {
        NameChange::Create(name, inode) => {
            names.insert(name.clone(), *inode);
        }
        NameChange::Rename(from, to) => {
            if let Some(inode) = names.remove(from) {
                names.insert(to.clone(), inode);
            }
        }
        NameChange::Remove(name) => {
            names.remove(name);
        }
    }
}

fn crash_error() -> io::Error {
    io::Error::other("the VM crashed")
}

impl DiskState {
    /// Counts an operation. Returns whether the VM crashes at it or has crashed before.
    fn reaches_crash_point(&mut self, operation: Operation) -> bool {
        if let Some((kind, left)) = &mut self.crash_point
            && kind.is_none_or(|kind| kind == operation)
        {
            *left = left.saturating_sub(1);
            if *left == 0 {
                self.crash_point = None;
                self.crashed = true;
            }
        }
        self.crashed
    }

    fn inode(&mut self, file: &str) -> usize {
        if let Some(inode) = self.names.get(file) {
            return *inode;
        }
        let inode = self.inodes.len();
        self.inodes.push(Inode::default());
        self.change(NameChange::Create(file.to_owned(), inode));
        inode
    }

    fn change(&mut self, change: NameChange) {
        apply(&mut self.names, &change);
        self.unsynced_changes.push(change);
    }

    /// Keeps synced data and a random part of the unsynced data and directory entries.
    fn crash(&mut self) {
        let kept = self.rng.random_range(0..=self.unsynced_changes.len());
        for change in &self.unsynced_changes[..kept] {
            apply(&mut self.durable_names, change);
        }
        self.unsynced_changes.clear();
        self.names = self.durable_names.clone();
        for inode in &mut self.inodes {
            let grown = inode.content.starts_with(&inode.synced);
            if grown && inode.content.len() > inode.synced.len() {
                let synced = inode.synced.len();
                let len = self.rng.random_range(synced..=inode.content.len());
                inode.content.truncate(len);
                if len > synced && self.rng.random_bool(0.3) {
                    let zeros_from = self.rng.random_range(synced..len);
                    inode.content[zeros_from..].fill(0);
                }
            } else if self.rng.random_bool(0.5) {
                inode.content.clone_from(&inode.synced);
            }
            inode.synced.clone_from(&inode.content);
        }
        self.crash_point = None;
        self.crashed = false;
        self.faults.failed_sync = false;
    }
}

impl FakeDisk {
    pub(super) fn new(seed: u64) -> FakeDisk {
        FakeDisk(rc::Rc::new(cell::RefCell::new(DiskState {
            rng: rngs::SmallRng::seed_from_u64(seed),
            inodes: Vec::new(),
            names: Names::new(),
            durable_names: Names::new(),
            unsynced_changes: Vec::new(),
            faults: Faults::default(),
            crash_point: None,
            crashed: false,
        })))
    }

    /// Loses unsynced data, as a power loss does.
    pub(super) fn crash(&self) {
        self.0.borrow_mut().crash();
    }

    /// Sets a crash at the `count`-th operation from now, counting `kind` or, if `None`, all kinds.
    pub(super) fn set_crash_point(&self, kind: Option<Operation>, count: u64) {
        self.0.borrow_mut().crash_point = Some((kind, count));
    }

    /// Removes the crash point.
    pub(super) fn clear_crash_point(&self) {
        self.0.borrow_mut().crash_point = None;
    }

    pub(super) fn faults(&self) -> Faults {
        self.0.borrow().faults
    }

    pub(super) fn set_faults(&self, faults: Faults) {
        self.0.borrow_mut().faults = faults;
    }

    /// Flips a bit in the middle of the first file whose name starts with `prefix`. Returns false
    /// if there is none.
    pub(super) fn flip_bit(&self, prefix: &str) -> bool {
        let mut inner = self.0.borrow_mut();
        let found = inner
            .names
            .iter()
            .find(|(name, _)| name.starts_with(prefix));
        let Some(inode) = found.map(|(_, inode)| *inode) else {
            return false;
        };
        let content = &mut inner.inodes[inode].content;
        let middle = content.len() / 2;
        if let Some(byte) = content.get_mut(middle) {
            *byte ^= 0x10;
        }
        true
    }
}

impl disk::Files for FakeDisk {
    fn path(&self) -> &path::Path {
        path::Path::new("fake")
    }

    fn read_all(&mut self) -> io::Result<Vec<(String, Vec<u8>)>> {
        let inner = self.0.borrow();
        let files = inner.names.iter();
        let files = files.map(|(name, inode)| (name.clone(), inner.inodes[*inode].content.clone()));
        Ok(files.collect())
    }

    fn write(&mut self, file: &str, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut inner = self.0.borrow_mut();
        let inode = inner.inode(file);
        let interrupted = inner.reaches_crash_point(Operation::Write);
        let full = inner.faults.full;
        let len = if interrupted || full {
            inner.rng.random_range(0..=data.len())
        } else {
            data.len()
        };
        let content = &mut inner.inodes[inode].content;
        let (begin, end) = (offset as usize, offset as usize + len);
        content.resize(content.len().max(end), 0);
        content[begin..end].copy_from_slice(&data[..len]);
        if interrupted {
            return Err(crash_error());
        }
        if full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn sync(&mut self, file: &str) -> io::Result<()> {
        let mut inner = self.0.borrow_mut();
        if inner.reaches_crash_point(Operation::Sync) {
            return Err(crash_error());
        }
        if inner.faults.failed_sync {
            return Err(io::Error::other("input/output error"));
        }
        let ignored = if file.ends_with(".wal") {
            inner.faults.ignored_log_sync
        } else {
            inner.faults.ignored_snapshot_sync
        };
        if !ignored {
            let inode = inner.inode(file);
            let inode = &mut inner.inodes[inode];
            inode.synced.clone_from(&inode.content);
        }
        Ok(())
    }

    fn set_len(&mut self, file: &str, len: u64) -> io::Result<()> {
        let mut inner = self.0.borrow_mut();
        if inner.reaches_crash_point(Operation::SetLen) {
            return Err(crash_error());
        }
        let inode = inner.inode(file);
        inner.inodes[inode].content.truncate(len as usize);
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut inner = self.0.borrow_mut();
        if inner.reaches_crash_point(Operation::Rename) {
            return Err(crash_error());
        }
        inner.change(NameChange::Rename(from.to_owned(), to.to_owned()));
        Ok(())
    }

    fn remove(&mut self, file: &str) -> io::Result<()> {
        let mut inner = self.0.borrow_mut();
        if inner.reaches_crash_point(Operation::Remove) {
            return Err(crash_error());
        }
        inner.change(NameChange::Remove(file.to_owned()));
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut inner = self.0.borrow_mut();
        if inner.reaches_crash_point(Operation::SyncFolder) {
            return Err(crash_error());
        }
        if !inner.faults.ignored_folder_sync {
            inner.unsynced_changes.clear();
            inner.durable_names = inner.names.clone();
        }
        Ok(())
    }
}
