//! Executes storage operations on the files of one group.

use std::{collections, io};

use compio::runtime;
use wagtailshunt_core::storage::{self, FileOp};

use super::{Error, Files};

/// Log and snapshot files of one group.
#[derive(Debug)]
pub struct Store<F> {
    files: F,
    writer: storage::Writer,
    /// File operations that have not succeeded yet.
    pending: collections::VecDeque<FileOp>,
    torn_bytes: u64,
    /// Set after any error other than a full disk; nothing is written after that.
    stopped: bool,
}

impl<F: Files> Store<F> {
    /// Reads and repairs the files of a group.
    ///
    /// For `initial`, see [`super::DataFolder::open_group`].
    ///
    /// # Errors
    ///
    /// [`Error::Storage`] if the stored state is damaged, or any I/O error of the file system. A full
    /// disk is an error only for a new group with `initial`.
    pub fn open(
        mut files: F,
        initial: Option<&storage::Membership>,
    ) -> Result<(Store<F>, storage::Recovered), Error> {
        let path = files.path().to_owned();
        let contents = files
            .read_all()
            .map_err(|source| Error::io(path.clone(), source))?;
        let mut list = Vec::new();
        for (name, content) in &contents {
            list.push((name.clone(), &content[..]));
        }
        let recovery = storage::recover(&list).map_err(|source| Error::Storage {
            folder: path,
            source,
        })?;
        let mut recovered = recovery.recovered;
        let mut store = Store {
            files,
            writer: recovery.writer,
            pending: recovery.unsynced.into(),
            torn_bytes: recovery.torn_bytes,
            stopped: false,
        };
        store.retry()?;
        store.pending.extend(recovery.repair);
        match store.retry() {
            // The repair stays pending and runs before the first batch. Until then nothing is
            // written, so what was recovered stays true.
            Err(err) if err.is_full() => log::warn!("{err}; repair of the log is retried later"),
            repaired => repaired?,
        }
        if let Some(initial) = initial
            && recovered == storage::Recovered::default()
        {
            recovered = storage::Recovered::bootstrap(initial.clone());
            store.execute(&[storage::Op::Snapshot(recovered.snapshot.clone())])?;
        }
        Ok((store, recovered))
    }

    /// Returns the number of bytes of a torn write that were cut off when the group was opened.
    pub fn torn_bytes(&self) -> u64 {
        self.torn_bytes
    }

    /// Sets the size in bytes at which a log segment is closed and a new one started.
    pub fn set_segment_bytes(&mut self, bytes: u64) {
        self.writer.set_segment_bytes(bytes);
    }

    /// Executes a batch and blocks until it is synced.
    ///
    /// # Errors
    ///
    /// After [`Error::Full`], the batch stays pending until [`Store::retry`] succeeds. Any other
    /// error must stop the process.
    pub fn execute(&mut self, ops: &[storage::Op]) -> Result<(), Error> {
        self.pending.extend(self.writer.plan(ops));
        self.retry()
    }

    /// Continues with the operations that are pending after a full disk.
    ///
    /// # Errors
    ///
    /// As for [`Store::execute`].
    pub fn retry(&mut self) -> Result<(), Error> {
        if self.stopped {
            let path = self.files.path().to_owned();
            return Err(Error::Stopped { path });
        }
        while let Some(op) = self.pending.front() {
            if let Err(err) = execute_op(&mut self.files, op) {
                self.stopped = !err.is_full();
                return Err(err);
            }
            self.pending.pop_front();
        }
        Ok(())
    }

    /// Returns the files, discarding pending operations.
    pub fn into_files(self) -> F {
        self.files
    }
}

fn execute_op(files: &mut impl Files, op: &FileOp) -> Result<(), Error> {
    let (name, result) = match op {
        FileOp::Write { file, offset, data } => (file, files.write(file, *offset, data)),
        FileOp::SetLen { file, len } => (file, files.set_len(file, *len)),
        FileOp::Rename { from, to } => (to, files.rename(from, to)),
        FileOp::Remove { file } => (file, files.remove(file)),
        FileOp::Sync { file } => {
            let result = files.sync(file);
            return result.map_err(|source| sync_error(files, file, source));
        }
        FileOp::SyncFolder => {
            let result = files.sync_folder();
            return result.map_err(|source| sync_error(files, "", source));
        }
    };
    result.map_err(|source| Error::io(files.path().join(name), source))
}

fn sync_error(files: &impl Files, name: &str, source: io::Error) -> Error {
    let path = files.path().join(name);
    Error::Sync { path, source }
}

/// Executes a batch on the runtime's thread pool and returns the store with the result.
///
/// # Errors
///
/// [`Error::Thread`] if the thread panicked, in which case the store is lost. The inner result is
/// that of [`Store::execute`].
pub async fn execute<F: Files + Send + 'static>(
    mut store: Store<F>,
    ops: Vec<storage::Op>,
) -> Result<(Store<F>, Result<(), Error>), Error> {
    let task = runtime::spawn_blocking(move || {
        let result = store.execute(&ops);
        (store, result)
    });
    task.await.map_err(|_| Error::Thread)
}

/// Continues a pending batch on the runtime's thread pool, as [`Store::retry`] does.
///
/// # Errors
///
/// As for [`execute`].
pub async fn retry<F: Files + Send + 'static>(
    mut store: Store<F>,
) -> Result<(Store<F>, Result<(), Error>), Error> {
    let task = runtime::spawn_blocking(move || {
        let result = store.retry();
        (store, result)
    });
    task.await.map_err(|_| Error::Thread)
}
