//! A temporary folder for the state of a started system.

use std::{env, fs, path};

use crate::{api, exit};

/// A folder that is removed when dropped.
pub struct Folder(path::PathBuf);

impl Folder {
    /// Creates an empty folder.
    pub fn new() -> Result<Folder, exit::Error> {
        let path = env::temp_dir().join(format!("wagtailshunt-{}", api::new_request_id()));
        fs::create_dir_all(&path).map_err(|err| {
            let message = format!("cannot create {}: {err}", path.display());
            exit::Error::Failed(message)
        })?;
        Ok(Folder(path))
    }

    /// Returns its path.
    pub fn path(&self) -> &path::Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // What cannot be removed stays in the system's temporary folder.
        let _ = fs::remove_dir_all(&self.0);
    }
}
