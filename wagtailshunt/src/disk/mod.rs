//! File operations of replicated groups.
//!
//! [`DataFolder`] locks the data folder of a daemon. Each group has a subfolder, opened as a
//! [`Store`], which executes batches of storage operations in order. File operations block, so
//! [`execute`] runs each batch as one task on the runtime's thread pool.

mod error;
mod files;
mod folder;
mod store;

pub use error::Error;
pub use files::{Files, Folder};
pub use folder::DataFolder;
pub use store::{Store, execute, retry};
