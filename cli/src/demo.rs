//! Command `demo`: runs a small cluster on this machine.

use crate::exit;

/// Runs `demo`.
pub fn run() -> Result<exit::Code, exit::Error> {
    let message = "the demo is not part of this version yet";
    Err(exit::Error::Failed(message.to_owned()))
}
