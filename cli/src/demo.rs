//! Command `demo`: runs a small cluster on this machine and prints its events to standard output.

use std::io;

use wagtailshunt_lab::demo;

use crate::{exit, temp_dir, timeline};

/// Runs `demo`.
pub async fn run() -> Result<exit::Code, exit::Error> {
    let data = temp_dir::TempDir::new()?;
    let mut out = io::stdout();
    let result = demo::run(data.path().to_owned(), &mut out, &timeline::merge_events).await;
    result.map_err(|err| exit::Error::Failed(err.to_string()))?;
    Ok(exit::Code::Ok)
}
