//! The data folder of a daemon.

use std::{fs, path};

use wagtailshunt_core::{storage, types};

use super::{Error, Folder, Store};

/// Name of the file whose lock keeps a second process out.
const LOCK_FILE: &str = "lock";

/// The data folder of a daemon, locked against other processes while this value lives.
#[derive(Debug)]
pub struct DataFolder {
    path: path::PathBuf,
    _lock: fs::File,
}

impl DataFolder {
    /// Opens and locks a data folder, creating it when it is missing.
    ///
    /// # Errors
    ///
    /// [`Error::Locked`] when another process has it, or any error of the file system.
    pub fn open(path: impl Into<path::PathBuf>) -> Result<DataFolder, Error> {
        let path = path.into();
        let at_path = |source| Error::io(path.clone(), source);
        // Opening it as a folder of files also makes a new folder durable in its parent.
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

    /// Opens and recovers a group.
    ///
    /// `initial` is the membership of a new group; it is stored before the group is used and
    /// ignored when the group has state already. Without it a new group waits for a leader, as a VM
    /// does that replaces a lost one. A VM that lost its disk must not be given `initial` again: it
    /// has forgotten its votes.
    ///
    /// # Errors
    ///
    /// [`Error::Storage`] when the stored state is damaged, or any error of the file system.
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
