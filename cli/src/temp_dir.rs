//! Temporary directory for the data of a system that a command starts.

use std::{env, fs, path};

use crate::{api, exit};

/// A directory that is removed when the value is dropped.
pub struct TempDir(path::PathBuf);

impl TempDir {
    /// Creates an empty directory in the system's temporary directory.
    pub fn new() -> Result<TempDir, exit::Error> {
        let path = env::temp_dir().join(format!("wagtailshunt-{}", api::new_request_id()));
        fs::create_dir_all(&path).map_err(|err| {
            let message = format!("cannot create directory {}: {err}", path.display());
            exit::Error::Failed(message)
        })?;
        Ok(TempDir(path))
    }

    /// Returns the path of the directory.
    pub fn path(&self) -> &path::Path {
        &self.0
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        // Errors are ignored: a remaining directory is left to the cleanup of the operating system.
        let _ = fs::remove_dir_all(&self.0);
    }
}
