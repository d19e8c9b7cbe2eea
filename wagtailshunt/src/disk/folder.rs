//! The data folder of a daemon, which holds a lock file and one subfolder per group.

use std::{fs, path};

use wagtailshunt_core::{storage, types};

use super::{Error, Folder, Store};

/// Name of the file that a process locks to use the data folder exclusively.
const LOCK_FILE: &str = "lock";

/// The data folder of a daemon, locked against other processes until this value is dropped.
#[derive(Debug)]
pub struct DataFolder {
    path: path::PathBuf,
    _lock: fs::File,
}

impl DataFolder {
    /// Opens and locks a data folder, creating it if it does not exist.
    ///
    /// # Errors
    ///
    /// [`Error::Locked`] if another process holds the lock, or any I/O error of the file system.
    pub fn open(path: impl Into<path::PathBuf>) -> Result<DataFolder, Error> {
        let path = path.into();
        let at_path = |source| Error::io(path.clone(), source);
        // This also syncs the parent of a new folder.
        Folder::open(path.clone()).map_err(at_path)?;
        let lock = fs::OpenOptions::new()
            .write(true)
            .create(true)
            .truncate(false)
            .open(path.join(LOCK_FILE))
            .map_err(at_path)?;
        match lock.try_lock() {
            Ok(()) => Ok(DataFolder { path, _lock: lock }),
            Err(fs::TryLockError::WouldBlock) => Err(Error::Locked { path }),
            Err(fs::TryLockError::Error(source)) => Err(Error::io(path, source)),
        }
    }

    /// Opens the store of a group and recovers its state.
    ///
    /// `initial` is the membership of a new group. It is stored before the group is used, and
    /// ignored if the group already has state. Without it, a new group waits for a leader, as on a
    /// VM that replaces a lost one. It must not be given to a VM that has lost its disk, because
    /// that VM no longer has the record of its votes.
    ///
    /// # Errors
    ///
    /// [`Error::Storage`] if the stored state is damaged, or any I/O error of the file system.
    pub fn open_group(
        &self,
        group: types::GroupId,
        initial: Option<&storage::Membership>,
    ) -> Result<(Store<Folder>, storage::Recovered), Error> {
        let path = self.path.join(format!("group-{group}"));
        let folder = Folder::open(path.clone()).map_err(|source| Error::io(path, source))?;
        Store::open(folder, initial)
    }
}
