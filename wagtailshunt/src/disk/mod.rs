//! File operations of a replicated group.
//!
//! [`DataFolder`] holds the lock of a daemon's data folder. Each group has a subfolder, opened as a
//! [`Store`], which carries out batches of storage ops in order. File operations block, so the loop
//! runs them on the runtime's thread pool with [`execute`]; one batch is one hop to that pool.

mod error;
mod files;
mod folder;
mod store;

pub use error::Error;
pub use files::{Files, Folder};
pub use folder::DataFolder;
pub use store::{Store, execute, retry};
