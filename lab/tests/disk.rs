//! Storage of a replicated group on a real file system: locking, recovery and failed syncs.

use std::{collections, fs, io, path};

use bytes::Bytes;
use wagtailshunt::disk::{self, DataFolder, Error, Files, Folder, Store};
use wagtailshunt_core::storage::{self, Entry, Membership, Op, Payload, Recovered, Snapshot};
use wagtailshunt_core::types::{GroupId, LogIndex, Term, VmId};

/// A temporary folder that is removed when the value is dropped.
struct Temporary(path::PathBuf);

impl Temporary {
    fn new(name: &str) -> Temporary {
        let path = path::Path::new(env!("CARGO_TARGET_TMPDIR"));
        let path = path.join(format!("{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        Temporary(path)
    }
}

impl Drop for Temporary {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn append(first: u64, last: u64) -> Op {
    let entries = (first..=last).map(|index| Entry {
        index: LogIndex(index),
        term: Term(1),
        payload: Payload::Command(Bytes::from(vec![index as u8; 100])),
    });
    Op::Append {
        entries: entries.collect(),
    }
}

/// Guards against two processes that write to the same data folder.
#[test]
fn a_second_process_cannot_open_the_data_folder() {
    let folder = Temporary::new("lock");
    let held = DataFolder::open(&folder.0).unwrap();
    assert!(matches!(
        DataFolder::open(&folder.0),
        Err(Error::Locked { .. })
    ));
    drop(held);
    DataFolder::open(&folder.0).unwrap();
}

/// Guards against recovery that loses compacted state or mixes up the files of two groups.
#[test]
fn groups_are_recovered_apart_from_each_other() {
    let folder = Temporary::new("groups");
    let members = Membership::of_voters([VmId(1), VmId(2), VmId(3)]);
    let data = DataFolder::open(&folder.0).unwrap();
    let (mut first, recovered) = data.open_group(GroupId(0), Some(&members)).unwrap();
    assert_eq!(recovered, Recovered::bootstrap(members.clone()));
    first.set_segment_bytes(1000);
    for index in 1..=50 {
        first.execute(&[append(index, index)]).unwrap();
    }
    let snapshot = Snapshot {
        index: LogIndex(40),
        term: Term(1),
        membership: members.clone(),
        data: Bytes::from_static(b"state"),
    };
    let through = LogIndex(40);
    first
        .execute(&[Op::Snapshot(snapshot.clone()), Op::Compact { through }])
        .unwrap();
    let (_, joining) = data.open_group(GroupId(1), None).unwrap();
    assert_eq!(joining, Recovered::default());
    drop((first, data));
    let data = DataFolder::open(&folder.0).unwrap();
    let other = Membership::of_voters([VmId(7)]);
    let (_, recovered) = data.open_group(GroupId(0), Some(&other)).unwrap();
    assert_eq!(recovered.snapshot, snapshot);
    let indices: Vec<_> = recovered.entries.iter().map(|e| e.index.0).collect();
    assert_eq!(indices, (41..=50).collect::<Vec<_>>());
    let left = fs::read_dir(folder.0.join("group-0")).unwrap().count();
    assert!(left < 6, "{left} files after compaction");
}

/// Guards against a crash during a write that prevents recovery, and against damage inside the log
/// that is cut off like a torn tail instead of reported with its file and offset.
#[test]
fn a_torn_tail_is_cut_and_damage_names_file_and_offset() {
    let folder = Temporary::new("torn");
    let data = DataFolder::open(&folder.0).unwrap();
    let (mut store, _) = data.open_group(GroupId(0), None).unwrap();
    for index in 1..=3 {
        store.execute(&[append(index, index)]).unwrap();
    }
    drop(store);
    let log = folder.0.join("group-0/log-00000000000000000001.wal");
    let whole = fs::read(&log).unwrap();
    fs::write(&log, &whole[..whole.len() - 1]).unwrap();
    let (mut store, recovered) = data.open_group(GroupId(0), None).unwrap();
    assert_eq!(recovered.entries.len(), 2);
    assert!(store.torn_bytes() > 0);
    store.execute(&[append(3, 4)]).unwrap();
    drop(store);
    let (_, recovered) = data.open_group(GroupId(0), None).unwrap();
    assert_eq!(recovered.entries.len(), 4);
    let mut damaged = fs::read(&log).unwrap();
    damaged[200] ^= 1;
    fs::write(&log, damaged).unwrap();
    match data.open_group(GroupId(0), None) {
        Err(Error::Storage {
            source: storage::Error::Damaged { file, offset, .. },
            ..
        }) => {
            assert_eq!(file, "log-00000000000000000001.wal");
            assert!(offset > 0 && offset <= 200);
        }
        other => panic!("{other:?}"),
    }
}

/// Guards against batches that are lost or reordered on the thread pool.
#[test]
fn batches_run_on_the_thread_pool_in_order() {
    let folder = Temporary::new("pool");
    let data = DataFolder::open(&folder.0).unwrap();
    let (mut store, _) = data.open_group(GroupId(0), None).unwrap();
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        for index in 1..=5 {
            let (back, result) = disk::execute(store, vec![append(index, index)])
                .await
                .unwrap();
            result.unwrap();
            store = back;
        }
        drop(store);
    });
    let (_, recovered) = data.open_group(GroupId(0), None).unwrap();
    assert_eq!(recovered.entries.len(), 5);
}

/// Files whose next sync fails if the flag is set.
struct FailingSync(Folder, bool);

impl Files for FailingSync {
    fn path(&self) -> &path::Path {
        self.0.path()
    }
    fn read_all(&mut self) -> io::Result<Vec<(String, Vec<u8>)>> {
        self.0.read_all()
    }
    fn write(&mut self, file: &str, offset: u64, data: &[u8]) -> io::Result<()> {
        self.0.write(file, offset, data)
    }
    fn sync(&mut self, file: &str) -> io::Result<()> {
        if std::mem::take(&mut self.1) {
            return Err(io::Error::other("input/output error"));
        }
        self.0.sync(file)
    }
    fn set_len(&mut self, file: &str, len: u64) -> io::Result<()> {
        self.0.set_len(file, len)
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.0.rename(from, to)
    }
    fn remove(&mut self, file: &str) -> io::Result<()> {
        self.0.remove(file)
    }
    fn sync_folder(&mut self) -> io::Result<()> {
        self.0.sync_folder()
    }
}

/// Files on a disk that takes no bytes and no change of length while the flag is set.
struct FullDisk(Folder, bool);

impl FullDisk {
    fn check(&self) -> io::Result<()> {
        match self.1 {
            true => Err(io::ErrorKind::StorageFull.into()),
            false => Ok(()),
        }
    }
}

impl Files for FullDisk {
    fn path(&self) -> &path::Path {
        self.0.path()
    }
    fn read_all(&mut self) -> io::Result<Vec<(String, Vec<u8>)>> {
        self.0.read_all()
    }
    fn write(&mut self, file: &str, offset: u64, data: &[u8]) -> io::Result<()> {
        self.check()?;
        self.0.write(file, offset, data)
    }
    fn sync(&mut self, file: &str) -> io::Result<()> {
        self.0.sync(file)
    }
    fn set_len(&mut self, file: &str, len: u64) -> io::Result<()> {
        self.check()?;
        self.0.set_len(file, len)
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.check()?;
        self.0.rename(from, to)
    }
    fn remove(&mut self, file: &str) -> io::Result<()> {
        self.0.remove(file)
    }
    fn sync_folder(&mut self) -> io::Result<()> {
        self.0.sync_folder()
    }
}

/// Files in the memory of a machine: a process that is killed leaves all of them, a loss of power only
/// what was synced.
#[derive(Clone, Default)]
struct PageCache {
    files: collections::BTreeMap<String, Vec<u8>>,
    synced_files: collections::BTreeMap<String, Vec<u8>>,
    /// Names whose creation, change or removal was synced.
    synced_names: collections::BTreeSet<String>,
    /// Number of further syncs until the process is killed before one.
    killed_after: Option<usize>,
}

impl PageCache {
    fn check_killed(&mut self) -> io::Result<()> {
        match &mut self.killed_after {
            Some(0) => Err(io::Error::other("killed")),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    /// Returns the files after a loss of power.
    fn after_power_loss(&self) -> PageCache {
        let synced = self.synced_files.iter();
        let kept = synced.filter(|(name, _)| self.synced_names.contains(*name));
        let files: collections::BTreeMap<String, Vec<u8>> = kept
            .map(|(name, content)| (name.clone(), content.clone()))
            .collect();
        PageCache {
            synced_files: files.clone(),
            synced_names: files.keys().cloned().collect(),
            files,
            killed_after: None,
        }
    }
}

impl Files for PageCache {
    fn path(&self) -> &path::Path {
        path::Path::new("memory")
    }
    fn read_all(&mut self) -> io::Result<Vec<(String, Vec<u8>)>> {
        Ok(self.files.clone().into_iter().collect())
    }
    fn write(&mut self, file: &str, offset: u64, data: &[u8]) -> io::Result<()> {
        let content = self.files.entry(file.to_owned()).or_default();
        content.resize(offset as usize, 0);
        content.extend_from_slice(data);
        Ok(())
    }
    fn sync(&mut self, file: &str) -> io::Result<()> {
        self.check_killed()?;
        let content = self.files.entry(file.to_owned()).or_default().clone();
        self.synced_files.insert(file.to_owned(), content);
        Ok(())
    }
    fn set_len(&mut self, file: &str, len: u64) -> io::Result<()> {
        let content = self.files.entry(file.to_owned()).or_default();
        content.truncate(len as usize);
        Ok(())
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        for files in [&mut self.files, &mut self.synced_files] {
            if let Some(content) = files.remove(from) {
                files.insert(to.to_owned(), content);
            }
        }
        Ok(())
    }
    fn remove(&mut self, file: &str) -> io::Result<()> {
        self.files.remove(file);
        Ok(())
    }
    fn sync_folder(&mut self) -> io::Result<()> {
        self.check_killed()?;
        self.synced_names = self.files.keys().cloned().collect();
        Ok(())
    }
}

/// Guards against an entry that is acknowledged after a restart although it was never synced: the
/// process was killed between its write and its sync, and a later loss of power takes it away.
/// Repeated with a kill before each sync of files and folder.
#[test]
fn what_a_restart_recovers_survives_a_loss_of_power() {
    let members = Membership::of_voters([VmId(1), VmId(2), VmId(3)]);
    let snapshot = |index| Snapshot {
        index: LogIndex(index),
        term: Term(1),
        membership: members.clone(),
        data: Bytes::from_static(b"state"),
    };
    let batches = [
        vec![append(1, 1)],
        vec![append(2, 3)],
        vec![
            Op::Snapshot(snapshot(2)),
            Op::Compact {
                through: LogIndex(2),
            },
        ],
        vec![append(4, 8)],
    ];
    for killed_after in 0..12 {
        let files = PageCache {
            killed_after: Some(killed_after),
            ..PageCache::default()
        };
        let (mut store, _) = Store::open(files, None).unwrap();
        store.set_segment_bytes(300);
        for batch in &batches {
            // After the kill, nothing more is written.
            let _ = store.execute(batch);
        }
        let mut files = store.into_files();
        files.killed_after = None;
        let (store, restarted) = Store::open(files, None).unwrap();
        let files = store.into_files().after_power_loss();
        let (_, recovered) = Store::open(files, None).unwrap();
        assert_eq!(recovered, restarted, "killed before sync {killed_after}");
    }
}

/// Guards against a process that cannot start while its disk is full: a torn tail was to be cut
/// before the group could be used.
#[test]
fn a_group_opens_on_a_full_disk_and_is_repaired_later() {
    let folder = Temporary::new("full-start");
    let open = |full| {
        let files = FullDisk(Folder::open(folder.0.clone()).unwrap(), full);
        Store::open(files, None)
    };
    let (mut store, _) = open(false).unwrap();
    for index in 1..=3 {
        store.execute(&[append(index, index)]).unwrap();
    }
    drop(store);
    let log = folder.0.join("log-00000000000000000001.wal");
    let whole = fs::read(&log).unwrap();
    fs::write(&log, &whole[..whole.len() - 1]).unwrap();
    let (mut store, recovered) = open(true).unwrap();
    assert_eq!(recovered.entries.len(), 2);
    let refused = store.execute(&[append(3, 4)]);
    assert!(matches!(refused, Err(Error::Full { .. })));
    let mut files = store.into_files();
    files.1 = false;
    let (mut store, _) = Store::open(files, None).unwrap();
    store.execute(&[append(3, 4)]).unwrap();
    drop(store);
    let (_, recovered) = open(false).unwrap();
    assert_eq!(recovered.entries.len(), 4);
}

/// Guards against a retry after a failed sync: the kernel may have dropped the unwritten pages, so
/// that a second sync succeeds without the data on disk.
#[test]
fn a_failed_sync_is_not_repeated() {
    let folder = Temporary::new("sync");
    let files = FailingSync(Folder::open(folder.0.clone()).unwrap(), true);
    let (mut store, _) = Store::open(files, None).unwrap();
    let failed = store.execute(&[append(1, 1)]);
    assert!(matches!(failed, Err(Error::Sync { .. })));
    assert!(matches!(store.retry(), Err(Error::Stopped { .. })));
    let next = store.execute(&[append(2, 2)]);
    assert!(matches!(next, Err(Error::Stopped { .. })));
}
