//! Keys that the processes of a cluster share, given in the settings or in separate files.

use std::{fs, path};

use serde::Deserialize;

use super::ValidationError;
use crate::http;

/// Keys that the processes of a cluster share.
///
/// Each key is given in the settings or as the path of a file that contains it.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Keys {
    /// Key that processes of the cluster send to each other.
    pub cluster: http::Key,
    /// File that contains `cluster`.
    pub cluster_file: Option<path::PathBuf>,
    /// Key that targets send with their announcements.
    pub target: http::Key,
    /// File that contains `target`.
    pub target_file: Option<path::PathBuf>,
    /// Key that operators send with their requests.
    pub operator: http::Key,
    /// File that contains `operator`.
    pub operator_file: Option<path::PathBuf>,
}

impl Keys {
    /// Reads the key files; relative paths start at `folder`.
    pub(super) fn resolve(&mut self, folder: &path::Path) -> Result<(), ValidationError> {
        let keys = [
            ("cluster", &mut self.cluster, &self.cluster_file),
            ("target", &mut self.target, &self.target_file),
            ("operator", &mut self.operator, &self.operator_file),
        ];
        for (name, key, file) in keys {
            if let Some(file) = file {
                *key = read(name, key, &folder.join(file))?;
            }
        }
        Ok(())
    }

    /// Returns an error for a missing key, and for equal keys, which would allow one role to act as
    /// another.
    pub(super) fn check(&self) -> Result<(), ValidationError> {
        let keys = [
            ("cluster", &self.cluster),
            ("target", &self.target),
            ("operator", &self.operator),
        ];
        for (i, (name, key)) in keys.iter().enumerate() {
            let path = format!("keys.{name}");
            if key.reveal().is_empty() {
                return Err(ValidationError::new(path, "the key is missing"));
            }
            let same = keys[..i].iter().find(|(_, other)| other == key);
            if let Some((other, _)) = same {
                return Err(ValidationError::new(
                    path,
                    format!("is the same as key `keys.{other}`"),
                ));
            }
        }
        Ok(())
    }
}

fn read(name: &str, inline: &http::Key, file: &path::Path) -> Result<http::Key, ValidationError> {
    let path = format!("keys.{name}_file");
    if !inline.reveal().is_empty() {
        return Err(ValidationError::new(
            path,
            format!("clashes with key `keys.{name}`"),
        ));
    }
    let text = fs::read_to_string(file).map_err(|err| {
        let message = format!("cannot read {}: {err}", file.display());
        ValidationError::new(path.clone(), message)
    })?;
    if text.trim().is_empty() {
        return Err(ValidationError::new(
            path,
            format!("{} is empty", file.display()),
        ));
    }
    Ok(http::Key::from(text.trim()))
}
